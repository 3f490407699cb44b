//! Load and health reports that lag.

use {
    catkin::{
        api::Load,
        types::{Span, Time},
    },
    std::collections::VecDeque,
};

/// Past loads of a target, as far back as its reports lag.
pub(crate) struct Reports {
    lag: Span,
    past: VecDeque<(Time, Load)>,
}

impl Reports {
    /// Starts with the load at a moment.
    pub(crate) fn new(now: Time, lag: Span, load: Load) -> Self {
        Self { lag, past: VecDeque::from([(now, load)]) }
    }

    /// Notes a load.
    pub(crate) fn note(&mut self, now: Time, load: Load) {
        self.past.push_back((now, load));
        self.forget(now.before(self.lag));
    }

    /// Returns the load of a moment that is the lag ago.
    pub(crate) fn read(&mut self, now: Time) -> Load {
        self.forget(now.before(self.lag));
        let load = self.past.front().map(|(_, load)| *load).unwrap_or_default();
        Load { age: self.lag, ..load }
    }

    /// Drops loads that were replaced at a moment or before.
    fn forget(&mut self, moment: Time) {
        while self.past.get(1).is_some_and(|(at, _)| *at <= moment) {
            self.past.pop_front();
        }
    }
}
