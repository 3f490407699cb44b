//! Read position of this process in a topic of the store, and the recent
//! changes of the topic.
//!
//! The leader reads the store and forwards changes to the other processes, so
//! that the number of calls to the store does not grow with the number of
//! processes. All processes use the offsets of the store: one that misses a
//! change reads the store itself.

use {
    catkin::types::Time,
    catkin_route::{backlog::Change, topic_copy::TopicCopy},
    std::cell::{Cell, RefCell},
    tokio::sync::watch,
};

/// Read position and recent changes of one topic.
#[derive(Debug)]
pub(crate) struct Feed {
    /// Name of the topic in the store.
    pub(crate) topic: &'static str,
    copy: RefCell<TopicCopy>,
    /// Since when the position is unknown.
    lost_at: Cell<Time>,
    checked_at: Cell<Time>,
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
            copy: RefCell::default(),
            lost_at: Cell::new(now),
            checked_at: Cell::default(),
            position: watch::Sender::new(0),
        }
    }

    /// Returns the offset of the next record; `None` before the first complete
    /// listing and after a reset.
    pub(crate) fn next_offset(&self) -> Option<u64> {
        self.copy.borrow().next_offset()
    }

    /// Returns when this process last knew that the store had no newer record.
    pub(crate) fn checked_at(&self) -> Time {
        self.checked_at.get()
    }

    /// Clears the position, so that the newest records are listed again.
    pub(crate) fn reset(&self, now: Time) {
        self.copy.borrow_mut().reset();
        self.lost_at.set(now);
    }

    /// Returns since when the position is unknown, if it is.
    pub(crate) fn lost_since(&self) -> Option<Time> {
        self.next_offset().is_none().then(|| self.lost_at.get())
    }

    /// Returns whether a position was ever known.
    pub(crate) fn was_read(&self) -> bool {
        self.checked_at.get() > Time::default()
    }

    /// Returns whether a state at an offset holds every record that was ever
    /// known, see [`TopicCopy::covers`].
    pub(crate) fn covers(&self, to: u64) -> bool {
        self.copy.borrow().covers(to)
    }

    /// Records that everything before offset `to` was read at time `at`, when
    /// the topic ended at `end`, if that is known.
    pub(crate) fn advance(&self, to: u64, end: Option<u64>, at: Time) {
        let is_current = self.copy.borrow_mut().advance(to, end);
        self.note_checked(to, if is_current { at } else { self.checked_at.get() });
    }

    /// Sets the position after a complete listing and discards earlier changes.
    /// Returns `false` if a position is known already.
    pub(crate) fn list(&self, end: u64, at: Time) -> bool {
        let is_listed = self.copy.borrow_mut().list(end);
        if is_listed {
            self.note_checked(end, at);
        }
        is_listed
    }

    fn note_checked(&self, to: u64, at: Time) {
        self.checked_at.set(self.checked_at.get().max(at));
        self.position.send_replace(to);
    }

    /// Keeps a record for other processes. `has_changed` says whether it has
    /// changed the state.
    pub(crate) fn add(&self, change: Change, has_changed: bool) {
        let mut copy = self.copy.borrow_mut();
        if has_changed { copy.add(change) } else { copy.add_known(change) }
    }

    /// Returns whether records that change nothing for this process must be
    /// kept, see [`TopicCopy::may_be_ahead`].
    pub(crate) fn may_be_ahead(&self) -> bool {
        self.copy.borrow().may_be_ahead()
    }

    /// Discards the kept changes before an offset.
    pub(crate) fn forget_before(&self, offset: u64) {
        self.copy.borrow_mut().forget_before(offset);
    }

    /// Returns the changes from an offset on, or `None` if some of them are not
    /// kept.
    pub(crate) fn since(&self, from: u64) -> Option<Batch> {
        let (to, changes) = self.copy.borrow().since(from)?;
        Some(Batch { from, to, changes })
    }

    /// Returns the newest records that are kept, for a process without a
    /// position in a topic all of whose keys are kept.
    pub(crate) fn newest(&self) -> Option<Batch> {
        let (to, changes) = self.copy.borrow().newest()?;
        Some(Batch { from: 0, to, changes })
    }

    /// Returns a receiver that is notified after each read.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.position.subscribe()
    }
}
