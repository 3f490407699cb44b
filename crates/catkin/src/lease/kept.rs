//! One target as its keeper sees it.

use {
    super::{Action, Timings, bounds::Bounds, link::Link, rows::Rows},
    crate::{
        api::{Held, Order, Reply},
        fold,
        types::{Fence, Offset, SliceId, TargetId, Time, Version, VmId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

const GRANTS_PER_COMMAND: usize = 1_024;

/// A slice that the log assigns to the target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Want {
    pub(super) fence: Fence,
    pub(super) version: Version,
    pub(super) standby: Option<TargetId>,
    pub(super) previous: Option<(TargetId, Fence)>,
}

/// Moves of one slice that were given to the log and may still arrive there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Moving {
    /// Version that they expect.
    pub(super) expects: Version,
    /// Owners that they name.
    pub(super) to: BTreeSet<TargetId>,
    /// When the last of them was made.
    pub(super) at: Time,
}

/// A target as its keeper sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Kept {
    pub(super) target: TargetId,
    pub(super) fence: Offset,
    pub(super) version: Version,
    pub(super) prior: Vec<VmId>,
    /// Fence of the first claim of this time as the keeper.
    began: Offset,
    since: Time,
    /// Whether the target checks fences and commands.
    pub(super) fenced: bool,
    /// Whether the VM list says that the target's VM has gone.
    pub(super) gone: bool,
    /// Whether a newer keeper is known.
    pub(super) superseded: bool,
    link: Link,
    bounds: Bounds,
    /// Whether the target has accepted a command under this keeper fence,
    /// which ends what earlier keepers may do.
    taken: bool,
    /// Whether the process in `link` has accepted `Fence`.
    reported: bool,
    /// Slices that the target may hold.
    held: BTreeMap<SliceId, Fence>,
    /// Slices that the target has confirmed.
    sure: BTreeMap<SliceId, Fence>,
    running: BTreeSet<Held>,
    pub(super) wants: BTreeMap<SliceId, Want>,
    /// Slices that name the target as their standby, with owner and fence.
    pub(super) backs: BTreeMap<SliceId, (TargetId, Fence)>,
    /// For slices of carved keys: the slice that held the key before, with
    /// the last fence under which it did.
    pub(super) parents: BTreeMap<SliceId, (SliceId, Fence)>,
    /// Slices taken over provisionally, with the lost owner.
    pub(super) lent: BTreeMap<SliceId, (TargetId, Fence)>,
    /// Fences up to which the target never gets a slice again, and since when.
    barred: BTreeMap<SliceId, (Fence, Time)>,
    /// Slices barred for a hand-over that has not begun.
    leaving: BTreeSet<SliceId>,
    /// Slices handed over provisionally, with the standby.
    pub(super) handed: BTreeMap<SliceId, (TargetId, Fence)>,
    pub(super) moving: BTreeMap<SliceId, Moving>,
    /// Wanted slices whose previous owner has stopped.
    pub(super) clear: BTreeSet<SliceId>,
    /// Standbys whose keepers know this keeper.
    noted: BTreeSet<TargetId>,
    /// Earlier keepers that have stopped, with the moment when it was known.
    pub(super) stopped: BTreeMap<VmId, Time>,
    /// Whether all standbys know this keeper.
    announced: bool,
    /// Whether nothing is to be granted or released until something changes.
    idle: bool,
    heard: Time,
    renewed: Option<Time>,
    reported_at: Time,
    pub(super) asked: Option<Time>,
}

