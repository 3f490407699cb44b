//! One queue for each target that this VM keeps: classes, slots, limits and
//! shedding.
//!
//! The gateway pushes a [`Job`] for each request, sends it when
//! [`Event::Start`] names it, and reports how it ended with
//! [`Table::finish`]. After `push` and `finish`, [`Table::poll`] returns what
//! the change has made possible, so that a free slot is used at once;
//! [`Table::tick`] does the same for all targets and finds work whose time
//! has run out.
//!
//! ```
//! use catkin::{
//!     config::Policy,
//!     dispatch::{Event, Job, JobId, Outcome, Table},
//!     types::{Span, TargetId, Time},
//!     wire::Class,
//! };
//!
//! let target: TargetId = "pedidos-1".parse()?;
//! let now = Time::from_micros(0);
//! let mut table = Table::new();
//! table.set(&target, &Policy::default());
//! let job = Job {
//!     id: JobId(1),
//!     target: target.clone(),
//!     class: Class::Short,
//!     deadline: now.after(Span::from_secs(2)),
//!     length: None,
//! };
//! table.push(now, job)?;
//! assert!(matches!(table.poll(now, &target)[..], [Event::Start(JobId(1))]));
//! table.finish(now.after(Span::from_millis(3)), JobId(1), Outcome::Ok);
//! assert_eq!(table.depth(&target), 0);
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

/// Number of a job within one process.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that waits for a slot of a target.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// The target that is to run it.
    pub target: TargetId,
    /// Its class.
    pub class: Class,
    /// When its answer is due.
    pub deadline: Time,
    /// How long it is expected to run, if known.
    pub length: Option<Span>,
}

/// What is to be done with a job.
#[derive(Debug)]
pub enum Event {
    /// Send it to the target now.
    Start(JobId),
    /// Refuse it as not run.
    Refuse(JobId, Error),
}

/// How a started job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target answered.
    Ok,
    /// The target refused it without running it.
    Refused,
    /// The target answered with a failure, or the connection was lost.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// The caller gave it up.
    Cancelled,
}

/// The queues of all targets that this VM keeps.
#[derive(Debug, Default)]
pub struct Table {
    queues: BTreeMap<TargetId, Queue>,
    homes: HashMap<JobId, TargetId>,
}

impl Table {
    /// Makes a table without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a target or changes its policy. A new target starts cold, and a
    /// closed one opens again.
    pub fn set(&mut self, target: &TargetId, policy: &Policy) {
        match self.queues.get_mut(target) {
            Some(queue) => queue.set(policy),
            None => {
                self.queues.insert(target.clone(), Queue::new(policy));
            }
        }
    }

    /// Removes a target and refuses what waits for it. Its running jobs hold
    /// their slots until they finish, also if the target is added again.
    pub fn remove(&mut self, target: &TargetId) -> Vec<Event> {
        let events = self.queues.get_mut(target).map(Queue::remove).unwrap_or_default();
        self.forget(&events);
        if self.queues.get(target).is_some_and(Queue::is_removable) {
            self.queues.remove(target);
        }
        events
    }

    /// Puts a job into the queue of its target.
    ///
    /// # Errors
    ///
    /// A code that reports "not run": `Code::Leaving` if the target takes
    /// nothing new, `Code::QueueFull` if too many jobs wait or the wait would
    /// be too long, `Code::DeadlineTooShort` if the answer would be late.
    pub fn push(&mut self, now: Time, job: Job) -> Result<(), Error> {
        let Some(queue) = self.queues.get_mut(&job.target) else {
            return Err(Error::new(Code::Leaving, format!("this VM does not keep {}", job.target)));
        };
        if self.homes.contains_key(&job.id) {
            return Err(Error::new(Code::BadRequest, format!("job {} is in a queue already", job.id)));
        }
        let (id, target) = (job.id, job.target.clone());
        queue.push(now, &job)?;
        self.homes.insert(id, target);
        Ok(())
    }

    /// Returns what is to be done for all targets.
    pub fn tick(&mut self, now: Time) -> Vec<Event> {
        let events: Vec<Event> = self.queues.values_mut().flat_map(|queue| queue.poll(now)).collect();
        self.forget(&events);
        events
    }

    /// Returns what is to be done for one target.
    pub fn poll(&mut self, now: Time, target: &TargetId) -> Vec<Event> {
        let events = self.queues.get_mut(target).map(|queue| queue.poll(now)).unwrap_or_default();
        self.forget(&events);
        events
    }

    /// Frees the slot of a started job. An unknown job is ignored.
    pub fn finish(&mut self, now: Time, id: JobId, outcome: Outcome) {
        let Some(target) = self.homes.remove(&id) else { return };
        let Some(queue) = self.queues.get_mut(&target) else { return };
        queue.finish(now, id, outcome);
        if queue.is_removable() {
            self.queues.remove(&target);
        }
    }

    /// Takes a waiting job out of its queue. Returns whether it was waiting;
    /// a started job holds its slot until [`Table::finish`].
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(queue) = self.homes.get(&id).and_then(|target| self.queues.get_mut(target)) else {
            return false;
        };
        let waited = queue.cancel(id);
        if waited {
            self.homes.remove(&id);
        }
        waited
    }

    /// Takes a target's own report into account. It can only lower the number
    /// of slots in use or close the target.
    pub fn report(&mut self, target: &TargetId, load: &Load) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.report(load);
        }
    }

    /// Stops new work for a target that drains or leaves, and refuses what
    /// waits for it. Started jobs go on.
    pub fn close(&mut self, target: &TargetId) -> Vec<Event> {
        let events = self.queues.get_mut(target).map(Queue::close).unwrap_or_default();
        self.forget(&events);
        events
    }

    /// Returns the number of jobs that run on a target or wait for it.
    pub fn depth(&self, target: &TargetId) -> u32 {
        self.queues.get(target).map(Queue::depth).unwrap_or_default()
    }

    /// Returns the number of jobs that run on a target.
    pub fn running(&self, target: &TargetId) -> u32 {
        self.queues.get(target).map(Queue::running).unwrap_or_default()
    }

    /// Returns the number of jobs that a target may run at this moment.
    pub fn limit(&self, target: &TargetId) -> u32 {
        self.queues.get(target).map(Queue::limit).unwrap_or_default()
    }

    /// Returns whether a target takes new work.
    pub fn is_open(&self, target: &TargetId) -> bool {
        self.queues.get(target).is_some_and(Queue::is_open)
    }

    fn forget(&mut self, events: &[Event]) {
        for event in events {
            if let Event::Refuse(id, _) = event {
                self.homes.remove(id);
            }
        }
    }
}
