//! Processes that were cut off from the store and from all other processes.

mod common;

use {
    actix_http::Method,
    catkin_standin::users::{Config, Route, StoreMode, put_config},
    common::{Edge, Fleet, ProxyMode, plan, send},
    futures_util::future::join_all,
    std::time::{Duration, Instant},
};

/// Time after a cut within which a process must know what has changed; the platform
/// allows 3 s.
const CATCH_UP_TIME: Duration = Duration::from_millis(2_000);

/// Number of cuts of a leader, and of other processes.
const CUTS: u64 = 8;

/// Time by which each cut ends later than the one before.
const PHASE_MS: u64 = 300;

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Returns a configuration with a route that no older one has.
fn plan_with_route(version: u32) -> Config {
    let mut config = plan(version);
    config.routes.push(Route { prefix: "/new/", kind: "idempotent", split: vec![("keyed", 1)], priority: 1 });
    config
}

/// Returns how long after the end of a cut a process used the old configuration,
/// and how long it sent requests to targets that had left.
async fn delays(fleet: &Fleet, process: usize, ended: Instant) -> (Duration, Duration) {
    let edge = &fleet.edges[process];
    let config = async {
        loop {
            let response = send(edge, Method::GET, "/new/x", &fleet.id(), Some(1), Vec::new()).await;
            if response.as_ref().is_some_and(|response| response.status != 404) {
                return ended.elapsed();
            }
            assert!(
                ended.elapsed() < Duration::from_secs(10),
                "the configuration is still the old one; process {process}, last response {response:?}: {:#?}",
                fleet.edges.iter().map(Edge::state).collect::<Vec<_>>()
            );
            sleep(20).await;
        }
    };
    let targets = async {
        let mut last = Duration::ZERO;
        while ended.elapsed() < Duration::from_secs(5) {
            let sent = ended.elapsed();
            // Three at once use all known targets.
            let responses = join_all((0..3).map(|_| fleet.order(edge))).await;
            let went = |id: &str| responses.iter().flatten().any(|response| response.body.contains(id));
            if went(" s3 ") || went(" s4 ") {
                last = sent;
            }
            sleep(20).await;
        }
        last
    };
    tokio::join!(config, targets)
}

/// Cuts off one of two processes, the leader or the other one, changes the
/// configuration and lets targets leave meanwhile, and returns the delays. The cut
/// ends when the process has begun to read the store, if that is seen: that read
/// fails, and the next one comes after the longest time.
async fn cut(mode: ProxyMode, is_leader: bool, phase: u64) -> (Duration, Duration) {
    let fleet = Fleet::start(2).await;
    sleep(1_500).await;
    let leader = fleet.leader();
    let process = if is_leader { leader } else { 1 - leader };
    let set = |mode| {
        fleet.proxies[process].set(mode);
        fleet.links.iter().for_each(|link| link.set(mode));
    };
    set(mode);
    sleep(4_000).await;
    put_config(&fleet.store, &plan_with_route(2));
    fleet.servers[3].drain();
    fleet.servers[4].drain();
    sleep(8_000 + phase * PHASE_MS).await;
    let reads = fleet.proxies[process].silent_reads();
    // Attempts are not seen in the other mode; the phase alone varies then.
    let until = Instant::now() + Duration::from_secs(3);
    while mode == ProxyMode::Silent
        && fleet.proxies[process].silent_reads() == reads
        && Instant::now() < until
    {
        sleep(10).await;
    }
    set(ProxyMode::Up);
    delays(&fleet, process, Instant::now()).await
}

/// Cuts off processes of several fleets, and checks that each is up to date in
/// time.
async fn check(mode: ProxyMode) {
    let cuts = [false, true].into_iter().flat_map(|is_leader| (0..CUTS).map(move |phase| (is_leader, phase)));
    let run = async |(is_leader, phase)| (is_leader, cut(mode, is_leader, phase).await);
    let all = join_all(cuts.map(run)).await;
    for (is_leader, (config, targets)) in &all {
        println!("{mode:?}, leader {is_leader}: configuration {config:?}, targets {targets:?}");
    }
    for (_, (config, targets)) in all {
        assert!(config < CATCH_UP_TIME && targets < CATCH_UP_TIME, "{config:?}, {targets:?}");
    }
}

/// A machine was cut off for 12 s while the configuration changed and targets left.
/// Its process used the old state for 3.2 s after the cut: an attempt to connect
/// in progress, then the longest delay.
#[actix_rt::test]
async fn dropped_packets_leave_no_old_state() {
    check(ProxyMode::Cut).await;
}

/// The same if connections that are opened during the cut never carry anything.
#[actix_rt::test]
async fn silent_connections_leave_no_old_state() {
    check(ProxyMode::Silent).await;
}

/// The store accepts connections and answers nothing. Each process may send it no
/// more than a read a second for that: each call has a cost.
#[actix_rt::test]
async fn silent_store_is_read_seldom() {
    let fleet = Fleet::start(3).await;
    fleet.store.set_mode(StoreMode::Unresponsive);
    let reads = || fleet.store.call_count("/v1/log-read") + fleet.store.call_count("/v1/log-newest");
    // All reads of a process begin at once.
    sleep(2_000).await;
    let before = reads();
    sleep(12_000).await;
    let count = reads() - before;
    println!("{count} reads of three processes in 12 s");
    assert!(count <= 3 * 12, "{count} reads");
    fleet.check();
}
