//! Commands and records of a leader, in virtual time.

mod common;

use {
    catkin::types::ConnId,
    catkin_route::{
        balance::FleetLoads,
        directory::{Directory, Entry},
        granter::{self, Action, Command, Granter, Outcome, OwnedRange, Step},
        owners::{Owners, ProcessId, Row},
    },
    common::{LEASE_TIMES, SimulatedLeader, accept, at, entry, incarnation, leader},
};

fn grants<'a>(commands: &'a [Command], id: &'a str) -> impl Iterator<Item = &'a Command> + 'a {
    commands.iter().filter(move |c| &*c.incarnation.id == id && matches!(c.action, Action::Grant { .. }))
}

/// Starts a leader whose targets hold all keys.
fn start_granted(ids: &[&str]) -> SimulatedLeader {
    let mut sim = SimulatedLeader::new(ids);
    sim.run(3_000, accept);
    assert!(sim.granter.are_all_granted());
    sim
}

/// Every key has exactly one owner in the table.
#[test]
fn first_table_covers_all_keys() {
    let sim = start_granted(&["a", "b", "c"]);
    let table = sim.table.unwrap();
    let rows = &table.services["s"];
    assert_eq!((rows[0].from, rows[rows.len() - 1].to), (0, u16::MAX));
    assert!(rows.windows(2).all(|w| w[0].to + 1 == w[1].from));
    assert!(["a", "b", "c"].iter().all(|id| rows.iter().any(|r| &*r.target == *id)));
}

/// Targets that start together are listed one after the other. If keys were
/// assigned at once, the first target would get all of them.
#[test]
fn first_table_waits_for_calm_directory() {
    let mut sim = SimulatedLeader::new(&["a"]);
    sim.run(500, accept);
    sim.directory.put(at(sim.now), entry("b", 1));
    sim.run(700, accept);
    assert!(sim.table.as_ref().unwrap().services.is_empty());
    sim.run(1_000, accept);
    assert!(sim.table.unwrap().services["s"].iter().any(|r| &*r.target == "b"));
}

/// Keys are renewed well before their lease expires.
#[test]
fn holds_are_renewed() {
    let mut sim = start_granted(&["a"]);
    let commands = sim.run(6_000, accept);
    let rows = sim.granter.ranges("s").len();
    assert!(grants(&commands, "a").count() >= 6 * rows);
}

/// Keys of an unreachable target must not move before every lease that it may
/// have been granted has expired, by the slowest clock that is allowed.
#[test]
fn silent_target_keeps_keys_until_hold_ends() {
    let mut sim = start_granted(&["a", "b"]);
    let last = sim.now;
    let unreachable = |c: &Command| match &*c.incarnation.id {
        "a" => Some(Outcome::Undelivered),
        _ => Some(Outcome::Done(None)),
    };
    let lease_ms = 3_000 * 1_025 / 1_000;
    let moved =
        |sim: &SimulatedLeader| sim.table.as_ref().unwrap().services["s"].iter().all(|r| &*r.target == "b");
    while sim.now < last - 750 + lease_ms {
        sim.run(50, unreachable);
        assert!(!moved(&sim), "moved {} ms after the last renewal", sim.now - last);
    }
    sim.run(1_500, unreachable);
    assert!(moved(&sim));
}

/// A target that left the directory and answers no command will not answer a
/// release either. Waiting for that would keep its keys without service after
/// their lease has expired.
#[test]
fn lost_target_is_not_asked_to_release() {
    let mut sim = start_granted(&["a", "b"]);
    let table = granter::claim(&leader("z"), LEASE_TIMES.duration, sim.table.as_ref(), sim.next_offset);
    let (now, offset) = (at(sim.now), sim.next_offset);
    sim.granter = Granter::new(LEASE_TIMES, now, now, LEASE_TIMES.duration, &table, offset);
    sim.next_offset += 1;
    let silent = |c: &Command| match &*c.incarnation.id {
        "a" => None,
        _ => Some(Outcome::Done(None)),
    };
    // The first grant to the lost target gets no answer for 500 ms, and the
    // others wait for it.
    let commands = sim.run(500, silent);
    for (i, command) in commands.iter().filter(|c| &*c.incarnation.id == "a").enumerate() {
        let outcome = if i == 0 { Outcome::Unknown } else { Outcome::Skipped };
        sim.granter.command_ended(at(sim.now), command.ticket, outcome);
    }
    sim.directory.remove(at(sim.now), "a");
    let lease_ms = 3_000 * 1_025 / 1_000 + 250;
    let commands = sim.run(lease_ms + 200, silent);
    assert!(commands.iter().all(|c| c.action != Action::Release));
    assert!(sim.table.unwrap().services["s"].iter().all(|r| &*r.target == "b"));
}

