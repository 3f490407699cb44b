//! Chooses the target of a request, from what this process knows of the
//! targets' load.

mod promises;
mod slowdown;
mod state;
mod watch;

pub use {state::Denial, watch::SlowChange};

use {
    crate::{
        announced::LimitReport,
        cold::{ColdTerms, FleetView, TokenGrant},
        directory::{Directory, Entry, Incarnation, Target},
        pace::Share,
        quotas::{Counts, TargetQuota},
        rank::FillFactor,
        rate::RequestRate,
        service_time::TimeSum,
        spill::{CrossingCost, Place, Spill},
        subset::{self, Subsets},
    },
    catkin::types::{Span, Time},
    state::{QuotaState, TargetState},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
    watch::WorkSplit,
};

/// Weight of a new measurement in the mean service time of a target.
const SERVICE_TIME_WEIGHT: f64 = 0.15;

/// Weight of a new result in the failure rate of a target.
const FAILURE_RATE_WEIGHT: f64 = 0.15;

/// First back-off after a failed connection; it doubles with each further one.
const BACKOFF_MIN: Span = Span::from_millis(250);

/// Longest back-off after failed connections.
const BACKOFF_MAX: Span = Span::from_secs(2);

/// Factor on the expected time of a target in another zone, without shares of the
/// leader (see [`Spill`]): bytes between zones cost money.
const ZONE_FACTOR: f64 = 1.15;

/// The same factor for a request with a large body.
const ZONE_FACTOR_LARGE: f64 = 2.0;

/// Bodies of at least this size count as large.
const LARGE_BODY_BYTES_MIN: usize = 16 << 10;

/// Factor on the expected time of a target in its slow start.
const COLD_FACTOR: f64 = 2.0;

/// Divisor of the number of processes that use a target, with shares of the
/// leader: fewer senders hear of a target's queue more often, so fewer requests are
/// late near the capacity.
const ZONE_SENDERS_DIVISOR: u32 = 2;

/// Time after which a received quota expires. It covers two reports to
/// the leader.
const QUOTA_TTL: Span = Span::from_millis(1_200);

/// How an attempt at a target ended, for the estimates of the target's load,
/// service time and failure rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered completely, and the answer is no failure of the
    /// target.
    Good,
    /// The target refused the request without running it.
    Refused,
    /// The target failed the request, or no complete answer came in time.
    Failed,
    /// No connection to the target could be opened.
    Unreachable,
    /// The attempt was cancelled: its caller left or its time was over.
    Cancelled,
}

/// What the choice of a target depends on, of a request without a key.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// How far the request may fill a target.
    pub fill: FillFactor,
    /// Size of its body in bytes.
    pub size: usize,
    /// Targets that it has reached before.
    pub avoid: &'a [Incarnation],
}

impl Criteria<'_> {
    /// Creates the criteria of a most urgent request without an earlier attempt.
    pub fn new(size: usize) -> Self {
        Self { fill: FillFactor::MAX, size, avoid: &[] }
    }
}

/// Slow targets of a service, as one process has heard of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowTargets {
    /// Number of targets that are slow now.
    pub count: usize,
    /// Largest slowdown of them; 1 if there is none.
    pub slowdown_max: f64,
    /// Requests that a target gets while it is slow, as a multiple of those that
    /// targets get at other times, over about the last 10 s; `None` if no target was
    /// slow.
    pub work_ratio: Option<f64>,
}

/// Slow targets as one process has heard of them.
#[derive(Clone, Debug, Default)]
pub struct SlowReport {
    /// By service, those with known targets.
    pub services: BTreeMap<Arc<str>, SlowTargets>,
    /// Targets whose slowness has lasted, or has ended, since the last report.
    pub changes: Vec<(Incarnation, SlowChange)>,
}

/// A search for a target.
#[derive(Clone, Copy)]
struct Query<'a> {
    now: Time,
    /// Number of all processes.
    peers: u32,
    criteria: Criteria<'a>,
    /// Requests at a target, as a multiple of its slots, from which on it is
    /// left out.
    fill_max: f64,
}

