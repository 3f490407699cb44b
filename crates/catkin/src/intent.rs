//! Idempotency keys across entry VMs.
//!
//! The intent of a request is in the log before the request is sent, and only
//! the first intent of a key in log order permits sending. [`Intents`] is the
//! table of one VM. It collects the keys of waiting requests into batches and
//! decides about each request when its intent was read back from the log. The
//! gateway appends one batch at a time, resolves an append without an answer by
//! reading the log, and passes the state of each key to [`Intents::resolve`].

use {
    crate::{
        Code, Error,
        config::LogDownPolicy,
        dispatch::JobId,
        fold::Registration,
        record::{Intent, Writer},
        types::{Service, Span, Time},
    },
    std::collections::{BTreeMap, VecDeque},
    xxhash_rust::xxh3::xxh3_128,
};

/// Largest number of batches that one VM appends per second. Together 11 VMs
/// stay below the several hundred appends per second that the log service
/// accepts.
pub const APPENDS_PER_SECOND: u64 = 20;
const APPEND_PERIOD: Span = Span::from_micros(Span::from_secs(1).as_micros() / APPENDS_PER_SECOND);
/// Maximum number of intents in one batch. An encoded intent takes at most 150
/// bytes, so that a batch fits into a record.
const BATCH_MAX: usize = 1_000;
/// Maximum number of intents that wait to be appended. More are refused, because
/// appending them would take longer than most deadlines allow.
const PENDING_MAX: usize = 20_000;
/// Maximum number of keys that this process registered without sending their
/// requests and still remembers. Each may be used for one more request. The
/// oldest is evicted first.
const UNUSED_MAX: usize = 10_000;

/// State of an idempotency key, as one process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// The key is not registered.
    Free,
    /// This process registered the key first, and the request is not known to have
    /// run.
    First,
    /// Another process registered the key first, or the request has run.
    Taken {
        /// Whether the request is known to have run.
        done: bool,
    },
}

impl KeyState {
    /// Returns the state of a key for the process `own`, given the first
    /// registration of the key.
    pub fn new(first: Option<&Registration>, own: &Writer) -> Self {
        match first {
            None => Self::Free,
            Some(first) if first.done => Self::Taken { done: true },
            Some(first) if first.writer == *own => Self::First,
            Some(_) => Self::Taken { done: false },
        }
    }
}

/// A request with an idempotency key.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of its job.
    pub id: JobId,
    /// Service that it is for.
    pub service: Service,
    /// Hash of service and idempotency key, as of [`digest`].
    pub digest: u128,
    /// Whether its service sends or refuses requests while the log is unavailable.
    pub log_down: LogDownPolicy,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
}

/// Action for the caller of [`Intents`].
#[derive(Debug)]
pub enum Action {
    /// Append these intents as one record.
    Append(Vec<Intent>),
    /// Send this request.
    Send(JobId),
    /// Answer this request with the error.
    Refuse(JobId, Error),
}

/// Outcome of a request that was allowed to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its intent waits for the next batch.
    Queued,
    /// Its intent is being appended.
    Appending,
    /// It may be sent or was sent.
    Permitted,
    /// It will not be sent, but its intent is being appended.
    Abandoned,
    /// It was sent while the log was unavailable and has ended. Its intent is not
    /// in the log yet.
    Ended,
}

#[derive(Debug)]
struct ActiveRequest {
    request: Request,
    stage: Stage,
    /// Whether this process registered the key first.
    first: bool,
}

/// Table of the requests with idempotency keys on one VM.
#[derive(Debug, Default)]
pub struct Intents {
    active: BTreeMap<u128, ActiveRequest>,
    digests: BTreeMap<JobId, u128>,
    pending: VecDeque<Intent>,
    unused: BTreeMap<u128, Time>,
    in_flight: Vec<Intent>,
    last_append: Option<Time>,
    unavailable: bool,
}

impl Intents {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request. `key_state` is the present state of its key. If no action is
    /// returned, the request waits until its intent is in the log.
    pub fn admit(&mut self, now: Time, request: Request, key_state: KeyState) -> Option<Action> {
        let (id, digest) = (request.id, request.digest);
        let unused = self.unused.contains_key(&digest);
        let refused = match key_state {
            _ if self.active.contains_key(&digest) => Some(key_taken(false)),
            KeyState::Taken { done } => Some(key_taken(done)),
            KeyState::First if !unused => Some(key_taken(false)),
            _ if now >= request.deadline => Some(deadline_passed()),
            _ if self.pending.len() >= PENDING_MAX => {
                Some(Error::new(Code::QueueFull, "too many intents wait for the log"))
            }
            _ => None,
        };
        if let Some(error) = refused {
            return Some(Action::Refuse(id, error));
        }
        if key_state == KeyState::First {
            self.unused.remove(&digest);
            self.insert(request, Stage::Permitted, true);
            return Some(Action::Send(id));
        }
        if self.unavailable && request.log_down == LogDownPolicy::Refuse {
            return Some(Action::Refuse(id, log_unavailable()));
        }
        self.pending.push_back(Intent { service: request.service.clone(), digest, done: false });
        if self.unavailable {
            self.insert(request, Stage::Permitted, false);
            return Some(Action::Send(id));
        }
        self.insert(request, Stage::Queued, false);
        None
    }

