//! Whether a request gets another attempt, and what its caller is told.

use {
    catkin::{
        Code,
        types::{Span, Time},
    },
    catkin_route::{
        config::{Kind, Rule},
        directory::Incarnation,
        tries::{End, Tries},
    },
};

const DEADLINE: Time = Time::from_micros(1_000_000);
const NOW: Time = Time::from_micros(1_000);

fn tries(kind: Kind, attempts: u32) -> Tries {
    let rule = Rule {
        name: "r".into(),
        kind,
        aim: Span::from_millis(100),
        priority: 0,
        prefix: "/".into(),
        parts: Vec::new(),
        timeout: Span::from_secs(1),
        attempts,
    };
    Tries::new(&rule, DEADLINE)
}

fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: id.into(), started: 1 }
}

/// A request that may run once was attempted again after its target had
/// answered 500, although it had run.
#[test]
fn failed_answer_exposes_request() {
    for kind in [Kind::Once, Kind::Upload] {
        let mut tries = tries(kind, 3);
        tries.ended(&incarnation("a"), End::Failed);
        assert!(!tries.may_repeat(NOW));
        assert!(tries.is_exposed());
    }
}

/// A request that may run once must get no further attempt after any byte of it
/// was sent.
#[test]
fn lost_answer_exposes_request() {
    let mut tries = tries(Kind::Once, 3);
    tries.ended(&incarnation("a"), End::Lost);
    assert!(!tries.may_repeat(NOW));
}

/// After a refusal the request has not run, so it may go to another target.
#[test]
fn refusal_allows_retry() {
    let mut tries = tries(Kind::Once, 3);
    tries.ended(&incarnation("a"), End::NotRun);
    tries.ended(&incarnation("b"), End::Unreached);
    assert!(tries.may_repeat(NOW));
    assert_eq!(tries.targets(), [incarnation("a")]);
}

/// A request gets no more attempts than its route allows.
#[test]
fn attempts_are_bounded() {
    let mut tries = tries(Kind::Idempotent, 2);
    tries.ended(&incarnation("a"), End::Lost);
    assert!(tries.may_repeat(NOW));
    tries.ended(&incarnation("b"), End::NotRun);
    assert!(!tries.may_repeat(NOW));
}

/// Attempts without a connection are bounded as well.
#[test]
fn unreached_targets_are_bounded() {
    let mut tries = tries(Kind::Idempotent, 2);
    for _ in 0..4 {
        assert!(tries.may_repeat(NOW));
        tries.ended(&incarnation("a"), End::Unreached);
    }
    assert!(!tries.may_repeat(NOW));
}

/// No attempt starts after the deadline.
#[test]
fn late_request_gets_no_retry() {
    let mut tries = tries(Kind::Idempotent, 2);
    tries.ended(&incarnation("a"), End::NotRun);
    assert!(!tries.may_repeat(DEADLINE));
}

/// The caller must not be told "not run" if an earlier attempt may have run.
#[test]
fn verdict_covers_every_send() {
    let mut tries = tries(Kind::Idempotent, 3);
    tries.ended(&incarnation("a"), End::NotRun);
    assert_eq!(tries.verdict(Code::TargetRefused), Code::TargetRefused);
    tries.ended(&incarnation("b"), End::Lost);
    for code in [Code::TargetRefused, Code::RetryBudget, Code::QueueFull, Code::NoOwner] {
        assert_eq!(tries.verdict(code), Code::OutcomeUnknown);
    }
    assert_eq!(tries.verdict(Code::AnswerCut), Code::AnswerCut);
}
