//! Waiting for a slot of a kept target.

use {
    crate::node::Node,
    catkin::{
        Code, Error,
        dispatch::{Event, Job, JobId, Outcome, Table},
        event::Kind,
        types::{TargetId, Time},
        wire::Head,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    tokio::sync::oneshot,
};

type Start = oneshot::Sender<Result<(), Error>>;

/// Queues of the kept targets and the requests that wait in them.
#[derive(Default)]
pub(crate) struct Queues {
    /// The queues.
    pub(crate) table: RefCell<Table>,
    waiters: RefCell<HashMap<JobId, Start>>,
    jobs: Cell<u64>,
}

impl Queues {
    fn next(&self) -> JobId {
        let number = self.jobs.get() + 1;
        self.jobs.set(number);
        JobId(number)
    }

    /// Tells the requests that wait what became of them.
    pub(crate) fn notify(&self, events: Vec<Event>) {
        for event in events {
            let (id, result) = match event {
                Event::Start(id) => (id, Ok(())),
                Event::Refuse(id, error) => (id, Err(error)),
            };
            if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
                // The permit of a request that was given up frees its slot.
                let _ = waiter.send(result);
            }
        }
    }

    /// Starts and refuses what is due.
    pub(crate) fn tick(&self, now: Time) {
        let events = self.table.borrow_mut().tick(now);
        self.notify(events);
    }

    fn poll(&self, now: Time, target: &TargetId) {
        let events = self.table.borrow_mut().poll(now, target);
        self.notify(events);
    }
}

/// A place in a queue, and then a slot. Dropping it gives both back.
pub(crate) struct Permit {
    node: Rc<Node>,
    id: JobId,
    target: TargetId,
    outcome: Outcome,
}

impl Permit {
    /// Says how the request ended. Without it, it counts as given up.
    pub(crate) fn set(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let queues = &self.node.queues;
        let now = self.node.now();
        queues.waiters.borrow_mut().remove(&self.id);
        let is_waiting = queues.table.borrow_mut().cancel(self.id);
        if !is_waiting {
            queues.table.borrow_mut().finish(now, self.id, self.outcome);
        }
        queues.poll(now, &self.target);
    }
}

/// Waits for a slot of the target of a request.
///
/// # Errors
///
/// A code of group 4 if the request is not to be sent.
pub(crate) async fn enter(node: &Rc<Node>, head: &Head, end: Time) -> Result<Permit, Error> {
    let queues = &node.queues;
    let id = queues.next();
    let now = node.now();
    let job = Job { id, target: head.target.clone(), class: head.class, deadline: end, length: None };
    queues.table.borrow_mut().push(now, job)?;
    node.record_event(Kind::Queued {
        request: head.request.clone(),
        service: head.service.clone(),
        target: head.target.clone(),
        slice: head.slice.map(|(slice, _)| slice),
    });
    let permit = Permit { node: node.clone(), id, target: head.target.clone(), outcome: Outcome::Cancelled };
    let (start, started) = oneshot::channel();
    queues.waiters.borrow_mut().insert(id, start);
    queues.poll(now, &head.target);
    let gone = |_| Error::new(Code::Leaving, "the queue was closed");
    started.await.map_err(gone)??;
    Ok(permit)
}
