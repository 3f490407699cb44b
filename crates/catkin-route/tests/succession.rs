//! Which process takes over from a leader.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        owners::ProcessId,
        succession::{Decision, LeaderView, decide},
    },
    common::leader,
};

fn view<'a>(identity: &'a ProcessId, leader: &'a ProcessId) -> LeaderView<'a> {
    let leader_store_age = Span::from_secs(5);
    LeaderView {
        identity,
        is_strong: true,
        is_successor: true,
        leader: Some(leader),
        leader_store_age,
        is_member: None,
    }
}

/// A weak process with a congested link must not take leadership from a leader
/// that all others reach.
#[test]
fn weak_process_asks_before_it_claims() {
    let (identity, other) = (leader("x"), leader("y"));
    let weak = LeaderView { is_strong: false, ..view(&identity, &other) };
    assert_eq!(decide(&weak), Decision::CheckMembership);
    assert_eq!(decide(&LeaderView { is_member: Some(true), ..weak.clone() }), Decision::Wait);
    assert_eq!(decide(&LeaderView { is_member: Some(false), ..weak }), Decision::Claim);
}

/// If the leader is unreachable, only the first process of the group takes
/// over.
#[test]
fn silent_leader_is_followed_by_the_first() {
    let (identity, other) = (leader("x"), leader("y"));
    assert_eq!(decide(&view(&identity, &other)), Decision::Claim);
    assert_eq!(decide(&LeaderView { is_successor: false, ..view(&identity, &other) }), Decision::Wait);
    let leader_store_age = Span::from_millis(1_500);
    assert_eq!(decide(&LeaderView { leader_store_age, ..view(&identity, &other) }), Decision::Wait);
}

/// A process claims at once if the leader is itself or an earlier incarnation
/// on its VM.
#[test]
fn own_leadership_is_claimed_at_once() {
    let identity = leader("x");
    let leader_store_age = Span::ZERO;
    assert_eq!(
        decide(&LeaderView { is_successor: false, leader_store_age, ..view(&identity, &identity) }),
        Decision::Claim
    );
    let earlier = ProcessId { run_id: 9, ..leader("x") };
    assert_eq!(decide(&LeaderView { leader_store_age, ..view(&identity, &earlier) }), Decision::Claim);
    assert_eq!(decide(&LeaderView { leader: None, ..view(&identity, &identity) }), Decision::Claim);
}
