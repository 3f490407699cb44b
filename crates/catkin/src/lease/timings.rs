//! Times that leases depend on.

use crate::{config::Policy, types::Span};

const MILLION: u64 = 1_000_000;

/// Times that leases depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
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
    /// Time for which a VM must be missing from the list.
    pub absence: Span,
    /// Time for which a VM must be missing from the list if this process
    /// never saw it listed.
    pub lag: Span,
    /// Largest difference of two clock rates, in parts per million.
    pub margin: u32,
}

impl Timings {
    /// Returns the longest time on this VM's clock in which a span passes on
    /// the clock of a target.
    pub fn longest(&self, span: Span) -> Span {
        span + self.drift(span)
    }

    /// Returns the shortest time on this VM's clock in which a span passes on
    /// the clock of a target.
    pub fn shortest(&self, span: Span) -> Span {
        span.saturating_sub(self.drift(span))
    }

    /// Twice the margin covers a target whose clock is slow: a span divided
    /// by `1 - margin` is longer than one multiplied by `1 + margin`.
    fn drift(&self, span: Span) -> Span {
        let micros = span.as_micros().saturating_mul(2 * u64::from(self.margin)).div_ceil(MILLION);
        Span::from_micros(micros)
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
            absence: Span::from_secs(1),
            lag: Span::from_secs(30),
            margin: (policy.clock_margin.as_f64() * MILLION as f64).ceil() as u32,
        }
    }
}

impl Default for Timings {
    fn default() -> Self {
        Self::from(&Policy::default())
    }
}
