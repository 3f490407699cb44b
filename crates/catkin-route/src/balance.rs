//! Load balancing: which keys move from a heavily used target to a little used
//! one.

use {
    crate::{
        announced::{LimitBoard, LimitReport},
        directory::{Directory, Incarnation, Target},
        granter::{Granter, OwnedRange},
        owners::Row,
        rate::RequestRate,
        service_time::{ServiceTimes, TimeSum},
    },
    catkin::types::{Span, Time},
    std::{collections::HashMap, sync::Arc},
};

const KEY_COUNT: usize = 1 << 16;

/// Request rate that is assumed for each key in addition to the measured one,
/// in requests per second, so that idle keys are spread by their number.
const IDLE_RATE_PER_S: f32 = 1e-4;

/// Time between two calls of [`FleetLoads::decay`].
pub const DECAY_INTERVAL: Span = Span::from_millis(200);

/// Share of the measured rates that remains after [`DECAY_INTERVAL`]. With 0.8,
/// two thirds of a new load show after a second.
const RATE_RETAINED: f32 = 0.8;

/// Usage of a target's slots up to which its keys stay: requests hardly wait
/// there, and keys that move can't be served until their running work has
/// ended. Service times include the slow periods of targets, so that the usage is
/// above the share of the slots that are taken in between.
const MOVE_USAGE_MIN: f32 = 0.7;

/// The same bound as a multiple of the mean usage.
const MOVE_MEAN_FACTOR: f32 = 1.25;

/// Upper bound on the usage of the new owner after a move, as a share of the
/// old owner's usage before it, so that a single hot key does not move from one
/// target to the next.
const DEST_USAGE_RATIO_MAX: f32 = 0.85;

/// Share of a target's request rate above which its busiest key is hot and
/// moves apart from the others.
const HOT_SHARE_MIN: f32 = 0.4;

/// Usage by a range of a hot key's owner above which the range moves away from
/// the hot key.
const HOT_REST_USAGE_MIN: f32 = 0.05;

/// Usage of a target's slots from which on its hot key moves, if no other keys
/// can move instead. Nobody serves the key while its running work ends.
const HOT_MOVE_USAGE_MIN: f32 = 0.85;

/// Upper bound on the usage of the hot key's new owner after the move, as a
/// share of the old owner's usage.
const HOT_DEST_RATIO_MAX: f32 = 0.8;

/// Time for which a hot key stays after a move, so that the load that the move
/// caused can be measured.
const HOT_SETTLE_TIME: Span = Span::from_millis(1_500);

/// Least limit that is told from a lower one, in requests per second.
const LIMIT_MIN_PER_S: f32 = 0.1;

/// Number of ranges into which all keys are cut when they get their first
/// owners. Busy keys are close to one another, so each target gets several
/// distant ranges.
const INITIAL_RANGES: usize = 128;

/// Most ranges of one target at that time.
const TARGET_RANGES_MAX: usize = 8;

/// Moves that one round of balancing may start in a small fleet.
const ROUND_MOVES_MIN: usize = 8;

/// Number of targets per move in a round in a larger fleet.
const TARGETS_PER_MOVE: usize = 8;

/// Longest rest of the slow start with which a new target may get keys.
const COLD_LEFT_MAX: Span = Span::from_millis(1_500);

/// Part of its cold rate up to which a cold target may get keys; the rest is for
/// rates that rise.
const COLD_USAGE_MAX: f32 = 0.9;

/// Request rates of keys and service times of targets, as all processes of the
/// fleet report them to the leader.
#[derive(Debug, Default)]
pub struct FleetLoads {
    rates: HashMap<Arc<str>, Vec<f32>>,
    service_times: ServiceTimes,
    limits: LimitBoard,
    /// Rates of cold targets by service, for services that name one.
    cold_rates: HashMap<Arc<str>, RequestRate>,
}

impl FleetLoads {
    /// Sets the rates of cold targets by service.
    pub fn set_cold_rates(&mut self, rates: HashMap<Arc<str>, RequestRate>) {
        self.cold_rates = rates;
    }

