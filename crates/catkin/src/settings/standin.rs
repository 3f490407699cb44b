//! Settings of `catkin-standin`.

use {
    super::{Settings, check_distinct, limit},
    crate::{
        Code, Error,
        api::Listed,
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
    #[serde(deserialize_with = "limit")]
    pub retention: Span,
    /// Lag of the VM list.
    pub lag: Span,
    /// Rows of the VM list at the start.
    pub vms: Vec<Listed>,
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
    #[serde(deserialize_with = "limit")]
    pub slots: u32,
    /// Time that a short request takes; it may be 0.
    pub work: Span,
    /// Whether it checks fences.
    pub fenced: bool,
    /// Lag of its load and health reports.
    #[serde(default)]
    pub lag: Span,
    /// Connections that it accepts.
    #[serde(default = "target_connections", deserialize_with = "limit")]
    pub connections: u32,
    /// File that gets a line for each run, which outlives the process.
    pub journal: Option<PathBuf>,
}

fn target_connections() -> u32 {
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
