//! Grants keys to targets: which commands are sent, and which record is written
//! next.
//!
//! One edge process, the leader, grants all keys. Every change of owners is a
//! record with the full table. The store accepts it only directly after the
//! record that the leader knows as the last one, so that a record of a second
//! leader makes all later ones of the first fail. A new leader grants the same
//! keys to the same targets with a higher fence, after which these targets
//! refuse commands of older leaders.
//!
//! A key moves only when its last owner has released it, or when every lease
//! that may have been granted to that owner has expired. Renewing needs no
//! store.

mod command;
mod lease;
mod range;

pub use {
    command::{Action, Command, Outcome},
    lease::LeaseTimes,
};

use {
    crate::{
        balance,
        directory::{Directory, Incarnation, Target},
        evacuation,
        owners::{Owners, ProcessId, Row},
        vacancy::{self, Vacancy},
    },
    catkin::types::{ConnId, Span, Time},
    command::{FAILURE_WEIGHT_MAX, failure_weight},
    range::{Phase, Range, empty_range, merge, split},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Delay before a command is repeated that the target refused.
const REFUSED_DELAY: Span = Span::from_millis(150);

/// Least time between two records that only raise fences. A new fence reaches
/// the owner well before its lease expires.
const RAISE_INTERVAL: Span = Span::from_millis(200);

/// Least time for which a target that failed a command is suspected and gets no
/// further keys.
const SUSPECT_TIME_MIN: Span = Span::from_secs(3);

/// Time for which the directory must not change before keys get their first
/// owners: targets that start together are listed one after the other.
const DIRECTORY_QUIET_TIME: Span = Span::from_millis(1_000);

/// Age of the store's last answer up to which keys of an evacuated zone are
/// released. The leader calls the store every 300 ms.
const STORE_CONTACT_AGE_MAX: Span = Span::from_millis(800);

/// A step that the leader must do next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send a command.
    Send(Command),
    /// Write a table to the store as the record at `offset`.
    Write {
        /// The table to be written.
        table: Owners,
        /// Offset that the record must get; at any other offset the store must
        /// refuse it.
        offset: u64,
    },
}

/// A range of keys with its owner, as seen by the leader.
#[derive(Clone, Debug)]
pub struct OwnedRange {
    /// The range, its owner and the fence.
    pub row: Row,
    /// Whether it may be moved: its owner has acknowledged the grant, and no
    /// command is in progress.
    pub movable: bool,
    /// When it moved to its owner, if it came by a move.
    pub moved_at: Option<Time>,
}

/// What is known of a process that failed a command.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    failed_at: Time,
    /// Whether it has carried out a command since.
    answered: bool,
}

/// The leader's state of all keys.
#[derive(Clone, Debug)]
pub struct Granter {
    lease_times: LeaseTimes,
    leader: ProcessId,
    /// Earlier leaders that may still renew leases, and the time until which
    /// they may.
    earlier_leaders: (Vec<ProcessId>, Time),
    /// Times of the leases of earlier leaders.
    earlier_times: LeaseTimes,
    next_offset: u64,
    services: BTreeMap<Arc<str>, Vec<Range>>,
    addrs: BTreeMap<Incarnation, SocketAddr>,
    /// Suspected processes.
    suspected: BTreeMap<Incarnation, Suspicion>,
    last_ticket: u64,
    /// Whether a record is being written.
    is_writing: bool,
    /// Time of the last call that the store has answered.
    store_contact: Time,
    is_fenced: bool,
    /// When a record last raised fences.
    raised_at: Time,
    /// Counter of the directory's changes and the time of the last one.
    directory_changes: (u64, Time),
}

/// Returns the table that claims leadership at an offset: the same owners with
/// a higher fence.
pub fn claim(leader: &ProcessId, lease_duration: Span, last: Option<&Owners>, offset: u64) -> Owners {
    let Some(last) = last else {
        let (earlier_leaders, services) = (Vec::new(), BTreeMap::new());
        return Owners { leader: leader.clone(), earlier_leaders, lease_duration, services };
    };
    let mut services = last.services.clone();
    for row in services.values_mut().flatten() {
        row.fence = offset + 1;
    }
    // A VM runs one process at a time, so an earlier incarnation has ended.
    let others = last.earlier_leaders.iter().filter(|other| other.vm != last.leader.vm);
    let earlier_leaders: Vec<ProcessId> =
        others.chain([&last.leader]).filter(|other| other.vm != leader.vm).cloned().collect();
    let lease_duration =
        if earlier_leaders.is_empty() { lease_duration } else { lease_duration.max(last.lease_duration) };
    Owners { leader: leader.clone(), earlier_leaders, lease_duration, services }
}

