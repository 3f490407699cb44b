//! Questions between gateways about targets.

use {
    super::{Action, Keeper, kept::Kept},
    crate::{
        types::{Fence, Offset, SliceId, TargetId, Time, VmId},
        wire::Frame,
    },
    std::collections::BTreeMap,
};

/// A target, a slice that it wants, and the owner before.
type Unclear = (TargetId, SliceId, Option<(TargetId, Fence)>);
type Asks = BTreeMap<(VmId, TargetId), Vec<(SliceId, Fence)>>;

impl Keeper {
    /// Answers a question of another gateway, or returns `None` if this VM
    /// can't answer it.
    pub fn ask(&mut self, now: Time, frame: &Frame) -> Option<Frame> {
        match frame {
            Frame::AskStopped { target, slices } => self.say_stopped(now, target, slices),
            Frame::HandOver { from, keeper, to, slices } => self.take_over(now, from, *keeper, to, slices),
            Frame::AskKeeper { target, keeper, standby: Some(standby) } => {
                self.note_rival(target, *keeper, standby)
            }
            Frame::AskKeeper { target, keeper, standby: None } => self.give_up(target, *keeper),
            _ => None,
        }
    }

    /// Takes the answer of another gateway.
    pub fn answer(&mut self, now: Time, from: &VmId, frame: &Frame) {
        match frame {
            Frame::Stopped { target, slices } => self.hear_stopped(target, slices),
            Frame::KeeperNoted { target, keeper, standby, slices } => {
                self.hear_noted(now, from, target, *keeper, standby.as_ref(), slices);
            }
            _ => {}
        }
    }

    /// The question alone proves that the log has moved the slices, so they
    /// are barred before this VM has read it.
    fn say_stopped(&mut self, now: Time, target: &TargetId, slices: &[(SliceId, Fence)]) -> Option<Frame> {
        let stopped = self.stop(now, target, slices)?;
        Some(Frame::Stopped { target: target.clone(), slices: stopped })
    }

    fn stop(
        &mut self,
        now: Time,
        target: &TargetId,
        slices: &[(SliceId, Fence)],
    ) -> Option<Vec<(SliceId, Fence)>> {
        let timings = self.timings;
        let kept = self.kept.get_mut(target)?;
        slices.iter().for_each(|(slice, fence)| kept.bar(now, *slice, *fence));
        let stopped = slices.iter().filter(|(slice, fence)| kept.has_stopped(now, &timings, *slice, *fence));
        Some(stopped.copied().collect())
    }

    /// Takes slices of a lost owner over. The row must be the one that this
    /// VM has read, and the sender must be the newest keeper of the owner.
    fn take_over(
        &mut self,
        now: Time,
        from: &TargetId,
        keeper: Offset,
        to: &TargetId,
        slices: &[(SliceId, Fence)],
    ) -> Option<Frame> {
        if keeper < self.newest(from) {
            return None;
        }
        self.fences.insert(from.clone(), keeper);
        let kept = self.kept.get_mut(to)?;
        for (slice, fence) in slices {
            let right = kept
                .backs
                .get(slice)
                .is_some_and(|(owner, old)| owner == from && old.with_next_step() == *fence);
            if right {
                kept.lend(*slice, from, *fence);
            }
        }
        let held = slices.iter().filter(|(slice, fence)| kept.holds(now, *slice, *fence));
        Some(Frame::HandedOver { to: to.clone(), slices: held.map(|(slice, _)| *slice).collect() })
    }

    /// Returns the newest known fence of the keeper of a target.
    fn newest(&self, target: &TargetId) -> Offset {
        let known = self.keepers.get(target).map(|(_, fence)| *fence).unwrap_or_default();
        self.fences.get(target).copied().unwrap_or_default().max(known)
    }

    /// Answers only when the standby has reported what it holds, because an
    /// earlier keeper of the standby may have taken slices over.
    fn note_rival(&mut self, target: &TargetId, keeper: Offset, standby: &TargetId) -> Option<Frame> {
        if keeper < self.newest(target) {
            return None;
        }
        self.hear_rival(target, keeper);
        let kept = self.kept.get(standby).filter(|kept| kept.is_reported())?;
        let slices = kept.lent_from(target);
        Some(Frame::KeeperNoted { target: target.clone(), keeper, standby: Some(standby.clone()), slices })
    }

    fn hear_rival(&mut self, target: &TargetId, keeper: Offset) {
        if keeper > self.newest(target) {
            self.fences.insert(target.clone(), keeper);
        }
        if self.kept.get(target).is_some_and(|kept| kept.fence < keeper) {
            self.kept.remove(target);
        }
    }

    /// Stops as a keeper. Requests that were sent may run until the longest
    /// deadline, which matters for a target that checks no fences.
    fn give_up(&mut self, target: &TargetId, keeper: Offset) -> Option<Frame> {
        self.hear_rival(target, keeper);
        if self.kept.contains_key(target) {
            return None;
        }
        Some(Frame::KeeperNoted { target: target.clone(), keeper, standby: None, slices: Vec::new() })
    }

    fn hear_stopped(&mut self, target: &TargetId, slices: &[(SliceId, Fence)]) {
        for kept in self.kept.values_mut() {
            for (slice, fence) in slices {
                kept.clear_after(*slice, target, *fence);
            }
        }
    }

