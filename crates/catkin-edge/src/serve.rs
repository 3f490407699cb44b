//! One request: route, attempts and the final answer.

use {
    crate::{
        admit::{self, AdmitError},
        attempt::{self, AttemptOutcome},
        due::DueAnswer,
        node::Node,
        stream::BodyStream,
    },
    actix_http::{
        HttpMessage, Request, ResponseHead, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING},
    },
    bytes::Bytes,
    catkin::{
        Code,
        types::{Span, Time},
    },
    catkin_net::{Held, HttpAnswer},
    catkin_platform::name,
    catkin_route::{
        attempts::{AttemptEnd, Attempts},
        config::{Config, Route},
        load::Denial,
    },
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
    },
};

/// Complete request of a caller.
pub(crate) struct Incoming {
    /// Method, path and headers.
    pub(crate) head: Request,
    /// Chunks of the body, in order.
    pub(crate) body: Vec<Bytes>,
    /// Whether the body has chunked transfer encoding.
    pub(crate) chunked: bool,
    /// Time at which the head was read.
    pub(crate) arrived: Time,
    /// Address of the caller.
    pub(crate) caller: SocketAddr,
}

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// One that is forwarded while it arrives.
    Streamed(BodyStream),
}

/// Answer to a caller.
pub(crate) struct Answer {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Headers of the target's answer; none in an answer of this process.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// Body; empty in an answer of this process.
    pub(crate) body: AnswerBody,
    /// Time after which a refused caller should retry, if it is told one.
    pub(crate) retry_after: Option<Span>,
    /// Counts a whole body as held.
    pub(crate) held: Option<Held>,
    /// Counts the answer as due on the link of this machine.
    pub(crate) due: Option<DueAnswer>,
}

impl Answer {
    /// Creates an answer of this process, without headers and body.
    pub(crate) fn local(status: StatusCode, retry_after: Option<Span>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: AnswerBody::Whole(Bytes::new()),
            retry_after,
            held: None,
            due: None,
        }
    }
}

impl Answer {
    /// Returns the length of the body, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        match &self.body {
            AnswerBody::Whole(body) => Some(body.len() as u64),
            AnswerBody::Streamed(stream) => stream.length(),
        }
    }
}

/// Request with the route, service and deadline that apply to it.
pub(crate) struct RoutedRequest<'a> {
    /// Request as the caller sent it.
    pub(crate) incoming: &'a Incoming,
    /// Route that matches it.
    pub(crate) route: Arc<Route>,
    /// Service that the route or its traffic split selected.
    pub(crate) service: Arc<str>,
    /// Key of the request, if keys of the service have owners.
    pub(crate) key: Option<u16>,
    /// Id that the caller gave it; empty if there is none.
    pub(crate) id: Arc<str>,
    /// Deadline of the caller or of the route, whichever is earlier.
    pub(crate) deadline: Time,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_deadline(headers: &HeaderMap) -> Option<Span> {
    let millis: f64 = header_text(headers, &name::DEADLINE)?.trim().parse().ok()?;
    (millis >= 0.0).then(|| Span::from_micros((millis * 1e3) as u64))
}

fn route_request<'a>(
    node: &Node,
    config: &Config,
    incoming: &'a Incoming,
) -> Result<RoutedRequest<'a>, Code> {
    let headers = incoming.head.headers();
    let uri = incoming.head.uri();
    let host = uri.host().or_else(|| header_text(headers, &HOST)).unwrap_or("");
    let route = config.find(host, uri.path()).ok_or(Code::UnknownService)?.clone();
    let service = node.split.borrow_mut().next(&route);
    let keyed = config.services.get(&service).is_some_and(|s| s.keyed);
    let key = match (keyed, header_text(headers, &name::KEY)) {
        (true, Some(key)) => Some(key.trim().parse().map_err(|_| Code::MissingKey)?),
        // Requests of some routes have no key; any key will do for them.
        (true, None) => Some(0),
        (false, _) => None,
    };
    let id = header_text(headers, &name::REQUEST_ID).unwrap_or("").into();
    let limit = parse_deadline(headers).map_or(route.timeout, |d| d.min(route.timeout));
    Ok(RoutedRequest { incoming, route, service, key, id, deadline: incoming.arrived.after(limit) })
}

