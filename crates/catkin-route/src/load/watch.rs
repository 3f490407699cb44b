//! Which targets are slow, and how much work they get, for the operator.
//!
//! Load pattern: a fifth of the targets take three times the usual time for 400 ms
//! at a time, others in each period, and a few stay slow. A line for each short
//! period would hide the few, so only slowness that lasts is announced; the work is
//! compared over all of it. Nothing here decides where a request goes.

use {
    super::slowdown::Slowdown,
    catkin::types::{Span, Time},
};

/// Reported slowdown from which on a target counts as slow.
const SLOW_MIN: f64 = 1.5;

/// Reported slowdown below which a slow target no longer counts as slow.
const USUAL_MAX: f64 = 1.25;

/// Time after a report at which its figure has faded and the target no longer
/// counts as slow.
const REPORT_TTL: Span = Span::from_secs(1);

/// Time for which a target is slow before that is announced. Two short periods in
/// a row stay below it.
const ANNOUNCE_AFTER: Span = Span::from_secs(1);

/// Factor on the work of the past with each second: about 10 s count.
const PAST_FACTOR: f64 = 0.9;

/// Slowness of a target that has lasted, or the end of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlowChange {
    /// The target has been slow for a while; its last report named the slowdown.
    Began(f64),
    /// The target is no longer slow, and was for this time.
    Ended(Span),
}

/// Requests, and the target time over which they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Work {
    requests: f64,
    seconds: f64,
}

impl Work {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.seconds += other.seconds;
    }

    /// Returns the requests per second, if that is known.
    fn rate(self) -> Option<f64> {
        (self.seconds > 0.0 && self.requests > 0.0).then(|| self.requests / self.seconds)
    }
}

/// Work that targets got while they were slow, and at other times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkSplit {
    slow: Work,
    usual: Work,
}

impl WorkSplit {
    pub(super) fn add(&mut self, other: Self) {
        self.slow.add(other.slow);
        self.usual.add(other.usual);
    }

    /// Returns the requests of a slow target as a multiple of those of another one
    /// in the same time; `None` if no target was slow, or no other one got a
    /// request.
    pub(super) fn ratio(self) -> Option<f64> {
        let usual = self.usual.rate()?;
        (self.slow.seconds > 0.0).then(|| self.slow.requests / self.slow.seconds / usual)
    }

    fn fade(&mut self) {
        for work in [&mut self.slow, &mut self.usual] {
            work.requests *= PAST_FACTOR;
            work.seconds *= PAST_FACTOR;
        }
    }
}

/// Slowness of one target, and the work that it got.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowWatch {
    /// Since when the target is slow, and its last report since.
    slow: Option<(Time, Time)>,
    /// Since when it is slow or was, once that was announced.
    announced: Option<Time>,
    work: WorkSplit,
    /// Time up to which the target time is counted; the default time before the
    /// first request.
    counted_to: Time,
}

impl SlowWatch {
    /// Counts the time up to now as slow or usual, and ends slowness without a
    /// recent report.
    fn advance(&mut self, now: Time) {
        let from = if self.counted_to == Time::default() { now } else { self.counted_to };
        self.counted_to = now;
        let slow_to = self.slow.map_or(from, |(_, reported_at)| reported_at.after(REPORT_TTL).min(now));
        let slow = slow_to.since(from);
        self.work.slow.seconds += slow.as_secs_f64();
        self.work.usual.seconds += now.since(from).saturating_sub(slow).as_secs_f64();
        if slow_to < now {
            self.slow = None;
        }
    }

    /// Records a report of the target.
    pub(super) fn record(&mut self, now: Time, slowdown: f64) {
        self.advance(now);
        let bound = if self.slow.is_some() { USUAL_MAX } else { SLOW_MIN };
        self.slow = (slowdown >= bound).then(|| (self.slow.map_or(now, |(since, _)| since), now));
    }

    /// Counts a request that is sent to the target.
    pub(super) fn count_request(&mut self, now: Time) {
        self.advance(now);
        let work = if self.slow.is_some() { &mut self.work.slow } else { &mut self.work.usual };
        work.requests += 1.0;
    }

    /// Returns whether the target is slow, its work of the last seconds, and whether
    /// slowness that lasts has begun or ended. It must be called every second.
    pub(super) fn take(&mut self, now: Time, slowdown: Slowdown) -> (bool, WorkSplit, Option<SlowChange>) {
        self.advance(now);
        let change = match (self.slow, self.announced) {
            (Some((since, _)), None) if now.since(since) >= ANNOUNCE_AFTER => {
                self.announced = Some(since);
                Some(SlowChange::Began(slowdown.reported()))
            }
            (None, Some(since)) => {
                self.announced = None;
                Some(SlowChange::Ended(now.since(since)))
            }
            _ => None,
        };
        let work = self.work;
        self.work.fade();
        (self.slow.is_some(), work, change)
    }
}
