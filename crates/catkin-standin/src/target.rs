//! A target: leases, load reports, faults and the routes of its requests.

use {
    crate::{
        body::{read_json, reply_error},
        faults::TargetFaults,
        journal::Journal,
        ledger::LedgerRecorder,
        load_history::LoadHistory,
    },
    actix_http::{Method, Request, Response, body::BoxBody},
    catkin::{
        Error,
        api::{Command, Load, path},
        lease::Holder,
        settings::StandinTarget,
        types::{Span, Time},
    },
    catkin_net::{Connections, MonotonicClock, reply_json},
    std::{
        cell::{Cell, RefCell},
        path::PathBuf,
        rc::Rc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{Notify, Semaphore},
};

/// Maximum time between the readings of the monotonic and the wall clock at a
/// start.
const START_GAP_MAX: Span = Span::from_micros(20);

/// State of a target.
pub(crate) struct Target {
    pub(crate) settings: StandinTarget,
    /// Unix time of the start, in microseconds.
    pub(crate) boot: u64,
    pub(crate) clock: MonotonicClock,
    pub(crate) holder: RefCell<Holder>,
    pub(crate) slots: Semaphore,
    pub(crate) recorder: RefCell<LedgerRecorder>,
    pub(crate) journal: RefCell<Option<Journal>>,
    pub(crate) faults: Cell<TargetFaults>,
    /// Sum of the shares to shed; each time it reaches 1, one request is shed.
    pub(crate) shed_sum: Cell<f64>,
    pub(crate) connections: Connections,
    loads: RefCell<LoadHistory>,
    frozen_until: Cell<Time>,
    faults_changed: Notify,
}

impl Target {
    /// Creates a target. Its boot number is the Unix time in microseconds, so
    /// that a later incarnation has a higher one.
    ///
    /// # Errors
    ///
    /// `Code::UnreadableFile` if its journal can't be opened.
    pub(crate) fn new(settings: &StandinTarget) -> Result<Self, Error> {
        let (clock, boot) = start_clock();
        let (id, service) = (settings.id.clone(), settings.service.clone());
        let open = |path: &PathBuf| Journal::open(path, id.clone(), service, boot);
        let journal = settings.journal.as_ref().map(open).transpose()?;
        let idle = Load { slots: settings.slots, ..Load::default() };
        Ok(Self {
            boot,
            clock,
            holder: RefCell::new(Holder::new(id, boot)),
            slots: Semaphore::new(settings.slots as usize),
            recorder: RefCell::new(LedgerRecorder::new(boot)),
            journal: RefCell::new(journal),
            faults: Cell::default(),
            shed_sum: Cell::default(),
            connections: Connections::new(settings.connections),
            loads: RefCell::new(LoadHistory::new(clock.now(), settings.lag, idle)),
            frozen_until: Cell::default(),
            faults_changed: Notify::new(),
            settings: settings.clone(),
        })
    }

    pub(crate) async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let answer = match request.path() {
            "/faults" | "/ledger" => self.control(request).await,
            _ => self.serve(request).await,
        };
        answer.unwrap_or_else(|e| reply_error(&e))
    }

    pub(crate) async fn wait_while_frozen(&self) {
        while self.clock.now() < self.frozen_until.get() {
            let changed = self.faults_changed.notified();
            let left = self.frozen_until.get().since(self.clock.now());
            // Ends with the freeze, or earlier if the faults are replaced.
            let _ = actix_rt::time::timeout(left.as_duration(), changed).await;
        }
    }

    /// Records the present load for later reports.
    pub(crate) fn record_load(&self) {
        let now = self.clock.now();
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        let load = Load {
            running: self.settings.slots.saturating_sub(free),
            slots: self.settings.slots,
            connections: self.connections.count(),
            age: Span::ZERO,
            draining: self.holder.borrow_mut().status(now).draining,
        };
        self.loads.borrow_mut().add(now, load);
    }

    /// Answers `/faults` and `/ledger`, also while the target is frozen.
    async fn control(&self, mut request: Request) -> Result<Response<BoxBody>, Error> {
        if request.path() == "/ledger" {
            let (id, service) = (self.settings.id.clone(), self.settings.service.clone());
            let ledger = self.recorder.borrow().ledger(self.clock.now(), id, service, self.boot);
            return Ok(reply_json(200, &ledger));
        }
        if *request.method() == Method::POST {
            self.set_faults(read_json(&mut request).await?);
        }
        Ok(reply_json(200, &self.faults.get()))
    }

    fn set_faults(&self, faults: TargetFaults) {
        self.faults.set(faults);
        self.shed_sum.set(0.0);
        self.frozen_until.set(self.clock.now().after(faults.freeze));
        self.faults_changed.notify_waiters();
    }

    async fn serve(self: &Rc<Self>, request: Request) -> Result<Response<BoxBody>, Error> {
        self.wait_while_frozen().await;
        let answer = self.route(request).await;
        self.wait_while_frozen().await;
        answer
    }

    async fn route(self: &Rc<Self>, mut request: Request) -> Result<Response<BoxBody>, Error> {
        let method = request.method().clone();
        let path = request.path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, path::RENEW | path::FENCE | path::GRANT | path::RELEASE) => {
                let command: Command = read_json(&mut request).await?;
                self.wait_while_frozen().await;
                Ok(self.command(&command))
            }
            (&Method::GET, path::LEASE) => {
                Ok(reply_json(200, &self.holder.borrow_mut().status(self.clock.now())))
            }
            (&Method::GET, path::LOAD | path::HEALTH) => Ok(reply_json(200, &self.load())),
            (&Method::POST, path::DRAIN) => Ok(self.drain()),
            _ => Ok(self.work(request).await),
        }
    }

    fn command(&self, command: &Command) -> Response<BoxBody> {
        let now = self.clock.now();
        let mut holder = self.holder.borrow_mut();
        let reply = holder.command(now, command);
        self.recorder.borrow_mut().update_owned(now, &holder.status(now));
        reply_json(200, &reply)
    }

    /// Returns the load as of the setting `lag` ago, or the load that the fault
    /// `lie` sets.
    fn load(&self) -> Load {
        let load = self.loads.borrow_mut().lagged(self.clock.now());
        self.faults.get().lie.unwrap_or(load)
    }

    fn drain(&self) -> Response<BoxBody> {
        self.holder.borrow_mut().set_draining();
        self.recorder.borrow_mut().record_drain(self.clock.now());
        self.record_load();
        reply_json(200, &self.holder.borrow_mut().status(self.clock.now()))
    }
}

/// Starts a clock and returns it with the Unix time at its start, in
/// microseconds.
fn start_clock() -> (MonotonicClock, u64) {
    loop {
        let clock = MonotonicClock::new();
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Ledgers of several processes are compared by Unix time. A pause
        // between the two readings would shift the times of one ledger.
        if clock.now() < Time::default().after(START_GAP_MAX) {
            return (clock, Span::from(unix_time).as_micros());
        }
    }
}
