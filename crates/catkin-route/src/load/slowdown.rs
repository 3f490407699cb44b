//! Slowdown of a target: how long work takes on its machine, by its own reports.
//!
//! Load pattern: machines of different speed, of which some take 0.7 and others
//! 1.6 times the usual time, and a fifth take three times their time for 400 ms at
//! a time, as they also do other work. A mean of measured times follows too late,
//! and stays high when a machine is as usual again.

use catkin::types::{Span, Time};

/// Half-life of what a report says beyond the lasting slowdown: a figure holds for
/// about 400 ms, and the next answer may be a second away. In replays with 2 to
/// 68 processes, more requests were served in time than with 200 ms and 400 ms.
const HALF_LIFE: Span = Span::from_millis(100);

/// The same of the lasting slowdown: a target that passes for slow may get no
/// request whose answer would say otherwise.
const LASTING_HALF_LIFE: Span = Span::from_secs(5);

/// Number of reports of which the least is the lasting slowdown.
const REPORTS: usize = 3;

/// Least time between two of these reports: a slow period of 400 ms should not fill
/// them.
const REPORT_GAP_MIN: Span = Span::from_millis(400);

/// Bounds on a reported slowdown, so that a wrong figure neither excludes a
/// target nor draws all requests to it.
const BOUNDS: (f64, f64) = (0.5, 10.0);

/// Slowdown of a target; 1 is the usual speed of its service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slowdown {
    reported: f64,
    reported_at: Time,
    /// The last reports with a distance in time, and when the last one was kept.
    /// The usual speed counts as a report, as a first one may be from a slow period.
    kept: [f64; REPORTS],
    kept_at: Option<Time>,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { reported: 1.0, reported_at: Time::default(), kept: [1.0; REPORTS], kept_at: None }
    }
}

fn fade(value: f64, to: f64, span: Span, half_life: Span) -> f64 {
    to + (value - to) * 0.5_f64.powf(span.as_secs_f64() / half_life.as_secs_f64())
}

impl Slowdown {
    /// Records a report of the target.
    pub(super) fn record(&mut self, now: Time, slowdown: f64) {
        let slowdown = slowdown.clamp(BOUNDS.0, BOUNDS.1);
        (self.reported, self.reported_at) = (slowdown, now);
        if self.kept_at.is_none_or(|at| now.since(at) >= REPORT_GAP_MIN) {
            self.kept.rotate_right(1);
            self.kept[0] = slowdown;
            self.kept_at = Some(now);
        }
    }

    /// Returns the lasting slowdown: the least of the last reports, which fades to
    /// the usual speed.
    fn lasting(self, now: Time) -> f64 {
        let least = self.kept.iter().copied().fold(f64::INFINITY, f64::min);
        fade(least, 1.0, now.since(self.reported_at), LASTING_HALF_LIFE)
    }

    /// Returns the slowdown at a time. After a report it fades to the lasting one.
    pub(super) fn at(self, now: Time) -> f64 {
        fade(self.reported, self.lasting(now), now.since(self.reported_at), HALF_LIFE)
    }

    /// Returns the slowdown of the last report.
    pub(super) fn reported(self) -> f64 {
        self.reported
    }

    /// Returns the mean of the last reports.
    pub(super) fn mean(self) -> f64 {
        self.kept.iter().sum::<f64>() / REPORTS as f64
    }
}