    /// Returns the rate that a target takes, if it is cold and its service names
    /// one.
    fn cold_rate(&self, now: Time, target: &Target) -> Option<f32> {
        let rate = self.cold_rates.get(&target.entry.service).filter(|_| target.cold_until > now)?;
        Some(rate.per_second() as f32)
    }

    /// Adds requests for a key that came since the last call of
    /// [`FleetLoads::decay`].
    pub fn add_requests(&mut self, service: &Arc<str>, key: u16, requests: f32) {
        let rates = self.rates.entry(service.clone()).or_insert_with(|| vec![0.0; KEY_COUNT]);
        rates[usize::from(key)] += requests * (1.0 - RATE_RETAINED) / DECAY_INTERVAL.as_secs_f64() as f32;
    }

    /// Decays all rates; to be called after every [`DECAY_INTERVAL`].
    pub fn decay(&mut self) {
        for rate in self.rates.values_mut().flatten() {
            *rate *= RATE_RETAINED;
        }
    }

    /// Records service times that a process has measured at a target.
    pub fn record_service_times(&mut self, target: &Arc<str>, times: TimeSum) {
        self.service_times.record(target, times);
    }

    /// Returns a target's mean service time, in seconds, if it was measured.
    pub fn service_time(&self, target: &str) -> Option<f32> {
        self.service_times.mean(target)
    }

    /// Records what a process has observed of a target's limit.
    pub fn record_limit(&mut self, now: Time, report: &LimitReport) {
        self.limits.record(now, report);
    }

    /// Returns the newest observations of limits, for the processes.
    pub fn limit_reports(&self, now: Time) -> Vec<LimitReport> {
        self.limits.reports(now)
    }

    /// Removes targets that the directory does not have.
    pub fn retain(&mut self, now: Time, directory: &Directory) {
        self.service_times.retain(|id| directory.get(id).is_some());
        self.limits.retain(now, directory);
    }

    /// Returns the estimated service time of a target divided by its slots, in
    /// seconds. Times the request rate it is the usage of the slots. A target
    /// that names a limit is fully used at that rate, and a cold one at the cold
    /// rate.
    fn seconds_per_slot(&self, now: Time, target: &Target, service_mean: f32) -> f32 {
        let incarnation = &target.entry.incarnation;
        let seconds = self.service_times.estimate(&incarnation.id, service_mean).clamp(0.005, 2.0);
        let named = self.limits.limit(incarnation).map(|limit| limit.per_second() as f32);
        let limit = named.into_iter().chain(self.cold_rate(now, target)).reduce(f32::min);
        let limited = limit.map_or(0.0, |limit| 1.0 / limit.max(LIMIT_MIN_PER_S));
        limited.max(seconds / target.entry.slots.max(1) as f32)
    }

    fn range_rate(&self, service: &str, from: u16, to: u16) -> f32 {
        let idle = IDLE_RATE_PER_S * (f32::from(to) - f32::from(from) + 1.0);
        let Some(rates) = self.rates.get(service) else { return idle };
        idle + rates[usize::from(from)..=usize::from(to)].iter().sum::<f32>()
    }

    fn key_rate(&self, service: &str, key: u16) -> f32 {
        IDLE_RATE_PER_S + self.rates.get(service).map_or(0.0, |rates| rates[usize::from(key)])
    }
}

#[derive(Debug)]
struct TargetLoad {
    incarnation: Incarnation,
    /// Mean service time divided by the number of slots.
    seconds_per_slot: f32,
    /// Requests per second for the keys of the target.
    rate: f32,
    /// Number of ranges that the target owns.
    range_count: usize,
    /// Whether any of its ranges may be moved.
    movable: bool,
    /// Whether little enough of the slow start is left for it to get keys.
    may_get_keys: bool,
    /// Whether requests to it are limited because it is cold.
    is_cold: bool,
}

impl TargetLoad {
    fn usage(&self) -> f32 {
        self.rate * self.seconds_per_slot
    }

    /// Returns the request rate by which the target's rate may grow, unless it is
    /// not limited.
    fn rate_left(&self) -> f32 {
        if self.is_cold { COLD_USAGE_MAX / self.seconds_per_slot - self.rate } else { f32::INFINITY }
    }
}