/// While the store is unavailable, the directory still lists a target that is
/// lost. If it got its keys back, they would have no owner for another lease
/// duration.
#[test]
fn lost_target_gets_no_keys_before_it_is_heard() {
    let mut sim = start_granted(&["a", "b"]);
    let unreachable = |c: &Command| match &*c.incarnation.id {
        "a" => Some(Outcome::Undelivered),
        _ => Some(Outcome::Done(None)),
    };
    sim.run(2_000, unreachable);
    sim.advance(6_000);
    let commands = sim.run(500, unreachable);
    assert_eq!(grants(&commands, "a").count(), 0);
    let rows = &sim.table.as_ref().unwrap().services["s"];
    assert!(rows.iter().all(|row| &*row.target == "b"));
}

/// Keys that are released while a record is being written could not get their
/// next owner, so no move starts.
#[test]
fn no_move_starts_while_a_record_is_written() {
    let mut sim = start_granted(&["a", "b", "c"]);
    sim.directory.remove(at(sim.now), "c");
    let keyed = ["s".into()];
    let mut is_writing = false;
    while !is_writing {
        sim.advance(50);
        for step in sim.granter.tick(at(sim.now), &keyed, &sim.directory, &sim.loads) {
            match step {
                Step::Send(command) => {
                    sim.granter.command_ended(at(sim.now), command.ticket, Outcome::Done(None))
                }
                Step::Write { .. } => is_writing = true,
            }
        }
    }
    let of_a = |held: &OwnedRange| &*held.row.target == "a" && held.movable;
    let row = sim.granter.ranges("s").into_iter().find(of_a).unwrap().row;
    assert!(!sim.granter.begin_move("s", row.from, row.to, incarnation("b", 1)));
    sim.granter.table_accepted(at(sim.now));
    assert!(sim.granter.begin_move("s", row.from, row.to, incarnation("b", 1)));
}

/// Writing a record may take as long as the store is unavailable. All keys with
/// an owner are renewed meanwhile, also those of merged ranges.
#[test]
fn renewals_go_on_while_a_record_is_written() {
    let mut sim = start_granted(&["a", "b", "c"]);
    sim.directory.remove(at(sim.now), "c");
    let held: Vec<_> = sim.granter.ranges("s").into_iter().filter(|h| &*h.row.target != "c").collect();
    let mut pending = 0;
    let mut renewed = Vec::new();
    while pending < 4_000 {
        sim.advance(50);
        for step in sim.granter.tick(at(sim.now), &["s".into()], &sim.directory, &sim.loads) {
            match step {
                Step::Send(command) => {
                    sim.granter.command_ended(at(sim.now), command.ticket, Outcome::Done(None));
                    if pending > 3_000 {
                        renewed.push((command.from, command.to));
                    }
                }
                Step::Write { .. } => pending = 1,
            }
        }
        pending += if pending > 0 { 50 } else { 0 };
    }
    for OwnedRange { row, .. } in held {
        let covers = |range: &&(u16, u16)| range.0 <= row.from && row.to <= range.1;
        assert!(renewed.iter().any(|range| covers(&range)), "keys from {} are not renewed", row.from);
    }
}

/// Renewals of a few hundred targets cost little, so leases stay short: the
/// keys of a lost target have no owner for a whole lease duration.
#[test]
fn holds_stay_short_in_a_fleet_of_hundreds() {
    assert_eq!(LEASE_TIMES.scale_for(300).duration, LEASE_TIMES.duration);
    assert!(LEASE_TIMES.scale_for(3_000).renew_interval > LEASE_TIMES.renew_interval.scale(2.0));
}

