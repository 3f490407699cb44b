//! One attempt: one send of a request to one target.

use {
    crate::{
        admit::Admitted,
        announcements,
        node::Node,
        serve::{RoutedRequest, says_not_run},
        silence,
        stream::{BodyStream, Buffer, Source},
    },
    actix_http::{
        HttpMessage, RequestHead, ResponseHead, StatusCode, Version,
        header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE},
    },
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_net::{Conn, ExchangeError, HttpAnswer, Reply},
    catkin_platform::name,
    catkin_route::{
        admission::QueueLoad, attempts::Attempts, config::Route, directory::Incarnation, load::Completion,
    },
    std::{cell::Cell, io, rc::Rc, sync::Arc, time::Duration},
};

/// Outcome of an attempt, from which the answer to the caller and the
/// [`AttemptEnd`](catkin_route::attempts::AttemptEnd) for retries follow. The
/// load of the target follows from [`Completion`].
pub(crate) enum AttemptOutcome {
    /// A complete answer arrived.
    Answered(HttpAnswer),
    /// An answer began to arrive that no other one may replace.
    Streamed(ResponseHead, BodyStream),
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

/// A request whose answer has not begun to arrive.
pub(crate) struct Awaited<'a> {
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

impl Awaited<'_> {
    /// Returns whether any byte has arrived since the request was sent.
    pub(crate) fn has_received(&self) -> bool {
        self.received.get() > self.received_before
    }
}

/// Counts an attempt at its target until the attempt ends or is cancelled.
pub(crate) struct InFlight {
    node: Rc<Node>,
    service: Arc<str>,
    route: Arc<Route>,
    target: Admitted,
    start: Time,
    completion: Completion,
    /// Queue that the target reported.
    queue: QueueLoad,
    /// Time in which the answer was not read, since its caller is slow.
    paused: Span,
    /// Buffer of an answer that is being forwarded, and the deadline of the request.
    forwarded: Option<(Rc<Buffer>, Time)>,
}

impl InFlight {
    fn new(node: &Rc<Node>, routed: &RoutedRequest<'_>, target: &Admitted) -> Self {
        let start = node.now();
        if node.loads.borrow_mut().begin(start, &target.incarnation, node.peers()) {
            node.metrics.count_cold("sent");
        }
        Self {
            node: node.clone(),
            service: routed.service.clone(),
            route: routed.route.clone(),
            target: target.clone(),
            start,
            completion: Completion::Cancelled,
            queue: QueueLoad::default(),
            paused: Span::default(),
            forwarded: None,
        }
    }

    /// Returns the target.
    pub(crate) fn target(&self) -> &Incarnation {
        &self.target.incarnation
    }

    /// Records the buffer of an answer that is being forwarded.
    pub(crate) fn watch(&mut self, buffer: Rc<Buffer>, deadline: Time) {
        self.forwarded = Some((buffer, deadline));
    }

    /// Adds a time in which the answer was not read.
    pub(crate) fn add_pause(&mut self, pause: Span) {
        self.paused += pause;
    }

    /// Records the end of an answer that was forwarded while it arrived.
    pub(crate) fn end_streamed(&mut self, is_complete: bool) {
        self.completion = if is_complete { Completion::Good } else { Completion::Failed };
        self.node.metrics.count_attempt(if is_complete { "answered" } else { "broken_off" });
    }

    /// Counts a successful answer without a key.
    pub(crate) fn count_answer(&self, bytes: usize) {
        let now = self.node.now();
        self.node.loads.borrow_mut().count_answer(now, &self.target.entry, bytes, self.took(now));
    }

    /// Keeps the connection of a complete answer.
    pub(crate) fn keep(&self, conn: Conn, head: &ResponseHead) {
        let keep_alive = header_text(head, &name::KEEP_ALIVE).and_then(name::parse_keep_alive);
        self.node.pool.put(self.node.now(), self.target(), conn, keep_alive.map(Span::from_secs));
    }

    fn took(&self, now: Time) -> Span {
        now.since(self.start).saturating_sub(self.paused)
    }

