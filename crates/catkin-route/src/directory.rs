//! The targets that the platform's directory lists.

use {
    crate::{
        evacuation::{Evacuation, Evacuations},
        owners::Owners,
    },
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Time for which a draining target still gets requests for keys that it owns,
/// so that its keys can move. Together with the delay of reading the directory
/// it stays under the smallest drain bound of 2 s.
const DRAIN_SERVE_TIME: Span = Span::from_millis(600);

/// Time after an outage of the directory's store within which live targets
/// write their expired entries again.
const OUTAGE_GRACE: Span = Span::from_millis(2_200);

/// Share of all entries whose removal at once means that they expired. Planned
/// work removes fewer at a time.
const EXPIRED_SHARE_MIN: f64 = 0.4;

/// Least number of entries whose removal at once can mean that they expired.
const EXPIRED_COUNT_MIN: usize = 3;

/// Time for which an entry stays listed after its process has ended, unless the
/// platform says otherwise.
const ENTRY_TTL_DEFAULT: Span = Span::from_secs(4);

/// Usual time between the write of an entry and its receipt.
const ENTRY_DELAY: Span = Span::from_secs(1);

/// Longest time after which the store carries out a write that it has not
/// answered, as the platform states it.
const LATE_WRITE_MAX: Span = Span::from_secs(6);

/// Time after an announcement of a departure in which an incarnation that becomes
/// listed may be the one that made it: an entry may be as late as the longest
/// announced outage of the store (9 s), a late write (6 s), a heartbeat and two
/// reads together.
const ANNOUNCED_BEFORE_MAX: Span = Span::from_secs(20);

/// Longest time for which a target is in doubt. One that leaves has ended by then:
/// its drain time of 2 s began before it was listed.
const DOUBT_TIME_MAX: Span = Span::from_secs(3);

/// Time for which the end of a doubt is told to other processes. It covers several
/// reports of each.
const STAYING_TIME: Span = Span::from_secs(5);

/// Longest time between two reads of the directory in which no removal of an
/// entry is missed for long.
const READ_GAP_MAX: Span = Span::from_secs(1);

/// An incarnation: one run of a target's process. A restarted target has the
/// same id and a later start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the target, which its incarnations share.
    pub id: Arc<str>,
    /// Start of the process, in Unix milliseconds of the target's clock.
    pub started: u64,
}

/// An entry of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The incarnation that wrote the entry.
    pub incarnation: Incarnation,
    /// Service that the target serves.
    pub service: Arc<str>,
    /// Address for requests and commands.
    pub addr: SocketAddr,
    /// Availability zone of the target.
    pub zone: Arc<str>,
    /// Number of requests that the target runs at the same time.
    pub slots: u32,
    /// Whether the target is draining: it finishes its work and leaves.
    pub draining: bool,
    /// Rest of the slow start after the start of the process.
    pub cold_left: Span,
}

/// A known target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Newest entry that was received.
    pub entry: Entry,
    /// When an entry or an answer of this incarnation first said that the target
    /// is draining.
    pub draining_since: Option<Time>,
    /// End of the grace period, if the entry expired while the store was
    /// unavailable; the target counts as present until then.
    pub grace_end: Option<Time>,
    /// End of the slow start.
    pub cold_until: Time,
    /// Least end of the slow start that a complete listing may set, if the
    /// evacuation of the zone was withdrawn since the last entry was received.
    cold_until_min: Time,
    /// Times of the evacuation, if the zone is evacuated.
    pub evacuation: Option<Evacuation>,
    /// When an entry was last received, which rarely happens while it is
    /// unchanged, see [`Directory::put`].
    pub last_seen: Time,
    /// Time after which the store carried out the write of the entry, as far as
    /// is known: a complete listing tells nothing of that.
    pub written_after: Time,
    /// Whether a late write of an earlier incarnation has replaced the entry in
    /// the store.
    pub is_replaced: bool,
    /// Whether a departure that was counted for an earlier incarnation may have
    /// been announced by this one. It gets nothing new meanwhile.
    pub is_doubted: bool,
    /// Whether it has stopped responding, see [`crate::silence`]. It gets nothing
    /// new meanwhile.
    pub is_silent: bool,
}

