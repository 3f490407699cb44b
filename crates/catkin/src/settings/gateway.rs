//! Settings of `catkin-gateway`.

use {
    super::{Settings, check_distinct, limit},
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
    /// The platform.
    pub platform: Platform,
    /// Limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Layout of log lines.
    #[serde(default)]
    pub logs: Layout,
}

/// Addresses of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Log service (HTTP).
    pub log: SocketAddr,
    /// VM list (HTTP).
    pub vms: SocketAddr,
}

/// Limits of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections from callers.
    #[serde(deserialize_with = "limit")]
    pub connections: u32,
    /// Largest body of a request.
    #[serde(deserialize_with = "limit")]
    pub body: Size,
    /// Bytes of one body held in memory.
    #[serde(deserialize_with = "limit")]
    pub buffer: Size,
    /// Events kept for the time line.
    #[serde(deserialize_with = "limit")]
    pub events: u32,
    /// Age at which an idle connection to a target is closed.
    #[serde(deserialize_with = "limit")]
    pub idle: Span,
    /// Time without progress after which a connection counts as silent.
    #[serde(deserialize_with = "limit")]
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
