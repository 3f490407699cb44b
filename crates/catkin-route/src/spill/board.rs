//! The leader's part: how much of each zone's requests should go where.

use {
    super::{CrossingCost, PackedShare, SHARE_UNIT, ZoneReport, ZoneTable},
    crate::directory::{Directory, Target},
    catkin::types::{Span, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        sync::Arc,
    },
};

/// Least time between two computations of the shares.
const ROUND_INTERVAL: Span = Span::from_millis(200);

/// Longest time that counts as one round, so that a pause allows no large step.
const ROUND_MAX: Span = Span::from_millis(500);

/// Time after which another leader's shares count as unknown.
const SHARES_AGE_MAX: Span = Span::from_secs(2);

/// Age of its last report from which on a process is not counted.
const REPORT_AGE_MAX: Span = Span::from_secs(3);

/// Time for which the first report of a process counts.
const REPORT_SPAN_FIRST: Span = Span::from_millis(500);

/// Answers per second from which on their mean time is used.
const ANSWER_RATE_MIN: f64 = 2.0;

/// Time constant of the mean request rate of a process. Bursts last some
/// seconds, and a report comes every half second.
const RATE_TIME_S: f64 = 0.4;

/// Largest rise of a share in a second: a burst of five seconds is to be
/// relieved in its first second or two.
const RISE_PER_S: f64 = 0.4;

/// Largest fall of a share in a second. With need that changes from zone to zone
/// each second, shares stay near their mean.
const FALL_PER_S: f64 = 0.2;

/// Difference to the wanted share up to which a share stays as it is: request
/// rates of a second vary by some hundredths by chance.
const DEAD_BAND: f64 = 0.04;

/// Factor on the cost of a crossing that is in use, so that a crossing does not open and
/// close at the same load.
const OPEN_WAY_FACTOR: f64 = 0.7;

/// The same factor for a crossing that is not in use: by chance a zone with room gets
/// a tenth more requests for a second.
const CLOSED_WAY_FACTOR: f64 = 2.0;

/// Usage of its slots up to which a zone takes requests of others. The rest is
/// left for bursts of its own callers until the next reports arrive.
const RECEIVE_USAGE_MAX: f64 = 0.8;

/// Usage from which on the wait grows in proportion to the excess: the formula
/// for a steady queue has no end there.
const STEADY_USAGE_MAX: f64 = 0.95;

/// Time in which requests beyond the capacity queue up, in the estimate of the
/// wait, in seconds: about the time until shares have changed.
const OVERLOAD_TIME_S: f64 = 2.0;

/// Targets whose slots a request can choose from, in the estimate of the wait:
/// a process considers at least four and sees the load of others late.
const CHOICES: f64 = 2.0;

/// Service time of a zone's targets from which on it counts, as a multiple of the
/// mean: a zone with room keeps its requests although others are a little faster.
const SLOW_FACTOR: f64 = 1.5;

/// Capacity of a cold target whose limit is unknown, as a share of the usual
/// one.
const COLD_SHARE: f64 = 0.2;

/// Service time of a target if none of its service was measured, in seconds.
const SERVICE_TIME_DEFAULT_S: f64 = 0.1;

/// Parts in which requests are moved in the computation, for each zone.
const PARTS: f64 = 50.0;

/// Change of a share that is logged.
const LOGGED_CHANGE: f64 = 0.2;

/// What the leader knows of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetState {
    /// Requests of all processes at the target.
    pub requests: u32,
    /// Mean service time in seconds, if measured.
    pub service_time: Option<f64>,
    /// Requests per second that it takes while it is cold, if limited.
    pub cold_rate: Option<f64>,
}

/// Last report of a process.
#[derive(Debug)]
struct Process {
    zone: Arc<str>,
    reported_at: Time,
    rates: BTreeMap<Arc<str>, Rates>,
}

