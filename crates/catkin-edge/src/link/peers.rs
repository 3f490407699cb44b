//! State that all links of the leader share: reports of processes, quotas, and
//! messages that are made once for many processes.

use {
    super::message::{Listing, Report, TableUpdate},
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
        directory::{Incarnation, Target},
        level::Levels,
        pace::Share,
        quotas::{Counts, Quotas},
        rate::RequestRate,
        spill::{CrossingCost, ShareChange, SpillBoard, TargetState, ZoneTable},
    },
    std::{cell::RefCell, collections::BTreeMap, io, rc::Rc, sync::Arc},
};

/// Age of the last report from which on a process is not counted.
const PEER_TIMEOUT: Span = Span::from_secs(3);

/// Time for which all links share the loads of targets.
const LEVELS_AGE_MAX: Span = Span::from_millis(50);

/// Time for which a listing of the directory is sent to further processes.
const LISTING_AGE_MAX: Span = Span::from_millis(300);

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

/// Offset of the older table, offset of the newer table, and their delta
/// if there is one.
type CachedDelta = (u64, u64, Option<Rc<Delta>>);

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
    cached: RefCell<Option<CachedDelta>>,
    levels: RefCell<Option<CachedLevels>>,
    /// Last listing of the directory and when it was made.
    listing: RefCell<Option<(Time, Rc<Listing>)>>,
}

/// Levels that were made at a time.
#[derive(Debug)]
struct CachedLevels {
    made_at: Time,
    /// Counter of the directory's changes.
    directory_changes: u64,
    levels: Rc<Vec<Levels>>,
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

    /// Returns the loads of all targets. All links share them for a while.
    pub(super) fn levels(&self, node: &Node, now: Time) -> Rc<Vec<Levels>> {
        let directory = node.directory.borrow();
        let mut cached = self.levels.borrow_mut();
        if let Some(known) = &*cached
            && known.directory_changes == directory.changes()
            && now.since(known.made_at) < LEVELS_AGE_MAX
        {
            return known.levels.clone();
        }
        let quotas = self.quotas.borrow();
        let pack = |service: &Arc<str>| {
            let targets: Vec<&Target> = directory.of_service(service).collect();
            Levels::new(service.clone(), &targets, |id| quotas.load(id))
        };
        let levels = Rc::new(directory.services().map(pack).collect::<Vec<_>>());
        let directory_changes = directory.changes();
        *cached = Some(CachedLevels { made_at: now, directory_changes, levels: levels.clone() });
        levels
    }

    /// Returns a listing of the directory. It is made once for all processes
    /// that ask within a while, and the changes since are forwarded. That the
    /// targets of a zone are cold after an evacuation is not among these.
    pub(super) fn listing(&self, node: &Node) -> io::Result<Option<Rc<Listing>>> {
        let Some(to) = node.directory_feed.next_offset() else { return Ok(None) };
        let now = node.now();
        let mut cached = self.listing.borrow_mut();
        if let Some((made_at, listing)) = &*cached
            && now.since(*made_at) < LISTING_AGE_MAX
            && *made_at >= node.directory.borrow().readmitted_at()
            && node.directory_feed.since(listing.to).is_some()
        {
            return Ok(Some(listing.clone()));
        }
        let age = (now.since(node.directory_feed.checked_at()) + LISTING_AGE_MAX).as_micros();
        let listing = Rc::new(Listing::new(to, age, &node.directory.borrow().listing(now))?);
        *cached = Some((now, listing.clone()));
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
        let slots = |id: &str| {
            let target = directory.get(id)?;
            let is_limited = cold_rate(config.as_deref(), now, target).is_some();
            (keyed(&target.entry.service) && !is_limited).then_some(target.entry.slots)
        };
        self.quotas.borrow_mut().allot(vm, slots)
    }

    /// Records the refused requests of a process that will return, and returns those
    /// of all processes for the targets that this one uses.
    pub(super) fn promised(&self, report: &Report) -> Counts {
        self.quotas.borrow_mut().report_promised(&report.vm, report.promised.clone())
    }

    /// Records that a process has reported, and returns its share at cold
    /// targets.
    pub(super) fn share(&self, node: &Node, vm: &Arc<str>) -> Option<Share> {
        let told = node.loads.borrow().told_count();
        self.tokens.borrow_mut().report(node.now(), vm, told)
    }

    /// Hands out tokens for cold targets with keys to a process that has
    /// reported.
    pub(super) fn tokens(&self, node: &Node, report: &Report) -> Vec<TokenGrant> {
        let (directory, config) = (node.directory.borrow(), node.config.borrow());
        let (now, quotas) = (node.now(), self.quotas.borrow());
        let cold = |id: &str| -> Option<(Incarnation, RequestRate)> {
            let target = directory.get(id)?;
            Some((target.entry.incarnation.clone(), cold_rate(config.as_deref(), now, target)?))
        };
        let mut tokens = self.tokens.borrow_mut();
        tokens.retain(|incarnation| directory.current(incarnation).is_some_and(|t| t.cold_until > now));
        tokens.allot(now, &report.queued, cold, |id| quotas.load(id).queue_length)
    }

    /// Returns whether there are so many processes that quotas are used.
    pub(super) fn use_quotas(&self) -> bool {
        self.quotas.borrow().use_quotas()
    }

    /// Returns the delta between two tables. Most links need the same one,
    /// so the last one is cached.
    pub(super) fn delta(&self, old: &VersionedOwners, new: &VersionedOwners) -> Option<TableUpdate> {
        let mut cached = self.cached.borrow_mut();
        let (from, to) = (old.offset, new.offset);
        let matching = cached.as_ref().filter(|cached| (cached.0, cached.1) == (from, to));
        let delta = match matching {
            Some(cached) => cached.2.clone(),
            None => Delta::new(&old.table, &new.table).map(Rc::new),
        };
        *cached = Some((from, to, delta.clone()));
        Some(TableUpdate::Delta { from, to, delta: delta? })
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

    /// Records the report of a process. Returns the number of processes.
    pub(super) fn record(&self, node: &Node, report: &Report) -> u32 {
        let now = node.now();
        let mut reports = self.reports.borrow_mut();
        reports.insert(report.vm.clone(), Peer { reported_at: now, strong: report.strong });
        reports.retain(|_, peer| now.since(peer.reported_at) < PEER_TIMEOUT);
        let (in_flight, queued) = (report.in_flight.clone(), report.queued.clone());
        if let Some(zones) = &report.zones {
            self.spill.borrow_mut().report(now, &report.vm, zones);
        }
        let count = self.quotas.borrow_mut().report(now, &report.vm, in_flight, queued);
        let may_refuse = |service: &str| self.is_busy(node, service);
        self.admission.borrow_mut().record(now, &report.admission, may_refuse);
        lead::with_loads(|loads| {
            for (service, keys) in &report.key_counts {
                for (key, count) in keys {
                    loads.add_requests(service, *key, f32::from(*count));
                }
            }
            for (target, seconds) in &report.service_times {
                loads.record_service_time(target, *seconds);
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
