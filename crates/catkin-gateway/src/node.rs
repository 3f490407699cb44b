//! What all parts of a gateway share.

use {
    crate::{append::Lane, connect, metrics::Metrics, peer::Pool, protect::Protect, queue::Queues},
    awc::{Client, Connector},
    catkin::{
        api::{Listed, VmList},
        choose::Loads,
        config::Policy,
        event::{Kind, Ring, Timestamp, Wall},
        fold::State,
        lease::{Keeper, Timings},
        member::Members,
        place,
        record::Writer,
        retry::Budget,
        settings,
        snapshot::Join,
        types::{Offset, RequestId, Service, TargetId, Time, VmId},
    },
    catkin_net::{Log, Monotonic},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::Notify,
};

/// State of a gateway, on one thread.
pub(crate) struct Node {
    /// Settings of the process.
    pub(crate) set: settings::Gateway,
    /// Number of the process; a restarted process has a higher one.
    pub(crate) boot: u64,
    /// The process's clock.
    pub(crate) clock: Monotonic,
    /// Fold of the log.
    pub(crate) state: RefCell<State>,
    /// Newest VM list.
    pub(crate) list: RefCell<VmList>,
    /// Rows of the VM list by id.
    rows: RefCell<HashMap<Arc<str>, usize>>,
    /// Client for the platform and for commands to targets.
    pub(crate) client: Client,
    /// Client for requests to targets.
    pub(crate) work: Client,
    /// The platform's log.
    pub(crate) log: Log,
    /// Whether the last read of the log was answered.
    pub(crate) log_up: Cell<bool>,
    /// Whether the process has a state to start from.
    pub(crate) ready: Cell<bool>,
    /// Oldest kept offset and head of the log at its last read.
    pub(crate) bounds: Cell<(Offset, Offset)>,
    /// Snapshots that were read from the log.
    pub(crate) join: RefCell<Join>,
    /// Claims, moves and snapshots on their way to the log.
    pub(crate) control: Rc<Lane>,
    /// Idempotency keys on their way to the log. They have a lane of their
    /// own, because a move would wait behind them while the log is slow.
    pub(crate) intents: Rc<Lane>,
    /// Idempotency keys of the requests in progress.
    pub(crate) protect: Protect,
    /// Whether the fold, the VM list or the state of the log changed since
    /// the last tick.
    pub(crate) changed: Cell<bool>,
    /// Wakes up those that wait for a record of the log.
    pub(crate) advanced: Notify,
    /// Leases of the kept targets.
    pub(crate) keeper: RefCell<Keeper>,
    /// The other gateways.
    pub(crate) members: RefCell<Members>,
    /// Loads of the targets of services that are not divided by key.
    pub(crate) loads: RefCell<HashMap<Service, Loads>>,
    /// Loads of the slices of kept owners.
    pub(crate) slices: RefCell<place::Loads>,
    /// Requests per second of the targets of other gateways.
    pub(crate) rates: RefCell<HashMap<TargetId, u32>>,
    /// Targets that said that they drain.
    pub(crate) draining: RefCell<BTreeSet<TargetId>>,
    /// Queues of the kept targets.
    pub(crate) queues: Queues,
    /// Retry budgets by service.
    budgets: RefCell<HashMap<Service, Budget>>,
    /// Events for the time line.
    pub(crate) events: RefCell<Ring>,
    /// Connections to other gateways.
    pub(crate) pool: Pool,
    /// Requests of other gateways in progress.
    pub(crate) forwarded: Cell<u32>,
    /// Whether this gateway is shutting down.
    pub(crate) leaving: Cell<bool>,
    /// Counters.
    pub(crate) metrics: Metrics,
    requests: Cell<u64>,
    random: Cell<u64>,
}

