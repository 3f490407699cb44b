//! A small event loop in virtual time that drives the real decision code:
//! entry VMs with their tables, and servers with slots.

use {
    crate::arrivals::Work,
    catkin::{
        Code, Error,
        api::Load,
        choose::{Loads, Rule},
        config::Policy,
        dispatch::{Event, Job, JobId, Outcome, Table},
        retry::{self, Budget, Decision, Failure, History},
        types::{Span, TargetId, Time, VmId},
        wire::{Class, Gossip},
    },
    hdrhistogram::Histogram,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap, VecDeque},
    },
};

/// One way between two VMs of different zones.
pub(crate) const WIRE: Span = Span::from_micros(500);
const TICK: Span = Span::from_millis(5);
const GOSSIP_PERIOD: Span = Span::from_millis(250);
const REPORT_PERIOD: Span = Span::from_secs(1);
const SAMPLE_PERIOD: Span = Span::from_millis(10);
/// Time after which a connection without progress counts as silent.
const SILENT: Span = Span::from_millis(250);
const CONNECTIONS_MAX: usize = 100;
const JOB_BITS: u32 = 40;
const SLOW_FACTOR: f64 = 4.0;
/// Work gets done best with two requests at a time.
const THRASH_KNEE: f64 = 2.0;
const FIFO_LENGTH: usize = 256;
/// Largest time that a histogram holds: 10 minutes.
const MICROS_MAX: u64 = 600_000_000;

/// How requests reach the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Through the keeper's queue.
    Keeper,
    /// From the accepting VM, with counts exchanged between VMs.
    Direct,
    /// To a random server, which queues by itself; a baseline.
    Random,
    /// To the better of two by their reports; a baseline.
    Reported,
    /// From one queue for the whole service; a baseline.
    Fifo,
}

impl Mode {
    /// All modes.
    pub(crate) const ALL: [Self; 5] = [Self::Keeper, Self::Direct, Self::Random, Self::Reported, Self::Fifo];

    /// Returns the name in the report.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Keeper => "keeper",
            Self::Direct => "direct",
            Self::Random => "random",
            Self::Reported => "reported",
            Self::Fifo => "fifo",
        }
    }

    fn rule(self) -> Rule {
        match self {
            Self::Keeper => Rule::Two,
            Self::Direct => Rule::Shared,
            Self::Random | Self::Fifo => Rule::Random,
            Self::Reported => Rule::Reported,
        }
    }
}

/// State of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Runs work.
    Up,
    /// Refuses connections.
    Dead,
    /// Accepts requests and never answers.
    Frozen,
    /// Refuses requests without running them.
    Shedding,
    /// Takes four times as long for everything.
    Slow,
    /// Takes longer the more requests run, and gets less done with each.
    Thrashing,
}

impl Health {
    /// Returns how long a request runs beside others.
    fn run(self, run: Span, running: usize) -> Span {
        match self {
            Self::Slow => run.scale(SLOW_FACTOR),
            Self::Thrashing => run.scale((running as f64).powi(2) / THRASH_KNEE),
            Self::Up | Self::Dead | Self::Frozen | Self::Shedding => run,
        }
    }
}

/// A change of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// When it happens.
    pub(crate) at: Time,
    /// The server.
    pub(crate) server: usize,
    /// The state that it gets.
    pub(crate) health: Health,
}

/// Set-up of a run.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    /// How requests reach the servers.
    pub(crate) mode: Mode,
    /// Number of entry VMs.
    pub(crate) vms: usize,
    /// Number of servers.
    pub(crate) servers: usize,
    /// Slots of each server.
    pub(crate) server_slots: u32,
    /// Policy of the service.
    pub(crate) policy: Policy,
    /// Changes of servers, in any order.
    pub(crate) faults: Vec<Fault>,
    /// Work that arrives before this moment warms up and is not counted.
    pub(crate) warm: Span,
    /// Whether a keeper puts the depth of its queue into each answer.
    pub(crate) tells_depth: bool,
    /// Time between two exchanges of depths or counts.
    pub(crate) gossip: Span,
    /// Seed of the choices.
    pub(crate) seed: u64,
}