    /// Returns whether the caller left after its deadline while it waited for the rest
    /// of an answer.
    fn is_overdue(&self, now: Time) -> bool {
        self.forwarded.as_ref().is_some_and(|(buffer, deadline)| now > *deadline && buffer.is_empty())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.node.now();
        if self.completion == Completion::Cancelled && self.is_overdue(now) {
            self.completion = Completion::Failed;
        }
        if self.forwarded.is_some() {
            self.node.metrics.count_stream(match self.completion {
                Completion::Good => "complete",
                Completion::Failed => "broken_off",
                _ => "caller_left",
            });
        }
        let (incarnation, slots, took) = (self.target(), self.target.entry.slots, self.took(now));
        let usual_time = self.node.loads.borrow_mut().end(now, incarnation, self.completion, took, slots);
        if let Some(time) = usual_time {
            self.node.silence.borrow_mut().record_time(&self.target.entry.service, time);
        }
        if matches!(self.completion, Completion::Good | Completion::Failed) {
            let mut admission = self.node.admission.borrow_mut();
            let route = &self.route;
            admission.count_ended(&self.service, route.priority, route.latency_objective, took, self.queue);
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

/// Returns whether the answer with a head is the one for the caller: no other attempt
/// may replace it once it is complete.
fn is_final(head: &ResponseHead, attempts: &Attempts) -> bool {
    let (headers, status) = (head.headers(), head.status);
    status != StatusCode::MISDIRECTED_REQUEST
        && !status.is_server_error()
        && !headers.contains_key(name::NOT_RUN)
        && (!status.is_success() || headers.contains_key(name::STAMP))
        && attempts.may_forward(says_not_run(status))
}

/// Returns the size up to which a final answer is held for the sake of another
/// attempt.
fn hold_bytes(node: &Node, routed: &RoutedRequest<'_>, attempts: &Attempts, reply: &Reply) -> usize {
    let (now, peers) = (node.now(), node.peers());
    let size = node.hold_size.as_bytes();
    let may_replace =
        attempts.may_replace(now) && node.budget.borrow_mut().has_retry(now, &routed.service, peers);
    match may_replace && reply.length().unwrap_or(0) <= size {
        true => size as usize,
        false => 0,
    }
}

/// Returns the outcome of an exchange that failed.
fn lost(
    node: &Node,
    routed: &RoutedRequest<'_>,
    failure: &ExchangeError,
    guard: &mut InFlight,
) -> AttemptOutcome {
    if !failure.sent {
        guard.completion = Completion::Unreachable;
        node.metrics.count_attempt("unreached");
        return AttemptOutcome::Unreachable;
    }
    let error = &failure.error;
    if node.log_limiter.allow(node.now(), "connection closed before a complete answer") {
        let (answered, target_id) = (failure.answered, &*guard.target().id);
        log::info!(id = &*routed.id, target_id, error:display, answered; "connection closed before a complete answer");
    }
    guard.completion = Completion::Failed;
    node.metrics.count_attempt("lost");
    AttemptOutcome::NoValidAnswer
}

/// Returns the outcome of an exchange that took too long.
fn late(node: &Node, guard: &mut InFlight) -> AttemptOutcome {
    guard.completion = Completion::Failed;
    node.metrics.count_attempt("late");
    AttemptOutcome::TimedOut
}

/// Records what the head of an answer says about its target.
fn note_head(
    node: &Node,
    routed: &RoutedRequest<'_>,
    head: &ResponseHead,
    (conn, reused): (&Conn, bool),
    guard: &mut InFlight,
) {
    let now = node.now();
    if head.headers().contains_key(name::NOT_RUN) && node.log_limiter.allow(now, "target refused") {
        let (status, names_id) = (head.status.as_u16(), head.headers().contains_key(name::REQUEST_ID));
        log::info!(id = &*routed.id, target_id = &*guard.target().id, conn = conn.id().0, reused, status, names_id; "target refused");
    }
    if let Some(load) = header_text(head, &name::LOAD).and_then(name::parse_load) {
        // The answered request is still counted both by the target and here.
        let requests = load.running.saturating_add(load.queued);
        node.loads.borrow_mut().record_report(now, guard.target(), requests, load.slowdown);
        guard.queue = QueueLoad { queued: load.queued, slots: load.slots };
    }
}

/// Sends a request to a target. Reads the complete answer, or its head and a part of
/// its body if no other answer may replace it.
pub(crate) async fn send(
    node: &Rc<Node>,
    routed: &RoutedRequest<'_>,
    attempts: &mut Attempts,
    target: &Admitted,
) -> AttemptOutcome {
    let incarnation = &target.incarnation;
    let mut guard = InFlight::new(node, routed, target);
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
    let sent_at = node.now();
    let Some(head) = build_head(routed, target, sent_at) else { return AttemptOutcome::Unreachable };
    let body = routed.incoming.body.clone();
    attempts.sent_on(conn.id());
    let received = conn.received();
    let awaited = Awaited {
        incarnation,
        sent_at,
        limit: silence_limit(node, routed, target, sent_at),
        received_before: received.get(),
        received,
    };
    let left = routed.deadline.since(sent_at) + ANSWER_SLACK;
    let until = tokio::time::Instant::now() + left.as_duration();
    let is_own = |head: &ResponseHead| matches_request(head, &routed.id, reused);
    let begin = tokio::time::timeout_at(until, conn.begin(head, body, routed.incoming.chunked, is_own));
    let may_abandon = || {
        let now = node.now();
        let is_possible = routed.key.is_none() && attempts.may_replace(now);
        is_possible && node.budget.borrow_mut().take_retry(now, &routed.service, node.peers())
    };
    let begun = tokio::select! {
        biased;
        begun = begin => begun,
        () = silence::watch(node, &awaited, may_abandon) => {
            guard.completion = Completion::Failed;
            node.metrics.count_attempt("abandoned");
            return AttemptOutcome::Abandoned;
        }
    };
    if awaited.has_received() {
        silence::note_heard(node, incarnation);
    }
    let mut reply = match begun {
        Ok(Ok(reply)) => reply,
        Ok(Err(failure)) => return lost(node, routed, &failure, &mut guard),
        Err(_) => return late(node, &mut guard),
    };
    // Callers of HTTP/1.0 take a body without a length for complete when it breaks off.
    let may_stream = is_final(&reply.head, attempts)
        && (reply.length().is_some() || routed.incoming.head.version() >= Version::HTTP_11);
    let max = match may_stream {
        true => hold_bytes(node, routed, attempts, &reply),
        false => catkin_net::ANSWER_BYTES_MAX,
    };
    match tokio::time::timeout_at(until, conn.hold(&mut reply, max)).await {
        Ok(Ok(())) => {}
        Ok(Err(failure)) => return lost(node, routed, &failure, &mut guard),
        // No other attempt may follow after the deadline.
        Err(_) if may_stream => {}
        Err(_) => return late(node, &mut guard),
    }
    note_head(node, routed, &reply.head, (&conn, reused), &mut guard);
    announcements::note(node, incarnation, &reply.head, sent_at);
    if may_stream && !reply.is_complete() {
        let mut head = ResponseHead::new(reply.head.status);
        head.headers = reply.head.headers().clone();
        let source = Source {
            node: node.clone(),
            conn,
            reply,
            in_flight: guard,
            id: routed.id.clone(),
            is_unkeyed: routed.key.is_none(),
            deadline: routed.deadline,
            caller: routed.incoming.caller,
        };
        return AttemptOutcome::Streamed(head, source.start());
    }
    let reply = match conn.finish(reply) {
        Ok(reply) => reply,
        Err(failure) => return lost(node, routed, &failure, &mut guard),
    };
    if routed.key.is_none() && reply.head.status.is_success() {
        guard.count_answer(reply.body.len());
    }
    // A late copy of an answer without an id could pass for the next one.
    if reply.reusable && reply.head.headers().contains_key(name::REQUEST_ID) {
        guard.keep(conn, &reply.head);
    }
    classify(node, incarnation, reply, &mut guard)
}

fn classify(
    node: &Node,
    incarnation: &Incarnation,
    reply: HttpAnswer,
    guard: &mut InFlight,
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
