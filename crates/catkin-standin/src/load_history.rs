//! Past loads of a target, for load and health reports that lag.

use {
    catkin::{
        api::Load,
        types::{Span, Time},
    },
    std::collections::VecDeque,
};

/// Past loads of a target, as far back as its reports lag.
pub(crate) struct LoadHistory {
    lag: Span,
    /// Loads by the time from which they hold, the oldest first.
    loads: VecDeque<(Time, Load)>,
}

impl LoadHistory {
    /// Creates a history that starts with one load.
    pub(crate) fn new(now: Time, lag: Span, load: Load) -> Self {
        Self { lag, loads: VecDeque::from([(now, load)]) }
    }

    /// Records that `load` applies from `now` on.
    pub(crate) fn add(&mut self, now: Time, load: Load) {
        self.loads.push_back((now, load));
        self.prune(now.before(self.lag));
    }

    /// Returns the load at `now` minus the lag, or the oldest load if the history
    /// starts later.
    pub(crate) fn lagged(&mut self, now: Time) -> Load {
        self.prune(now.before(self.lag));
        let load = self.loads.front().map(|(_, load)| *load).unwrap_or_default();
        Load { age: self.lag, ..load }
    }

    /// Removes each load whose successor applies at or before `time`.
    fn prune(&mut self, time: Time) {
        while self.loads.get(1).is_some_and(|(at, _)| *at <= time) {
            self.loads.pop_front();
        }
    }
}
