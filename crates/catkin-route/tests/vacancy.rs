//! Keys whose owner has stopped responding.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        granter::{Action, Command, Outcome},
        vacancy::Vacancies,
    },
    common::{SERVICE, SimulatedLeader, accept, at, incarnation},
};

/// Error of the told time that a caller with 3 s left tolerates.
const ERROR_MAX_MS: u64 = 350;

fn start() -> SimulatedLeader {
    let mut sim = SimulatedLeader::new(&["a", "b", "c"]);
    sim.run(6_000, accept);
    assert!(owned(&sim, "a") > 0);
    sim
}

fn owned(sim: &SimulatedLeader, id: &str) -> usize {
    sim.granter.ranges(SERVICE).iter().filter(|range| &*range.row.target == id).count()
}

/// Returns the time until the keys of target `a` have another owner, as told.
fn told(sim: &SimulatedLeader) -> Option<Span> {
    let list = sim.granter.vacancies(at(sim.now), &sim.directory);
    list.iter().find(|vacancy| &*vacancy.incarnation.id == "a").map(|vacancy| vacancy.rest())
}

fn is_for_a(command: &Command) -> bool {
    &*command.incarnation.id == "a"
}

/// The owner stops while a grant is in progress or between two. A renewal that it
/// does not answer may still be carried out and would extend its lease: it gets
/// none, so that its keys soon have another owner, when the processes were told
/// that they would.
#[test]
fn keys_of_a_silent_owner_move_when_its_lease_ends() {
    for in_progress in [false, true] {
        let mut sim = start();
        let stopped_at = sim.now;
        let silent = [incarnation("a", 1)];
        let mut unanswered = Vec::new();
        if in_progress {
            let commands = sim.run(800, |command| (!is_for_a(command)).then_some(Outcome::Done(None)));
            unanswered = commands.into_iter().filter(is_for_a).collect();
            assert!(!unanswered.is_empty());
        }
        sim.directory.set_silent(&silent);
        sim.run(100, |command| (!is_for_a(command)).then_some(Outcome::Done(None)));
        for command in unanswered {
            sim.granter.command_ended(at(sim.now), command.ticket, Outcome::Unknown);
        }
        let (told_at, told) = (sim.now, told(&sim).expect("the leases end at a known time").as_millis());
        while owned(&sim, "a") > 0 {
            let commands = sim.run(50, |command| (!is_for_a(command)).then_some(Outcome::Done(None)));
            assert!(!commands.iter().any(is_for_a), "{commands:?}");
            assert!(sim.now < stopped_at + 8_000);
        }
        let took = sim.now - told_at;
        println!(
            "grant in progress {in_progress}: told {told} ms, took {took} ms, {} ms after it stopped",
            sim.now - stopped_at
        );
        assert!(told.abs_diff(took) < ERROR_MAX_MS, "told {told} ms, took {took} ms");
    }
}

/// An owner that answers again before its lease ends keeps its keys, and is granted
/// them again at once.
#[test]
fn owner_that_answers_again_keeps_its_keys() {
    let mut sim = start();
    let before = owned(&sim, "a");
    sim.directory.set_silent(&[incarnation("a", 1)]);
    let commands = sim.run(2_000, accept);
    assert!(!commands.iter().any(is_for_a));
    assert!(told(&sim).is_some());
    sim.directory.set_silent(&[]);
    assert!(told(&sim).is_none());
    let commands = sim.run(100, accept);
    assert!(commands.iter().any(|c| is_for_a(c) && matches!(c.action, Action::Grant { .. })));
    sim.run(4_000, accept);
    assert_eq!(owned(&sim, "a"), before);
}

/// A release that the owner does not answer must not keep its keys without an owner
/// for longer than the lease.
#[test]
fn release_by_a_silent_owner_ends() {
    let mut sim = start();
    let range = sim.granter.ranges(SERVICE).into_iter().find(|range| &*range.row.target == "a").unwrap().row;
    assert!(sim.granter.begin_move(SERVICE, range.from, range.to, incarnation("b", 1)));
    sim.directory.set_silent(&[incarnation("a", 1)]);
    sim.run(6_000, |command| if is_for_a(command) { Some(Outcome::Unknown) } else { accept(command) });
    assert_eq!(owned(&sim, "a"), 0);
}

/// What the leader has told holds until it is due or too old: a request is not
/// refused for keys that have another owner by now.
#[test]
fn told_time_ends() {
    let mut sim = start();
    sim.directory.set_silent(&[incarnation("a", 1)]);
    let list = sim.granter.vacancies(at(sim.now), &sim.directory);
    let (mut known, a) = (Vacancies::default(), incarnation("a", 1));
    known.learn(at(1_000), &list);
    assert_eq!(known.end(at(1_100), &a), Some(at(1_000).after(list[0].rest())));
    assert_eq!(known.end(at(1_100), &incarnation("b", 1)), None);
    assert_eq!(known.end(at(2_600), &a), None, "the leader says nothing more");
    known.learn(at(2_000), &list);
    known.learn(at(2_100), &[]);
    assert_eq!(known.end(at(2_100), &a), None);
}
