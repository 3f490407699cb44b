//! Targets that stop responding.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::{Directory, Entry, Incarnation},
        load::{Completion, Criteria, Denial, LocalLoads},
        rank::FillFactor,
        silence::{Scope, Silence, SilenceReport, Wait},
    },
    common::{SERVICE, at, entry, incarnation},
};

const REPORT_INTERVAL_MS: u64 = 500;

/// Least time between two reports of a process.
const REPORT_INTERVAL_MIN_MS: u64 = 60;

/// Interval at which the leader sends changes and health checks.
const TICK_MS: u64 = 50;

const CHECK_TIMEOUT_MS: u64 = 3_000;

/// Time in which a request without an answer ends.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

struct SimProcess {
    silence: Silence,
    directory: Directory,
    reported_at: u64,
    wants_report: bool,
}

struct SimRequest {
    process: usize,
    target: usize,
    sent: u64,
    /// Rest of the work, in milliseconds at the usual speed.
    work: f64,
    is_check: bool,
    wait: Wait,
}

/// Processes that send requests to targets, in steps of 1 ms. The first process
/// leads.
struct Sim {
    now: u64,
    processes: Vec<SimProcess>,
    targets: Vec<Incarnation>,
    /// Whether a target runs requests.
    is_up: Vec<bool>,
    slowdowns: Vec<f64>,
    /// Whether a process reaches a target.
    reaches: fn(usize, usize) -> bool,
    has_leader: bool,
    per_ms: f64,
    /// Whether one request in twenty takes four times as long.
    has_tail: bool,
    requests: Vec<SimRequest>,
    /// Requests that were sent to each target.
    sent: Vec<u32>,
    checks: u32,
    /// Requests that got no answer.
    unanswered: u32,
    /// Milliseconds for which a process took a target for silent, over all
    /// processes and targets.
    suspect_ms: u64,
    signalled: Vec<Incarnation>,
    random: u64,
}

impl Sim {
    fn new(processes: usize, targets: usize) -> Self {
        let ids: Vec<Incarnation> = (0..targets).map(|i| incarnation(&format!("t{i}"), 1)).collect();
        let process = |i: usize| {
            let mut directory = Directory::default();
            for id in &ids {
                directory.put(at(0), Entry { incarnation: id.clone(), ..entry("", 1) });
            }
            let reported_at = i as u64 * 7 % REPORT_INTERVAL_MS;
            SimProcess { silence: Silence::default(), directory, reported_at, wants_report: false }
        };
        Self {
            now: 1_000,
            processes: (0..processes).map(process).collect(),
            is_up: vec![true; targets],
            slowdowns: vec![1.0; targets],
            sent: vec![0; targets],
            targets: ids,
            reaches: |_, _| true,
            has_leader: true,
            per_ms: 1.3,
            has_tail: false,
            requests: Vec::new(),
            checks: 0,
            unanswered: 0,
            suspect_ms: 0,
            signalled: Vec::new(),
            random: 1,
        }
    }

