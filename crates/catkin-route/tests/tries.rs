//! Whether a request is sent once more, and what its caller is told.

use {
    catkin::{
        Code,
        types::{Span, Time},
    },
    catkin_route::{
        config::{Kind, Rule},
        directory::Life,
        tries::{End, Tries},
    },
};

const UNTIL: Time = Time::from_micros(1_000_000);
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
    Tries::new(&rule, UNTIL)
}

fn life(id: &str) -> Life {
    Life { id: id.into(), born: 1 }
}

/// A request that may run once was sent again after its target had answered
/// 500: it had run.
#[test]
fn failed_answer_exposes_request() {
    for kind in [Kind::Once, Kind::Upload] {
        let mut tries = tries(kind, 3);
        tries.ended(&life("a"), End::Failed);
        assert!(!tries.may_repeat(NOW));
        assert!(tries.is_exposed());
    }
}

/// A request that may run once must not be sent again after any byte went out.
#[test]
fn lost_answer_exposes_request() {
    let mut tries = tries(Kind::Once, 3);
    tries.ended(&life("a"), End::Lost);
    assert!(!tries.may_repeat(NOW));
}

/// Refusals of targets leave a request free to go elsewhere.
#[test]
fn refusal_allows_repeat() {
    let mut tries = tries(Kind::Once, 3);
    tries.ended(&life("a"), End::NotRun);
    tries.ended(&life("b"), End::Unreached);
    assert!(tries.may_repeat(NOW));
    assert_eq!(tries.targets(), [life("a")]);
}

/// A request goes to no more targets than its route allows.
#[test]
fn attempts_are_bounded() {
    let mut tries = tries(Kind::Idempotent, 2);
    tries.ended(&life("a"), End::Lost);
    assert!(tries.may_repeat(NOW));
    tries.ended(&life("b"), End::NotRun);
    assert!(!tries.may_repeat(NOW));
}

/// Targets that can't be reached end the tries as well.
#[test]
fn unreached_targets_are_bounded() {
    let mut tries = tries(Kind::Idempotent, 2);
    for _ in 0..4 {
        assert!(tries.may_repeat(NOW));
        tries.ended(&life("a"), End::Unreached);
    }
    assert!(!tries.may_repeat(NOW));
}

/// Nothing is sent after the caller's time is over.
#[test]
fn late_request_is_not_repeated() {
    let mut tries = tries(Kind::Idempotent, 2);
    tries.ended(&life("a"), End::NotRun);
    assert!(!tries.may_repeat(UNTIL));
}

/// "Not run" must not be said of a request of which an earlier send may have
/// run.
#[test]
fn verdict_covers_every_send() {
    let mut tries = tries(Kind::Idempotent, 3);
    tries.ended(&life("a"), End::NotRun);
    assert_eq!(tries.verdict(Code::TargetRefused), Code::TargetRefused);
    tries.ended(&life("b"), End::Lost);
    for code in [Code::TargetRefused, Code::RetryBudget, Code::QueueFull, Code::NoOwner] {
        assert_eq!(tries.verdict(code), Code::OutcomeUnknown);
    }
    assert_eq!(tries.verdict(Code::AnswerCut), Code::AnswerCut);
}
