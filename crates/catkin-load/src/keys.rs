//! Choice of keys.

use {
    catkin::types::{Share, Span},
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
};

/// How keys are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "by")]
pub enum Keys {
    /// All keys with the same chance.
    Even {
        /// Number of keys.
        count: u32,
    },
    /// By rank: the chance of the key of rank n is 1 / n^exponent.
    Zipf {
        /// Number of keys.
        count: u32,
        /// How steep the chances fall.
        exponent: f64,
    },
    /// A few hot keys get a share of the requests.
    Hot {
        /// Number of keys.
        count: u32,
        /// Number of hot keys.
        hot: u32,
        /// Share of the requests that go to hot keys.
        share: Share,
        /// Time after which other keys become hot; zero for never.
        #[serde(default)]
        shift: Span,
    },
}

impl Keys {
    /// Returns the number of keys.
    pub fn count(self) -> u32 {
        match self {
            Self::Even { count } | Self::Zipf { count, .. } | Self::Hot { count, .. } => count,
        }
    }
}

/// Draws keys.
#[derive(Clone, Debug)]
pub struct Chooser {
    keys: Keys,
    /// For Zipf, the sums of the chances up to each rank.
    sums: Vec<f64>,
}

impl Chooser {
    /// Prepares a choice.
    pub fn new(keys: Keys) -> Self {
        let mut sum = 0.0;
        let sums = match keys {
            Keys::Zipf { count, exponent } => (1..=count)
                .map(|rank| {
                    sum += f64::from(rank).powf(-exponent);
                    sum
                })
                .collect(),
            Keys::Even { .. } | Keys::Hot { .. } => Vec::new(),
        };
        Self { keys, sums }
    }

    /// Draws the number of a key for a request at a time of the experiment.
    pub fn choose(&self, rng: &mut impl Rng, at: Span) -> u32 {
        match self.keys {
            Keys::Even { count } => rng.random_range(0..count),
            Keys::Zipf { count, .. } => {
                let point = rng.random::<f64>() * self.sums.last().copied().unwrap_or_default();
                let rank = self.sums.partition_point(|sum| *sum < point);
                u32::try_from(rank).unwrap_or_default().min(count - 1)
            }
            Keys::Hot { count, hot, share, shift } => {
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
