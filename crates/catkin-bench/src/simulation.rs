//! Discrete-event simulation in virtual time of entry VMs and servers. The VMs
//! run the decision code of the library; the servers are modelled by slots.

use {
    crate::arrivals::Work,
    catkin::{
        Code, Error,
        api::Load,
        choose::{Strategy, TargetLoads},
        config::Policy,
        dispatch::{Action, Dispatcher, Job, JobId, Outcome},
        retry::{self, Budget, Decision, Failure, History},
        types::{Span, TargetId, Time, VmId},
        wire::{Class, LoadReport},
    },
    hdrhistogram::Histogram,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap, VecDeque},
    },
};

/// One-way network delay between two VMs of different zones.
pub(crate) const HOP_DELAY: Span = Span::from_micros(500);
const TICK: Span = Span::from_millis(5);
/// Time between two exchanges of queue lengths by keepers, as in the gateway.
const DEPTH_GOSSIP_PERIOD: Span = Span::from_secs(1);
/// Time between two exchanges of the request counts of VMs in direct dispatch.
const COUNT_GOSSIP_PERIOD: Span = Span::from_millis(250);
const LOAD_REPORT_PERIOD: Span = Span::from_secs(1);
const SAMPLE_PERIOD: Span = Span::from_millis(10);
/// Time after which a connection without progress times out.
const TIMEOUT: Span = Span::from_millis(250);
const CONNECTIONS_MAX: usize = 100;
/// Low bits of a job id that hold the unit; the rest holds the attempt.
const UNIT_BITS: u32 = 40;
const SLOW_FACTOR: f64 = 4.0;
/// A thrashing server multiplies the run time of `n` concurrent requests by
/// `n`² over this number: two of them take twice their time each.
const THRASH_DIVISOR: f64 = 2.0;
const FIFO_LENGTH_PER_SERVER: usize = 256;
/// Largest value of a histogram: 10 minutes.
const MICROS_MAX: u64 = 600_000_000;

/// How requests reach the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Through the queue of the target's keeper.
    Keeper,
    /// Directly from the accepting VM; the VMs exchange their request counts.
    Direct,
    /// To a random server, which queues the requests itself; a baseline.
    Random,
    /// To the one of two servers that reports less load; a baseline.
    Reported,
    /// From one queue for the whole service; a baseline.
    Fifo,
}

impl Mode {
    pub(crate) const ALL: [Self; 5] = [Self::Keeper, Self::Direct, Self::Random, Self::Reported, Self::Fifo];

    /// Returns the part of a measure name that stands for the mode.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Keeper => "keeper",
            Self::Direct => "direct",
            Self::Random => "random",
            Self::Reported => "reported",
            Self::Fifo => "fifo",
        }
    }

    fn strategy(self) -> Strategy {
        match self {
            Self::Keeper => Strategy::LeastOfTwo,
            Self::Direct => Strategy::Shared,
            Self::Random | Self::Fifo => Strategy::Random,
            Self::Reported => Strategy::Reported,
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
    /// Needs four times as long for each request.
    Slow,
    /// Needs longer for each request the more requests run, so that its
    /// throughput falls.
    Thrashing,
}

impl Health {
    /// Returns the time that a request takes while `running` requests run,
    /// itself included.
    fn run_time(self, usual: Span, running: usize) -> Span {
        match self {
            Self::Slow => usual.scale(SLOW_FACTOR),
            Self::Thrashing => usual.scale((running as f64).powi(2) / THRASH_DIVISOR),
            Self::Up | Self::Dead | Self::Frozen | Self::Shedding => usual,
        }
    }
}

/// A change of the state of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// When it happens.
    pub(crate) at: Time,
    /// Number of the server.
    pub(crate) server: usize,
    /// The state from then on.
    pub(crate) health: Health,
}

/// Parameters of a simulation run.
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
    /// Policy of the service, whose slots may differ from the servers'.
    pub(crate) policy: Policy,
    /// Faults, in any order.
    pub(crate) faults: Vec<Fault>,
    /// Work that arrives within this time from the start is not counted.
    pub(crate) warm_up: Span,
    /// Whether a keeper adds the length of its queue to each answer.
    pub(crate) reports_depth: bool,
    /// Time between two exchanges of queue lengths or counts.
    pub(crate) gossip_period: Span,
    /// Seed of the random choices of servers.
    pub(crate) seed: u64,
}

