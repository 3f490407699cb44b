//! The log service and the VM list over HTTP.

use {
    crate::{
        body::{query_number, read_json, reply_error},
        faults::PlatformFaults,
        list::LaggedVmList,
        log::AppendLog,
    },
    actix_http::{Method, Request, Response, body::BoxBody},
    catkin::{
        Code, Error,
        api::{Append, Appended, path},
        settings::StandinPlatform,
        types::{Offset, Span},
    },
    catkin_net::{Connections, MonotonicClock, reply_json, reply_text},
    std::{
        cell::{Cell, RefCell},
        future::pending,
        rc::Rc,
    },
};

const PAGE_RECORDS_MAX: u64 = 10_000;

/// State of the log service and the VM list, and their faults.
pub(crate) struct Platform {
    clock: MonotonicClock,
    log: AppendLog,
    list: RefCell<LaggedVmList>,
    faults: Cell<PlatformFaults>,
    pub(crate) connections: Connections,
}

impl Platform {
    pub(crate) fn new(settings: &StandinPlatform) -> Self {
        let clock = MonotonicClock::new();
        Self {
            clock,
            log: AppendLog::new(clock, settings.retention),
            list: RefCell::new(LaggedVmList::new(settings.lag, settings.vms.clone())),
            faults: Cell::default(),
            connections: Connections::new(u32::MAX),
        }
    }

    pub(crate) async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        self.route(request).await.unwrap_or_else(|e| reply_error(&e))
    }

    async fn route(&self, mut request: Request) -> Result<Response<BoxBody>, Error> {
        let method = request.method().clone();
        let path = request.path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, path::LOG) => self.append(&mut request).await,
            (&Method::GET, path::LOG) => self.read(&request).await,
            (&Method::GET, path::VMS) => self.list(),
            (&Method::POST, path::VMS) => {
                let row = read_json(&mut request).await?;
                self.list.borrow_mut().set(self.clock.now(), row);
                Ok(reply_text(200, ""))
            }
            (&Method::POST, "/vms/remove") => {
                let removal = read_json(&mut request).await?;
                self.list.borrow_mut().remove(self.clock.now(), removal);
                Ok(reply_text(200, ""))
            }
            (&Method::POST, "/faults") => {
                self.faults.set(read_json(&mut request).await?);
                Ok(reply_json(200, &self.faults.get()))
            }
            (&Method::GET, "/faults") => Ok(reply_json(200, &self.faults.get())),
            _ => Ok(reply_text(404, format!("no route for {method} {path}"))),
        }
    }

    async fn append(&self, request: &mut Request) -> Result<Response<BoxBody>, Error> {
        let body: Append = read_json(request).await?;
        self.apply_faults().await?;
        let mut faults = self.faults.get();
        if faults.refuse > 0 {
            faults.refuse -= 1;
            self.faults.set(faults);
            return Err(Error::new(Code::LogUnavailable, "the append is refused by a fault"));
        }
        let offset = self.log.append(body.data);
        if faults.lose > 0 {
            faults.lose -= 1;
            self.faults.set(faults);
            return pending().await;
        }
        if faults.hang_up > 0 {
            faults.hang_up -= 1;
            self.faults.set(faults);
            request.peer_addr().into_iter().for_each(|peer| self.connections.close(peer));
            return pending().await;
        }
        Ok(reply_json(200, &Appended { offset }))
    }

    async fn read(&self, request: &Request) -> Result<Response<BoxBody>, Error> {
        let from = Offset(query_number(request, "from", 0)?);
        let wait = Span::from_millis(query_number(request, "wait_ms", 0)?);
        let max = query_number(request, "max", PAGE_RECORDS_MAX)?.min(PAGE_RECORDS_MAX);
        self.apply_faults().await?;
        let page = self.log.read(from, max as usize, wait).await;
        // The faults may have been switched on during the wait.
        self.check_available().await?;
        Ok(reply_json(200, &page))
    }

    fn list(&self) -> Result<Response<BoxBody>, Error> {
        if self.faults.get().unlisted {
            return Err(Error::new(Code::ListUnavailable, "the VM list is unavailable"));
        }
        Ok(reply_json(200, &self.list.borrow_mut().list(self.clock.now())))
    }

    /// Applies the faults of every request to the log: `silent`, `down` and
    /// `slow`.
    async fn apply_faults(&self) -> Result<(), Error> {
        self.check_available().await?;
        let slow = self.faults.get().slow;
        if !slow.is_zero() {
            actix_rt::time::sleep(slow.as_duration()).await;
        }
        Ok(())
    }

    /// Fails if the fault `down` is on; never returns if `silent` is on.
    async fn check_available(&self) -> Result<(), Error> {
        let faults = self.faults.get();
        if faults.silent {
            return pending().await;
        }
        if faults.down {
            return Err(Error::new(Code::LogUnavailable, "the log is unavailable"));
        }
        Ok(())
    }
}
