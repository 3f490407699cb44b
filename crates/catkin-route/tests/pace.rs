//! Limits that targets name, in virtual time.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        announced::{Announced, LimitBoard, LimitReport},
        directory::Directory,
        pace::Pace,
        rate::RequestRate,
    },
    common::{at, entry, incarnation},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

/// Returns the most arrivals within 4 s.
fn most_in_window(arrivals: &[u64]) -> usize {
    let in_window = |i: usize| arrivals[i..].iter().take_while(|at| **at < arrivals[i] + 4_000).count();
    (0..arrivals.len()).map(in_window).max().unwrap_or(0)
}

/// Plays processes that each have a request every 20 ms while `is_loaded`, for
/// 60 s. Returns the times at which requests were sent.
fn play(processes: u32, limit: f64, seed: u64, is_loaded: impl Fn(u64) -> bool) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut paces: Vec<Pace> =
        (0..processes).map(|_| Pace::new(at(0), rate(limit), random.random())).collect();
    let mut arrivals = Vec::new();
    for now in (0..60_000).step_by(20).filter(|now| is_loaded(*now)) {
        for pace in &mut paces {
            if pace.next_slot(at(now), processes) <= at(now) {
                pace.take(at(now), processes);
                arrivals.push(now);
            }
        }
    }
    arrivals
}

/// All processes together keep to the limit, and use most of it.
#[test]
fn limit_is_shared_by_all_processes() {
    for (processes, limit) in [(1, 0.5), (8, 3.3), (11, 5.7), (11, 40.0), (79, 3.3), (295, 2.0)] {
        for seed in 0..20 {
            let arrivals = play(processes, limit, seed, |_| true);
            let most = most_in_window(&arrivals);
            assert!(most as f64 <= 6.0 * limit + 5.0, "{processes} processes, {limit}/s: {most}");
            let mean = arrivals.len() as f64 / 60.0;
            assert!(mean > 0.5 * limit, "{processes} processes, {limit}/s: {mean}/s");
        }
    }
}

/// Processes without requests for a while must not all send at once when they
/// have some again, as for a key that becomes hot.
#[test]
fn unused_slots_are_not_saved() {
    for seed in 0..20 {
        let arrivals = play(79, 3.3, seed, |now| now > 40_000);
        let most = most_in_window(&arrivals);
        assert!(most <= 24, "{most} requests");
    }
}

/// A target that takes nothing gets next to nothing.
#[test]
fn limit_of_zero_stops_requests() {
    assert!(play(11, 0.0, 1, |_| true).len() <= 1);
}

/// A lower number of processes shortens the wait for the next slot.
#[test]
fn slots_follow_the_number_of_processes() {
    let mut pace = Pace::new(at(0), rate(1.0), 0.5);
    assert_eq!(pace.next_slot(at(0), 12), at(7_500));
    assert_eq!(pace.next_slot(at(0), 2), at(1_250));
    pace.take(at(1_300), 2);
    assert_eq!(pace.next_slot(at(1_300), 2), at(3_750));
}

/// Answers that were sent before the target named its limit may arrive later.
/// They do not end it.
#[test]
fn overtaken_answers_do_not_end_a_limit() {
    let mut announced = Announced::default();
    announced.observe(at(100), Some(rate(3.0)), at(50), 0.5);
    announced.observe(at(120), None, at(60), 0.5);
    assert_eq!(announced.limit(), Some(rate(3.0)));
    announced.observe(at(300), None, at(200), 0.5);
    assert_eq!(announced.limit(), None);
}

/// A process that gets no answer of a target any more learns from others that
/// its limit is over or has changed; what it has seen itself since goes before.
#[test]
fn newest_observation_counts() {
    let report = |per_second, age| LimitReport { incarnation: incarnation("a", 1), per_second, age };
    let mut board = LimitBoard::default();
    board.record(at(1_000), &report(Some(3.0), 100_000));
    board.record(at(2_000), &report(None, 0));
    board.record(at(2_100), &report(Some(3.0), 1_200_000));
    assert_eq!(board.limit(&incarnation("a", 1)), None);
    let told = &board.reports(at(3_000))[0];
    assert_eq!((told.per_second, told.age), (None, 1_000_000));
    let mut announced = Announced::default();
    announced.observe(at(500), Some(rate(3.0)), at(400), 0.5);
    announced.learn(at(3_000), None, at(2_000), 0.5);
    assert_eq!(announced.limit(), None);
    assert!(announced.report(at(3_000), &incarnation("a", 1)).is_none(), "it is no own observation");
    announced.observe(at(3_500), Some(rate(2.0)), at(3_400), 0.5);
    announced.learn(at(3_600), None, at(3_450), 0.5);
    assert_eq!(announced.limit(), Some(rate(2.0)));
}

/// A restarted target has named no limit, and one that left is forgotten.
#[test]
fn limits_end_with_the_incarnation() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 2));
    let mut board = LimitBoard::default();
    board.record(at(0), &LimitReport { incarnation: incarnation("a", 1), per_second: Some(3.0), age: 0 });
    assert!(board.limit(&incarnation("a", 2)).is_none());
    board.retain(at(0), &directory);
    assert!(board.reports(at(0)).is_empty());
}

/// Rates are decimal numbers; anything else is refused.
#[test]
fn rates_parse_or_are_refused() {
    assert_eq!(" 3.25 ".parse::<RequestRate>().unwrap(), rate(3.25));
    assert_eq!(rate(3.25).to_string(), "3.25");
    assert_eq!(rate(4.0).interval(), Span::from_millis(250));
    for text in ["", "-1", "many", "inf", "NaN", "1e999", "3,3"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}
