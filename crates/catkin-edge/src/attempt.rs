//! One attempt: one send of a request to one target.

use {
    crate::{admit::Admitted, announcements, node::Node, serve::RoutedRequest, silence},
    actix_http::{
        HttpMessage, RequestHead, ResponseHead, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE},
    },
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_net::{Conn, HttpAnswer},
    catkin_platform::name,
    catkin_route::{admission::QueueLoad, attempts::Attempts, directory::Incarnation, load::Completion},
    std::{cell::Cell, io, rc::Rc, time::Duration},
};

/// Outcome of an attempt, from which the answer to the caller and the
/// [`AttemptEnd`](catkin_route::attempts::AttemptEnd) for retries follow. The
/// load of the target follows from [`Completion`].
pub(crate) enum AttemptOutcome {
    /// A complete answer arrived.
    Answered(HttpAnswer),
    /// The target refused the request without running it.
    NotRun,
    /// The target does not own the key, or another target has its address.
    Misdirected,
    /// No connection could be opened, or nothing of the request was sent on it.
    Unreachable,
    /// No complete, stamped answer arrived after some of the request was sent.
    NoValidAnswer,
    /// No answer arrived in time.
    TimedOut,
    /// The target stopped responding, and a retry was taken from the budget.
    Abandoned,
}

/// Time without an answer to an attempt to connect after which the target counts as
/// silent. An attempt shortly before the deadline ends sooner.
const CONNECT_SILENCE: Span = Span::from_millis(200);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after the deadline in which the target's own answer to the expired
/// request is awaited.
const ANSWER_SLACK: Span = Span::from_millis(40);

/// A request that waits for its answer.
pub(crate) struct InFlight<'a> {
    /// Incarnation that must answer.
    pub(crate) incarnation: &'a Incarnation,
    /// When the request was sent.
    pub(crate) sent_at: Time,
    /// Time without a byte after which the target counts as silent.
    pub(crate) limit: Span,
    /// Bytes that were received on the connection, and how many of them before.
    received: Rc<Cell<usize>>,
    received_before: usize,
}

impl InFlight<'_> {
    /// Returns whether any byte has arrived since the request was sent.
    pub(crate) fn has_received(&self) -> bool {
        self.received.get() > self.received_before
    }
}

/// Counts an attempt at its target until the attempt ends or is cancelled.
struct InFlightGuard<'a> {
    node: &'a Node,
    routed: &'a RoutedRequest<'a>,
    target: &'a Admitted,
    start: Time,
    completion: Completion,
    /// Queue that the target reported.
    queue: QueueLoad,
}

impl<'a> InFlightGuard<'a> {
    fn new(node: &'a Node, routed: &'a RoutedRequest<'a>, target: &'a Admitted) -> Self {
        let start = node.now();
        if node.loads.borrow_mut().begin(start, &target.incarnation, node.peers()) {
            node.metrics.count_cold("sent");
        }
        let completion = Completion::Cancelled;
        Self { node, routed, target, start, completion, queue: QueueLoad::default() }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let (incarnation, slots) = (&self.target.incarnation, self.target.entry.slots);
        let took = now.since(self.start);
        let usual_time = self.node.loads.borrow_mut().end(now, incarnation, self.completion, took, slots);
        if let Some(time) = usual_time {
            self.node.silence.borrow_mut().record_time(&self.target.entry.service, time);
        }
        if matches!(self.completion, Completion::Good | Completion::Failed) {
            let RoutedRequest { service, route, .. } = self.routed;
            let mut admission = self.node.admission.borrow_mut();
            admission.count_ended(service, route.priority, route.latency_objective, took, self.queue);
        }
        self.node.waiters.notify_all();
    }
}

/// Factor on the time that a body takes on the link of the process alone.
const LINK_SHARE_FACTOR: f64 = 2.0;