    fn uniform(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.uniform() * count as f64) as usize
    }

    fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.step();
        }
    }

    fn is_silent(&self, process: usize, target: usize) -> bool {
        self.processes[process].directory.current(&self.targets[target]).unwrap().is_silent
    }

    /// Returns how many processes take a target for silent.
    fn suspecting(&self, target: usize) -> usize {
        (0..self.processes.len()).filter(|process| self.is_silent(*process, target)).count()
    }

    fn send(&mut self, process: usize, target: usize, is_check: bool) {
        let tail = if self.has_tail && self.uniform() < 0.05 { 4.0 } else { 1.0 };
        let work = if is_check { 20.0 } else { 100.0 * (0.5 + self.uniform()) * tail };
        let limit = self.processes[process].silence.limit(SERVICE, 1.0);
        let wait = Wait::new(at(self.now), limit);
        self.requests.push(SimRequest { process, target, sent: self.now, work, is_check, wait });
    }

    fn step(&mut self) {
        self.now += 1;
        let mut left = self.per_ms;
        while left > 0.0 {
            if self.uniform() < left {
                let process = self.below(self.processes.len());
                let mut target = self.below(self.targets.len());
                while self.is_silent(process, target) {
                    target = self.below(self.targets.len());
                }
                self.sent[target] += 1;
                self.send(process, target, false);
            }
            left -= 1.0;
        }
        self.answer();
        self.examine();
        self.report();
        if self.now.is_multiple_of(TICK_MS) {
            self.tick();
        }
        for process in 0..self.processes.len() {
            let silent = self.processes[process].directory.all().filter(|t| t.is_silent).count();
            self.suspect_ms += silent as u64;
        }
    }

    fn answer(&mut self) {
        let now = self.now;
        for request in &mut self.requests {
            if self.is_up[request.target] && (self.reaches)(request.process, request.target) {
                request.work -= 1.0 / self.slowdowns[request.target];
            }
        }
        let is_over = |r: &mut SimRequest| {
            let timeout = if r.is_check { CHECK_TIMEOUT_MS } else { REQUEST_TIMEOUT_MS };
            r.work <= 0.0 || now >= r.sent + timeout
        };
        let over: Vec<SimRequest> = self.requests.extract_if(.., is_over).collect();
        for request in over {
            let target = &self.targets[request.target];
            let process = &mut self.processes[request.process];
            let is_answered = request.work <= 0.0;
            let has_ended = if request.is_check {
                process.silence.check_ended(at(now), target, at(request.sent), is_answered)
            } else if is_answered {
                let took = (now - request.sent) as f64 / self.slowdowns[request.target];
                process.silence.record_time(&SERVICE.into(), Span::from_micros((took * 1e3) as u64));
                process.silence.heard(at(now), target)
            } else {
                self.unanswered += 1;
                false
            };
            process.wants_report |= has_ended;
            process.apply(now);
        }
    }

    fn examine(&mut self) {
        for request in self.requests.iter_mut().filter(|request| !request.is_check) {
            let process = &mut self.processes[request.process];
            if process.silence.examine(at(self.now), &self.targets[request.target], &mut request.wait) {
                process.wants_report = true;
                process.apply(self.now);
            }
        }
    }

    /// Lets the processes report whose time has come. The leader answers at once.
    fn report(&mut self) {
        if !self.has_leader {
            return;
        }
        for i in 0..self.processes.len() {
            let process = &mut self.processes[i];
            let age = self.now.saturating_sub(process.reported_at);
            if age < REPORT_INTERVAL_MS && !(process.wants_report && age >= REPORT_INTERVAL_MIN_MS) {
                continue;
            }
            (process.reported_at, process.wants_report) = (self.now, false);
            let report = process.silence.reports(at(self.now), &process.directory, Scope::Own);
            self.processes[0].learn(self.now, &report);
            let answer = self.leader_reports();
            let exempt =
                self.processes[0].silence.exempt_services(at(self.now), &self.processes[0].directory);
            if i > 0 {
                self.processes[i].silence.learn_exempt(at(self.now), exempt);
            }
            self.processes[i].learn(self.now, &answer);
        }
    }

    fn leader_reports(&self) -> Vec<SilenceReport> {
        let SimProcess { silence, directory, .. } = &self.processes[0];
        silence.reports(at(self.now), directory, Scope::All)
    }

    /// Sends changes to all processes, and health checks.
    fn tick(&mut self) {
        self.processes.iter_mut().for_each(|process| process.apply(self.now));
        let leader = &self.processes[0];
        let silent = leader.silence.suspects(at(self.now), &leader.directory);
        let is_changed = silent.len() != self.signalled.len()
            || silent.iter().any(|incarnation| !self.signalled.contains(incarnation));
        if self.has_leader && is_changed {
            self.signalled = silent;
            let reports = self.leader_reports();
            self.processes.iter_mut().for_each(|process| process.learn(self.now, &reports));
        }
        let checkers = if self.has_leader { 1 } else { 3 };
        for i in 0..checkers {
            for target in self.processes[i].silence.unchecked(at(self.now)) {
                let index = self.targets.iter().position(|t| *t == target).unwrap();
                if self.is_silent(i, index) {
                    self.processes[i].silence.check_started(at(self.now), &target);
                    self.checks += 1;
                    self.send(i, index, true);
                }
            }
        }
    }
}

impl SimProcess {
    fn apply(&mut self, now: u64) {
        let silent = self.silence.suspects(at(now), &self.directory);
        self.directory.set_silent(&silent);
    }

    fn learn(&mut self, now: u64, reports: &[SilenceReport]) {
        self.silence.learn(at(now), reports);
        self.apply(now);
    }
}

