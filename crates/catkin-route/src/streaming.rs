//! Decides how much of an answer is held before it is forwarded, and how far an
//! answer is read ahead of its caller.
//!
//! Load pattern: downloads of several hundred kilobytes through machines with links
//! of 10 Mbit/s and 120 MB of memory, for callers of which some read slowly, next to
//! short requests. Held whole, an answer takes twice the time of its link, and those
//! of slow callers fill the memory.
//!
//! An answer that another attempt may replace is held whole up to a size; it is
//! forwarded from then on. An answer that is forwarded is read ahead of its caller by
//! the same size. A target aborts an answer that stays unread, so the distance grows
//! while nothing was read for a second, as long as the process has room for it.

use {
    crate::rate::LinkRate,
    catkin::types::{Size, Span, Time},
};

/// Time on the link of an answer that is held whole. Holding delays the answer by that
/// time; a download of average size (90 KB) passes a link of 10 Mbit/s in 72 ms.
const HOLD_TIME: Span = Span::from_millis(100);

/// Part of the bytes that the process may hold that one answer may take: as many
/// answers as a process has in progress must not fill half of it.
const HOLD_SHARE: u64 = 256;

/// Least size up to which an answer is held; most short answers are below.
const HOLD_BYTES_MIN: u64 = 16 << 10;

/// Time without a read after which an answer is read further ahead. Targets abort
/// answers that stay unread for some seconds.
const UNREAD_MAX: Span = Span::from_secs(1);

/// Most bytes by which an answer is read ahead. Larger ones than any download of the
/// first users are left to the speed of their callers.
const AHEAD_BYTES_MAX: u64 = 1 << 20;

/// Time in which some bytes of an answer must arrive.
pub const PROGRESS_TIME: Span = Span::from_secs(5);

/// Least number of bytes of an answer in [`PROGRESS_TIME`]: a target that sends a few
/// bytes at a time would keep connections for hours.
pub const PROGRESS_BYTES_MIN: u64 = 4 << 10;

/// Returns the size up to which answers that may be replaced are held whole, and by
/// which answers are read ahead. `limit` is the number of bytes that the process may
/// hold for all requests.
pub fn hold_size(link: LinkRate, limit: Size) -> Size {
    let size = link.bytes_in(HOLD_TIME).as_bytes().min(limit.as_bytes() / HOLD_SHARE);
    Size::from_bytes(size.max(HOLD_BYTES_MIN))
}

/// How far an answer is read ahead of its caller.
#[derive(Clone, Copy, Debug)]
pub struct ReadAhead {
    bound: u64,
    unread_since: Option<Time>,
}

impl ReadAhead {
    /// Starts with the usual distance.
    pub fn new(bound: Size) -> Self {
        Self { bound: bound.as_bytes(), unread_since: None }
    }

    /// Returns whether more of the answer may be read while `waiting` bytes of it wait
    /// for the caller. `has_room` is whether the process may hold more than it needs;
    /// otherwise, only the next bytes are read.
    pub fn may_read(&mut self, now: Time, waiting: Size, has_room: bool) -> bool {
        let waiting = waiting.as_bytes();
        if waiting == 0 || has_room && waiting < self.bound {
            self.unread_since = None;
            return true;
        }
        let since = *self.unread_since.get_or_insert(now);
        if has_room && waiting < AHEAD_BYTES_MAX && now.since(since) >= UNREAD_MAX {
            self.bound = (waiting * 2).min(AHEAD_BYTES_MAX);
            self.unread_since = None;
            return true;
        }
        false
    }
}

/// Whether an answer makes progress.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    since: Time,
    bytes: u64,
}

impl Progress {
    /// Starts at the head of an answer.
    pub fn new(now: Time) -> Self {
        Self { since: now, bytes: 0 }
    }

    /// Records the bytes of the answer that have arrived.
    pub fn record(&mut self, now: Time, bytes: u64) {
        if bytes >= self.bytes + PROGRESS_BYTES_MIN {
            *self = Self { since: now, bytes };
        }
    }

    /// Records that the answer was not read for a time, since its caller is slow.
    pub fn pause(&mut self, pause: Span) {
        self.since = self.since.after(pause);
    }

    /// Returns the time at which the answer counts as broken off.
    pub fn end(&self) -> Time {
        self.since.after(PROGRESS_TIME)
    }
}
