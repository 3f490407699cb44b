//! Budgets of repeated sends.

use {
    catkin::types::{Span, Time},
    catkin_route::budget::{Bounds, Budget},
    std::sync::Arc,
};

const BOUNDS: Bounds = Bounds { ratio: 0.2, window: Span::from_secs(10), slack: 56.0 };

fn at(secs: u64) -> Time {
    Time::from_micros(secs * 1_000_000)
}

/// The sum over all processes must stay within the bound of the platform, also
/// when nothing but repeats comes.
#[test]
fn all_processes_stay_within_bound() {
    let service: Arc<str> = "s".into();
    for (peers, requests) in [(8, 0), (8, 1_000), (12, 100), (79, 10)] {
        let mut sent = 0;
        for _ in 0..peers {
            let mut budget = Budget::new(BOUNDS);
            for _ in 0..requests {
                budget.count(at(5), &service);
            }
            sent += (0..10_000).filter(|_| budget.take(at(5), &service, peers)).count();
        }
        let all = f64::from(peers) * f64::from(requests);
        assert!(sent as f64 <= all * BOUNDS.ratio + BOUNDS.slack, "{sent} repeats of {all} requests");
    }
}

/// Old repeats are forgotten after the window, and so are old requests.
#[test]
fn window_slides() {
    let service: Arc<str> = "s".into();
    let mut budget = Budget::new(BOUNDS);
    for _ in 0..100 {
        budget.count(at(1), &service);
    }
    let early = (0..100).filter(|_| budget.take(at(1), &service, 8)).count();
    assert!(early > 10);
    assert!(!budget.take(at(10), &service, 8));
    let late = (0..100).filter(|_| budget.take(at(11), &service, 8)).count();
    assert!(late > 0 && late < early);
}

/// One service's repeats must not use up another's.
#[test]
fn services_have_own_budgets() {
    let mut budget = Budget::new(BOUNDS);
    while budget.take(at(1), &"s".into(), 8) {}
    assert!(budget.take(at(1), &"t".into(), 8));
}
