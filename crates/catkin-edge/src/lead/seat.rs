//! Membership of the group that names the next leader.

use {
    crate::{
        follow::ANSWER_MAX,
        node::{Node, Stage, sleep},
    },
    catkin::types::Span,
    catkin_platform::store::{Member, Refusal},
    catkin_route::owners::Leader,
    std::rc::Rc,
};

/// Group whose first partition makes its holder the next leader.
const GROUP: &str = "edge";

/// Topic whose partitions the group shares out. It holds no records.
const SEATS: &str = "edge.seats";

/// Silence after which the group drops a member: the platform's least.
pub(super) const SEAT_TTL: Span = Span::from_millis(1_000);

/// Silence of the leader after which every strong process stands by.
const ORPHAN: Span = Span::from_millis(1_500);

/// The same for processes with little processor time or bandwidth.
const ORPHAN_WEAK: Span = Span::from_millis(3_000);

/// Pause between two joins; a member that misses two keeps its seat.
const JOIN_PAUSE: Span = Span::from_millis(300);

fn name(leader: &Leader) -> String {
    format!("{}.{}", leader.vm, leader.incarnation)
}

fn member(node: &Node) -> Member {
    Member { group: GROUP, name: name(&node.me).into(), topic: SEATS, ttl: SEAT_TTL }
}

/// Returns whether a process is a member, as the store says.
///
/// # Errors
///
/// As any call of the store.
pub(super) async fn is_member(node: &Node, leader: &Leader) -> Result<bool, Refusal> {
    let members = node.store.members(GROUP, ANSWER_MAX.as_duration()).await?;
    Ok(members.contains(&name(leader)))
}

/// Returns whether this process should be a member: the leader, those that it
/// chose to stand by, and all that hear of no leader. Members that can't lead
/// soon would only cost calls.
fn wants_seat(node: &Node) -> bool {
    let silence = node.now().since(node.linked.get().max(node.started));
    let patience = if node.is_strong() { ORPHAN } else { ORPHAN_WEAK };
    let is_new = node.linked.get() < node.started;
    let orphan = silence > patience || is_new && node.is_strong();
    node.leads.get() || node.standby.get() && silence < ORPHAN_WEAK || orphan
}

/// Stays a member of the group that names the next leader.
pub(crate) async fn join(node: Rc<Node>) {
    let member = member(&node);
    let mut generation = 0;
    let mut joined = false;
    while !node.is_leaving() {
        if !wants_seat(&node) {
            if std::mem::take(&mut joined) && !leave(&node).await {
                log::info!("group not left; its time-out will do it");
            }
            sleep(JOIN_PAUSE).await;
            continue;
        }
        joined = true;
        match node.store.join(&member, generation, ANSWER_MAX.as_duration()).await {
            Ok(seat) => {
                generation = seat.generation;
                node.seat.set(Some(node.now()));
                node.first.set(seat.holds(0));
            }
            Err(Refusal::Fenced) => node.first.set(false),
            Err(refusal) => log::debug!(refusal:display; "group not joined"),
        }
        sleep(JOIN_PAUSE).await;
    }
    resign(&node).await;
}

/// Leaves the group, so that another process is named at once. Returns whether
/// the store said so.
async fn leave(node: &Node) -> bool {
    let left = node.store.leave(&member(node), ANSWER_MAX.as_duration()).await;
    if let Err(refusal) = left {
        log::debug!(refusal:display; "no answer to leaving the group");
        return false;
    }
    node.seat.set(None);
    node.first.set(false);
    true
}

/// Leaves the group for good. A leader goes on leading until the store has
/// heard of it, since without the store no other process can follow.
async fn resign(node: &Node) {
    while !leave(node).await {
        if !node.leads.get() || *node.stage.borrow() == Stage::Ending {
            log::info!("group not left; its time-out will do it");
            return;
        }
        sleep(JOIN_PAUSE).await;
    }
}
