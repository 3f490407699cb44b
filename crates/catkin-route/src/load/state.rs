//! What a process knows of one target, and whether it sends it a request.

use {
    super::{promises::Promises, slowdown::Slowdown, watch::SlowWatch},
    crate::{
        announced::Announced,
        cold::{ColdState, ColdTerms},
        directory::Incarnation,
        rank::FillFactor,
        service_time::OwnTimes,
    },
    catkin::types::{Span, Time},
};

/// Half-life of the count of other callers' requests that a target reported.
const REPORT_HALF_LIFE: Span = Span::from_millis(400);

/// Number of processes up to which that half-life holds; above, it grows in
/// proportion.
const HALF_LIFE_PEERS: f64 = 12.0;

/// Service time of a target before it was measured, in seconds.
const SERVICE_TIME_DEFAULT_S: f64 = 0.1;

/// Requests that one process may have at a target, as a multiple of its even
/// share of the slots: callers are spread unevenly over the processes, and
/// reports bound the sum.
const OWN_SHARE_FACTOR: f64 = 2.5;

/// Requests that one process may have at a target however small its share is.
const OWN_REQUESTS_MIN: u32 = 2;

/// Why a target gets no further request of this process now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It leaves.
    Leaving,
    /// It may be leaving or may have stopped responding, which is being found
    /// out.
    Doubted,
    /// It wants no request of this process for the span.
    Paused(Span),
    /// Connections to it failed a short time ago.
    Unreachable,
    /// It names a limit, and the share of this process is used up. The span is
    /// the mean time until any process may send it a request.
    Limited(Span),
    /// It is cold, and this process may send it nothing now. The span is the time
    /// until it takes a request of any process.
    Cold(Span),
    /// It is busy, and the quota of this process is used up.
    NoQuota,
    /// It has as many requests as it should have.
    Full,
}

impl Denial {
    /// Returns the time until the target may take a request; `None` if that may
    /// be at any moment.
    pub(super) fn rest(self) -> Option<Span> {
        match self {
            Self::Leaving => Some(Span::from_micros(u64::MAX)),
            Self::Paused(rest) | Self::Limited(rest) | Self::Cold(rest) => Some(rest),
            Self::Doubted | Self::Unreachable | Self::NoQuota | Self::Full => None,
        }
    }
}

/// What this process knows of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) incarnation: Incarnation,
    pub(super) in_flight: u32,
    /// Mean service time at the usual speed, without queueing, in seconds.
    pub(super) service_time: f64,
    pub(super) slowdown: Slowdown,
    pub(super) watch: SlowWatch,
    pub(super) others_reported: f64,
    pub(super) reported_at: Time,
    /// Requests that the target reported with the last answer.
    pub(super) reported_load: f64,
    /// Service times for the leader.
    pub(super) times: OwnTimes,
    pub(super) failure_rate: f64,
    pub(super) backoff: Span,
    pub(super) backoff_end: Time,
    /// Requests of this process that are queued for the target.
    pub(super) queued: u32,
    /// Those of the most urgent rank among them.
    pub(super) urgent: u32,
    pub(super) announced: Announced,
    pub(super) cold: ColdState,
    pub(super) promises: Promises,
}

/// This process's quota at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaState {
    pub(super) expiry: Time,
    /// Requests that this process may still send.
    pub(super) left: u32,
    /// Queue length: queued requests of all processes for the target.
    pub(super) queue_length: u32,
}

impl TargetState {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        let zero = Time::default();
        Self {
            incarnation,
            in_flight: 0,
            service_time: SERVICE_TIME_DEFAULT_S,
            slowdown: Slowdown::default(),
            watch: SlowWatch::default(),
            others_reported: 0.0,
            reported_at: zero,
            reported_load: 0.0,
            times: OwnTimes::default(),
            failure_rate: 0.0,
            backoff: Span::ZERO,
            backoff_end: zero,
            queued: 0,
            urgent: 0,
            announced: Announced::default(),
            cold: ColdState::default(),
            promises: Promises::default(),
        }
    }

    /// Returns the estimated number of requests of other processes at the
    /// target. With more processes each receives reports of a target less
    /// often, so the half-life grows.
    pub(super) fn others(&self, now: Time, peers: u32) -> f64 {
        let half_life = REPORT_HALF_LIFE.as_secs_f64() * (f64::from(peers) / HALF_LIFE_PEERS).max(1.0);
        let half_lives = now.since(self.reported_at).as_secs_f64() / half_life;
        self.others_reported * 0.5_f64.powf(half_lives)
    }

    /// Returns the requests that the target reported with the last answer, as a
    /// multiple of its slots.
    pub(super) fn fill(&self, slots: f64) -> f64 {
        self.reported_load / slots.max(1.0)
    }

    /// Returns the estimated number of requests of all processes at the target.
    pub(super) fn requests(&self, now: Time, peers: u32) -> f64 {
        f64::from(self.in_flight) + self.others(now, peers)
    }

    /// Checks whether the target may get one more request, by what it announced,
    /// by the quota if there is one, and by estimates of its load. A cold target
    /// gets requests by `cold` in place of both.
    pub(super) fn check(
        &mut self,
        now: Time,
        slots: u32,
        quota: Option<QuotaState>,
        cold: Option<&ColdTerms>,
        peers: u32,
        fill: FillFactor,
    ) -> Result<(), Denial> {
        if self.backoff_end > now {
            return Err(Denial::Unreachable);
        }
        if let Some(pause) = self.announced.pause() {
            if let Some(rest) = pause.rest(now) {
                return Err(Denial::Paused(rest));
            }
            if pause.is_tentative() && self.in_flight > 0 {
                return Err(Denial::Full);
            }
        }
        if let Some(pace) = self.announced.pace()
            && pace.next_slot(now, peers) > now
        {
            return Err(Denial::Limited(pace.fleet_interval()));
        }
        if let Some(terms) = cold {
            // The cold rate is far below what fills the slots. Queued requests for
            // the target make the estimates of its load count it as full.
            return self.cold.check(now, terms).map_err(Denial::Cold);
        }
        self.cold.end();
        if let Some(quota) = quota {
            return if quota.left > 0 { Ok(()) } else { Err(Denial::NoQuota) };
        }
        let share = (OWN_SHARE_FACTOR * f64::from(slots) / f64::from(peers.max(1))).ceil() as u32;
        let total = self.requests(now, peers);
        let has_share = self.in_flight < share.max(OWN_REQUESTS_MIN);
        let is_admitted = has_share && fill.admits(total, slots, self.slowdown.at(now));
        if is_admitted { Ok(()) } else { Err(Denial::Full) }
    }
}
