//! Decides which process takes over from a leader.

use {crate::owners::Leader, catkin::types::Span};

/// Time since the leader's last contact with the store after which the next
/// process claims leadership. Leases bridge it: they are renewed four times
/// within their duration.
const FAILOVER_DELAY: Span = Span::from_millis(1_600);

/// What a process knows of the leader and of itself.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The process that decides.
    pub me: &'a Leader,
    /// Whether this process has the resources for the work of a leader.
    pub strong: bool,
    /// Whether the group names this process as the first candidate.
    pub first: bool,
    /// The leader that this process knows, if any.
    pub known: Option<&'a Leader>,
    /// Time since the known leader's last known contact with the store.
    pub silence: Span,
    /// Whether the known leader is a member of the group; absent if the store
    /// was not asked.
    pub member: Option<bool>,
}

/// What a process does about leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The process waits.
    Wait,
    /// The process asks the store whether the leader is a member of the group.
    Ask,
    /// The process claims leadership.
    Claim,
}

/// Returns what a process does. The group reassigns its partitions on every
/// change of members. A leader that reaches the store stays nevertheless, since
/// each change of leader costs renewals of all keys.
pub fn judge(view: &View<'_>) -> Verdict {
    let Some(known) = view.known else {
        return if view.first { Verdict::Claim } else { Verdict::Wait };
    };
    if known == view.me {
        return Verdict::Claim;
    }
    if !view.first {
        return Verdict::Wait;
    }
    // The earlier incarnation on the same VM has ended.
    if known.vm == view.me.vm {
        return Verdict::Claim;
    }
    if view.silence <= FAILOVER_DELAY {
        return Verdict::Wait;
    }
    // A process on a congested link receives all messages late, so it asks the
    // store first.
    match view.member {
        _ if view.strong => Verdict::Claim,
        None => Verdict::Ask,
        Some(true) => Verdict::Wait,
        Some(false) => Verdict::Claim,
    }
}
