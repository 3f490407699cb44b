//! JSON bodies on the admin address of a gateway.

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
    /// State of the process, see [`super::Status`].
    pub const STATUS: &str = "/status";
    /// Part of the event ring, see [`super::Events`]. The query `from=N`
    /// names the first event, `max=M` the largest number of events.
    pub const EVENTS: &str = "/events";
}

/// State of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: VmId,
    /// Number of the process.
    pub boot: u64,
    /// Availability zone.
    pub zone: Zone,
    /// Configuration in force.
    pub revision: Revision,
    /// Offset of the next record that the process reads.
    pub offset: Offset,
    /// Whether the log answers.
    pub log: Health,
    /// Whether the process hands its targets over before it exits.
    pub leaving: bool,
    /// Targets that the process keeps.
    pub targets: Vec<Kept>,
    /// Other gateways.
    pub peers: Vec<Peer>,
    /// Time since the process started.
    pub uptime: Span,
}

/// Whether a service answers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It answers.
    #[display("up")]
    Up,
    /// It does not answer.
    #[display("down")]
    Down,
}

/// A target and its lease, as its keeper sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The target.
    pub target: TargetId,
    /// Fence of the keeper.
    pub fence: Offset,
    /// State of the lease.
    pub lease: Lease,
    /// Time until the lease may have expired; zero unless it is valid.
    pub left: Span,
}

/// State of a lease.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lease {
    /// The keeper has not fenced the target yet.
    #[display("fencing")]
    Fencing,
    /// The target holds a lease.
    #[display("valid")]
    Valid,
    /// Renewals stopped; the target may still hold a lease.
    #[display("expiring")]
    Expiring,
    /// The target certainly holds no lease.
    #[display("expired")]
    Expired,
}

/// Another gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The VM.
    pub vm: VmId,
    /// Whether it answers.
    pub liveness: Liveness,
}

/// Whether a peer answers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It answers probes.
    #[display("alive")]
    Alive,
    /// Neither it nor a relay answers.
    #[display("suspected")]
    Suspected,
    /// It announced that it leaves.
    #[display("leaving")]
    Leaving,
}

/// Part of the event ring of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The VM.
    pub vm: VmId,
    /// Number of the process.
    pub boot: u64,
    /// The events.
    #[serde(flatten)]
    pub page: event::Page,
}
