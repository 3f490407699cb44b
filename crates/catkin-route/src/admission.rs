//! Admission: which requests of a service are refused at once while it has too
//! little room.
//!
//! Load pattern: a burst of less urgent requests at a service that gets urgent
//! ones too, seen by dozens of processes of which each gets a small part. Each
//! process counts, by service and rank, and reports the counts to the leader.
//! The leader derives the share of each rank that is admitted
//! ([`Threshold`]) and sends it with the answer to each report. A process
//! applies the shares by a hash of the request's id. Without a leader it keeps
//! the last shares for a while and then follows the same rule on its own counts.
//!
//! Only services that get requests of several ranks have a threshold.

mod fleet;
mod threshold;

pub use {
    fleet::FleetAdmission,
    threshold::{Shares, Threshold},
};

use {
    crate::rank::Ranks,
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Time for which shares of the leader are kept without a newer answer. It
/// covers two reports.
const SHARES_TTL: Span = Span::from_millis(1_500);

/// Time in which a request is admitted or refused by the same hash. One that is
/// refused returns in an interval in which its hash is another.
const INTERVAL: Span = Span::from_millis(250);

/// Intervals that are searched for one in which a refused request may return.
const INTERVALS_AHEAD: u64 = 6;

/// Part of the share that is promised to refused requests in each further interval.
/// All that is promised comes on top of new requests, so with the whole share
/// requests would only be delayed.
const PROMISED_FRACTION: f64 = 0.1;

/// Intervals after which all others should return.
const WAIT_INTERVALS: u64 = 6;

/// Part of an interval in which refused requests return. It begins late enough for
/// clocks that differ by the time of a message.
const RETURN_FROM: f64 = 0.2;
const RETURN_UNTIL: f64 = 0.8;

/// Least latency objective that waits are compared with, in seconds.
const OBJECTIVE_MIN_S: f64 = 0.001;

/// Memory of a threshold that follows the counts of one process: a few requests
/// a second.
const LOCAL_MEMORY: Span = Span::from_secs(2);

/// Mean wait from which on such a threshold refuses requests. It is lower than
/// the leader's, as the longer memory shows waits later.
const LOCAL_WAIT_MAX: f64 = 0.25;

/// What happened to the requests of one service and rank since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankCounts {
    /// Rank of the requests.
    pub rank: u32,
    /// Requests that came.
    pub came: u32,
    /// Requests that the threshold refused.
    pub refused: u32,
    /// Attempts that ended.
    pub ended: u32,
    /// Time that these took without the queues of targets, in milliseconds.
    pub busy_ms: u32,
    /// Time for which requests have waited for a target and in its queue, in
    /// thousandths of their latency objectives.
    pub waited: u32,
}

/// Counts of a process by service.
pub type Report = Vec<(Arc<str>, Vec<RankCounts>)>;

/// Admitted shares of all services, as the leader sends them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetShares {
    /// Clock of the leader, by which all processes count intervals.
    pub clock: u64,
    /// Services of which not all requests are admitted.
    pub services: Vec<(Arc<str>, Shares)>,
}

/// Queue of a target as it reports it, and its slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueLoad {
    /// Requests that wait there for a slot.
    pub queued: u32,
    /// Slots of the target.
    pub slots: u32,
}

/// Requests of one service and rank in this process.
#[derive(Clone, Debug, Default)]
struct RankState {
    counts: RankCounts,
    /// Requests that wait for a target, each as the inverse of its latency
    /// objective in seconds.
    waiting: f64,
    /// Time until which waits are in `waited`.
    counted_at: Time,
    /// Sum of waits that are not in `counts`, as multiples of the objectives.
    waited: f64,
}

impl RankState {
    fn count_waits(&mut self, now: Time) {
        self.waited += self.waiting * now.since(self.counted_at).as_secs_f64();
        self.counted_at = now;
    }

    /// Returns the counts since the last call.
    fn take(&mut self, now: Time, rank: u32) -> RankCounts {
        self.count_waits(now);
        let waited = (self.waited * 1e3) as u32;
        self.waited -= f64::from(waited) / 1e3;
        RankCounts { rank, waited, ..std::mem::take(&mut self.counts) }
    }
}