/// Returns the time without a byte after which a target counts as silent to which
/// a request is sent now.
fn silence_limit(node: &Node, routed: &RoutedRequest<'_>, target: &Admitted, now: Time) -> Span {
    let factor = node.loads.borrow_mut().time_factor(now, &target.entry, node.peers());
    let limit = node.silence.borrow().limit(&target.entry.service, factor);
    // A target answers once it has the body, which shares the link with others.
    let bytes: usize = routed.incoming.body.iter().map(Bytes::len).sum();
    let seconds = bytes as f64 * 8.0 / (node.settings.bandwidth.max(0.1) * 1e6);
    limit + Span::from_micros((LINK_SHARE_FACTOR * seconds * 1e6) as u64)
}

fn build_head(routed: &RoutedRequest<'_>, target: &Admitted, now: Time) -> Option<RequestHead> {
    let from = &routed.incoming.head;
    let mut head = catkin_net::request_head(from.method().clone(), from.uri().clone());
    let removed = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE, name::KEEP_ALIVE];
    let replaced = [name::DEADLINE, name::EXPECT_INSTANCE];
    for (name, value) in from.headers() {
        if !removed.contains(name) && !replaced.contains(name) {
            head.headers.append(name.clone(), value.clone());
        }
    }
    head.headers.insert(name::DEADLINE, HeaderValue::from(routed.deadline.since(now).as_millis()));
    head.headers.insert(name::EXPECT_INSTANCE, HeaderValue::from_str(&target.incarnation.id).ok()?);
    Some(head)
}

/// Returns the value of a header that is text.
pub(crate) fn header_text<'a>(head: &'a ResponseHead, name: &HeaderName) -> Option<&'a str> {
    head.headers().get(name)?.to_str().ok()
}

/// Returns whether an answer is that to a request with an id. `reused` is
/// whether its connection carried another request before.
fn matches_request(head: &ResponseHead, id: &str, reused: bool) -> bool {
    match header_text(head, &name::REQUEST_ID) {
        Some(answered) => answered == id,
        // A target that refuses before it has read the request may not name its
        // id. On a reused connection such bytes may follow an earlier answer.
        None => !reused && !head.status.is_success(),
    }
}

