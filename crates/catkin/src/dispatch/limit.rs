//! Adaptive limit on the concurrent jobs of a target.

use crate::types::{Span, Time};

/// Share of its slots with which a cold target starts.
const COLD_SHARE: f64 = 1.0 / 3.0;
/// Lowest limit. It leaves one slot for each class, so that the long work of a
/// slow target can't take the last slot from short work.
const LIMIT_MIN: f64 = 2.0;
const INCREASE_INTERVAL: Span = Span::from_millis(100);
const DECREASE_INTERVAL: Span = Span::from_millis(100);
const DECREASE_FACTOR: f64 = 0.7;
/// Ratio of the median service time to the baseline above which a target counts
/// as slow. The bounds of the histogram's buckets grow by a quarter octave (19%), so
/// that 2 is well outside their rounding.
const SLOW_FACTOR: f64 = 2.0;
/// Share of the difference by which the baseline follows a longer median at each
/// step. After a lasting change the limit rises again within a few seconds.
const BASELINE_DRIFT: f64 = 0.05;

/// Limit of one target: additive increase, multiplicative decrease. It rises by
/// one while the target answers at its baseline speed and falls by a factor when
/// the target slows down, refuses or times out.
#[derive(Debug)]
pub(super) struct Limit {
    slots: f64,
    current: f64,
    baseline: Option<f64>,
    successes: u32,
    increased_at: Time,
    decreased_at: Time,
}

impl Limit {
    pub(super) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        let current = (slots * COLD_SHARE).floor().max(LIMIT_MIN).min(slots);
        Self {
            slots,
            current,
            baseline: None,
            successes: 0,
            increased_at: Time::default(),
            decreased_at: Time::default(),
        }
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.current = self.current.min(self.slots);
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots as u32
    }

    pub(super) fn get(&self) -> u32 {
        self.current as u32
    }

    /// Counts a success. `median` is the present median service time, if known.
    pub(super) fn succeed(&mut self, now: Time, median: Option<Span>) {
        if self.is_slow(now, median) {
            self.decrease(now);
            return;
        }
        self.successes += 1;
        let due = now.since(self.increased_at) >= INCREASE_INTERVAL;
        if due && self.successes >= self.get() {
            self.current = (self.current + 1.0).min(self.slots);
            self.successes = 0;
            self.increased_at = now;
        }
    }

    /// Lowers the limit, at most once per interval, because jobs that end together
    /// show the same fault.
    pub(super) fn decrease(&mut self, now: Time) {
        if now.since(self.decreased_at) < DECREASE_INTERVAL {
            return;
        }
        self.current = (self.current * DECREASE_FACTOR).floor().max(LIMIT_MIN).min(self.slots);
        self.successes = 0;
        self.decreased_at = now;
        self.increased_at = now;
    }

    /// Returns whether the median exceeds [`SLOW_FACTOR`] times the baseline, and
    /// updates the baseline.
    fn is_slow(&mut self, now: Time, median: Option<Span>) -> bool {
        let Some(median) = median else { return false };
        let median = median.as_micros() as f64;
        let baseline = *self.baseline.get_or_insert(median);
        let slow = median > baseline * SLOW_FACTOR;
        if median < baseline {
            self.baseline = Some(median);
        } else if now.since(self.decreased_at) >= DECREASE_INTERVAL
            && now.since(self.increased_at) >= INCREASE_INTERVAL
        {
            self.baseline = Some(baseline + (median - baseline) * BASELINE_DRIFT);
        }
        slow
    }
}
