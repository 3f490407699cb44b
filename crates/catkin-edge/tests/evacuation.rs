//! Evacuated zones, with real processes.
//!
//! The first server of each service is in zone `z`, as the processes are, which
//! prefer it. A request that reaches it
//! later than 5 s after the evacuation is a violation, which the server records.

mod common;

use {
    catkin_standin::users::{StoreMode, evacuate, put_config, withdraw_evacuation},
    common::{Fleet, ProxyMode, Tally, holders::watch_holders, plan},
    nix::sys::signal::Signal,
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Number of edge processes of a test that may lead.
const EDGES: usize = 3;

/// Number of the process that gets its first state from the leader.
const WEAK: usize = 3;

/// Time in which the bound and some requests after it pass, in milliseconds.
const AFTER_BOUND_MS: u64 = 6_500;

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Callers of a fleet, and what they got.
struct Callers {
    stop: Cell<bool>,
    lookups: Tally,
    /// Number of orders that the server of zone `z` has answered.
    orders: Cell<u32>,
}

impl Callers {
    /// Sends lookups and orders to all running processes until they are stopped.
    async fn run(self: Rc<Self>, fleet: Rc<Fleet>) {
        for key in (0..u16::MAX).step_by(997).cycle() {
            for edge in fleet.edges.iter().filter(|edge| !edge.has_ended()) {
                if self.stop.get() {
                    return;
                }
                self.lookups.count(fleet.get(edge, key).await.as_ref());
                let order = fleet.order(edge).await;
                let is_inside = order.is_some_and(|order| order.body.split(' ').nth(1) == Some("s3"));
                self.orders.set(self.orders.get() + u32::from(is_inside));
            }
            sleep(5).await;
        }
    }
}

/// Returns whether the keyed server of zone `z` owns no key.
fn is_empty(fleet: &Fleet) -> bool {
    fleet.table().services["keyed"].iter().all(|row| *row.target != *"s0")
}

/// Waits until a state is reached.
async fn wait_until(within: Duration, what: &str, is_reached: impl Fn() -> bool) {
    let until = Instant::now() + within;
    while !is_reached() {
        assert!(Instant::now() < until, "{what}: not within {within:?}");
        sleep(20).await;
    }
}

/// Starts a fleet with callers, and runs a case beside a watch for keys with two
/// holders.
async fn check(case: impl AsyncFnOnce(&Fleet, &Callers)) {
    let mut fleet = Fleet::start_in(EDGES, &["z", "y", "y"]).await;
    fleet.add_edge("cores: 0.1\nbandwidth: 20\n").await;
    fleet.wait_until_serving(Duration::from_secs(15)).await;
    let fleet = Rc::new(fleet);
    let callers =
        Rc::new(Callers { stop: Cell::new(false), lookups: Tally::default(), orders: Cell::new(0) });
    let stop = Rc::<Cell<bool>>::default();
    let watch = actix_rt::spawn(watch_holders(fleet.clone(), stop.clone()));
    let calls = actix_rt::spawn(callers.clone().run(fleet.clone()));
    sleep(1_000).await;
    assert!(!is_empty(&fleet) && callers.orders.get() > 0, "zone z is not in use");
    case(&fleet, &callers).await;
    stop.set(true);
    callers.stop.set(true);
    calls.await.unwrap();
    watch.await.unwrap();
    fleet.check();
}

/// The zone gets no requests in time, and callers hardly notice. Processes that
/// start during the evacuation know of it, also when no process runs that could
/// tell them. Then the zone is in use again.
#[actix_rt::test]
async fn zone_is_evacuated_and_used_again() {
    check(async |fleet, callers| {
        evacuate(&fleet.store, "z");
        evacuate(&fleet.store, "without-servers");
        wait_until(Duration::from_secs(4), "keys leave the zone", || is_empty(fleet)).await;
        sleep(AFTER_BOUND_MS).await;
        let share = callers.lookups.served_share();
        assert!(share > 0.97, "{share} of the lookups were served");
        let restart = |edge: usize| {
            fleet.edges[edge].kill();
            fleet.edges[edge].restart();
        };
        restart((fleet.leader() + 1) % EDGES);
        restart(WEAK);
        sleep(3_000).await;
        fleet.edges.iter().for_each(common::Edge::kill);
        fleet.store.compact("keyed.op");
        fleet.edges.iter().for_each(common::Edge::restart);
        fleet.wait_until_serving(Duration::from_secs(20)).await;
        sleep(3_000).await;
        // The next leader has not read the record, but listed the topic.
        restart(WEAK);
        sleep(3_000).await;
        assert!(is_empty(fleet), "the zone got keys");
        withdraw_evacuation(&fleet.store, "z");
        let is_used = || !fleet.servers[0].held_ranges().is_empty();
        wait_until(Duration::from_secs(10), "the zone is used again", is_used).await;
        sleep(AFTER_BOUND_MS).await;
        assert!(!is_empty(fleet), "the evacuation came back");
        evacuate(&fleet.store, "z");
        wait_until(Duration::from_secs(4), "keys leave the zone again", || is_empty(fleet)).await;
        sleep(AFTER_BOUND_MS).await;
    })
    .await;
}

/// The next leader moves the keys that the one before it has not moved.
#[actix_rt::test]
async fn zone_is_evacuated_while_the_leader_changes() {
    check(async |fleet, _| {
        let leader = fleet.leader();
        evacuate(&fleet.store, "z");
        fleet.edges[leader].signal(Signal::SIGKILL);
        wait_until(Duration::from_secs(15), "keys leave the zone", || is_empty(fleet)).await;
        sleep(AFTER_BOUND_MS).await;
        fleet.edges[leader].restart();
        fleet.wait_until_serving(Duration::from_secs(15)).await;
        sleep(2_000).await;
    })
    .await;
}

/// Without the store no key can move. The zone gets no requests all the same, its
/// keys keep their owner, and move once the store is available again.
#[actix_rt::test]
async fn zone_is_evacuated_while_the_store_is_unavailable() {
    check(async |fleet, _| {
        evacuate(&fleet.store, "z");
        sleep(100).await;
        fleet.store.set_mode(StoreMode::Unavailable);
        sleep(AFTER_BOUND_MS).await;
        assert!(!fleet.servers[0].held_ranges().is_empty(), "its keys have no owner");
        fleet.store.set_mode(StoreMode::Up);
        wait_until(Duration::from_secs(10), "keys leave the zone", || is_empty(fleet)).await;
        fleet.wait_until_serving(Duration::from_secs(15)).await;
    })
    .await;
}

/// A process that the leader tells nothing reads the store itself.
#[actix_rt::test]
async fn evacuation_reaches_processes_without_the_leader() {
    check(async |fleet, _| {
        for link in &fleet.links {
            link.set(ProxyMode::Stalled);
        }
        evacuate(&fleet.store, "z");
        sleep(AFTER_BOUND_MS).await;
        for link in &fleet.links {
            link.set(ProxyMode::Up);
        }
        wait_until(Duration::from_secs(10), "keys leave the zone", || is_empty(fleet)).await;
    })
    .await;
}

/// Processes that miss the removal of the key, as the store has compacted the
/// topic, see that a listing lacks it.
#[actix_rt::test]
async fn listing_without_the_key_ends_the_evacuation() {
    check(async |fleet, _| {
        evacuate(&fleet.store, "z");
        wait_until(Duration::from_secs(4), "keys leave the zone", || is_empty(fleet)).await;
        fleet.edges.iter().for_each(|edge| edge.signal(Signal::SIGSTOP));
        withdraw_evacuation(&fleet.store, "z");
        fleet.store.compact("keyed.op");
        put_config(&fleet.store, &plan(2));
        fleet.store.compact("keyed.op");
        fleet.edges.iter().for_each(|edge| edge.signal(Signal::SIGCONT));
        let is_used = || !fleet.servers[0].held_ranges().is_empty();
        wait_until(Duration::from_secs(15), "the zone is used again", is_used).await;
    })
    .await;
}
