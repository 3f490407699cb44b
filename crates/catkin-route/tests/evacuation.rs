//! Evacuated zones in virtual time: what their targets still get, and how their
//! keys move.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::{Directory, Entry},
        granter::{self, Action, Command, Granter, Outcome},
        subset::Subsets,
    },
    common::{LEASE_TIMES, SERVICE, SimulatedLeader, accept, at, entry, incarnation, leader},
    std::collections::BTreeMap,
};

/// Time from the evacuation of a zone from which on its targets must get no
/// requests, in milliseconds.
const BOUND_MS: u64 = 5_000;

/// Number of targets in each zone.
const ZONE_TARGETS: usize = 10;

fn zone_entry(zone: &str, id: &str) -> Entry {
    Entry { zone: zone.into(), ..entry(id, 1) }
}

/// Starts a leader whose targets in zones `x`, `y` and `z` hold all keys.
fn start() -> SimulatedLeader {
    let mut sim = SimulatedLeader::new(&[]);
    for i in 0..3 * ZONE_TARGETS {
        sim.directory.put(at(0), zone_entry(["x", "y", "z"][i % 3], &format!("t{i}")));
    }
    sim.run(4_000, accept);
    assert!(sim.granter.are_all_granted());
    sim
}

/// Evacuates a zone that was not evacuated 800 ms ago, as a leader learns it.
fn evacuate(sim: &mut SimulatedLeader, zone: &str) {
    assert!(sim.directory.evacuate(at(sim.now), zone, at(sim.now - 800)));
}

/// Returns the number of keys of each target in the newest table.
fn key_counts(sim: &SimulatedLeader) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for row in &sim.table.as_ref().unwrap().services[SERVICE] {
        *counts.entry(row.target.to_string()).or_default() += u32::from(row.to - row.from) + 1;
    }
    counts
}

/// Returns the number of keys whose owner is in a zone.
fn keys_in(sim: &SimulatedLeader, zone: &str) -> u32 {
    let is_inside = |id: &str| sim.directory.get(id).is_some_and(|t| *t.entry.zone == *zone);
    key_counts(sim).iter().filter(|(id, _)| is_inside(id)).map(|(_, count)| count).sum()
}

/// Replaces the leader by another one that has read the table and knows the
/// directory.
fn replace_leader(sim: &mut SimulatedLeader) {
    let table = granter::claim(&leader("b"), LEASE_TIMES.duration, sim.table.as_ref(), sim.next_offset);
    let now = at(sim.now);
    sim.granter = Granter::new(LEASE_TIMES, now, now, LEASE_TIMES.duration, &table, sim.next_offset);
    sim.next_offset += 1;
    sim.table = Some(table);
}

/// Returns the directory of a process with one target in zone `x`.
fn small_directory() -> Directory {
    let mut directory = Directory::default();
    directory.put(at(0), zone_entry("x", "t"));
    directory
}

/// A target of an evacuated zone gets no new work from the first moment on, also
/// one that is listed later, and none for its keys well before the bound.
#[test]
fn evacuated_target_stops_in_time() {
    let mut directory = small_directory();
    assert!(directory.evacuate(at(2_400), "x", at(1_000)));
    assert!(!directory.evacuate(at(9_000), "x", at(8_000)), "it is known already");
    directory.put(at(2_500), zone_entry("x", "later"));
    directory.put(at(2_500), zone_entry("y", "other"));
    for id in ["t", "later"] {
        let target = directory.get(id).unwrap();
        assert!(!target.is_open());
        // The process may have learnt it late, but the operator knows the start.
        assert!(target.serves_keys(at(4_000)));
        assert!(!target.serves_keys(at(1_000 + BOUND_MS - 500)));
    }
    assert!(directory.get("other").unwrap().is_open());
}

/// A process that starts during an evacuation can't know how long it has lasted.
#[test]
fn process_that_starts_late_serves_no_keys_there() {
    let mut directory = small_directory();
    directory.evacuate(at(60_000), "x", at(0));
    assert!(!directory.get("t").unwrap().serves_keys(at(60_000)));
}

