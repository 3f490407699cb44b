//! Which keys move from a busy target to an idle one.

use {
    crate::{
        directory::{Directory, Life, Target},
        granter::{Granter, Held},
        owners::Row,
    },
    catkin::types::{Span, Time},
    std::{collections::HashMap, sync::Arc},
};

const KEYS: usize = 1 << 16;

/// Rate that stands for a key without traffic, so that idle keys are spread by
/// their number. In requests a second.
const IDLE_RATE: f32 = 1e-4;

/// Time between two calls of [`Loads::decay`].
pub const DECAY: Span = Span::from_millis(200);

/// Share of the measured rates that remains after that time. With 0.8 two
/// thirds of a new load show after a second.
const RATE_KEPT: f32 = 0.8;

/// Weight of a new measurement of a target's time for a request.
const COST_WEIGHT: f32 = 0.1;

/// Time of a request before any was measured, in seconds.
const COST_UNKNOWN: f32 = 0.1;

/// Use of a target's slots below which its keys stay: requests hardly wait
/// there, and keys that move can't be served until running work has ended.
const USE_HIGH: f32 = 0.55;

/// The same bound as a multiple of the mean use.
const USE_HIGH_FACTOR: f32 = 1.25;

/// Share of the higher use that a move must leave below, so that a single hot
/// key does not go from one target to the next.
const USE_GAIN: f32 = 0.85;

/// Share of a target's load above which its busiest key is moved apart from
/// the others.
const HOT_SHARE: f32 = 0.4;

/// Use of the owner of a hot key's other keys above which they leave it.
const REST_MIN: f32 = 0.05;

/// Use of a target's slots above which a key that it hardly shares with others
/// moves. The key is away while its running work ends.
const HOT_USE_HIGH: f32 = 0.85;

/// Share of that use that the key may have at its next owner.
const HOT_GAIN: f32 = 0.8;

/// Time for which a hot key that moved stays where it is, so that the load
/// that the move caused can be measured.
const SETTLE: Span = Span::from_millis(1_500);

/// Ranges into which all keys are cut when they get their first owners. Busy
/// keys are close to one another, so each target gets several distant ranges.
const ROWS_FIRST: usize = 128;

/// Ranges of one target at that time.
const STRIPES_MAX: usize = 8;

/// Moves that one round starts in a small fleet.
const MOVES_MIN: usize = 8;

/// Targets for one move in a round of a larger fleet.
const MOVE_TARGETS: usize = 8;

/// Slow start that is left when a new target gets its first keys.
const COLD_LEFT_MAX: Span = Span::from_millis(1_500);

/// Measured loads of keys and of targets.
#[derive(Debug, Default)]
pub struct Loads {
    keys: HashMap<Arc<str>, Vec<f32>>,
    costs: HashMap<Arc<str>, f32>,
}

impl Loads {
    /// Adds requests for a key.
    pub fn add(&mut self, service: &Arc<str>, key: u16, requests: f32) {
        let rates = self.keys.entry(service.clone()).or_insert_with(|| vec![0.0; KEYS]);
        rates[usize::from(key)] += requests * (1.0 - RATE_KEPT) / DECAY.as_secs_f64() as f32;
    }

    /// Lets the time [`DECAY`] pass.
    pub fn decay(&mut self) {
        for rate in self.keys.values_mut().flatten() {
            *rate *= RATE_KEPT;
        }
    }

    /// Adds the mean time that a target took for a request, in seconds.
    pub fn time(&mut self, target: &Arc<str>, seconds: f32) {
        let cost = self.costs.entry(target.clone()).or_insert(seconds);
        *cost += (seconds - *cost) * COST_WEIGHT;
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, directory: &Directory) {
        self.costs.retain(|id, _| directory.get(id).is_some());
    }

    fn cost(&self, target: &Target) -> f32 {
        let known = self.costs.get(&target.entry.life.id).copied();
        let seconds = known.unwrap_or(COST_UNKNOWN).clamp(0.005, 2.0);
        seconds / target.entry.slots.max(1) as f32
    }

    fn rate(&self, service: &str, from: u16, to: u16) -> f32 {
        let idle = IDLE_RATE * (f32::from(to) - f32::from(from) + 1.0);
        let Some(rates) = self.keys.get(service) else { return idle };
        idle + rates[usize::from(from)..=usize::from(to)].iter().sum::<f32>()
    }

    fn key(&self, service: &str, key: u16) -> f32 {
        IDLE_RATE + self.keys.get(service).map_or(0.0, |rates| rates[usize::from(key)])
    }
}

#[derive(Debug)]
struct Pot {
    life: Life,
    cost: f32,
    rate: f32,
    rows: usize,
    movable: bool,
    warm: bool,
}

impl Pot {
    fn used(&self) -> f32 {
        self.rate * self.cost
    }
}

