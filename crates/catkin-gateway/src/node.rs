//! State shared by the tasks of a gateway.

use {
    crate::{
        append::AppendQueue, connect, idempotency::Registry, metrics::Metrics, peer::Pool, queue::Queues,
    },
    awc::{Client, Connector},
    catkin::{
        api::{VmEntry, VmList},
        choose::TargetLoads,
        config::Policy,
        event::{Kind, Ring, Timestamp, WallTime},
        fold::State,
        lease::{Keeper, Timings},
        member::Members,
        place,
        record::Writer,
        retry::Budget,
        settings,
        snapshot::Assembler,
        types::{Offset, RequestId, Service, TargetId, Time, VmId},
    },
    catkin_net::{LogClient, MonotonicClock},
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

/// State of a gateway. All tasks run on one thread, hence the cells.
pub(crate) struct Node {
    /// Settings of the process.
    pub(crate) settings: settings::Gateway,
    /// Number of this incarnation: its start in microseconds since the Unix
    /// epoch, so that a restarted process has a higher one.
    pub(crate) incarnation: u64,
    /// Monotonic clock of the process.
    pub(crate) clock: MonotonicClock,
    /// Fold of the log up to the last record that was applied.
    pub(crate) state: RefCell<State>,
    /// VM list as last read from the platform.
    pub(crate) vm_list: RefCell<VmList>,
    /// Positions in the VM list by id of the VM or target.
    vm_index: RefCell<HashMap<Arc<str>, usize>>,
    /// Client for the platform and for commands to targets.
    pub(crate) client: Client,
    /// Client for callers' requests to targets.
    pub(crate) request_client: Client,
    /// Client of the platform's log.
    pub(crate) log: LogClient,
    /// Whether the last read of the log was answered.
    pub(crate) log_available: Cell<bool>,
    /// Whether a state was loaded. Until then no state is sent to other gateways,
    /// no snapshot is written, no moves are planned, and `follow::read_to_head`
    /// fails.
    pub(crate) ready: Cell<bool>,
    /// Oldest and next offset of the log (`first`, `head`) at the last read.
    pub(crate) log_bounds: Cell<(Offset, Offset)>,
    /// Snapshots that were read from the log.
    pub(crate) snapshots: RefCell<Assembler>,
    /// Claims, moves and snapshots that wait for their append.
    pub(crate) control_queue: Rc<AppendQueue>,
    /// Idempotency keys that wait for their append. They have a queue of their
    /// own, because a move would wait behind them while the log is slow.
    pub(crate) intent_queue: Rc<AppendQueue>,
    /// Idempotency keys of the requests in progress.
    pub(crate) idempotency: Registry,
    /// Whether the fold, the VM list or the availability of the log changed
    /// since the last tick of `control`.
    pub(crate) needs_sync: Cell<bool>,
    /// Notified after records of the log were applied.
    pub(crate) records_applied: Notify,
    /// Leases of the kept targets.
    pub(crate) keeper: RefCell<Keeper>,
    /// Liveness of the gateways.
    pub(crate) members: RefCell<Members>,
    /// Loads of the targets of services that are not keyed.
    pub(crate) target_loads: RefCell<HashMap<Service, TargetLoads>>,
    /// Loads of the slices whose owners this gateway keeps.
    pub(crate) slice_loads: RefCell<place::SliceLoads>,
    /// Requests per second of targets, as reported by the gateways that keep
    /// them.
    pub(crate) target_rates: RefCell<HashMap<TargetId, u32>>,
    /// Targets that have reported that they drain.
    pub(crate) draining: RefCell<BTreeSet<TargetId>>,
    /// Queues of the kept targets.
    pub(crate) queues: Queues,
    /// Retry budgets by service.
    retry_budgets: RefCell<HashMap<Service, Budget>>,
    /// Most recent events, for the timeline.
    pub(crate) events: RefCell<Ring>,
    /// Idle connections to other gateways.
    pub(crate) peer_pool: Pool,
    /// Requests of other gateways in progress.
    pub(crate) peer_requests: Cell<u32>,
    /// Whether this gateway is shutting down.
    pub(crate) leaving: Cell<bool>,
    /// Metrics for operators.
    pub(crate) metrics: Metrics,
    /// Number of the last request of a caller.
    last_request: Cell<u64>,
    random_state: Cell<u64>,
}

impl Node {
    /// Creates the state of a new incarnation, before anything was read.
    pub(crate) fn new(settings: settings::Gateway) -> Self {
        let client = Client::builder().no_default_headers().finish();
        // A request on an idle connection that the target has just closed
        // fails, so the client closes idle connections before targets do.
        let connector = Connector::new()
            .connector(connect::connector())
            .limit(0)
            .conn_keep_alive(settings.limits.idle.as_duration())
            .conn_lifetime(settings.limits.idle.as_duration() * 4);
        let request_client = Client::builder()
            .connector(connector)
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .finish();
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
        let incarnation = u64::try_from(incarnation).unwrap_or_default();
        let events = usize::try_from(settings.limits.events).unwrap_or(usize::MAX);
        Self {
            log: LogClient::new(client.clone(), settings.platform.log),
            incarnation,
            clock: MonotonicClock::new(),
            state: RefCell::new(State::new()),
            vm_list: RefCell::default(),
            vm_index: RefCell::default(),
            client,
            request_client,
            log_available: Cell::new(false),
            ready: Cell::new(false),
            log_bounds: Cell::default(),
            snapshots: RefCell::default(),
            control_queue: Rc::new(AppendQueue::new(Writer { id: settings.vm.clone(), boot: incarnation })),
            // Writers are identified by `(id, boot)`, so the second writer of the
            // process uses the next number.
            intent_queue: Rc::new(AppendQueue::new(Writer {
                id: settings.vm.clone(),
                boot: incarnation + 1,
            })),
            idempotency: Registry::default(),
            needs_sync: Cell::new(false),
            records_applied: Notify::new(),
            keeper: RefCell::new(Keeper::new(settings.vm.clone(), incarnation, Timings::default())),
            members: RefCell::new(Members::new(settings.vm.clone(), incarnation, settings.zone.clone())),
            target_loads: RefCell::default(),
            slice_loads: RefCell::default(),
            target_rates: RefCell::default(),
            draining: RefCell::default(),
            queues: Queues::default(),
            retry_budgets: RefCell::default(),
            events: RefCell::new(Ring::new(settings.vm.clone(), incarnation, events)),
            peer_pool: Pool::default(),
            peer_requests: Cell::new(0),
            leaving: Cell::new(false),
            metrics: Metrics::new(),
            last_request: Cell::new(0),
            random_state: Cell::new(incarnation | 1),
            settings,
        }
    }

    /// Returns the time on the process's clock.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Adds an event to the timeline.
    pub(crate) fn record_event(&self, kind: Kind) {
        let offset = self.state.borrow().next_offset();
        self.events.borrow_mut().push(wall_clock(), offset, kind);
    }

    /// Returns a timestamp for an outgoing message.
    pub(crate) fn stamp(&self) -> Timestamp {
        self.events.borrow_mut().stamp(wall_clock())
    }

    /// Advances the event clock to the timestamp of a received message, so that
    /// later events are ordered after those of its sender.
    pub(crate) fn observe(&self, stamp: Timestamp) {
        self.events.borrow_mut().observe(stamp);
    }

    /// Runs a function on the retry budget of a service, which is created on
    /// first use and updated to `policy`.
    pub(crate) fn with_budget<T>(
        &self,
        service: &Service,
        policy: &Policy,
        run: impl FnOnce(&mut Budget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| Budget::new(policy));
        budget.set(policy);
        run(budget)
    }

    /// Returns an id for a request that is unique in the fleet.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let number = self.last_request.get() + 1;
        self.last_request.set(number);
        RequestId::new(format!("{}-{:x}-{number:x}", self.settings.vm, self.incarnation))
            .expect("a VM id and hexadecimal numbers make an id")
    }

    /// Returns a pseudo-random number (xorshift).
    pub(crate) fn next_random(&self) -> u64 {
        let mut number = self.random_state.get();
        number ^= number << 13;
        number ^= number >> 7;
        number ^= number << 17;
        self.random_state.set(number);
        number
    }

    /// Returns the entry of a VM or target in the VM list; `None` if it is not
    /// listed.
    pub(crate) fn find_vm(&self, id: &str) -> Option<VmEntry> {
        let position = *self.vm_index.borrow().get(id)?;
        self.vm_list.borrow().vms.get(position).cloned()
    }

    /// Replaces the VM list and its index.
    pub(crate) fn set_vm_list(&self, list: VmList) {
        let ids = list.vms.iter().map(|vm| vm.id.clone());
        *self.vm_index.borrow_mut() = ids.zip(0..).collect();
        *self.vm_list.borrow_mut() = list;
        self.needs_sync.set(true);
    }

    /// Returns the address of another gateway; `None` if it is not listed.
    pub(crate) fn peer_addr(&self, vm: &VmId) -> Option<SocketAddr> {
        self.find_vm(vm.as_str()).map(|vm| vm.addr)
    }

    /// Returns the address of a target; `None` if it is not listed.
    pub(crate) fn target_addr(&self, target: &TargetId) -> Option<SocketAddr> {
        self.find_vm(target.as_str()).map(|vm| vm.addr)
    }
}

/// Returns the time of the wall clock in microseconds since the Unix epoch.
pub(crate) fn wall_clock() -> WallTime {
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    WallTime::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