/// Targets that come back at once get no load that they can't take: they are
/// cold until their entry says otherwise. A listing may be older than that.
#[test]
fn readmitted_targets_are_cold() {
    let mut directory = small_directory();
    directory.put(at(0), zone_entry("y", "other"));
    directory.put(at(0), Entry { cold_left: Span::from_secs(90), ..zone_entry("x", "colder") });
    let cold_time = |_: &str| Span::from_secs(30);
    assert!(!directory.readmit(at(500), "x", cold_time), "it is not evacuated");
    directory.evacuate(at(1_000), "x", at(1_000));
    assert!(directory.readmit(at(20_000), "x", cold_time));
    let cold_until = |directory: &Directory, id: &str| directory.get(id).unwrap().cold_until;
    assert_eq!(cold_until(&directory, "t"), at(50_000));
    assert_eq!(cold_until(&directory, "colder"), at(90_000));
    assert_eq!(cold_until(&directory, "other"), at(0));
    assert!(directory.get("t").unwrap().is_open());
    directory.put_listed(at(21_000), zone_entry("x", "t"));
    assert_eq!(cold_until(&directory, "t"), at(50_000));
    directory.put(at(22_000), zone_entry("x", "t"));
    assert_eq!(cold_until(&directory, "t"), at(22_000));
}

/// All keys leave the zone in time, but not all in one moment: keys that are
/// released together would have no owner together, and the targets that get them
/// would get the load of a zone at once.
#[test]
fn keys_leave_the_zone_one_target_after_the_other() {
    let mut sim = start();
    let owned = keys_in(&sim, "x");
    let share = (1 << 16) / (3 * ZONE_TARGETS as u32);
    evacuate(&mut sim, "x");
    let until = sim.now + BOUND_MS / 2;
    let mut steps = Vec::new();
    while sim.now < until {
        let before = key_counts(&sim);
        let left = keys_in(&sim, "x");
        sim.run(50, accept);
        steps.push(left - keys_in(&sim, "x"));
        for (id, count) in key_counts(&sim) {
            let gained = count.saturating_sub(before.get(&id).copied().unwrap_or(0));
            assert!(gained <= share, "{id} got {gained} keys at once, its share is {share}");
        }
    }
    assert_eq!(keys_in(&sim, "x"), 0);
    assert!(steps.iter().all(|step| *step <= owned / 2), "{steps:?} of {owned} keys moved");
    assert!(steps.iter().filter(|step| **step > 0).count() >= 4, "{steps:?}");
    let counts = key_counts(&sim);
    assert!(counts.values().all(|count| *count < 3 * share), "{counts:?}");
}

/// Targets that are cold can't take the keys of a zone, if others can.
#[test]
fn cold_targets_get_no_keys_of_the_zone() {
    let mut sim = start();
    for i in (1..3 * ZONE_TARGETS).step_by(9) {
        let cold =
            Entry { cold_left: Span::from_secs(60), ..zone_entry(["x", "y", "z"][i % 3], &format!("t{i}")) };
        sim.directory.put(at(sim.now), cold);
    }
    let before = key_counts(&sim);
    evacuate(&mut sim, "x");
    sim.run(BOUND_MS / 2, accept);
    assert_eq!(keys_in(&sim, "x"), 0);
    let after = key_counts(&sim);
    for i in (1..3 * ZONE_TARGETS).step_by(9).map(|i| format!("t{i}")) {
        assert!(after.get(&i) <= before.get(&i), "{i} is cold and got keys");
    }
}

/// Released keys have no owner until the store takes the next table, so without
/// it the owners keep them.
#[test]
fn keys_stay_while_the_store_is_unavailable() {
    let mut sim = start();
    let before = keys_in(&sim, "x");
    evacuate(&mut sim, "x");
    sim.reaches_store = false;
    let commands = sim.run(10_000, accept);
    assert!(commands.iter().all(|command| command.action != Action::Release));
    assert_eq!(keys_in(&sim, "x"), before);
    assert!(sim.granter.are_all_granted());
    sim.reaches_store = true;
    sim.run(1_000, accept);
    assert_eq!(keys_in(&sim, "x"), 0);
}

