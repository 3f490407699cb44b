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
