//! The operator: writes configurations to the topic `keyed.op`.

use {
    super::store::Store,
    serde_json::{Value, json},
};

/// A route of a configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Prefix of the paths that the route matches.
    pub prefix: &'static str,
    /// Kind of the requests in the platform's terms, such as `idempotent`; it
    /// decides whether they may be retried.
    pub kind: &'static str,
    /// Rank of the requests, 0 is the most urgent.
    pub priority: u32,
    /// Services among which the requests are split, with their weights.
    pub split: Vec<(&'static str, u32)>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version, which `configVersion` shows as eight hexadecimal digits.
    pub version: u32,
    /// Routes of the host `h`.
    pub routes: Vec<Route>,
    /// Services, each with whether it is sharded, that is, its keys have
    /// owners.
    pub services: Vec<(&'static str, bool)>,
    /// Time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Requests per second that a cold server of any service takes, if they are
    /// limited.
    pub cold_per_s: Option<f64>,
}

/// Writes a configuration for the host `h`.
pub fn put_config(store: &Store, config: &Config) {
    put_document(store, &to_document(config));
}

/// Writes a configuration as a document, which may have faults.
pub fn put_document(store: &Store, document: &Value) {
    store.put("keyed.op", "config", document.to_string().as_bytes());
}

/// Returns the document of a configuration for the host `h`.
pub fn to_document(config: &Config) -> Value {
    let rules: Vec<Value> = config.routes.iter().map(|route| rule(config, route)).collect();
    let cluster = |(name, keyed): &(&str, bool)| json!({ "name": name, "healthPath": "/health", "maxConns": 100, "sharded": keyed, "coldPerS": config.cold_per_s });
    let clusters: Vec<Value> = config.services.iter().map(cluster).collect();
    json!({
        "configVersion": format!("{:08x}", config.version),
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "listeners": [{ "hostname": "h", "rules": rules }],
        "clusters": clusters,
    })
}

/// Evacuates a zone.
pub fn evacuate(store: &Store, zone: &str) {
    store.put("keyed.op", &format!("evacuate/{zone}"), b"{}");
}

/// Withdraws the evacuation of a zone.
pub fn withdraw_evacuation(store: &Store, zone: &str) {
    store.put("keyed.op", &format!("evacuate/{zone}"), b"");
}

fn rule(config: &Config, route: &Route) -> Value {
    let split: Vec<Value> = route.split.iter().map(|(s, w)| json!({ "service": s, "weight": w })).collect();
    json!({
        "name": format!("r{}", route.prefix),
        "kind": route.kind,
        "targetLatencyMs": 400,
        "priority": route.priority,
        "match": { "pathPrefix": route.prefix },
        "action": { "trafficSplit": split, "timeoutMs": config.timeout_ms, "maxAttempts": 2 },
    })
}