/// A store that does not answer a write is noticed only later. No further keys
/// are released meanwhile.
#[test]
fn no_keys_are_released_while_a_record_is_written() {
    let mut sim = start();
    evacuate(&mut sim, "x");
    let mut released = 0;
    for _ in 0..60 {
        sim.granter.note_store_contact(at(sim.now));
        let steps = sim.granter.tick(at(sim.now), &[SERVICE.into()], &sim.directory, &sim.loads);
        for step in steps {
            // No write is ever answered.
            let granter::Step::Send(command) = step else { continue };
            released +=
                u32::from(command.action == Action::Release) * (u32::from(command.to - command.from) + 1);
            sim.granter.command_ended(at(sim.now), command.ticket, Outcome::Done(None));
        }
        sim.advance(50);
    }
    assert!(released > 0 && released <= keys_in(&sim, "x") / 2, "{released} keys have no owner");
}

/// The zones of an evacuation and the table of owners are all that a next leader
/// needs to go on.
#[test]
fn next_leader_goes_on() {
    let mut sim = start();
    evacuate(&mut sim, "x");
    let began = sim.now;
    sim.run(700, accept);
    let left = keys_in(&sim, "x");
    assert!(left > 0);
    replace_leader(&mut sim);
    sim.run(BOUND_MS / 2 - 700, accept);
    assert_eq!(keys_in(&sim, "x"), 0);
    assert!(sim.now - began <= BOUND_MS / 2);
}

/// Without another zone the owners keep their keys; the first zone that comes
/// back gets all of them.
#[test]
fn keys_stay_if_all_zones_are_evacuated() {
    let mut sim = start();
    for zone in ["x", "y", "z", "without-targets"] {
        evacuate(&mut sim, zone);
    }
    let before = key_counts(&sim);
    sim.run(8_000, accept);
    assert_eq!(key_counts(&sim), before);
    assert!(sim.granter.are_all_granted());
    let target = sim.directory.get("t0").unwrap();
    assert!(!target.serves_keys(at(sim.now)) && !target.is_open());
    assert!(sim.directory.readmit(at(sim.now), "y", |_| Span::ZERO));
    sim.run(2_000, accept);
    assert_eq!(keys_in(&sim, "y"), 1 << 16);
}

/// An evacuation that is withdrawn in the middle and repeated ends as any other.
#[test]
fn zone_is_evacuated_again() {
    let mut sim = start();
    for _ in 0..3 {
        evacuate(&mut sim, "x");
        sim.run(600, accept);
        assert!(sim.directory.readmit(at(sim.now), "x", |_| Span::ZERO));
        sim.run(100, accept);
    }
    assert!(keys_in(&sim, "x") > 0);
    evacuate(&mut sim, "x");
    sim.run(BOUND_MS / 2, accept);
    assert_eq!(keys_in(&sim, "x"), 0);
}

/// A target that fails a release keeps its lease, and its keys wait for the end
/// of that. The keys of the others move all the same.
#[test]
fn silent_target_does_not_delay_the_others() {
    let mut sim = start();
    evacuate(&mut sim, "x");
    let silent = |c: &Command| match &*c.incarnation.id {
        "t0" => Some(Outcome::Unknown),
        _ => Some(Outcome::Done(None)),
    };
    sim.run(BOUND_MS / 2, silent);
    assert_eq!(keys_in(&sim, "x"), key_counts(&sim).get("t0").copied().unwrap_or(0));
    sim.run(4_000, silent);
    assert_eq!(keys_in(&sim, "x"), 0);
    assert!(!sim.granter.ranges(SERVICE).iter().any(|r| r.row.incarnation() == incarnation("t0", 1)));
}

/// Processes of the zone prefer its targets. Once these get nothing, the few
/// others that a process considered with them would get its whole load.
#[test]
fn evacuated_targets_are_considered_last() {
    let mut sim = start();
    let mut subsets = Subsets::new("vm".into(), "x".into());
    let before = subsets.ranked(&sim.directory, SERVICE);
    evacuate(&mut sim, "x");
    let ranked = subsets.ranked(&sim.directory, SERVICE);
    let is_open = |id: &&std::sync::Arc<str>| sim.directory.get(id).unwrap().is_open();
    assert!(ranked.iter().take(2 * ZONE_TARGETS).all(|id| is_open(&id)));
    assert!(sim.directory.readmit(at(sim.now), "x", |_| Span::ZERO));
    assert_eq!(subsets.ranked(&sim.directory, SERVICE), before);
}
