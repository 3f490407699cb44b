//! A server: runs requests in slots, holds keys by grants, writes its entry.

use {
    super::{ledger::Ledger, store::Store},
    crate::body::{self, header_text},
    actix_http::{Request, Response, ResponseBuilder, StatusCode, body::BoxBody},
    catkin_net::{listen, reply_text},
    futures_util::future::pending,
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Requests that a server runs at the same time.
const SLOTS: u32 = 6;

/// Requests that wait for a slot before others are refused.
const QUEUE: u32 = 24;

/// Pause between two entries.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// What goes wrong at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// Every n-th request runs, and its answer is never sent.
    pub lost: u32,
    /// Every n-th request is answered 500 after it ran.
    pub failed: u32,
    /// Every n-th request is refused unrun.
    pub shed: u32,
    /// Commands about keys are carried out, and not answered.
    pub mute: bool,
    /// The server writes no entry.
    pub cut: bool,
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
    keyed: bool,
    work: Duration,
    ledger: Ledger,
    store: Store,
    addr: Cell<Option<SocketAddr>>,
    born: Cell<u64>,
    draining: Cell<bool>,
    gone: Cell<bool>,
    running: Cell<u32>,
    count: Cell<u32>,
    faults: Cell<ServerFaults>,
    grants: RefCell<Vec<Grant>>,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    inner: Rc<Inner>,
}

struct Slot(Rc<Inner>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

fn not_run(status: u16) -> ResponseBuilder {
    let mut reply = Response::build(StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE));
    reply.insert_header(("x-not-run", "1"));
    reply
}