impl Setup {
    /// Makes a set-up of 8 entry VMs and 8 servers.
    pub(crate) fn new(mode: Mode) -> Self {
        Self {
            mode,
            vms: 8,
            servers: 8,
            server_slots: Policy::default().slots,
            policy: Policy::default(),
            faults: Vec::new(),
            warm: Span::from_secs(2),
            tells_depth: true,
            gossip: GOSSIP_PERIOD,
            seed: 1,
        }
    }

    /// Returns the slots of all servers.
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.server_slots) * self.servers as f64
    }
}

/// How a unit of work ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Answered in time.
    Good,
    /// Admitted and not answered in time.
    Late,
    /// Refused as not run.
    Shed,
    /// The outcome is unknown.
    Unknown,
}

/// What became of one unit of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fate {
    /// How it ended.
    pub(crate) end: End,
    /// Time from arrival to answer.
    pub(crate) span: Span,
    /// How often a server began to run it.
    pub(crate) runs: u32,
    /// How often it was sent towards a server, whether it arrived or not.
    pub(crate) tries: u32,
    /// Hops between entry VMs.
    pub(crate) hops: u32,
    /// Whether it was refused after waiting in a queue.
    pub(crate) waited: bool,
}

/// Slots in use at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// The moment.
    pub(crate) at: Time,
    /// Requests running or queued at each server.
    pub(crate) busy: Vec<u32>,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Outcomes {
    /// The work, in the order of arrival.
    pub(crate) work: Vec<Work>,
    /// What became of it, in the same order.
    pub(crate) fates: Vec<Fate>,
    /// Samples of the servers.
    pub(crate) samples: Vec<Sample>,
    /// Where counting begins.
    pub(crate) warm: Time,
}

impl Outcomes {
    /// Returns the counted units of a class with their fates.
    pub(crate) fn of(&self, class: Class) -> impl Iterator<Item = (&Work, &Fate)> {
        let pairs = self.work.iter().zip(&self.fates);
        pairs.filter(move |(work, _)| work.class == class && work.at >= self.warm)
    }

    /// Counts the units of a class that ended in one way.
    pub(crate) fn count(&self, class: Class, end: End) -> f64 {
        self.of(class).filter(|(_, fate)| fate.end == end).count() as f64
    }

    /// Returns a quantile of the times of good answers, in milliseconds.
    pub(crate) fn quantile(&self, class: Class, share: f64) -> f64 {
        let good = self.of(class).filter(|(_, fate)| fate.end == End::Good);
        quantile(good.map(|(_, fate)| fate.span), share)
    }

    /// Returns the mean share of slots in use between two moments.
    pub(crate) fn in_use(&self, setup: &Setup, from: Time, to: Time) -> f64 {
        let samples = self.samples.iter().filter(|sample| sample.at >= from && sample.at < to);
        let slots = setup.server_slots;
        let used = |sample: &Sample| sample.busy.iter().map(|busy| f64::from(*busy.min(&slots))).sum::<f64>();
        mean(samples.map(|sample| used(sample) / setup.slots()))
    }
}

/// Returns a quantile in milliseconds, or not a number if there is no value.
pub(crate) fn quantile(spans: impl Iterator<Item = Span>, share: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MICROS_MAX, 3) else { return f64::NAN };
    spans.for_each(|span| histogram.saturating_record(span.as_micros()));
    if histogram.is_empty() {
        return f64::NAN;
    }
    histogram.value_at_quantile(share) as f64 / 1e3
}

/// Returns the mean, or not a number if there is no value.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    sum / count
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Queue(Try),
    Reach(Try),
    Done(Try, u32),
    Return(Try, Reply),
    Answer(Try, Reply, Option<u32>),
    Fault(usize),
    Tick,
    Gossip,
    Report,
    Sample,
}

/// One try of a unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Try {
    unit: usize,
    number: u32,
    server: usize,
}

