//! Leases and grants on the side of the entry VM that keeps targets.
//!
//! A [`Keeper`] holds the state of all targets that this VM keeps. It decides
//! and does no I/O; the gateway drives it:
//!
//! 1. Create one with [`Keeper::new`] when the process starts. `boot` is the
//!    boot number under which the process appends to the log.
//! 2. Call [`Keeper::sync`] whenever the fold, the VM list or the
//!    reachability of the log has changed, and at least once per second.
//! 3. Call [`Keeper::tick`] every 5 to 20 ms and carry out all actions at
//!    once and in parallel. At most one command or read of the lease per target is
//!    outstanding.
//!    - [`Action::Command`]: post the command to the path of its order. Read
//!      the clock *before* the first byte is sent. Pass an answer to
//!      [`Keeper::apply_reply`] with that time. Report anything else (no connection,
//!      no answer within one renewal period, an answer that is not a `CommandReply`)
//!      with [`Keeper::command_failed`]. Never repeat a command: a later tick returns a new
//!      one.
//!    - [`Action::ReadLease`]: the same with `GET /lease`.
//!    - [`Action::ReadHead`]: read the clock, read the log up to the head that
//!      this read reports, apply the records, call [`Keeper::sync`] and then
//!      [`Keeper::finish_head_read`] with that time. One read serves several of these
//!      actions. Do nothing while the log is unavailable; the action is repeated.
//!    - [`Action::Append`]: append the change through the process's one
//!      [`Appender`](crate::append::Appender). The keeper repeats an append
//!      that had no effect after a second; if both records reach the log, the
//!      fold refuses the second one.
//!    - [`Action::Query`]: send the frame to the gateway and pass the frame in
//!      its answer to [`Keeper::apply_answer`]. No call is needed if there is no
//!      answer.
//! 4. Pass frames of other gateways to [`Keeper::answer_query`] and send back the frame
//!    that it returns; if it returns none, close the exchange.
//! 5. Call [`Keeper::admit`] directly before each request is sent to a
//!    target. [`Keeper::provisional_standby`] returns the standby that took a slice over
//!    provisionally.
//!
//! All moves of slices whose owner this VM keeps go through [`Keeper::move_slice`],
//! so that the keeper knows which moves may still reach the log.

use {
    super::{Action, Timings, kept::KeptTarget, listing::Listing, rows},
    crate::{
        Code, Error,
        api::{CommandReply, Role, VmList},
        fold::State,
        record::{Change, Claim},
        types::{Fence, Offset, Service, SliceId, TargetId, Time, Version, VmId},
    },
    std::collections::BTreeMap,
};

/// State of the targets that this VM keeps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    pub(super) vm: VmId,
    boot: u64,
    pub(super) timings: Timings,
    pub(super) log_up: bool,
    pub(super) kept: BTreeMap<TargetId, KeptTarget>,
    /// Keepers of all targets in the log, with their fences.
    pub(super) keepers: BTreeMap<TargetId, (VmId, Offset)>,
    /// Fences of keepers that other gateways announced and that may be newer
    /// than the fold.
    pub(super) fences: BTreeMap<TargetId, Offset>,
    pub(super) services: BTreeMap<TargetId, Service>,
    pub(super) listing: Listing,
    /// Claims to append, with the version of the row that they expect, and
    /// when they were last appended.
    claims: BTreeMap<TargetId, (Version, Option<Time>)>,
    last_tick: Option<Time>,
    /// Result of [`State::changed_offset`] when the rows were last read, and the
    /// keeper fences at that time.
    synced_rows: Option<(Offset, Vec<Offset>)>,
}

impl Keeper {
    /// Creates the keeper of a new process, which keeps no targets.
    pub fn new(vm: VmId, boot: u64, timings: Timings) -> Self {
        Self {
            vm,
            boot,
            timings,
            log_up: false,
            kept: BTreeMap::new(),
            keepers: BTreeMap::new(),
            fences: BTreeMap::new(),
            services: BTreeMap::new(),
            listing: Listing::default(),
            claims: BTreeMap::new(),
            last_tick: None,
            synced_rows: None,
        }
    }

    /// Applies the times of a new configuration. The longest deadline never
    /// gets shorter, because requests of an earlier revision may still run.
    pub fn set_timings(&mut self, timings: Timings) {
        let max_deadline = timings.max_deadline.max(self.timings.max_deadline);
        self.timings = Timings { max_deadline, ..timings };
    }

