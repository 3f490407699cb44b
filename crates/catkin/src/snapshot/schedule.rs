//! When to write a snapshot.

use {
    crate::types::{Offset, Span, Time, VmId},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Bounds on the age of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time between two snapshots. It is a fraction of the time for
    /// which the log keeps records.
    pub age: Span,
    /// Most records that a starting VM has to read after a snapshot.
    pub records: u64,
    /// Length of an outage of the log after which a snapshot is due at once.
    pub outage: Span,
    /// Head start of each VM over the next one in rank.
    pub stagger: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            age: Span::from_secs(300),
            records: 20_000,
            outage: Span::from_secs(30),
            stagger: Span::from_secs(5),
        }
    }
}

/// The log as one VM sees it.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Oldest offset that is still kept.
    pub first: Offset,
    /// Offset that the next append gets.
    pub head: Offset,
    /// Offset of the newest complete snapshot.
    pub newest: Option<Offset>,
    /// Whether the log can be reached.
    pub up: bool,
    /// Rank of this VM among those that could write, from 0.
    pub rank: u64,
}

/// Decides when this VM writes a snapshot.
///
/// The VM with rank 0 writes as soon as one is due; each other one writes only
/// if none is complete after its head start. Two snapshots of the same state
/// do no harm.
#[derive(Clone, Debug)]
pub struct Schedule {
    limits: Limits,
    newest: Option<(Offset, Time)>,
    down: Option<Time>,
    outage: bool,
    due: Option<Time>,
}

impl Schedule {
    /// Makes a schedule.
    pub fn new(limits: Limits) -> Self {
        Self { limits, newest: None, down: None, outage: false, due: None }
    }

    /// Returns whether this VM writes a snapshot now. After it returned
    /// `true` it does so again only if none is complete after another head
    /// start.
    pub fn tick(&mut self, now: Time, view: &View) -> bool {
        self.note(now, view);
        if !view.up || view.head == Offset::default() {
            return false;
        }
        if !self.outage && !self.is_stale(now, view) {
            self.due = None;
            return false;
        }
        let due = *self.due.get_or_insert(now);
        let wait = Span::from_micros(self.limits.stagger.as_micros().saturating_mul(view.rank));
        if now < due.after(wait) {
            return false;
        }
        self.due = Some(now.after(self.limits.stagger));
        true
    }

    fn note(&mut self, now: Time, view: &View) {
        if let Some(at) = view.newest.filter(|at| self.newest.is_none_or(|(old, _)| *at > old)) {
            self.newest = Some((at, now));
            self.outage = false;
            self.due = None;
        }
        if !view.up {
            self.down.get_or_insert(now);
        } else if let Some(down) = self.down.take() {
            self.outage |= now.since(down) >= self.limits.outage;
        }
    }

    fn is_stale(&self, now: Time, view: &View) -> bool {
        let Some((at, seen)) = self.newest else { return true };
        let kept = view.head.0.saturating_sub(view.first.0);
        let half = view.first.0 > 0 && at.0 < view.first.0 + kept / 2;
        let records = view.head.0.saturating_sub(at.0) >= self.limits.records;
        half || records || now.since(seen) >= self.limits.age
    }
}

/// Returns the rank of a VM among live ones for the snapshot after an offset.
/// The order differs from one snapshot to the next, so that the work spreads.
pub fn rank<'a>(vm: &VmId, live: impl IntoIterator<Item = &'a VmId>, newest: Option<Offset>) -> u64 {
    let seed = newest.unwrap_or_default().0;
    let weight = |vm: &VmId| (xxh3_64_with_seed(vm.as_str().as_bytes(), seed), vm.clone());
    let own = weight(vm);
    live.into_iter().filter(|other| weight(other) < own).count() as u64
}
