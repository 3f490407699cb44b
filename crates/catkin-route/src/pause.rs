//! Times in which a target wants no request of this process.
//!
//! Load pattern: a target turns a request away and says for how long it wants
//! none. Requests for its keys keep coming, and when the time is up, all
//! processes and all callers that were told to wait are ready to send at once.
//!
//! Nothing is sent before the end of the pause. Processes resume at different
//! moments after it, and each sends one request first: the others follow once it
//! is answered otherwise.

use catkin::types::{Span, Time};

/// Longest pause. A target that still wants nothing then says so again to the
/// first request.
const PAUSE_MAX: Span = Span::from_secs(60);

/// Part of the pause over which the processes resume.
const SPREAD: f64 = 0.25;

/// Longest time over which the processes resume.
const SPREAD_MAX: Span = Span::from_secs(2);

/// Pause at a target.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// When the target wants requests again.
    end: Time,
    /// When this process sends the first one.
    resume: Time,
    /// Whether no request was answered otherwise since.
    is_tentative: bool,
}

impl Pause {
    /// Starts with an answer that asks for a pause. `phase`, between 0 and 1,
    /// places this process among the others.
    pub fn new(now: Time, span: Span, phase: f64) -> Self {
        let span = span.min(PAUSE_MAX);
        let spread = span.scale(SPREAD).min(SPREAD_MAX);
        let end = now.after(span);
        Self { end, resume: end.after(spread.scale(phase)), is_tentative: true }
    }

    /// Returns the longer of two pauses: answers to requests that were sent
    /// before arrive late.
    #[must_use]
    pub fn or_longer(self, other: Option<Self>) -> Self {
        other.filter(|other| other.end > self.end).unwrap_or(self)
    }

    /// Returns the time for which the target gets no request.
    pub fn rest(&self, now: Time) -> Option<Span> {
        (now < self.resume).then(|| self.resume.since(now))
    }

    /// Returns whether the target gets one request only, until it is answered.
    pub fn is_tentative(&self) -> bool {
        self.is_tentative
    }

    /// Records that a request was answered without a pause, which shows that the
    /// target takes requests if it was sent after the end.
    pub fn request_answered(&mut self, sent_at: Time) {
        self.is_tentative &= sent_at < self.end;
    }
}