impl Try {
    fn id(self) -> JobId {
        JobId(u64::from(self.number) << JOB_BITS | self.unit as u64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Ok,
    Late,
    Unsent(u16),
    Refused,
    Lost,
}

struct Vm {
    id: VmId,
    loads: Loads,
    table: Table,
    budget: Budget,
}

struct Server {
    id: TargetId,
    health: Health,
    running: BTreeSet<Try>,
    queue: VecDeque<Try>,
    epoch: u32,
}

struct Unit {
    vm: usize,
    history: History,
    tried: Vec<TargetId>,
    current: Option<Try>,
    runs: u32,
    tries: u32,
    hops: u32,
    waited: bool,
    fate: Option<Fate>,
}

/// Runs work through a set-up until the last unit has ended.
pub(crate) fn run(setup: &Setup, work: &[Work]) -> Outcomes {
    let mut world = World::new(setup, work);
    world.run();
    let none = Fate { end: End::Unknown, span: Span::ZERO, runs: 0, tries: 0, hops: 0, waited: false };
    let fates = world.units.iter().map(|unit| unit.fate.unwrap_or(none)).collect();
    let warm = Time::default().after(setup.warm);
    Outcomes { work: work.to_vec(), fates, samples: world.samples, warm }
}

struct World<'a> {
    setup: &'a Setup,
    work: &'a [Work],
    now: Time,
    steps: BinaryHeap<Reverse<(Time, u64, Step)>>,
    number: u64,
    open: usize,
    random: ChaCha8Rng,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    units: Vec<Unit>,
    fifo: VecDeque<Try>,
    samples: Vec<Sample>,
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup, work: &'a [Work]) -> Self {
        let mut world = Self {
            setup,
            work,
            now: Time::default(),
            steps: BinaryHeap::new(),
            number: 0,
            open: work.len(),
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            vms: (0..setup.vms).map(|number| new_vm(setup, number)).collect(),
            servers: (0..setup.servers).map(new_server).collect(),
            units: work.iter().map(|work| new_unit(setup, work)).collect(),
            fifo: VecDeque::new(),
            samples: Vec::new(),
        };
        world.add_targets();
        for (unit, work) in work.iter().enumerate() {
            world.schedule(work.at, Step::Arrive(unit));
        }
        for (number, fault) in setup.faults.iter().enumerate() {
            world.schedule(fault.at, Step::Fault(number));
        }
        for step in [Step::Tick, Step::Gossip, Step::Report, Step::Sample] {
            world.schedule(Time::default(), step);
        }
        world
    }

