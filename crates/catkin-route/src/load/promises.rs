//! Refused requests that will return to a target.
//!
//! Load pattern: the owner of a hot key gets more requests than it serves for some
//! seconds. All that are refused within a moment and told the time in which the
//! queue drains come back at the same time, and most are refused again.

use {
    catkin::types::{Span, Time},
    std::collections::VecDeque,
};

/// Time for which a count of the leader is used. It covers two reports.
const COUNT_TTL: Span = Span::from_millis(1_200);

/// Most promises of one process at one target.
const PROMISES_MAX: usize = 256;

/// When refused requests return to a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Promises {
    /// Those of this process.
    returns: VecDeque<Time>,
    /// Number of those of all processes, and when the leader told it.
    told: (u32, Time),
}

impl Promises {
    /// Adds a request that returns at a time.
    pub(super) fn add(&mut self, at: Time) {
        if self.returns.len() < PROMISES_MAX {
            let index = self.returns.partition_point(|other| *other <= at);
            self.returns.insert(index, at);
        }
        self.told.0 += 1;
    }

    /// Returns the number of requests of this process that will return.
    pub(super) fn count(&mut self, now: Time) -> u32 {
        while self.returns.front().is_some_and(|at| *at <= now) {
            self.returns.pop_front();
        }
        u32::try_from(self.returns.len()).unwrap_or(u32::MAX)
    }

    /// Records the number of all processes.
    pub(super) fn learn(&mut self, now: Time, count: u32) {
        self.told = (count, now);
    }

    /// Returns the number of requests of all processes that will return, as the
    /// leader last told, with those of this process since.
    pub(super) fn told(&self, now: Time) -> u32 {
        if now.since(self.told.1) < COUNT_TTL { self.told.0 } else { 0 }
    }
}
