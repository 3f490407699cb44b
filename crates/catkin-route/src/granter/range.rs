//! Ranges of keys as the leader sees them.

use {
    crate::{directory::Incarnation, owners::Row},
    catkin::types::{ConnId, Time},
};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The owner holds the keys, or will be granted them.
    Held,
    /// The owner is asked to release the keys.
    Releasing,
    /// No target may hold the keys from the given time on.
    Unowned(Time),
    /// A record with a new owner is being written to the store.
    Writing,
}

#[derive(Clone, Debug)]
pub(super) struct Range {
    pub(super) row: Row,
    pub(super) phase: Phase,
    /// Latest time at which a lease of the owner expires.
    pub(super) expiry: Time,
    /// Latest expiry of a grant of this leader that was never answered. The
    /// owner may carry it out after a release.
    pub(super) late_expiry: Time,
    /// Latest expiry of a grant that an earlier leader may have sent. The owner
    /// refuses it once it has seen this leader's fence.
    pub(super) earlier_expiry: Time,
    pub(super) next_send: Time,
    /// Ticket of the command in progress.
    pub(super) pending: Option<u64>,
    /// Sum of the weights of the commands that failed in a row.
    pub(super) failure_weight: u32,
    /// Time of the first of the grants that were refused in a row.
    pub(super) refused_since: Option<Time>,
    /// Whether the owner has acknowledged a grant of this leader.
    pub(super) granted: bool,
    /// The next owner, if the keys are being moved.
    pub(super) dest: Option<Incarnation>,
    /// When the keys moved to this owner, if they came by a move.
    pub(super) moved_at: Option<Time>,
    /// Since when the connection that carried this fence is closed. Another
    /// process with the owner's id may run at the other end of the next one,
    /// which must not get this fence, so the range waits for a higher one.
    pub(super) disconnected_at: Option<Time>,
    /// Connection that carried this fence. The fence goes on no other one: a
    /// later process with the owner's id may run at the other end of that.
    pub(super) conn: Option<ConnId>,
    /// When a connection for commands with this fence may last have been
    /// opened, until the owner is known to have run after that. A later process
    /// with the owner's id may hold the keys instead.
    pub(super) opened_at: Option<Time>,
}

impl Range {
    pub(super) fn is_disconnected(&self) -> bool {
        self.phase == Phase::Held && self.pending.is_none() && self.disconnected_at.is_some()
    }

    /// Returns when all leases that may have been granted to the owner have expired.
    pub(super) fn last_expiry(&self) -> Time {
        self.expiry.max(self.late_expiry).max(self.earlier_expiry)
    }

    /// Binds the fence to the connection on which it goes out.
    pub(super) fn bind(&mut self, now: Time, conn: ConnId) {
        if self.conn.is_none() {
            self.conn = Some(conn);
            self.opened_at = Some(now);
        }
    }

    /// Raises the fence of the same owner. The new fence may be sent on a new
    /// connection: only the owner or its successor can get it.
    pub(super) fn raise_fence(&mut self, now: Time, fence: u64) {
        self.row.fence = fence;
        self.phase = Phase::Writing;
        self.granted = false;
        self.disconnected_at = None;
        self.conn = None;
        self.opened_at = Some(now);
    }
}
/// Returns the range of all keys without an owner, which is the initial state
/// of a service and the default of the fields of other ranges.
pub(super) fn empty_range() -> Range {
    Range {
        row: Row { from: 0, to: u16::MAX, target: "".into(), started: 0, fence: 0, handover: None },
        phase: Phase::Unowned(Time::default()),
        expiry: Time::default(),
        late_expiry: Time::default(),
        earlier_expiry: Time::default(),
        next_send: Time::default(),
        pending: None,
        failure_weight: 0,
        refused_since: None,
        granted: false,
        dest: None,
        moved_at: None,
        disconnected_at: None,
        conn: None,
        opened_at: None,
    }
}

/// Splits a range so that one piece has exactly the given keys.
pub(super) fn split(range: Range, from: u16, to: u16) -> Vec<Range> {
    let bounds = [
        (range.row.from, from.checked_sub(1)),
        (from, Some(to)),
        (to.saturating_add(1), (to < range.row.to).then_some(range.row.to)),
    ];
    let piece = |(from, to): (u16, Option<u16>)| {
        let to = to.filter(|to| from <= *to && *to >= range.row.from)?;
        let mut piece = range.clone();
        (piece.row.from, piece.row.to) = (from, to);
        Some(piece)
    };
    bounds.into_iter().filter_map(piece).collect()
}
/// Merges neighbouring ranges that one target holds. The merged range gets the
/// higher of their fences: no other target had any of its keys with that one,
/// so the range is renewed at once, whenever the record is written. Both fences
/// went on the same connection.
pub(super) fn merge(now: Time, ranges: Vec<Range>) -> Vec<Range> {
    let mut merged: Vec<Range> = Vec::with_capacity(ranges.len());
    for range in ranges {
        let stable =
            |s: &Range| s.pending.is_none() && s.phase == Phase::Held && s.granted && s.failure_weight == 0;
        let can_merge = merged.last().is_some_and(|last| {
            last.row.incarnation() == range.row.incarnation()
                && last.conn == range.conn
                && last.row.to.checked_add(1) == Some(range.row.from)
                && stable(last)
                && stable(&range)
        });
        match merged.last_mut() {
            Some(last) if can_merge => {
                last.row.to = range.row.to;
                last.row.fence = last.row.fence.max(range.row.fence);
                last.row.handover = None;
                last.expiry = last.expiry.max(range.expiry);
                last.late_expiry = last.late_expiry.max(range.late_expiry);
                last.earlier_expiry = last.earlier_expiry.max(range.earlier_expiry);
                last.moved_at = last.moved_at.max(range.moved_at);
                last.opened_at = last.opened_at.max(range.opened_at);
                last.next_send = now;
            }
            _ => merged.push(range),
        }
    }
    merged
}
