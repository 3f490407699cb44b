//! Queries between gateways about targets.

use {
    super::{Action, Keeper, kept::KeptTarget},
    crate::{
        types::{Fence, Offset, SliceId, TargetId, Time, VmId},
        wire::Frame,
    },
    std::collections::BTreeMap,
};

/// A target, a slice assigned to it, and the previous owner, which may still
/// serve the slice.
type NotVacatedSlice = (TargetId, SliceId, Option<(TargetId, Fence)>);
/// Slices with their fences, by the gateway and target of the query.
type Queries = BTreeMap<(VmId, TargetId), Vec<(SliceId, Fence)>>;

impl Keeper {
    /// Answers a query of another gateway, or returns `None` if this VM can't
    /// answer it.
    pub fn answer_query(&mut self, now: Time, frame: &Frame) -> Option<Frame> {
        match frame {
            Frame::QueryStopped { target, slices } => self.answer_stopped(now, target, slices),
            Frame::FailOver { from, keeper, to, slices } => self.take_over(now, from, *keeper, to, slices),
            Frame::AnnounceKeeper { target, keeper, standby: Some(standby) } => {
                self.answer_new_keeper(target, *keeper, standby)
            }
            Frame::AnnounceKeeper { target, keeper, standby: None } => self.stop_keeping(target, *keeper),
            _ => None,
        }
    }

    /// Handles the answer of another gateway.
    pub fn apply_answer(&mut self, now: Time, from: &VmId, frame: &Frame) {
        match frame {
            Frame::Stopped { target, slices } => self.handle_stopped(target, slices),
            Frame::KeeperAcknowledged { target, keeper, standby, slices } => {
                self.handle_keeper_acknowledged(now, from, target, *keeper, standby.as_ref(), slices);
            }
            _ => {}
        }
    }

    /// The query alone proves that the log has moved the slices, so they are
    /// revoked even if this VM has not read the record yet.
    fn answer_stopped(&mut self, now: Time, target: &TargetId, slices: &[(SliceId, Fence)]) -> Option<Frame> {
        let stopped = self.revoke_slices(now, target, slices)?;
        Some(Frame::Stopped { target: target.clone(), slices: stopped })
    }

    fn revoke_slices(
        &mut self,
        now: Time,
        target: &TargetId,
        slices: &[(SliceId, Fence)],
    ) -> Option<Vec<(SliceId, Fence)>> {
        let timings = self.timings;
        let kept = self.kept.get_mut(target)?;
        slices.iter().for_each(|(slice, fence)| kept.revoke(now, *slice, *fence));
        let stopped = slices.iter().filter(|(slice, fence)| kept.has_stopped(now, &timings, *slice, *fence));
        Some(stopped.copied().collect())
    }

    /// Takes over slices of an unreachable owner provisionally. The row must be
    /// the one that this VM has read, and the sender must be the newest known
    /// keeper of the owner.
    fn take_over(
        &mut self,
        now: Time,
        owner: &TargetId,
        keeper: Offset,
        standby: &TargetId,
        slices: &[(SliceId, Fence)],
    ) -> Option<Frame> {
        if keeper < self.newest_fence(owner) {
            return None;
        }
        self.fences.insert(owner.clone(), keeper);
        let kept = self.kept.get_mut(standby)?;
        for (slice, fence) in slices {
            let is_expected = kept
                .standby_for
                .get(slice)
                .is_some_and(|(logged, old)| logged == owner && old.next_step() == *fence);
            if is_expected {
                kept.accept_failover(*slice, owner, *fence);
            }
        }
        let held = slices.iter().filter(|(slice, fence)| kept.holds(now, *slice, *fence));
        Some(Frame::FailedOver { to: standby.clone(), slices: held.map(|(slice, _)| *slice).collect() })
    }

    /// Returns the newest known keeper fence of a target.
    fn newest_fence(&self, target: &TargetId) -> Offset {
        let known = self.keepers.get(target).map(|(_, fence)| *fence).unwrap_or_default();
        self.fences.get(target).copied().unwrap_or_default().max(known)
    }

