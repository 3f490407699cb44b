//! The leader's thresholds, from the counts of all processes.

use {
    super::{FleetShares, Report, Shares, Threshold},
    catkin::types::{Span, Time},
    std::{collections::BTreeMap, sync::Arc},
};

/// Memory of a threshold that follows the counts of all processes.
const MEMORY: Span = Span::from_millis(300);

/// Mean wait from which on requests are refused, as a multiple of the latency
/// objective. A request may wait for half of it in its process.
const WAIT_MAX: f64 = 0.35;

/// Thresholds of all services. Their size depends on the services and ranks only.
#[derive(Clone, Debug, Default)]
pub struct FleetAdmission {
    services: BTreeMap<Arc<str>, Threshold>,
}

impl FleetAdmission {
    /// Adds the counts of a process. `may_refuse` returns whether waits show that
    /// a service as a whole has too little room.
    pub fn record(&mut self, now: Time, report: &Report, may_refuse: impl Fn(&str) -> bool) {
        for (service, counts) in report {
            let threshold =
                self.services.entry(service.clone()).or_insert_with(|| Threshold::new(MEMORY, WAIT_MAX));
            counts.iter().for_each(|counts| threshold.add(counts));
        }
        for (service, threshold) in &mut self.services {
            if threshold.is_due(now) {
                threshold.step(now, may_refuse(service));
            }
        }
    }

    /// Returns the shares of services of which not all requests are admitted.
    pub fn shares(&self, now: Time) -> FleetShares {
        let limited = |(service, threshold): (&Arc<str>, &Threshold)| -> Option<(Arc<str>, Shares)> {
            let shares = threshold.shares();
            (!shares.is_open()).then(|| (service.clone(), shares))
        };
        FleetShares { clock: now.as_micros(), services: self.services.iter().filter_map(limited).collect() }
    }
}
