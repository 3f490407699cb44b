//! Order, bounds and JSON form of events of processes with clock skew.

use catkin::{
    admin::Events,
    event::{Clock, Kind, Ring, Timestamp, WallTime, merge},
    types::{Fence, Offset, Service, SliceId, TargetId},
};

const SKEW_MICROS: u64 = 200_000;
const START_MICROS: u64 = 1_700_000_000_000_000;

fn wall(elapsed_micros: u64, ahead: bool) -> WallTime {
    WallTime::from_micros(START_MICROS + elapsed_micros + if ahead { SKEW_MICROS } else { 0 })
}

fn ring(vm: &str, limit: usize) -> Ring {
    Ring::new(vm.parse().unwrap(), 1, limit)
}

fn lookup() -> Service {
    "lookup".parse().unwrap()
}

fn assigned() -> Kind {
    let (target, fence) = ("s2".parse().unwrap(), Fence::new(Offset(9)));
    Kind::SliceAssigned { service: lookup(), slice: SliceId(4), target, fence }
}

fn released() -> Kind {
    let (target, fence) = ("s1".parse().unwrap(), Fence::new(Offset(5)));
    Kind::SliceReleased { service: lookup(), slice: SliceId(4), target, fence }
}

fn granted() -> Kind {
    let (target, fence) = ("s2".parse().unwrap(), Fence::new(Offset(9)));
    Kind::SliceGranted { service: lookup(), slice: SliceId(4), target, fence }
}

/// Replays the failover from s1 to s2. The wall clock of the keeper of s1 is
/// 200 ms ahead of that of the keeper of s2. With `stamped` the messages between
/// the keepers deliver timestamps.
fn replay_failover(stamped: bool) -> Vec<(String, &'static str)> {
    let (mut old, mut new) = (ring("vm-a", 100), ring("vm-b", 100));
    let failed: TargetId = "s1".parse().unwrap();
    let deliver = |to: &mut Ring, stamp| {
        if stamped {
            to.observe(stamp);
        }
    };
    old.push(wall(0, true), Offset(9), Kind::LeaseNotRenewed { target: failed.clone(), code: 415 });
    let heartbeat = old.stamp(wall(5_000, true));
    deliver(&mut new, heartbeat);
    new.push(wall(10_000, false), Offset(10), assigned());
    old.push(wall(404_000, true), Offset(10), Kind::LeaseExpired { target: failed });
    old.push(wall(404_100, true), Offset(10), released());
    let answer = old.stamp(wall(404_200, true));
    deliver(&mut new, answer);
    new.push(wall(408_000, false), Offset(10), granted());
    let events = merge([new.page(0, 100).events, old.page(0, 100).events]);
    events.iter().map(|event| (event.vm.to_string(), label(&event.kind))).collect()
}

/// Guards against a timeline that shows a grant before the lease expiry that
/// permits it. The second replay checks that wall clocks alone give the wrong
/// order.
#[test]
fn a_failover_is_rebuilt_in_order_with_clocks_apart() {
    let order = [
        ("vm-a".to_owned(), "not renewed"),
        ("vm-b".to_owned(), "assigned"),
        ("vm-a".to_owned(), "expired"),
        ("vm-a".to_owned(), "released"),
        ("vm-b".to_owned(), "granted"),
    ];
    assert_eq!(replay_failover(true), order);
    assert_ne!(replay_failover(false), order);
}

fn label(kind: &Kind) -> &'static str {
    match kind {
        Kind::LeaseNotRenewed { .. } => "not renewed",
        Kind::LeaseExpired { .. } => "expired",
        Kind::SliceReleased { .. } => "released",
        Kind::SliceAssigned { .. } => "assigned",
        Kind::SliceGranted { .. } => "granted",
        _ => "other",
    }
}

/// Guards against a timestamp that decreases when the wall clock is set back or
/// the counter overflows.
#[test]
fn timestamps_always_increase() {
    let mut clock = Clock::new();
    let first = clock.stamp(WallTime::from_micros(50));
    let second = clock.stamp(WallTime::from_micros(10));
    assert!(second > first);
    let full = Timestamp { wall: WallTime::from_micros(60), count: u32::MAX };
    clock.observe(full);
    assert!(clock.stamp(WallTime::from_micros(20)) > full);
}

/// Guards against unbounded memory and against dropped events that a reader
/// can't detect.
#[test]
fn full_ring_counts_dropped_events() {
    let mut ring = ring("vm-a", 3);
    for micros in 0..5 {
        ring.push(WallTime::from_micros(micros), Offset(0), Kind::LogUp);
    }
    let page = ring.page(1, 2);
    assert_eq!((ring.dropped(), page.first, page.next), (2, 2, 5));
    assert_eq!(page.events.iter().map(|e| e.number).collect::<Vec<_>>(), [2, 3]);
}

/// Guards against events that a gateway writes and `catkinctl` can't read, and
/// against duplicates when a page is read twice.
#[test]
fn events_round_trip_as_json_and_duplicates_merge() {
    let mut ring = ring("vm-a", 3);
    ring.push(wall(0, false), Offset(2), granted());
    ring.push(wall(1, false), Offset(2), Kind::LogDown);
    let body = Events { vm: "vm-a".parse().unwrap(), boot: 1, page: ring.page(0, 9) };
    let text = serde_json::to_string(&body).unwrap();
    assert!(text.contains(r#""kind":"slice-granted""#), "{text}");
    let read: Events = serde_json::from_str(&text).unwrap();
    assert_eq!(read, body);
    assert_eq!(merge([read.page.events, body.page.events]).len(), 2);
}
