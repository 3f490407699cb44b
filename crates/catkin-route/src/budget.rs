//! Retry budget: the share of requests that may get another attempt.
//!
//! The platform counts, for each service and all edge processes together, the
//! attempts beyond the first of each request against a share of its requests.
//! Each process spends a share of its own requests and an equal part of the
//! fixed allowance, so that no message between processes is needed.

use {
    catkin::types::{Span, Time},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Part of the bound that is spent; the rest covers requests that end in
/// another window than the one in which they began.
const SPENDABLE_SHARE: f64 = 0.75;

/// The platform's bounds on retries.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Length of the sliding window in which requests and retries count.
    pub window: Span,
    /// Retries in a window whatever the number of requests, for all processes
    /// together.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Retry budgets of all services in one process.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    services: HashMap<Arc<str>, VecDeque<Second>>,
}

impl Budget {
    /// Creates budgets that have counted no request and no retry.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, services: HashMap::new() }
    }

    fn window(&mut self, now: Time, service: &Arc<str>) -> &mut VecDeque<Second> {
        let number = now.as_micros() / 1_000_000;
        let window = self.bounds.window.as_micros() / 1_000_000;
        let seconds = self.services.entry(service.clone()).or_default();
        while seconds.front().is_some_and(|s| s.number + window <= number) {
            seconds.pop_front();
        }
        if seconds.back().is_none_or(|s| s.number < number) {
            seconds.push_back(Second { number, ..Second::default() });
        }
        seconds
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Time, service: &Arc<str>) {
        if let Some(last) = self.window(now, service).back_mut() {
            last.requests += 1;
        }
    }

    /// Returns whether the budget of a service has a retry left.
    pub fn has_retry(&mut self, now: Time, service: &Arc<str>, peers: u32) -> bool {
        let bounds = self.bounds;
        let seconds = self.window(now, service);
        let requests: u32 = seconds.iter().map(|s| s.requests).sum();
        let retries: u32 = seconds.iter().map(|s| s.retries).sum();
        let allowance = bounds.slack / f64::from(peers.max(1));
        let allowed = SPENDABLE_SHARE * (f64::from(requests) * bounds.ratio + allowance);
        f64::from(retries + 1) <= allowed
    }

    /// Takes one retry from the budget of a service. Returns whether one was
    /// left. `peers` is the number of edge processes.
    pub fn take_retry(&mut self, now: Time, service: &Arc<str>, peers: u32) -> bool {
        let is_left = self.has_retry(now, service, peers);
        if is_left && let Some(last) = self.window(now, service).back_mut() {
            last.retries += 1;
        }
        is_left
    }
}
