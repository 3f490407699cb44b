//! Turns at busy targets.

use {
    catkin::types::Time,
    catkin_route::turns::{Turn, Turns},
    std::{collections::VecDeque, sync::Arc},
};

const SLOTS: u32 = 6;

/// Requests that all processes may have at a target: two and a half times its
/// slots.
const ROOM: u32 = 15;

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

fn slots(id: &str) -> Option<u32> {
    (id == "t").then_some(SLOTS)
}

fn vm(i: usize) -> Arc<str> {
    format!("vm-{i}").into()
}

/// A process that keeps requests waiting.
#[derive(Clone, Debug, Default)]
struct Process {
    running: u32,
    waiting: u32,
}

/// Many processes with requests for one target must never overfill it, and
/// must not leave it idle either. A target whose queue is full answers nothing
/// more in some services.
#[test]
fn many_processes_fill_a_target_without_overfilling() {
    let mut turns = Turns::default();
    let mut processes = vec![Process { running: 0, waiting: 4 }; 79];
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut served = 0;
    for step in 0..4_000_u64 {
        let now = at(step * 10);
        // The target ends a request every 70 ms.
        if step % 7 == 0
            && let Some(i) = queue.pop_front()
        {
            processes[i].running -= 1;
            served += 1;
        }
        // Every process reports about twice a second.
        let i = step as usize % 79;
        let Process { running, waiting } = processes[i].clone();
        turns.take(now, &vm(i), vec![("t".into(), running)], vec![("t".into(), waiting)]);
        let given = turns.give(&vm(i), slots);
        let count = given.iter().find(|turn| *turn.target == *"t").map_or(0, |turn| turn.turns);
        assert!(count <= waiting);
        processes[i].running += count;
        queue.extend((0..count).map(|_| i));
        assert!(queue.len() <= ROOM as usize, "{} requests at step {step}", queue.len());
    }
    assert!(served > 4_000 / 7 - 79, "{served} served");
}

/// A target with room to spare is left to the processes.
#[test]
fn idle_targets_need_no_turns() {
    let mut turns = Turns::default();
    for i in 0..40 {
        turns.take(at(0), &vm(i), vec![("t".into(), u32::from(i < 8))], Vec::new());
    }
    assert!(turns.give(&vm(0), slots).is_empty());
    turns.take(at(1), &vm(9), vec![("t".into(), 2)], Vec::new());
    assert_eq!(turns.give(&vm(0), slots), [Turn { target: "t".into(), turns: 0, waiting: 0 }]);
}

/// A process that is gone must not hold room for ever.
#[test]
fn silent_processes_are_forgotten() {
    let mut turns = Turns::default();
    for i in 0..40 {
        turns.take(at(0), &vm(i), vec![("t".into(), 1)], Vec::new());
    }
    assert_eq!(turns.full(slots), [("t".into(), 40)]);
    assert_eq!(turns.take(at(3_000), &vm(0), vec![("t".into(), 1)], Vec::new()), 1);
    assert!(turns.full(slots).is_empty());
}

/// In a small fleet a report takes longer than a request, so processes share
/// targets by themselves.
#[test]
fn small_fleets_need_no_turns() {
    let mut turns = Turns::default();
    for i in 0..8 {
        turns.take(at(0), &vm(i), vec![("t".into(), 3)], vec![("t".into(), 1)]);
    }
    assert!(turns.give(&vm(0), slots).is_empty());
}
