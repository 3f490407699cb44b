//! Work on a target: admission, run, effect and answer.

use {
    crate::{
        answer::{self, Delivery},
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

/// Time for which a request waits for a free slot before it is refused.
const SLOT_TIMEOUT: Duration = Duration::from_millis(20);

/// A request that was admitted. Dropping it frees its slot and, unless its
/// outcome is recorded, counts it as cancelled.
struct Admitted<'a> {
    target: &'a Target,
    ticket: Option<Ticket>,
    start: Time,
    /// Whether the outcome is recorded.
    recorded: bool,
    slot: Option<SemaphorePermit<'a>>,
}

/// Length and CRC-32 of a request's body.
pub(crate) struct Body {
    pub(crate) length: u64,
    pub(crate) checksum: u32,
}

impl Target {
    /// Runs work and returns its answer.
    pub(crate) async fn work(&self, request: Request) -> Response<BoxBody> {
        self.recorder.borrow_mut().record_arrival(self.clock.now());
        match self.run(request).await {
            Ok(answer) => answer,
            Err(e) => {
                if e.is_not_run() {
                    self.recorder.borrow_mut().counts.refused += 1;
                }
                answer::error_answer(self, &e)
            }
        }
    }

    async fn run(&self, mut request: Request) -> Result<Response<BoxBody>, Error> {
        let work = Work::from_request(&request)?;
        self.apply_refusals()?;
        let mut admitted = self.admit(&work).await?;
        let duration = self.work_duration(&work);
        let run = async {
            let body = self.read_body(request.take_payload()).await?;
            actix_rt::time::sleep(duration.as_duration()).await;
            self.wait_while_frozen().await;
            Ok(body)
        };
        let body = with_deadline(work.time_left, run).await.map_err(|e| admitted.record_failure(e))?;
        admitted.commit(&work, &body)?;
        drop(admitted);
        match self.next_delivery() {
            Delivery::Lost => pending().await,
            Delivery::HungUp => {
                request.peer_addr().into_iter().for_each(|peer| self.connections.close(peer));
                pending().await
            }
            delivery => Ok(answer::echo(self, &work, &body, delivery)),
        }
    }

    /// Refuses work according to the faults `refuse` and `shed`.
    fn apply_refusals(&self) -> Result<(), Error> {
        let faults = self.faults.get();
        if faults.refuse {
            return Err(Error::new(Code::TargetRefused, "all work is refused by a fault"));
        }
        let sum = self.shed_sum.get() + faults.shed.as_f64();
        if sum >= 1.0 {
            self.shed_sum.set(sum - 1.0);
            return Err(Error::new(Code::TargetRefused, "the request is shed by a fault"));
        }
        self.shed_sum.set(sum);
        Ok(())
    }

    async fn admit(&self, work: &Work) -> Result<Admitted<'_>, Error> {
        let slot = match actix_rt::time::timeout(SLOT_TIMEOUT, self.slots.acquire()).await {
            Ok(Ok(slot)) => slot,
            _ => return Err(Error::new(Code::TargetRefused, "all slots are in use")),
        };
        self.wait_while_frozen().await;
        let start = self.clock.now();
        let ticket = if self.checks_fences() { self.check_fence(work, start)? } else { None };
        self.record_load();
        Ok(Admitted { target: self, ticket, start, recorded: false, slot: Some(slot) })
    }

    fn checks_fences(&self) -> bool {
        self.settings.fenced && !self.faults.get().unfenced
    }

    fn check_fence(&self, work: &Work, now: Time) -> Result<Option<Ticket>, Error> {
        work.held.map(|held| self.holder.borrow_mut().admit(now, held)).transpose()
    }

    /// Returns the duration of the work under the faults `slow` and `cold`, and
    /// counts the latter down.
    fn work_duration(&self, work: &Work) -> Span {
        let mut faults = self.faults.get();
        let mut duration = work.duration(self.settings.work).scale(faults.slow.unwrap_or(1.0));
        if let Some(cold) = faults.cold.as_mut().filter(|cold| cold.requests > 0) {
            cold.requests -= 1;
            duration = duration.scale(cold.factor);
            self.faults.set(faults);
        }
        duration
    }

    /// Reads a body part by part, so that a large one uses little memory.
    async fn read_body(&self, mut payload: Payload<BoxedPayloadStream>) -> Result<Body, Error> {
        let mut hasher = crc32fast::Hasher::new();
        let mut length = 0;
        while let Some(part) = payload.next().await {
            let part = part.map_err(|e| Error::new(Code::UploadCut, e.to_string()))?;
            hasher.update(&part);
            length += part.len() as u64;
            self.wait_while_frozen().await;
        }
        Ok(Body { length, checksum: hasher.finalize() })
    }

    /// Returns how the next answer is delivered, and counts the fault down.
    fn next_delivery(&self) -> Delivery {
        let mut faults = self.faults.get();
        let (left, delivery) = match &mut faults {
            TargetFaults { lose, .. } if *lose > 0 => (lose, Delivery::Lost),
            TargetFaults { hang_up, .. } if *hang_up > 0 => (hang_up, Delivery::HungUp),
            TargetFaults { silent, .. } if *silent > 0 => (silent, Delivery::Stalled),
            TargetFaults { cut, .. } if *cut > 0 => (cut, Delivery::Cut),
            _ => return Delivery::Complete,
        };
        *left -= 1;
        self.faults.set(faults);
        delivery
    }
}

impl Admitted<'_> {
    /// Applies the effect of the work, unless its grant has ended.
    fn commit(&mut self, work: &Work, body: &Body) -> Result<(), Error> {
        let now = self.target.clock.now();
        if let Some(ticket) = self.ticket {
            let allowed = self.target.holder.borrow_mut().check_commit(now, ticket);
            allowed.map_err(|e| self.record_failure(e))?;
        }
        let mut recorder = self.target.recorder.borrow_mut();
        let run = Run {
            request: work.request.clone(),
            call: work.call.clone(),
            held: work.held,
            from: recorder.unix_micros(self.start),
            at: recorder.unix_micros(now),
            length: body.length,
        };
        if let Some(journal) = self.target.journal.borrow_mut().as_mut() {
            journal.write(&work.operation, &run)?;
        }
        recorder.record_run(work.operation.clone(), run);
        if let Some(held) = work.held {
            recorder.record_served(held, self.start, now);
        }
        self.recorded = true;
        Ok(())
    }

    /// Counts an error by its code, and returns it.
    fn record_failure(&mut self, error: Error) -> Error {
        let counts = &mut self.target.recorder.borrow_mut().counts;
        let count = match error.code() {
            Code::UploadCut => &mut counts.torn,
            Code::FenceRefused => &mut counts.fenced,
            _ => &mut counts.late,
        };
        *count += 1;
        self.recorded = true;
        error
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.target.holder.borrow_mut().finish(ticket);
        }
        if !self.recorded {
            let counts: &mut Counts = &mut self.target.recorder.borrow_mut().counts;
            counts.cancelled += 1;
        }
        self.slot.take();
        self.target.record_load();
    }
}

/// Runs work until its deadline.
async fn with_deadline<T>(
    time_left: Option<Span>,
    run: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let Some(time_left) = time_left else {
        return run.await;
    };
    let timed_out =
        |_| Error::new(Code::OutcomeUnknown, format!("work stopped at its deadline, after {time_left}"));
    actix_rt::time::timeout(time_left.as_duration(), run).await.map_err(timed_out)?
}