/// That an incarnation leaves.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start of the incarnation.
    started: u64,
    since: Time,
    /// When an answer last said so that was counted for this incarnation; `None`
    /// if only its entry did. Answers name no process.
    announced_at: Option<Time>,
}

/// Doubt whether a listed incarnation has announced that it leaves.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// Start of the incarnation.
    started: u64,
    since: Time,
    /// Since when the incarnation is known not to leave.
    stays_since: Option<Time>,
}

/// Start of the latest known process of a target.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// Start of the incarnation.
    started: u64,
    /// When the incarnation was first heard of.
    known_since: Time,
}

/// Difference from the known end of the slow start above which an entry says
/// another one. Entries that repeat the same one are read with other delays.
const COLD_DIFFERENCE_MIN: Span = Span::from_secs(1);

/// Rest of a slow start that is over before other processes hear of it.
const COLD_LEFT_MIN: Span = Span::from_millis(20);

/// Most targets that are not listed whose latest start and departure are
/// remembered. Above, all of these are forgotten.
const UNLISTED_MAX: usize = 4_096;

/// All known targets, by id and by service.
#[derive(Clone, Debug)]
pub struct Directory {
    targets: HashMap<Arc<str>, Target>,
    services: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Incarnations that said themselves that they leave, or whose entry was
    /// removed while they drained, by id, and since when this is known. Entries
    /// do not change that, nor does their removal.
    left: HashMap<Arc<str>, Departure>,
    /// Doubts by id, also those that have ended a short time ago.
    doubts: HashMap<Arc<str>, Doubt>,
    /// Listed incarnations that have stopped responding.
    silent: Vec<Incarnation>,
    /// Latest start of each target, also after its entry was removed.
    starts: HashMap<Arc<str>, Start>,
    evacuations: Evacuations,
    /// When the evacuation of a zone was last withdrawn.
    readmitted_at: Time,
    grace_end: Time,
    changes: u64,
    entry_ttl: Span,
    /// When the directory was last known to be complete.
    read_at: Time,
    /// Since when it was read without a gap.
    read_since: Time,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            targets: HashMap::new(),
            services: BTreeMap::new(),
            left: HashMap::new(),
            doubts: HashMap::new(),
            silent: Vec::new(),
            starts: HashMap::new(),
            evacuations: Evacuations::default(),
            readmitted_at: Time::default(),
            grace_end: Time::default(),
            changes: 0,
            entry_ttl: ENTRY_TTL_DEFAULT,
            read_at: Time::default(),
            read_since: Time::default(),
        }
    }
}

impl Directory {
    /// Sets the time for which an entry stays listed after its process has
    /// ended.
    #[must_use]
    pub fn with_entry_ttl(self, entry_ttl: Span) -> Self {
        Self { entry_ttl, ..self }
    }

    /// Sets the time after which the targets of an evacuated zone must get no
    /// requests.
    #[must_use]
    pub fn with_evacuation_time(self, bound: Span) -> Self {
        Self { evacuations: Evacuations::new(bound), ..self }
    }

    /// Records that the operator has evacuated a zone, which he had not at
    /// `written_after`. Targets that are listed later are evacuated as well.
    /// Returns whether that is new.
    pub fn evacuate(&mut self, now: Time, zone: &str, written_after: Time) -> bool {
        let is_new = self.evacuations.begin(now, zone, written_after);
        self.changes += u64::from(is_new);
        for target in self.targets.values_mut().filter(|target| *target.entry.zone == *zone) {
            target.evacuation = self.evacuations.find(zone, &target.entry.incarnation.id);
        }
        is_new
    }

