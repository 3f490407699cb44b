//! Idempotency keys across entry VMs in random fault schedules: lost answers
//! of the log, outages, restarts and pauses.

use {
    crate::measure::{Bound, Measure},
    catkin::{
        Code, Error,
        append::Appender,
        config::LogDown,
        dispatch::JobId,
        fold::State,
        intent::{APPENDS_PER_SECOND, End, Event, Intents, Request, Standing},
        record::{Change, Writer},
        types::{Offset, Service, Span, Time, VmId},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

const VMS: usize = 6;
const TICK: Span = Span::from_millis(5);
const LENGTH: Span = Span::from_secs(60);
/// New keys in each tick; together at least 100,000 in a run.
const KEYS_PER_TICK: u64 = 10;
const OPERATIONS_MIN: f64 = 100_000.0;
const DEADLINE: Span = Span::from_millis(500);
const OUTAGE_CHANCE: f64 = 0.002;
const RESTART_CHANCE: f64 = 0.0005;
const PAUSE_CHANCE: f64 = 0.002;
const LOST_ANSWER: f64 = 0.1;
const LOST_APPEND: f64 = 0.05;

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut world = World::new(seed);
    while world.now < Time::default().after(LENGTH) {
        world.step();
    }
    let twice = world.runs.values().filter(|runs| **runs > 1).count() as f64;
    let false_refusals = world.refused.intersection(&world.ran).count() as f64;
    let most = world.vms.iter().map(|vm| vm.most).max().unwrap_or_default();
    vec![
        Measure::new("once.operations", world.keys as f64, "keys", Bound::Min(OPERATIONS_MIN)),
        Measure::new("once.run_twice", twice, "keys", Bound::Max(0.0)),
        Measure::new("once.not_run_but_ran", false_refusals, "requests", Bound::Max(0.0)),
        Measure::new(
            "once.appends",
            f64::from(most),
            "per_vm_and_second",
            Bound::Max(APPENDS_PER_SECOND as f64),
        ),
        Measure::info("once.requests", world.requests as f64, "requests"),
        Measure::info("once.keys_run", world.runs.len() as f64, "keys"),
        Measure::info("once.restarts", world.restarts as f64, "count"),
    ]
}

/// The log service: appends may fail, or land without an answer.
#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    until: Option<Time>,
}

struct Vm {
    number: usize,
    boot: u64,
    state: State,
    appender: Appender,
    intents: Intents,
    paused: Option<Time>,
    asked: BTreeMap<JobId, u128>,
    /// Requests that may be sent, and when the VM gets to it.
    sends: VecDeque<(Time, JobId, u128)>,
    appends: VecDeque<Time>,
    most: u32,
}

struct World {
    now: Time,
    random: ChaCha8Rng,
    log: Log,
    vms: Vec<Vm>,
    keys: u64,
    requests: u64,
    restarts: u64,
    again: VecDeque<(Time, u128)>,
    runs: BTreeMap<u128, u32>,
    ran: BTreeSet<JobId>,
    refused: BTreeSet<JobId>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            now: Time::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            log: Log::default(),
            vms: (0..VMS).map(|number| Vm::new(number, 1, State::new())).collect(),
            keys: 0,
            requests: 0,
            restarts: 0,
            again: VecDeque::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(TICK);
        self.break_things();
        self.submit();
        for number in 0..VMS {
            if self.vms[number].paused.is_some_and(|until| self.now < until) {
                continue;
            }
            self.vms[number].paused = None;
            self.read(number);
            self.tick(number);
            self.append(number);
            self.send(number);
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn break_things(&mut self) {
        if self.log.until.is_some_and(|until| self.now >= until) {
            self.log.until = None;
        }
        if self.chance(OUTAGE_CHANCE) {
            let length = Span::from_millis(self.random.random_range(10..1_000));
            self.log.until = Some(self.now.after(length));
        }
        for number in 0..VMS {
            if self.chance(PAUSE_CHANCE) {
                let length = Span::from_millis(self.random.random_range(10..1_000));
                self.vms[number].paused = Some(self.now.after(length));
            }
            if self.chance(RESTART_CHANCE) {
                self.restart(number);
            }
        }
    }

    /// Replaces a VM by a new process with a state taken from a peer.
    fn restart(&mut self, number: usize) {
        self.restarts += 1;
        let peer = self.vms[(number + 1) % VMS].state.clone();
        let boot = self.vms[number].boot + 1;
        let most = self.vms[number].most;
        self.vms[number] = Vm { most, ..Vm::new(number, boot, peer) };
    }

    /// Submits new keys, half of them once more to any VM a little later.
    fn submit(&mut self) {
        for _ in 0..KEYS_PER_TICK {
            self.keys += 1;
            let digest = u128::from(self.keys);
            self.ask(digest);
            if self.chance(0.5) {
                let delay = Span::from_millis(self.random.random_range(0..400));
                self.again.push_back((self.now.after(delay), digest));
            }
        }
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.again).into_iter().partition(|(at, _)| self.now >= *at);
        self.again = later;
        due.into_iter().for_each(|(_, digest)| self.ask(digest));
    }

