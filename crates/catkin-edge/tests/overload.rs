//! A service that gets more requests than its targets can run.

mod common;

use {
    actix_http::Method,
    catkin_standin::users::{Config, Route, Server, put_config},
    common::{Fleet, Proxy, ProxyMode, Tally, plan, send},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Service of both routes. Its two servers run 80 requests per second.
const SERVICE: &str = "ranked";

const WORK_TIME: Duration = Duration::from_millis(150);

/// Latency objective of all routes.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// Results of the requests of one route.
#[derive(Clone, Default)]
struct Results {
    tally: Tally,
    in_time: Rc<Cell<u32>>,
    /// Times after which refusals came.
    refusals: Rc<RefCell<Vec<Duration>>>,
}

impl Results {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time.get())
            / f64::from(self.tally.served.get() + self.tally.unserved.get()).max(1.0)
    }
}

async fn request(fleet: Rc<Fleet>, edge: usize, path: &'static str, results: Results) {
    let id = fleet.id();
    let started = Instant::now();
    let response = send(&fleet.edges[edge], Method::GET, path, &id, None, Vec::new()).await;
    let response = fleet.check_response(&id, response, false);
    let took = started.elapsed();
    results.tally.count(response.as_ref());
    let is_served = response.as_ref().is_some_and(|response| response.status == 200);
    results.in_time.set(results.in_time.get() + u32::from(is_served && took <= OBJECTIVE));
    if let Some(response) = response.filter(|response| response.status == 503) {
        assert!(response.retry_after.is_some());
        results.refusals.borrow_mut().push(took);
    }
}

/// Sends requests to all processes by turns, for a time. Returns the results
/// once all have ended.
async fn load(fleet: &Rc<Fleet>, path: &'static str, per_second: u32, time: Duration) -> Results {
    let results = Results::default();
    let mut tasks = Vec::new();
    let mut ticks = actix_rt::time::interval(Duration::from_secs(1) / per_second);
    let until = Instant::now() + time;
    while Instant::now() < until {
        ticks.tick().await;
        let edge = tasks.len() % fleet.edges.len();
        tasks.push(actix_rt::spawn(request(fleet.clone(), edge, path, results.clone())));
    }
    for task in tasks {
        task.await.unwrap();
    }
    results
}

/// Starts three processes and a service with urgent and bulk requests.
async fn start() -> Rc<Fleet> {
    let mut fleet = Fleet::start(3).await;
    for id in ["r0", "r1"] {
        let server = Server::new(id, SERVICE, false, WORK_TIME, &fleet.store, &fleet.checker);
        server.use_slots();
        server.start().await;
        fleet.servers.push(server);
    }
    let Config { mut routes, mut services, .. } = plan(2);
    for (prefix, priority) in [("/urgent/", 0), ("/bulk/", 2)] {
        routes.push(Route { prefix, kind: "idempotent", priority, split: vec![(SERVICE, 1)] });
    }
    services.push((SERVICE, false));
    put_config(&fleet.store, &Config { routes, services, ..plan(2) });
    actix_rt::time::sleep(Duration::from_millis(1_900)).await;
    Rc::new(fleet)
}

fn set_store(fleet: &Fleet, mode: ProxyMode) {
    fleet.proxies.iter().for_each(|proxy: &Proxy| proxy.set(mode));
}

/// Bulk requests at twice the capacity must not delay urgent ones, and the
/// excess must be refused at once, also while the store is unavailable. After the
/// burst everything is admitted again.
#[actix_rt::test]
async fn burst_of_bulk_requests_is_refused_by_rank() {
    let fleet = start().await;
    let second = Duration::from_secs(1);
    set_store(&fleet, ProxyMode::Stalled);
    tokio::join!(load(&fleet, "/urgent/x", 15, 2 * second), load(&fleet, "/bulk/x", 160, 2 * second));
    let (urgent, bulk) =
        tokio::join!(load(&fleet, "/urgent/x", 15, 2 * second), load(&fleet, "/bulk/x", 160, 2 * second));
    set_store(&fleet, ProxyMode::Up);
    assert!(urgent.tally.served_share() > 0.9, "{}", urgent.tally.served_share());
    assert!(urgent.in_time_share() > 0.6, "{}", urgent.in_time_share());
    assert!(bulk.tally.served_share() > 0.15, "{}", bulk.tally.served_share());
    let refusals = bulk.refusals.take();
    let early = refusals.iter().filter(|took| **took < Duration::from_millis(100)).count();
    assert!(2 * early > refusals.len() && early > 50, "{early} of {} refusals came early", refusals.len());
    load(&fleet, "/bulk/x", 20, 2 * second).await;
    let after = load(&fleet, "/bulk/x", 30, second).await;
    assert!(after.tally.served_share() > 0.99, "{}", after.tally.served_share());
    fleet.check();
}
