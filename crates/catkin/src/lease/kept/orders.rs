//! Commands to a target, and handling of the answers.

use {
    super::KeptTarget,
    crate::{
        api::{CommandReply, FencedSlice, Operation},
        lease::{Action, Timings, bounds::Bounds},
        types::{Fence, SliceId, Time, VmId},
    },
    std::collections::BTreeMap,
};

/// Maximum number of slices in one grant command.
const COMMAND_GRANTS_MAX: usize = 1_024;

impl KeptTarget {
    /// Returns whether the target may hold a slice with this fence: the log
    /// assigns it so, the grant is of an older record with the same owner, or
    /// the target took the slice over provisionally.
    pub(in crate::lease) fn is_expected(&self, slice: SliceId, fence: Fence) -> bool {
        let assigned = self.assigned.get(&slice).is_some_and(|assignment| {
            let same = assignment
                .previous
                .as_ref()
                .is_some_and(|(owner, old)| *owner == self.target && *old == fence);
            assignment.proves_vacated(fence) || same
        });
        let taken_over = self.taken_over.get(&slice).is_some_and(|(_, provisional)| *provisional == fence);
        !self.is_revoked(slice, fence) && (assigned || taken_over)
    }

    /// Returns the held slices that the target must release.
    pub(in crate::lease) fn surplus(&self) -> Vec<FencedSlice> {
        let held = self.held.iter().map(|(slice, fence)| FencedSlice { slice: *slice, fence: *fence });
        held.filter(|held| !self.is_expected(held.slice, held.fence)).collect()
    }

    /// Returns the revoked slices whose requests still run.
    pub(in crate::lease) fn revoked_running(&self) -> Vec<FencedSlice> {
        let revoked = self.running.iter().filter(|run| self.is_revoked(run.slice, run.fence));
        revoked.copied().collect()
    }

    /// Returns the slices to grant next.
    pub(in crate::lease) fn due_grants(&self) -> Vec<FencedSlice> {
        let assigned = self.assigned.iter().filter(|(slice, _)| self.vacated.contains(slice));
        let assigned = assigned.map(|(slice, assignment)| (*slice, assignment.fence));
        let taken_over = self.taken_over.iter().map(|(slice, (_, fence))| (*slice, *fence));
        let due = assigned.chain(taken_over).filter(|(slice, fence)| {
            self.confirmed.get(slice) != Some(fence) && !self.is_revoked(*slice, *fence)
        });
        due.map(|(slice, fence)| FencedSlice { slice, fence }).take(COMMAND_GRANTS_MAX).collect()
    }

    /// Returns the next action for the target.
    pub(in crate::lease) fn tick(&mut self, now: Time, timings: &Timings, vm: &VmId) -> Option<Action> {
        if self.superseded || self.removed || self.is_busy(now, timings) {
            return None;
        }
        if self.channel.boot().is_none() || self.is_unreachable(now, timings) {
            self.channel.inspect(now);
            return Some(Action::ReadLease { target: self.target.clone() });
        }
        if !self.channel.has_read_head() {
            return Some(Action::ReadHead);
        }
        let operation = self.next_operation(now, timings)?;
        let command = self.channel.command(now, vm, self.fence, operation)?;
        Some(Action::Command { target: self.target.clone(), command })
    }

    /// An unanswered command delays the next one for one renewal period.
    pub(in crate::lease) fn is_busy(&self, now: Time, timings: &Timings) -> bool {
        self.channel.outstanding().is_some_and(|sent| now.since(sent.at) < timings.renew_period)
    }

    pub(in crate::lease) fn next_operation(&mut self, now: Time, timings: &Timings) -> Option<Operation> {
        if !self.reported {
            return Some(Operation::Fence);
        }
        let surplus = if self.idle { Vec::new() } else { self.surplus() };
        if !surplus.is_empty() {
            return Some(Operation::Release { slices: surplus });
        }
        if !self.is_ready(now, timings) {
            return None;
        }
        if self.renewed_at.is_none_or(|at| now.since(at) >= timings.renew_period) {
            let until = self.bounds.renew(timings)?;
            self.renewed_at = Some(now);
            return Some(Operation::Renew { until });
        }
        if !self.idle && now < self.bounds.lower() {
            let slices = self.due_grants();
            self.idle = slices.is_empty();
            if !slices.is_empty() {
                slices.iter().for_each(|held| self.record_grant(*held));
                return Some(Operation::Grant { slices });
            }
        }
        // Repeats the release, because its answer lists the running requests.
        let slices = self.revoked_running();
        let due = !slices.is_empty() && now.since(self.reported_at) >= timings.renew_period;
        due.then_some(Operation::Release { slices })
    }

    pub(in crate::lease) fn record_grant(&mut self, held: FencedSlice) {
        let fence = self.held.entry(held.slice).or_insert(held.fence);
        *fence = held.fence.max(*fence);
    }

    /// Records that the outstanding command got no answer.
    pub(in crate::lease) fn failed(&mut self) {
        self.channel.clear_outstanding();
    }

    /// Handles the answer to the command that was sent at `sent`. An answer to
    /// a command before the outstanding one is ignored.
    pub(in crate::lease) fn reply(&mut self, now: Time, sent: Time, reply: &CommandReply, timings: &Timings) {
        let Some(out) = self.channel.outstanding().filter(|out| sent >= out.at) else { return };
        self.channel.clear_outstanding();
        self.last_seen = now;
        if self.channel.observe_boot(now, reply.boot) {
            self.restart(now);
        }
        self.bounds.note_clock(now, reply.clock);
        let Some(stamp) = out.stamp else { return };
        if reply.accepted && reply.stamp == stamp {
            self.handle_accepted(now, sent, reply, out.full, timings);
        } else if reply.stamp.keeper > self.fence {
            self.superseded = true;
        } else if reply.stamp.keeper == self.fence {
            self.channel.skip_to(reply.stamp.number);
        }
    }

    /// A new incarnation proves that the old one has ended, with its lease and
    /// its grants.
    pub(in crate::lease) fn restart(&mut self, now: Time) {
        self.idle = false;
        self.bounds = Bounds::unleased(now);
        self.reported = false;
        self.held.clear();
        self.confirmed.clear();
        self.running.clear();
        self.renewed_at = None;
    }

    pub(in crate::lease) fn handle_accepted(
        &mut self,
        now: Time,
        sent: Time,
        reply: &CommandReply,
        full: bool,
        timings: &Timings,
    ) {
        self.fence_accepted = true;
        self.idle &= !full;
        let expired = self.bounds.accept(now, sent, reply, timings);
        if full {
            self.handle_report(now, reply);
        } else if expired {
            self.idle = false;
            self.confirmed.clear();
        }
    }

    pub(in crate::lease) fn handle_report(&mut self, now: Time, reply: &CommandReply) {
        self.reported = true;
        self.reported_at = now;
        self.held = reply.slices.iter().map(|held| (held.slice, held.fence)).collect();
        self.running = reply.running.iter().copied().collect();
        self.confirmed = if reply.clock < reply.until { self.held.clone() } else { BTreeMap::new() };
        self.infer_from_held();
    }
}