impl Setup {
    /// Makes a set-up of 8 entry VMs and 8 servers without faults.
    pub(crate) fn new(mode: Mode) -> Self {
        Self {
            mode,
            vms: 8,
            servers: 8,
            server_slots: Policy::default().slots,
            policy: Policy::default(),
            faults: Vec::new(),
            warm_up: Span::from_secs(2),
            reports_depth: true,
            gossip_period: if mode == Mode::Keeper { DEPTH_GOSSIP_PERIOD } else { COUNT_GOSSIP_PERIOD },
            seed: 1,
        }
    }

    /// Returns the number of slots of all servers.
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.server_slots) * self.servers as f64
    }
}

/// How a unit of work ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Answered in time.
    Good,
    /// Admitted, and not answered in time.
    Late,
    /// Refused, and reported as not run.
    Shed,
    /// The outcome is unknown.
    Unknown,
}

/// The result of one unit of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnitResult {
    pub(crate) end: End,
    /// Time from arrival to answer.
    pub(crate) latency: Span,
    /// Number of times that a server started it.
    pub(crate) runs: u32,
    /// Number of times that it was sent to a server, whether it arrived or not.
    pub(crate) attempts: u32,
    /// Number of times that one entry VM forwarded it to another.
    pub(crate) hops: u32,
    /// Whether it was refused after waiting in a queue.
    pub(crate) waited: bool,
}

/// Requests at the servers at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Time of the sample.
    pub(crate) at: Time,
    /// Requests running or queued at each server, by its number.
    pub(crate) busy: Vec<u32>,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Outcomes {
    /// The work, in the order of arrival.
    pub(crate) work: Vec<Work>,
    /// The result of each unit, in the same order.
    pub(crate) results: Vec<UnitResult>,
    /// Samples in the order of time.
    pub(crate) samples: Vec<Sample>,
    /// Work that arrives earlier is not counted.
    pub(crate) counted_from: Time,
}

impl Outcomes {
    /// Returns the counted units of a class with their results.
    pub(crate) fn of(&self, class: Class) -> impl Iterator<Item = (&Work, &UnitResult)> {
        let pairs = self.work.iter().zip(&self.results);
        pairs.filter(move |(work, _)| work.class == class && work.at >= self.counted_from)
    }

    /// Returns how many counted units of a class ended in this way.
    pub(crate) fn count(&self, class: Class, end: End) -> f64 {
        self.of(class).filter(|(_, result)| result.end == end).count() as f64
    }

    /// Returns a quantile of the latencies of good answers, in milliseconds.
    pub(crate) fn quantile(&self, class: Class, share: f64) -> f64 {
        let good = self.of(class).filter(|(_, result)| result.end == End::Good);
        quantile(good.map(|(_, result)| result.latency), share)
    }

    /// Returns the mean share of slots in use from `from` until `to`.
    pub(crate) fn in_use(&self, setup: &Setup, from: Time, to: Time) -> f64 {
        let samples = self.samples.iter().filter(|sample| sample.at >= from && sample.at < to);
        let slots = setup.server_slots;
        let used = |sample: &Sample| sample.busy.iter().map(|busy| f64::from(*busy.min(&slots))).sum::<f64>();
        mean(samples.map(|sample| used(sample) / setup.slots()))
    }
}

/// Returns a quantile in milliseconds, or NaN without values.
pub(crate) fn quantile(spans: impl Iterator<Item = Span>, share: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MICROS_MAX, 3) else { return f64::NAN };
    spans.for_each(|span| histogram.saturating_record(span.as_micros()));
    if histogram.is_empty() {
        return f64::NAN;
    }
    histogram.value_at_quantile(share) as f64 / 1e3
}

/// Returns the mean, or NaN without values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    sum / count
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Queue(Attempt),
    ReachServer(Attempt),
    FinishRun(Attempt, u32),
    ReturnReply(Attempt, Reply),
    DeliverReply(Attempt, Reply, Option<u32>),
    Fault(usize),
    Tick,
    Gossip,
    Report,
    Sample,
}

/// One attempt for a unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    unit: usize,
    number: u32,
    server: usize,
}

