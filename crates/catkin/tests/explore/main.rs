//! Exhaustive exploration of the ownership rules in a small model.
//!
//! The search runs the real decision code of two keepers and two targets, and
//! a fold per VM. It tries a bounded number of faults at all positions in a
//! bounded number of rounds.

mod search;
mod world;

use {
    search::{SearchResult, explore},
    world::{DisabledGuard, World, service, slice},
};

const ROUNDS: usize = 4;
const FAULTS: usize = 2;
const RECOVERY_ROUNDS: usize = 12;

type Start = fn(DisabledGuard) -> World;

const STARTS: [(&str, Start); 10] = [
    ("granted", |disabled| World::new(disabled, 1)),
    ("ungranted", |disabled| World::ungranted(disabled, 1)),
    ("stale keeper", |disabled| World::stale_keeper(disabled, 1, true)),
    ("stale keeper of both", |disabled| World::stale_keeper(disabled, 0, false)),
    ("moved by the newer keeper", World::moved_by_new_keeper),
    ("duplicated commands", World::duplicated_commands),
    ("log unavailable", World::log_down),
    ("late append", World::late_append),
    ("late failover", World::late_failover),
    ("stale keeper of both without queries", |disabled| World::stale_keeper(disabled, 0, true)),
];

fn number(name: &str, default: usize) -> usize {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

fn check_one_owner(world: &World) -> Result<(), String> {
    if world.serves(0) && world.serves(1) {
        return Err(format!("both servers serve: {:?} and {:?}", world.fence(0), world.fence(1)));
    }
    Ok(())
}

/// Guards against two owners in any schedule. `ROUNDS` and `FAULTS` in the
/// environment deepen the search.
#[test]
fn no_two_servers_serve_a_slice() {
    let (rounds, faults) = (number("ROUNDS", ROUNDS), number("FAULTS", FAULTS));
    let mut states = 0;
    for (name, start) in STARTS {
        let found = explore(&start(DisabledGuard::None), rounds, faults, check_one_owner);
        println!("{name}: {} states explored", found.states);
        assert!(found.violation.is_none(), "{name}: {:?}", found.violation);
        states += found.states;
    }
    println!("{states} states explored");
}

/// Checks that after all faults have ended the owner in the log serves the
/// slice with the logged fence, and that no server served it with a newer
/// non-provisional fence. A provisional fence counts only once it is logged: if
/// both keepers are replaced before that, the owner in the log serves again.
fn check_recovery(world: &World) -> Result<(), String> {
    let served =
        (0..2).filter(|n| world.serves(*n)).filter_map(|n| world.fence(n)).filter(|f| f.step == 0).max();
    let mut world = world.clone();
    world.end_faults(RECOVERY_ROUNDS);
    check_one_owner(&world)?;
    let state = world.full_state();
    let row = state.row(&service(), slice()).ok_or("the assignment is lost")?;
    let owner = usize::from(row.owner == world.servers[1].id);
    if served.is_some_and(|fence| fence > row.fence) {
        return Err(format!("served with {served:?}, the log has {}", row.fence));
    }
    if !world.servers[owner].removed && (!world.serves(owner) || world.fence(owner) != Some(row.fence)) {
        return Err(format!("{} does not serve with fence {}", row.owner, row.fence));
    }
    if world.servers[owner].removed && row.standby.is_some() {
        return Err(format!("{} was removed and its standby does not serve", row.owner));
    }
    Ok(())
}

/// Guards against a lost assignment, and against a slice that is not served
/// after the faults have ended. `ROUNDS` and `HEALED_FAULTS` in the environment
/// deepen the search.
#[test]
fn assignments_survive_and_are_served_again() {
    let (rounds, faults) = (number("ROUNDS", ROUNDS), number("HEALED_FAULTS", 1));
    for (name, start) in STARTS {
        let found = explore(&start(DisabledGuard::None), rounds, faults, check_recovery);
        println!("{name}: {} states checked for recovery", found.states);
        assert!(found.violation.is_none(), "{name}: {:?}", found.violation);
    }
}

/// Searches from one start state with a guard disabled.
fn search_disabled(disabled: DisabledGuard, start: Start, rounds: usize, faults: usize) -> SearchResult {
    explore(&start(disabled), rounds, faults, check_one_owner)
}

/// Checks that the search finds two owners when a guard is disabled.
fn expect_violation(disabled: DisabledGuard, start: Start) {
    let found = search_disabled(disabled, start, 4, 2);
    println!("{disabled:?}: {} states, {:?}", found.states, found.violation);
    assert!(found.violation.is_some(), "{disabled:?} is not needed in this search");
}

#[test]
fn grant_before_the_lapse_gives_two_owners() {
    expect_violation(DisabledGuard::StopCheck, |disabled| World::new(disabled, 1));
}

#[test]
fn lapse_without_clock_margin_gives_two_owners() {
    expect_violation(DisabledGuard::ClockMargin, |disabled| World::new(disabled, 1));
}

#[test]
fn commands_out_of_order_give_two_owners() {
    expect_violation(DisabledGuard::CommandOrder, World::duplicated_commands);
}

#[test]
fn unannounced_keeper_gives_two_owners() {
    expect_violation(DisabledGuard::Announcement, |disabled| World::stale_keeper(disabled, 0, false));
}

#[test]
fn hand_over_by_an_old_keeper_gives_two_owners() {
    expect_violation(DisabledGuard::KeeperFence, |disabled| World::stale_keeper(disabled, 1, true));
}

#[test]
fn command_to_a_new_process_without_the_head_gives_two_owners() {
    expect_violation(DisabledGuard::LogHead, World::moved_by_new_keeper);
}
