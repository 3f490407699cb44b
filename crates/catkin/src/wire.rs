//! Messages between gateways: frames over TCP and datagrams over UDP, both in
//! `postcard`.
//!
//! A connection between gateways carries one request at a time, so that TCP
//! gives the back-pressure and a large body never delays another request.

use {
    crate::{
        Code, Error,
        event::Timestamp,
        types::{Fence, Key, Offset, RequestId, Revision, Service, SliceId, Span, TargetId, VmId},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// Largest encoded frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 256 * 1024;
/// Largest part of a body in one frame, in bytes.
pub const BODY_BYTES_MAX: usize = 64 * 1024;
/// Largest encoded datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;

/// Class of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Lookups and orders.
    #[default]
    Short,
    /// Uploads.
    Long,
}

/// Head of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Id of the request.
    pub request: RequestId,
    /// Hybrid logical clock of the sender.
    pub stamp: Timestamp,
    /// The service.
    pub service: Service,
    /// The target that the accepting gateway chose.
    pub target: TargetId,
    /// Slice and fence, for a service divided by key.
    pub slice: Option<(SliceId, Fence)>,
    /// Key of the request.
    pub key: Option<Key>,
    /// Idempotency key of the request.
    pub operation: Option<Arc<str>>,
    /// Class of the request.
    pub class: Class,
    /// Whether the request may be sent again.
    pub idempotent: bool,
    /// Time left.
    pub left: Span,
    /// HTTP method.
    pub method: Arc<str>,
    /// HTTP path and query.
    pub path: Arc<str>,
    /// Headers to pass on.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Length of the body, if known.
    pub length: Option<u64>,
}

/// Head of a forwarded answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Length of the body, if known.
    pub length: Option<u64>,
    /// Target that handled the request.
    pub target: TargetId,
    /// Requests running and waiting at its keeper. It saves a datagram for
    /// each target that answers.
    pub depth: u32,
    /// Hybrid logical clock of the sender.
    pub stamp: Timestamp,
    /// Fence under which it was sent, for a service divided by key.
    pub fence: Option<Fence>,
}

/// A frame between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a request.
    Request(Head),
    /// Part of a body, in either direction.
    Body(Bytes),
    /// The body is complete.
    End,
    /// The sender gave the request up.
    Cancel,
    /// Head of the answer.
    Answer(Answer),
    /// The request ended with a code and no (further) answer.
    Failed {
        /// Number of the code.
        code: u16,
        /// Detail for the caller.
        detail: Arc<str>,
    },
    /// Asks for the state of the fold.
    PullState,
    /// Part of the state of the fold.
    State {
        /// Offset of the state.
        at: Offset,
        /// Number of parts that follow.
        left: u32,
        /// The bytes of this part.
        data: Bytes,
    },
    /// Asks the keeper of a target whether it has stopped serving slices up
    /// to their fences.
    AskStopped {
        /// The target that owned the slices.
        target: TargetId,
        /// The slices.
        slices: Vec<(SliceId, Fence)>,
    },
    /// The slices that the target has stopped serving.
    Stopped {
        /// The target that owned the slices.
        target: TargetId,
        /// The slices with the fences that were asked about.
        slices: Vec<(SliceId, Fence)>,
    },
    /// Asks the keeper of a standby to grant it slices provisionally.
    HandOver {
        /// The lost owner.
        from: TargetId,
        /// Fence of the keeper of the lost owner.
        keeper: Offset,
        /// The standby.
        to: TargetId,
        /// The slices with their provisional fences.
        slices: Vec<(SliceId, Fence)>,
    },
    /// Announces a new keeper of a target. Its receiver accepts nothing from
    /// a keeper with a lower fence from now on.
    AskKeeper {
        /// The target.
        target: TargetId,
        /// Fence of the new keeper.
        keeper: Offset,
        /// Standby that the receiver keeps; without one the receiver is asked
        /// as an earlier keeper of the target.
        standby: Option<TargetId>,
    },
    /// The new keeper is known. An earlier keeper sends this only after it
    /// has stopped.
    KeeperNoted {
        /// The target.
        target: TargetId,
        /// Fence of the new keeper.
        keeper: Offset,
        /// The standby, if the receiver was asked about one.
        standby: Option<TargetId>,
        /// Slices of the target that the standby may hold provisionally.
        slices: Vec<(SliceId, Fence)>,
    },
    /// The slices that were granted provisionally.
    HandedOver {
        /// The standby.
        to: TargetId,
        /// The slices.
        slices: Vec<SliceId>,
    },
}

/// Load of a target, as its keeper sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The target.
    pub target: TargetId,
    /// Requests running and waiting.
    pub depth: u32,
    /// Requests per second to its slices.
    pub rate: u32,
    /// Whether it takes new work.
    pub open: bool,
}

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender.
    pub from: VmId,
    /// Number of the sender's process.
    pub boot: u64,
    /// Hybrid logical clock of the sender.
    pub stamp: Timestamp,
    /// Log offset of the sender.
    pub offset: Offset,
    /// Configuration in force at the sender.
    pub revision: Revision,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// What it says.
    pub body: Body,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an acknowledgement.
    Probe {
        /// Number of the probe.
        number: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        number: u64,
    },
    /// Asks another VM to probe a third one.
    Relay {
        /// Number of the probe.
        number: u64,
        /// The VM to probe.
        to: VmId,
    },
    /// Says that a relayed probe was acknowledged.
    Relayed {
        /// Number of the probe.
        number: u64,
        /// The VM that answered.
        from: VmId,
    },
    /// Loads of the targets that the sender keeps.
    Loads(Vec<Gossip>),
}

/// Encodes a frame or a datagram.
///
/// # Errors
///
/// `Code::FrameTooLarge` if it has more than `limit` bytes.
pub fn encode<T: Serialize>(message: &T, limit: usize) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_stdvec(message).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    if bytes.len() > limit {
        let detail = format!("a message of {} bytes, allowed are {limit}", bytes.len());
        return Err(Error::new(Code::FrameTooLarge, detail));
    }
    Ok(bytes)
}

/// Decodes a frame or a datagram.
///
/// # Errors
///
/// `Code::BadFrame` if the bytes are not a whole message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (message, rest) =
        postcard::take_from_bytes(bytes).map_err(|e| Error::new(Code::BadFrame, e.to_string()))?;
    if !rest.is_empty() {
        return Err(Error::new(Code::BadFrame, format!("{} bytes follow the message", rest.len())));
    }
    Ok(message)
}
