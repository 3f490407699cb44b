//! Pauses that targets ask for, in virtual time.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::Directory,
        load::{Completion, Criteria, Denial, LocalLoads},
        pause::Pause,
        rank::FillFactor,
    },
    common::{SERVICE, at, entry, incarnation},
};

const PEERS: u32 = 10;

fn seconds(seconds: u64) -> Span {
    Span::from_secs(seconds)
}

/// Returns the loads of a process, and a directory of two targets.
fn setup(vm: &str) -> (LocalLoads, Directory) {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(0), entry("b", 1));
    (LocalLoads::new("z".into()).with_vm(vm.into()), directory)
}

/// A target that wants nothing gets nothing at once, and other targets get the
/// requests without a key.
#[test]
fn paused_target_gets_nothing() {
    let (mut loads, directory) = setup("vm");
    let (a, now) = (incarnation("a", 1), at(1_000));
    loads.observe_pause(now, &a, Some(seconds(3)), at(900));
    for millis in [1_000, 2_000, 3_999] {
        let target = directory.get("a").unwrap();
        let denied = loads.check(at(millis), target, true, PEERS, FillFactor::MAX);
        assert!(matches!(denied, Err(Denial::Paused(rest)) if rest >= at(4_000).since(at(millis))));
        let chosen = loads.choose(at(millis), &directory, SERVICE, PEERS, Criteria::new(0)).unwrap();
        assert_eq!(&*chosen.entry.incarnation.id, "b");
    }
}

/// When all targets of a service want nothing, the caller is told when the first
/// of them does.
#[test]
fn first_end_of_all_pauses_is_told() {
    let (mut loads, directory) = setup("vm");
    loads.observe_pause(at(0), &incarnation("a", 1), Some(seconds(8)), at(0));
    loads.observe_pause(at(0), &incarnation("b", 1), Some(seconds(2)), at(0));
    assert!(loads.choose(at(0), &directory, SERVICE, PEERS, Criteria::new(0)).is_none());
    let Some(Denial::Paused(rest)) = loads.denial(at(0), &directory, SERVICE, PEERS, FillFactor::MAX) else {
        panic!()
    };
    assert!(seconds(2) <= rest && rest <= Span::from_millis(2_500), "{rest:?}");
}

/// When a pause is over, not all processes return at the same moment, and each
/// sends one request until that is answered.
#[test]
fn processes_return_one_after_the_other() {
    let mut resumed = Vec::new();
    for i in 0..20 {
        let (mut loads, directory) = setup(&format!("vm-{i}"));
        let (a, target) = (incarnation("a", 1), directory.get("a").unwrap());
        loads.observe_pause(at(0), &a, Some(seconds(4)), at(0));
        let mut may_send = (0..6_000).step_by(10).filter(|now| loads.has_capacity(at(*now), target, PEERS));
        let first = may_send.next().unwrap();
        assert!((4_000..=5_000).contains(&first), "{first}");
        loads.begin(at(first), &a, PEERS);
        assert_eq!(loads.check(at(first), target, true, PEERS, FillFactor::MAX), Err(Denial::Full));
        loads.observe_pause(at(first + 90), &a, None, at(first));
        assert!(loads.has_capacity(at(first + 90), target, PEERS));
        loads.end(at(first + 90), &a, Completion::Good, Span::from_millis(90), 6);
        resumed.push(first / 100);
    }
    resumed.sort_unstable();
    resumed.dedup();
    assert!(resumed.len() >= 6, "{resumed:?}");
}

/// Answers to requests that were sent before the pause arrive in it. They do not
/// end it, and a shorter pause does not shorten it.
#[test]
fn late_answers_do_not_end_a_pause() {
    let mut pause = Pause::new(at(0), seconds(4), 0.0);
    pause.request_answered(at(3_999));
    assert!(pause.is_tentative());
    assert_eq!(Pause::new(at(100), seconds(1), 0.0).or_longer(Some(pause)).rest(at(1_000)), Some(seconds(3)));
    pause.request_answered(at(4_001));
    assert!(!pause.is_tentative());
}

/// A huge time is obeyed for a minute; then one request asks again.
#[test]
fn pauses_are_bounded() {
    let pause = Pause::new(at(0), Span::from_micros(u64::MAX), 0.5);
    assert_eq!(pause.rest(at(0)), Some(seconds(61)));
    assert_eq!(Pause::new(at(0), Span::ZERO, 0.5).rest(at(0)), None);
}

/// A restarted target has asked for no pause.
#[test]
fn pauses_end_with_the_incarnation() {
    let (mut loads, mut directory) = setup("vm");
    loads.observe_pause(at(0), &incarnation("a", 1), Some(seconds(4)), at(0));
    directory.put(at(500), entry("a", 2));
    assert!(loads.has_capacity(at(500), directory.get("a").unwrap(), PEERS));
}
