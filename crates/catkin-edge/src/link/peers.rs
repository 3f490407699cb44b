//! State that all links of the leader share: reports of processes, quotas, and
//! messages that are made once for many processes.

use {
    super::message::Frame,
    crate::{
        lead,
        node::{Node, VersionedOwners},
        silence, sync,
    },
    catkin::types::{Span, Time},
    catkin_route::{
        admission::{FleetAdmission, FleetShares},
        cold::{TokenGrant, Tokens},
        config::Config,
        delta::Delta,
        directory::{Entry, Incarnation, Target},
        level::{LevelBoard, LevelUpdate, Levels},
        message::{LeaderMessage, Listing, Report, ReportedCounts, TableUpdate},
        numbering::{NumberingId, Numberings},
        pace::Share,
        quotas::{Counts, Quotas, Room},
        rate::RequestRate,
        spill::{CrossingCost, ShareChange, SpillBoard, TargetState, ZoneTable},
    },
    std::{cell::RefCell, collections::BTreeMap, io, rc::Rc, sync::Arc},
    tokio::sync::{Semaphore, SemaphorePermit},
};

/// Age of the last report from which on a process is not counted.
const PEER_TIMEOUT: Span = Span::from_secs(3);

/// Time for which all links share the loads of targets.
const LEVELS_AGE_MAX: Span = Span::from_millis(50);

/// Time for which a listing of the directory is sent to further processes.
const LISTING_AGE_MAX: Span = Span::from_millis(300);

/// Links that write a large message at the same time.
const TURNS: usize = 8;

/// Number of standbys of the leader.
const STANDBY_COUNT: usize = 3;

/// Last report of a process.
#[derive(Debug)]
struct Peer {
    reported_at: Time,
    strong: bool,
}

/// Returns the rate that a target takes, if it is cold and its service names
/// one.
fn cold_rate(config: Option<&Config>, now: Time, target: &Target) -> Option<RequestRate> {
    let cold = config?.services.get(&target.entry.service)?.cold?;
    (target.cold_until > now).then_some(cold.rate)
}

/// Encoded messages with the newest table.
#[derive(Debug, Default)]
struct TableFrames {
    /// Offset of the newest table.
    offset: u64,
    /// Messages by the offset of the table that the process has.
    frames: BTreeMap<Option<u64>, Frame>,
}

/// Encoded listing of the directory.
#[derive(Clone, Debug)]
pub(super) struct ListingFrame {
    made_at: Time,
    /// Offset at which a reader continues.
    pub(super) to: u64,
    pub(super) frame: Frame,
}

/// Turns of the links that write large messages.
#[derive(Debug)]
pub(super) struct Turns(Semaphore);

impl Turns {
    /// Waits for a turn.
    pub(super) async fn next(&self) -> io::Result<SemaphorePermit<'_>> {
        self.0.acquire().await.map_err(io::Error::other)
    }

    /// Returns a turn if there is one now.
    pub(super) fn take(&self) -> Option<SemaphorePermit<'_>> {
        self.0.try_acquire().ok()
    }
}

impl Default for Turns {
    fn default() -> Self {
        Self(Semaphore::new(TURNS))
    }
}

/// State that is shared by all links of the leader.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Last reports by VM.
    reports: RefCell<BTreeMap<Arc<str>, Peer>>,
    quotas: RefCell<Quotas>,
    tokens: RefCell<Tokens>,
    admission: RefCell<FleetAdmission>,
    /// Shares of requests that leave their zone.
    spill: RefCell<SpillBoard>,
    tables: RefCell<TableFrames>,
    levels: RefCell<FleetLevels>,
    numberings: RefCell<Numberings>,
    /// Last listing of the directory.
    listing: RefCell<Option<ListingFrame>>,
    /// Turns of the links that write large messages.
    pub(super) turns: Turns,
}

/// Levels of all targets, and when they were last counted.
#[derive(Debug, Default)]
struct FleetLevels {
    counted_at: Option<Time>,
    /// Counter of the directory's changes at that time.
    directory_changes: u64,
    board: LevelBoard,
}

impl Peers {
    /// Creates the state of a leader without reports.
    pub(super) fn new(crossing_cost: CrossingCost) -> Self {
        Self { spill: RefCell::new(SpillBoard::new(crossing_cost)), ..Self::default() }
    }

