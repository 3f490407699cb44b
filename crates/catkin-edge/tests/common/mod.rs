//! Fleet of real edge processes in front of stand-ins of the users' platform.
#![allow(dead_code)]

pub(crate) mod holders;
mod listeners;
pub(crate) mod ports;
pub(crate) mod target;

pub(crate) use ports::free_addr;
use {
    actix_http::{
        Method, ServiceConfig,
        header::{HOST, HeaderName, HeaderValue},
    },
    bytes::Bytes,
    catkin_net::Conn,
    catkin_route::owners::Owners,
    catkin_standin::users::{Config, InvariantChecker, Route, Server, Store, put_config},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        cell::{Cell, RefCell},
        env,
        fs::{self, File},
        io,
        net::SocketAddr,
        path::PathBuf,
        pin::pin,
        process::{Child, Command, Stdio},
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpSocket, TcpStream},
        sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
        task::JoinHandle,
    },
};

/// One edge process, which is killed when the value is dropped.
pub(crate) struct Edge {
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
    peers: SocketAddr,
    /// Memory that the process is told it has, in MB; the default if `None`.
    pub(crate) memory_mb: Cell<Option<u32>>,
    file: PathBuf,
    child: RefCell<Option<Child>>,
    /// Processes that ended by themselves with an error.
    failures: RefCell<Vec<String>>,
}

impl Edge {
    /// Writes the settings file and starts a process.
    pub(crate) fn start(name: &str, store: SocketAddr) -> Self {
        Self::start_with(name, store, "")
    }

    /// Starts a process with further lines in its settings file.
    pub(crate) fn start_with(name: &str, store: SocketAddr, settings: &str) -> Self {
        Self::start_at(name, store, free_addr(), settings)
    }

    /// Starts a process that other processes reach at an address.
    pub(crate) fn start_at(name: &str, store: SocketAddr, peers: SocketAddr, settings: &str) -> Self {
        let (callers, admin) = (free_addr(), free_addr());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = dir.join(format!("{name}-{}.yaml", callers.port()));
        let text = format!(
            "vm: {name}\nzone: z\ncallers: {callers}\nadmin: {admin}\npeers: {peers}\nstore: {store}\nbounds: [\"graceS=5\"]\n{settings}"
        );
        fs::write(&file, text).unwrap();
        let edge = Self {
            callers,
            admin,
            peers,
            memory_mb: Cell::new(None),
            file,
            child: RefCell::default(),
            failures: RefCell::default(),
        };
        edge.restart();
        edge
    }

    /// Starts the process again if it has ended.
    pub(crate) fn restart(&self) {
        let errors = File::create(self.errors_file()).unwrap();
        self.restart_with(self.output(), errors.into());
    }

    /// Returns the file with the errors of the last process.
    fn errors_file(&self) -> PathBuf {
        self.file.with_extension("err")
    }

    /// Starts the process again if it has ended, with its output and errors.
    pub(crate) fn restart_with(&self, output: Stdio, errors: Stdio) {
        if !self.has_ended() {
            return;
        }
        let memory = self.memory_mb.get().map(|mb| ["--memory".to_owned(), mb.to_string()]);
        let child = Command::new(env!("CARGO_BIN_EXE_catkin-edge"))
            .arg("--settings")
            .arg(&self.file)
            .args(memory.iter().flatten())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap();
        *self.child.borrow_mut() = Some(child);
    }

    /// Returns where the process writes its log: a file in the folder that the
    /// variable `EDGE_LOGS` names, or nowhere.
    fn output(&self) -> Stdio {
        let Some(file) = self.log_file() else { return Stdio::null() };
        File::options().create(true).append(true).open(file).unwrap().into()
    }

    fn log_file(&self) -> Option<PathBuf> {
        let name = self.file.with_extension("log");
        Some(PathBuf::from(env::var_os("EDGE_LOGS")?).join(name.file_name().unwrap()))
    }

