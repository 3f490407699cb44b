//! The process's clocks.

use {
    catkin::types::{Span, Time},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, Instant},
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

/// Reads the time since the machine's boot. Unlike [`Monotonic`] it goes on
/// while the machine is suspended, as the clocks of other machines do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Boot {
    /// Returns the reading.
    ///
    /// # Panics
    ///
    /// Panics if the system has no such clock.
    pub fn now(self) -> Time {
        let clock = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
        Time::default().after(Span::from(Duration::from(clock)))
    }
}