impl Granter {
    /// Starts from the claim that the store accepted at an offset. Earlier
    /// leaders may have sent grants with `lease_duration` until `stop_time`.
    pub fn new(
        lease_times: LeaseTimes,
        now: Time,
        stop_time: Time,
        lease_duration: Span,
        claim: &Owners,
        offset: u64,
    ) -> Self {
        let earlier_times = LeaseTimes { duration: lease_duration.max(lease_times.duration), ..lease_times };
        let expiry = earlier_times.expiry(stop_time.max(now));
        let range = |row: &Row| Range {
            row: row.clone(),
            phase: Phase::Held,
            expiry,
            earlier_expiry: expiry,
            next_send: now,
            opened_at: Some(now),
            ..empty_range()
        };
        let services = claim
            .services
            .iter()
            .map(|(name, rows)| (name.clone(), rows.iter().map(range).collect()))
            .collect();
        Self {
            lease_times,
            leader: claim.leader.clone(),
            earlier_leaders: (claim.earlier_leaders.clone(), stop_time),
            earlier_times,
            next_offset: offset + 1,
            services,
            addrs: BTreeMap::new(),
            suspected: BTreeMap::new(),
            last_ticket: 0,
            is_writing: false,
            store_contact: now,
            is_fenced: false,
            raised_at: Time::default(),
            directory_changes: (0, now),
        }
    }

    /// Lowers the bound on the grants that earlier leaders may have sent, once
    /// all of these leaders are known to have stopped.
    pub fn earlier_stopped(&mut self, now: Time) {
        self.earlier_leaders = (Vec::new(), now);
        let expiry = self.earlier_times.expiry(now);
        for range in self.services.values_mut().flatten().filter(|s| !s.granted) {
            range.expiry = range.expiry.min(expiry);
            range.earlier_expiry = range.earlier_expiry.min(expiry);
            if let Phase::Unowned(since) = range.phase {
                range.phase = Phase::Unowned(since.min(expiry));
            }
        }
    }

    /// Records the time of a call that the store has answered. Keys of an
    /// evacuated zone that are released without the store would have no owner
    /// until it is available again.
    pub fn note_store_contact(&mut self, at: Time) {
        self.store_contact = self.store_contact.max(at);
    }

    /// Returns whether a target refused a command since it has seen the higher
    /// fence of another leader.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether every key is held by a target that has acknowledged its
    /// grant.
    pub fn are_all_granted(&self) -> bool {
        let held = |s: &Range| s.granted && s.phase == Phase::Held;
        !self.services.is_empty() && self.services.values().flatten().all(held)
    }

    /// Returns whether a target has not yet answered the first grant of keys
    /// that nobody else may hold.
    pub fn awaits_new_owner(&self, now: Time) -> bool {
        let awaits =
            |s: &Range| s.phase == Phase::Held && !s.granted && s.expiry <= now && s.pending.is_some();
        self.services.values().flatten().any(awaits)
    }

    /// Returns the ranges of a service in the order of their keys.
    pub fn ranges(&self, service: &str) -> Vec<OwnedRange> {
        let ranges = self.services.get(service).map_or(&[][..], |s| &s[..]);
        let movable = |s: &Range| s.phase == Phase::Held && s.granted && s.pending.is_none();
        ranges
            .iter()
            .map(|s| OwnedRange { row: s.row.clone(), movable: movable(s), moved_at: s.moved_at })
            .collect()
    }

    /// Returns whether a process is suspected: it failed a command a short time
    /// ago, or is not known to have run since.
    pub fn is_suspected(&self, incarnation: &Incarnation) -> bool {
        self.suspected.contains_key(incarnation)
    }