/// One service in this process.
#[derive(Clone, Debug)]
struct ServiceState {
    ranks: BTreeMap<u32, RankState>,
    /// Counts that the leader has not got.
    unreported: BTreeMap<u32, RankCounts>,
    /// Threshold by the counts of this process.
    local: Threshold,
    /// Whether this process alone can tell an overload of the service.
    is_local: bool,
    /// Shares of the leader.
    shares: Option<Shares>,
}

/// Admission of the requests of one process.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: HashMap<Arc<str>, ServiceState>,
    /// When the leader last sent shares.
    answered_at: Option<Time>,
    /// Leader's clock less the own one, in microseconds.
    clock_offset: u64,
}

impl RankCounts {
    /// Creates counts of 0.
    pub fn new(rank: u32) -> Self {
        Self { rank, ..Self::default() }
    }

    fn add(&mut self, other: &Self) {
        self.came = self.came.saturating_add(other.came);
        self.refused = self.refused.saturating_add(other.refused);
        self.ended = self.ended.saturating_add(other.ended);
        self.busy_ms = self.busy_ms.saturating_add(other.busy_ms);
        self.waited = self.waited.saturating_add(other.waited);
    }
}

impl Admission {
    /// Sets the ranks that each service gets and whether its keys have owners.
    /// Services with one rank have no threshold.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = (&'a Arc<str>, Ranks, bool)>) {
        let mut old = std::mem::take(&mut self.services);
        for (name, _, keyed) in services.filter(|(_, ranks, _)| !ranks.is_single()) {
            let state = old.remove(name).unwrap_or_else(|| ServiceState {
                ranks: BTreeMap::new(),
                unreported: BTreeMap::new(),
                local: Threshold::new(LOCAL_MEMORY, LOCAL_WAIT_MAX),
                is_local: !keyed,
                shares: None,
            });
            // A process sees the queues of a few owners of keys, which may be
            // long while the service has room.
            self.services.insert(name.clone(), ServiceState { is_local: !keyed, ..state });
        }
    }

    /// Counts a request that came and decides whether it is admitted.
    ///
    /// # Errors
    ///
    /// The time after which the request should come back. It is admitted then
    /// unless the share falls.
    pub fn check(&mut self, now: Time, service: &str, rank: u32, id: &str) -> Result<(), Span> {
        let clock = now.as_micros().wrapping_add(self.clock_offset);
        let has_leader = self.has_leader(now);
        let Some(state) = self.services.get_mut(service) else { return Ok(()) };
        state.follow(now);
        let share = state.share(has_leader, rank);
        let counts = &mut state.ranks.entry(rank).or_default().counts;
        counts.came += 1;
        let refused = refuse(clock, share, id);
        counts.refused += u32::from(refused.is_some());
        refused.map_or(Ok(()), Err)
    }

    /// Counts a request as admitted that [`check`](Self::check) has refused, as there
    /// is room for it.
    pub fn count_admitted(&mut self, service: &str, rank: u32) {
        if let Some(state) = self.rank(service, rank) {
            state.counts.refused = state.counts.refused.saturating_sub(1);
        }
    }

    /// Returns the share of a rank that is admitted.
    pub fn share(&self, now: Time, service: &str, rank: u32) -> f64 {
        let has_leader = self.has_leader(now);
        self.services.get(service).map_or(1.0, |state| state.share(has_leader, rank))
    }

    /// Returns the services that have a threshold, with the admitted share of each
    /// rank.
    pub fn shares(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, Vec<(u32, f64)>)> {
        let has_leader = self.has_leader(now);
        self.services.iter().map(move |(name, state)| {
            let share = |rank: &u32| (*rank, state.share(has_leader, *rank));
            (name, state.ranks.keys().map(share).collect())
        })
    }

    /// Returns whether shares of the leader are in force.
    pub fn has_leader(&self, now: Time) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < SHARES_TTL)
    }

    fn rank(&mut self, service: &str, rank: u32) -> Option<&mut RankState> {
        self.services.get_mut(service)?.ranks.get_mut(&rank)
    }

    /// Counts a request that begins or stops to wait for a target.
    pub fn count_waiting(&mut self, now: Time, service: &str, rank: u32, objective: Span, begins: bool) {
        let Some(state) = self.rank(service, rank) else { return };
        state.count_waits(now);
        let weight = 1.0 / objective.as_secs_f64().max(OBJECTIVE_MIN_S);
        state.waiting = if begins { state.waiting + weight } else { (state.waiting - weight).max(0.0) };
    }

    /// Counts the end of an attempt, the time that it took, and the load that the
    /// target reported.
    pub fn count_ended(&mut self, service: &str, rank: u32, objective: Span, took: Span, load: QueueLoad) {
        let Some(state) = self.rank(service, rank) else { return };
        // Time in the queue of a target is no work.
        let fill = 1.0 + f64::from(load.queued) / f64::from(load.slots.max(1));
        let busy = took.scale(1.0 / fill);
        let queued = took.saturating_sub(busy).as_secs_f64();
        state.waited += queued / objective.as_secs_f64().max(OBJECTIVE_MIN_S);
        state.counts.ended += 1;
        let busy_ms = u32::try_from(busy.as_millis()).unwrap_or(u32::MAX);
        state.counts.busy_ms = state.counts.busy_ms.saturating_add(busy_ms);
    }

    /// Returns the counts since the last report to the leader.
    pub fn report(&mut self, now: Time) -> Report {
        let mut report = Report::new();
        for (name, state) in &mut self.services {
            state.collect(now);
            let counts: Vec<RankCounts> = std::mem::take(&mut state.unreported).into_values().collect();
            if !counts.is_empty() {
                report.push((name.clone(), counts));
            }
        }
        report
    }

    /// Applies the shares that the leader sent.
    pub fn apply(&mut self, now: Time, shares: &FleetShares) {
        self.answered_at = Some(now);
        self.clock_offset = shares.clock.wrapping_sub(now.as_micros());
        for (name, state) in &mut self.services {
            let sent = shares.services.iter().find(|(service, _)| service == name);
            state.shares = sent.map(|(_, shares)| shares.clone());
        }
    }
}

