//! Tests of the number of processes.

mod common;

use {catkin_route::peer_count::PeerCount, common::at};

/// A new leader counts from 1 on. Its first counts must not be believed.
#[test]
fn first_counts_of_a_leader_are_not_believed() {
    let mut count = PeerCount::new(12);
    count.update(at(0), 79);
    for (i, reported) in [1, 7, 40, 70, 79].into_iter().enumerate() {
        count.update(at(500 * (i as u64 + 1)), reported);
        assert_eq!(count.get(), 79);
    }
}

/// Processes that are lost for good are no longer counted after a while.
#[test]
fn lasting_lower_count_is_believed() {
    let mut count = PeerCount::new(12);
    for millis in (0..2_900).step_by(100) {
        count.update(at(millis), 6 + u32::from(millis == 1_000));
        assert_eq!(count.get(), 12);
    }
    count.update(at(3_000), 6);
    assert_eq!(count.get(), 7, "the highest of the lower counts");
    count.update(at(3_100), 9);
    assert_eq!(count.get(), 9);
}
