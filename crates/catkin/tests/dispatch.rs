//! Failures of the queue of a target.

use {
    catkin::{
        Code,
        api::Load,
        config::Policy,
        dispatch::{Event, Job, JobId, Outcome, Table},
        types::{Span, TargetId, Time},
        wire::Class::{self, Long, Short},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeSet,
};

const SECOND: Span = Span::from_secs(1);
const RUN: Span = Span::from_millis(10);

/// One table with one target and its own clock and job numbers.
struct Bed {
    table: Table,
    target: TargetId,
    now: Time,
    number: u64,
}

impl Bed {
    fn cold() -> Self {
        let target: TargetId = "pedidos-1".parse().unwrap();
        let mut table = Table::new();
        table.set(&target, &Policy::default());
        Self { table, target, now: Time::from_micros(0), number: 0 }
    }

    /// A target that has run short work of 10 ms until it got all its slots.
    fn warm() -> Self {
        let mut bed = Self::cold();
        bed.work(200, RUN);
        assert_eq!(bed.table.limit(&bed.target), 6);
        bed
    }

    /// Runs short work one after the other.
    fn work(&mut self, count: u32, run: Span) {
        for _ in 0..count {
            let id = self.push(Short, Span::from_secs(10)).unwrap();
            assert_eq!(self.starts(), [id]);
            self.now = self.now.after(run);
            self.table.finish(self.now, id, Outcome::Ok);
        }
    }

    fn push(&mut self, class: Class, left: Span) -> Result<JobId, Code> {
        self.number += 1;
        let id = JobId(self.number);
        let deadline = self.now.after(left);
        let job = Job { id, target: self.target.clone(), class, deadline, length: None };
        self.table.push(self.now, job).map(|()| id).map_err(|error| {
            assert!(error.is_not_run());
            error.code()
        })
    }

    fn fill(&mut self, class: Class, count: u32) -> Vec<JobId> {
        (0..count).map(|_| self.push(class, SECOND).unwrap()).collect()
    }

    fn starts(&mut self) -> Vec<JobId> {
        let events = self.table.poll(self.now, &self.target);
        events
            .iter()
            .filter_map(|event| if let Event::Start(id) = event { Some(*id) } else { None })
            .collect()
    }

    fn refusals(&mut self) -> Vec<(JobId, Code)> {
        let events = self.table.poll(self.now, &self.target);
        refused(&events)
    }
}

fn refused(events: &[Event]) -> Vec<(JobId, Code)> {
    let refusal = |event: &Event| match event {
        Event::Refuse(id, error) => Some((*id, error.code())).filter(|_| error.is_not_run()),
        Event::Start(_) => None,
    };
    events.iter().filter_map(refusal).collect()
}

/// Guards against uploads that take the slots of short work.
#[test]
fn long_work_holds_at_most_its_share() {
    let mut bed = Bed::warm();
    bed.fill(Long, 6);
    assert_eq!(bed.starts().len(), 3);
    bed.fill(Short, 3);
    assert_eq!(bed.starts().len(), 3);
}

/// Guards against a job with a near deadline that waits behind others.
#[test]
fn the_earliest_deadline_goes_first() {
    let mut bed = Bed::warm();
    let running = bed.fill(Short, 6);
    bed.starts();
    bed.push(Short, Span::from_millis(400)).unwrap();
    let urgent = bed.push(Short, Span::from_millis(100)).unwrap();
    bed.table.finish(bed.now, running[0], Outcome::Ok);
    assert_eq!(bed.starts(), [urgent]);
}

/// Guards against long work that starves behind a stream of short work.
#[test]
fn aged_long_work_goes_before_short_work() {
    let mut bed = Bed::warm();
    let mut running = bed.fill(Short, 6);
    bed.starts();
    let upload = bed.push(Long, Span::from_secs(30)).unwrap();
    while !running.contains(&upload) {
        bed.fill(Short, 1);
        bed.now = bed.now.after(RUN);
        bed.table.finish(bed.now, running.remove(0), Outcome::Ok);
        running.extend(bed.starts());
        assert!(bed.now < Time::from_micros(2_600_000), "the upload starves");
    }
}

/// Guards against a job that waits without bound on a target that hangs.
#[test]
fn waiting_time_is_bounded() {
    let mut bed = Bed::warm();
    bed.fill(Short, 6);
    bed.starts();
    let waits = bed.push(Short, Span::from_secs(10)).unwrap();
    bed.now = bed.now.after(Span::from_millis(501));
    assert_eq!(bed.refusals(), [(waits, Code::QueueFull)]);
}

/// Guards against a queue that grows without bound before the first answer.
#[test]
fn a_full_queue_refuses() {
    let mut bed = Bed::cold();
    bed.fill(Short, 256);
    assert_eq!(bed.push(Short, SECOND), Err(Code::QueueFull));
}

/// Guards against admitted work that is certain to be late.
#[test]
fn work_that_would_be_late_is_refused_at_once() {
    let mut bed = Bed::warm();
    bed.fill(Short, 6);
    bed.starts();
    let left = Span::from_millis(110);
    let results: Vec<_> = (0..100).map(|_| bed.push(Short, left)).collect();
    let taken = results.iter().filter(|result| result.is_ok()).count();
    assert!((50..=60).contains(&taken), "10 rounds of 6 end in time, {taken} were taken");
    assert_eq!(results[99], Err(Code::DeadlineTooShort));
}

/// Guards against a slot spent on a job that can't end in time any more.
#[test]
fn a_job_that_waited_too_long_to_end_in_time_is_not_started() {
    let mut bed = Bed::warm();
    let running = bed.fill(Short, 6);
    bed.starts();
    let waits = bed.push(Short, Span::from_millis(60)).unwrap();
    bed.now = bed.now.after(Span::from_millis(55));
    bed.table.finish(bed.now, running[0], Outcome::Ok);
    assert_eq!(bed.refusals(), [(waits, Code::DeadlineTooShort)]);
}

/// Guards against an estimate that is too high and refuses all work, so that
/// nothing can ever correct it.
#[test]
fn an_idle_target_takes_work_in_spite_of_its_estimate() {
    let mut bed = Bed::cold();
    bed.work(100, Span::from_millis(300));
    let id = bed.push(Short, Span::from_millis(100)).unwrap();
    assert_eq!(bed.starts(), [id]);
}

/// Guards against a server that is kept at full load while it slows down,
/// and against a limit that never comes back when it stays slow.
#[test]
fn the_limit_follows_a_slow_server() {
    let mut bed = Bed::warm();
    bed.work(2_000, RUN);
    let mut lowest = 6;
    for _ in 0..600 {
        bed.work(1, Span::from_millis(50));
        lowest = lowest.min(bed.table.limit(&bed.target));
    }
    assert_eq!(lowest, 2);
    assert_eq!(bed.table.limit(&bed.target), 6);
}

/// Guards against full load on a target that refuses or does not answer.
#[test]
fn refusals_and_timeouts_lower_the_limit() {
    for outcome in [Outcome::Refused, Outcome::TimedOut] {
        let mut bed = Bed::warm();
        let id = bed.fill(Short, 1)[0];
        bed.starts();
        bed.table.finish(bed.now, id, outcome);
        assert_eq!(bed.table.limit(&bed.target), 4);
    }
}

/// Guards against full load on a target that has just started.
#[test]
fn a_cold_target_ramps_up() {
    let mut bed = Bed::cold();
    bed.fill(Short, 6);
    assert_eq!(bed.starts().len(), 2);
    bed.now = bed.now.after(RUN);
    assert_eq!(bed.starts().len(), 0);
    bed.table.report(&bed.target, &Load { slots: 6, ..Load::default() });
    assert_eq!(bed.table.limit(&bed.target), 2, "a report of an idle target adds no slots");
}

/// Guards against a misleading report that adds slots or takes all of them.
#[test]
fn a_report_only_lowers_the_limit_and_for_a_while() {
    let mut bed = Bed::warm();
    let limit = |bed: &mut Bed, running, slots| {
        let load = Load { running, slots, ..Load::default() };
        bed.table.report(&bed.target, &load);
        bed.table.limit(&bed.target)
    };
    assert_eq!(limit(&mut bed, 0, 60), 6);
    assert_eq!(limit(&mut bed, 2, 6), 4);
    assert_eq!(limit(&mut bed, 100, 6), 3);
    bed.starts();
    bed.now = bed.now.after(SECOND);
    bed.starts();
    assert_eq!(bed.table.limit(&bed.target), 6);
}

/// Guards against new work for a target that drains or leaves.
#[test]
fn a_closed_target_gets_nothing_new() {
    let mut bed = Bed::warm();
    let running = bed.fill(Short, 6);
    bed.starts();
    let waits = bed.fill(Short, 1)[0];
    let events = bed.table.close(&bed.target);
    assert_eq!(refused(&events), [(waits, Code::Leaving)]);
    assert_eq!(bed.push(Short, SECOND), Err(Code::Leaving));
    assert_eq!(bed.table.running(&bed.target), 6);
    bed.table.finish(bed.now, running[0], Outcome::Ok);
    assert!(bed.starts().is_empty());
}

/// Guards against a drain that is known only from the target's report.
#[test]
fn a_draining_report_closes_the_target() {
    let mut bed = Bed::warm();
    bed.fill(Short, 1);
    let load = Load { draining: true, slots: 6, ..Load::default() };
    bed.table.report(&bed.target, &load);
    assert_eq!(bed.refusals().len(), 1);
    assert_eq!(bed.push(Short, SECOND), Err(Code::Leaving));
}

/// Guards against more requests than slots after a keeper lost a target and
/// got it back while its requests still ran.
#[test]
fn running_jobs_hold_their_slots_while_a_target_is_removed() {
    let mut bed = Bed::warm();
    bed.fill(Short, 6);
    bed.starts();
    bed.table.remove(&bed.target);
    bed.table.set(&bed.target, &Policy::default());
    bed.fill(Short, 1);
    assert!(bed.starts().is_empty());
}

/// Guards against a started job whose slot is given away by a cancellation.
#[test]
fn cancelling_a_started_job_keeps_its_slot() {
    let mut bed = Bed::cold();
    let ids = bed.fill(Short, 3);
    bed.starts();
    assert!(!bed.table.cancel(ids[0]));
    assert!(bed.table.cancel(ids[2]));
    assert_eq!(bed.table.depth(&bed.target), 2);
}

/// Guards against lost, doubled and surplus starts in random schedules.
#[test]
fn each_job_starts_or_is_refused_once_and_slots_are_kept() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut bed = Bed::cold();
        let mut waiting = BTreeSet::new();
        let mut running = Vec::new();
        for _ in 0..2_000 {
            bed.now = bed.now.after(Span::from_millis(random.random_range(0..20)));
            let class = if random.random_range(0..4) == 0 { Long } else { Short };
            let left = Span::from_millis(random.random_range(0..800));
            waiting.extend(bed.push(class, left).ok());
            if random.random_range(0..2) == 0 && !running.is_empty() {
                let id = running.swap_remove(random.random_range(0..running.len()));
                bed.table.finish(bed.now, id, Outcome::Ok);
            }
            for event in bed.table.tick(bed.now) {
                let (Event::Start(id) | Event::Refuse(id, _)) = &event;
                assert!(waiting.remove(id), "seed {seed}: {event:?} for a job that does not wait");
                running.extend(matches!(event, Event::Start(_)).then_some(*id));
            }
            assert!(running.len() <= 6, "seed {seed}: {} jobs run", running.len());
            assert_eq!(bed.table.depth(&bed.target) as usize, waiting.len() + running.len());
        }
    }
}
