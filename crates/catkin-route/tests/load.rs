//! Capacity of targets as one process sees it.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::{Directory, Entry, Target},
        load::{Completion, Criteria, LocalLoads},
        quotas::TargetQuota,
    },
    common::{at, entry, incarnation},
};

const PEERS: u32 = 79;

fn target(directory: &Directory) -> &Target {
    directory.get("a").unwrap()
}

fn setup() -> (LocalLoads, Directory) {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    (LocalLoads::new("z".into()), directory)
}

fn quotas(quota: u32, queue_length: u32) -> [TargetQuota; 1] {
    [TargetQuota { target: "a".into(), quota, queue_length }]
}

/// At a busy target a process must not send beyond its quota. The slot of a
/// request that ended may be used again without asking the leader.
#[test]
fn busy_target_takes_requests_by_turns() {
    let (mut loads, directory) = setup();
    let a = incarnation("a", 1);
    assert!(loads.has_capacity(at(0), target(&directory), PEERS));
    loads.set_quotas(at(0), &quotas(1, 0));
    assert!(loads.has_capacity(at(1), target(&directory), PEERS));
    loads.begin(at(1), &a, PEERS);
    assert!(!loads.has_capacity(at(2), target(&directory), PEERS));
    loads.end(at(500), &a, Completion::Good, Span::from_millis(498), 6);
    assert!(loads.has_capacity(at(500), target(&directory), PEERS));
}

/// Quotas expire when the leader sends none for a while; a process then decides
/// by what it sees itself.
#[test]
fn turns_end_without_the_leader() {
    let (mut loads, directory) = setup();
    loads.set_quotas(at(0), &quotas(0, 9));
    assert!(!loads.has_capacity(at(1_000), target(&directory), PEERS));
    assert!(loads.has_capacity(at(1_500), target(&directory), PEERS));
}

/// Between two messages about the load of all targets, a target that was busy
/// stays so, and gets requests only within newer quotas.
#[test]
fn renewed_quotas_keep_a_target_busy() {
    let (mut loads, directory) = setup();
    loads.set_quotas(at(0), &quotas(1, 9));
    loads.renew_quotas(at(1_000), &Vec::new());
    assert!(!loads.has_capacity(at(1_900), target(&directory), PEERS));
    loads.renew_quotas(at(1_950), &vec![("a".into(), 1)]);
    assert!(loads.has_capacity(at(1_960), target(&directory), PEERS));
}

/// The next owner of a busy key must not get all requests that are queued in
/// all processes at once.
#[test]
fn next_owner_of_a_busy_key_takes_requests_by_turns() {
    let (mut loads, directory) = setup();
    loads.begin_quota(at(0), &incarnation("a", 1));
    assert!(!loads.has_capacity(at(1), target(&directory), PEERS));
}

/// A request is refused at once if the queue is so long that it can't be sent
/// in time, so that its caller can go elsewhere or retry later.
#[test]
fn long_queue_for_turns_refuses_at_once() {
    let (mut loads, directory) = setup();
    let second = Span::from_secs(1);
    // 6 slots and 100 ms a request: 60 requests are a queue of one second.
    loads.set_quotas(at(0), &quotas(0, 50));
    assert_eq!(loads.queue_drain_time(at(1), target(&directory), second), None);
    loads.set_quotas(at(0), &quotas(0, 70));
    assert!(loads.queue_drain_time(at(1), target(&directory), second).is_some_and(|wait| wait > second));
    loads.set_quotas(at(0), &quotas(1, 70));
    assert_eq!(loads.queue_drain_time(at(1), target(&directory), second), None);
}

/// Bytes between zones cost money: a large body leaves its zone only for a
/// target that is much faster, a small request also for a slightly faster one.
#[test]
fn large_bodies_stay_in_their_zone() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("near", 1));
    directory.put(at(0), Entry { zone: "far".into(), ..entry("far", 1) });
    let mut loads = LocalLoads::new("z".into());
    let mut choose = |near_ms: u64, size: usize| {
        for (id, ms) in [("near", near_ms), ("far", 100)] {
            for _ in 0..60 {
                loads.begin(at(0), &incarnation(id, 1), PEERS);
                loads.end(at(0), &incarnation(id, 1), Completion::Good, Span::from_millis(ms), 6);
            }
        }
        let chosen = loads.choose(at(0), &directory, common::SERVICE, PEERS, Criteria::new(size));
        chosen.unwrap().entry.incarnation.id.clone()
    };
    assert_eq!(&*choose(150, 60_000), "near");
    assert_eq!(&*choose(150, 300), "far");
    assert_eq!(&*choose(250, 60_000), "far");
}