/// What one process knows of the load of all targets.
#[derive(Debug)]
pub struct LocalLoads {
    zone: Arc<str>,
    targets: HashMap<Arc<str>, TargetState>,
    quotas: HashMap<Arc<str>, QuotaState>,
    subsets: Subsets,
    /// Rates of cold targets by service, for services that name one.
    cold_rates: HashMap<Arc<str>, RequestRate>,
    fleet: FleetView,
    spill: Spill,
}

impl LocalLoads {
    /// Creates the loads of a process in a zone, without known targets.
    pub fn new(zone: Arc<str>) -> Self {
        let subsets = Subsets::new("".into(), zone.clone());
        Self {
            targets: HashMap::new(),
            quotas: HashMap::new(),
            subsets,
            cold_rates: HashMap::new(),
            fleet: FleetView::default(),
            spill: Spill::new(zone.clone()),
            zone,
        }
    }

    /// Sets the VM of the process, from which the order follows in which it
    /// considers targets.
    #[must_use]
    pub fn with_vm(self, vm: Arc<str>) -> Self {
        let subsets = Subsets::new(vm, self.zone.clone());
        Self { subsets, ..self }
    }

    /// Sets what the way to another zone costs.
    #[must_use]
    pub fn with_crossing_cost(self, cost: CrossingCost) -> Self {
        Self { spill: self.spill.with_cost(cost), ..self }
    }

    /// Returns the shares of requests that go to other zones.
    pub fn spill(&mut self) -> &mut Spill {
        &mut self.spill
    }

    fn state(&mut self, incarnation: &Incarnation) -> &mut TargetState {
        let state = self
            .targets
            .entry(incarnation.id.clone())
            .or_insert_with(|| TargetState::new(incarnation.clone()));
        if state.incarnation != *incarnation {
            let TargetState { in_flight, queued, urgent, .. } = *state;
            *state = TargetState { in_flight, queued, urgent, ..TargetState::new(incarnation.clone()) };
        }
        state
    }

    /// Checks whether a target may get one more request of this process, with a
    /// key that it owns or without a key. `peers` is the number of edge processes,
    /// `fill` how far the request may fill the target.
    ///
    /// # Errors
    ///
    /// The reason why the target gets no request now.
    pub fn check(
        &mut self,
        now: Time,
        target: &Target,
        has_key: bool,
        peers: u32,
        fill: FillFactor,
    ) -> Result<(), Denial> {
        if target.is_doubted || target.is_silent {
            return Err(Denial::Doubted);
        }
        let serves = if has_key { target.serves_keys(now) } else { target.is_open() };
        if !serves {
            return Err(Denial::Leaving);
        }
        let incarnation = &target.entry.incarnation;
        let quota = self.quota(now, incarnation);
        let phase = self.subsets.uniform(&incarnation.id);
        let rate = self.cold_rates.get(&target.entry.service);
        let cold = rate.and_then(|rate| ColdTerms::new(now, target, *rate, &self.fleet, has_key, phase));
        self.state(incarnation).check(now, target.entry.slots, quota, cold.as_ref(), peers, fill)
    }

    /// Sets the rates of cold targets by service. Services without one do not
    /// limit the requests to cold targets.
    pub fn set_cold_rates(&mut self, rates: HashMap<Arc<str>, RequestRate>) {
        self.cold_rates = rates;
    }

    /// Records an answer of the leader to a report that was sent at `reported_at`,
    /// with the share of this process and its tokens for cold targets.
    pub fn record_tokens(
        &mut self,
        now: Time,
        reported_at: Time,
        share: Option<Share>,
        grants: &[TokenGrant],
    ) {
        self.fleet.record_answer(reported_at, share);
        for grant in grants {
            self.state(&grant.incarnation).cold.grant(now, reported_at, grant);
        }
    }

    /// Returns the number of processes that the leader told for cold targets.
    pub fn told_count(&self) -> Option<u32> {
        self.fleet.count()
    }

    /// Returns when this process may send to a target that was denied as cold,
    /// as far as it knows.
    pub fn next_pass(&mut self, incarnation: &Incarnation) -> Time {
        self.state(incarnation).cold.next_pass()
    }

