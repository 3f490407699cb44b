//! Admission by rank, on the load that it is for: bursts at a service with
//! urgent and less urgent requests, seen by 70 processes.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        admission::{Admission, FleetAdmission, FleetShares, RankCounts, Shares},
        rank::Ranks,
    },
    common::{
        SERVICE, at,
        service::{Kind, Setup, Tally, World},
    },
    std::sync::Arc,
};

/// Begin and end of the bursts, in milliseconds.
const BURST: (u64, u64) = (4_000, 9_000);

const PROCESSES: usize = 70;

const URGENT: usize = 0;
const DOWNLOAD: usize = 1;

/// Least share of a rank that is admitted, less the rounding of shares.
const FLOOR: f64 = 0.09;

/// Returns a service of 45 targets with 3 slots that takes about 520 downloads
/// besides the urgent requests. Bursts have the given rates.
fn setup(urgent: f64, downloads: f64) -> Setup {
    let (from, until) = BURST;
    let kind = |rank, rate, burst| Kind {
        rank,
        rate,
        burst: (burst, from, until),
        work_ms: 81.0,
        objective_ms: 400,
        deadline_ms: 1_500,
    };
    let download =
        Kind { work_ms: 160.0, objective_ms: 2_000, deadline_ms: 5_000, ..kind(2, 211.0, downloads) };
    Setup {
        targets: 45,
        slots: 3,
        slow: true,
        processes: PROCESSES,
        by_rank: true,
        leader_until: u64::MAX / 1_000,
        cut_off: 0,
        kinds: vec![kind(0, 393.0, urgent), download],
        millis: 14_000,
    }
}

fn run(setup: Setup) -> World {
    World::new(setup, 1).run()
}

fn in_burst(world: &World, kind: usize) -> Tally {
    world.tally_of(kind, BURST.0, BURST.1)
}

/// In a burst of less urgent requests, urgent ones waited behind them in the
/// queues of targets and missed their latency objective.
#[test]
fn burst_of_downloads_leaves_room_for_urgent_requests() {
    for (downloads, served_min) in [(550.0, 0.97), (800.0, 0.55)] {
        let before = in_burst(&run(Setup { by_rank: false, ..setup(393.0, downloads) }), URGENT);
        let world = run(setup(393.0, downloads));
        let urgent = in_burst(&world, URGENT);
        assert!(urgent.in_time_share() > before.in_time_share() + 0.12, "{before:?}, now {urgent:?}");
        assert!(urgent.in_time_share() > 0.855, "{urgent:?}");
        assert!(urgent.served_share() > 0.98, "{urgent:?}");
        assert!(in_burst(&world, DOWNLOAD).served_share() > served_min);
        assert!(world.least_share(2, 0, 14_000) > FLOOR);
    }
}

/// A threshold that stays low after a burst refuses requests for which there is
/// room.
#[test]
fn threshold_opens_after_a_burst() {
    let world = run(setup(393.0, 800.0));
    assert!(world.least_share(2, 8_000, 9_000) < 0.7);
    let refused = world.tally_of(DOWNLOAD, 10_250, 14_000).refused_share();
    assert!(refused < 0.03, "{refused}");
    assert!(world.least_share(2, 10_750, 14_000) > 0.99);
}

/// Less of the urgent requests must not be served than of the less urgent ones,
/// and these must not be starved either.
#[test]
fn burst_of_urgent_requests_starves_no_rank() {
    for rate in [1_020.0, 1_400.0] {
        let before = in_burst(&run(Setup { by_rank: false, ..setup(rate, 211.0) }), URGENT);
        let world = run(setup(rate, 211.0));
        let (urgent, download) = (in_burst(&world, URGENT), in_burst(&world, DOWNLOAD));
        assert!(urgent.credit() > before.credit(), "{before:?}, now {urgent:?}");
        assert!(urgent.served_share() > download.served_share() - 0.05, "{urgent:?}, {download:?}");
        assert!(urgent.credit() > download.credit() - 0.15, "{urgent:?}, {download:?}");
        assert!(download.served_share() > 0.3, "{download:?}");
        assert!(world.least_share(2, 0, 14_000) > FLOOR);
    }
}

/// A service that has room must refuse nothing, whatever single processes see.
#[test]
fn below_its_capacity_a_service_admits_everything() {
    for cut_off in [0, PROCESSES] {
        for (urgent, downloads) in [(393.0, 211.0), (393.0, 400.0), (0.0, 0.0)] {
            let world = run(Setup { cut_off, ..setup(urgent, downloads) });
            for kind in [URGENT, DOWNLOAD] {
                let tally = world.tally_of(kind, 0, 13_000);
                assert!(tally.refused == 0.0 && tally.served_share() > 0.99, "{cut_off} {kind} {tally:?}");
            }
        }
    }
}

