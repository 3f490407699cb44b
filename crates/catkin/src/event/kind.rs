//! Kinds of events.

use {
    crate::{
        types::{Fence, Key, Offset, RequestId, Revision, Service, SliceId, TargetId, VmId},
        wire::Class,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Kind of an event with its data.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Kind {
    /// A request arrived from a caller.
    #[display("request {request} received: service {service}, class {class:?}{}", optional(" key ", key))]
    Received {
        /// Id that the accepting process gave the request.
        request: RequestId,
        /// Service of the request.
        service: Service,
        /// Class of the request.
        class: Class,
        /// Key of the request, if it has one.
        key: Option<Key>,
    },
    /// A request entered the queue of a target.
    #[display("request {request} queued: target {target}{}", optional(" slice ", slice))]
    Queued {
        /// Id of the request.
        request: RequestId,
        /// Service of the request.
        service: Service,
        /// Target whose queue it entered.
        target: TargetId,
        /// Slice of the request; `None` if the service is not keyed.
        slice: Option<SliceId>,
    },
    /// A request was sent to a target.
    #[display("request {request} sent: target {target}, attempt {attempt}")]
    Sent {
        /// Id of the request.
        request: RequestId,
        /// Target that it was sent to.
        target: TargetId,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The complete answer of a target arrived.
    #[display("request {request} answered: target {target}, status {status}")]
    Answered {
        /// Id of the request.
        request: RequestId,
        /// Target that answered.
        target: TargetId,
        /// HTTP status of the answer.
        status: u16,
    },
    /// A request ended with a code instead of an answer from a target. The code
    /// says whether it may have run.
    #[display("request {request} refused: E{code}{}", optional(" target ", target))]
    Refused {
        /// Id of the request.
        request: RequestId,
        /// The target, if one was selected.
        target: Option<TargetId>,
        /// Number of the result code.
        code: u16,
    },
    /// A target without a lease accepted a renewal.
    #[display("lease granted: target {target}, keeper fence {fence}")]
    LeaseGranted {
        /// Target that holds the lease.
        target: TargetId,
        /// Fence of the keeper that renews the lease.
        fence: Offset,
    },
    /// A renewal of a lease failed.
    #[display("lease not renewed: target {target}, E{code}")]
    LeaseNotRenewed {
        /// Target that the renewal was meant for.
        target: TargetId,
        /// Number of the result code.
        code: u16,
    },
    /// The lease of a target has certainly expired.
    #[display("lease expired: target {target}")]
    LeaseExpired {
        /// Target that held the lease.
        target: TargetId,
    },
    /// A record of the log assigned a slice.
    #[display("slice {service}/{slice} assigned: owner {target}, fence {fence}")]
    SliceAssigned {
        /// Service of the slice.
        service: Service,
        /// Index of the slice in its service.
        slice: SliceId,
        /// New owner of the slice.
        target: TargetId,
        /// Fence of the assignment.
        fence: Fence,
    },
    /// A target has certainly stopped serving a slice.
    #[display("slice {service}/{slice} released: target {target}, fence {fence}")]
    SliceReleased {
        /// Service of the slice.
        service: Service,
        /// Index of the slice in its service.
        slice: SliceId,
        /// The previous owner.
        target: TargetId,
        /// Fence of the previous owner.
        fence: Fence,
    },
    /// A target accepted the grant of a slice.
    #[display("slice {service}/{slice} granted: target {target}, fence {fence}")]
    SliceGranted {
        /// Service of the slice.
        service: Service,
        /// Index of the slice in its service.
        slice: SliceId,
        /// New owner of the slice.
        target: TargetId,
        /// Fence of the assignment.
        fence: Fence,
    },
    /// A record of the log assigned the keeper of a target.
    #[display("keeper claimed: target {target}, keeper {keeper}, fence {fence}")]
    KeeperClaimed {
        /// Target that has a new keeper.
        target: TargetId,
        /// VM of the new keeper.
        keeper: VmId,
        /// Fence of the keeper.
        fence: Offset,
    },
    /// The log became unavailable.
    #[display("log down")]
    LogDown,
    /// The log became available again.
    #[display("log up")]
    LogUp,
    /// A configuration came into force on this VM.
    #[display("config in force: revision {revision}")]
    ConfigInForce {
        /// Revision of the configuration.
        revision: Revision,
    },
    /// A peer became suspected.
    #[display("peer suspected: {peer}")]
    PeerSuspected {
        /// VM of the peer.
        peer: VmId,
    },
    /// A suspected peer answers again.
    #[display("peer alive: {peer}")]
    PeerAlive {
        /// VM of the peer.
        peer: VmId,
    },
    /// A connection to a target was closed and replaced by a new one.
    #[display("connection replaced: target {target}, E{code}")]
    ConnectionReplaced {
        /// Target that the connection leads to.
        target: TargetId,
        /// Number of the result code that is the reason.
        code: u16,
    },
}

impl Kind {
    /// Returns the request that the event concerns, if any.
    pub fn request(&self) -> Option<&RequestId> {
        match self {
            Self::Received { request, .. }
            | Self::Queued { request, .. }
            | Self::Sent { request, .. }
            | Self::Answered { request, .. }
            | Self::Refused { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Returns the key that the event concerns, if any.
    pub fn key(&self) -> Option<&Key> {
        match self {
            Self::Received { key, .. } => key.as_ref(),
            _ => None,
        }
    }

    /// Returns the slice that the event concerns with its service, if any.
    pub fn slice(&self) -> Option<(&Service, SliceId)> {
        match self {
            Self::SliceAssigned { service, slice, .. }
            | Self::SliceReleased { service, slice, .. }
            | Self::SliceGranted { service, slice, .. }
            | Self::Queued { service, slice: Some(slice), .. } => Some((service, *slice)),
            _ => None,
        }
    }

    /// Returns the target that the event concerns, if any.
    pub fn target(&self) -> Option<&TargetId> {
        match self {
            Self::Queued { target, .. }
            | Self::Sent { target, .. }
            | Self::Answered { target, .. }
            | Self::LeaseGranted { target, .. }
            | Self::LeaseNotRenewed { target, .. }
            | Self::LeaseExpired { target }
            | Self::SliceAssigned { target, .. }
            | Self::SliceReleased { target, .. }
            | Self::SliceGranted { target, .. }
            | Self::KeeperClaimed { target, .. }
            | Self::ConnectionReplaced { target, .. } => Some(target),
            Self::Refused { target, .. } => target.as_ref(),
            _ => None,
        }
    }

    /// Returns the number of the result code of the event, if it has one.
    pub fn code(&self) -> Option<u16> {
        match self {
            Self::Refused { code, .. }
            | Self::LeaseNotRenewed { code, .. }
            | Self::ConnectionReplaced { code, .. } => Some(*code),
            _ => None,
        }
    }
}

fn optional<T: std::fmt::Display>(label: &str, value: &Option<T>) -> String {
    value.as_ref().map(|value| format!(",{label}{value}")).unwrap_or_default()
}