    /// Returns the shares of requests that leave their zone, or `None` if all
    /// targets lie in one zone.
    pub(super) fn zones(&self, node: &Node) -> Option<Rc<ZoneTable>> {
        let now = node.now();
        let (directory, config) = (node.directory.borrow(), node.config.borrow());
        let mut spill = self.spill.borrow_mut();
        if spill.is_outdated(now) {
            spill.start(now, node.loads.borrow_mut().spill().table(now).map(|table| &**table));
        }
        let specs = config.iter().flat_map(|config| &config.services);
        let services: Vec<Arc<str>> =
            specs.filter(|(_, spec)| !spec.keyed).map(|(name, _)| name.clone()).collect();
        let quotas = self.quotas.borrow();
        let state = |target: &Target| {
            let id = &target.entry.incarnation.id;
            let spec = config.as_ref().and_then(|config| config.services.get(&target.entry.service));
            TargetState {
                requests: quotas.load(id).total,
                service_time: lead::with_loads(|loads| loads.service_time(id)).map(f64::from),
                cold_rate: spec.and_then(|spec| spec.cold).map(|cold| cold.rate.per_second()),
            }
        };
        let table = spill.table(now, &directory, &services, state);
        for ShareChange { service, from, to, share } in spill.take_changes() {
            log::info!(service = &*service, from = &*from, to = &*to, share; "share of requests that leave a zone changed");
        }
        (table.zones.len() > 1).then_some(table)
    }

    /// Returns the loads of all targets for a process that holds a version of
    /// them, or none. All links share them for a while.
    pub(super) fn levels(&self, node: &Node, now: Time, held: Option<u64>) -> Option<LevelUpdate> {
        let directory = node.directory.borrow();
        let mut levels = self.levels.borrow_mut();
        let is_new = levels.directory_changes == directory.changes()
            && levels.counted_at.is_some_and(|at| now.since(at) < LEVELS_AGE_MAX);
        if is_new {
            return levels.board.update(held);
        }
        let quotas = self.quotas.borrow();
        let pack = |service: &Arc<str>| {
            let targets: Vec<&Target> = directory.of_service(service).collect();
            Levels::new(service.clone(), &targets, |id| quotas.load(id))
        };
        levels.board.set(directory.services().map(pack).collect());
        (levels.counted_at, levels.directory_changes) = (Some(now), directory.changes());
        levels.board.update(held)
    }

    /// Returns a listing of the directory. It is made once for all processes
    /// that ask within a while, and the changes since are forwarded. That the
    /// targets of a zone are cold after an evacuation is not among these.
    pub(super) fn listing(&self, node: &Node) -> io::Result<Option<ListingFrame>> {
        let Some(to) = node.directory_feed.next_offset() else { return Ok(None) };
        let now = node.now();
        let mut cached = self.listing.borrow_mut();
        if let Some(listing) = &*cached
            && now.since(listing.made_at) < LISTING_AGE_MAX
            && listing.made_at >= node.directory.borrow().readmitted_at()
            && node.directory_feed.since(listing.to).is_some()
        {
            return Ok(Some(listing.clone()));
        }
        let age = (now.since(node.directory_feed.checked_at()) + LISTING_AGE_MAX).as_micros();
        let entries = node.directory.borrow().listing(now);
        let listing = Listing::new(to, age, &entries).map_err(io::Error::other)?;
        let frame = Frame::new("listing", &LeaderMessage::Listing(listing))?;
        let listing = ListingFrame { made_at: now, to, frame };
        *cached = Some(listing.clone());
        Ok(Some(listing))
    }

    /// Allots quotas at targets with keys to a process. Requests without a key
    /// go to another target instead of waiting for a quota.
    pub(super) fn allot(&self, node: &Node, vm: &str) -> Counts {
        let (directory, config) = (node.directory.borrow(), node.config.borrow());
        let keyed = |service: &str| {
            config.as_ref().and_then(|c| c.services.get(service)).is_some_and(|service| service.keyed)
        };
        let now = node.now();
        let has_ranks = |service: &str| {
            config.as_ref().and_then(|c| c.ranks.get(service)).is_some_and(|ranks| !ranks.is_single())
        };
        let room = |id: &str| {
            let target = directory.get(id)?;
            let Entry { service, slots, .. } = &target.entry;
            let is_limited = cold_rate(config.as_deref(), now, target).is_some();
            let room = Room::new(*slots).with_ranks(has_ranks(service));
            (keyed(service) && !is_limited).then_some(room)
        };
        self.quotas.borrow_mut().allot(vm, room)
    }

    /// Records the refused requests of a process that will return, and returns those
    /// of all processes for the targets that this one uses.
    pub(super) fn promised(&self, vm: &str, promised: Counts) -> Counts {
        self.quotas.borrow_mut().report_promised(vm, promised)
    }

    /// Records that a process has reported, and returns its share at cold
    /// targets.
    pub(super) fn share(&self, node: &Node, vm: &Arc<str>) -> Option<Share> {
        let told = node.loads.borrow().told_count();
        self.tokens.borrow_mut().report(node.now(), vm, told)
    }

    /// Hands out tokens for cold targets with keys to a process that has
    /// reported.
    pub(super) fn tokens(&self, node: &Node, vm: &str) -> Vec<TokenGrant> {
        let (directory, config) = (node.directory.borrow(), node.config.borrow());
        let (now, quotas) = (node.now(), self.quotas.borrow());
        let cold = |id: &str| -> Option<(Incarnation, RequestRate)> {
            let target = directory.get(id)?;
            Some((target.entry.incarnation.clone(), cold_rate(config.as_deref(), now, target)?))
        };
        let mut tokens = self.tokens.borrow_mut();
        tokens.retain(|incarnation| directory.current(incarnation).is_some_and(|t| t.cold_until > now));
        tokens.allot(now, quotas.queued(vm), cold, |id| quotas.load(id).queue_length)
    }

