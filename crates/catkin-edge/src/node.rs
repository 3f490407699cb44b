//! What one process knows.

use {
    crate::{feed::Feed, follow::Away, lines::Lines, metrics::Metrics, pool::Pool, settings::Settings},
    actix_http::{KeepAlive, ServiceConfig, ServiceConfigBuilder},
    catkin::types::{Span, Time},
    catkin_net::Boot,
    catkin_platform::{bounds::Bounds, name, store::Store},
    catkin_route::{
        budget::{self, Budget},
        config::Config,
        directory::Directory,
        load::Table,
        owners::{Leader, Owners},
        split::Split,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{Notify, watch},
};

/// A table of owners and the offset of its record.
#[derive(Clone, Debug)]
pub(crate) struct Owned {
    /// Offset of the record.
    pub(crate) version: u64,
    /// The table.
    pub(crate) table: Rc<Owners>,
}

/// How far the end of the process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// It serves.
    Serving,
    /// It was told to stop; each answer closes its connection.
    Leaving,
    /// New connections have had time to go elsewhere; idle ones are closed.
    Closing,
    /// The process ends; requests in progress are answered by it.
    Ending,
}

/// State of the process, shared by its tasks.
pub(crate) struct Node {
    /// Settings.
    pub(crate) set: Settings,
    /// The platform's bounds.
    pub(crate) bounds: Bounds,
    /// HTTP/1.1 options of all connections.
    pub(crate) http: ServiceConfig,
    /// The platform's store.
    pub(crate) store: Store,
    /// This process as a leader.
    pub(crate) me: Leader,
    /// Place in the topic of the configuration.
    pub(crate) configs: Feed,
    /// Place in the topic of the directory.
    pub(crate) targets: Feed,
    /// Whether the store is away, and when a read tries it again.
    pub(crate) away: Cell<Option<Away>>,
    /// Newest configuration.
    pub(crate) config: RefCell<Option<Rc<Config>>>,
    /// Shares of split routes.
    pub(crate) split: RefCell<Split>,
    /// Known targets.
    pub(crate) directory: RefCell<Directory>,
    /// Whether the directory was read once.
    pub(crate) listed: Cell<bool>,
    /// Newest table of owners.
    pub(crate) owned: watch::Sender<Option<Owned>>,
    /// Loads of targets as seen from here.
    pub(crate) loads: RefCell<Table>,
    /// Repeated sends.
    pub(crate) budget: RefCell<Budget>,
    /// Idle connections to targets.
    pub(crate) pool: Pool,
    /// Requests by service and key since the last report to the leader.
    pub(crate) keys: RefCell<HashMap<(Arc<str>, u16), u16>>,
    /// Wakes requests that wait for room or for an owner.
    pub(crate) room: Notify,
    /// Whether a request waits for a turn that the leader was not asked for.
    pub(crate) asks: Cell<bool>,
    /// Wakes the report that asks.
    pub(crate) asked: Notify,
    /// How far the end of the process has come.
    pub(crate) stage: watch::Sender<Stage>,
    /// Requests in progress.
    pub(crate) open: Cell<u32>,
    /// Number of edge processes, as the leader counts them.
    pub(crate) peers: Cell<u32>,
    /// When this process started.
    pub(crate) started: Time,
    /// Whether the leader chose this process to follow it.
    pub(crate) standby: Cell<bool>,
    /// When the leader last answered a report.
    pub(crate) linked: Cell<Time>,
    /// When the group last confirmed this process as a member.
    pub(crate) seat: Cell<Option<Time>>,
    /// Whether the group makes this process the first to follow a leader that
    /// is gone.
    pub(crate) first: Cell<bool>,
    /// Whether this process leads.
    pub(crate) leads: Cell<bool>,
    /// When the leader was last known to reach the store.
    pub(crate) alive: Cell<Time>,
    /// Bounds of log lines.
    pub(crate) lines: Lines,
    /// Counters.
    pub(crate) metrics: Metrics,
}

/// Share of a core of a process that may lead before others: the
/// busiest of 79 with 349 targets took 0.054 in one run, and more at peaks.
const STRONG_CORES: f64 = 0.2;

/// Bandwidth of such a process, in Mbit/s. A new table for 80 processes has
/// half a megabyte.
const STRONG_BANDWIDTH: f64 = 50.0;