/// Two other processes may take over before a leader gives up. The last one
/// must wait for all that may still renew leases, not only for the one before
/// it.
#[test]
fn claim_names_all_earlier_leaders() {
    let x = granter::claim(&leader("x"), LEASE_TIMES.duration, None, 0);
    let y = granter::claim(&leader("y"), LEASE_TIMES.duration, Some(&x), 1);
    let z = granter::claim(&leader("z"), LEASE_TIMES.duration, Some(&y), 2);
    assert_eq!(y.earlier_leaders, [leader("x")]);
    assert_eq!(z.earlier_leaders, [leader("x"), leader("y")]);
    // A VM runs one process at a time, so the earlier one has ended.
    let again = granter::claim(&ProcessId { run_id: 2, ..leader("x") }, LEASE_TIMES.duration, Some(&z), 3);
    assert_eq!(again.earlier_leaders, [leader("y"), leader("z")]);
}

/// The records of a leader name earlier leaders until those have stopped or
/// given up.
#[test]
fn records_name_earlier_leaders_until_they_stop() {
    let claim = granter::claim(&leader("x"), LEASE_TIMES.duration, None, 0);
    let claim = granter::claim(&leader("y"), LEASE_TIMES.duration, Some(&claim), 1);
    for stopped in [false, true] {
        let mut sim = SimulatedLeader::new(&["a"]);
        sim.granter = Granter::new(LEASE_TIMES, at(0), at(10_000), LEASE_TIMES.duration, &claim, 1);
        sim.next_offset = 2;
        if stopped {
            sim.granter.earlier_stopped(at(0));
        }
        sim.run(5_000, accept);
        let expected = if stopped { Vec::new() } else { vec![leader("x")] };
        assert_eq!(sim.table.as_ref().unwrap().earlier_leaders, expected);
        sim.run(6_000, accept);
        sim.directory.put(at(sim.now), entry("b", 1));
        let row = sim.granter.ranges("s").remove(0).row;
        assert!(sim.granter.begin_move("s", row.from, row.to, incarnation("b", 1)));
        sim.run(500, accept);
        assert!(sim.table.unwrap().earlier_leaders.is_empty());
    }
}

/// A target that leaves while an earlier leader may still renew is granted its
/// keys once more first. It then refuses the earlier leader, and its keys need
/// not wait until that one gives up.
#[test]
fn leaving_target_need_not_wait_for_an_earlier_leader() {
    let last = start_granted(&["a", "b"]).table.unwrap();
    let claim = granter::claim(&leader("y"), LEASE_TIMES.duration, Some(&last), 9);
    let mut sim = SimulatedLeader::new(&["a", "b"]);
    sim.granter = Granter::new(LEASE_TIMES, at(0), at(10_000), LEASE_TIMES.duration, &claim, 9);
    sim.next_offset = 10;
    sim.directory.put(at(0), Entry { draining: true, ..entry("a", 1) });
    let commands = sim.run(1_000, accept);
    let first = commands.iter().find(|c| &*c.incarnation.id == "a").unwrap();
    assert!(matches!(first.action, Action::Grant { .. }));
    let rows = &sim.table.as_ref().unwrap().services["s"];
    assert!(rows.iter().all(|row| &*row.target == "b"));
}

/// A grant without an answer may be carried out late, so it prolongs the time
/// for which the keys can't move.
#[test]
fn unanswered_grant_counts_as_held() {
    let mut sim = start_granted(&["a", "b"]);
    let mut last = sim.now;
    let mut count = 0;
    let timed_out = |c: &Command| match &*c.incarnation.id {
        "a" => Some(Outcome::Unknown),
        _ => Some(Outcome::Done(None)),
    };
    while sim.now < 20_000 && count < 2 {
        count += grants(&sim.run(50, timed_out), "a").count();
        last = sim.now;
    }
    sim.run(2_900, timed_out);
    assert!(sim.now - last < 3_075);
    assert!(sim.table.as_ref().unwrap().services["s"].iter().any(|r| &*r.target == "a"));
}

