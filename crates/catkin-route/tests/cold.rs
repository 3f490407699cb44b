//! Cold targets, shared by dozens of processes, in virtual time.

mod common;

use {
    catkin::types::{Span, Time},
    catkin_route::{
        balance,
        cold::{TokenGrant, Tokens},
        directory::{Directory, Entry, Incarnation},
        load::{Completion, Criteria, Denial, LocalLoads},
        pace::{Share, SlotGrid},
        quotas::Quotas,
        rank::FillFactor,
        rate::RequestRate,
    },
    common::{SERVICE, SimulatedLeader, accept, at, entry, incarnation},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Processes of the fleets with cold targets.
const PROCESSES: usize = 70;

/// Cold rates of their services, in requests per second.
const RATES: [f64; 3] = [4.7, 6.6, 25.0];

/// Time of a request at a target, in milliseconds.
const WORK: u64 = 100;

/// Time for which a request waits for a target, in milliseconds.
const WAIT: u64 = 250;

/// When the targets turn cold.
const COLD_AT: u64 = 5_000;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

/// Requests that a cold target may get within any second.
fn allowed(rate: f64) -> f64 {
    rate * 1.5 + 8.0
}

struct Answer {
    arrives_at: u64,
    reported_at: u64,
    share: Option<Share>,
    grants: Vec<TokenGrant>,
}

struct Process {
    vm: Arc<str>,
    loads: LocalLoads,
    directory: Directory,
    /// Difference of its clock: processes have none in common.
    clock: u64,
    is_cut_off: bool,
    /// Until when each queued request waits.
    queue: Vec<u64>,
    /// Whether its queue has changed since the last report, or still waits.
    is_quota_wanted: bool,
    reported_at: u64,
    answer: Option<Answer>,
}

impl Process {
    fn new(number: usize, rate: f64) -> Self {
        let vm: Arc<str> = format!("vm-{number:03}").into();
        let mut loads = LocalLoads::new("z".into()).with_vm(vm.clone());
        loads.set_cold_rates(HashMap::from([(SERVICE.into(), self::rate(rate))]));
        let clock = number as u64 * 1_234_567;
        let directory = Directory::default();
        Self {
            vm,
            loads,
            directory,
            clock,
            is_cut_off: false,
            queue: Vec::new(),
            is_quota_wanted: false,
            reported_at: 0,
            answer: None,
        }
    }

    fn time(&self, now: u64) -> Time {
        at(self.clock + now)
    }
}

/// A leader's memory of tokens and queues.
#[derive(Default)]
struct Leader {
    /// Number of the process.
    number: usize,
    tokens: Tokens,
    quotas: Quotas,
}

/// Processes with requests for the targets of one service.
struct Sim {
    random: ChaCha8Rng,
    now: u64,
    rate: f64,
    has_keys: bool,
    targets: Vec<Arc<str>>,
    processes: Vec<Process>,
    leader: Option<Leader>,
    /// Requests in progress: end, VM, target.
    running: Vec<(u64, Arc<str>, Incarnation)>,
    /// Times of the requests that each target got.
    arrivals: HashMap<Arc<str>, Vec<u64>>,
    served: usize,
    /// What refused callers were told, in milliseconds.
    refusals: Vec<u64>,
    started: usize,
    /// Longest time for an answer of the leader.
    delay_max: u64,
}

impl Sim {
    fn new(seed: u64, rate: f64, targets: usize, has_keys: bool) -> Self {
        let mut sim = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            rate,
            has_keys,
            targets: (0..targets).map(|i| format!("t{i:02}").into()).collect(),
            processes: Vec::new(),
            leader: Some(Leader::default()),
            running: Vec::new(),
            arrivals: HashMap::new(),
            served: 0,
            refusals: Vec::new(),
            started: 0,
            delay_max: 30,
        };
        (0..PROCESSES).for_each(|_| sim.start_process(Span::ZERO));
        sim
    }

    /// Starts a process that lists the targets with a rest of their cold time.
    fn start_process(&mut self, cold_left: Span) {
        let mut process = Process::new(self.started, self.rate);
        for id in &self.targets {
            let now = process.time(self.now);
            process.directory.put(now, Entry { cold_left, ..entry(id, 1) });
        }
        self.started += 1;
        self.processes.push(process);
    }

    /// Lets targets turn cold for a minute. Processes learn that up to `delay` ms
    /// later.
    fn turn_cold(&mut self, count: usize, delay: u64) {
        for process in &mut self.processes {
            for id in &self.targets[..count] {
                let late = self.random.random_range(0..=delay);
                let now = process.time(self.now + late);
                process.directory.put(now, Entry { cold_left: Span::from_secs(60), ..entry(id, 1) });
            }
        }
    }

    /// Runs for a time with requests at a rate for all targets together.
    fn run(&mut self, millis: u64, per_second: f64) {
        let until = self.now + millis;
        while self.now < until {
            let mut arrivals = per_second / 100.0;
            while arrivals > 0.0 {
                if self.random.random_bool(arrivals.min(1.0)) {
                    let i = self.random.random_range(0..self.processes.len());
                    self.processes[i].queue.push(self.now + WAIT);
                    self.work(i, true);
                }
                arrivals -= 1.0;
            }
            for i in 0..self.processes.len() {
                self.answer(i);
                self.work(i, false);
                self.report(i);
            }
            self.now += 10;
        }
    }

    /// Sends or refuses the queued requests of a process; the last one is new if
    /// `is_new`.
    fn work(&mut self, i: usize, is_new: bool) {
        let (now, peers) = (self.now, PROCESSES as u32);
        let process = &mut self.processes[i];
        let time = process.time(now);
        for (end, _, target) in self.running.extract_if(.., |(end, vm, _)| *end <= now && *vm == process.vm) {
            let took = Span::from_millis(WORK);
            let end = process.time(end);
            process.loads.end(end, &target, Completion::Good, took, 6);
        }
        let mut queue = std::mem::take(&mut process.queue);
        let newest = queue.len().wrapping_sub(usize::from(is_new));
        let mut kept = Vec::new();
        for (k, until) in queue.drain(..).enumerate() {
            let wait_until = process.time(until);
            let is_first = is_new && k == newest;
            let owner = incarnation(&self.targets[0], 1);
            let (found, next) = match self.has_keys {
                true => {
                    let target = process.directory.get(&owner.id).unwrap();
                    let found = process.loads.check(time, target, true, peers, FillFactor::MAX);
                    (found.map(|()| owner.clone()), process.loads.next_pass(&owner))
                }
                false => {
                    let chosen =
                        process.loads.choose(time, &process.directory, SERVICE, peers, Criteria::new(0));
                    let chosen = chosen.map(|target| target.entry.incarnation.clone());
                    let denial =
                        process.loads.denial(time, &process.directory, SERVICE, peers, FillFactor::MAX);
                    let next = process.loads.first_pass(time, &process.directory, SERVICE);
                    (chosen.ok_or_else(|| denial.unwrap()), next)
                }
            };
            match found {
                Ok(target) => {
                    process.loads.begin(time, &target, peers);
                    self.arrivals.entry(target.id.clone()).or_default().push(now);
                    self.running.push((now + WORK, process.vm.clone(), target));
                    self.served += 1;
                }
                Err(denial) if now >= until || is_first && next > wait_until => {
                    if let Denial::Cold(span) = denial {
                        self.refusals.push(span.as_millis());
                    }
                }
                Err(_) => {
                    kept.push(until);
                    continue;
                }
            }
        }
        if self.has_keys {
            let owner = incarnation(&self.targets[0], 1);
            let before = process.loads.queue_lengths().first().map_or(0, |(_, count)| *count as usize);
            (kept.len()..before).for_each(|_| process.loads.count_queued(&owner, false));
            (before..kept.len()).for_each(|_| process.loads.count_queued(&owner, true));
            process.is_quota_wanted |= before != kept.len() || !kept.is_empty();
        }
        process.queue = kept;
    }

    /// Applies the answer of the leader if it has arrived.
    fn answer(&mut self, i: usize) {
        let (now, process) = (self.now, &mut self.processes[i]);
        let Some(answer) = process.answer.take_if(|answer| answer.arrives_at <= now) else { return };
        let (time, reported_at) = (process.time(now), process.time(answer.reported_at));
        process.loads.record_tokens(time, reported_at, answer.share, &answer.grants);
    }

    /// Reports to the leader if that is due.
    fn report(&mut self, i: usize) {
        let (now, process) = (self.now, &mut self.processes[i]);
        let interval = if process.is_quota_wanted { 60 } else { 500 };
        let is_answered = process.answer.is_none() || now - process.reported_at > 1_500;
        if process.is_cut_off || !is_answered || now - process.reported_at < interval {
            return;
        }
        (process.reported_at, process.is_quota_wanted) = (now, false);
        let (vm, queued) = (process.vm.clone(), process.loads.queue_lengths());
        let Some(leader) = &mut self.leader else { return };
        let process = &self.processes[leader.number];
        let (time, told) = (process.time(now), process.loads.told_count());
        let share = leader.tokens.report(time, &vm, told);
        leader.quotas.report(time, &vm, Vec::new(), queued.clone());
        let cold = |id: &str| {
            let target = process.directory.get(id)?;
            let incarnation = target.entry.incarnation.clone();
            (target.cold_until > time).then(|| (incarnation, rate(self.rate)))
        };
        let grants = leader.tokens.allot(time, &queued, cold, |id| leader.quotas.load(id).queue_length);
        let arrives_at = now + self.random.random_range(4..=self.delay_max);
        self.processes[i].answer = Some(Answer { arrives_at, reported_at: now, share, grants });
    }

    /// Lets another process lead.
    fn elect(&mut self, number: usize) {
        self.leader = Some(Leader { number, ..Leader::default() });
    }

    /// Cuts processes off from the leader, or heals them.
    fn cut_off(&mut self, numbers: std::ops::Range<usize>, is_cut_off: bool) {
        for process in &mut self.processes[numbers] {
            process.is_cut_off = is_cut_off;
            process.answer = None;
        }
    }

    /// Returns the most requests that a target got within a second that ends
    /// after it turned cold.
    fn most(&self) -> usize {
        let most = |arrivals: &Vec<u64>| {
            let arrivals: Vec<u64> = arrivals.iter().copied().filter(|at| at + 1_000 > COLD_AT).collect();
            let in_window =
                |i: usize| arrivals[i..].iter().take_while(|at| **at < arrivals[i] + 1_000).count();
            (0..arrivals.len()).map(in_window).max().unwrap_or(0)
        };
        self.arrivals.values().map(most).max().unwrap_or(0)
    }

    /// Returns the requests per second that the targets got on average since.
    fn mean_since(&self, since: u64) -> f64 {
        let count: usize =
            self.arrivals.values().map(|all| all.iter().filter(|at| **at >= since).count()).sum();
        count as f64 * 1_000.0 / (self.now - since) as f64 / self.targets.len() as f64
    }

    fn check(&self, what: &str) {
        let most = self.most();
        assert!(most as f64 <= allowed(self.rate), "{what}, {}/s: {most} requests in a second", self.rate);
    }
}

