//! Moves of keys between targets by load.

mod common;

use {
    catkin_route::balance,
    common::{SERVICE, SimulatedLeader, accept, at},
};

/// If the number of moves in a round did not grow with the number of targets,
/// the busy targets of a large fleet would stay busy for many seconds.
#[test]
fn moves_grow_with_the_fleet() {
    let ids: Vec<String> = (0..160).map(|i| format!("t{i:03}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut sim = SimulatedLeader::new(&ids);
    sim.run(3_000, accept);
    // Load on a third of the keys makes a third of the targets busy.
    for key in 0..20_000 {
        sim.loads.add_requests(&SERVICE.into(), key, 0.5);
    }
    let moves = balance::plan(at(sim.now), SERVICE, &sim.granter, &sim.directory, &sim.loads);
    assert!(moves.len() >= 16, "{} moves", moves.len());
    assert!(moves.len() <= 40, "{} moves", moves.len());
}

/// The most used target has one key that causes all of its load, which no other
/// target would serve better. If the round ended there, other busy targets would
/// stay as they are for as long as the key is hot.
#[test]
fn key_that_must_stay_holds_up_no_other_moves() {
    let ids: Vec<String> = (0..40).map(|i| format!("t{i:03}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut sim = SimulatedLeader::new(&ids);
    sim.run(3_000, accept);
    let service = SERVICE.into();
    sim.loads.add_requests(&service, 65_000, 400.0);
    for key in 0..10_000 {
        sim.loads.add_requests(&service, key, 0.6);
    }
    // The hot key gets a target of its own.
    for _ in 0..20 {
        let moves = balance::plan(at(sim.now), SERVICE, &sim.granter, &sim.directory, &sim.loads);
        let hottest: Vec<_> = moves.iter().filter(|m| m.from > 60_000).cloned().collect();
        for next in hottest {
            sim.granter.begin_move(SERVICE, next.from, next.to, next.dest);
        }
        sim.run(200, accept);
    }
    let moves = balance::plan(at(sim.now), SERVICE, &sim.granter, &sim.directory, &sim.loads);
    assert!(moves.iter().all(|m| m.from > 65_000 || m.to < 65_000), "{moves:?}");
    assert!(moves.iter().filter(|m| m.to < 10_000).count() >= 3, "{moves:?}");
}