fn may_take(node: &Node, deadline: Time) -> bool {
    node.drain.get().is_none_or(|drain| drain.may_take(node.now(), deadline))
}

/// Returns the answer to a request that is refused before its body has arrived,
/// as this process ends before it could be over.
pub(crate) fn refuse_early(node: &Node, incoming: &Incoming) -> Option<Answer> {
    let config = node.config.borrow().clone()?;
    let routed = route_request(node, &config, incoming).ok()?;
    let is_refused = !may_take(node, routed.deadline);
    is_refused.then(|| refuse(node, incoming, &routed.id, Code::Leaving))
}

/// Returns the answer to a request that arrives before the first configuration.
pub(crate) fn refuse_unconfigured(node: &Node, incoming: &Incoming) -> Option<Answer> {
    node.config.borrow().is_none().then(|| refuse(node, incoming, request_id(incoming), Code::Starting))
}

/// Returns the answer to a request that ends before its body has arrived, as this
/// process holds too many bytes.
pub(crate) fn refuse_held(node: &Node, incoming: &Incoming) -> Answer {
    if node.log_limiter.allow(node.now(), "body of a request ended") {
        let held = catkin_net::held().as_bytes();
        log::info!(id = request_id(incoming), held; "body of a request ended");
    }
    refuse(node, incoming, request_id(incoming), Code::QueueFull)
}

fn request_id(incoming: &Incoming) -> &str {
    header_text(incoming.head.headers(), &name::REQUEST_ID).unwrap_or("")
}

/// Serves a request and returns the final answer.
pub(crate) async fn serve(node: &Rc<Node>, incoming: &Incoming) -> Answer {
    let Some(config) = node.config.borrow().clone() else {
        return refuse(node, incoming, "", Code::Starting);
    };
    let routed = match route_request(node, &config, incoming) {
        Ok(routed) => routed,
        Err(code) => {
            return refuse(node, incoming, request_id(incoming), code);
        }
    };
    if !may_take(node, routed.deadline) {
        return refuse(node, incoming, &routed.id, Code::Leaving);
    }
    let wait = node.link_load.borrow().wait(node.now(), &routed.route.name, routed.deadline);
    if let Some(wait) = wait {
        return refuse_for_link(node, &routed, wait);
    }
    let mut due = DueAnswer::new(node, &routed.route.name);
    node.budget.borrow_mut().count_request(incoming.arrived, &routed.service);
    if let Some(key) = routed.key {
        let mut keys = node.key_counts.borrow_mut();
        let count = keys.entry((routed.service.clone(), key)).or_default();
        *count = count.saturating_add(1);
    }
    let mut answer = send_with_retries(node, &routed).await;
    due.set_answer(&answer);
    answer.due = Some(due);
    let took = node.now().since(incoming.arrived);
    log_request(node, &config, &routed, &answer, took);
    node.metrics.count_answer(outcome_label(answer.status), took);
    answer
}

/// Logs a finished request: what decided it and how it ended.
fn log_request(node: &Node, config: &Config, routed: &RoutedRequest<'_>, answer: &Answer, took: Span) {
    let message = if answer.status.is_success() { "request served" } else { "request not successful" };
    if !node.log_limiter.allow(node.now(), message) {
        return;
    }
    let header_text = |name: &HeaderName| {
        let value = answer.headers.iter().find(|(other, _)| other == name)?;
        value.1.to_str().ok()
    };
    let owners = node.owners().map(|o| o.offset);
    log::info!(
        id = &*routed.id, route = &*routed.route.name, service = &*routed.service, key = routed.key,
        status = answer.status.as_u16(), stamp = header_text(&name::STAMP), took_ms = took.as_millis(),
        config = config.version, owners, peers = node.peers();
        "{message}"
    );
}

fn outcome_label(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "success",
        _ if says_not_run(status) => "refused",
        502 | 504 => "unknown",
        400..=499 => "denied",
        _ => "failed",
    }
}