/// What is asked of a service per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    requests: f64,
    kilobytes: f64,
    answers: f64,
    /// Time that targets work, in seconds.
    work: f64,
}

impl Rates {
    /// Returns the weighted sum of two rates.
    fn mix(self, weight: f64, other: Self, other_weight: f64) -> Self {
        Self {
            requests: self.requests * weight + other.requests * other_weight,
            kilobytes: self.kilobytes * weight + other.kilobytes * other_weight,
            answers: self.answers * weight + other.answers * other_weight,
            work: self.work * weight + other.work * other_weight,
        }
    }
}

/// One service in one zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneLoad {
    /// Requests per second of the zone's processes.
    rate: f64,
    /// Requests per second that the zone's targets can serve.
    capacity: f64,
    /// Requests that wait at the zone's targets.
    waiting: f64,
    /// Mean service time of the zone's targets.
    seconds: f64,
    /// Time by which they are much slower than those of all zones.
    excess: f64,
    /// Mean slots of a target.
    slots: f64,
}

impl ZoneLoad {
    /// Returns the expected wait of one more request, in seconds, if the zone's
    /// targets get `rate` requests per second: that of a steady queue with
    /// several servers (Sakasegawa), what waits already, what piles up beyond the
    /// capacity, and the excess of slow targets.
    fn wait(&self, rate: f64) -> f64 {
        if self.capacity <= 0.0 {
            return f64::MAX;
        }
        let usage = rate / self.capacity;
        let servers = (CHOICES * self.slots).max(1.0);
        let steady = usage.min(STEADY_USAGE_MAX);
        let wait = self.seconds * steady.powf((2.0 * (servers + 1.0)).sqrt()) / (servers * (1.0 - steady));
        self.excess
            + wait.max(self.waiting / self.capacity)
            + (usage - STEADY_USAGE_MAX).max(0.0) * OVERLOAD_TIME_S
    }

    /// Returns the rate up to which the zone takes requests of others.
    fn receive_max(&self) -> f64 {
        RECEIVE_USAGE_MAX * self.capacity
    }
}

/// A share that changed much, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// The service.
    pub service: Arc<str>,
    /// Zone of the callers.
    pub from: Arc<str>,
    /// Zone of the targets.
    pub to: Arc<str>,
    /// The new share.
    pub share: f64,
}

/// Service, zone of the callers, and zone of the targets.
type CrossingKey = (Arc<str>, Arc<str>, Arc<str>);

/// The leader's view of the demand of all zones, and the shares that follow.
#[derive(Debug, Default)]
pub struct SpillBoard {
    cost: CrossingCost,
    processes: BTreeMap<Arc<str>, Process>,
    shares: BTreeMap<CrossingKey, f64>,
    /// Shares as last logged.
    logged: BTreeMap<CrossingKey, f64>,
    updated_at: Time,
    table: Rc<ZoneTable>,
}

impl SpillBoard {
    /// Creates a board for a cost of the crossing between zones.
    pub fn new(cost: CrossingCost) -> Self {
        Self { cost, ..Self::default() }
    }

    /// Records the report of a process.
    pub fn report(&mut self, now: Time, vm: &Arc<str>, report: &ZoneReport) {
        let reported_at = now.before(REPORT_SPAN_FIRST);
        let new = || Process { zone: report.zone.clone(), reported_at, rates: BTreeMap::new() };
        let process = self.processes.entry(vm.clone()).or_insert_with(new);
        let seconds = now.since(process.reported_at).as_secs_f64().max(0.01);
        let weight = 1.0 - (-seconds / RATE_TIME_S).exp();
        process.reported_at = now;
        for rates in process.rates.values_mut() {
            *rates = rates.mix(1.0 - weight, Rates::default(), 0.0);
        }
        for (service, demand) in &report.demands {
            let rates = process.rates.entry(service.clone()).or_default();
            let counts = Rates {
                requests: f64::from(demand.requests),
                kilobytes: f64::from(demand.kilobytes),
                answers: f64::from(demand.answers),
                work: f64::from(demand.work_ms) / 1e3,
            };
            *rates = rates.mix(1.0, counts, weight / seconds);
        }
        process.rates.retain(|_, rates| rates.requests + rates.answers > 0.01);
        self.processes.retain(|_, process| now.since(process.reported_at) < REPORT_AGE_MAX);
    }

