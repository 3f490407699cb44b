//! A target server.

use {
    crate::{
        body::{read_json, reply_error},
        echo::Echo,
        faults::TargetFaults,
        ledger::{Book, Run},
        work::Work,
    },
    actix_http::{BoxedPayloadStream, Method, Payload, Request, Response, StatusCode, body::BoxBody},
    catkin::{
        Code, Error,
        api::{self, Command, Load, path},
        lease::{Holder, Ticket},
        settings::StandinTarget,
        types::{Span, Time},
    },
    catkin_net::{Monotonic, reply_json, reply_text},
    futures_util::StreamExt,
    std::{
        cell::{Cell, RefCell},
        future::Future,
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::{Semaphore, SemaphorePermit},
};

/// Longest time for which a request waits for a slot before it is refused.
const HOLD: Duration = Duration::from_millis(20);

/// A target server: leases, slots, work, ledger and faults.
pub struct Target {
    settings: StandinTarget,
    boot: u64,
    clock: Monotonic,
    holder: RefCell<Holder>,
    slots: Semaphore,
    book: RefCell<Book>,
    faults: Cell<TargetFaults>,
}

/// A request that was admitted; ends its use of slot and grant when dropped.
struct Admitted<'a> {
    target: &'a Target,
    ticket: Option<Ticket>,
    from: Time,
    done: bool,
    _slot: SemaphorePermit<'a>,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.target.holder.borrow_mut().finish(ticket);
        }
        if !self.done {
            self.target.book.borrow_mut().counts.cancelled += 1;
        }
    }
}

struct Body {
    length: u64,
    checksum: u32,
}