/// The use of the targets of one service.
#[derive(Debug)]
pub struct Pots<'a> {
    service: &'a str,
    loads: &'a Loads,
    pots: Vec<Pot>,
}

impl<'a> Pots<'a> {
    /// Starts with unused targets.
    pub fn new(service: &'a str, open: &[&Target], loads: &'a Loads) -> Self {
        let pot = |t: &&Target| Pot {
            life: t.entry.life.clone(),
            cost: loads.cost(t),
            rate: 0.0,
            rows: 0,
            movable: true,
            warm: true,
        };
        Self { service, loads, pots: open.iter().map(pot).collect() }
    }

    /// Adds the load of a row to its owner.
    pub fn add(&mut self, row: &Row) {
        let rate = self.loads.rate(self.service, row.from, row.to);
        let life = row.life();
        if let Some(pot) = self.pots.iter_mut().find(|p| p.life == life) {
            pot.rate += rate;
            pot.rows += 1;
        }
    }

    /// Shares a range among the least used targets, in pieces of about the
    /// load that one target should have.
    pub fn share(&self, from: u16, to: u16) -> Vec<(u16, u16, Life)> {
        let mut used: Vec<(f32, &Pot)> = self.pots.iter().map(|p| (p.used(), p)).collect();
        let total: f32 = self.loads.rate(self.service, from, to);
        let all: f32 = total + self.pots.iter().map(|p| p.rate).sum::<f32>();
        let targets = self.pots.len().max(1);
        let is_first = total > all / 2.0;
        let stripes = if is_first { (ROWS_FIRST / targets).clamp(1, STRIPES_MAX) } else { 1 };
        let fair = all / (targets * stripes) as f32;
        let mut pieces = Vec::new();
        let (mut start, mut sum) = (from, 0.0);
        for key in from..=to {
            sum += self.loads.key(self.service, key);
            if sum < 0.999 * fair && key < to {
                continue;
            }
            used.sort_by(|a, b| a.0.total_cmp(&b.0));
            if let Some(least) = used.first_mut() {
                least.0 += sum * least.1.cost;
                pieces.push((start, key, least.1.life.clone()));
            }
            (start, sum) = (key.saturating_add(1), 0.0);
        }
        pieces
    }
}

/// A move that should be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// The process that gets the keys.
    pub dest: Life,
}

/// Plans moves of keys of one service from the most used to the least used
/// targets.
pub fn plan(now: Time, service: &str, granter: &Granter, directory: &Directory, loads: &Loads) -> Vec<Move> {
    let open: Vec<&Target> = directory
        .of(service)
        .filter(|t| t.is_open() && t.lapsed.is_none() && !granter.is_suspect(&t.entry.life))
        .collect();
    let mut pots = Pots::new(service, &open, loads);
    let mut rows = granter.rows(service);
    for held in &rows {
        pots.add(&held.row);
    }
    for pot in &mut pots.pots {
        pot.movable = rows.iter().any(|held| held.free && held.row.life() == pot.life);
    }
    for (pot, target) in pots.pots.iter_mut().zip(&open) {
        pot.warm = target.cold.since(now) <= COLD_LEFT_MAX;
    }
    let mut moves = Vec::new();
    let most = MOVES_MIN.max(open.len() / MOVE_TARGETS);
    while moves.len() < most {
        let Some(next) = best(now, &mut pots, &mut rows) else { break };
        moves.push(next);
    }
    moves
}

/// A key whose requests use much of its owner.
#[derive(Clone, Copy, Debug)]
struct Hot {
    key: u16,
    rate: f32,
}

/// Returns the busiest key of a target if it has most of the target's load.
fn hottest(pots: &Pots<'_>, rows: &[Held], pot: &Pot) -> Option<Hot> {
    let of_pot = rows.iter().filter(|held| held.row.life() == pot.life);
    let keys = of_pot.flat_map(|held| held.row.from..=held.row.to);
    let hot = |key: u16| Hot { key, rate: pots.loads.key(pots.service, key) };
    let hottest = keys.map(hot).max_by(|a, b| a.rate.total_cmp(&b.rate))?;
    (hottest.rate > HOT_SHARE * pot.rate).then_some(hottest)
}

