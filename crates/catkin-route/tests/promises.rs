//! Refused requests that return to a busy owner.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::{Directory, Incarnation},
        level::Levels,
        load::{Completion, LocalLoads},
        quotas::{Quotas, Room, TargetQuota},
        rank::FillFactor,
    },
    common::{SERVICE, at, entry, incarnation},
    std::{collections::VecDeque, sync::Arc},
};

const PROCESSES: usize = 20;

const SLOTS: usize = 6;

const WORK_MS: u64 = 100;

const OBJECTIVE_MS: u64 = 800;

/// Time that a caller has for a request with all its returns.
const TIMEOUT_MS: u64 = 3_000;

/// How a refused caller is told when to return.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    /// After 0.3 of its remaining time, and 400 ms at most.
    Share,
    /// When the queue has drained.
    Drained,
    /// When it has drained, also of the requests that were refused before.
    Promised,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived: u64,
    /// When it arrived for the last time.
    returned: u64,
    is_return: bool,
}

#[derive(Debug)]
struct Process {
    loads: LocalLoads,
    queue: VecDeque<Request>,
    reported_at: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u32,
    served: u32,
    refused: u32,
    returned: u32,
    /// Returned and refused again.
    again: u32,
}

struct Sim {
    now: u64,
    told: Told,
    target: Incarnation,
    directory: Directory,
    processes: Vec<Process>,
    quotas: Quotas,
    /// Requests at the target with their process and, once they run, their end.
    running: Vec<(usize, Request, u64)>,
    waiting: VecDeque<(usize, Request)>,
    /// Callers that will return.
    away: Vec<(u64, Request)>,
    tally: Tally,
    random: u64,
}

