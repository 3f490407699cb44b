//! The cases.

use {
    crate::{
        client::{Conn, Request},
        edge::SIGTERM,
        fleet::{Fleet, Random, Route, ip, unix_millis},
        http::Message,
        record::Record,
        server::{Copies, HEARTBEAT, Server, Spec, World},
    },
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Returns a number that depends on the id of a request only.
fn hash(request: &Message) -> u64 {
    let id = request.header("x-request-id").unwrap_or("");
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)) >> 20
}

fn spec(id: String, service: &str, keyed: bool, queue: usize, work: fn(&Message) -> Duration) -> Spec {
    Spec { id, service: service.to_owned(), keyed, slots: 6, queue, work }
}

/// Clients that send requests at an even rate until they are stopped.
struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Answers by request id; `None` without an answer.
    answers: Arc<Mutex<HashMap<String, Option<u16>>>>,
    /// Keys that get two of five requests, if there are any.
    busy: Arc<Mutex<Vec<u16>>>,
    /// When each request was sent and how long it took, also without an answer.
    times: Arc<Mutex<Vec<(f64, Duration)>>>,
}

struct Habit {
    count: u64,
    /// Time between two requests of a client.
    pause: Duration,
    method: &'static str,
    path: &'static str,
    deadline: Duration,
}

impl Clients {
    fn start(record: &Record, edges: Vec<SocketAddr>, habit: Habit) -> Self {
        let habit = Arc::new(habit);
        let (stopped, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(HashMap::new())));
        let (busy, times) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let client = |number: u64| {
            let (record, habit, stopped) = (record.clone(), habit.clone(), stopped.clone());
            let (busy, times): (Arc<Mutex<Vec<u16>>>, _) = (busy.clone(), times.clone());
            let (answers, addr) = (answers.clone(), edges[number as usize % edges.len()]);
            thread::spawn(move || {
                let mut random = Random(number + 1);
                random.next(2);
                thread::sleep(habit.pause * (random.next(100) as u32) / 100);
                let mut conn = None;
                let mut count = 0;
                while !stopped.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("c{number}-{count}");
                    let keys = busy.lock().unwrap();
                    let key = match random.next(5) {
                        0 | 1 if !keys.is_empty() => keys[random.next(keys.len() as u64) as usize],
                        _ => random.next(1 << 16) as u16,
                    };
                    drop(keys);
                    let request = Request {
                        method: habit.method,
                        path: habit.path,
                        id: &id,
                        key: Some(key),
                        deadline: habit.deadline,
                        body: b"",
                    };
                    let (start, sent_at) = (record.seconds(), Instant::now());
                    let sent = conn.take().map_or_else(|| Conn::open(addr), Ok);
                    let answer = sent.and_then(|mut open| Ok((open.send(&request)?, open)));
                    times.lock().unwrap().push((start, sent_at.elapsed()));
                    let mut pause = habit.pause;
                    match answer {
                        Ok((answer, open)) => {
                            record.add(format!("client gets {} for {id}", answer.status()));
                            answers.lock().unwrap().insert(id, Some(answer.status()));
                            conn = (!answer.closes()).then_some(open);
                            let after = answer.header("retry-after").and_then(|text| text.parse().ok());
                            pause = pause.max(Duration::from_secs_f64(after.unwrap_or(0.0)));
                        }
                        Err(error) => {
                            record.add(format!("client gets no answer for {id}: {error}"));
                            answers.lock().unwrap().insert(id, None);
                        }
                    }
                    thread::sleep(pause);
                }
            })
        };
        let threads = (0..habit.count).map(client).collect();
        Self { stopped, threads, answers, busy, times }
    }

    fn stop(self) -> HashMap<String, Option<u16>> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.answers.lock().unwrap().clone()
    }
}

/// Time from the end of a server's process to its next start.
const DOWN_TIME: Duration = Duration::from_millis(150);

/// Time until the entry of a process that has started again is in the store;
/// the site file has `lag_ms = 800`.
const ENTRY_LAG: Duration = Duration::from_millis(400);

