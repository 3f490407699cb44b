//! Tests of retry decisions.

use {
    catkin::{
        Code, Error,
        config::Policy,
        retry::{Budget, Decision, Failure, History, decide},
        types::{Span, Time},
    },
    std::ops::ControlFlow,
};

const NOW: u64 = 1_000_000;
const DEADLINE: u64 = 2_000_000;

fn at(micros: u64) -> Time {
    Time::from_micros(micros)
}

fn budget(successes: u32) -> Budget {
    let mut budget = Budget::new(&Policy::default());
    (0..successes).for_each(|_| budget.count_success(at(NOW)));
    budget
}

fn unsent() -> Failure {
    Failure::Unsent(Error::new(Code::ConnectFailed, "refused"))
}

fn refused() -> Failure {
    Failure::Refused(Error::new(Code::TargetRefused, "busy"))
}

fn lost() -> Failure {
    Failure::MayHaveRun(Error::new(Code::OutcomeUnknown, "silent"))
}

/// Applies failures to one request. Breaks with the code of the error with which the
/// request is not retried.
fn stop_code(idempotent: bool, max_attempts: u32, failures: Vec<Failure>) -> ControlFlow<Code> {
    let policy = Policy { retry_tries: max_attempts, ..Policy::default() };
    let mut budget = budget(1_000);
    let mut history = History::new(idempotent, at(DEADLINE));
    for failure in failures {
        if let Decision::Stop(error) = decide(at(NOW), &policy, &mut budget, &mut history, failure) {
            return ControlFlow::Break(error.code());
        }
    }
    ControlFlow::Continue(())
}

/// Guards against a request that is not idempotent and runs twice.
#[test]
fn a_lost_request_is_sent_again_only_if_it_is_idempotent() {
    assert_eq!(stop_code(false, 3, vec![lost()]), ControlFlow::Break(Code::OutcomeUnknown));
    assert_eq!(stop_code(true, 3, vec![lost()]), ControlFlow::Continue(()));
    assert_eq!(stop_code(false, 3, vec![unsent(), refused()]), ControlFlow::Continue(()));
}

/// Guards against "not run" for a request whose first attempt may have run.
#[test]
fn a_refusal_after_a_lost_try_is_not_reported_as_not_run() {
    assert_eq!(stop_code(true, 2, vec![lost(), refused()]), ControlFlow::Break(Code::OutcomeUnknown));
    assert_eq!(stop_code(true, 2, vec![unsent(), refused()]), ControlFlow::Break(Code::TargetRefused));
}

/// Guards against "not run" if the budget is empty after an attempt that may have
/// run.
#[test]
fn an_empty_budget_does_not_hide_a_lost_try() {
    let policy = Policy::default();
    let mut history = History::new(true, at(DEADLINE));
    let decision = decide(at(NOW), &policy, &mut budget(0), &mut history, lost());
    assert!(matches!(decision, Decision::Stop(error) if error.is_unknown()));
}

/// Guards against unlimited attempts.
#[test]
fn tries_are_bounded() {
    assert_eq!(stop_code(true, 2, vec![unsent(), unsent()]), ControlFlow::Break(Code::ConnectFailed));
}

/// Guards against an attempt whose answer no caller waits for.
#[test]
fn nothing_is_retried_after_the_deadline() {
    let mut history = History::new(true, at(DEADLINE));
    let decision = decide(at(DEADLINE), &Policy::default(), &mut budget(1_000), &mut history, unsent());
    assert!(matches!(decision, Decision::Stop(error) if error.code() == Code::ConnectFailed));
}

/// Guards against a retry storm when a service fails.
#[test]
fn retries_are_a_share_of_recent_successes() {
    let mut budget = budget(100);
    let granted = (0..100).filter(|_| budget.take(at(NOW))).count();
    assert_eq!(granted, 10);
    let later = at(NOW).after(Span::from_secs(10));
    assert!(!self::budget(100).take(later), "successes outside the window allow retries");
}
