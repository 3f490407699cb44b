//! The claim of leadership.

use {
    super::{
        record, rules,
        seat::{self, SEAT_TTL},
    },
    crate::node::Node,
    catkin::types::Span,
    catkin_route::{
        granter,
        owners::Owners,
        succession::{self, Verdict, View},
    },
    std::rc::Rc,
};

/// A claim that the store accepted.
pub(super) struct Claim {
    /// The claimed table.
    pub(super) table: Owners,
    /// Offset of its record.
    pub(super) offset: u64,
    /// How long the grants of earlier leaders hold.
    pub(super) hold: Span,
}

/// Returns whether this process should claim leadership.
pub(super) async fn is_due(node: &Node) -> bool {
    let knows = node.config.borrow().is_some() && node.listed.get();
    let member = node.seat.get().is_some_and(|at| node.now().since(at) < SEAT_TTL);
    if node.is_leaving() || !knows || !member {
        return false;
    }
    match judge(node, None) {
        Verdict::Wait => false,
        Verdict::Claim => true,
        Verdict::Ask => ask(node).await,
    }
}

fn judge(node: &Node, member: Option<bool>) -> Verdict {
    let owned = node.owned();
    let known = owned.as_ref().map(|owned| &owned.table.leader);
    let silence = node.now().since(node.alive.get());
    let (strong, first) = (node.is_strong(), node.first.get());
    succession::judge(&View { me: &node.me, strong, first, known, silence, member })
}

/// Asks the store whether the leader is a member of the group. Returns whether
/// this process should claim.
async fn ask(node: &Node) -> bool {
    let Some(leader) = node.owned().map(|owned| owned.table.leader.clone()) else { return false };
    let member = match seat::is_member(node, &leader).await {
        Ok(member) => member,
        Err(refusal) => {
            log::info!(refusal:display; "members not read");
            return false;
        }
    };
    if member {
        log::info!(leader = &*leader.vm; "the leader is not heard, but reaches the store");
        node.alive.set(node.now());
    }
    judge(node, Some(member)) == Verdict::Claim
}

/// Claims leadership: writes the newest table once more with higher fences.
pub(super) async fn claim(node: &Node) -> Option<Claim> {
    let record::Newest { table: last, end } = match record::read(node).await {
        Ok(newest) => newest,
        Err(refusal) => {
            log::info!(refusal:display; "owners not read");
            return None;
        }
    };
    let known = node.owned().map(|o| o.table.leader.clone());
    if let Some(last) =
        last.as_ref().filter(|l| l.leader.vm != node.me.vm && Some(&l.leader) != known.as_ref())
    {
        // Another process leads since; whether it lives is to be seen.
        node.alive.set(node.now());
        node.adopt(end.saturating_sub(1), Rc::new(last.clone()));
        return None;
    }
    let table = granter::claim(&node.me, rules(node).hold, last.as_ref(), end);
    let hold = last.as_ref().map_or(Span::ZERO, |l| l.hold);
    record::write_once(node, &table, end).await.then_some(Claim { table, offset: end, hold })
}