impl ServiceState {
    /// Moves the newest counts to the local threshold and to the next report.
    fn collect(&mut self, now: Time) {
        for (rank, state) in &mut self.ranks {
            let counts = state.take(now, *rank);
            if counts != RankCounts::new(*rank) {
                self.local.add(&counts);
                self.unreported.entry(*rank).or_insert(RankCounts::new(*rank)).add(&counts);
            }
        }
    }

    /// Advances the local threshold if that is due.
    fn follow(&mut self, now: Time) {
        if self.local.is_due(now) {
            self.collect(now);
            self.local.step(now, self.is_local);
        }
    }

    fn share(&self, has_leader: bool, rank: u32) -> f64 {
        match &self.shares {
            Some(shares) if has_leader => shares.get(rank),
            None if has_leader => 1.0,
            _ => self.local.shares().get(rank),
        }
    }
}

/// Returns a number between 0 and 1 that is random for each request and interval.
fn uniform(id: &str, interval: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    (id, interval).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Returns the time after which a request should come back, if it is refused at
/// a time of the common clock. Requests return in an interval in which the present
/// share admits them, spread over the interval.
fn refuse(clock: u64, share: f64, id: &str) -> Option<Span> {
    let interval = clock / INTERVAL.as_micros();
    if share >= 1.0 || uniform(id, interval) < share {
        return None;
    }
    let promised = |ahead: &u64| uniform(id, interval + ahead) < share * PROMISED_FRACTION;
    let ahead = (1..=INTERVALS_AHEAD).find(promised).unwrap_or(INTERVALS_AHEAD + WAIT_INTERVALS);
    let position = RETURN_FROM + (RETURN_UNTIL - RETURN_FROM) * uniform(id, u64::MAX);
    let start = (interval + ahead) * INTERVAL.as_micros() - clock;
    Some(Span::from_micros(start) + INTERVAL.scale(position))
}
