//! Bytes of the messages between a leader and hundreds of processes.
//!
//! `cargo test -p catkin-route --test message_sizes -- --nocapture` prints the bytes a
//! second of each field.

mod common;

use {
    catkin_route::{
        admission::{FleetShares, RankCounts},
        delta::Delta,
        directory::{Directory, Entry, Incarnation, Target},
        level::{LevelBoard, LevelCopy, LevelUpdate, Levels},
        message::{LeaderMessage, LeaderState, Report, TableUpdate},
        numbering::{ByTarget, Numbering},
        owners::{Owners, Row},
        pace::Share,
        pacing::{ReportPacing, ZonePacing, levels_interval},
        peer_view::Known,
        quotas::{Quotas, Room},
        service_time::TimeSum,
        spill::{Demand, ZoneReport, ZoneTable},
        subset::{self, Subsets},
    },
    common::{at, entry, leader},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        rc::Rc,
        sync::Arc,
    },
};

const PROCESSES: usize = 300;

/// Services, whether they have keys, and their numbers of targets.
const SERVICES: [(&str, bool, usize); 5] = [
    ("accounts", true, 900),
    ("carts", true, 300),
    ("search", false, 900),
    ("images", false, 600),
    ("prices", false, 300),
];

const ZONES: usize = 3;

const SLOTS: u32 = 3;

/// Mean time of a request at a target.
const WORK_MS: f64 = 250.0;

/// Time after which a queued request is refused.
const WAIT_MAX_MS: u64 = 400;

const STEP_MS: u64 = 10;

/// Times of the edge program.
const REPORT_INTERVAL_MS: u64 = 500;
const QUOTA_REPORT_INTERVAL_MS: u64 = 60;
const LEVELS_AGE_MS: u64 = 50;

/// Moves of keys a second.
const MOVES_PER_S: u64 = 20;

/// Bytes of a message beyond its fields: the length in front of it.
const FRAME_BYTES: usize = 4;

/// What one run has sent, by message and field.
#[derive(Default)]
struct Tally {
    bytes: BTreeMap<(&'static str, &'static str), usize>,
    messages: BTreeMap<&'static str, usize>,
}

fn size(value: &impl Serialize) -> usize {
    postcard::to_stdvec(value).unwrap().len()
}

impl Tally {
    fn add(&mut self, message: &'static str, field: &'static str, bytes: usize) {
        *self.bytes.entry((message, field)).or_default() += bytes;
    }

    fn add_report(&mut self, report: &Report) {
        let Report { vm, leader, received, known, key_counts, strong, numbering, .. } = report;
        let Report { in_flight, queued, urgent, service_times, limits, leaving, admission, zones, .. } =
            report;
        let Report { promised, silence, .. } = report;
        let ids = (vm, leader, received, known, strong, numbering);
        let fields = [
            ("process and offsets", size(&ids)),
            ("key_counts", size(key_counts)),
            ("in_flight", size(in_flight)),
            ("queued", size(queued)),
            ("urgent", size(urgent)),
            ("promised", size(promised)),
            ("silence", size(silence)),
            ("service_times", size(service_times)),
            ("limits, leaving", size(limits) + size(leaving)),
            ("admission", size(admission)),
            ("zones", size(zones)),
        ];
        let sum: usize = fields.iter().map(|(_, bytes)| bytes).sum();
        assert_eq!(sum, size(report), "a field is missing");
        for (field, bytes) in fields {
            self.add("report", field, bytes);
        }
        self.add("report", "frame", FRAME_BYTES + 1);
        *self.messages.entry("report").or_default() += 1;
    }

