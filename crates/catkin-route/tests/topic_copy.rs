//! Tests of the records that a process keeps for others.

use {
    bytes::Bytes,
    catkin_route::{
        backlog::{Change, Payload},
        topic_copy::TopicCopy,
    },
};

fn change(offset: u64) -> Change {
    let value = Payload::new(&Bytes::from(format!("version {offset}"))).unwrap();
    Change { offset, key: Bytes::from_static(b"config"), value }
}

/// Returns the offsets of the changes that bring a process at `from` up to date.
fn offsets(copy: &TopicCopy, from: u64) -> Option<Vec<u64>> {
    Some(copy.since(from)?.1.iter().map(|change| change.offset).collect())
}

/// A listing that was on its way while the leader forwarded a newer state must
/// not move the position back.
#[test]
fn listing_does_not_replace_a_known_position() {
    let mut copy = TopicCopy::default();
    assert!(copy.list(10));
    copy.add(change(9));
    assert!(!copy.list(8), "the listing is older");
    assert_eq!(copy.next_offset(), Some(10));
    copy.reset();
    assert!(copy.list(8), "a listing after a reset counts");
    assert_eq!(copy.next_offset(), Some(8));
}

/// A record that was written while the store listed is part of the listed state
/// and comes again. A process that has not seen it must get it.
#[test]
fn records_written_during_a_listing_are_kept() {
    let mut copy = TopicCopy::default();
    copy.list(10);
    // The listing names the end 10, but holds the record 10 already.
    assert!(copy.may_be_ahead());
    copy.add_known(change(10));
    copy.advance(11, Some(11));
    assert_eq!(offsets(&copy, 10), Some(vec![10]));
    assert!(!copy.may_be_ahead(), "later records are new to this process");
}

/// The state may be ahead of the position until a read has reached the end of the
/// topic: reads are limited in size, and a forwarded batch says nothing of it.
#[test]
fn records_are_kept_until_the_end_was_read() {
    let mut copy = TopicCopy::default();
    copy.list(10);
    copy.advance(12, None);
    assert!(copy.may_be_ahead());
    copy.advance(13, Some(15));
    assert!(copy.may_be_ahead());
    copy.advance(15, Some(15));
    assert!(!copy.may_be_ahead());
}

/// An older version that is written after a newer one changes nothing, and must
/// not replace what others get.
#[test]
fn older_records_do_not_replace_newer_ones() {
    let mut copy = TopicCopy::default();
    copy.list(10);
    copy.add(change(10));
    copy.add_known(change(11));
    copy.advance(12, Some(12));
    let (_, changes) = copy.since(10).unwrap();
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].offset, &changes[0].value), (11, &change(10).value));
}

/// A process that needs a record that could not be kept reads the store.
#[test]
fn processes_behind_a_missing_record_get_nothing() {
    let mut copy = TopicCopy::default();
    copy.list(10);
    copy.add(change(10));
    copy.forget_before(12);
    copy.advance(12, Some(12));
    assert_eq!(offsets(&copy, 10), None);
    assert_eq!(offsets(&copy, 12), Some(vec![]));
    assert!(copy.newest().is_none());
    // The key of the missing record may be another one than that of the next.
    copy.add(change(12));
    copy.advance(13, Some(13));
    assert!(copy.newest().is_none());
}

/// A leader may be behind a process that lists a topic anew. Its state would end
/// an evacuation that has begun since, or bring one back that has ended.
#[test]
fn state_behind_the_last_known_position_is_told_apart() {
    let mut copy = TopicCopy::default();
    assert!(copy.covers(0));
    copy.list(10);
    copy.advance(12, Some(12));
    copy.reset();
    assert!(!copy.covers(11));
    assert!(copy.covers(12));
}

/// After an outage the store has more records than fit into one answer. The time
/// of such a read must not count as one at which nothing newer was known:
/// records that were written before it come with the next one.
#[test]
fn partial_read_is_not_current() {
    let mut copy = TopicCopy::default();
    copy.list(10);
    assert!(!copy.advance(12, Some(15)));
    assert!(copy.advance(15, Some(15)));
    assert!(copy.advance(16, None), "forwarded changes are complete");
}
