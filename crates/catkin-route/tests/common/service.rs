//! A service with targets that run requests of several ranks, and processes that
//! each get a small part of them, in virtual time.

use {
    super::{SERVICE, at, entry},
    catkin::types::{Span, Time},
    catkin_route::{
        admission::{Admission, FleetAdmission, FleetShares, QueueLoad},
        directory::{Directory, Entry, Target},
        level::Levels,
        load::{Completion, Criteria, LocalLoads},
        quotas::Quotas,
        rank::{FillFactor, Ranks},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        sync::Arc,
    },
};

/// Part of the latency objective for which a request waits for a target.
const WAIT_FRACTION: f64 = 0.5;

const RECHECK_US: u64 = 40_000;

const REPORT_US: u64 = 500_000;

const LATENCY_US: u64 = 1_000;

/// A kind of requests.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) rank: u32,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Rate in a burst, and the milliseconds at which it begins and ends.
    pub(crate) burst: (f64, u64, u64),
    pub(crate) work_ms: f64,
    pub(crate) objective_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// How the service is set up.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    /// Whether a fifth of the targets is 3 times slower for 400 ms at a time.
    pub(crate) slow: bool,
    pub(crate) processes: usize,
    /// Whether ranks decide how far targets are filled and which requests are
    /// refused; otherwise all are served as if they had one rank.
    pub(crate) by_rank: bool,
    /// Milliseconds at which the leader ends.
    pub(crate) leader_until: u64,
    /// Number of processes that never get an answer of the leader.
    pub(crate) cut_off: usize,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) millis: u64,
}

#[derive(Clone, Debug)]
struct Request {
    kind: usize,
    id: String,
    first_at: u64,
    arrived: u64,
    tried: u32,
}

#[derive(Clone, Debug)]
enum Event {
    New(usize),
    Arrive(usize, Request),
    Recheck(usize),
    Reach(usize, usize, Request, u64),
    Finish(usize, usize, Request, u64),
    Answer(usize, usize, Request, u64, u32),
    Report(usize),
    State(usize, Box<(FleetShares, Levels)>),
}

#[derive(Debug, Default)]
struct Server {
    speed: f64,
    phase: u64,
    running: u32,
    queue: VecDeque<(usize, Request, u64)>,
}

struct Process {
    loads: LocalLoads,
    admission: Admission,
    waiting: Vec<Request>,
}

/// Requests of one kind that arrived for the first time in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) came: f64,
    pub(crate) served: f64,
    pub(crate) in_time: f64,
    /// Refusals by the threshold, also of requests that came back.
    pub(crate) refused: f64,
    /// Refusals of requests that the threshold had refused before.
    pub(crate) again: f64,
}

impl Tally {
    pub(crate) fn served_share(self) -> f64 {
        self.served / self.came.max(1.0)
    }

    pub(crate) fn refused_share(self) -> f64 {
        self.refused / self.came.max(1.0)
    }

    /// Returns the share of the possible credit; a late answer earns half of it.
    pub(crate) fn credit(self) -> f64 {
        (self.served_share() + self.in_time_share()) / 2.0
    }

    pub(crate) fn in_time_share(self) -> f64 {
        self.in_time / self.came.max(1.0)
    }
}

/// The running service.
pub(crate) struct World {
    setup: Setup,
    now: u64,
    rng: ChaCha8Rng,
    number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, Event>,
    directory: Directory,
    servers: Vec<Server>,
    processes: Vec<Process>,
    quotas: Quotas,
    fleet: FleetAdmission,
    tallies: BTreeMap<(usize, u64), Tally>,
    /// Least admitted share of each rank in each 100 ms, by all processes.
    pub(crate) shares: BTreeMap<(u32, u64), f64>,
}

fn id(target: usize) -> String {
    format!("t{target:03}")
}

impl World {
    pub(crate) fn new(setup: Setup, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut directory = Directory::default();
        let mut servers = Vec::new();
        for i in 0..setup.targets {
            directory.put(at(0), Entry { slots: setup.slots, ..entry(&id(i), 1) });
            let speed = 0.5 + 1.1 * (i as f64 + 0.5) / setup.targets as f64;
            servers.push(Server { speed, phase: rng.random_range(0..2_000_000), ..Server::default() });
        }
        let service: Arc<str> = SERVICE.into();
        let ranks = || setup.kinds.iter().map(|kind| kind.rank);
        let ranks = Ranks { first: ranks().min().unwrap(), last: ranks().max().unwrap() };
        let processes = (0..setup.processes).map(|i| {
            let mut admission = Admission::default();
            if setup.by_rank {
                admission.set_services([(&service, ranks, false)].into_iter());
            }
            let loads = LocalLoads::new("z".into()).with_vm(format!("vm{i}").into());
            Process { loads, admission, waiting: Vec::new() }
        });
        let mut world = Self {
            processes: processes.collect(),
            now: 0,
            rng,
            number: 0,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            directory,
            servers,
            quotas: Quotas::default(),
            fleet: FleetAdmission::default(),
            tallies: BTreeMap::new(),
            shares: BTreeMap::new(),
            setup,
        };
        for kind in 0..world.setup.kinds.len() {
            world.plan(0, Event::New(kind));
        }
        for i in 0..world.setup.processes {
            let offset = world.rng.random_range(0..REPORT_US);
            world.plan(offset, Event::Report(i));
        }
        world
    }

