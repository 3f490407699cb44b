//! Failures of the choice among targets without keys.

use {
    catkin::{
        api::Load,
        choose::{Loads, Rule},
        types::{Span, TargetId, Time},
        wire::Gossip,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

fn now() -> Time {
    Time::from_micros(0)
}

fn id(number: u32) -> TargetId {
    format!("pedidos-{number}").parse().unwrap()
}

fn table(targets: u32) -> Loads {
    let mut loads = Loads::new();
    (0..targets).for_each(|number| loads.add(now(), &id(number), false));
    loads
}

/// Returns how many of 1,000 choices fall on a target.
fn share(loads: &Loads, now: Time, number: u32) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut pick = || loads.choose(now, Rule::Two, [random.random(), random.random()]);
    (0..1_000).filter(|_| pick() == Some(id(number))).count() as u32
}

fn depth(number: u32, depth: u32) -> Gossip {
    Gossip { target: id(number), depth, rate: 0, open: true }
}

/// Guards against work for a target that this VM has loaded itself.
#[test]
fn own_requests_count() {
    let mut loads = table(2);
    loads.begin(&id(0));
    assert_eq!(share(&loads, now(), 0), 0);
    loads.end(now(), &id(0), false);
    loads.begin(&id(1));
    assert_eq!(share(&loads, now(), 0), 1_000);
}

/// Guards against a burst of one VM onto the target whose depth was lowest
/// in the last gossip.
#[test]
fn requests_since_the_last_depth_count() {
    let mut loads = table(2);
    loads.hear(now(), &depth(0, 3));
    loads.hear(now(), &depth(1, 4));
    assert_eq!(share(&loads, now(), 0), 1_000);
    (0..2).for_each(|_| loads.begin(&id(0)));
    assert_eq!(share(&loads, now(), 0), 0);
}

/// Guards against a depth from long ago that hides what is known now.
#[test]
fn an_old_depth_is_ignored() {
    let mut loads = table(2);
    loads.hear(now(), &depth(0, 50));
    loads.begin(&id(1));
    assert_eq!(share(&loads, now(), 0), 0);
    assert_eq!(share(&loads, now().after(Span::from_millis(2_500)), 0), 1_000);
}

/// Guards against a misleading report that draws work to a loaded target.
#[test]
fn a_report_only_makes_a_target_worse() {
    let mut loads = table(2);
    (0..3).for_each(|_| loads.begin(&id(0)));
    loads.begin(&id(1));
    loads.report(now(), &id(0), &Load { running: 0, slots: 6, ..Load::default() });
    assert_eq!(share(&loads, now(), 0), 0);
    loads.report(now(), &id(1), &Load { running: 5, slots: 6, ..Load::default() });
    assert_eq!(share(&loads, now(), 0), 1_000);
}

/// Guards against new work for a target that leaves, also when its keeper
/// has not noticed yet.
#[test]
fn a_closed_target_is_never_chosen() {
    let mut loads = table(3);
    loads.close(&id(0));
    loads.hear(now(), &depth(0, 0));
    assert_eq!(share(&loads, now(), 0), 0);
    loads.report(now(), &id(1), &Load { draining: true, ..Load::default() });
    loads.hear(now(), &Gossip { open: false, ..depth(2, 0) });
    assert_eq!(loads.choose(now(), Rule::Two, [0, 0]), None);
}

/// Guards against a target that fails fast, looks idle and draws all work.
#[test]
fn a_failing_target_is_left_out_and_tried_again() {
    let mut loads = table(3);
    for _ in 0..3 {
        loads.begin(&id(0));
        loads.end(now(), &id(0), true);
    }
    assert_eq!(share(&loads, now(), 0), 0);
    let later = now().after(Span::from_millis(200));
    assert!(share(&loads, later, 0) > 0);
    loads.begin(&id(0));
    (1..3).for_each(|number| (0..4).for_each(|_| loads.begin(&id(number))));
    assert_eq!(share(&loads, later, 0), 0, "one probe at a time");
}

/// Guards against a full share for a target that has just started.
#[test]
fn a_cold_target_gets_less() {
    let mut loads = table(2);
    loads.add(now(), &id(2), true);
    (0..2).for_each(|number| loads.begin(&id(number)));
    loads.begin(&id(2));
    assert_eq!(share(&loads, now(), 2), 0);
    assert!(share(&loads, now().after(Span::from_secs(2)), 2) > 250);
}

/// Guards against a second try on the target that has just failed.
#[test]
fn another_try_goes_to_another_target() {
    let loads = table(2);
    for random in 0..10 {
        let chosen = loads.choose_except(now(), Rule::Two, [random, random], &[id(0)]);
        assert_eq!(chosen, Some(id(1)));
    }
}