impl Server {
    /// Makes a server of a service; `work` is the time of a request.
    pub fn new(id: &str, service: &str, keyed: bool, work: Duration, store: &Store, ledger: &Ledger) -> Self {
        let inner = Inner {
            id: id.to_owned(),
            service: service.to_owned(),
            keyed,
            work,
            ledger: ledger.clone(),
            store: store.clone(),
            addr: Cell::new(None),
            born: Cell::new(1),
            draining: Cell::new(false),
            gone: Cell::new(false),
            running: Cell::new(0),
            count: Cell::new(0),
            faults: Cell::default(),
            grants: RefCell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Serves on a free port and writes the entry.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(&self) {
        let listener = listen("127.0.0.1:0".parse().expect("an address")).await.expect("a free port");
        self.inner.addr.set(listener.local_addr().ok());
        let server = self.clone();
        actix_rt::spawn(async move {
            let served = catkin_net::serve(listener, move |request| {
                let server = server.clone();
                async move { server.answer(request).await }
            });
            let _ = served.await;
        });
        let server = self.clone();
        actix_rt::spawn(async move {
            while !server.inner.gone.get() {
                server.write();
                actix_rt::time::sleep(HEARTBEAT).await;
            }
        });
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: ServerFaults) {
        self.inner.faults.set(faults);
    }

    /// Announces that the server leaves.
    pub fn drain(&self) {
        self.inner.draining.set(true);
        self.write();
    }

    /// Ends the server: it answers nothing more, and its entry is removed.
    pub fn end(&self) {
        self.inner.gone.set(true);
        self.inner.grants.borrow_mut().clear();
        self.inner.store.put("keyed.servers", &self.inner.id, b"");
    }

    /// Starts the server again under its id: it holds nothing.
    pub fn restart(&self) {
        self.inner.born.set(self.inner.born.get() + 1);
        self.inner.grants.borrow_mut().clear();
        self.write();
    }

    fn write(&self) {
        let inner = &self.inner;
        let (false, Some(addr)) = (inner.faults.get().cut || inner.gone.get(), inner.addr.get()) else {
            return;
        };
        let state = if inner.draining.get() { "draining" } else { "ready" };
        let entry = json!({
            "address": addr.to_string(),
            "born": inner.born.get(),
            "info": { "service": inner.service, "configVersion": "v1", "zone": "z", "slots": SLOTS },
            "status": { "state": state, "seq": 1, "coldLeftMs": 0 },
        });
        inner.store.put("keyed.servers", &inner.id, entry.to_string().as_bytes());
    }

    fn held(&self, key: u16) -> Option<u64> {
        let now = Instant::now();
        let grants = self.inner.grants.borrow();
        grants.iter().filter(|g| g.from <= key && key <= g.to && now < g.until).map(|g| g.fence).max()
    }

    async fn answer(&self, request: Request) -> Response<BoxBody> {
        if self.inner.gone.get() {
            return pending().await;
        }
        match request.path() {
            "/v1/grant" | "/v1/release" => self.command(request).await,
            _ => self.work(request).await,
        }
    }

    async fn command(&self, mut request: Request) -> Response<BoxBody> {
        let is_grant = request.path() == "/v1/grant";
        if header_text(&request, "x-expect-instance").is_some_and(|id| id != self.inner.id) {
            return not_run(421).finish().map_into_boxed_body();
        }
        let Ok(body) = body::read(request.take_payload()).await else { return reply_text(400, "") };
        let Ok(order) = serde_json::from_slice::<Value>(&body) else { return reply_text(400, "") };
        let number = |name: &str| order[name].as_u64().unwrap_or(0);
        let (from, to) = (number("from") as u16, number("target") as u16);
        let fence = number("fence");
        let hold = Duration::from_millis(number("holdMs"));
        if !self.change(from, to, is_grant.then_some((fence, hold))) {
            return reply_text(409, "");
        }
        if self.inner.faults.get().mute {
            return pending().await;
        }
        Response::ok().map_into_boxed_body()
    }

    /// Takes a range out of all grants and, with a fence, puts it in again.
    /// Returns whether no higher fence was seen.
    fn change(&self, from: u16, to: u16, grant: Option<(u64, Duration)>) -> bool {
        let mut grants = self.inner.grants.borrow_mut();
        let crosses = |g: &Grant| g.from <= to && from <= g.to;
        if grant.is_some_and(|(fence, _)| grants.iter().any(|g| crosses(g) && g.fence > fence)) {
            return false;
        }
        let mut kept = Vec::new();
        for grant in grants.drain(..) {
            if !crosses(&grant) {
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
        if let Some((fence, hold)) = grant {
            kept.push(Grant { from, to, fence, until: Instant::now() + hold });
        }
        *grants = kept;
        true
    }

    async fn work(&self, mut request: Request) -> Response<BoxBody> {
        let inner = &self.inner;
        let count = inner.count.get() + 1;
        inner.count.set(count);
        let faults = inner.faults.get();
        let every = |n: u32| n > 0 && count.is_multiple_of(n);
        let id = header_text(&request, "x-request-id").unwrap_or("").to_owned();
        if header_text(&request, "x-expect-instance").is_some_and(|expected| expected != inner.id) {
            return not_run(421).insert_header(("x-instance-id", &*inner.id)).finish().map_into_boxed_body();
        }
        let key: u16 = header_text(&request, "x-shard-key").and_then(|k| k.parse().ok()).unwrap_or(0);
        let fence = if inner.keyed { self.held(key) } else { Some(0) };
        let Some(fence) = fence else { return not_run(421).finish().map_into_boxed_body() };
        if inner.running.get() >= SLOTS + QUEUE || every(faults.shed) {
            return not_run(503).finish().map_into_boxed_body();
        }
        let once = request.method().as_str() != "GET";
        let Ok(body) = body::read(request.take_payload()).await else { return pending().await };
        inner.running.set(inner.running.get() + 1);
        let slot = Slot(inner.clone());
        inner.ledger.ran(&id, once);
        if inner.keyed {
            inner.ledger.worked(&inner.id, key, fence);
        }
        actix_rt::time::sleep(inner.work).await;
        let load = format!("{},0,{SLOTS}", inner.running.get());
        drop(slot);
        if every(faults.lost) {
            return pending().await;
        }
        let status = if every(faults.failed) { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
        Response::build(status)
            .insert_header(("x-request-id", id.clone()))
            .insert_header(("x-server-stamp", format!("{}.{fence}", inner.id)))
            .insert_header(("x-server-load", load))
            .body(format!("{id} {} {}", inner.id, body.len()))
            .map_into_boxed_body()
    }
}
