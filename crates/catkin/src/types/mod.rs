//! Newtypes for ids, counters, times, sizes and rates.

mod count;
mod id;
mod size;
mod text;
mod time;

pub use count::{ConnId, Fence, HolderId, Offset, Revision, Sequence, SliceId, Version};
pub use id::{CallerId, Key, RequestId, Service, TargetId, VmId, Zone};
pub use size::{Rate, Share, Size};
pub use time::{Span, Time};
