//! A server: runs requests, holds keys by grants and publishes its entry in the
//! topic `keyed.servers`.

use {
    super::{announcements::Announcements, cold::ColdTime, invariants::InvariantChecker, store::Store},
    crate::body::{self, header_text},
    actix_http::{Request, Response, ResponseBuilder, StatusCode, body::BoxBody},
    catkin_net::{Connections, listen, reply_text},
    futures_util::future::pending,
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Semaphore,
};

/// Number of slots that a server reports.
const SLOTS: u32 = 6;

/// Number of requests that a server accepts beyond its slots; further ones are
/// refused.
const EXCESS_MAX: u32 = 24;

/// Interval at which a server publishes its entry.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the evacuation of a zone from which on its servers must get no
/// requests.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Least time after which the connection of an unanswered command is reset.
const COMMAND_TIMEOUT_MIN: Duration = Duration::from_millis(400);
/// Size of the answers to requests whose path ends with `/large`, in bytes, as that of
/// the largest downloads.
const LARGE_BYTES: usize = 540_000;

/// Faults of a server. For those with a number n, 0 means off.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// Every n-th request runs but is never answered.
    pub unanswered_every: u32,
    /// Every n-th request runs and is answered with status 500.
    pub fail_every: u32,
    /// Every n-th request is refused without running.
    pub shed_every: u32,
    /// Grants and releases are executed but not answered.
    pub unanswered_commands: bool,
    /// The server publishes no entry.
    pub unpublished: bool,
}

