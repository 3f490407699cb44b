//! Requests that are not idempotent and have an idempotency key. Each key is
//! registered in the log before its request is sent, so that only one gateway
//! sends it. While the log is unavailable, a service with `log_down: send` gets
//! its requests before their keys are registered; other services refuse them.
//!
//! An intent is the log record of an idempotency key. One record of the log holds
//! a batch of them.

use {
    crate::{append, node::Node},
    catkin::{
        Code, Error,
        append::Settled,
        config::LogDownPolicy,
        dispatch::JobId,
        intent::{self, Action, Intents, KeyState, Request, RequestEnd},
        record::{Change, Intent},
        types::{Sequence, Service, Time},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    tokio::sync::oneshot,
};

/// Idempotency keys of the requests in progress.
#[derive(Default)]
pub(crate) struct Registry {
    intents: RefCell<Intents>,
    waiters: RefCell<HashMap<JobId, oneshot::Sender<Result<(), Error>>>>,
    /// Record with the batch of keys whose append is in progress.
    in_flight: Cell<Option<Sequence>>,
    is_log_down: Cell<bool>,
    last_job: Cell<u64>,
}

/// Permission to send a request. Dropping it reports how the request ended.
pub(crate) struct Guard {
    node: Rc<Node>,
    id: JobId,
    end: RequestEnd,
}

impl Guard {
    /// Sets how the request ended. Without a call, its outcome is unknown.
    pub(crate) fn set_end(&mut self, end: RequestEnd) {
        self.end = end;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let registry = &self.node.idempotency;
        registry.waiters.borrow_mut().remove(&self.id);
        let mut intents = registry.intents.borrow_mut();
        if !intents.cancel(self.id) {
            intents.finish(self.node.now(), self.id, self.end);
        }
    }
}

impl Registry {
    fn handle(&self, node: &Node, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(batch) => self.append(node, batch),
                Action::Send(id) => self.notify(id, Ok(())),
                Action::Refuse(id, error) => self.notify(id, Err(error)),
            }
        }
    }

    fn append(&self, node: &Node, batch: Vec<Intent>) {
        self.in_flight.set(append::push(node, &node.intent_queue, Change::Intents(batch)));
        if self.in_flight.get().is_none() {
            self.intents.borrow_mut().requeue();
        }
    }

    fn notify(&self, id: JobId, result: Result<(), Error>) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
            // Sending fails if the request was cancelled; its guard has then
            // reported the end.
            let _ = waiter.send(result);
        }
    }

    /// Handles a record of this gateway that was read back from the log. If it
    /// holds the batch in flight, the requests of the batch are sent or refused.
    pub(crate) fn observe_record(&self, node: &Node, settled: &Settled) {
        if self.in_flight.get() != Some(settled.sequence) {
            return;
        }
        self.in_flight.set(None);
        let actions = self.intents.borrow_mut().resolve(node.now(), |digest| find_key_state(node, digest));
        self.handle(node, actions);
    }

    /// Returns whether the unanswered append of a batch may be retried at this
    /// time. A result of `true` counts against the rate limit of appends.
    pub(crate) fn may_retry(&self, now: Time) -> bool {
        self.intents.borrow_mut().may_retry(now)
    }

    /// Appends the next batch when it is due, and refuses or releases requests
    /// when the availability of the log has changed.
    pub(crate) fn tick(&self, node: &Node, now: Time) {
        let is_log_down = !node.log_available.get();
        if self.is_log_down.replace(is_log_down) != is_log_down {
            let actions = self.intents.borrow_mut().set_log_unavailable(is_log_down);
            self.handle(node, actions);
        }
        let actions = self.intents.borrow_mut().tick(now);
        self.handle(node, actions);
    }
}

/// Looks a key up in the fold.
fn find_key_state(node: &Node, digest: u128) -> KeyState {
    let state = node.state.borrow();
    KeyState::new(state.intent(digest), node.intent_queue.appender.borrow().writer())
}

/// Registers the idempotency key of a request and waits until it may be sent.
///
/// # Errors
///
/// A code that says what is known about an earlier request with the same key:
/// 4xx (not run), 5xx (may have run) or 6xx (ran). Also a code 4xx that says why
/// this request is not run.
pub(crate) async fn register(
    node: &Rc<Node>,
    service: &Service,
    key: &str,
    log_down: LogDownPolicy,
    deadline: Time,
) -> Result<Guard, Error> {
    let registry = &node.idempotency;
    let id = JobId(registry.last_job.get() + 1);
    registry.last_job.set(id.0);
    let digest = intent::digest(service, key);
    let request = Request { id, service: service.clone(), digest, log_down, deadline };
    let guard = Guard { node: node.clone(), id, end: RequestEnd::Unknown };
    let (sender, receiver) = oneshot::channel();
    registry.waiters.borrow_mut().insert(id, sender);
    let key_state = find_key_state(node, digest);
    let action = registry.intents.borrow_mut().admit(node.now(), request, key_state);
    registry.handle(node, action.into_iter().collect());
    receiver
        .await
        .map_err(|_| Error::new(Code::Internal, "the registry of idempotency keys was dropped"))??;
    Ok(guard)
}