/// A target that leaves releases its keys, and its handover data goes to the
/// next owner, so that the keys stay warm.
#[test]
fn leaving_target_hands_over() {
    let mut sim = start_granted(&["a", "b"]);
    sim.directory.put(at(sim.now), Entry { draining: true, ..entry("a", 1) });
    let handover = |c: &Command| match c.action {
        Action::Release => Some(Outcome::Done(Some("h".into()))),
        Action::Grant { .. } => Some(Outcome::Done(None)),
    };
    let commands = sim.run(1_000, handover);
    let rows = &sim.table.as_ref().unwrap().services["s"];
    assert!(rows.iter().all(|r| &*r.target == "b"));
    let has_handover =
        |c: &Command| matches!(&c.action, Action::Grant { handover: Some(h), .. } if &**h == "h");
    assert!(grants(&commands, "b").any(has_handover));
}

/// A release does not end a grant that was never answered: the target may carry
/// that out afterwards.
#[test]
fn release_waits_for_unanswered_grant() {
    let mut sim = start_granted(&["a", "b"]);
    let mut unanswered_at = None;
    while unanswered_at.is_none() {
        for command in sim.round() {
            let outcome = match (&*command.incarnation.id, unanswered_at) {
                ("a", None) => {
                    unanswered_at = Some(sim.now);
                    Outcome::Unknown
                }
                _ => Outcome::Done(None),
            };
            sim.granter.command_ended(at(sim.now), command.ticket, outcome);
        }
        sim.advance(50);
    }
    sim.directory.put(at(sim.now), Entry { draining: true, ..entry("a", 1) });
    sim.run(2_000, accept);
    let of_a =
        |sim: &SimulatedLeader| sim.table.as_ref().unwrap().services["s"].iter().any(|r| &*r.target == "a");
    assert!(of_a(&sim), "moved while a grant may still be carried out");
    sim.run(2_000, accept);
    assert!(!of_a(&sim));
}

/// A target that restarted may be leaving. It gets no keys until that is known.
#[test]
fn target_in_doubt_gets_no_keys() {
    let mut sim = SimulatedLeader::new(&["a", "b", "c"]);
    sim.run(3_000, accept);
    sim.directory.announce_leaving(at(sim.now), &incarnation("a", 1));
    sim.run(2_000, accept);
    sim.directory.put(at(sim.now), entry("a", 2));
    sim.directory.announce_leaving(at(sim.now), &incarnation("b", 1));
    let is_for_a = |command: &Command| command.incarnation == incarnation("a", 2);
    let commands = sim.run(2_000, accept);
    assert!(!commands.iter().any(is_for_a), "{commands:?}");
    assert!(sim.granter.ranges("s").iter().all(|range| *range.row.target == *"c"));
    sim.directory.note_staying(at(sim.now), &incarnation("a", 2));
    sim.directory.announce_leaving(at(sim.now), &incarnation("c", 1));
    let commands = sim.run(2_000, accept);
    assert!(commands.iter().any(is_for_a), "{commands:?}");
}

/// A restarted target holds no keys and is granted them with a higher fence.
#[test]
fn restarted_target_gets_higher_fence() {
    let mut sim = start_granted(&["a"]);
    let before = sim.table.as_ref().unwrap().services["s"][0].fence;
    sim.directory.put(at(sim.now), entry("a", 2));
    let commands = sim.run(500, accept);
    let again: Vec<&Command> = commands.iter().filter(|c| c.incarnation == incarnation("a", 2)).collect();
    assert!(!again.is_empty());
    assert!(again.iter().all(|c| c.fence > before));
}

/// A new leader must keep all owners, with higher fences.
#[test]
fn claim_keeps_owners_with_higher_fence() {
    let sim = start_granted(&["a", "b"]);
    let last = sim.table.unwrap();
    let next = granter::claim(&leader("b"), LEASE_TIMES.duration, Some(&last), sim.next_offset);
    for (old, new) in last.services["s"].iter().zip(&next.services["s"]) {
        assert_eq!((old.from, old.to, &old.target), (new.from, new.to, &new.target));
        assert!(new.fence > old.fence);
    }
}