    fn add_state(&mut self, state: &LeaderState) {
        let LeaderState { peer_count, standby, store_age, quotas, share, tokens, levels, .. } = state;
        let LeaderState {
            limits,
            leaving,
            staying,
            admission,
            zones,
            use_quotas,
            numbering,
            changes,
            promised,
            ..
        } = state;
        let LeaderState { silence, silence_exempt, vacancies, .. } = state;
        let fields = [
            ("count and age", size(&(peer_count, standby, store_age, use_quotas, numbering))),
            ("quotas", size(quotas)),
            ("share, tokens", size(share) + size(tokens)),
            ("levels", size(levels)),
            ("limits, leaving, staying", size(limits) + size(leaving) + size(staying)),
            ("admission", size(admission)),
            ("zones", size(zones)),
            ("changes", size(changes)),
            ("promised", size(promised)),
            ("silence, vacancies", size(silence) + size(silence_exempt) + size(vacancies)),
        ];
        let sum: usize = fields.iter().map(|(_, bytes)| bytes).sum();
        assert_eq!(sum, size(state), "a field is missing");
        for (field, bytes) in fields {
            self.add("state", field, bytes);
        }
        self.add("state", "frame", FRAME_BYTES + 1);
        *self.messages.entry("state").or_default() += 1;
    }

    /// Returns the bytes a second in both directions.
    fn print(&self, name: &str, seconds: f64) -> f64 {
        println!("{name}, {PROCESSES} processes, {} targets:", SERVICES.iter().map(|s| s.2).sum::<usize>());
        for (message, count) in &self.messages {
            let rate = *count as f64 / seconds;
            println!("  {message}: {rate:.0} a second");
            for ((_, field), bytes) in self.bytes.iter().filter(|((m, _), _)| m == message) {
                let (rate, each) = (*bytes as f64 / seconds / 1e3, *bytes as f64 / *count as f64);
                println!("    {field:26} {rate:9.1} kB/s {each:8.1} B each");
            }
        }
        let sum = self.bytes.values().sum::<usize>() as f64 / seconds;
        println!("  sum {:.0} kB/s", sum / 1e3);
        sum
    }
}

struct Process {
    vm: Arc<str>,
    zone: Arc<str>,
    /// Targets of each service without keys that the process chooses among.
    subsets: HashMap<usize, Vec<usize>>,
    in_flight: HashMap<usize, u32>,
    /// Arrivals of queued requests.
    queued: HashMap<usize, VecDeque<u64>>,
    measured: HashSet<usize>,
    key_counts: HashMap<(usize, u16), u16>,
    demands: HashMap<usize, Demand>,
    quotas: HashMap<usize, u32>,
    busy: HashSet<usize>,
    wants_quota: bool,
    next_report: u64,
    last_report: u64,
    levels_sent_at: Option<u64>,
    levels: LevelCopy,
    pacing: ReportPacing,
    zone_pacing: ZonePacing,
    received: u64,
}

struct Sim {
    rng: ChaCha8Rng,
    now: u64,
    directory: Directory,
    ids: Vec<Arc<str>>,
    numbers: HashMap<Arc<str>, usize>,
    /// First target of each service.
    starts: Vec<usize>,
    processes: Vec<Process>,
    /// Ends of running requests: time, process, target.
    ends: BTreeMap<u64, Vec<(usize, usize)>>,
    quotas: Quotas,
    levels: LevelBoard,
    numbering: Numbering,
    levels_at: u64,
    table: Rc<Owners>,
    offset: u64,
    tally: Tally,
}

fn service_of(starts: &[usize], target: usize) -> usize {
    starts.partition_point(|start| *start <= target) - 1
}