/// Edge processes that are assumed before the leader has counted them.
const PEERS_UNKNOWN: u32 = 12;

impl Node {
    /// Makes the state of a process that knows nothing yet.
    pub(crate) fn new(set: Settings, bounds: Bounds) -> Self {
        let http = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(born.as_micros()).unwrap_or_default() ^ u64::from(std::process::id());
        let me = Leader { vm: set.vm.as_str().into(), incarnation, addr: set.peers };
        let limits = budget::Bounds {
            ratio: bounds.repeat_ratio,
            window: bounds.repeat_window,
            slack: bounds.repeat_slack,
        };
        Self {
            store: Store::new(set.store, http.clone()),
            loads: RefCell::new(Table::new(set.zone.as_str().into())),
            budget: RefCell::new(Budget::new(limits)),
            set,
            bounds,
            http,
            me,
            configs: Feed::new(name::OPERATOR_TOPIC),
            targets: Feed::new(name::TARGETS_TOPIC),
            away: Cell::new(None),
            config: RefCell::default(),
            split: RefCell::default(),
            directory: RefCell::default(),
            listed: Cell::new(false),
            owned: watch::Sender::new(None),
            pool: Pool::default(),
            keys: RefCell::default(),
            room: Notify::new(),
            asks: Cell::new(false),
            asked: Notify::new(),
            stage: watch::Sender::new(Stage::Serving),
            open: Cell::new(0),
            peers: Cell::new(PEERS_UNKNOWN),
            started: Boot.now(),
            standby: Cell::new(false),
            linked: Cell::new(Time::default()),
            seat: Cell::new(None),
            first: Cell::new(false),
            leads: Cell::new(false),
            alive: Cell::new(Boot.now()),
            lines: Lines::default(),
            metrics: Metrics::new(),
        }
    }

    /// Reads the clock that goes on while the machine is suspended.
    pub(crate) fn now(&self) -> Time {
        Boot.now()
    }

    /// Returns the newest table of owners.
    pub(crate) fn owned(&self) -> Option<Owned> {
        self.owned.borrow().clone()
    }

    /// Returns whether this process can do the work of a leader well.
    pub(crate) fn is_strong(&self) -> bool {
        self.set.cores >= STRONG_CORES && self.set.bandwidth >= STRONG_BANDWIDTH
    }

    /// Takes a table of owners unless a newer one is known.
    pub(crate) fn adopt(&self, version: u64, table: Rc<Owners>) {
        let newer = self.owned.borrow().as_ref().is_none_or(|o| o.version < version);
        if !newer {
            return;
        }
        let known = self.owned.borrow().as_ref().map(|o| o.table.leader.clone());
        if known.is_some_and(|known| known != table.leader) {
            // A new leader reached the store with its claim.
            self.alive.set(self.now());
        }
        log::info!(version, leader = &*table.leader.vm; "owners changed");
        self.owned.send_replace(Some(Owned { version, table }));
        self.room.notify_waiters();
    }

    /// Takes a configuration unless a newer one is known. Returns whether it is
    /// new.
    pub(crate) fn configure(&self, config: Config) -> bool {
        let known = self.config.borrow().as_ref().map(|c| c.version);
        if known.is_some_and(|known| known >= config.version) {
            return false;
        }
        log::info!(version = config.version, before = known; "configuration in force");
        let names: std::collections::HashSet<Arc<str>> = config.rules().map(|r| r.name.clone()).collect();
        self.split.borrow_mut().retain(|name| names.contains(name));
        *self.config.borrow_mut() = Some(Rc::new(config));
        true
    }

    /// Returns whether the process was told to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.stage.borrow() > Stage::Serving
    }

    /// Returns whether new connections may come.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(config) = self.config.borrow().clone() else { return false };
        let owned = config.keyed().next().is_none() || self.owned.borrow().is_some();
        !self.is_leaving() && self.listed.get() && owned
    }

    /// Does work that is due every second.
    pub(crate) fn sweep(&self) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        directory.tick(now);
        self.loads.borrow_mut().retain(&directory);
        self.pool.sweep(now, &directory);
    }
}

/// Sleeps for a span.
pub(crate) async fn sleep(span: Span) {
    tokio::time::sleep(span.as_duration()).await;
}
