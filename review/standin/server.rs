//! Stand-ins of servers. All servers of a case share one state, so that what
//! several of them hold can be compared.

use {
    crate::{
        http::{self, Message},
        record::Record,
        store::{Store, json_number},
    },
    std::{
        collections::HashMap,
        io::{self, BufReader, Write},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const KEYS: usize = 1 << 16;

/// Interval at which a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// Part of a server's answers that a fault may spoil: `garble` with `extra late`
/// has x = 0.03 in the site files.
const SPOILED_SHARE: f64 = 0.03;

/// What a server sends twice while its fault is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copies {
    None,
    /// Answers to releases.
    Releases,
    /// Refusals of requests.
    Refusals,
}

/// Description of a server.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub keyed: bool,
    pub slots: usize,
    pub queue: usize,
    /// Work of a request, from its path.
    pub work: fn(&Message) -> Duration,
}

/// Keys of one process of a server.
struct Keys {
    /// Highest fence that was seen.
    seen: Vec<u64>,
    /// Fence of the grant that is held.
    fence: Vec<u64>,
    /// End of the hold; earlier than now if it is not held.
    until: Vec<Option<Instant>>,
    /// End of the last hold, also of a released one.
    hold_end: Vec<Option<Instant>>,
    /// Running requests by key.
    running: HashMap<u16, u32>,
}

impl Keys {
    fn new() -> Self {
        Self {
            seen: vec![0; KEYS],
            fence: vec![0; KEYS],
            until: vec![None; KEYS],
            hold_end: vec![None; KEYS],
            running: HashMap::new(),
        }
    }
}

struct Process {
    spec: Spec,
    keys: Keys,
    running: usize,
    waiting: usize,
    answers: u64,
    copies: u64,
}

/// State of all servers.
pub struct World {
    record: Record,
    processes: Mutex<HashMap<String, Process>>,
    changed: Condvar,
    /// Answers that the first few servers send twice, and their number.
    copied: Mutex<(Copies, usize)>,
    /// Ids of the requests that ran, with the number of runs.
    pub runs: Mutex<HashMap<String, u32>>,
    next: AtomicU64,
}

