//! Traffic, detection time and false alarms of membership.

use {
    crate::measure::{Bound, Measure},
    catkin::{
        api::{Life, Listed, Role, VmList},
        event::{Timestamp, Wall},
        member::{Event, Members, TICK, WATCHED_MAX},
        types::{Offset, Revision, Span, Time, VmId, Zone},
        wire::{Body, DATAGRAM_BYTES_MAX, Datagram, encode},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

const SIZES: [usize; 3] = [9, 100, 2_100];
const ZONES: usize = 8;
/// Targets of each VM.
const FOLLOWED: usize = 4;
const CONTROL_BYTES_MAX: f64 = 3_000.0;
/// Number of a process, as a start time in microseconds.
const BOOT: u64 = 1_764_830_000_000_000;
/// A reading of the wall clock; its size does not change for decades.
const WALL: Wall = Wall::from_micros(BOOT);
/// Headers of IPv4 and UDP.
const HEADER_BYTES: usize = 28;
/// Time in which a key is served again after a loss.
const SERVED_AGAIN: f64 = 1_000.0;
/// "Must not grow": traffic of a node relative to that in a fleet of 9.
const GROWTH_MAX: f64 = 1.0;
const START: Span = Span::from_secs(2);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    let mut before = None;
    for size in SIZES {
        let traffic = traffic(seed, size);
        let name = |what: &str| format!("member.{size}.{what}");
        list.push(Measure::info(name("probes"), traffic.probes, "1/s/node"));
        list.push(Measure::info(name("datagrams"), traffic.datagrams, "1/s/node"));
        list.push(Measure::new(name("bytes_mean"), traffic.mean, "B/s/node", Bound::Max(CONTROL_BYTES_MAX)));
        list.push(Measure::new(name("bytes_max"), traffic.max, "B/s/node", Bound::Max(CONTROL_BYTES_MAX)));
        if let Some(before) = before {
            let growth: f64 = traffic.mean / before;
            list.push(Measure::new(name("growth"), growth, "ratio", Bound::Max(GROWTH_MAX)));
        }
        before = before.or(Some(traffic.mean));
        let (first, last) = detection(seed, size);
        list.push(Measure::new(name("detection_first"), first, "ms", Bound::Max(SERVED_AGAIN)));
        list.push(Measure::new(name("detection_last"), last, "ms", Bound::Max(SERVED_AGAIN)));
    }
    for (percent, bound) in [(1, Bound::Max(0.0)), (10, Bound::None)] {
        let (suspected, lost) = alarms(seed, f64::from(percent) / 100.0);
        let name = |what: &str| format!("member.9.{what}_at_{percent}pct");
        list.push(Measure::info(name("suspected"), suspected, "1/h/node"));
        list.push(Measure::new(name("lost"), lost, "1/h/node", bound));
    }
    list
}

struct Net {
    now: Time,
    members: BTreeMap<VmId, Members>,
    random: ChaCha8Rng,
    drop: f64,
    flying: VecDeque<(VmId, VmId, Body)>,
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

/// Returns the VMs that each VM watches: every VM keeps some targets, and for
/// each of them another VM ranks next.
fn follows(random: &mut ChaCha8Rng, size: usize) -> Vec<BTreeSet<VmId>> {
    let mut follows = vec![BTreeSet::new(); size];
    for keeper in 0..size {
        let mut left = FOLLOWED.min(size - 1);
        while left > 0 {
            let next = random.random_range(0..size);
            left -= usize::from(next != keeper && follows[next].insert(vm(keeper)));
        }
    }
    follows
}

impl Net {
    fn new(seed: u64, size: usize, drop: f64) -> Self {
        let row = |number: usize| Listed {
            id: vm(number).as_str().into(),
            role: Role::Entry,
            service: None,
            zone: zone(number % ZONES),
            addr: ([127, 0, 0, 1], 1).into(),
            admin: None,
            state: Life::Live,
        };
        let list = VmList { vms: (0..size).map(row).collect() };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let follows = follows(&mut random, size);
        let mut members = BTreeMap::new();
        for (number, followed) in follows.into_iter().enumerate() {
            let mut own = Members::new(vm(number), BOOT, zone(number % ZONES));
            own.sync(&list);
            own.watch(followed);
            own.changes();
            members.insert(vm(number), own);
        }
        Self {
            now: Time::from_micros(3_600_000_000),
            members,
            random,
            drop,
            flying: VecDeque::new(),
            bytes: BTreeMap::new(),
            probes: 0,
            datagrams: 0,
            events: Vec::new(),
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(TICK);
            for (from, members) in &mut self.members {
                let sends = members.tick(self.now);
                self.flying.extend(sends.into_iter().map(|(to, body)| (from.clone(), to, body)));
            }
            while let Some((from, to, body)) = self.flying.pop_front() {
                self.deliver(from, to, body);
            }
            for (vm, members) in &mut self.members {
                let changes = members.changes().into_iter();
                self.events.extend(changes.map(|change| (self.now, vm.clone(), change.event)));
            }
        }
    }

    fn deliver(&mut self, from: VmId, to: VmId, body: Body) {
        self.probes += usize::from(matches!(body, Body::Probe { .. }));
        let datagram = Datagram {
            from: from.clone(),
            boot: BOOT,
            stamp: Timestamp { wall: WALL, count: 0 },
            offset: Offset(50_000_000),
            revision: Revision(10_000),
            leaving: false,
            body,
        };
        let bytes = encode(&datagram, DATAGRAM_BYTES_MAX).map_or(DATAGRAM_BYTES_MAX, |bytes| bytes.len());
        *self.bytes.entry(from.clone()).or_default() += bytes + HEADER_BYTES;
        self.datagrams += 1;
        if self.random.random_bool(self.drop) {
            return;
        }
        let Some(members) = self.members.get_mut(&to) else { return };
        let answers = members.receive(self.now, &from, &datagram);
        self.flying.extend(answers.into_iter().map(|(next, body)| (to.clone(), next, body)));
    }
}

struct Traffic {
    probes: f64,
    datagrams: f64,
    mean: f64,
    max: f64,
}

fn traffic(seed: u64, size: usize) -> Traffic {
    let mut net = Net::new(seed, size, 0.0);
    net.run(START);
    net.bytes.clear();
    (net.probes, net.datagrams) = (0, 0);
    let span = Span::from_secs(10);
    net.run(span);
    let whole = span.as_secs_f64() * size as f64;
    let most = net.bytes.values().max().copied().unwrap_or_default();
    Traffic {
        probes: net.probes as f64 / whole,
        datagrams: net.datagrams as f64 / whole,
        mean: net.bytes.values().sum::<usize>() as f64 / whole,
        max: most as f64 / span.as_secs_f64(),
    }
}

/// Returns the times until the first and the last of the VMs that watch a
/// lost one count it as lost: the worst of some losses at different moments.
fn detection(seed: u64, size: usize) -> (f64, f64) {
    let mut net = Net::new(seed, size, 0.0);
    net.run(START);
    let (mut worst_first, mut worst_last) = (0.0_f64, 0.0_f64);
    for number in 0..5 {
        let victim = vm(number);
        let watching = net.members.values().filter(|m| m.watched().any(|other| *other == victim)).count();
        net.events.clear();
        let lost_at = net.now;
        net.members.remove(&victim);
        net.run(Span::from_millis(1_500 + number as u64 * 33));
        let found = net.events.iter().filter(|(.., event)| *event == Event::Lost);
        let times: Vec<f64> = found.map(|(at, ..)| at.since(lost_at).as_secs_f64() * 1e3).collect();
        let first = times.iter().copied().fold(f64::INFINITY, f64::min);
        let last = times.iter().copied().fold(0.0, f64::max);
        let complete = watching > 0 && times.len() == watching;
        worst_first = worst_first.max(if watching > 0 { first } else { 0.0 });
        worst_last = worst_last.max(if complete || watching == 0 { last } else { f64::INFINITY });
    }
    (worst_first, worst_last)
}

/// Returns the suspicions and losses for each node in an hour without any
/// fault but dropped datagrams.
fn alarms(seed: u64, drop: f64) -> (f64, f64) {
    let nodes = WATCHED_MAX - 1;
    let mut net = Net::new(seed, nodes, drop);
    net.run(Span::from_secs(3_600));
    let count = |event: Event| net.events.iter().filter(|(.., seen)| *seen == event).count();
    (count(Event::Suspected) as f64 / nodes as f64, count(Event::Lost) as f64 / nodes as f64)
}