/// Without the leader, processes must neither admit everything in an overload
/// nor keep its last threshold after it.
#[test]
fn processes_follow_the_load_without_the_leader() {
    let before = in_burst(&run(Setup { by_rank: false, ..setup(393.0, 800.0) }), URGENT);
    for (leader_until, cut_off, in_time_min) in [(6_000, 0, 0.7_f64), (100_000, PROCESSES, 0.4)] {
        let world = run(Setup { leader_until, cut_off, ..setup(393.0, 800.0) });
        let urgent = in_burst(&world, URGENT);
        assert!(urgent.in_time_share() > in_time_min.max(before.in_time_share() + 0.15), "{urgent:?}");
        assert!(in_burst(&world, DOWNLOAD).refused > 300.0);
        assert!(world.least_share(2, 0, 14_000) > FLOOR);
        let refused = world.tally_of(DOWNLOAD, 12_000, 13_500).refused_share();
        assert!(refused < 0.15, "{refused}");
    }
}

/// Returns the admission of a process that got shares of the leader, whose clock
/// is at 5 s, at a time.
fn limited(millis: u64, share: f64) -> Admission {
    let (service, ranks): (Arc<str>, Ranks) = (SERVICE.into(), Ranks { first: 0, last: 2 });
    let mut admission = Admission::default();
    admission.set_services([(&service, ranks, false)].into_iter());
    let shares = Shares::new([(0, 1.0), (2, share)].into_iter());
    admission.apply(at(millis), &FleetShares { clock: 5_000_000, services: vec![(service, shares)] });
    admission
}

/// A refused request returns to another process, which must not refuse it by the
/// same hash.
#[test]
fn returning_requests_are_admitted_when_they_were_told_to() {
    let (mut first, mut second) = (limited(1_000, 0.4), limited(900_000, 0.4));
    let (mut refused, mut promised, mut again) = (0, 0, 0);
    for id in (0..2_000).map(|i| format!("q{i}")) {
        assert!(first.check(at(1_100), SERVICE, 0, &id).is_ok());
        let Err(wait) = first.check(at(1_100), SERVICE, 2, &id) else { continue };
        refused += 1;
        let returned = second.check(at(900_100).after(wait), SERVICE, 2, &id);
        if wait < Span::from_millis(1_700) {
            promised += 1;
            assert!(returned.is_ok(), "{id} refused again after {wait}");
        } else {
            again += u32::from(returned.is_err());
        }
    }
    assert!((1_100..1_300).contains(&refused), "{refused}");
    assert!((200..350).contains(&promised), "{promised}");
    assert!(again < refused, "all others were refused again");
}

/// Shares of a leader that has ended say nothing about the load of later times.
#[test]
fn shares_of_the_leader_expire() {
    let mut admission = limited(1_000, 0.1);
    let mut is_refused =
        |millis| (0..50).any(|i| admission.check(at(millis), SERVICE, 2, &i.to_string()).is_err());
    assert!(is_refused(2_400));
    assert!(!is_refused(2_600));
}

/// A service with one rank is served as before there were thresholds.
#[test]
fn single_rank_has_no_threshold() {
    let (service, ranks): (Arc<str>, Ranks) = (SERVICE.into(), Ranks { first: 1, last: 1 });
    let mut admission = Admission::default();
    admission.set_services([(&service, ranks, false)].into_iter());
    for i in 0..200 {
        assert!(admission.check(at(i), SERVICE, 1, &i.to_string()).is_ok());
        admission.count_waiting(at(i), SERVICE, 1, Span::from_millis(100), true);
    }
    assert!(admission.report(at(5_000)).is_empty());
}

/// The leader's state and its messages must not grow with the processes.
#[test]
fn shares_are_a_few_numbers_for_each_service() {
    let mut fleet = FleetAdmission::default();
    let counts = |rank| RankCounts { rank, came: 30, ended: 20, busy_ms: 4_000, waited: 9_000, refused: 0 };
    for millis in (0..2_000).step_by(5) {
        let report = vec![(SERVICE.into(), vec![counts(0), counts(2)])];
        fleet.record(at(millis), &report, |_| true);
    }
    let shares = fleet.shares(at(2_000));
    assert!(shares.services[0].1.get(2) < 0.5);
    assert!(postcard::to_stdvec(&shares).unwrap().len() < 20);
}
