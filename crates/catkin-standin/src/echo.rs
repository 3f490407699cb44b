//! The answer to work, from which a caller sees that it is its own and whole.

use {
    catkin::types::{Fence, RequestId, TargetId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Headers that only the stand-ins know.
pub mod header {
    /// Key under which the runs of an operation are counted.
    pub const OPERATION: &str = "x-catkin-operation";
    /// Id that the caller gave the request; unlike the request id it does not
    /// come from a gateway.
    pub const CALL: &str = "x-standin-call";
    /// Time that the work takes, in milliseconds.
    pub const WORK: &str = "x-standin-work-ms";
    /// Length of the pad in the answer, in bytes.
    pub const PAD: &str = "x-standin-answer-bytes";
}

/// Body of an answer to work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Target that ran the request.
    pub target: TargetId,
    /// Number of the target process.
    pub boot: u64,
    /// Id of the request, if it had one.
    pub request: Option<RequestId>,
    /// Id that the caller gave the request, if any.
    pub call: Option<Arc<str>>,
    /// Key of the request, if it had one.
    pub key: Option<Arc<str>>,
    /// Operation under which the run is counted.
    pub operation: Arc<str>,
    /// Fence of the request, if it had one.
    pub fence: Option<Fence>,
    /// Path and query of the request.
    pub path: Arc<str>,
    /// Length of the request's body, in bytes.
    pub length: u64,
    /// CRC-32 of the request's body.
    pub checksum: u32,
    /// Text that gives the answer the length that the caller asked for.
    pub pad: String,
}

/// Returns the checksum that an [`Echo`] gives for a body.
pub fn checksum(body: &[u8]) -> u32 {
    crc32fast::hash(body)
}