/// Plays a scenario at both rates and several seeds, for targets with keys and
/// without.
fn play(targets: usize, scenario: impl Fn(&mut Sim), check: impl Fn(&Sim)) {
    for rate in RATES {
        for seed in 0..4 {
            for has_keys in [true, false] {
                let mut sim = Sim::new(seed, rate, targets, has_keys);
                sim.run(COLD_AT, 8.0 * targets as f64);
                scenario(&mut sim);
                check(&sim);
            }
        }
    }
}

/// A target that turns cold at its usual load gets no more than its rate from all
/// processes together, and most of that: else it crashes, or its callers wait for
/// nothing.
#[test]
fn cold_rate_is_shared_and_used() {
    let scenario = |sim: &mut Sim| {
        sim.turn_cold(1, 600);
        sim.run(20_000, 30.0);
    };
    play(1, scenario, |sim| {
        sim.check("busy");
        let mean = sim.mean_since(COLD_AT + 2_000);
        // Without keys nothing queues, and the slots of idle processes expire.
        let least = if sim.has_keys { 0.75 } else { 0.05 };
        assert!(mean > least * sim.rate, "{mean} per second of {}", sim.rate);
    });
}

/// Callers of a key whose owner is cold are told when the target takes a request,
/// which is not before its next token, and in proportion to the queue.
#[test]
fn refused_callers_are_told_the_time() {
    let mut sim = Sim::new(1, 4.7, 1, true);
    sim.run(COLD_AT, 8.0);
    sim.turn_cold(1, 300);
    sim.run(10_000, 30.0);
    assert!(sim.refusals.len() > 100);
    assert!(sim.refusals.iter().all(|span| (200..3_000).contains(span)), "{:?}", sim.refusals);
}

