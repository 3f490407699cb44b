//! Losses in virtual time: how long slices are without service, and that
//! nothing moves without need.

mod sim;

use sim::Sim;

const VMS: usize = 3;
const SERVERS: usize = 6;
const SLICES: u32 = 24;
const LIMIT_MS: u64 = 1_000;

fn start() -> Sim {
    let sim = Sim::new(VMS, SERVERS, SLICES, true);
    assert_eq!(served(&sim), [true; SLICES as usize]);
    sim
}

/// Returns which slices are served. Checks that none has two holders.
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

/// Runs for a time and returns the longest time that any slice was without
/// service.
fn watch(sim: &mut Sim, ms: u64) -> u64 {
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

/// Guards against a slow takeover while the log works.
#[test]
fn lost_server_is_replaced_within_the_limit() {
    let mut longest = 0;
    for phase in 0..5 {
        let mut sim = start();
        sim.run(phase * 20);
        sim.servers[0].up = false;
        longest = longest.max(watch(&mut sim, 2_000));
        assert!(sim.owned(0).is_empty(), "the log names other owners");
    }
    println!("log up: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against a slow takeover while the log is down, and against a
/// provisional move that is never logged.
#[test]
fn lost_server_is_replaced_while_the_log_is_down() {
    let mut longest = 0;
    for phase in 0..5 {
        let mut sim = start();
        sim.run(phase * 20);
        sim.log_up = false;
        sim.run(1_000);
        sim.servers[0].up = false;
        longest = longest.max(watch(&mut sim, 2_000));
        assert_eq!(sim.owned(0).len(), 4, "the log still names the lost server");
        sim.log_up = true;
        let gap = watch(&mut sim, 2_000);
        assert!(sim.owned(0).is_empty(), "the moves are durable");
        assert!(gap <= 100, "becoming durable takes {gap} ms of service");
    }
    println!("log down: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against moves or lapses that only the log's failure causes.
#[test]
fn nothing_moves_when_only_the_log_fails() {
    let mut sim = start();
    let assigns = sim.assigns();
    sim.log_up = false;
    assert_eq!(watch(&mut sim, 5_000), 0, "every slice is served at every moment");
    sim.log_up = true;
    assert_eq!(watch(&mut sim, 1_000), 0);
    assert_eq!(sim.assigns(), assigns, "no slice was assigned");
}

/// Guards against a takeover that waits for the list although the servers
/// answer.
#[test]
fn lost_keeper_is_replaced_within_the_limit() {
    let mut sim = start();
    sim.vms[1].up = false;
    sim.run(300);
    [0, 3].into_iter().for_each(|server| sim.claim(2, server));
    let longest = 300 + watch(&mut sim, 2_000);
    println!("keeper lost: {longest} ms without service, 300 ms of them until it is suspected");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against a keeper that takes its own pause for the loss of all its
/// servers.
#[test]
fn paused_keeper_moves_nothing_when_it_wakes() {
    let mut sim = start();
    let assigns = sim.assigns();
    sim.vms[1].paused = true;
    sim.run(5_000);
    sim.vms[1].paused = false;
    let longest = watch(&mut sim, 1_000);
    println!("after a pause: {longest} ms without service");
    assert_eq!(sim.assigns(), assigns, "no slice was assigned");
}

/// Guards against a frozen server that serves its old slices again, and
/// against a keeper that leaves it without a lease.
#[test]
fn frozen_server_comes_back_without_its_slices() {
    let mut sim = start();
    sim.servers[0].up = false;
    watch(&mut sim, 3_000);
    sim.servers[0].up = true;
    assert_eq!(watch(&mut sim, 1_000), 0, "its return disturbs nothing");
    assert!(sim.owned(0).is_empty());
    let target = sim.servers[0].id.clone();
    let now = catkin::types::Time::from_micros(sim.now * 1_000);
    assert!(sim.vms[1].keeper.admit(now, &target, None).is_ok(), "it has a lease again");
}

/// Guards against a zone loss that needs the list: one zone has a server and
/// the keeper of others.
#[test]
fn lost_zone_is_replaced_within_the_limit() {
    let mut sim = start();
    sim.servers[0].up = false;
    sim.servers[3].up = false;
    sim.vms[0].up = false;
    sim.run(300);
    [2, 5].into_iter().for_each(|server| sim.claim(1, server));
    let longest = 300 + watch(&mut sim, 2_000);
    println!("zone lost: {longest} ms without service, 300 ms of them until it is suspected");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}

/// Guards against a server and its keeper that are lost together: their
/// slices wait for the list and are served then.
#[test]
fn lost_server_and_keeper_wait_for_the_list() {
    let mut sim = start();
    sim.servers[0].up = false;
    sim.vms[1].up = false;
    sim.run(300);
    [0, 3].into_iter().for_each(|server| sim.claim(2, server));
    sim.run(2_000);
    assert!(!served(&sim)[0], "nobody knows that the server has stopped");
    sim.gone.insert(0);
    let longest = watch(&mut sim, 1_000);
    println!("after the list: {longest} ms without service");
    assert!(longest <= LIMIT_MS, "{longest} ms");
}
