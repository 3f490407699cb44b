//! Times that leases depend on.

use crate::{config::Policy, types::Span};

/// Times that leases depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Time to live of a lease.
    pub ttl: Span,
    /// Time between two renewals.
    pub period: Span,
    /// Time without an answer after which a target counts as lost.
    pub patience: Span,
    /// Time between two questions to another gateway.
    pub ask: Span,
    /// Longest deadline of work in progress.
    pub deadline: Span,
    /// Time for which a VM must be missing from the list if this process
    /// never saw it listed.
    pub lag: Span,
    /// Largest difference of two clock rates, as a share.
    pub margin: f64,
}

impl Timings {
    /// Returns the longest time that a lease can last on this VM's clock.
    pub fn longest(&self) -> Span {
        self.ttl.scale(1.0 + self.margin)
    }

    /// Returns the shortest time that a lease can last on this VM's clock.
    pub fn shortest(&self) -> Span {
        self.ttl.saturating_sub(self.ttl.scale(self.margin))
    }
}

impl From<&Policy> for Timings {
    fn from(policy: &Policy) -> Self {
        Self {
            ttl: policy.lease_ttl,
            period: policy.lease_period,
            patience: policy.lease_period.scale(2.5),
            ask: policy.lease_period.scale(0.25),
            deadline: policy.deadline,
            lag: Span::from_secs(30),
            margin: policy.clock_margin.as_f64(),
        }
    }
}

impl Default for Timings {
    fn default() -> Self {
        Self::from(&Policy::default())
    }
}
