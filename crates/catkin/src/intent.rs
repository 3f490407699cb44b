//! Idempotency keys across entry VMs.
//!
//! An intent is in the log before its request is sent, and only the first
//! intent of a key in log order may send. [`Intents`] is the part of one VM:
//! it collects the keys of waiting requests into groups, and decides about
//! each request when its intent was read back from the log. The caller
//! appends one group at a time, resolves an append whose answer was lost by
//! reading the log, and hands each intent back with what the fold says about
//! its key.

use {
    crate::{
        Code, Error,
        config::LogDown,
        dispatch::JobId,
        fold::Taken,
        record::{Intent, Writer},
        types::{Service, Span, Time},
    },
    std::collections::{BTreeMap, VecDeque},
    xxhash_rust::xxh3::xxh3_128,
};

/// Groups that one VM appends in a second, at most. Together 11 VMs stay
/// under the several hundred appends a second that the log service takes.
pub const APPENDS_PER_SECOND: u64 = 20;
const APPEND_PERIOD: Span = Span::from_micros(Span::from_secs(1).as_micros() / APPENDS_PER_SECOND);
/// An encoded intent takes at most 150 bytes, so that a group fits into a
/// record.
const GROUP_MAX: usize = 1_000;
/// Intents that wait for the log. More are refused, because the log would
/// need longer than most deadlines to take them.
const WAITING_MAX: usize = 20_000;
/// Registered keys that were never sent and may be used once more.
const UNSENT_MAX: usize = 10_000;

/// What the fold says about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// No record holds the key.
    Free,
    /// An intent of this process is the first.
    First,
    /// An intent of another process is the first.
    Taken {
        /// Whether its work is known to have ended.
        done: bool,
    },
}

impl Standing {
    /// Reads the first record of a key as a process sees it.
    pub fn new(first: Option<&Taken>, own: &Writer) -> Self {
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
    /// Its number.
    pub id: JobId,
    /// Its service.
    pub service: Service,
    /// Hash of service, caller and idempotency key.
    pub digest: u128,
    /// What its service does while the log is down.
    pub rule: LogDown,
    /// When its answer is due.
    pub deadline: Time,
}

/// What is to be done.
#[derive(Debug)]
pub enum Event {
    /// Append these intents as one record.
    Append(Vec<Intent>),
    /// Send this request.
    Send(JobId),
    /// Answer this request with an error.
    Refuse(JobId, Error),
}

/// How a request that was allowed to send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It ran.
    Ran,
    /// It was certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its intent is in the next group.
    Queued,
    /// Its intent is being appended.
    Appending,
    /// It is allowed to send.
    Sent,
    /// It was not sent and its intent is being appended.
    Dropped,
    /// It was sent while the log was down, has ended, and its intent is not
    /// in the log yet.
    Ended,
}

#[derive(Debug)]
struct Active {
    request: Request,
    stage: Stage,
    /// Whether the log names this process as the first.
    first: bool,
}

/// The idempotency keys of one VM.
#[derive(Debug, Default)]
pub struct Intents {
    active: BTreeMap<u128, Active>,
    digests: BTreeMap<JobId, u128>,
    group: VecDeque<Intent>,
    unsent: BTreeMap<u128, Time>,
    outstanding: Vec<Intent>,
    appended: Option<Time>,
    down: bool,
}

impl Intents {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a request. It waits for the log if no event is returned.
    /// `standing` is what the fold says about its key now.
    pub fn ask(&mut self, now: Time, request: Request, standing: Standing) -> Option<Event> {
        let (id, digest) = (request.id, request.digest);
        let unsent = self.unsent.contains_key(&digest);
        let refused = match standing {
            _ if self.active.contains_key(&digest) => Some(taken(false)),
            Standing::Taken { done } => Some(taken(done)),
            Standing::First if !unsent => Some(taken(false)),
            _ if now >= request.deadline => Some(late()),
            _ if self.group.len() >= WAITING_MAX => {
                Some(Error::new(Code::QueueFull, "too many intents wait"))
            }
            _ => None,
        };
        if let Some(error) = refused {
            return Some(Event::Refuse(id, error));
        }
        if standing == Standing::First {
            self.unsent.remove(&digest);
            self.insert(request, Stage::Sent, true);
            return Some(Event::Send(id));
        }
        if self.down && request.rule == LogDown::Refuse {
            return Some(Event::Refuse(id, down()));
        }
        self.group.push_back(Intent { service: request.service.clone(), digest, done: false });
        if self.down {
            self.insert(request, Stage::Sent, false);
            return Some(Event::Send(id));
        }
        self.insert(request, Stage::Queued, false);
        None
    }