/// The usage of the targets of one service.
#[derive(Debug)]
pub struct TargetLoads<'a> {
    service: &'a str,
    measured: &'a FleetLoads,
    list: Vec<TargetLoad>,
}

impl<'a> TargetLoads<'a> {
    /// Starts with targets that own no keys.
    pub fn new(now: Time, service: &'a str, open: &[&Target], measured: &'a FleetLoads) -> Self {
        let ids = open.iter().map(|target| &*target.entry.incarnation.id);
        let service_mean = measured.service_times.service_mean(ids);
        let target_load = |t: &&Target| TargetLoad {
            incarnation: t.entry.incarnation.clone(),
            seconds_per_slot: measured.seconds_per_slot(now, t, service_mean),
            rate: 0.0,
            range_count: 0,
            movable: true,
            may_get_keys: true,
            is_cold: measured.cold_rate(now, t).is_some(),
        };
        Self { service, measured, list: open.iter().map(target_load).collect() }
    }

    /// Adds the request rate of a row to its owner.
    pub fn add(&mut self, row: &Row) {
        let rate = self.measured.range_rate(self.service, row.from, row.to);
        let incarnation = row.incarnation();
        if let Some(load) = self.list.iter_mut().find(|p| p.incarnation == incarnation) {
            load.rate += rate;
            load.range_count += 1;
        }
    }

    /// Cuts a range into pieces of about the load that one target should have,
    /// and assigns each to the target that is least used by then. Returns the
    /// first key, last key and owner of each piece.
    pub fn divide(&self, from: u16, to: u16) -> Vec<(u16, u16, Incarnation)> {
        let mut usages: Vec<(f32, &TargetLoad)> = self.list.iter().map(|p| (p.usage(), p)).collect();
        let total: f32 = self.measured.range_rate(self.service, from, to);
        let all: f32 = total + self.list.iter().map(|p| p.rate).sum::<f32>();
        let target_count = self.list.len().max(1);
        let is_first = total > all / 2.0;
        let ranges = if is_first { (INITIAL_RANGES / target_count).clamp(1, TARGET_RANGES_MAX) } else { 1 };
        let piece_rate = all / (target_count * ranges) as f32;
        let mut pieces = Vec::new();
        let (mut start, mut sum) = (from, 0.0);
        for key in from..=to {
            sum += self.measured.key_rate(self.service, key);
            if sum < 0.999 * piece_rate && key < to {
                continue;
            }
            // A piece that is little for a warm target may be much for a cold one.
            let usage_after = |usage: &(f32, &TargetLoad)| {
                usage.0 + if usage.1.is_cold { sum * usage.1.seconds_per_slot } else { 0.0 }
            };
            usages.sort_by(|a, b| usage_after(a).total_cmp(&usage_after(b)));
            if let Some(least) = usages.first_mut() {
                least.0 += sum * least.1.seconds_per_slot;
                pieces.push((start, key, least.1.incarnation.clone()));
            }
            (start, sum) = (key.saturating_add(1), 0.0);
        }
        pieces
    }
}

/// A range of keys that should move to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key of the range.
    pub from: u16,
    /// Last key of the range, inclusive.
    pub to: u16,
    /// The incarnation that becomes the owner.
    pub dest: Incarnation,
}

/// Returns the moves of keys of one service that should start now, from the
/// most used to the least used targets.
pub fn plan(
    now: Time,
    service: &str,
    granter: &Granter,
    directory: &Directory,
    loads: &FleetLoads,
) -> Vec<Move> {
    let open: Vec<&Target> = directory
        .of_service(service)
        .filter(|t| t.is_open() && t.grace_end.is_none() && !granter.is_suspected(&t.entry.incarnation))
        .collect();
    let mut loads = TargetLoads::new(now, service, &open, loads);
    let mut ranges = granter.ranges(service);
    for range in &ranges {
        loads.add(&range.row);
    }
    for load in &mut loads.list {
        load.movable =
            ranges.iter().any(|range| range.movable && range.row.incarnation() == load.incarnation);
    }
    for (load, target) in loads.list.iter_mut().zip(&open) {
        load.may_get_keys = target.cold_until.since(now) <= COLD_LEFT_MAX;
    }
    // Where all are cold, the keys of a busy one are served sooner by another.
    let is_cold = loads.list.iter().all(|load| load.is_cold);
    loads.list.iter_mut().for_each(|load| load.may_get_keys |= is_cold);
    let mut moves = Vec::new();
    let moves_max = ROUND_MOVES_MIN.max(open.len() / TARGETS_PER_MOVE);
    while moves.len() < moves_max {
        let Some((src, low)) = next_pair(&loads) else { break };
        match next_move(now, &mut loads, &mut ranges, src, low) {
            Some(next) => moves.push(next),
            // Its hot key can't move now. Less used targets may have keys that can.
            None => loads.list[src].movable = false,
        }
    }
    moves
}

