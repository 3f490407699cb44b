//! Queues for the slots of kept targets.

use {
    crate::node::Node,
    catkin::{
        Code, Error,
        dispatch::{Action, Dispatcher, Job, JobId, Outcome},
        event::Kind,
        types::{TargetId, Time},
        wire::RequestHead,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    tokio::sync::oneshot,
};

type StartSender = oneshot::Sender<Result<(), Error>>;

/// Queues of the kept targets and the requests that wait in them.
#[derive(Default)]
pub(crate) struct Queues {
    /// Queues and limits by target.
    pub(crate) dispatcher: RefCell<Dispatcher>,
    waiters: RefCell<HashMap<JobId, StartSender>>,
    last_job: Cell<u64>,
}

impl Queues {
    fn next_job(&self) -> JobId {
        let number = self.last_job.get() + 1;
        self.last_job.set(number);
        JobId(number)
    }

    /// Starts or refuses the waiting requests that the actions name.
    pub(crate) fn notify(&self, actions: Vec<Action>) {
        for action in actions {
            let (id, result) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, error) => (id, Err(error)),
            };
            if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
                // Sending fails if the request was cancelled; its permit has then
                // freed the slot.
                let _ = waiter.send(result);
            }
        }
    }

    /// Starts and refuses the requests that are due, in all queues.
    pub(crate) fn tick(&self, now: Time) {
        let actions = self.dispatcher.borrow_mut().tick(now);
        self.notify(actions);
    }

    fn poll(&self, now: Time, target: &TargetId) {
        let actions = self.dispatcher.borrow_mut().poll(now, target);
        self.notify(actions);
    }
}

/// Position in a queue and, after the start, a slot. Dropping it frees both.
pub(crate) struct Permit {
    node: Rc<Node>,
    id: JobId,
    target: TargetId,
    outcome: Outcome,
}

impl Permit {
    /// Sets the outcome of the request. Without a call, it counts as cancelled.
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let queues = &self.node.queues;
        let now = self.node.now();
        queues.waiters.borrow_mut().remove(&self.id);
        let is_waiting = queues.dispatcher.borrow_mut().cancel(self.id);
        if !is_waiting {
            queues.dispatcher.borrow_mut().finish(now, self.id, self.outcome);
        }
        queues.poll(now, &self.target);
    }
}

/// Waits for a slot of the target of a request.
///
/// # Errors
///
/// A code 4xx (not run) if the request must not be sent.
pub(crate) async fn acquire(node: &Rc<Node>, head: &RequestHead, deadline: Time) -> Result<Permit, Error> {
    let queues = &node.queues;
    let id = queues.next_job();
    let now = node.now();
    let job = Job { id, target: head.target.clone(), class: head.class, deadline, expected_run: None };
    queues.dispatcher.borrow_mut().push(now, job)?;
    node.record_event(Kind::Queued {
        request: head.request.clone(),
        service: head.service.clone(),
        target: head.target.clone(),
        slice: head.slice.map(|(slice, _)| slice),
    });
    let permit = Permit { node: node.clone(), id, target: head.target.clone(), outcome: Outcome::Cancelled };
    let (sender, receiver) = oneshot::channel();
    queues.waiters.borrow_mut().insert(id, sender);
    queues.poll(now, &head.target);
    let closed = |_| Error::new(Code::Leaving, "the queue was closed");
    receiver.await.map_err(closed)??;
    Ok(permit)
}
