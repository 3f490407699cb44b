//! State of the process that its tasks share.

use {
    crate::{
        feed::Feed, lead, log_limiter::LogLimiter, metrics::Metrics, pool::Pool, settings::Settings,
        sync::Source, wait_queue::WaitQueue,
    },
    actix_http::{KeepAlive, ServiceConfig, ServiceConfigBuilder},
    catkin::types::{Size, Span, Time},
    catkin_net::BootClock,
    catkin_platform::{bounds::Bounds, name, store::Store},
    catkin_route::{
        admission::Admission,
        backoff::Backoff,
        budget::{self, Budget},
        config::{self, Config},
        directory::{Directory, Incarnation},
        drain::Drain,
        link_load::LinkLoad,
        load::{LocalLoads, SlowChange, SlowReport},
        owners::{Owners, ProcessId},
        peer_count::PeerCount,
        rate::{LinkRate, RequestRate},
        silence::Silence,
        split::Split,
        streaming,
        vacancy::{Vacancies, Vacancy},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet, VecDeque},
        rc::Rc,
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{Notify, watch},
};

/// Table of owners and the offset of its record.
#[derive(Clone, Debug)]
pub(crate) struct VersionedOwners {
    /// Offset of the record.
    pub(crate) offset: u64,
    /// The table.
    pub(crate) table: Rc<Owners>,
}

/// Stage of the graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// The process serves.
    Serving,
    /// The process has received a signal to stop; each answer closes its
    /// connection.
    Draining,
    /// The platform sends no new connections; idle ones are closed.
    Closing,
    /// The process ends and answers the requests that are still in progress
    /// itself.
    Ending,
}

/// State of the process, shared by its tasks.
pub(crate) struct Node {
    /// Settings.
    pub(crate) settings: Settings,
    /// Limits that the platform sets.
    pub(crate) bounds: Bounds,
    /// HTTP/1.1 options of all connections.
    pub(crate) http: ServiceConfig,
    /// Client of the platform's store.
    pub(crate) store: Store,
    /// Identity of this process as a leader.
    pub(crate) identity: ProcessId,
    /// Topic of the configuration.
    pub(crate) config_feed: Feed,
    /// Topic of the directory.
    pub(crate) directory_feed: Feed,
    /// Backoff of reads while the store is unavailable.
    pub(crate) backoff: Cell<Backoff>,
    /// Newest known configuration; `None` until the first one is read.
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    /// Traffic split of routes with several services.
    pub(crate) split: RefCell<Split>,
    /// Directory of known targets.
    pub(crate) directory: RefCell<Directory>,
    /// Whether the directory was read at least once.
    pub(crate) directory_read: Cell<bool>,
    /// Newest known table of owners.
    pub(crate) owners: watch::Sender<Option<VersionedOwners>>,
    /// Tables of owners before the newest one, the oldest first; empty unless this process
    /// leads.
    pub(crate) earlier_owners: RefCell<VecDeque<VersionedOwners>>,
    /// Loads of targets as seen by this process.
    pub(crate) loads: RefCell<LocalLoads>,
    /// Targets that have stopped responding.
    pub(crate) silence: RefCell<Silence>,
    /// Ranges of keys that have no owner for a while, as the leader last told.
    pub(crate) vacancies: RefCell<Vacancies>,
    /// The same as this process knows it as the leader.
    pub(crate) own_vacancies: RefCell<Vec<Vacancy>>,
    /// Whether the targets that count as silent have changed since that was last
    /// signalled.
    pub(crate) silence_changed: Cell<bool>,
    /// Signals changes of the targets that count as silent.
    pub(crate) silence_changes: watch::Sender<u64>,
    /// Admission of requests under overload.
    pub(crate) admission: RefCell<Admission>,
    /// Services of which not all requests were admitted when that was last logged.
    pub(crate) limited_services: RefCell<HashSet<Arc<str>>>,
    /// Retry budgets of the services.
    pub(crate) budget: RefCell<Budget>,
    /// Size up to which answers are held that another attempt may replace, and by
    /// which answers are read ahead of their callers.
    pub(crate) hold_size: Size,
    /// Answers that are to be sent over the link of this machine.
    pub(crate) link_load: RefCell<LinkLoad>,
    /// Idle connections to targets.
    pub(crate) pool: Pool,
    /// Requests by service and key since the last report to the leader.
    pub(crate) key_counts: RefCell<HashMap<(Arc<str>, u16), u16>>,
    /// Requests that wait for capacity or for an owner.
    pub(crate) waiters: WaitQueue,
    /// Whether the leader should hear of something at once: a request waits for a
    /// quota that was not yet requested, or a target has stopped responding.
    pub(crate) quota_wanted: Cell<bool>,
    /// Wakes the task that sends reports.
    pub(crate) quota_requested: Notify,
    /// Stage of the graceful shutdown; each change is signalled.
    pub(crate) stage: watch::Sender<Stage>,
    /// Times of the graceful shutdown, once it has begun.
    pub(crate) drain: Cell<Option<Drain>>,
    /// Number of requests in progress, including those whose answered connection
    /// is being closed.
    pub(crate) open_requests: Cell<u32>,
    /// Number of edge processes, as counted by the leader.
    pub(crate) peer_count: Cell<PeerCount>,
    /// When this process started.
    pub(crate) started_at: Time,
    /// Whether the leader chose this process as a standby.
    pub(crate) is_standby: Cell<bool>,
    /// Time of the last answer of the leader; the default time before the first
    /// one.
    pub(crate) last_leader_answer: Cell<Time>,
    /// Time after which the leader sent its newest message; the default time
    /// before the first one.
    pub(crate) forwarded_at: Cell<Time>,
    /// Time at which the group last confirmed this process as a member.
    pub(crate) last_join: Cell<Option<Time>>,
    /// Whether the group names this process to succeed a leader that fails.
    pub(crate) is_successor: Cell<bool>,
    /// Whether this process leads.
    pub(crate) is_leader: Cell<bool>,
    /// Time of the leader's last contact with the store that this process knows
    /// of; the default time once the leader is known not to lead.
    pub(crate) leader_store_contact: Cell<Time>,
    /// Ranges of keys whose owner was in an evacuated zone when they were last
    /// counted.
    pub(crate) evacuated_ranges: Cell<usize>,
    /// Limits of log lines.
    pub(crate) log_limiter: LogLimiter,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
}

