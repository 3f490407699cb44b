//! The platform's store: a log with keyed topics and conditional appends, and one
//! group. It loses nothing and answers at once.

use {
    crate::http::{self, Conn, Request},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Largest record, as the settings of the deployments name it (`recordBytes`).
const RECORD_BYTES_MAX: usize = 262_144;

/// Partitions of a topic over which a group's members are spread.
const PARTS: usize = 8;

/// Partition 0 of a topic.
#[derive(Default)]
struct Topic {
    /// Offset of the oldest kept record; earlier ones have expired.
    first: usize,
    records: Vec<Vec<u8>>,
}

impl Topic {
    fn end(&self) -> usize {
        self.first + self.records.len()
    }
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    /// Appends that were refused, as a record was too large.
    refused: usize,
    generation: u64,
    /// Expiry by member.
    members: BTreeMap<String, Instant>,
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|_, until| *until > now);
        self.generation += u64::from(self.members.len() != count);
    }
}

/// The store. Clones share its state.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn decode(record: &[u8]) -> (String, &[u8]) {
    let length = usize::from(record[0]);
    (String::from_utf8_lossy(&record[1..=length]).into_owned(), &record[1 + length..])
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits =
            part.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Returns the text or number after a name in a small JSON object.
pub fn json_field(body: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(body).into_owned();
    let Some((_, rest)) = text.split_once(&format!("\"{name}\":")) else { return String::new() };
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or("").to_owned(),
        None => rest.split([',', '}', ']']).next().unwrap_or("").trim().to_owned(),
    }
}

impl Store {
    /// Serves the store on a free port.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let addr = listener.local_addr().expect("bound socket");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        addr
    }

    /// Sets the offset of the first record of a topic, as if the ones before had
    /// expired.
    pub fn set_first(&self, topic: &str, first: usize) {
        self.0.0.lock().expect("lock").topics.entry(topic.to_owned()).or_default().first = first;
    }

    /// Returns the number of appends that were refused, as a record was too large, and
    /// the end and the size of the newest record of a topic.
    pub fn sizes(&self, topic: &str) -> (usize, usize, usize) {
        let state = self.0.0.lock().expect("lock");
        let topic = state.topics.get(topic);
        let newest = topic.and_then(|topic| topic.records.last()).map_or(0, Vec::len);
        (state.refused, topic.map_or(0, Topic::end), newest)
    }

    /// Appends a keyed record. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.0.0.lock().expect("lock").topics.entry(topic.to_owned()).or_default().records.push(record);
        self.0.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(request)) = conn.request() {
            let (status, body) = self.handle(&request);
            let first = format!("HTTP/1.1 {status} X");
            if http::write(&mut conn.stream, &first, &[("content-type", "application/json")], &body).is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        match request.path.split('?').next().unwrap_or("") {
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.newest(request),
            "/v1/log-join" => self.join(request),
            "/v1/log-leave" => self.leave(request),
            "/v1/log-owners" => self.owners(),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Request) -> (u16, Vec<u8>) {
        let mut state = self.0.0.lock().expect("lock");
        let topic = state.topics.entry(request.param("topic").to_owned()).or_default();
        let end = topic.end();
        if request.param("asOf").parse().is_ok_and(|as_of: usize| as_of != end) {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((length, content)) = rest.split_first_chunk::<4>() {
            let (record, next) = content.split_at(u32::from_be_bytes(*length) as usize);
            records.push(record.to_vec());
            rest = next;
        }
        // All or nothing.
        if records.iter().any(|record| record.len() > RECORD_BYTES_MAX) {
            state.refused += 1;
            return (413, Vec::new());
        }
        topic.records.extend(records);
        let reply = format!("{{\"offset\":{end},\"end\":{}}}", topic.end());
        self.0.1.notify_all();
        (200, reply.into_bytes())
    }

    fn read(&self, request: &Request) -> (u16, Vec<u8>) {
        let number = |name: &str| request.param(name).parse::<usize>().unwrap_or(0);
        let (from, until) = (number("from"), Instant::now() + Duration::from_millis(number("waitMs") as u64));
        let mut state = self.0.0.lock().expect("lock");
        loop {
            let topic = state.topics.entry(request.param("topic").to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if from < topic.first {
                return (410, format!("{{\"first\":{}}}", topic.first).into_bytes());
            }
            if from < topic.end() || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&(topic.end() as u64).to_be_bytes());
                body.extend_from_slice(&(topic.first as u64).to_be_bytes());
                for record in topic.records.iter().skip(from - topic.first) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            state = self.0.1.wait_timeout(state, left).expect("lock").0;
        }
    }

    fn newest(&self, request: &Request) -> (u16, Vec<u8>) {
        let mut state = self.0.0.lock().expect("lock");
        let topic = state.topics.entry(request.param("topic").to_owned()).or_default();
        let newest: BTreeMap<String, &[u8]> = topic.records.iter().map(|record| decode(record)).collect();
        let items = newest.into_iter().filter(|(_, value)| !value.is_empty());
        let items = items.map(|(key, value)| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":0}}", base64(value))
        });
        let items: Vec<String> = items.collect();
        let end = topic.end();
        (200, format!("{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}", items.join(",")).into_bytes())
    }

    fn join(&self, request: &Request) -> (u16, Vec<u8>) {
        let member = json_field(&request.body, "member");
        let ttl = json_field(&request.body, "ttlMs").parse().unwrap_or(1_000);
        let mut state = self.0.0.lock().expect("lock");
        state.expire();
        let is_new =
            state.members.insert(member.clone(), Instant::now() + Duration::from_millis(ttl)).is_none();
        state.generation += u64::from(is_new);
        let index = state.members.keys().position(|other| *other == member).unwrap_or(0);
        let count = state.members.len();
        let parts = (0..PARTS).filter(|part| part % count == index);
        let parts: Vec<String> = parts.map(|part| format!("[\"edge.seats\",{part},0]")).collect();
        (200, format!("{{\"generation\":{},\"parts\":[{}]}}", state.generation, parts.join(",")).into_bytes())
    }

    fn leave(&self, request: &Request) -> (u16, Vec<u8>) {
        let mut state = self.0.0.lock().expect("lock");
        let was_member = state.members.remove(&json_field(&request.body, "member")).is_some();
        state.generation += u64::from(was_member);
        (200, b"{}".to_vec())
    }

    fn owners(&self) -> (u16, Vec<u8>) {
        let mut state = self.0.0.lock().expect("lock");
        state.expire();
        let members: Vec<&String> = state.members.keys().collect();
        let row = |part: usize| format!("[\"edge.seats\",{part},\"{}\",0]", members[part % members.len()]);
        let rows: Vec<String> = if members.is_empty() { Vec::new() } else { (0..PARTS).map(row).collect() };
        (200, format!("{{\"parts\":[{}]}}", rows.join(",")).into_bytes())
    }
}
