//! Load balancing for services without keys.
//!
//! [`TargetLoads`] holds what one VM knows about the load of the targets: its own
//! counts and the depths that keepers send. The report of a target about itself
//! can only make it look more loaded, except with [`Strategy::Reported`], which uses
//! only the reports. Random numbers are arguments.

use {
    crate::{
        api::Load,
        types::{Span, TargetId, Time, VmId},
        wire::LoadReport,
    },
    std::collections::BTreeMap,
};

/// Age from which depths and reports are outdated. Gateways send them once a
/// second, so that one lost datagram has no effect.
const SAMPLE_AGE_MAX: Span = Span::from_millis(2_500);
/// Time after which a cold target gets its full share of requests.
const RAMP_TIME: Span = Span::from_secs(2);
/// Share of requests with which a cold target starts.
const RAMP_SHARE_MIN: f64 = 0.2;
/// Consecutive failures from which a target is excluded for a while. A single
/// broken connection is weak evidence, three in a row are strong.
const FAILURES_MAX: u32 = 3;
/// Exclusion after [`FAILURES_MAX`] failures. Each further failure doubles it, at
/// most [`EXCLUSION_DOUBLINGS_MAX`] times.
const EXCLUSION_MIN: Span = Span::from_millis(200);
const EXCLUSION_DOUBLINGS_MAX: u32 = 5;

/// Strategy for choosing a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Strategy {
    /// The less loaded of two random targets, by own counts, the keepers' depths and
    /// the targets' reports.
    LeastOfTwo,
    /// The less loaded of two random targets, by the counts that all VMs exchange.
    /// For dispatch without keepers.
    Shared,
    /// A random target, as a baseline.
    Random,
    /// The less loaded of two random targets, by the targets' reports only, as a
    /// baseline.
    Reported,
}

/// A received count, with the requests of this VM on the target at that time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    count: u32,
    own: u32,
}

#[derive(Debug, Default)]
struct TargetLoad {
    cold_since: Option<Time>,
    own: u32,
    /// The target drains or leaves. This holds until the target is added again.
    closed: bool,
    /// The keeper reports that the target accepts no new work.
    keeper_closed: bool,
    depth: Option<Sample>,
    report: Option<Sample>,
    peers: BTreeMap<VmId, Sample>,
    failures: u32,
    excluded_until: Option<Time>,
}

/// Load of the targets of one service, as one VM knows it.
#[derive(Debug, Default)]
pub struct TargetLoads {
    rows: BTreeMap<TargetId, TargetLoad>,
}

impl TargetLoads {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a target or reopens it; an open one stays as it is. A target is cold when
    /// it has just started; it gets fewer requests at first.
    pub fn add(&mut self, now: Time, target: &TargetId, cold: bool) {
        if self.rows.get(target).is_some_and(|row| !row.closed) {
            return;
        }
        let row = self.rows.entry(target.clone()).or_default();
        row.cold_since = cold.then_some(now);
        row.closed = false;
        row.keeper_closed = false;
    }

    /// Removes a target and all that is known about it.
    pub fn remove(&mut self, target: &TargetId) {
        self.rows.remove(target);
    }