/// Looks for keys that two servers hold.
struct Watch {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Watch {
    fn start(record: &Record, world: &Arc<World>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let (record, world, end) = (record.clone(), world.clone(), stopped.clone());
        let thread = thread::spawn(move || {
            let mut since: HashMap<(u16, u16, String), Instant> = HashMap::new();
            let mut reported: Vec<(u16, u16, String)> = Vec::new();
            while !end.load(Ordering::SeqCst) {
                let now = Instant::now();
                let held = world.held_twice();
                since.retain(|range, _| held.contains(range));
                for range in held {
                    let first = *since.entry(range.clone()).or_insert(now);
                    if now - first > Duration::from_millis(500) && !reported.contains(&range) {
                        let (from, to, text) = &range;
                        record.breaks(format!("OWNER: keys {from} to {to} are held for over 500 ms by {text}"));
                        reported.push(range);
                    }
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        Self { stopped, thread }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.edges.iter().map(|edge| edge.callers).collect()
}

/// Adds counts of the answers to the record.
fn count(record: &Record, answers: &HashMap<String, Option<u16>>) {
    let mut counts: Vec<(Option<u16>, u32)> = Vec::new();
    for status in answers.values() {
        match counts.iter_mut().find(|(known, _)| known == status) {
            Some(entry) => entry.1 += 1,
            None => counts.push((*status, 1)),
        }
    }
    counts.sort();
    record.add(format!("answers by status: {counts:?}"));
}

/// OWNER: servers drain one after the other. With the disruption, a draining
/// server sends an answer to a release twice.
pub fn release_copy(record: &Record, trouble: bool) -> io::Result<()> {
    let work = |request: &Message| Duration::from_millis(200 + hash(request) % 400);
    let specs: Vec<Spec> =
        (0..8).map(|i| spec(format!("i-{i}"), "planoteca", true, 24, work)).collect();
    let routes = [Route { prefix: "/leny950/", kind: "idempotent", service: "planoteca", aim_ms: 1_500, timeout_ms: 4_000 }];
    let fleet = Fleet::start(record, 3, &[], &routes, &[("planoteca", true)], &specs, "/leny950/probe")?;
    let habit = Habit {
        count: 48,
        pause: Duration::from_millis(250),
        method: "GET",
        path: "/leny950/2f",
        deadline: Duration::from_millis(4_000),
    };
    let clients = Clients::start(record, callers(&fleet), habit);
    let start = record.seconds();
    for (i, server) in fleet.servers.iter().take(2).enumerate() {
        let at = start + 8.0 + 12.0 * i as f64;
        fleet.sleep_until(at - 3.0);
        if trouble {
            record.add("disruption: servers may send an answer twice");
            fleet.world.copy(Copies::Releases, 4);
        }
        fleet.sleep_until(at);
        server.drain();
        fleet.sleep_until(at + 2.0);
        let (answers, copies) = fleet.world.spoiled();
        record.add(format!("disruption ends: {copies} of {answers} answers were sent twice"));
        fleet.world.copy(Copies::None, 0);
        fleet.sleep_until(at + 4.0);
        server.remove_entry();
        server.end();
    }
    fleet.sleep_until(start + 26.0);
    count(record, &clients.stop());
    Ok(())
}

/// REFUSED, TWICE: more requests come than the servers take. With the
/// disruption, servers send some refusals twice.
pub fn refusal_copy(record: &Record, trouble: bool) -> io::Result<()> {
    let work = |request: &Message| Duration::from_millis(20 + hash(request) % 20);
    let small = |i| Spec { slots: 4, ..spec(format!("i-{i}"), "planoteca", true, 4, work) };
    let specs: Vec<Spec> = (0..5).map(small).collect();
    let routes = [Route { prefix: "/puka111/", kind: "non_idempotent", service: "planoteca", aim_ms: 300, timeout_ms: 800 }];
    let fleet = Fleet::start(record, 3, &[], &routes, &[("planoteca", true)], &specs, "/puka111/probe")?;
    let habit = Habit {
        count: 100,
        pause: Duration::from_millis(20),
        method: "DELETE",
        path: "/puka111/2f",
        deadline: Duration::from_millis(800),
    };
    let start = record.seconds();
    fleet.sleep_until(start + 5.0);
    let clients = Clients::start(record, callers(&fleet), habit);
    for i in 0..6 {
        let at = start + 8.0 + 8.0 * f64::from(i);
        fleet.sleep_until(at);
        if trouble {
            record.add("disruption: servers may send a refusal twice");
            fleet.world.copy(Copies::Refusals, 3);
        }
        fleet.sleep_until(at + 5.0);
        let (answers, copies) = fleet.world.spoiled();
        record.add(format!("disruption ends: {copies} of {answers} answers were sent twice"));
        fleet.world.copy(Copies::None, 0);
    }
    let answers = clients.stop();
    thread::sleep(Duration::from_secs(1));
    count(record, &answers);
    check_promises(record, &fleet.world, &answers);
    Ok(())
}

fn check_promises(record: &Record, world: &World, answers: &HashMap<String, Option<u16>>) {
    for (id, runs) in world.runs.lock().unwrap().iter() {
        if let Some(Some(status @ (408 | 421 | 429 | 503))) = answers.get(id) {
            record.breaks(format!("REFUSED: {id} was answered {status} and ran {runs} times"));
        }
        if *runs > 1 {
            record.breaks(format!("TWICE: {id} ran {runs} times"));
        }
    }
}

/// LOST: uploads that take five seconds are in progress at a process. With the
/// disruption, that process gets SIGTERM; `graceS` is 10.
pub fn grace(record: &Record, trouble: bool) -> io::Result<()> {
    const GRACE_S: f64 = 10.0;
    let work = |request: &Message| {
        let millis = request.path().rsplit('/').next().and_then(|text| text.parse().ok());
        Duration::from_millis(millis.unwrap_or(100))
    };
    let specs: Vec<Spec> = (0..4).map(|i| spec(format!("i-{i}"), "recepcion", false, 24, work)).collect();
    let routes = [Route { prefix: "/cufi502/", kind: "upload", service: "recepcion", aim_ms: 2_500, timeout_ms: 8_000 }];
    let bounds = [("graceS", "10"), ("drainMs", "3000"), ("stableWindowMs", "4000"), ("configApplyMs", "3000")];
    let mut fleet = Fleet::start(record, 2, &bounds, &routes, &[("recepcion", false)], &specs, "/cufi502/100")?;
    let addr = fleet.edges[0].callers;
    let start = record.seconds();
    fleet.sleep_until(start + 5.0);
    let term_at = Arc::new(Mutex::new(None::<Instant>));
    let upload = |number: u64| {
        let (record, term_at) = (record.clone(), term_at.clone());
        thread::spawn(move || -> io::Result<()> {
            let body = vec![b'x'; 60_000];
            let deadline = Duration::from_millis(8_000);
            let mut conn = Conn::open(addr)?;
            let id = format!("u{number}-0");
            let request = Request { method: "POST", path: "/cufi502/100", id: &id, key: None, deadline, body: &body };
            let status = conn.send(&request)?.status();
            record.add(format!("client gets {status} for {id}"));
            let term = loop {
                if let Some(term) = *term_at.lock().unwrap() {
                    break term;
                }
                thread::sleep(Duration::from_millis(5));
            };
            // Half of the requests are on their way when the signal comes, half
            // are sent on kept connections within 1.5 s.
            let delay = if number % 2 == 0 { 0 } else { 300 + 100 * number };
            thread::sleep(Duration::from_millis(delay));
            let sent = Instant::now();
            let id = format!("u{number}-1");
            let request = Request { method: "POST", path: "/cufi502/5000", id: &id, key: None, deadline, body: &body };
            record.add(format!("client sends {id}, {} ms after the signal is due", (sent - term).as_millis()));
            let answer = conn.send(&request);
            let took = sent.elapsed().as_millis();
            let since = term.elapsed();
            let status = answer.as_ref().map_or(0, Message::status);
            let is_whole = answer.is_ok_and(|answer| answer.header("x-server-stamp").is_some());
            record.add(format!("client gets {status} for {id} after {took} ms"));
            if !is_whole && since.as_secs_f64() < GRACE_S * 5.0 / 6.0 && took < 8_000 {
                record.breaks(format!("LOST: {id} was answered {status} by the process itself while its server was at work, {} ms after the signal", since.as_millis()));
            }
            Ok(())
        })
    };
    let uploads: Vec<JoinHandle<io::Result<()>>> = (0..12).map(upload).collect();
    fleet.sleep_until(start + 8.0);
    let term = Instant::now();
    *term_at.lock().unwrap() = Some(term);
    thread::sleep(Duration::from_millis(100));
    if trouble {
        record.add("disruption: the first process gets SIGTERM");
        fleet.edges[0].signal(SIGTERM);
    }
    while term.elapsed().as_secs_f64() < GRACE_S + 0.1 {
        if fleet.edges[0].has_ended() {
            record.add(format!("the process has ended {} ms after the signal", term.elapsed().as_millis()));
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    for upload in uploads {
        upload.join().map_err(|_| io::Error::other("client failed"))??;
    }
    Ok(())
}

/// OWNER: with the disruption, a server starts again under its id, and a write
/// of its earlier life is carried out 5.9 s after that was sent.
pub fn old_entry(record: &Record, trouble: bool) -> io::Result<()> {
    let work = |request: &Message| Duration::from_millis(50 + hash(request) % 100);
    let specs: Vec<Spec> = (0..8).map(|i| spec(format!("i-{i}"), "planoteca", true, 24, work)).collect();
    let routes = [Route { prefix: "/leny950/", kind: "idempotent", service: "planoteca", aim_ms: 400, timeout_ms: 1_000 }];
    let mut fleet = Fleet::start(record, 3, &[], &routes, &[("planoteca", true)], &specs, "/leny950/probe")?;
    let habit = Habit {
        count: 30,
        pause: Duration::from_millis(450),
        method: "GET",
        path: "/leny950/2f",
        deadline: Duration::from_millis(1_000),
    };
    let clients = Clients::start(record, callers(&fleet), habit);
    let start = record.seconds();
    let watch = Watch::start(record, &fleet.world);
    fleet.sleep_until(start + 8.0);
    let late = trouble.then(|| fleet.servers[0].entry("ready"));
    let mut born_at = Instant::now();
    if let Some(late) = &late {
        let (store, server) = (fleet.store.clone(), &fleet.servers[0]);
        record.add(format!("disruption: the last write of {} (born {}) gets no answer; {late}", server.id, server.born));
        fleet.sleep_until(start + 8.05);
        server.end();
        fleet.sleep_until(start + 8.55);
        let next = Server::start(&fleet.world, &store, ip(100), server.addr.port(), &specs[0], unix_millis(), Duration::ZERO)?;
        born_at = Instant::now();
        record.add(format!("server {} has started again (born {})", next.id, next.born));
        fleet.servers.push(next);
    }
    fleet.sleep_until(start + 10.5);
    // Which keys are busy changes.
    *clients.busy.lock().unwrap() = fleet.world.held(&specs[0].id);
    if let Some(late) = late {
        fleet.sleep_until(start + 13.9);
        let store = &fleet.store;
        store.put("keyed.servers", &specs[0].id, late.as_bytes());
        record.add("disruption: the store carries out that write, 5.9 s after it was sent");
        let next = fleet.servers.last().expect("it was just added");
        let beats = born_at.elapsed().as_secs_f64() / HEARTBEAT.as_secs_f64();
        thread::sleep(HEARTBEAT.mul_f64(beats.ceil() - beats));
        store.put("keyed.servers", &next.id, next.entry("ready").as_bytes());
        record.add(format!("server {} writes its entry again (born {})", next.id, next.born));
    }
    fleet.sleep_until(start + 22.0);
    watch.stop();
    count(record, &clients.stop());
    Ok(())
}

/// OWNER: with the disruption, servers end one after the other and start again
/// under their ids a moment later.
pub fn restart(record: &Record, trouble: bool) -> io::Result<()> {
    let work = |request: &Message| Duration::from_millis(50 + hash(request) % 100);
    let specs: Vec<Spec> = (0..8).map(|i| spec(format!("i-{i}"), "planoteca", true, 24, work)).collect();
    let routes = [Route { prefix: "/leny950/", kind: "idempotent", service: "planoteca", aim_ms: 400, timeout_ms: 1_000 }];
    let mut fleet = Fleet::start(record, 3, &[], &routes, &[("planoteca", true)], &specs, "/leny950/probe")?;
    let habit = Habit {
        count: 30,
        pause: Duration::from_millis(200),
        method: "GET",
        path: "/leny950/2f",
        deadline: Duration::from_millis(1_000),
    };
    let clients = Clients::start(record, callers(&fleet), habit);
    let watch = Watch::start(record, &fleet.world);
    let start = record.seconds();
    for i in 0..4 {
        fleet.sleep_until(start + 8.0 + 8.0 * i as f64);
        if trouble {
            let server = &fleet.servers[i];
            record.add(format!("disruption: server {} ends and starts again", server.id));
            server.end();
            thread::sleep(DOWN_TIME);
            let port = server.addr.port();
            let (address, born) = (ip(100 + i as u8), unix_millis());
            let next = Server::start(&fleet.world, &fleet.store, address, port, &specs[i], born, ENTRY_LAG)?;
            record.add(format!("server {} has started again (born {})", next.id, next.born));
            fleet.servers[i] = next;
        }
    }
    fleet.sleep_until(start + 40.0);
    watch.stop();
    count(record, &clients.stop());
    Ok(())
}

/// CONFIG: clients send at an even rate to one process. With the disruption, the
/// collector of its logs reads nothing for 15 s.
pub fn logs(record: &Record, trouble: bool) -> io::Result<()> {
    const TIMEOUT: Duration = Duration::from_millis(800);
    const LATE: Duration = Duration::from_millis(500);
    let work = |request: &Message| Duration::from_millis(50 + hash(request) % 100);
    let specs: Vec<Spec> = (0..4).map(|i| spec(format!("i-{i}"), "planoteca", true, 24, work)).collect();
    let routes = [Route { prefix: "/leny950/", kind: "idempotent", service: "planoteca", aim_ms: 400, timeout_ms: 800 }];
    let fleet = Fleet::start(record, 2, &[], &routes, &[("planoteca", true)], &specs, "/leny950/probe")?;
    let habit = Habit {
        count: 40,
        pause: Duration::from_millis(250),
        method: "GET",
        path: "/leny950/2f",
        deadline: Duration::from_millis(2_000),
    };
    let clients = Clients::start(record, vec![fleet.edges[0].callers], habit);
    let start = record.seconds();
    fleet.sleep_until(start + 8.0);
    if trouble {
        record.add("disruption: the collector of the first process's logs stops reading");
        fleet.edges[0].logs_paused.store(true, Ordering::SeqCst);
    }
    fleet.sleep_until(start + 23.0);
    record.add("disruption ends: the collector reads again");
    fleet.edges[0].logs_paused.store(false, Ordering::SeqCst);
    fleet.sleep_until(start + 30.0);
    let times = clients.times.clone();
    count(record, &clients.stop());
    let times = times.lock().unwrap();
    let unanswered = times.iter().filter(|(_, took)| *took > TIMEOUT).count();
    let late = times.iter().filter(|(_, took)| *took > TIMEOUT + LATE).count();
    record.add(format!("{unanswered} requests were unanswered at the route's timeoutMs, {late} of them half a second later"));
    if unanswered >= 8 && late * 2 > unanswered {
        record.breaks(format!("CONFIG: {late} of {unanswered} requests that were unanswered at the route's timeoutMs had no answer half a second later"));
    }
    Ok(())
}
