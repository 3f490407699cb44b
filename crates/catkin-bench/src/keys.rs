//! Keys with a Zipf distribution of their loads.

use {
    catkin::types::{Key, SliceId},
    rand::{RngExt, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
};

/// Keys with a rate of their own; the rest is spread evenly over the slices.
const HEAD: usize = 200_000;
/// Keys whose requests are counted one key at a time.
const NAMED: usize = 300;

/// Keys and their rates, in requests per second.
pub(crate) struct Keys {
    /// Rates, hottest first.
    rates: Vec<f64>,
    /// Which key has the rate at a place.
    order: Vec<u32>,
    tail: f64,
    random: ChaCha8Rng,
}

impl Keys {
    /// Makes `count` keys with the rates `rank^-exponent`, scaled to a total.
    pub(crate) fn new(seed: u64, exponent: f64, count: f64, total: f64) -> Self {
        let weights: Vec<f64> = (1..=HEAD).map(|rank| (rank as f64).powf(-exponent)).collect();
        let power = 1.0 - exponent;
        let tail = (count.powf(power) - (HEAD as f64).powf(power)) / power;
        let scale = total / (weights.iter().sum::<f64>() + tail);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut order: Vec<u32> = (0..u32::try_from(HEAD).unwrap_or(u32::MAX)).collect();
        order.shuffle(&mut random);
        Self { rates: weights.iter().map(|w| w * scale).collect(), order, tail: tail * scale, random }
    }

    /// Gives the rates of the hottest keys to others and theirs to these.
    pub(crate) fn change_hottest(&mut self, count: usize) {
        for place in 0..count {
            let other = self.random.random_range(HEAD / 2..HEAD);
            self.order.swap(place, other);
        }
    }

    /// Returns the rate of every slice.
    pub(crate) fn slice_rates(&self, slices: usize, slice_of: impl Fn(u32) -> SliceId) -> Vec<f64> {
        let mut rates = vec![0.0; slices];
        for (rate, key) in self.rates.iter().zip(&self.order) {
            let slice = slice_of(*key).0 as usize;
            if slice >= rates.len() {
                rates.resize(slice + 1, 0.0);
            }
            rates[slice] += rate;
        }
        let even = self.tail / slices as f64;
        rates.iter_mut().take(slices).for_each(|rate| *rate += even);
        rates
    }

    /// Returns the hottest keys and their rates.
    pub(crate) fn hottest(&self) -> impl Iterator<Item = (u32, f64)> {
        self.order.iter().copied().zip(self.rates.iter().copied()).take(NAMED)
    }

    /// Draws the number of requests in a span from its mean.
    pub(crate) fn draw(&mut self, mean: f64) -> f64 {
        if mean > 50.0 {
            let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
            return (mean + (sum - 6.0) * mean.sqrt()).round().max(0.0);
        }
        let limit = (-mean).exp();
        let (mut count, mut product) = (0.0, self.random.random::<f64>());
        while product > limit {
            count += 1.0;
            product *= self.random.random::<f64>();
        }
        count
    }
}

/// Returns the text of a key.
pub(crate) fn text(key: u32) -> Key {
    Key::new(format!("drawing-{key:08}")).unwrap_or_else(|e| unreachable!("{e}"))
}