    fn insert(&mut self, request: Request, stage: Stage, first: bool) {
        self.digests.insert(request.id, request.digest);
        self.active.insert(request.digest, ActiveRequest { request, stage, first });
    }

    /// Refuses waiting requests whose deadline has passed, and returns the next
    /// batch to append if one is due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let is_late = |active: &&ActiveRequest| active.is_waiting() && now >= active.request.deadline;
        let ids: Vec<JobId> = self.active.values().filter(is_late).map(|active| active.request.id).collect();
        let mut actions: Vec<Action> = ids.iter().map(|id| Action::Refuse(*id, deadline_passed())).collect();
        for id in ids {
            self.cancel(id);
        }
        actions.extend(self.next_batch(now).map(Action::Append));
        actions
    }

    fn next_batch(&mut self, now: Time) -> Option<Vec<Intent>> {
        let early = self.last_append.is_some_and(|at| now.since(at) < APPEND_PERIOD);
        if early || self.unavailable || !self.in_flight.is_empty() || self.pending.is_empty() {
            return None;
        }
        let count = self.pending.len().min(BATCH_MAX);
        let batch: Vec<Intent> = self.pending.drain(..count).collect();
        for intent in &batch {
            let active = self.active.get_mut(&intent.digest);
            if let Some(active) = active.filter(|active| active.stage == Stage::Queued) {
                active.stage = Stage::Appending;
            }
        }
        self.last_append = Some(now);
        self.in_flight = batch.clone();
        Some(batch)
    }

    /// Returns whether the batch in flight may be appended again after an append
    /// without an answer. `true` counts as an append against
    /// [`APPENDS_PER_SECOND`].
    pub fn may_retry(&mut self, now: Time) -> bool {
        let early = self.last_append.is_some_and(|at| now.since(at) < APPEND_PERIOD);
        if early || self.in_flight.is_empty() {
            return false;
        }
        self.last_append = Some(now);
        true
    }

    /// Decides about the requests of the batch in flight once its record was read
    /// back. `key_state` returns the state of a key.
    pub fn resolve(&mut self, now: Time, key_state: impl Fn(u128) -> KeyState) -> Vec<Action> {
        let batch = std::mem::take(&mut self.in_flight);
        let intents = batch.iter().filter(|intent| !intent.done);
        intents.filter_map(|intent| self.settle_one(now, intent.digest, key_state(intent.digest))).collect()
    }

    fn settle_one(&mut self, now: Time, digest: u128, key_state: KeyState) -> Option<Action> {
        let active = self.active.get_mut(&digest)?;
        active.first = key_state == KeyState::First;
        let id = active.request.id;
        let is_late = now >= active.request.deadline;
        match (active.stage, key_state) {
            (Stage::Appending, KeyState::First) if !is_late => {
                active.stage = Stage::Permitted;
                Some(Action::Send(id))
            }
            (Stage::Appending, KeyState::First) => {
                self.release(now, digest);
                Some(Action::Refuse(id, deadline_passed()))
            }
            (Stage::Appending, key_state) => {
                self.release(now, digest);
                Some(Action::Refuse(id, key_taken(key_state == KeyState::Taken { done: true })))
            }
            (Stage::Abandoned, _) => {
                self.release(now, digest);
                None
            }
            (Stage::Ended, _) => {
                self.forget(digest);
                None
            }
            (Stage::Queued | Stage::Permitted, _) => None,
        }
    }

    /// Queues the batch in flight again. It must be certain that its record is not
    /// in the log and never will be.
    pub fn requeue(&mut self) {
        let batch = std::mem::take(&mut self.in_flight);
        for intent in batch.into_iter().rev() {
            let active = self.active.get_mut(&intent.digest);
            let abandoned = active.as_ref().is_some_and(|active| active.stage == Stage::Abandoned);
            if abandoned {
                self.forget(intent.digest);
                continue;
            }
            if let Some(active) = active.filter(|active| active.stage == Stage::Appending) {
                active.stage = Stage::Queued;
            }
            self.pending.push_front(intent);
        }
    }

    /// Sets whether the log is unavailable. If it is, waiting requests are sent or
    /// refused according to the policies of their services.
    pub fn set_log_unavailable(&mut self, unavailable: bool) -> Vec<Action> {
        self.unavailable = unavailable;
        if !unavailable {
            return Vec::new();
        }
        let waiting = self.active.values().filter(|active| active.is_waiting());
        let ids: Vec<(JobId, LogDownPolicy)> =
            waiting.map(|active| (active.request.id, active.request.log_down)).collect();
        ids.into_iter().map(|(id, log_down)| self.decide_unavailable(id, log_down)).collect()
    }

    fn decide_unavailable(&mut self, id: JobId, log_down: LogDownPolicy) -> Action {
        if log_down == LogDownPolicy::Refuse {
            self.cancel(id);
            return Action::Refuse(id, log_unavailable());
        }
        let active = self.digests.get(&id).and_then(|digest| self.active.get_mut(digest));
        if let Some(active) = active {
            active.stage = Stage::Permitted;
        }
        Action::Send(id)
    }

    /// Cancels a request that waits for the log. Returns whether it was waiting; if
    /// so, it was not sent and never will be.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(digest) = self.digests.get(&id).copied() else { return false };
        let Some(active) = self.active.get(&digest) else { return false };
        match active.stage {
            Stage::Queued | Stage::Appending => {
                self.abandon(digest);
                true
            }
            Stage::Permitted | Stage::Abandoned | Stage::Ended => false,
        }
    }

    /// Notes the outcome of a request that was allowed to be sent.
    pub fn finish(&mut self, now: Time, id: JobId, end: RequestEnd) {
        let Some(digest) = self.digests.get(&id).copied() else { return };
        let Some(active) = self.active.get(&digest).filter(|active| active.stage == Stage::Permitted) else {
            return;
        };
        let (service, first) = (active.request.service.clone(), active.first);
        match end {
            RequestEnd::NotRun if first => self.release(now, digest),
            RequestEnd::NotRun => return self.abandon(digest),
            RequestEnd::Ran => self.pending.push_back(Intent { service, digest, done: true }),
            RequestEnd::Unknown => {}
        }
        match self.active.get_mut(&digest) {
            Some(active) if !first => active.stage = Stage::Ended,
            _ => self.forget(digest),
        }
    }

    /// Removes the intent of a request that was not sent from the queue. If the
    /// intent is in flight, the request is marked as abandoned instead.
    fn abandon(&mut self, digest: u128) {
        let in_flight = self.in_flight.iter().any(|intent| intent.digest == digest);
        match self.active.get_mut(&digest) {
            Some(active) if in_flight => active.stage = Stage::Abandoned,
            _ => {
                self.pending.retain(|intent| intent.digest != digest);
                self.forget(digest);
            }
        }
    }

    /// Removes a request that was not sent. If this process registered the key
    /// first, the next request with the key may be sent from this process.
    fn release(&mut self, now: Time, digest: u128) {
        let first = self.active.get(&digest).is_some_and(|active| active.first);
        self.forget(digest);
        if !first {
            return;
        }
        if self.unused.len() >= UNUSED_MAX {
            let oldest = self.unused.iter().min_by_key(|(_, at)| **at).map(|(digest, _)| *digest);
            oldest.map(|digest| self.unused.remove(&digest));
        }
        self.unused.insert(digest, now);
    }

    fn forget(&mut self, digest: u128) {
        if let Some(active) = self.active.remove(&digest) {
            self.digests.remove(&active.request.id);
        }
    }
}

impl ActiveRequest {
    fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Queued | Stage::Appending)
    }
}

/// Returns the error for a request whose key is held by another request. It never
/// reports "not run", because the other request may run.
fn key_taken(done: bool) -> Error {
    if done {
        return Error::new(Code::IntentDone, "an earlier request with this idempotency key has run");
    }
    Error::new(Code::IntentSettled, "an earlier request holds this idempotency key")
}

fn deadline_passed() -> Error {
    Error::new(Code::DeadlineTooShort, "the deadline passed before the intent was in the log")
}

fn log_unavailable() -> Error {
    Error::new(Code::LogDown, "the log is unavailable")
}

/// Hashes a service and an idempotency key.
pub fn digest(service: &Service, key: &str) -> u128 {
    // The name of a service contains no zero byte, so that different pairs give
    // different texts.
    let text = [service.as_str(), "\0", key].concat();
    xxh3_128(text.as_bytes())
}