    fn add_targets(&mut self) {
        for (number, server) in self.servers.iter().enumerate() {
            for (vm, row) in self.vms.iter_mut().enumerate() {
                row.loads.add(Time::default(), &server.id, false);
                let keeps = match self.setup.mode {
                    Mode::Keeper => number % self.setup.vms == vm,
                    Mode::Direct => true,
                    Mode::Random | Mode::Reported | Mode::Fifo => false,
                };
                if keeps {
                    row.table.set(&server.id, &self.setup.policy);
                }
            }
        }
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at, self.number, step)));
    }

    fn schedule_in(&mut self, span: Span, step: Step) {
        self.schedule(self.now.after(span), step);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now = at;
            if self.open == 0 {
                return;
            }
            self.apply(step);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(unit) => self.choose(unit),
            Step::Queue(attempt) => self.queue(attempt),
            Step::Reach(attempt) => self.reach(attempt),
            Step::Done(attempt, epoch) => self.done(attempt, epoch),
            Step::Return(attempt, reply) => self.returned(attempt, reply),
            Step::Answer(attempt, reply, depth) => self.answer(attempt, reply, depth),
            Step::Fault(number) => self.fault(number),
            Step::Tick => self.tick(),
            Step::Gossip => self.gossip(),
            Step::Report => self.report(),
            Step::Sample => self.sample(),
        }
    }

    fn choose(&mut self, unit: usize) {
        let row = &self.units[unit];
        let number = row.history.tries();
        if self.setup.mode == Mode::Fifo {
            return self.enqueue(Try { unit, number, server: 0 });
        }
        let random = [self.random.random(), self.random.random()];
        let loads = &mut self.vms[row.vm].loads;
        let target = loads.choose_except(self.now, self.setup.mode.rule(), random, &row.tried);
        let server = self.servers.iter().position(|server| Some(&server.id) == target.as_ref());
        let Some(server) = server else { return self.end(unit, End::Shed) };
        loads.begin(&self.servers[server].id);
        let attempt = Try { unit, number, server };
        self.units[unit].current = Some(attempt);
        match self.setup.mode {
            Mode::Keeper => self.forward(attempt),
            Mode::Direct => self.queue(attempt),
            Mode::Random | Mode::Reported | Mode::Fifo => self.send(attempt),
        }
    }

    fn forward(&mut self, attempt: Try) {
        if self.hop(attempt).is_zero() {
            return self.queue(attempt);
        }
        self.units[attempt.unit].hops += 1;
        self.schedule_in(WIRE, Step::Queue(attempt));
    }

    /// Returns the VM whose table holds a try.
    fn home(&self, attempt: Try) -> usize {
        match self.setup.mode {
            Mode::Keeper => attempt.server % self.setup.vms,
            _ => self.units[attempt.unit].vm,
        }
    }

    fn hop(&self, attempt: Try) -> Span {
        if self.home(attempt) == self.units[attempt.unit].vm { Span::ZERO } else { WIRE }
    }

    fn has_table(&self) -> bool {
        matches!(self.setup.mode, Mode::Keeper | Mode::Direct)
    }

    fn queue(&mut self, attempt: Try) {
        let work = self.work[attempt.unit];
        let target = self.servers[attempt.server].id.clone();
        let deadline = work.at.after(work.deadline);
        let job = Job { id: attempt.id(), target: target.clone(), class: work.class, deadline, length: None };
        let home = self.home(attempt);
        match self.vms[home].table.push(self.now, job) {
            Ok(()) => self.poll(home, &target),
            Err(error) => self.back(attempt, Reply::Unsent(error.code().number())),
        }
    }

    fn poll(&mut self, vm: usize, target: &TargetId) {
        let events = self.vms[vm].table.poll(self.now, target);
        self.follow(events);
    }

    fn follow(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Start(id) => {
                    let attempt = self.attempt(id);
                    self.send(attempt);
                }
                Event::Refuse(id, error) => {
                    let attempt = self.attempt(id);
                    self.units[attempt.unit].waited = true;
                    self.back(attempt, Reply::Unsent(error.code().number()));
                }
            }
        }
    }

    fn attempt(&self, id: JobId) -> Try {
        let unit = (id.0 & ((1 << JOB_BITS) - 1)) as usize;
        let number = (id.0 >> JOB_BITS) as u32;
        let server = self.units[unit].current.map(|attempt| attempt.server).unwrap_or_default();
        Try { unit, number, server }
    }

    fn send(&mut self, attempt: Try) {
        self.units[attempt.unit].tries += 1;
        self.schedule_in(WIRE, Step::Reach(attempt));
    }

    fn reach(&mut self, attempt: Try) {
        let server = &mut self.servers[attempt.server];
        if server.health == Health::Dead {
            return self
                .schedule_in(WIRE, Step::Return(attempt, Reply::Unsent(Code::ConnectFailed.number())));
        }
        match server.health {
            Health::Frozen => self.schedule_in(SILENT, Step::Return(attempt, Reply::Lost)),
            Health::Shedding => self.schedule_in(WIRE, Step::Return(attempt, Reply::Refused)),
            _ if server.queue.len() + server.running.len() >= CONNECTIONS_MAX => {
                self.schedule_in(WIRE, Step::Return(attempt, Reply::Refused));
            }
            _ => {
                server.queue.push_back(attempt);
                self.serve(attempt.server);
            }
        }
    }

    /// Starts queued requests on a server while it has free slots.
    fn serve(&mut self, number: usize) {
        let slots = self.setup.server_slots as usize;
        while self.servers[number].running.len() < slots {
            let Some(attempt) = self.servers[number].queue.pop_front() else { return };
            self.start(attempt);
        }
    }

    fn start(&mut self, attempt: Try) {
        let work = self.work[attempt.unit];
        self.units[attempt.unit].runs += 1;
        let server = &mut self.servers[attempt.server];
        server.running.insert(attempt);
        let epoch = server.epoch;
        let deadline = work.at.after(work.deadline);
        let run = server.health.run(work.run, server.running.len());
        let end = self.now.after(run).min(deadline.max(self.now));
        self.schedule(end, Step::Done(attempt, epoch));
    }

    /// Ends a run, at its deadline at the latest, because servers accept
    /// deadlines.
    fn done(&mut self, attempt: Try, epoch: u32) {
        let server = &mut self.servers[attempt.server];
        if server.epoch != epoch || server.health == Health::Frozen {
            return;
        }
        server.running.remove(&attempt);
        let work = self.work[attempt.unit];
        let late = self.now >= work.at.after(work.deadline);
        self.schedule_in(WIRE, Step::Return(attempt, if late { Reply::Late } else { Reply::Ok }));
        self.serve(attempt.server);
        self.serve_fifo();
    }

    fn returned(&mut self, attempt: Try, reply: Reply) {
        if self.has_table() {
            let outcome = match reply {
                Reply::Ok => Outcome::Ok,
                Reply::Late => Outcome::TimedOut,
                Reply::Refused => Outcome::Refused,
                Reply::Unsent(_) | Reply::Lost => Outcome::Failed,
            };
            let home = self.home(attempt);
            let target = self.servers[attempt.server].id.clone();
            self.vms[home].table.finish(self.now, attempt.id(), outcome);
            self.poll(home, &target);
        }
        self.back(attempt, reply);
    }

    /// Takes a reply to the accepting VM.
    fn back(&mut self, attempt: Try, reply: Reply) {
        let depth = self.depth(attempt);
        match self.hop(attempt) {
            Span::ZERO => self.answer(attempt, reply, depth),
            hop => self.schedule_in(hop, Step::Answer(attempt, reply, depth)),
        }
    }

    /// Returns the depth that a keeper puts into its answer.
    fn depth(&self, attempt: Try) -> Option<u32> {
        let keeper = &self.vms[self.home(attempt)].table;
        let told = self.setup.mode == Mode::Keeper && self.setup.tells_depth;
        told.then(|| keeper.depth(&self.servers[attempt.server].id))
    }

    fn answer(&mut self, attempt: Try, reply: Reply, depth: Option<u32>) {
        let unit = attempt.unit;
        let vm = self.units[unit].vm;
        let target = self.servers[attempt.server].id.clone();
        let fault = match reply {
            Reply::Ok | Reply::Late => false,
            Reply::Unsent(number) => number == Code::ConnectFailed.number(),
            Reply::Refused | Reply::Lost => true,
        };
        if self.setup.mode != Mode::Fifo {
            self.vms[vm].loads.end(self.now, &target, fault);
        }
        if let Some(depth) = depth {
            let gossip = Gossip { target: target.clone(), depth, rate: 0, open: true };
            self.vms[vm].loads.hear(self.now, &gossip);
        }
        match reply {
            Reply::Ok => {
                self.vms[vm].budget.succeed(self.now);
                let late = self.now > self.work[unit].at.after(self.work[unit].deadline);
                self.end(unit, if late { End::Late } else { End::Good });
            }
            Reply::Late => self.end(unit, End::Late),
            Reply::Unsent(number) => {
                let code = Code::from_number(number).unwrap_or(Code::Internal);
                self.failed(unit, target, Failure::Unsent(Error::new(code, "not sent")));
            }
            Reply::Refused => {
                self.failed(unit, target, Failure::Refused(Error::new(Code::TargetRefused, "refused")));
            }
            Reply::Lost => {
                self.failed(unit, target, Failure::Lost(Error::new(Code::OutcomeUnknown, "lost")));
            }
        }
    }

    fn failed(&mut self, unit: usize, target: TargetId, failure: Failure) {
        let row = &mut self.units[unit];
        row.tried.push(target);
        let budget = &mut self.vms[row.vm].budget;
        match retry::decide(self.now, &self.setup.policy, budget, &mut row.history, failure) {
            Decision::Retry => self.choose(unit),
            Decision::Stop(error) if error.is_not_run() => self.end(unit, End::Shed),
            Decision::Stop(_) => self.end(unit, End::Unknown),
        }
    }

    fn end(&mut self, unit: usize, end: End) {
        let row = &mut self.units[unit];
        if row.fate.is_some() {
            return;
        }
        let span = self.now.since(self.work[unit].at);
        let Unit { runs, tries, hops, waited, .. } = *row;
        row.fate = Some(Fate { end, span, runs, tries, hops, waited });
        self.open -= 1;
    }

    fn enqueue(&mut self, attempt: Try) {
        if self.fifo.len() >= FIFO_LENGTH * self.setup.servers {
            return self.end(attempt.unit, End::Shed);
        }
        self.fifo.push_back(attempt);
        self.serve_fifo();
    }

    /// Starts work of the one queue on the least loaded server.
    fn serve_fifo(&mut self) {
        while !self.fifo.is_empty() {
            let up = (0..self.servers.len()).filter(|number| self.servers[*number].health == Health::Up);
            let Some(server) = up.min_by_key(|number| self.servers[*number].running.len()) else { return };
            if self.servers[server].running.len() >= self.setup.server_slots as usize {
                return;
            }
            let Some(attempt) = self.fifo.pop_front() else { return };
            let work = self.work[attempt.unit];
            if self.now >= work.at.after(work.deadline) {
                self.units[attempt.unit].waited = true;
                self.end(attempt.unit, End::Shed);
                continue;
            }
            self.units[attempt.unit].tries += 1;
            self.start(Try { server, ..attempt });
        }
    }

    fn fault(&mut self, number: usize) {
        let fault = self.setup.faults[number];
        let server = &mut self.servers[fault.server];
        server.health = fault.health;
        if !matches!(fault.health, Health::Dead | Health::Frozen) {
            return;
        }
        server.epoch += 1;
        let mut lost: Vec<Try> = std::mem::take(&mut server.running).into_iter().collect();
        lost.extend(std::mem::take(&mut server.queue));
        let delay = if fault.health == Health::Dead { WIRE } else { SILENT };
        for attempt in lost {
            self.schedule_in(delay, Step::Return(attempt, Reply::Lost));
        }
    }

    fn tick(&mut self) {
        self.schedule_in(TICK, Step::Tick);
        for vm in 0..self.vms.len() {
            let events = self.vms[vm].table.tick(self.now);
            self.follow(events);
        }
    }

    fn gossip(&mut self) {
        self.schedule_in(self.setup.gossip, Step::Gossip);
        match self.setup.mode {
            Mode::Keeper => self.gossip_depths(),
            Mode::Direct => self.gossip_counts(),
            Mode::Random | Mode::Reported | Mode::Fifo => {}
        }
    }

    fn gossip_depths(&mut self) {
        for (number, server) in self.servers.iter().enumerate() {
            let keeper = &self.vms[number % self.setup.vms].table;
            let target = server.id.clone();
            let gossip =
                Gossip { depth: keeper.depth(&target), rate: 0, open: keeper.is_open(&target), target };
            self.vms.iter_mut().for_each(|vm| vm.loads.hear(self.now, &gossip));
        }
    }

    fn gossip_counts(&mut self) {
        for server in &self.servers {
            let rows: Vec<(VmId, u32)> =
                self.vms.iter().map(|vm| (vm.id.clone(), vm.loads.own(&server.id))).collect();
            let running: u32 = self.vms.iter().map(|vm| vm.table.running(&server.id)).sum();
            for vm in &mut self.vms {
                for (peer, count) in rows.iter().filter(|(peer, _)| *peer != vm.id) {
                    vm.loads.hear_peer(self.now, peer, &server.id, *count);
                }
                let load = Load { running, slots: self.setup.server_slots, ..Load::default() };
                vm.table.report(&server.id, &load);
            }
        }
    }

    fn report(&mut self) {
        self.schedule_in(REPORT_PERIOD, Step::Report);
        if self.setup.mode != Mode::Reported {
            return;
        }
        for server in &self.servers {
            let running = (server.running.len() + server.queue.len()) as u32;
            let load = Load { running, slots: self.setup.server_slots, ..Load::default() };
            self.vms.iter_mut().for_each(|vm| vm.loads.report(self.now, &server.id, &load));
        }
    }

    fn sample(&mut self) {
        self.schedule_in(SAMPLE_PERIOD, Step::Sample);
        let busy = self.servers.iter().map(|server| (server.running.len() + server.queue.len()) as u32);
        self.samples.push(Sample { at: self.now, busy: busy.collect() });
    }
}

fn new_vm(setup: &Setup, number: usize) -> Vm {
    let id = VmId::new(format!("entry-{number}")).expect("the name is an id");
    Vm { id, loads: Loads::new(), table: Table::new(), budget: Budget::new(&setup.policy) }
}

fn new_server(number: usize) -> Server {
    let id = TargetId::new(format!("target-{number}")).expect("the name is an id");
    Server { id, health: Health::Up, running: BTreeSet::new(), queue: VecDeque::new(), epoch: 0 }
}

fn new_unit(setup: &Setup, work: &Work) -> Unit {
    Unit {
        vm: (work.pick % setup.vms as u64) as usize,
        history: History::new(work.idempotent, work.at.after(work.deadline)),
        tried: Vec::new(),
        current: None,
        runs: 0,
        tries: 0,
        hops: 0,
        waited: false,
        fate: None,
    }
}
