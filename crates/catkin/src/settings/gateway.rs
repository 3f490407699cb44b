//! Settings of `catkin-gateway`.

use {
    super::{Settings, check_distinct, deserialize_nonzero},
    crate::{
        Error,
        logs::Layout,
        types::{Size, Span, VmId, Zone},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Settings of `catkin-gateway`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Id of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address for callers (HTTP).
    pub callers: SocketAddr,
    /// Address for other gateways (TCP and UDP).
    pub peers: SocketAddr,
    /// Address for operators (HTTP).
    pub admin: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Layout of log lines.
    #[serde(default)]
    pub logs: Layout,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the log service (HTTP).
    pub log: SocketAddr,
    /// Address of the VM list (HTTP).
    pub vms: SocketAddr,
}

/// Limits of a gateway; all are above 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of connections from callers.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub connections: u32,
    /// Maximum size of a request body. The lower of this and `body_limit` of the
    /// service applies.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub body: Size,
    /// Maximum part of one body that is held in memory.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub buffer: Size,
    /// Maximum number of events kept for the timeline.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub events: u32,
    /// Idle time after which a connection to a target is closed.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub idle: Span,
    /// Time without progress after which reading the body of a target's answer has
    /// timed out.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub stall: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            body: Size::from_bytes(1 << 30),
            buffer: Size::from_bytes(128 << 10),
            events: 8_192,
            idle: Span::from_secs(30),
            stall: Span::from_secs(2),
        }
    }
}

impl Settings for Gateway {
    fn check(&self) -> Result<(), Error> {
        check_distinct([
            ("callers".to_owned(), &self.callers),
            ("peers".to_owned(), &self.peers),
            ("admin".to_owned(), &self.admin),
        ])
    }
}