    fn hear_noted(
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
            kept.stopped.entry(from.clone()).or_insert(now);
            return;
        };
        kept.hear_standby(now, standby, slices);
    }

    /// Settles slices whose previous owner this VM keeps or has gone.
    pub(super) fn clear_slices(&mut self, now: Time) {
        let unclear: Vec<_> = self.kept.values().flat_map(Kept::unclear).collect();
        for (target, slice, previous) in unclear {
            let Some((owner, fence)) = previous else {
                self.set_clear(&target, slice);
                continue;
            };
            let stopped = owner == target
                || self.is_gone(now, &owner)
                || self.stop(now, &owner, &[(slice, fence)]).is_some_and(|stopped| !stopped.is_empty());
            if stopped {
                self.set_clear(&target, slice);
            }
        }
    }

    fn set_clear(&mut self, target: &TargetId, slice: SliceId) {
        if let Some(kept) = self.kept.get_mut(target) {
            kept.set_clear(slice);
        }
    }

    /// Asks the keepers of previous owners, of standbys and of earlier times.
    pub(super) fn ask_peers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due = |kept: &Kept| kept.asked.is_none_or(|at| now.since(at) >= self.timings.ask);
        let targets: Vec<TargetId> =
            self.kept.values().filter(|k| due(k)).map(|k| k.target.clone()).collect();
        for target in targets {
            let before = actions.len();
            self.ask_stopped(&target, actions);
            self.ask_standbys(now, &target, actions);
            self.ask_prior(&target, actions);
            self.ask_hand_over(now, &target, actions);
            if let Some(kept) = self.kept.get_mut(&target).filter(|_| actions.len() > before) {
                kept.asked = Some(now);
            }
        }
    }

    fn ask_stopped(&self, target: &TargetId, actions: &mut Vec<Action>) {
        let mut asks = Asks::new();
        for (_, slice, previous) in self.kept.get(target).into_iter().flat_map(Kept::unclear) {
            let Some((owner, fence)) = previous else { continue };
            let Some((vm, _)) = self.keepers.get(&owner).filter(|(vm, _)| *vm != self.vm) else { continue };
            asks.entry((vm.clone(), owner)).or_default().push((slice, fence));
        }
        for ((vm, target), slices) in asks {
            actions.push(Action::Ask { vm, frame: Frame::AskStopped { target, slices } });
        }
    }

    fn ask_standbys(&mut self, now: Time, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(kept) = self.kept.get(target).filter(|kept| !kept.is_announced()) else { return };
        let keeper = kept.fence;
        let open = kept.open_standbys();
        for standby in open {
            let known = self.keepers.get(&standby).map(|(vm, _)| vm.clone());
            match known {
                Some(vm) if vm == self.vm => {
                    let slices = self.kept.get(&standby).filter(|kept| kept.is_reported());
                    let slices = slices.map(|kept| kept.lent_from(target));
                    if let (Some(slices), Some(kept)) = (slices, self.kept.get_mut(target)) {
                        kept.hear_standby(now, &standby, &slices);
                    }
                }
                Some(vm) if !self.is_gone(now, &standby) => {
                    let frame = Frame::AskKeeper { target: target.clone(), keeper, standby: Some(standby) };
                    actions.push(Action::Ask { vm, frame });
                }
                _ => {
                    if let Some(kept) = self.kept.get_mut(target) {
                        kept.hear_standby(now, &standby, &[]);
                    }
                }
            }
        }
    }

    /// Earlier keepers matter for a target that can't be reached or checks no
    /// fences.
    fn ask_prior(&self, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(kept) = self.kept.get(target).filter(|kept| !kept.fenced || !kept.is_reported()) else {
            return;
        };
        for vm in kept.prior.iter().filter(|vm| !kept.stopped.contains_key(*vm)) {
            let frame = Frame::AskKeeper { target: target.clone(), keeper: kept.fence, standby: None };
            actions.push(Action::Ask { vm: vm.clone(), frame });
        }
    }

    fn ask_hand_over(&mut self, now: Time, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(kept) = self.kept.get(target).filter(|_| !self.log_up) else { return };
        let keeper = kept.fence;
        let mut asks = Asks::new();
        for (slice, (standby, fence)) in &kept.handed {
            let Some((vm, _)) = self.keepers.get(standby) else { continue };
            asks.entry((vm.clone(), standby.clone())).or_default().push((*slice, *fence));
        }
        for ((vm, to), slices) in asks {
            if vm == self.vm {
                self.take_over(now, target, keeper, &to, &slices);
                continue;
            }
            let frame = Frame::HandOver { from: target.clone(), keeper, to, slices };
            actions.push(Action::Ask { vm, frame });
        }
    }
}

impl Kept {
    /// Returns the wanted slices whose previous owner may still serve them.
    fn unclear(&self) -> Vec<Unclear> {
        if self.clear.len() == self.wants.len() {
            return Vec::new();
        }
        let open = self.wants.iter().filter(|(slice, _)| !self.clear.contains(slice));
        open.map(|(slice, want)| (self.target.clone(), *slice, want.previous.clone())).collect()
    }

    fn clear_after(&mut self, slice: SliceId, owner: &TargetId, fence: Fence) {
        let want = self.wants.get(&slice).and_then(|want| want.previous.as_ref());
        if want.is_some_and(|(previous, old)| previous == owner && *old == fence) {
            self.set_clear(slice);
        }
    }

    /// The keeper of a standby knows this keeper; slices that the standby may
    /// hold provisionally stay with it.
    fn hear_standby(&mut self, now: Time, standby: &TargetId, slices: &[(SliceId, Fence)]) {
        self.note(standby);
        for (slice, fence) in slices {
            let Some(want) = self.wants.get(slice).filter(|w| w.fence.with_next_step() == *fence) else {
                continue;
            };
            let old = want.fence;
            self.bar(now, *slice, old);
            self.set_clear(*slice);
            self.handed.insert(*slice, (standby.clone(), *fence));
        }
    }
}
