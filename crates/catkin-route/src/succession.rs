//! Decides which process takes over from a leader.

use {crate::owners::ProcessId, catkin::types::Span};

/// Time since the leader's last contact with the store after which the next
/// process claims leadership. Leases bridge it: they are renewed four times
/// within their duration.
const FAILOVER_DELAY: Span = Span::from_millis(1_600);

/// What a process knows of the leader and of itself.
#[derive(Clone, Debug)]
pub struct LeaderView<'a> {
    /// The process that decides.
    pub identity: &'a ProcessId,
    /// Whether this process has the resources for the work of a leader.
    pub is_strong: bool,
    /// Whether the group names this process to succeed a leader that fails.
    pub is_successor: bool,
    /// The leader that this process knows, if any.
    pub leader: Option<&'a ProcessId>,
    /// Time since the known leader's last known contact with the store.
    pub leader_store_age: Span,
    /// Whether the known leader is a member of the group; absent if the store
    /// was not asked.
    pub is_member: Option<bool>,
}

/// What a process does about leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The process waits.
    Wait,
    /// The process asks the store whether the leader is a member of the group.
    CheckMembership,
    /// The process claims leadership.
    Claim,
}

/// Returns what a process does. The group reassigns its partitions on every
/// change of members. A leader that reaches the store stays nevertheless, since
/// each change of leader costs renewals of all keys.
pub fn decide(view: &LeaderView<'_>) -> Decision {
    let Some(leader) = view.leader else {
        return if view.is_successor { Decision::Claim } else { Decision::Wait };
    };
    if leader == view.identity {
        return Decision::Claim;
    }
    if !view.is_successor {
        return Decision::Wait;
    }
    // The earlier incarnation on the same VM has ended.
    if leader.vm == view.identity.vm {
        return Decision::Claim;
    }
    if view.leader_store_age <= FAILOVER_DELAY {
        return Decision::Wait;
    }
    // A weak process may have a congested link and receive messages late, so it
    // asks the store first.
    match view.is_member {
        _ if view.is_strong => Decision::Claim,
        None => Decision::CheckMembership,
        Some(true) => Decision::Wait,
        Some(false) => Decision::Claim,
    }
}