    /// Waits until the process listens at its addresses.
    ///
    /// # Errors
    ///
    /// Describes the process if it ends with an error, or does not listen in time.
    pub(crate) async fn wait_until_started(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        while !self.is_listening() {
            // A process that a test has ended may be started again meanwhile.
            let _ = self.has_ended();
            if !self.failures.borrow().is_empty() || Instant::now() >= until {
                return Err(self.state());
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Returns whether the process itself listens at its addresses. An answer does
    /// not show that: another process may have taken the port.
    fn is_listening(&self) -> bool {
        let id = self.child.borrow().as_ref().map(Child::id);
        let addrs = [self.callers, self.admin, self.peers];
        id.is_some_and(|id| addrs.iter().all(|addr| listeners::listens(id, addr.port())))
    }

    /// Describes the process for the message of a failed test.
    pub(crate) fn state(&self) -> String {
        let errors = fs::read_to_string(self.errors_file()).unwrap_or_default();
        format!(
            "process at {}: ended: {}, listens itself: {}, failures: {:?}, errors: {:?}, log: {:?}",
            self.callers,
            self.has_ended(),
            self.is_listening(),
            self.failures.borrow(),
            errors.trim(),
            self.log_file()
        )
    }

    /// Checks that no process has ended by itself with an error.
    pub(crate) fn check_failures(&self) {
        let _ = self.has_ended();
        assert_eq!(*self.failures.borrow(), Vec::<String>::new(), "{}", self.state());
    }

    /// Sends a signal to the process if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        if self.has_ended() {
            return;
        }
        if let Some(child) = &*self.child.borrow() {
            let pid = Pid::from_raw(i32::try_from(child.id()).unwrap());
            kill(pid, signal).unwrap();
        }
    }

    /// Returns the resident memory of the process.
    pub(crate) fn memory_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// Returns the peak of the process's resident memory.
    pub(crate) fn memory_peak_mb(&self) -> u64 {
        self.status_kb("VmHWM:") / 1_000
    }

    fn status_kb(&self, name: &str) -> u64 {
        let id = self.child.borrow().as_ref().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let value = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        value.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether no process runs.
    pub(crate) fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let Some(running) = &mut *child else { return true };
        let Some(status) = running.try_wait().unwrap() else { return false };
        *child = None;
        if status.code().is_some_and(|code| code != 0) {
            let errors = fs::read_to_string(self.errors_file()).unwrap_or_default();
            self.failures.borrow_mut().push(format!("{status}: {}", errors.trim()));
        }
        true
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.file);
        let _ = fs::remove_file(self.errors_file());
        for addr in [self.callers, self.admin, self.peers] {
            ports::release(addr.port());
        }
    }
}

/// Answer to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: String,
    pub(crate) retry_after: Option<String>,
    pub(crate) closes: bool,
}

/// Counts of served and other requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) served: Rc<Cell<u32>>,
    pub(crate) unserved: Rc<Cell<u32>>,
    /// Served requests with large answers.
    pub(crate) downloads: Rc<Cell<u32>>,
}

impl Tally {
    /// Counts a response, or that there was none.
    pub(crate) fn count(&self, response: Option<&Response>) {
        let is_served = response.is_some_and(|response| response.status == 200);
        let count = if is_served { &self.served } else { &self.unserved };
        count.set(count.get() + 1);
        if response.is_some_and(|response| response.body.len() > 1_000) {
            self.downloads.set(self.downloads.get() + 1);
        }
    }

    /// Returns the share of the requests that were served.
    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.served.get()) / f64::from(self.served.get() + self.unserved.get()).max(1.0)
    }
}

/// Store, servers and edge processes of one test.
pub(crate) struct Fleet {
    pub(crate) store: Store,
    store_addr: SocketAddr,
    pub(crate) servers: Vec<Server>,
    pub(crate) edges: Vec<Edge>,
    pub(crate) checker: InvariantChecker,
    /// Proxies between each edge process and the store.
    pub(crate) proxies: Vec<Proxy>,
    /// Proxies between each edge process and those that report to it.
    pub(crate) links: Vec<Proxy>,
    next_id: Rc<Cell<u64>>,
}

/// Returns the configuration of the tests: keyed lookups, orders and uploads.
pub(crate) fn plan(version: u32) -> Config {
    let route = |prefix, kind, service| Route { prefix, kind, priority: 1, split: vec![(service, 1)] };
    Config {
        version,
        routes: vec![
            route("/read/", "idempotent", "keyed"),
            route("/order/", "non_idempotent", "plain"),
            route("/scan/", "upload", "plain"),
        ],
        services: vec![("keyed", true), ("plain", false)],
        timeout_ms: 1_000,
        cold_per_s: None,
    }
}

impl Fleet {
    /// Starts a fleet of edge processes with three servers of each service,
    /// and waits until they serve.
    pub(crate) async fn start(edges: usize) -> Self {
        Self::start_in(edges, &["z"]).await
    }