/// Returns whether a status tells a caller that its request did not run and
/// never will.
pub(crate) fn says_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Repeats attempts until the request has an answer or may not be sent again.
async fn send_with_retries(node: &Rc<Node>, routed: &RoutedRequest<'_>) -> Answer {
    let mut attempts = Attempts::new(&routed.route, routed.deadline);
    let mut failed = None;
    let mut refusal = None;
    let mut has_retry = false;
    let code = loop {
        let target = match admit::admit(node, routed, &attempts).await {
            Ok(target) => target,
            Err(error) => {
                refusal = Some(error);
                break error.code();
            }
        };
        let peers = node.peers();
        let needs_retry = attempts.reached() > 0 && !std::mem::take(&mut has_retry);
        if needs_retry && !node.budget.borrow_mut().take_retry(node.now(), &routed.service, peers) {
            break Code::RetryBudget;
        }
        let (end, code) = match attempt::send(node, routed, &mut attempts, &target).await {
            AttemptOutcome::Answered(reply) if !attempts.may_forward(says_not_run(reply.head.status)) => {
                (AttemptEnd::Unanswered, Code::AnswerCut)
            }
            AttemptOutcome::Answered(reply) if reply.head.status.is_server_error() => {
                failed = Some(reply);
                (AttemptEnd::Failed, Code::AnswerCut)
            }
            AttemptOutcome::Answered(reply) => return forward(reply),
            AttemptOutcome::Streamed(head, stream) => {
                return Answer {
                    status: head.status,
                    headers: forwarded_headers(&head),
                    body: AnswerBody::Streamed(stream),
                    retry_after: None,
                    held: None,
                    due: None,
                };
            }
            AttemptOutcome::NotRun => (AttemptEnd::NotRun, Code::TargetRefused),
            AttemptOutcome::Misdirected => (AttemptEnd::Misdirected, Code::FenceRefused),
            AttemptOutcome::Unreachable => (AttemptEnd::Unreachable, Code::ConnectFailed),
            AttemptOutcome::NoValidAnswer => (AttemptEnd::Unanswered, Code::AnswerCut),
            AttemptOutcome::TimedOut => (AttemptEnd::Unanswered, Code::OutcomeUnknown),
            AttemptOutcome::Abandoned => {
                has_retry = true;
                (AttemptEnd::Unanswered, Code::OutcomeUnknown)
            }
        };
        attempts.record(&target.incarnation, end);
        if node.log_limiter.allow(node.now(), "attempt failed") {
            log::info!(
                id = &*routed.id, target_id = &*target.incarnation.id, end:debug, attempts = attempts.reached();
                "attempt failed"
            );
        }
        if !attempts.may_retry(node.now()) {
            break code;
        }
    };
    match failed {
        Some(reply) => forward(reply),
        None => local_answer(node, routed, &attempts, code, refusal),
    }
}

/// Returns the final answer for a request without an answer of a target.
/// `refusal` is the reason why it got no further target, if that ended it.
fn local_answer(
    node: &Node,
    routed: &RoutedRequest<'_>,
    attempts: &Attempts,
    code: Code,
    refusal: Option<AdmitError>,
) -> Answer {
    let code = attempts.caller_code(code);
    let elapsed = node.now().since(routed.incoming.arrived);
    if node.log_limiter.allow(node.now(), "request failed") {
        log::info!(
            id = &*routed.id, service = &*routed.service, key = routed.key, code:display, attempts = attempts.reached(),
            may_have_run = attempts.may_have_run(), elapsed_ms = elapsed.as_millis(), refusal:?;
            "request failed"
        );
    }
    if refusal.is_some_and(AdmitError::is_cold) {
        node.metrics.count_cold("refused");
    }
    let delay = match refusal.and_then(AdmitError::wait) {
        // The time at which the request is admitted; such times are spread.
        Some(wait) if matches!(refusal, Some(AdmitError::NotAdmitted(_))) => wait,
        Some(wait) => spread(&routed.id, wait),
        None => retry_delay(routed.deadline.since(node.now())),
    };
    if matches!(refusal, Some(AdmitError::QueueTooLong(_))) {
        note_promise(node, routed, delay);
    }
    answer_for_code(code, delay)
}

/// Part of its remaining time up to which a refused caller obeys a time to return.
/// With a longer one it does not return.
const OBEYED_FRACTION: f64 = 1.0 / 3.0;