/// If a target refuses a grant because it has seen the higher fence of another
/// leader, the leadership ends.
#[test]
fn refusal_by_fence_ends_leadership() {
    let mut sim = start_granted(&["a"]);
    sim.run(1_000, |_| Some(Outcome::Fenced));
    assert!(sim.granter.is_fenced());
}

/// After a change of leaders, an earlier leader may still renew the lease of a
/// target that the new one can't reach. The keys stay until the earlier leader
/// has given up or stopped.
#[test]
fn unreachable_target_waits_for_earlier_leader() {
    let sim = start_granted(&["a", "b"]);
    let (now, offset) = (sim.now, sim.next_offset);
    let claim = granter::claim(&leader("b"), LEASE_TIMES.duration, sim.table.as_ref(), offset);
    for stopped in [false, true] {
        let granter =
            Granter::new(LEASE_TIMES, at(now), at(now + 10_000), LEASE_TIMES.duration, &claim, offset);
        let mut next = SimulatedLeader {
            granter,
            directory: Default::default(),
            loads: Default::default(),
            now,
            next_offset: offset + 1,
            table: Some(claim.clone()),
            reaches_store: true,
        };
        next.directory.put(at(now), entry("a", 1));
        next.directory.put(at(now), entry("b", 1));
        let unreachable = |c: &Command| match &*c.incarnation.id {
            "a" => Some(Outcome::Undelivered),
            _ => Some(Outcome::Done(None)),
        };
        if stopped {
            next.granter.earlier_stopped(at(now));
        }
        next.run(6_000, unreachable);
        let of_a = next.table.as_ref().unwrap().services["s"].iter().any(|r| &*r.target == "a");
        assert_eq!(of_a, !stopped);
        next.run(10_000, unreachable);
        assert!(next.table.unwrap().services["s"].iter().all(|r| &*r.target == "b"));
    }
}

/// A move starts with a release, and nothing is granted before its answer.
#[test]
fn move_releases_first() {
    let mut sim = start_granted(&["a", "b"]);
    let row = sim.granter.ranges("s").into_iter().find(|h| &*h.row.target == "a").unwrap().row;
    assert!(sim.granter.begin_move("s", row.from, row.from, incarnation("b", 1)));
    let commands = sim.run(600, |c| matches!(c.action, Action::Grant { .. }).then_some(Outcome::Done(None)));
    assert!(commands.iter().any(|c| c.action == Action::Release && c.from == row.from && c.to == row.from));
    assert!(!grants(&commands, "b").any(|c| c.from <= row.from && row.from <= c.to));
    assert!(!grants(&commands, "a").any(|c| c.from <= row.from && row.from <= c.to));
}

/// A release that is not answered grants nothing, so it must not prolong the
/// time for which the keys of a lost target have no owner.
#[test]
fn unanswered_release_lengthens_no_hold() {
    let mut sim = start_granted(&["a", "b"]);
    let last = sim.now;
    sim.directory.remove(at(last), "a");
    let mut releases = Vec::new();
    let answer = |c: &Command| match c.action {
        Action::Release => {
            releases.push(c.ticket);
            None
        }
        Action::Grant { .. } => Some(Outcome::Done(None)),
    };
    // The releases time out after 1.5 s.
    sim.run(1_500, answer);
    assert!(!releases.is_empty());
    for ticket in releases {
        sim.granter.command_ended(at(sim.now), ticket, Outcome::Unknown);
    }
    sim.run(last + 3_500 - sim.now, accept);
    assert!(sim.table.unwrap().services["s"].iter().all(|r| &*r.target == "b"));
}

/// Runs for a second and returns whether every key is granted to its owner.
fn is_served(sim: &mut SimulatedLeader) -> bool {
    let commands = sim.run(1_000, accept);
    let is_granted = |row: &Row| {
        grants(&commands, &row.target).any(|c| c.from <= row.from && row.to <= c.to && c.fence == row.fence)
    };
    let rows = &sim.table.as_ref().unwrap().services["s"];
    rows[rows.len() - 1].to == u16::MAX && rows.iter().all(is_granted)
}

