//! The share of requests that may be sent once more.
//!
//! The platform counts, for each service and all edge processes together, the
//! sends beyond the first of each request against a share of its requests.
//! Each process spends a share of its own requests and a part of the fixed
//! allowance, so that no message between processes is needed.

use {
    catkin::types::{Span, Time},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Part of the bound that is spent; the rest covers requests that end in
/// another window than they began.
const SPENT_SHARE: f64 = 0.75;

/// Bounds of the platform on repeated sends.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Span,
    /// Repeated sends in a window whatever the number of requests.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Budgets of all services in one process.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    services: HashMap<Arc<str>, VecDeque<Second>>,
}

impl Budget {
    /// Makes empty budgets.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, services: HashMap::new() }
    }

    fn second(&mut self, now: Time, service: &Arc<str>) -> &mut VecDeque<Second> {
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
    pub fn count(&mut self, now: Time, service: &Arc<str>) {
        if let Some(last) = self.second(now, service).back_mut() {
            last.requests += 1;
        }
    }

    /// Takes one repeated send. Returns whether there was one left.
    pub fn take(&mut self, now: Time, service: &Arc<str>, peers: u32) -> bool {
        let bounds = self.bounds;
        let seconds = self.second(now, service);
        let requests: u32 = seconds.iter().map(|s| s.requests).sum();
        let repeats: u32 = seconds.iter().map(|s| s.repeats).sum();
        let own = bounds.slack / f64::from(peers.max(1));
        let allowed = SPENT_SHARE * (f64::from(requests) * bounds.ratio + own);
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        if let Some(last) = seconds.back_mut() {
            last.repeats += 1;
        }
        true
    }
}
