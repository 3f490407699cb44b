//! Spill: which share of a zone's requests without keys leaves the zone, and
//! where to.
//!
//! Load pattern: a zone whose targets are too few for its callers, for a while
//! or for the day, beside zones with free slots. Bytes between zones cost money
//! and time, so a zone with room keeps its requests. If each process decided
//! alone, all would send to the same free zone and back again.
//!
//! The leader decides with a [`SpillBoard`], from the reports of all processes,
//! for all zones at once: requests move from the zone where they wait longest to
//! the one where they wait least, as long as that saves more than the crossing costs
//! and the receiving zone has room. A process applies its row of the table with
//! a [`Spill`]; while its own zone is congested and the leader has not answered
//! that yet, a part goes to free slots elsewhere.

mod board;

pub use board::{ShareChange, SpillBoard, TargetState};

use {
    crate::directory::Directory,
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, rc::Rc, sync::Arc},
};

/// Time for which a process uses shares that the leader has sent. It covers
/// three reports and the start of another leader.
const TABLE_TTL: Span = Span::from_secs(2);

/// Credit with which a request leaves the zone.
const CREDIT: f64 = 1.0;

/// Credit with which a request with a large body leaves the zone, so that others
/// leave first.
const CREDIT_LARGE: f64 = 2.0;

/// Weight of an answer in the mean fill of the own zone: some ten answers, which
/// take a part of a second, show a burst before the leader can.
const FILL_WEIGHT: f64 = 0.3;

/// Half-life of that mean without answers.
const FILL_HALF_LIFE: Span = Span::from_millis(500);

/// Mean fill from which on the own zone is congested. With a lower one, requests
/// leave zones that are all equally full; with a higher one, small zones wait too
/// long.
const CONGESTION_FILL_MIN: f64 = 1.35;

/// Share that leaves a congested zone, for each slot's worth of requests beyond
/// that, until the leader has changed the shares.
const CONGESTION_SHARE: f64 = 1.0;

/// Least difference between the fill of the own zone and that of others for that.
const CONGESTION_GAP_MIN: f64 = 0.7;

/// Most that leaves so: all processes of the zone see the congestion at once.
const CONGESTION_SHARE_MAX: f64 = 0.5;

/// Unit of a share in a message.
const SHARE_UNIT: f64 = 1.0 / 250.0;

/// What one request to another zone costs, as a wait at home that it must save
/// at least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossingCost {
    /// Time of the crossing there and back.
    pub round_trip: Span,
    /// Price of a request.
    pub per_request: Span,
    /// Price of a million bytes of its body and its answer.
    pub per_megabyte: Span,
    /// Bodies of at least this size leave the zone after others.
    pub large_bytes: usize,
}

impl Default for CrossingCost {
    fn default() -> Self {
        Self {
            round_trip: Span::from_millis(2),
            per_request: Span::from_millis(10),
            per_megabyte: Span::from_secs(1),
            large_bytes: 16 << 10,
        }
    }
}

impl CrossingCost {
    fn seconds(&self, kilobytes: f64) -> f64 {
        (self.round_trip + self.per_request).as_secs_f64() + self.per_megabyte.as_secs_f64() * kilobytes / 1e3
    }
}

/// What a process asked of a service since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests.
    pub requests: u32,
    /// Thousands of bytes of their bodies and answers.
    pub kilobytes: u32,
    /// Answers.
    pub answers: u32,
    /// Time that targets worked for these answers, in milliseconds.
    pub work_ms: u32,
}

/// What a process asked of the services without keys since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Zone of the process.
    pub zone: Arc<str>,
    /// Demand by service.
    pub demands: Vec<(Arc<str>, Demand)>,
}

/// Share of the requests of one zone that go to another, by the indexes of the
/// zones, in units of 0.004.
pub type PackedShare = (u8, u8, u8);

/// Shares of all zones, as the leader sends them. Crossings without a share are left
/// out, so that the table is empty while all zones have room.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTable {
    /// Zones and the number of processes in each.
    pub zones: Vec<(Arc<str>, u16)>,
    /// Shares by service.
    pub shares: Vec<(Arc<str>, Vec<PackedShare>)>,
}

/// A crossing out of the zone of this process.
#[derive(Clone, Debug)]
struct Crossing {
    zone: Arc<str>,
    share: f64,
    /// Requests that may take the crossing, less those that did.
    credit: f64,
}