/// On a calm day the directory shows no change after a grant got no answer. The
/// keys would have no owner to the end of the day if the leader waited for one.
#[test]
fn unanswered_grants_heal_without_a_change_of_the_directory() {
    let mut sim = start_granted(&["a", "b", "c"]);
    sim.run(1_500, |c| if c.ticket % 3 == 0 { Some(Outcome::Unknown) } else { accept(c) });
    sim.run(500, accept);
    assert!(is_served(&mut sim));
    let ids: Vec<_> = sim.table.as_ref().unwrap().services["s"].iter().map(|r| r.target.clone()).collect();
    assert!(["a", "b", "c"].iter().all(|id| ids.iter().any(|other| **other == **id)));
}

/// After a grant got no answer, its fence must not reach a new connection: a
/// later process with the owner's id may run at the other end.
#[test]
fn fence_is_raised_before_a_new_connection() {
    let mut sim = start_granted(&["a"]);
    let mut failed = None;
    let mut later = Vec::new();
    for command in
        sim.run(2_000, |c| Some(if c.ticket % 3 == 0 { Outcome::Disconnected } else { Outcome::Done(None) }))
    {
        if let Some(fence) = failed {
            later.push((fence, command.fence, command.from));
        }
        if command.ticket % 3 == 0 {
            failed = Some(command.fence);
        }
    }
    assert!(later.iter().any(|(failed, fence, _)| fence > failed));
}

/// Targets that refuse many commands still hold their keys. If each refusal
/// counted as a lost target, a service that sheds load would lose its owners.
#[test]
fn targets_that_shed_commands_keep_their_keys() {
    let mut sim = start_granted(&["a", "b", "c"]);
    let owners = |sim: &SimulatedLeader| -> Vec<_> {
        sim.table.as_ref().unwrap().services["s"].iter().map(|r| (r.from, r.target.clone())).collect()
    };
    let before = owners(&sim);
    sim.run(8_500, |c| Some(if c.ticket % 2 == 0 { Outcome::Refused } else { Outcome::Done(None) }));
    assert_eq!(owners(&sim), before);
    sim.run(1_000, accept);
    assert!(is_served(&mut sim));
}

/// A target that refuses all grants for a lease duration serves no keys, so
/// they move.
#[test]
fn target_that_refuses_every_grant_loses_its_keys() {
    let mut sim = start_granted(&["a", "b"]);
    let refuses = |c: &Command| match (&*c.incarnation.id, &c.action) {
        ("a", Action::Grant { .. }) => Some(Outcome::Refused),
        _ => Some(Outcome::Done(None)),
    };
    sim.run(8_000, refuses);
    assert!(sim.table.unwrap().services["s"].iter().all(|r| &*r.target == "b"));
}

/// While every target fails some commands, none is free of suspicion. Keys
/// without an owner go to those that answer again.
#[test]
fn keys_find_an_owner_while_all_targets_are_suspected() {
    let mut sim = start_granted(&["a", "b", "c"]);
    sim.run(700, |c| Some(if c.ticket % 2 == 0 { Outcome::Unknown } else { Outcome::Done(None) }));
    sim.run(900, accept);
    sim.directory.remove(at(sim.now), "c");
    sim.run(4_000, accept);
    assert!(sim.table.as_ref().unwrap().services["s"].iter().all(|r| &*r.target != "c"));
    assert!(is_served(&mut sim));
}

/// A fence that went out on a connection reaches no process that a later
/// connection may lead to: the command names that connection, and once it is
/// closed the range gets a higher fence, which may open one.
#[test]
fn fence_keeps_to_its_connection() {
    let mut sim = start_granted(&["a"]);
    let (first, second) = (ConnId(1), ConnId(2));
    let go_on = |sim: &mut SimulatedLeader, kept: ConnId| {
        let mut commands = Vec::new();
        for command in sim.run(1_000, |_| None) {
            let now = at(sim.now);
            if command.conn.is_some_and(|conn| conn != kept) {
                sim.granter.command_ended(now, command.ticket, Outcome::Closed);
            } else {
                sim.granter.command_sent(now, command.ticket, kept);
                sim.granter.command_ended(now, command.ticket, Outcome::Done(None));
                commands.push(command);
            }
        }
        commands
    };
    let before = go_on(&mut sim, first);
    assert!(before.iter().all(|command| command.conn.is_none()));
    assert!(go_on(&mut sim, first).iter().all(|command| command.conn == Some(first)));
    let highest = before.iter().map(|command| command.fence).max();
    let after: Vec<Command> = (0..3).flat_map(|_| go_on(&mut sim, second)).collect();
    assert!(!after.is_empty());
    assert!(after.iter().all(|command| Some(command.fence) > highest), "{after:?}");
    assert!(sim.granter.are_all_granted());
    assert!(!sim.granter.is_suspected(&incarnation("a", 1)));
}

