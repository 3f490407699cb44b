//! Servers of the platform: they register in the store, hold keys, run requests and
//! answer them.

use {
    crate::{
        http::{self, Conn, Request},
        record::Record,
        store::{Store, json_field},
    },
    std::{
        io::Write,
        net::{TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Answer that a server gives in place of its usual one.
pub enum Special {
    /// The usual answer.
    Usual,
    /// Bytes that are written as they are; the connection is closed after them.
    Raw(Vec<u8>),
    /// Bytes that are written as they are; the connection stays open.
    Keep(Vec<u8>),
    /// Bytes that are written before and after some work; the connection stays open.
    Parts { first: Vec<u8>, work: Duration, rest: Vec<u8> },
    /// A head, then chunks of a body without end, at intervals, until the caller
    /// closes the connection.
    Endless { head: String, chunk: usize, interval: Duration },
}

type Script = Box<dyn Fn(&Request) -> Special + Send + Sync>;

/// Keys that a server holds.
struct Hold {
    from: u32,
    to: u32,
    fence: u64,
    until: Instant,
}

struct State {
    id: String,
    service: String,
    work: Duration,
    is_sharded: bool,
    holds: Mutex<Vec<Hold>>,
    script: Mutex<Script>,
    record: Option<Record>,
}

impl State {
    fn note(&self, line: &str) {
        if let Some(record) = &self.record {
            record.write(line);
        }
    }
}

/// A server. Clones share its state.
#[derive(Clone)]
pub struct Target(Arc<State>);

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

impl Target {
    /// Starts a server that has just been born and registers it in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        is_sharded: bool,
        work: Duration,
    ) -> Self {
        Self::start_born(store, Some(record), id, service, is_sharded, work, (6, unix_ms()))
    }

    /// Starts a server with a number of slots that was born at a time, and registers it
    /// in the store. Without a record it writes down nothing.
    pub fn start_born(
        store: &Store,
        record: Option<&Record>,
        id: &str,
        service: &str,
        is_sharded: bool,
        work: Duration,
        (slots, born): (u32, u128),
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let addr = listener.local_addr().expect("bound socket");
        let target = Self(Arc::new(State {
            id: id.to_owned(),
            service: service.to_owned(),
            work,
            is_sharded,
            holds: Mutex::default(),
            script: Mutex::new(Box::new(|_| Special::Usual)),
            record: record.cloned(),
        }));
        let accepting = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = accepting.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        let entry = format!(
            "{{\"address\":\"{addr}\",\"info\":{{\"service\":\"{service}\",\"configVersion\":\"v1\",\"zone\":\"sur-a\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"seq\":1,\"coldLeftMs\":0}},\"born\":{born}}}"
        );
        store.put("keyed.servers", id, entry.as_bytes());
        target
    }

    /// Sets what the server answers to requests of callers.
    pub fn set_script(&self, script: impl Fn(&Request) -> Special + Send + Sync + 'static) {
        *self.0.script.lock().expect("lock") = Box::new(script);
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(request)) = conn.request() {
            if self.handle(&mut conn.stream, &request).is_none() {
                return;
            }
        }
    }

    /// Answers a request. Returns `None` if the connection ends.
    fn handle(&self, stream: &mut TcpStream, request: &Request) -> Option<()> {
        let state = &*self.0;
        let id = request.header("x-request-id").to_owned();
        let answer = |stream: &mut TcpStream, first: &str, headers: &[(&str, &str)], body: &[u8]| {
            let mut all = vec![("x-instance-id", state.id.as_str()), ("x-server-load", "1,0,6")];
            if !id.is_empty() {
                all.push(("x-request-id", &id));
            }
            all.extend_from_slice(headers);
            http::write(stream, &format!("HTTP/1.1 {first}"), &all, body).ok()
        };
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != state.id {
            return answer(stream, "421 Misdirected Request", &[("x-not-run", "1")], b"");
        }
        match request.path.as_str() {
            "/health" => return answer(stream, "200 OK", &[], b""),
            "/v1/grant" => {
                let first = if self.grant(&request.body) { "200 OK" } else { "409 Conflict" };
                return answer(stream, first, &[], b"");
            }
            "/v1/release" => {
                self.release(&request.body);
                return answer(stream, "200 OK", &[("x-handover", "h")], b"");
            }
            _ => {}
        }
        if state.is_sharded && !self.holds(request.header("x-shard-key").parse().unwrap_or(0)) {
            return answer(stream, "421 Misdirected Request", &[("x-not-run", "1")], b"");
        }
        state.note(&format!("run {id} at {}", state.id));
        thread::sleep(state.work);
        let special = state.script.lock().expect("lock")(request);
        match special {
            Special::Usual => {
                let body = format!("{id} {}", request.body.len());
                answer(stream, "200 OK", &[("x-server-stamp", "s")], body.as_bytes())
            }
            Special::Raw(bytes) => {
                let _ = stream.write_all(&bytes);
                None
            }
            Special::Keep(bytes) => stream.write_all(&bytes).ok(),
            Special::Parts { first, work, rest } => {
                stream.write_all(&first).ok()?;
                thread::sleep(work);
                state.note(&format!("done {id} at {}", state.id));
                stream.write_all(&rest).ok()
            }
            Special::Endless { head, chunk, interval } => {
                stream.write_all(head.as_bytes()).ok()?;
                let chunk =
                    [format!("{chunk:x}\r\n").into_bytes(), vec![b'x'; chunk], b"\r\n".to_vec()].concat();
                while stream.write_all(&chunk).is_ok() {
                    thread::sleep(interval);
                }
                state.note(&format!("cut {id} at {}: the caller has closed", state.id));
                None
            }
        }
    }

    fn holds(&self, key: u32) -> bool {
        let now = Instant::now();
        self.0
            .holds
            .lock()
            .expect("lock")
            .iter()
            .any(|hold| hold.from <= key && key <= hold.to && now < hold.until)
    }

    fn range(body: &[u8]) -> (u32, u32, u64) {
        let number = |name: &str| json_field(body, name).parse::<u64>().unwrap_or(0);
        (number("from") as u32, number("target") as u32, number("fence"))
    }

    /// Takes keys. Returns `false` if a higher fence was seen on one of them.
    fn grant(&self, body: &[u8]) -> bool {
        let (from, to, fence) = Self::range(body);
        let millis = json_field(body, "holdMs").parse().unwrap_or(0);
        let mut holds = self.0.holds.lock().expect("lock");
        if holds.iter().any(|hold| hold.from <= to && from <= hold.to && hold.fence > fence) {
            return false;
        }
        let until = Instant::now() + Duration::from_millis(millis);
        holds.retain(|hold| !(from <= hold.from && hold.to <= to));
        holds.push(Hold { from, to, fence, until });
        true
    }

    fn release(&self, body: &[u8]) {
        let (from, to, fence) = Self::range(body);
        let mut holds = self.0.holds.lock().expect("lock");
        let mut rest = Vec::new();
        for hold in holds.drain(..) {
            if hold.to < from || to < hold.from {
                rest.push(hold);
                continue;
            }
            if hold.from < from {
                rest.push(Hold { to: from - 1, ..hold });
            }
            if to < hold.to {
                rest.push(Hold { from: to + 1, ..hold });
            }
        }
        rest.push(Hold { from, to, fence, until: Instant::now() });
        *holds = rest;
    }

    /// Returns the service of the server.
    pub fn service(&self) -> &str {
        &self.0.service
    }
}