/// Requests and answers since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    answers: u32,
    bytes: u64,
    work: Span,
}

/// Mean of the requests at targets, as a multiple of their slots, by their answers
/// to this process.
#[derive(Clone, Copy, Debug, Default)]
struct MeanFill {
    fill: f64,
    /// When the last answer came.
    at: Time,
}

impl MeanFill {
    fn record(&mut self, now: Time, fill: f64) {
        let last = self.at(now);
        *self = Self { fill: last + (fill - last) * FILL_WEIGHT, at: now };
    }

    /// Returns the mean at a time; it fades without answers.
    fn at(self, now: Time) -> f64 {
        self.fill * 0.5_f64.powf(now.since(self.at).as_secs_f64() / FILL_HALF_LIFE.as_secs_f64())
    }
}

/// How full the targets of the own zone and of other zones are.
#[derive(Clone, Copy, Debug, Default)]
struct Congestion {
    home: MeanFill,
    away: MeanFill,
    /// Requests that may leave for a free slot, less those that did.
    credit: f64,
}

impl Congestion {
    /// Returns the share of requests that should leave for a free slot.
    fn share(self, now: Time) -> f64 {
        let excess = self.home.at(now) - CONGESTION_FILL_MIN.max(self.away.at(now) + CONGESTION_GAP_MIN);
        (excess * CONGESTION_SHARE).clamp(0.0, CONGESTION_SHARE_MAX)
    }
}

/// Where a request looks for a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// Among the targets of a zone.
    Zone(Arc<str>),
    /// Among the targets of other zones that have a free slot.
    FreeSlot,
}

/// Shares by which a process sends requests to other zones.
#[derive(Debug)]
pub struct Spill {
    zone: Arc<str>,
    cost: CrossingCost,
    /// Newest table and its expiry.
    table: Option<(Rc<ZoneTable>, Time)>,
    crossings: HashMap<Arc<str>, Vec<Crossing>>,
    congestions: HashMap<Arc<str>, Congestion>,
    demands: HashMap<Arc<str>, Count>,
}

impl Spill {
    /// Creates the shares of a process in a zone, which knows none.
    pub fn new(zone: Arc<str>) -> Self {
        let cost = CrossingCost::default();
        Self {
            zone,
            cost,
            table: None,
            crossings: HashMap::new(),
            congestions: HashMap::new(),
            demands: HashMap::new(),
        }
    }

    /// Sets what the crossing to another zone costs.
    #[must_use]
    pub fn with_cost(self, cost: CrossingCost) -> Self {
        Self { cost, ..self }
    }

    /// Counts a request to a service without keys, with the size of its body.
    pub fn count_request(&mut self, service: &Arc<str>, bytes: usize) {
        let count = self.demands.entry(service.clone()).or_default();
        count.requests += 1;
        count.bytes += bytes as u64;
    }

    /// Counts the bytes of an answer, and the time that the target worked for it.
    pub fn count_answer(&mut self, service: &str, bytes: usize, work: Span) {
        let Some(count) = self.demands.get_mut(service) else { return };
        count.answers += 1;
        count.bytes += bytes as u64;
        count.work += work;
    }

    /// Records how full a target was by its answer: its requests as a multiple of
    /// its slots.
    pub fn record_fill(&mut self, now: Time, service: &Arc<str>, zone: &str, fill: f64) {
        let congestion = self.congestions.entry(service.clone()).or_default();
        let mean = if *zone == *self.zone { &mut congestion.home } else { &mut congestion.away };
        mean.record(now, fill);
    }

    /// Returns what this process asked since the last call, or `None` if all
    /// targets lie in one zone.
    pub fn take_report(&mut self, directory: &Directory) -> Option<ZoneReport> {
        let u32_of = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        let demand = |(service, count): (Arc<str>, Count)| {
            let Count { requests, answers, bytes, work } = count;
            let (kilobytes, work_ms) = (u32_of(bytes / 1_000), u32_of(work.as_millis()));
            (service, Demand { requests, kilobytes, answers, work_ms })
        };
        let demands = std::mem::take(&mut self.demands).into_iter().map(demand).collect();
        let mut zones = directory.all().map(|target| &target.entry.zone);
        let first = zones.next()?;
        zones.any(|zone| zone != first).then(|| ZoneReport { zone: self.zone.clone(), demands })
    }