    /// Records that the operator has withdrawn the evacuation of a zone. Its
    /// targets are cold for the time that `cold_time` returns for their service,
    /// until an entry that is received later says otherwise. Returns whether the
    /// zone was evacuated.
    pub fn readmit(&mut self, now: Time, zone: &str, cold_time: impl Fn(&str) -> Span) -> bool {
        if !self.evacuations.end(zone) {
            return false;
        }
        self.readmitted_at = now;
        self.changes += 1;
        for target in self.targets.values_mut().filter(|target| *target.entry.zone == *zone) {
            target.evacuation = None;
            target.cold_until_min = now.after(cold_time(&target.entry.service));
            target.cold_until = target.cold_until.max(target.cold_until_min);
        }
        true
    }

    /// Returns the names of the evacuated zones in their order.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuations.zones()
    }

    /// Returns when the evacuation of a zone was last withdrawn; the default time
    /// if none was.
    pub fn readmitted_at(&self) -> Time {
        self.readmitted_at
    }

    /// Records that the directory had no newer change at a time.
    pub fn note_read(&mut self, at: Time) {
        if at.since(self.read_at) > READ_GAP_MAX {
            self.read_since = at;
        }
        self.read_at = self.read_at.max(at);
    }

    /// Returns whether a process seems to have run after a time: its entry was
    /// received since, or it is still listed although the entry of a process
    /// that had ended by then would usually have been removed. A late write can
    /// make this wrong, see [`has_run_since`](Self::has_run_since).
    pub fn is_confirmed(&self, incarnation: &Incarnation, since: Time) -> bool {
        self.current(incarnation).is_some_and(|t| {
            t.last_seen > since.after(ENTRY_DELAY) || self.is_still_listed(t, since, Span::ZERO)
        })
    }

    /// Returns whether a process is proven to have run after a time, however
    /// late its writes were carried out: one was carried out longer after that
    /// time than any write is late, or the entry is still listed so long after
    /// it that the last late one would have been removed.
    pub fn has_run_since(&self, incarnation: &Incarnation, since: Time) -> bool {
        self.current(incarnation).is_some_and(|t| {
            t.written_after >= since.after(LATE_WRITE_MAX) || self.is_still_listed(t, since, LATE_WRITE_MAX)
        })
    }

    /// Returns whether a target is still listed although the entry of a process
    /// that had ended by a time, and whose last write was carried out by `late`
    /// after that, would have been removed.
    fn is_still_listed(&self, target: &Target, since: Time, late: Span) -> bool {
        let removed_by = since.max(self.read_since).after(late).after(self.entry_ttl);
        self.read_at >= removed_by && target.grace_end.is_none()
    }

    /// Starts a grace period if so many entries are about to be removed at once
    /// that they expired while the store was unavailable: so many targets never
    /// leave together, and live ones write their entries again. Returns whether
    /// the entries count as expired.
    pub fn note_removals(&mut self, now: Time, removed: usize) -> bool {
        let have_expired =
            removed as f64 >= EXPIRED_SHARE_MIN * self.targets.len() as f64 && removed >= EXPIRED_COUNT_MIN;
        if have_expired {
            self.grace_end = now.after(OUTAGE_GRACE);
        }
        have_expired
    }

    /// Inserts or replaces the entry of a target. Returns whether the entry
    /// differs from the known one in more than the rest of the same slow start, or
    /// ends a grace period: a target that turns cold has changed. A target writes
    /// its entry repeatedly as a heartbeat, but a reader receives an entry only
    /// when more than its sequence number has changed, so `last_seen` of an
    /// unchanged target does not advance before the next complete listing. An entry
    /// of an earlier
    /// incarnation than the latest known one was written late and is ignored,
    /// also if none is listed any more. The next entry counts as different then:
    /// a process that has listed the store meanwhile knows the late one only.
    pub fn put(&mut self, now: Time, entry: Entry) -> bool {
        // The write was carried out after the last read that did not show it.
        self.update(now, entry, self.read_at, Time::default())
    }

    /// Inserts or replaces an entry of a complete listing, which may have been
    /// written at any time before. Returns the same as [`put`](Self::put).
    pub fn put_listed(&mut self, now: Time, entry: Entry) -> bool {
        let known = self.targets.get(&entry.incarnation.id);
        let known = known.filter(|t| t.entry.incarnation == entry.incarnation);
        let cold_until_min = known.map_or(Time::default(), |t| t.cold_until_min);
        self.update(now, entry, Time::default(), cold_until_min)
    }

    fn update(&mut self, now: Time, entry: Entry, written_after: Time, cold_until_min: Time) -> bool {
        if self.is_outdated(&entry.incarnation) {
            if let Some(target) = self.targets.get_mut(&entry.incarnation.id) {
                target.is_replaced = true;
            }
            return false;
        }
        self.remember_start(now, &entry.incarnation);
        let old = self.targets.get(&entry.incarnation.id);
        let known =
            old.filter(|t| t.entry.incarnation == entry.incarnation && t.entry.service == entry.service);
        let without_cold_left = |e: &Entry| Entry { cold_left: Span::ZERO, ..e.clone() };
        let has_changed = known.is_none_or(|t| {
            let is_same = without_cold_left(&t.entry) == without_cold_left(&entry);
            !is_same || t.is_other_start(now, entry.cold_left) || t.grace_end.is_some() || t.is_replaced
        });
        self.changes += u64::from(has_changed);
        let written_after = known.map_or(written_after, |t| t.written_after.max(written_after));
        let known_since = known.and_then(|t| t.draining_since);
        let entry_since = match entry.draining {
            true => known_since.or(Some(now)),
            // A process that drains does not become ready again. Without a start
            // this may be another process.
            false => known_since.filter(|_| entry.incarnation.started != 0),
        };
        let draining_since = self.left_since(&entry.incarnation).or(entry_since);
        let is_doubted = draining_since.is_none()
            && known.map_or_else(|| self.is_doubtful(now, &entry.incarnation), |t| t.is_doubted);
        if is_doubted {
            let doubt = Doubt { started: entry.incarnation.started, since: now, stays_since: None };
            self.doubts.entry(entry.incarnation.id.clone()).or_insert(doubt);
        }
        let is_silent = self.silent.contains(&entry.incarnation);
        let target = Target {
            cold_until: now.after(entry.cold_left).max(cold_until_min),
            cold_until_min,
            evacuation: self.evacuations.find(&entry.zone, &entry.incarnation.id),
            draining_since,
            grace_end: None,
            last_seen: now,
            written_after,
            is_replaced: false,
            is_doubted,
            is_silent,
            entry,
        };
        self.insert(target);
        has_changed
    }

    /// Returns whether an entry of an incarnation was written before a later one
    /// started. An earlier start alone does not show that, as the clock of a
    /// target may be set back between two processes; but a write that is carried
    /// out longer after the later one was heard of than any write is late comes
    /// from a process after it.
    fn is_outdated(&self, incarnation: &Incarnation) -> bool {
        self.starts.get(&incarnation.id).is_some_and(|latest| {
            let is_earlier = latest.started > incarnation.started;
            let may_be_late = self.read_at < latest.known_since.after(LATE_WRITE_MAX);
            is_earlier && (may_be_late || incarnation.started == 0)
        })
    }

    /// Learns the processes that the table of owners names. An entry of an
    /// earlier process, which this one may have listed when a late write was the
    /// newest, is removed.
    pub fn learn_owners(&mut self, now: Time, owners: &Owners) {
        for row in owners.services.values().flatten() {
            if self.starts.get(&row.target).is_some_and(|latest| latest.started >= row.started) {
                continue;
            }
            self.remember_start(now, &row.incarnation());
            if self.targets.get(&row.target).is_some_and(|t| t.entry.incarnation.started < row.started) {
                self.remove_now(&row.target);
            }
        }
    }

    fn remember_start(&mut self, now: Time, incarnation: &Incarnation) {
        let started = incarnation.started;
        if self.starts.get(&incarnation.id).is_some_and(|known| known.started == started) {
            return;
        }
        if self.starts.len() >= UNLISTED_MAX + self.targets.len() {
            let targets = &self.targets;
            self.starts.retain(|id, _| targets.contains_key(id));
        }
        self.starts.insert(incarnation.id.clone(), Start { started, known_since: now });
    }

    fn insert(&mut self, target: Target) {
        let id = target.entry.incarnation.id.clone();
        let service = target.entry.service.clone();
        let old = self.targets.insert(id.clone(), target);
        if old.as_ref().is_some_and(|t| t.entry.service == service) {
            return;
        }
        if let Some(old) = old {
            self.unlist(&old.entry.service, &id);
        }
        let list = self.services.entry(service).or_default();
        let index = list.partition_point(|other| *other < id);
        list.insert(index, id);
    }

    fn unlist(&mut self, service: &str, id: &str) {
        if let Some(list) = self.services.get_mut(service) {
            list.retain(|other| **other != *id);
        }
    }

    /// Records that an incarnation said in an answer that it leaves. It counts as
    /// draining from now on, whatever its entry says; if it was in doubt, since the
    /// first announcement. Returns whether that is new.
    pub fn announce_leaving(&mut self, now: Time, incarnation: &Incarnation) -> bool {
        let target = self.current(incarnation);
        let first = target.filter(|t| t.is_doubted).and_then(|_| self.left.get(&incarnation.id));
        let since = first.map_or(now, |first| first.since);
        let is_new = self.remember_departure(since, incarnation);
        if let Some(left) = self.left.get_mut(&incarnation.id).filter(|l| l.started == incarnation.started) {
            left.announced_at = Some(now);
        }
        if !is_new {
            return false;
        }
        let known = self.targets.get_mut(&incarnation.id).filter(|t| t.entry.incarnation == *incarnation);
        if let Some(target) = known {
            target.draining_since.get_or_insert(since);
            target.is_doubted = false;
            self.changes += 1;
            self.doubts.remove(&incarnation.id);
        }
        true
    }

    /// Returns whether an incarnation that becomes listed may have made an
    /// announcement that was counted for another one.
    fn is_doubtful(&self, now: Time, incarnation: &Incarnation) -> bool {
        let is_recent = |at: Time| now.since(at) < ANNOUNCED_BEFORE_MAX;
        let stays = |doubt: &Doubt| doubt.started == incarnation.started && doubt.stays_since.is_some();
        let other = self.left.get(&incarnation.id).filter(|left| left.started != incarnation.started);
        other.and_then(|left| left.announced_at).is_some_and(is_recent)
            && !self.doubts.get(&incarnation.id).is_some_and(stays)
    }

    /// Records that an incarnation that was in doubt does not leave, as an answer
    /// on a connection opened after its listing has shown. Returns whether that
    /// ended the doubt.
    pub fn note_staying(&mut self, now: Time, incarnation: &Incarnation) -> bool {
        let started = incarnation.started;
        let known = self.doubts.get(&incarnation.id).filter(|doubt| doubt.started == started);
        if known.is_none_or(|doubt| doubt.stays_since.is_none()) {
            // Its entry may be on its way to this process.
            let doubt = Doubt { started, since: now, stays_since: Some(now) };
            self.doubts.insert(incarnation.id.clone(), doubt);
        }
        let target = self.targets.get_mut(&incarnation.id).filter(|t| t.entry.incarnation == *incarnation);
        let has_ended = target.is_some_and(|t| std::mem::take(&mut t.is_doubted));
        self.changes += u64::from(has_ended);
        has_ended
    }

    /// Returns the targets in doubt, and since when they are.
    pub fn doubted(&self) -> Vec<(&Target, Time)> {
        let target = |(id, doubt): (&Arc<str>, &Doubt)| {
            let target = self.targets.get(id).filter(|t| t.is_doubted)?;
            Some((target, doubt.since))
        };
        self.doubts.iter().filter_map(target).collect()
    }

    /// Sets which targets have stopped responding. Returns those for which that has
    /// changed.
    pub fn set_silent(&mut self, silent: &[Incarnation]) -> Vec<Incarnation> {
        let known = self.silent.iter().filter(|incarnation| !silent.contains(incarnation));
        let mut changed: Vec<Incarnation> = known.cloned().collect();
        changed.extend(silent.iter().filter(|incarnation| !self.silent.contains(incarnation)).cloned());
        for incarnation in &changed {
            let target = self.targets.get_mut(&incarnation.id);
            if let Some(target) = target.filter(|t| t.entry.incarnation == *incarnation) {
                target.is_silent = silent.contains(incarnation);
            }
        }
        self.silent = silent.to_vec();
        changed
    }

    /// Returns the incarnations whose doubt ended a short time ago since they stay.
    pub fn staying(&self) -> Vec<Incarnation> {
        let stays = self.doubts.iter().filter(|(_, doubt)| doubt.stays_since.is_some());
        stays.map(|(id, doubt)| Incarnation { id: id.clone(), started: doubt.started }).collect()
    }

    /// Ends doubts that nothing has resolved in time. Returns the targets that
    /// count as staying from now on.
    pub fn end_doubts(&mut self, now: Time) -> Vec<Incarnation> {
        let mut ended = Vec::new();
        let targets = &mut self.targets;
        self.doubts.retain(|id, doubt| {
            if let Some(since) = doubt.stays_since {
                return now.since(since) < STAYING_TIME;
            }
            let target = targets.get_mut(id).filter(|t| t.is_doubted);
            let Some(target) = target.filter(|t| t.entry.incarnation.started == doubt.started) else {
                return false;
            };
            let lasts = now.since(doubt.since) < DOUBT_TIME_MAX;
            if !lasts {
                target.is_doubted = false;
                ended.push(target.entry.incarnation.clone());
            }
            lasts
        });
        self.changes += ended.len() as u64;
        ended
    }

    /// Remembers since when an incarnation leaves. Returns whether that is new. The
    /// departure of the listed one counts more than those of others; among these
    /// the latest start does.
    fn remember_departure(&mut self, since: Time, incarnation: &Incarnation) -> bool {
        let listed = self.targets.get(&incarnation.id).map(|t| t.entry.incarnation.started);
        let is_newer = |known: &Departure| {
            known.started == incarnation.started
                || listed == Some(known.started)
                || known.started > incarnation.started && listed != Some(incarnation.started)
        };
        if self.left.get(&incarnation.id).is_some_and(is_newer) {
            return false;
        }
        if self.left.len() >= UNLISTED_MAX + self.targets.len() {
            let targets = &self.targets;
            self.left.retain(|id, _| targets.contains_key(id));
        }
        let departure = Departure { started: incarnation.started, since, announced_at: None };
        self.left.insert(incarnation.id.clone(), departure);
        true
    }

    fn left_since(&self, incarnation: &Incarnation) -> Option<Time> {
        self.left
            .get(&incarnation.id)
            .filter(|left| left.started == incarnation.started)
            .map(|left| left.since)
    }

    /// Returns the listed incarnations that said that they leave.
    pub fn leaving(&self) -> Vec<Incarnation> {
        let incarnation =
            |(id, left): (&Arc<str>, &Departure)| Incarnation { id: id.clone(), started: left.started };
        self.left.iter().map(incarnation).filter(|incarnation| self.current(incarnation).is_some()).collect()
    }

    /// Removes an entry. During the grace period after an outage of the store,
    /// a target that was not draining counts as present until the period ends,
    /// so that it can write its entry again.
    pub fn remove(&mut self, now: Time, id: &str) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if now < self.grace_end && target.draining_since.is_none() {
            let grace_end = self.grace_end;
            target.grace_end.get_or_insert(grace_end);
            return;
        }
        self.remove_now(id);
    }

    /// Removes the entries that a complete listing does not name.
    pub fn retain(&mut self, now: Time, keep: impl Fn(&str) -> bool) {
        let removed: Vec<Arc<str>> = self.targets.keys().filter(|id| !keep(id)).cloned().collect();
        for id in removed {
            self.remove(now, &id);
        }
    }

    /// Removes a target without a grace period, as its address may belong to
    /// another service.
    pub fn remove_now(&mut self, id: &str) {
        let Some(old) = self.targets.remove(id) else { return };
        self.unlist(&old.entry.service, id);
        self.changes += 1;
        // Without a start, a later process can't be told from this one.
        if let Some(since) = old.draining_since.filter(|_| old.entry.incarnation.started != 0) {
            self.remember_departure(since, &old.entry.incarnation);
        }
    }

    /// Removes targets whose entries were not written again within the grace
    /// period.
    pub fn tick(&mut self, now: Time) {
        let is_expired = |t: &Target| t.grace_end.is_some_and(|until| until <= now);
        let removed: Vec<Arc<str>> =
            self.targets.iter().filter(|(_, t)| is_expired(t)).map(|(id, _)| id.clone()).collect();
        for id in removed {
            self.remove_now(&id);
        }
    }

    /// Returns the target with an id, whatever its incarnation.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the target if its known incarnation is the given one.
    pub fn current(&self, incarnation: &Incarnation) -> Option<&Target> {
        self.targets.get(&incarnation.id).filter(|t| t.entry.incarnation == *incarnation)
    }

    /// Returns the targets of a service in the order of their ids.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Target> {
        let list = self.services.get(service).map_or(&[][..], |l| &l[..]);
        list.iter().filter_map(|id| self.targets.get(id))
    }

    /// Returns a complete listing for a process that knows no target.
    pub fn listing(&self, now: Time) -> Vec<Entry> {
        let entry = |t: &Target| Entry {
            cold_left: t.cold_until.since(now),
            draining: t.draining_since.is_some(),
            ..t.entry.clone()
        };
        self.targets.values().filter(|t| t.grace_end.is_none()).map(entry).collect()
    }

    /// Replaces all entries by those of a complete listing.
    pub fn replace(&mut self, now: Time, listing: Vec<Entry>) {
        let listed: HashSet<Arc<str>> = listing.iter().map(|entry| entry.incarnation.id.clone()).collect();
        self.retain(now, |id| listed.contains(id));
        for entry in listing {
            self.put_listed(now, entry);
        }
    }

    /// Returns the names of the services that have targets.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.iter().filter(|(_, list)| !list.is_empty()).map(|(service, _)| service)
    }

    /// Returns all targets, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the number of targets, including those in a grace period.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns a counter of changed and removed entries and of zones that were
    /// evacuated or came back. A new entry counts as changed; the start of a grace
    /// period is not counted.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