impl Sim {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut directory = Directory::default();
        let (mut ids, mut starts): (Vec<Arc<str>>, _) = (Vec::new(), Vec::new());
        let mut services = BTreeMap::new();
        for (name, keyed, count) in SERVICES {
            starts.push(ids.len());
            let mut rows = Vec::new();
            for i in 0..count {
                let id: Arc<str> = format!("i-{:010x}", rng.random::<u64>() >> 24).into();
                let started = 1_700_000_000_000 + rng.random_range(0..1_000_000);
                let incarnation = Incarnation { id: id.clone(), started };
                let zone: Arc<str> = format!("zone-{}", i % ZONES).into();
                let entry = Entry { incarnation, service: name.into(), zone, slots: SLOTS, ..entry("", 1) };
                directory.put(at(0), entry);
                let (from, to) = (i * 65_536 / count, (i + 1) * 65_536 / count - 1);
                let (from, to) = (u16::try_from(from).unwrap(), u16::try_from(to).unwrap());
                rows.push(Row { from, to, target: id.clone(), started, fence: 1_200, handover: None });
                ids.push(id);
            }
            if keyed {
                services.insert(name.into(), rows);
            }
        }
        let table = Owners {
            leader: leader("gw-000"),
            earlier_leaders: Vec::new(),
            lease_duration: common::LEASE_TIMES.duration,
            services,
        };
        let numbers: HashMap<Arc<str>, usize> = ids.iter().cloned().zip(0..).collect();
        let processes = (0..PROCESSES).map(|i| {
            let (vm, zone): (Arc<str>, Arc<str>) =
                (format!("gw-{i:03}").into(), format!("zone-{}", i % ZONES).into());
            let mut subsets = Subsets::new(vm.clone(), zone.clone());
            let mut subset = |(s, (name, _, _)): (usize, &(&str, bool, usize))| {
                let ranked = subsets.ranked_in(&directory, name, &zone);
                let width = subset::width(ranked.len(), 2 * (PROCESSES / ZONES) as u32);
                (s, ranked.iter().take(width).map(|id| numbers[id]).collect())
            };
            let plain = SERVICES.iter().enumerate().filter(|(_, (_, keyed, _))| !keyed);
            Process {
                subsets: plain.map(&mut subset).collect(),
                vm,
                zone,
                in_flight: HashMap::new(),
                queued: HashMap::new(),
                measured: HashSet::new(),
                key_counts: HashMap::new(),
                demands: HashMap::new(),
                quotas: HashMap::new(),
                busy: HashSet::new(),
                wants_quota: false,
                next_report: (i as u64 * 7) % REPORT_INTERVAL_MS,
                last_report: 0,
                levels_sent_at: None,
                levels: LevelCopy::default(),
                pacing: ReportPacing::default(),
                zone_pacing: ZonePacing::default(),
                received: 0,
            }
        });
        let processes = processes.collect();
        let numbering = Numbering::new(&directory);
        Self {
            rng,
            now: 0,
            directory,
            ids,
            numbers,
            starts,
            processes,
            ends: BTreeMap::new(),
            quotas: Quotas::default(),
            levels: LevelBoard::default(),
            numbering,
            levels_at: 0,
            table: Rc::new(table),
            offset: 1_200,
            tally: Tally::default(),
        }
    }

    /// Sends the requests of one process that arrive in a step, `rates` a second by
    /// service.
    fn arrive(&mut self, p: usize, rates: [f64; 5]) {
        for (s, rate) in rates.into_iter().enumerate() {
            let mean = rate * STEP_MS as f64 / 1e3;
            if !self.rng.random_bool(mean.min(1.0)) {
                continue;
            }
            let (_, keyed, count) = SERVICES[s];
            let process = &mut self.processes[p];
            process.demands.entry(s).or_default().requests += 1;
            if !keyed {
                let subset = &process.subsets[&s];
                let t = subset[self.rng.random_range(0..subset.len())];
                self.begin(p, t);
                continue;
            }
            let key: u16 = self.rng.random();
            *process.key_counts.entry((s, key)).or_default() += 1;
            let t = self.starts[s] + usize::from(key) * count / 65_536;
            if process.busy.contains(&t) || process.queued.contains_key(&t) {
                process.queued.entry(t).or_default().push_back(self.now);
                process.wants_quota = true;
            } else {
                self.begin(p, t);
            }
        }
    }

    fn begin(&mut self, p: usize, t: usize) {
        *self.processes[p].in_flight.entry(t).or_default() += 1;
        let id = &self.ids[t];
        let total = f64::from(self.quotas.load(id).total.max(SLOTS));
        let work = WORK_MS * self.rng.random_range(0.5..1.5) * total / f64::from(SLOTS);
        self.ends.entry(self.now + work as u64).or_default().push((p, t));
    }

    /// Ends requests, and sends or refuses queued ones.
    fn advance(&mut self) {
        self.now += STEP_MS;
        let later = self.ends.split_off(&(self.now + 1));
        for (p, t) in std::mem::replace(&mut self.ends, later).into_values().flatten() {
            let process = &mut self.processes[p];
            process.measured.insert(t);
            let demand = process.demands.entry(service_of(&self.starts, t)).or_default();
            (demand.answers, demand.work_ms) = (demand.answers + 1, demand.work_ms + 250);
            demand.kilobytes += 9;
            if let Some(count) = process.in_flight.get_mut(&t) {
                *count -= 1;
            }
            process.in_flight.retain(|_, count| *count > 0);
            if process.busy.contains(&t) {
                *process.quotas.entry(t).or_default() += 1;
            }
        }
        for p in 0..PROCESSES {
            let targets: Vec<usize> = self.processes[p].queued.keys().copied().collect();
            for t in targets {
                self.drain_queue(p, t);
            }
        }
    }

    fn drain_queue(&mut self, p: usize, t: usize) {
        loop {
            let process = &mut self.processes[p];
            let Some(queue) = process.queued.get_mut(&t) else { return };
            while queue.pop_front_if(|arrived| self.now - *arrived > WAIT_MAX_MS).is_some() {}
            let quota = process.quotas.entry(t).or_default();
            let may_send = *quota > 0 || !process.busy.contains(&t);
            if queue.is_empty() {
                process.queued.remove(&t);
                return;
            }
            if !may_send {
                return;
            }
            *quota = quota.saturating_sub(1);
            queue.pop_front();
            self.begin(p, t);
        }
    }

    fn is_due(&self, p: usize) -> bool {
        let process = &self.processes[p];
        let is_old = self.now >= process.last_report + QUOTA_REPORT_INTERVAL_MS;
        self.now >= process.next_report || (process.wants_quota && is_old)
    }

    fn build_report(&mut self, p: usize) -> Report {
        let process = &mut self.processes[p];
        let counts = |counts: Vec<(usize, u32)>| {
            counts.into_iter().map(|(t, count)| (self.ids[t].clone(), count)).collect()
        };
        let in_flight = process.in_flight.iter().map(|(t, count)| (*t, *count)).collect();
        let queued = process.queued.iter().map(|(t, queue)| (*t, queue.len() as u32)).collect();
        let is_full = process.pacing.is_full(at(self.now), PROCESSES as u32);
        let mut key_counts: BTreeMap<usize, Vec<(u16, u16)>> = BTreeMap::new();
        let (keys, measured, demands) = match is_full {
            true => (
                std::mem::take(&mut process.key_counts),
                std::mem::take(&mut process.measured),
                std::mem::take(&mut process.demands),
            ),
            false => Default::default(),
        };
        for ((s, key), count) in keys {
            key_counts.entry(s).or_default().push((key, count));
        }
        let ranks = |s: &usize| {
            let counts = |rank| RankCounts { came: 5, ended: 5, busy_ms: 1_250, ..RankCounts::new(rank) };
            (SERVICES[*s].0.into(), vec![counts(1), counts(2)])
        };
        let times = measured.into_iter().map(|t| (self.ids[t].clone(), TimeSum::new(3, 0.25))).collect();
        let name = |s: usize| SERVICES[s].0.into();
        Report {
            vm: process.vm.clone(),
            leader: 0x0005_ff3a_1234_5678,
            received: process.received,
            known: Known {
                table: Some(self.offset),
                next_offsets: [Some(3), Some(9_000)],
                levels: process.levels.version(),
            },
            key_counts: key_counts.into_iter().map(|(s, keys)| (name(s), keys)).collect(),
            strong: true,
            numbering: Some(self.numbering.id()),
            in_flight: ByTarget::new(counts(in_flight), Some(&self.numbering)),
            queued: ByTarget::new(counts(queued), Some(&self.numbering)),
            urgent: ByTarget::default(),
            promised: ByTarget::default(),
            silence: Vec::new(),
            service_times: ByTarget::new(times, Some(&self.numbering)),
            limits: Vec::new(),
            leaving: Vec::new(),
            admission: demands.keys().filter(|s| **s < 2).map(ranks).collect(),
            zones: is_full.then(|| ZoneReport {
                zone: process.zone.clone(),
                demands: demands.into_iter().filter(|(s, _)| *s >= 2).map(|(s, d)| (name(s), d)).collect(),
            }),
        }
    }

    /// Exchanges a report and its answer.
    fn report(&mut self, p: usize) {
        let mut report = self.build_report(p);
        self.tally.add_report(&report);
        let process = &mut self.processes[p];
        (process.last_report, process.wants_quota) = (self.now, false);
        if self.now >= process.next_report {
            process.next_report = self.now + REPORT_INTERVAL_MS;
        }
        let counts = report.take_counts(Some(&self.numbering)).unwrap();
        self.quotas.report(at(self.now), &report.vm, counts.in_flight, counts.queued);
        let is_keyed = |id: &str| SERVICES[service_of(&self.starts, self.numbers[id])].1;
        let allotted = self.quotas.allot(&report.vm, |id| is_keyed(id).then_some(Room::new(SLOTS)));
        let levels = self.levels(p);
        let state = LeaderState {
            peer_count: PROCESSES as u32,
            store_age: 150_000,
            quotas: Some(allotted.clone()),
            share: Some(Share { index: p as u32, count: PROCESSES as u32 }),
            levels: levels.clone(),
            admission: Some(FleetShares { clock: 90_000_000_000, services: Vec::new() }),
            zones: self.processes[p].zone_pacing.due(at(self.now), Rc::new(zones())),
            ..empty_state()
        };
        self.tally.add_state(&state);
        let process = &mut self.processes[p];
        process.received += 1;
        if let Some(levels) = levels {
            let levels = process.levels.apply(&levels).expect("the process holds the older version");
            process.busy = busy(&self.directory, &self.numbers, levels);
        }
        process.quotas = allotted.iter().map(|(id, quota)| (self.numbers[id], *quota)).collect();
        for p_queue in process.queued.keys().copied().collect::<Vec<_>>() {
            self.drain_queue(p, p_queue);
        }
        let process = &mut self.processes[p];
        process.wants_quota = process.queued.keys().any(|t| process.busy.contains(t));
    }

    fn levels(&mut self, p: usize) -> Option<LevelUpdate> {
        let process = &mut self.processes[p];
        if process
            .levels_sent_at
            .is_some_and(|sent_at| at(self.now).since(at(sent_at)) < levels_interval(PROCESSES as u32))
        {
            return None;
        }
        process.levels_sent_at = Some(self.now);
        let held = process.levels.version();
        if self.levels_at + LEVELS_AGE_MS > self.now {
            return self.levels.update(held);
        }
        self.levels_at = self.now;
        let pack = |service: &Arc<str>| {
            let targets: Vec<&Target> = self.directory.of_service(service).collect();
            Levels::new(service.clone(), &targets, |id| self.quotas.load(id))
        };
        self.levels.set(self.directory.services().map(pack).collect());
        self.levels.update(held)
    }

    /// Moves a range of keys, and sends the table to all processes.
    fn move_keys(&mut self) {
        let mut table = (*self.table).clone();
        self.offset += 1;
        let count = SERVICES[0].2;
        let rows = table.services.get_mut(SERVICES[0].0).unwrap();
        let (i, dest) = (self.rng.random_range(0..rows.len()), self.rng.random_range(0..count));
        (rows[i].target, rows[i].fence) = (self.ids[dest].clone(), self.offset);
        let delta = Delta::new(&self.table, &table).unwrap();
        self.table = Rc::new(table);
        let message =
            LeaderMessage::Table(TableUpdate::Delta { from: self.offset - 1, to: self.offset, delta });
        for process in &mut self.processes {
            process.received += 1;
            self.tally.add("table", "frame", FRAME_BYTES);
            self.tally.add("table", "delta", size(&message));
            *self.tally.messages.entry("table").or_default() += 1;
        }
    }

    /// Plays some seconds after a second of warm-up. Returns the bytes a second.
    fn run(mut self, name: &str, seconds: u64, rates: [f64; 5]) -> f64 {
        let warm_up = 2_000;
        while self.now < warm_up + seconds * 1_000 {
            self.advance();
            if self.now == warm_up {
                self.tally = Tally::default();
            }
            for p in 0..PROCESSES {
                self.arrive(p, rates);
            }
            for p in 0..PROCESSES {
                if self.is_due(p) {
                    self.report(p);
                }
            }
            if self.now.is_multiple_of(1_000 / MOVES_PER_S) {
                self.move_keys();
            }
        }
        self.tally.print(name, seconds as f64)
    }
}

