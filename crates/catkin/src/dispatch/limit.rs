//! How many jobs a target may run at the same time, within its slots.

use crate::types::{Span, Time};

/// A cold target starts with this share of its slots.
const COLD_SHARE: f64 = 1.0 / 3.0;
/// One slot stays for each class, so that a slow target's long work can't
/// take the last one from short work.
const LIMIT_MIN: f64 = 2.0;
const RAISE_PERIOD: Span = Span::from_millis(100);
const CUT_PERIOD: Span = Span::from_millis(100);
const CUT_FACTOR: f64 = 0.7;
/// A target counts as slow when its median service time is this many times
/// the usual one. Buckets of the histogram are a fifth apart, so that 2 is
/// well outside their rounding.
const SLOW_FACTOR: f64 = 2.0;
/// Share by which the usual service time follows a longer one at each step.
/// After a lasting change the limit rises again within some seconds.
const DRIFT: f64 = 0.05;

/// The limit of one target. It rises by one at a time while the target
/// answers at its usual speed and falls by a factor when it slows down,
/// refuses or times out.
#[derive(Debug)]
pub(super) struct Limit {
    slots: f64,
    current: f64,
    usual: Option<f64>,
    successes: u32,
    raised: Time,
    cut: Time,
}

impl Limit {
    pub(super) fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        let current = (slots * COLD_SHARE).floor().max(LIMIT_MIN).min(slots);
        Self { slots, current, usual: None, successes: 0, raised: Time::default(), cut: Time::default() }
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

    /// Counts a success, with the median service time if it is known.
    pub(super) fn succeed(&mut self, now: Time, median: Option<Span>) {
        if self.is_slow(now, median) {
            self.cut(now);
            return;
        }
        self.successes += 1;
        let due = now.since(self.raised) >= RAISE_PERIOD;
        if due && self.successes >= self.get() {
            self.current = (self.current + 1.0).min(self.slots);
            self.successes = 0;
            self.raised = now;
        }
    }

    /// Lowers the limit, at most once in a period: jobs that ended together
    /// show the same fault.
    pub(super) fn cut(&mut self, now: Time) {
        if now.since(self.cut) < CUT_PERIOD {
            return;
        }
        self.current = (self.current * CUT_FACTOR).floor().max(LIMIT_MIN).min(self.slots);
        self.successes = 0;
        self.cut = now;
        self.raised = now;
    }

    fn is_slow(&mut self, now: Time, median: Option<Span>) -> bool {
        let Some(median) = median else { return false };
        let median = median.as_micros() as f64;
        let usual = *self.usual.get_or_insert(median);
        let slow = median > usual * SLOW_FACTOR;
        if median < usual {
            self.usual = Some(median);
        } else if now.since(self.cut) >= CUT_PERIOD && now.since(self.raised) >= RAISE_PERIOD {
            self.usual = Some(usual + (median - usual) * DRIFT);
        }
        slow
    }
}
