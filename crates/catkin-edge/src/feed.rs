//! Records of a topic as this process knows them, from the store or from the
//! leader.
//!
//! The leader reads the store and passes changes on, so that the calls to the
//! store don't grow with the number of processes. All count by the offsets of
//! the store: a process that misses a record reads the store itself.

use {
    catkin::types::Time,
    catkin_route::backlog::{Backlog, Change},
    std::cell::{Cell, RefCell},
    tokio::sync::watch,
};

/// State of one topic.
#[derive(Debug)]
pub(crate) struct Feed {
    /// Topic of the store.
    pub(crate) topic: &'static str,
    next: Cell<Option<u64>>,
    fresh: Cell<Time>,
    backlog: RefCell<Backlog>,
    read: watch::Sender<u64>,
}

/// Changes between two offsets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    /// First offset that the batch covers.
    pub(crate) from: u64,
    /// Offset after the last one that it covers.
    pub(crate) to: u64,
    /// Records that changed something.
    pub(crate) changes: Vec<Change>,
}

impl Feed {
    /// Starts without any record.
    pub(crate) fn new(topic: &'static str) -> Self {
        Self {
            topic,
            next: Cell::new(None),
            fresh: Cell::default(),
            backlog: RefCell::default(),
            read: watch::Sender::new(0),
        }
    }

    /// Returns the offset of the next record.
    pub(crate) fn next(&self) -> Option<u64> {
        self.next.get()
    }

    /// Returns when the store was last known to have nothing newer.
    pub(crate) fn fresh(&self) -> Time {
        self.fresh.get()
    }

    /// Forgets the place, so that the newest records are read again.
    pub(crate) fn reset(&self) {
        self.next.set(None);
    }

    /// Notes that all records before an offset were read at a time.
    pub(crate) fn advance(&self, to: u64, at: Time) {
        self.next.set(Some(to));
        self.fresh.set(self.fresh.get().max(at));
        self.read.send_replace(to);
    }

    /// Starts again from a complete listing.
    pub(crate) fn restart(&self, to: u64, at: Time) {
        self.backlog.borrow_mut().restart(to);
        self.advance(to, at);
    }

    /// Keeps a change to be passed on.
    pub(crate) fn keep(&self, change: Change) {
        self.backlog.borrow_mut().keep(change);
    }

    /// Returns the changes from an offset on, unless some are not known.
    pub(crate) fn since(&self, from: u64) -> Option<Batch> {
        let to = self.next.get().filter(|to| from <= *to)?;
        let changes = self.backlog.borrow().since(from)?;
        Some(Batch { from, to, changes })
    }

    /// Returns a receiver that is told of each read.
    pub(crate) fn reads(&self) -> watch::Receiver<u64> {
        self.read.subscribe()
    }
}
