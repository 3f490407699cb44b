//! Service times of one class on one target: a histogram that forgets.

use crate::types::{Span, Time};

const BUCKETS: usize = 128;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
const HALF_LIFE: Span = Span::from_secs(2);
/// Above this weight all counts are halved, so that the newest few hundred
/// samples outweigh the rest at any rate of requests.
const WEIGHT_MAX: f64 = 512.0;
/// Below this weight nothing is claimed about the service times.
const WEIGHT_MIN: f64 = 8.0;

/// Counts of service times, in buckets whose bounds grow by a quarter octave.
#[derive(Debug)]
pub(super) struct Times {
    counts: [f64; BUCKETS],
    weight: f64,
    micros: f64,
    halved: Time,
}

impl Times {
    pub(super) fn new() -> Self {
        Self { counts: [0.0; BUCKETS], weight: 0.0, micros: 0.0, halved: Time::default() }
    }

    pub(super) fn add(&mut self, now: Time, span: Span) {
        self.age(now);
        self.counts[bucket(span)] += 1.0;
        self.weight += 1.0;
        self.micros += span.as_micros() as f64;
        if self.weight > WEIGHT_MAX {
            self.scale(0.5);
        }
    }

    /// Halves the counts once for each half-life that has passed.
    pub(super) fn age(&mut self, now: Time) {
        let lives = now.since(self.halved).as_micros() / HALF_LIFE.as_micros();
        if lives == 0 {
            return;
        }
        self.halved = now;
        self.scale(0.5_f64.powi(lives.min(64) as i32));
    }

    pub(super) fn mean(&self) -> Option<Span> {
        self.is_known().then(|| Span::from_micros((self.micros / self.weight).ceil() as u64))
    }

    /// Returns the upper bound of the bucket that holds a quantile.
    pub(super) fn quantile(&self, share: f64) -> Option<Span> {
        if !self.is_known() {
            return None;
        }
        let mut left = self.weight * share;
        let reached = |count: &f64| {
            left -= count;
            left <= 0.0
        };
        let index = self.counts.iter().position(reached).unwrap_or(BUCKETS - 1);
        Some(bound(index))
    }

    fn is_known(&self) -> bool {
        self.weight >= WEIGHT_MIN
    }

    fn scale(&mut self, factor: f64) {
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.weight *= factor;
        self.micros *= factor;
    }
}

fn bucket(span: Span) -> usize {
    let micros = span.as_micros().max(1) as f64;
    let index = (micros.log2() * BUCKETS_PER_OCTAVE).ceil() as usize;
    index.min(BUCKETS - 1)
}

fn bound(index: usize) -> Span {
    Span::from_micros((index as f64 / BUCKETS_PER_OCTAVE).exp2().ceil() as u64)
}