    /// Starts a fleet as [`start`](Self::start) does, with the servers in the given
    /// zones in turn.
    pub(crate) async fn start_in(edges: usize, zones: &[&str]) -> Self {
        let store = Store::default();
        let store_addr = store.start().await;
        let checker = InvariantChecker::default();
        put_config(&store, &plan(1));
        let mut servers = Vec::new();
        for i in 0..6 {
            let (service, keyed) = if i < 3 { ("keyed", true) } else { ("plain", false) };
            let (zone, id, work) = (zones[i % zones.len()], format!("s{i}"), Duration::from_millis(20));
            let server = Server::new_in(zone, &id, service, keyed, work, &store, &checker);
            server.start().await;
            servers.push(server);
        }
        let mut fleet = Self {
            store,
            store_addr,
            servers,
            edges: Vec::new(),
            checker,
            proxies: Vec::new(),
            links: Vec::new(),
            next_id: Rc::default(),
        };
        for _ in 0..edges {
            fleet.add_edge("").await;
        }
        fleet.wait_until_serving(Duration::from_secs(15)).await;
        fleet
    }

    /// Starts one more edge process with further lines in its settings file.
    pub(crate) async fn add_edge(&mut self, settings: &str) {
        let (store, peers) = (Proxy::start(self.store_addr).await, free_addr());
        let link = Proxy::start(peers).await;
        let settings = format!("advertised: {}\n{settings}", link.addr);
        self.edges.push(Edge::start_at(&format!("edge-{}", self.edges.len()), store.addr, peers, &settings));
        self.proxies.push(store);
        self.links.push(link);
    }

