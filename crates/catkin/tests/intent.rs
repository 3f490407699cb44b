//! Tests of idempotency keys across entry VMs.

use catkin::{
    Code,
    config::LogDownPolicy,
    dispatch::JobId,
    intent::{Action, Intents, KeyState, Request, RequestEnd},
    types::{Span, Time},
};

const KEY: u128 = 7;
const TIME_LIMIT: Span = Span::from_millis(500);

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn request(id: u64, digest: u128, log_down: LogDownPolicy) -> Request {
    let service = "pedidos".parse().unwrap();
    Request { id: JobId(id), service, digest, log_down, deadline: at(0).after(TIME_LIMIT) }
}

fn ask(intents: &mut Intents, id: u64, key_state: KeyState) -> Option<Action> {
    intents.admit(at(0), request(id, KEY, LogDownPolicy::Refuse), key_state)
}

fn code(action: Option<Action>) -> Option<Code> {
    match action {
        Some(Action::Refuse(_, error)) => Some(error.code()),
        _ => None,
    }
}

fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send(_))
}

/// Returns the table of a VM whose request with `KEY` is in the batch in flight.
fn appending() -> Intents {
    let mut intents = Intents::new();
    assert!(ask(&mut intents, 1, KeyState::Free).is_none());
    assert!(matches!(&intents.tick(at(0))[..], [Action::Append(batch)] if batch[0].digest == KEY));
    intents
}

/// Guards against a request that is sent before its intent is in the log.
#[test]
fn a_request_is_sent_only_after_its_intent_was_read_back() {
    let mut intents = appending();
    assert!(intents.tick(at(100)).is_empty());
    let actions = intents.resolve(at(100), |_| KeyState::First);
    assert!(matches!(actions[..], [Action::Send(JobId(1))]));
}

/// Guards against two VMs that send requests with the same key at the same time.
#[test]
fn only_the_first_intent_in_log_order_may_send() {
    let actions = appending().resolve(at(1), |_| KeyState::Taken { done: false });
    assert_eq!(code(actions.into_iter().next()), Some(Code::IntentSettled));
    let actions = appending().resolve(at(1), |_| KeyState::Taken { done: true });
    assert_eq!(code(actions.into_iter().next()), Some(Code::IntentDone));
}

/// Guards against a second request with the key on the same VM.
#[test]
fn a_key_is_sent_once_by_one_vm() {
    let mut intents = appending();
    assert_eq!(code(ask(&mut intents, 2, KeyState::Free)), Some(Code::IntentSettled));
    intents.resolve(at(1), |_| KeyState::First);
    assert_eq!(code(ask(&mut intents, 3, KeyState::First)), Some(Code::IntentSettled));
    intents.finish(at(2), JobId(1), RequestEnd::Unknown);
    assert_eq!(code(ask(&mut intents, 4, KeyState::First)), Some(Code::IntentSettled));
}

/// Guards against more appends than the log service accepts.
#[test]
fn a_vm_appends_at_most_20_batches_per_second() {
    let mut intents = Intents::new();
    let mut batches = 0;
    for milli in 0..1_000 {
        let new_request =
            Request { deadline: at(5_000), ..request(milli, u128::from(milli), LogDownPolicy::Refuse) };
        intents.admit(at(milli), new_request, KeyState::Free);
        batches += intents.tick(at(milli)).len();
        let repeated = intents.may_retry(at(milli));
        assert!(!repeated || milli % 50 == 0);
        intents.resolve(at(milli), |_| KeyState::First);
    }
    assert_eq!(batches, 20);
}

/// Guards against repeated appends that exceed the rate limit.
#[test]
fn a_repeated_append_counts() {
    let mut intents = appending();
    assert!(!intents.may_retry(at(49)));
    assert!(intents.may_retry(at(50)));
    intents.resolve(at(51), |_| KeyState::First);
    intents.admit(at(51), request(2, 8, LogDownPolicy::Refuse), KeyState::Free);
    assert!(intents.tick(at(99)).is_empty());
    assert_eq!(intents.tick(at(100)).len(), 1);
}

/// Guards against a request that waits for an unavailable log, and against one that
/// is sent although its service requires the log.
#[test]
fn the_service_decides_while_the_log_is_down() {
    for (rule, sent) in [(LogDownPolicy::Refuse, false), (LogDownPolicy::Send, true)] {
        let mut intents = Intents::new();
        assert!(intents.admit(at(0), request(1, KEY, rule), KeyState::Free).is_none());
        let actions = intents.set_log_unavailable(true);
        assert_eq!(actions.iter().any(is_send), sent);
        let action = intents.admit(at(0), request(2, 8, rule), KeyState::Free);
        assert_eq!(action.as_ref().is_some_and(is_send), sent);
        assert!(intents.tick(at(100)).iter().all(|action| !matches!(action, Action::Append(_))));
    }
}

/// Guards against a request that runs while the log is unavailable and once more
/// when its intent is in the log.
#[test]
fn a_key_that_was_sent_during_an_outage_is_not_sent_after_it() {
    let mut intents = Intents::new();
    intents.set_log_unavailable(true);
    let action = intents.admit(at(0), request(1, KEY, LogDownPolicy::Send), KeyState::Free);
    assert!(is_send(&action.unwrap()));
    intents.finish(at(1), JobId(1), RequestEnd::Unknown);
    intents.set_log_unavailable(false);
    assert_eq!(code(ask(&mut intents, 2, KeyState::Free)), Some(Code::IntentSettled));
    assert_eq!(intents.tick(at(2)).len(), 1);
    assert!(intents.resolve(at(3), |_| KeyState::First).is_empty());
    assert_eq!(code(ask(&mut intents, 3, KeyState::First)), Some(Code::IntentSettled));
}

/// Guards against a request that is sent after its caller was told that it did not
/// run.
#[test]
fn a_cancelled_request_is_not_sent() {
    let mut intents = appending();
    assert!(intents.cancel(JobId(1)));
    assert!(intents.resolve(at(1), |_| KeyState::First).is_empty());
    let mut intents = appending();
    let actions = intents.tick(at(500));
    assert_eq!(code(actions.into_iter().next()), Some(Code::DeadlineTooShort));
    assert!(intents.resolve(at(501), |_| KeyState::First).is_empty());
    let actions = appending().resolve(at(500), |_| KeyState::First);
    assert_eq!(code(actions.into_iter().next()), Some(Code::DeadlineTooShort));
}

/// Guards against a key that can't be used again although its request did not run.
#[test]
fn a_key_whose_request_did_not_run_can_be_used_again() {
    let mut intents = appending();
    intents.resolve(at(1), |_| KeyState::First);
    intents.finish(at(2), JobId(1), RequestEnd::NotRun);
    assert!(is_send(&ask(&mut intents, 2, KeyState::First).unwrap()));
    assert_eq!(code(ask(&mut intents, 3, KeyState::First)), Some(Code::IntentSettled));
}

/// Guards against intents that are lost when an append is refused.
#[test]
fn a_batch_that_was_not_appended_is_appended_later() {
    let mut intents = appending();
    intents.requeue();
    assert!(matches!(&intents.tick(at(50))[..], [Action::Append(batch)] if batch.len() == 1));
}
