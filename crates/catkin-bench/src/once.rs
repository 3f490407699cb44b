//! Idempotency keys across entry VMs in random fault schedules: appends and
//! answers of the log that do not arrive, outages of the log, restarts and
//! pauses of VMs.

use {
    crate::measure::{Bound, Measure},
    catkin::{
        Code, Error,
        append::Appender,
        config::LogDownPolicy,
        dispatch::JobId,
        fold::State,
        intent::{APPENDS_PER_SECOND, Action, Intents, KeyState, Request, RequestEnd},
        record::{Change, Writer},
        types::{Offset, Service, Span, Time, VmId},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

const VMS: usize = 6;
const TICK: Span = Span::from_millis(5);
const DURATION: Span = Span::from_secs(60);
/// New keys in each tick, so that a run has at least 100,000.
const KEYS_PER_TICK: u64 = 10;
const OPERATIONS_MIN: f64 = 100_000.0;
const DEADLINE: Span = Span::from_millis(500);
const OUTAGE_CHANCE: f64 = 0.002;
const RESTART_CHANCE: f64 = 0.0005;
const PAUSE_CHANCE: f64 = 0.002;
const ANSWER_LOSS_CHANCE: f64 = 0.1;
const APPEND_LOSS_CHANCE: f64 = 0.05;

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut simulation = Simulation::new(seed);
    while simulation.now < Time::default().after(DURATION) {
        simulation.step();
    }
    let run_twice = simulation.runs.values().filter(|runs| **runs > 1).count() as f64;
    let false_refusals = simulation.refused.intersection(&simulation.ran).count() as f64;
    let appends_max = simulation.vms.iter().map(|vm| vm.appends_max).max().unwrap_or_default();
    vec![
        Measure::new("once.operations", simulation.keys as f64, "keys", Bound::Min(OPERATIONS_MIN)),
        Measure::new("once.run_twice", run_twice, "keys", Bound::Max(0.0)),
        Measure::new("once.not_run_but_ran", false_refusals, "requests", Bound::Max(0.0)),
        Measure::new(
            "once.appends",
            f64::from(appends_max),
            "per_vm_and_second",
            Bound::Max(APPENDS_PER_SECOND as f64),
        ),
        Measure::info("once.requests", simulation.requests as f64, "requests"),
        Measure::info("once.keys_run", simulation.runs.len() as f64, "keys"),
        Measure::info("once.restarts", simulation.restarts as f64, "count"),
    ]
}

/// The log service. Appends may fail, or take effect without an answer.
#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    /// End of an outage.
    outage_end: Option<Time>,
}

struct Vm {
    number: usize,
    incarnation: u64,
    state: State,
    appender: Appender,
    intents: Intents,
    paused_until: Option<Time>,
    digests: BTreeMap<JobId, u128>,
    /// Requests that may be sent, with the time at which the VM sends them.
    sends: VecDeque<(Time, JobId, u128)>,
    /// Times of the appends within the last second.
    appends: VecDeque<Time>,
    /// Largest number of appends within a second.
    appends_max: u32,
}

struct Simulation {
    now: Time,
    random: ChaCha8Rng,
    log: Log,
    vms: Vec<Vm>,
    keys: u64,
    requests: u64,
    restarts: u64,
    /// Keys to submit once more, with the time.
    repeats: VecDeque<(Time, u128)>,
    /// Number of runs of each key.
    runs: BTreeMap<u128, u32>,
    /// Requests that ran.
    ran: BTreeSet<JobId>,
    /// Requests that were refused as not run.
    refused: BTreeSet<JobId>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            now: Time::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            log: Log::default(),
            vms: (0..VMS).map(|number| Vm::new(number, 1, State::new())).collect(),
            keys: 0,
            requests: 0,
            restarts: 0,
            repeats: VecDeque::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        self.now = self.now.after(TICK);
        self.inject_faults();
        self.submit();
        for number in 0..VMS {
            if self.vms[number].paused_until.is_some_and(|until| self.now < until) {
                continue;
            }
            self.vms[number].paused_until = None;
            self.read(number);
            self.tick(number);
            self.append(number);
            self.send(number);
        }
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    fn inject_faults(&mut self) {
        if self.log.outage_end.is_some_and(|until| self.now >= until) {
            self.log.outage_end = None;
        }
        if self.chance(OUTAGE_CHANCE) {
            let duration = Span::from_millis(self.random.random_range(10..1_000));
            self.log.outage_end = Some(self.now.after(duration));
        }
        for number in 0..VMS {
            if self.chance(PAUSE_CHANCE) {
                let duration = Span::from_millis(self.random.random_range(10..1_000));
                self.vms[number].paused_until = Some(self.now.after(duration));
            }
            if self.chance(RESTART_CHANCE) {
                self.restart(number);
            }
        }
    }

    /// Replaces a VM by a new incarnation that takes its state from a peer.
    fn restart(&mut self, number: usize) {
        self.restarts += 1;
        let peer = self.vms[(number + 1) % VMS].state.clone();
        let incarnation = self.vms[number].incarnation + 1;
        let appends_max = self.vms[number].appends_max;
        self.vms[number] = Vm { appends_max, ..Vm::new(number, incarnation, peer) };
    }

