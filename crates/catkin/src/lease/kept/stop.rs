//! Whether a target has stopped serving a slice, and whether it may serve.

use {
    super::Kept,
    crate::{
        lease::Timings,
        types::{Fence, SliceId, TargetId, Time},
    },
};

impl Kept {
    /// Returns whether earlier keepers no longer matter, so that the log may
    /// forget them.
    pub(in crate::lease) fn is_settled(&self, now: Time, timings: &Timings) -> bool {
        !self.superseded && !self.prior.is_empty() && self.reported && self.is_ready(now, timings)
    }

    /// Returns since when no earlier keeper sends commands: other VMs have
    /// stopped, and an earlier process of this VM is dead.
    fn alone_since(&self) -> Option<Time> {
        let times = self.prior.iter().map(|vm| self.stopped.get(vm).copied());
        times.chain([Some(self.since)]).collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns whether no earlier keeper can prolong the lease. The first
    /// keeper of a target has none before it.
    fn is_bounded(&self, now: Time, timings: &Timings) -> bool {
        let longest = timings.longest(timings.ttl);
        let alone = self.alone_since().is_some_and(|since| now >= since.after(longest));
        self.version.0 <= 1 || self.taken || alone
    }

    /// Returns whether the target may get renewals and grants.
    pub(super) fn is_ready(&self, now: Time, timings: &Timings) -> bool {
        let alone = || self.alone_since().is_some_and(|since| now >= since.after(timings.deadline));
        self.is_announced() && (self.fenced || self.version.0 <= 1 || alone())
    }

    /// Bars a slice: it is released and never granted again up to a fence.
    /// The slice that held a carved key before is barred with it.
    pub(in crate::lease) fn bar(&mut self, now: Time, slice: SliceId, fence: Fence) {
        if let Some((parent, old)) = self.parents.get(&slice).copied() {
            self.bar_one(now, parent, old);
        }
        self.leaving.remove(&slice);
        self.bar_one(now, slice, fence);
    }

    /// Bars a slice for a hand-over, which [`Kept::stay`] can undo.
    pub(in crate::lease) fn leave(&mut self, now: Time, slice: SliceId, fence: Fence) {
        if !self.is_barred(slice, fence) {
            self.bar(now, slice, fence);
            self.leaving.insert(slice);
        }
    }

    /// Grants slices again whose hand-over has not begun.
    pub(in crate::lease) fn stay(&mut self) {
        for slice in std::mem::take(&mut self.leaving) {
            self.idle = false;
            self.barred.remove(&slice);
        }
    }

    /// Begins a hand-over, which can't be undone.
    pub(in crate::lease) fn hand_over(&mut self, slice: SliceId, standby: TargetId, fence: Fence) {
        self.leaving.remove(&slice);
        self.handed.insert(slice, (standby, fence));
    }

    pub(in crate::lease) fn bar_one(&mut self, now: Time, slice: SliceId, fence: Fence) {
        self.idle = false;
        let entry = self.barred.entry(slice).or_insert((fence, now));
        if entry.0 < fence {
            *entry = (fence, now);
        }
    }

    pub(in crate::lease) fn is_barred(&self, slice: SliceId, fence: Fence) -> bool {
        self.barred.get(&slice).is_some_and(|(barred, _)| fence <= *barred)
    }

    /// Returns whether the target has stopped serving a barred slice up to a
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

    pub(in crate::lease) fn may_hold(&self, slice: SliceId, fence: Fence) -> bool {
        self.held.get(&slice).is_some_and(|held| *held <= fence)
    }

    pub(in crate::lease) fn may_run(&self, slice: SliceId, fence: Fence) -> bool {
        self.running.iter().any(|run| run.slice == slice && run.fence <= fence)
    }
}
