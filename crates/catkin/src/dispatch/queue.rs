//! Queue of the requests for one target.

use {
    super::{Action, Job, JobId, Outcome, limit::Limit, times::ServiceTimes},
    crate::{
        Code, Error,
        api::Load,
        config::Policy,
        types::{Share, Span, Time},
        wire::Class,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Quantile of the service times that is reserved before a deadline. Work that
/// starts at the last moment is late in 1 of 200 cases. The bound on late answers
/// allows twice as many.
const RUN_QUANTILE: f64 = 0.995;
/// Maximum time that is reserved for [`RUN_QUANTILE`], as a share of the time for
/// queueing and running. Without it, a few very long runs would cause all work
/// with short deadlines to be shed.
const RUN_SHARE_MAX: f64 = 0.5;
/// Share of the maximum wait after which long work goes before short work.
const AGING_SHARE: f64 = 0.5;
/// Age from which the report of a target is outdated.
const REPORT_AGE_MAX: Span = Span::from_secs(1);
/// Share of the slots by which a report can lower the limit. Reports may be
/// wrong, so what this VM observes itself weighs more.
const REPORT_SHARE_MAX: f64 = 0.5;

/// Settings of one queue, from the policy of its service.
#[derive(Debug)]
struct QueuePolicy {
    long_share: Share,
    max_wait: Span,
    max_length: usize,
}

impl QueuePolicy {
    fn new(policy: &Policy) -> Self {
        let max_length = policy.queue_length as usize;
        Self { long_share: policy.long_share, max_wait: policy.queue_wait, max_length }
    }
}

#[derive(Debug)]
struct WaitingJob {
    class: Class,
    queued_at: Time,
    deadline: Time,
    expected_run: Option<Span>,
    start_by: Time,
}

impl WaitingJob {
    fn check_expired(&self, now: Time, estimate: &Estimate, max_wait: Span) -> Option<Error> {
        let waited = now.since(self.queued_at);
        let remaining = self.deadline.since(now);
        let run = estimate.run(self.expected_run, self.deadline.since(self.queued_at));
        if remaining.is_zero() || run > remaining {
            let detail =
                format!("{remaining} remain after {waited} in the queue, the expected run time is {run}");
            return Some(Error::new(Code::DeadlineTooShort, detail));
        }
        if waited > max_wait {
            let detail = format!("{waited} in the queue, at most {max_wait} are allowed");
            return Some(Error::new(Code::QueueFull, detail));
        }
        None
    }
}

#[derive(Debug, Default)]
struct Estimate {
    median: Span,
    tail: Span,
}

impl Estimate {
    /// Returns the time to reserve for running a job that has `total` for queueing
    /// and running.
    fn run(&self, expected_run: Option<Span>, total: Span) -> Span {
        let tail = self.tail.min(total.scale(RUN_SHARE_MAX));
        expected_run.unwrap_or(self.median.max(tail))
    }
}

#[derive(Debug)]
struct RunningJob {
    class: Class,
    started_at: Time,
}

/// Waiting jobs of one class in the order of their latest start, the number of
/// running ones, and the service times of those that ran.
#[derive(Debug)]
struct ClassQueue {
    jobs: BTreeSet<(Time, JobId)>,
    running: u32,
    times: ServiceTimes,
}

impl ClassQueue {
    fn new() -> Self {
        Self { jobs: BTreeSet::new(), running: 0, times: ServiceTimes::new() }
    }
}

#[derive(Debug)]
struct Report {
    unavailable: u32,
    /// Time of the first poll after the report arrived; `None` before it.
    first_polled_at: Option<Time>,
}

/// Queue of one target.
#[derive(Debug)]
pub(super) struct Queue {
    policy: QueuePolicy,
    limit: Limit,
    short: ClassQueue,
    long: ClassQueue,
    waiting: BTreeMap<JobId, WaitingJob>,
    running: BTreeMap<JobId, RunningJob>,
    report: Option<Report>,
    open: bool,
    removed: bool,
}

impl Queue {
    pub(super) fn new(policy: &Policy) -> Self {
        Self {
            policy: QueuePolicy::new(policy),
            limit: Limit::new(policy.slots),
            short: ClassQueue::new(),
            long: ClassQueue::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            report: None,
            open: true,
            removed: false,
        }
    }

    pub(super) fn set_policy(&mut self, policy: &Policy) {
        self.policy = QueuePolicy::new(policy);
        if !self.open {
            self.limit = Limit::new(policy.slots);
        }
        self.limit.set_slots(policy.slots);
        self.open = true;
        self.removed = false;
    }

    pub(super) fn push(&mut self, now: Time, job: &Job) -> Result<(), Error> {
        self.check(now, job)?;
        let start_by = job.deadline.min(now.after(self.policy.max_wait));
        let waiting = WaitingJob {
            class: job.class,
            queued_at: now,
            deadline: job.deadline,
            expected_run: job.expected_run,
            start_by,
        };
        self.class_queue(job.class).jobs.insert((start_by, job.id));
        self.waiting.insert(job.id, waiting);
        Ok(())
    }

    fn check(&mut self, now: Time, job: &Job) -> Result<(), Error> {
        if !self.open {
            return Err(Error::new(Code::Leaving, format!("{} accepts no new work", job.target)));
        }
        if self.waiting.len() >= self.policy.max_length {
            let detail = format!("{} jobs wait for {}", self.waiting.len(), job.target);
            return Err(Error::new(Code::QueueFull, detail));
        }
        let remaining = job.deadline.since(now);
        let run = self.estimate(now, job.class).run(job.expected_run, remaining);
        let wait = self.expected_wait(now, job);
        if remaining.is_zero() || wait + run > remaining {
            let detail =
                format!("{remaining} remain, {wait} in the queue and {run} on {} are expected", job.target);
            return Err(Error::new(Code::DeadlineTooShort, detail));
        }
        if wait > self.policy.max_wait {
            let detail =
                format!("{wait} in the queue are expected, at most {} are allowed", self.policy.max_wait);
            return Err(Error::new(Code::QueueFull, detail));
        }
        Ok(())
    }

    /// Estimates how long a job of a class runs. The estimate for an idle target is
    /// zero, because only another run can correct an estimate that is too high.
    fn estimate(&mut self, now: Time, class: Class) -> Estimate {
        if self.running.is_empty() {
            return Estimate::default();
        }
        let times = &mut self.class_queue(class).times;
        times.decay(now);
        let quantile = |share| times.quantile(share).unwrap_or_default();
        Estimate { median: quantile(0.5), tail: quantile(RUN_QUANTILE) }
    }

    /// Returns the expected time in the queue, from the jobs that start earlier and
    /// the mean service time of the class.
    fn expected_wait(&mut self, now: Time, job: &Job) -> Span {
        let slots = self.class_limit(job.class);
        let start_by = job.deadline.min(now.after(self.policy.max_wait));
        let class_queue = self.class_queue(job.class);
        let ahead = class_queue.jobs.range(..(start_by, job.id)).count() as u32;
        let mean = class_queue.times.mean().unwrap_or_default();
        let free = slots.saturating_sub(class_queue.running);
        if ahead < free {
            return Span::ZERO;
        }
        mean.scale(f64::from(ahead + 1 - free) / f64::from(slots.max(1)))
    }

    /// Returns how many slots the jobs of a class may hold at present.
    fn class_limit(&self, class: Class) -> u32 {
        let limit = self.limit();
        match class {
            Class::Short => limit.saturating_sub(self.long.running).max(1),
            Class::Long => {
                let share = (f64::from(limit) * self.policy.long_share.as_f64()).floor() as u32;
                share.max(1)
            }
        }
    }

    pub(super) fn poll(&mut self, now: Time) -> Vec<Action> {
        self.expire_report(now);
        if !self.open {
            return self.refuse_waiting();
        }
        let mut actions = self.refuse_expired(now);
        while let Some(id) = self.next_job(now) {
            self.start(now, id);
            actions.push(Action::Start(id));
        }
        actions
    }

    /// Refuses jobs that have waited too long or can't end before their deadlines.
    fn refuse_expired(&mut self, now: Time) -> Vec<Action> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let short = self.estimate(now, Class::Short);
        let long = self.estimate(now, Class::Long);
        let max_wait = self.policy.max_wait;
        let expired = |(id, job): (&JobId, &WaitingJob)| {
            let estimate = if job.class == Class::Short { &short } else { &long };
            Some((*id, job.check_expired(now, estimate, max_wait)?))
        };
        let expired: Vec<(JobId, Error)> = self.waiting.iter().filter_map(expired).collect();
        for (id, _) in &expired {
            self.cancel(*id);
        }
        expired.into_iter().map(|(id, error)| Action::Refuse(id, error)).collect()
    }

    /// Returns the job that gets the next free slot.
    fn next_job(&self, now: Time) -> Option<JobId> {
        if self.running() >= self.limit() {
            return None;
        }
        let short = self.short.jobs.first().map(|(_, id)| *id);
        let long = self.long.jobs.first().map(|(_, id)| *id);
        let long = long.filter(|_| self.long.running < self.class_limit(Class::Long));
        match (short, long) {
            (Some(short), Some(long)) => Some(if self.is_aged(now, long) { long } else { short }),
            (short, long) => short.or(long),
        }
    }

    fn is_aged(&self, now: Time, id: JobId) -> bool {
        let min_wait = self.policy.max_wait.scale(AGING_SHARE);
        self.waiting.get(&id).is_some_and(|job| now.since(job.queued_at) >= min_wait)
    }

    fn start(&mut self, now: Time, id: JobId) {
        let Some(job) = self.waiting.remove(&id) else { return };
        let class_queue = self.class_queue(job.class);
        class_queue.jobs.remove(&(job.start_by, id));
        class_queue.running += 1;
        self.running.insert(id, RunningJob { class: job.class, started_at: now });
    }

    pub(super) fn finish(&mut self, now: Time, id: JobId, outcome: Outcome) {
        let Some(job) = self.running.remove(&id) else { return };
        let run = now.since(job.started_at);
        let class_queue = self.class_queue(job.class);
        class_queue.running -= 1;
        match outcome {
            Outcome::Ok => {
                class_queue.times.add(now, run);
                let median = class_queue.times.quantile(0.5).filter(|_| job.class == Class::Short);
                self.limit.succeed(now, median);
            }
            Outcome::Refused | Outcome::TimedOut => self.limit.decrease(now),
            Outcome::Failed | Outcome::Cancelled => {}
        }
    }

    pub(super) fn cancel(&mut self, id: JobId) -> bool {
        let Some(job) = self.waiting.remove(&id) else { return false };
        self.class_queue(job.class).jobs.remove(&(job.start_by, id));
        true
    }

    pub(super) fn report(&mut self, load: &Load) {
        if load.draining {
            self.open = false;
        }
        let other_jobs = load.running.saturating_sub(self.running());
        let missing_slots = self.limit.slots().saturating_sub(load.slots);
        let max = (f64::from(self.limit.slots()) * REPORT_SHARE_MAX) as u32;
        let unavailable = other_jobs.max(missing_slots).min(max);
        self.report = (load.age < REPORT_AGE_MAX).then_some(Report { unavailable, first_polled_at: None });
    }

    fn expire_report(&mut self, now: Time) {
        let Some(report) = &mut self.report else { return };
        let first_polled_at = *report.first_polled_at.get_or_insert(now);
        if now.since(first_polled_at) >= REPORT_AGE_MAX {
            self.report = None;
        }
    }

    pub(super) fn close(&mut self) -> Vec<Action> {
        self.open = false;
        self.refuse_waiting()
    }

    pub(super) fn remove(&mut self) -> Vec<Action> {
        self.removed = true;
        self.close()
    }

    fn refuse_waiting(&mut self) -> Vec<Action> {
        self.short.jobs.clear();
        self.long.jobs.clear();
        let refuse = |id| Action::Refuse(id, Error::new(Code::Leaving, "the target accepts no new work"));
        std::mem::take(&mut self.waiting).into_keys().map(refuse).collect()
    }

    pub(super) fn depth(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(super) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub(super) fn limit(&self) -> u32 {
        let unavailable = self.report.as_ref().map(|report| report.unavailable).unwrap_or_default();
        let slots = self.limit.slots().saturating_sub(unavailable);
        self.limit.get().min(slots).max(1)
    }

    pub(super) fn is_open(&self) -> bool {
        self.open
    }

    pub(super) fn is_removable(&self) -> bool {
        self.removed && self.running.is_empty()
    }

    fn class_queue(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }
}
