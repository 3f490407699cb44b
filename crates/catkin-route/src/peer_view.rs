//! What the process at the other end of a link knows, as the leader sees it.
//!
//! Load pattern: the leader's link is slower than the messages that it carries,
//! as after the loss of all machines, when every process asks for the full state
//! and for quotas at once. A report then arrives while answers to earlier ones
//! are still on their way. If it counted, the leader would send their content
//! again with each further report, and the link would never recover.

use serde::{Deserialize, Serialize};

/// Offsets of the next records that a process expects, by topic.
pub type NextOffsets = [Option<u64>; 2];

/// State of the process at the other end of a link.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Number of messages that were sent on the link.
    sent: u64,
    known: Known,
}

/// What a process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Offset of its table of owners.
    pub table: Option<u64>,
    /// Offsets of the next records that it expects.
    pub next_offsets: NextOffsets,
    /// Version of the levels that it holds.
    pub levels: Option<u64>,
}

impl PeerView {
    /// Applies a report of the process, which has received a number of messages
    /// on the link. The report counts only if none is on its way: otherwise the
    /// process will know more than it says.
    pub fn report(&mut self, received: u64, known: Known) {
        if received == self.sent {
            self.known = known;
        }
    }

    /// Counts a message that is sent, and records what the process will know.
    pub fn note_sent(&mut self, known: Known) {
        self.sent += 1;
        self.known = known;
    }

    /// Returns what the process knows, or will know once it has received what was
    /// sent.
    pub fn known(&self) -> Known {
        self.known
    }
}