    /// Waits until every edge process serves keyed requests.
    pub(crate) async fn wait_until_serving(&self, within: Duration) {
        let until = Instant::now() + within;
        for edge in &self.edges {
            edge.check_failures();
            if let Err(state) = edge.wait_until_started(within).await {
                panic!("not started within {within:?}: {state}");
            }
            while self.get(edge, 1).await.is_none_or(|response| response.status != 200) {
                let states = || self.edges.iter().map(Edge::state).collect::<Vec<_>>();
                assert!(Instant::now() < until, "no service within {within:?}: {:#?}", states());
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Returns the address of the store, without a proxy.
    pub(crate) fn store_addr(&self) -> SocketAddr {
        self.store_addr
    }

    /// Returns the newest table of owners.
    pub(crate) fn table(&self) -> Owners {
        let records = self.store.newest("keyed.owners");
        Owners::decode(&records["table"]).unwrap()
    }

    /// Returns the number of the edge process that wrote the newest table of
    /// owners.
    pub(crate) fn leader(&self) -> usize {
        let table = self.table();
        (0..self.edges.len()).find(|i| *table.leader.vm == *format!("edge-{i}")).unwrap()
    }

    /// Returns a new request id.
    pub(crate) fn id(&self) -> String {
        self.next_id.set(self.next_id.get() + 1);
        format!("q{}", self.next_id.get())
    }

    /// Sends an idempotent lookup for a key.
    pub(crate) async fn get(&self, edge: &Edge, key: u16) -> Option<Response> {
        let id = self.id();
        let response = send(edge, Method::GET, "/read/x", &id, Some(key), Vec::new()).await;
        self.check_response(&id, response, false)
    }

    /// Sends a non-idempotent order.
    pub(crate) async fn order(&self, edge: &Edge) -> Option<Response> {
        let id = self.id();
        let response =
            send(edge, Method::POST, "/order/x", &id, None, vec![Bytes::from_static(b"order")]).await;
        self.check_response(&id, response, true)
    }

    /// Records refusals and answers that belong to another request.
    pub(crate) fn check_response(
        &self,
        id: &str,
        response: Option<Response>,
        once: bool,
    ) -> Option<Response> {
        if let Some(response) = &response {
            if matches!(response.status, 408 | 421 | 429 | 503) {
                self.checker.record_refusal(id, once);
            }
            if response.status == 200 && !response.body.starts_with(&format!("{id} ")) {
                let begin: String = response.body.chars().take(100).collect();
                self.checker.add_violation(format!("request {id} got {begin:?}"));
            }
            let length = response.body.len();
            if response.status == 200 && length > 1_000 && !response.body.ends_with(" end") {
                self.checker.add_violation(format!("request {id} got {length} bytes without the end"));
            }
        }
        response
    }

    /// Checks that no violation is recorded and that no process has ended with an
    /// error.
    pub(crate) fn check(&self) {
        self.edges.iter().for_each(Edge::check_failures);
        assert_eq!(self.checker.violations(), Vec::<String>::new());
    }
}

/// Returns the metrics of a process in the text format.
pub(crate) async fn metrics(edge: &Edge) -> String {
    let mut conn =
        Conn::open(edge.admin, Duration::from_millis(500), ServiceConfig::default()).await.unwrap();
    let mut head = catkin_net::request_head(Method::GET, "/metrics".parse().unwrap());
    head.headers.insert(HOST, HeaderValue::from_static("h"));
    let reply = conn.exchange(head, Vec::new(), false, |_| true).await.unwrap();
    assert!(reply.head.status.is_success());
    String::from_utf8_lossy(&reply.body).into_owned()
}

/// Returns the value of a metric with its labels.
pub(crate) async fn metric(edge: &Edge, name: &str) -> Option<f64> {
    let text = metrics(edge).await;
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map(|value| value.parse().unwrap())
}

/// Opens a connection of a caller.
pub(crate) async fn open(edge: &Edge) -> Option<Conn> {
    Conn::open(edge.callers, Duration::from_millis(500), ServiceConfig::default()).await.ok()
}

/// Sends one request on a connection of its own.
pub(crate) async fn send(
    edge: &Edge,
    method: Method,
    path: &str,
    id: &str,
    key: Option<u16>,
    body: Vec<Bytes>,
) -> Option<Response> {
    let mut conn = open(edge).await?;
    send_on(&mut conn, method, path, id, key, body).await
}

/// Sends one request on a kept connection.
pub(crate) async fn send_on(
    conn: &mut Conn,
    method: Method,
    path: &str,
    id: &str,
    key: Option<u16>,
    body: Vec<Bytes>,
) -> Option<Response> {
    let mut head = catkin_net::request_head(method, path.parse().unwrap());
    let mut set = |name: &'static str, value: &str| {
        head.headers.insert(HeaderName::from_static(name), value.parse().unwrap());
    };
    set("host", "h");
    set("x-request-id", id);
    set("x-deadline-ms", "1000");
    if let Some(key) = key {
        set("x-shard-key", &key.to_string());
    }
    let exchange = conn.exchange(head, body, false, |_| true);
    let reply = tokio::time::timeout(Duration::from_millis(1_500), exchange).await.ok()?.ok()?;
    let text = |name: &str| reply.head.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    Some(Response {
        status: reply.head.status.as_u16(),
        body: String::from_utf8_lossy(&reply.body).into_owned(),
        retry_after: text("retry-after"),
        closes: !reply.reusable,
    })
}

/// How a proxy handles bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// Forwards all bytes.
    #[default]
    Up,
    /// Forwards all bytes after 150 ms.
    Slow,
    /// Forwards requests and no answers.
    OneWay,
    /// Forwards nothing and keeps connections open.
    Stalled,
    /// As a network that drops all packets: open connections go silent for good,
    /// and new ones are not accepted, so that the system of the other end repeats
    /// its attempts after 1, 2 and 4 s.
    Cut,
    /// Open connections go silent for good, and so do those that are opened now.
    Silent,
    /// Resets connections.
    Reset,
}

/// Proxy on loopback that injects network faults.
#[derive(Clone)]
pub(crate) struct Proxy {
    faults: Rc<ProxyFaults>,
    pub(crate) addr: SocketAddr,
}

/// Faults of a proxy.
#[derive(Default)]
struct ProxyFaults {
    mode: Cell<ProxyMode>,
    /// Time by which bytes of answers are late.
    answer_delay: Cell<Duration>,
    /// Number of times that all open connections went silent.
    silences: Cell<u32>,
    /// Number of reads of the store that came on silent connections.
    silent_reads: Cell<u32>,
    /// Connections that fill the queue of the listener.
    fillers: RefCell<Vec<JoinHandle<()>>>,
}

/// Connections that the listener of a proxy queues.
const QUEUE_LENGTH: u32 = 16;

impl Proxy {
    /// Starts a proxy in front of an address.
    pub(crate) async fn start(to: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(QUEUE_LENGTH).unwrap();
        let proxy = Self { faults: Rc::default(), addr: listener.local_addr().unwrap() };
        let faults = proxy.faults.clone();
        actix_rt::spawn(async move {
            loop {
                while faults.mode.get() == ProxyMode::Cut {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                let Ok((near, _)) = listener.accept().await else { return };
                let faults = faults.clone();
                actix_rt::spawn(async move {
                    if matches!(faults.mode.get(), ProxyMode::Silent | ProxyMode::Cut) {
                        let mut request = [0; 64];
                        let _ = near.readable().await;
                        let count = near.try_read(&mut request).unwrap_or(0);
                        let text = String::from_utf8_lossy(&request[..count]);
                        let is_read = text.contains("/v1/log-read") || text.contains("/v1/log-newest");
                        faults.silent_reads.set(faults.silent_reads.get() + u32::from(is_read));
                        return std::future::pending().await;
                    }
                    let Ok(far) = TcpStream::connect(to).await else {
                        let _ = near.set_zero_linger();
                        return;
                    };
                    let (near, far) = (Rc::new(near), Rc::new(far));
                    let silences = faults.silences.get();
                    let there = Copy {
                        from: near.clone(),
                        to: far.clone(),
                        faults: faults.clone(),
                        silences,
                        is_answer: false,
                    };
                    let back = Copy { from: far, to: near, faults, silences, is_answer: true };
                    tokio::select! {
                        () = there.run() => {}
                        () = back.run() => {}
                    }
                });
            }
        });
        proxy
    }

    /// Changes how bytes are handled.
    pub(crate) fn set(&self, mode: ProxyMode) {
        self.faults.mode.set(mode);
        if matches!(mode, ProxyMode::Cut | ProxyMode::Silent) {
            self.silence();
        }
        let mut fillers = self.faults.fillers.borrow_mut();
        fillers.drain(..).for_each(|filler| filler.abort());
        if mode == ProxyMode::Cut {
            // A full queue makes the system drop attempts to connect.
            let addr = self.addr;
            let fill = |_| {
                actix_rt::spawn(async move {
                    let _open = TcpStream::connect(addr).await;
                    std::future::pending().await
                })
            };
            fillers.extend((0..QUEUE_LENGTH + 4).map(fill));
        }
    }

    /// Returns the number of reads of the store that came on connections opened in
    /// the mode [`ProxyMode::Silent`].
    pub(crate) fn silent_reads(&self) -> u32 {
        self.faults.silent_reads.get()
    }

    /// Delays bytes of answers that arrive from now on.
    pub(crate) fn set_answer_delay(&self, delay: Duration) {
        self.faults.answer_delay.set(delay);
    }

    /// Stops all open connections for good without closing them. Later
    /// connections work.
    pub(crate) fn silence(&self) {
        self.faults.silences.set(self.faults.silences.get() + 1);
    }
}

/// Bytes of a connection in one direction.
struct Copy {
    from: Rc<TcpStream>,
    to: Rc<TcpStream>,
    faults: Rc<ProxyFaults>,
    /// Value of [`ProxyFaults::silences`] when the connection was opened.
    silences: u32,
    is_answer: bool,
}

impl Copy {
    /// Copies bytes until the stream ends or the mode is [`ProxyMode::Reset`].
    async fn run(self) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut written = pin!(write(&self.to, receiver));
        tokio::select! {
            () = self.read(sender) => {}
            () = &mut written => return,
        }
        if self.faults.mode.get() != ProxyMode::Reset {
            written.await;
        }
    }