    /// Advances the state of all keys and returns what must be done. `keyed`
    /// are the services whose keys have owners.
    pub fn tick(
        &mut self,
        now: Time,
        keyed: &[Arc<str>],
        directory: &Directory,
        loads: &balance::FleetLoads,
    ) -> Vec<Step> {
        self.observe(now, directory);
        for service in keyed {
            self.services.entry(service.clone()).or_insert_with(|| vec![empty_range()]);
        }
        let mut steps = Vec::new();
        let names: Vec<Arc<str>> = self.services.keys().cloned().collect();
        for service in names {
            self.advance(now, &service, directory, &mut steps);
        }
        if !self.is_writing {
            self.assign(now, directory, loads, &mut steps);
        }
        steps
    }

    /// Records addresses, changes of the directory, and targets that are no
    /// longer suspected. Addresses are kept for targets that have left the
    /// directory, as these still get commands.
    fn observe(&mut self, now: Time, directory: &Directory) {
        for target in directory.all() {
            self.addrs.insert(target.entry.incarnation.clone(), target.entry.addr);
        }
        if self.directory_changes.0 != directory.changes() {
            self.directory_changes = (directory.changes(), now);
        }
        let is_unconfirmed = |owner: &Incarnation, at: Time| {
            directory.get(&owner.id).is_some() && !directory.is_confirmed(owner, at)
        };
        self.suspected.retain(|owner, Suspicion { failed_at, .. }| {
            now.since(*failed_at) < SUSPECT_TIME_MIN || is_unconfirmed(owner, *failed_at)
        });
        for range in self.services.values_mut().flatten() {
            let owner = range.row.incarnation();
            range.opened_at = range.opened_at.filter(|at| !directory.has_run_since(&owner, *at));
        }
        if self.addrs.len() > 4 * directory.len() + 64 {
            self.addrs.retain(|incarnation, _| directory.current(incarnation).is_some());
        }
    }

    fn advance(&mut self, now: Time, service: &Arc<str>, directory: &Directory, steps: &mut Vec<Step>) {
        let mut ranges = self.services.remove(service).unwrap_or_default();
        let open_count = self.open_targets(service, directory).len();
        for range in &mut ranges {
            self.update_phase(now, service, range, directory, open_count);
            // A renewal that a silent owner does not answer would extend its lease.
            let owner = directory.current(&range.row.incarnation());
            let is_silent = owner.is_some_and(|t| t.is_silent) && range.phase == Phase::Held;
            if !is_silent && let Some(command) = self.next_command(now, range) {
                steps.push(Step::Send(command));
            }
        }
        self.services.insert(service.clone(), ranges);
    }

    fn accepts_keys(&self, target: &Target) -> bool {
        target.is_open() && target.grace_end.is_none() && !self.is_suspected(&target.entry.incarnation)
    }

    /// Returns whether a target keeps the keys that it owns for now. One that
    /// drains does not. One in an evacuated zone does while others release theirs
    /// first, or while the next owner could perhaps not be recorded.
    fn keeps_keys(&self, now: Time, target: &Target) -> bool {
        if target.draining_since.is_some() {
            return false;
        }
        let Some(evacuation) = target.evacuation else { return true };
        let is_due = now >= evacuation.release_at;
        let was_reached = self.store_contact >= evacuation.release_at
            && now.since(self.store_contact) < STORE_CONTACT_AGE_MAX;
        !is_due || !was_reached || self.is_writing
    }

