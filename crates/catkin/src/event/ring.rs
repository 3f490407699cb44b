//! Bounded ring buffer of events.

use {
    super::{Clock, Kind, Timestamp, WallTime},
    crate::types::{Offset, VmId},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// An event of one process.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{at} {vm} boot {boot} offset {offset}: {kind}")]
pub struct Event {
    /// Hybrid logical time of the event.
    pub at: Timestamp,
    /// VM of the process.
    pub vm: VmId,
    /// Incarnation of the process.
    pub boot: u64,
    /// Number of the event in the process, from 0.
    pub number: u64,
    /// Offset of the next record that the process reads.
    pub offset: Offset,
    /// Kind of the event with its data.
    #[serde(flatten)]
    pub kind: Kind,
}

/// A range of the events of a ring.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// Number of the oldest event that the ring holds, which is not the first of
    /// `events` if the page starts later. All earlier ones were dropped.
    pub first: u64,
    /// Number that the next event gets.
    pub next: u64,
    /// Events in the order of their numbers.
    pub events: Vec<Event>,
}

/// The most recent events of a process.
#[derive(Clone, Debug)]
pub struct Ring {
    vm: VmId,
    boot: u64,
    limit: usize,
    clock: Clock,
    dropped: u64,
    events: VecDeque<Event>,
}

impl Ring {
    /// Creates a ring that holds up to `limit` events.
    pub fn new(vm: VmId, boot: u64, limit: usize) -> Self {
        Self { vm, boot, limit, clock: Clock::new(), dropped: 0, events: VecDeque::new() }
    }

    /// Appends an event and returns its timestamp. A full ring drops its oldest
    /// event.
    pub fn push(&mut self, wall: WallTime, offset: Offset, kind: Kind) -> Timestamp {
        let at = self.clock.stamp(wall);
        let event =
            Event { at, vm: self.vm.clone(), boot: self.boot, number: self.next_number(), offset, kind };
        self.events.push_back(event);
        if self.events.len() > self.limit {
            self.events.pop_front();
            self.dropped += 1;
        }
        at
    }

    /// Returns the timestamp for a message to send.
    pub fn stamp(&mut self, wall: WallTime) -> Timestamp {
        self.clock.stamp(wall)
    }

    /// Ensures that the next timestamp is later than `remote`, the timestamp of a
    /// received message.
    pub fn observe(&mut self, remote: Timestamp) {
        self.clock.observe(remote);
    }

    /// Returns the number of events that were dropped from the full ring.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number that the next event gets.
    pub fn next_number(&self) -> u64 {
        self.dropped + self.events.len() as u64
    }

    /// Returns up to `max` events whose number is at least `from`.
    pub fn page(&self, from: u64, max: usize) -> EventPage {
        let skip = usize::try_from(from.saturating_sub(self.dropped)).unwrap_or(usize::MAX);
        let events = self.events.iter().skip(skip).take(max).cloned().collect();
        EventPage { first: self.dropped, next: self.next_number(), events }
    }
}
