//! Pace of one process at a target that bounds the requests of all processes.
//!
//! Load pattern: a target names a limit of a few requests a second, and dozens
//! of processes learn of it with their next answers. Some have many requests for
//! it all the time, others none for a while and then many at once.
//!
//! Each process gets an even share of the limit, as slots in time. The first
//! slots of the processes are spread, and a slot expires soon, so that processes
//! that had no requests for a while do not all send at the same moment.
//!
//! Nothing marks the same moment for all processes when a target names a limit,
//! so [`Pace`] spreads them at random. Where they know such a moment, and their
//! places among each other, each slot of a [`SlotGrid`] belongs to one process.

use {
    crate::rate::RequestRate,
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
};

/// Share of the limit that all processes together use. The rest is for requests
/// that are on their way when the limit changes, and for unequal estimates of the
/// number of processes.
const LIMIT_SHARE: f64 = 0.8;

/// Time after which an unused slot expires.
const SLOT_TTL: Span = Span::from_millis(1_000);

/// Slots of one process at one target.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    limit: RequestRate,
    /// Last slot that was used, or when the limit became known.
    start: Time,
    /// Intervals from then to the next slot.
    phase: f64,
}

impl Pace {
    /// Starts with the limit that a target has named. `phase`, between 0 and 1,
    /// places the first slot of this process among those of all processes.
    pub fn new(now: Time, limit: RequestRate, phase: f64) -> Self {
        Self { limit, start: now, phase }
    }

    /// Replaces the limit.
    #[must_use]
    pub fn with_limit(self, limit: RequestRate) -> Self {
        Self { limit, ..self }
    }

    /// Returns the limit that the target has named.
    pub fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Returns the time between two slots of this process.
    fn interval(&self, peers: u32) -> Span {
        self.fleet_interval().scale(f64::from(peers.max(1)))
    }

    /// Returns the time between two slots of all processes.
    pub fn fleet_interval(&self) -> Span {
        self.limit.scale(LIMIT_SHARE).interval()
    }

    /// Returns the time of the next slot that has not expired; it is not later
    /// than `now` if a request may be sent.
    pub fn next_slot(&self, now: Time, peers: u32) -> Time {
        let interval = self.interval(peers);
        let slot = self.start.after(interval.scale(self.phase));
        let expired = now.before(SLOT_TTL).since(slot);
        slot.after(interval.scale((expired.as_secs_f64() / interval.as_secs_f64()).ceil()))
    }

    /// Uses the next slot.
    pub fn take(&mut self, now: Time, peers: u32) {
        *self = Self { start: self.next_slot(now, peers), phase: 1.0, ..*self };
    }
}

/// Place of a process among all processes that share something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Number of the process, below the count.
    pub index: u32,
    /// Number of processes, at least 1.
    pub count: u32,
}

/// Slots in time at one target, of which each belongs to one process.
///
/// When the number of processes changes, slots change hands, but their distance
/// stays: however the processes see that, there are no more slots than before
/// once they agree.
#[derive(Clone, Copy, Debug)]
pub struct SlotGrid {
    /// Moment that all processes know, from which the slots are counted both
    /// ways.
    pub anchor: Time,
    /// Time between two slots of all processes.
    pub step: Span,
    /// Place of this process.
    pub share: Share,
}

impl SlotGrid {
    /// Returns the time between two slots of this process.
    pub fn cycle(&self) -> Span {
        Span::from_micros(self.step.as_micros().saturating_mul(u64::from(self.share.count.max(1))))
    }

    /// Returns the first slot of this process that is not before a time.
    pub fn next_slot(&self, from: Time) -> Time {
        let cycle = self.cycle().as_micros().max(1);
        let offset = self.step.as_micros().saturating_mul(u64::from(self.share.index));
        let position = |time: Time| time.as_micros() % cycle;
        let phase = (position(self.anchor) + offset % cycle) % cycle;
        let wait = (phase + cycle - position(from)) % cycle;
        from.after(Span::from_micros(wait))
    }
}
