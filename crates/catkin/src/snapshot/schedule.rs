//! Decides when a VM writes a snapshot.

use {
    crate::types::{Offset, Span, Time, VmId},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Bounds that determine when a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduleLimits {
    /// Longest time between two snapshots. It must be a fraction of the retention
    /// time of the log.
    pub age_max: Span,
    /// Largest number of records that a starting VM reads after a snapshot.
    pub records_max: u64,
    /// Duration of an outage of the log after which a snapshot is due at once.
    pub outage_min: Span,
    /// Head start of each VM over the VM with the next rank.
    pub head_start: Span,
}

impl Default for ScheduleLimits {
    fn default() -> Self {
        Self {
            age_max: Span::from_secs(300),
            records_max: 20_000,
            outage_min: Span::from_secs(30),
            head_start: Span::from_secs(5),
        }
    }
}

/// State of the log as one VM sees it.
#[derive(Clone, Copy, Debug)]
pub struct LogView {
    /// Oldest offset that the log retains.
    pub first: Offset,
    /// Offset that the next append gets.
    pub head: Offset,
    /// Offset of the newest complete snapshot.
    pub newest: Option<Offset>,
    /// Whether the log is available.
    pub log_available: bool,
    /// Rank of this VM among the candidates for writing, from 0.
    pub rank: u64,
}

/// Decides when this VM writes a snapshot.
///
/// The VM with rank 0 writes as soon as a snapshot is due. Each other VM writes
/// only if no snapshot is complete when the head starts of the VMs before it have
/// passed. Two snapshots of the same state are harmless.
#[derive(Clone, Debug)]
pub struct Schedule {
    limits: ScheduleLimits,
    newest: Option<(Offset, Time)>,
    unavailable_since: Option<Time>,
    long_outage: bool,
    due_since: Option<Time>,
}

impl Schedule {
    /// Creates a schedule that knows no snapshot.
    pub fn new(limits: ScheduleLimits) -> Self {
        Self { limits, newest: None, unavailable_since: None, long_outage: false, due_since: None }
    }

    /// Returns whether this VM has to write a snapshot now. After `true` it
    /// returns `true` again only if no snapshot is complete after another head
    /// start.
    pub fn tick(&mut self, now: Time, view: &LogView) -> bool {
        self.observe(now, view);
        if !view.log_available || view.head == Offset::default() {
            return false;
        }
        if !self.long_outage && !self.is_stale(now, view) {
            self.due_since = None;
            return false;
        }
        let due_since = *self.due_since.get_or_insert(now);
        let head_start = Span::from_micros(self.limits.head_start.as_micros().saturating_mul(view.rank));
        if now < due_since.after(head_start) {
            return false;
        }
        self.due_since = Some(now.after(self.limits.head_start));
        true
    }

    fn observe(&mut self, now: Time, view: &LogView) {
        if let Some(at) = view.newest.filter(|at| self.newest.is_none_or(|(old, _)| *at > old)) {
            self.newest = Some((at, now));
            self.long_outage = false;
            self.due_since = None;
        }
        if !view.log_available {
            self.unavailable_since.get_or_insert(now);
        } else if let Some(since) = self.unavailable_since.take() {
            self.long_outage |= now.since(since) >= self.limits.outage_min;
        }
    }

    /// Returns whether a new snapshot is due: there is none, records have expired
    /// and the last one is in the older half of the retained records, too many
    /// records follow it, or it is too old.
    fn is_stale(&self, now: Time, view: &LogView) -> bool {
        let Some((at, seen_at)) = self.newest else { return true };
        let retained = view.head.0.saturating_sub(view.first.0);
        let expiring = view.first.0 > 0 && at.0 < view.first.0 + retained / 2;
        let too_many = view.head.0.saturating_sub(at.0) >= self.limits.records_max;
        expiring || too_many || now.since(seen_at) >= self.limits.age_max
    }
}

/// Returns the rank of a VM among the live VMs for the snapshot that follows the
/// one at `newest`. The order differs between snapshots to spread the work.
pub fn rank<'a>(vm: &VmId, live: impl IntoIterator<Item = &'a VmId>, newest: Option<Offset>) -> u64 {
    let seed = newest.unwrap_or_default().0;
    let hash = |vm: &VmId| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), vm.clone());
    let own = hash(vm);
    live.into_iter().filter(|other| hash(other) < own).count() as u64
}