    /// Submits new keys, and half of them once more to a random VM less than
    /// 400 ms later.
    fn submit(&mut self) {
        for _ in 0..KEYS_PER_TICK {
            self.keys += 1;
            let digest = u128::from(self.keys);
            self.request(digest);
            if self.chance(0.5) {
                let delay = Span::from_millis(self.random.random_range(0..400));
                self.repeats.push_back((self.now.after(delay), digest));
            }
        }
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.repeats).into_iter().partition(|(at, _)| self.now >= *at);
        self.repeats = later;
        due.into_iter().for_each(|(_, digest)| self.request(digest));
    }

    fn request(&mut self, digest: u128) {
        self.requests += 1;
        let id = JobId(self.requests);
        let number = self.random.random_range(0..VMS);
        let service = Service::new("pedidos").expect("the name is a valid id");
        let deadline = self.now.after(DEADLINE);
        let request = Request { id, service, digest, log_down: LogDownPolicy::Refuse, deadline };
        let vm = &mut self.vms[number];
        vm.digests.insert(id, digest);
        let key_state = vm.key_state(digest);
        if let Some(action) = vm.intents.admit(self.now, request, key_state) {
            self.apply_actions(number, vec![action]);
        }
    }

    fn read(&mut self, number: usize) {
        if self.log.outage_end.is_some() {
            return;
        }
        let vm = &mut self.vms[number];
        let start = vm.state.next_offset().0 as usize;
        let mut actions = Vec::new();
        for (offset, bytes) in self.log.records.iter().enumerate().skip(start) {
            let verdict = vm.state.apply(Offset(offset as u64), bytes);
            if vm.appender.observe(verdict).is_some() {
                let (state, writer) = (&vm.state, vm.appender.writer());
                actions.extend(
                    vm.intents.resolve(self.now, |digest| KeyState::new(state.intent(digest), writer)),
                );
            }
        }
        if vm.appender.is_unknown() && vm.intents.may_retry(self.now) {
            vm.appender.resend();
        }
        self.apply_actions(number, actions);
    }

    fn tick(&mut self, number: usize) {
        let log_unavailable = self.log.outage_end.is_some();
        let mut actions = self.vms[number].intents.set_log_unavailable(log_unavailable);
        actions.extend(self.vms[number].intents.tick(self.now));
        self.apply_actions(number, actions);
    }

    fn append(&mut self, number: usize) {
        let (lost_append, lost_answer) = (self.chance(APPEND_LOSS_CHANCE), self.chance(ANSWER_LOSS_CHANCE));
        let log_unavailable = self.log.outage_end.is_some();
        let vm = &mut self.vms[number];
        let Some(bytes) = vm.appender.next_bytes() else { return };
        if log_unavailable {
            return vm.appender.failed(&Error::new(Code::LogUnavailable, "log unavailable"));
        }
        vm.appends.push_back(self.now);
        vm.appends.retain(|at| self.now.since(*at) < Span::from_secs(1));
        vm.appends_max = vm.appends_max.max(vm.appends.len() as u32);
        if !lost_append {
            self.log.records.push(bytes.to_vec());
        }
        if lost_append || lost_answer {
            return vm.appender.failed(&Error::new(Code::AppendUnknown, "log did not answer the append"));
        }
        vm.appender.appended(Offset(self.log.records.len() as u64 - 1));
    }

    fn apply_actions(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(group) => self.vms[number].push(group),
                Action::Send(id) => {
                    let delay = Span::from_millis(self.random.random_range(0..50));
                    let vm = &mut self.vms[number];
                    vm.sends.push_back((self.now.after(delay), id, vm.digests[&id]));
                }
                Action::Refuse(id, error) => {
                    if error.is_not_run() {
                        self.refused.insert(id);
                    }
                }
            }
        }
    }

    /// Sends the requests that are due. The VM learns that a request ran, that it
    /// did not, or nothing.
    fn send(&mut self, number: usize) {
        let now = self.now;
        let sends = std::mem::take(&mut self.vms[number].sends);
        let (due, later): (VecDeque<_>, VecDeque<_>) = sends.into_iter().partition(|(at, ..)| now >= *at);
        self.vms[number].sends = later;
        for (_, id, digest) in due {
            let end = match self.random.random_range(0..10) {
                0 | 1 => RequestEnd::NotRun,
                2 => RequestEnd::Unknown,
                _ => RequestEnd::Ran,
            };
            let runs = end == RequestEnd::Ran || end == RequestEnd::Unknown && self.chance(0.5);
            if runs {
                *self.runs.entry(digest).or_default() += 1;
                self.ran.insert(id);
            }
            self.vms[number].intents.finish(now, id, end);
        }
    }
}

impl Vm {
    fn new(number: usize, incarnation: u64, state: State) -> Self {
        let id = VmId::new(format!("entry-{number}")).expect("the name is a valid id");
        Self {
            number,
            incarnation,
            state,
            appender: Appender::new(Writer { id, boot: incarnation }),
            intents: Intents::new(),
            paused_until: None,
            digests: BTreeMap::new(),
            sends: VecDeque::new(),
            appends: VecDeque::new(),
            appends_max: 0,
        }
    }

    fn key_state(&self, digest: u128) -> KeyState {
        KeyState::new(self.state.intent(digest), self.appender.writer())
    }

    fn push(&mut self, group: Vec<catkin::record::Intent>) {
        self.appender
            .push(Change::Intents(group))
            .unwrap_or_else(|error| panic!("entry-{}: {error}", self.number));
    }
}
