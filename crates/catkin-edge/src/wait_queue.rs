//! Queue of requests that wait for capacity or for an owner.
//!
//! A change wakes all of them, as it may matter to any service. They are woken
//! in the order of rank and deadline, and so check in that order whether a target
//! takes them.

use {
    catkin::types::Time,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        future::poll_fn,
        task::{Poll, Waker},
    },
};

/// Place in the queue: the most urgent rank and the earliest deadline come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: u32,
    deadline: Time,
    number: u64,
}

/// Whether a request was notified, and how it is woken if it sleeps.
#[derive(Debug, Default)]
struct Sleeper {
    notified: bool,
    waker: Option<Waker>,
}

/// Queue of requests that wait.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    sleepers: RefCell<BTreeMap<Place, Sleeper>>,
    entered: Cell<u64>,
}

/// One waiting request. Leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct Waiter<'a> {
    queue: &'a WaitQueue,
    place: Place,
}

impl WaitQueue {
    /// Adds a request of a rank that fails at a deadline.
    pub(crate) fn enter(&self, rank: u32, deadline: Time) -> Waiter<'_> {
        self.entered.set(self.entered.get() + 1);
        let place = Place { rank, deadline, number: self.entered.get() };
        self.sleepers.borrow_mut().insert(place, Sleeper::default());
        Waiter { queue: self, place }
    }

    /// Wakes all requests in their order.
    pub(crate) fn notify_all(&self) {
        for sleeper in self.sleepers.borrow_mut().values_mut() {
            sleeper.notified = true;
            if let Some(waker) = sleeper.waker.take() {
                waker.wake();
            }
        }
    }
}

impl Waiter<'_> {
    /// Waits for the next notification since the last call.
    pub(crate) async fn notified(&self) {
        poll_fn(|context| {
            let mut sleepers = self.queue.sleepers.borrow_mut();
            let sleeper = sleepers.entry(self.place).or_default();
            if std::mem::take(&mut sleeper.notified) {
                return Poll::Ready(());
            }
            sleeper.waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.queue.sleepers.borrow_mut().remove(&self.place);
    }
}