impl Kept {
    pub(super) fn new(now: Time, target: TargetId, keeper: &fold::Keeper) -> Self {
        Self {
            target,
            fence: keeper.fence,
            version: keeper.version,
            prior: keeper.prior.clone(),
            began: keeper.fence,
            since: now,
            fenced: true,
            gone: false,
            superseded: false,
            link: Link::default(),
            bounds: Bounds::default(),
            taken: false,
            reported: false,
            held: BTreeMap::new(),
            sure: BTreeMap::new(),
            running: BTreeSet::new(),
            wants: BTreeMap::new(),
            backs: BTreeMap::new(),
            parents: BTreeMap::new(),
            lent: BTreeMap::new(),
            barred: BTreeMap::new(),
            leaving: BTreeSet::new(),
            handed: BTreeMap::new(),
            moving: BTreeMap::new(),
            clear: BTreeSet::new(),
            noted: BTreeSet::new(),
            stopped: BTreeMap::new(),
            announced: false,
            idle: false,
            heard: now,
            renewed: None,
            reported_at: now,
            asked: None,
        }
    }

    /// Takes a second claim of this process, which follows the first one.
    pub(super) fn settle(&mut self, keeper: &fold::Keeper) {
        self.fence = keeper.fence;
        self.version = keeper.version;
        self.prior = keeper.prior.clone();
    }

    pub(super) fn at_head(&mut self, began: Time) {
        self.link.at_head(began);
    }

    /// Forgets silence that this VM's own pause explains.
    pub(super) fn excuse(&mut self, now: Time) {
        self.heard = now;
    }

    pub(super) fn is_lost(&self, now: Time, timings: &Timings) -> bool {
        self.gone || now.since(self.heard) >= timings.patience
    }

    /// Returns whether the target process has accepted this keeper.
    pub(super) fn is_reported(&self) -> bool {
        self.gone || self.reported
    }

    /// Returns whether all standbys know this keeper. The first keeper of a
    /// target has no rival.
    pub(super) fn is_announced(&self) -> bool {
        self.version.0 <= 1 || self.announced
    }

    /// Takes note that a slice's previous owner has stopped.
    pub(super) fn set_clear(&mut self, slice: SliceId) {
        self.clear.insert(slice);
        self.idle = false;
    }

    /// Takes a slice over from a lost owner.
    pub(super) fn lend(&mut self, slice: SliceId, owner: &TargetId, fence: Fence) {
        self.lent.insert(slice, (owner.clone(), fence));
        self.idle = false;
    }

    /// Takes note that the keeper of a standby knows this keeper.
    pub(super) fn note(&mut self, standby: &TargetId) {
        self.noted.insert(standby.clone());
        self.announced = self.open_standbys().is_empty();
    }

    /// Returns the standbys whose keepers are to be told about this keeper.
    pub(super) fn open_standbys(&self) -> BTreeSet<TargetId> {
        self.standbys().filter(|standby| !self.noted.contains(*standby)).cloned().collect()
    }

    /// Returns the standbys that an earlier keeper may know. Rows that are
    /// newer than the claim can only be read together with it.
    fn standbys(&self) -> impl Iterator<Item = &TargetId> {
        let old = self.wants.values().filter(|want| want.fence.offset < self.began);
        old.filter_map(|want| want.standby.as_ref()).filter(|standby| **standby != self.target)
    }

    /// Returns whether earlier keepers no longer matter, so that the log may
    /// forget them.
    pub(super) fn is_settled(&self, now: Time, timings: &Timings) -> bool {
        !self.superseded && !self.prior.is_empty() && self.reported && self.is_ready(now, timings)
    }

    /// Returns since when all earlier keepers are known to have stopped.
    fn alone_since(&self) -> Option<Time> {
        let times = self.prior.iter().map(|vm| self.stopped.get(vm).copied());
        times.collect::<Option<Vec<_>>>().map(|times| times.into_iter().max().unwrap_or_default())
    }

    /// Returns whether no earlier keeper can prolong the lease.
    fn is_bounded(&self, now: Time, timings: &Timings) -> bool {
        let alone = self
            .alone_since()
            .is_some_and(|since| !self.prior.is_empty() && now >= since.after(timings.longest(timings.ttl)));
        self.taken || alone
    }

    /// Returns whether the target may get renewals and grants.
    fn is_ready(&self, now: Time, timings: &Timings) -> bool {
        let alone = || {
            let since = self.alone_since().map(|since| since.max(self.since));
            self.version.0 <= 1 || since.is_some_and(|since| now >= since.after(timings.deadline))
        };
        self.is_announced() && (self.fenced || alone())
    }

