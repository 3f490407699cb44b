//! A table of owners that has grown while the busy keys changed, and a restart of all
//! machines.
//!
//! The table at the start is one that the project's own code has made, see `claim.txt`.

use {
    crate::{
        Outcome,
        edge::Edge,
        has_trouble,
        http::{self, Conn},
        record::Record,
        store::Store,
        target::Target,
    },
    std::{
        fs,
        net::{SocketAddr, TcpStream},
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Tables at the start, and their offsets in their topic: after 12 minutes of busy keys
/// that change, and before them.
const GROWN: (&str, usize) = ("review/6/table.bin", 16_365);
const FRESH: (&str, usize) = ("review/6/table-0.bin", 1);

/// Servers that both tables name.
const SERVERS: u64 = 249;

/// Slots of a server, and the time that a request takes.
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(270);

/// Clients, and the time between two requests of each. One in five requests goes to a
/// service without keys.
const CLIENTS: u32 = 240;
const INTERVAL: Duration = Duration::from_millis(300);
const OTHERS: u32 = 5;

/// Share of the lookups that are about the busy keys, their number, and the time for
/// which they are busy.
const HOT_SHARE: f64 = 0.41;
const HOT_KEYS: u64 = 200;
const HOT_TIME: Duration = Duration::from_secs(5);
const HOT_WINDOWS: u32 = 2;

/// Time for which the machines are down, and after which the rule asks for service.
const DOWN_TIME: Duration = Duration::from_millis(1_600);
const RECOVER_TIME: Duration = Duration::from_secs(15);

const CONFIG: &str = r#"{"configVersion":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"listeners":[{"hostname":"hulo84.example","rules":[
{"name":"r-status","kind":"idempotent","targetLatencyMs":1000,"priority":2,"match":{"pathPrefix":"/status/"},"action":{"service":"zlecenia","timeoutMs":3000,"maxAttempts":2}},
{"name":"r-exports","kind":"idempotent","targetLatencyMs":1500,"priority":2,"match":{"pathPrefix":"/exports/"},"action":{"service":"rejestr","timeoutMs":3000,"maxAttempts":2}}]}],
"clusters":[{"name":"zlecenia","healthPath":"/health","maxConns":500,"protocol":"h1","tls":false,"sharded":true,"warmS":5.0,"grants":"invocation"},{"name":"rejestr","healthPath":"/health","maxConns":500,"protocol":"h1","tls":false}]}"#;

/// Pseudo-random numbers.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }

    fn share(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 53) as f64
    }
}

/// What the clients do now, and what they have seen.
#[derive(Default)]
struct Load {
    ends: AtomicBool,
    /// First busy key plus 1; 0 while no key is busy.
    hot: AtomicU64,
    lookups: AtomicU32,
    lookups_served: AtomicU32,
    others: AtomicU32,
    others_served: AtomicU32,
}

impl Load {
    /// Returns the counts of lookups and of other requests, each with those served, and
    /// starts again.
    fn take(&self) -> [u32; 4] {
        [&self.lookups, &self.lookups_served, &self.others, &self.others_served]
            .map(|n| n.swap(0, Ordering::Relaxed))
    }
}

fn run_client(load: &Load, addrs: &[SocketAddr], number: u32) {
    let mut random = Random(0x9e37_79b9_7f4a_7c15 ^ (u64::from(number) << 20));
    let mut conn: Option<Conn> = None;
    let mut count = 0_u32;
    while !load.ends.load(Ordering::Relaxed) {
        let began = Instant::now();
        count += 1;
        let is_other = (count + number) % OTHERS == 0;
        let hot = load.hot.load(Ordering::Relaxed);
        let key = match hot {
            1.. if random.share() < HOT_SHARE => hot - 1 + random.next() % HOT_KEYS,
            _ => random.next() % 65_536,
        };
        let addr = addrs[(random.next() % addrs.len() as u64) as usize];
        let (id, key) = (format!("c{number}-{count}"), key.to_string());
        let path = if is_other { "/exports/1" } else { "/status/1" };
        if conn.is_none() {
            conn = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok().map(Conn::new);
        }
        let mut status = 0;
        if let Some(open) = &mut conn {
            let headers = [
                ("Host", "hulo84.example"),
                ("X-Request-Id", &*id),
                ("X-Deadline-Ms", "3000"),
                ("X-Shard-Key", &*key),
            ];
            let is_sent =
                http::write(&mut open.stream, &format!("GET {path} HTTP/1.1"), &headers, b"").is_ok();
            let answer =
                is_sent.then(|| open.answer(Instant::now() + Duration::from_millis(3_500), true)).flatten();
            status = answer.as_ref().map_or(0, |answer| answer.status);
            if answer.is_none_or(|answer| answer.header("connection") == "close") {
                conn = None;
            }
        }
        let (sent, served) = match is_other {
            true => (&load.others, &load.others_served),
            false => (&load.lookups, &load.lookups_served),
        };
        sent.fetch_add(1, Ordering::Relaxed);
        served.fetch_add(u32::from(status == 200), Ordering::Relaxed);
        if random.next() % 20 == 0 {
            conn = None;
        }
        thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
    }
}