/// One process of a server.
pub struct Server {
    pub addr: SocketAddr,
    pub id: String,
    pub born: u64,
    world: Arc<World>,
    store: Store,
    state: Arc<Mutex<&'static str>>,
    ended: Arc<AtomicBool>,
    spec: Spec,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl World {
    pub fn new(record: &Record) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            processes: Mutex::default(),
            changed: Condvar::new(),
            copied: Mutex::new((Copies::None, 0)),
            runs: Mutex::default(),
            next: AtomicU64::new(1),
        })
    }

    /// Sets which answers of the first `count` servers are sent twice from now
    /// on.
    pub fn copy(&self, copies: Copies, count: usize) {
        *self.copied.lock().unwrap() = (copies, count);
        for process in self.processes.lock().unwrap().values_mut() {
            (process.answers, process.copies) = (0, 0);
        }
    }

    /// Returns the keys that a server holds now.
    pub fn held(&self, id: &str) -> Vec<u16> {
        let now = Instant::now();
        let processes = self.processes.lock().unwrap();
        let Some(process) = processes.get(id) else { return Vec::new() };
        let is_held = |key: &u16| process.keys.until[usize::from(*key)].is_some_and(|until| until > now);
        (0..=u16::MAX).filter(is_held).collect()
    }

    /// Returns the keys that two processes hold now, as ranges with the ids and
    /// fences of both.
    pub fn held_twice(&self) -> Vec<(u16, u16, String)> {
        let now = Instant::now();
        let processes = self.processes.lock().unwrap();
        let mut found: Vec<(u16, u16, String)> = Vec::new();
        let keyed: Vec<(&String, &Process)> = processes.iter().filter(|(_, p)| p.spec.keyed).collect();
        for key in 0..KEYS {
            let holds = |p: &Process| p.keys.until[key].is_some_and(|until| until > now);
            let mut holders: Vec<String> = Vec::new();
            for (id, process) in keyed.iter().filter(|(_, p)| holds(p)) {
                holders.push(format!("{id} with fence {}", process.keys.fence[key]));
            }
            if holders.len() > 1 {
                holders.sort();
                let text = holders.join(" and ");
                match found.last_mut() {
                    Some(last) if last.2 == text && usize::from(last.1) + 1 == key => last.1 = key as u16,
                    _ => found.push((key as u16, key as u16, text)),
                }
            }
        }
        found
    }

    fn grant(&self, id: &str, body: &[u8]) -> u16 {
        let number = |name: &str| json_number(body, name).unwrap_or(0);
        let (from, to, fence) = (number("from") as u16, number("target") as u16, number("fence"));
        let now = Instant::now();
        let until = now + Duration::from_millis(number("holdMs"));
        let mut processes = self.processes.lock().unwrap();
        let Some(process) = processes.get_mut(id) else { return 400 };
        let range = usize::from(from)..=usize::from(to);
        if process.keys.seen[range.clone()].iter().any(|seen| *seen > fence) {
            return 409;
        }
        let is_new = |key: &usize| process.keys.until[*key].is_none_or(|until| until <= now);
        let news: Vec<usize> = range.clone().filter(is_new).collect();
        for key in range {
            process.keys.seen[key] = fence;
            process.keys.fence[key] = fence;
            process.keys.until[key] = Some(until);
            process.keys.hold_end[key] = Some(until);
        }
        if news.is_empty() {
            return 200;
        }
        self.record.add(format!("server {id} takes keys {from} to {to} with fence {fence}"));
        for (other, process) in processes.iter().filter(|(other, _)| *other != id) {
            for key in &news {
                let running = process.keys.running.get(&(*key as u16)).copied().unwrap_or(0);
                let rest = process.keys.hold_end[*key].filter(|end| *end > now).map(|end| end - now);
                if let (1.., Some(rest)) = (running, rest) {
                    let rest = rest.as_millis();
                    self.record.breaks(format!("OWNER: server {id} is given key {key} with fence {fence} while server {other} is at work on it, {rest} ms before the end of that one's hold"));
                }
            }
        }
        200
    }

    /// Stops new work on keys, and waits until running work on them has ended.
    fn release(&self, id: &str, body: &[u8]) {
        let number = |name: &str| json_number(body, name).unwrap_or(0);
        let (from, to, fence) = (number("from") as u16, number("target") as u16, number("fence"));
        self.record.add(format!("server {id} is asked to release keys {from} to {to} with fence {fence}"));
        let mut processes = self.processes.lock().unwrap();
        if let Some(process) = processes.get_mut(id) {
            for key in usize::from(from)..=usize::from(to) {
                process.keys.until[key] = None;
            }
        }
        let is_busy = |processes: &HashMap<String, Process>| {
            processes.get(id).is_some_and(|process| {
                process.keys.running.iter().any(|(key, count)| (from..=to).contains(key) && *count > 0)
            })
        };
        while is_busy(&processes) {
            processes = self.changed.wait(processes).unwrap();
        }
        self.record.add(format!("server {id} has ended its work on keys {from} to {to}, answers the release"));
    }

    /// Counts an answer. Returns whether the fault sends it twice.
    fn is_copied(&self, id: &str, kind: Copies) -> bool {
        let (copied, count) = *self.copied.lock().unwrap();
        let is_spoiled = (0..count).any(|i| id == format!("i-{i}"));
        let mut processes = self.processes.lock().unwrap();
        let Some(process) = processes.get_mut(id) else { return false };
        process.answers += 1;
        let is_copied = is_spoiled
            && kind != Copies::None
            && kind == copied
            && (process.copies + 1) as f64 <= SPOILED_SHARE * process.answers as f64;
        process.copies += u64::from(is_copied);
        is_copied
    }

    /// Returns the answers and copies of each server since the fault began.
    pub fn spoiled(&self) -> (u64, u64) {
        let processes = self.processes.lock().unwrap();
        (processes.values().map(|p| p.answers).sum(), processes.values().map(|p| p.copies).sum())
    }

    /// Runs a request. Returns the answer and whether it is a refusal.
    fn run(&self, id: &str, request: &Message) -> (Vec<u8>, bool) {
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        let echo = ("X-Request-Id", &*request_id);
        let not_run = ("X-Not-Run", "1");
        let key: u16 = request.header("x-shard-key").and_then(|key| key.parse().ok()).unwrap_or(0);
        let deadline = request.header("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
        let deadline = Instant::now() + Duration::from_millis(deadline);
        let mut processes = self.processes.lock().unwrap();
        let keyed = processes[id].spec.keyed;
        let holds = |process: &Process| {
            !keyed || process.keys.until[usize::from(key)].is_some_and(|until| until > Instant::now())
        };
        let process = processes.get_mut(id).unwrap();
        if !holds(process) {
            return (http::answer(421, &[echo, not_run, ("X-Instance-Id", id)], b""), true);
        }
        if process.running >= process.spec.slots && process.waiting >= process.spec.queue {
            return (http::answer(503, &[echo, not_run, ("Keep-Alive", "timeout=10")], b""), true);
        }
        process.waiting += 1;
        while processes[id].running >= processes[id].spec.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                processes.get_mut(id).unwrap().waiting -= 1;
                return (http::answer(503, &[echo, not_run], b""), true);
            }
            processes = self.changed.wait_timeout(processes, left).unwrap().0;
        }
        let process = processes.get_mut(id).unwrap();
        process.waiting -= 1;
        if !holds(process) {
            return (http::answer(421, &[echo, not_run, ("X-Instance-Id", id)], b""), true);
        }
        let fence = process.keys.fence[usize::from(key)];
        process.running += 1;
        *process.keys.running.entry(key).or_default() += 1;
        let work = (process.spec.work)(request);
        drop(processes);
        *self.runs.lock().unwrap().entry(request_id.clone()).or_default() += 1;
        self.record.add(format!("server {id} begins {request_id} (key {key}, fence {fence}, work {} ms)", work.as_millis()));
        let left = deadline.saturating_duration_since(Instant::now());
        thread::sleep(work.min(left));
        let mut processes = self.processes.lock().unwrap();
        let process = processes.get_mut(id).unwrap();
        process.running = process.running.saturating_sub(1);
        let count = process.keys.running.entry(key).or_default();
        *count = count.saturating_sub(1);
        let outlasts = keyed && process.keys.hold_end[usize::from(key)].is_none_or(|end| end <= Instant::now());
        self.changed.notify_all();
        drop(processes);
        let status = if outlasts { 500 } else if work > left { 504 } else { 200 };
        self.record.add(format!("server {id} ends {request_id} with {status}"));
        let stamp = format!("{id}.{fence}");
        let body = format!("{request_id} from {id}");
        let headers = [echo, ("X-Server-Stamp", &*stamp), ("Keep-Alive", "timeout=10")];
        (http::answer(status, &headers, body.as_bytes()), false)
    }
}

