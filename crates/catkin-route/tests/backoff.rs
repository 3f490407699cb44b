//! Calls of a process to a store that does not answer them, in virtual time.

mod common;

use {
    catkin::types::Time,
    catkin_route::backoff::{Backoff, Failure},
    common::at,
};

/// Number of reads of a process that share a backoff.
const READS: u64 = 3;

/// Time between the first calls of two reads.
const READ_INTERVAL: u64 = 700;

/// Calls of a process in an outage: when each began, and when it ended.
fn calls(millis: u64, took: u64, failure: Failure) -> (Backoff, Vec<(u64, u64)>) {
    let mut backoff = Backoff::default();
    let mut open: Vec<u64> = Vec::new();
    let mut calls = Vec::new();
    for now in (0..millis).step_by(10) {
        open.retain(|began| {
            let has_ended = began + took <= now;
            if has_ended {
                backoff.failed(at(now), at(*began), failure);
                calls.push((*began, now));
            }
            !has_ended
        });
        // The reads of a process begin one after the other.
        let started = (now / READ_INTERVAL + 1).min(READS) as usize;
        if open.len() < started && backoff.claim(at(now)) {
            open.push(now);
        }
    }
    (backoff, calls)
}

/// Returns the longest time without a call that could have been answered.
fn longest_gap(calls: &[(u64, u64)]) -> u64 {
    calls.windows(2).map(|pair| pair[1].0 - pair[0].0).max().unwrap()
}

/// A machine is cut off for 12 s: its attempts to connect, or the calls on new
/// connections, hang until their time-out. The next one must not come seconds after
/// the cut.
#[test]
fn cut_off_process_probes_often() {
    for (took, failure, gap_max) in
        [(400, Failure::Unsent, 700), (0, Failure::Unsent, 500), (1_200, Failure::Unanswered, 1_650)]
    {
        let (_, calls) = calls(12_000, took, failure);
        assert!(longest_gap(&calls) <= gap_max, "{failure:?}: {calls:?}");
    }
}

/// Each call has a cost, also one that the store refuses or never answers. In an
/// outage of 12 s each process makes about one a second at most.
#[test]
fn calls_of_an_outage_are_few() {
    for (took, failure) in [
        (0, Failure::Refused),
        (1_200, Failure::Unanswered),
        (10, Failure::Unanswered),
        (0, Failure::Unanswered),
    ] {
        let (_, calls) = calls(12_000, took, failure);
        assert!(calls.len() <= 13, "{failure:?}: {} calls", calls.len());
    }
}

/// The first answer lets all reads go on, and a call that hung before it says
/// nothing of the store any more.
#[test]
fn answer_ends_the_backoff_for_all_reads() {
    let (mut backoff, _) = calls(12_000, 1_200, Failure::Unanswered);
    assert!(!backoff.is_over());
    let began: Time = at(11_900);
    backoff.answered(at(12_500));
    backoff.failed(at(13_100), began, Failure::Unanswered);
    assert!((0..READS).all(|_| backoff.claim(at(13_100))));
    backoff.failed(at(13_200), at(13_100), Failure::Refused);
    assert!(!backoff.claim(at(13_300)) && backoff.claim(at(13_400)));
}
