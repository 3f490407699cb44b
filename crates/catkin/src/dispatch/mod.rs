//! Queues of the targets whose keeper is this VM, with classes, slots, adaptive
//! limits and load shedding.
//!
//! The gateway pushes a [`Job`] for each request, sends it when
//! [`Action::Start`] names it, and reports its outcome with
//! [`Dispatcher::finish`]. After `push` and `finish`, [`Dispatcher::poll`] returns the jobs
//! that can start, so that a free slot is used at once. [`Dispatcher::tick`] does the
//! same for all targets and refuses work that can't end before its deadline.
//!
//! ```
//! use catkin::{
//!     config::Policy,
//!     dispatch::{Action, Job, JobId, Outcome, Dispatcher},
//!     types::{Span, TargetId, Time},
//!     wire::Class,
//! };
//!
//! let target: TargetId = "pedidos-1".parse()?;
//! let now = Time::from_micros(0);
//! let mut table = Dispatcher::new();
//! table.set(&target, &Policy::default());
//! let job = Job {
//!     id: JobId(1),
//!     target: target.clone(),
//!     class: Class::Short,
//!     deadline: now.after(Span::from_secs(2)),
//!     expected_run: None,
//! };
//! table.push(now, job)?;
//! assert!(matches!(table.poll(now, &target)[..], [Action::Start(JobId(1))]));
//! table.finish(now.after(Span::from_millis(3)), JobId(1), Outcome::Ok);
//! assert_eq!(table.job_count(&target), 0);
//! # Ok::<(), catkin::Error>(())
//! ```

mod limit;
mod queue;
mod times;

use {
    crate::{
        Code, Error,
        api::Load,
        config::Policy,
        types::{Span, TargetId, Time},
        wire::Class,
    },
    derive_more::{Display, From},
    queue::Queue,
    std::collections::{BTreeMap, HashMap},
};

/// Number of a job, unique within one process.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that waits for a slot of a target.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the job.
    pub id: JobId,
    /// Target that is to run it.
    pub target: TargetId,
    /// Class of the request, which determines the slots that it may hold.
    pub class: Class,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
    /// Expected service time. If it is `None`, earlier jobs of the class give an
    /// estimate.
    pub expected_run: Option<Span>,
}

/// Action for the caller of [`Dispatcher`].
#[derive(Debug)]
pub enum Action {
    /// Send this job to the target now.
    Start(JobId),
    /// Refuse this job as not run.
    Refuse(JobId, Error),
}

/// Outcome of a started job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target answered.
    Ok,
    /// The target refused it without running it.
    Refused,
    /// The target answered with a failure, or the connection broke.
    Failed,
    /// The target did not answer in time.
    TimedOut,
    /// The caller cancelled it.
    Cancelled,
}

/// Queues of all targets whose keeper is this VM.
#[derive(Debug, Default)]
pub struct Dispatcher {
    queues: BTreeMap<TargetId, Queue>,
    targets: HashMap<JobId, TargetId>,
}

impl Dispatcher {
    /// Creates a table without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a target or changes its policy. A new target starts cold, and a
    /// closed one opens again.
    pub fn set(&mut self, target: &TargetId, policy: &Policy) {
        match self.queues.get_mut(target) {
            Some(queue) => queue.set_policy(policy),
            None => {
                self.queues.insert(target.clone(), Queue::new(policy));
            }
        }
    }

    /// Removes a target and refuses its waiting jobs. Its running jobs hold their
    /// slots until they finish, even if the target is added again.
    pub fn remove(&mut self, target: &TargetId) -> Vec<Action> {
        let actions = self.queues.get_mut(target).map(Queue::remove).unwrap_or_default();
        self.forget_refused(&actions);
        if self.queues.get(target).is_some_and(Queue::is_removable) {
            self.queues.remove(target);
        }
        actions
    }

    /// Adds a job to the queue of its target.
    ///
    /// # Errors
    ///
    /// A code that reports "not run": `Code::Leaving` if the target is unknown or
    /// accepts no new work, `Code::BadRequest` if a job with this id is queued or
    /// running, `Code::QueueFull` if too many jobs wait or the wait would
    /// be too long, `Code::DeadlineTooShort` if the answer would be late.
    pub fn push(&mut self, now: Time, job: Job) -> Result<(), Error> {
        let Some(queue) = self.queues.get_mut(&job.target) else {
            return Err(Error::new(Code::Leaving, format!("this VM is not the keeper of {}", job.target)));
        };
        if self.targets.contains_key(&job.id) {
            return Err(Error::new(Code::BadRequest, format!("job {} is already queued or running", job.id)));
        }
        let (id, target) = (job.id, job.target.clone());
        queue.push(now, &job)?;
        self.targets.insert(id, target);
        Ok(())
    }

    /// Returns the jobs to start or refuse on all targets.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let actions: Vec<Action> = self.queues.values_mut().flat_map(|queue| queue.poll(now)).collect();
        self.forget_refused(&actions);
        actions
    }

    /// Returns the jobs to start or refuse on one target.
    pub fn poll(&mut self, now: Time, target: &TargetId) -> Vec<Action> {
        let actions = self.queues.get_mut(target).map(|queue| queue.poll(now)).unwrap_or_default();
        self.forget_refused(&actions);
        actions
    }

    /// Frees the slot of a started job. An unknown job is ignored.
    pub fn finish(&mut self, now: Time, id: JobId, outcome: Outcome) {
        let Some(target) = self.targets.remove(&id) else { return };
        let Some(queue) = self.queues.get_mut(&target) else { return };
        queue.finish(now, id, outcome);
        if queue.is_removable() {
            self.queues.remove(&target);
        }
    }

    /// Removes a waiting job from its queue. Returns whether it was waiting; a
    /// started job holds its slot until [`Dispatcher::finish`].
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(queue) = self.targets.get(&id).and_then(|target| self.queues.get_mut(target)) else {
            return false;
        };
        let was_waiting = queue.cancel(id);
        if was_waiting {
            self.targets.remove(&id);
        }
        was_waiting
    }

    /// Applies a report that a target sent about itself. A report can only lower the
    /// limit or close the target.
    pub fn report(&mut self, target: &TargetId, load: &Load) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.report(load);
        }
    }

    /// Closes a target that drains or leaves to new work and refuses its waiting
    /// jobs. Running jobs continue.
    pub fn close(&mut self, target: &TargetId) -> Vec<Action> {
        let actions = self.queues.get_mut(target).map(Queue::close).unwrap_or_default();
        self.forget_refused(&actions);
        actions
    }

    /// Returns the number of running and waiting jobs of a target.
    pub fn job_count(&self, target: &TargetId) -> u32 {
        self.queues.get(target).map(Queue::depth).unwrap_or_default()
    }

    /// Returns the number of running jobs of a target.
    pub fn running(&self, target: &TargetId) -> u32 {
        self.queues.get(target).map(Queue::running).unwrap_or_default()
    }

    /// Returns the number of jobs that a target may run at present, or 0 if it is
    /// unknown.
    pub fn limit(&self, target: &TargetId) -> u32 {
        self.queues.get(target).map(Queue::limit).unwrap_or_default()
    }

    /// Returns whether a target accepts new work.
    pub fn is_open(&self, target: &TargetId) -> bool {
        self.queues.get(target).is_some_and(Queue::is_open)
    }

    fn forget_refused(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Refuse(id, _) = action {
                self.targets.remove(id);
            }
        }
    }
}
