//! Whether a target has stopped serving a slice, and whether it may serve.

use {
    super::KeptTarget,
    crate::{
        lease::Timings,
        types::{Fence, SliceId, TargetId, Time},
    },
};

impl KeptTarget {
    /// Returns whether earlier keepers have no further effect on the target, so
    /// that the fold may drop them from the row.
    pub(in crate::lease) fn can_forget_prior(&self, now: Time, timings: &Timings) -> bool {
        !self.superseded && !self.prior_keepers.is_empty() && self.reported && self.is_ready(now, timings)
    }

    /// Returns since when no earlier keeper sends commands: other VMs have
    /// stopped, and an earlier incarnation of this VM has ended.
    fn sole_since(&self) -> Option<Time> {
        let times = self.prior_keepers.iter().map(|vm| self.stopped_keepers.get(vm).copied());
        times.chain([Some(self.claimed_at)]).collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns whether no earlier keeper can extend the lease. The first keeper
    /// of a target has none before it.
    fn is_lease_bounded(&self, now: Time, timings: &Timings) -> bool {
        let longest = timings.max_local_span(timings.ttl);
        let alone = self.sole_since().is_some_and(|since| now >= since.after(longest));
        self.version.0 <= 1 || self.fence_accepted || alone
    }

    /// Returns whether the target may get renewals and grants.
    pub(super) fn is_ready(&self, now: Time, timings: &Timings) -> bool {
        let alone = || self.sole_since().is_some_and(|since| now >= since.after(timings.max_deadline));
        self.is_announced() && (self.fenced || self.version.0 <= 1 || alone())
    }

    /// Revokes a slice: the target releases it and is never granted it again up
    /// to a fence. For a key that was split off, the slice that held it before
    /// is revoked too.
    pub(in crate::lease) fn revoke(&mut self, now: Time, slice: SliceId, fence: Fence) {
        if let Some((parent, old)) = self.parents.get(&slice).copied() {
            self.revoke_one(now, parent, old);
        }
        self.tentative.remove(&slice);
        self.revoke_one(now, slice, fence);
    }

    /// Revokes a slice for a provisional failover.
    /// [`KeptTarget::restore_tentative`] undoes this until the failover begins.
    pub(in crate::lease) fn revoke_tentatively(&mut self, now: Time, slice: SliceId, fence: Fence) {
        if !self.is_revoked(slice, fence) {
            self.revoke(now, slice, fence);
            self.tentative.insert(slice);
        }
    }

    /// Restores the slices whose failover has not begun.
    pub(in crate::lease) fn restore_tentative(&mut self) {
        for slice in std::mem::take(&mut self.tentative) {
            self.idle = false;
            self.revoked.remove(&slice);
        }
    }

    /// Begins a provisional failover, which can't be undone.
    pub(in crate::lease) fn fail_over(&mut self, slice: SliceId, standby: TargetId, fence: Fence) {
        self.tentative.remove(&slice);
        self.failed_over.insert(slice, (standby, fence));
    }

    pub(in crate::lease) fn revoke_one(&mut self, now: Time, slice: SliceId, fence: Fence) {
        self.idle = false;
        let entry = self.revoked.entry(slice).or_insert((fence, now));
        if entry.0 < fence {
            *entry = (fence, now);
        }
    }

    pub(in crate::lease) fn is_revoked(&self, slice: SliceId, fence: Fence) -> bool {
        self.revoked.get(&slice).is_some_and(|(revoked, _)| fence <= *revoked)
    }

    /// Returns whether the target has stopped serving a revoked slice up to a
    /// fence.
    pub(in crate::lease) fn has_stopped(
        &self,
        now: Time,
        timings: &Timings,
        slice: SliceId,
        fence: Fence,
    ) -> bool {
        let parent = self.parents.get(&slice);
        self.has_stopped_one(now, timings, slice, fence)
            && parent.is_none_or(|(parent, old)| self.has_stopped_one(now, timings, *parent, *old))
    }

    pub(in crate::lease) fn has_stopped_one(
        &self,
        now: Time,
        timings: &Timings,
        slice: SliceId,
        fence: Fence,
    ) -> bool {
        if self.removed {
            return true;
        }
        let Some((_, since)) = self.revoked.get(&slice).filter(|(revoked, _)| *revoked >= fence) else {
            return false;
        };
        if !self.fenced {
            return self.is_ready(now, timings) && now >= since.after(timings.max_deadline);
        }
        let expired = self.is_lease_bounded(now, timings) && now >= self.bounds.upper();
        expired || (self.reported && !self.may_hold(slice, fence) && !self.may_run(slice, fence))
    }

    pub(in crate::lease) fn may_hold(&self, slice: SliceId, fence: Fence) -> bool {
        self.held.get(&slice).is_some_and(|held| *held <= fence)
    }

    pub(in crate::lease) fn may_run(&self, slice: SliceId, fence: Fence) -> bool {
        self.running.iter().any(|run| run.slice == slice && run.fence <= fence)
    }
}
