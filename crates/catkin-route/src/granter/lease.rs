//! Times of leases.

use catkin::types::{Span, Time};

/// Times of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Lease duration.
    pub duration: Span,
    /// Time between two renewals of a lease.
    pub renew_interval: Span,
    /// Added to the expiry of a lease for delays in the network and in timers.
    pub margin: Span,
    /// Factor by which the clock of a target that measures a lease may be
    /// slower.
    pub skew: f64,
}

/// Number of targets above which lease times are scaled; 512 targets receive
/// about 700 commands per second.
const SCALE_TARGETS_MIN: f64 = 512.0;

/// Largest factor on the times of leases.
const SCALE_FACTOR_MAX: f64 = 3.0;

impl LeaseTimes {
    /// Returns the times for a number of targets. With more targets each is
    /// renewed less often, so that the leader's work stays the same; a
    /// lost target then has a smaller part of the keys.
    #[must_use]
    pub fn scale_for(self, targets: usize) -> Self {
        let factor = (targets as f64 / SCALE_TARGETS_MIN).clamp(1.0, SCALE_FACTOR_MAX);
        Self {
            duration: self.duration.scale(factor),
            renew_interval: self.renew_interval.scale(factor),
            ..self
        }
    }

    /// Returns when a lease that was granted no later than now has expired.
    pub(super) fn expiry(&self, now: Time) -> Time {
        now.after(self.duration.scale(self.skew)).after(self.margin)
    }
}