/// One of 84 targets stops for 4 s. Each of 70 processes used to find out by
/// itself: once one has, the others must send it nothing, and all must use it
/// again when it continues, after few health checks.
#[test]
fn all_processes_avoid_a_target_that_one_found_silent() {
    let mut sim = Sim::new(70, 84);
    sim.run(5_000);
    assert_eq!(sim.suspect_ms, 0);
    sim.is_up[3] = false;
    let stopped_at = sim.now;
    while sim.suspecting(3) == 0 {
        sim.step();
    }
    let found_ms = sim.now - stopped_at;
    sim.run(150);
    assert_eq!(sim.suspecting(3), 70);
    let (sent, checks) = (sim.sent[3], sim.checks);
    sim.run(4_000 - found_ms - 150);
    assert_eq!(sim.sent[3], sent);
    println!("found after {found_ms} ms, {sent} requests, {} checks", sim.checks - checks);
    assert!(found_ms < 700, "{found_ms}");
    assert!(sim.checks <= 3, "{} health checks", sim.checks);
    sim.is_up[3] = true;
    sim.run(250);
    assert_eq!(sim.suspecting(3), 0);
    sim.run(1_000);
    assert!(sim.sent[3] > sent);
}

/// A fifth of the targets, others every 400 ms, take three times the usual time,
/// and some requests take four times as long as others. No target is silent, and
/// each suspicion would cost a health check.
#[test]
fn slow_targets_are_not_silent() {
    for has_tail in [false, true] {
        let mut sim = Sim::new(70, 84);
        sim.has_tail = has_tail;
        for _ in 0..75 {
            for target in 0..84 {
                sim.slowdowns[target] = if sim.uniform() < 0.2 { 3.0 } else { 1.0 };
            }
            sim.run(400);
        }
        println!("tail {has_tail}: {} checks, suspect for {} ms", sim.checks, sim.suspect_ms);
        // 39,000 requests, of which 0.2 % may be misjudged.
        assert!(sim.checks <= if has_tail { 78 } else { 0 }, "{} checks", sim.checks);
        assert_eq!(sim.unanswered, 0);
    }
}

/// One of three zones stops, as all its targets do: the others can take its
/// requests. If two of three do, the network is at fault, or all processes would
/// overload the rest.
#[test]
fn a_whole_zone_is_silent_and_two_are_not() {
    for (zones, is_silent) in [(1, true), (2, false)] {
        let mut sim = Sim::new(70, 84);
        sim.run(5_000);
        (0..28 * zones).for_each(|target| sim.is_up[target] = false);
        sim.run(1_500);
        let counts: Vec<usize> = (0..84).map(|target| sim.suspecting(target)).collect();
        if is_silent {
            assert!(counts[..28].iter().all(|count| *count == 70), "{counts:?}");
            let sent: u32 = sim.sent[..28].iter().sum();
            sim.run(1_500);
            assert_eq!(sim.sent[..28].iter().sum::<u32>(), sent);
        } else {
            // Each process takes none for silent once it knows of too many.
            assert!(counts.iter().sum::<usize>() < 70, "{counts:?}");
        }
    }
}

/// A process that reaches no target must suspect itself, and one that reaches two
/// of three zones only must not turn the others away from the third: their answers
/// are newer than its requests.
#[test]
fn a_partitioned_process_turns_nobody_away() {
    let mut sim = Sim::new(70, 84);
    sim.run(5_000);
    sim.reaches = |process, _| process != 9;
    sim.run(5_000);
    assert_eq!((sim.checks, sim.suspect_ms), (0, 0));
    sim.reaches = |process, target| process != 9 || target >= 28;
    sim.run(10_000);
    let share = sim.suspect_ms as f64 / (10_000.0 * 28.0 * 70.0);
    println!("{} checks, a share of {share:.5} of the time suspect", sim.checks);
    assert!(share < 0.01, "{share}");
}

/// Without a leader, each process finds out by itself and a few check, and each
/// that hears of the target uses it again.
#[test]
fn without_a_leader_each_process_finds_out() {
    let mut sim = Sim::new(12, 84);
    sim.has_leader = false;
    sim.run(5_000);
    sim.is_up[3] = false;
    sim.run(4_000);
    let found = sim.suspecting(3);
    println!("{found} of 12 processes found out, {} checks", sim.checks);
    assert!(found >= 4, "{found}");
    assert!(sim.checks <= 9, "{}", sim.checks);
    sim.is_up[3] = true;
    sim.run(6_000);
    assert_eq!(sim.suspecting(3), 0);
}