/// Processes that had no requests for a while must not have saved tokens or
/// slots, as for a key that becomes hot. On slow links, tokens arrive after the
/// requests for which they were meant.
#[test]
fn unused_share_is_not_saved() {
    let scenario = |sim: &mut Sim| {
        sim.turn_cold(1, 600);
        sim.run(15_000, 0.0);
        sim.run(5_000, 200.0);
        sim.delay_max = 400;
        sim.run(10_000, 20.0);
        sim.run(10_000, 0.0);
        sim.run(3_000, 600.0);
    };
    play(1, scenario, |sim| sim.check("after an idle time"));
}

/// The leader ends in the second in which the target turns cold, and the next one
/// leads 2.5 s later: what the first one handed out, slots and tokens of the next
/// one together must keep the limit.
#[test]
fn limit_holds_when_the_leader_ends() {
    let scenario = |sim: &mut Sim| {
        sim.turn_cold(1, 600);
        sim.run(300, 60.0);
        sim.leader = None;
        sim.run(2_500, 60.0);
        sim.elect(7);
        sim.run(6_000, 60.0);
        sim.leader = None;
        sim.run(1_000, 60.0);
        sim.elect(9);
        sim.run(6_000, 60.0);
    };
    play(1, scenario, |sim| sim.check("leader ends"));
}

