//! Messages between gateways: frames over TCP and datagrams over UDP, both in
//! `postcard`.
//!
//! A connection between gateways carries one request at a time, so that TCP
//! provides the back-pressure and a large body does not delay other requests.

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

/// Class of a request, which decides its share of a target's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Short requests, such as lookups and orders.
    #[default]
    Short,
    /// Long requests, such as uploads.
    Long,
}

/// Head of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestHead {
    /// Id of the request, the same in all processes.
    pub request: RequestId,
    /// Hybrid logical clock of the sender.
    pub stamp: Timestamp,
    /// Service that the request is for.
    pub service: Service,
    /// Target that the accepting gateway selected.
    pub target: TargetId,
    /// Slice and fence; `None` for a service that is not keyed.
    pub slice: Option<(SliceId, Fence)>,
    /// Key of the request, if it has one.
    pub key: Option<Key>,
    /// Idempotency key of the request, if it has one.
    pub idempotency_key: Option<Arc<str>>,
    /// Class of the request.
    pub class: Class,
    /// Whether the request may be sent again.
    pub idempotent: bool,
    /// Time until the deadline.
    pub time_left: Span,
    /// HTTP method of the request.
    pub method: Arc<str>,
    /// HTTP path and query of the request.
    pub path: Arc<str>,
    /// Headers to pass on.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Length of the body, if known.
    pub length: Option<u64>,
}

/// Head of a forwarded answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(Arc<str>, Bytes)>,
    /// Length of the body, if known.
    pub length: Option<u64>,
    /// Target that handled the request.
    pub target: TargetId,
    /// Number of requests for the target that run or queue at its keeper. The
    /// answer carries it, so that the load needs no separate datagram.
    pub depth: u32,
    /// Hybrid logical clock of the sender.
    pub stamp: Timestamp,
    /// Fence under which the request was sent; `None` for a service that is not
    /// keyed.
    pub fence: Option<Fence>,
}

/// A frame between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a request.
    Request(RequestHead),
    /// Part of a body, in either direction.
    Body(Bytes),
    /// The body is complete.
    End,
    /// The sender cancelled the request.
    Cancel,
    /// Head of the answer.
    Answer(Answer),
    /// The request ended with a code and without a complete answer.
    Failed {
        /// Number of the result code.
        code: u16,
        /// Error detail for the caller.
        detail: Arc<str>,
    },
    /// Requests the state of the fold.
    PullState,
    /// Part of the state of the fold.
    State {
        /// Log offset of the state.
        at: Offset,
        /// Number of parts that follow this one.
        parts_left: u32,
        /// Bytes of this part.
        data: Bytes,
    },
    /// Asks the keeper of a target whether the target has stopped serving
    /// slices up to the given fences.
    QueryStopped {
        /// The target that owned the slices.
        target: TargetId,
        /// The slices with the highest fence asked about.
        slices: Vec<(SliceId, Fence)>,
    },
    /// Lists the slices that the target has stopped serving.
    Stopped {
        /// The target that owned the slices.
        target: TargetId,
        /// The slices with the fences that were asked about.
        slices: Vec<(SliceId, Fence)>,
    },
    /// Asks the keeper of a standby to grant it the slices of a failed owner
    /// provisionally, before the log has a record of it (see [`Fence::step`]).
    FailOver {
        /// The failed owner.
        from: TargetId,
        /// Fence of the keeper of the failed owner.
        keeper: Offset,
        /// Standby that gets the slices.
        to: TargetId,
        /// The slices with their provisional fences.
        slices: Vec<(SliceId, Fence)>,
    },
    /// Announces a new keeper of a target. After it the receiver refuses
    /// messages of keepers with a lower fence.
    AnnounceKeeper {
        /// Target that has a new keeper.
        target: TargetId,
        /// Fence of the new keeper.
        keeper: Offset,
        /// Standby that the receiver keeps; `None` if the receiver is asked as an
        /// earlier keeper of the target.
        standby: Option<TargetId>,
    },
    /// Acknowledges a new keeper. An earlier keeper sends this only after it
    /// has stopped.
    KeeperAcknowledged {
        /// Target that has a new keeper.
        target: TargetId,
        /// Fence of the new keeper.
        keeper: Offset,
        /// The standby, if the receiver was asked about one.
        standby: Option<TargetId>,
        /// Slices of the target that the standby may hold provisionally, before the
        /// log has a record of it (see [`Fence::step`]).
        slices: Vec<(SliceId, Fence)>,
    },
    /// Lists the slices that were granted provisionally.
    FailedOver {
        /// Standby that got the slices.
        to: TargetId,
        /// The granted slices.
        slices: Vec<SliceId>,
    },
}

/// Load of a target as measured by its keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Target that the values belong to.
    pub target: TargetId,
    /// Requests that run or queue.
    pub depth: u32,
    /// Requests per second for its slices.
    pub rate: u32,
    /// Whether it accepts new work.
    pub accepting: bool,
}

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// VM of the sender.
    pub from: VmId,
    /// Incarnation of the sender: a number that differs for each start of the
    /// process.
    pub boot: u64,
    /// Hybrid logical clock of the sender.
    pub stamp: Timestamp,
    /// Offset of the next record that the sender reads.
    pub offset: Offset,
    /// Configuration in force at the sender.
    pub revision: Revision,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Content of the datagram.
    pub body: DatagramBody,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Requests an acknowledgement.
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
        probed: VmId,
    },
    /// Reports that a relayed probe was acknowledged.
    Relayed {
        /// Number of the probe.
        number: u64,
        /// The VM that acknowledged it.
        probed: VmId,
    },
    /// Loads of the targets whose keeper is the sender.
    Loads(Vec<LoadReport>),
}

/// Encodes a frame or a datagram.
///
/// # Errors
///
/// `Code::FrameTooLarge` if the encoded message has more than `limit` bytes.
pub fn encode<T: Serialize>(message: &T, limit: usize) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_stdvec(message).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    if bytes.len() > limit {
        let detail = format!("message of {} bytes exceeds the limit of {limit} bytes", bytes.len());
        return Err(Error::new(Code::FrameTooLarge, detail));
    }
    Ok(bytes)
}

/// Decodes a frame or a datagram.
///
/// # Errors
///
/// `Code::BadFrame` if the bytes are not exactly one complete message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (message, rest) =
        postcard::take_from_bytes(bytes).map_err(|e| Error::new(Code::BadFrame, e.to_string()))?;
    if !rest.is_empty() {
        return Err(Error::new(Code::BadFrame, format!("{} bytes after the end of the message", rest.len())));
    }
    Ok(message)
}
