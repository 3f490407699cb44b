//! Moves of keys by load.

mod common;

use {
    catkin_route::balance,
    common::{Lead, SERVICE, at, done},
};

/// A fleet whose busy targets can't be relieved for many seconds serves badly
/// meanwhile: the moves of a round grow with the targets.
#[test]
fn moves_grow_with_the_fleet() {
    let ids: Vec<String> = (0..160).map(|i| format!("t{i:03}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut lead = Lead::new(&ids);
    lead.run(3_000, done);
    // Load on a third of the keys: a third of the targets is busy.
    for key in 0..20_000 {
        lead.loads.add(&SERVICE.into(), key, 0.5);
    }
    let moves = balance::plan(at(lead.now), SERVICE, &lead.granter, &lead.directory, &lead.loads);
    assert!(moves.len() >= 16, "{} moves", moves.len());
    assert!(moves.len() <= 40, "{} moves", moves.len());
}
