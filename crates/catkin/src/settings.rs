//! Settings of one process, read once at its start.
//!
//! Settings hold addresses, the zone, the platform's address and limits.
//! Everything else is fleet configuration, see [`crate::config`].

use {
    crate::{
        Code, Error,
        logs::Layout,
        types::{Service, Size, Span, TargetId, VmId, Zone},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
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
    pub connections: u32,
    /// Largest body of a request.
    pub body: Size,
    /// Bytes of one body held in memory.
    pub buffer: Size,
    /// Events kept for the time line.
    pub events: u32,
    /// Age at which an idle connection to a target is closed.
    pub idle: Span,
    /// Time without progress after which a connection counts as silent.
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

/// Settings of `catkin-standin`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Standin {
    /// The log service and the VM list, if this process runs them.
    pub platform: Option<StandinPlatform>,
    /// Targets that this process runs.
    #[serde(default)]
    pub targets: Vec<StandinTarget>,
    /// Layout of log lines.
    #[serde(default)]
    pub logs: Layout,
}

/// A stand-in for the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinPlatform {
    /// Address of log service and VM list (HTTP).
    pub addr: SocketAddr,
    /// Time for which records are kept.
    pub retention: Span,
    /// Lag of the VM list.
    pub lag: Span,
    /// Rows of the VM list at the start.
    pub vms: Vec<crate::api::Listed>,
}

/// A stand-in for a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinTarget {
    /// Id of the target.
    pub id: TargetId,
    /// Service of the target.
    pub service: Service,
    /// Zone of the target.
    pub zone: Zone,
    /// Address of the target (HTTP).
    pub addr: SocketAddr,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Time that a short request takes.
    pub work: Span,
    /// Whether it checks fences.
    pub fenced: bool,
    /// Lag of its load and health reports.
    #[serde(default)]
    pub lag: Span,
    /// Connections that it accepts.
    #[serde(default = "target_connections")]
    pub connections: u32,
    /// File that gets a line for each run, which outlives the process.
    pub journal: Option<PathBuf>,
}

fn target_connections() -> u32 {
    100
}

/// Reads settings from a file.
///
/// # Errors
///
/// `Code::UnreadableFile` if the file can't be read; otherwise as [`parse`].
pub fn read<T: DeserializeOwned>(file: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| Error::new(Code::UnreadableFile, format!("{}: {e}", file.display())))?;
    parse(&text)
}

/// Parses settings.
///
/// # Errors
///
/// A code of group 1 with the path of the field, what was read and what is
/// allowed.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let input = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(input).map_err(|e| {
        let path = e.path().to_string();
        Error::new(Code::BadValue, e.into_inner().to_string()).with_path(path)
    })
}
