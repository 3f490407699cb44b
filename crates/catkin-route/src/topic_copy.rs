//! A process's copy of a topic: its position, and the records that it forwards.
//!
//! Load pattern: changes of the leader overtake a slow listing of the store, and
//! records are written while the store lists. The process then knows more than
//! its position says, and gets records that change nothing for it. A process
//! behind it needs them, so they are kept: whoever is brought up to date from a
//! copy has every record up to its position.

use crate::backlog::{Backlog, Change};

/// Position in a topic, and the records that are kept for other processes.
#[derive(Clone, Debug, Default)]
pub struct TopicCopy {
    next_offset: Option<u64>,
    /// Highest position that was ever known.
    position_max: u64,
    backlog: Backlog,
    /// Whether the newest record of each key is kept.
    is_complete: bool,
    /// Whether the state may hold records from the position on.
    may_be_ahead: bool,
}

impl TopicCopy {
    /// Returns the offset of the next record; `None` before the first complete
    /// listing and after a reset.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Clears the position, so that the topic is listed again.
    pub fn reset(&mut self) {
        self.next_offset = None;
    }

    /// Sets the position after a complete listing, and discards earlier changes.
    /// Returns `false`, and changes nothing, if a position became known while
    /// the listing was on its way: the listing may be older.
    pub fn list(&mut self, end: u64) -> bool {
        if self.next_offset.is_some() {
            return false;
        }
        self.backlog.reset(end);
        self.is_complete = true;
        self.next_offset = Some(end);
        self.position_max = self.position_max.max(end);
        self.may_be_ahead = true;
        true
    }

    /// Returns whether a state at an offset holds every record that was ever
    /// known here, also before a reset. Another process may be behind: its state
    /// would bring a removed key back.
    pub fn covers(&self, to: u64) -> bool {
        to >= self.position_max
    }

    /// Returns whether records that change nothing for this process must be kept.
    pub fn may_be_ahead(&self) -> bool {
        self.may_be_ahead
    }

    /// Keeps a record for other processes that has changed the state.
    pub fn add(&mut self, change: Change) {
        self.backlog.append(change);
    }

    /// Keeps a record for other processes that has not changed the state. The
    /// value that is kept for its key, if there is one, is at least as new.
    pub fn add_known(&mut self, change: Change) {
        let value = self.backlog.get(&change.key).map(|kept| kept.value.clone());
        self.backlog.append(Change { value: value.unwrap_or(change.value), ..change });
    }

    /// Discards the kept records before an offset, as one of them is missing:
    /// processes that need them read the store.
    pub fn forget_before(&mut self, offset: u64) {
        self.backlog.reset(offset);
        self.is_complete = false;
    }

    /// Records that everything before offset `to` was read. `end` is the end of
    /// the topic at that time, if it is known. Returns whether the copy was
    /// current at that time; an answer of the store has a largest size.
    pub fn advance(&mut self, to: u64, end: Option<u64>) -> bool {
        self.next_offset = Some(to);
        self.position_max = self.position_max.max(to);
        if end.is_some_and(|end| end <= to) {
            self.may_be_ahead = false;
        }
        end.is_none_or(|end| end <= to)
    }

    /// Returns the position and the changes from an offset on, or `None` if some
    /// of them are not kept.
    pub fn since(&self, from: u64) -> Option<(u64, Vec<Change>)> {
        let to = self.next_offset.filter(|to| from <= *to)?;
        Some((to, self.backlog.since(from)?))
    }

    /// Returns the position and the newest change of each key, for a process
    /// without a position in a topic all of whose keys are kept, or `None` if one
    /// of them may be missing: the process would take that for a removal.
    pub fn newest(&self) -> Option<(u64, Vec<Change>)> {
        if !self.is_complete {
            return None;
        }
        Some((self.next_offset?, self.backlog.newest()?))
    }
}
