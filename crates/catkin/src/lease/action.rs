//! Actions that a keeper returns for its gateway to carry out.

use crate::{
    api::Command,
    record::Change,
    types::{TargetId, VmId},
    wire::Frame,
};

/// An action for the gateway to carry out. [`Keeper`](super::Keeper) says
/// how to report its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a command to a target.
    Command {
        /// The target.
        target: TargetId,
        /// The command, for one process of the target.
        command: Command,
    },
    /// Reads what a target holds, with `GET /lease`.
    ReadLease {
        /// The target.
        target: TargetId,
    },
    /// Appends a record to the log.
    Append(Change),
    /// Sends a frame to another gateway, which answers with one.
    Query {
        /// Receiver of the frame.
        vm: VmId,
        /// The frame.
        frame: Frame,
    },
    /// Reads the log up to its head.
    ReadHead,
}
