//! Test environment: gateways run as processes of their own, stand-ins of the
//! platform and the targets in the test process.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    actix_rt::System,
    awc::{Client, ClientRequest, http::Method},
    catkin::{
        admin::Status,
        api::{Load, Role, VmEntry, VmState, header, path},
        record::{self, Change, Publish, Record, Writer},
        settings::{Standin, parse},
        types::{Offset, Revision, Sequence, Span},
    },
    catkin_net::{LogClient, get, post, read_body},
    catkin_standin::{Echo, Ledger, PlatformFaults, RunningStandins, TargetFaults, start},
    std::{
        fs,
        future::Future,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Upper bound on the time of a test and of its single requests.
pub(crate) const TIMEOUT: Span = Span::from_secs(60);
pub(crate) const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Indexes of the targets. All are in zone b, and a gateway never keeps a target
/// of its own zone, so a gateway of zone b forwards every request.
pub(crate) const ORDERS: usize = 0;
pub(crate) const NOTES: usize = 1;
pub(crate) const PLANS: usize = 2;
/// Target of a service whose name is also the first segment of command paths.
pub(crate) const LEASE: usize = 3;

const BODY_BYTES_MAX: usize = 16 << 20;
const SETTINGS: &str = "
platform: {addr: '127.0.0.1:0', retention: 1h, lag: 0us, vms: []}
targets:
  - {id: orders-1, service: orders, zone: b, addr: '127.0.0.1:0', slots: 6, work: 1us, fenced: true}
  - {id: notes-1, service: notes, zone: b, addr: '127.0.0.1:0', slots: 6, work: 1us, fenced: true}
  - {id: plans-1, service: plans, zone: b, addr: '127.0.0.1:0', slots: 6, work: 1us, fenced: true}
  - {id: lease-1, service: lease, zone: b, addr: '127.0.0.1:0', slots: 6, work: 1us, fenced: true}
";
/// The leases have the longest duration that is allowed, so that none expires
/// on a busy machine.
const FLEET: &str = "
defaults: {deadline: 30s, queue_wait: 20s, lease_ttl: 890ms, retry_budget: 1, body_limit: 256KiB}
services:
  orders: {}
  lease: {}
  notes: {}
  plans: {keyed: true, slices: 4}
exceptions:
  - {service: notes, reason: notes may be repeated, author: test, set: {log_down: send}}
";

/// Runs a test against stand-ins whose settings `change` has adjusted.
pub(crate) fn run_with<Fut: Future<Output = ()>>(
    change: impl FnOnce(&mut Standin),
    test: impl FnOnce(Env) -> Fut,
) {
    System::new().block_on(async {
        let mut settings: Standin = parse(SETTINGS).unwrap();
        change(&mut settings);
        let running = start(&settings).await.unwrap();
        let env = Env { client: Client::builder().disable_timeout().finish(), running };
        for (target, addr) in settings.targets.iter().zip(&env.running.targets) {
            env.list_target(target.id.as_str(), target.service.as_str(), *addr).await;
        }
        // Fails a test that waits for a condition that never holds.
        actix_rt::time::timeout(TIMEOUT.as_duration(), test(env)).await.expect("the test timed out");
    });
}

/// Runs a test against stand-ins.
pub(crate) fn run<Fut: Future<Output = ()>>(test: impl FnOnce(Env) -> Fut) {
    run_with(|_| {}, test);
}

pub(crate) struct Env {
    pub(crate) client: Client,
    pub(crate) running: RunningStandins,
}

impl Env {
    pub(crate) fn platform(&self) -> SocketAddr {
        self.running.platform.unwrap()
    }

    pub(crate) fn log(&self) -> LogClient {
        LogClient::new(self.client.clone(), self.platform())
    }

    pub(crate) async fn set_platform_faults(&self, faults: PlatformFaults) {
        let _: PlatformFaults =
            post(&self.client, self.platform(), "/faults", &faults, TIMEOUT).await.unwrap();
    }

    pub(crate) async fn set_target_faults(&self, target: usize, faults: TargetFaults) {
        let addr = self.running.targets[target];
        let _: TargetFaults = post(&self.client, addr, "/faults", &faults, TIMEOUT).await.unwrap();
    }

    pub(crate) async fn ledger(&self, target: usize) -> Ledger {
        get(&self.client, self.running.targets[target], "/ledger", TIMEOUT).await.unwrap()
    }

    pub(crate) async fn load(&self, target: usize) -> Load {
        get(&self.client, self.running.targets[target], path::LOAD, TIMEOUT).await.unwrap()
    }

    /// Publishes the configuration of the fleet in the log.
    pub(crate) async fn publish(&self) {
        catkin::config::parse(FLEET).unwrap();
        let publish = Publish { expects: Revision::default(), author: "test".into(), text: FLEET.into() };
        let writer = Writer { id: "test".parse().unwrap(), boot: 1 };
        let record = Record { writer, sequence: Sequence(1), change: Change::Config(publish) };
        self.log().append(&record::encode(&record).unwrap(), TIMEOUT).await.unwrap();
    }

    pub(crate) async fn log_head(&self) -> Offset {
        self.log().read(Offset::default(), 1, Span::ZERO).await.unwrap().head
    }

    /// Adds a target to the VM list, or changes its address there.
    pub(crate) async fn list_target(&self, id: &str, service: &str, addr: SocketAddr) {
        let row = VmEntry {
            id: id.into(),
            role: Role::Target,
            service: Some(service.parse().unwrap()),
            zone: "b".parse().unwrap(),
            addr,
            admin: None,
            state: VmState::Live,
        };
        self.list_vm(&row).await;
    }

    async fn list_vm(&self, row: &VmEntry) {
        let url = format!("http://{}/vms", self.platform());
        let answer = self.client.post(url).send_json(row).await.unwrap();
        assert!(answer.status().is_success());
    }

    /// Starts a gateway and adds it to the VM list.
    pub(crate) async fn start_gateway(&self, zone: &str) -> Gateway {
        loop {
            // Another process may bind a port before the gateway does.
            if let Some(gateway) = self.try_start(zone).await {
                let row = VmEntry {
                    id: gateway.id.as_str().into(),
                    role: Role::Entry,
                    service: None,
                    zone: zone.parse().unwrap(),
                    addr: gateway.peers,
                    admin: Some(gateway.admin),
                    state: VmState::Live,
                };
                self.list_vm(&row).await;
                return gateway;
            }
        }
    }

    async fn try_start(&self, zone: &str) -> Option<Gateway> {
        let [callers, peers, admin] = free_addrs();
        let id = format!("gw-{zone}");
        let platform = self.platform();
        let text = format!(
            "{{vm: {id}, zone: {zone}, callers: '{callers}', peers: '{peers}', admin: '{admin}', \
             platform: {{log: '{platform}', vms: '{platform}'}}, limits: {{stall: 500ms, body: 250KiB, connections: 256}}}}"
        );
        let file = settings_file(&text);
        let stderr_file = file.with_extension("err");
        let child = program()
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(fs::File::create(&stderr_file).unwrap())
            .spawn()
            .unwrap();
        let client = self.client.clone();
        let mut gateway = Gateway { id, callers, peers, admin, child, client, stderr_file };
        // Connecting is no proof that it has started, because another process may
        // have bound the port.
        while !gateway.stderr().contains("gateway started") {
            if gateway.child.try_wait().unwrap().is_some() {
                let text = gateway.stderr();
                assert!(text.contains("can't listen") || text.contains("can't bind"), "{text}");
                return None;
            }
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
        Some(gateway)
    }

    /// Publishes the configuration, starts a gateway for each zone and waits
    /// until each of them serves orders, notes and plans.
    pub(crate) async fn start_fleet<const N: usize>(&self, zones: [&str; N]) -> [Gateway; N] {
        self.publish().await;
        let mut gateways = Vec::new();
        for zone in zones {
            let gateway = self.start_gateway(zone).await;
            // The first gateway has claimed all targets before the next one
            // starts.
            for path in ["/orders/x", "/notes/x", "/plans/x"] {
                gateway.wait_served(path).await;
            }
            gateways.push(gateway);
        }
        gateways.try_into().ok().unwrap()
    }
}

/// The program under test.
pub(crate) fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_catkin-gateway"))
}

/// Writes a settings file with a unique name and returns its path.
pub(crate) fn settings_file(text: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("gateway-{}-{number}.yaml", std::process::id());
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).unwrap();
    file
}