fn best(now: Time, pots: &mut Pots<'_>, rows: &mut Vec<Held>) -> Option<Move> {
    let mean = pots.pots.iter().map(Pot::used).sum::<f32>() / pots.pots.len().max(1) as f32;
    let by_use = |a: &usize, b: &usize| pots.pots[*a].used().total_cmp(&pots.pots[*b].used());
    let indexes = 0..pots.pots.len();
    let low = indexes.clone().filter(|i| pots.pots[*i].warm).min_by(by_use)?;
    let high = indexes.filter(|i| pots.pots[*i].movable && pots.pots[*i].rows > 0).max_by(by_use)?;
    // A target without keys gets some whatever the load.
    let needed = if pots.pots[low].rows == 0 { 0.0 } else { USE_HIGH.max(USE_HIGH_FACTOR * mean) };
    if low == high || pots.pots[high].used() <= needed {
        return None;
    }
    let hot = hottest(pots, rows, &pots.pots[high]);
    let (i, from, to, rate, dest) = match hot {
        None => spread(pots, rows, high, low, None)?,
        // A key can't be cut, so the other keys of its owner go first.
        Some(hot) => {
            spread(pots, rows, high, low, Some(hot.key)).or_else(|| lift(now, pots, rows, high, hot))?
        }
    };
    let life = pots.pots[dest].life.clone();
    pots.pots[high].rate -= rate;
    pots.pots[dest].rate += rate;
    pots.pots[dest].rows += 1;
    // What stays of the row can move in a later round.
    rows.swap_remove(i);
    let owner = pots.pots[high].life.clone();
    pots.pots[high].movable = rows.iter().any(|held| held.free && held.row.life() == owner);
    Some(Move { from, to, dest: life })
}

/// A part of a row, its load and the target that gets it.
type Part = (usize, u16, u16, f32, usize);

/// Moves a part of the most loaded row to the least used target.
fn spread(pots: &Pots<'_>, rows: &[Held], high: usize, low: usize, hot: Option<u16>) -> Option<Part> {
    let (high_pot, low_pot) = (&pots.pots[high], &pots.pots[low]);
    let gap = high_pot.used() - low_pot.used();
    let room = (USE_GAIN * high_pot.used() - low_pot.used()) / low_pot.cost;
    let wanted = gap / (low_pot.cost + high_pot.cost);
    let mut best: Option<Part> = None;
    for (i, held) in rows.iter().enumerate() {
        if !held.free || held.row.life() != high_pot.life {
            continue;
        }
        for (from, to) in around(&held.row, hot) {
            let Some((from, to, rate)) = piece(pots, from, to, wanted, room) else { continue };
            if best.is_none_or(|b| (rate - wanted).abs() < (b.3 - wanted).abs()) {
                best = Some((i, from, to, rate, low));
            }
        }
    }
    best.filter(|b| hot.is_none() || b.3 * high_pot.cost > REST_MIN)
}

/// Moves the busiest key to the target on which it uses least.
fn lift(now: Time, pots: &Pots<'_>, rows: &[Held], high: usize, hot: Hot) -> Option<Part> {
    let after = |i: &usize| pots.pots[*i].used() + hot.rate * pots.pots[*i].cost;
    let others = (0..pots.pots.len()).filter(|i| *i != high && pots.pots[*i].warm);
    let dest = others.min_by(|a, b| after(a).total_cmp(&after(b)))?;
    let used = pots.pots[high].used();
    if used < HOT_USE_HIGH || after(&dest) > HOT_GAIN * used {
        return None;
    }
    let settled = |held: &Held| held.moved.is_none_or(|at| now.since(at) >= SETTLE);
    let has = |held: &Held| held.row.from <= hot.key && hot.key <= held.row.to;
    let i = rows.iter().position(|held| held.free && settled(held) && has(held))?;
    Some((i, hot.key, hot.key, hot.rate, dest))
}

/// Returns the keys of a row without the hot one.
fn around(row: &Row, hot: Option<u16>) -> Vec<(u16, u16)> {
    match hot.filter(|key| row.from <= *key && *key <= row.to) {
        None => vec![(row.from, row.to)],
        Some(key) => {
            let left = key.checked_sub(1).map(|to| (row.from, to));
            let right = key.checked_add(1).map(|from| (from, row.to));
            [left, right].into_iter().flatten().filter(|(from, to)| from <= to).collect()
        }
    }
}

/// Returns the keys at one end of a range whose load is nearest to the wanted
/// one and fits into the room of the other target.
fn piece(pots: &Pots<'_>, from: u16, to: u16, wanted: f32, room: f32) -> Option<(u16, u16, f32)> {
    let mut best: Option<(u16, u16, f32)> = None;
    let mut consider = |from: u16, to: u16, sum: f32| {
        let better = best.is_none_or(|b| (sum - wanted).abs() < (b.2 - wanted).abs());
        if sum < room && better {
            best = Some((from, to, sum));
        }
    };
    let mut sum = 0.0;
    for key in from..=to {
        sum += pots.loads.key(pots.service, key);
        consider(from, key, sum);
        if sum >= wanted {
            break;
        }
    }
    let mut sum = 0.0;
    for key in (from..=to).rev() {
        sum += pots.loads.key(pots.service, key);
        consider(key, to, sum);
        if sum >= wanted {
            break;
        }
    }
    best
}
