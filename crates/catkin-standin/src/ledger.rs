//! Record of the runs of a target and of the times in which it owned and served
//! each slice.

use {
    catkin::{
        api::{CommandReply, FencedSlice},
        types::{Fence, RequestId, Service, SliceId, TargetId, Time},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// One run of an operation that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the request, if it had one.
    pub request: Option<RequestId>,
    /// Id that the caller gave the request in [`CALL`](crate::header::CALL), if
    /// any.
    pub call: Option<Arc<str>>,
    /// Slice and fence of the request, if it had any.
    pub held: Option<FencedSlice>,
    /// Time of admission, in microseconds since the Unix epoch.
    pub from: u64,
    /// Time at which it took effect, in microseconds since the Unix epoch.
    pub at: u64,
    /// Length of the request's body, in bytes.
    pub length: u64,
}

/// Time in which a slice was held with a fence, in microseconds since the Unix
/// epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Slice that was held.
    pub slice: SliceId,
    /// Fence with which it was held.
    pub fence: Fence,
    /// Start of the interval.
    pub from: u64,
    /// End of the interval.
    pub until: u64,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Ran and took effect.
    pub ran: u64,
    /// Requests whose answer says `not-run`, including those counted in `fenced`.
    pub refused: u64,
    /// Stopped at their deadline, without an effect.
    pub late: u64,
    /// Ended without a recorded outcome: the connection closed or the journal could
    /// not be written.
    pub cancelled: u64,
    /// Refused at the end of the run because their grant had ended, without an
    /// effect.
    pub fenced: u64,
    /// Stopped because the upload was cut, without an effect.
    pub torn: u64,
}

/// Body of the answer to `GET /ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Target that the ledger belongs to.
    pub target: TargetId,
    /// Service of the target.
    pub service: Service,
    /// Incarnation of the target.
    pub boot: u64,
    /// Number of requests by outcome.
    pub counts: Counts,
    /// Runs by operation.
    pub runs: BTreeMap<Arc<str>, Vec<Run>>,
    /// Times in which the target held a slice by a grant under a valid lease. The
    /// assignment in the log may differ.
    pub owned: Vec<Interval>,
    /// For each grant, the time from the admission of the first request to the
    /// effect of the last one.
    pub served: Vec<Interval>,
    /// Time at which the target was first asked to drain, in microseconds since
    /// the Unix epoch.
    pub drained: Option<u64>,
    /// Time at which work last arrived, in microseconds since the Unix epoch.
    pub arrived: Option<u64>,
}

/// Collects the entries of the ledger of a target.
pub(crate) struct LedgerRecorder {
    pub(crate) counts: Counts,
    runs: BTreeMap<Arc<str>, Vec<Run>>,
    /// Unix time at which the clock was 0.
    clock_start_unix_micros: u64,
    lease_end: Time,
    /// Start of the interval for each slice that is owned now.
    owned_since: BTreeMap<FencedSlice, Time>,
    owned: Vec<Interval>,
    served: BTreeMap<FencedSlice, (Time, Time)>,
    drained: Option<u64>,
    arrived: Option<u64>,
}

impl LedgerRecorder {
    /// Creates an empty recorder. `clock_start_unix_micros` is the Unix time at
    /// which the clock was 0.
    pub(crate) fn new(clock_start_unix_micros: u64) -> Self {
        Self {
            counts: Counts::default(),
            runs: BTreeMap::new(),
            clock_start_unix_micros,
            lease_end: Time::default(),
            owned_since: BTreeMap::new(),
            owned: Vec::new(),
            served: BTreeMap::new(),
            drained: None,
            arrived: None,
        }
    }

    pub(crate) fn record_run(&mut self, operation: Arc<str>, run: Run) {
        self.counts.ran += 1;
        self.runs.entry(operation).or_default().push(run);
    }

    /// Records that work arrived.
    pub(crate) fn record_arrival(&mut self, now: Time) {
        self.arrived = Some(self.unix_micros(now));
    }

    /// Records that the target was asked to drain; only the first time counts.
    pub(crate) fn record_drain(&mut self, now: Time) {
        self.drained = Some(self.drained.unwrap_or(self.unix_micros(now)));
    }

    /// Extends the time in which a grant was served by that of one request.
    pub(crate) fn record_served(&mut self, held: FencedSlice, from: Time, until: Time) {
        let span = self.served.entry(held).or_insert((from, until));
        *span = (span.0.min(from), span.1.max(until));
    }

    /// Updates the owned intervals from the lease and the grants of the target.
    pub(crate) fn update_owned(&mut self, now: Time, state: &CommandReply) {
        let end = self.lease_end.min(now);
        let leased = now < state.until;
        let expired = self.lease_end <= now;
        let continues = |held: &FencedSlice| leased && !expired && state.slices.contains(held);
        let ended = self.owned_since.extract_if(.., |held, _| !continues(held)).collect::<Vec<_>>();
        for (held, from) in ended {
            self.owned.push(self.interval(held, from, end));
        }
        self.lease_end = state.until;
        if leased {
            state.slices.iter().for_each(|held| {
                self.owned_since.entry(*held).or_insert(now);
            });
        }
    }

    /// Returns the ledger. The interval of a slice that is still owned ends at
    /// `now` or with the lease, whichever is earlier.
    pub(crate) fn ledger(&self, now: Time, target: TargetId, service: Service, boot: u64) -> Ledger {
        let end = self.lease_end.min(now);
        let current = self.owned_since.iter().map(|(held, from)| self.interval(*held, *from, end));
        let served = self.served.iter().map(|(held, span)| self.interval(*held, span.0, span.1));
        Ledger {
            target,
            service,
            boot,
            counts: self.counts,
            runs: self.runs.clone(),
            owned: self.owned.iter().copied().chain(current).collect(),
            served: served.collect(),
            drained: self.drained,
            arrived: self.arrived,
        }
    }

    fn interval(&self, held: FencedSlice, from: Time, until: Time) -> Interval {
        Interval {
            slice: held.slice,
            fence: held.fence,
            from: self.unix_micros(from),
            until: self.unix_micros(until),
        }
    }

    /// Converts a time of the clock to microseconds since the Unix epoch.
    pub(crate) fn unix_micros(&self, time: Time) -> u64 {
        self.clock_start_unix_micros + time.as_micros()
    }
}
