//! The claim of leadership.

use {
    super::{record, rules, seat::SEAT_TTL},
    crate::node::Node,
    catkin::types::Span,
    catkin_route::{granter, owners::Owners},
    std::rc::Rc,
};

/// Time since the leader last reached the store after which the next process
/// claims. Holds bridge it: they are renewed four times as often as they end.
const SUCCEED: Span = Span::from_millis(1_600);

/// A claim that the store accepted.
pub(super) struct Claim {
    /// The claimed table.
    pub(super) table: Owners,
    /// Offset of its record.
    pub(super) offset: u64,
    /// How long the grants of earlier leaders hold.
    pub(super) hold: Span,
}

/// Returns whether this process should claim leadership. The group moves its
/// partitions with every change of members; a leader that reaches the store
/// stays all the same, since each change costs renewals of all keys.
pub(super) fn is_due(node: &Node) -> bool {
    let now = node.now();
    let knows = node.config.borrow().is_some() && node.listed.get();
    let member = node.seat.get().is_some_and(|at| now.since(at) < SEAT_TTL);
    if node.is_leaving() || !knows || !member {
        return false;
    }
    match node.owned() {
        Some(owned) if owned.table.leader == node.me => true,
        // The process before this one on the same VM has ended.
        Some(owned) if owned.table.leader.vm == node.me.vm => node.first.get(),
        Some(_) => node.first.get() && now.since(node.alive.get()) > SUCCEED,
        None => node.first.get(),
    }
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
