//! Commands to a target and their answers.

use {
    super::Kept,
    crate::{
        api::{Held, Order, Reply},
        lease::{Action, Timings, bounds::Bounds},
        types::{Fence, SliceId, Time, VmId},
    },
    std::collections::BTreeMap,
};

const GRANTS_PER_COMMAND: usize = 1_024;

impl Kept {
    /// A held slice is right if the log assigns it with this fence, if it is
    /// the same owner's grant before a newer record, or if it is lent.
    pub(in crate::lease) fn is_right(&self, slice: SliceId, fence: Fence) -> bool {
        let wanted = self.wants.get(&slice).is_some_and(|want| {
            let same =
                want.previous.as_ref().is_some_and(|(owner, old)| *owner == self.target && *old == fence);
            want.follows(fence) || same
        });
        let lent = self.lent.get(&slice).is_some_and(|(_, lent)| *lent == fence);
        !self.is_barred(slice, fence) && (wanted || lent)
    }

    pub(in crate::lease) fn surplus(&self) -> Vec<Held> {
        let held = self.held.iter().map(|(slice, fence)| Held { slice: *slice, fence: *fence });
        held.filter(|held| !self.is_right(held.slice, held.fence)).collect()
    }

    pub(in crate::lease) fn ending(&self) -> Vec<Held> {
        let barred = self.running.iter().filter(|run| self.is_barred(run.slice, run.fence));
        barred.copied().collect()
    }

    pub(in crate::lease) fn missing(&self) -> Vec<Held> {
        let wanted = self.wants.iter().filter(|(slice, _)| self.clear.contains(slice));
        let wanted = wanted.map(|(slice, want)| (*slice, want.fence));
        let lent = self.lent.iter().map(|(slice, (_, fence))| (*slice, *fence));
        let due = wanted
            .chain(lent)
            .filter(|(slice, fence)| self.sure.get(slice) != Some(fence) && !self.is_barred(*slice, *fence));
        due.map(|(slice, fence)| Held { slice, fence }).take(GRANTS_PER_COMMAND).collect()
    }

    /// Returns the next action towards the target.
    pub(in crate::lease) fn tick(&mut self, now: Time, timings: &Timings, vm: &VmId) -> Option<Action> {
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
    pub(in crate::lease) fn is_busy(&self, now: Time, timings: &Timings) -> bool {
        self.link.outstanding().is_some_and(|sent| now.since(sent.at) < timings.period)
    }

    pub(in crate::lease) fn order(&mut self, now: Time, timings: &Timings) -> Option<Order> {
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

    pub(in crate::lease) fn note_grant(&mut self, held: Held) {
        let fence = self.held.entry(held.slice).or_insert(held.fence);
        *fence = held.fence.max(*fence);
    }

    /// Takes note that the outstanding command got no answer.
    pub(in crate::lease) fn failed(&mut self) {
        self.link.clear();
    }

    /// Takes the answer to the command that was sent at a moment.
    pub(in crate::lease) fn reply(&mut self, now: Time, sent: Time, reply: &Reply, timings: &Timings) {
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
    pub(in crate::lease) fn restart(&mut self, now: Time) {
        self.idle = false;
        self.bounds = Bounds::void(now);
        self.reported = false;
        self.held.clear();
        self.sure.clear();
        self.running.clear();
        self.renewed = None;
    }

    pub(in crate::lease) fn accepted(
        &mut self,
        now: Time,
        sent: Time,
        reply: &Reply,
        full: bool,
        timings: &Timings,
    ) {
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

    pub(in crate::lease) fn report(&mut self, now: Time, reply: &Reply) {
        self.reported = true;
        self.reported_at = now;
        self.held = reply.slices.iter().map(|held| (held.slice, held.fence)).collect();
        self.running = reply.running.iter().copied().collect();
        self.sure = if reply.clock < reply.until { self.held.clone() } else { BTreeMap::new() };
        self.adopt();
    }
}
