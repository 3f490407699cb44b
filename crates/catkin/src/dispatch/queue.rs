//! The queue of one target.

use {
    super::{Event, Job, JobId, Outcome, limit::Limit, times::Times},
    crate::{
        Code, Error,
        api::Load,
        config::Policy,
        types::{Share, Span, Time},
        wire::Class,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Quantile of the service times for which time is kept before a deadline.
/// Work that starts at the last moment is late in 1 of 200 cases, half of
/// what the bound on late answers allows.
const RUN_QUANTILE: f64 = 0.995;
/// Largest part of a request's time that a long tail of the service times can
/// claim. Without it a few very long runs would shed all short deadlines.
const RUN_SHARE_MAX: f64 = 0.5;
/// Share of the longest wait after which long work goes before short work.
const AGE_SHARE: f64 = 0.5;
/// A report that is older than this says nothing about the present.
const REPORT_AGE_MAX: Span = Span::from_secs(1);
/// Part of the slots that a report can take away. Reports may be wrong, and
/// what this VM sees for itself weighs more.
const REPORT_SHARE_MAX: f64 = 0.5;

/// Rules of one target, taken from the policy of its service.
#[derive(Debug)]
struct Rules {
    long_share: Share,
    wait: Span,
    length: usize,
}

impl Rules {
    fn new(policy: &Policy) -> Self {
        let length = policy.queue_length as usize;
        Self { long_share: policy.long_share, wait: policy.queue_wait, length }
    }
}

#[derive(Debug)]
struct Waiting {
    class: Class,
    since: Time,
    deadline: Time,
    length: Option<Span>,
    due: Time,
}

impl Waiting {
    fn expired(&self, now: Time, estimate: &Estimate, wait: Span) -> Option<Error> {
        let waited = now.since(self.since);
        let left = self.deadline.since(now);
        let run = estimate.run(self.length, self.deadline.since(self.since));
        if left.is_zero() || run > left {
            let detail = format!("{left} left after {waited} in the queue, expected are {run} to run");
            return Some(Error::new(Code::DeadlineTooShort, detail));
        }
        if waited > wait {
            let detail = format!("{waited} in the queue, allowed are {wait}");
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
    /// Returns the time to keep for the run of a job that has `whole` for
    /// queue and run.
    fn run(&self, length: Option<Span>, whole: Span) -> Span {
        let tail = self.tail.min(whole.scale(RUN_SHARE_MAX));
        length.unwrap_or(self.median.max(tail))
    }
}

#[derive(Debug)]
struct Running {
    class: Class,
    since: Time,
}

/// Jobs of one class: those that wait, by the time by which they have to
/// start, and the service times of those that ran.
#[derive(Debug)]
struct Lane {
    order: BTreeSet<(Time, JobId)>,
    running: u32,
    times: Times,
}

impl Lane {
    fn new() -> Self {
        Self { order: BTreeSet::new(), running: 0, times: Times::new() }
    }
}

#[derive(Debug)]
struct Report {
    taken: u32,
    seen: Option<Time>,
}

/// The queue of one target.
#[derive(Debug)]
pub(super) struct Queue {
    rules: Rules,
    limit: Limit,
    short: Lane,
    long: Lane,
    waiting: BTreeMap<JobId, Waiting>,
    running: BTreeMap<JobId, Running>,
    report: Option<Report>,
    open: bool,
    removed: bool,
}

impl Queue {
    pub(super) fn new(policy: &Policy) -> Self {
        Self {
            rules: Rules::new(policy),
            limit: Limit::new(policy.slots),
            short: Lane::new(),
            long: Lane::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            report: None,
            open: true,
            removed: false,
        }
    }

    pub(super) fn set(&mut self, policy: &Policy) {
        self.rules = Rules::new(policy);
        if !self.open {
            self.limit = Limit::new(policy.slots);
        }
        self.limit.set_slots(policy.slots);
        self.open = true;
        self.removed = false;
    }

    pub(super) fn push(&mut self, now: Time, job: &Job) -> Result<(), Error> {
        self.check(now, job)?;
        let due = job.deadline.min(now.after(self.rules.wait));
        let waiting =
            Waiting { class: job.class, since: now, deadline: job.deadline, length: job.length, due };
        self.lane(job.class).order.insert((due, job.id));
        self.waiting.insert(job.id, waiting);
        Ok(())
    }

    fn check(&mut self, now: Time, job: &Job) -> Result<(), Error> {
        if !self.open {
            return Err(Error::new(Code::Leaving, format!("{} takes nothing new", job.target)));
        }
        if self.waiting.len() >= self.rules.length {
            let detail = format!("{} jobs wait for {}", self.waiting.len(), job.target);
            return Err(Error::new(Code::QueueFull, detail));
        }
        let left = job.deadline.since(now);
        let run = self.estimate(now, job.class).run(job.length, left);
        let wait = self.wait(now, job);
        if left.is_zero() || wait + run > left {
            let detail = format!("{left} left, expected are {wait} in the queue and {run} on {}", job.target);
            return Err(Error::new(Code::DeadlineTooShort, detail));
        }
        if wait > self.rules.wait {
            let detail = format!("expected are {wait} in the queue, allowed are {}", self.rules.wait);
            return Err(Error::new(Code::QueueFull, detail));
        }
        Ok(())
    }

    /// Estimates how long a job of a class runs. For an idle target nothing
    /// is claimed, because only a run can correct an estimate that is too
    /// high.
    fn estimate(&mut self, now: Time, class: Class) -> Estimate {
        if self.running.is_empty() {
            return Estimate::default();
        }
        let times = &mut self.lane(class).times;
        times.age(now);
        let quantile = |share| times.quantile(share).unwrap_or_default();
        Estimate { median: quantile(0.5), tail: quantile(RUN_QUANTILE) }
    }

    fn wait(&mut self, now: Time, job: &Job) -> Span {
        let cap = self.cap(job.class);
        let due = job.deadline.min(now.after(self.rules.wait));
        let lane = self.lane(job.class);
        let ahead = lane.order.range(..(due, job.id)).count() as u32;
        let mean = lane.times.mean().unwrap_or_default();
        let free = cap.saturating_sub(lane.running);
        if ahead < free {
            return Span::ZERO;
        }
        mean.scale(f64::from(ahead + 1 - free) / f64::from(cap.max(1)))
    }

    /// Returns how many slots the jobs of a class can hold at this moment.
    fn cap(&self, class: Class) -> u32 {
        let limit = self.limit();
        match class {
            Class::Short => limit.saturating_sub(self.long.running).max(1),
            Class::Long => {
                let share = (f64::from(limit) * self.rules.long_share.as_f64()).floor() as u32;
                share.max(1)
            }
        }
    }

    pub(super) fn poll(&mut self, now: Time) -> Vec<Event> {
        self.age_report(now);
        if !self.open {
            return self.refuse_waiting();
        }
        let mut events = self.expire(now);
        while let Some(id) = self.next(now) {
            self.start(now, id);
            events.push(Event::Start(id));
        }
        events
    }

    /// Refuses jobs that have waited too long or can't end in time any more.
    fn expire(&mut self, now: Time) -> Vec<Event> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let short = self.estimate(now, Class::Short);
        let long = self.estimate(now, Class::Long);
        let wait = self.rules.wait;
        let expired = |(id, job): (&JobId, &Waiting)| {
            let estimate = if job.class == Class::Short { &short } else { &long };
            Some((*id, job.expired(now, estimate, wait)?))
        };
        let expired: Vec<(JobId, Error)> = self.waiting.iter().filter_map(expired).collect();
        for (id, _) in &expired {
            self.cancel(*id);
        }
        expired.into_iter().map(|(id, error)| Event::Refuse(id, error)).collect()
    }

    /// Returns the job that gets the next free slot.
    fn next(&self, now: Time) -> Option<JobId> {
        if self.running() >= self.limit() {
            return None;
        }
        let short = self.short.order.first().map(|(_, id)| *id);
        let long = self.long.order.first().map(|(_, id)| *id);
        let long = long.filter(|_| self.long.running < self.cap(Class::Long));
        match (short, long) {
            (Some(short), Some(long)) => Some(if self.is_aged(now, long) { long } else { short }),
            (short, long) => short.or(long),
        }
    }

    fn is_aged(&self, now: Time, id: JobId) -> bool {
        let wait = self.rules.wait.scale(AGE_SHARE);
        self.waiting.get(&id).is_some_and(|job| now.since(job.since) >= wait)
    }

    fn start(&mut self, now: Time, id: JobId) {
        let Some(job) = self.waiting.remove(&id) else { return };
        let lane = self.lane(job.class);
        lane.order.remove(&(job.due, id));
        lane.running += 1;
        self.running.insert(id, Running { class: job.class, since: now });
    }

    pub(super) fn finish(&mut self, now: Time, id: JobId, outcome: Outcome) {
        let Some(job) = self.running.remove(&id) else { return };
        let span = now.since(job.since);
        let lane = self.lane(job.class);
        lane.running -= 1;
        match outcome {
            Outcome::Ok => {
                lane.times.add(now, span);
                let median = lane.times.quantile(0.5).filter(|_| job.class == Class::Short);
                self.limit.succeed(now, median);
            }
            Outcome::Refused | Outcome::TimedOut => self.limit.cut(now),
            Outcome::Failed | Outcome::Cancelled => {}
        }
    }

    pub(super) fn cancel(&mut self, id: JobId) -> bool {
        let Some(job) = self.waiting.remove(&id) else { return false };
        self.lane(job.class).order.remove(&(job.due, id));
        true
    }

    pub(super) fn report(&mut self, load: &Load) {
        if load.draining {
            self.open = false;
        }
        let others = load.running.saturating_sub(self.running());
        let missing = self.limit.slots().saturating_sub(load.slots);
        let most = (f64::from(self.limit.slots()) * REPORT_SHARE_MAX) as u32;
        let taken = others.max(missing).min(most);
        self.report = (load.age < REPORT_AGE_MAX).then_some(Report { taken, seen: None });
    }

    fn age_report(&mut self, now: Time) {
        let Some(report) = &mut self.report else { return };
        let seen = *report.seen.get_or_insert(now);
        if now.since(seen) >= REPORT_AGE_MAX {
            self.report = None;
        }
    }

    pub(super) fn close(&mut self) -> Vec<Event> {
        self.open = false;
        self.refuse_waiting()
    }

    pub(super) fn remove(&mut self) -> Vec<Event> {
        self.removed = true;
        self.close()
    }

    fn refuse_waiting(&mut self) -> Vec<Event> {
        self.short.order.clear();
        self.long.order.clear();
        let refuse = |id| Event::Refuse(id, Error::new(Code::Leaving, "the target takes nothing new"));
        std::mem::take(&mut self.waiting).into_keys().map(refuse).collect()
    }

    pub(super) fn depth(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(super) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub(super) fn limit(&self) -> u32 {
        let taken = self.report.as_ref().map(|report| report.taken).unwrap_or_default();
        let slots = self.limit.slots().saturating_sub(taken);
        self.limit.get().min(slots).max(1)
    }

    pub(super) fn is_open(&self) -> bool {
        self.open
    }

    pub(super) fn is_removable(&self) -> bool {
        self.removed && self.running.is_empty()
    }

    fn lane(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }
}
