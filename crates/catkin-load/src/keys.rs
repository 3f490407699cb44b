//! Random choice of keys by a configured distribution.

use {
    catkin::types::{Share, Span},
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
};

/// Distribution of keys over requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "by")]
pub enum KeyDistribution {
    /// All keys are equally likely.
    Even {
        /// Number of keys.
        count: u32,
    },
    /// Zipf distribution: the probability of the key of rank n is proportional
    /// to 1 / n^exponent.
    Zipf {
        /// Number of keys.
        count: u32,
        /// Exponent of the rank; a higher one concentrates requests on fewer
        /// keys.
        exponent: f64,
    },
    /// A few hot keys get a share of the requests; all other requests choose
    /// evenly among all keys.
    Hot {
        /// Number of keys.
        count: u32,
        /// Number of hot keys.
        hot: u32,
        /// Share of the requests that go to hot keys.
        share: Share,
        /// Time after which the next `hot` keys become the hot ones; zero for
        /// never.
        #[serde(default)]
        shift: Span,
    },
}

impl KeyDistribution {
    /// Returns how many keys there are to choose from; the settings check
    /// rejects 0.
    pub fn count(self) -> u32 {
        match self {
            Self::Even { count } | Self::Zipf { count, .. } | Self::Hot { count, .. } => count,
        }
    }
}

/// Samples keys from a distribution.
#[derive(Clone, Debug)]
pub struct KeySampler {
    distribution: KeyDistribution,
    /// Cumulative weights by rank for `Zipf`, otherwise empty.
    cumulative: Vec<f64>,
}

impl KeySampler {
    /// Creates a sampler; `Zipf` takes time and memory in proportion to the
    /// number of keys.
    pub fn new(distribution: KeyDistribution) -> Self {
        let mut sum = 0.0;
        let cumulative = match distribution {
            KeyDistribution::Zipf { count, exponent } => (1..=count)
                .map(|rank| {
                    sum += f64::from(rank).powf(-exponent);
                    sum
                })
                .collect(),
            KeyDistribution::Even { .. } | KeyDistribution::Hot { .. } => Vec::new(),
        };
        Self { distribution, cumulative }
    }

    /// Draws the number of a key, from 0 to `count - 1`, for a request whose
    /// planned time since the start of the experiment is `at`.
    pub fn sample(&self, rng: &mut impl Rng, at: Span) -> u32 {
        match self.distribution {
            KeyDistribution::Even { count } => rng.random_range(0..count),
            KeyDistribution::Zipf { count, .. } => {
                let point = rng.random::<f64>() * self.cumulative.last().copied().unwrap_or_default();
                let rank = self.cumulative.partition_point(|total| *total < point);
                u32::try_from(rank).unwrap_or_default().min(count - 1)
            }
            KeyDistribution::Hot { count, hot, share, shift } => {
                if rng.random::<f64>() >= share.as_f64() {
                    return rng.random_range(0..count);
                }
                let shifts = at.as_micros().checked_div(shift.as_micros()).unwrap_or_default();
                let first = shifts.wrapping_mul(u64::from(hot)) % u64::from(count);
                let offset = rng.random_range(0..hot.clamp(1, count));
                ((first + u64::from(offset)) % u64::from(count)) as u32
            }
        }
    }
}