impl Attempt {
    fn id(self) -> JobId {
        JobId(u64::from(self.number) << UNIT_BITS | self.unit as u64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Ok,
    Late,
    /// Not sent, with the number of the error code.
    Unsent(u16),
    Refused,
    /// Timed out, or the connection ended before the answer.
    NoAnswer,
}

struct Vm {
    id: VmId,
    loads: TargetLoads,
    table: Dispatcher,
    budget: Budget,
}

struct Server {
    id: TargetId,
    health: Health,
    running: BTreeSet<Attempt>,
    queue: VecDeque<Attempt>,
    /// Number of crashes and freezes; ends of runs from before are ignored.
    epoch: u32,
}

struct Unit {
    /// Number of the accepting VM.
    vm: usize,
    history: History,
    tried_targets: Vec<TargetId>,
    current: Option<Attempt>,
    runs: u32,
    attempts: u32,
    hops: u32,
    waited: bool,
    result: Option<UnitResult>,
}

/// Simulates a set-up with this work until the last unit has ended.
pub(crate) fn run(setup: &Setup, work: &[Work]) -> Outcomes {
    let mut simulation = Simulation::new(setup, work);
    simulation.run();
    let unfinished =
        UnitResult { end: End::Unknown, latency: Span::ZERO, runs: 0, attempts: 0, hops: 0, waited: false };
    let results = simulation.units.iter().map(|unit| unit.result.unwrap_or(unfinished)).collect();
    let counted_from = Time::default().after(setup.warm_up);
    Outcomes { work: work.to_vec(), results, samples: simulation.samples, counted_from }
}

struct Simulation<'a> {
    setup: &'a Setup,
    work: &'a [Work],
    now: Time,
    pending: BinaryHeap<Reverse<(Time, u64, Step)>>,
    /// Number of scheduled steps, which orders steps at the same time.
    sequence: u64,
    open_units: usize,
    random: ChaCha8Rng,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    units: Vec<Unit>,
    fifo: VecDeque<Attempt>,
    samples: Vec<Sample>,
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, work: &'a [Work]) -> Self {
        let mut simulation = Self {
            setup,
            work,
            now: Time::default(),
            pending: BinaryHeap::new(),
            sequence: 0,
            open_units: work.len(),
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            vms: (0..setup.vms).map(|number| new_vm(setup, number)).collect(),
            servers: (0..setup.servers).map(new_server).collect(),
            units: work.iter().map(|work| new_unit(setup, work)).collect(),
            fifo: VecDeque::new(),
            samples: Vec::new(),
        };
        simulation.add_targets();
        for (unit, work) in work.iter().enumerate() {
            simulation.schedule(work.at, Step::Arrive(unit));
        }
        for (number, fault) in setup.faults.iter().enumerate() {
            simulation.schedule(fault.at, Step::Fault(number));
        }
        for step in [Step::Tick, Step::Gossip, Step::Report, Step::Sample] {
            simulation.schedule(Time::default(), step);
        }
        simulation
    }

    fn add_targets(&mut self) {
        for (number, server) in self.servers.iter().enumerate() {
            for (vm_number, vm) in self.vms.iter_mut().enumerate() {
                vm.loads.add(Time::default(), &server.id, false);
                let holds_table = match self.setup.mode {
                    Mode::Keeper => number % self.setup.vms == vm_number,
                    Mode::Direct => true,
                    Mode::Random | Mode::Reported | Mode::Fifo => false,
                };
                if holds_table {
                    vm.table.set(&server.id, &self.setup.policy);
                }
            }
        }
    }

    fn schedule(&mut self, at: Time, step: Step) {
        self.sequence += 1;
        self.pending.push(Reverse((at, self.sequence, step)));
    }

