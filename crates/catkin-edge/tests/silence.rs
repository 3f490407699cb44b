//! Targets that stop responding on open connections, with real processes.

mod common;

use {
    actix_http::{
        Method, ServiceConfig,
        header::{HOST, HeaderValue},
    },
    catkin_net::Conn,
    catkin_standin::users::{Route, put_config},
    common::{Edge, Fleet, Response, plan, send},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time in which all processes must know of a target that one has found silent.
const NEWS_TIME: Duration = Duration::from_secs(1);

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// A request with its kind, when it was sent and its answer.
#[derive(Clone, Debug)]
struct Sent {
    path: &'static str,
    at: Instant,
    took: Duration,
    key: Option<u16>,
    response: Option<Response>,
}

impl Sent {
    fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |response| response.status)
    }
}

/// Requests at regular intervals, whether they are answered or not.
#[derive(Clone, Default)]
struct Calls {
    stop: Rc<Cell<bool>>,
    sent: Rc<RefCell<Vec<Sent>>>,
}

impl Calls {
    /// Sends requests with the paths in turn to all processes.
    fn start(fleet: &Rc<Fleet>, paths: &'static [&'static str], keys: Vec<u16>) -> Self {
        let calls = Self::default();
        let (fleet, running) = (fleet.clone(), calls.clone());
        actix_rt::spawn(async move {
            for number in 0_usize.. {
                if running.stop.get() {
                    return;
                }
                let (fleet, calls) = (fleet.clone(), running.clone());
                let (path, key) =
                    (paths[number % paths.len()], keys.get(number % keys.len().max(1)).copied());
                actix_rt::spawn(async move {
                    let edge = &fleet.edges[number % fleet.edges.len()];
                    let (id, at) = (fleet.id(), Instant::now());
                    let is_once = path == "/order/x";
                    let method = if is_once { Method::POST } else { Method::GET };
                    let response = send(edge, method, path, &id, key, Vec::new()).await;
                    let response = fleet.check_response(&id, response, is_once);
                    calls.sent.borrow_mut().push(Sent { path, at, took: at.elapsed(), key, response });
                });
                sleep(16).await;
            }
        });
        calls
    }

    /// Ends the calls and returns those that were sent from a time on.
    async fn end(&self, from: Instant) -> Vec<Sent> {
        self.stop.set(true);
        sleep(1_600).await;
        self.sent.borrow().iter().filter(|sent| sent.at >= from).cloned().collect()
    }
}

/// Returns the sum of the metrics of a process whose lines begin with a text.
async fn metric(edge: &Edge, start: &str) -> u32 {
    let mut conn =
        Conn::open(edge.admin, Duration::from_millis(500), ServiceConfig::default()).await.unwrap();
    let mut head = catkin_net::request_head(Method::GET, "/metrics".parse().unwrap());
    head.headers.insert(HOST, HeaderValue::from_static("h"));
    let reply = conn.exchange(head, Vec::new(), false, |_| true).await.unwrap();
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(start));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u32>().ok()).sum()
}

/// Returns how many processes take a target of a service for silent.
async fn suspecting(fleet: &Fleet, service: &str) -> usize {
    let mut count = 0;
    for edge in &fleet.edges {
        let name = format!("catkin_edge_silent_targets{{service=\"{service}\"}}");
        count += usize::from(metric(edge, &name).await > 0);
    }
    count
}

/// Waits until some number of processes take a target of a service for silent.
async fn wait_for(fleet: &Fleet, service: &str, count: impl Fn(usize) -> bool, within: Duration) {
    let until = Instant::now() + within;
    loop {
        let suspecting = suspecting(fleet, service).await;
        if count(suspecting) {
            return;
        }
        assert!(Instant::now() < until, "{suspecting} processes take a target of {service} for silent");
        sleep(5).await;
    }
}

async fn start() -> Rc<Fleet> {
    let fleet = Rc::new(Fleet::start(3).await);
    let fetch = Route { prefix: "/fetch/", kind: "idempotent", priority: 1, split: vec![("plain", 1)] };
    let mut config = plan(2);
    config.routes.push(fetch);
    put_config(&fleet.store, &config);
    sleep(2_500).await;
    fleet
}

