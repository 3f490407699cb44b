//! Which process follows a leader.

use {crate::owners::Leader, catkin::types::Span};

/// Time since the leader last reached the store after which the next process
/// claims. Holds bridge it: they are renewed four times as often as they end.
const SUCCEED: Span = Span::from_millis(1_600);

/// What a process knows of the leader and of its own place.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// This process.
    pub me: &'a Leader,
    /// Whether it can do the work of a leader well.
    pub strong: bool,
    /// Whether the group makes it the first to follow.
    pub first: bool,
    /// The leader that it knows.
    pub known: Option<&'a Leader>,
    /// Time since that one was last known to reach the store.
    pub silence: Span,
    /// Whether that one is a member of the group, if the store was asked.
    pub member: Option<bool>,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It waits.
    Wait,
    /// It asks the store whether the leader is a member of the group.
    Ask,
    /// It claims leadership.
    Claim,
}

/// Returns what a process does. The group moves its partitions with every
/// change of members; a leader that reaches the store stays all the same, since
/// each change costs renewals of all keys.
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
    // The process before this one on the same VM has ended.
    if known.vm == view.me.vm {
        return Verdict::Claim;
    }
    if view.silence <= SUCCEED {
        return Verdict::Wait;
    }
    // A process on a congested link hears late of everything.
    match view.member {
        _ if view.strong => Verdict::Claim,
        None => Verdict::Ask,
        Some(true) => Verdict::Wait,
        Some(false) => Verdict::Claim,
    }
}