    fn insert(&mut self, request: Request, stage: Stage, first: bool) {
        self.digests.insert(request.id, request.digest);
        self.active.insert(request.digest, Active { request, stage, first });
    }

    /// Returns the next group to append, if its time has come, and refuses
    /// requests whose deadline has passed while they waited.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        let late_ones = |active: &&Active| active.is_waiting() && now >= active.request.deadline;
        let ids: Vec<JobId> = self.active.values().filter(late_ones).map(|a| a.request.id).collect();
        let mut events: Vec<Event> = ids.iter().map(|id| Event::Refuse(*id, late())).collect();
        for id in ids {
            self.cancel(id);
        }
        events.extend(self.next_group(now).map(Event::Append));
        events
    }

    fn next_group(&mut self, now: Time) -> Option<Vec<Intent>> {
        let early = self.appended.is_some_and(|at| now.since(at) < APPEND_PERIOD);
        if early || self.down || !self.outstanding.is_empty() || self.group.is_empty() {
            return None;
        }
        let count = self.group.len().min(GROUP_MAX);
        let group: Vec<Intent> = self.group.drain(..count).collect();
        for intent in &group {
            let active = self.active.get_mut(&intent.digest);
            if let Some(active) = active.filter(|active| active.stage == Stage::Queued) {
                active.stage = Stage::Appending;
            }
        }
        self.appended = Some(now);
        self.outstanding = group.clone();
        Some(group)
    }

    /// Returns whether the group that is being appended may be appended again
    /// now, after an answer was lost, and counts that as an append.
    pub fn again(&mut self, now: Time) -> bool {
        let early = self.appended.is_some_and(|at| now.since(at) < APPEND_PERIOD);
        if early || self.outstanding.is_empty() {
            return false;
        }
        self.appended = Some(now);
        true
    }

    /// Takes what the fold says about the keys of the group that was
    /// appended, once the record was read back.
    pub fn commit(&mut self, now: Time, standing: impl Fn(u128) -> Standing) -> Vec<Event> {
        let group = std::mem::take(&mut self.outstanding);
        let intents = group.iter().filter(|intent| !intent.done);
        intents.filter_map(|intent| self.settle(now, intent.digest, standing(intent.digest))).collect()
    }

    fn settle(&mut self, now: Time, digest: u128, standing: Standing) -> Option<Event> {
        let active = self.active.get_mut(&digest)?;
        active.first = standing == Standing::First;
        let id = active.request.id;
        let late_now = now >= active.request.deadline;
        match (active.stage, standing) {
            (Stage::Appending, Standing::First) if !late_now => {
                active.stage = Stage::Sent;
                Some(Event::Send(id))
            }
            (Stage::Appending, Standing::First) => {
                self.release(now, digest);
                Some(Event::Refuse(id, late()))
            }
            (Stage::Appending, standing) => {
                self.release(now, digest);
                Some(Event::Refuse(id, taken(standing == Standing::Taken { done: true })))
            }
            (Stage::Dropped, _) => {
                self.release(now, digest);
                None
            }
            (Stage::Ended, _) => {
                self.forget(digest);
                None
            }
            (Stage::Queued | Stage::Sent, _) => None,
        }
    }

    /// Takes back the group that was appended, when it is certain that the
    /// record is not in the log and never will be.
    pub fn requeue(&mut self) {
        let group = std::mem::take(&mut self.outstanding);
        for intent in group.into_iter().rev() {
            let active = self.active.get_mut(&intent.digest);
            let dropped = active.as_ref().is_some_and(|active| active.stage == Stage::Dropped);
            if dropped {
                self.forget(intent.digest);
                continue;
            }
            if let Some(active) = active.filter(|active| active.stage == Stage::Appending) {
                active.stage = Stage::Queued;
            }
            self.group.push_front(intent);
        }
    }

    /// Says whether the log can be reached. When it can't, waiting requests
    /// are sent or refused as their services say.
    pub fn set_down(&mut self, down: bool) -> Vec<Event> {
        self.down = down;
        if !down {
            return Vec::new();
        }
        let waiting = self.active.values().filter(|active| active.is_waiting());
        let ids: Vec<(JobId, LogDown)> = waiting.map(|a| (a.request.id, a.request.rule)).collect();
        ids.into_iter().map(|(id, rule)| self.decide_down(id, rule)).collect()
    }

    fn decide_down(&mut self, id: JobId, rule: LogDown) -> Event {
        if rule == LogDown::Refuse {
            self.cancel(id);
            return Event::Refuse(id, down());
        }
        let active = self.digests.get(&id).and_then(|digest| self.active.get_mut(digest));
        if let Some(active) = active {
            active.stage = Stage::Sent;
        }
        Event::Send(id)
    }

    /// Takes out a request that waits for the log. Returns whether it waited;
    /// if it did, it was not sent and never will be.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(digest) = self.digests.get(&id).copied() else { return false };
        let Some(active) = self.active.get(&digest) else { return false };
        match active.stage {
            Stage::Queued | Stage::Appending => {
                self.drop_unsent(digest);
                true
            }
            Stage::Sent | Stage::Dropped | Stage::Ended => false,
        }
    }

    /// Takes the end of a request that was allowed to send.
    pub fn finish(&mut self, now: Time, id: JobId, end: End) {
        let Some(digest) = self.digests.get(&id).copied() else { return };
        let Some(active) = self.active.get(&digest).filter(|active| active.stage == Stage::Sent) else {
            return;
        };
        let (service, first) = (active.request.service.clone(), active.first);
        match end {
            End::NotRun if first => self.release(now, digest),
            End::NotRun => return self.drop_unsent(digest),
            End::Ran => self.group.push_back(Intent { service, digest, done: true }),
            End::Unknown => {}
        }
        match self.active.get_mut(&digest) {
            Some(active) if !first => active.stage = Stage::Ended,
            _ => self.forget(digest),
        }
    }

    /// Takes the intent of a request that was not sent out of the next group,
    /// or remembers that it is being appended for nothing.
    fn drop_unsent(&mut self, digest: u128) {
        let outstanding = self.outstanding.iter().any(|intent| intent.digest == digest);
        match self.active.get_mut(&digest) {
            Some(active) if outstanding => active.stage = Stage::Dropped,
            _ => {
                self.group.retain(|intent| intent.digest != digest);
                self.forget(digest);
            }
        }
    }

    /// Forgets a request that was not sent. If the log names this process as
    /// the first, the next request with the key may be sent from here.
    fn release(&mut self, now: Time, digest: u128) {
        let first = self.active.get(&digest).is_some_and(|active| active.first);
        self.forget(digest);
        if !first {
            return;
        }
        if self.unsent.len() >= UNSENT_MAX {
            let oldest = self.unsent.iter().min_by_key(|(_, at)| **at).map(|(digest, _)| *digest);
            oldest.map(|digest| self.unsent.remove(&digest));
        }
        self.unsent.insert(digest, now);
    }

    fn forget(&mut self, digest: u128) {
        if let Some(active) = self.active.remove(&digest) {
            self.digests.remove(&active.request.id);
        }
    }
}

impl Active {
    fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Queued | Stage::Appending)
    }
}

/// The answer to a request whose key is held by another one. It never says
/// "not run", because the work of the other one may run.
fn taken(done: bool) -> Error {
    if done {
        return Error::new(Code::IntentDone, "an earlier request with this idempotency key ran");
    }
    Error::new(Code::IntentSettled, "an earlier request holds this idempotency key")
}

fn late() -> Error {
    Error::new(Code::DeadlineTooShort, "the deadline passed before the intent was in the log")
}

fn down() -> Error {
    Error::new(Code::LogDown, "the log can't be reached")
}

/// Hashes a service and an idempotency key.
pub fn digest(service: &Service, key: &str) -> u128 {
    // A service's name has no byte 0, so that two pairs never give one text.
    let text = [service.as_str(), "\0", key].concat();
    xxh3_128(text.as_bytes())
}