/// Some or most processes are cut off from the leader in that second, and come
/// back. They use slots; the leader must keep back their part of the rate.
#[test]
fn limit_holds_when_processes_are_cut_off() {
    for cut_off in [35, 60] {
        let scenario = |sim: &mut Sim| {
            sim.turn_cold(1, 600);
            sim.run(200, 300.0);
            sim.cut_off(PROCESSES - cut_off..PROCESSES, true);
            sim.run(12_000, 300.0);
            sim.cut_off(0..PROCESSES, false);
            sim.run(4_000, 300.0);
        };
        play(1, scenario, |sim| sim.check("cut off"));
    }
}

/// While neither a leader nor the store can be reached, the processes go on with
/// their last shares.
#[test]
fn limit_holds_without_leader_and_store() {
    let scenario = |sim: &mut Sim| {
        sim.turn_cold(1, 600);
        sim.leader = None;
        sim.run(20_000, 700.0);
    };
    play(1, scenario, |sim| {
        sim.check("no leader");
        let mean = sim.mean_since(COLD_AT + 3_000);
        assert!(mean > 0.6 * sim.rate, "{mean} per second of {}", sim.rate);
    });
}

/// Processes start, knowing nothing, and others end without a word, also around a
/// change of the leader.
#[test]
fn limit_holds_while_processes_start_and_end() {
    let scenario = |sim: &mut Sim| {
        sim.turn_cold(1, 600);
        for round in 0..30 {
            let i = sim.random.random_range(1..sim.processes.len());
            sim.processes.remove(i);
            sim.start_process(Span::from_secs(40));
            if round == 10 {
                sim.elect(3);
            }
            sim.run(400, 100.0);
        }
    };
    play(1, scenario, |sim| sim.check("starts and ends"));
}