    fn ask(&mut self, digest: u128) {
        self.requests += 1;
        let id = JobId(self.requests);
        let number = self.random.random_range(0..VMS);
        let service = Service::new("pedidos").expect("the name is an id");
        let deadline = self.now.after(DEADLINE);
        let request = Request { id, service, digest, rule: LogDown::Refuse, deadline };
        let vm = &mut self.vms[number];
        vm.asked.insert(id, digest);
        let standing = vm.standing(digest);
        if let Some(event) = vm.intents.ask(self.now, request, standing) {
            self.follow(number, vec![event]);
        }
    }

    fn read(&mut self, number: usize) {
        if self.log.until.is_some() {
            return;
        }
        let vm = &mut self.vms[number];
        let start = vm.state.next().0 as usize;
        let mut events = Vec::new();
        for (offset, bytes) in self.log.records.iter().enumerate().skip(start) {
            let verdict = vm.state.apply(Offset(offset as u64), bytes);
            if vm.appender.read(verdict).is_some() {
                let (state, writer) = (&vm.state, vm.appender.writer());
                events.extend(
                    vm.intents.commit(self.now, |digest| Standing::new(state.intent(digest), writer)),
                );
            }
        }
        if vm.appender.is_unknown() && vm.intents.again(self.now) {
            vm.appender.again();
        }
        self.follow(number, events);
    }

    fn tick(&mut self, number: usize) {
        let down = self.log.until.is_some();
        let mut events = self.vms[number].intents.set_down(down);
        events.extend(self.vms[number].intents.tick(self.now));
        self.follow(number, events);
    }

    fn append(&mut self, number: usize) {
        let (lost_append, lost_answer) = (self.chance(LOST_APPEND), self.chance(LOST_ANSWER));
        let down = self.log.until.is_some();
        let vm = &mut self.vms[number];
        let Some(bytes) = vm.appender.take() else { return };
        if down {
            return vm.appender.failed(&Error::new(Code::LogUnavailable, "outage"));
        }
        vm.appends.push_back(self.now);
        vm.appends.retain(|at| self.now.since(*at) < Span::from_secs(1));
        vm.most = vm.most.max(vm.appends.len() as u32);
        if !lost_append {
            self.log.records.push(bytes.to_vec());
        }
        if lost_append || lost_answer {
            return vm.appender.failed(&Error::new(Code::AppendUnknown, "no answer"));
        }
        vm.appender.appended(Offset(self.log.records.len() as u64 - 1));
    }

    fn follow(&mut self, number: usize, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Append(group) => self.vms[number].push(group),
                Event::Send(id) => {
                    let delay = Span::from_millis(self.random.random_range(0..50));
                    let vm = &mut self.vms[number];
                    vm.sends.push_back((self.now.after(delay), id, vm.asked[&id]));
                }
                Event::Refuse(id, error) => {
                    if error.is_not_run() {
                        self.refused.insert(id);
                    }
                }
            }
        }
    }

    /// Runs what is to be sent. The caller learns that it ran, that it was
    /// refused, or nothing.
    fn send(&mut self, number: usize) {
        let now = self.now;
        let sends = std::mem::take(&mut self.vms[number].sends);
        let (due, later): (VecDeque<_>, VecDeque<_>) = sends.into_iter().partition(|(at, ..)| now >= *at);
        self.vms[number].sends = later;
        for (_, id, digest) in due {
            let end = match self.random.random_range(0..10) {
                0 | 1 => End::NotRun,
                2 => End::Unknown,
                _ => End::Ran,
            };
            let runs = end == End::Ran || end == End::Unknown && self.chance(0.5);
            if runs {
                *self.runs.entry(digest).or_default() += 1;
                self.ran.insert(id);
            }
            self.vms[number].intents.finish(now, id, end);
        }
    }
}

impl Vm {
    fn new(number: usize, boot: u64, state: State) -> Self {
        let id = VmId::new(format!("entry-{number}")).expect("the name is an id");
        Self {
            number,
            boot,
            state,
            appender: Appender::new(Writer { id, boot }),
            intents: Intents::new(),
            paused: None,
            asked: BTreeMap::new(),
            sends: VecDeque::new(),
            appends: VecDeque::new(),
            most: 0,
        }
    }

    fn standing(&self, digest: u128) -> Standing {
        Standing::new(self.state.intent(digest), self.appender.writer())
    }

    fn push(&mut self, group: Vec<catkin::record::Intent>) {
        self.appender
            .push(Change::Intents(group))
            .unwrap_or_else(|error| panic!("entry-{}: {error}", self.number));
    }
}
