//! What a target announces in its answers, beside their content.

use {crate::rate::RequestRate, catkin::types::Time};

/// Announcements of a target that are in force.
#[derive(Clone, Debug, Default)]
pub struct Announced {
    limit: Option<NamedLimit>,
}

#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: RequestRate,
    /// When an answer last named it.
    named_at: Time,
}

impl Announced {
    /// Returns the limit on the requests of all processes, if the target names
    /// one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Records whether an answer to a request that was sent at `sent_at` named a
    /// limit. Only a later request than the last that named one shows that it is
    /// over: answers overtake each other on several connections. Returns whether
    /// the limit has changed.
    pub fn record_limit(&mut self, now: Time, limit: Option<RequestRate>, sent_at: Time) -> bool {
        let last = self.limit();
        match limit {
            Some(rate) => self.limit = Some(NamedLimit { rate, named_at: now }),
            None => self.limit = self.limit.filter(|limit| sent_at <= limit.named_at),
        }
        last != self.limit()
    }
}