    /// Reads until the stream ends or the mode is [`ProxyMode::Reset`].
    async fn read(&self, sender: UnboundedSender<(Instant, Vec<u8>)>) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let ready = tokio::time::timeout(Duration::from_millis(100), self.from.readable()).await;
            if self.silences < self.faults.silences.get() {
                return std::future::pending().await;
            }
            match self.faults.mode.get() {
                ProxyMode::Reset => {
                    let _ = self.from.set_zero_linger();
                    let _ = self.to.set_zero_linger();
                    return;
                }
                ProxyMode::Stalled | ProxyMode::Cut | ProxyMode::Silent => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
                ProxyMode::OneWay if self.is_answer => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
                ProxyMode::Slow => tokio::time::sleep(Duration::from_millis(150)).await,
                ProxyMode::OneWay | ProxyMode::Up => {}
            }
            if ready.is_err() {
                continue;
            }
            let count = match self.from.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(_) => return,
            };
            let delay = if self.is_answer { self.faults.answer_delay.get() } else { Duration::ZERO };
            if sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() {
                return;
            }
        }
    }
}

/// Writes bytes when they are due.
async fn write(to: &TcpStream, mut receiver: UnboundedReceiver<(Instant, Vec<u8>)>) {
    while let Some((due, bytes)) = receiver.recv().await {
        tokio::time::sleep_until(due.into()).await;
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            if to.writable().await.is_err() {
                return;
            }
            match to.try_write(rest) {
                Ok(count) => rest = &rest[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}
