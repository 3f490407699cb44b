//! HTTP header names, paths and JSON bodies of the interfaces to callers, targets
//! and the platform.

use {
    crate::types::{Fence, Offset, Service, SliceId, Span, TargetId, Time, VmId, Zone},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// Names of HTTP headers.
pub mod header {
    /// Key of the request.
    pub const KEY: &str = "x-catkin-key";
    /// Class of the request: `short` or `long`.
    pub const CLASS: &str = "x-catkin-class";
    /// Time until the deadline of the request, in milliseconds.
    pub const DEADLINE: &str = "x-catkin-deadline-ms";
    /// Key under which a non-idempotent request runs at most once.
    pub const IDEMPOTENCY: &str = "idempotency-key";
    /// Id of the request, sent to targets and in answers.
    pub const REQUEST: &str = "x-catkin-request";
    /// Target that handled the request; the name of the header has an older word
    /// for it.
    pub const TARGET: &str = "x-catkin-server";
    /// Fence under which the request was sent.
    pub const FENCE: &str = "x-catkin-fence";
    /// Slice of the request, sent to targets.
    pub const SLICE: &str = "x-catkin-slice";
    /// Idempotency key of the request, sent to targets.
    pub const OPERATION: &str = "x-catkin-operation";
    /// Numbered result code.
    pub const CODE: &str = "x-catkin-code";
    /// Outcome of the request: `ran`, `not-run` or `unknown`, or `none` for a code
    /// that concerns no request.
    pub const OUTCOME: &str = "x-catkin-outcome";
}

/// Paths of the log service, the VM list and the targets.
pub mod path {
    /// Appends to the log with POST and reads from it with GET.
    pub const LOG: &str = "/log";
    /// Lists the VMs.
    pub const VMS: &str = "/vms";
    /// Renews the lease of a target.
    pub const RENEW: &str = "/lease/renew";
    /// Makes the sender the keeper of a target, with a higher fence.
    pub const FENCE: &str = "/lease/fence";
    /// Grants slices.
    pub const GRANT: &str = "/lease/grant";
    /// Releases slices.
    pub const RELEASE: &str = "/lease/release";
    /// Returns the lease and the slices of a target.
    pub const LEASE: &str = "/lease";
    /// Returns the load report of a target.
    pub const LOAD: &str = "/load";
    /// Returns the health report of a target.
    pub const HEALTH: &str = "/health";
    /// Asks a target to drain.
    pub const DRAIN: &str = "/drain";
}

/// Request body of an append to the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// The record, in base64.
    pub data: String,
}

/// Answer to an append to the log.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record in the log.
    pub offset: Offset,
}

/// One record of a page of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record in the log.
    pub offset: Offset,
    /// The record, in base64.
    pub data: String,
}

/// Answer to a read of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordPage {
    /// Oldest offset that the log retains, which may be before the first of
    /// `records`.
    pub first: Offset,
    /// End of the log: the offset that the next append gets.
    pub head: Offset,
    /// Records from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// Role of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs a gateway.
    Entry,
    /// Runs a target.
    Target,
}

/// State of a listed VM. Removed VMs are not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Id of the VM, and of its target if it runs one.
    pub id: Arc<str>,
    /// Whether it runs a gateway or a target.
    pub role: Role,
    /// Service of a target; `None` for a gateway.
    pub service: Option<Service>,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address for requests; for a gateway, its TCP address for peers.
    pub addr: SocketAddr,
    /// Admin address of a gateway; `None` for a target.
    pub admin: Option<SocketAddr>,
    /// Whether the VM is about to be removed.
    pub state: VmState,
}

/// The VM list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// All live and leaving VMs.
    pub vms: Vec<VmEntry>,
}

impl VmList {
    /// Returns the targets that are leaving.
    pub fn leaving_targets(&self) -> impl Iterator<Item = TargetId> {
        let rows = self.vms.iter().filter(|vm| vm.role == Role::Target && vm.state == VmState::Leaving);
        rows.filter_map(|vm| TargetId::new(vm.id.clone()).ok())
    }

    /// Marks the row with this id as leaving, although the platform does not
    /// report it yet.
    pub fn set_leaving(&mut self, target: &TargetId) {
        let rows = self.vms.iter_mut().filter(|vm| *vm.id == *target.as_str());
        rows.for_each(|vm| vm.state = VmState::Leaving);
    }
}

/// Sequence stamp of a command to a target. A target refuses a command whose
/// stamp is not higher than the highest one that it has accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandStamp {
    /// Offset of the record that assigned the keeper, which is its fence.
    pub keeper: Offset,
    /// Number of the command among those of the keeper.
    pub number: u64,
}

/// Operation that a keeper requests of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Makes the sender the keeper of the target. The target refuses all later
    /// commands with a lower keeper fence; the reply lists the slices that the
    /// target holds.
    Fence,
    /// Renews the lease until a reading of the target's clock.
    Renew {
        /// End of the lease, on the target's clock.
        until: Time,
    },
    /// Grants slices; each is served only while the lease is valid.
    Grant {
        /// The slices with their fences.
        slices: Vec<FencedSlice>,
    },
    /// Releases slices. The reply lists the slices that the target holds and those
    /// in which requests still run.
    Release {
        /// The slices, with the fences up to which their grants end.
        slices: Vec<FencedSlice>,
    },
}

/// A command to a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Keeper that sends it.
    pub from: VmId,
    /// Incarnation of the target that it is addressed to: a number that differs for
    /// each start of the process.
    pub boot: u64,
    /// Order of the command; see the type.
    pub stamp: CommandStamp,
    /// Requested operation.
    pub order: Operation,
}

/// A slice and the fence under which it is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencedSlice {
    /// Index of the slice in the target's service.
    pub slice: SliceId,
    /// Fence of the assignment.
    pub fence: Fence,
}

/// Answer of a target to a command, or to a read of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommandReply {
    /// Id of the answering target.
    pub target: TargetId,
    /// Incarnation of the target: a number that differs for each start of the
    /// process.
    pub boot: u64,
    /// Reading of the target's clock when the answer was made.
    pub clock: Time,
    /// Whether the command was accepted.
    pub accepted: bool,
    /// Highest stamp that the target has accepted.
    pub stamp: CommandStamp,
    /// End of the lease, on the target's clock.
    pub until: Time,
    /// Slices that the target holds; only in the answer to `Fence`, `Grant`
    /// and `Release` and to a read of the lease.
    pub slices: Vec<FencedSlice>,
    /// Slices in which requests run, held or not; sent together with
    /// `slices`.
    pub running: Vec<FencedSlice>,
    /// Whether the target is draining.
    pub draining: bool,
}

/// Load report of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of slots in use.
    pub running: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Number of open connections.
    pub connections: u32,
    /// Time since the values were measured.
    pub age: Span,
    /// Whether the target is draining.
    pub draining: bool,
}