    /// Returns when this process may first send to any target of a service that
    /// were all denied as cold.
    pub fn first_pass(&mut self, now: Time, directory: &Directory, service: &str) -> Time {
        let cold = directory.of_service(service).filter(|t| t.is_open() && t.cold_until > now);
        let passes = cold.map(|t| self.next_pass(&t.entry.incarnation));
        passes.min().unwrap_or(now)
    }

    /// Returns whether a target may get one more most urgent request of this
    /// process with a key that it owns, see [`LocalLoads::check`].
    pub fn has_capacity(&mut self, now: Time, target: &Target, peers: u32) -> bool {
        self.check(now, target, true, peers, FillFactor::MAX).is_ok()
    }

    /// Returns the expected time of one more request with a body of `size`
    /// bytes, in seconds, weighted for distance, slow start and failures.
    pub fn expected_time(&mut self, now: Time, target: &Target, peers: u32, size: usize) -> f64 {
        let is_other_zone = target.entry.zone != self.zone;
        let slots = f64::from(target.entry.slots.max(1));
        // A target with a cold rate gets little work while it is cold, which it does
        // at once.
        let is_cold = target.cold_until > now && !self.cold_rates.contains_key(&target.entry.service);
        let state = self.state(&target.entry.incarnation);
        let ahead = state.requests(now, peers);
        let waiting = (ahead + 1.0 - slots).max(0.0);
        // While it has free slots, a target is only a little slower with each
        // further request; the term spreads requests over equal targets.
        let time = state.service_time * (1.0 + 0.3 * (ahead / slots).min(1.0) + waiting / slots);
        let time = time * state.slowdown.at(now);
        let time = if is_cold { time * COLD_FACTOR } else { time };
        let distance = if size < LARGE_BODY_BYTES_MIN { ZONE_FACTOR } else { ZONE_FACTOR_LARGE };
        let time = if is_other_zone { time * distance } else { time };
        time / (1.0 - state.failure_rate).max(0.05)
    }