    /// Returns whether there are so many processes that quotas are used.
    pub(super) fn use_quotas(&self) -> bool {
        self.quotas.borrow().use_quotas()
    }

    /// Returns the message with the newest table, for a process that has an older one
    /// or none. It is encoded once for all links that need the same one.
    pub(super) fn table(&self, old: Option<&VersionedOwners>, newest: &VersionedOwners) -> io::Result<Frame> {
        let mut cached = self.tables.borrow_mut();
        if cached.offset != newest.offset {
            *cached = TableFrames { offset: newest.offset, frames: BTreeMap::new() };
        }
        let from = old.map(|old| old.offset);
        if let Some(frame) = cached.frames.get(&from) {
            return Ok(frame.clone());
        }
        let to = newest.offset;
        let delta = old.and_then(|old| Delta::new(&old.table, &newest.table));
        let update = match (from, delta) {
            (Some(from), Some(delta)) => TableUpdate::Delta { from, to, delta },
            _ => TableUpdate::full(to, &newest.table).map_err(io::Error::other)?,
        };
        let kind = if matches!(update, TableUpdate::Full { .. }) { "full_table" } else { "table" };
        let frame = Frame::new(kind, &LeaderMessage::Table(update))?;
        cached.frames.insert(from, frame.clone());
        Ok(frame)
    }

    /// Returns which requests are admitted.
    pub(super) fn admission(&self, now: Time) -> FleetShares {
        self.admission.borrow().shares(now)
    }

    /// Returns whether waits of a service mean that all its targets together have
    /// too little room. Requests for a few hot keys also wait while most owners
    /// are idle.
    fn is_busy(&self, node: &Node, service: &str) -> bool {
        let (directory, config) = (node.directory.borrow(), node.config.borrow());
        let is_keyed = config.as_ref().and_then(|c| c.services.get(service)).is_some_and(|s| s.keyed);
        let quotas = self.quotas.borrow();
        let is_busy =
            |target: &&Target| quotas.load(&target.entry.incarnation.id).is_busy(target.entry.slots);
        let targets = || directory.of_service(service);
        !is_keyed || 2 * targets().filter(is_busy).count() >= targets().count()
    }

    /// Returns whether a process is a standby: one of the first strong processes,
    /// or of the first weak ones if too few are strong.
    pub(super) fn is_standby(&self, node: &Node, vm: &str) -> bool {
        let peers = self.reports.borrow();
        let others = || peers.iter().filter(|(other, _)| **other != node.identity.vm);
        let strong = others().filter(|(_, peer)| peer.strong);
        let weak = others().filter(|(_, peer)| !peer.strong);
        strong.chain(weak).take(STANDBY_COUNT).any(|(other, _)| **other == *vm)
    }

    /// Returns the numbering of the targets.
    pub(super) fn numbering(&self, node: &Node) -> NumberingId {
        self.numberings.borrow_mut().newest(&node.directory.borrow()).id()
    }

    /// Takes the counts out of a report.
    ///
    /// # Errors
    ///
    /// `InvalidData` if the report names targets by a numbering that is no longer
    /// known; the process names them by their ids on its next link.
    pub(super) fn take_counts(&self, report: &mut Report) -> io::Result<ReportedCounts> {
        let numbering = report.numbering.and_then(|id| self.numberings.borrow().find(id));
        report.take_counts(numbering.as_deref()).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Records the report of a process and its counts. Returns the number of
    /// processes.
    pub(super) fn record(&self, node: &Node, report: &Report, counts: ReportedCounts) -> u32 {
        let now = node.now();
        let mut reports = self.reports.borrow_mut();
        reports.insert(report.vm.clone(), Peer { reported_at: now, strong: report.strong });
        reports.retain(|_, peer| now.since(peer.reported_at) < PEER_TIMEOUT);
        let ReportedCounts { in_flight, queued, urgent, service_times, .. } = counts;
        if let Some(zones) = &report.zones {
            self.spill.borrow_mut().report(now, &report.vm, zones);
        }
        let count = self.quotas.borrow_mut().report(now, &report.vm, in_flight, queued);
        self.quotas.borrow_mut().record_urgent(&report.vm, urgent);
        let may_refuse = |service: &str| self.is_busy(node, service);
        self.admission.borrow_mut().record(now, &report.admission, may_refuse);
        lead::with_loads(|loads| {
            for (service, keys) in &report.key_counts {
                for (key, count) in keys {
                    loads.add_requests(service, *key, f32::from(*count));
                }
            }
            for (target, times) in &service_times {
                loads.record_service_times(target, *times);
            }
            for limit in &report.limits {
                loads.record_limit(now, limit);
            }
        });
        sync::apply_leaving(node, &report.leaving);
        silence::learn(node, &report.silence);
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