    /// Returns whether the shares of this board are too old to go on with.
    pub fn is_outdated(&self, now: Time) -> bool {
        now.since(self.updated_at) > SHARES_AGE_MAX
    }

    /// Starts from the shares that another leader has sent, if they are known.
    pub fn start(&mut self, now: Time, table: Option<&ZoneTable>) {
        self.updated_at = now;
        self.shares.clear();
        self.table = Rc::new(table.cloned().unwrap_or_default());
        let Some(table) = table else { return };
        let zone = |index: u8| table.zones.get(usize::from(index)).map(|(zone, _)| zone.clone());
        for (service, shares) in &table.shares {
            for (from, to, share) in shares {
                let (Some(from), Some(to)) = (zone(*from), zone(*to)) else { continue };
                self.shares.insert((service.clone(), from, to), f64::from(*share) * SHARE_UNIT);
            }
        }
    }

    /// Returns the shares for all processes; they are computed again if the last
    /// time is long enough ago. `services` are those without keys.
    pub fn table(
        &mut self,
        now: Time,
        directory: &Directory,
        services: &[Arc<str>],
        state: impl Fn(&Target) -> TargetState,
    ) -> Rc<ZoneTable> {
        let passed = now.since(self.updated_at);
        if passed < ROUND_INTERVAL {
            return self.table.clone();
        }
        self.updated_at = now;
        let target_zones: BTreeSet<&Arc<str>> = directory.all().map(|target| &target.entry.zone).collect();
        if target_zones.len() < 2 {
            self.shares.clear();
            self.table = Rc::default();
            return self.table.clone();
        }
        let process_zones = self.processes.values().map(|process| &process.zone);
        let zones: BTreeSet<Arc<str>> = target_zones.into_iter().chain(process_zones).cloned().collect();
        let zones: Vec<Arc<str>> = zones.into_iter().take(usize::from(u8::MAX)).collect();
        self.shares.retain(|(service, from, to), _| {
            services.contains(service) && zones.contains(from) && zones.contains(to)
        });
        let mut table = ZoneTable { zones: Vec::new(), shares: Vec::new() };
        for service in services {
            let shares = self.update(now, passed.min(ROUND_MAX), directory, service, &zones, &state);
            if !shares.is_empty() {
                table.shares.push((service.clone(), shares));
            }
        }
        let count = |zone: &Arc<str>| self.processes.values().filter(|p| p.zone == *zone).count();
        table.zones =
            zones.iter().map(|z| (z.clone(), u16::try_from(count(z)).unwrap_or(u16::MAX))).collect();
        self.table = Rc::new(table);
        self.table.clone()
    }