    /// Returns a target of a service that may get one more request: the one with
    /// the least expected time among the first few in the order of this process,
    /// or among the next few if none of these may. With shares of the leader, the
    /// targets of one zone are considered after those of another, see
    /// [`Spill::places`]; the shares never leave out a target. Targets that the
    /// request has reached before are left out.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        directory: &'a Directory,
        service: &str,
        peers: u32,
        criteria: Criteria<'_>,
    ) -> Option<&'a Target> {
        let query = Query { now, peers, criteria, fill_max: f64::INFINITY };
        let chosen = self.choose_by_share(directory, service, query);
        if !self.cold_rates.contains_key(service) {
            return chosen;
        }
        // The slots of cold targets go round all processes, also those that do
        // not consider the target first.
        let is_cold = |t: &&Target| t.cold_until > now && !criteria.avoid.contains(&t.entry.incarnation);
        let cold = directory.of_service(service).filter(is_cold);
        self.choose_among(cold.chain(chosen), query)
    }

    /// Chooses by the shares of the leader, or by the order of this process without
    /// one.
    fn choose_by_share<'a>(
        &mut self,
        directory: &'a Directory,
        service: &str,
        query: Query<'_>,
    ) -> Option<&'a Target> {
        let Query { now, peers, criteria, .. } = query;
        let ranked = self.subsets.ranked(directory, service);
        let Some(users) = self.spill.zone_peers(now).map(|peers| ZONE_SENDERS_DIVISOR * peers) else {
            return self.choose_ranked(directory, &ranked, peers, query);
        };
        for place in self.spill.places(now, service, criteria.size) {
            let chosen = match &place {
                Place::Zone(zone) => {
                    let ranked = self.subsets.ranked_in(directory, service, zone);
                    self.choose_ranked(directory, &ranked, users, query)
                }
                Place::FreeSlot => {
                    let is_away = |id: &&Arc<str>| {
                        let target = directory.get(id);
                        target.is_some_and(|t| t.entry.zone != self.zone && t.cold_until <= now)
                    };
                    let away: Vec<Arc<str>> = ranked.iter().filter(is_away).cloned().collect();
                    self.choose_ranked(directory, &away, peers, Query { fill_max: 1.0, ..query })
                }
            };
            if let Some(target) = chosen {
                self.spill.count_sent(now, service, &target.entry.zone, Some(&place));
                return Some(target);
            }
        }
        let chosen = self.choose_ranked(directory, &ranked, peers, query)?;
        self.spill.count_sent(now, service, &chosen.entry.zone, None);
        Some(chosen)
    }

    /// Chooses among targets in their order, which `users` processes use.
    fn choose_ranked<'a>(
        &mut self,
        directory: &'a Directory,
        ranked: &[Arc<str>],
        users: u32,
        query: Query<'_>,
    ) -> Option<&'a Target> {
        let mut groups = ranked.chunks(subset::width(ranked.len(), users));
        groups.find_map(|ids| {
            let targets = ids.iter().filter_map(|id| directory.get(id));
            let candidates = targets.filter(|t| !query.criteria.avoid.contains(&t.entry.incarnation));
            self.choose_among(candidates, query)
        })
    }

    /// Returns why no target of a service gets a request without a key, if none
    /// does: the reason that ends first, or `None` without a target.
    pub fn denial(
        &mut self,
        now: Time,
        directory: &Directory,
        service: &str,
        peers: u32,
        fill: FillFactor,
    ) -> Option<Denial> {
        let mut first: Option<(Span, Denial)> = None;
        let mut silent = None;
        for target in directory.of_service(service) {
            if target.is_silent {
                // Others say when a request should return.
                silent = Some(Denial::Doubted);
                continue;
            }
            let Err(denial) = self.check(now, target, false, peers, fill) else { continue };
            let Some(rest) = denial.rest() else { return Some(denial) };
            if first.is_none_or(|(least, _)| rest < least) {
                first = Some((rest, denial));
            }
        }
        first.map(|(_, denial)| denial).or(silent)
    }

    fn choose_among<'a>(
        &mut self,
        candidates: impl Iterator<Item = &'a Target>,
        query: Query<'_>,
    ) -> Option<&'a Target> {
        let Query { now, peers, criteria, .. } = query;
        let mut best: Option<(f64, &Target)> = None;
        for target in candidates {
            if self.check(now, target, false, peers, criteria.fill).is_err() {
                continue;
            }
            let requests = self.state(&target.entry.incarnation).requests(now, peers);
            if requests >= query.fill_max * f64::from(target.entry.slots) {
                continue;
            }
            let expected_time = self.expected_time(now, target, peers, criteria.size);
            if best.is_none_or(|(least, _)| expected_time < least) {
                best = Some((expected_time, target));
            }
        }
        best.map(|(_, target)| target)
    }

    fn quota(&self, now: Time, incarnation: &Incarnation) -> Option<QuotaState> {
        self.quotas.get(&incarnation.id).copied().filter(|quota| quota.expiry > now)
    }

    /// Counts a request that is sent to a target, also against the quota, the
    /// limit that the target names, and what it takes while it is cold. Returns
    /// whether the last check took it for cold.
    pub fn begin(&mut self, now: Time, incarnation: &Incarnation, peers: u32) -> bool {
        let state = self.state(incarnation);
        state.in_flight += 1;
        state.watch.count_request(now);
        state.announced.begin(now, peers);
        let is_cold = state.cold.begin();
        if let Some(quota) = self.quotas.get_mut(&incarnation.id) {
            quota.left = quota.left.saturating_sub(1);
        }
        is_cold
    }

    /// Returns whether requests to a target are bounded by a quota, which may
    /// be 0.
    pub fn is_quota_limited(&self, now: Time, incarnation: &Incarnation) -> bool {
        self.quota(now, incarnation).is_some()
    }

    /// Sets a quota of 0 for a target that becomes the owner of keys whose
    /// requests are queued under quotas, unless it has a quota.
    pub fn begin_quota(&mut self, now: Time, incarnation: &Incarnation) {
        if self.quota(now, incarnation).is_none() {
            let quota = QuotaState { expiry: now.after(QUOTA_TTL), left: 0, queue_length: 0 };
            self.quotas.insert(incarnation.id.clone(), quota);
        }
    }

    /// Replaces all quotas by those that the leader sent. Other targets have
    /// none.
    pub fn set_quotas(&mut self, now: Time, quotas: &[TargetQuota]) {
        let expiry = now.after(QUOTA_TTL);
        let quota =
            |entry: &TargetQuota| QuotaState { expiry, left: entry.quota, queue_length: entry.queue_length };
        self.quotas = quotas.iter().map(|entry| (entry.target.clone(), quota(entry))).collect();
    }

    /// Renews the quotas: the leader has allotted some since, and the load of
    /// targets is as before as far as is known.
    pub fn renew_quotas(&mut self, now: Time, allotted: &Counts) {
        let expiry = now.after(QUOTA_TTL);
        self.quotas.retain(|_, quota| quota.expiry > now);
        for quota in self.quotas.values_mut() {
            (quota.expiry, quota.left) = (expiry, 0);
        }
        for (id, left) in allotted {
            let quota = self.quotas.entry(id.clone());
            quota.or_insert(QuotaState { expiry, left: 0, queue_length: 0 }).left = *left;
        }
    }

    /// Returns the time after which a refused request should return, if one that
    /// is queued for a target now would hardly be sent within `wait_max`, since
    /// the queue is too long. The queue has drained by then, also of the requests
    /// that were refused before.
    pub fn queue_drain_time(&mut self, now: Time, target: &Target, wait_max: Span) -> Option<Span> {
        let slots = f64::from(target.entry.slots.max(1));
        let incarnation = &target.entry.incarnation;
        let quota = self.quota(now, incarnation)?;
        let state = self.state(incarnation);
        let per_request = state.service_time * state.slowdown.mean() / slots;
        let wait = Span::from_micros((f64::from(quota.queue_length) * per_request * 1e6) as u64);
        let promised = state.promises.count(now).max(state.promises.told(now));
        let drained = wait + Span::from_micros((f64::from(promised) * per_request * 1e6) as u64);
        (quota.left == 0 && wait > wait_max).then_some(drained)
    }

    /// Records that a request that was refused returns after a time.
    pub fn promise(&mut self, now: Time, incarnation: &Incarnation, after: Span) {
        self.state(incarnation).promises.add(now.after(after));
    }

    /// Returns the refused requests that will return, for each target that has some.
    pub fn promised(&mut self, now: Time) -> Vec<(Arc<str>, u32)> {
        let count = |(id, state): (&Arc<str>, &mut TargetState)| {
            let count = state.promises.count(now);
            (count > 0).then(|| (id.clone(), count))
        };
        self.targets.iter_mut().filter_map(count).collect()
    }

    /// Applies how many refused requests of all processes will return, as the leader
    /// told.
    pub fn learn_promised(&mut self, now: Time, promised: &Counts) {
        for (id, state) in &mut self.targets {
            let count = promised.iter().find(|(other, _)| other == id).map_or(0, |(_, count)| *count);
            state.promises.learn(now, count);
        }
    }

    /// Counts a request that enters or leaves the queue for a target.
    pub fn count_queued(&mut self, incarnation: &Incarnation, enters: bool) {
        let state = self.state(incarnation);
        state.queued = if enters { state.queued + 1 } else { state.queued.saturating_sub(1) };
    }

    /// Counts a request of the most urgent rank that enters or leaves the queue for a
    /// target, beside [`LocalLoads::count_queued`].
    pub fn count_urgent(&mut self, incarnation: &Incarnation, enters: bool) {
        let state = self.state(incarnation);
        state.urgent = if enters { state.urgent + 1 } else { state.urgent.saturating_sub(1) };
    }

    /// Returns how many of the queued requests for each target have the most urgent
    /// rank.
    pub fn urgent_lengths(&self) -> Vec<(Arc<str>, u32)> {
        let some = self.targets.iter().filter(|(_, state)| state.urgent > 0);
        some.map(|(id, state)| (id.clone(), state.urgent)).collect()
    }

    /// Returns the queue length of this process for each target that has one.
    pub fn queue_lengths(&self) -> Vec<(Arc<str>, u32)> {
        let some = self.targets.iter().filter(|(_, state)| state.queued > 0);
        some.map(|(id, state)| (id.clone(), state.queued)).collect()
    }

    /// Counts the answer of a target without keys and the time that it took, after
    /// the report in it.
    pub fn count_answer(&mut self, now: Time, target: &Entry, bytes: usize, took: Span) {
        let slots = f64::from(target.slots);
        let fill = self.targets.get(&target.incarnation.id).map_or(0.0, |state| state.fill(slots));
        self.spill.record_fill(now, &target.service, &target.zone, fill);
        self.spill.count_answer(&target.service, bytes, took.scale(1.0 / fill.max(1.0)));
    }

    /// Records the end of an attempt at a target and the time that it took.
    /// `slots` are the target's slots. Returns the time at the usual speed and without
    /// queueing of an attempt that ended well.
    pub fn end(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        completion: Completion,
        took: Span,
        slots: u32,
    ) -> Option<Span> {
        let slots = f64::from(slots);
        let state = self.targets.get_mut(&incarnation.id)?;
        state.in_flight = state.in_flight.saturating_sub(1);
        if state.incarnation != *incarnation {
            return None;
        }
        let mut usual_time = None;
        let failed = match completion {
            Completion::Good => 0.0,
            Completion::Refused | Completion::Failed | Completion::Unreachable => 1.0,
            Completion::Cancelled => state.failure_rate,
        };
        state.failure_rate += (failed - state.failure_rate) * FAILURE_RATE_WEIGHT;
        match completion {
            Completion::Good => {
                // Time in the target's own queue is no sign of a slow target.
                let fill = state.fill(slots);
                let taken = took.as_secs_f64() / fill.max(1.0);
                let time = taken / state.slowdown.at(now);
                usual_time = Some(Span::from_micros((time * 1e6) as u64));
                state.service_time += (time - state.service_time) * SERVICE_TIME_WEIGHT;
                state.times.add(taken as f32);
                state.backoff = Span::ZERO;
                // This process may use the slot that became free again at once.
                if let Some(quota) = self.quotas.get_mut(&incarnation.id) {
                    quota.left += 1;
                }
            }
            Completion::Cancelled => {}
            Completion::Unreachable => {
                let backoff = if state.backoff.is_zero() { BACKOFF_MIN } else { state.backoff.scale(2.0) };
                state.backoff = backoff.min(BACKOFF_MAX);
                state.backoff_end = now.after(state.backoff);
            }
            Completion::Refused | Completion::Failed => {}
        }
        state.reported_load = 0.0;
        usual_time
    }

    /// Forgets failed attempts at a target that had stopped responding and answers
    /// again. It would get no requests otherwise while others have room, and so
    /// never show that it serves them.
    pub fn forgive(&mut self, incarnation: &Incarnation) {
        let state = self.state(incarnation);
        (state.failure_rate, state.backoff, state.backoff_end) = (0.0, Span::ZERO, Time::default());
    }

    /// Returns the expected time of the last request that was sent to a target, as
    /// a multiple of the usual time, for its slowness and its queue.
    pub fn time_factor(&mut self, now: Time, target: &Entry, peers: u32) -> f64 {
        let slots = f64::from(target.slots.max(1));
        let state = self.state(&target.incarnation);
        let waiting = (state.requests(now, peers) - slots).max(0.0);
        (1.0 + waiting / slots) * state.slowdown.at(now).max(state.slowdown.mean()).max(1.0)
    }

    /// Records a target's own report: the number of requests that run or wait
    /// there, and how long work takes, as a multiple of the usual time.
    pub fn record_report(&mut self, now: Time, incarnation: &Incarnation, requests: u32, slowdown: f64) {
        let state = self.state(incarnation);
        state.slowdown.record(now, slowdown);
        state.watch.record(now, slowdown);
        state.reported_load = f64::from(requests);
        state.others_reported = f64::from(requests.saturating_sub(state.in_flight));
        state.reported_at = now;
    }

    /// Records the limit that an answer of a target named, or that it named none;
    /// the answered request was sent at `sent_at`. Returns whether the limit has
    /// changed.
    pub fn observe_limit(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        limit: Option<RequestRate>,
        sent_at: Time,
    ) -> bool {
        let phase = self.subsets.uniform(&incarnation.id);
        let announced = &mut self.state(incarnation).announced;
        let last = announced.limit();
        announced.observe(now, limit, sent_at, phase);
        announced.limit() != last
    }

    /// Records that an answer of a target asked for a pause, or that it did not;
    /// the answered request was sent at `sent_at`.
    pub fn observe_pause(&mut self, now: Time, incarnation: &Incarnation, span: Option<Span>, sent_at: Time) {
        let phase = self.subsets.uniform(&incarnation.id);
        self.state(incarnation).announced.observe_pause(now, span, sent_at, phase);
    }

    /// Applies what other processes have observed of the limits of targets, as
    /// the leader said it after `sent_after`.
    pub fn learn_limits(
        &mut self,
        now: Time,
        directory: &Directory,
        reports: &[LimitReport],
        sent_after: Time,
    ) {
        for report in reports.iter().filter(|report| directory.current(&report.incarnation).is_some()) {
            let phase = self.subsets.uniform(&report.incarnation.id);
            let observed_at = sent_after.before(report.age());
            self.state(&report.incarnation).announced.learn(now, report.rate(), observed_at, phase);
        }
    }

    /// Returns what this process has observed of the limits of targets.
    pub fn limit_reports(&self, now: Time) -> Vec<LimitReport> {
        self.targets.values().filter_map(|state| state.announced.report(now, &state.incarnation)).collect()
    }

    /// Returns a number between 0 and 1 that is random for each process and
    /// target.
    pub fn uniform(&self, id: &Arc<str>) -> f64 {
        self.subsets.uniform(id)
    }

    /// Returns this process's requests in flight at each target that has some.
    pub fn in_flight(&self) -> Vec<(Arc<str>, u32)> {
        let some = self.targets.iter().filter(|(_, state)| state.in_flight > 0);
        some.map(|(id, state)| (id.clone(), state.in_flight)).collect()
    }

    /// Keeps the load of a target to which this process has sent nothing. Without
    /// it the target counts as idle.
    pub fn track(&mut self, incarnation: &Incarnation) {
        self.state(incarnation);
    }

    /// Records the requests of all processes at a target as the leader counts
    /// them, if they exceed the current estimate.
    pub fn record_total(&mut self, now: Time, id: &str, total: u32, peers: u32) {
        let Some(state) = self.targets.get_mut(id) else { return };
        let others = f64::from(total.saturating_sub(state.in_flight));
        if others > state.others(now, peers) {
            state.others_reported = others;
            state.reported_at = now;
        }
    }

    /// Returns the service times that were measured at targets since the last call,
    /// at the speed that they had; recent ones if they are for a new leader.
    pub fn take_service_times(&mut self, for_new_leader: bool) -> Vec<(Arc<str>, TimeSum)> {
        let times = |(id, state): (&Arc<str>, &mut TargetState)| {
            let times = state.times.take(for_new_leader);
            (!times.is_empty()).then(|| (id.clone(), times))
        };
        self.targets.iter_mut().filter_map(times).collect()
    }

    /// Returns the slow targets, and changes since the last call. It must be called
    /// every second.
    pub fn watch_slow(&mut self, now: Time, directory: &Directory) -> SlowReport {
        let (mut services, mut changes) = (BTreeMap::<_, (SlowTargets, WorkSplit)>::new(), Vec::new());
        for state in self.targets.values_mut() {
            let Some(target) = directory.current(&state.incarnation) else { continue };
            let (is_slow, work, change) = state.watch.take(now, state.slowdown);
            changes.extend(change.map(|change| (state.incarnation.clone(), change)));
            let (slow, sum) = services.entry(target.entry.service.clone()).or_default();
            slow.count += usize::from(is_slow);
            let slowdown = if is_slow { state.slowdown.reported() } else { 1.0 };
            slow.slowdown_max = slow.slowdown_max.max(slowdown);
            sum.add(work);
        }
        let with_ratio = |(service, (slow, work)): (Arc<str>, (SlowTargets, WorkSplit))| {
            (service, SlowTargets { work_ratio: work.ratio(), ..slow })
        };
        SlowReport { services: services.into_iter().map(with_ratio).collect(), changes }
    }

    /// Removes targets that the directory does not have and for which no
    /// request is in flight or queued.
    pub fn retain(&mut self, directory: &Directory) {
        self.targets.retain(|id, state| state.in_flight + state.queued > 0 || directory.get(id).is_some());
    }
}