/// Counts a refused request that will return to the owner of its key.
fn note_promise(node: &Node, routed: &RoutedRequest<'_>, after: Span) {
    let now = node.now();
    if after > routed.deadline.since(now).scale(OBEYED_FRACTION) {
        return;
    }
    let owner = node
        .owners()
        .zip(routed.key)
        .and_then(|(owners, key)| owners.table.find(&routed.service, key).map(|row| row.incarnation()));
    if let Some(owner) = owner {
        node.loads.borrow_mut().promise(now, &owner, after);
    }
}

/// Part of a wait over which the callers that are told to wait return.
const RETURN_SPREAD: f64 = 0.25;

/// Returns a time to wait that differs between requests, so that callers do not
/// all return at the moment at which a target takes requests again.
fn spread(id: &str, wait: Span) -> Span {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let uniform = hasher.finish() as f64 / u64::MAX as f64;
    wait.max(RETRY_AFTER_MIN).scale(1.0 + RETURN_SPREAD * uniform)
}

fn answer_for_code(code: Code, retry_after: Span) -> Answer {
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(retry_after);
    Answer::local(status, retry_after)
}

/// Bounds of the time after which a refused caller should retry.
const RETRY_AFTER_MIN: Span = Span::from_millis(50);
const RETRY_AFTER_MAX: Span = Span::from_millis(400);

/// Returns the time after which a refused caller should retry: less than a
/// third of its remaining time.
fn retry_delay(left: Span) -> Span {
    left.scale(0.3).min(RETRY_AFTER_MAX).max(RETRY_AFTER_MIN)
}

fn refuse(node: &Node, incoming: &Incoming, id: &str, code: Code) -> Answer {
    if node.log_limiter.allow(node.now(), "request refused") {
        let config = node.config.borrow().as_ref().map(|config| config.version);
        let config_age_ms = node.now().since(node.config_feed.checked_at()).as_millis();
        log::info!(id, code:display, path = incoming.head.path(), config, config_age_ms; "request refused");
    }
    node.metrics.count_answer("refused", node.now().since(incoming.arrived));
    answer_for_code(code, retry_delay(RETRY_AFTER_MAX))
}

/// Returns the headers of a target's answer that its caller gets.
fn forwarded_headers(head: &ResponseHead) -> Vec<(HeaderName, HeaderValue)> {
    let removed = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, name::KEEP_ALIVE, name::LOAD];
    let kept = head.headers().iter().filter(|(name, _)| !removed.contains(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns the answer to a request whose answer could not be sent in time over the link
/// of this machine.
fn refuse_for_link(node: &Node, routed: &RoutedRequest<'_>, wait: Span) -> Answer {
    if node.log_limiter.allow(node.now(), "request refused for the link") {
        let (id, route, wait_ms) = (&*routed.id, &*routed.route.name, wait.as_millis());
        log::info!(id, route, wait_ms; "request refused for the link");
    }
    node.metrics.count_link_refusal();
    node.metrics.count_answer("refused", node.now().since(routed.incoming.arrived));
    answer_for_code(Code::QueueFull, spread(&routed.id, wait))
}

/// Forwards a target's complete answer to the caller.
fn forward(reply: HttpAnswer) -> Answer {
    Answer {
        status: reply.head.status,
        headers: forwarded_headers(&reply.head),
        body: AnswerBody::Whole(reply.body),
        retry_after: None,
        held: Some(reply.held),
        due: None,
    }
}

impl AdmitError {
    fn code(self) -> Code {
        match self {
            Self::NoTarget | Self::Vacant(_) => Code::NoOwner,
            Self::Denied(Denial::Leaving) => Code::NoOwner,
            Self::Denied(Denial::Paused(_) | Denial::Limited(_) | Denial::Cold(_)) | Self::ColdTooLong(_) => {
                Code::TargetLimited
            }
            Self::Denied(Denial::Doubted | Denial::Unreachable | Denial::NoQuota | Denial::Full)
            | Self::NotAdmitted(_)
            | Self::QueueTooLong(_) => Code::QueueFull,
            Self::TooLate => Code::DeadlineTooShort,
        }
    }
}