    /// Changes the phase of a range by the state of its owner in the directory.
    /// `open_count` is the number of targets that accept keys.
    fn update_phase(
        &mut self,
        now: Time,
        service: &Arc<str>,
        range: &mut Range,
        directory: &Directory,
        open_count: usize,
    ) {
        if range.pending.is_some() {
            return;
        }
        match range.phase {
            Phase::Held => {}
            Phase::Releasing if range.failure_weight > 0 => {
                range.phase = Phase::Unowned(range.expiry);
                return;
            }
            _ => return,
        }
        let known = directory.get(&range.row.target);
        let has_addr = self.addrs.contains_key(&range.row.incarnation());
        let is_earlier = |t: &Target| t.entry.incarnation.started < range.row.started;
        match known {
            Some(t) if t.entry.incarnation.started > range.row.started => {
                // The process that held the keys has ended, and with it the
                // commands that it had not yet carried out. A later one may
                // have carried out those that came on a new connection, so it
                // keeps the keys.
                match range.opened_at {
                    None => range.phase = Phase::Unowned(now),
                    // Whether the later one leaves is not known yet.
                    Some(_) if t.is_doubted => {}
                    Some(_) if t.is_open() && t.entry.service == *service => {
                        range.row.started = t.entry.incarnation.started;
                        range.failure_weight = 0;
                        range.refused_since = None;
                        range.disconnected_at = Some(now);
                    }
                    Some(_) => range.phase = Phase::Unowned(range.expiry),
                }
            }
            _ if range.failure_weight >= FAILURE_WEIGHT_MAX => range.phase = Phase::Unowned(range.expiry),
            _ if range.refused_since.is_some_and(|at| now.since(at) >= self.lease_times.duration) => {
                range.phase = Phase::Unowned(range.expiry.max(now))
            }
            // It gets no renewals.
            Some(t) if t.is_silent && !is_earlier(t) && now >= range.last_expiry() => {
                range.phase = Phase::Unowned(now)
            }
            // No record could be written before the lease expired.
            Some(_) if range.disconnected_at.is_some() && now >= range.expiry => {
                range.phase = Phase::Unowned(now)
            }
            Some(t) if self.keeps_keys(now, t) && !is_earlier(t) => {}
            // The entry of the owner may be on its way to a new leader.
            _ if !has_addr && now < range.expiry => {}
            _ if !has_addr => range.phase = Phase::Unowned(now),
            // The entry was written before the owner started and says nothing
            // of it.
            Some(t) if is_earlier(t) => {}
            // A grant goes first, so that the owner refuses an earlier leader.
            _ if range.earlier_expiry > now => {}
            // The answer to a release would be awaited for longer than the lease.
            None if range.failure_weight > 0 => range.phase = Phase::Unowned(range.expiry),
            _ if open_count > 0 => {
                range.phase = Phase::Releasing;
                // The release does not wait for the time of the next renewal,
                // which may be a half of the time for the evacuation.
                if known.is_some_and(|t| t.evacuation.is_some()) {
                    range.next_send = now;
                }
            }
            _ => {}
        }
    }

    fn next_command(&mut self, now: Time, range: &mut Range) -> Option<Command> {
        if range.pending.is_some() || now < range.next_send {
            return None;
        }
        if range.is_disconnected() {
            return None;
        }
        let action = match range.phase {
            Phase::Held => {
                Action::Grant { duration: self.lease_times.duration, handover: range.row.handover.clone() }
            }
            Phase::Releasing => Action::Release,
            Phase::Unowned(_) | Phase::Writing => return None,
        };
        let incarnation = range.row.incarnation();
        let addr = *self.addrs.get(&incarnation)?;
        self.last_ticket += 1;
        range.pending = Some(self.last_ticket);
        range.next_send = now.after(self.lease_times.renew_interval);
        let Row { from, to, fence, .. } = range.row;
        let conn = range.conn;
        Some(Command { ticket: self.last_ticket, incarnation, addr, from, to, fence, conn, action })
    }

    /// Records the connection on which a command went out, whatever became of
    /// it. Must be called before [`command_ended`](Self::command_ended).
    pub fn command_sent(&mut self, now: Time, ticket: u64, conn: ConnId) {
        if let Some(range) = find_pending(&mut self.services, ticket).filter(|s| s.phase == Phase::Held) {
            range.bind(now, conn);
        }
    }

    /// Records the outcome of a command.
    pub fn command_ended(&mut self, now: Time, ticket: u64, outcome: Outcome) {
        let expiry = self.lease_times.expiry(now);
        let Some(range) = find_pending(&mut self.services, ticket) else { return };
        range.pending = None;
        // A range enters the releasing phase only while no command is in
        // progress.
        let is_release = range.phase == Phase::Releasing;
        match (outcome, is_release) {
            (Outcome::Done(handover), true) => {
                range.row.handover = handover;
                range.phase = Phase::Unowned(range.late_expiry.max(range.earlier_expiry).max(now));
            }
            (Outcome::Done(_), false) => {
                range.earlier_expiry = Time::default();
                range.granted = true;
                range.expiry = expiry;
                range.failure_weight = 0;
                range.refused_since = None;
                if let Some(suspicion) = self.suspected.get_mut(&range.row.incarnation()) {
                    suspicion.answered = true;
                }
            }
            (Outcome::Fenced, _) => self.is_fenced = true,
            // The command that found the connection closed counts as failed, if
            // any did.
            (Outcome::Closed, _) => {
                range.next_send = now;
                range.disconnected_at = Some(now);
            }
            (outcome, is_release) => {
                range.failure_weight += failure_weight(&outcome, is_release);
                range.next_send = now;
                if outcome == Outcome::Refused {
                    range.next_send = now.after(REFUSED_DELAY);
                    range.refused_since.get_or_insert(now);
                }
                // A release that is carried out late extends no lease.
                if !is_release && matches!(outcome, Outcome::Unknown | Outcome::Disconnected) {
                    range.expiry = range.expiry.max(expiry);
                    range.late_expiry = expiry;
                }
                // The connection that carried the fence is closed.
                if !matches!(outcome, Outcome::Refused) {
                    range.disconnected_at = Some(now);
                }
                let suspicion = Suspicion { failed_at: now, answered: false };
                self.suspected.insert(range.row.incarnation(), suspicion);
            }
        }
    }

