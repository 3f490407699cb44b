//! Keys whose owner has stopped responding.

mod common;

use {
    catkin_route::{
        granter::{Action, Command, Outcome},
        vacancy::{Vacancies, Vacancy},
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

/// Returns the ranges of target `a` with the time until they have another owner, as
/// told.
fn told(sim: &SimulatedLeader) -> Vec<Vacancy> {
    let ranges = sim.granter.ranges(SERVICE);
    let is_of_a = |v: &Vacancy| ranges.iter().any(|r| r.row.from == v.from && &*r.row.target == "a");
    sim.granter.vacancies(at(sim.now), &sim.directory).into_iter().filter(is_of_a).collect()
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
        // The grants of one half of the ranges were lost with their connections.
        for (i, command) in unanswered.into_iter().enumerate() {
            let outcome = if i % 2 == 0 { Outcome::Unknown } else { Outcome::Undelivered };
            sim.granter.command_ended(at(sim.now), command.ticket, outcome);
        }
        let (told_at, mut told) = (sim.now, told(&sim));
        assert_eq!(told.len(), owned(&sim, "a"));
        while !told.is_empty() {
            let commands = sim.run(50, |command| (!is_for_a(command)).then_some(Outcome::Done(None)));
            assert!(!commands.iter().any(is_for_a), "{commands:?}");
            assert!(sim.now < stopped_at + 8_000);
            let ranges = sim.granter.ranges(SERVICE);
            let has_moved = |v: &Vacancy| {
                ranges.iter().any(|r| r.row.from <= v.from && v.to <= r.row.to && &*r.row.target != "a")
            };
            for vacancy in told.extract_if(.., |v| has_moved(v)) {
                let (told, took) = (vacancy.rest().as_millis(), sim.now - told_at);
                println!("grant in progress {in_progress}: told {told} ms, took {took} ms");
                assert!(told.abs_diff(took) < ERROR_MAX_MS, "told {told} ms, took {took} ms");
            }
        }
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
    assert!(!told(&sim).is_empty());
    sim.directory.set_silent(&[]);
    assert!(told(&sim).is_empty());
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
    let (first, mut known) = (list[0].clone(), Vacancies::default());
    known.learn(at(1_000), list.clone());
    let end = Some(at(1_000).after(first.rest()));
    assert_eq!(known.end(at(1_100), SERVICE, first.from), end);
    assert_eq!(known.end(at(1_100), SERVICE, first.to), end);
    assert_eq!(known.end(at(1_100), "other", first.from), None);
    assert_eq!(known.end(at(2_600), SERVICE, first.from), None, "the leader says nothing more");
    known.learn(at(2_000), list);
    known.learn(at(2_100), Vec::new());
    assert_eq!(known.end(at(2_100), SERVICE, first.from), None);
}
