//! Processes, targets without keys and a leader, in steps of 1 ms of virtual
//! time.

use {
    super::{SERVICE, at, entry},
    catkin::types::Span,
    catkin_route::{
        balance::FleetLoads,
        directory::{Directory, Entry, Incarnation, Target},
        level::Levels,
        load::{Completion, Criteria, LocalLoads},
        quotas::Quotas,
        spill::{SpillBoard, TargetState},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Interval between two reports of a process.
const REPORT_INTERVAL_MS: u64 = 500;

/// Requests that may wait at a target, as a multiple of its slots.
const QUEUE_FACTOR: usize = 4;

/// Requests and their targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub(crate) requests: u32,
    /// Answered within the latency objective.
    pub(crate) in_time: u32,
    /// Not sent, as no target took them in time.
    pub(crate) refused: u32,
    /// Sent to another zone.
    pub(crate) crossed: u32,
}

impl Tally {
    pub(crate) fn in_time_share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }

    pub(crate) fn crossed_share(self) -> f64 {
        f64::from(self.crossed) / f64::from(self.requests.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    process: usize,
    arrived: u64,
    sent: u64,
    /// Rest of the work, in milliseconds at the usual speed.
    work: f64,
}

#[derive(Debug)]
pub(crate) struct SimTarget {
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: usize,
    pub(crate) slots: usize,
    pub(crate) slowdown: f64,
    running: Vec<Request>,
    queue: VecDeque<Request>,
}

impl SimTarget {
    pub(crate) fn requests(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    fn receive(&mut self, request: Request) -> bool {
        let has_room = self.requests() < self.slots * (1 + QUEUE_FACTOR);
        if has_room {
            self.queue.push_back(request);
        }
        has_room
    }

    /// Returns the requests that ended.
    fn step(&mut self) -> Vec<Request> {
        while self.running.len() < self.slots
            && let Some(next) = self.queue.pop_front()
        {
            self.running.push(next);
        }
        for request in &mut self.running {
            request.work -= 1.0 / self.slowdown;
        }
        self.running.extract_if(.., |request| request.work <= 0.0).collect()
    }
}

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) loads: LocalLoads,
    pub(crate) zone: usize,
    pub(crate) waiting: VecDeque<Request>,
    next_report: u64,
}

/// What the leader knows.
#[derive(Debug, Default)]
pub(crate) struct Leader {
    pub(crate) board: SpillBoard,
    quotas: Quotas,
    loads: FleetLoads,
}

/// An answer on its way: when it arrives, its target, the request, whether it
/// was run, and the target's report.
type Answer = (u64, usize, Request, bool, u32, f64);

/// A fleet that serves [`SERVICE`].
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) directory: Directory,
    pub(crate) processes: Vec<Process>,
    pub(crate) targets: Vec<SimTarget>,
    pub(crate) now: u64,
    /// Requests per second from the callers of each zone.
    pub(crate) rates: Vec<f64>,
    /// Tallies by the zone of the process.
    pub(crate) tallies: Vec<Tally>,
    pub(crate) work_ms: f64,
    pub(crate) objective_ms: u64,
    /// One-way time between zones.
    pub(crate) crossing_ms: u64,
    /// Whether targets name their slowdown.
    pub(crate) names_slowdown: bool,
    /// The leader, while there is one.
    pub(crate) leader: Option<Leader>,
    /// Whether the leader sends shares.
    pub(crate) sends_shares: bool,
    /// Bytes of an answer.
    pub(crate) answer_bytes: usize,
    answers: Vec<Answer>,
    random: u64,
}

pub(crate) fn zone(i: usize) -> Arc<str> {
    format!("z{i}").into()
}

impl Fleet {
    /// Creates a fleet with processes and targets, by zone.
    pub(crate) fn new(processes: &[usize], targets: &[usize], slots: u32) -> Self {
        let mut directory = Directory::default();
        let mut list = Vec::new();
        for (z, count) in targets.iter().enumerate() {
            for i in 0..*count {
                let entry = Entry { zone: zone(z), slots, ..entry(&format!("{z}-{i}"), 1) };
                list.push(SimTarget {
                    incarnation: entry.incarnation.clone(),
                    zone: z,
                    slots: slots as usize,
                    slowdown: 1.0,
                    running: Vec::new(),
                    queue: VecDeque::new(),
                });
                directory.put(at(0), entry);
            }
        }
        let process = |z: usize, i: usize| Process {
            loads: LocalLoads::new(zone(z)).with_vm(format!("vm-{z}-{i}").into()),
            zone: z,
            waiting: VecDeque::new(),
            next_report: (z * 125 + i * 61) as u64 % REPORT_INTERVAL_MS,
        };
        let in_zone = |(z, count): (usize, &usize)| (0..*count).map(move |i| process(z, i));
        Self {
            directory,
            processes: processes.iter().enumerate().flat_map(in_zone).collect(),
            targets: list,
            now: 0,
            rates: vec![0.0; processes.len()],
            tallies: vec![Tally::default(); processes.len()],
            work_ms: 100.0,
            objective_ms: 400,
            crossing_ms: 1,
            names_slowdown: true,
            leader: Some(Leader::default()),
            sends_shares: true,
            answer_bytes: 1_000,
            answers: Vec::new(),
            random: 1,
        }
    }

