//! One target as its keeper sees it.

mod orders;
mod stop;

use {
    super::{Timings, bounds::Bounds, link::Link, rows::Rows},
    crate::{
        api::Held,
        fold,
        types::{Fence, Offset, SliceId, TargetId, Time, Version, VmId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

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