    /// Bars a slice: it is released and never granted again up to a fence.
    /// The slice that held a carved key before is barred with it.
    pub(super) fn bar(&mut self, now: Time, slice: SliceId, fence: Fence) {
        if let Some((parent, old)) = self.parents.get(&slice).copied() {
            self.bar_one(now, parent, old);
        }
        self.leaving.remove(&slice);
        self.bar_one(now, slice, fence);
    }

    /// Bars a slice for a hand-over, which [`Kept::stay`] can undo.
    pub(super) fn leave(&mut self, now: Time, slice: SliceId, fence: Fence) {
        if !self.is_barred(slice, fence) {
            self.bar(now, slice, fence);
            self.leaving.insert(slice);
        }
    }

    /// Grants slices again whose hand-over has not begun.
    pub(super) fn stay(&mut self) {
        for slice in std::mem::take(&mut self.leaving) {
            self.idle = false;
            self.barred.remove(&slice);
        }
    }

    /// Begins a hand-over, which can't be undone.
    pub(super) fn hand_over(&mut self, slice: SliceId, standby: TargetId, fence: Fence) {
        self.leaving.remove(&slice);
        self.handed.insert(slice, (standby, fence));
    }

    fn bar_one(&mut self, now: Time, slice: SliceId, fence: Fence) {
        self.idle = false;
        let entry = self.barred.entry(slice).or_insert((fence, now));
        if entry.0 < fence {
            *entry = (fence, now);
        }
    }

    fn is_barred(&self, slice: SliceId, fence: Fence) -> bool {
        self.barred.get(&slice).is_some_and(|(barred, _)| fence <= *barred)
    }

    /// Returns whether the target has stopped serving a barred slice up to a
    /// fence.
    pub(super) fn has_stopped(&self, now: Time, timings: &Timings, slice: SliceId, fence: Fence) -> bool {
        let parent = self.parents.get(&slice);
        self.has_stopped_one(now, timings, slice, fence)
            && parent.is_none_or(|(parent, old)| self.has_stopped_one(now, timings, *parent, *old))
    }

    fn has_stopped_one(&self, now: Time, timings: &Timings, slice: SliceId, fence: Fence) -> bool {
        if self.gone {
            return true;
        }
        let Some((_, since)) = self.barred.get(&slice).filter(|(barred, _)| *barred >= fence) else {
            return false;
        };
        if !self.fenced {
            return self.is_ready(now, timings) && now >= since.after(timings.deadline);
        }
        let lapsed = self.is_bounded(now, timings) && now >= self.bounds.upper();
        lapsed || (self.reported && !self.may_hold(slice, fence) && !self.may_run(slice, fence))
    }

    fn may_hold(&self, slice: SliceId, fence: Fence) -> bool {
        self.held.get(&slice).is_some_and(|held| *held <= fence)
    }

    fn may_run(&self, slice: SliceId, fence: Fence) -> bool {
        self.running.iter().any(|run| run.slice == slice && run.fence <= fence)
    }

    /// Returns the provisional fences under which the target may hold slices
    /// of a lost owner.
    pub(super) fn lent_from(&self, owner: &TargetId) -> Vec<(SliceId, Fence)> {
        let lent = self.lent.iter().filter(|(_, (from, _))| from == owner);
        lent.map(|(slice, (_, fence))| (*slice, *fence)).collect()
    }

    /// Returns whether the target holds a slice with exactly this fence under
    /// a valid lease.
    pub(super) fn holds(&self, now: Time, slice: SliceId, fence: Fence) -> bool {
        now < self.bounds.lower() && self.sure.get(&slice) == Some(&fence) && !self.is_barred(slice, fence)
    }

    /// Returns whether the lease is valid by its lower bound.
    pub(super) fn is_leased(&self, now: Time) -> bool {
        !self.superseded && now < self.bounds.lower()
    }

