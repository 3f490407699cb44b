//! What the process at the other end of a link knows, as the leader sees it.
//!
//! Load pattern: the leader's link is slower than the messages that it carries,
//! as after the loss of all machines, when every process asks for the full state
//! and for quotas at once. A report then arrives while answers to earlier ones
//! are still on their way. If it counted, the leader would send their content
//! again with each further report, and the link would never recover.

/// Offsets of the next records that a process expects, by topic.
pub type NextOffsets = [Option<u64>; 2];

/// State of the process at the other end of a link.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    /// Number of states that were sent on the link.
    sent: u64,
    table: Option<u64>,
    next_offsets: NextOffsets,
}

impl PeerView {
    /// Applies a report of the process, which has received a number of states on
    /// the link. The report counts only if no state is on its way: otherwise the
    /// process will know more than it says.
    pub fn report(&mut self, received: u64, table: Option<u64>, next_offsets: NextOffsets) {
        if received == self.sent {
            (self.table, self.next_offsets) = (table, next_offsets);
        }
    }

    /// Counts a state that is sent, and records the offsets that the process
    /// will know: of the table and of its next records.
    pub fn note_sent(&mut self, table: Option<u64>, next_offsets: NextOffsets) {
        self.sent += 1;
        (self.table, self.next_offsets) = (table, next_offsets);
    }

    /// Returns the offset of the newest table that the process has or will have
    /// received.
    pub fn table(&self) -> Option<u64> {
        self.table
    }

    /// Returns the offsets of the next records that the process expects.
    pub fn next_offsets(&self) -> NextOffsets {
        self.next_offsets
    }
}