impl Target {
    /// Returns whether new requests and keys may be assigned to this target.
    pub fn is_open(&self) -> bool {
        self.draining_since.is_none() && self.evacuation.is_none() && !self.is_doubted && !self.is_silent
    }

    /// Returns whether the rest of the slow start that an entry says belongs to
    /// another one than the known.
    fn is_other_start(&self, now: Time, cold_left: Span) -> bool {
        let end = now.after(cold_left);
        if cold_left < COLD_LEFT_MIN {
            return self.cold_until > end.after(COLD_DIFFERENCE_MIN);
        }
        let turns_cold = self.entry.cold_left.is_zero() && self.cold_until <= now;
        turns_cold || end > self.cold_until.after(COLD_DIFFERENCE_MIN)
    }

    /// Returns whether requests for keys that the target owns may go to it. One
    /// that drains or is in an evacuated zone serves them for a short time, one in
    /// doubt or that has stopped responding does not.
    pub fn serves_keys(&self, now: Time) -> bool {
        !self.is_doubted
            && !self.is_silent
            && self.draining_since.is_none_or(|since| now.since(since) < DRAIN_SERVE_TIME)
            && self.evacuation.is_none_or(|evacuation| now < evacuation.serve_end)
    }

    /// Returns the time after which the operator has evacuated the zone of the
    /// target, if it is evacuated.
    pub fn evacuated_since(&self) -> Option<Time> {
        self.evacuation.map(|evacuation| evacuation.since)
    }
}
