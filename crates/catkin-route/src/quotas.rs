//! Quotas: shares of a busy target's slots that the leader allots to processes.
//!
//! With more processes than a target has slots, no process can tell from its
//! own requests whether the target has free slots, and all processes with
//! queued requests would send at once. The leader knows the requests of all
//! processes at a target. Where a target is busy it allots quotas, and a
//! process sends a request there only within its quota.

use {
    crate::{level::TargetLoad, rank::FILL_FACTOR_MAX},
    catkin::types::{Span, Time},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Age of its last report from which on a process is not counted.
const REPORT_AGE_MAX: Span = Span::from_secs(3);

/// Number of processes from which on quotas are used: with fewer, each process
/// may fill a part of a target's slots by itself.
const QUOTA_PROCESSES_MIN: usize = 17;

/// The quota of a process at a busy target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetQuota {
    /// Id of the busy target.
    pub target: Arc<str>,
    /// Number of requests that the process may send.
    pub quota: u32,
    /// Queue length: queued requests of all processes for the target.
    pub queue_length: u32,
}

/// Counts by the id of a target.
pub type Counts = Vec<(Arc<str>, u32)>;

/// The last report of a process, and the quotas since.
#[derive(Clone, Debug, Default)]
struct Report {
    received_at: Time,
    /// Requests of the process in flight at targets.
    in_flight: Counts,
    /// Requests of the process that are queued for targets.
    queued: Counts,
    /// Quotas that the process got since the report.
    allotted: Counts,
    /// Requests that were refused with a time to return, which has not come.
    promised: Counts,
}

/// The leader's view of the requests of all processes.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    reports: BTreeMap<Arc<str>, Report>,
    /// Requests in flight at each target plus quotas that were allotted since.
    totals: HashMap<Arc<str>, u32>,
    /// Queued requests for each target.
    queue_lengths: HashMap<Arc<str>, u32>,
    /// Refused requests that will return, by target.
    promised: HashMap<Arc<str>, u32>,
}

fn add(sums: &mut HashMap<Arc<str>, u32>, counts: &Counts) {
    for (id, count) in counts {
        *sums.entry(id.clone()).or_default() += count;
    }
}

fn subtract(sums: &mut HashMap<Arc<str>, u32>, counts: &Counts) {
    for (id, count) in counts {
        if let Some(sum) = sums.get_mut(id) {
            *sum = sum.saturating_sub(*count);
        }
    }
}

impl Quotas {
    /// Replaces the report of a process, and removes processes whose last
    /// report is too old. Returns the number of processes.
    pub fn report(&mut self, now: Time, vm: &Arc<str>, in_flight: Counts, queued: Counts) -> usize {
        add(&mut self.totals, &in_flight);
        add(&mut self.queue_lengths, &queued);
        let promised = self.reports.get_mut(vm).map(|old| std::mem::take(&mut old.promised));
        let promised = promised.unwrap_or_default();
        let report = Report { received_at: now, in_flight, queued, allotted: Vec::new(), promised };
        let old = self.reports.insert(vm.clone(), report);
        let removed =
            self.reports.extract_if(.., |_, report| now.since(report.received_at) >= REPORT_AGE_MAX);
        for old in old.into_iter().chain(removed.map(|(_, report)| report)) {
            subtract(&mut self.totals, &old.in_flight);
            subtract(&mut self.totals, &old.allotted);
            subtract(&mut self.queue_lengths, &old.queued);
            subtract(&mut self.promised, &old.promised);
        }
        self.promised.retain(|_, count| *count > 0);
        self.totals.retain(|_, total| *total > 0);
        self.queue_lengths.retain(|_, count| *count > 0);
        self.reports.len()
    }

    /// Replaces the refused requests of a process that will return. Returns how many
    /// all processes have, for the targets for which this one has queued or refused
    /// some: with them the next one that is refused is told a time at which the
    /// target has room.
    pub fn report_promised(&mut self, vm: &str, promised: Counts) -> Counts {
        let Some(report) = self.reports.get_mut(vm) else { return Vec::new() };
        subtract(&mut self.promised, &report.promised);
        add(&mut self.promised, &promised);
        report.promised = promised;
        let mut ids: Vec<&Arc<str>> =
            report.queued.iter().chain(&report.promised).map(|(id, _)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        let known = ids.into_iter().filter_map(|id| Some((id.clone(), *self.promised.get(id)?)));
        known.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the load of a target by the reports of all processes.
    pub fn load(&self, id: &str) -> TargetLoad {
        let total = self.totals.get(id).copied().unwrap_or(0);
        TargetLoad { total, queue_length: self.queue_lengths.get(id).copied().unwrap_or(0) }
    }

    /// Allots quotas to a process that has reported: the requests that it may
    /// send to targets for which it has queued some. `slots` returns the slots
    /// of targets for which quotas may be used.
    pub fn allot(&mut self, vm: &str, slots: impl Fn(&str) -> Option<u32>) -> Counts {
        if !self.use_quotas() {
            return Vec::new();
        }
        let Some(report) = self.reports.get_mut(vm) else { return Vec::new() };
        for (id, count) in &report.queued {
            let Some(slots) = slots(id) else { continue };
            let total = self.totals.entry(id.clone()).or_default();
            let requests_max = (FILL_FACTOR_MAX * f64::from(slots)) as u32;
            let quota = requests_max.saturating_sub(*total).min(*count);
            *total += quota;
            if quota > 0 {
                report.allotted.push((id.clone(), quota));
            }
        }
        report.allotted.clone()
    }

    /// Returns whether there are so many processes that each could overfill a
    /// target by itself.
    pub fn use_quotas(&self) -> bool {
        self.reports.len() >= QUOTA_PROCESSES_MIN
    }
}
