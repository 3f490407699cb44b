//! A target server.

use {
    crate::{
        body::{read_json, reply_error},
        faults::TargetFaults,
        journal::Journal,
        ledger::Book,
        report::Reports,
    },
    actix_http::{Method, Request, Response, body::BoxBody},
    catkin::{
        Error,
        api::{Command, Load, path},
        lease::Holder,
        settings::StandinTarget,
        types::{Span, Time},
    },
    catkin_net::{Connections, Monotonic, reply_json},
    std::{
        cell::{Cell, RefCell},
        path::PathBuf,
        rc::Rc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{Notify, Semaphore},
};

/// Longest time between the two readings of a start.
const START_SLACK: Span = Span::from_micros(20);

/// A target server: lease, slots, ledger and faults.
pub(crate) struct Target {
    pub(crate) settings: StandinTarget,
    pub(crate) boot: u64,
    pub(crate) clock: Monotonic,
    pub(crate) holder: RefCell<Holder>,
    pub(crate) slots: Semaphore,
    pub(crate) book: RefCell<Book>,
    pub(crate) journal: RefCell<Option<Journal>>,
    pub(crate) faults: Cell<TargetFaults>,
    /// Sum of the shares to shed since a request was last shed.
    pub(crate) shed: Cell<f64>,
    pub(crate) connections: Connections,
    reports: RefCell<Reports>,
    thaw: Cell<Time>,
    changed: Notify,
}

impl Target {
    /// Makes a target whose boot number is the wall clock in microseconds, so
    /// that a later process has a higher one.
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
            book: RefCell::new(Book::new(boot)),
            journal: RefCell::new(journal),
            faults: Cell::default(),
            shed: Cell::default(),
            connections: Connections::new(settings.connections),
            reports: RefCell::new(Reports::new(clock.now(), settings.lag, idle)),
            thaw: Cell::default(),
            changed: Notify::new(),
            settings: settings.clone(),
        })
    }

    /// Answers a request.
    pub(crate) async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let answer = match request.path() {
            "/faults" | "/ledger" => self.control(request).await,
            _ => self.serve(request).await,
        };
        answer.unwrap_or_else(|e| reply_error(&e))
    }

    /// Waits until the target is no longer frozen.
    pub(crate) async fn thaw(&self) {
        while self.clock.now() < self.thaw.get() {
            let changed = self.changed.notified();
            let left = self.thaw.get().since(self.clock.now());
            // Either the freeze ends, or other faults replace it.
            let _ = actix_rt::time::timeout(left.as_duration(), changed).await;
        }
    }

    /// Notes the load for later reports.
    pub(crate) fn note_load(&self) {
        let now = self.clock.now();
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(u32::MAX);
        let load = Load {
            running: self.settings.slots.saturating_sub(free),
            slots: self.settings.slots,
            connections: self.connections.open(),
            age: Span::ZERO,
            draining: self.holder.borrow_mut().status(now).draining,
        };
        self.reports.borrow_mut().note(now, load);
    }

    /// Answers what a test or an experiment asks; works while frozen.
    async fn control(&self, mut request: Request) -> Result<Response<BoxBody>, Error> {
        if request.path() == "/ledger" {
            let (id, service) = (self.settings.id.clone(), self.settings.service.clone());
            let ledger = self.book.borrow().report(self.clock.now(), id, service, self.boot);
            return Ok(reply_json(200, &ledger));
        }
        if *request.method() == Method::POST {
            self.set_faults(read_json(&mut request).await?);
        }
        Ok(reply_json(200, &self.faults.get()))
    }

    fn set_faults(&self, faults: TargetFaults) {
        self.faults.set(faults);
        self.shed.set(0.0);
        self.thaw.set(self.clock.now().after(faults.freeze));
        self.changed.notify_waiters();
    }

    async fn serve(self: &Rc<Self>, request: Request) -> Result<Response<BoxBody>, Error> {
        self.thaw().await;
        let answer = self.route(request).await;
        self.thaw().await;
        answer
    }

    async fn route(self: &Rc<Self>, mut request: Request) -> Result<Response<BoxBody>, Error> {
        let method = request.method().clone();
        let path = request.path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, path::RENEW | path::FENCE | path::GRANT | path::RELEASE) => {
                let command: Command = read_json(&mut request).await?;
                self.thaw().await;
                Ok(self.command(&command))
            }
            (&Method::GET, path::LEASE) => {
                Ok(reply_json(200, &self.holder.borrow_mut().status(self.clock.now())))
            }
            (&Method::GET, path::LOAD | path::HEALTH) => Ok(reply_json(200, &self.report())),
            (&Method::POST, path::DRAIN) => Ok(self.drain()),
            _ => Ok(self.work(request).await),
        }
    }

    fn command(&self, command: &Command) -> Response<BoxBody> {
        let now = self.clock.now();
        let mut holder = self.holder.borrow_mut();
        let reply = holder.command(now, command);
        self.book.borrow_mut().hold(now, &holder.status(now));
        reply_json(200, &reply)
    }

    fn report(&self) -> Load {
        let load = self.reports.borrow_mut().read(self.clock.now());
        self.faults.get().lie.unwrap_or(load)
    }

    fn drain(&self) -> Response<BoxBody> {
        self.holder.borrow_mut().drain();
        self.book.borrow_mut().drain(self.clock.now());
        self.note_load();
        reply_json(200, &self.holder.borrow_mut().status(self.clock.now()))
    }
}

/// Starts a clock and returns with it the wall clock at its start, in
/// microseconds.
fn start_clock() -> (Monotonic, u64) {
    loop {
        let clock = Monotonic::new();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // Ledgers of several processes are compared by these readings, which a
        // pause between them would shift.
        if clock.now() < Time::default().after(START_SLACK) {
            return (clock, Span::from(since).as_micros());
        }
    }
}
