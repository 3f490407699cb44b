//! Membership of the group that names the next leader.

use {
    crate::{
        node::{Node, Stage, sleep},
        sync::ANSWER_TIMEOUT,
    },
    catkin::types::Span,
    catkin_platform::store::{Member, StoreError},
    catkin_route::owners::ProcessId,
    std::rc::Rc,
};

/// Group whose member with the first partition is the next leader.
const GROUP: &str = "edge";

/// Topic whose partitions the group distributes. It holds no records.
const MEMBERS_TOPIC: &str = "edge.seats";

/// Time without a join after which the store removes a member; the platform
/// allows no shorter one.
pub(super) const MEMBER_TTL: Span = Span::from_millis(1_000);

/// Time without an answer of the leader after which every strong process joins
/// the group.
const NO_LEADER_TIMEOUT: Span = Span::from_millis(1_500);

/// The same for weak processes, see [`Node::is_strong`].
const NO_LEADER_TIMEOUT_WEAK: Span = Span::from_millis(3_000);

/// Interval between joins; a member that misses two stays a member.
const JOIN_INTERVAL: Span = Span::from_millis(300);

fn member_name(leader: &ProcessId) -> String {
    format!("{}.{}", leader.vm, leader.run_id)
}

fn member(node: &Node) -> Member {
    Member { group: GROUP, name: member_name(&node.identity).into(), topic: MEMBERS_TOPIC, ttl: MEMBER_TTL }
}

/// Returns whether a process is a member of the group, as the store says.
///
/// # Errors
///
/// As any call of the store.
pub(super) async fn is_member(node: &Node, leader: &ProcessId) -> Result<bool, StoreError> {
    let members = node.store.members(GROUP, ANSWER_TIMEOUT.as_duration()).await?;
    Ok(members.contains(&member_name(leader)))
}

/// Returns whether this process should be a member. Members are the leader, its
/// standbys, and processes that have had no answer of a leader for the time-out;
/// strong ones that never had one join at once. Other members could not lead
/// soon and would only cost calls.
fn wants_to_join(node: &Node) -> bool {
    let answer_age = node.now().since(node.last_leader_answer.get().max(node.started_at));
    let timeout = if node.is_strong() { NO_LEADER_TIMEOUT } else { NO_LEADER_TIMEOUT_WEAK };
    let never_answered = node.last_leader_answer.get() < node.started_at;
    let leaderless = answer_age > timeout || never_answered && node.is_strong();
    node.is_leader.get() || node.is_standby.get() && answer_age < NO_LEADER_TIMEOUT_WEAK || leaderless
}

/// Joins and leaves the group as [`wants_to_join`] says, until the process
/// stops.
pub(crate) async fn join(node: Rc<Node>) {
    let member = member(&node);
    let mut generation = 0;
    let mut joined = false;
    while !node.is_draining() {
        if !wants_to_join(&node) {
            if std::mem::take(&mut joined) && !leave(&node).await {
                log::info!("failed to leave the group; the membership will expire");
            }
            sleep(JOIN_INTERVAL).await;
            continue;
        }
        joined = true;
        let sent_at = node.now();
        match node.store.join(&member, generation, ANSWER_TIMEOUT.as_duration()).await {
            Ok(membership) => {
                generation = membership.generation;
                // The store may have executed the call long before its answer.
                node.last_join.set(Some(sent_at));
                node.is_successor.set(membership.holds(0));
            }
            Err(StoreError::Fenced) => node.is_successor.set(false),
            Err(error) => log::debug!(error:display; "failed to join the group"),
        }
        sleep(JOIN_INTERVAL).await;
    }
    resign(&node).await;
}

/// Leaves the group, so that another process becomes the next leader at once.
/// Returns whether the store has confirmed it.
async fn leave(node: &Node) -> bool {
    let left = node.store.leave(&member(node), ANSWER_TIMEOUT.as_duration()).await;
    if let Err(error) = left {
        log::debug!(error:display; "failed to leave the group");
        return false;
    }
    node.last_join.set(None);
    node.is_successor.set(false);
    true
}

/// Leaves the group before the process ends. A leader continues to lead until
/// the store has confirmed it, since without the store no other process can
/// take over.
async fn resign(node: &Node) {
    while !leave(node).await {
        if !node.is_leader.get() || *node.stage.borrow() == Stage::Ending {
            log::info!("failed to leave the group; the membership will expire");
            return;
        }
        sleep(JOIN_INTERVAL).await;
    }
}
