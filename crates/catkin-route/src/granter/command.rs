//! Commands to targets and their outcomes.

use {
    crate::directory::Incarnation,
    catkin::types::{ConnId, Span},
    std::{net::SocketAddr, sync::Arc},
};

/// Sum of the weights of failed commands in a row from which on a target counts
/// as lost.
pub(super) const FAILURE_WEIGHT_MAX: u32 = 4;

/// Weight of a command whose connection failed.
const FAILURE_WEIGHT: u32 = 2;

/// Weight of a command that timed out, as a target whose queue is full may
/// answer late, and of one that was not sent because of that.
const TIMEOUT_WEIGHT: u32 = 1;

/// What a command asks of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hold the keys until the lease expires.
    Grant {
        /// Lease duration from the arrival of the command on.
        duration: Span,
        /// Handover data of the last owner, if there is any.
        handover: Option<Arc<str>>,
    },
    /// Stop work on the keys and give up the lease.
    Release,
}

impl Action {
    /// Returns the name of the action in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Grant { .. } => "grant",
            Self::Release => "release",
        }
    }
}

/// A command to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Identifies the command when its outcome is passed to
    /// [`Granter::command_ended`].
    pub ticket: u64,
    /// The incarnation that the command is meant for.
    pub incarnation: Incarnation,
    /// Address of the target, also if it has left the directory.
    pub addr: SocketAddr,
    /// First key of the range.
    pub from: u16,
    /// Last key of the range, inclusive.
    pub to: u16,
    /// Fencing token of the grant.
    pub fence: u64,
    /// Connection that carried this fence before. A grant must go on no other
    /// one, as a later process may run at its other end. If there is none, a
    /// connection may be opened for the command.
    pub conn: Option<ConnId>,
    /// What the target is asked to do.
    pub action: Action,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target carried the command out; a release may return handover data.
    Done(Option<Arc<str>>),
    /// The target refused the command, since it has seen a higher fence.
    Fenced,
    /// The target did not receive the command; its process may have ended.
    Undelivered,
    /// The connection ended after the command was sent: the command may be
    /// carried out, or the process has ended.
    Disconnected,
    /// No answer came in time; the command may still be carried out.
    Unknown,
    /// The target refused the command for another reason.
    Refused,
    /// The command was not sent, since an earlier one on the same connection
    /// got no answer.
    Skipped,
    /// The command was not sent, since the connection that carried its fence is
    /// closed.
    Closed,
}
/// Returns the weight of a failed command. A target that refuses a grant runs,
/// and may carry out a later one.
pub(super) fn failure_weight(outcome: &Outcome, is_release: bool) -> u32 {
    match outcome {
        Outcome::Refused if !is_release => 0,
        Outcome::Closed => 0,
        Outcome::Unknown | Outcome::Skipped => TIMEOUT_WEIGHT,
        _ => FAILURE_WEIGHT,
    }
}
