//! Failures in virtual time: how long slices are not served, and that nothing
//! moves without need.

mod sim;

use {
    catkin::{
        api::FencedSlice,
        lease::Holder,
        record::{Move, SplitOff},
        types::{Key, SliceId, Version},
    },
    sim::Sim,
};

const VMS: usize = 3;
const SERVERS: usize = 6;
const SLICES: u32 = 24;
const LIMIT_MS: u64 = 1_000;
/// Longest deadline in the default policy, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

fn start() -> Sim {
    let sim = Sim::new(VMS, SERVERS, SLICES, true);
    assert_eq!(served(&sim), [true; SLICES as usize]);
    sim
}

/// Returns which slices are served, and checks that none has two holders.
fn served(sim: &Sim) -> [bool; SLICES as usize] {
    let mut holders = [0; SLICES as usize];
    let mut served = [false; SLICES as usize];
    for (server, held) in sim.holdings() {
        let slice = held.slice.0 as usize;
        holders[slice] += 1;
        assert_eq!(holders[slice], 1, "slice {slice} has two holders at {}", sim.now);
        served[slice] = sim.is_served(server, held);
    }
    served
}

/// Runs for a time and returns the longest time in milliseconds for which any
/// slice was not served.
fn longest_gap(sim: &mut Sim, ms: u64) -> u64 {
    let mut gaps = [0; SLICES as usize];
    let mut longest = 0;
    sim.run_with(ms, |sim| {
        for (gap, served) in gaps.iter_mut().zip(served(sim)) {
            *gap = if served { 0 } else { *gap + 1 };
            longest = longest.max(*gap);
        }
    });
    assert_eq!(gaps, [0; SLICES as usize], "a slice is not served at the end");
    longest
}

