//! Traffic, detection time and false suspicions of membership.

use {
    crate::measure::{Bound, Measure},
    catkin::{
        api::{Role, VmEntry, VmList, VmState},
        event::{Timestamp, WallTime},
        member::{Event, Members, TICK_INTERVAL, WATCHED_MAX},
        types::{Offset, Revision, Span, Time, VmId, Zone},
        wire::{DATAGRAM_BYTES_MAX, Datagram, DatagramBody, encode},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

const FLEET_SIZES: [usize; 3] = [9, 100, 2_100];
const ZONES: usize = 8;
/// Targets that each VM keeps.
const TARGETS_PER_VM: usize = 4;
const NODE_BYTES_MAX: f64 = 3_000.0;
/// Incarnation of every process: a start time in microseconds.
const INCARNATION: u64 = 1_764_830_000_000_000;
/// Wall-clock time in all datagrams. The encoded size of a time stays the same
/// for decades.
const WALL_TIME: WallTime = WallTime::from_micros(INCARNATION);
/// Size of the headers of IPv4 and UDP.
const HEADER_BYTES: usize = 28;
/// A key must be served again within this time after a process became
/// unreachable, so detection must not take longer.
const DETECTION_MS_MAX: f64 = 1_000.0;
/// Traffic of a node relative to that in a fleet of 9, which must not grow with
/// the fleet.
const GROWTH_RATIO_MAX: f64 = 1.0;
const WARM_UP: Span = Span::from_secs(2);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    let mut smallest_mean = None;
    for size in FLEET_SIZES {
        let traffic = traffic(seed, size);
        let name = |what: &str| format!("member.{size}.{what}");
        list.push(Measure::info(name("probes"), traffic.probes, "1/s/node"));
        list.push(Measure::info(name("datagrams"), traffic.datagrams, "1/s/node"));
        list.push(Measure::new(
            name("bytes_mean"),
            traffic.bytes_mean,
            "B/s/node",
            Bound::Max(NODE_BYTES_MAX),
        ));
        list.push(Measure::new(name("bytes_max"), traffic.bytes_max, "B/s/node", Bound::Max(NODE_BYTES_MAX)));
        if let Some(smallest_mean) = smallest_mean {
            let growth: f64 = traffic.bytes_mean / smallest_mean;
            list.push(Measure::new(name("growth"), growth, "ratio", Bound::Max(GROWTH_RATIO_MAX)));
        }
        smallest_mean = smallest_mean.or(Some(traffic.bytes_mean));
        let (first, last) = detection(seed, size);
        list.push(Measure::new(name("detection_first"), first, "ms", Bound::Max(DETECTION_MS_MAX)));
        list.push(Measure::new(name("detection_last"), last, "ms", Bound::Max(DETECTION_MS_MAX)));
    }
    for (percent, bound) in [(1, Bound::Max(0.0)), (10, Bound::None)] {
        let (suspected, unreachable) = false_suspicions(seed, f64::from(percent) / 100.0);
        let name = |what: &str| format!("member.9.{what}_at_{percent}pct");
        list.push(Measure::info(name("suspected"), suspected, "1/h/node"));
        list.push(Measure::new(name("lost"), unreachable, "1/h/node", bound));
    }
    list
}

struct Net {
    now: Time,
    members: BTreeMap<VmId, Members>,
    random: ChaCha8Rng,
    /// Probability that a datagram is lost.
    loss_rate: f64,
    /// Datagrams to deliver: sender, receiver and body.
    in_flight: VecDeque<(VmId, VmId, DatagramBody)>,
    /// Bytes sent by each VM, with headers.
    bytes: BTreeMap<VmId, usize>,
    probes: usize,
    datagrams: usize,
    events: Vec<(Time, VmId, Event)>,
}

fn vm(number: usize) -> VmId {
    VmId::new(format!("entry-{number:04}")).unwrap_or_else(|e| unreachable!("{e}"))
}

fn zone(number: usize) -> Zone {
    Zone::new(format!("zone-{number}")).unwrap_or_else(|e| unreachable!("{e}"))
}

/// Returns the VMs that each VM watches. Every VM keeps some targets, and for
/// each of them another VM is next in rank and watches it.
fn random_watches(random: &mut ChaCha8Rng, size: usize) -> Vec<BTreeSet<VmId>> {
    let mut watches = vec![BTreeSet::new(); size];
    for keeper in 0..size {
        let mut unassigned = TARGETS_PER_VM.min(size - 1);
        while unassigned > 0 {
            let next = random.random_range(0..size);
            unassigned -= usize::from(next != keeper && watches[next].insert(vm(keeper)));
        }
    }
    watches
}

impl Net {
    fn new(seed: u64, size: usize, loss_rate: f64) -> Self {
        let row = |number: usize| VmEntry {
            id: vm(number).as_str().into(),
            role: Role::Entry,
            service: None,
            zone: zone(number % ZONES),
            addr: ([127, 0, 0, 1], 1).into(),
            admin: None,
            state: VmState::Live,
        };
        let list = VmList { vms: (0..size).map(row).collect() };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let watches = random_watches(&mut random, size);
        let mut members = BTreeMap::new();
        for (number, watched) in watches.into_iter().enumerate() {
            let mut membership = Members::new(vm(number), INCARNATION, zone(number % ZONES));
            membership.sync(&list);
            membership.watch(watched);
            membership.take_changes();
            members.insert(vm(number), membership);
        }
        Self {
            now: Time::from_micros(3_600_000_000),
            members,
            random,
            loss_rate,
            in_flight: VecDeque::new(),
            bytes: BTreeMap::new(),
            probes: 0,
            datagrams: 0,
            events: Vec::new(),
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(TICK_INTERVAL);
            for (from, members) in &mut self.members {
                let sends = members.tick(self.now);
                self.in_flight.extend(sends.into_iter().map(|(to, body)| (from.clone(), to, body)));
            }
            while let Some((from, to, body)) = self.in_flight.pop_front() {
                self.deliver(from, to, body);
            }
            for (vm, members) in &mut self.members {
                let changes = members.take_changes().into_iter();
                self.events.extend(changes.map(|change| (self.now, vm.clone(), change.event)));
            }
        }
    }

    fn deliver(&mut self, from: VmId, to: VmId, body: DatagramBody) {
        self.probes += usize::from(matches!(body, DatagramBody::Probe { .. }));
        let datagram = Datagram {
            from: from.clone(),
            boot: INCARNATION,
            stamp: Timestamp { wall: WALL_TIME, count: 0 },
            offset: Offset(50_000_000),
            revision: Revision(10_000),
            leaving: false,
            body,
        };
        let bytes = encode(&datagram, DATAGRAM_BYTES_MAX).map_or(DATAGRAM_BYTES_MAX, |bytes| bytes.len());
        *self.bytes.entry(from.clone()).or_default() += bytes + HEADER_BYTES;
        self.datagrams += 1;
        if self.random.random_bool(self.loss_rate) {
            return;
        }
        let Some(members) = self.members.get_mut(&to) else { return };
        let answers = members.receive(self.now, &from, &datagram);
        self.in_flight.extend(answers.into_iter().map(|(next, body)| (to.clone(), next, body)));
    }
}

/// Traffic of a node in a second.
struct Traffic {
    probes: f64,
    datagrams: f64,
    bytes_mean: f64,
    bytes_max: f64,
}

fn traffic(seed: u64, size: usize) -> Traffic {
    let mut net = Net::new(seed, size, 0.0);
    net.run(WARM_UP);
    net.bytes.clear();
    (net.probes, net.datagrams) = (0, 0);
    let span = Span::from_secs(10);
    net.run(span);
    let node_seconds = span.as_secs_f64() * size as f64;
    let bytes_max = net.bytes.values().max().copied().unwrap_or_default();
    Traffic {
        probes: net.probes as f64 / node_seconds,
        datagrams: net.datagrams as f64 / node_seconds,
        bytes_mean: net.bytes.values().sum::<usize>() as f64 / node_seconds,
        bytes_max: bytes_max as f64 / span.as_secs_f64(),
    }
}

/// Returns the milliseconds until the first and the last VM that watches a
/// stopped VM counts it as unreachable. Both are the largest of five stops at
/// different times; the last is infinite if a watcher misses a stop.
fn detection(seed: u64, size: usize) -> (f64, f64) {
    let mut net = Net::new(seed, size, 0.0);
    net.run(WARM_UP);
    let (mut worst_first, mut worst_last) = (0.0_f64, 0.0_f64);
    for number in 0..5 {
        let stopped = vm(number);
        let watchers = net.members.values().filter(|m| m.watched().any(|other| *other == stopped)).count();
        net.events.clear();
        let stopped_at = net.now;
        net.members.remove(&stopped);
        net.run(Span::from_millis(1_500 + number as u64 * 33));
        let detections = net.events.iter().filter(|(.., event)| *event == Event::Unreachable);
        let times: Vec<f64> = detections.map(|(at, ..)| at.since(stopped_at).as_secs_f64() * 1e3).collect();
        let first = times.iter().copied().fold(f64::INFINITY, f64::min);
        let last = times.iter().copied().fold(0.0, f64::max);
        let complete = watchers > 0 && times.len() == watchers;
        worst_first = worst_first.max(if watchers > 0 { first } else { 0.0 });
        worst_last = worst_last.max(if complete || watchers == 0 { last } else { f64::INFINITY });
    }
    (worst_first, worst_last)
}

/// Returns how often in an hour and for each node a VM is suspected and counted
/// as unreachable although only datagrams are lost.
fn false_suspicions(seed: u64, loss_rate: f64) -> (f64, f64) {
    let nodes = WATCHED_MAX - 1;
    let mut net = Net::new(seed, nodes, loss_rate);
    net.run(Span::from_secs(3_600));
    let count = |event: Event| net.events.iter().filter(|(.., seen)| *seen == event).count();
    (count(Event::Suspected) as f64 / nodes as f64, count(Event::Unreachable) as f64 / nodes as f64)
}
