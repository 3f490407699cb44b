//! Answers that are held or forwarded, and callers that read slowly.

use {
    catkin::types::{Size, Span, Time},
    catkin_route::{
        rate::LinkRate,
        streaming::{PROGRESS_BYTES_MIN, Progress, ReadAhead, hold_size},
    },
};

const KIB: u64 = 1 << 10;

fn size(bytes: u64) -> Size {
    Size::from_bytes(bytes)
}

fn link(mbps: f64) -> LinkRate {
    LinkRate::from_mbps(mbps).unwrap()
}

/// A usual download must stay replaceable on the slowest link, and what is held for all
/// must not fill a small machine.
#[test]
fn hold_size_follows_link_and_memory() {
    let limit = size(42_000_000);
    assert!(hold_size(link(10.0), limit) >= size(90_000));
    assert!(hold_size(link(10.0), limit) <= size(125_000));
    // A hundred answers in progress on the fastest link.
    let all = 100 * hold_size(link(200.0), limit).as_bytes();
    assert!(all <= limit.as_bytes() / 2, "{all}");
    // Without a known limit, the link alone decides.
    assert_eq!(hold_size(link(10.0), size(u64::MAX)), size(125_000));
    assert_eq!(hold_size(link(0.01), size(0)), size(16 * KIB));
}

/// Reads an answer for a caller that takes `rate` bytes each 100 ms. Returns the most
/// bytes that waited, and the time at which all of it was read.
fn read(bytes: u64, rate: u64, has_room: bool) -> (u64, Span) {
    let mut ahead = ReadAhead::new(size(100 * KIB));
    let (mut now, mut left, mut waiting, mut most) = (Time::default(), bytes, 0, 0);
    while left > 0 {
        while left > 0 && ahead.may_read(now, size(waiting), has_room) {
            let part = left.min(16 * KIB);
            (left, waiting) = (left - part, waiting + part);
        }
        most = most.max(waiting);
        waiting = waiting.saturating_sub(rate);
        now = now.after(Span::from_millis(100));
        assert!(now < Time::default().after(Span::from_secs(3_600)), "never read");
    }
    (most, now.since(Time::default()))
}

/// What a slow caller does not take must not fill the memory.
#[test]
fn slow_caller_bounds_what_is_read_ahead() {
    let (most, _) = read(540 * KIB, 10 * KIB, true);
    assert!(most <= 120 * KIB, "{most}");
    let (most, _) = read(8 << 20, 1 << 30, true);
    assert!(most <= 120 * KIB, "{most}");
}

/// A target aborts an answer that stays unread, so one whose caller has stopped must be
/// read within some seconds as long as there is room; not beyond all bounds.
#[test]
fn stopped_caller_does_not_stop_the_target() {
    let (_, took) = read(540 * KIB, 0, true);
    assert!(took <= Span::from_secs(4), "{took:?}");
    let mut ahead = ReadAhead::new(size(100 * KIB));
    for second in 0..100 {
        let now = Time::default().after(Span::from_secs(second));
        assert!(!ahead.may_read(now, size(1 << 20), true));
    }
}

/// In a process without room, an answer is read only as its caller takes it.
#[test]
fn process_without_room_reads_nothing_ahead() {
    let (most, _) = read(540 * KIB, 16 * KIB, false);
    assert!(most <= 16 * KIB, "{most}");
    let mut ahead = ReadAhead::new(size(100 * KIB));
    assert!(!ahead.may_read(Time::default(), size(1), false));
    assert!(!ahead.may_read(Time::default().after(Span::from_secs(9)), size(1), false));
    assert!(ahead.may_read(Time::default().after(Span::from_secs(9)), size(0), false));
}

/// A target that sends a few bytes at a time must not hold a connection for hours; a
/// pause for a slow caller must not count against the target.
#[test]
fn answer_without_progress_ends() {
    let at = |millis| Time::default().after(Span::from_millis(millis));
    let mut progress = Progress::new(at(0));
    for step in 1..=50 {
        progress.record(at(100 * step), 16 * step);
    }
    assert!(progress.end() <= at(5_000));
    progress.record(at(5_000), PROGRESS_BYTES_MIN);
    assert_eq!(progress.end(), at(10_000));
    progress.pause(Span::from_secs(60));
    assert_eq!(progress.end(), at(70_000));
}