/// Targets that stay suspect for ever without evidence would get no requests: the
/// suspicion ends by itself.
#[test]
fn suspicion_without_new_evidence_ends() {
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let mut directory = Directory::default();
    for id in ["a", "b", "c"] {
        directory.put(at(0), entry(id, 1));
    }
    let mut silence = Silence::default();
    silence.heard(at(1_200), &b);
    assert!(silence.note_silent(at(1_500), &a, at(1_000)));
    assert_eq!(silence.suspects(at(5_900), &directory), std::slice::from_ref(&a));
    assert_eq!(silence.suspects(at(6_100), &directory), []);
    assert!(silence.unchecked(at(6_100)).is_empty());
}

/// A process that was itself paused finds the answers that came meanwhile after
/// its timers: these must not count.
#[test]
fn late_timer_is_no_evidence() {
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let mut silence = Silence::default();
    let mut wait = Wait::new(at(1_000), Span::from_millis(500));
    silence.heard(at(1_200), &b);
    assert!(!silence.examine(at(3_000), &a, &mut wait));
    assert!(!silence.examine(at(3_020), &a, &mut wait));
    silence.heard(at(3_030), &a);
    assert!(!silence.examine(at(3_060), &a, &mut wait));
    assert!(wait.due().is_none());
}

/// Observations of other processes arrive in any order, and the newest must win.
#[test]
fn newest_observation_wins() {
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let mut directory = Directory::default();
    for id in ["a", "b", "c"] {
        directory.put(at(0), entry(id, 1));
    }
    let silent_reports = |sent_at: u64, now: u64| {
        let mut other = Silence::default();
        other.heard(at(sent_at + 1), &b);
        assert!(other.note_silent(at(now), &a, at(sent_at)));
        other.reports(at(now), &directory, Scope::Own)
    };
    let mut silence = Silence::default();
    silence.heard(at(1_100), &a);
    silence.learn(at(1_500), &silent_reports(1_000, 1_500));
    assert_eq!(silence.suspects(at(1_500), &directory), [], "this process has heard of it since");
    let ended = silence.reports(at(1_500), &directory, Scope::Own);
    assert!(!ended[0].is_silent && ended[0].age() == Span::from_millis(400));
    let witness = silence.clone();
    silence.learn(at(1_800), &silent_reports(1_200, 1_800));
    assert_eq!(silence.suspects(at(1_800), &directory), std::slice::from_ref(&a));
    // An earlier answer that is told later does not end it.
    silence.learn(at(1_810), &witness.reports(at(1_810), &directory, Scope::Own));
    assert_eq!(silence.suspects(at(1_810), &directory), std::slice::from_ref(&a));
    silence.heard(at(1_820), &a);
    assert_eq!(silence.suspects(at(1_820), &directory), []);
}

/// A silent target gets no request, with or without a key, and the others say why
/// none of them takes one. When it answers again it counts as one that has not
/// failed, or it would get no requests while others have room.
#[test]
fn silent_target_gets_no_request_until_it_answers() {
    let a = incarnation("a", 1);
    let mut directory = Directory::default();
    for id in ["a", "b"] {
        directory.put(at(0), entry(id, 1));
    }
    let mut loads = LocalLoads::new("z".into());
    let usual = loads.expected_time(at(0), directory.get("a").unwrap(), 1, 0);
    for _ in 0..4 {
        loads.begin(at(0), &a, 1);
        loads.end(at(0), &a, Completion::Failed, Span::from_millis(900), 6);
    }
    assert_eq!(directory.set_silent(std::slice::from_ref(&a)), std::slice::from_ref(&a));
    // A further entry of the same process changes nothing.
    directory.put(at(500), Entry { slots: 8, ..entry("a", 1) });
    let target = directory.get("a").unwrap();
    for has_key in [false, true] {
        let checked = loads.check(at(1_000), target, has_key, 1, FillFactor::MAX);
        assert_eq!(checked, Err(Denial::Doubted));
    }
    let chosen = loads.choose(at(1_000), &directory, SERVICE, 1, Criteria::new(0));
    assert_eq!(&*chosen.unwrap().entry.incarnation.id, "b");
    loads.observe_pause(at(1_000), &incarnation("b", 1), Some(Span::from_secs(2)), at(999));
    let denial = loads.denial(at(1_000), &directory, SERVICE, 1, FillFactor::MAX);
    assert!(matches!(denial, Some(Denial::Paused(_))), "{denial:?}");
    assert_eq!(directory.set_silent(&[]), std::slice::from_ref(&a));
    loads.forgive(&a);
    let target = directory.get("a").unwrap();
    assert!(loads.check(at(1_100), target, true, 1, FillFactor::MAX).is_ok());
    assert!(loads.expected_time(at(1_100), target, 1, 0) < 1.1 * usual);
}
