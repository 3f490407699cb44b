//! What a target ran, and when it owned and served which slice.

use {
    catkin::{
        api::{Held, Reply},
        types::{Fence, RequestId, Service, SliceId, TargetId, Time},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// One run of an operation, with its effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the request, if it had one.
    pub request: Option<RequestId>,
    /// Id that the caller gave the request, if any.
    pub call: Option<Arc<str>>,
    /// Slice and fence of the request, if it had any.
    pub held: Option<Held>,
    /// When it was admitted, in microseconds of the Unix epoch.
    pub from: u64,
    /// When the effect was made, in microseconds of the Unix epoch.
    pub at: u64,
    /// Length of the request's body, in bytes.
    pub length: u64,
}

/// A span of time in which a slice was held with a fence, in microseconds of
/// the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// The slice.
    pub slice: SliceId,
    /// The fence.
    pub fence: Fence,
    /// Start.
    pub from: u64,
    /// End.
    pub until: u64,
}

/// Requests by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Ran and made their effect.
    pub ran: u64,
    /// Refused unrun.
    pub refused: u64,
    /// Started and stopped at their deadline, without an effect.
    pub late: u64,
    /// Started and stopped because the connection closed, without an effect.
    pub cancelled: u64,
    /// Started and refused at the end by their fence, without an effect.
    pub fenced: u64,
    /// Ended without an effect because the body was cut.
    pub torn: u64,
}

/// Body of the answer to `GET /ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: Service,
    /// Number of the target process.
    pub boot: u64,
    /// Requests by their ends.
    pub counts: Counts,
    /// Runs by operation.
    pub runs: BTreeMap<Arc<str>, Vec<Run>>,
    /// When the target held a lease and a grant.
    pub owned: Vec<Interval>,
    /// For each grant, from the admission of the first request to the effect
    /// of the last one.
    pub served: Vec<Interval>,
    /// When the target was first asked to drain, in microseconds of the Unix
    /// epoch.
    pub drained: Option<u64>,
    /// When work last arrived, in microseconds of the Unix epoch.
    pub arrived: Option<u64>,
}

/// Collects the ledger of a target.
pub(crate) struct Book {
    pub(crate) counts: Counts,
    runs: BTreeMap<Arc<str>, Vec<Run>>,
    epoch: u64,
    until: Time,
    open: BTreeMap<Held, Time>,
    owned: Vec<Interval>,
    served: BTreeMap<Held, (Time, Time)>,
    drained: Option<u64>,
    arrived: Option<u64>,
}

impl Book {
    /// Makes an empty book for a clock that was at 0 at a moment of the Unix
    /// epoch, in microseconds.
    pub(crate) fn new(epoch: u64) -> Self {
        Self {
            counts: Counts::default(),
            runs: BTreeMap::new(),
            epoch,
            until: Time::default(),
            open: BTreeMap::new(),
            owned: Vec::new(),
            served: BTreeMap::new(),
            drained: None,
            arrived: None,
        }
    }

    /// Counts a run.
    pub(crate) fn run(&mut self, operation: Arc<str>, run: Run) {
        self.counts.ran += 1;
        self.runs.entry(operation).or_default().push(run);
    }

    /// Notes that work arrived.
    pub(crate) fn arrive(&mut self, now: Time) {
        self.arrived = Some(self.unix(now));
    }

    /// Notes that the target was asked to drain.
    pub(crate) fn drain(&mut self, now: Time) {
        self.drained = Some(self.drained.unwrap_or(self.unix(now)));
    }

    /// Notes that a request was served under a grant.
    pub(crate) fn serve(&mut self, held: Held, from: Time, until: Time) {
        let span = self.served.entry(held).or_insert((from, until));
        *span = (span.0.min(from), span.1.max(until));
    }

    /// Notes what the target holds.
    pub(crate) fn hold(&mut self, now: Time, state: &Reply) {
        let ended = self.until.min(now);
        let leased = now < state.until;
        let lapsed = self.until <= now;
        let kept = |held: &Held| leased && !lapsed && state.slices.contains(held);
        let gone = self.open.extract_if(.., |held, _| !kept(held)).collect::<Vec<_>>();
        for (held, from) in gone {
            self.owned.push(self.interval(held, from, ended));
        }
        self.until = state.until;
        if leased {
            state.slices.iter().for_each(|held| {
                self.open.entry(*held).or_insert(now);
            });
        }
    }

    /// Returns the ledger.
    pub(crate) fn report(&self, now: Time, target: TargetId, service: Service, boot: u64) -> Ledger {
        let ended = self.until.min(now);
        let open = self.open.iter().map(|(held, from)| self.interval(*held, *from, ended));
        let served = self.served.iter().map(|(held, span)| self.interval(*held, span.0, span.1));
        Ledger {
            target,
            service,
            boot,
            counts: self.counts,
            runs: self.runs.clone(),
            owned: self.owned.iter().copied().chain(open).collect(),
            served: served.collect(),
            drained: self.drained,
            arrived: self.arrived,
        }
    }

    fn interval(&self, held: Held, from: Time, until: Time) -> Interval {
        Interval { slice: held.slice, fence: held.fence, from: self.unix(from), until: self.unix(until) }
    }

    /// Returns a moment in microseconds of the Unix epoch.
    pub(crate) fn unix(&self, time: Time) -> u64 {
        self.epoch + time.as_micros()
    }
}
