//! Requests with an idempotency key.

use {
    crate::{append, node::Node},
    catkin::{
        Code, Error,
        append::Settled,
        config::LogDown,
        dispatch::JobId,
        intent::{self, End, Event, Intents, Request, Standing},
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
pub(crate) struct Protect {
    intents: RefCell<Intents>,
    waiters: RefCell<HashMap<JobId, oneshot::Sender<Result<(), Error>>>>,
    /// Number of the record with the group in flight.
    group: Cell<Option<Sequence>>,
    is_down: Cell<bool>,
    jobs: Cell<u64>,
}

/// A request that may be sent. Its end is reported when it is dropped.
pub(crate) struct Guard {
    node: Rc<Node>,
    id: JobId,
    end: End,
}

impl Guard {
    /// Says how the request ended. Without it, its outcome is unknown.
    pub(crate) fn set(&mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let protect = &self.node.protect;
        protect.waiters.borrow_mut().remove(&self.id);
        let mut intents = protect.intents.borrow_mut();
        if !intents.cancel(self.id) {
            intents.finish(self.node.now(), self.id, self.end);
        }
    }
}

impl Protect {
    fn handle(&self, node: &Node, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Append(group) => self.append(node, group),
                Event::Send(id) => self.answer(id, Ok(())),
                Event::Refuse(id, error) => self.answer(id, Err(error)),
            }
        }
    }

    fn append(&self, node: &Node, group: Vec<Intent>) {
        self.group.set(append::push(node, &node.intents, Change::Intents(group)));
        if self.group.get().is_none() {
            self.intents.borrow_mut().requeue();
        }
    }

    fn answer(&self, id: JobId, result: Result<(), Error>) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
            // The guard of a request that was given up reports its end.
            let _ = waiter.send(result);
        }
    }

    /// Takes a record that was read back.
    pub(crate) fn settle(&self, node: &Node, settled: &Settled) {
        if self.group.get() != Some(settled.sequence) {
            return;
        }
        self.group.set(None);
        let events = self.intents.borrow_mut().commit(node.now(), |digest| standing(node, digest));
        self.handle(node, events);
    }

    /// Returns whether a group whose append was not answered may be appended
    /// again now.
    pub(crate) fn again(&self, now: Time) -> bool {
        self.intents.borrow_mut().again(now)
    }

    /// Appends the next group when its time has come.
    pub(crate) fn tick(&self, node: &Node, now: Time) {
        let is_down = !node.log_up.get();
        if self.is_down.replace(is_down) != is_down {
            let events = self.intents.borrow_mut().set_down(is_down);
            self.handle(node, events);
        }
        let events = self.intents.borrow_mut().tick(now);
        self.handle(node, events);
    }
}

/// Returns what the fold says about a key.
fn standing(node: &Node, digest: u128) -> Standing {
    let state = node.state.borrow();
    Standing::new(state.intent(digest), node.intents.appender.borrow().writer())
}

/// Registers the idempotency key of a request and waits until it may be sent.
///
/// # Errors
///
/// A code of group 4, 5 or 6 that says what is known about an earlier request
/// with the same key, or why this one is not run.
pub(crate) async fn enter(
    node: &Rc<Node>,
    service: &Service,
    key: &str,
    rule: LogDown,
    deadline: Time,
) -> Result<Guard, Error> {
    let protect = &node.protect;
    let id = JobId(protect.jobs.get() + 1);
    protect.jobs.set(id.0);
    let digest = intent::digest(service, key);
    let request = Request { id, service: service.clone(), digest, rule, deadline };
    let guard = Guard { node: node.clone(), id, end: End::Unknown };
    let (sender, receiver) = oneshot::channel();
    protect.waiters.borrow_mut().insert(id, sender);
    let standing = standing(node, digest);
    let event = protect.intents.borrow_mut().ask(node.now(), request, standing);
    protect.handle(node, event.into_iter().collect());
    receiver.await.map_err(|_| Error::new(Code::Internal, "the table of keys was dropped"))??;
    Ok(guard)
}