    /// Starts to move keys to another target. Returns false if the range has no
    /// single owner that holds it, may not be moved now, or is owned by `dest`,
    /// or if a record is being written.
    pub fn begin_move(&mut self, service: &str, from: u16, to: u16, dest: Incarnation) -> bool {
        if self.is_writing {
            return false;
        }
        let Some(ranges) = self.services.get_mut(service) else { return false };
        let Some(i) = ranges.iter().position(|s| s.row.from <= from && to <= s.row.to) else { return false };
        if ranges[i].phase != Phase::Held || ranges[i].pending.is_some() || !ranges[i].granted {
            return false;
        }
        if ranges[i].row.incarnation() == dest {
            return false;
        }
        let pieces = split(ranges[i].clone(), from, to);
        let at = pieces.iter().position(|s| s.row.from == from).unwrap_or(0);
        ranges.splice(i..=i, pieces);
        let range = &mut ranges[i + at];
        range.phase = Phase::Releasing;
        range.next_send = Time::default();
        range.dest = Some(dest);
        true
    }

    /// Assigns owners to keys that no target may hold, and writes the table.
    fn assign(
        &mut self,
        now: Time,
        directory: &Directory,
        loads: &balance::FleetLoads,
        steps: &mut Vec<Step>,
    ) {
        let fence = self.next_offset + 1;
        let mut changed = false;
        let names: Vec<Arc<str>> = self.services.keys().cloned().collect();
        for service in names {
            let mut ranges = self.services.remove(&service).unwrap_or_default();
            let mut open = self.open_targets(&service, directory);
            if directory.evacuated_zones().next().is_some() {
                open = evacuation::receivers(now, open);
            }
            let is_first = ranges.iter().all(|s| s.row.target.is_empty());
            if is_first && now.since(self.directory_changes.1) < DIRECTORY_QUIET_TIME {
                open.clear();
            }
            changed |= reassign(now, &service, &mut ranges, &open, loads, fence);
            self.services.insert(service, ranges);
        }
        changed |= self.raise_fences(now, directory, fence, changed);
        if !changed {
            return;
        }
        self.is_writing = true;
        let rows = |ranges: &Vec<Range>| {
            ranges.iter().map(|s| s.row.clone()).filter(|r| !r.target.is_empty()).collect()
        };
        let services = self.services.iter().map(|(name, ranges)| (name.clone(), rows(ranges))).collect();
        if self.earlier_leaders.1 <= now {
            self.earlier_leaders.0.clear();
        }
        let earlier_leaders = self.earlier_leaders.0.clone();
        let lease_duration =
            if earlier_leaders.is_empty() { self.lease_times.duration } else { self.earlier_times.duration };
        let table = Owners { leader: self.leader.clone(), earlier_leaders, lease_duration, services };
        steps.push(Step::Write { table, offset: self.next_offset });
    }

    /// Returns the ranges whose owners serve them no more, with the time until each
    /// has another one. The ends of an owner's leases differ by seconds if a grant
    /// was in progress when it stopped.
    pub fn vacancies(&self, now: Time, directory: &Directory) -> Vec<Vacancy> {
        let mut list = Vec::new();
        for (service, ranges) in &self.services {
            for range in ranges.iter().filter(|range| !range.row.target.is_empty()) {
                let is_silent = || directory.current(&range.row.incarnation()).is_some_and(|t| t.is_silent);
                let end = match range.phase {
                    Phase::Unowned(end) => end,
                    Phase::Held | Phase::Releasing if is_silent() => {
                        // A grant in progress may be carried out.
                        let pending = range.pending.map_or(Time::default(), |_| self.lease_times.expiry(now));
                        range.last_expiry().max(pending)
                    }
                    _ => continue,
                };
                list.push(Vacancy::new(now, service, range.row.from, range.row.to, end));
            }
        }
        vacancy::bound(&mut list);
        list
    }

