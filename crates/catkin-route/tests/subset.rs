//! Placement of requests without keys by hundreds of processes.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::{Directory, Entry},
        load::{Completion, Criteria, LocalLoads},
    },
    common::{SERVICE, at, entry},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

const PROCESSES: u32 = 300;
const TARGETS: usize = 184;
const ZONES: usize = 6;

/// Slots and queue of a target; some targets never answer a request beyond them.
const CAPACITY: usize = 30;

fn zone(i: usize) -> Arc<str> {
    format!("z{}", i % ZONES).into()
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for i in 0..TARGETS {
        directory.put(at(0), Entry { zone: zone(i), ..entry(&format!("i-{i}"), 1) });
    }
    directory
}

fn processes() -> Vec<LocalLoads> {
    (0..PROCESSES as usize).map(|i| LocalLoads::new(zone(i)).with_vm(format!("vm-{i}").into())).collect()
}

/// At the start of traffic no process knows the load of any target, and all send
/// within a moment. If all chose the same targets first, these would get more
/// requests than they can queue.
#[test]
fn first_requests_of_all_processes_overfill_no_target() {
    let (directory, mut processes) = (directory(), processes());
    let mut arrivals: HashMap<Arc<str>, usize> = HashMap::new();
    for _ in 0..3 {
        for loads in &mut processes {
            let target = loads.choose(at(0), &directory, SERVICE, PROCESSES, Criteria::new(0)).unwrap();
            loads.begin(at(0), &target.entry.incarnation, PROCESSES);
            *arrivals.entry(target.entry.incarnation.id.clone()).or_default() += 1;
        }
    }
    let most = arrivals.values().max().unwrap();
    assert!(*most <= CAPACITY, "a target got {most} requests");
}

/// Each process keeps to few targets, so that its connections are used again and
/// no target has more callers than it accepts. Every target gets requests.
#[test]
fn processes_keep_to_few_targets() {
    let (directory, mut processes) = (directory(), processes());
    let mut senders: HashMap<Arc<str>, usize> = HashMap::new();
    for loads in &mut processes {
        let mut used = BTreeSet::new();
        for i in 0..200 {
            let target = loads.choose(at(i * 300), &directory, SERVICE, PROCESSES, Criteria::new(0)).unwrap();
            let incarnation = target.entry.incarnation.clone();
            loads.begin(at(i * 300), &incarnation, PROCESSES);
            let took = Span::from_millis(80 + i % 7 * 10);
            loads.end(at(i * 300), &incarnation, Completion::Good, took, 6);
            used.insert(incarnation.id);
        }
        assert!(used.len() <= 8, "{} targets", used.len());
        for id in used {
            *senders.entry(id).or_default() += 1;
        }
    }
    assert!(senders.values().all(|count| *count <= 40), "{senders:?}");
}

/// If none of its first targets may be used, a process goes on to others.
#[test]
fn other_targets_are_used_when_the_first_ones_are_unreachable() {
    let (directory, mut processes) = (directory(), processes());
    let loads = &mut processes[0];
    let mut used = BTreeSet::new();
    for _ in 0..TARGETS {
        let target = loads.choose(at(0), &directory, SERVICE, PROCESSES, Criteria::new(0)).unwrap();
        let incarnation = target.entry.incarnation.clone();
        loads.begin(at(0), &incarnation, PROCESSES);
        loads.end(at(0), &incarnation, Completion::Unreachable, Span::ZERO, 6);
        used.insert(incarnation.id);
    }
    assert_eq!(used.len(), TARGETS);
    assert!(loads.choose(at(0), &directory, SERVICE, PROCESSES, Criteria::new(0)).is_none());
}
