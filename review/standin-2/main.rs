//! Cases of the review: `review-2 CASE FOLDER` runs one on loopback addresses and
//! exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
//! With `TROUBLE=0` there is no disruption.

mod allowed;
mod edge;
mod endless;
mod framing;
mod http;
mod record;
mod silence;
mod store;
mod table;
mod target;

use {
    edge::Edge,
    http::{Answer, Conn},
    record::Record,
    std::{
        env,
        net::{SocketAddr, TcpStream},
        path::{Path, PathBuf},
        process::exit,
        time::{Duration, Instant},
    },
    store::Store,
    target::Target,
};

/// End of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

/// Configuration of a small deployment: lookups of a sharded service, orders, uploads,
/// and requests that may take long.
const CONFIG: &str = r#"{"configVersion":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"listeners":[{"hostname":"hulo84.example","rules":[
{"name":"r-sheets","kind":"idempotent","targetLatencyMs":400,"priority":2,"match":{"pathPrefix":"/sheets/"},"action":{"service":"planoteca","timeoutMs":1000,"maxAttempts":2}},
{"name":"r-orders","kind":"non_idempotent","targetLatencyMs":500,"priority":1,"match":{"pathPrefix":"/orders/"},"action":{"service":"pedidos","timeoutMs":1200,"maxAttempts":2}},
{"name":"r-scans","kind":"upload","targetLatencyMs":500,"priority":1,"match":{"pathPrefix":"/scans/"},"action":{"service":"recepcion","timeoutMs":1200,"maxAttempts":2}},
{"name":"r-exports","kind":"idempotent","targetLatencyMs":1500,"priority":2,"match":{"pathPrefix":"/exports/"},"action":{"service":"recepcion","timeoutMs":8000,"maxAttempts":2}},
{"name":"r-ledgers","kind":"non_idempotent","targetLatencyMs":1500,"priority":1,"match":{"pathPrefix":"/ledgers/"},"action":{"service":"recepcion","timeoutMs":8000,"maxAttempts":2}}]}],
"clusters":[{"name":"planoteca","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false,"sharded":true,"warmS":5.0,"grants":"invocation"},{"name":"pedidos","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},{"name":"recepcion","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}]}"#;

/// Store, servers and machines of a case.
pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub targets: Vec<Target>,
    pub edges: Vec<Edge>,
}

impl Fleet {
    /// Starts three servers of each service and some machines, and waits until they
    /// serve.
    pub fn start(folder: &Path, record: &Record, machines: usize) -> Option<Self> {
        let store = Store::default();
        let addr = store.start();
        store.put("keyed.op", "config", CONFIG.as_bytes());
        let mut targets = Vec::new();
        for (service, is_sharded) in [("planoteca", true), ("pedidos", false), ("recepcion", false)] {
            for i in 0..3 {
                let id = format!("i-{service}-{i}");
                let work = Duration::from_millis(20);
                targets.push(Target::start(&store, record, &id, service, is_sharded, work));
            }
        }
        let edges = (0..machines).map(|i| Edge::start(folder, &format!("front-sur-a-{i}"), addr)).collect();
        let fleet = Self { record: record.clone(), store, targets, edges };
        let until = Instant::now() + Duration::from_secs(20);
        for (i, edge) in fleet.edges.iter().enumerate() {
            if !edge.await_ready(Duration::from_secs(20)) {
                return None;
            }
            for tries in 0.. {
                let paths = ["/sheets/0", "/orders/0"];
                let served = paths.iter().filter(|path| {
                    let method = if path.starts_with("/orders") { "POST" } else { "GET" };
                    let call = Call {
                        method,
                        path,
                        id: format!("warm-{i}-{tries}"),
                        deadline_ms: 1_000,
                        key: None,
                        headers: &[],
                        body: b"",
                    };
                    call.send(edge.callers, Duration::from_secs(2)).is_some_and(|a| a.status == 200)
                });
                if served.count() == paths.len() {
                    break;
                }
                if Instant::now() > until {
                    return None;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Some(fleet)
    }

    /// Returns the servers of a service.
    pub fn of_service(&self, service: &str) -> Vec<&Target> {
        self.targets.iter().filter(|target| target.service() == service).collect()
    }
}

/// A request of a client.
#[derive(Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: String,
    pub deadline_ms: u64,
    /// Key of a request to a sharded service.
    pub key: Option<u16>,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

impl Call<'_> {
    /// Sends the request on a new connection, and reads the answer until it is
    /// complete, the connection ends or the time is up.
    pub fn send(&self, addr: SocketAddr, within: Duration) -> Option<Answer> {
        let until = Instant::now() + within;
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        let mut conn = Conn::new(stream);
        let deadline = self.deadline_ms.to_string();
        let key = self.key.map(|key| key.to_string()).unwrap_or_default();
        let mut headers =
            vec![("Host", "hulo84.example"), ("X-Request-Id", &*self.id), ("X-Deadline-Ms", &deadline)];
        if self.key.is_some() {
            headers.push(("X-Shard-Key", &key));
        }
        headers.extend_from_slice(self.headers);
        http::write(
            &mut conn.stream,
            &format!("{} {} HTTP/1.1", self.method, self.path),
            &headers,
            self.body,
        )
        .ok()?;
        conn.answer(until, self.method != "HEAD")
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let scratch = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("temporary folder");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let outcome = match case.as_str() {
        "endless" => endless::run(&scratch, &record),
        "framing" => framing::run(&scratch, &record),
        "allowed" => allowed::run(&scratch, &record),
        "table" => table::run(&scratch, &record),
        "silence" => silence::run(&scratch, &record),
        _ => {
            eprintln!("unknown case {case}");
            Outcome::NotRun
        }
    };
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("logs: {}", scratch.display());
    }
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun => 2,
    });
}