/// A server without keys stops responding. Each process used to find out by
/// itself, and its requests waited there until their deadline. Once one process
/// has found out, the others must send it nothing, and requests that may run twice
/// must be served by another server.
#[actix_rt::test]
async fn silent_server_gets_no_requests() {
    let fleet = start().await;
    let calls = Calls::start(&fleet, &["/order/x", "/fetch/x"], Vec::new());
    sleep(2_500).await;
    let server = &fleet.servers[3];
    server.set_paused(true);
    let paused_at = Instant::now();
    wait_for(&fleet, "plain", |count| count > 0, Duration::from_secs(2)).await;
    let (before, _) = server.paused_requests();
    wait_for(&fleet, "plain", |count| count == 3, NEWS_TIME).await;
    // A request that was on its way arrives.
    sleep(20).await;
    let ((known, _), known_at) = (server.paused_requests(), Instant::now());
    sleep(4_000).await;
    let (after, checks) = server.paused_requests();
    println!("{before} requests until it was found, {known} until all knew, {after} in all; {checks} checks");
    server.set_paused(false);
    wait_for(&fleet, "plain", |count| count == 0, Duration::from_millis(1_500)).await;
    let resumed_at = Instant::now();
    sleep(1_500).await;
    let sent = calls.end(paused_at).await;
    assert!(known <= before + 8, "{before} {known}");
    assert_eq!(after, known);
    assert!(checks <= 3, "{checks} health checks");
    let later: Vec<&Sent> = sent.iter().filter(|sent| sent.at >= known_at).collect();
    let unserved: Vec<&&Sent> = later.iter().filter(|sent| sent.status() != 200).collect();
    assert!(later.iter().all(|sent| sent.status() != 504), "{unserved:?}");
    assert!(unserved.len() * 50 <= later.len(), "{} of {}: {unserved:?}", unserved.len(), later.len());
    // They may run twice, so that those that waited there are sent to another server.
    let lost: Vec<&Sent> =
        sent.iter().filter(|sent| sent.path == "/fetch/x" && !matches!(sent.status(), 200 | 503)).collect();
    assert!(lost.is_empty(), "{lost:?}");
    let is_used = |sent: &&Sent| {
        let by = sent.response.as_ref().and_then(|response| response.body.split(' ').nth(1));
        sent.at >= resumed_at && by == Some("s3")
    };
    assert!(sent.iter().any(|sent| is_used(&sent)), "the server is not used again");
    fleet.check();
}

/// Checks that requests for keys without an owner were refused at once, and told
/// when the keys had another one.
fn check_refusals(sent: &[Sent], keys: &[u16], known_at: Instant) {
    let of_keys = || sent.iter().filter(|sent| sent.key.is_some_and(|key| keys.contains(&key)));
    let served = |key: Option<u16>| {
        let times = sent.iter().filter(|sent| sent.key == key && sent.status() == 200).map(|sent| sent.at);
        times.min().expect("the key has another owner")
    };
    let served_last = keys.iter().map(|key| served(Some(*key))).max().unwrap();
    println!("all keys served again {:?} after all knew", served_last - known_at);
    // The leader tells the ends of the leases with the first report after that.
    let from = known_at + Duration::from_millis(600);
    let refused: Vec<&Sent> = of_keys().filter(|sent| sent.at > from && sent.status() == 503).collect();
    // Until half of the latency objective of 400 ms has passed, requests used to wait.
    let early = refused.iter().filter(|sent| sent.took < Duration::from_millis(150)).count();
    let told = |sent: &Sent| {
        let after = sent.response.as_ref().and_then(|response| response.retry_after.as_ref());
        sent.at + Duration::from_secs_f64(after.unwrap().parse().unwrap())
    };
    // Each caller is told a little more than the time, so that not all come at once.
    let accurate = refused.iter().filter(|sent| {
        let (told, served_at) = (told(sent), served(sent.key));
        told + Duration::from_millis(500) > served_at && told < served_at + Duration::from_millis(1_500)
    });
    let (accurate, count) = (accurate.count(), refused.len());
    println!("{count} refusals, {early} at once, {accurate} with an accurate time");
    assert!(count > 20 && early * 10 >= count * 8 && accurate * 10 >= count * 8, "{refused:?}");
}

/// A server that owns keys stops responding. Requests for its keys that arrive once
/// all processes know that must be refused or, when the keys have moved, served,
/// and none may be lost there.
#[actix_rt::test]
async fn silent_owner_gets_no_requests() {
    let fleet = start().await;
    let table = fleet.table();
    let keys: Vec<u16> =
        table.services["keyed"].iter().filter(|row| &*row.target == "s0").map(|row| row.from).collect();
    assert!(!keys.is_empty());
    // Every second request is for one of the keys.
    let all = (0..u16::MAX).step_by(1_009).zip(keys.iter().copied().cycle());
    let all = all.flat_map(|(other, key)| [other, key]).collect();
    let calls = Calls::start(&fleet, &["/read/x"], all);
    sleep(2_500).await;
    let server = &fleet.servers[0];
    server.set_paused(true);
    wait_for(&fleet, "keyed", |count| count > 0, Duration::from_secs(2)).await;
    wait_for(&fleet, "keyed", |count| count == 3, NEWS_TIME).await;
    sleep(20).await;
    let ((known, _), known_at) = (server.paused_requests(), Instant::now());
    sleep(5_000).await;
    let (after, checks) = server.paused_requests();
    println!("{known} requests until all knew, {after} in all; {checks} checks");
    let sent = calls.end(known_at).await;
    check_refusals(&sent, &keys, known_at);
    assert_eq!(after, known);
    assert!(checks <= 3, "{checks} health checks");
    assert!(sent.iter().all(|sent| matches!(sent.status(), 200 | 503)), "{sent:?}");
    assert!(sent.iter().any(|sent| sent.status() == 200));
    fleet.check();
}