#[derive(Clone, Debug)]
struct Grant {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

#[derive(Debug)]
struct Inner {
    id: String,
    service: String,
    zone: RefCell<String>,
    keyed: bool,
    work_time: Duration,
    checker: InvariantChecker,
    store: Store,
    addr: Cell<Option<SocketAddr>>,
    incarnation: Cell<u64>,
    draining: Cell<bool>,
    stopped: Cell<bool>,
    /// Whether the process is paused, and the number of requests and health checks
    /// that arrived meanwhile.
    paused: Cell<bool>,
    paused_requests: Cell<(u32, u32)>,
    running: Cell<u32>,
    /// Slots, if requests beyond them wait in a queue.
    slots: RefCell<Option<Rc<Semaphore>>>,
    received: Cell<u32>,
    health_checks: Cell<u32>,
    faults: Cell<ServerFaults>,
    /// Time that work takes, as a multiple of the usual time.
    slowdown: Cell<f64>,
    grants: RefCell<Vec<Grant>>,
    announcements: RefCell<Announcements>,
    cold: RefCell<Option<ColdTime>>,
    connections: Connections,
    /// Until when the entry of the running incarnation is not written.
    unlisted_until: Cell<Option<Instant>>,
}

/// A server. Clones share its state.
#[derive(Clone, Debug)]
pub struct Server {
    inner: Rc<Inner>,
}

/// Counts a request as running until it is dropped.
struct RunGuard(Rc<Inner>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Starts an answer to a request, with its id.
fn reply_to(request: &Request, status: u16) -> ResponseBuilder {
    let mut reply = Response::build(StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
    if let Some(id) = header_text(request, "x-request-id") {
        reply.insert_header(("x-request-id", id));
    }
    reply
}

fn not_run(request: &Request, status: u16) -> ResponseBuilder {
    let mut reply = reply_to(request, status);
    reply.insert_header(("x-not-run", "1"));
    reply
}

impl Server {
    /// Creates a server of a service. A request takes `work_time`. If `keyed`,
    /// the server only runs requests for keys that it holds.
    pub fn new(
        id: &str,
        service: &str,
        keyed: bool,
        work_time: Duration,
        store: &Store,
        checker: &InvariantChecker,
    ) -> Self {
        Self::new_in("z", id, service, keyed, work_time, store, checker)
    }

    /// Creates a server in a zone.
    pub fn new_in(
        zone: &str,
        id: &str,
        service: &str,
        keyed: bool,
        work_time: Duration,
        store: &Store,
        checker: &InvariantChecker,
    ) -> Self {
        let inner = Inner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: RefCell::new(zone.to_owned()),
            keyed,
            work_time,
            checker: checker.clone(),
            store: store.clone(),
            addr: Cell::new(None),
            incarnation: Cell::new(1),
            draining: Cell::new(false),
            stopped: Cell::new(false),
            paused: Cell::new(false),
            paused_requests: Cell::default(),
            running: Cell::new(0),
            slots: RefCell::default(),
            received: Cell::new(0),
            health_checks: Cell::new(0),
            faults: Cell::default(),
            slowdown: Cell::new(1.0),
            grants: RefCell::default(),
            announcements: RefCell::default(),
            cold: RefCell::default(),
            connections: Connections::new(u32::MAX),
            unlisted_until: Cell::new(None),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Serves on a free port and publishes the entry at regular intervals.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(&self) {
        let listener = listen("127.0.0.1:0".parse().expect("valid address")).await.expect("free port");
        self.inner.addr.set(listener.local_addr().ok());
        let server = self.clone();
        actix_rt::spawn(async move {
            let connections = server.inner.connections.clone();
            let serving = catkin_net::serve_limited(listener, connections, move |request| {
                let server = server.clone();
                async move { server.handle(request).await }
            });
            let _ = serving.await;
        });
        let server = self.clone();
        actix_rt::spawn(async move {
            while !server.inner.stopped.get() {
                server.publish();
                actix_rt::time::sleep(PUBLISH_INTERVAL).await;
            }
        });
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServerFaults) {
        self.inner.faults.set(faults);
    }

    /// Sets the time that work takes, as a multiple of the usual time, which all
    /// further answers report.
    pub fn set_slowdown(&self, slowdown: f64) {
        self.inner.slowdown.set(slowdown);
    }

    /// Returns the number of requests so far.
    pub fn received(&self) -> u32 {
        self.inner.received.get()
    }

    /// Lets requests beyond the slots wait in a queue from now on. Otherwise all run
    /// at once.
    pub fn use_slots(&self) {
        *self.inner.slots.borrow_mut() = Some(Rc::new(Semaphore::new(SLOTS as usize)));
    }

    /// Names a limit in requests per second in all further answers, or none. The
    /// limit before ends with a violation if the server got too many requests.
    pub fn set_limit(&self, per_second: Option<f64>) {
        let inner = &self.inner;
        inner.announcements.borrow_mut().set_limit(&inner.id, &inner.checker, per_second);
    }

    /// Turns cold for a time, as the entry then says. More requests within a
    /// second than a service with this cold rate takes are a violation, once
    /// `checked_after` has passed.
    pub fn turn_cold(&self, span: Duration, per_second: f64, checked_after: Duration) {
        *self.inner.cold.borrow_mut() = Some(ColdTime::new(span, per_second, checked_after));
        self.publish();
    }

    /// Returns how many requests arrived in the last cold time once it was
    /// checked, and the most within a second.
    pub fn cold_requests(&self) -> (usize, usize) {
        self.inner.cold.borrow().as_ref().map_or((0, 0), ColdTime::counts)
    }

    /// Says in all further answers that the server leaves; its entry still says
    /// `ready`. A request that arrives later than `drain_time` after the first
    /// such answer is a violation.
    pub fn announce_leaving(&self, drain_time: Duration) {
        self.inner.announcements.borrow_mut().set_leaving(Some(drain_time));
    }

    /// Stops saying that the server leaves, as after a restart.
    pub fn stay(&self) {
        self.inner.announcements.borrow_mut().set_leaving(None);
    }

    /// Refuses all requests for a time with the rest of it as `Retry-After`.
    /// More than two later requests of each of the `callers` are a violation.
    pub fn pause(&self, span: Duration, callers: usize) {
        self.inner.announcements.borrow_mut().pause(span, callers);
    }

    /// Returns how many requests arrived in the last pause when it had been
    /// announced.
    pub fn late_requests(&self) -> usize {
        self.inner.announcements.borrow().late_requests()
    }

    /// Stops responding, as a process that is paused: connections stay open and new
    /// ones are accepted. What arrives meanwhile is handled when the pause ends.
    pub fn set_paused(&self, is_paused: bool) {
        self.inner.paused.set(is_paused);
        if is_paused {
            self.inner.paused_requests.take();
        }
    }

    /// Returns the number of requests and of health checks that arrived in the last
    /// pause.
    pub fn paused_requests(&self) -> (u32, u32) {
        self.inner.paused_requests.get()
    }

    /// Waits until the server is not paused. Returns whether the request still
    /// arrives: the connection of a command is reset before the pause ends if that
    /// lasts for longer, so that the process never reads the command.
    async fn await_continue(&self, request: &Request) -> bool {
        let inner = &self.inner;
        if !inner.paused.get() {
            return true;
        }
        let (requests, checks) = inner.paused_requests.get();
        let is_command = matches!(request.path(), "/v1/grant" | "/v1/release");
        if request.path() == "/health" {
            inner.paused_requests.set((requests, checks + 1));
        } else if !is_command {
            inner.paused_requests.set((requests + 1, checks));
        }
        let arrived = Instant::now();
        while inner.paused.get() {
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        !is_command || arrived.elapsed() < COMMAND_TIMEOUT_MIN
    }

    /// Announces that the server leaves, by the state `draining` in its entry.
    /// It still accepts requests.
    pub fn drain(&self) {
        self.inner.draining.set(true);
        self.publish();
    }

    /// Stops the server: it answers no further request, and its entry is
    /// removed.
    pub fn stop(&self) {
        self.inner.stopped.set(true);
        self.inner.grants.borrow_mut().clear();
        self.inner.store.put("keyed.servers", &self.inner.id, b"");
    }

    /// Simulates a restart under the same id: connections end with the requests
    /// on them, the grants are lost and the entry shows a new incarnation.
    pub fn restart(&self) {
        self.restart_unlisted(Duration::ZERO);
    }

    /// Simulates a restart after which the new incarnation writes its entry only
    /// after `lag`.
    pub fn restart_unlisted(&self, lag: Duration) {
        self.inner.incarnation.set(self.inner.incarnation.get() + 1);
        self.inner.grants.borrow_mut().clear();
        self.inner.connections.close_all();
        self.inner.announcements.borrow_mut().restart(&self.inner.id, &self.inner.checker);
        self.inner.unlisted_until.set(Instant::now().checked_add(lag));
        self.publish();
    }

    /// Lets the running incarnation write no entry for a time.
    pub fn set_unlisted(&self, span: Duration) {
        self.inner.unlisted_until.set(Instant::now().checked_add(span));
    }

    /// Writes the entry of the incarnation before the running one, as a write
    /// that is carried out late does.
    pub fn publish_earlier(&self) {
        let earlier = self.inner.incarnation.get().saturating_sub(1).max(1);
        self.publish_as(earlier);
    }

    /// Returns the ranges of keys that the server holds now.
    pub fn held_ranges(&self) -> Vec<(u16, u16)> {
        let now = Instant::now();
        let grants = self.inner.grants.borrow();
        grants.iter().filter(|g| now < g.until).map(|g| (g.from, g.to)).collect()
    }

    /// Returns the id of the server.
    pub fn id(&self) -> &str {
        &self.inner.id
    }

    /// Sets the availability zone that the entry names; `z` at first.
    pub fn set_zone(&self, zone: &str) {
        *self.inner.zone.borrow_mut() = zone.to_owned();
    }

    /// Returns whether the running incarnation may write its entry.
    pub fn is_listed(&self) -> bool {
        self.inner.unlisted_until.get().is_none_or(|until| until <= Instant::now())
    }

    fn publish(&self) {
        if self.is_listed() {
            self.publish_as(self.inner.incarnation.get());
        }
    }

    fn publish_as(&self, incarnation: u64) {
        let inner = &self.inner;
        let (false, Some(addr)) = (inner.faults.get().unpublished || inner.stopped.get(), inner.addr.get())
        else {
            return;
        };
        let state = if inner.draining.get() { "draining" } else { "ready" };
        let cold_left = inner.cold.borrow().as_ref().map_or(Duration::ZERO, ColdTime::rest);
        let entry = json!({
            "address": addr.to_string(),
            "born": incarnation,
            "info": { "service": inner.service, "configVersion": "v1", "zone": *inner.zone.borrow(), "slots": SLOTS },
            "status": { "state": state, "seq": 1, "coldLeftMs": cold_left.as_secs_f64() * 1e3 },
        });
        inner.store.put("keyed.servers", &inner.id, entry.to_string().as_bytes());
    }

    /// Returns the highest fence of the grants in force that cover a key.
    fn fence_of(&self, key: u16) -> Option<u64> {
        let now = Instant::now();
        let grants = self.inner.grants.borrow();
        grants.iter().filter(|g| g.from <= key && key <= g.to && now < g.until).map(|g| g.fence).max()
    }

    async fn handle(&self, request: Request) -> Response<BoxBody> {
        if self.inner.stopped.get() {
            return pending().await;
        }
        if !self.await_continue(&request).await {
            return pending().await;
        }
        match request.path() {
            "/v1/grant" | "/v1/release" => self.command(request).await,
            "/health" => self.report_health(),
            _ => self.run(request).await,
        }
    }

    /// Answers a health check. It counts as no request, and its answer announces
    /// what all answers do.
    fn report_health(&self) -> Response<BoxBody> {
        let mut reply = Response::build(StatusCode::OK);
        reply.insert_header(("x-instance-id", &*self.inner.id));
        self.inner.health_checks.set(self.inner.health_checks.get() + 1);
        if self.inner.announcements.borrow().leaves() {
            reply.insert_header(("server-leaving", "1"));
        }
        reply.finish().map_into_boxed_body()
    }

    /// Returns the number of health checks so far.
    pub fn health_checks(&self) -> u32 {
        self.inner.health_checks.get()
    }

    async fn command(&self, mut request: Request) -> Response<BoxBody> {
        let is_grant = request.path() == "/v1/grant";
        if header_text(&request, "x-expect-instance").is_some_and(|id| id != self.inner.id) {
            return not_run(&request, 421).finish().map_into_boxed_body();
        }
        let Ok(body) = body::read(request.take_payload()).await else { return reply_text(400, "") };
        let Ok(command) = serde_json::from_slice::<Value>(&body) else { return reply_text(400, "") };
        let number = |name: &str| command[name].as_u64().unwrap_or(0);
        // `target` is the last key of the range.
        let (from, to) = (number("from") as u16, number("target") as u16);
        let fence = number("fence");
        let duration = Duration::from_millis(number("holdMs"));
        if !self.update_grants(from, to, is_grant.then_some((fence, duration))) {
            return reply_to(&request, 409).finish().map_into_boxed_body();
        }
        if self.inner.faults.get().unanswered_commands {
            return pending().await;
        }
        reply_to(&request, 200).finish().map_into_boxed_body()
    }

    /// Removes a range of keys from all grants and, if `grant` has a fence and
    /// a lease duration, grants the range anew. Changes nothing and returns
    /// false if a grant in the range has a higher fence.
    fn update_grants(&self, from: u16, to: u16, grant: Option<(u64, Duration)>) -> bool {
        let mut grants = self.inner.grants.borrow_mut();
        let overlaps = |g: &Grant| g.from <= to && from <= g.to;
        if grant.is_some_and(|(fence, _)| grants.iter().any(|g| overlaps(g) && g.fence > fence)) {
            return false;
        }
        let mut kept = Vec::new();
        for grant in grants.drain(..) {
            if !overlaps(&grant) {
                kept.push(grant);
                continue;
            }
            if grant.from < from {
                kept.push(Grant { to: from - 1, ..grant.clone() });
            }
            if grant.to > to {
                kept.push(Grant { from: to + 1, ..grant });
            }
        }
        if let Some((fence, duration)) = grant {
            kept.push(Grant { from, to, fence, until: Instant::now() + duration });
        }
        *grants = kept;
        true
    }

    /// Records a violation if the zone was evacuated too long ago for a request.
    /// Only the time counts in which every process ran and could reach the store.
    fn check_evacuation(&self) {
        let Inner { id, zone, checker, store, .. } = &*self.inner;
        let zone = zone.borrow();
        let Some(since) = store.set_since("keyed.op", &format!("evacuate/{zone}")) else { return };
        let late = checker.reachable_since(since).elapsed();
        if late > EVACUATION_TIME {
            checker.add_violation(format!("{id} got a request {late:?} after zone {zone} was evacuated"));
        }
    }

    async fn run(&self, mut request: Request) -> Response<BoxBody> {
        self.check_evacuation();
        let inner = &self.inner;
        let number = inner.received.get() + 1;
        inner.received.set(number);
        let faults = inner.faults.get();
        let every = |n: u32| n > 0 && number.is_multiple_of(n);
        let id = header_text(&request, "x-request-id").unwrap_or("").to_owned();
        if header_text(&request, "x-expect-instance").is_some_and(|expected| expected != inner.id) {
            return not_run(&request, 421)
                .insert_header(("x-instance-id", &*inner.id))
                .finish()
                .map_into_boxed_body();
        }
        let key: u16 = header_text(&request, "x-shard-key").and_then(|k| k.parse().ok()).unwrap_or(0);
        let fence = if inner.keyed { self.fence_of(key) } else { Some(0) };
        let Some(fence) = fence else { return not_run(&request, 421).finish().map_into_boxed_body() };
        if let Some(cold) = &mut *inner.cold.borrow_mut() {
            cold.arrive(&inner.id, &inner.checker);
        }
        let announced = inner.announcements.borrow_mut().arrive(&inner.id, &inner.checker);
        if let Some(rest) = announced.rest {
            let rest = format!("{:.3}", rest.as_secs_f64());
            return not_run(&request, 503)
                .insert_header(("retry-after", rest))
                .finish()
                .map_into_boxed_body();
        }
        if inner.running.get() >= SLOTS + EXCESS_MAX || every(faults.shed_every) {
            return not_run(&request, 503).finish().map_into_boxed_body();
        }
        let at_most_once = request.method().as_str() != "GET";
        let Ok(body) = body::read(request.take_payload()).await else { return pending().await };
        inner.running.set(inner.running.get() + 1);
        let guard = RunGuard(inner.clone());
        inner.checker.record_run(&id, at_most_once);
        if inner.keyed {
            inner.checker.record_work(&inner.id, key, fence);
        }
        let slots = inner.slots.borrow().clone();
        let slot = match &slots {
            Some(slots) => slots.acquire().await.ok(),
            None => None,
        };
        actix_rt::time::sleep(inner.work_time.mul_f64(inner.slowdown.get())).await;
        let queued = if slot.is_some() { inner.running.get().saturating_sub(SLOTS) } else { 0 };
        let percent = (inner.slowdown.get() * 100.0).round();
        let load = format!("{},{queued},{SLOTS},{percent}", inner.running.get() - queued);
        drop((guard, slot));
        if every(faults.unanswered_every) {
            return pending().await;
        }
        let status =
            if every(faults.fail_every) { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
        let mut response = Response::build(status);
        if let Some(limit) = announced.limit {
            response.insert_header(("server-limit", limit.to_string()));
        }
        if announced.leaves {
            response.insert_header(("server-leaving", "1"));
        }
        response
            .insert_header(("x-request-id", id.clone()))
            .insert_header(("x-server-stamp", format!("{}.{fence}", inner.id)))
            .insert_header(("x-server-load", load))
            .body(match request.path().ends_with("/large") {
                true => format!("{id} {} {}{} end", inner.id, body.len(), " ".repeat(LARGE_BYTES)),
                false => format!("{id} {} {}", inner.id, body.len()),
            })
            .map_into_boxed_body()
    }
}