/// The store takes seconds to accept a higher fence, and the target's entry is
/// written again meanwhile. The process that wrote it may end before the fence
/// goes out on a new connection, so the entry says nothing of the process that
/// gets the fence.
#[test]
fn process_is_confirmed_after_its_connection_was_opened() {
    let mut sim = start_granted(&["a", "b"]);
    let command = sim.run(800, |_| None).into_iter().find(|c| &*c.incarnation.id == "a").unwrap();
    sim.granter.command_ended(at(sim.now), command.ticket, Outcome::Disconnected);
    let keyed = ["s".into()];
    let is_write = |step: &Step| matches!(step, Step::Write { .. });
    let mut is_written = false;
    while !is_written {
        sim.advance(50);
        is_written = sim.granter.tick(at(sim.now), &keyed, &sim.directory, &sim.loads).iter().any(is_write);
    }
    sim.advance(1_500);
    sim.directory.put(at(sim.now), Entry { slots: 7, ..entry("a", 1) });
    sim.granter.tick(at(sim.now), &keyed, &sim.directory, &sim.loads);
    sim.next_offset += 1;
    sim.granter.table_accepted(at(sim.now));
    let raised = sim.round().into_iter().find(|c| c.from == command.from && c.fence > command.fence).unwrap();
    sim.granter.command_sent(at(sim.now), raised.ticket, ConnId(9));
    sim.granter.command_ended(at(sim.now), raised.ticket, Outcome::Done(None));
    sim.directory.put(at(sim.now), Entry { draining: true, ..entry("a", 2) });
    sim.run(300, accept);
    let owner = sim.granter.ranges("s").into_iter().find(|range| range.row.from == command.from).unwrap();
    assert_eq!(&*owner.row.target, "a", "keys moved that the new process may hold");
}

/// A leader that has just started to read the directory may know only an entry
/// of an earlier process of an owner. It does not show that the owner has ended.
#[test]
fn earlier_process_in_the_directory_frees_no_keys() {
    let mut sim = start_granted(&["a", "b"]);
    sim.directory.put(at(sim.now), entry("a", 5));
    sim.run(1_000, accept);
    assert!(sim.granter.ranges("s").iter().any(|range| (&*range.row.target, range.row.started) == ("a", 5)));
    sim.run(6_000, accept);
    let held = sim.now;
    sim.directory = Directory::default();
    for (id, started) in [("a", 1), ("b", 1)] {
        sim.directory.put(at(sim.now), entry(id, started));
    }
    let before = sim.table.clone();
    let mut sent = Vec::new();
    while sim.now < held + 2_500 {
        sent.extend(sim.run(50, |command| (&*command.incarnation.id != "a").then_some(Outcome::Done(None))));
        let is_moved = |row: &Row| &*row.target == "b";
        let count = |table: &Owners| table.services["s"].iter().filter(|row| is_moved(row)).count();
        assert_eq!(sim.table.as_ref().map(count), before.as_ref().map(count), "{} ms", sim.now - held);
    }
    assert!(sent.iter().any(|command| command.incarnation == incarnation("a", 5)));
}