    /// Applies a changed fold, VM list or availability of the log.
    pub fn sync(&mut self, now: Time, state: &State, list: &VmList, log_up: bool) {
        self.log_up = log_up;
        self.listing.update(now, list);
        self.sync_services(list);
        self.sync_keepers(now, state);
        self.sync_rows(state);
        self.sync_fenced(state);
        self.sync_removed(now);
    }

    fn sync_services(&mut self, list: &VmList) {
        for vm in &list.vms {
            let Some(service) = vm.service.as_ref().filter(|_| vm.role == Role::Target) else { continue };
            let Ok(target) = TargetId::new(vm.id.clone()) else { continue };
            if self.services.get(&target) != Some(service) {
                self.services.insert(target, service.clone());
            }
        }
    }

    fn sync_keepers(&mut self, now: Time, state: &State) {
        self.keepers = state.keepers().map(|(t, k)| (t.clone(), (k.vm.clone(), k.fence))).collect();
        let own = &self.vm;
        self.claims.retain(|target, (version, _)| {
            state.keeper(target).is_some_and(|keeper| keeper.vm == *own && keeper.version == *version)
        });
        self.fences.retain(|target, fence| self.keepers.get(target).is_none_or(|(_, known)| known < fence));
        for (target, keeper) in state.keepers() {
            if keeper.vm != self.vm {
                continue;
            }
            if keeper.boot != self.boot {
                self.claims.entry(target.clone()).or_insert((keeper.version, None));
                continue;
            }
            if self.fences.contains_key(target) {
                continue;
            }
            self.sync_keeper(now, target, keeper);
        }
        let kept = |target: &TargetId, kept: &KeptTarget| {
            self.keepers.get(target) == Some(&(self.vm.clone(), kept.fence))
                && !self.fences.contains_key(target)
        };
        let stale: Vec<_> = self.kept.iter().filter(|(t, k)| !kept(t, k)).map(|(t, _)| t.clone()).collect();
        for target in stale {
            self.kept.remove(&target);
        }
    }

    fn sync_keeper(&mut self, now: Time, target: &TargetId, keeper: &crate::fold::KeeperRow) {
        let Some(kept) = self.kept.get_mut(target) else {
            self.kept.insert(target.clone(), KeptTarget::new(now, target.clone(), keeper));
            return;
        };
        if kept.fence == keeper.fence {
            return;
        }
        if keeper.version == kept.version.next() {
            kept.update_claim(keeper);
            return;
        }
        // Another VM kept the target in between. Moves that this process
        // appended before may still reach the log.
        let mut fresh = KeptTarget::new(now, target.clone(), keeper);
        fresh.pending_moves = std::mem::take(&mut kept.pending_moves);
        *kept = fresh;
    }

    /// Reads all rows if the state or the kept targets have changed since the
    /// last read. Records of intents, which are far more frequent, don't count.
    fn sync_rows(&mut self, state: &State) {
        let current = Some((state.changed_offset(), self.kept.values().map(|kept| kept.fence).collect()));
        if self.synced_rows == current {
            return;
        }
        self.synced_rows = current;
        let mut rows = rows::collect(state, |target| self.kept.contains_key(target));
        for (target, kept) in &mut self.kept {
            let rows = rows.remove(target).unwrap_or_default();
            if let Some(service) = &rows.service {
                self.services.insert(target.clone(), service.clone());
            }
            kept.sync(rows);
        }
    }

    /// A target of an unknown service is treated as one that checks no fences,
    /// which only makes moves slower.
    fn sync_fenced(&mut self, state: &State) {
        let services = &state.config().fleet.services;
        for (target, kept) in &mut self.kept {
            let service = self.services.get(target).and_then(|name| services.get(name));
            kept.fenced = service.is_some_and(|entry| entry.fenced);
        }
    }