    /// Answers only when the standby has reported what it holds, because an
    /// earlier keeper of the standby may have taken slices over.
    fn answer_new_keeper(&mut self, target: &TargetId, keeper: Offset, standby: &TargetId) -> Option<Frame> {
        if keeper < self.newest_fence(target) {
            return None;
        }
        self.observe_keeper(target, keeper);
        let kept = self.kept.get(standby).filter(|kept| kept.knows_holdings())?;
        let slices = kept.taken_over_from(target);
        Some(Frame::KeeperAcknowledged {
            target: target.clone(),
            keeper,
            standby: Some(standby.clone()),
            slices,
        })
    }

    fn observe_keeper(&mut self, target: &TargetId, keeper: Offset) {
        if keeper > self.newest_fence(target) {
            self.fences.insert(target.clone(), keeper);
        }
        if self.kept.get(target).is_some_and(|kept| kept.fence < keeper) {
            self.kept.remove(target);
        }
    }

    /// Stops keeping a target. Requests that were sent may run until the
    /// longest deadline, which matters for a target that checks no fences.
    fn stop_keeping(&mut self, target: &TargetId, keeper: Offset) -> Option<Frame> {
        self.observe_keeper(target, keeper);
        if self.kept.contains_key(target) {
            return None;
        }
        Some(Frame::KeeperAcknowledged { target: target.clone(), keeper, standby: None, slices: Vec::new() })
    }

    fn handle_stopped(&mut self, target: &TargetId, slices: &[(SliceId, Fence)]) {
        for kept in self.kept.values_mut() {
            for (slice, fence) in slices {
                kept.mark_vacated_after(*slice, target, *fence);
            }
        }
    }

    fn handle_keeper_acknowledged(
        &mut self,
        now: Time,
        from: &VmId,
        target: &TargetId,
        keeper: Offset,
        standby: Option<&TargetId>,
        slices: &[(SliceId, Fence)],
    ) {
        let Some(kept) = self.kept.get_mut(target).filter(|kept| kept.fence == keeper) else { return };
        let Some(standby) = standby else {
            kept.stopped_keepers.entry(from.clone()).or_insert(now);
            return;
        };
        kept.handle_acknowledgement(now, standby, slices);
    }

    /// Marks slices as vacated whose previous owner has stopped or was removed, as
    /// far as this VM can tell by itself.
    pub(super) fn find_vacated_slices(&mut self, now: Time) {
        let not_vacated: Vec<_> = self.kept.values().flat_map(KeptTarget::not_vacated).collect();
        for (target, slice, previous) in not_vacated {
            let Some((owner, fence)) = previous else {
                self.mark_vacated(&target, slice);
                continue;
            };
            let stopped = owner == target
                || self.is_removed(now, &owner)
                || self
                    .revoke_slices(now, &owner, &[(slice, fence)])
                    .is_some_and(|stopped| !stopped.is_empty());
            if stopped {
                self.mark_vacated(&target, slice);
            }
        }
    }

    fn mark_vacated(&mut self, target: &TargetId, slice: SliceId) {
        if let Some(kept) = self.kept.get_mut(target) {
            kept.mark_vacated(slice);
        }
    }

