//! Threshold of one service: the share of each rank that is admitted.

use {
    super::RankCounts,
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Interval between two steps.
const STEP: Span = Span::from_millis(250);

/// Mean wait for a slot, as a multiple of the latency objective, that is aimed at
/// while requests are refused. Without waits slots would be free.
const WAIT_AIM: f64 = 0.25;

/// Mean wait from which on requests are refused if much more work comes than
/// ends: waits grow only once queues have.
const WAIT_RISING: f64 = 0.1;

/// Work that comes, as a multiple of the work that ends, from which on waits are
/// taken to rise. At a crest within the capacity the ratio stays below it.
const RISING_RATIO: f64 = 1.35;

/// Capacity as a multiple of the work that ends before all slots are used.
const UNUSED_FACTOR: f64 = 1.25;

/// Part of the way to the measured work that the capacity goes in one step if
/// that is higher, or lower while requests wait. Less work may end for other
/// reasons than a lower capacity, above all since less is admitted.
const CAPACITY_RISE: f64 = 0.4;
const CAPACITY_FALL: f64 = 0.1;

/// Part of the way to a new share that is gone in one step.
const DAMPING: f64 = 0.7;

/// Growth of the capacity per second while waits are far below the aim.
const GROWTH: f64 = 1.0;

/// Requests of a rank without which its mean wait is unknown. One process gets a
/// few requests a second, and a single one may wait long at any load.
const REQUESTS_MIN: f64 = 15.0;

/// Requests without which waits are not taken to rise.
const RISING_REQUESTS_MIN: f64 = 100.0;

/// Least share of a rank that is admitted.
const SHARE_MIN: f64 = 0.1;

/// Distance from the least share within which a rank counts as at it.
const SHARE_MARGIN: f64 = 0.02;

/// Share from which on all requests are admitted.
const SHARE_OPEN: f64 = 0.97;

/// Least factor by which a share is lowered for the requests that return.
const RETURNS_FACTOR_MIN: f64 = 0.5;

/// Time of an attempt before any was measured, in seconds.
const WORK_DEFAULT_S: f64 = 0.1;

/// Factor on the memory for the mean time of attempts, which changes slowly.
const WORK_MEMORY_FACTOR: f64 = 4.0;

/// Share of each rank that is admitted, in steps of 1/255.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares(Vec<(u32, u8)>);

impl Shares {
    /// Creates shares between 0 and 1, in the order of the ranks.
    pub fn new(shares: impl Iterator<Item = (u32, f64)>) -> Self {
        Self(shares.map(|(rank, share)| (rank, (share * 255.0).round() as u8)).collect())
    }

    /// Returns the share of a rank. One that is not listed has the share of the
    /// next more urgent one, or 1.
    pub fn get(&self, rank: u32) -> f64 {
        let known = self.0.iter().rfind(|(other, _)| *other <= rank);
        known.map_or(1.0, |(_, share)| f64::from(*share) / 255.0)
    }

    /// Returns whether all requests are admitted.
    pub fn is_open(&self) -> bool {
        self.0.iter().all(|(_, share)| *share == u8::MAX)
    }
}

/// Requests of one rank. Sums decay with the memory of the threshold.
#[derive(Clone, Copy, Debug)]
struct RankLoad {
    came: f64,
    refused: f64,
    ended: f64,
    waited: f64,
    /// Attempts and their time, with a longer memory.
    work_count: f64,
    work_s: f64,
    share: f64,
}

impl Default for RankLoad {
    fn default() -> Self {
        let (came, refused, ended, waited) = (0.0, 0.0, 0.0, 0.0);
        Self { came, refused, ended, waited, work_count: 0.0, work_s: 0.0, share: 1.0 }
    }
}

impl RankLoad {
    fn decay(&mut self, kept: f64, work_kept: f64) {
        for sum in [&mut self.came, &mut self.refused, &mut self.ended, &mut self.waited] {
            *sum *= kept;
        }
        self.work_count *= work_kept;
        self.work_s *= work_kept;
    }

    fn add(&mut self, counts: &RankCounts) {
        self.came += f64::from(counts.came);
        self.refused += f64::from(counts.refused);
        self.ended += f64::from(counts.ended);
        self.waited += f64::from(counts.waited) / 1e3;
        self.work_count += f64::from(counts.ended);
        self.work_s += f64::from(counts.busy_ms) / 1e3;
    }

    fn admitted(&self) -> f64 {
        self.came - self.refused
    }

    /// Returns the mean time of an attempt in seconds.
    fn work(&self) -> f64 {
        if self.work_count < 1.0 { WORK_DEFAULT_S } else { self.work_s / self.work_count }
    }

    /// Returns the mean wait of admitted requests as a multiple of their latency
    /// objectives. While a queue drains, more end than are admitted.
    fn mean_wait(&self) -> f64 {
        self.waited / self.admitted().max(self.ended).max(1.0)
    }

    /// Moves the share to a new one. Requests that were refused and return in
    /// time are admitted beyond the share, so it is lowered by as much.
    fn approach(&mut self, share: f64) {
        let is_limited = share < 1.0 && self.share < 1.0;
        let returns = (self.share * self.came / self.admitted().max(1.0)).clamp(RETURNS_FACTOR_MIN, 1.0);
        let aim = if is_limited { (share * returns).max(SHARE_MIN) } else { share };
        self.share += (aim - self.share) * DAMPING;
        if share >= SHARE_OPEN && self.share >= SHARE_OPEN {
            self.share = 1.0;
        }
    }
}

/// Threshold of one service.
///
/// Once requests wait too long for slots, the work that ends is the capacity. It
/// is given to the ranks in their order, with a least share for each, and grows
/// while waits are far below the aim.
#[derive(Clone, Debug)]
pub struct Threshold {
    memory: Span,
    /// Mean wait from which on requests are refused, as a multiple of the latency
    /// objective. Short crests stay below it.
    wait_max: f64,
    /// Sums since the last step.
    fresh: Vec<RankCounts>,
    loads: BTreeMap<u32, RankLoad>,
    /// Work that ends in a second, in seconds; `None` while all requests are
    /// admitted.
    capacity: Option<f64>,
    stepped_at: Option<Time>,
}

impl Threshold {
    /// Creates a threshold that admits all requests. Counts are forgotten after
    /// `memory`. Requests are refused from a mean wait of `wait_max` on, as a
    /// multiple of the latency objective.
    pub fn new(memory: Span, wait_max: f64) -> Self {
        Self { memory, wait_max, fresh: Vec::new(), loads: BTreeMap::new(), capacity: None, stepped_at: None }
    }

    /// Adds counts of a process.
    pub fn add(&mut self, counts: &RankCounts) {
        match self.fresh.iter_mut().find(|sum| sum.rank == counts.rank) {
            Some(sum) => sum.add(counts),
            None => self.fresh.push(*counts),
        }
    }

    /// Returns whether the next step is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.stepped_at.is_none_or(|at| now.since(at) >= STEP)
    }

    /// Derives new shares from the counts. `may_refuse` is whether waits show
    /// that the whole service has too little room.
    pub fn step(&mut self, now: Time, may_refuse: bool) {
        let passed = self.stepped_at.map_or(STEP, |at| now.since(at));
        self.stepped_at = Some(now);
        self.decay(passed);
        let rate = (1.0 - keep(passed, self.memory)) / passed.as_secs_f64();
        let sum = |of: fn(&RankLoad) -> f64| -> f64 { self.loads.values().map(of).sum::<f64>() * rate };
        let ended = sum(|load| load.ended * load.work());
        let came = sum(|load| load.came * load.work());
        let wait = self.longest_wait();
        let is_rising =
            wait > WAIT_RISING && came > RISING_RATIO * ended && self.requests() > RISING_REQUESTS_MIN;
        self.capacity = match self.capacity {
            _ if !may_refuse || !self.is_known() => None,
            None if wait > self.wait_max => Some(ended),
            None if is_rising => Some(ended * UNUSED_FACTOR),
            Some(known) if ended > known => Some(known + (ended - known) * CAPACITY_RISE),
            Some(known) if wait > WAIT_AIM => Some(known + (ended - known) * CAPACITY_FALL),
            Some(known) if wait < WAIT_AIM / 2.0 => Some(known * (1.0 + GROWTH * passed.as_secs_f64())),
            other => other,
        };
        self.share_out(rate);
        if wait <= WAIT_AIM && self.shares().is_open() {
            self.capacity = None;
        }
    }

    fn decay(&mut self, passed: Span) {
        let kept = keep(passed, self.memory);
        let work_kept = keep(passed, self.memory.scale(WORK_MEMORY_FACTOR));
        self.loads.values_mut().for_each(|load| load.decay(kept, work_kept));
        for counts in self.fresh.drain(..) {
            self.loads.entry(counts.rank).or_default().add(&counts);
        }
    }

    /// Returns whether the mean wait of any rank is known.
    fn is_known(&self) -> bool {
        self.loads.values().any(|load| load.came >= REQUESTS_MIN)
    }

    fn requests(&self) -> f64 {
        self.loads.values().map(|load| load.came).sum()
    }

    /// Returns the mean wait of the rank that waits longest, as a multiple of the
    /// latency objectives. Ranks of which the least share is admitted don't
    /// count: no more of them can be refused.
    fn longest_wait(&self) -> f64 {
        let first = self.loads.keys().next();
        let counts = |(rank, load): &(&u32, &RankLoad)| {
            let is_refusable = load.share > SHARE_MIN + SHARE_MARGIN || Some(*rank) == first;
            is_refusable && load.came >= REQUESTS_MIN
        };
        let waits = self.loads.iter().filter(counts).map(|(_, load)| load.mean_wait());
        waits.fold(0.0, f64::max)
    }

    /// Gives the capacity to the ranks in their order.
    fn share_out(&mut self, rate: f64) {
        let work = |load: &RankLoad| load.came * load.work() * rate;
        let least: f64 = self.loads.values().map(|load| work(load) * SHARE_MIN).sum();
        let mut left = self.capacity.map(|capacity| (capacity - least).max(0.0));
        for load in self.loads.values_mut() {
            let wanted = work(load) * (1.0 - SHARE_MIN);
            let share = match &mut left {
                Some(left) if wanted > 0.0 => {
                    let given = wanted.min(*left);
                    *left -= given;
                    SHARE_MIN + (1.0 - SHARE_MIN) * given / wanted
                }
                _ => 1.0,
            };
            load.approach(share);
        }
    }

    /// Returns the share of each rank that is admitted.
    pub fn shares(&self) -> Shares {
        Shares::new(self.loads.iter().map(|(rank, load)| (*rank, load.share)))
    }
}

/// Returns the part of a sum that is kept after a time.
fn keep(passed: Span, memory: Span) -> f64 {
    (-passed.as_secs_f64() / memory.as_secs_f64()).exp()
}
