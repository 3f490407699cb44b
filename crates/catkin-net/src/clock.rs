//! The process's monotonic clock.

use {
    catkin::types::{Span, Time},
    std::time::Instant,
};

/// Reads the time since the process made it. Copies share the start.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Monotonic {
    /// Starts a clock.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the reading.
    pub fn now(&self) -> Time {
        Time::default().after(Span::from(self.start.elapsed()))
    }
}

impl Default for Monotonic {
    fn default() -> Self {
        Self::new()
    }
}
