//! Tests of the queue of a target.

use {
    catkin::{
        Code,
        api::Load,
        config::Policy,
        dispatch::{Action, Dispatcher, Job, JobId, Outcome},
        types::{Span, TargetId, Time},
        wire::Class::{self, Long, Short},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeSet,
};

const SECOND: Span = Span::from_secs(1);
const RUN: Span = Span::from_millis(10);

/// Table with one target, a clock and a counter of job numbers.
struct Fixture {
    table: Dispatcher,
    target: TargetId,
    now: Time,
    number: u64,
}

impl Fixture {
    fn cold() -> Self {
        let target: TargetId = "pedidos-1".parse().unwrap();
        let mut table = Dispatcher::new();
        table.set(&target, &Policy::default());
        Self { table, target, now: Time::from_micros(0), number: 0 }
    }

    /// Returns a target that has run short work of 10 ms until its limit reached its
    /// slots.
    fn warm() -> Self {
        let mut fixture = Self::cold();
        fixture.run_jobs(200, RUN);
        assert_eq!(fixture.table.limit(&fixture.target), 6);
        fixture
    }

    /// Runs short jobs one after the other.
    fn run_jobs(&mut self, count: u32, run: Span) {
        for _ in 0..count {
            let id = self.push(Short, Span::from_secs(10)).unwrap();
            assert_eq!(self.starts(), [id]);
            self.now = self.now.after(run);
            self.table.finish(self.now, id, Outcome::Ok);
        }
    }

    fn push(&mut self, class: Class, time_limit: Span) -> Result<JobId, Code> {
        self.number += 1;
        let id = JobId(self.number);
        let deadline = self.now.after(time_limit);
        let job = Job { id, target: self.target.clone(), class, deadline, expected_run: None };
        self.table.push(self.now, job).map(|()| id).map_err(|error| {
            assert!(error.is_not_run());
            error.code()
        })
    }

    fn fill(&mut self, class: Class, count: u32) -> Vec<JobId> {
        (0..count).map(|_| self.push(class, SECOND).unwrap()).collect()
    }

    fn starts(&mut self) -> Vec<JobId> {
        let actions = self.table.poll(self.now, &self.target);
        actions
            .iter()
            .filter_map(|action| if let Action::Start(id) = action { Some(*id) } else { None })
            .collect()
    }

    fn refusals(&mut self) -> Vec<(JobId, Code)> {
        let actions = self.table.poll(self.now, &self.target);
        refusals(&actions)
    }
}

fn refusals(actions: &[Action]) -> Vec<(JobId, Code)> {
    let refusal = |action: &Action| match action {
        Action::Refuse(id, error) => Some((*id, error.code())).filter(|_| error.is_not_run()),
        Action::Start(_) => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Guards against long work, such as uploads, that takes the slots of short work.
#[test]
fn long_work_holds_at_most_its_share() {
    let mut fixture = Fixture::warm();
    fixture.fill(Long, 6);
    assert_eq!(fixture.starts().len(), 3);
    fixture.fill(Short, 3);
    assert_eq!(fixture.starts().len(), 3);
}

/// Guards against a job with a near deadline that waits behind less urgent ones.
#[test]
fn the_earliest_deadline_goes_first() {
    let mut fixture = Fixture::warm();
    let running = fixture.fill(Short, 6);
    fixture.starts();
    fixture.push(Short, Span::from_millis(400)).unwrap();
    let urgent = fixture.push(Short, Span::from_millis(100)).unwrap();
    fixture.table.finish(fixture.now, running[0], Outcome::Ok);
    assert_eq!(fixture.starts(), [urgent]);
}

/// Guards against long work that starves behind a stream of short work.
#[test]
fn aged_long_work_goes_before_short_work() {
    let mut fixture = Fixture::warm();
    let mut running = fixture.fill(Short, 6);
    fixture.starts();
    let upload = fixture.push(Long, Span::from_secs(30)).unwrap();
    while !running.contains(&upload) {
        fixture.fill(Short, 1);
        fixture.now = fixture.now.after(RUN);
        fixture.table.finish(fixture.now, running.remove(0), Outcome::Ok);
        running.extend(fixture.starts());
        assert!(fixture.now < Time::from_micros(2_600_000), "the upload starves");
    }
}

/// Guards against a job that waits without bound for a target that hangs.
#[test]
fn queue_wait_is_bounded() {
    let mut fixture = Fixture::warm();
    fixture.fill(Short, 6);
    fixture.starts();
    let waiting_job = fixture.push(Short, Span::from_secs(10)).unwrap();
    fixture.now = fixture.now.after(Span::from_millis(501));
    assert_eq!(fixture.refusals(), [(waiting_job, Code::QueueFull)]);
}

/// Guards against a queue that grows without bound before the first answer.
#[test]
fn a_full_queue_refuses() {
    let mut fixture = Fixture::cold();
    fixture.fill(Short, 256);
    assert_eq!(fixture.push(Short, SECOND), Err(Code::QueueFull));
}

/// Guards against accepted work that would miss its deadline.
#[test]
fn work_that_would_be_late_is_refused_at_once() {
    let mut fixture = Fixture::warm();
    fixture.fill(Short, 6);
    fixture.starts();
    let time_limit = Span::from_millis(110);
    let results: Vec<_> = (0..100).map(|_| fixture.push(Short, time_limit)).collect();
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert!((50..=60).contains(&accepted), "10 rounds of 6 end in time, {accepted} were accepted");
    assert_eq!(results[99], Err(Code::DeadlineTooShort));
}

/// Guards against a slot that is spent on a job that can't end before its deadline.
#[test]
fn a_job_that_waited_too_long_to_end_in_time_is_not_started() {
    let mut fixture = Fixture::warm();
    let running = fixture.fill(Short, 6);
    fixture.starts();
    let waiting_job = fixture.push(Short, Span::from_millis(60)).unwrap();
    fixture.now = fixture.now.after(Span::from_millis(55));
    fixture.table.finish(fixture.now, running[0], Outcome::Ok);
    assert_eq!(fixture.refusals(), [(waiting_job, Code::DeadlineTooShort)]);
}

/// Guards against an estimate that is too high and causes all work to be refused, so
/// that no run can correct it.
#[test]
fn an_idle_target_accepts_work_despite_its_estimate() {
    let mut fixture = Fixture::cold();
    fixture.run_jobs(100, Span::from_millis(300));
    let id = fixture.push(Short, Span::from_millis(100)).unwrap();
    assert_eq!(fixture.starts(), [id]);
}

/// Guards against full load on a server that slows down, and against a limit that
/// never rises again if the server stays slow.
#[test]
fn the_limit_follows_a_slow_server() {
    let mut fixture = Fixture::warm();
    fixture.run_jobs(2_000, RUN);
    let mut lowest = 6;
    for _ in 0..600 {
        fixture.run_jobs(1, Span::from_millis(50));
        lowest = lowest.min(fixture.table.limit(&fixture.target));
    }
    assert_eq!(lowest, 2);
    assert_eq!(fixture.table.limit(&fixture.target), 6);
}

/// Guards against full load on a target that refuses or does not answer.
#[test]
fn refusals_and_timeouts_lower_the_limit() {
    for outcome in [Outcome::Refused, Outcome::TimedOut] {
        let mut fixture = Fixture::warm();
        let id = fixture.fill(Short, 1)[0];
        fixture.starts();
        fixture.table.finish(fixture.now, id, outcome);
        assert_eq!(fixture.table.limit(&fixture.target), 4);
    }
}

/// Guards against full load on a target that has just started.
#[test]
fn a_cold_target_ramps_up() {
    let mut fixture = Fixture::cold();
    fixture.fill(Short, 6);
    assert_eq!(fixture.starts().len(), 2);
    fixture.now = fixture.now.after(RUN);
    assert_eq!(fixture.starts().len(), 0);
    fixture.table.report(&fixture.target, &Load { slots: 6, ..Load::default() });
    assert_eq!(fixture.table.limit(&fixture.target), 2, "a report of an idle target adds no slots");
}

/// Guards against a misleading report that adds slots or takes all of them.
#[test]
fn a_report_only_lowers_the_limit_and_for_a_while() {
    let mut fixture = Fixture::warm();
    let limit = |fixture: &mut Fixture, running, slots| {
        let load = Load { running, slots, ..Load::default() };
        fixture.table.report(&fixture.target, &load);
        fixture.table.limit(&fixture.target)
    };
    assert_eq!(limit(&mut fixture, 0, 60), 6);
    assert_eq!(limit(&mut fixture, 2, 6), 4);
    assert_eq!(limit(&mut fixture, 100, 6), 3);
    fixture.starts();
    fixture.now = fixture.now.after(SECOND);
    fixture.starts();
    assert_eq!(fixture.table.limit(&fixture.target), 6);
}

/// Guards against new work for a target that drains or leaves.
#[test]
fn a_closed_target_gets_nothing_new() {
    let mut fixture = Fixture::warm();
    let running = fixture.fill(Short, 6);
    fixture.starts();
    let waiting_job = fixture.fill(Short, 1)[0];
    let actions = fixture.table.close(&fixture.target);
    assert_eq!(refusals(&actions), [(waiting_job, Code::Leaving)]);
    assert_eq!(fixture.push(Short, SECOND), Err(Code::Leaving));
    assert_eq!(fixture.table.running(&fixture.target), 6);
    fixture.table.finish(fixture.now, running[0], Outcome::Ok);
    assert!(fixture.starts().is_empty());
}

/// Guards against a drain that is known only from the target's report.
#[test]
fn a_draining_report_closes_the_target() {
    let mut fixture = Fixture::warm();
    fixture.fill(Short, 1);
    let load = Load { draining: true, slots: 6, ..Load::default() };
    fixture.table.report(&fixture.target, &load);
    assert_eq!(fixture.refusals().len(), 1);
    assert_eq!(fixture.push(Short, SECOND), Err(Code::Leaving));
}

/// Guards against more running requests than slots after a keeper has lost a target
/// and become its keeper again while requests still ran.
#[test]
fn running_jobs_hold_their_slots_while_a_target_is_removed() {
    let mut fixture = Fixture::warm();
    fixture.fill(Short, 6);
    fixture.starts();
    fixture.table.remove(&fixture.target);
    fixture.table.set(&fixture.target, &Policy::default());
    fixture.fill(Short, 1);
    assert!(fixture.starts().is_empty());
}

/// Guards against a cancellation that frees the slot of a running job.
#[test]
fn cancelling_a_started_job_keeps_its_slot() {
    let mut fixture = Fixture::cold();
    let ids = fixture.fill(Short, 3);
    fixture.starts();
    assert!(!fixture.table.cancel(ids[0]));
    assert!(fixture.table.cancel(ids[2]));
    assert_eq!(fixture.table.job_count(&fixture.target), 2);
}

/// Guards against jobs that never start, start twice or exceed the slots in random
/// schedules.
#[test]
fn each_job_starts_or_is_refused_once_and_slots_are_kept() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut fixture = Fixture::cold();
        let mut waiting = BTreeSet::new();
        let mut running = Vec::new();
        for _ in 0..2_000 {
            fixture.now = fixture.now.after(Span::from_millis(random.random_range(0..20)));
            let class = if random.random_range(0..4) == 0 { Long } else { Short };
            let time_limit = Span::from_millis(random.random_range(0..800));
            waiting.extend(fixture.push(class, time_limit).ok());
            if random.random_range(0..2) == 0 && !running.is_empty() {
                let id = running.swap_remove(random.random_range(0..running.len()));
                fixture.table.finish(fixture.now, id, Outcome::Ok);
            }
            for action in fixture.table.tick(fixture.now) {
                let (Action::Start(id) | Action::Refuse(id, _)) = &action;
                assert!(waiting.remove(id), "seed {seed}: {action:?} for a job that is not waiting");
                running.extend(matches!(action, Action::Start(_)).then_some(*id));
            }
            assert!(running.len() <= 6, "seed {seed}: {} jobs run", running.len());
            assert_eq!(fixture.table.job_count(&fixture.target) as usize, waiting.len() + running.len());
        }
    }
}
