//! Kinds of events.

use {
    crate::{
        types::{Fence, Key, Offset, RequestId, Revision, Service, SliceId, TargetId, VmId},
        wire::Class,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What happened.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Kind {
    /// A request arrived from a caller.
    #[display("request {request} received: service {service}, class {class:?}{}", shown(" key ", key))]
    Received {
        /// The request.
        request: RequestId,
        /// Its service.
        service: Service,
        /// Its class.
        class: Class,
        /// Its key.
        key: Option<Key>,
    },
    /// A request entered the queue of a target.
    #[display("request {request} queued: target {target}{}", shown(" slice ", slice))]
    Queued {
        /// The request.
        request: RequestId,
        /// Its service.
        service: Service,
        /// The target.
        target: TargetId,
        /// Its slice.
        slice: Option<SliceId>,
    },
    /// A request was sent to a target.
    #[display("request {request} sent: target {target}, try {attempt}")]
    Sent {
        /// The request.
        request: RequestId,
        /// The target.
        target: TargetId,
        /// Number of the try, from 1.
        attempt: u32,
    },
    /// The complete answer of a target arrived.
    #[display("request {request} answered: target {target}, status {status}")]
    Answered {
        /// The request.
        request: RequestId,
        /// The target.
        target: TargetId,
        /// HTTP status.
        status: u16,
    },
    /// A request ended with a code instead of an answer of a target.
    #[display("request {request} refused: E{code}{}", shown(" target ", target))]
    Refused {
        /// The request.
        request: RequestId,
        /// The target, if one was chosen.
        target: Option<TargetId>,
        /// Number of the code.
        code: u16,
    },
    /// A target accepted its first renewal after a time without a lease.
    #[display("lease granted: target {target}, keeper fence {fence}")]
    LeaseGranted {
        /// The target.
        target: TargetId,
        /// Fence of the keeper.
        fence: Offset,
    },
    /// A renewal failed.
    #[display("lease not renewed: target {target}, E{code}")]
    LeaseNotRenewed {
        /// The target.
        target: TargetId,
        /// Number of the code.
        code: u16,
    },
    /// The lease of a target has certainly expired.
    #[display("lease expired: target {target}")]
    LeaseExpired {
        /// The target.
        target: TargetId,
    },
    /// The log assigned a slice.
    #[display("slice {service}/{slice} assigned: owner {target}, fence {fence}")]
    SliceAssigned {
        /// The service.
        service: Service,
        /// The slice.
        slice: SliceId,
        /// The owner.
        target: TargetId,
        /// The fence.
        fence: Fence,
    },
    /// A target has certainly stopped serving a slice.
    #[display("slice {service}/{slice} released: target {target}, fence {fence}")]
    SliceReleased {
        /// The service.
        service: Service,
        /// The slice.
        slice: SliceId,
        /// The owner before.
        target: TargetId,
        /// Its fence.
        fence: Fence,
    },
    /// A target accepted the grant of a slice.
    #[display("slice {service}/{slice} granted: target {target}, fence {fence}")]
    SliceGranted {
        /// The service.
        service: Service,
        /// The slice.
        slice: SliceId,
        /// The owner.
        target: TargetId,
        /// The fence.
        fence: Fence,
    },
    /// The log named the keeper of a target.
    #[display("keeper claimed: target {target}, keeper {keeper}, fence {fence}")]
    KeeperClaimed {
        /// The target.
        target: TargetId,
        /// The keeper.
        keeper: VmId,
        /// Its fence.
        fence: Offset,
    },
    /// The log stopped answering.
    #[display("log down")]
    LogDown,
    /// The log answers again.
    #[display("log up")]
    LogUp,
    /// A configuration came into force on this VM.
    #[display("config in force: revision {revision}")]
    ConfigInForce {
        /// Its number.
        revision: Revision,
    },
    /// A peer was suspected.
    #[display("peer suspected: {peer}")]
    PeerSuspected {
        /// The peer.
        peer: VmId,
    },
    /// A peer answers.
    #[display("peer alive: {peer}")]
    PeerAlive {
        /// The peer.
        peer: VmId,
    },
    /// A connection to a target was closed and another one opened.
    #[display("connection replaced: target {target}, E{code}")]
    ConnectionReplaced {
        /// The target.
        target: TargetId,
        /// Number of the code that says why.
        code: u16,
    },
}

impl Kind {
    /// Returns the request that the event is about.
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

    /// Returns the key that the event is about.
    pub fn key(&self) -> Option<&Key> {
        match self {
            Self::Received { key, .. } => key.as_ref(),
            _ => None,
        }
    }

    /// Returns the slice that the event is about, with its service.
    pub fn slice(&self) -> Option<(&Service, SliceId)> {
        match self {
            Self::SliceAssigned { service, slice, .. }
            | Self::SliceReleased { service, slice, .. }
            | Self::SliceGranted { service, slice, .. }
            | Self::Queued { service, slice: Some(slice), .. } => Some((service, *slice)),
            _ => None,
        }
    }

    /// Returns the target that the event is about.
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

    /// Returns the number of the code that the event carries.
    pub fn code(&self) -> Option<u16> {
        match self {
            Self::Refused { code, .. }
            | Self::LeaseNotRenewed { code, .. }
            | Self::ConnectionReplaced { code, .. } => Some(*code),
            _ => None,
        }
    }
}

fn shown<T: std::fmt::Display>(label: &str, value: &Option<T>) -> String {
    value.as_ref().map(|value| format!(",{label}{value}")).unwrap_or_default()
}
