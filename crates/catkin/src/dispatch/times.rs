//! Histogram of the service times of one class on one target, with exponential
//! decay.

use crate::types::{Span, Time};

const BUCKETS: usize = 128;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
const HALF_LIFE: Span = Span::from_secs(2);
/// Weight above which all counts are halved, so that the newest few hundred
/// samples outweigh the rest at any request rate.
const WEIGHT_MAX: f64 = 512.0;
/// Weight below which no estimate is returned.
const WEIGHT_MIN: f64 = 8.0;

/// Counts of service times in buckets whose bounds grow by a quarter octave (19%).
#[derive(Debug)]
pub(super) struct ServiceTimes {
    counts: [f64; BUCKETS],
    weight: f64,
    total_micros: f64,
    decayed_at: Time,
}

impl ServiceTimes {
    pub(super) fn new() -> Self {
        Self { counts: [0.0; BUCKETS], weight: 0.0, total_micros: 0.0, decayed_at: Time::default() }
    }

    pub(super) fn add(&mut self, now: Time, span: Span) {
        self.decay(now);
        self.counts[bucket(span)] += 1.0;
        self.weight += 1.0;
        self.total_micros += span.as_micros() as f64;
        if self.weight > WEIGHT_MAX {
            self.scale(0.5);
        }
    }

    /// Halves the counts once for each half-life since the last decay.
    pub(super) fn decay(&mut self, now: Time) {
        let half_lives = now.since(self.decayed_at).as_micros() / HALF_LIFE.as_micros();
        if half_lives == 0 {
            return;
        }
        self.decayed_at = now;
        self.scale(0.5_f64.powi(half_lives.min(64) as i32));
    }

    pub(super) fn mean(&self) -> Option<Span> {
        self.is_known().then(|| Span::from_micros((self.total_micros / self.weight).ceil() as u64))
    }

    /// Returns the upper bound of the bucket that contains the quantile.
    pub(super) fn quantile(&self, fraction: f64) -> Option<Span> {
        if !self.is_known() {
            return None;
        }
        let mut remaining = self.weight * fraction;
        let is_reached = |count: &f64| {
            remaining -= count;
            remaining <= 0.0
        };
        let index = self.counts.iter().position(is_reached).unwrap_or(BUCKETS - 1);
        Some(upper_bound(index))
    }

    fn is_known(&self) -> bool {
        self.weight >= WEIGHT_MIN
    }

    fn scale(&mut self, factor: f64) {
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.weight *= factor;
        self.total_micros *= factor;
    }
}

fn bucket(span: Span) -> usize {
    let micros = span.as_micros().max(1) as f64;
    let index = (micros.log2() * BUCKETS_PER_OCTAVE).ceil() as usize;
    index.min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Span {
    Span::from_micros((index as f64 / BUCKETS_PER_OCTAVE).exp2().ceil() as u64)
}