/// Sends a request to a target and reads the complete answer.
pub(crate) async fn send(
    node: &Rc<Node>,
    routed: &RoutedRequest<'_>,
    attempts: &mut Attempts,
    target: &Admitted,
) -> AttemptOutcome {
    let incarnation = &target.incarnation;
    let mut guard = InFlightGuard::new(node, routed, target);
    if *target.entry.zone != *node.settings.zone.as_str() {
        node.metrics.count_zone_crossing(&target.entry.service);
    }
    let pooled =
        node.pool.take(node.now(), incarnation, |conn| !routed.id.is_empty() && attempts.may_send_on(conn));
    let reused = pooled.is_some();
    let conn = match pooled {
        Some(conn) => Ok(conn),
        None => {
            let left = routed.deadline.since(node.now()).as_duration();
            Conn::open(target.entry.addr, CONNECT_TIMEOUT.min(left), node.http.clone()).await
        }
    };
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(error) => {
            if node.log_limiter.allow(node.now(), "target unreachable") {
                log::info!(id = &*routed.id, target_id = &*incarnation.id, error:display; "target unreachable");
            }
            guard.completion = Completion::Unreachable;
            node.metrics.count_attempt("unreached");
            if error.kind() == io::ErrorKind::TimedOut && node.now().since(guard.start) >= CONNECT_SILENCE {
                silence::note_unconnected(node, incarnation, guard.start);
            }
            return AttemptOutcome::Unreachable;
        }
    };
    let now = node.now();
    let Some(head) = build_head(routed, target, now) else { return AttemptOutcome::Unreachable };
    let body = routed.incoming.body.clone();
    attempts.sent_on(conn.id());
    let sent_at = now;
    let received = conn.received();
    let in_flight = InFlight {
        incarnation,
        sent_at,
        limit: silence_limit(node, routed, target, now),
        received_before: received.get(),
        received,
    };
    let exchange =
        conn.exchange(head, body, routed.incoming.chunked, |head| matches_request(head, &routed.id, reused));
    let may_abandon = || {
        let now = node.now();
        let is_possible = routed.key.is_none() && attempts.may_abandon(now);
        is_possible && node.budget.borrow_mut().take_retry(now, &routed.service, node.peers())
    };
    let left = routed.deadline.since(sent_at) + ANSWER_SLACK;
    let ended = tokio::select! {
        biased;
        ended = tokio::time::timeout(left.as_duration(), exchange) => ended,
        () = silence::watch(node, &in_flight, may_abandon) => {
            guard.completion = Completion::Failed;
            node.metrics.count_attempt("abandoned");
            return AttemptOutcome::Abandoned;
        }
    };
    if in_flight.has_received() {
        silence::note_heard(node, incarnation);
    }
    let reply = match ended {
        Ok(Ok(reply)) => reply,
        Ok(Err(failure)) if !failure.sent => {
            guard.completion = Completion::Unreachable;
            node.metrics.count_attempt("unreached");
            return AttemptOutcome::Unreachable;
        }
        Ok(Err(failure)) => {
            let error = &failure.error;
            if node.log_limiter.allow(node.now(), "connection closed before a complete answer") {
                let answered = failure.answered;
                log::info!(id = &*routed.id, target_id = &*incarnation.id, error:display, answered; "connection closed before a complete answer");
            }
            guard.completion = Completion::Failed;
            node.metrics.count_attempt("lost");
            return AttemptOutcome::NoValidAnswer;
        }
        Err(_) => {
            guard.completion = Completion::Failed;
            node.metrics.count_attempt("late");
            return AttemptOutcome::TimedOut;
        }
    };
    let now = node.now();
    if reply.head.headers().contains_key(name::NOT_RUN) && node.log_limiter.allow(now, "target refused") {
        let (status, names_id) =
            (reply.head.status.as_u16(), reply.head.headers().contains_key(name::REQUEST_ID));
        log::info!(id = &*routed.id, target_id = &*incarnation.id, conn = conn.id().0, reused, status, names_id; "target refused");
    }
    if let Some(load) = header_text(&reply.head, &name::LOAD).and_then(name::parse_load) {
        // The answered request is still counted both by the target and here.
        let requests = load.running.saturating_add(load.queued);
        node.loads.borrow_mut().record_report(now, incarnation, requests, load.slowdown);
        guard.queue = QueueLoad { queued: load.queued, slots: load.slots };
    }
    if routed.key.is_none() && reply.head.status.is_success() {
        let took = now.since(guard.start);
        node.loads.borrow_mut().count_answer(now, &target.entry, reply.body.len(), took);
    }
    announcements::note(node, incarnation, &reply.head, sent_at);
    // A late copy of an answer without an id could pass for the next one.
    if reply.reusable && reply.head.headers().contains_key(name::REQUEST_ID) {
        let keep_alive = header_text(&reply.head, &name::KEEP_ALIVE).and_then(name::parse_keep_alive);
        node.pool.put(now, incarnation, conn, keep_alive.map(Span::from_secs));
    }
    classify(node, incarnation, reply, &mut guard)
}

fn classify(
    node: &Node,
    incarnation: &Incarnation,
    reply: HttpAnswer,
    guard: &mut InFlightGuard<'_>,
) -> AttemptOutcome {
    let status = reply.head.status;
    if status == StatusCode::MISDIRECTED_REQUEST {
        // The target does not own the key, or another target has its address.
        if header_text(&reply.head, &name::INSTANCE).is_some_and(|other| other != &*incarnation.id) {
            node.directory.borrow_mut().remove_now(&incarnation.id);
        }
        guard.completion = Completion::Good;
        node.metrics.count_attempt("misdirected");
        return AttemptOutcome::Misdirected;
    }
    if reply.head.headers().contains_key(name::NOT_RUN) {
        guard.completion = Completion::Refused;
        node.metrics.count_attempt("refused");
        return AttemptOutcome::NotRun;
    }
    if status.is_success() && !reply.head.headers().contains_key(name::STAMP) {
        guard.completion = Completion::Failed;
        node.metrics.count_attempt("unsigned");
        return AttemptOutcome::NoValidAnswer;
    }
    guard.completion = if status.is_server_error() { Completion::Failed } else { Completion::Good };
    node.metrics.count_attempt("answered");
    AttemptOutcome::Answered(reply)
}