/// A key that causes much of its owner's load.
#[derive(Clone, Copy, Debug)]
struct HotKey {
    key: u16,
    rate: f32,
}

/// Returns the busiest key of a target if its share of the target's request
/// rate makes it hot.
fn find_hot_key(loads: &TargetLoads<'_>, ranges: &[OwnedRange], load: &TargetLoad) -> Option<HotKey> {
    let owned = ranges.iter().filter(|range| range.row.incarnation() == load.incarnation);
    let keys = owned.flat_map(|range| range.row.from..=range.row.to);
    let hot = |key: u16| HotKey { key, rate: loads.measured.key_rate(loads.service, key) };
    let hottest = keys.map(hot).max_by(|a, b| a.rate.total_cmp(&b.rate))?;
    (hottest.rate > HOT_SHARE_MIN * load.rate).then_some(hottest)
}

/// Returns the most used target that has keys that may move, and the least used
/// one, if the former is so much used that keys should move.
fn next_pair(loads: &TargetLoads<'_>) -> Option<(usize, usize)> {
    let mean = loads.list.iter().map(TargetLoad::usage).sum::<f32>() / loads.list.len().max(1) as f32;
    let by_usage = |a: &usize, b: &usize| loads.list[*a].usage().total_cmp(&loads.list[*b].usage());
    let indexes = 0..loads.list.len();
    let low = indexes.clone().filter(|i| loads.list[*i].may_get_keys).min_by(by_usage)?;
    let src =
        indexes.filter(|i| loads.list[*i].movable && loads.list[*i].range_count > 0).max_by(by_usage)?;
    // A target without keys gets some whatever the load.
    let usage_min =
        if loads.list[low].range_count == 0 { 0.0 } else { MOVE_USAGE_MIN.max(MOVE_MEAN_FACTOR * mean) };
    (low != src && loads.list[src].usage() > usage_min).then_some((src, low))
}

/// Chooses keys of a target to move, mostly to the least used one.
fn next_move(
    now: Time,
    loads: &mut TargetLoads<'_>,
    ranges: &mut Vec<OwnedRange>,
    src: usize,
    low: usize,
) -> Option<Move> {
    let hot = find_hot_key(loads, ranges, &loads.list[src]);
    let (i, from, to, rate, dest) = match hot {
        None => row_move(loads, ranges, src, low, None)?,
        // A single key can't be split, so the other keys of its owner move
        // first.
        Some(hot) => row_move(loads, ranges, src, low, Some(hot.key))
            .or_else(|| key_move(now, loads, ranges, src, hot))?,
    };
    let incarnation = loads.list[dest].incarnation.clone();
    loads.list[src].rate -= rate;
    loads.list[dest].rate += rate;
    loads.list[dest].range_count += 1;
    // The rest of the row can move in a later round.
    ranges.swap_remove(i);
    let owner = loads.list[src].incarnation.clone();
    loads.list[src].movable = ranges.iter().any(|range| range.movable && range.row.incarnation() == owner);
    Some(Move { from, to, dest: incarnation })
}

/// A possible move: index of a row, first and last key, request rate, and index
/// of the target that gets the keys.
type Candidate = (usize, u16, u16, f32, usize);

