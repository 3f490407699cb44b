//! Slowdown of a target that shares its machine with other work.
//!
//! Load pattern: a fifth of the machines take three times the usual time for
//! 400 ms at a time. A mean of measured times follows too late, and stays high
//! when the machine is usual again.

use catkin::types::{Span, Time};

/// Half-life of what a report says above the usual time: a figure holds for
/// about 400 ms, and the next answer may be a second away. In replays with 2 to
/// 68 processes, more requests were served in time than with 200 ms and 400 ms.
const HALF_LIFE: Span = Span::from_millis(100);

/// Longest time for which a report counts in the mean.
const REPORT_SPAN_MAX: Span = Span::from_millis(400);

/// Time constant of the mean. Moving keys takes some of the time that one slow
/// period lasts, so that only a slowdown of several periods should move them.
const MEAN_TIME_S: f64 = 3.0;

/// Bounds on a reported slowdown, so that a wrong figure neither excludes a
/// target nor draws all requests to it.
const BOUNDS: (f64, f64) = (0.5, 10.0);

/// Slowdown of a target by its reports; 1 is the usual speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slowdown {
    reported: f64,
    reported_at: Time,
    mean: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { reported: 1.0, reported_at: Time::default(), mean: 1.0 }
    }
}

impl Slowdown {
    /// Records a report of the target.
    pub(super) fn record(&mut self, now: Time, slowdown: f64) {
        let slowdown = slowdown.clamp(BOUNDS.0, BOUNDS.1);
        let held = now.since(self.reported_at).min(REPORT_SPAN_MAX).as_secs_f64();
        self.mean += (slowdown - self.mean) * (1.0 - (-held / MEAN_TIME_S).exp());
        (self.reported, self.reported_at) = (slowdown, now);
    }

    /// Returns the slowdown at a time, which fades to 1 after a report.
    pub(super) fn at(self, now: Time) -> f64 {
        let half_lives = now.since(self.reported_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.reported - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Returns the slowdown of the last report.
    pub(super) fn reported(self) -> f64 {
        self.reported
    }

    /// Returns the lasting part: the mean of the last seconds.
    pub(super) fn mean(self) -> f64 {
        self.mean
    }
}
