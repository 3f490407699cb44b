//! Paths and JSON bodies of the admin address of a gateway.

use {
    crate::{
        event,
        types::{Offset, Revision, Span, TargetId, VmId, Zone},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Paths of the admin address.
pub mod path {
    /// Metrics in the Prometheus text format.
    pub const METRICS: &str = "/metrics";
    /// State of the process as [`super::Status`].
    pub const STATUS: &str = "/status";
    /// Part of the event ring as [`super::Events`]. The query `from=N` sets the
    /// number of the first event, `max=M` the maximum number of events.
    pub const EVENTS: &str = "/events";
}

/// State of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// VM of the process.
    pub vm: VmId,
    /// Incarnation of the process: a number that differs for each start of it.
    pub boot: u64,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Offset of the next record that the process reads.
    pub offset: Offset,
    /// Whether the log is available.
    pub log: Availability,
    /// Whether the process is handing over its targets before it exits.
    pub leaving: bool,
    /// Targets whose keeper is this process.
    pub targets: Vec<KeptTarget>,
    /// Other gateways that the process knows.
    pub peers: Vec<Peer>,
    /// Time since the start of the process.
    pub uptime: Span,
}

/// Whether a service of the platform is available.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// The service answers.
    #[display("up")]
    Up,
    /// The service does not answer.
    #[display("down")]
    Down,
}

/// A target and its lease, as known to its keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Fence of the keeper of the target.
    pub fence: Offset,
    /// State of the target's lease.
    pub lease: LeaseState,
    /// Time until the lease may have expired; zero unless it is valid.
    pub left: Span,
}

/// State of a lease.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// The keeper has not fenced the target yet.
    #[display("fencing")]
    Fencing,
    /// The target holds a lease.
    #[display("valid")]
    Valid,
    /// Renewals have stopped; the target may still hold a lease.
    #[display("expiring")]
    Expiring,
    /// The target certainly holds no lease.
    #[display("expired")]
    Expired,
}

/// Another gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// VM of the peer.
    pub vm: VmId,
    /// Whether the peer answers probes.
    pub liveness: Liveness,
}

/// Liveness of a peer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The peer answers probes.
    #[display("alive")]
    Alive,
    /// Neither the peer nor a relay answered in time.
    #[display("suspected")]
    Suspected,
    /// The peer announced that it is leaving.
    #[display("leaving")]
    Leaving,
}

/// Part of the event ring of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// VM of the process.
    pub vm: VmId,
    /// Incarnation of the process.
    pub boot: u64,
    /// Events with their range of numbers.
    #[serde(flatten)]
    pub page: event::EventPage,
}
