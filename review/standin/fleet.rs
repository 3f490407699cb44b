//! A small deployment: the store, the operator's configuration, servers and
//! entry processes.

use {
    crate::{
        client::{Conn, Request},
        edge::Edge,
        record::Record,
        server::{Server, Spec, World},
        store::Store,
    },
    std::{
        fs, io,
        net::{IpAddr, Ipv4Addr},
        path::PathBuf,
        sync::Arc,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Bounds of `sites/socavon-gw.toml`.
const BOUNDS: [(&str, &str); 17] = [
    ("seedLagS", "3"),
    ("addrReuseS", "2"),
    ("stableWindowMs", "3000"),
    ("ackMs", "4000"),
    ("catchUpS", "4"),
    ("drainMs", "2000"),
    ("graceS", "6"),
    ("lossSlackMs", "200"),
    ("configApplyMs", "2000"),
    ("rollbackSlackMs", "250"),
    ("maxSkewMs", "5000"),
    ("retryBudgetRatio", "0.2"),
    ("budgetWindowS", "10"),
    ("retryBudgetSlack", "56"),
    ("recoverS", "15"),
    ("holdMaxMs", "10000"),
    ("thawSlackMs", "300"),
];

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub aim_ms: u32,
    pub timeout_ms: u32,
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub world: Arc<World>,
    pub servers: Vec<Server>,
    pub edges: Vec<Edge>,
    folder: PathBuf,
}

/// Linear congruential generator.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

/// Returns the loopback address of a machine. Each run has a network of its own.
pub fn ip(machine: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (id % 128) as u8, 1 + (id / 128 % 250) as u8, machine))
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

fn config(routes: &[Route], services: &[(&str, bool)]) -> String {
    let rule = |route: &Route| {
        format!(
            "{{\"name\":\"r{}\",\"kind\":\"{}\",\"targetLatencyMs\":{},\"priority\":1,\"match\":{{\"pathPrefix\":\"{}\"}},\"action\":{{\"service\":\"{}\",\"timeoutMs\":{},\"maxAttempts\":2}}}}",
            route.prefix, route.kind, route.aim_ms, route.prefix, route.service, route.timeout_ms
        )
    };
    let cluster = |(name, keyed): &(&str, bool)| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"sharded\":{keyed}}}")
    };
    let rules: Vec<String> = routes.iter().map(rule).collect();
    let clusters: Vec<String> = services.iter().map(cluster).collect();
    format!(
        "{{\"configVersion\":\"00000007\",\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"listeners\":[{{\"hostname\":\"hulo84.example\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    )
}

impl Fleet {
    /// Starts everything, and waits until each entry process is ready and serves
    /// the path `probe`.
    pub fn start(
        record: &Record,
        edges: u8,
        bounds: &[(&'static str, &'static str)],
        routes: &[Route],
        services: &[(&str, bool)],
        specs: &[Spec],
        probe: &str,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("catkin-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(ip(1))?;
        store.put("keyed.op", "config", config(routes, services).as_bytes());
        let world = World::new(record);
        let mut fleet =
            Self { record: record.clone(), store, world, servers: Vec::new(), edges: Vec::new(), folder };
        for (i, spec) in specs.iter().enumerate() {
            let server = Server::start(&fleet.world, &fleet.store, ip(100 + i as u8), 0, spec, unix_millis(), Duration::ZERO)?;
            fleet.servers.push(server);
        }
        let mut all: Vec<(&'static str, &str)> = BOUNDS.to_vec();
        for (name, value) in bounds {
            all.iter_mut().filter(|(known, _)| known == name).for_each(|entry| entry.1 = value);
        }
        for i in 0..edges {
            let edge = Edge::start(&format!("front-z-a-{i}"), ip(10 + i), fleet.store.addr, &all, &fleet.folder)?;
            fleet.edges.push(edge);
        }
        let until = Instant::now() + Duration::from_secs(25);
        for (i, edge) in fleet.edges.iter().enumerate() {
            let mut number = 0;
            loop {
                number += 1;
                let id = format!("probe-{i}-{number}");
                let request = Request {
                    method: "GET",
                    path: probe,
                    id: &id,
                    key: Some((number * 7919) as u16),
                    deadline: Duration::from_millis(1_000),
                    body: b"",
                };
                let is_served = || Conn::open(edge.callers)?.send(&request).map(|answer| answer.status() == 200);
                if edge.is_ready() && is_served().unwrap_or(false) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other("the fleet does not serve"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        fleet.record.add("the fleet serves");
        Ok(fleet)
    }

    /// Sleeps until a time since the start of the case.
    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.record.seconds();
        thread::sleep(Duration::from_secs_f64(left.max(0.0)));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.edges.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
