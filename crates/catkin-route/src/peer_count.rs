//! Number of processes that share the targets.
//!
//! Load pattern: a new leader counts the processes anew as their reports arrive.
//! If the others believed its first counts, each would use a large share of every
//! target.

use catkin::types::{Span, Time};

/// Time for which a lower count must last before it is believed. A process that
/// has ended is counted for as long.
const LOWER_DELAY: Span = Span::from_secs(3);

/// Number of processes, as the leader counts them.
#[derive(Clone, Copy, Debug)]
pub struct PeerCount {
    count: u32,
    /// Since when the counts are lower, and the highest of them.
    lower: Option<(Time, u32)>,
}

impl PeerCount {
    /// Starts with an assumed number.
    pub fn new(count: u32) -> Self {
        Self { count, lower: None }
    }

    /// Returns the number of processes, at least 1.
    pub fn get(self) -> u32 {
        self.count.max(1)
    }

    /// Records a count of the leader.
    pub fn update(&mut self, now: Time, count: u32) {
        if count >= self.count {
            *self = Self::new(count);
            return;
        }
        let (since, highest) = self.lower.unwrap_or((now, count));
        let highest = highest.max(count);
        *self = match now.since(since) < LOWER_DELAY {
            true => Self { lower: Some((since, highest)), ..*self },
            false => Self::new(highest),
        };
    }
}