/// Chooses a part of a row of the most used target to move to the least used
/// one. The keys around a hot key move only if they cause enough load.
fn row_move(
    loads: &TargetLoads<'_>,
    ranges: &[OwnedRange],
    src: usize,
    dest: usize,
    hot: Option<u16>,
) -> Option<Candidate> {
    let (src_load, dest_load) = (&loads.list[src], &loads.list[dest]);
    let gap = src_load.usage() - dest_load.usage();
    let rate_max = (DEST_USAGE_RATIO_MAX * src_load.usage() - dest_load.usage()) / dest_load.seconds_per_slot;
    let rate_max = rate_max.min(dest_load.rate_left());
    let wanted = gap / (dest_load.seconds_per_slot + src_load.seconds_per_slot);
    let mut best: Option<Candidate> = None;
    for (i, range) in ranges.iter().enumerate() {
        if !range.movable || range.row.incarnation() != src_load.incarnation {
            continue;
        }
        for (from, to) in without_key(&range.row, hot) {
            let Some((from, to, rate)) = choose_end(loads, from, to, wanted, rate_max) else { continue };
            if best.is_none_or(|b| (rate - wanted).abs() < (b.3 - wanted).abs()) {
                best = Some((i, from, to, rate, dest));
            }
        }
    }
    best.filter(|b| hot.is_none() || b.3 * src_load.seconds_per_slot > HOT_REST_USAGE_MIN)
}

/// Chooses the move of a hot key to the target whose usage is the least with
/// it.
fn key_move(
    now: Time,
    loads: &TargetLoads<'_>,
    ranges: &[OwnedRange],
    src: usize,
    hot: HotKey,
) -> Option<Candidate> {
    let usage_after = |i: &usize| loads.list[*i].usage() + hot.rate * loads.list[*i].seconds_per_slot;
    let takes_key = |load: &TargetLoad| load.may_get_keys && hot.rate <= load.rate_left();
    let others = (0..loads.list.len()).filter(|i| *i != src && takes_key(&loads.list[*i]));
    let dest = others.min_by(|a, b| usage_after(a).total_cmp(&usage_after(b)))?;
    let usage = loads.list[src].usage();
    if usage < HOT_MOVE_USAGE_MIN || usage_after(&dest) > HOT_DEST_RATIO_MAX * usage {
        return None;
    }
    let settled = |range: &OwnedRange| range.moved_at.is_none_or(|at| now.since(at) >= HOT_SETTLE_TIME);
    let contains = |range: &OwnedRange| range.row.from <= hot.key && hot.key <= range.row.to;
    let i = ranges.iter().position(|range| range.movable && settled(range) && contains(range))?;
    Some((i, hot.key, hot.key, hot.rate, dest))
}

/// Returns the ranges of a row without the hot key.
fn without_key(row: &Row, hot: Option<u16>) -> Vec<(u16, u16)> {
    match hot.filter(|key| row.from <= *key && *key <= row.to) {
        None => vec![(row.from, row.to)],
        Some(key) => {
            let left = key.checked_sub(1).map(|to| (row.from, to));
            let right = key.checked_add(1).map(|from| (from, row.to));
            [left, right].into_iter().flatten().filter(|(from, to)| from <= to).collect()
        }
    }
}

/// Returns the keys at one end of a range whose request rate is nearest to the
/// wanted one and below the most that the other target may get.
fn choose_end(
    loads: &TargetLoads<'_>,
    from: u16,
    to: u16,
    wanted: f32,
    rate_max: f32,
) -> Option<(u16, u16, f32)> {
    let mut best: Option<(u16, u16, f32)> = None;
    let mut consider = |from: u16, to: u16, sum: f32| {
        let better = best.is_none_or(|b| (sum - wanted).abs() < (b.2 - wanted).abs());
        if sum < rate_max && better {
            best = Some((from, to, sum));
        }
    };
    let mut sum = 0.0;
    for key in from..=to {
        sum += loads.measured.key_rate(loads.service, key);
        consider(from, key, sum);
        if sum >= wanted {
            break;
        }
    }
    let mut sum = 0.0;
    for key in (from..=to).rev() {
        sum += loads.measured.key_rate(loads.service, key);
        consider(key, to, sum);
        if sum >= wanted {
            break;
        }
    }
    best
}
