//! Keys whose request rates follow a Zipf distribution.

use {
    catkin::types::{Key, SliceId},
    rand::{RngExt, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
};

/// Number of hottest keys with individual rates; the load of all other keys is
/// spread evenly over the slices.
const HEAD_KEYS: usize = 200_000;
/// Number of hottest keys whose requests are counted for each key.
const COUNTED_KEYS: usize = 300;

/// Keys and their rates, in requests per second.
pub(crate) struct Keys {
    /// Rates in requests per second, hottest first.
    rates: Vec<f64>,
    /// The key that has the rate at the same index.
    key_order: Vec<u32>,
    /// Rate of all keys beyond `HEAD_KEYS` together.
    tail: f64,
    random: ChaCha8Rng,
}

impl Keys {
    /// Makes `count` keys with rates in proportion to `rank^-exponent` and the
    /// sum `total`.
    pub(crate) fn new(seed: u64, exponent: f64, count: f64, total: f64) -> Self {
        let weights: Vec<f64> = (1..=HEAD_KEYS).map(|rank| (rank as f64).powf(-exponent)).collect();
        let power = 1.0 - exponent;
        let tail = (count.powf(power) - (HEAD_KEYS as f64).powf(power)) / power;
        let scale = total / (weights.iter().sum::<f64>() + tail);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut key_order: Vec<u32> = (0..u32::try_from(HEAD_KEYS).unwrap_or(u32::MAX)).collect();
        key_order.shuffle(&mut random);
        Self { rates: weights.iter().map(|w| w * scale).collect(), key_order, tail: tail * scale, random }
    }

    /// Swaps the rates of the `count` hottest keys with those of random keys from
    /// the colder half of the head.
    pub(crate) fn change_hottest(&mut self, count: usize) {
        for rank in 0..count {
            let other = self.random.random_range(HEAD_KEYS / 2..HEAD_KEYS);
            self.key_order.swap(rank, other);
        }
    }

    /// Returns the rate of every slice, by slice number.
    pub(crate) fn slice_rates(&self, slices: usize, slice_of: impl Fn(u32) -> SliceId) -> Vec<f64> {
        let mut rates = vec![0.0; slices];
        for (rate, key) in self.rates.iter().zip(&self.key_order) {
            let slice = slice_of(*key).0 as usize;
            if slice >= rates.len() {
                rates.resize(slice + 1, 0.0);
            }
            rates[slice] += rate;
        }
        let tail_rate = self.tail / slices as f64;
        rates.iter_mut().take(slices).for_each(|rate| *rate += tail_rate);
        rates
    }

    /// Returns the `COUNTED_KEYS` hottest keys and their rates.
    pub(crate) fn hottest(&self) -> impl Iterator<Item = (u32, f64)> {
        self.key_order.iter().copied().zip(self.rates.iter().copied()).take(COUNTED_KEYS)
    }

    /// Draws a Poisson-distributed number of requests with the given mean. Above
    /// a mean of 50 a normal distribution approximates it.
    pub(crate) fn draw_count(&mut self, mean: f64) -> f64 {
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

/// Returns the routing key of a key number.
pub(crate) fn routing_key(key: u32) -> Key {
    Key::new(format!("drawing-{key:08}")).unwrap_or_else(|e| unreachable!("{e}"))
}