    /// Returns the shares that changed much since they were last returned, and
    /// those that ended.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        let keys: BTreeSet<CrossingKey> = self.shares.keys().chain(self.logged.keys()).cloned().collect();
        let mut changes = Vec::new();
        for key in keys {
            let share = self.shares.get(&key).copied().unwrap_or(0.0);
            let last = self.logged.get(&key).copied().unwrap_or(0.0);
            if (share - last).abs() < LOGGED_CHANGE && !(share == 0.0 && last > 0.0) {
                continue;
            }
            if share > 0.0 {
                self.logged.insert(key.clone(), share);
            } else {
                self.logged.remove(&key);
            }
            let (service, from, to) = key;
            changes.push(ShareChange { service, from, to, share });
        }
        changes
    }

    /// Moves the shares of a service towards the wanted ones.
    fn update(
        &mut self,
        now: Time,
        passed: Span,
        directory: &Directory,
        service: &Arc<str>,
        zones: &[Arc<str>],
        state: &impl Fn(&Target) -> TargetState,
    ) -> Vec<PackedShare> {
        let loads = self.zone_loads(now, directory, service, zones, state);
        let key = |i: usize, j: usize| (service.clone(), zones[i].clone(), zones[j].clone());
        let n = zones.len();
        let mut shares: Vec<Vec<f64>> = (0..n)
            .map(|i| (0..n).map(|j| self.shares.get(&key(i, j)).copied().unwrap_or(0.0)).collect())
            .collect();
        let all = self.rates(service, None);
        let kilobytes = all.kilobytes / all.requests.max(1.0);
        let wanted = wanted_shares(&loads, &shares, self.cost.seconds(kilobytes));
        let seconds = passed.as_secs_f64();
        for ((shares, wanted), load) in shares.iter_mut().zip(&wanted).zip(&loads) {
            // Nothing can stay in a zone without capacity; its shares only say where
            // requests go.
            let is_free = load.capacity <= 0.0;
            for (share, wanted) in shares.iter_mut().zip(wanted) {
                *share = if is_free { *wanted } else { next_share(*share, *wanted, seconds) };
            }
        }
        limit_shares(&loads, &mut shares);
        let mut packed = Vec::new();
        for (i, shares) in shares.iter().enumerate() {
            for (j, share) in shares.iter().enumerate() {
                let units = (share / SHARE_UNIT).round() as u8;
                if units > 0 {
                    self.shares.insert(key(i, j), *share);
                    packed.push((i as u8, j as u8, units));
                } else {
                    self.shares.remove(&key(i, j));
                }
            }
        }
        packed
    }

    /// Returns what the processes of a zone ask of a service, or those of all
    /// zones.
    fn rates(&self, service: &str, zone: Option<&str>) -> Rates {
        let of_zone = |process: &&Process| zone.is_none_or(|zone| *process.zone == *zone);
        let rates = self.processes.values().filter(of_zone).filter_map(|process| process.rates.get(service));
        rates.fold(Rates::default(), |sum, rates| sum.mix(1.0, *rates, 1.0))
    }

    fn zone_loads(
        &self,
        now: Time,
        directory: &Directory,
        service: &str,
        zones: &[Arc<str>],
        state: &impl Fn(&Target) -> TargetState,
    ) -> Vec<ZoneLoad> {
        let targets: Vec<(&Target, TargetState)> =
            directory.of_service(service).filter(|t| t.is_open()).map(|t| (t, state(t))).collect();
        let measured = || targets.iter().filter_map(|(_, state)| state.service_time);
        let count = measured().count();
        let mean = if count > 0 { measured().sum::<f64>() / count as f64 } else { SERVICE_TIME_DEFAULT_S };
        // The service times of single targets tell them from one another, but
        // many processes need long to learn them.
        let Rates { answers, work, .. } = self.rates(service, None);
        let usual = if answers >= ANSWER_RATE_MIN { work / answers } else { mean };
        // Slots, and slots divided by the service time.
        let speed = |target: &Target, state: &TargetState| {
            let slots = f64::from(target.entry.slots.max(1));
            let ratio = state.service_time.map_or(1.0, |time| time / mean);
            (slots, slots / (usual * ratio).max(0.001))
        };
        let sum = |sum: (f64, f64), next: (f64, f64)| (sum.0 + next.0, sum.1 + next.1);
        let all = targets.iter().map(|(target, state)| speed(target, state)).fold((0.0, 0.0), sum);
        let load = |zone: &Arc<str>| {
            let own: Vec<_> = targets.iter().filter(|(target, _)| target.entry.zone == *zone).collect();
            let (slots, speeds) = own.iter().map(|(t, state)| speed(t, state)).fold((0.0, 0.0), sum);
            let mut load = ZoneLoad { slots: slots / own.len().max(1) as f64, ..ZoneLoad::default() };
            if speeds > 0.0 {
                load.seconds = slots / speeds;
                load.excess = (load.seconds - SLOW_FACTOR * all.0 / all.1).max(0.0);
            }
            let mut requests = 0.0;
            for (target, state) in own {
                let (_, usual) = speed(target, state);
                let cold = state.cold_rate.map_or(COLD_SHARE * usual, |rate| rate.min(usual));
                load.capacity += if target.cold_until > now { cold } else { usual };
                requests += f64::from(state.requests);
            }
            // Requests that wait at a slow target beside free slots of others show no
            // lack of room.
            load.waiting = (requests - slots).max(0.0);
            load.rate = self.rates(service, Some(zone)).requests;
            load
        };
        zones.iter().map(load).collect()
    }
}

