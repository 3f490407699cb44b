//! Work on a target: admission, run, effect and answer.

use {
    crate::{
        answer::{self, End},
        faults::TargetFaults,
        ledger::{Counts, Run},
        target::Target,
        work::Work,
    },
    actix_http::{BoxedPayloadStream, Payload, Request, Response, body::BoxBody},
    catkin::{
        Code, Error,
        lease::Ticket,
        types::{Span, Time},
    },
    futures_util::StreamExt,
    std::{
        future::{Future, pending},
        time::Duration,
    },
    tokio::sync::SemaphorePermit,
};

/// Longest time for which a request waits for a slot before it is refused.
const HOLD: Duration = Duration::from_millis(20);

/// A request that was admitted. Dropping it frees its slot; a request that
/// is dropped before its end was cancelled.
struct Admitted<'a> {
    target: &'a Target,
    ticket: Option<Ticket>,
    from: Time,
    ended: bool,
    slot: Option<SemaphorePermit<'a>>,
}

/// What was read of a body.
pub(crate) struct Body {
    pub(crate) length: u64,
    pub(crate) checksum: u32,
}

impl Target {
    /// Runs work and makes its answer.
    pub(crate) async fn work(&self, request: Request) -> Response<BoxBody> {
        self.book.borrow_mut().arrive(self.clock.now());
        match self.run(request).await {
            Ok(answer) => answer,
            Err(e) => {
                if e.is_not_run() {
                    self.book.borrow_mut().counts.refused += 1;
                }
                answer::refuse(self, &e)
            }
        }
    }

    async fn run(&self, mut request: Request) -> Result<Response<BoxBody>, Error> {
        let work = Work::read(&request)?;
        self.refuse()?;
        let mut admitted = self.admit(&work).await?;
        let time = self.work_time(&work);
        let exchange = async {
            let body = self.read(request.take_payload()).await?;
            actix_rt::time::sleep(time.as_duration()).await;
            self.thaw().await;
            Ok(body)
        };
        let body = limit(work.left, exchange).await.map_err(|e| admitted.fail(e))?;
        admitted.commit(&work, &body)?;
        drop(admitted);
        match self.take_end() {
            End::Lost => pending().await,
            End::HungUp => {
                request.peer_addr().into_iter().for_each(|peer| self.connections.close(peer));
                pending().await
            }
            end => Ok(answer::echo(self, &work, &body, end)),
        }
    }

    /// Refuses work by the faults that are on.
    fn refuse(&self) -> Result<(), Error> {
        let faults = self.faults.get();
        if faults.refuse {
            return Err(Error::new(Code::TargetRefused, "all work is refused"));
        }
        let due = self.shed.get() + faults.shed.as_f64();
        if due >= 1.0 {
            self.shed.set(due - 1.0);
            return Err(Error::new(Code::TargetRefused, "the request is shed"));
        }
        self.shed.set(due);
        Ok(())
    }

    async fn admit(&self, work: &Work) -> Result<Admitted<'_>, Error> {
        let slot = match actix_rt::time::timeout(HOLD, self.slots.acquire()).await {
            Ok(Ok(slot)) => slot,
            _ => return Err(Error::new(Code::TargetRefused, "all slots are in use")),
        };
        self.thaw().await;
        let from = self.clock.now();
        let ticket = if self.checks_fences() { self.check(work, from)? } else { None };
        self.note_load();
        Ok(Admitted { target: self, ticket, from, ended: false, slot: Some(slot) })
    }

    fn checks_fences(&self) -> bool {
        self.settings.fenced && !self.faults.get().unfenced
    }

    fn check(&self, work: &Work, now: Time) -> Result<Option<Ticket>, Error> {
        work.held.map(|held| self.holder.borrow_mut().admit(now, held)).transpose()
    }

    /// Returns the time that the work takes with the faults that are on.
    fn work_time(&self, work: &Work) -> Span {
        let mut faults = self.faults.get();
        let mut time = work.time(self.settings.work).scale(faults.slow.unwrap_or(1.0));
        if let Some(cold) = faults.cold.as_mut().filter(|cold| cold.requests > 0) {
            cold.requests -= 1;
            time = time.scale(cold.factor);
            self.faults.set(faults);
        }
        time
    }

    /// Reads a body as it comes, so that a large one uses little memory.
    async fn read(&self, mut payload: Payload<BoxedPayloadStream>) -> Result<Body, Error> {
        let mut sum = crc32fast::Hasher::new();
        let mut length = 0;
        while let Some(part) = payload.next().await {
            let part = part.map_err(|e| Error::new(Code::UploadCut, e.to_string()))?;
            sum.update(&part);
            length += part.len() as u64;
            self.thaw().await;
        }
        Ok(Body { length, checksum: sum.finalize() })
    }

    /// Returns how the next answer ends, and counts the fault down.
    fn take_end(&self) -> End {
        let mut faults = self.faults.get();
        let (left, end) = match &mut faults {
            TargetFaults { lose, .. } if *lose > 0 => (lose, End::Lost),
            TargetFaults { hang_up, .. } if *hang_up > 0 => (hang_up, End::HungUp),
            TargetFaults { silent, .. } if *silent > 0 => (silent, End::Silent),
            TargetFaults { cut, .. } if *cut > 0 => (cut, End::Cut),
            _ => return End::Whole,
        };
        *left -= 1;
        self.faults.set(faults);
        end
    }
}

impl Admitted<'_> {
    /// Makes the effect of the work, unless the grant has ended.
    fn commit(&mut self, work: &Work, body: &Body) -> Result<(), Error> {
        let now = self.target.clock.now();
        if let Some(ticket) = self.ticket {
            let allowed = self.target.holder.borrow_mut().commit(now, ticket);
            allowed.map_err(|e| self.fail(e))?;
        }
        let mut book = self.target.book.borrow_mut();
        let run = Run {
            request: work.request.clone(),
            call: work.call.clone(),
            held: work.held,
            from: book.unix(self.from),
            at: book.unix(now),
            length: body.length,
        };
        if let Some(journal) = self.target.journal.borrow_mut().as_mut() {
            journal.write(&work.operation, &run)?;
        }
        book.run(work.operation.clone(), run);
        if let Some(held) = work.held {
            book.serve(held, self.from, now);
        }
        self.ended = true;
        Ok(())
    }

    /// Counts an end without an effect.
    fn fail(&mut self, error: Error) -> Error {
        let counts = &mut self.target.book.borrow_mut().counts;
        let count = match error.code() {
            Code::UploadCut => &mut counts.torn,
            Code::FenceRefused => &mut counts.fenced,
            _ => &mut counts.late,
        };
        *count += 1;
        self.ended = true;
        error
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.target.holder.borrow_mut().finish(ticket);
        }
        if !self.ended {
            let counts: &mut Counts = &mut self.target.book.borrow_mut().counts;
            counts.cancelled += 1;
        }
        self.slot.take();
        self.target.note_load();
    }
}

/// Stops work at its deadline.
async fn limit<T>(left: Option<Span>, run: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let Some(left) = left else {
        return run.await;
    };
    let late = |_| Error::new(Code::OutcomeUnknown, format!("stopped after {left}, at the deadline"));
    actix_rt::time::timeout(left.as_duration(), run).await.map_err(late)?
}