/// Returns local addresses whose ports are free for both TCP and UDP.
pub(crate) fn free_addrs() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| {
        loop {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()) {
                return (listener, socket);
            }
        }
    });
    listeners.map(|(listener, _)| listener.local_addr().unwrap())
}

/// A gateway process. Dropping the value kills it.
pub(crate) struct Gateway {
    pub(crate) id: String,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) admin: SocketAddr,
    child: Child,
    client: Client,
    stderr_file: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An answer as the caller gets it.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) code: String,
    pub(crate) outcome: String,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn echo(&self) -> Echo {
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// Returns the code and the outcome that the headers report.
    pub(crate) fn result(&self) -> (&str, &str) {
        (&self.code, &self.outcome)
    }
}

impl Gateway {
    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    /// Returns a request with a key, which services that are not keyed ignore.
    pub(crate) fn request(&self, method: &str, path: &str) -> ClientRequest {
        let method: Method = method.parse().unwrap();
        let request = self.client.request(method, format!("http://{}{path}", self.callers));
        request.insert_header((header::KEY, "key-1"))
    }

    /// Waits until a path is answered with status 200.
    pub(crate) async fn wait_served(&self, path: &str) {
        while send(self.request("GET", path), "").await.status != 200 {
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
    }

    pub(crate) async fn status(&self) -> Status {
        get(&self.client, self.admin, "/status", TIMEOUT).await.unwrap()
    }

    /// Waits until the status fulfils a condition, and returns it.
    pub(crate) async fn wait_status(&self, is_reached: impl Fn(&Status) -> bool) -> Status {
        loop {
            let status = self.status().await;
            if is_reached(&status) {
                return status;
            }
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Returns how many messages or records of a kind the gateway has dropped.
    pub(crate) async fn drop_count(&self, kind: &str) -> u64 {
        let url = format!("http://{}/metrics", self.admin);
        let mut answer = self.client.get(url).send().await.unwrap();
        let body = read_body(&mut answer, BODY_BYTES_MAX).await.unwrap();
        let text = String::from_utf8(body.to_vec()).unwrap();
        let start = format!("catkin_drops_total{{kind=\"{kind}\"}} ");
        text.lines().find_map(|line| line.strip_prefix(&start)).map_or(0, |count| count.parse().unwrap())
    }

    /// Waits until at least `count` messages or records of a kind were dropped.
    pub(crate) async fn wait_drop_count(&self, kind: &str, count: u64) {
        while self.drop_count(kind).await < count {
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Sends bytes to the callers' address and reads until the gateway closes the
    /// connection.
    pub(crate) async fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        // Fails if the gateway closes the connection before it has read all.
        let _ = stream.write_all(bytes).await;
        read_until_closed(&mut stream).await
    }

    pub(crate) fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait_exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Returns what the process has written to standard error.
    pub(crate) fn stderr(&self) -> String {
        fs::read_to_string(&self.stderr_file).unwrap()
    }

    /// Asserts that the process runs and has reported no panic.
    pub(crate) fn assert_alive(&mut self) {
        let stderr = self.stderr();
        assert!(self.child.try_wait().unwrap().is_none(), "{stderr}");
        assert!(!stderr.contains("panicked"), "{stderr}");
    }
}

/// Reads until the peer closes or resets the connection.
pub(crate) async fn read_until_closed(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request and reads its complete answer.
pub(crate) async fn send(request: ClientRequest, body: impl Into<String>) -> Reply {
    try_send(request, body).await.unwrap()
}

/// Sends a request and reads its answer.
///
/// # Errors
///
/// `Code::AnswerCut` if the answer is truncated.
pub(crate) async fn try_send(
    request: ClientRequest,
    body: impl Into<String>,
) -> Result<Reply, catkin::Error> {
    let mut answer = request.send_body(body.into()).await.unwrap();
    let text = |name: &str| {
        let value = answer.headers().get(name).map(|value| value.to_str().unwrap().to_owned());
        value.unwrap_or_default()
    };
    let (status, code, outcome) = (answer.status().as_u16(), text(header::CODE), text(header::OUTCOME));
    let body = read_body(&mut answer, BODY_BYTES_MAX).await?.to_vec();
    Ok(Reply { status, code, outcome, body })
}
