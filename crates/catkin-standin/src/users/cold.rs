//! The cold time of a server, and the check that callers together keep its limit.
//! Restarts, pauses and ends of callers since are an excuse.

use {
    super::invariants::InvariantChecker,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Span in which requests at a cold server are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests in that span, as a multiple of the cold rate and in addition to it,
/// that are no violation.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 8.0;

/// A cold time of a server.
#[derive(Debug)]
pub(super) struct ColdTime {
    since: Instant,
    until: Instant,
    per_second: f64,
    /// When all callers know of it.
    checked_from: Instant,
    /// Requests of the last [`WINDOW`].
    arrivals: VecDeque<Instant>,
    /// Requests so far, and the most in one window.
    count: usize,
    most: usize,
}

impl ColdTime {
    /// Starts now. Requests are checked from a time after that.
    pub(super) fn new(span: Duration, per_second: f64, checked_after: Duration) -> Self {
        let since = Instant::now();
        let (until, checked_from) = (since + span, since + checked_after);
        Self { since, until, per_second, checked_from, arrivals: VecDeque::new(), count: 0, most: 0 }
    }

    /// Returns the rest of the cold time.
    pub(super) fn rest(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Returns the number of checked requests and the most in one window.
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.count, self.most)
    }

    /// Checks a request that arrives.
    pub(super) fn arrive(&mut self, id: &str, checker: &InvariantChecker) {
        let now = Instant::now();
        if now < self.checked_from || now >= self.until {
            return;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now - *at >= WINDOW) {
            self.arrivals.pop_front();
        }
        let count = self.arrivals.len();
        (self.count, self.most) = (self.count + 1, self.most.max(count));
        let allowed = self.per_second * FACTOR * WINDOW.as_secs_f64() + SLACK;
        if count as f64 > allowed && checker.is_calm_since(self.since) {
            let per_second = self.per_second;
            checker.add_violation(format!(
                "{id} got {count} requests in {WINDOW:?} while it takes {per_second} per second as it is cold"
            ));
        }
    }
}
