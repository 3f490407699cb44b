//! Selects the target of an attempt, and waits while none has capacity.

use {
    crate::{node::Node, serve::RoutedRequest, wait_queue::Waiter},
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_route::{
        attempts::Attempts,
        directory::{Entry, Incarnation},
        load::{Criteria, Denial},
        rank::FillFactor,
    },
    std::rc::Rc,
};

/// Reason why a request gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitError {
    /// The key has no owner that may serve it, or the service has no known
    /// target.
    NoTarget,
    /// The owner of the key serves it no more, and it has no other one within the
    /// time for which the request may wait. The span is the time until it has.
    Vacant(Span),
    /// No target that may get the request takes it now.
    Denied(Denial),
    /// The targets that may get the request are cold, and this process may send
    /// to none of them within the time for which the request may wait. The span is
    /// that of [`Denial::Cold`].
    ColdTooLong(Span),
    /// Too many requests come for the service, and this one is not among those
    /// that are admitted. It should return after the span.
    NotAdmitted(Span),
    /// More requests are queued for the key's owner than it can take in time. The
    /// queue has drained after the span.
    QueueTooLong(Span),
    /// Less than [`TIME_LEFT_MIN`] is left until the deadline.
    TooLate,
}

impl AdmitError {
    /// Returns the time until a target wants the request, if it has said so.
    pub(crate) fn wait(self) -> Option<Span> {
        match self {
            Self::Denied(Denial::Paused(wait) | Denial::Limited(wait) | Denial::Cold(wait)) => Some(wait),
            Self::ColdTooLong(wait)
            | Self::NotAdmitted(wait)
            | Self::Vacant(wait)
            | Self::QueueTooLong(wait) => Some(wait),
            _ => None,
        }
    }

    /// Returns whether the request got no target because its targets are cold.
    pub(crate) fn is_cold(self) -> bool {
        matches!(self, Self::Denied(Denial::Cold(_)) | Self::ColdTooLong(_))
    }

    /// Returns whether waiting would not help.
    fn is_final(self) -> bool {
        let waits = matches!(self, Self::Denied(Denial::Cold(_)));
        self.wait().is_some() && !waits
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
#[derive(Clone)]
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
    /// Whether the request has the most urgent of several ranks.
    is_urgent: bool,
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
            if self.is_urgent {
                loads.count_urgent(incarnation, false);
            }
        }
        if let Some(incarnation) = incarnation {
            loads.count_queued(incarnation, true);
            if self.is_urgent {
                loads.count_urgent(incarnation, true);
            }
        }
        self.incarnation = incarnation.cloned();
        self.node.quota_wanted.set(self.incarnation.is_some() || self.node.quota_wanted.get());
        self.node.quota_requested.notify_one();
    }

    /// Asks the leader again for a token, which the request still needs: it hands
    /// out tokens one after the other.
    fn request_token(&self) {
        self.node.quota_wanted.set(true);
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

/// Time for which a request may still wait for a target, and for which it has
/// waited since the last attempt or since it arrived.
struct Wait {
    waited: Span,
    until: Time,
}

/// A request that waits for a target: its place among the others, and its count
/// in the admission, which ends when this is dropped.
struct Waiting<'a> {
    node: &'a Node,
    routed: &'a RoutedRequest<'a>,
    waiter: Waiter<'a>,
}

impl<'a> Waiting<'a> {
    fn new(node: &'a Node, routed: &'a RoutedRequest<'a>) -> Self {
        let waiter = node.waiters.enter(routed.route.priority, routed.deadline);
        let waiting = Self { node, routed, waiter };
        waiting.count(true);
        waiting
    }

    fn count(&self, begins: bool) {
        let RoutedRequest { service, route, .. } = self.routed;
        let (now, mut admission) = (self.node.now(), self.node.admission.borrow_mut());
        admission.count_waiting(now, service, route.priority, route.latency_objective, begins);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.count(false);
    }
}

/// Checks whether a request is admitted to its service.
fn check_admission(node: &Node, routed: &RoutedRequest<'_>) -> Result<(), AdmitError> {
    let rank = routed.route.priority;
    let checked = node.admission.borrow_mut().check(node.now(), &routed.service, rank, &routed.id);
    checked.map_err(AdmitError::NotAdmitted)
}

/// Returns the owner of the request's key if it takes the request at once. It is
/// served then whatever the threshold, which is that of the whole service: refusing
/// it would leave no room to others.
fn free_owner(
    node: &Node,
    routed: &RoutedRequest<'_>,
    attempts: &Attempts,
    wait: &Wait,
    place: &mut QueuePlace<'_>,
) -> Option<Admitted> {
    routed.key?;
    let admitted = find_target(node, routed, attempts, node.now(), wait, place).ok()?;
    node.admission.borrow_mut().count_admitted(&routed.service, routed.route.priority);
    Some(admitted)
}

/// Returns whether a request has the most urgent of several ranks of its service.
fn is_most_urgent(node: &Node, routed: &RoutedRequest<'_>) -> bool {
    let ranks = node.config.borrow().as_ref().and_then(|c| c.ranks.get(&routed.service).copied());
    ranks.is_some_and(|ranks| !ranks.is_single() && routed.route.priority <= ranks.first)
}

/// Returns how far a request without a key may fill a target.
fn fill_factor(node: &Node, routed: &RoutedRequest<'_>, now: Time) -> FillFactor {
    let ranks = node.config.borrow().as_ref().and_then(|c| c.ranks.get(&routed.service).copied());
    let Some(ranks) = ranks else { return FillFactor::MAX };
    let wait_max = routed.route.latency_objective.scale(WAIT_FRACTION).as_secs_f64();
    let waited = now.since(routed.incoming.arrived).as_secs_f64();
    ranks.fill_factor(routed.route.priority, waited / wait_max)
}