fn zones() -> ZoneTable {
    let zones = (0..ZONES).map(|i| (format!("zone-{i}").into(), (PROCESSES / ZONES) as u16));
    ZoneTable { zones: zones.collect(), shares: Vec::new() }
}

fn empty_state() -> LeaderState {
    LeaderState {
        peer_count: PROCESSES as u32,
        standby: false,
        store_age: 150_000,
        quotas: None,
        promised: Vec::new(),
        share: None,
        tokens: Vec::new(),
        levels: None,
        limits: Vec::new(),
        leaving: Vec::new(),
        staying: Vec::new(),
        silence: Vec::new(),
        silence_exempt: Vec::new(),
        vacancies: Vec::new(),
        admission: None,
        zones: None,
        numbering: None,
        use_quotas: true,
        changes: [None, None],
    }
}

/// Returns the busy targets with keys.
fn busy(directory: &Directory, numbers: &HashMap<Arc<str>, usize>, levels: &[Levels]) -> HashSet<usize> {
    let mut busy = HashSet::new();
    for levels in levels.iter().filter(|levels| SERVICES.iter().any(|s| s.0 == &*levels.service && s.1)) {
        let targets: Vec<&Target> = directory.of_service(&levels.service).collect();
        let loads = levels.unpack(&targets).unwrap();
        busy.extend(loads.into_iter().filter(|(_, load)| load.is_busy(SLOTS)).map(|(i, _)| numbers[&i.id]));
    }
    busy
}

/// Requests a second of one process by service, if all targets get the same.
fn even(per_target: f64) -> [f64; 5] {
    SERVICES.map(|(_, _, targets)| per_target * targets as f64 / PROCESSES as f64)
}

/// A leader must need less than 1 MB a second in calm times: a VM with 10 Mbit/s, which
/// also serves requests, has 1.25 MB. With all levels in each answer it took 1.7 MB.
#[test]
fn calm_fleet_stays_under_a_megabyte_a_second() {
    let rate = Sim::new(1).run("calm", 10, even(2.0));
    assert!(rate < 1e6, "{rate:.0} bytes a second");
}

/// At a crest, where most processes ask for quotas all the time, links must leave the
/// greater part of a leader's 50 Mbit/s to requests and commands.
#[test]
fn crest_leaves_room_on_the_link_of_a_leader() {
    let mut rates = even(6.0);
    rates[1] *= 3.0;
    let rate = Sim::new(1).run("crest", 5, rates);
    assert!(rate < 0.4 * 50e6 / 8.0, "{rate:.0} bytes a second");
}