    fn schedule_in(&mut self, span: Span, step: Step) {
        self.schedule(self.now.after(span), step);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, step))) = self.pending.pop() {
            self.now = at;
            if self.open_units == 0 {
                return;
            }
            self.apply(step);
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(unit) => self.choose_server(unit),
            Step::Queue(attempt) => self.queue(attempt),
            Step::ReachServer(attempt) => self.reach_server(attempt),
            Step::FinishRun(attempt, epoch) => self.finish_run(attempt, epoch),
            Step::ReturnReply(attempt, reply) => self.return_reply(attempt, reply),
            Step::DeliverReply(attempt, reply, depth) => self.deliver_reply(attempt, reply, depth),
            Step::Fault(number) => self.fault(number),
            Step::Tick => self.tick(),
            Step::Gossip => self.gossip(),
            Step::Report => self.report(),
            Step::Sample => self.sample(),
        }
    }

    fn choose_server(&mut self, unit: usize) {
        let state = &self.units[unit];
        let number = state.history.attempts();
        if self.setup.mode == Mode::Fifo {
            return self.enqueue(Attempt { unit, number, server: 0 });
        }
        let random = [self.random.random(), self.random.random()];
        let loads = &mut self.vms[state.vm].loads;
        let target = loads.choose_retry(self.now, self.setup.mode.strategy(), random, &state.tried_targets);
        let server = self.servers.iter().position(|server| Some(&server.id) == target.as_ref());
        let Some(server) = server else { return self.finish_unit(unit, End::Shed) };
        loads.begin(&self.servers[server].id);
        let attempt = Attempt { unit, number, server };
        self.units[unit].current = Some(attempt);
        match self.setup.mode {
            Mode::Keeper => self.forward(attempt),
            Mode::Direct => self.queue(attempt),
            Mode::Random | Mode::Reported | Mode::Fifo => self.send(attempt),
        }
    }

    fn forward(&mut self, attempt: Attempt) {
        if self.hop_delay(attempt).is_zero() {
            return self.queue(attempt);
        }
        self.units[attempt.unit].hops += 1;
        self.schedule_in(HOP_DELAY, Step::Queue(attempt));
    }

    /// Returns the number of the VM whose table holds an attempt.
    fn table_vm(&self, attempt: Attempt) -> usize {
        match self.setup.mode {
            Mode::Keeper => attempt.server % self.setup.vms,
            _ => self.units[attempt.unit].vm,
        }
    }

    fn hop_delay(&self, attempt: Attempt) -> Span {
        if self.table_vm(attempt) == self.units[attempt.unit].vm { Span::ZERO } else { HOP_DELAY }
    }

    fn uses_table(&self) -> bool {
        matches!(self.setup.mode, Mode::Keeper | Mode::Direct)
    }

    fn queue(&mut self, attempt: Attempt) {
        let work = self.work[attempt.unit];
        let target = self.servers[attempt.server].id.clone();
        let deadline = work.at.after(work.deadline);
        let job =
            Job { id: attempt.id(), target: target.clone(), class: work.class, deadline, expected_run: None };
        let table_vm = self.table_vm(attempt);
        match self.vms[table_vm].table.push(self.now, job) {
            Ok(()) => self.poll(table_vm, &target),
            Err(error) => self.send_back(attempt, Reply::Unsent(error.code().number())),
        }
    }

    fn poll(&mut self, vm: usize, target: &TargetId) {
        let actions = self.vms[vm].table.poll(self.now, target);
        self.apply_actions(actions);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let attempt = self.attempt_of(id);
                    self.send(attempt);
                }
                Action::Refuse(id, error) => {
                    let attempt = self.attempt_of(id);
                    self.units[attempt.unit].waited = true;
                    self.send_back(attempt, Reply::Unsent(error.code().number()));
                }
            }
        }
    }

    fn attempt_of(&self, id: JobId) -> Attempt {
        let unit = (id.0 & ((1 << UNIT_BITS) - 1)) as usize;
        let number = (id.0 >> UNIT_BITS) as u32;
        let server = self.units[unit].current.map(|attempt| attempt.server).unwrap_or_default();
        Attempt { unit, number, server }
    }

    fn send(&mut self, attempt: Attempt) {
        self.units[attempt.unit].attempts += 1;
        self.schedule_in(HOP_DELAY, Step::ReachServer(attempt));
    }

    fn reach_server(&mut self, attempt: Attempt) {
        let server = &mut self.servers[attempt.server];
        if server.health == Health::Dead {
            return self.schedule_in(
                HOP_DELAY,
                Step::ReturnReply(attempt, Reply::Unsent(Code::ConnectFailed.number())),
            );
        }
        match server.health {
            Health::Frozen => self.schedule_in(TIMEOUT, Step::ReturnReply(attempt, Reply::NoAnswer)),
            Health::Shedding => self.schedule_in(HOP_DELAY, Step::ReturnReply(attempt, Reply::Refused)),
            _ if server.queue.len() + server.running.len() >= CONNECTIONS_MAX => {
                self.schedule_in(HOP_DELAY, Step::ReturnReply(attempt, Reply::Refused));
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

    fn start(&mut self, attempt: Attempt) {
        let work = self.work[attempt.unit];
        self.units[attempt.unit].runs += 1;
        let server = &mut self.servers[attempt.server];
        server.running.insert(attempt);
        let epoch = server.epoch;
        let deadline = work.at.after(work.deadline);
        let run_time = server.health.run_time(work.run_time, server.running.len());
        let end = self.now.after(run_time).min(deadline.max(self.now));
        self.schedule(end, Step::FinishRun(attempt, epoch));
    }

    /// Ends a run. Servers take deadlines, so a run ends at its deadline at the
    /// latest.
    fn finish_run(&mut self, attempt: Attempt, epoch: u32) {
        let server = &mut self.servers[attempt.server];
        if server.epoch != epoch || server.health == Health::Frozen {
            return;
        }
        server.running.remove(&attempt);
        let work = self.work[attempt.unit];
        let late = self.now >= work.at.after(work.deadline);
        self.schedule_in(HOP_DELAY, Step::ReturnReply(attempt, if late { Reply::Late } else { Reply::Ok }));
        self.serve(attempt.server);
        self.serve_fifo();
    }

    fn return_reply(&mut self, attempt: Attempt, reply: Reply) {
        if self.uses_table() {
            let outcome = match reply {
                Reply::Ok => Outcome::Ok,
                Reply::Late => Outcome::TimedOut,
                Reply::Refused => Outcome::Refused,
                Reply::Unsent(_) | Reply::NoAnswer => Outcome::Failed,
            };
            let table_vm = self.table_vm(attempt);
            let target = self.servers[attempt.server].id.clone();
            self.vms[table_vm].table.finish(self.now, attempt.id(), outcome);
            self.poll(table_vm, &target);
        }
        self.send_back(attempt, reply);
    }

    /// Sends a reply back to the accepting VM.
    fn send_back(&mut self, attempt: Attempt, reply: Reply) {
        let depth = self.depth(attempt);
        match self.hop_delay(attempt) {
            Span::ZERO => self.deliver_reply(attempt, reply, depth),
            hop_delay => self.schedule_in(hop_delay, Step::DeliverReply(attempt, reply, depth)),
        }
    }

    /// Returns the queue length that a keeper adds to its answer.
    fn depth(&self, attempt: Attempt) -> Option<u32> {
        let keeper = &self.vms[self.table_vm(attempt)].table;
        let enabled = self.setup.mode == Mode::Keeper && self.setup.reports_depth;
        enabled.then(|| keeper.job_count(&self.servers[attempt.server].id))
    }

    fn deliver_reply(&mut self, attempt: Attempt, reply: Reply, depth: Option<u32>) {
        let unit = attempt.unit;
        let vm = self.units[unit].vm;
        let target = self.servers[attempt.server].id.clone();
        let is_fault = match reply {
            Reply::Ok | Reply::Late => false,
            Reply::Unsent(number) => number == Code::ConnectFailed.number(),
            Reply::Refused | Reply::NoAnswer => true,
        };
        if self.setup.mode != Mode::Fifo {
            self.vms[vm].loads.end(self.now, &target, is_fault);
        }
        if let Some(depth) = depth {
            let report = LoadReport { target: target.clone(), depth, rate: 0, accepting: true };
            self.vms[vm].loads.update_depth(self.now, &report);
        }
        match reply {
            Reply::Ok => {
                self.vms[vm].budget.count_success(self.now);
                let late = self.now > self.work[unit].at.after(self.work[unit].deadline);
                self.finish_unit(unit, if late { End::Late } else { End::Good });
            }
            Reply::Late => self.finish_unit(unit, End::Late),
            Reply::Unsent(number) => {
                let code = Code::from_number(number).unwrap_or(Code::Internal);
                self.handle_failure(unit, target, Failure::Unsent(Error::new(code, "request not sent")));
            }
            Reply::Refused => {
                self.handle_failure(
                    unit,
                    target,
                    Failure::Refused(Error::new(Code::TargetRefused, "target refused the request")),
                );
            }
            Reply::NoAnswer => {
                self.handle_failure(
                    unit,
                    target,
                    Failure::MayHaveRun(Error::new(Code::OutcomeUnknown, "target did not answer")),
                );
            }
        }
    }

    fn handle_failure(&mut self, unit: usize, target: TargetId, failure: Failure) {
        let state = &mut self.units[unit];
        state.tried_targets.push(target);
        let budget = &mut self.vms[state.vm].budget;
        match retry::decide(self.now, &self.setup.policy, budget, &mut state.history, failure) {
            Decision::Retry => self.choose_server(unit),
            Decision::Stop(error) if error.is_not_run() => self.finish_unit(unit, End::Shed),
            Decision::Stop(_) => self.finish_unit(unit, End::Unknown),
        }
    }

    fn finish_unit(&mut self, unit: usize, end: End) {
        let state = &mut self.units[unit];
        if state.result.is_some() {
            return;
        }
        let latency = self.now.since(self.work[unit].at);
        let Unit { runs, attempts, hops, waited, .. } = *state;
        state.result = Some(UnitResult { end, latency, runs, attempts, hops, waited });
        self.open_units -= 1;
    }

    fn enqueue(&mut self, attempt: Attempt) {
        if self.fifo.len() >= FIFO_LENGTH_PER_SERVER * self.setup.servers {
            return self.finish_unit(attempt.unit, End::Shed);
        }
        self.fifo.push_back(attempt);
        self.serve_fifo();
    }

    /// Starts work from the queue of the service on the server that runs the
    /// fewest requests.
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
                self.finish_unit(attempt.unit, End::Shed);
                continue;
            }
            self.units[attempt.unit].attempts += 1;
            self.start(Attempt { server, ..attempt });
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
        let mut aborted: Vec<Attempt> = std::mem::take(&mut server.running).into_iter().collect();
        aborted.extend(std::mem::take(&mut server.queue));
        let delay = if fault.health == Health::Dead { HOP_DELAY } else { TIMEOUT };
        for attempt in aborted {
            self.schedule_in(delay, Step::ReturnReply(attempt, Reply::NoAnswer));
        }
    }

    fn tick(&mut self) {
        self.schedule_in(TICK, Step::Tick);
        for vm in 0..self.vms.len() {
            let actions = self.vms[vm].table.tick(self.now);
            self.apply_actions(actions);
        }
    }

    fn gossip(&mut self) {
        self.schedule_in(self.setup.gossip_period, Step::Gossip);
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
            let report = LoadReport {
                depth: keeper.job_count(&target),
                rate: 0,
                accepting: keeper.is_open(&target),
                target,
            };
            self.vms.iter_mut().for_each(|vm| vm.loads.update_depth(self.now, &report));
        }
    }

    fn gossip_counts(&mut self) {
        for server in &self.servers {
            let counts: Vec<(VmId, u32)> =
                self.vms.iter().map(|vm| (vm.id.clone(), vm.loads.own(&server.id))).collect();
            let running: u32 = self.vms.iter().map(|vm| vm.table.running(&server.id)).sum();
            for vm in &mut self.vms {
                for (peer, count) in counts.iter().filter(|(peer, _)| *peer != vm.id) {
                    vm.loads.update_peer(self.now, peer, &server.id, *count);
                }
                let load = Load { running, slots: self.setup.server_slots, ..Load::default() };
                vm.table.report(&server.id, &load);
            }
        }
    }

    fn report(&mut self) {
        self.schedule_in(LOAD_REPORT_PERIOD, Step::Report);
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
    let id = VmId::new(format!("entry-{number}")).expect("the name is a valid id");
    Vm { id, loads: TargetLoads::new(), table: Dispatcher::new(), budget: Budget::new(&setup.policy) }
}

fn new_server(number: usize) -> Server {
    let id = TargetId::new(format!("target-{number}")).expect("the name is a valid id");
    Server { id, health: Health::Up, running: BTreeSet::new(), queue: VecDeque::new(), epoch: 0 }
}

fn new_unit(setup: &Setup, work: &Work) -> Unit {
    Unit {
        vm: (work.entry_pick % setup.vms as u64) as usize,
        history: History::new(work.idempotent, work.at.after(work.deadline)),
        tried_targets: Vec::new(),
        current: None,
        runs: 0,
        attempts: 0,
        hops: 0,
        waited: false,
        result: None,
    }
}