impl Sim {
    fn new(told: Told) -> Self {
        let mut directory = Directory::default();
        directory.put(at(0), entry("a", 1));
        let process = |i: usize| Process {
            loads: LocalLoads::new("z".into()).with_vm(format!("vm-{i}").into()),
            queue: VecDeque::new(),
            reported_at: i as u64 * 25,
        };
        Self {
            now: 1_000,
            told,
            target: incarnation("a", 1),
            directory,
            processes: (0..PROCESSES).map(process).collect(),
            quotas: Quotas::default(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            away: Vec::new(),
            tally: Tally::default(),
            random: 1,
        }
    }

    fn uniform(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn arrive(&mut self, request: Request) {
        let i = (self.uniform() * PROCESSES as f64) as usize;
        let now = at(self.now);
        let wait_max = Span::from_millis(OBJECTIVE_MS / 2);
        let target = self.directory.current(&self.target).unwrap();
        let drained = self.processes[i].loads.queue_drain_time(now, target, wait_max);
        match drained {
            Some(drained) => self.refuse(i, request, Some(drained)),
            None => {
                self.processes[i].loads.count_queued(&self.target, true);
                self.processes[i].queue.push_back(request);
            }
        }
    }

    fn refuse(&mut self, process: usize, request: Request, drained: Option<Span>) {
        self.tally.refused += 1;
        self.tally.again += u32::from(request.is_return);
        let left = (request.arrived + TIMEOUT_MS).saturating_sub(self.now);
        let share = (left * 3 / 10).min(400);
        let after = match drained {
            Some(drained) if self.told != Told::Share => {
                drained.scale(1.0 + 0.25 * self.uniform()).as_millis()
            }
            _ => share,
        };
        if after > left / 3 {
            return;
        }
        if drained.is_some() && self.told == Told::Promised {
            let after = Span::from_millis(after);
            self.processes[process].loads.promise(at(self.now), &self.target, after);
        }
        self.away.push((self.now + after, request));
    }

    fn step(&mut self, per_second: f64) {
        self.now += 1;
        let now = self.now;
        if self.uniform() < per_second / 1_000.0 {
            self.tally.requests += 1;
            self.arrive(Request { arrived: now, returned: now, is_return: false });
        }
        let back: Vec<(u64, Request)> = self.away.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, request) in back {
            self.tally.returned += 1;
            self.arrive(Request { returned: now, is_return: true, ..request });
        }
        for i in 0..PROCESSES {
            self.send(i);
            self.report(i);
        }
        let ended: Vec<_> = self.running.extract_if(.., |(_, _, end)| *end <= now).collect();
        for (i, request, _) in ended {
            self.tally.served += u32::from(now <= request.arrived + TIMEOUT_MS);
            let requests = (self.running.len() + self.waiting.len()) as u32 + 1;
            let loads = &mut self.processes[i].loads;
            loads.record_report(at(now), &self.target, requests, 1.0);
            let took = Span::from_millis(WORK_MS);
            loads.end(at(now), &self.target, Completion::Good, took, SLOTS as u32);
        }
        while self.running.len() < SLOTS
            && let Some((i, request)) = self.waiting.pop_front()
        {
            self.running.push((i, request, now + WORK_MS));
        }
    }

    /// Sends the queued requests that may be sent, and refuses those that have waited
    /// for too long.
    fn send(&mut self, i: usize) {
        let now = at(self.now);
        while let Some(request) = self.processes[i].queue.front().copied() {
            let target = self.directory.current(&self.target).unwrap();
            let process = &mut self.processes[i];
            let may = process.loads.check(now, target, true, PROCESSES as u32, FillFactor::MAX).is_ok();
            let is_late = self.now > request.returned + OBJECTIVE_MS / 2;
            if !may && !is_late {
                return;
            }
            process.queue.pop_front();
            process.loads.count_queued(&self.target, false);
            if may {
                process.loads.begin(now, &self.target, PROCESSES as u32);
                self.waiting.push_back((i, request));
            } else {
                let drained = self.processes[i].loads.queue_drain_time(now, target, Span::ZERO);
                self.refuse(i, request, drained);
            }
        }
    }

    fn report(&mut self, i: usize) {
        let process = &mut self.processes[i];
        let age = self.now.saturating_sub(process.reported_at);
        if age < if process.queue.is_empty() { 500 } else { 60 } {
            return;
        }
        process.reported_at = self.now;
        let (now, vm) = (at(self.now), format!("vm-{i}"));
        let vm: Arc<str> = vm.into();
        self.quotas.report(now, &vm, process.loads.in_flight(), process.loads.queue_lengths());
        let promised = self.quotas.report_promised(&vm, process.loads.promised(now));
        let allotted = self.quotas.allot(&vm, |_| Some(Room::new(SLOTS as u32)));
        let targets: Vec<_> = self.directory.of_service(SERVICE).collect();
        let levels = Levels::new(SERVICE.into(), &targets, |id| self.quotas.load(id));
        let mut quotas = Vec::new();
        for (incarnation, load) in levels.unpack(&targets).unwrap() {
            process.loads.record_total(now, &incarnation.id, load.total, PROCESSES as u32);
            let quota = TargetQuota { target: incarnation.id, quota: 0, queue_length: load.queue_length };
            quotas.extend(load.is_busy(SLOTS as u32).then_some(quota));
        }
        process.loads.set_quotas(now, &quotas);
        process.loads.renew_quotas(now, &allotted);
        process.loads.learn_promised(now, &promised);
    }
}

fn replay(told: Told) -> Tally {
    let mut sim = Sim::new(told);
    for (per_second, millis) in [(30.0, 2_000), (100.0, 5_000), (30.0, 5_000)] {
        (0..millis).for_each(|_| sim.step(per_second));
    }
    sim.tally
}

/// An owner that serves 60 requests a second gets 100 for 5 s. Callers that are
/// refused and return must not be refused again as often as with a fixed time, and
/// no fewer requests may be served.
#[test]
fn refused_callers_return_when_the_owner_has_room() {
    let [share, drained, promised] = [Told::Share, Told::Drained, Told::Promised].map(replay);
    println!("share {share:?}\ndrained {drained:?}\npromised {promised:?}");
    assert!(2 * promised.again <= share.again);
    assert!(5 * promised.again <= 4 * drained.again, "promises are of no use");
    assert!(promised.served + promised.served / 50 >= share.served);
}
