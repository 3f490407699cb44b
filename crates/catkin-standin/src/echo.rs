//! The answer to work. It repeats the request, so that a caller can tell
//! whether the answer is complete and belongs to its request.

use {
    catkin::types::{Fence, RequestId, TargetId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Request headers that control the stand-ins.
pub mod header {
    /// Name of the operation; runs are counted by it.
    pub const OPERATION: &str = "x-catkin-operation";
    /// Id that the caller gave the request. The id in the header `x-catkin-request`,
    /// in contrast, comes from a gateway.
    pub const CALL: &str = "x-standin-call";
    /// Duration of the work, in milliseconds.
    pub const WORK_MS: &str = "x-standin-work-ms";
    /// Length of the padding in the answer, in bytes.
    pub const ANSWER_BYTES: &str = "x-standin-answer-bytes";
}

/// Body of an answer to work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Target that ran the request.
    pub target: TargetId,
    /// Incarnation of the target.
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
    /// Padding of the length that the caller asked for in [`ANSWER_BYTES`](header::ANSWER_BYTES).
    pub pad: String,
}

/// Returns the checksum that an [`Echo`] gives for a body.
pub fn checksum(body: &[u8]) -> u32 {
    crc32fast::hash(body)
}
