//! A target whose answers a test scripts byte by byte.

use {
    super::Fleet,
    bytes::BytesMut,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// A request that a target has read.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) at: Instant,
    /// Number of the target's process: 1, and one more for each restart.
    pub(crate) process: u64,
    /// Number of the connection at this target.
    pub(crate) conn: u32,
    /// Number of the request on its connection, from 0 on.
    pub(crate) index: u32,
    pub(crate) path: String,
    /// Value of `x-request-id`; empty if there is none.
    pub(crate) id: String,
    body: serde_json::Value,
}

impl Received {
    fn number(&self, name: &str) -> u64 {
        self.body[name].as_u64().unwrap_or(0)
    }

    /// Returns whether this is a grant.
    pub(crate) fn is_grant(&self) -> bool {
        self.path == "/v1/grant"
    }

    /// Returns whether this is a release.
    pub(crate) fn is_release(&self) -> bool {
        self.path == "/v1/release"
    }

    /// Returns the first and last key of a command.
    pub(crate) fn keys(&self) -> (u64, u64) {
        // `target` is the last key of the range.
        (self.number("from"), self.number("target"))
    }

    /// Returns the fence of a command.
    pub(crate) fn fence(&self) -> u64 {
        self.number("fence")
    }

    /// Returns an answer to this request with its id.
    pub(crate) fn answer(&self, status: &str, headers: &str) -> String {
        let id = match &*self.id {
            "" => String::new(),
            id => format!("x-request-id: {id}\r\n"),
        };
        format!("HTTP/1.1 {status}\r\n{id}{headers}content-length: 0\r\n\r\n")
    }

    /// Returns the answer of a target that carries out every command and
    /// request.
    pub(crate) fn accept(&self) -> String {
        let headers = if self.is_release() { "x-handover: h\r\n" } else { "x-server-stamp: s\r\n" };
        self.answer("200 OK", headers)
    }

    /// Returns this request as a target reads it that does not name requests in
    /// its answers.
    pub(crate) fn without_id(&self) -> Self {
        Self { id: String::new(), ..self.clone() }
    }

    /// Returns whether two commands have a key in common.
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        let ((from, to), (other_from, other_to)) = (self.keys(), other.keys());
        from <= other_to && other_from <= to
    }
}

/// Bytes that a target writes, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reply {
    /// Bytes that are written at once.
    pub(crate) early: String,
    /// Time after which the answer is written.
    pub(crate) delay: Duration,
    pub(crate) answer: String,
}

impl From<String> for Reply {
    fn from(answer: String) -> Self {
        Self { answer, ..Self::default() }
    }
}

type Script = Box<dyn FnMut(&Received) -> Reply>;

struct State {
    id: &'static str,
    service: &'static str,
    addr: SocketAddr,
    process: watch::Sender<u64>,
    conns: Cell<u32>,
    received: RefCell<Vec<Received>>,
    script: RefCell<Script>,
}

/// A target whose answers a test scripts. Clones share its state.
#[derive(Clone)]
pub(crate) struct ScriptedTarget(Rc<State>);

impl ScriptedTarget {
    /// Starts a target of a service that accepts everything, and lists it in
    /// the directory.
    pub(crate) async fn start(fleet: &Fleet, id: &'static str, service: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let state = State {
            id,
            service,
            addr: listener.local_addr().unwrap(),
            process: watch::Sender::new(1),
            conns: Cell::new(0),
            received: RefCell::default(),
            script: RefCell::new(Box::new(|request| request.accept().into())),
        };
        let target = Self(Rc::new(state));
        target.publish(fleet, 1, "ready");
        let accepting = target.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = accepting.clone();
                actix_rt::spawn(async move { target.serve(stream).await });
            }
        });
        target
    }

    /// Replaces the script that answers requests.
    pub(crate) fn set_script(&self, script: impl FnMut(&Received) -> Reply + 'static) {
        *self.0.script.borrow_mut() = Box::new(script);
    }

    /// Writes the entry of a process of this target to the directory.
    pub(crate) fn publish(&self, fleet: &Fleet, process: u64, state: &str) {
        let State { id, service, addr, .. } = &*self.0;
        let entry = format!(
            r#"{{"address":"{addr}","born":{process},"info":{{"service":"{service}","zone":"z","slots":6}},"status":{{"state":"{state}"}}}}"#
        );
        fleet.store.put("keyed.servers", id, entry.as_bytes());
    }

    /// Ends the process and starts another one at the same address, which knows
    /// nothing of the first. Closes all connections. Returns the number of the
    /// new process.
    pub(crate) fn restart(&self) -> u64 {
        self.0.process.send_modify(|process| *process += 1);
        *self.0.process.borrow()
    }

    /// Returns the requests so far.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.0.received.borrow().clone()
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let state = &*self.0;
        let mut process = state.process.subscribe();
        let number = *process.borrow_and_update();
        state.conns.set(state.conns.get() + 1);
        let conn = state.conns.get();
        let mut buffer = BytesMut::new();
        for index in 0.. {
            let mut received = tokio::select! {
                received = read_request(&mut stream, &mut buffer) => received?,
                _ = process.changed() => return None,
            };
            (received.process, received.conn, received.index) = (number, conn, index);
            state.received.borrow_mut().push(received.clone());
            let reply = (state.script.borrow_mut())(&received);
            stream.write_all(reply.early.as_bytes()).await.ok()?;
            tokio::select! {
                () = actix_rt::time::sleep(reply.delay) => {}
                _ = process.changed() => return None,
            }
            stream.write_all(reply.answer.as_bytes()).await.ok()?;
        }
        None
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<Received> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let header = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                lines.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
            };
            let length = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let request = buffer.split_to(end + 4 + length);
                return Some(Received {
                    at: Instant::now(),
                    process: 0,
                    conn: 0,
                    index: 0,
                    path: head.split(' ').nth(1)?.to_owned(),
                    id: header("x-request-id").unwrap_or_default(),
                    body: serde_json::from_slice(&request[end + 4..]).unwrap_or_default(),
                });
            }
        }
        if stream.read_buf(buffer).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Checks that each process got keys only with fences above all of those with
/// which other processes got them before.
///
/// # Panics
///
/// Panics if one did not.
pub(crate) fn check_fences(targets: &[&ScriptedTarget]) {
    let mut grants: Vec<(&str, Received)> = Vec::new();
    for target in targets {
        let received = target.received().into_iter().filter(Received::is_grant);
        grants.extend(received.map(|grant| (target.0.id, grant)));
    }
    grants.sort_by_key(|(_, grant)| grant.at);
    for (i, (id, grant)) in grants.iter().enumerate() {
        let is_stale = |(other, earlier): &&(&str, Received)| {
            (*other, earlier.process) != (*id, grant.process)
                && earlier.overlaps(grant)
                && earlier.fence() >= grant.fence()
        };
        if let Some((other, earlier)) = grants[..i].iter().find(is_stale) {
            panic!("process {} of {id} got {grant:?} after {earlier:?} at {other}", grant.process);
        }
    }
}