    fn plan(&mut self, delay: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + delay, self.number)));
        self.bodies.insert(self.number, event);
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn peers(&self) -> u32 {
        self.setup.processes as u32
    }

    fn ranks(&self) -> Ranks {
        let ranks = || self.setup.kinds.iter().map(|kind| kind.rank);
        Ranks { first: ranks().min().unwrap(), last: ranks().max().unwrap() }
    }

    /// Runs until the end.
    pub(crate) fn run(mut self) -> Self {
        while let Some(Reverse((due, number))) = self.events.pop() {
            if due > self.setup.millis * 1_000 {
                break;
            }
            self.now = due;
            match self.bodies.remove(&number).unwrap() {
                Event::New(kind) => self.create(kind),
                Event::Arrive(process, request) => self.arrive(process, request),
                Event::Recheck(process) => self.send_waiting(process),
                Event::Reach(target, process, request, sent) => {
                    self.servers[target].queue.push_back((process, request, sent));
                    self.start(target);
                }
                Event::Finish(target, process, request, sent) => {
                    let server = &mut self.servers[target];
                    let load = server.running + server.queue.len() as u32;
                    server.running -= 1;
                    self.plan(LATENCY_US, Event::Answer(process, target, request, sent, load));
                    self.start(target);
                }
                Event::Answer(process, target, request, sent, load) => {
                    self.answer(process, target, request, sent, load);
                }
                Event::Report(process) => self.report(process),
                Event::State(process, state) => self.apply(process, &state.0, &state.1),
            }
        }
        self
    }

    fn create(&mut self, kind: usize) {
        let Kind { rate, burst: (burst, from, until), .. } = self.setup.kinds[kind];
        let is_burst = (from * 1_000..until * 1_000).contains(&self.now);
        let rate = if is_burst { burst } else { rate };
        let uniform: f64 = self.rng.random();
        self.plan((-(1.0 - uniform).ln() / rate.max(0.1) * 1e6) as u64, Event::New(kind));
        if rate == 0.0 {
            return;
        }
        let process = self.rng.random_range(0..self.setup.processes);
        let request =
            Request { kind, id: self.number.to_string(), first_at: self.now, arrived: self.now, tried: 0 };
        self.tally(&request).came += 1.0;
        self.arrive(process, request);
    }

    fn tally(&mut self, request: &Request) -> &mut Tally {
        self.tallies.entry((request.kind, request.first_at / 100_000)).or_default()
    }

    fn kind(&self, request: &Request) -> &Kind {
        &self.setup.kinds[request.kind]
    }

    fn arrive(&mut self, process: usize, mut request: Request) {
        let (now, rank) = (self.time(), self.kind(&request).rank);
        let admission = &mut self.processes[process].admission;
        let checked = admission.check(now, SERVICE, rank, &request.id);
        let share = admission.share(now, SERVICE, rank);
        let least = self.shares.entry((rank, self.now / 100_000)).or_insert(1.0);
        *least = least.min(share);
        if let Err(wait) = checked {
            let again = f64::from(u8::from(request.tried > 0));
            let tally = self.tally(&request);
            tally.refused += 1.0;
            tally.again += again;
            request.tried += 1;
            return self.retry(request, wait);
        }
        let objective = Span::from_millis(self.kind(&request).objective_ms);
        self.processes[process].admission.count_waiting(now, SERVICE, rank, objective, true);
        self.processes[process].waiting.push(request);
        self.send_waiting(process);
    }

    /// A refused caller comes back to any process, unless the wait is above a
    /// third of its remaining time.
    fn retry(&mut self, mut request: Request, wait: Span) {
        let left = (request.first_at + self.kind(&request).deadline_ms * 1_000).saturating_sub(self.now);
        if wait.as_micros() <= left / 3 && left > 50_000 {
            let process = self.rng.random_range(0..self.setup.processes);
            request.arrived = self.now + wait.as_micros();
            self.plan(wait.as_micros(), Event::Arrive(process, request));
        }
    }

    fn send_waiting(&mut self, process: usize) {
        let mut waiting = std::mem::take(&mut self.processes[process].waiting);
        if self.setup.by_rank {
            let key = |r: &Request| (self.kind(r).rank, r.first_at + self.kind(r).deadline_ms * 1_000);
            waiting.sort_by_key(key);
        }
        for request in waiting {
            let kind = self.kind(&request).clone();
            let objective = Span::from_millis(kind.objective_ms);
            let wait_max = objective.scale(WAIT_FRACTION).as_micros();
            let waited = (self.now - request.arrived) as f64 / wait_max as f64;
            let fill = if self.setup.by_rank {
                self.ranks().fill_factor(kind.rank, waited)
            } else {
                FillFactor::MAX
            };
            let (now, peers) = (self.time(), self.peers());
            let state = &mut self.processes[process];
            let demand = Criteria { fill, ..Criteria::new(0) };
            let chosen = state.loads.choose(now, &self.directory, SERVICE, peers, demand);
            let Some(target) = chosen.map(|target| target.entry.incarnation.clone()) else {
                if waited >= 1.0 {
                    state.admission.count_waiting(now, SERVICE, kind.rank, objective, false);
                    let left = (request.first_at + kind.deadline_ms * 1_000).saturating_sub(self.now);
                    let wait = Span::from_micros((left * 3 / 10).clamp(50_000, 400_000));
                    self.retry(request, wait);
                } else {
                    state.waiting.push(request);
                }
                continue;
            };
            state.admission.count_waiting(now, SERVICE, kind.rank, objective, false);
            state.loads.begin(now, &target, peers);
            let index: usize = target.id[1..].parse().unwrap();
            self.plan(LATENCY_US, Event::Reach(index, process, request, self.now));
        }
        if !self.processes[process].waiting.is_empty() {
            self.plan(RECHECK_US, Event::Recheck(process));
        }
    }

    fn start(&mut self, target: usize) {
        while self.servers[target].running < self.setup.slots
            && let Some((process, request, sent)) = self.servers[target].queue.pop_front()
        {
            let server = &mut self.servers[target];
            server.running += 1;
            let is_slow = self.setup.slow && (self.now + server.phase) % 2_000_000 < 400_000;
            let factor = if is_slow { 3.0 } else { 1.0 } / server.speed;
            let took = self.kind(&request).work_ms * factor * 1e3;
            self.plan(took as u64, Event::Finish(target, process, request, sent));
        }
    }

    fn answer(&mut self, process: usize, target: usize, request: Request, sent: u64, load: u32) {
        let (now, kind) = (self.time(), self.kind(&request).clone());
        let incarnation = super::incarnation(&id(target), 1);
        let state = &mut self.processes[process];
        let took = Span::from_micros(self.now - sent);
        state.loads.record_report(now, &incarnation, load, 1.0);
        state.loads.end(now, &incarnation, Completion::Good, took, self.setup.slots);
        let slots = self.setup.slots;
        let queue = QueueLoad { queued: load.saturating_sub(slots), slots };
        state.admission.count_ended(SERVICE, kind.rank, Span::from_millis(kind.objective_ms), took, queue);
        let took = self.now - request.first_at;
        let is_in_time = took <= kind.objective_ms * 1_000;
        let tally = self.tally(&request);
        tally.served += f64::from(u8::from(took <= kind.deadline_ms * 1_000));
        tally.in_time += f64::from(u8::from(is_in_time));
        self.send_waiting(process);
    }

    fn report(&mut self, process: usize) {
        self.plan(REPORT_US, Event::Report(process));
        let now = self.time();
        let state = &mut self.processes[process];
        let report = state.admission.report(now);
        if process < self.setup.cut_off || self.now > self.setup.leader_until * 1_000 {
            return;
        }
        self.quotas.report(now, &format!("vm{process}").into(), state.loads.in_flight(), Vec::new());
        self.fleet.record(now, &report, |_| true);
        let targets: Vec<&Target> = self.directory.of_service(SERVICE).collect();
        let levels = Levels::new(SERVICE.into(), &targets, |id| self.quotas.load(id));
        let shares = self.fleet.shares(now);
        self.plan(2 * LATENCY_US, Event::State(process, Box::new((shares, levels))));
    }

    fn apply(&mut self, process: usize, shares: &FleetShares, levels: &Levels) {
        let (now, peers) = (self.time(), self.peers());
        let targets: Vec<&Target> = self.directory.of_service(SERVICE).collect();
        let state = &mut self.processes[process];
        for (incarnation, load) in levels.unpack(&targets).unwrap() {
            if self.setup.by_rank {
                state.loads.track(&incarnation);
            }
            state.loads.record_total(now, &incarnation.id, load.total, peers);
        }
        state.admission.apply(now, shares);
        self.send_waiting(process);
    }

    /// Returns what became of the requests of a kind that came first within a
    /// time, in milliseconds.
    pub(crate) fn tally_of(&self, kind: usize, from: u64, until: u64) -> Tally {
        let mut sum = Tally::default();
        for (_, tally) in self.tallies.range((kind, from / 100)..(kind, until / 100)) {
            sum.came += tally.came;
            sum.served += tally.served;
            sum.in_time += tally.in_time;
            sum.refused += tally.refused;
            sum.again += tally.again;
        }
        sum
    }

    /// Returns the least share of a rank that a process admitted within a time,
    /// in milliseconds.
    pub(crate) fn least_share(&self, rank: u32, from: u64, until: u64) -> f64 {
        let shares = self.shares.range((rank, from / 100)..(rank, until / 100));
        shares.map(|(_, share)| *share).fold(1.0, f64::min)
    }
}
