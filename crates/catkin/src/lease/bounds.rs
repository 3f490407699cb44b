//! Bounds on the expiry of a lease, on the keeper's clock.

use {
    super::Timings,
    crate::{
        api::CommandReply,
        types::{Span, Time},
    },
};

/// Bounds on the expiry of the lease of one target incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Bounds {
    /// Newest reading of the target's clock, and when it was received.
    clock_reading: Option<(Time, Time)>,
    /// Confirmed expiry, on the target's clock.
    until: Time,
    /// Latest possible expiry.
    upper: Time,
    /// Earliest possible expiry.
    lower: Time,
}

impl Bounds {
    /// Returns the bounds for a new incarnation, which has no lease.
    pub(super) fn unleased(now: Time) -> Self {
        Self { upper: now, ..Self::default() }
    }

    pub(super) fn upper(&self) -> Time {
        self.upper
    }

    pub(super) fn lower(&self) -> Time {
        self.lower
    }

    /// Records the clock reading of an answer. Older readings are ignored.
    pub(super) fn note_clock(&mut self, now: Time, clock: Time) {
        if self.clock_reading.is_none_or(|(old, _)| clock >= old) {
            self.clock_reading = Some((clock, now));
        }
    }

    /// Returns the expiry to request in a renewal that is sent now.
    pub(super) fn renew(&mut self, timings: &Timings) -> Option<Time> {
        let (clock, received) = self.clock_reading?;
        self.upper = self.upper.max(received.after(timings.max_local_span(timings.ttl)));
        Some(clock.after(timings.ttl))
    }

    /// Sets the bounds from the answer to an accepted command. Returns whether
    /// the lease may have expired since the previous answer.
    ///
    /// After accepting a command the target refuses all older ones, so this
    /// answer alone gives the bounds.
    pub(super) fn accept(&mut self, now: Time, sent: Time, reply: &CommandReply, timings: &Timings) -> bool {
        let expired = reply.clock >= self.until;
        let remaining = reply.until.since(reply.clock);
        self.until = reply.until;
        self.upper = now.after(timings.max_local_span(remaining));
        self.lower = if remaining == Span::ZERO {
            Time::default()
        } else {
            sent.after(timings.min_local_span(remaining))
        };
        expired
    }
}