    pub(crate) fn uniform(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the sum of all tallies and sets them to zero.
    pub(crate) fn take_total(&mut self) -> Tally {
        let tallies = std::mem::replace(&mut self.tallies, vec![Tally::default(); self.rates.len()]);
        tallies.iter().fold(Tally::default(), |sum, t| Tally {
            requests: sum.requests + t.requests,
            in_time: sum.in_time + t.in_time,
            refused: sum.refused + t.refused,
            crossed: sum.crossed + t.crossed,
        })
    }

    /// Advances the time by 1 ms.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        self.arrive();
        for i in 0..self.processes.len() {
            for _ in 0..self.processes[i].waiting.len() {
                let Some(request) = self.processes[i].waiting.pop_front() else { break };
                self.send(request);
            }
        }
        self.report();
        for i in 0..self.targets.len() {
            for request in self.targets[i].step() {
                self.answer(i, request, true);
            }
        }
        let now = self.now;
        let due: Vec<Answer> = self.answers.extract_if(.., |answer| answer.0 <= now).collect();
        for answer in due {
            self.receive(answer);
        }
    }

    /// Lets the processes whose time has come report to the leader.
    fn report(&mut self) {
        let now = at(self.now);
        let peers = self.processes.len() as u32;
        let Some(Leader { board, quotas, loads }) = &mut self.leader else { return };
        for (i, process) in self.processes.iter_mut().enumerate() {
            if self.now < process.next_report {
                continue;
            }
            process.next_report = self.now + REPORT_INTERVAL_MS;
            let vm: Arc<str> = format!("vm-{i}").into();
            quotas.report(now, &vm, process.loads.in_flight(), Vec::new());
            for (id, times) in process.loads.take_service_times(false) {
                loads.record_service_times(&id, times);
            }
            let targets: Vec<&Target> = self.directory.of_service(SERVICE).collect();
            let levels = Levels::new(SERVICE.into(), &targets, |id| quotas.load(id));
            for (incarnation, load) in levels.unpack(&targets).unwrap() {
                process.loads.record_total(now, &incarnation.id, load.total, peers);
            }
            let Some(report) = process.loads.spill().take_report(&self.directory) else { continue };
            board.report(now, &vm, &report);
            let state = |target: &Target| TargetState {
                requests: quotas.load(&target.entry.incarnation.id).total,
                service_time: loads.service_time(&target.entry.incarnation.id).map(f64::from),
                cold_rate: None,
            };
            let table = board.table(now, &self.directory, &[SERVICE.into()], state);
            if self.sends_shares {
                process.loads.spill().learn(now, table);
            }
        }
    }

    fn arrive(&mut self) {
        for z in 0..self.rates.len() {
            let mut left = self.rates[z] / 1_000.0;
            while left > 0.0 {
                if self.uniform() < left {
                    let own: Vec<usize> =
                        (0..self.processes.len()).filter(|i| self.processes[*i].zone == z).collect();
                    let process = own[(self.uniform() * own.len() as f64) as usize];
                    let work = self.work_ms * (0.5 + self.uniform());
                    self.tallies[z].requests += 1;
                    self.processes[process].loads.spill().count_request(&SERVICE.into(), 0);
                    self.send(Request { process, arrived: self.now, sent: 0, work });
                }
                left -= 1.0;
            }
        }
    }

    /// Sends a request if a target takes it; otherwise it waits for at most half
    /// of the latency objective.
    fn send(&mut self, request: Request) {
        let peers = self.processes.len() as u32;
        let process = &mut self.processes[request.process];
        let now = at(self.now);
        // Every few steps, as a waiting request does not try all the time.
        let chosen = if (self.now - request.arrived).is_multiple_of(5) {
            process.loads.choose(now, &self.directory, SERVICE, peers, Criteria::new(0))
        } else {
            None
        };
        let Some(target) = chosen else {
            if self.now - request.arrived < self.objective_ms / 2 {
                process.waiting.push_back(request);
            } else {
                self.tallies[process.zone].refused += 1;
            }
            return;
        };
        let incarnation = target.entry.incarnation.clone();
        process.loads.begin(now, &incarnation, peers);
        let request = Request { sent: self.now, ..request };
        let i = self.targets.iter().position(|t| t.incarnation == incarnation).unwrap();
        self.tallies[process.zone].crossed += u32::from(process.zone != self.targets[i].zone);
        if !self.targets[i].receive(request) {
            self.answer(i, request, false);
        }
    }

    fn answer(&mut self, target: usize, request: Request, ran: bool) {
        let from = &self.targets[target];
        let is_far = from.zone != self.processes[request.process].zone;
        let way = if is_far { 2 * self.crossing_ms } else { 0 };
        let slowdown = if self.names_slowdown { from.slowdown } else { 1.0 };
        let requests = from.requests() as u32 + 1;
        self.answers.push((self.now + way, target, request, ran, requests, slowdown));
    }

    fn receive(&mut self, (_, target, request, ran, requests, slowdown): Answer) {
        let SimTarget { incarnation, slots, .. } = &self.targets[target];
        let process = &mut self.processes[request.process];
        let completion = if ran { Completion::Good } else { Completion::Refused };
        let took = Span::from_millis(self.now - request.sent);
        process.loads.record_report(at(self.now), incarnation, requests, slowdown);
        let entry = &self.directory.get(&incarnation.id).unwrap().entry;
        process.loads.count_answer(at(self.now), entry, self.answer_bytes, took);
        process.loads.end(at(self.now), incarnation, completion, took, *slots as u32);
        let is_in_time = self.now - request.arrived <= self.objective_ms;
        let tally = &mut self.tallies[process.zone];
        tally.in_time += u32::from(ran && is_in_time);
        tally.refused += u32::from(!ran);
    }
}
