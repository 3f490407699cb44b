//! Which process takes over from a leader.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        owners::Leader,
        succession::{Verdict, View, judge},
    },
    common::leader,
};

fn view<'a>(me: &'a Leader, known: &'a Leader) -> View<'a> {
    let silence = Span::from_secs(5);
    View { me, strong: true, first: true, known: Some(known), silence, member: None }
}

/// A weak process with a congested link must not take leadership from a leader
/// that all others reach.
#[test]
fn weak_process_asks_before_it_claims() {
    let (me, known) = (leader("x"), leader("y"));
    let weak = View { strong: false, ..view(&me, &known) };
    assert_eq!(judge(&weak), Verdict::Ask);
    assert_eq!(judge(&View { member: Some(true), ..weak.clone() }), Verdict::Wait);
    assert_eq!(judge(&View { member: Some(false), ..weak }), Verdict::Claim);
}

/// If the leader is unreachable, only the first process of the group takes
/// over.
#[test]
fn silent_leader_is_followed_by_the_first() {
    let (me, known) = (leader("x"), leader("y"));
    assert_eq!(judge(&view(&me, &known)), Verdict::Claim);
    assert_eq!(judge(&View { first: false, ..view(&me, &known) }), Verdict::Wait);
    let silence = Span::from_millis(1_500);
    assert_eq!(judge(&View { silence, ..view(&me, &known) }), Verdict::Wait);
}

/// A process claims at once if the leader is itself or an earlier incarnation
/// on its VM.
#[test]
fn own_leadership_is_claimed_at_once() {
    let me = leader("x");
    let silence = Span::ZERO;
    assert_eq!(judge(&View { first: false, silence, ..view(&me, &me) }), Verdict::Claim);
    let earlier = Leader { incarnation: 9, ..leader("x") };
    assert_eq!(judge(&View { silence, ..view(&me, &earlier) }), Verdict::Claim);
    assert_eq!(judge(&View { known: None, ..view(&me, &me) }), Verdict::Claim);
}
