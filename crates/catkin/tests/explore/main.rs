//! Exhaustive exploration of small cases of the ownership rules.
//!
//! The search runs the real decision code of two keepers and two targets and
//! a fold per VM. It places a bounded number of faults at all places of a
//! bounded number of rounds.

mod search;
mod world;

use {
    search::{Found, explore},
    world::{Without, World, service, slice},
};

const ROUNDS: usize = 4;
const FAULTS: usize = 2;
const HEAL_ROUNDS: usize = 12;

type Start = fn(Without) -> World;

const STARTS: [(&str, Start); 10] = [
    ("granted", |without| World::new(without, 1)),
    ("fresh", |without| World::fresh(without, 1)),
    ("stale keeper", |without| World::stale(without, 1, true)),
    ("stale keeper of both", |without| World::stale(without, 0, false)),
    ("moved by the newer keeper", World::moved),
    ("copied commands", World::copied),
    ("log down", World::log_down),
    ("late append", World::late_append),
    ("late hand-over", World::late_hand_over),
    ("deaf stale keeper of both", |without| World::stale(without, 0, true)),
];

fn number(name: &str, default: usize) -> usize {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

fn one_owner(world: &World) -> Result<(), String> {
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
        let found = explore(&start(Without::Nothing), rounds, faults, one_owner);
        println!("{name}: {} states explored", found.states);
        assert!(found.broken.is_none(), "{name}: {:?}", found.broken);
        states += found.states;
    }
    println!("{states} states explored");
}

/// When all faults have ended, the owner that the log names serves the slice
/// with the logged fence, and no logged fence that was served is newer. A
/// provisional fence counts only once it is logged: when both keepers are
/// replaced before that, the owner in the log serves again.
fn recovers(world: &World) -> Result<(), String> {
    let served =
        (0..2).filter(|n| world.serves(*n)).filter_map(|n| world.fence(n)).filter(|f| f.step == 0).max();
    let mut world = world.clone();
    world.heal(HEAL_ROUNDS);
    one_owner(&world)?;
    let state = world.truth();
    let row = state.row(&service(), slice()).ok_or("the assignment is lost")?;
    let owner = usize::from(row.owner == world.servers[1].id);
    if served.is_some_and(|fence| fence > row.fence) {
        return Err(format!("served with {served:?}, the log has {}", row.fence));
    }
    if !world.servers[owner].gone && (!world.serves(owner) || world.fence(owner) != Some(row.fence)) {
        return Err(format!("{} does not serve with fence {}", row.owner, row.fence));
    }
    if world.servers[owner].gone && row.standby.is_some() {
        return Err(format!("{} has gone and its standby does not serve", row.owner));
    }
    Ok(())
}

/// Guards against an assignment that is lost, and against a slice that stays
/// without service after the faults have ended.
#[test]
fn assignments_survive_and_are_served_again() {
    let (rounds, faults) = (number("ROUNDS", ROUNDS), number("HEALED_FAULTS", 1));
    for (name, start) in STARTS {
        let found = explore(&start(Without::Nothing), rounds, faults, recovers);
        println!("{name}: {} states healed", found.states);
        assert!(found.broken.is_none(), "{name}: {:?}", found.broken);
    }
}

/// Searches from one start and returns what breaks without a guard.
fn break_without(without: Without, start: Start, rounds: usize, faults: usize) -> Found {
    explore(&start(without), rounds, faults, one_owner)
}

/// Shows that the search finds two owners when a guard is missing.
fn expect_broken(without: Without, start: Start) {
    let found = break_without(without, start, 4, 2);
    println!("{without:?}: {} states, {:?}", found.states, found.broken);
    assert!(found.broken.is_some(), "{without:?} is not needed in this search");
}

#[test]
fn grant_before_the_lapse_gives_two_owners() {
    expect_broken(Without::Lapse, |without| World::new(without, 1));
}

#[test]
fn lapse_without_clock_margin_gives_two_owners() {
    expect_broken(Without::Margin, |without| World::new(without, 1));
}

#[test]
fn commands_out_of_order_give_two_owners() {
    expect_broken(Without::Stamps, World::copied);
}

#[test]
fn unannounced_keeper_gives_two_owners() {
    expect_broken(Without::Announcement, |without| World::stale(without, 0, false));
}

#[test]
fn hand_over_by_an_old_keeper_gives_two_owners() {
    expect_broken(Without::KeeperFence, |without| World::stale(without, 1, true));
}

#[test]
fn command_to_a_new_process_without_the_head_gives_two_owners() {
    expect_broken(Without::Head, World::moved);
}