/// The whole fleet starts with cold targets: the first counts of the leader, and
/// those of processes that were told none, must not stand for small fleets.
#[test]
fn limit_holds_when_the_fleet_starts() {
    for seed in 0..6 {
        for has_keys in [true, false] {
            let mut sim = Sim::new(seed, 4.7, 1, has_keys);
            sim.leader = None;
            sim.processes.iter_mut().for_each(|process| process.queue.clear());
            sim.turn_cold(1, 600);
            sim.now = COLD_AT;
            sim.run(1_500, 200.0);
            sim.elect(0);
            sim.run(8_000, 200.0);
            sim.check("fleet starts");
        }
    }
}

/// A whole zone comes back cold at its peak: no target gets more than its rate,
/// and requests without keys go to the targets that are warm.
#[test]
fn zone_that_comes_back_cold_is_spared() {
    for rate in RATES {
        let mut sim = Sim::new(1, rate, 40, false);
        sim.run(COLD_AT, 200.0);
        sim.turn_cold(20, 600);
        sim.run(600, 200.0);
        let served = sim.served;
        sim.run(6_000, 1_000.0);
        let cold = sim.targets[..20].to_vec();
        sim.arrivals.retain(|id, _| cold.contains(id));
        sim.check("zone");
        assert!(sim.served - served > 5_700, "{} served", sim.served - served);
        let mean = sim.mean_since(COLD_AT + 600) * 2.0;
        assert!(mean > 0.3 * rate, "{mean} per second of {rate}");
    }
}

/// The leader tells the others that a target with queued requests is full. Its
/// tokens must be of use all the same.
#[test]
fn tokens_are_used_beside_a_queue() {
    let mut process = Process::new(0, 4.7);
    process.directory.put(at(0), Entry { cold_left: Span::from_secs(60), ..entry("a", 1) });
    let target = process.directory.get("a").unwrap();
    process.loads.record_tokens(at(0), at(0), None, &[]);
    assert!(matches!(process.loads.check(at(100), target, true, 70, FillFactor::MAX), Err(Denial::Cold(_))));
    process.loads.record_total(at(100), "a", 15, 70);
    let grants = [TokenGrant { incarnation: incarnation("a", 1), count: 1, wait: 0 }];
    process.loads.record_tokens(at(110), at(100), None, &grants);
    assert_eq!(process.loads.check(at(120), target, true, 70, FillFactor::MAX), Ok(()));
    assert!(process.loads.begin(at(120), &incarnation("a", 1), 70));
    assert!(matches!(process.loads.check(at(130), target, true, 70, FillFactor::MAX), Err(Denial::Cold(_))));
}

/// Slots of processes that see the same number are one for each step.
#[test]
fn each_slot_belongs_to_one_process() {
    let grid = |index| {
        let share = Share { index, count: 3 };
        SlotGrid { anchor: at(10_000), step: Span::from_millis(200), share }
    };
    let mut slots: Vec<u64> = Vec::new();
    for index in 0..3 {
        let mut from = at(5_000);
        while from < at(15_000) {
            let slot = grid(index).next_slot(from);
            assert!(slot >= from);
            slots.push(slot.as_micros());
            from = slot.after(Span::from_micros(1));
        }
    }
    slots.sort_unstable();
    assert!(slots.windows(2).all(|pair| pair[1] - pair[0] == 200_000), "{slots:?}");
}

/// A target that turns cold has changed, so that the leader forwards it; repeated
/// entries of the same cold time have not.
#[test]
fn turning_cold_is_a_change() {
    let cold = |millis| Entry { cold_left: Span::from_millis(millis), ..entry("a", 1) };
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    assert!(directory.put(at(5_000), cold(4_000)));
    assert!(!directory.put(at(6_000), cold(3_100)));
    assert!(directory.put(at(7_000), cold(6_000)), "it turns cold again");
    assert!(directory.put(at(8_000), entry("a", 1)), "it is warm");
    assert!(directory.put(at(9_000), cold(900)));
}

