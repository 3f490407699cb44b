//! Tests of cold targets.

mod common;

use {
    catkin_standin::users::{Config, StoreMode, put_config},
    common::{Fleet, Tally, plan},
    futures_util::future::join_all,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Cold rate of the services, in requests per second.
const RATE: f64 = 4.7;

/// Time after which all processes know that a target is cold.
const NEWS_TIME: Duration = Duration::from_millis(800);

/// Longest time for a request that is refused since its target is cold: it waits
/// for half of the latency objective, 200 ms, and must not be held until its
/// deadline of a second. The rest is for a busy machine.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(700);

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

async fn start() -> Rc<Fleet> {
    let fleet = Rc::new(Fleet::start(3).await);
    put_config(&fleet.store, &Config { cold_per_s: Some(RATE), ..plan(2) });
    sleep(2_500).await;
    fleet
}

/// Sends lookups of keys in turn to all processes that run, at regular intervals
/// whether they are answered or not, and checks those that are refused.
async fn load(fleet: &Rc<Fleet>, keys: &[u16], per_second: u64, span: Duration) -> Tally {
    let tally = Tally::default();
    let until = Instant::now() + span;
    let mut lookups = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let key = keys[number % keys.len()];
        let (fleet, tally) = (fleet.clone(), tally.clone());
        lookups.push(actix_rt::spawn(async move {
            let edge = &fleet.edges[number % fleet.edges.len()];
            if edge.has_ended() {
                return;
            }
            let sent_at = Instant::now();
            let response = fleet.get(edge, key).await;
            tally.count(response.as_ref());
            if let Some(response) = response.filter(|response| response.status == 503) {
                let took = sent_at.elapsed();
                assert!(took < REFUSAL_TIME_MAX, "refused after {took:?}");
                assert!(response.retry_after.is_some());
            }
        }));
        sleep(1_000 / per_second).await;
    }
    for lookup in lookups {
        lookup.await.unwrap();
    }
    tally
}

/// Sends orders, which must all be served, from six callers.
async fn send_orders(fleet: &Fleet, count: usize) {
    let callers = (0..6).map(async |caller| {
        for _ in 0..count {
            let response = fleet.order(&fleet.edges[caller % fleet.edges.len()]).await;
            assert_eq!(response.unwrap().status, 200);
            sleep(20).await;
        }
    });
    join_all(callers).await;
}

/// Returns keys of a server, at which few others move with them.
fn keys_of(fleet: &Fleet, id: &str) -> Vec<u16> {
    let table = fleet.table();
    let rows = table.services["keyed"].iter().filter(|row| *row.target == *id);
    rows.flat_map(|row| [row.from, row.from + 7]).collect()
}

/// A server with keys and one without turn cold at their usual load. All
/// processes together must keep the limit, callers that are refused are told so
/// at once, and the others are served: the keys move to warm servers.
#[actix_rt::test]
async fn cold_limit_binds_all_processes_together() {
    let fleet = start().await;
    let keys = keys_of(&fleet, "s0");
    tokio::join!(load(&fleet, &keys, 40, Duration::from_secs(1)), send_orders(&fleet, 25));
    for server in [&fleet.servers[0], &fleet.servers[3]] {
        server.turn_cold(Duration::from_secs(9), RATE, NEWS_TIME);
    }
    load(&fleet, &keys, 40, NEWS_TIME).await;
    let (tally, ()) = tokio::join!(load(&fleet, &keys, 40, Duration::from_secs(6)), send_orders(&fleet, 150));
    let (count, most) = fleet.servers[3].cold_requests();
    println!("{count} requests without keys, at most {most} in a second");
    assert!(count > 0, "a cold server is used");
    assert!(tally.served_share() > 0.8, "{tally:?}");
    fleet.check();
}

/// All servers with keys are cold, and one key has more requests than any of them
/// takes: the limit must be kept and used, with the store, without it, and when
/// the leader ends at the same time.
#[actix_rt::test]
async fn hot_key_of_cold_servers_gets_the_cold_rate() {
    for fault in ["none", "store", "leader"] {
        let fleet = start().await;
        load(&fleet, &[7], 40, Duration::from_secs(2)).await;
        let servers = &fleet.servers[..3];
        servers.iter().for_each(|server| server.turn_cold(Duration::from_secs(9), RATE, NEWS_TIME));
        load(&fleet, &[7], 40, NEWS_TIME).await;
        match fault {
            "store" => fleet.store.set_mode(StoreMode::Unavailable),
            "leader" => fleet.edges[fleet.leader()].kill(),
            _ => {}
        }
        load(&fleet, &[7], 40, Duration::from_secs(6)).await;
        let counts: Vec<(usize, usize)> = servers.iter().map(|server| server.cold_requests()).collect();
        println!("fault {fault}: requests and most in a second {counts:?}");
        // 6 s at the cold rate are 28 requests; a process that has ended keeps its
        // share for a while.
        let count: usize = counts.iter().map(|(count, _)| count).sum();
        assert!(count >= 10, "fault {fault}: {counts:?}");
        fleet.check();
    }
}