    /// Returns the targets that may get keys. Suspected ones that have answered
    /// since get keys only if no other target can.
    fn open_targets<'a>(&self, service: &str, directory: &'a Directory) -> Vec<&'a Target> {
        let open: Vec<&Target> = directory.of_service(service).filter(|t| self.accepts_keys(t)).collect();
        if !open.is_empty() {
            return open;
        }
        let has_answered = |t: &&Target| self.suspected.get(&t.entry.incarnation).is_some_and(|s| s.answered);
        let is_present = |t: &&Target| t.is_open() && t.grace_end.is_none();
        directory.of_service(service).filter(is_present).filter(has_answered).collect()
    }

    /// Raises the fences of ranges whose next command must not have the known
    /// one. Returns whether any fence was raised. `is_due` is whether a record
    /// is written anyway.
    fn raise_fences(&mut self, now: Time, directory: &Directory, fence: u64, is_due: bool) -> bool {
        if !is_due && now.since(self.raised_at) < RAISE_INTERVAL {
            return false;
        }
        let is_listed =
            |range: &Range| directory.current(&range.row.incarnation()).is_some_and(|t| !t.is_silent);
        let ranges = self.services.values_mut().flatten();
        let mut changed = false;
        for range in ranges.filter(|range| range.is_disconnected() && is_listed(range)) {
            range.raise_fence(now, fence);
            changed = true;
        }
        if changed {
            self.raised_at = now;
        }
        changed
    }

    /// Records that the store accepted the table of the last write.
    pub fn table_accepted(&mut self, now: Time) {
        self.next_offset += 1;
        self.is_writing = false;
        self.note_store_contact(now);
        for range in self.services.values_mut().flatten() {
            if range.phase == Phase::Writing {
                range.phase = Phase::Held;
                range.next_send = now;
            }
        }
    }
}
/// Returns the range whose command in progress has a ticket.
fn find_pending(services: &mut BTreeMap<Arc<str>, Vec<Range>>, ticket: u64) -> Option<&mut Range> {
    services.values_mut().flatten().find(|s| s.pending == Some(ticket))
}

/// Assigns new owners to ranges that no target may hold, and merges neighbours
/// of one owner. Returns whether anything changed that must be written.
fn reassign(
    now: Time,
    service: &Arc<str>,
    ranges: &mut Vec<Range>,
    open: &[&Target],
    loads: &balance::FleetLoads,
    fence: u64,
) -> bool {
    let is_free = |s: &Range| matches!(s.phase, Phase::Unowned(since) if since <= now);
    if open.is_empty() || !ranges.iter().any(is_free) {
        return false;
    }
    let mut loads_by_target = balance::TargetLoads::new(now, service, open, loads);
    for range in ranges.iter().filter(|s| !is_free(s)) {
        loads_by_target.add(&range.row);
    }
    let mut next: Vec<Range> = Vec::with_capacity(ranges.len());
    for range in ranges.drain(..) {
        if !is_free(&range) {
            next.push(range);
            continue;
        }
        let wanted = range
            .dest
            .as_ref()
            .and_then(|incarnation| open.iter().find(|t| t.entry.incarnation == *incarnation));
        let pieces = match wanted {
            Some(target) => vec![(range.row.from, range.row.to, target.entry.incarnation.clone())],
            None => loads_by_target.divide(range.row.from, range.row.to),
        };
        for (from, to, incarnation) in pieces {
            let handover = range.row.handover.clone();
            let row = Row { from, to, target: incarnation.id, started: incarnation.started, fence, handover };
            loads_by_target.add(&row);
            // The last owner does not hold the keys any more, so no lease and
            // no late grant is known for the new one.
            let moved_at = range.dest.is_some().then_some(now);
            let opened_at = Some(now);
            next.push(Range { row, phase: Phase::Writing, moved_at, opened_at, ..empty_range() });
        }
    }
    *ranges = merge(now, next);
    true
}