/// Where the configuration names no cold rate, cold targets are served as others.
#[test]
fn services_without_a_rate_are_unchanged() {
    let mut process = Process::new(0, 4.7);
    process.loads.set_cold_rates(HashMap::new());
    process.directory.put(at(0), Entry { cold_left: Span::from_secs(60), ..entry("a", 1) });
    let target = process.directory.get("a").unwrap();
    for _ in 0..10 {
        assert_eq!(process.loads.check(at(0), target, true, 2, FillFactor::MAX), Ok(()));
        assert!(!process.loads.begin(at(0), &incarnation("a", 1), 2));
        process.loads.end(at(0), &incarnation("a", 1), Completion::Good, Span::from_millis(50), 6);
    }
}

/// Plays balancing with requests for keys at a rate. Returns the rate at each
/// owner.
fn balance_keys(sim: &mut SimulatedLeader, keys: &[u16], per_second: f32) -> BTreeMap<String, f32> {
    for _ in 0..25 {
        sim.loads.decay();
        keys.iter().for_each(|key| sim.loads.add_requests(&SERVICE.into(), *key, 0.2 * per_second));
        let moves = balance::plan(at(sim.now), SERVICE, &sim.granter, &sim.directory, &sim.loads);
        for next in moves {
            sim.granter.begin_move(SERVICE, next.from, next.to, next.dest);
        }
        sim.run(200, accept);
    }
    let table = sim.table.clone().unwrap();
    let mut rates = BTreeMap::new();
    for key in keys {
        *rates.entry(table.find(SERVICE, *key).unwrap().target.to_string()).or_default() += per_second;
    }
    rates
}

/// Targets with keys.
const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn leader_with_cold_rate() -> SimulatedLeader {
    let mut sim = SimulatedLeader::new(&IDS);
    sim.run(3_000, accept);
    sim.loads.set_cold_rates(HashMap::from([(SERVICE.into(), rate(4.7))]));
    sim
}

fn turn_cold<'a>(sim: &mut SimulatedLeader, ids: impl IntoIterator<Item = &'a str>) {
    for id in ids {
        sim.directory.put(at(sim.now), Entry { cold_left: Span::from_secs(60), ..entry(id, 1) });
    }
}

/// The busy key of a cold owner moves to a warm target, which serves its callers
/// sooner.
#[test]
fn hot_key_of_a_cold_owner_moves() {
    let mut sim = leader_with_cold_rate();
    let owners = balance_keys(&mut sim, &[7], 8.0);
    assert_eq!(balance_keys(&mut sim, &[7], 8.0), owners, "a warm target takes 8 requests a second");
    let warm = IDS.into_iter().find(|id| !owners.contains_key(*id)).unwrap();
    turn_cold(&mut sim, IDS.into_iter().filter(|id| *id != warm));
    assert!(balance_keys(&mut sim, &[7], 8.0).contains_key(warm));
    turn_cold(&mut sim, [warm]);
    assert!(balance_keys(&mut sim, &[7], 8.0).contains_key(warm), "no cold target can take it");
}

/// Where all targets are cold, keys of a busy one move to others, but no more than
/// these can bear.
#[test]
fn cold_targets_get_few_keys() {
    let mut sim = leader_with_cold_rate();
    let keys: Vec<u16> = (0..30).collect();
    let owners = balance_keys(&mut sim, &keys, 1.0);
    assert_eq!(owners.len(), 1, "a warm target takes 30 requests a second");
    turn_cold(&mut sim, IDS);
    let rates = balance_keys(&mut sim, &keys, 1.0);
    assert_eq!(rates.len(), IDS.len(), "{rates:?}");
    let mut others = rates.iter().filter(|(id, _)| !owners.contains_key(*id));
    assert!(others.all(|(_, rate)| *rate <= 4.7), "{rates:?}");
}