    /// A held slice is right if the log assigns it with this fence, if it is
    /// the same owner's grant before a newer record, or if it is lent.
    fn is_right(&self, slice: SliceId, fence: Fence) -> bool {
        let wanted = self.wants.get(&slice).is_some_and(|want| {
            let same =
                want.previous.as_ref().is_some_and(|(owner, old)| *owner == self.target && *old == fence);
            want.follows(fence) || same
        });
        let lent = self.lent.get(&slice).is_some_and(|(_, lent)| *lent == fence);
        !self.is_barred(slice, fence) && (wanted || lent)
    }

    fn surplus(&self) -> Vec<Held> {
        let held = self.held.iter().map(|(slice, fence)| Held { slice: *slice, fence: *fence });
        held.filter(|held| !self.is_right(held.slice, held.fence)).collect()
    }

    fn ending(&self) -> Vec<Held> {
        let barred = self.running.iter().filter(|run| self.is_barred(run.slice, run.fence));
        barred.copied().collect()
    }

    fn missing(&self) -> Vec<Held> {
        let wanted = self.wants.iter().filter(|(slice, _)| self.clear.contains(slice));
        let wanted = wanted.map(|(slice, want)| (*slice, want.fence));
        let lent = self.lent.iter().map(|(slice, (_, fence))| (*slice, *fence));
        let due = wanted
            .chain(lent)
            .filter(|(slice, fence)| self.sure.get(slice) != Some(fence) && !self.is_barred(*slice, *fence));
        due.map(|(slice, fence)| Held { slice, fence }).take(GRANTS_PER_COMMAND).collect()
    }

    /// Returns the next action towards the target.
    pub(super) fn tick(&mut self, now: Time, timings: &Timings, vm: &VmId) -> Option<Action> {
        if self.superseded || self.gone || self.is_busy(now, timings) {
            return None;
        }
        if self.link.boot().is_none() || self.is_lost(now, timings) {
            self.link.inspect(now);
            return Some(Action::Inspect { target: self.target.clone() });
        }
        if !self.link.is_current() {
            return Some(Action::ReadHead);
        }
        let order = self.order(now, timings)?;
        let command = self.link.command(now, vm, self.fence, order)?;
        Some(Action::Command { target: self.target.clone(), command })
    }

    /// An unanswered command holds the next one up for one period.
    fn is_busy(&self, now: Time, timings: &Timings) -> bool {
        self.link.outstanding().is_some_and(|sent| now.since(sent.at) < timings.period)
    }

    fn order(&mut self, now: Time, timings: &Timings) -> Option<Order> {
        if !self.reported {
            return Some(Order::Fence);
        }
        let surplus = if self.idle { Vec::new() } else { self.surplus() };
        if !surplus.is_empty() {
            return Some(Order::Release { slices: surplus });
        }
        if !self.is_ready(now, timings) {
            return None;
        }
        if self.renewed.is_none_or(|at| now.since(at) >= timings.period) {
            let until = self.bounds.renew(timings)?;
            self.renewed = Some(now);
            return Some(Order::Renew { until });
        }
        if !self.idle && now < self.bounds.lower() {
            let slices = self.missing();
            self.idle = slices.is_empty();
            if !slices.is_empty() {
                slices.iter().for_each(|held| self.note_grant(*held));
                return Some(Order::Grant { slices });
            }
        }
        let slices = self.ending();
        let due = !slices.is_empty() && now.since(self.reported_at) >= timings.period;
        due.then_some(Order::Release { slices })
    }

    fn note_grant(&mut self, held: Held) {
        let fence = self.held.entry(held.slice).or_insert(held.fence);
        *fence = held.fence.max(*fence);
    }

    /// Takes note that the outstanding command got no answer.
    pub(super) fn failed(&mut self) {
        self.link.clear();
    }

