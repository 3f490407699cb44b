//! Settings of the process, which are read once at its start.

use {
    catkin::{
        Error,
        logs::Layout,
        settings,
        types::{Span, VmId, Zone},
    },
    catkin_route::spill::CrossingCost,
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Settings of `catkin-edge`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Name of the VM; at most one process runs on a VM.
    pub(crate) vm: VmId,
    /// Availability zone of the VM.
    pub(crate) zone: Zone,
    /// Address that callers connect to (HTTP).
    pub(crate) callers: SocketAddr,
    /// Address of the readiness check and of metrics (HTTP).
    pub(crate) admin: SocketAddr,
    /// Additional address of the same endpoints, for metrics (HTTP); if absent,
    /// metrics are served at the admin address only.
    #[serde(default)]
    pub(crate) metrics: Option<SocketAddr>,
    /// Address that other edge processes connect to (TCP).
    pub(crate) peers: SocketAddr,
    /// Address at which other processes reach `peers`, if it differs.
    #[serde(default)]
    pub(crate) advertised: Option<SocketAddr>,
    /// Address of the platform's store (HTTP).
    pub(crate) store: SocketAddr,
    /// Processor time that the process may use, in cores.
    #[serde(default = "default_cores")]
    pub(crate) cores: f64,
    /// Bandwidth of the VM's link, in Mbit/s.
    #[serde(default = "default_bandwidth")]
    pub(crate) bandwidth: f64,
    /// Whether the whole fleet starts for the first time, before its callers.
    #[serde(default)]
    pub(crate) bootstrap: Option<bool>,
    /// Interval at which targets write their directory entries, in milliseconds;
    /// 1,000 if absent.
    #[serde(default)]
    pub(crate) heartbeat_ms: Option<u64>,
    /// Limits of the platform, as `name=value`.
    #[serde(default)]
    pub(crate) bounds: Vec<String>,
    /// Time of the crossing to another zone and back, in milliseconds, as a request
    /// without a key weighs it against the wait in its own zone.
    #[serde(default)]
    pub(crate) crossing_ms: Option<u32>,
    /// Wait in the own zone that is accepted to save the price of a request to
    /// another zone, in milliseconds.
    #[serde(default)]
    pub(crate) crossing_price_ms: Option<u32>,
    /// The same for a million bytes of its body and its answer, in milliseconds.
    #[serde(default)]
    pub(crate) megabyte_price_ms: Option<u32>,
    /// Size from which on a body is large, in bytes: such requests leave the zone
    /// after others.
    #[serde(default)]
    pub(crate) large_body_bytes: Option<u32>,
    /// Layout of log lines.
    #[serde(default)]
    pub(crate) logs: Layout,
}

fn default_cores() -> f64 {
    1.0
}

fn default_bandwidth() -> f64 {
    1_000.0
}

impl Settings {
    /// Returns what the crossing to another zone costs.
    pub(crate) fn crossing_cost(&self) -> CrossingCost {
        let default = CrossingCost::default();
        let span = |millis: Option<u32>, default: Span| {
            millis.map_or(default, |millis| Span::from_millis(u64::from(millis)))
        };
        CrossingCost {
            round_trip: span(self.crossing_ms, default.round_trip),
            per_request: span(self.crossing_price_ms, default.per_request),
            per_megabyte: span(self.megabyte_price_ms, default.per_megabyte),
            large_bytes: self.large_body_bytes.map_or(default.large_bytes, |bytes| bytes as usize),
        }
    }
}

impl settings::Settings for Settings {
    fn check(&self) -> Result<(), Error> {
        catkin_platform::bounds::decode(&self.bounds).map(drop).map_err(|e| e.with_path("bounds"))
    }
}
