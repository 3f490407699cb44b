//! The side of the entry VM that keeps targets.
//!
//! A [`Keeper`] is one table of all targets that this VM keeps. It takes
//! decisions and does no I/O; the gateway drives it:
//!
//! 1. Make one with [`Keeper::new`] when the process starts. `boot` is the
//!    boot number under which the process appends to the log.
//! 2. Call [`Keeper::sync`] whenever the fold, the VM list or the
//!    reachability of the log has changed, and at least once per second.
//! 3. Call [`Keeper::tick`] every 5 to 20 ms and carry out all actions at
//!    once and in parallel. At most one command or inspection per target is
//!    outstanding.
//!    - [`Action::Command`]: post the command to the path of its order. Take
//!      the time *before* the first byte is sent. Pass an answer to
//!      [`Keeper::reply`] with that time, and anything else (no connection,
//!      no answer within one renewal period, an answer that is no `Reply`) to
//!      [`Keeper::failed`]. Never repeat a command: the next tick makes a new
//!      one.
//!    - [`Action::Inspect`]: the same with `GET /lease`.
//!    - [`Action::ReadHead`]: take the time, read the log up to the head that
//!      this read reports, apply the records, call [`Keeper::sync`] and then
//!      [`Keeper::at_head`] with that time. One read serves several of these
//!      actions. Do nothing while the log is down; the action comes again.
//!    - [`Action::Append`]: append the change through the process's one
//!      [`Appender`](crate::append::Appender). The keeper repeats an append
//!      that has changed nothing after a second; the fold refuses the second
//!      of two.
//!    - [`Action::Ask`]: send the frame to the gateway and pass the frame
//!      that comes back to [`Keeper::answer`]. A lost answer needs no call.
//! 4. Pass frames of other gateways to [`Keeper::ask`] and send back what it
//!    returns; without a frame, close the exchange.
//! 5. Call [`Keeper::admit`] directly before each request is sent to a
//!    target. [`Keeper::lent`] says whether a slice has been handed over
//!    provisionally, and to whom.
//!
//! All moves of slices whose owner this VM keeps go through [`Keeper::shift`],
//! so that the keeper knows which moves may be on their way to the log.

use {
    super::{Action, Timings, kept::Kept, listing::Listing, rows},
    crate::{
        Code, Error,
        api::{Reply, Role, VmList},
        fold::State,
        record::{Change, Claim},
        types::{Fence, Offset, Service, SliceId, TargetId, Time, Version, VmId},
    },
    std::collections::BTreeMap,
};

/// The targets that this VM keeps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    pub(super) vm: VmId,
    boot: u64,
    pub(super) timings: Timings,
    pub(super) log_up: bool,
    pub(super) kept: BTreeMap<TargetId, Kept>,
    /// Keepers of all targets, with their fences.
    pub(super) keepers: BTreeMap<TargetId, (VmId, Offset)>,
    /// Fences of keepers that were announced and may be newer than the state.
    pub(super) fences: BTreeMap<TargetId, Offset>,
    pub(super) services: BTreeMap<TargetId, Service>,
    pub(super) listing: Listing,
    /// Claims to make, with the version of the row, and when they were made.
    claims: BTreeMap<TargetId, (Version, Option<Time>)>,
    ticked: Option<Time>,
    /// What [`State::changed`] said when the rows were read, and the fences of
    /// the targets kept then.
    read: Option<(Offset, Vec<Offset>)>,
}

