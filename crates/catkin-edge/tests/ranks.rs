//! Requests of several ranks for one service: who is served first, and who is served
//! whatever the rank.

mod common;
#[path = "../src/wait_queue.rs"]
#[allow(dead_code, unreachable_pub)]
mod wait_queue;

use {
    actix_http::Method,
    catkin::types::Time,
    catkin_standin::users::{Config, Route, Server, put_config},
    common::{Fleet, Tally, metric, plan, send},
    futures_util::future::join_all,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    wait_queue::WaitQueue,
};

/// Service of both routes, whose requests have keys.
const SERVICE: &str = "ranked";

/// Time that a request takes. A server runs 40 requests per second.
const WORK_TIME: Duration = Duration::from_millis(150);

/// Waiting requests were woken in the order in which they came, so that urgent ones
/// found the capacity taken.
#[actix_rt::test]
async fn waiting_requests_are_woken_by_rank_and_deadline() {
    let (queue, order) = (Rc::new(WaitQueue::default()), Rc::new(RefCell::new(Vec::new())));
    let requests = [(2, 100), (1, 300), (2, 50), (0, 400), (1, 200)];
    let tasks = requests.map(|(rank, deadline)| {
        let (queue, order) = (queue.clone(), order.clone());
        actix_rt::spawn(async move {
            let waiter = queue.enter(rank, Time::from_micros(deadline));
            for _ in 0..2 {
                waiter.notified().await;
                order.borrow_mut().push((rank, deadline));
            }
        })
    });
    let sorted = [(0, 400), (1, 200), (1, 300), (2, 50), (2, 100)];
    for _ in 0..2 {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        queue.notify_all();
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(order.take(), sorted);
    }
    for task in tasks {
        task.await.unwrap();
    }
}

/// Starts processes and a keyed service with urgent and bulk requests on two
/// servers.
async fn start(processes: usize) -> Rc<Fleet> {
    let mut fleet = Fleet::start(processes).await;
    for id in ["r0", "r1"] {
        let server = Server::new(id, SERVICE, true, WORK_TIME, &fleet.store, &fleet.checker);
        server.use_slots();
        server.start().await;
        fleet.servers.push(server);
    }
    let Config { mut routes, mut services, .. } = plan(2);
    for (prefix, priority) in [("/urgent/", 0), ("/bulk/", 2)] {
        routes.push(Route { prefix, kind: "idempotent", priority, split: vec![(SERVICE, 1)] });
    }
    services.push((SERVICE, true));
    put_config(&fleet.store, &Config { routes, services, ..plan(2) });
    let until = Instant::now() + Duration::from_secs(10);
    let fleet = Rc::new(fleet);
    while key_of(&fleet, "r0").is_none() || key_of(&fleet, "r1").is_none() {
        assert!(Instant::now() < until, "the servers own no keys");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    actix_rt::time::sleep(Duration::from_millis(1_000)).await;
    fleet
}

/// Returns a key that a server owns.
fn key_of(fleet: &Fleet, server: &str) -> Option<u16> {
    let table = fleet.table();
    let rows = table.services.get(SERVICE)?;
    rows.iter().find(|row| *row.target == *server).map(|row| row.from)
}

/// Sends a lookup, and returns its status and how long it took.
async fn lookup(fleet: &Fleet, edge: usize, path: &str, key: u16) -> (Option<u16>, Duration) {
    let (id, started) = (fleet.id(), Instant::now());
    let response = send(&fleet.edges[edge], Method::GET, path, &id, Some(key), Vec::new()).await;
    let response = fleet.check_response(&id, response, false);
    (response.map(|response| response.status), started.elapsed())
}

/// Urgent lookups arrive behind bulk ones that wait for the same owner: they must get
/// the next slots that become free. All of them arrive within the time in which the
/// threshold of the service does not change.
#[actix_rt::test]
async fn urgent_lookups_overtake_waiting_bulk_ones() {
    let fleet = start(1).await;
    let key = key_of(&fleet, "r0").unwrap();
    let bulk = join_all((0..24).map(|_| lookup(&fleet, 0, "/bulk/x", key)));
    let urgent = async {
        actix_rt::time::sleep(Duration::from_millis(30)).await;
        join_all((0..4).map(|_| lookup(&fleet, 0, "/urgent/x", key))).await
    };
    let (bulk, urgent) = tokio::join!(bulk, urgent);
    let served =
        |results: &[(Option<u16>, _)]| results.iter().filter(|(status, _)| *status == Some(200)).count();
    println!("bulk {bulk:?}, urgent {urgent:?}");
    assert_eq!(served(&urgent), urgent.len());
    // Some bulk lookups must have waited in vain, or the urgent ones had no rivals.
    assert!(served(&bulk) < bulk.len(), "no lookup waited in vain");
    fleet.check();
}

/// Many lookups for one key make the service refuse bulk ones by the threshold, which
/// is that of the whole service. One whose owner has room must be served: refusing it
/// would leave no room to others.
#[actix_rt::test]
async fn bulk_lookup_of_a_free_owner_passes_the_threshold() {
    let fleet = start(2).await;
    let (hot, free) = (key_of(&fleet, "r0").unwrap(), key_of(&fleet, "r1").unwrap());
    let stop = Rc::<Cell<bool>>::default();
    let sender = {
        let (fleet, stop) = (fleet.clone(), stop.clone());
        actix_rt::spawn(async move {
            let mut ticks = actix_rt::time::interval(Duration::from_millis(8));
            for number in 0.. {
                ticks.tick().await;
                if stop.get() {
                    return;
                }
                let fleet = fleet.clone();
                actix_rt::spawn(async move { lookup(&fleet, number % 2, "/bulk/x", hot).await });
            }
        })
    };
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    let (tally, mut shares) = (Tally::default(), Vec::new());
    let name = format!("catkin_edge_admitted_share{{service=\"{SERVICE}\",rank=\"2\"}}");
    for number in 0..60 {
        let (status, _) = lookup(&fleet, number % 2, "/bulk/x", free).await;
        let is_served = status == Some(200);
        let count = if is_served { &tally.served } else { &tally.unserved };
        count.set(count.get() + 1);
        shares.push(metric(&fleet.edges[number % 2], &name).await.unwrap());
    }
    stop.set(true);
    sender.await.unwrap();
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    println!("served {}, not served {}, admitted share {mean}", tally.served.get(), tally.unserved.get());
    assert!(mean < 0.8, "the service refused few bulk lookups: {mean}");
    assert!(tally.served_share() > 0.97, "{tally:?}");
    fleet.check();
}
