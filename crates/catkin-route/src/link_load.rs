//! Decides whether the answer to a request can be sent over the link of the machine in
//! time.
//!
//! Load pattern: downloads of several hundred kilobytes at a machine with a link of
//! 10 Mbit/s, more of them than the link carries. Each further one makes all of them
//! later, until none arrives in time. Short requests come in between.
//!
//! Connections share a link about equally, so an answer waits for as many bytes of each
//! other one as it has itself: a short one hardly waits for downloads. What was sent of
//! the others already counts too, since further answers take their places. While the link
//! carries less than it can, the answers in progress wait for something else, such as
//! targets or slow callers, and nothing is refused.

use {
    crate::rate::LinkRate,
    catkin::types::{Size, Span, Time},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Time over which the bytes on the link are counted.
const WINDOW: Span = Span::from_secs(1);

/// Interval in which bytes are counted together.
const SLOT: Span = Span::from_millis(100);

/// Part of the rate of the link from which on it is the cause of delays. Heads,
/// acknowledgements and the traffic to targets and other processes are not counted.
const BUSY_SHARE: f64 = 0.7;

/// Time without a byte after which an answer waits for its caller, not for the link.
const CALLER_STALL: Span = Span::from_secs(1);

/// Weight of a new answer in the usual size of its route.
const SIZE_WEIGHT: f64 = 0.1;

/// Most routes whose sizes are known. Routes leave with configurations, which are few.
const ROUTES_MAX: usize = 1_000;

/// An answer that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerId(u64);

#[derive(Clone, Copy, Debug)]
struct Due {
    /// Size of the whole answer.
    bytes: u64,
    /// When the last bytes were written; `None` before the first ones.
    written_at: Option<Time>,
}

/// Answers that are to be sent over the link of this machine.
#[derive(Debug)]
pub struct LinkLoad {
    rate: LinkRate,
    sizes: HashMap<Arc<str>, f64>,
    due: HashMap<AnswerId, Due>,
    last_id: u64,
    /// Bytes that were written, by the start of their interval.
    written: VecDeque<(Time, u64)>,
}

impl LinkLoad {
    /// Starts without an answer and without a known size.
    pub fn new(rate: LinkRate) -> Self {
        Self { rate, sizes: HashMap::new(), due: HashMap::new(), last_id: 0, written: VecDeque::new() }
    }

    /// Counts the size of an answer to a request of a route.
    pub fn count_answer(&mut self, route: &Arc<str>, size: Size) {
        let bytes = size.as_bytes() as f64;
        if let Some(usual) = self.sizes.get_mut(route) {
            *usual += SIZE_WEIGHT * (bytes - *usual);
        } else if self.sizes.len() < ROUTES_MAX {
            self.sizes.insert(route.clone(), bytes);
        }
    }

    /// Returns the usual size of the answers of a route; 0 before the first one.
    pub fn usual_size(&self, route: &str) -> Size {
        Size::from_bytes(self.sizes.get(route).copied().unwrap_or(0.0) as u64)
    }

    /// Adds an answer with the usual size of a route.
    pub fn begin(&mut self, route: &str) -> AnswerId {
        self.last_id += 1;
        let (id, bytes) = (AnswerId(self.last_id), self.usual_size(route).as_bytes());
        self.due.insert(id, Due { bytes, written_at: None });
        id
    }

    /// Sets the size of an answer, once it is known.
    pub fn set_size(&mut self, id: AnswerId, size: Size) {
        if let Some(due) = self.due.get_mut(&id) {
            due.bytes = size.as_bytes();
        }
    }

    /// Records that a part of an answer was written.
    pub fn record_written(&mut self, now: Time, id: AnswerId, size: Size) {
        let bytes = size.as_bytes();
        if let Some(due) = self.due.get_mut(&id) {
            due.written_at = Some(now);
        }
        match self.written.back_mut() {
            Some((start, count)) if now.since(*start) < SLOT => *count += bytes,
            _ => self.written.push_back((now, bytes)),
        }
        while self.written.front().is_some_and(|(start, _)| now.since(*start) >= WINDOW) {
            self.written.pop_front();
        }
    }

    /// Removes an answer that was sent or is not sent any more.
    pub fn end(&mut self, id: AnswerId) {
        self.due.remove(&id);
    }

    /// Returns `None` if the answer to a request of a route can be sent by its deadline,
    /// otherwise the time after which it can.
    pub fn wait(&self, now: Time, route: &str, deadline: Time) -> Option<Span> {
        let size = self.usual_size(route).as_bytes();
        if size == 0 || !self.is_busy(now) {
            return None;
        }
        let is_sending =
            |due: &&Due| due.written_at.is_none_or(|written_at| now.since(written_at) < CALLER_STALL);
        let others: u64 = self.due.values().filter(is_sending).map(|due| due.bytes.min(size)).sum();
        let time = self.rate.time_for(Size::from_bytes(others + size));
        let late = time.saturating_sub(deadline.since(now));
        (!late.is_zero()).then_some(late)
    }

    fn is_busy(&self, now: Time) -> bool {
        let recent = self.written.iter().filter(|(start, _)| now.since(*start) < WINDOW);
        let bytes: u64 = recent.map(|(_, bytes)| bytes).sum();
        bytes as f64 >= BUSY_SHARE * self.rate.bytes_in(WINDOW).as_bytes() as f64
    }
}
