//! When a process calls a store again that it could not read.
//!
//! Load pattern: the store refuses the calls of hundreds of processes, or a machine
//! is cut off from everything for seconds. Each call has a cost, also a refused
//! one, so the delay after a refusal grows. A call without an answer takes its whole
//! time-out already, and one that could not be sent costs the store nothing; a
//! process that doubled its delay after these as well used old states for seconds
//! after it could reach the store again.

use catkin::types::{Span, Time};

/// Delay after a refused call; it doubles with each further refusal.
const REFUSED_DELAY_MIN: Span = Span::from_millis(200);

/// Longest such delay. Once the store is available again, it leaves time to
/// catch up before the bounds apply again 3 s later.
const REFUSED_DELAY_MAX: Span = Span::from_millis(1_400);

/// Delay after a call without an answer, which costs the store something. Together
/// with its time-out of 1.2 s and a read it stays under 2 s.
const UNANSWERED_DELAY: Span = Span::from_millis(400);

/// Delay after a call that was not sent.
const UNSENT_DELAY: Span = Span::from_millis(250);

/// Least time between two calls without an answer, also if the connection is closed
/// at once.
const UNANSWERED_INTERVAL_MIN: Span = Span::from_millis(1_000);

/// Least time between two attempts to connect.
const UNSENT_INTERVAL_MIN: Span = Span::from_millis(500);

/// Time for which no other read calls the store while one does. It covers the
/// time-out of a call.
const PROBE_TIME: Span = Span::from_millis(1_300);

/// Why a call has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The store answered that it did not carry it out.
    Refused,
    /// It was sent, and no answer arrived.
    Unanswered,
    /// It was not sent.
    Unsent,
}

/// Time of the next probe, and the delay after it if it is refused.
#[derive(Clone, Copy, Debug)]
struct Probe {
    at: Time,
    delay: Span,
    /// When the last probe began; the default time if there was none.
    began: Time,
}

/// Backoff while a store is unavailable. It is shared by all reads of a process,
/// and one at a time probes the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    probe: Option<Probe>,
    answered_at: Time,
}

impl Backoff {
    /// Returns whether the store has answered the last call.
    pub fn is_over(&self) -> bool {
        self.probe.is_none()
    }

    /// Returns whether a read may call the store now. If it is a probe, other reads
    /// wait for its end.
    pub fn claim(&mut self, now: Time) -> bool {
        let Some(probe) = &mut self.probe else { return true };
        if now < probe.at {
            return false;
        }
        probe.at = now.after(PROBE_TIME);
        probe.began = now;
        true
    }

    /// Returns the time until the next probe.
    pub fn rest(&self, now: Time) -> Span {
        self.probe.map_or(Span::ZERO, |probe| probe.at.since(now))
    }

    /// Records that the store has answered a call: all reads may call it.
    pub fn answered(&mut self, now: Time) {
        *self = Self { probe: None, answered_at: now };
    }

    /// Records that a call that began at a time has failed. One that began before
    /// the last answer says nothing of the store, and one that began before the last
    /// probe must not bring the next one forward: two reads would probe at a time
    /// from then on.
    pub fn failed(&mut self, now: Time, began: Time, failure: Failure) {
        let last_probe = self.probe.map_or(Time::default(), |probe| probe.began);
        if began < self.answered_at || began < last_probe {
            return;
        }
        let delay = self.probe.map_or(REFUSED_DELAY_MIN, |probe| probe.delay);
        let at = match failure {
            Failure::Refused => now.after(delay),
            Failure::Unanswered => now.after(UNANSWERED_DELAY).max(began.after(UNANSWERED_INTERVAL_MIN)),
            Failure::Unsent => now.after(UNSENT_DELAY).max(began.after(UNSENT_INTERVAL_MIN)),
        };
        let delay = match failure {
            Failure::Refused => delay.scale(2.0).min(REFUSED_DELAY_MAX),
            Failure::Unanswered | Failure::Unsent => delay,
        };
        self.probe = Some(Probe { at, delay, began: last_probe });
    }
}
