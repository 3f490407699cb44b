//! Durations that leases depend on.

use crate::{config::Policy, types::Span};

const MILLION: u64 = 1_000_000;

/// Durations that leases depend on, from the policy of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timings {
    /// Lease duration.
    pub ttl: Span,
    /// Time between two renewals.
    pub renew_period: Span,
    /// Time without an answer after which a target counts as unreachable.
    pub target_timeout: Span,
    /// Time between two queries to other gateways.
    pub query_period: Span,
    /// Longest deadline of a request that may still run.
    pub max_deadline: Span,
    /// Time for which a VM that was listed must be missing from the list to
    /// count as removed.
    pub list_absence: Span,
    /// As `list_absence`, for a VM that this process never saw listed.
    pub list_lag: Span,
    /// Margin: the largest difference of two clock rates, in parts per million.
    pub margin_ppm: u32,
}

impl Timings {
    /// Returns the longest time on this VM's clock in which a span passes on
    /// the clock of a target.
    pub fn max_local_span(&self, span: Span) -> Span {
        span + self.margin(span)
    }

    /// Returns the shortest time on this VM's clock in which a span passes on
    /// the clock of a target.
    pub fn min_local_span(&self, span: Span) -> Span {
        span.saturating_sub(self.margin(span))
    }

    /// Returns twice the margin of a span. One margin is not enough for a slow
    /// clock, because `span / (1 - margin) > span * (1 + margin)`.
    fn margin(&self, span: Span) -> Span {
        let micros = span.as_micros().saturating_mul(2 * u64::from(self.margin_ppm)).div_ceil(MILLION);
        Span::from_micros(micros)
    }
}

impl From<&Policy> for Timings {
    fn from(policy: &Policy) -> Self {
        Self {
            ttl: policy.lease_ttl,
            renew_period: policy.lease_period,
            target_timeout: policy.lease_period.scale(2.5),
            query_period: policy.lease_period.scale(0.25),
            max_deadline: policy.deadline,
            list_absence: Span::from_secs(1),
            list_lag: Span::from_secs(30),
            margin_ppm: (policy.clock_margin.as_f64() * MILLION as f64).ceil() as u32,
        }
    }
}

impl Default for Timings {
    fn default() -> Self {
        Self::from(&Policy::default())
    }
}
