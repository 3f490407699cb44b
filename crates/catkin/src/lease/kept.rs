//! State of one target at its keeper.

mod orders;
mod stop;

use {
    super::{Timings, bounds::Bounds, channel::CommandChannel, rows::Rows},
    crate::{
        api::FencedSlice,
        fold,
        types::{Fence, Offset, SliceId, TargetId, Time, Version, VmId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Row of a slice that the log assigns to the target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Assignment {
    pub(super) fence: Fence,
    pub(super) version: Version,
    pub(super) standby: Option<TargetId>,
    pub(super) previous: Option<(TargetId, Fence)>,
}

/// Moves of one slice that were appended and may still reach the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PendingMoves {
    /// Version of the row that they expect.
    pub(super) expects: Version,
    /// Owners that they name.
    pub(super) to: BTreeSet<TargetId>,
    /// When the last of them was appended.
    pub(super) at: Time,
}

/// State of one target at its keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct KeptTarget {
    pub(super) target: TargetId,
    pub(super) fence: Offset,
    pub(super) version: Version,
    /// Keepers before this one that may still send commands, as the log names them.
    pub(super) prior_keepers: Vec<VmId>,
    /// Fence of the first of the consecutive claims of this process.
    first_fence: Offset,
    claimed_at: Time,
    /// Whether the target checks fences and commands.
    pub(super) fenced: bool,
    /// Whether the target's VM was removed from the VM list.
    pub(super) removed: bool,
    /// Whether the target has accepted a command of a newer keeper.
    pub(super) superseded: bool,
    channel: CommandChannel,
    bounds: Bounds,
    /// Whether the target has accepted a command under this keeper fence.
    /// After that it refuses commands of earlier keepers.
    fence_accepted: bool,
    /// Whether the incarnation in `channel` has reported what it holds, in
    /// answer to `Fence` or a later command.
    reported: bool,
    /// Slices that the target may hold.
    held: BTreeMap<SliceId, Fence>,
    /// Slices that the target has confirmed to hold.
    confirmed: BTreeMap<SliceId, Fence>,
    running: BTreeSet<FencedSlice>,
    pub(super) assigned: BTreeMap<SliceId, Assignment>,
    /// Slices whose standby is the target, with owner and fence.
    pub(super) standby_for: BTreeMap<SliceId, (TargetId, Fence)>,
    /// For slices of keys that were split off: the slice that held the key
    /// before, with the last fence under which it did.
    pub(super) parents: BTreeMap<SliceId, (SliceId, Fence)>,
    /// Slices that the target took over provisionally, with the unreachable
    /// owner and the provisional fence.
    pub(super) taken_over: BTreeMap<SliceId, (TargetId, Fence)>,
    /// Fences up to which a slice is never granted to the target again, and
    /// since when.
    revoked: BTreeMap<SliceId, (Fence, Time)>,
    /// Slices revoked for a provisional failover that has not begun.
    tentative: BTreeSet<SliceId>,
    /// Slices failed over provisionally, with the standby and the provisional
    /// fence.
    pub(super) failed_over: BTreeMap<SliceId, (TargetId, Fence)>,
    pub(super) pending_moves: BTreeMap<SliceId, PendingMoves>,
    /// Assigned slices that the previous owner no longer serves; the target
    /// itself may serve them.
    pub(super) vacated: BTreeSet<SliceId>,
    /// Standbys whose keepers have acknowledged this keeper.
    acknowledged_by: BTreeSet<TargetId>,
    /// Earlier keepers that have stopped, and when this became known.
    pub(super) stopped_keepers: BTreeMap<VmId, Time>,
    /// Whether all standbys know this keeper.
    announced: bool,
    /// Whether nothing is to be granted or released until something changes.
    idle: bool,
    last_seen: Time,
    renewed_at: Option<Time>,
    reported_at: Time,
    pub(super) queried_at: Option<Time>,
}

impl KeptTarget {
    pub(super) fn new(now: Time, target: TargetId, keeper: &fold::KeeperRow) -> Self {
        Self {
            target,
            fence: keeper.fence,
            version: keeper.version,
            prior_keepers: keeper.prior.clone(),
            first_fence: keeper.fence,
            claimed_at: now,
            fenced: true,
            removed: false,
            superseded: false,
            channel: CommandChannel::default(),
            bounds: Bounds::default(),
            fence_accepted: false,
            reported: false,
            held: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            running: BTreeSet::new(),
            assigned: BTreeMap::new(),
            standby_for: BTreeMap::new(),
            parents: BTreeMap::new(),
            taken_over: BTreeMap::new(),
            revoked: BTreeMap::new(),
            tentative: BTreeSet::new(),
            failed_over: BTreeMap::new(),
            pending_moves: BTreeMap::new(),
            vacated: BTreeSet::new(),
            acknowledged_by: BTreeSet::new(),
            stopped_keepers: BTreeMap::new(),
            announced: false,
            idle: false,
            last_seen: now,
            renewed_at: None,
            reported_at: now,
            queried_at: None,
        }
    }

    /// Applies a further claim of this process, which directly follows the one
    /// before.
    pub(super) fn update_claim(&mut self, keeper: &fold::KeeperRow) {
        self.fence = keeper.fence;
        self.version = keeper.version;
        self.prior_keepers = keeper.prior.clone();
    }

    pub(super) fn at_head(&mut self, read_start: Time) {
        self.channel.at_head(read_start);
    }

    /// Restarts the time-out of the target, for a pause of this VM.
    pub(super) fn reset_timeout(&mut self, now: Time) {
        self.last_seen = now;
    }

    pub(super) fn is_unreachable(&self, now: Time, timings: &Timings) -> bool {
        self.removed || now.since(self.last_seen) >= timings.target_timeout
    }

    /// Returns whether the target has reported to this keeper what it holds, or
    /// was removed.
    pub(super) fn knows_holdings(&self) -> bool {
        self.removed || self.reported
    }

    /// Returns whether the keepers of all standbys know this keeper. The first
    /// keeper of a target has no competing one.
    pub(super) fn is_announced(&self) -> bool {
        self.version.0 <= 1 || self.announced
    }

    /// Records that the previous owner of a slice has stopped serving it.
    pub(super) fn mark_vacated(&mut self, slice: SliceId) {
        self.vacated.insert(slice);
        self.idle = false;
    }

    /// Takes a slice over provisionally from an unreachable owner.
    pub(super) fn accept_failover(&mut self, slice: SliceId, owner: &TargetId, fence: Fence) {
        self.taken_over.insert(slice, (owner.clone(), fence));
        self.idle = false;
    }

    /// Records that the keeper of a standby knows this keeper.
    pub(super) fn mark_acknowledged(&mut self, standby: &TargetId) {
        self.acknowledged_by.insert(standby.clone());
        self.announced = self.unacknowledged_standbys().is_empty();
    }

    /// Returns the standbys whose keepers must still be told about this keeper.
    pub(super) fn unacknowledged_standbys(&self) -> BTreeSet<TargetId> {
        self.standbys().filter(|standby| !self.acknowledged_by.contains(*standby)).cloned().collect()
    }

    /// Returns the standbys that an earlier keeper may know. Only rows older
    /// than the first claim count: whoever has read a newer row has also read the
    /// claim.
    fn standbys(&self) -> impl Iterator<Item = &TargetId> {
        let old = self.assigned.values().filter(|assignment| assignment.fence.offset < self.first_fence);
        old.filter_map(|assignment| assignment.standby.as_ref()).filter(|standby| **standby != self.target)
    }

    /// Returns the provisional fences under which the target may hold slices
    /// of an unreachable owner.
    pub(super) fn taken_over_from(&self, owner: &TargetId) -> Vec<(SliceId, Fence)> {
        let taken_over = self.taken_over.iter().filter(|(_, (from, _))| from == owner);
        taken_over.map(|(slice, (_, fence))| (*slice, *fence)).collect()
    }

    /// Returns whether the target holds a slice with exactly this fence under
    /// a valid lease.
    pub(super) fn holds(&self, now: Time, slice: SliceId, fence: Fence) -> bool {
        now < self.bounds.lower()
            && self.confirmed.get(&slice) == Some(&fence)
            && !self.is_revoked(slice, fence)
    }

    /// Returns whether the lease is valid by its lower bound.
    pub(super) fn is_leased(&self, now: Time) -> bool {
        !self.superseded && now < self.bounds.lower()
    }

    /// Draws conclusions from what the target holds: a grant proves that the
    /// previous owner had stopped, and a provisional fence proves that an
    /// earlier keeper of this target took the slice over.
    fn infer_from_held(&mut self) {
        for (slice, fence) in &self.held {
            if self.assigned.get(slice).is_some_and(|assignment| assignment.proves_vacated(*fence)) {
                self.vacated.insert(*slice);
            }
            if let Some((owner, old)) = self.standby_for.get(slice)
                && old.next_step() == *fence
            {
                self.taken_over.insert(*slice, (owner.clone(), *fence));
            }
        }
    }

    /// Applies the rows of a newer state.
    pub(super) fn sync(&mut self, rows: Rows) {
        let Rows { assigned, standby_for, parents, .. } = rows;
        self.idle = false;
        self.parents = parents;
        let old = std::mem::replace(&mut self.assigned, assigned);
        self.standby_for = standby_for;
        let same = |slice: &SliceId| {
            let fence =
                |rows: &BTreeMap<SliceId, Assignment>| rows.get(slice).map(|assignment| assignment.fence);
            fence(&old).is_some() && fence(&old) == fence(&self.assigned)
        };
        self.vacated.retain(same);
        let assigned = &self.assigned;
        self.pending_moves
            .retain(|slice, pending| assigned.get(slice).is_some_and(|w| w.version == pending.expects));
        self.failed_over.retain(|slice, _| same(slice));
        self.infer_from_held();
        for (slice, (_, fence)) in &self.taken_over {
            if self.assigned.get(slice).is_some_and(|assignment| assignment.proves_vacated(*fence)) {
                self.vacated.insert(*slice);
            }
        }
        self.announced = self.unacknowledged_standbys().is_empty();
        let standby_for = &self.standby_for;
        self.taken_over.retain(|slice, (from, fence)| {
            standby_for.get(slice).is_some_and(|(owner, old)| owner == from && old.next_step() == *fence)
        });
    }
}

impl Assignment {
    pub(super) fn new(row: &fold::SliceRow) -> Self {
        Self {
            fence: row.fence,
            version: row.version,
            standby: row.standby.clone(),
            previous: row.previous.clone(),
        }
    }

    /// Returns whether a grant with this fence can only have been made after
    /// the previous owner had stopped: it is the grant of this row, or the
    /// provisional one that the row makes durable.
    fn proves_vacated(&self, fence: Fence) -> bool {
        let provisional = self.previous.as_ref().is_some_and(|(_, old)| old.next_step() == fence);
        self.fence == fence || provisional
    }
}
