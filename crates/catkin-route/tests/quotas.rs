//! Quotas at busy targets.

use {
    catkin::types::Time,
    catkin_route::quotas::{Quotas, Room},
    std::{collections::VecDeque, sync::Arc},
};

const SLOTS: u32 = 6;

/// Requests that all processes may have at a target: two and a half times its
/// slots.
const REQUESTS_MAX: u32 = 15;

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn slots(id: &str) -> Option<Room> {
    (id == "t").then_some(Room::new(SLOTS))
}

fn vm(i: usize) -> Arc<str> {
    format!("vm-{i}").into()
}

/// A process with requests in flight and queued.
#[derive(Clone, Debug, Default)]
struct Process {
    in_flight: u32,
    queued: u32,
}

/// Many processes with requests for one target must never overfill it, since
/// some services answer nothing any more once their queue is full. They must
/// not leave it idle either.
#[test]
fn many_processes_fill_a_target_without_overfilling() {
    let mut quotas = Quotas::default();
    let mut processes = vec![Process { in_flight: 0, queued: 4 }; 79];
    let mut at_target: VecDeque<usize> = VecDeque::new();
    let mut served = 0;
    for step in 0..4_000_u64 {
        let now = at(step * 10);
        // The target finishes a request every 70 ms.
        if step % 7 == 0
            && let Some(i) = at_target.pop_front()
        {
            processes[i].in_flight -= 1;
            served += 1;
        }
        // Every process reports about twice a second.
        let i = step as usize % 79;
        let Process { in_flight, queued } = processes[i].clone();
        quotas.report(now, &vm(i), vec![("t".into(), in_flight)], vec![("t".into(), queued)]);
        let allotted = quotas.allot(&vm(i), slots);
        let count = allotted.iter().find(|(target, _)| **target == *"t").map_or(0, |(_, quota)| *quota);
        assert!(count <= queued);
        processes[i].in_flight += count;
        at_target.extend((0..count).map(|_| i));
        assert!(at_target.len() <= REQUESTS_MAX as usize, "{} requests at step {step}", at_target.len());
    }
    assert!(served > 4_000 / 7 - 79, "{served} served");
}

/// For a target with free slots the leader allots no quotas.
#[test]
fn idle_targets_need_no_quotas() {
    let mut quotas = Quotas::default();
    for i in 0..40 {
        quotas.report(at(0), &vm(i), vec![("t".into(), u32::from(i < 8))], Vec::new());
    }
    assert!(quotas.allot(&vm(0), slots).is_empty());
    assert!(!quotas.load("t").is_busy(SLOTS));
    quotas.report(at(1), &vm(9), vec![("t".into(), 2)], Vec::new());
    assert!(quotas.allot(&vm(0), slots).is_empty());
    assert!(quotas.load("t").is_busy(SLOTS));
    quotas.report(at(2), &vm(9), Vec::new(), vec![("t".into(), 1)]);
    assert!(quotas.load("t").is_busy(SLOTS));
}

/// A process that has ended must not occupy slots for ever.
#[test]
fn unreachable_processes_are_removed() {
    let mut quotas = Quotas::default();
    for i in 0..40 {
        quotas.report(at(0), &vm(i), vec![("t".into(), 1)], Vec::new());
    }
    assert_eq!(quotas.load("t").total, 40);
    assert_eq!(quotas.report(at(3_000), &vm(0), vec![("t".into(), 1)], Vec::new()), 1);
    assert_eq!(quotas.load("t").total, 1);
}

/// In a small fleet a report takes longer than a request, so processes share
/// targets without quotas.
#[test]
fn small_fleets_need_no_quotas() {
    let mut quotas = Quotas::default();
    for i in 0..8 {
        quotas.report(at(0), &vm(i), vec![("t".into(), 3)], vec![("t".into(), 1)]);
    }
    assert!(quotas.allot(&vm(0), slots).is_empty());
    assert!(!quotas.use_quotas());
}

/// Requests of a less urgent rank must not take all places at a target: an urgent one
/// of another process then waited behind them, although each process sends its own in
/// the order of their ranks.
#[test]
fn last_places_are_for_urgent_requests() {
    let mut quotas = Quotas::default();
    let room = |_: &str| Some(Room::new(SLOTS).with_ranks(true));
    let queue = |count| vec![("t".into(), count)];
    for i in 0..40 {
        quotas.report(at(0), &vm(i), Vec::new(), Vec::new());
    }
    // Half of the queue and all slots.
    quotas.report(at(1), &vm(0), Vec::new(), queue(20));
    assert_eq!(quotas.allot(&vm(0), room), queue(10));
    quotas.report(at(2), &vm(1), Vec::new(), queue(4));
    assert!(quotas.allot(&vm(1), room).is_empty());
    quotas.report(at(3), &vm(2), Vec::new(), queue(9));
    quotas.record_urgent(&vm(2), queue(3));
    assert_eq!(quotas.allot(&vm(2), room), queue(3));
    // Without ranks the places are for all.
    quotas.report(at(4), &vm(3), Vec::new(), queue(4));
    assert_eq!(quotas.allot(&vm(3), slots), queue(2));
}