/// Writes down what happens in a time, second by second. Returns the share of the
/// requests that were served.
fn watch(load: &Load, store: &Store, record: &Record, phase: &str, time: Duration) -> f64 {
    let until = Instant::now() + time;
    let _ = load.take();
    let mut sums = [0; 4];
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(1));
        let counts = load.take();
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        let [lookups, lookups_served, others, others_served] = counts;
        let (refused, end, bytes) = store.sizes("keyed.owners");
        record.write(&format!(
            "{phase}: {lookups_served} of {lookups} lookups and {others_served} of {others} others served; table of {bytes} bytes in the store, end {end}, {refused} larger ones refused"
        ));
    }
    let share = f64::from(sums[1] + sums[3]) / f64::from(sums[0] + sums[2]).max(1.0);
    record.tell(&format!("{phase}: {share:.2} of {} requests served", sums[0] + sums[2]));
    share
}

pub fn run(scratch: &Path, record: &Record) -> Outcome {
    let (file, offset) = if has_trouble() { GROWN } else { FRESH };
    let Ok(table) = fs::read(file) else { return Outcome::NotRun };
    let store = Store::default();
    let addr = store.start();
    store.put("keyed.op", "config", CONFIG.as_bytes());
    store.set_first("keyed.owners", offset);
    store.put("keyed.owners", "table", &table);
    let mut targets = Vec::new();
    for i in 0..SERVERS {
        let id = format!("i-{:010x}", 0x0066_d092_7be3_u64 + i * 7_919);
        let born = 1_796_000_000_000 + u128::from(i);
        targets.push(Target::start_born(&store, None, &id, "zlecenia", true, WORK, (SLOTS, born)));
    }
    for i in 0..12 {
        let (id, born) = (format!("i-rejestr-{i}"), 1_796_000_000_000);
        targets.push(Target::start_born(&store, None, &id, "rejestr", false, WORK, (SLOTS, born)));
    }
    let mut edges: Vec<Edge> =
        (0..2).map(|i| Edge::start_with(scratch, &format!("front-{i}"), addr, false)).collect();
    if !edges.iter().all(|edge| edge.await_ready(Duration::from_secs(15))) {
        return Outcome::NotRun;
    }
    let load = Arc::new(Load::default());
    let addrs: Vec<SocketAddr> = edges.iter().map(|edge| edge.callers).collect();
    for number in 0..CLIENTS {
        let (load, addrs) = (load.clone(), addrs.clone());
        thread::spawn(move || run_client(&load, &addrs, number));
    }
    thread::sleep(Duration::from_secs(6));
    let before = watch(&load, &store, record, "at first", Duration::from_secs(4));
    let mut random = Random(0x2545_f491_4f6c_dd1d);
    for i in 0..HOT_WINDOWS {
        load.hot.store(1 + random.next() % (65_536 - HOT_KEYS), Ordering::Relaxed);
        watch(&load, &store, record, &format!("busy keys {i}"), HOT_TIME);
    }
    load.hot.store(0, Ordering::Relaxed);
    let calm = watch(&load, &store, record, "before the end", Duration::from_secs(4));
    record.tell("all processes are killed");
    edges.iter_mut().for_each(Edge::kill);
    thread::sleep(DOWN_TIME);
    edges.iter_mut().for_each(Edge::restart);
    watch(&load, &store, record, "recovery", RECOVER_TIME);
    let after = watch(&load, &store, record, "later than recoverS", Duration::from_secs(10));
    load.ends.store(true, Ordering::Relaxed);
    if before < 0.25 || calm < 0.25 {
        record.tell("too little was served before the end");
        return Outcome::NotRun;
    }
    if after < 0.25 { Outcome::Broken } else { Outcome::Held }
}