/// Least share of a core of a process that may lead before others. With 79
/// processes and 349 targets a leader needs 0.054 of a core, and more at peaks.
const STRONG_CORES_MIN: f64 = 0.2;

/// Least bandwidth of a strong process. A new table for 80 processes has half a
/// megabyte.
const STRONG_BANDWIDTH_MIN_MBPS: f64 = 50.0;

/// Number of processes from which on a fleet is large.
const LARGE_FLEET_MIN: u32 = 17;

/// Heartbeat interval of targets if the settings name none.
const HEARTBEAT_DEFAULT: Span = Span::from_secs(1);

/// Heartbeats that a target misses before the platform removes its entry.
const MISSED_HEARTBEATS: f64 = 3.0;

/// Time for the removal of an entry to reach this process.
const REMOVAL_DELAY_MAX: Span = Span::from_millis(1_400);

/// Returns the time for which the entry of an ended process stays listed.
fn entry_ttl(settings: &Settings) -> Span {
    let heartbeat = settings.heartbeat_ms.map_or(HEARTBEAT_DEFAULT, Span::from_millis);
    heartbeat.scale(MISSED_HEARTBEATS) + REMOVAL_DELAY_MAX
}

/// Earlier tables of owners that a leader keeps. Processes read its claim in the store
/// and report it on their first link, up to a second later; a leader writes a table every
/// 60 ms at most.
const EARLIER_TABLES_MAX: usize = 16;

/// Number of edge processes that is assumed before the leader has counted them.
const PEERS_DEFAULT: u32 = 12;

impl Node {
    /// Creates the state of a process that has not read anything.
    pub(crate) fn new(settings: Settings, bounds: Bounds) -> Self {
        let http = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let run_id =
            u64::try_from(since_epoch.as_micros()).unwrap_or_default() ^ u64::from(std::process::id());
        let addr = settings.advertised.unwrap_or(settings.peers);
        let identity = ProcessId { vm: settings.vm.as_str().into(), run_id, addr };
        let limits = budget::Bounds {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        };
        let link = LinkRate::from_mbps(settings.bandwidth).unwrap_or_default();
        let hold_size = streaming::hold_size(link, catkin_net::held_limit());
        Self {
            store: Store::new(settings.store, http.clone()),
            loads: RefCell::new(
                LocalLoads::new(settings.zone.as_str().into())
                    .with_vm(identity.vm.clone())
                    .with_crossing_cost(settings.crossing_cost()),
            ),
            silence: RefCell::default(),
            vacancies: RefCell::default(),
            own_vacancies: RefCell::default(),
            silence_changed: Cell::new(false),
            silence_changes: watch::Sender::new(0),
            admission: RefCell::default(),
            limited_services: RefCell::default(),
            budget: RefCell::new(Budget::new(limits)),
            bounds,
            http,
            identity,
            config_feed: Feed::new(name::CONFIG_TOPIC, BootClock.now()),
            directory_feed: Feed::new(name::TARGETS_TOPIC, BootClock.now()),
            backoff: Cell::default(),
            config: RefCell::default(),
            split: RefCell::default(),
            directory: RefCell::new(
                Directory::default()
                    .with_entry_ttl(entry_ttl(&settings))
                    .with_evacuation_time(bounds.evacuation_time),
            ),
            directory_read: Cell::new(false),
            owners: watch::Sender::new(None),
            earlier_owners: RefCell::default(),
            hold_size,
            link_load: RefCell::new(LinkLoad::new(link)),
            pool: Pool::default(),
            key_counts: RefCell::default(),
            waiters: WaitQueue::default(),
            quota_wanted: Cell::new(false),
            quota_requested: Notify::new(),
            stage: watch::Sender::new(Stage::Serving),
            drain: Cell::new(None),
            open_requests: Cell::new(0),
            peer_count: Cell::new(PeerCount::new(PEERS_DEFAULT)),
            started_at: BootClock.now(),
            is_standby: Cell::new(false),
            last_leader_answer: Cell::new(Time::default()),
            forwarded_at: Cell::new(Time::default()),
            last_join: Cell::new(None),
            is_successor: Cell::new(false),
            is_leader: Cell::new(false),
            leader_store_contact: Cell::new(BootClock.now()),
            evacuated_ranges: Cell::new(0),
            log_limiter: LogLimiter::default(),
            metrics: Metrics::new(),
            settings,
        }
    }

