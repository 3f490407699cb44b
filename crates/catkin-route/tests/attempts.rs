//! Whether a request gets another attempt, and what its caller is told.

use {
    catkin::{
        Code,
        types::{ConnId, Span, Time},
    },
    catkin_route::{
        attempts::{AttemptEnd, Attempts},
        config::{Route, RouteKind},
        directory::Incarnation,
    },
};

const DEADLINE: Time = Time::from_micros(1_000_000);
const NOW: Time = Time::from_micros(1_000);

fn attempts(kind: RouteKind, max_attempts: u32) -> Attempts {
    let route = Route {
        name: "r".into(),
        kind,
        latency_objective: Span::from_millis(100),
        priority: 0,
        prefix: "/".into(),
        services: Vec::new(),
        timeout: Span::from_secs(1),
        max_attempts,
    };
    Attempts::new(&route, DEADLINE)
}

fn incarnation(id: &str) -> Incarnation {
    Incarnation { id: id.into(), started: 1 }
}

/// A non-idempotent request gets no further attempt after a 500 answer, since
/// it has run.
#[test]
fn failed_answer_exposes_request() {
    for kind in [RouteKind::Once, RouteKind::Upload] {
        let mut attempts = attempts(kind, 3);
        attempts.record(&incarnation("a"), AttemptEnd::Failed);
        assert!(!attempts.may_retry(NOW));
        assert!(attempts.may_have_run());
    }
}

/// A request that may run once must get no further attempt after any byte of it
/// was sent.
#[test]
fn lost_answer_exposes_request() {
    let mut attempts = attempts(RouteKind::Once, 3);
    attempts.record(&incarnation("a"), AttemptEnd::Unanswered);
    assert!(!attempts.may_retry(NOW));
}

/// After a refusal the request has not run, so it may go to another target.
#[test]
fn refusal_allows_retry() {
    let mut attempts = attempts(RouteKind::Once, 3);
    attempts.record(&incarnation("a"), AttemptEnd::NotRun);
    attempts.record(&incarnation("b"), AttemptEnd::Unreachable);
    assert!(attempts.may_retry(NOW));
    assert_eq!(attempts.targets(), [incarnation("a")]);
}

/// A request gets no more attempts than its route allows.
#[test]
fn attempts_are_bounded() {
    let mut attempts = attempts(RouteKind::Idempotent, 2);
    attempts.record(&incarnation("a"), AttemptEnd::Unanswered);
    assert!(attempts.may_retry(NOW));
    attempts.record(&incarnation("b"), AttemptEnd::NotRun);
    assert!(!attempts.may_retry(NOW));
}

/// Attempts without a connection are bounded as well.
#[test]
fn unreached_targets_are_bounded() {
    let mut attempts = attempts(RouteKind::Idempotent, 2);
    for _ in 0..4 {
        assert!(attempts.may_retry(NOW));
        attempts.record(&incarnation("a"), AttemptEnd::Unreachable);
    }
    assert!(!attempts.may_retry(NOW));
}

/// No attempt starts after the deadline.
#[test]
fn late_request_gets_no_retry() {
    let mut attempts = attempts(RouteKind::Idempotent, 2);
    attempts.record(&incarnation("a"), AttemptEnd::NotRun);
    assert!(!attempts.may_retry(DEADLINE));
}

/// The caller must not be told "not run" if an earlier attempt may have run.
#[test]
fn verdict_covers_every_send() {
    let mut attempts = attempts(RouteKind::Idempotent, 3);
    attempts.record(&incarnation("a"), AttemptEnd::NotRun);
    assert_eq!(attempts.caller_code(Code::TargetRefused), Code::TargetRefused);
    attempts.record(&incarnation("b"), AttemptEnd::Unanswered);
    for code in [Code::TargetRefused, Code::RetryBudget, Code::QueueFull, Code::NoOwner] {
        assert_eq!(attempts.caller_code(code), Code::OutcomeUnknown);
    }
    assert_eq!(attempts.caller_code(Code::AnswerCut), Code::AnswerCut);
}

/// A late copy of the answer to an earlier attempt has the id of the request, so
/// a connection carries one attempt of it at most, also after other requests.
#[test]
fn connection_carries_one_attempt_of_a_request() {
    let mut attempts = attempts(RouteKind::Once, 3);
    attempts.sent_on(ConnId(1));
    attempts.sent_on(ConnId(2));
    assert!(!attempts.may_send_on(ConnId(1)));
    assert!(!attempts.may_send_on(ConnId(2)));
    assert!(attempts.may_send_on(ConnId(3)));
}

/// A target may answer a request that it has run with a status that promises the
/// contrary. For a request that must not run twice that is never forwarded.
#[test]
fn false_promise_is_not_forwarded() {
    assert!(!attempts(RouteKind::Once, 2).may_forward(true));
    assert!(!attempts(RouteKind::Upload, 2).may_forward(true));
    assert!(attempts(RouteKind::Once, 2).may_forward(false));
    assert!(attempts(RouteKind::Idempotent, 2).may_forward(true));
}
