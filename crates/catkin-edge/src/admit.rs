//! Selects the target of an attempt, and waits while none has capacity.

use {
    crate::{node::Node, serve::RoutedRequest},
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_route::{
        attempts::Attempts,
        directory::{Entry, Incarnation},
        load::Denial,
    },
    std::rc::Rc,
};

/// Reason why a request gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitError {
    /// The key has no owner that may serve it, or the service has no known
    /// target.
    NoTarget,
    /// No target that may get the request takes it now.
    Denied(Denial),
    /// More requests are queued for the key's owner than it can take in time.
    QueueTooLong,
    /// Less than [`TIME_LEFT_MIN`] is left until the deadline.
    TooLate,
}

impl AdmitError {
    /// Returns the time until a target wants the request, if it has said so.
    pub(crate) fn wait(self) -> Option<Span> {
        match self {
            Self::Denied(Denial::Paused(wait) | Denial::Limited(wait)) => Some(wait),
            _ => None,
        }
    }

    /// Returns whether waiting would not help.
    fn is_final(self) -> bool {
        self == Self::QueueTooLong || self.wait().is_some()
    }
}

/// Fraction of the latency objective for which a request may wait for a target.
/// A later refusal would leave the caller too little time to retry elsewhere.
const WAIT_FRACTION: f64 = 0.5;

/// Least time that must be left for an attempt.
const TIME_LEFT_MIN: Span = Span::from_millis(20);

/// Time after which a request goes to a target again that did not own its key,
/// if no newer table names another one: its grant may have been on its way.
const MISDIRECTED_DELAY: Span = Span::from_millis(100);

/// Interval between checks when no notification wakes a waiting request.
const RECHECK_INTERVAL: Span = Span::from_millis(40);

/// Target of one attempt.
pub(crate) struct Admitted {
    /// Incarnation that must answer.
    pub(crate) incarnation: Incarnation,
    /// Directory entry at the time of the choice.
    pub(crate) entry: Entry,
}

impl Admitted {
    fn new(entry: &Entry) -> Self {
        Self { incarnation: entry.incarnation.clone(), entry: entry.clone() }
    }
}

/// Place of a request in the queue for a target. Leaves the queue when dropped.
struct QueuePlace<'a> {
    node: &'a Node,
    incarnation: Option<Incarnation>,
}

impl QueuePlace<'_> {
    /// Moves the request to the queue of a target, or out of any queue.
    fn move_to(&mut self, incarnation: Option<&Incarnation>) {
        if self.incarnation.as_ref() == incarnation {
            return;
        }
        let mut loads = self.node.loads.borrow_mut();
        if let Some(incarnation) = &self.incarnation {
            loads.count_queued(incarnation, false);
        }
        if let Some(incarnation) = incarnation {
            loads.count_queued(incarnation, true);
        }
        self.incarnation = incarnation.cloned();
        self.node.quota_wanted.set(self.incarnation.is_some() || self.node.quota_wanted.get());
        self.node.quota_requested.notify_one();
    }

    /// Requires a quota for a target that takes over the key from another one
    /// with quotas: the requests of all processes for that key move to it at
    /// once.
    fn follow_owner(&self, now: Time, incarnation: &Incarnation) {
        if self.incarnation.as_ref().is_some_and(|last| last != incarnation) {
            self.node.loads.borrow_mut().begin_quota(now, incarnation);
        }
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.move_to(None);
    }
}

/// Returns a target that may get the request now. `waited` is the time since the
/// last attempt, or since the request arrived.
fn find_target(
    node: &Node,
    routed: &RoutedRequest<'_>,
    attempts: &Attempts,
    now: Time,
    waited: Span,
    place: &mut QueuePlace<'_>,
) -> Result<Admitted, AdmitError> {
    let directory = node.directory.borrow();
    let peers = node.peers();
    let Some(key) = routed.key else {
        let mut loads = node.loads.borrow_mut();
        let size = routed.incoming.body.iter().map(Bytes::len).sum();
        let chosen = loads
            .choose(now, &directory, &routed.service, peers, attempts.targets(), size)
            .or_else(|| loads.choose(now, &directory, &routed.service, peers, &[], size));
        return chosen.map(|t| Admitted::new(&t.entry)).ok_or_else(|| {
            let denial = loads.denial(now, &directory, &routed.service, peers);
            denial.map_or(AdmitError::NoTarget, AdmitError::Denied)
        });
    };
    let owners = node.owners().ok_or(AdmitError::NoTarget)?;
    let row = owners.table.find(&routed.service, key).ok_or(AdmitError::NoTarget)?;
    let target = directory.current(&row.incarnation()).ok_or(AdmitError::NoTarget)?;
    if attempts.misdirected() == Some(&row.incarnation()) && waited < MISDIRECTED_DELAY {
        return Err(AdmitError::NoTarget);
    }
    let incarnation = &target.entry.incarnation;
    place.follow_owner(now, incarnation);
    let (checked, needs_quota) = {
        let mut loads = node.loads.borrow_mut();
        (loads.check(now, target, true, peers), loads.is_quota_limited(now, incarnation))
    };
    let denial = match checked {
        Ok(()) => return Ok(Admitted::new(&target.entry)),
        Err(denial) => denial,
    };
    if matches!(denial, Denial::NoQuota | Denial::Full)
        && needs_quota
        && place.incarnation.as_ref() != Some(incarnation)
    {
        let wait_max = routed.route.latency_objective.scale(WAIT_FRACTION);
        if node.loads.borrow_mut().is_queue_too_long(now, target, wait_max) {
            return Err(AdmitError::QueueTooLong);
        }
        place.move_to(Some(incarnation));
    }
    Err(AdmitError::Denied(denial))
}

/// Returns a target that may get the request now. Waits for one at most until
/// [`WAIT_FRACTION`] of the latency objective has passed since the request
/// arrived, or for [`TIME_LEFT_MIN`] if that ends later, as for a late retry.
pub(crate) async fn admit(
    node: &Rc<Node>,
    routed: &RoutedRequest<'_>,
    attempts: &Attempts,
) -> Result<Admitted, AdmitError> {
    let wait_max = routed.route.latency_objective.scale(WAIT_FRACTION);
    let started = node.now();
    let wait_until = routed.incoming.arrived.after(wait_max).max(started.after(TIME_LEFT_MIN));
    let mut place = QueuePlace { node, incarnation: None };
    if routed.key.is_none() {
        let size = routed.incoming.body.iter().map(Bytes::len).sum();
        node.loads.borrow_mut().spill().count_request(&routed.service, size);
    }
    loop {
        let notified = node.capacity_changed.notified();
        let now = node.now();
        if routed.deadline.since(now) < TIME_LEFT_MIN {
            return Err(AdmitError::TooLate);
        }
        let error = match find_target(node, routed, attempts, now, now.since(started), &mut place) {
            Ok(admitted) => return Ok(admitted),
            Err(error) => error,
        };
        if error.is_final() || now >= wait_until {
            return Err(error);
        }
        let pause = wait_until.since(now).min(RECHECK_INTERVAL);
        let _ = tokio::time::timeout(pause.as_duration(), notified).await;
    }
}
