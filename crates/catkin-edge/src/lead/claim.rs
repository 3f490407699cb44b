//! Decides when to claim leadership, and claims it.

use {
    super::{
        lease_times,
        membership::{self, MEMBER_TTL},
        record,
    },
    crate::{node::Node, sync},
    catkin::types::Span,
    catkin_route::{
        granter,
        owners::Owners,
        succession::{self, Decision, LeaderView},
    },
    std::rc::Rc,
};

/// A claim that the store accepted.
pub(super) struct Claim {
    /// The claimed table.
    pub(super) table: Owners,
    /// Offset of its record.
    pub(super) offset: u64,
    /// Lease duration that earlier leaders have granted.
    pub(super) lease_duration: Span,
}

/// Returns whether this process should claim leadership now.
pub(super) async fn is_due(node: &Node) -> bool {
    let has_state = node.config.borrow().is_some() && node.directory_read.get();
    let is_member = node.last_join.get().is_some_and(|at| node.now().since(at) < MEMBER_TTL);
    if node.is_draining() || !has_state || !is_member {
        return false;
    }
    match decide(node, None) {
        Decision::Wait => false,
        Decision::Claim => true,
        Decision::CheckMembership => check_membership(node).await,
    }
}

fn decide(node: &Node, is_member: Option<bool>) -> Decision {
    let owners = node.owners();
    let leader = owners.as_ref().map(|owners| &owners.table.leader);
    let leader_store_age = node.now().since(node.leader_store_contact.get());
    let (is_strong, is_successor) = (node.is_strong(), node.is_successor.get());
    succession::decide(&LeaderView {
        identity: &node.identity,
        is_strong,
        is_successor,
        leader,
        leader_store_age,
        is_member,
    })
}

/// Checks in the store whether the leader is a member of the group. Returns
/// whether this process should claim leadership.
async fn check_membership(node: &Node) -> bool {
    let Some(leader) = node.owners().map(|owners| owners.table.leader.clone()) else { return false };
    let is_member = match membership::is_member(node, &leader).await {
        Ok(is_member) => is_member,
        Err(error) => {
            log::info!(error:display; "failed to read the members of the group");
            return false;
        }
    };
    if is_member {
        log::info!(leader = &*leader.vm; "leader unreachable from here, but still a member of the group");
        node.leader_store_contact.set(node.now());
    }
    decide(node, Some(is_member)) == Decision::Claim
}

/// Claims leadership by writing the newest table again with higher fences.
/// Returns `None` if the claim failed or another process leads.
pub(super) async fn claim(node: &Node) -> Option<Claim> {
    let record::Newest { table: last, end } = match record::read(node).await {
        Ok(newest) => newest,
        Err(error) => {
            log::info!(error:display; "failed to read owners");
            return None;
        }
    };
    let offset = end.saturating_sub(1);
    let is_news = node.owners().is_none_or(|known| known.offset < offset);
    if let Some(last) = last.as_ref().filter(|last| is_news && last.leader.vm != node.identity.vm) {
        // Another process has led since; its time-out starts now.
        node.leader_store_contact.set(node.now());
        node.update_owners(offset, Rc::new(last.clone()));
        return None;
    }
    if decide(node, Some(false)) != Decision::Claim {
        // Another reader has learned of a leader meanwhile.
        return None;
    }
    let table = granter::claim(&node.identity, lease_times(node).duration, last.as_ref(), end);
    let lease_duration = last.as_ref().map_or(Span::ZERO, |l| l.lease_duration);
    match record::write_once(node, &table, end).await {
        Some(true) => {
            // The store is available: a leader needs the directory at once.
            sync::end_backoff(node);
            Some(Claim { table, offset: end, lease_duration })
        }
        Some(false) => {
            // Another process has written since the read, so it works.
            node.leader_store_contact.set(node.now());
            None
        }
        None => None,
    }
}