/// Returns the shares that serve all zones best: requests move in small parts,
/// each on the crossing that saves the most, as long as it saves more than it costs.
fn wanted_shares(loads: &[ZoneLoad], current: &[Vec<f64>], cost: f64) -> Vec<Vec<f64>> {
    let n = loads.len();
    let mut flows = vec![vec![0.0; n]; n];
    let mut rates: Vec<f64> = loads.iter().map(|load| load.rate).collect();
    let mut home = rates.clone();
    let part = rates.iter().sum::<f64>() / (PARTS * n as f64);
    if part <= 0.0 {
        return flows;
    }
    let mut waits: Vec<f64> = loads.iter().zip(&rates).map(|(load, rate)| load.wait(*rate)).collect();
    for _ in 0..(PARTS as usize * n) {
        let mut best: Option<(f64, usize, usize)> = None;
        for i in (0..n).filter(|i| home[*i] >= part) {
            for j in (0..n).filter(|j| *j != i && rates[*j] + part <= loads[*j].receive_max()) {
                let factor = if current[i][j] > 0.0 { OPEN_WAY_FACTOR } else { CLOSED_WAY_FACTOR };
                let saved = waits[i] - waits[j] - cost * factor;
                if saved > 0.0 && best.is_none_or(|(most, ..)| saved > most) {
                    best = Some((saved, i, j));
                }
            }
        }
        let Some((_, i, j)) = best else { break };
        (home[i], rates[i], rates[j]) = (home[i] - part, rates[i] - part, rates[j] + part);
        flows[i][j] += part;
        for k in [i, j] {
            waits[k] = loads[k].wait(rates[k]);
        }
    }
    for (flows, load) in flows.iter_mut().zip(loads) {
        for flow in flows {
            *flow /= load.rate.max(part);
        }
    }
    flows
}

/// Returns the next share on the crossing to the wanted one.
fn next_share(share: f64, wanted: f64, seconds: f64) -> f64 {
    if (wanted - share).abs() <= DEAD_BAND && wanted > 0.0 {
        return share;
    }
    if wanted == 0.0 && share <= DEAD_BAND {
        return 0.0;
    }
    (share + (wanted - share).clamp(-FALL_PER_S * seconds, RISE_PER_S * seconds)).clamp(0.0, 1.0)
}

/// Lowers shares at once by which a zone would get more than it has room for,
/// as demand may change faster than shares.
fn limit_shares(loads: &[ZoneLoad], shares: &mut [Vec<f64>]) {
    for shares in shares.iter_mut() {
        let sum: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|share| *share /= sum.max(1.0));
    }
    for (j, load) in loads.iter().enumerate() {
        let away: f64 = shares[j].iter().sum();
        let room = (load.receive_max() - load.rate * (1.0 - away)).max(0.0);
        let sent: f64 = shares.iter().zip(loads).map(|(shares, load)| shares[j] * load.rate).sum();
        if sent > room {
            shares.iter_mut().for_each(|shares| shares[j] *= room / sent);
        }
    }
}
