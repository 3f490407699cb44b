//! Tests of load balancing for services without keys.

use {
    catkin::{
        api::Load,
        choose::{Strategy, TargetLoads},
        types::{Span, TargetId, Time},
        wire::LoadReport,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

fn now() -> Time {
    Time::from_micros(0)
}

fn target(number: u32) -> TargetId {
    format!("pedidos-{number}").parse().unwrap()
}

fn loads(targets: u32) -> TargetLoads {
    let mut loads = TargetLoads::new();
    (0..targets).for_each(|number| loads.add(now(), &target(number), false));
    loads
}

/// Returns how many of 1,000 choices select a target.
fn times_chosen(loads: &TargetLoads, now: Time, number: u32) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut choose = || loads.choose(now, Strategy::LeastOfTwo, [random.random(), random.random()]);
    (0..1_000).filter(|_| choose() == Some(target(number))).count() as u32
}

fn depth(number: u32, depth: u32) -> LoadReport {
    LoadReport { target: target(number), depth, rate: 0, accepting: true }
}

/// Guards against requests to a target that this VM itself has loaded.
#[test]
fn own_requests_count() {
    let mut loads = loads(2);
    loads.begin(&target(0));
    assert_eq!(times_chosen(&loads, now(), 0), 0);
    loads.end(now(), &target(0), false);
    loads.begin(&target(1));
    assert_eq!(times_chosen(&loads, now(), 0), 1_000);
}

/// Guards against a burst from one VM to the target whose depth was lowest in the
/// last load report.
#[test]
fn requests_since_the_last_depth_count() {
    let mut loads = loads(2);
    loads.update_depth(now(), &depth(0, 3));
    loads.update_depth(now(), &depth(1, 4));
    assert_eq!(times_chosen(&loads, now(), 0), 1_000);
    (0..2).for_each(|_| loads.begin(&target(0)));
    assert_eq!(times_chosen(&loads, now(), 0), 0);
}

/// Guards against an outdated depth that overrides newer counts.
#[test]
fn an_outdated_depth_is_ignored() {
    let mut loads = loads(2);
    loads.update_depth(now(), &depth(0, 50));
    loads.begin(&target(1));
    assert_eq!(times_chosen(&loads, now(), 0), 0);
    assert_eq!(times_chosen(&loads, now().after(Span::from_millis(2_500)), 0), 1_000);
}

/// Guards against a wrong report that attracts requests to a loaded target.
#[test]
fn a_report_only_makes_a_target_worse() {
    let mut loads = loads(2);
    (0..3).for_each(|_| loads.begin(&target(0)));
    loads.begin(&target(1));
    loads.report(now(), &target(0), &Load { running: 0, slots: 6, ..Load::default() });
    assert_eq!(times_chosen(&loads, now(), 0), 0);
    loads.report(now(), &target(1), &Load { running: 5, slots: 6, ..Load::default() });
    assert_eq!(times_chosen(&loads, now(), 0), 1_000);
}

/// Guards against new requests for a target that leaves, even if its keeper has not
/// noticed yet.
#[test]
fn a_closed_target_is_never_chosen() {
    let mut loads = loads(3);
    loads.close(&target(0));
    loads.update_depth(now(), &depth(0, 0));
    assert_eq!(times_chosen(&loads, now(), 0), 0);
    loads.report(now(), &target(1), &Load { draining: true, ..Load::default() });
    loads.update_depth(now(), &LoadReport { accepting: false, ..depth(2, 0) });
    assert_eq!(loads.choose(now(), Strategy::LeastOfTwo, [0, 0]), None);
}

/// Guards against a target that fails fast, appears idle and attracts all requests.
#[test]
fn a_failing_target_is_excluded_and_probed_again() {
    let mut loads = loads(3);
    for _ in 0..3 {
        loads.begin(&target(0));
        loads.end(now(), &target(0), true);
    }
    assert_eq!(times_chosen(&loads, now(), 0), 0);
    let later = now().after(Span::from_millis(200));
    assert!(times_chosen(&loads, later, 0) > 0);
    loads.begin(&target(0));
    (1..3).for_each(|number| (0..4).for_each(|_| loads.begin(&target(number))));
    assert_eq!(times_chosen(&loads, later, 0), 0, "one probe at a time");
}

/// Guards against a full share of requests for a target that has just started.
#[test]
fn a_cold_target_gets_less() {
    let mut loads = loads(2);
    loads.add(now(), &target(2), true);
    (0..2).for_each(|number| loads.begin(&target(number)));
    loads.begin(&target(2));
    assert_eq!(times_chosen(&loads, now(), 2), 0);
    assert!(times_chosen(&loads, now().after(Span::from_secs(2)), 2) > 250);
}

/// Guards against a second attempt on the target that has just failed.
#[test]
fn a_retry_goes_to_another_target() {
    let loads = loads(2);
    for random in 0..10 {
        let chosen = loads.choose_retry(now(), Strategy::LeastOfTwo, [random, random], &[target(0)]);
        assert_eq!(chosen, Some(target(1)));
    }
}

/// Guards against a warm-up that starts anew whenever a target is listed again: it
/// would never end, and no new target could be told from the others.
#[test]
fn a_listed_target_warms_up_once() {
    let mut loads = loads(2);
    let later = now().after(Span::from_secs(2));
    (0..3).for_each(|number| loads.add(later, &target(number), true));
    (0..3).for_each(|number| loads.begin(&target(number)));
    assert_eq!(times_chosen(&loads, later, 2), 0);
}
