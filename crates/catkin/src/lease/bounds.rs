//! Bounds on the end of a lease, on the keeper's clock.

use {
    super::Timings,
    crate::{
        api::Reply,
        types::{Span, Time},
    },
};

/// Bounds on the end of the lease of one target process.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Bounds {
    /// Reading of the target's clock and when it was received.
    reading: Option<(Time, Time)>,
    /// Confirmed end of the lease, on the target's clock.
    until: Time,
    /// The lease has ended at this moment.
    upper: Time,
    /// The lease is valid before this moment.
    lower: Time,
}

impl Bounds {
    /// Makes the bounds for a new process, which has no lease.
    pub(super) fn void(now: Time) -> Self {
        Self { upper: now, ..Self::default() }
    }

    pub(super) fn upper(&self) -> Time {
        self.upper
    }

    pub(super) fn lower(&self) -> Time {
        self.lower
    }

    /// Takes the clock reading of any answer.
    pub(super) fn read(&mut self, now: Time, clock: Time) {
        if self.reading.is_none_or(|(old, _)| clock >= old) {
            self.reading = Some((clock, now));
        }
    }

    /// Returns the end to state in a renewal that is sent now.
    pub(super) fn renew(&mut self, timings: &Timings) -> Option<Time> {
        let (clock, received) = self.reading?;
        self.upper = self.upper.max(received.after(timings.longest(timings.ttl)));
        Some(clock.after(timings.ttl))
    }

    /// Takes the answer to an accepted command. Returns whether the lease may
    /// have lapsed since the answer before.
    ///
    /// The target refuses all older commands from now on, so the answer alone
    /// gives the bounds.
    pub(super) fn accept(&mut self, now: Time, sent: Time, reply: &Reply, timings: &Timings) -> bool {
        let lapsed = reply.clock >= self.until;
        let left = reply.until.since(reply.clock);
        self.until = reply.until;
        self.upper = now.after(timings.longest(left));
        self.lower = if left == Span::ZERO { Time::default() } else { sent.after(timings.shortest(left)) };
        lapsed
    }
}