    /// Removes the targets for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&TargetId) -> bool) {
        self.rows.retain(|target, _| is_kept(target));
    }

    /// Closes a target that drains or leaves to new requests.
    pub fn close(&mut self, target: &TargetId) {
        if let Some(row) = self.rows.get_mut(target) {
            row.closed = true;
        }
    }

    /// Counts a request that this VM sends to a target.
    pub fn begin(&mut self, target: &TargetId) {
        if let Some(row) = self.rows.get_mut(target) {
            row.own += 1;
        }
    }

    /// Counts the end of a request of this VM. `failed` means that the target was
    /// unreachable, refused or did not answer.
    pub fn end(&mut self, now: Time, target: &TargetId, failed: bool) {
        let Some(row) = self.rows.get_mut(target) else { return };
        row.own = row.own.saturating_sub(1);
        if !failed {
            row.failures = 0;
            row.excluded_until = None;
            return;
        }
        row.failures += 1;
        if row.failures >= FAILURES_MAX {
            let doublings = (row.failures - FAILURES_MAX).min(EXCLUSION_DOUBLINGS_MAX);
            row.excluded_until = Some(now.after(EXCLUSION_MIN.scale(f64::from(1 << doublings))));
        }
    }

    /// Notes the depth that the keeper of a target sent.
    pub fn update_depth(&mut self, now: Time, report: &LoadReport) {
        let Some(row) = self.rows.get_mut(&report.target) else { return };
        row.depth = Some(Sample { at: now, count: report.depth, own: row.own });
        row.keeper_closed = !report.accepting;
    }

    /// Notes the number of requests that another VM has on a target.
    pub fn update_peer(&mut self, now: Time, peer: &VmId, target: &TargetId, count: u32) {
        let Some(row) = self.rows.get_mut(target) else { return };
        row.peers.insert(peer.clone(), Sample { at: now, count, own: row.own });
    }

    /// Notes a report that a target sent about itself.
    pub fn report(&mut self, now: Time, target: &TargetId, load: &Load) {
        let Some(row) = self.rows.get_mut(target) else { return };
        let at = now.before(load.age);
        row.report = Some(Sample { at, count: load.running, own: row.own });
        row.closed |= load.draining;
    }

    /// Returns the number of requests of this VM on a target.
    pub fn own(&self, target: &TargetId) -> u32 {
        self.rows.get(target).map(|row| row.own).unwrap_or_default()
    }

    /// Chooses a target. Returns `None` if all are closed.
    pub fn choose(&self, now: Time, strategy: Strategy, random: [u64; 2]) -> Option<TargetId> {
        self.choose_retry(now, strategy, random, &[])
    }

    /// Chooses a target for another attempt. The targets in `failed` are chosen only
    /// if there is no other.
    pub fn choose_retry(
        &self,
        now: Time,
        strategy: Strategy,
        random: [u64; 2],
        failed: &[TargetId],
    ) -> Option<TargetId> {
        let open: Vec<(&TargetId, &TargetLoad)> = self.rows.iter().filter(|(_, row)| row.is_open()).collect();
        let fresh = filter_or_all(&open, |(target, _)| !failed.contains(target));
        let healthy = match strategy {
            Strategy::Random | Strategy::Reported => fresh,
            Strategy::LeastOfTwo | Strategy::Shared => filter_or_all(&fresh, |(_, row)| row.is_healthy(now)),
        };
        let (first, second) = pick_two(healthy.len(), random)?;
        let score = |index: usize| healthy[index].1.score(now, strategy);
        let index = if score(second) < score(first) { second } else { first };
        Some(healthy[index].0.clone())
    }
}

impl TargetLoad {
    fn is_open(&self) -> bool {
        !self.closed && !self.keeper_closed
    }

    /// Returns whether a target is not excluded. After the exclusion has ended, one
    /// request at a time is sent until one succeeds.
    fn is_healthy(&self, now: Time) -> bool {
        self.excluded_until.is_none_or(|until| now >= until && self.own == 0)
    }

    fn score(&self, now: Time, strategy: Strategy) -> f64 {
        let load = match strategy {
            Strategy::Random => return 0.0,
            Strategy::Reported => {
                return self.report.map(|report| f64::from(report.count)).unwrap_or_default();
            }
            Strategy::LeastOfTwo => {
                self.own.max(self.current(now, self.depth)).max(self.current(now, self.report))
            }
            Strategy::Shared => self.own + self.peer_requests(now),
        };
        (f64::from(load) + 1.0) / self.ramp_share(now)
    }

    /// Returns a received count, corrected by the requests that this VM has started
    /// and ended since, or 0 if the count is outdated.
    fn current(&self, now: Time, sample: Option<Sample>) -> u32 {
        let fresh = sample.filter(|sample| now.since(sample.at) < SAMPLE_AGE_MAX);
        fresh.map(|sample| (sample.count + self.own).saturating_sub(sample.own)).unwrap_or_default()
    }

    fn peer_requests(&self, now: Time) -> u32 {
        let fresh = self.peers.values().filter(|sample| now.since(sample.at) < SAMPLE_AGE_MAX);
        fresh.map(|sample| sample.count).sum()
    }

    fn ramp_share(&self, now: Time) -> f64 {
        let Some(cold_since) = self.cold_since else { return 1.0 };
        let share = now.since(cold_since).as_secs_f64() / RAMP_TIME.as_secs_f64();
        share.clamp(RAMP_SHARE_MIN, 1.0)
    }
}

/// Returns the items for which `pass` holds, or all items if there are none.
fn filter_or_all<T: Clone>(items: &[T], pass: impl Fn(&T) -> bool) -> Vec<T> {
    let selected: Vec<T> = items.iter().filter(|item| pass(item)).cloned().collect();
    if selected.is_empty() { items.to_vec() } else { selected }
}

/// Returns two different indexes below `length`, or the same index twice if
/// `length` is 1. Returns `None` if it is 0.
fn pick_two(length: usize, random: [u64; 2]) -> Option<(usize, usize)> {
    let first = random[0].checked_rem(length as u64)? as usize;
    let Some(second) = random[1].checked_rem(length as u64 - 1) else { return Some((first, first)) };
    let second = second as usize;
    Some((first, if second >= first { second + 1 } else { second }))
}
