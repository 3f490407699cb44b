//! Service times of targets, measured by all processes together.
//!
//! Load pattern: targets whose machines differ in speed by a factor of two or
//! three, and so many processes that each gets an answer of a given target every
//! few seconds. A mean that each process learns alone stays near its initial
//! value, slow targets pass for average ones, and their keys wait.
//!
//! Processes report the number and the sum of their measured times. Those of
//! the last answers stay with each process, and a new leader gets them with the
//! first report.

use {
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// Service time of a target before any of its service was measured, in seconds.
pub const SERVICE_TIME_DEFAULT_S: f32 = 0.1;

/// Answers of a target over which the leader's mean reaches. Single times differ by
/// the kind of request, and slow periods make several answers longer, so a mean of
/// fewer would move keys without need.
const FLEET_COUNT_MAX: f32 = 200.0;

/// Answers of a target that a process remembers for a new leader.
const OWN_COUNT_MAX: f32 = 8.0;

/// Answers as which the mean of the service counts in the estimate for a target.
const PRIOR_COUNT: f32 = 3.0;

/// Number and sum of measured times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimeSum {
    count: f32,
    seconds: f32,
}

impl TimeSum {
    /// Creates the sum of `count` times of which each took `seconds`.
    pub fn new(count: u32, seconds: f32) -> Self {
        Self { count: count as f32, seconds: count as f32 * seconds }
    }

    /// Returns whether there are no times in the sum.
    pub fn is_empty(self) -> bool {
        self.count <= 0.0
    }

    /// Returns the mean time in seconds, unless the sum is empty.
    pub fn mean(self) -> Option<f32> {
        (!self.is_empty()).then(|| self.seconds / self.count)
    }

    /// Adds another sum, for which earlier times are forgotten so that about
    /// `count_max` remain.
    fn merge(&mut self, other: Self, count_max: f32) {
        let kept = (1.0 - other.count / count_max).max(0.0);
        self.count = self.count * kept + other.count;
        self.seconds = self.seconds * kept + other.seconds;
    }
}

/// Times of one target that a process has measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnTimes {
    recent: TimeSum,
    unreported: TimeSum,
}

impl OwnTimes {
    /// Adds the time of an answer, in seconds.
    pub fn add(&mut self, seconds: f32) {
        let one = TimeSum::new(1, seconds);
        self.recent.merge(one, OWN_COUNT_MAX);
        self.unreported.merge(one, FLEET_COUNT_MAX);
    }

    /// Returns the times since the last call, or the recent ones for a leader that
    /// knows none.
    pub fn take(&mut self, for_new_leader: bool) -> TimeSum {
        let unreported = std::mem::take(&mut self.unreported);
        if for_new_leader { self.recent } else { unreported }
    }
}

/// Mean service times of targets by the reports of all processes.
#[derive(Debug, Default)]
pub struct ServiceTimes(HashMap<Arc<str>, TimeSum>);

impl ServiceTimes {
    /// Adds times that a process has measured at a target.
    pub fn record(&mut self, target: &Arc<str>, times: TimeSum) {
        if !times.is_empty() {
            self.0.entry(target.clone()).or_default().merge(times, FLEET_COUNT_MAX);
        }
    }

    /// Returns the mean service time of a target, if it was measured.
    pub fn mean(&self, target: &str) -> Option<f32> {
        self.0.get(target)?.mean()
    }

    /// Returns the mean service time of the targets of a service.
    pub fn service_mean<'a>(&self, targets: impl Iterator<Item = &'a str>) -> f32 {
        let means: Vec<f32> = targets.filter_map(|target| self.mean(target)).collect();
        if means.is_empty() { SERVICE_TIME_DEFAULT_S } else { means.iter().sum::<f32>() / means.len() as f32 }
    }

    /// Returns the estimated service time of a target: its mean, drawn to that of
    /// its service while it has given few answers.
    pub fn estimate(&self, target: &str, service_mean: f32) -> f32 {
        let sum = self.0.get(target).copied().unwrap_or_default();
        (sum.seconds + PRIOR_COUNT * service_mean) / (sum.count + PRIOR_COUNT)
    }

    /// Removes targets for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.0.retain(|id, _| is_known(id));
    }
}