    /// Queries the keepers of previous owners and standbys, and earlier keepers.
    pub(super) fn query_peers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due =
            |kept: &KeptTarget| kept.queried_at.is_none_or(|at| now.since(at) >= self.timings.query_period);
        let targets: Vec<TargetId> =
            self.kept.values().filter(|k| due(k)).map(|k| k.target.clone()).collect();
        for target in targets {
            let before = actions.len();
            self.query_stopped(&target, actions);
            self.announce_to_standbys(now, &target, actions);
            self.query_prior(&target, actions);
            self.query_failovers(now, &target, actions);
            if let Some(kept) = self.kept.get_mut(&target).filter(|_| actions.len() > before) {
                kept.queried_at = Some(now);
            }
        }
    }

    fn query_stopped(&self, target: &TargetId, actions: &mut Vec<Action>) {
        let mut queries = Queries::new();
        for (_, slice, previous) in self.kept.get(target).into_iter().flat_map(KeptTarget::not_vacated) {
            let Some((owner, fence)) = previous else { continue };
            let Some((vm, _)) = self.keepers.get(&owner).filter(|(vm, _)| *vm != self.vm) else { continue };
            queries.entry((vm.clone(), owner)).or_default().push((slice, fence));
        }
        for ((vm, target), slices) in queries {
            actions.push(Action::Query { vm, frame: Frame::QueryStopped { target, slices } });
        }
    }

    fn announce_to_standbys(&mut self, now: Time, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(kept) = self.kept.get(target).filter(|kept| !kept.is_announced()) else { return };
        let keeper = kept.fence;
        let unacknowledged = kept.unacknowledged_standbys();
        for standby in unacknowledged {
            let known = self.keepers.get(&standby).map(|(vm, _)| vm.clone());
            match known {
                Some(vm) if vm == self.vm => {
                    let slices = self.kept.get(&standby).filter(|kept| kept.knows_holdings());
                    let slices = slices.map(|kept| kept.taken_over_from(target));
                    if let (Some(slices), Some(kept)) = (slices, self.kept.get_mut(target)) {
                        kept.handle_acknowledgement(now, &standby, &slices);
                    }
                }
                Some(vm) if !self.is_removed(now, &standby) => {
                    let frame =
                        Frame::AnnounceKeeper { target: target.clone(), keeper, standby: Some(standby) };
                    actions.push(Action::Query { vm, frame });
                }
                _ => {
                    if let Some(kept) = self.kept.get_mut(target) {
                        kept.handle_acknowledgement(now, &standby, &[]);
                    }
                }
            }
        }
    }

    /// Earlier keepers matter only for a target that is unreachable or checks
    /// no fences.
    fn query_prior(&self, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(kept) = self.kept.get(target).filter(|kept| !kept.fenced || !kept.knows_holdings()) else {
            return;
        };
        for vm in kept.prior_keepers.iter().filter(|vm| !kept.stopped_keepers.contains_key(*vm)) {
            let frame = Frame::AnnounceKeeper { target: target.clone(), keeper: kept.fence, standby: None };
            actions.push(Action::Query { vm: vm.clone(), frame });
        }
    }

    fn query_failovers(&mut self, now: Time, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(kept) = self.kept.get(target).filter(|_| !self.log_up) else { return };
        let keeper = kept.fence;
        let mut queries = Queries::new();
        for (slice, (standby, fence)) in &kept.failed_over {
            let Some((vm, _)) = self.keepers.get(standby) else { continue };
            queries.entry((vm.clone(), standby.clone())).or_default().push((*slice, *fence));
        }
        for ((vm, standby), slices) in queries {
            if vm == self.vm {
                self.take_over(now, target, keeper, &standby, &slices);
                continue;
            }
            let frame = Frame::FailOver { from: target.clone(), keeper, to: standby, slices };
            actions.push(Action::Query { vm, frame });
        }
    }
}

impl KeptTarget {
    /// Returns the assigned slices that a previous owner may still serve.
    fn not_vacated(&self) -> Vec<NotVacatedSlice> {
        if self.vacated.len() == self.assigned.len() {
            return Vec::new();
        }
        let not_vacated = self.assigned.iter().filter(|(slice, _)| !self.vacated.contains(slice));
        not_vacated
            .map(|(slice, assignment)| (self.target.clone(), *slice, assignment.previous.clone()))
            .collect()
    }

    fn mark_vacated_after(&mut self, slice: SliceId, owner: &TargetId, fence: Fence) {
        let before = self.assigned.get(&slice).and_then(|assignment| assignment.previous.as_ref());
        if before.is_some_and(|(previous, old)| previous == owner && *old == fence) {
            self.mark_vacated(slice);
        }
    }

    /// Records that the keeper of a standby knows this keeper. Slices that the
    /// standby may hold provisionally stay failed over to it.
    fn handle_acknowledgement(&mut self, now: Time, standby: &TargetId, slices: &[(SliceId, Fence)]) {
        self.mark_acknowledged(standby);
        for (slice, fence) in slices {
            let Some(assignment) = self.assigned.get(slice).filter(|w| w.fence.next_step() == *fence) else {
                continue;
            };
            let old = assignment.fence;
            self.revoke(now, *slice, old);
            self.mark_vacated(*slice);
            self.failed_over.insert(*slice, (standby.clone(), *fence));
        }
    }
}
