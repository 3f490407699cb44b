//! Names of HTTP headers and JSON bodies towards callers, targets and the
//! platform.

use {
    crate::types::{Fence, Offset, Service, SliceId, Span, TargetId, Time, VmId, Zone},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Names of headers.
pub mod header {
    /// Key of the request.
    pub const KEY: &str = "x-catkin-key";
    /// Class of the request: `short` or `long`.
    pub const CLASS: &str = "x-catkin-class";
    /// Time left for the request, in milliseconds.
    pub const DEADLINE: &str = "x-catkin-deadline-ms";
    /// Key under which a non-idempotent request runs at most once.
    pub const IDEMPOTENCY: &str = "idempotency-key";
    /// Id of the request, in answers and towards targets.
    pub const REQUEST: &str = "x-catkin-request";
    /// Target that handled the request.
    pub const SERVER: &str = "x-catkin-server";
    /// Fence under which the request was sent.
    pub const FENCE: &str = "x-catkin-fence";
    /// Slice of the request, towards targets.
    pub const SLICE: &str = "x-catkin-slice";
    /// Idempotency key of the request, towards targets.
    pub const OPERATION: &str = "x-catkin-operation";
    /// Numbered result code.
    pub const CODE: &str = "x-catkin-code";
    /// `ran`, `not-run` or `unknown`.
    pub const OUTCOME: &str = "x-catkin-outcome";
}

/// Paths of the log service and the VM list.
pub mod path {
    /// Appends with POST, reads with GET.
    pub const LOG: &str = "/log";
    /// Lists the VMs.
    pub const VMS: &str = "/vms";
    /// Renews the lease of a target.
    pub const RENEW: &str = "/lease/renew";
    /// Takes a target over with a newer keeper fence.
    pub const FENCE: &str = "/lease/fence";
    /// Grants slices.
    pub const GRANT: &str = "/lease/grant";
    /// Releases slices.
    pub const RELEASE: &str = "/lease/release";
    /// What a target holds.
    pub const LEASE: &str = "/lease";
    /// Load report of a target.
    pub const LOAD: &str = "/load";
    /// Health report of a target.
    pub const HEALTH: &str = "/health";
    /// Asks a target to drain.
    pub const DRAIN: &str = "/drain";
}

/// Body of an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// The record, in base64.
    pub data: String,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Where the record stands.
    pub offset: Offset,
}

/// One record of the log as read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Where the record stands.
    pub offset: Offset,
    /// The record, in base64.
    pub data: String,
}

/// Answer to a read of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that is still kept.
    pub first: Offset,
    /// Offset that the next append gets.
    pub head: Offset,
    /// Records from the asked offset on.
    pub records: Vec<Entry>,
}

/// What a VM of the list is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs a gateway.
    Entry,
    /// Runs a target.
    Target,
}

/// Whether a listed VM stays. A VM that has gone is no longer listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Life {
    /// In use.
    Live,
    /// About to leave.
    Leaving,
}

/// A row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Id of the VM. For a target it is the target's id too.
    pub id: Arc<str>,
    /// What it is for.
    pub role: Role,
    /// Service of a target.
    pub service: Option<Service>,
    /// Availability zone.
    pub zone: Zone,
    /// Address for work; for a gateway, that of its peers' TCP port.
    pub addr: SocketAddr,
    /// Address of a gateway's admin port.
    pub admin: Option<SocketAddr>,
    /// Whether it stays.
    pub state: Life,
}

/// The VM list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// All live and leaving VMs.
    pub vms: Vec<Listed>,
}

impl VmList {
    /// Returns the targets that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = TargetId> {
        let rows = self.vms.iter().filter(|vm| vm.role == Role::Target && vm.state == Life::Leaving);
        rows.filter_map(|vm| TargetId::new(vm.id.clone()).ok())
    }

    /// Counts a target as leaving before the list says so.
    pub fn set_leaving(&mut self, target: &TargetId) {
        let rows = self.vms.iter_mut().filter(|vm| *vm.id == *target.as_str());
        rows.for_each(|vm| vm.state = Life::Leaving);
    }
}

/// Order of commands to a target. A target refuses a command that is not
/// newer than the newest one that it has accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Offset of the record that named the keeper.
    pub keeper: Offset,
    /// Number of the command among those of the keeper.
    pub number: u64,
}

/// What a keeper asks of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Takes the target over. All commands with a lower keeper fence are
    /// refused from now on; the answer says what the target holds.
    Fence,
    /// Renews the lease until a reading of the target's clock.
    Renew {
        /// End of the lease, on the target's clock.
        until: Time,
    },
    /// Grants slices; each is served only while the lease is valid.
    Grant {
        /// The slices with their fences.
        slices: Vec<Held>,
    },
    /// Takes slices back. The reply lists those in which requests still run.
    Release {
        /// The slices, with fences up to which grants are taken back.
        slices: Vec<Held>,
    },
}

/// A command to a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Keeper that sends it.
    pub from: VmId,
    /// Process that it is addressed to.
    pub boot: u64,
    /// Order of the command.
    pub stamp: Stamp,
    /// What is asked.
    pub order: Order,
}

/// A slice held with a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The slice.
    pub slice: SliceId,
    /// The fence.
    pub fence: Fence,
}

/// Answer of a target to any command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reply {
    /// The target.
    pub target: TargetId,
    /// Number of the target process; a new process has a new one.
    pub boot: u64,
    /// Reading of the target's clock when the answer was made.
    pub clock: Time,
    /// Whether the command was accepted.
    pub accepted: bool,
    /// Newest stamp that the target has accepted.
    pub stamp: Stamp,
    /// End of the lease, on the target's clock.
    pub until: Time,
    /// Slices that the target holds; only in the answer to `Fence`, `Grant`
    /// and `Release` and to a read of the lease.
    pub slices: Vec<Held>,
    /// Slices in which requests run, held or not; sent together with
    /// `slices`.
    pub running: Vec<Held>,
    /// Whether the target is draining.
    pub draining: bool,
}

/// Load report of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Slots in use.
    pub running: u32,
    /// Slots in all.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Age of the report.
    pub age: Span,
    /// Whether the target is draining.
    pub draining: bool,
}