    /// Takes the answer to the command that was sent at a moment.
    pub(super) fn reply(&mut self, now: Time, sent: Time, reply: &Reply, timings: &Timings) {
        let Some(out) = self.link.outstanding().filter(|out| sent >= out.at) else { return };
        self.link.clear();
        self.heard = now;
        if self.link.meet(now, reply.boot) {
            self.restart(now);
        }
        self.bounds.read(now, reply.clock);
        let Some(stamp) = out.stamp else { return };
        if reply.accepted && reply.stamp == stamp {
            self.accepted(now, sent, reply, out.full, timings);
        } else if reply.stamp.keeper > self.fence {
            self.superseded = true;
        } else if reply.stamp.keeper == self.fence {
            self.link.skip(reply.stamp.number);
        }
    }

    /// A new process proves that the old one is dead, with its lease and its
    /// grants.
    fn restart(&mut self, now: Time) {
        self.idle = false;
        self.bounds = Bounds::void(now);
        self.reported = false;
        self.held.clear();
        self.sure.clear();
        self.running.clear();
        self.renewed = None;
    }

    fn accepted(&mut self, now: Time, sent: Time, reply: &Reply, full: bool, timings: &Timings) {
        self.taken = true;
        self.idle &= !full;
        let lapsed = self.bounds.accept(now, sent, reply, timings);
        if full {
            self.report(now, reply);
        } else if lapsed {
            self.idle = false;
            self.sure.clear();
        }
    }

    fn report(&mut self, now: Time, reply: &Reply) {
        self.reported = true;
        self.reported_at = now;
        self.held = reply.slices.iter().map(|held| (held.slice, held.fence)).collect();
        self.running = reply.running.iter().copied().collect();
        self.sure = if reply.clock < reply.until { self.held.clone() } else { BTreeMap::new() };
        self.adopt();
    }

    /// Learns from what the target holds: a grant proves that the previous
    /// owner had stopped, and a provisional fence that an earlier keeper of
    /// this target took the slice over.
    fn adopt(&mut self) {
        for (slice, fence) in &self.held {
            if self.wants.get(slice).is_some_and(|want| want.follows(*fence)) {
                self.clear.insert(*slice);
            }
            if let Some((owner, old)) = self.backs.get(slice)
                && old.with_next_step() == *fence
            {
                self.lent.insert(*slice, (owner.clone(), *fence));
            }
        }
    }

    /// Takes the rows of a newer state.
    pub(super) fn sync(&mut self, rows: Rows) {
        let Rows { wants, backs, parents, .. } = rows;
        self.idle = false;
        self.parents = parents;
        let old = std::mem::replace(&mut self.wants, wants);
        self.backs = backs;
        let same = |slice: &SliceId| {
            let fence = |rows: &BTreeMap<SliceId, Want>| rows.get(slice).map(|want| want.fence);
            fence(&old).is_some() && fence(&old) == fence(&self.wants)
        };
        self.clear.retain(same);
        let wants = &self.wants;
        self.moving.retain(|slice, moving| wants.get(slice).is_some_and(|w| w.version == moving.expects));
        self.handed.retain(|slice, _| same(slice));
        self.adopt();
        for (slice, (_, fence)) in &self.lent {
            if self.wants.get(slice).is_some_and(|want| want.follows(*fence)) {
                self.clear.insert(*slice);
            }
        }
        self.announced = self.open_standbys().is_empty();
        let backs = &self.backs;
        self.lent.retain(|slice, (from, fence)| {
            backs.get(slice).is_some_and(|(owner, old)| owner == from && old.with_next_step() == *fence)
        });
    }
}

impl Want {
    pub(super) fn new(row: &fold::Row) -> Self {
        Self {
            fence: row.fence,
            version: row.version,
            standby: row.standby.clone(),
            previous: row.previous.clone(),
        }
    }

    /// Returns whether a grant with this fence could only be made after the
    /// previous owner had stopped: it is the grant of this row, or the
    /// provisional one that the row makes durable.
    fn follows(&self, fence: Fence) -> bool {
        let provisional = self.previous.as_ref().is_some_and(|(_, old)| old.with_next_step() == fence);
        self.fence == fence || provisional
    }
}