impl Keeper {
    /// Makes an empty table for a process.
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
            ticked: None,
            read: None,
        }
    }

    /// Takes the times of a new configuration. The time for work in progress
    /// never gets shorter, because work of an earlier revision may still run.
    pub fn set_timings(&mut self, timings: Timings) {
        let deadline = timings.deadline.max(self.timings.deadline);
        self.timings = Timings { deadline, ..timings };
    }

    /// Takes a changed fold, VM list or state of the log.
    pub fn sync(&mut self, now: Time, state: &State, list: &VmList, log_up: bool) {
        self.log_up = log_up;
        self.listing.update(now, list);
        self.sync_services(list);
        self.sync_keepers(now, state);
        self.sync_rows(state);
        self.sync_fenced(state);
        self.sync_gone(now);
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
        let vm = &self.vm;
        self.claims.retain(|target, (version, _)| {
            state.keeper(target).is_some_and(|keeper| keeper.vm == *vm && keeper.version == *version)
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
        let kept = |target: &TargetId, kept: &Kept| {
            self.keepers.get(target) == Some(&(self.vm.clone(), kept.fence))
                && !self.fences.contains_key(target)
        };
        let dropped: Vec<_> = self.kept.iter().filter(|(t, k)| !kept(t, k)).map(|(t, _)| t.clone()).collect();
        for target in dropped {
            self.kept.remove(&target);
        }
    }

    fn sync_keeper(&mut self, now: Time, target: &TargetId, keeper: &crate::fold::Keeper) {
        let Some(kept) = self.kept.get_mut(target) else {
            self.kept.insert(target.clone(), Kept::new(now, target.clone(), keeper));
            return;
        };
        if kept.fence == keeper.fence {
            return;
        }
        if keeper.version == kept.version.next() {
            kept.settle(keeper);
            return;
        }
        // Another VM kept the target in between. Moves that this process gave
        // to the log before may still arrive there.
        let mut fresh = Kept::new(now, target.clone(), keeper);
        fresh.moving = std::mem::take(&mut kept.moving);
        *kept = fresh;
    }

    /// Reads all rows only if some may have changed: intents change the state
    /// far more often than moves do.
    fn sync_rows(&mut self, state: &State) {
        let read = Some((state.changed(), self.kept.values().map(|kept| kept.fence).collect()));
        if self.read == read {
            return;
        }
        self.read = read;
        let mut rows = rows::collect(state, |target| self.kept.contains_key(target));
        for (target, kept) in &mut self.kept {
            let rows = rows.remove(target).unwrap_or_default();
            if let Some(service) = &rows.service {
                self.services.insert(target.clone(), service.clone());
            }
            kept.sync(rows);
        }
    }

    /// A target of an unknown service counts as one that checks no fences,
    /// which only costs time.
    fn sync_fenced(&mut self, state: &State) {
        let services = &state.config().fleet.services;
        for (target, kept) in &mut self.kept {
            let service = self.services.get(target).and_then(|name| services.get(name));
            kept.fenced = service.is_some_and(|entry| entry.fenced);
        }
    }

    fn sync_gone(&mut self, now: Time) {
        let timings = self.timings;
        for (target, kept) in &mut self.kept {
            kept.gone = kept.gone || self.listing.is_gone(now, &timings, target.as_str());
            for vm in &kept.prior {
                if self.listing.is_gone(now, &timings, vm.as_str()) {
                    kept.stopped.entry(vm.clone()).or_insert(now);
                }
            }
        }
    }

    /// Returns what to do now.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.excuse_pause(now);
        self.sync_gone(now);
        let mut actions = Vec::new();
        self.clear_slices(now);
        self.ask_peers(now, &mut actions);
        self.append_claims(now, &mut actions);
        self.move_slices(now, &mut actions);
        for kept in self.kept.values_mut() {
            actions.extend(kept.tick(now, &self.timings, &self.vm));
        }
        let mut read = false;
        actions.retain(|action| *action != Action::ReadHead || !std::mem::replace(&mut read, true));
        actions
    }

    /// Silence during a pause of this process says nothing about a target.
    fn excuse_pause(&mut self, now: Time) {
        let paused = self.ticked.is_some_and(|last| now.since(last) > self.timings.period);
        self.ticked = Some(now);
        if paused {
            self.kept.values_mut().for_each(|kept| kept.excuse(now));
        }
    }

    /// A process acts only under a claim of its own: commands of an earlier
    /// process of this VM may still be on their way. A second claim lets the
    /// log forget earlier keepers.
    fn append_claims(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.log_up {
            return;
        }
        for (target, kept) in &self.kept {
            let made = self.claims.get(target).is_some_and(|(version, _)| *version == kept.version);
            if !made && kept.is_settled(now, &self.timings) {
                self.claims.insert(target.clone(), (kept.version, None));
            }
        }
        for (target, (version, made)) in &mut self.claims {
            if made.is_some_and(|at| now.since(at) < super::moves::APPEND_AGAIN) {
                continue;
            }
            *made = Some(now);
            let claim = Claim { target: target.clone(), expects: *version, keeper: self.vm.clone() };
            actions.push(Action::Append(Change::Keeper(claim)));
        }
    }

    /// Takes the answer to a command or an inspection that was sent at a
    /// moment.
    pub fn reply(&mut self, now: Time, sent: Time, reply: &Reply) {
        if let Some(kept) = self.kept.get_mut(&reply.target) {
            kept.reply(now, sent, reply, &self.timings);
        }
    }

    /// Takes note that a command to a target got no answer.
    pub fn failed(&mut self, _now: Time, target: &TargetId) {
        if let Some(kept) = self.kept.get_mut(target) {
            kept.failed();
        }
    }

    /// Takes note that the log was read up to its head by a read that began
    /// at a moment, and that the state was given to [`Keeper::sync`].
    pub fn at_head(&mut self, began: Time) {
        self.kept.values_mut().for_each(|kept| kept.at_head(began));
    }

    /// Returns whether this VM may send a request to a target now.
    ///
    /// # Errors
    ///
    /// `Code::NoOwner` if this VM does not keep the target, its lease may
    /// have ended or it has not confirmed the grant.
    pub fn admit(&self, now: Time, target: &TargetId, slice: Option<(SliceId, Fence)>) -> Result<(), Error> {
        let refuse = |detail: &str| Err(Error::new(Code::NoOwner, format!("{target}: {detail}")));
        let Some(kept) = self.kept.get(target) else { return refuse("not kept by this gateway") };
        if !kept.is_leased(now) {
            return refuse("the lease may have ended");
        }
        match slice {
            Some((slice, fence)) if !kept.holds(now, slice, fence) => refuse("the grant is not confirmed"),
            _ => Ok(()),
        }
    }

    /// Returns the standby to which a slice of a lost owner was handed over
    /// provisionally, with its fence.
    pub fn lent(&self, owner: &TargetId, slice: SliceId) -> Option<&(TargetId, Fence)> {
        self.kept.get(owner)?.handed.get(&slice)
    }

    /// Returns whether this VM keeps a target.
    pub fn keeps(&self, target: &TargetId) -> bool {
        self.kept.contains_key(target)
    }

    /// Returns whether a target counts as lost.
    pub fn is_lost(&self, now: Time, target: &TargetId) -> bool {
        self.kept.get(target).is_some_and(|kept| kept.is_lost(now, &self.timings))
    }

    pub(super) fn is_gone(&self, now: Time, target: &TargetId) -> bool {
        self.listing.is_gone(now, &self.timings, target.as_str())
    }
}