impl Target {
    /// Makes a target whose boot number is the wall clock in microseconds, so
    /// that a later process has a higher one.
    pub fn new(settings: &StandinTarget) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let boot = Span::from(since).as_micros();
        Self {
            boot,
            clock: Monotonic::new(),
            holder: RefCell::new(Holder::new(settings.id.clone(), boot)),
            slots: Semaphore::new(settings.slots as usize),
            book: RefCell::new(Book::new(boot)),
            faults: Cell::default(),
            settings: settings.clone(),
        }
    }

    /// Answers a request.
    pub(crate) async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        self.route(request).await.unwrap_or_else(|e| reply_error(&e))
    }

    async fn route(&self, mut request: Request) -> Result<Response<BoxBody>, Error> {
        let method = request.method().clone();
        let path = request.path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, path::RENEW | path::FENCE | path::GRANT | path::RELEASE) => {
                let command: Command = read_json(&mut request).await?;
                Ok(self.command(&command))
            }
            (&Method::GET, path::LEASE) => {
                Ok(reply_json(200, &self.holder.borrow_mut().status(self.clock.now())))
            }
            (&Method::GET, path::LOAD | path::HEALTH) => Ok(reply_json(200, &self.load())),
            (&Method::POST, path::DRAIN) => {
                self.holder.borrow_mut().drain();
                Ok(reply_text(200, ""))
            }
            (&Method::GET, "/ledger") => {
                let target = self.settings.id.clone();
                let ledger = self.book.borrow().report(self.clock.now(), target, self.boot);
                Ok(reply_json(200, &ledger))
            }
            _ => Ok(self.work(request).await.unwrap_or_else(|e| self.refuse(&e))),
        }
    }

    fn command(&self, command: &Command) -> Response<BoxBody> {
        let now = self.clock.now();
        let mut holder = self.holder.borrow_mut();
        let reply = holder.command(now, command);
        self.book.borrow_mut().hold(now, &holder.status(now));
        reply_json(200, &reply)
    }

    fn load(&self) -> Load {
        let free = self.slots.available_permits() as u32;
        Load {
            running: self.settings.slots - free,
            slots: self.settings.slots,
            connections: 0,
            age: Span::ZERO,
            draining: self.holder.borrow_mut().status(self.clock.now()).draining,
        }
    }

    async fn work(&self, mut request: Request) -> Result<Response<BoxBody>, Error> {
        let work = Work::read(&request)?;
        let mut admitted = self.admit(&work).await?;
        let time = work.time(self.settings.work).as_duration();
        let run = async {
            let body = read_body(request.take_payload()).await?;
            actix_rt::time::sleep(time).await;
            Ok(body)
        };
        let body = match limit(work.left, run).await {
            Ok(body) => body,
            Err(e) if e.code() == Code::UploadCut => return Err(admitted.end(e, |counts| &mut counts.torn)),
            Err(e) => return Err(admitted.end(e, |counts| &mut counts.late)),
        };
        if let Err(e) = admitted.commit(&work, &body) {
            return Err(admitted.end(e, |counts| &mut counts.fenced));
        }
        Ok(self.answer(&work, &body))
    }

    async fn admit(&self, work: &Work) -> Result<Admitted<'_>, Error> {
        let slot = match actix_rt::time::timeout(HOLD, self.slots.acquire()).await {
            Ok(Ok(slot)) => slot,
            _ => return Err(Error::new(Code::TargetRefused, "all slots are in use")),
        };
        let from = self.clock.now();
        let ticket = self.check(work, from)?;
        Ok(Admitted { target: self, ticket, from, done: false, _slot: slot })
    }

    fn check(&self, work: &Work, now: Time) -> Result<Option<Ticket>, Error> {
        if !self.settings.fenced || self.faults.get().unfenced {
            return Ok(None);
        }
        work.held.map(|held| self.holder.borrow_mut().admit(now, held)).transpose()
    }

    fn answer(&self, work: &Work, body: &Body) -> Response<BoxBody> {
        let echo = Echo {
            target: self.settings.id.clone(),
            boot: self.boot,
            request: work.request.clone(),
            key: work.key.clone(),
            operation: work.operation.clone(),
            fence: work.held.map(|held| held.fence),
            path: work.path.clone(),
            length: body.length,
            checksum: body.checksum,
            pad: "x".repeat(work.pad),
        };
        let mut answer = Response::build(StatusCode::OK);
        answer.insert_header(("content-type", "application/json"));
        answer.insert_header((api::header::SERVER, self.settings.id.as_str()));
        if let Some(held) = work.held {
            answer.insert_header((api::header::FENCE, held.fence.to_string()));
        }
        answer.body(serde_json::to_string(&echo).unwrap_or_default()).map_into_boxed_body()
    }

    /// Makes the answer to work that had no effect.
    fn refuse(&self, error: &Error) -> Response<BoxBody> {
        let code = error.code();
        let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut answer = Response::build(status);
        answer.insert_header((api::header::SERVER, self.settings.id.as_str()));
        answer.insert_header((api::header::CODE, code.number().to_string()));
        answer.insert_header((api::header::OUTCOME, code.outcome().as_str()));
        answer.body(error.to_string()).map_into_boxed_body()
    }
}

impl Admitted<'_> {
    /// Makes the effect of the work, unless the grant has ended.
    fn commit(&mut self, work: &Work, body: &Body) -> Result<(), Error> {
        let now = self.target.clock.now();
        if let Some(ticket) = self.ticket {
            self.target.holder.borrow_mut().commit(now, ticket)?;
        }
        let mut book = self.target.book.borrow_mut();
        let run = Run { request: work.request.clone(), held: work.held, at: 0, length: body.length };
        book.run(now, work.operation.clone(), run);
        if let Some(held) = work.held {
            book.serve(held, self.from, now);
        }
        self.done = true;
        Ok(())
    }

    /// Counts an end without an effect.
    fn end(&mut self, error: Error, count: fn(&mut crate::Counts) -> &mut u64) -> Error {
        *count(&mut self.target.book.borrow_mut().counts) += 1;
        self.done = true;
        error
    }
}

async fn read_body(mut payload: Payload<BoxedPayloadStream>) -> Result<Body, Error> {
    let mut sum = crc32fast::Hasher::new();
    let mut length = 0;
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| Error::new(Code::UploadCut, e.to_string()))?;
        sum.update(&part);
        length += part.len() as u64;
    }
    Ok(Body { length, checksum: sum.finalize() })
}

/// Stops work at its deadline.
async fn limit<T>(left: Option<Span>, run: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let Some(left) = left else {
        return run.await;
    };
    let late = |_| Error::new(Code::OutcomeUnknown, format!("stopped after {left}, at the deadline"));
    actix_rt::time::timeout(left.as_duration(), run).await.map_err(late)?
}
