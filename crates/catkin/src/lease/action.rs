//! What a keeper asks its gateway to do.

use crate::{
    api::Command,
    record::Change,
    types::{TargetId, VmId},
    wire::Frame,
};

/// What a keeper asks its gateway to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a command to a target.
    Command {
        /// The target.
        target: TargetId,
        /// The command.
        command: Command,
    },
    /// Reads what a target holds, with `GET /lease`.
    Inspect {
        /// The target.
        target: TargetId,
    },
    /// Appends a record to the log.
    Append(Change),
    /// Sends a frame to another gateway and expects one in return.
    Ask {
        /// The gateway.
        vm: VmId,
        /// The frame.
        frame: Frame,
    },
    /// Reads the log up to its head.
    ReadHead,
}
