//! What a process that is asked to stop still takes.

use {
    catkin::types::{Span, Time},
    catkin_route::drain::Drain,
};

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

/// An upload whose body arrives late in the grace period, with a time limit
/// behind its end, would be cut while its target is at work on it.
#[test]
fn late_request_must_end_before_the_process() {
    let drain = Drain::new(at(0), Span::from_secs(6));
    assert!(drain.may_take(at(1_000), at(9_000)));
    assert!(!drain.may_take(at(3_900), at(9_000)));
    assert!(drain.may_take(at(3_900), at(5_400)));
    assert!(!drain.may_take(at(3_900), at(5_401)));
}

/// The end lies within the last sixth of the grace period, in which work may be
/// aborted, and leaves time for the last answers. What is taken just before
/// connections are closed has as long again, also in a short grace period.
#[test]
fn times_fit_the_grace_period() {
    for grace_ms in [500, 1_000, 3_000, 6_000, 10_000, 30_000] {
        let drain = Drain::new(at(0), Span::from_millis(grace_ms));
        assert!(drain.end() < at(grace_ms), "grace {grace_ms} ms");
        assert!(drain.end() >= at(grace_ms * 5 / 6), "grace {grace_ms} ms");
        assert!(drain.end().since(drain.closing()) >= drain.closing().since(at(0)), "grace {grace_ms} ms");
    }
    assert_eq!(Drain::new(at(0), Span::from_secs(6)).closing(), at(2_600));
}