/// Starts a leader whose target `a` has restarted, unknown to it: a command has
/// found its connection closed, and the later process has got a range as the
/// earlier one, on a new connection. Returns that command.
fn start_with_unlisted_restart() -> (SimulatedLeader, Command) {
    let mut sim = start_granted(&["a", "b"]);
    let first = sim.run(800, |_| None).into_iter().find(|c| &*c.incarnation.id == "a").unwrap();
    sim.granter.command_ended(at(sim.now), first.ticket, Outcome::Undelivered);
    let raised = loop {
        sim.advance(50);
        sim.directory.note_read(at(sim.now));
        let command = sim.round().into_iter().find(|c| c.from == first.from && c.fence > first.fence);
        if let Some(command) = command {
            break command;
        }
    };
    sim.granter.command_sent(at(sim.now), raised.ticket, ConnId(9));
    sim.granter.command_ended(at(sim.now), raised.ticket, Outcome::Done(None));
    (sim, raised)
}

/// Lists the later process of `a`, which gets no further keys as it drains, and
/// checks that a range that it may hold goes to no other target before its lease
/// has expired.
fn check_kept_by_later_process(mut sim: SimulatedLeader, held: &Command) {
    sim.directory.put(at(sim.now), Entry { draining: true, ..entry("a", 2) });
    sim.run(300, accept);
    let owner = sim.granter.ranges("s").into_iter().find(|range| range.row.from == held.from).unwrap();
    assert_eq!(&*owner.row.target, "a", "keys moved that the later process holds");
}

/// A write of a target that has ended is carried out seconds late, after a
/// connection was opened to the later process. It must not count as a proof that
/// the earlier process ran at that time: the keys of the later one would move
/// without a release.
#[test]
fn late_entry_frees_no_keys_of_an_unlisted_process() {
    let (mut sim, held) = start_with_unlisted_restart();
    sim.run(2_000, accept);
    sim.directory.note_read(at(sim.now));
    sim.directory.put(at(sim.now), Entry { slots: 7, ..entry("a", 1) });
    sim.run(50, accept);
    check_kept_by_later_process(sim, &held);
}

/// A complete listing holds the entry of an ended process until that is removed.
/// It must not count as a proof that the process has run a moment ago.
#[test]
fn listing_frees_no_keys_of_an_unlisted_process() {
    let (mut sim, held) = start_with_unlisted_restart();
    sim.run(2_000, accept);
    sim.directory.note_read(at(sim.now));
    let listing = sim.directory.listing(at(sim.now));
    sim.directory.replace(at(sim.now), listing);
    sim.run(50, accept);
    check_kept_by_later_process(sim, &held);
}

/// A write that is carried out late makes an ended process listed for longer, so
/// the time for which it is listed shows only then that it has run.
#[test]
fn listed_entry_frees_no_keys_of_an_unlisted_process() {
    let (mut sim, held) = start_with_unlisted_restart();
    for _ in 0..40 {
        sim.run(200, accept);
        sim.directory.note_read(at(sim.now));
    }
    sim.run(50, accept);
    check_kept_by_later_process(sim, &held);
}

/// A new leader whose directory holds a late entry of an earlier process knows
/// no address of the owner. The owner's next entry is on its way, so its keys
/// must not be given away before its lease has expired.
#[test]
fn owner_unknown_to_a_new_leader_keeps_its_keys() {
    let row = Row { from: 0, to: u16::MAX, target: "a".into(), started: 5, fence: 1, handover: None };
    let mut directory = Directory::default();
    for (id, started) in [("a", 1), ("b", 1)] {
        directory.put(at(0), entry(id, started));
    }
    let mut table = granter::claim(&leader("x"), LEASE_TIMES.duration, None, 0);
    table.services.insert("s".into(), vec![row]);
    let claim = granter::claim(&leader("y"), LEASE_TIMES.duration, Some(&table), 1);
    let granter = Granter::new(LEASE_TIMES, at(0), at(0), LEASE_TIMES.duration, &claim, 1);
    let loads = FleetLoads::default();
    directory.learn_owners(at(0), &claim);
    let table = Some(claim);
    let mut sim =
        SimulatedLeader { granter, directory, loads, now: 0, next_offset: 2, table, reaches_store: true };
    assert!(sim.run(900, accept).is_empty(), "nothing is known of the owner");
    sim.directory.put(at(sim.now), entry("a", 5));
    let commands = sim.run(5_000, accept);
    assert!(commands.iter().all(|command| command.incarnation == incarnation("a", 5)), "{commands:?}");
    assert!(sim.granter.are_all_granted());
}
