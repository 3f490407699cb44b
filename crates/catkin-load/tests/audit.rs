//! Checks that the audit finds every violation and reports no other.

use {
    catkin::types::{Fence, Offset, SliceId, Span},
    catkin_load::{Answer, Checks, Record, audit},
    catkin_standin::{Interval, Ledger, Run},
};

fn record(call_id: &str, idempotency_key: Option<&str>, answer: Answer) -> Record {
    Record {
        call_id: call_id.into(),
        kind: 0,
        key: None,
        idempotency_key: idempotency_key.map(Into::into),
        at: Span::ZERO,
        lag: Span::ZERO,
        latency: Span::ZERO,
        answer,
        target: None,
    }
}

fn ledger(target: &str, calls: &[&str], held: &[(u32, u64, u64, u64)]) -> Ledger {
    let runs = calls.iter().map(|call| {
        let run = Run { request: None, call: Some((*call).into()), held: None, from: 0, at: 1, length: 0 };
        ((*call).into(), vec![run])
    });
    let intervals = held.iter().map(|(slice, fence, from, until)| Interval {
        slice: SliceId(*slice),
        fence: Fence::new(Offset(*fence)),
        from: *from,
        until: *until,
    });
    Ledger {
        target: target.parse().unwrap(),
        service: "planoteca".parse().unwrap(),
        boot: 1,
        counts: Default::default(),
        runs: runs.collect(),
        owned: intervals.collect(),
        served: Vec::new(),
        drained: None,
        arrived: None,
    }
}

fn violated(checks: &Checks) -> Vec<&'static str> {
    checks.findings().into_iter().filter(|(_, findings)| findings.count > 0).map(|(name, _)| name).collect()
}

/// Guards against violations that are reported although answers and ledgers
/// agree, or although the answer leaves the outcome unknown.
#[test]
fn consistent_answers_and_ledgers_are_clean() {
    let records = [
        record("a", None, Answer::Ran),
        record("b", None, Answer::NotRun(408)),
        record("c", Some("op-1"), Answer::Unknown(501)),
        record("d", Some("op-1"), Answer::RanBefore),
        record("e", Some("op-2"), Answer::NoAnswer),
    ];
    let ledgers =
        [ledger("t-1", &["a", "c"], &[(1, 5, 0, 10)]), ledger("t-2", &[], &[(1, 6, 10, 20), (2, 7, 0, 9)])];
    let checks = audit(&records, &ledgers);
    assert!(checks.is_clean(), "{:?}", violated(&checks));
}

/// Guards against a violation that is missed or reported under another name.
#[test]
fn each_violation_is_found() {
    let none: &[&str] = &[];
    let cases = [
        (record("a", None, Answer::Ran), none, none, "lost"),
        (record("a", Some("op"), Answer::RanBefore), none, none, "lost"),
        (record("a", Some("op"), Answer::Unknown(501)), &["a"], &["a"], "doubled"),
        (record("a", None, Answer::NotRun(408)), &["a"], none, "falsely not run"),
        (record("a", None, Answer::Mixed), &["a"], none, "mixed up"),
        (record("a", None, Answer::HiddenCut), &["a"], none, "cut unseen"),
    ];
    for (record, first, second, name) in cases {
        let ledgers = [ledger("t-1", first, &[]), ledger("t-2", second, &[])];
        assert_eq!(violated(&audit(&[record], &ledgers)), [name]);
    }
}

/// Guards against missing an operation of which two requests ran.
#[test]
fn operation_that_ran_for_two_requests_is_found() {
    let records = [record("a", Some("op"), Answer::Ran), record("b", Some("op"), Answer::Ran)];
    let checks = audit(&records, &[ledger("t-1", &["a", "b"], &[])]);
    assert_eq!(violated(&checks), ["doubled"]);
}

/// Guards against an overlap of two owners that is missed because another
/// interval lies between theirs.
#[test]
fn overlapping_owners_are_found() {
    let ledgers = [
        ledger("t-1", &[], &[(1, 5, 0, 100), (1, 9, 200, 300)]),
        ledger("t-2", &[], &[(1, 6, 20, 30), (1, 7, 90, 150)]),
    ];
    let checks = audit(&[], &ledgers);
    assert_eq!(violated(&checks), ["owned by two"]);
    assert_eq!(checks.shared_ownership.count, 2);
}

/// Guards against work at a draining target that is not reported, and against
/// a report of work within the 2 s that are allowed.
#[test]
fn work_after_a_drain_is_found() {
    let second = 1_000_000;
    for (arrived, expected) in [(3 * second, vec![]), (4 * second, vec!["work after drain"])] {
        let ledger = Ledger { drained: Some(second), arrived: Some(arrived), ..ledger("t-1", &[], &[]) };
        assert_eq!(violated(&audit(&[], &[ledger])), expected);
    }
}