    /// Reads the clock that continues while the machine is suspended.
    pub(crate) fn now(&self) -> Time {
        BootClock.now()
    }

    /// Returns the newest known table of owners.
    pub(crate) fn owners(&self) -> Option<VersionedOwners> {
        self.owners.borrow().clone()
    }

    /// Returns whether this process is strong, that is, has the resources to
    /// lead.
    pub(crate) fn is_strong(&self) -> bool {
        self.settings.cores >= STRONG_CORES_MIN && self.settings.bandwidth >= STRONG_BANDWIDTH_MIN_MBPS
    }

    /// Returns the number of edge processes, at least 1.
    pub(crate) fn peers(&self) -> u32 {
        self.peer_count.get().get()
    }

    /// Returns whether the fleet is large, so that each process reports less
    /// often.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.peers() >= LARGE_FLEET_MIN
    }

    /// Replaces the table of owners unless a newer one is known.
    pub(crate) fn update_owners(&self, offset: u64, table: Rc<Owners>) {
        let newer = self.owners.borrow().as_ref().is_none_or(|o| o.offset < offset);
        if !newer {
            return;
        }
        if self.owners.borrow().is_some() {
            // Its leader has reached the store since, also one that led before.
            self.leader_store_contact.set(self.now());
        }
        log::info!(version = offset, leader = &*table.leader.vm; "table of owners changed");
        self.directory.borrow_mut().learn_owners(self.now(), &table);
        let earlier = self.owners.send_replace(Some(VersionedOwners { offset, table }));
        self.waiters.notify_all();
        let mut earlier_owners = self.earlier_owners.borrow_mut();
        if !self.is_leader.get() {
            earlier_owners.clear();
            return;
        }
        earlier_owners.extend(earlier);
        if earlier_owners.len() > EARLIER_TABLES_MAX {
            earlier_owners.pop_front();
        }
    }

    /// Replaces the configuration unless a newer one is known. Returns whether
    /// it was replaced.
    pub(crate) fn update_config(&self, config: Config, source: Source) -> bool {
        let known = self.config.borrow().as_ref().map(|c| c.version);
        if !config::is_later(config.version, known) {
            return false;
        }
        let position = self.config_feed.next_offset();
        log::info!(version = config.version, previous = known, source:debug, position; "configuration in force");
        self.metrics.set_config(config.version, config.unknown_kinds);
        let names: HashSet<Arc<str>> = config.routes().map(|r| r.name.clone()).collect();
        self.split.borrow_mut().retain(|name| names.contains(name));
        let cold = config.services.iter().filter_map(|(name, spec)| Some((name.clone(), spec.cold?.rate)));
        let cold_rates: HashMap<Arc<str>, RequestRate> = cold.collect();
        lead::with_loads(|loads| loads.set_cold_rates(cold_rates.clone()));
        self.loads.borrow_mut().set_cold_rates(cold_rates);
        let is_keyed = |service: &Arc<str>| config.services.get(service).is_some_and(|spec| spec.keyed);
        let services = config.ranks.iter().map(|(service, ranks)| (service, *ranks, is_keyed(service)));
        self.admission.borrow_mut().set_services(services);
        *self.config.borrow_mut() = Some(Rc::new(config));
        true
    }

    /// Records that the operator has evacuated a zone, see
    /// [`Directory::evacuate`].
    pub(crate) fn evacuate(&self, zone: &str, written_after: Time) -> bool {
        let now = self.now();
        let is_new = self.directory.borrow_mut().evacuate(now, zone, written_after);
        if is_new {
            let age_ms = now.since(written_after).as_millis();
            let age_max_ms = (written_after > Time::default()).then_some(age_ms);
            log::info!(zone, age_max_ms; "zone is evacuated");
            self.waiters.notify_all();
        }
        is_new
    }

    /// Records that the operator has withdrawn the evacuation of a zone. Its
    /// targets are cold for the time that the configuration names. Returns
    /// whether the zone was evacuated.
    pub(crate) fn readmit(&self, zone: &str) -> bool {
        let config = self.config.borrow().clone();
        let cold_time = |service: &str| {
            let spec = config.as_ref().and_then(|config| config.services.get(service)?.cold);
            spec.map_or(Span::ZERO, |cold| cold.duration)
        };
        let was_evacuated = self.directory.borrow_mut().readmit(self.now(), zone, cold_time);
        if was_evacuated {
            log::info!(zone; "evacuation of a zone withdrawn");
            self.waiters.notify_all();
        }
        was_evacuated
    }

    /// Counts what evacuated zones still have, for the metrics, and logs when
    /// their targets own no more keys.
    fn count_evacuated(&self) {
        let directory = self.directory.borrow();
        let is_evacuated = |id: &str| directory.get(id).is_some_and(|t| t.evacuation.is_some());
        let zones = directory.evacuated_zones().count();
        let (mut ranges, mut requests) = (0, 0);
        if zones > 0 {
            let owners = self.owners();
            let rows = owners.iter().flat_map(|owners| owners.table.services.values().flatten());
            ranges = rows.filter(|row| is_evacuated(&row.target)).count();
            let in_flight = self.loads.borrow().in_flight();
            requests = in_flight.iter().filter(|(id, _)| is_evacuated(id)).map(|(_, count)| count).sum();
        }
        if self.evacuated_ranges.replace(ranges) > 0 && ranges == 0 && zones > 0 {
            log::info!(zones; "targets of evacuated zones own no more keys");
        }
        self.metrics.set_evacuated(zones, ranges, requests);
    }

    /// Returns whether the process has received a signal to stop.
    pub(crate) fn is_draining(&self) -> bool {
        *self.stage.borrow() > Stage::Serving
    }

    /// Returns whether the process takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(config) = self.config.borrow().clone() else { return false };
        let has_owners = config.keyed().next().is_none() || self.owners.borrow().is_some();
        !self.is_draining() && self.directory_read.get() && has_owners
    }

    /// Sets the metrics of admission, and logs for which services it has changed.
    fn report_admission(&self, now: Time) {
        let admission = self.admission.borrow();
        let has_leader = admission.has_leader(now);
        for (service, shares) in admission.shares(now) {
            for (rank, share) in &shares {
                self.metrics.set_admitted(service, *rank, *share);
            }
            let is_limited = shares.iter().any(|(_, share)| *share < 1.0);
            let mut limited = self.limited_services.borrow_mut();
            let changed = if is_limited { limited.insert(service.clone()) } else { limited.remove(service) };
            if changed && is_limited {
                log::info!(service = &**service, shares:?, has_leader; "requests are refused by rank");
            } else if changed {
                log::info!(service = &**service, has_leader; "all requests are admitted again");
            }
        }
    }

    /// Sets the metrics of slow targets, and logs which of them stay slow.
    fn report_slow(&self, now: Time, directory: &Directory) {
        let SlowReport { services, changes } = self.loads.borrow_mut().watch_slow(now, directory);
        self.metrics.set_slow(services);
        for (Incarnation { id, .. }, change) in changes {
            match change {
                SlowChange::Began(slowdown) if self.log_limiter.allow(now, "target is slow") => {
                    log::info!(target_id = &*id, slowdown; "target is slow");
                }
                SlowChange::Ended(span) if self.log_limiter.allow(now, "target is no longer slow") => {
                    log::info!(target_id = &*id, slow_ms = span.as_millis(); "target is no longer slow");
                }
                _ => {}
            }
        }
    }

    /// Reports to the leader as soon as the least interval between reports allows.
    pub(crate) fn request_report(&self) {
        self.quota_wanted.set(true);
        self.quota_requested.notify_one();
    }

    /// Does the work that is due every second: expires entries and idle
    /// connections.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        directory.tick(now);
        self.loads.borrow_mut().retain(&directory);
        self.silence.borrow_mut().retain(now, &directory);
        self.pool.sweep(now, &directory);
        self.report_admission(now);
        self.report_slow(now, &directory);
        self.metrics.set_config_age(now.since(self.config_feed.checked_at()));
        self.metrics.set_held(catkin_net::held());
        drop(directory);
        self.count_evacuated();
    }
}

/// Sleeps for a duration.
pub(crate) async fn sleep(span: Span) {
    tokio::time::sleep(span.as_duration()).await;
}