    fn sync_removed(&mut self, now: Time) {
        let timings = self.timings;
        for (target, kept) in &mut self.kept {
            kept.removed = kept.removed || self.listing.is_removed(now, &timings, target.as_str());
            for vm in &kept.prior_keepers {
                if self.listing.is_removed(now, &timings, vm.as_str()) {
                    kept.stopped_keepers.entry(vm.clone()).or_insert(now);
                }
            }
        }
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.check_own_pause(now);
        self.sync_removed(now);
        let mut actions = Vec::new();
        self.find_vacated_slices(now);
        self.query_peers(now, &mut actions);
        self.append_claims(now, &mut actions);
        self.move_slices(now, &mut actions);
        for kept in self.kept.values_mut() {
            actions.extend(kept.tick(now, &self.timings, &self.vm));
        }
        let mut is_read = false;
        actions.retain(|action| *action != Action::ReadHead || !std::mem::replace(&mut is_read, true));
        actions
    }

    /// A target without answers is not unreachable if this process was paused
    /// meanwhile, so its time-out starts anew.
    fn check_own_pause(&mut self, now: Time) {
        let paused = self.last_tick.is_some_and(|last| now.since(last) > self.timings.renew_period);
        self.last_tick = Some(now);
        if paused {
            self.kept.values_mut().for_each(|kept| kept.reset_timeout(now));
        }
    }

    /// A process acts only under a claim of its own, because commands of an
    /// earlier incarnation of this VM may still arrive. A second claim lets the
    /// fold drop the earlier keepers from the row.
    fn append_claims(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.log_up {
            return;
        }
        for (target, kept) in &self.kept {
            let appended = self.claims.get(target).is_some_and(|(version, _)| *version == kept.version);
            if !appended && kept.can_forget_prior(now, &self.timings) {
                self.claims.insert(target.clone(), (kept.version, None));
            }
        }
        for (target, (version, appended)) in &mut self.claims {
            if appended.is_some_and(|at| now.since(at) < super::moves::APPEND_RETRY) {
                continue;
            }
            *appended = Some(now);
            let claim = Claim { target: target.clone(), expects: *version, keeper: self.vm.clone() };
            actions.push(Action::Append(Change::Keeper(claim)));
        }
    }

    /// Handles the answer to a command or a read of the lease. `sent` is the time
    /// before its first byte was sent.
    pub fn apply_reply(&mut self, now: Time, sent: Time, reply: &CommandReply) {
        if let Some(kept) = self.kept.get_mut(&reply.target) {
            kept.reply(now, sent, reply, &self.timings);
        }
    }

    /// Records that a command or read of the lease of a target got no answer.
    pub fn command_failed(&mut self, _now: Time, target: &TargetId) {
        if let Some(kept) = self.kept.get_mut(target) {
            kept.failed();
        }
    }

    /// Records that the log was read up to its head by a read that began at
    /// `read_start`, and that the state was passed to [`Keeper::sync`].
    pub fn finish_head_read(&mut self, read_start: Time) {
        self.kept.values_mut().for_each(|kept| kept.at_head(read_start));
    }

    /// Checks whether this VM may send a request to a target at `now`.
    ///
    /// # Errors
    ///
    /// `Code::NoOwner` if this VM does not keep the target, its lease may
    /// have expired or the target has not confirmed the grant.
    pub fn admit(&self, now: Time, target: &TargetId, slice: Option<(SliceId, Fence)>) -> Result<(), Error> {
        let refuse = |detail: &str| Err(Error::new(Code::NoOwner, format!("{target}: {detail}")));
        let Some(kept) = self.kept.get(target) else { return refuse("not kept by this gateway") };
        if !kept.is_leased(now) {
            return refuse("the lease may have expired");
        }
        match slice {
            Some((slice, fence)) if !kept.holds(now, slice, fence) => refuse("the grant is not confirmed"),
            _ => Ok(()),
        }
    }

    /// Returns the standby that took over a slice of an unreachable owner
    /// provisionally, with its fence.
    pub fn provisional_standby(&self, owner: &TargetId, slice: SliceId) -> Option<&(TargetId, Fence)> {
        self.kept.get(owner)?.failed_over.get(&slice)
    }

    /// Returns whether this VM keeps a target.
    pub fn keeps(&self, target: &TargetId) -> bool {
        self.kept.contains_key(target)
    }

    /// Returns whether a kept target is unreachable: removed from the VM list,
    /// or without an answer for [`Timings::target_timeout`].
    pub fn is_unreachable(&self, now: Time, target: &TargetId) -> bool {
        self.kept.get(target).is_some_and(|kept| kept.is_unreachable(now, &self.timings))
    }

    pub(super) fn is_removed(&self, now: Time, target: &TargetId) -> bool {
        self.listing.is_removed(now, &self.timings, target.as_str())
    }
}
