//! Monotonic clocks of the process and of the machine.

use {
    catkin::types::{Span, Time},
    nix::time::{ClockId, clock_gettime},
    std::time::{Duration, Instant},
};

/// Clock that reads the time since it was created. Copies share the start.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        Time::default().after(Span::from(self.start.elapsed()))
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Clock that reads the time since the machine booted. Unlike
/// [`MonotonicClock`] it advances while the machine is suspended, as the clocks
/// of other machines do.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine booted.
    ///
    /// # Panics
    ///
    /// Panics if the system has no such clock.
    pub fn now(self) -> Time {
        let clock = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
        Time::default().after(Span::from(Duration::from(clock)))
    }
}
