//! When the reports of a process to the leader were sent.
//!
//! Load pattern: a link on which messages take seconds, as when the leader's
//! bandwidth is too low for all of them. The leader says how old its state is
//! when it sends it; the time on the way comes on top. A message is at least as
//! new as the report that it answers.

use {
    catkin::types::{Span, Time},
    std::collections::VecDeque,
};

/// Times of the reports on one link, which are answered in order.
#[derive(Clone, Debug)]
pub struct ReportTimes {
    unanswered: VecDeque<Time>,
    /// When the last answered report was sent.
    answered: Time,
}

impl ReportTimes {
    /// Starts with a link that was opened at a time.
    pub fn new(opened_at: Time) -> Self {
        Self { unanswered: VecDeque::new(), answered: opened_at }
    }

    /// Records that a report is sent.
    pub fn sent(&mut self, now: Time) {
        self.unanswered.push_back(now);
    }

    /// Records that the oldest unanswered report is answered. Returns the time
    /// that this took.
    pub fn answered(&mut self, now: Time) -> Option<Span> {
        self.answered = self.unanswered.pop_front()?;
        Some(now.since(self.answered))
    }

    /// Returns the earliest time at which the leader can have sent the newest
    /// message of the link.
    pub fn sent_after(&self) -> Time {
        self.answered
    }
}