    /// Replaces the shares by those that the leader sent.
    pub fn learn(&mut self, now: Time, table: Rc<ZoneTable>) {
        let mut crossings: HashMap<Arc<str>, Vec<Crossing>> = HashMap::new();
        let zone = |index: u8| table.zones.get(usize::from(index)).map(|(zone, _)| zone);
        for (service, shares) in &table.shares {
            for (from, to, share) in shares {
                let (Some(from), Some(to)) = (zone(*from), zone(*to)) else { continue };
                if *from != self.zone || to == from {
                    continue;
                }
                let known = self
                    .crossings
                    .get(service)
                    .and_then(|crossings| crossings.iter().find(|crossing| crossing.zone == *to));
                let credit = known.map_or(0.0, |crossing| crossing.credit);
                let share = f64::from(*share) * SHARE_UNIT;
                crossings.entry(service.clone()).or_default().push(Crossing {
                    zone: to.clone(),
                    share,
                    credit,
                });
            }
        }
        self.crossings = crossings;
        self.table = Some((table, now.after(TABLE_TTL)));
    }

    /// Returns the newest table, unless it is too old or is for one zone only.
    pub fn table(&self, now: Time) -> Option<&Rc<ZoneTable>> {
        let (table, expiry) = self.table.as_ref()?;
        (*expiry > now && table.zones.len() > 1).then_some(table)
    }

    /// Returns the number of processes in the zone of this process.
    pub fn zone_peers(&self, now: Time) -> Option<u32> {
        let zones = &self.table(now)?.zones;
        zones.iter().find(|(zone, _)| *zone == self.zone).map(|(_, count)| u32::from(*count).max(1))
    }

    /// Returns where a request with a body of `size` bytes should look for a
    /// target, in this order; all others follow if it finds none. Without shares
    /// of the leader there are none.
    pub fn places(&self, now: Time, service: &str, size: usize) -> Vec<Place> {
        if self.table(now).is_none() {
            return Vec::new();
        }
        let needed = if size < self.cost.large_bytes { CREDIT } else { CREDIT_LARGE };
        // Sums of shares may be a little too small.
        let needed = needed - 1e-9;
        let mut crossings: Vec<&Crossing> = self.crossings.get(service).into_iter().flatten().collect();
        crossings.sort_by(|a, b| (b.credit + b.share).total_cmp(&(a.credit + a.share)));
        let mut places: Vec<Place> =
            crossings.iter().map(|crossing| Place::Zone(crossing.zone.clone())).collect();
        let is_due = crossings.first().is_some_and(|crossing| crossing.credit + crossing.share >= needed);
        places.insert(usize::from(is_due), Place::Zone(self.zone.clone()));
        let congestion = self.congestions.get(service);
        if congestion
            .is_some_and(|congestion| congestion.credit + self.congestion_share(now, service) >= needed)
        {
            places.insert(usize::from(is_due), Place::FreeSlot);
        }
        places
    }

    /// Returns the share of requests that leave a congested zone beyond the shares
    /// of the leader.
    fn congestion_share(&self, now: Time, service: &str) -> f64 {
        let share = self.congestions.get(service).map_or(0.0, |congestion| congestion.share(now));
        let away: f64 =
            self.crossings.get(service).into_iter().flatten().map(|crossing| crossing.share).sum();
        (share - away).max(0.0)
    }

    /// Counts a request that is sent to a target in a zone, at which it looked in
    /// a place.
    pub fn count_sent(&mut self, now: Time, service: &str, zone: &str, place: Option<&Place>) {
        let share = self.congestion_share(now, service);
        let is_congested = place == Some(&Place::FreeSlot);
        for crossing in self.crossings.get_mut(service).into_iter().flatten() {
            // A request that went there as the own zone was full counts as well.
            let used = if *crossing.zone == *zone && !is_congested { CREDIT } else { 0.0 };
            crossing.credit = (crossing.credit + crossing.share - used).clamp(-CREDIT_LARGE, CREDIT_LARGE);
        }
        if let Some(congestion) = self.congestions.get_mut(service) {
            let used = if is_congested { CREDIT } else { 0.0 };
            congestion.credit = (congestion.credit + share - used).clamp(0.0, CREDIT_LARGE);
        }
    }
}
