//! Settings of one process, read at its start.

use {
    catkin::{
        Error,
        logs::Layout,
        settings,
        types::{VmId, Zone},
    },
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Settings of `catkin-edge`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    /// Name of the VM.
    pub(crate) vm: VmId,
    /// Availability zone of the VM.
    pub(crate) zone: Zone,
    /// Address for callers (HTTP).
    pub(crate) callers: SocketAddr,
    /// Address for the platform's question whether the process is ready, and
    /// for metrics (HTTP).
    pub(crate) admin: SocketAddr,
    /// Address for metrics alone (HTTP); without it they are at the admin
    /// address only.
    #[serde(default)]
    pub(crate) metrics: Option<SocketAddr>,
    /// Address for other edge processes (TCP).
    pub(crate) peers: SocketAddr,
    /// Address of the platform's store (HTTP).
    pub(crate) store: SocketAddr,
    /// Share of a core that the process has.
    #[serde(default = "one")]
    pub(crate) cores: f64,
    /// Bandwidth of the VM's link, in Mbit/s.
    #[serde(default = "gigabit")]
    pub(crate) bandwidth: f64,
    /// The platform's bounds, as `name=value`.
    #[serde(default)]
    pub(crate) bounds: Vec<String>,
    /// Layout of log lines.
    #[serde(default)]
    pub(crate) logs: Layout,
}

fn one() -> f64 {
    1.0
}

fn gigabit() -> f64 {
    1_000.0
}

impl settings::Settings for Settings {
    fn check(&self) -> Result<(), Error> {
        catkin_platform::bounds::decode(&self.bounds).map(drop).map_err(|e| e.with_path("bounds"))
    }
}
