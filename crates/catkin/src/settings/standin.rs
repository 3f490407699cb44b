//! Settings of `catkin-standin`.

use {
    super::{Settings, check_distinct, deserialize_nonzero},
    crate::{
        Code, Error,
        api::VmEntry,
        logs::Layout,
        types::{Service, Span, TargetId, VmId, Zone},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::SocketAddr, path::PathBuf},
};

/// Settings of `catkin-standin`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Standin {
    /// Log service and VM list, if this process runs them.
    pub platform: Option<StandinPlatform>,
    /// Targets that this process runs.
    #[serde(default)]
    pub targets: Vec<StandinTarget>,
    /// Layout of log lines.
    #[serde(default)]
    pub logs: Layout,
}

/// Settings of a stand-in for the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinPlatform {
    /// Address of the log service and the VM list (HTTP).
    pub addr: SocketAddr,
    /// Time for which log records are kept.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub retention: Span,
    /// Delay after which a change shows in the VM list.
    pub lag: Span,
    /// Initial rows of the VM list.
    pub vms: Vec<VmEntry>,
}

/// Settings of a stand-in for a target.
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
    /// Number of requests that run concurrently.
    #[serde(deserialize_with = "deserialize_nonzero")]
    pub slots: u32,
    /// Run time of a short request; may be 0. A long request takes 20 times as long.
    pub work: Span,
    /// Whether the target checks fences.
    pub fenced: bool,
    /// Delay of the load and health reports.
    #[serde(default)]
    pub lag: Span,
    /// Maximum number of connections.
    #[serde(default = "default_connections", deserialize_with = "deserialize_nonzero")]
    pub connections: u32,
    /// File to which each run of a request appends a line; outlives the process.
    pub journal: Option<PathBuf>,
}

fn default_connections() -> u32 {
    100
}

impl Settings for Standin {
    fn check(&self) -> Result<(), Error> {
        let platform = self.platform.iter().map(|p| ("platform.addr".to_owned(), &p.addr));
        let targets = (0..).zip(&self.targets).map(|(n, t)| (format!("targets[{n}].addr"), &t.addr));
        check_distinct(platform.chain(targets))?;
        check_ids("targets", self.targets.iter().map(|t| t.id.as_str()))?;
        let vms = self.platform.iter().flat_map(|p| &p.vms);
        check_ids("platform.vms", vms.map(|vm| &*vm.id))
    }
}

fn check_ids<'a>(path: &str, ids: impl Iterator<Item = &'a str>) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    for (number, id) in ids.enumerate() {
        let path = || format!("{path}[{number}].id");
        VmId::new(id).map_err(|e| e.with_path(path()))?;
        if !seen.insert(id) {
            let detail = format!("read {id:?} a second time, allowed is one row for each id");
            return Err(Error::new(Code::BadValue, detail).with_path(path()));
        }
    }
    Ok(())
}
