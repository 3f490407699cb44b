//! Read position of this process in a topic of the store, and the recent
//! changes of the topic.
//!
//! The leader reads the store and forwards changes to the other processes, so
//! that the number of calls to the store does not grow with the number of
//! processes. All processes use the offsets of the store: one that misses a
//! change reads the store itself.

use {
    catkin::types::Time,
    catkin_route::backlog::{Backlog, Change},
    std::cell::{Cell, RefCell},
    tokio::sync::watch,
};

/// Read position and recent changes of one topic.
#[derive(Debug)]
pub(crate) struct Feed {
    /// Name of the topic in the store.
    pub(crate) topic: &'static str,
    next_offset: Cell<Option<u64>>,
    /// Since when the position is unknown.
    lost_at: Cell<Time>,
    checked_at: Cell<Time>,
    backlog: RefCell<Backlog>,
    position: watch::Sender<u64>,
}

/// Changes between two offsets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    /// First offset that the batch covers.
    pub(crate) from: u64,
    /// Offset after the last one that it covers.
    pub(crate) to: u64,
    /// Changes in offset order; records without effect are left out.
    pub(crate) changes: Vec<Change>,
}

impl Feed {
    /// Creates a feed with an unknown position.
    pub(crate) fn new(topic: &'static str, now: Time) -> Self {
        Self {
            topic,
            next_offset: Cell::new(None),
            lost_at: Cell::new(now),
            checked_at: Cell::default(),
            backlog: RefCell::default(),
            position: watch::Sender::new(0),
        }
    }

    /// Returns the offset of the next record; `None` before the first complete
    /// listing and after a reset.
    pub(crate) fn next_offset(&self) -> Option<u64> {
        self.next_offset.get()
    }

    /// Returns when this process last knew that the store had no newer record.
    pub(crate) fn checked_at(&self) -> Time {
        self.checked_at.get()
    }

    /// Clears the position, so that the newest records are listed again.
    pub(crate) fn reset(&self, now: Time) {
        self.next_offset.set(None);
        self.lost_at.set(now);
    }

    /// Returns since when the position is unknown, if it is.
    pub(crate) fn lost_since(&self) -> Option<Time> {
        self.next_offset.get().is_none().then(|| self.lost_at.get())
    }

    /// Returns whether a position was ever known.
    pub(crate) fn was_read(&self) -> bool {
        self.checked_at.get() > Time::default()
    }

    /// Records that everything before offset `to` was read at time `at`.
    pub(crate) fn advance(&self, to: u64, at: Time) {
        self.next_offset.set(Some(to));
        self.checked_at.set(self.checked_at.get().max(at));
        self.position.send_replace(to);
    }

    /// Sets the position after a complete listing and discards earlier changes.
    pub(crate) fn restart(&self, to: u64, at: Time) {
        self.backlog.borrow_mut().reset(to);
        self.advance(to, at);
    }

    /// Stores a change for other processes.
    pub(crate) fn add(&self, change: Change) {
        self.backlog.borrow_mut().append(change);
    }

    /// Returns the changes from an offset on, or `None` if some of them are not
    /// stored.
    pub(crate) fn since(&self, from: u64) -> Option<Batch> {
        let to = self.next_offset.get().filter(|to| from <= *to)?;
        let changes = self.backlog.borrow().since(from)?;
        Some(Batch { from, to, changes })
    }

    /// Returns the newest records that are stored, for a process without a
    /// position in a topic all of whose keys are stored.
    pub(crate) fn newest(&self) -> Option<Batch> {
        let to = self.next_offset.get()?;
        Some(Batch { from: 0, to, changes: self.backlog.borrow().newest()? })
    }

    /// Returns a receiver that is notified after each read.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.position.subscribe()
    }
}