/// Returns a target that may get the request now.
fn find_target(
    node: &Node,
    routed: &RoutedRequest<'_>,
    attempts: &Attempts,
    now: Time,
    wait: &Wait,
    place: &mut QueuePlace<'_>,
) -> Result<Admitted, AdmitError> {
    let directory = node.directory.borrow();
    let peers = node.peers();
    let Some(key) = routed.key else {
        let mut loads = node.loads.borrow_mut();
        let fill = fill_factor(node, routed, now);
        let size = routed.incoming.body.iter().map(Bytes::len).sum();
        let any = Criteria { fill, ..Criteria::new(size) };
        let other = Criteria { avoid: attempts.targets(), ..any };
        let chosen = loads
            .choose(now, &directory, &routed.service, peers, other)
            .or_else(|| loads.choose(now, &directory, &routed.service, peers, any));
        return chosen.map(|t| Admitted::new(&t.entry)).ok_or_else(|| {
            match loads.denial(now, &directory, &routed.service, peers, fill) {
                Some(Denial::Cold(span))
                    if loads.first_pass(now, &directory, &routed.service) > wait.until =>
                {
                    AdmitError::ColdTooLong(span)
                }
                denial => denial.map_or(AdmitError::NoTarget, AdmitError::Denied),
            }
        });
    };
    let owners = node.owners().ok_or(AdmitError::NoTarget)?;
    let row = owners.table.find(&routed.service, key).ok_or(AdmitError::NoTarget)?;
    let target = directory.current(&row.incarnation());
    if target.is_none_or(|target| target.is_silent) {
        let end = node.vacancies.borrow().end(now, &routed.service, key);
        if let Some(end) = end.filter(|end| *end > wait.until) {
            return Err(AdmitError::Vacant(end.since(now)));
        }
    }
    let target = target.ok_or(AdmitError::NoTarget)?;
    if attempts.misdirected() == Some(&row.incarnation()) && wait.waited < MISDIRECTED_DELAY {
        return Err(AdmitError::NoTarget);
    }
    let incarnation = &target.entry.incarnation;
    place.follow_owner(now, incarnation);
    let (checked, needs_quota) = {
        let mut loads = node.loads.borrow_mut();
        (loads.check(now, target, true, peers, FillFactor::MAX), loads.is_quota_limited(now, incarnation))
    };
    let denial = match checked {
        Ok(()) => return Ok(Admitted::new(&target.entry)),
        Err(denial) => denial,
    };
    if let Denial::Cold(span) = denial {
        if place.incarnation.as_ref() == Some(incarnation) {
            place.request_token();
        } else if node.loads.borrow_mut().next_pass(incarnation) > wait.until {
            return Err(AdmitError::ColdTooLong(span));
        }
        place.move_to(Some(incarnation));
    }
    if matches!(denial, Denial::NoQuota | Denial::Full)
        && needs_quota
        && place.incarnation.as_ref() != Some(incarnation)
    {
        let wait_max = routed.route.latency_objective.scale(WAIT_FRACTION);
        if let Some(wait) = node.loads.borrow_mut().queue_drain_time(now, target, wait_max) {
            return Err(AdmitError::QueueTooLong(wait));
        }
        place.move_to(Some(incarnation));
    }
    Err(AdmitError::Denied(denial))
}

/// Returns the time after which a request that has waited in vain for the busy owner
/// of its key should return.
fn queue_drain_time(node: &Node, routed: &RoutedRequest<'_>, now: Time, error: AdmitError) -> Option<Span> {
    if !matches!(error, AdmitError::Denied(Denial::NoQuota | Denial::Full)) {
        return None;
    }
    let (owners, directory) = (node.owners()?, node.directory.borrow());
    let row = owners.table.find(&routed.service, routed.key?)?;
    let target = directory.current(&row.incarnation())?;
    node.loads.borrow_mut().queue_drain_time(now, target, Span::ZERO)
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
    let mut place = QueuePlace { node, incarnation: None, is_urgent: is_most_urgent(node, routed) };
    let mut waiting = None;
    if attempts.is_empty()
        && let Err(error) = check_admission(node, routed)
    {
        let wait = Wait { waited: Span::ZERO, until: started };
        let admitted = free_owner(node, routed, attempts, &wait, &mut place);
        if admitted.is_none() {
            node.metrics.count_overload_refusal(&routed.service, routed.route.priority);
        }
        return admitted.ok_or(error);
    }
    if routed.key.is_none() {
        let size = routed.incoming.body.iter().map(Bytes::len).sum();
        node.loads.borrow_mut().spill().count_request(&routed.service, size);
    }
    loop {
        let now = node.now();
        if routed.deadline.since(now) < TIME_LEFT_MIN {
            return Err(AdmitError::TooLate);
        }
        let wait = Wait { waited: now.since(started), until: wait_until };
        let error = match find_target(node, routed, attempts, now, &wait, &mut place) {
            Ok(admitted) => return Ok(admitted),
            Err(error) => error,
        };
        if error.is_final() {
            return Err(error);
        }
        if now >= wait_until {
            let drain_time = queue_drain_time(node, routed, now, error);
            return Err(drain_time.map_or(error, AdmitError::QueueTooLong));
        }
        let waiter = &waiting.get_or_insert_with(|| Waiting::new(node, routed)).waiter;
        let pause = wait_until.since(now).min(RECHECK_INTERVAL);
        let _ = tokio::time::timeout(pause.as_duration(), waiter.notified()).await;
    }
}