impl Server {
    /// Starts a process of a server. Its entry is in the store after `lag`.
    pub fn start(
        world: &Arc<World>,
        store: &Store,
        ip: IpAddr,
        port: u16,
        spec: &Spec,
        born: u64,
        lag: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, port))?;
        let process = Process { spec: spec.clone(), keys: Keys::new(), running: 0, waiting: 0, answers: 0, copies: 0 };
        world.processes.lock().unwrap().insert(spec.id.clone(), process);
        let server = Self {
            addr: listener.local_addr()?,
            id: spec.id.clone(),
            born,
            world: world.clone(),
            store: store.clone(),
            state: Arc::new(Mutex::new("ready")),
            ended: Arc::default(),
            spec: spec.clone(),
            streams: Arc::default(),
        };
        if lag.is_zero() {
            server.put_entry("ready");
        } else {
            let (store, id, entry) = (store.clone(), spec.id.clone(), server.entry("ready"));
            thread::spawn(move || {
                thread::sleep(lag);
                store.put("keyed.servers", &id, entry.as_bytes());
            });
        }
        let (world, id, ended, streams) = (world.clone(), spec.id.clone(), server.ended.clone(), server.streams.clone());
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                streams.lock().unwrap().extend(stream.try_clone());
                let (world, id, ended) = (world.clone(), id.clone(), ended.clone());
                thread::spawn(move || serve(&world, &id, stream, &ended));
            }
        });
        Ok(server)
    }

    /// Returns the entry of this process.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"configVersion\":\"v1\",\"zone\":\"z-a\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":1,\"coldLeftMs\":0}}}}",
            self.addr, self.born, self.spec.service, self.spec.slots
        )
    }

    fn put_entry(&self, state: &str) {
        self.store.put("keyed.servers", &self.id, self.entry(state).as_bytes());
    }

    /// Reports that the server drains; it goes on serving.
    pub fn drain(&self) {
        *self.state.lock().unwrap() = "draining";
        self.world.record.add(format!("server {} reports draining", self.id));
        self.put_entry("draining");
    }

    /// Removes the entry.
    pub fn remove_entry(&self) {
        self.store.put("keyed.servers", &self.id, b"");
    }

    /// Ends the process: its connections are closed and it holds nothing.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        if let Some(process) = self.world.processes.lock().unwrap().get_mut(&self.id) {
            process.keys = Keys::new();
        }
        self.world.record.add(format!("server {} (born {}) has ended", self.id, self.born));
    }
}

fn serve(world: &World, id: &str, stream: TcpStream, ended: &AtomicBool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut copy: Option<Vec<u8>> = None;
    loop {
        let request = http::read(&mut reader)?;
        if ended.load(Ordering::SeqCst) {
            return Ok(());
        }
        if let Some(bytes) = copy.take() {
            // The second answer comes where the next one is expected.
            world.record.add(format!("server {id} sends its last answer on this connection again"));
            writer.write_all(&bytes)?;
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
            writer.write_all(&http::answer(421, &[("X-Instance-Id", id), ("X-Not-Run", "1")], b""))?;
            continue;
        }
        let (bytes, kind) = match request.path() {
            "/v1/grant" => (http::answer(world.grant(id, &request.body), &[], b""), Copies::None),
            "/v1/release" => {
                world.release(id, &request.body);
                let handover = format!("{:016x}", world.next.fetch_add(1, Ordering::SeqCst));
                (http::answer(200, &[("X-Handover", &handover)], b""), Copies::Releases)
            }
            _ => {
                let (bytes, is_refusal) = world.run(id, &request);
                (bytes, if is_refusal { Copies::Refusals } else { Copies::None })
            }
        };
        copy = world.is_copied(id, kind).then(|| bytes.clone());
        writer.write_all(&bytes)?;
    }
}
