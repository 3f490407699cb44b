//! Quotas: shares of a busy target's slots that the leader allots to processes.
//!
//! With more processes than a target has slots, no process can tell from its
//! own requests whether the target has free slots, and all processes with
//! queued requests would send at once. The leader knows the requests of all
//! processes at a target. Where a target is busy it allots quotas, and a
//! process sends a request there only within its quota.
//!
//! Where a service gets requests of several ranks, the last places in the queue of a
//! target are for the most urgent ones: one process seldom has requests of two ranks
//! for the same target, so the order in which it sends them decides little.

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

/// Requests at a target, as a multiple of its slots, up to which requests of less
/// urgent ranks get quotas: half of the queue.
const ORDINARY_FILL_MAX: f64 = f64::midpoint(1.0, FILL_FACTOR_MAX);

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

/// Room of a target for requests under quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    slots: u32,
    has_ranks: bool,
}

impl Room {
    /// Creates the room of a target whose requests all have the same rank.
    pub fn new(slots: u32) -> Self {
        Self { slots, has_ranks: false }
    }

    /// Sets whether its service gets requests of several ranks.
    #[must_use]
    pub fn with_ranks(self, has_ranks: bool) -> Self {
        Self { has_ranks, ..self }
    }

    /// Returns how many of the queued requests may be sent to the target, which has
    /// `total` requests. `urgent` of them have the most urgent rank.
    fn quota(self, total: u32, queued: u32, urgent: u32) -> u32 {
        let free = |fill: f64| ((fill * f64::from(self.slots)) as u32).saturating_sub(total);
        let urgent = free(FILL_FACTOR_MAX).min(if self.has_ranks { urgent } else { queued });
        free(ORDINARY_FILL_MAX).min(queued).max(urgent)
    }
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
    /// Those of the most urgent rank among them.
    urgent: Counts,
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
        let report = Report { received_at: now, in_flight, queued, promised, ..Report::default() };
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

    /// Records how many of the queued requests in the last report of a process have
    /// the most urgent rank.
    pub fn record_urgent(&mut self, vm: &str, urgent: Counts) {
        if let Some(report) = self.reports.get_mut(vm) {
            report.urgent = urgent;
        }
    }

    /// Returns the requests that a process has queued for targets, by its last report.
    pub fn queued(&self, vm: &str) -> &[(Arc<str>, u32)] {
        self.reports.get(vm).map_or(&[], |report| &report.queued)
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
    /// send to targets for which it has queued some. `room` returns the room of
    /// targets for which quotas may be used.
    pub fn allot(&mut self, vm: &str, room: impl Fn(&str) -> Option<Room>) -> Counts {
        if !self.use_quotas() {
            return Vec::new();
        }
        let Some(report) = self.reports.get_mut(vm) else { return Vec::new() };
        for (id, count) in &report.queued {
            let Some(room) = room(id) else { continue };
            let total = self.totals.entry(id.clone()).or_default();
            let urgent = report.urgent.iter().find(|(other, _)| other == id).map_or(0, |(_, urgent)| *urgent);
            let quota = room.quota(*total, *count, urgent);
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