impl Node {
    /// Makes the state of a new process.
    pub(crate) fn new(set: settings::Gateway) -> Self {
        let client = Client::builder().no_default_headers().finish();
        // A connection that a target has closed while idle fails the next
        // request on it, so idle connections are dropped before targets do so.
        let connector = Connector::new()
            .connector(connect::strict())
            .limit(0)
            .conn_keep_alive(set.limits.idle.as_duration())
            .conn_lifetime(set.limits.idle.as_duration() * 4);
        let work = Client::builder()
            .connector(connector)
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .finish();
        let boot = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        let boot = u64::try_from(boot).unwrap_or_default();
        let events = usize::try_from(set.limits.events).unwrap_or(usize::MAX);
        Self {
            log: Log::new(client.clone(), set.platform.log),
            boot,
            clock: Monotonic::new(),
            state: RefCell::new(State::new()),
            list: RefCell::default(),
            rows: RefCell::default(),
            client,
            work,
            log_up: Cell::new(false),
            ready: Cell::new(false),
            bounds: Cell::default(),
            join: RefCell::default(),
            control: Rc::new(Lane::new(Writer { id: set.vm.clone(), boot })),
            intents: Rc::new(Lane::new(Writer { id: set.vm.clone(), boot: boot + 1 })),
            protect: Protect::default(),
            changed: Cell::new(false),
            advanced: Notify::new(),
            keeper: RefCell::new(Keeper::new(set.vm.clone(), boot, Timings::default())),
            members: RefCell::new(Members::new(set.vm.clone(), boot, set.zone.clone())),
            loads: RefCell::default(),
            slices: RefCell::default(),
            rates: RefCell::default(),
            draining: RefCell::default(),
            queues: Queues::default(),
            budgets: RefCell::default(),
            events: RefCell::new(Ring::new(set.vm.clone(), boot, events)),
            pool: Pool::default(),
            forwarded: Cell::new(0),
            leaving: Cell::new(false),
            metrics: Metrics::new(),
            requests: Cell::new(0),
            random: Cell::new(boot | 1),
            set,
        }
    }

    /// Returns the time on the process's clock.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Keeps an event for the time line.
    pub(crate) fn record(&self, kind: Kind) {
        let offset = self.state.borrow().next();
        self.events.borrow_mut().push(wall(), offset, kind);
    }

    /// Returns a timestamp for a message.
    pub(crate) fn stamp(&self) -> Timestamp {
        self.events.borrow_mut().stamp(wall())
    }

    /// Takes the timestamp of a message, so that later events are ordered
    /// after those of its sender.
    pub(crate) fn observe(&self, stamp: Timestamp) {
        self.events.borrow_mut().observe(stamp);
    }

    /// Uses the retry budget of a service.
    pub(crate) fn budget<T>(
        &self,
        service: &Service,
        policy: &Policy,
        run: impl FnOnce(&mut Budget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| Budget::new(policy));
        budget.set(policy);
        run(budget)
    }

    /// Makes an id for a request that is unique in the fleet.
    pub(crate) fn next_request(&self) -> RequestId {
        let number = self.requests.get() + 1;
        self.requests.set(number);
        RequestId::new(format!("{}-{:x}-{number:x}", self.set.vm, self.boot))
            .expect("a VM id and hexadecimal numbers make an id")
    }

    /// Returns a pseudo-random number (xorshift).
    pub(crate) fn next_random(&self) -> u64 {
        let mut number = self.random.get();
        number ^= number << 13;
        number ^= number >> 7;
        number ^= number << 17;
        self.random.set(number);
        number
    }

    /// Returns the row of a VM or target in the VM list.
    pub(crate) fn listed(&self, id: &str) -> Option<Listed> {
        let row = *self.rows.borrow().get(id)?;
        self.list.borrow().vms.get(row).cloned()
    }

    /// Replaces the VM list.
    pub(crate) fn set_list(&self, list: VmList) {
        let ids = list.vms.iter().map(|vm| vm.id.clone());
        *self.rows.borrow_mut() = ids.zip(0..).collect();
        *self.list.borrow_mut() = list;
        self.changed.set(true);
    }

    /// Returns the address of another gateway.
    pub(crate) fn peer(&self, vm: &VmId) -> Option<SocketAddr> {
        self.listed(vm.as_str()).map(|vm| vm.addr)
    }

    /// Returns the address of a target.
    pub(crate) fn target(&self, target: &TargetId) -> Option<SocketAddr> {
        self.listed(target.as_str()).map(|vm| vm.addr)
    }
}

/// Reads the wall clock.
pub(crate) fn wall() -> Wall {
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    Wall::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
