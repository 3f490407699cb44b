//! Retry budgets of services.

use {
    catkin::types::{Span, Time},
    catkin_route::budget::{Bounds, Budget},
    std::sync::Arc,
};

const BOUNDS: Bounds = Bounds { ratio: 0.2, window: Span::from_secs(10), slack: 56.0 };

fn at(secs: u64) -> Time {
    Time::from_micros(secs * 1_000_000)
}

/// The retries of all processes together stay within the platform's bound, also
/// when there are retries but no requests.
#[test]
fn all_processes_stay_within_bound() {
    let service: Arc<str> = "s".into();
    for (peers, requests) in [(8, 0), (8, 1_000), (12, 100), (79, 10)] {
        let mut sent = 0;
        for _ in 0..peers {
            let mut budget = Budget::new(BOUNDS);
            for _ in 0..requests {
                budget.count_request(at(5), &service);
            }
            sent += (0..10_000).filter(|_| budget.take_retry(at(5), &service, peers)).count();
        }
        let all = f64::from(peers) * f64::from(requests);
        assert!(sent as f64 <= all * BOUNDS.ratio + BOUNDS.slack, "{sent} retries of {all} requests");
    }
}

/// Retries and requests that are older than the window do not count.
#[test]
fn window_slides() {
    let service: Arc<str> = "s".into();
    let mut budget = Budget::new(BOUNDS);
    for _ in 0..100 {
        budget.count_request(at(1), &service);
    }
    let early = (0..100).filter(|_| budget.take_retry(at(1), &service, 8)).count();
    assert!(early > 10);
    assert!(!budget.take_retry(at(10), &service, 8));
    let late = (0..100).filter(|_| budget.take_retry(at(11), &service, 8)).count();
    assert!(late > 0 && late < early);
}

/// Retries of one service do not use up the budget of another.
#[test]
fn services_have_own_budgets() {
    let mut budget = Budget::new(BOUNDS);
    while budget.take_retry(at(1), &"s".into(), 8) {}
    assert!(budget.take_retry(at(1), &"t".into(), 8));
}