/// Guards against a slow failover while the log is available.
#[test]
fn lost_server_is_replaced_within_the_limit() {
    let mut longest = 0;
    for phase in 0..5 {
        let mut sim = start();
        sim.run(phase * 20);
        sim.servers[0].reachable = false;
        longest = longest.max(longest_gap(&mut sim, 2_000));
        assert!(sim.owned(0).is_empty(), "the log names other owners");
    }
    println!("log available: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against a slow failover while the log is unavailable, and against a
/// provisional failover that is never logged.
#[test]
fn lost_server_is_replaced_while_the_log_is_down() {
    let mut longest = 0;
    for phase in 0..5 {
        let mut sim = start();
        sim.run(phase * 20);
        sim.log_up = false;
        sim.run(1_000);
        sim.servers[0].reachable = false;
        longest = longest.max(longest_gap(&mut sim, 2_000));
        assert_eq!(sim.owned(0).len(), 4, "the log still names the failed server");
        sim.log_up = true;
        let gap = longest_gap(&mut sim, 2_000);
        assert!(sim.owned(0).is_empty(), "the moves are durable");
        assert!(gap <= 100, "logging the moves interrupts service for {gap} ms");
    }
    println!("log unavailable: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against moves and expired leases that are caused by an outage of the
/// log alone.
#[test]
fn nothing_moves_when_only_the_log_fails() {
    let mut sim = start();
    let assigns = sim.assigns();
    sim.log_up = false;
    assert_eq!(longest_gap(&mut sim, 5_000), 0, "every slice is served at every moment");
    sim.log_up = true;
    assert_eq!(longest_gap(&mut sim, 1_000), 0);
    assert_eq!(sim.assigns(), assigns, "no slice was assigned");
}

/// Guards against a new keeper that waits for the VM list although the servers
/// answer.
#[test]
fn lost_keeper_is_replaced_within_the_limit() {
    let mut sim = start();
    sim.vms[1].up = false;
    sim.run(300);
    [0, 3].into_iter().for_each(|server| sim.claim(2, server));
    let longest = 300 + longest_gap(&mut sim, 2_000);
    println!("keeper failed: {longest} ms without service, 300 ms of them until its servers are claimed");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against a keeper that counts all its servers as unreachable after a
/// pause of its own process.
#[test]
fn paused_keeper_moves_nothing_when_it_wakes() {
    let mut sim = start();
    let assigns = sim.assigns();
    sim.vms[1].paused = true;
    sim.run(5_000);
    sim.vms[1].paused = false;
    let longest = longest_gap(&mut sim, 1_000);
    println!("after a pause: {longest} ms without service");
    assert_eq!(sim.assigns(), assigns, "no slice was assigned");
}

/// Guards against a wait for the VM list when only the keeper's process
/// restarted: its last renewal bounds the lease.
#[test]
fn lost_server_whose_keeper_restarts_is_replaced_within_the_limit() {
    let mut sim = start();
    sim.servers[0].reachable = false;
    sim.restart(1);
    let longest = longest_gap(&mut sim, 2_000);
    println!("keeper restarted: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against a server that serves its old slices again when it becomes
/// reachable, and against a keeper that does not renew its lease then.
#[test]
fn frozen_server_comes_back_without_its_slices() {
    let mut sim = start();
    sim.servers[0].reachable = false;
    longest_gap(&mut sim, 3_000);
    sim.servers[0].reachable = true;
    assert_eq!(longest_gap(&mut sim, 1_000), 0, "its return disturbs nothing");
    assert!(sim.owned(0).is_empty());
    let target = sim.servers[0].id.clone();
    let now = catkin::types::Time::from_micros(sim.now * 1_000);
    assert!(sim.vms[1].keeper.admit(now, &target, None).is_ok(), "it has a lease again");
}

/// Guards against a failover after a zone failure that waits for the VM list.
/// The zone has servers and the keeper of others.
#[test]
fn lost_zone_is_replaced_within_the_limit() {
    let mut sim = start();
    sim.servers[0].reachable = false;
    sim.servers[3].reachable = false;
    sim.vms[0].up = false;
    sim.run(300);
    [2, 5].into_iter().for_each(|server| sim.claim(1, server));
    let longest = 300 + longest_gap(&mut sim, 2_000);
    println!("zone failed: {longest} ms without service, 300 ms of them until its servers are claimed");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against a failover without proof when a server and its keeper fail
/// together: the slices are not served until the VM list drops the server, and
/// soon after.
#[test]
fn lost_server_and_keeper_wait_for_the_list() {
    let mut sim = start();
    sim.servers[0].reachable = false;
    sim.vms[1].up = false;
    sim.run(300);
    [0, 3].into_iter().for_each(|server| sim.claim(2, server));
    sim.run(2_000);
    assert!(!served(&sim)[0], "no process knows that the server has stopped");
    sim.removed.insert(0);
    sim.run(900);
    assert!(!served(&sim)[0], "a replica of the list may lag");
    let longest = longest_gap(&mut sim, 1_000);
    println!("after the list: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against two gateways that send to one target that checks no fences,
/// and against a new keeper that assumes that an unreachable old one has
/// stopped.
#[test]
fn unfenced_target_waits_for_its_old_keeper() {
    let mut sim = Sim::new(VMS, SERVERS, SLICES, false);
    sim.run(3_000);
    assert_eq!(served(&sim), [true; SLICES as usize]);
    sim.vms[1].paused = true;
    sim.claim(2, 0);
    sim.claim(2, 3);
    sim.run(10_000);
    assert!(!served(&sim)[0], "the old keeper has not answered and its VM is listed");
    sim.vms[1].paused = false;
    sim.run(DEADLINE_MS - 100);
    assert!(!served(&sim)[0], "requests that the old keeper sent may still run");
    sim.run(500);
    assert_eq!(served(&sim), [true; SLICES as usize]);
}

/// Guards against moving a slice of a target that checks no fences while a
/// request with the longest deadline may still run there.
#[test]
fn unfenced_slice_moves_after_the_longest_deadline() {
    let mut sim = Sim::new(VMS, SERVERS, SLICES, false);
    sim.run(3_000);
    sim.servers[0].reachable = false;
    let mut last = sim.now;
    let mut first = None;
    sim.run_with(4_000, |sim| {
        let target = &sim.servers[0].id;
        let row = sim.vms[1].state.row(&sim::service(), SliceId(0)).unwrap();
        let fence = if row.owner == *target { row.fence } else { row.previous.clone().unwrap().1 };
        if sim.vms[1].keeper.admit(sim::time(sim.now), target, Some((SliceId(0), fence))).is_ok() {
            last = sim.now;
        }
        if first.is_none() && served(sim)[0] {
            first = Some(sim.now);
        }
    });
    let gap = first.expect("the slice is served again") - last;
    println!("unfenced: {gap} ms from the last request to the first one elsewhere");
    assert!(gap >= DEADLINE_MS, "{gap} ms");
}

/// Guards against a move that interrupts a long upload: the new owner gets the
/// slice when the old one reports that the upload has finished.
#[test]
fn planned_move_waits_for_running_work() {
    let mut sim = start();
    let now = sim::time(sim.now);
    let row = sim.vms[1].state.row(&sim::service(), SliceId(0)).unwrap().clone();
    let held = FencedSlice { slice: SliceId(0), fence: row.fence };
    let ticket = sim.servers[0].holder.admit(now, held).unwrap();
    let owner = sim.servers[0].id.clone();
    let change = Move {
        slice: SliceId(0),
        expects: row.version,
        owner: sim.servers[1].id.clone(),
        standby: None,
        provisional: None,
    };
    let change = sim.vms[1].keeper.move_slice(now, &sim::service(), &owner, change).unwrap();
    sim.push(1, change);
    sim.run(3_000);
    assert!(!served(&sim)[0], "the upload runs");
    sim.servers[0].holder.finish(ticket);
    sim.run(300);
    assert!(served(&sim)[0], "the upload has ended");
}

/// Guards against a key that two servers serve: the slice of a split-off key
/// moves only when the slice that held the key before has its new fence.
#[test]
fn carved_key_moves_after_its_old_slice_is_fenced() {
    let mut sim = start();
    let key: Key = "hot".parse().unwrap();
    let old = sim.vms[0].state.slice(&sim::service(), &key).unwrap();
    let row = sim.vms[0].state.row(&sim::service(), old).unwrap().clone();
    let server = sim.servers.iter().position(|server| server.id == row.owner).unwrap();
    let vm = (server + 1) % VMS;
    let split_off = SplitOff { service: sim::service(), key: key.clone(), expects: row.version };
    let change = sim.vms[vm].keeper.split_off(sim::time(sim.now), &row.owner, old, split_off).unwrap();
    sim.push(vm, change);
    sim.run(500);
    let slice = sim.vms[vm].state.slice(&sim::service(), &key).unwrap();
    assert_ne!(slice, old);
    let now = sim::time(sim.now);
    let stale = FencedSlice { slice: old, fence: row.fence };
    assert!(sim.servers[server].holder.admit(now, stale).is_err(), "the old fence no longer serves the key");
    let to = (server + 1) % SERVERS;
    let change = Move {
        slice,
        expects: Version(1),
        owner: sim.servers[to].id.clone(),
        standby: None,
        provisional: None,
    };
    let change = sim.vms[vm].keeper.move_slice(now, &sim::service(), &row.owner, change).unwrap();
    sim.push(vm, change);
    sim.run(500);
    let holders: Vec<usize> =
        sim.holdings().iter().filter(|(_, h)| h.slice == slice).map(|(n, _)| *n).collect();
    assert_eq!(holders, [to]);
}

/// Guards against a restarted server that waits for the expiry of its old
/// lease, and against commands for the old incarnation.
#[test]
fn restarted_server_serves_again_at_once() {
    let mut sim = start();
    sim.servers[0].holder = Holder::new(sim.servers[0].id.clone(), 2);
    let longest = longest_gap(&mut sim, 1_000);
    println!("restart: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against renewals that grow with the number of slices. Prints the
/// bytes of the JSON bodies, without HTTP heads.
#[test]
fn renewals_do_not_grow_with_slices() {
    let rate = |slices| {
        let mut sim = Sim::new(1, 20, slices, true);
        sim.traffic.clear();
        sim.run(10_000);
        println!("{slices} slices, 20 servers, 10 s: {:?}", sim.traffic);
        assert!(!sim.traffic.contains_key("other"), "an idle keeper only renews");
        sim.traffic["renew"]
    };
    let (few, many) = (rate(40), rate(8_192));
    assert_eq!(few.0, many.0);
    println!("{} bytes of commands and answers per second", many.1 / 10);
    assert!(many.1 <= few.1 + few.1 / 20, "{few:?} {many:?}");
}
