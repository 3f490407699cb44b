//! One request: route, tries, the final answer.

use {
    crate::{
        admit::{self, Denied},
        node::Node,
        send::{self, Sent},
    },
    actix_http::{
        HttpMessage, Request, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING},
    },
    bytes::Bytes,
    catkin::{
        Code,
        types::{Span, Time},
    },
    catkin_net::Reply,
    catkin_platform::name,
    catkin_route::{
        config::{Config, Rule},
        tries::{End, Tries},
    },
    std::{rc::Rc, sync::Arc},
};

/// A whole request of a caller.
pub(crate) struct Incoming {
    /// Method, path and headers.
    pub(crate) head: Request,
    /// The body.
    pub(crate) body: Vec<Bytes>,
    /// Whether the body came in chunks.
    pub(crate) chunked: bool,
    /// When the head was read.
    pub(crate) came: Time,
}

/// An answer to a caller.
pub(crate) struct Answer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers of the target's answer.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// Body.
    pub(crate) body: Bytes,
    /// When the caller may try again.
    pub(crate) retry: Option<Span>,
}

impl Answer {
    /// Makes an answer of this program.
    pub(crate) fn refusal(status: StatusCode, retry: Option<Span>) -> Self {
        Self { status, headers: Vec::new(), body: Bytes::new(), retry }
    }
}

/// What is fixed about a request once its route is known.
pub(crate) struct Job<'a> {
    /// The request.
    pub(crate) incoming: &'a Incoming,
    /// Its route.
    pub(crate) rule: Arc<Rule>,
    /// Its service.
    pub(crate) service: Arc<str>,
    /// Its key, if keys of the service have owners.
    pub(crate) key: Option<u16>,
    /// Its id.
    pub(crate) id: Arc<str>,
    /// When the caller or the route gives it up.
    pub(crate) until: Time,
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn deadline(headers: &HeaderMap) -> Option<Span> {
    let millis: f64 = text(headers, &name::DEADLINE)?.trim().parse().ok()?;
    (millis >= 0.0).then(|| Span::from_micros((millis * 1e3) as u64))
}

fn job<'a>(node: &Node, config: &Config, incoming: &'a Incoming) -> Result<Job<'a>, Code> {
    let headers = incoming.head.headers();
    let uri = incoming.head.uri();
    let host = uri.host().or_else(|| text(headers, &HOST)).unwrap_or("");
    let rule = config.find(host, uri.path()).ok_or(Code::UnknownService)?.clone();
    let service = node.split.borrow_mut().next(&rule);
    let keyed = config.services.get(&service).is_some_and(|s| s.keyed);
    let key = match (keyed, text(headers, &name::KEY)) {
        (true, Some(key)) => Some(key.trim().parse().map_err(|_| Code::MissingKey)?),
        // Requests of other routes may come without a key; any key does.
        (true, None) => Some(0),
        (false, _) => None,
    };
    let id = text(headers, &name::REQUEST_ID).unwrap_or("").into();
    let limit = deadline(headers).map_or(rule.timeout, |d| d.min(rule.timeout));
    Ok(Job { incoming, rule, service, key, id, until: incoming.came.after(limit) })
}

/// Serves a request.
pub(crate) async fn serve(node: &Rc<Node>, incoming: &Incoming) -> Answer {
    let Some(config) = node.config.borrow().clone() else {
        return refuse(node, incoming, "", Code::Starting);
    };
    let job = match job(node, &config, incoming) {
        Ok(job) => job,
        Err(code) => {
            let id = text(incoming.head.headers(), &name::REQUEST_ID).unwrap_or("");
            return refuse(node, incoming, id, code);
        }
    };
    node.budget.borrow_mut().count(incoming.came, &job.service);
    if let Some(key) = job.key {
        let mut keys = node.keys.borrow_mut();
        let count = keys.entry((job.service.clone(), key)).or_default();
        *count = count.saturating_add(1);
    }
    let answer = tries(node, &job).await;
    let took = node.now().since(incoming.came);
    note(node, &config, &job, &answer, took);
    node.metrics.answer(end_name(answer.status), took);
    answer
}

/// Writes the line of a finished request: what decided it and how it ended.
fn note(node: &Node, config: &Config, job: &Job<'_>, answer: &Answer, took: Span) {
    let kind = if answer.status.is_success() { "request served" } else { "request answered" };
    if !node.lines.allow(node.now(), kind) {
        return;
    }
    let text = |name: &HeaderName| {
        let value = answer.headers.iter().find(|(other, _)| other == name)?;
        value.1.to_str().ok()
    };
    let owners = node.owned().map(|o| o.version);
    log::info!(
        id = &*job.id, route = &*job.rule.name, service = &*job.service, key = job.key,
        status = answer.status.as_u16(), stamp = text(&name::STAMP), took_ms = took.as_millis(),
        config = config.version, owners, peers = node.peers.get();
        "{kind}"
    );
}

fn end_name(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "success",
        408 | 421 | 429 | 503 => "refused",
        502 | 504 => "unknown",
        400..=499 => "denied",
        _ => "failed",
    }
}

/// Sends a request until it has an answer or may not be sent again.
async fn tries(node: &Rc<Node>, job: &Job<'_>) -> Answer {
    let mut tries = Tries::new(&job.rule, job.until);
    let mut failed = None;
    let code = loop {
        let target = match admit::admit(node, job, &tries).await {
            Ok(target) => target,
            Err(denied) => break denied.code(),
        };
        let peers = node.peers.get();
        if tries.sends() > 0 && !node.budget.borrow_mut().take(node.now(), &job.service, peers) {
            break Code::RetryBudget;
        }
        let (end, code) = match send::send(node, job, &target).await {
            Sent::Answered(reply) if reply.head.status.is_server_error() => {
                failed = Some(reply);
                (End::Failed, Code::AnswerCut)
            }
            Sent::Answered(reply) => return pass(reply),
            Sent::NotRun => (End::NotRun, Code::TargetRefused),
            Sent::Misdirected => (End::Misdirected, Code::FenceRefused),
            Sent::Unreached => (End::Unreached, Code::ConnectFailed),
            Sent::Lost => (End::Lost, Code::AnswerCut),
            Sent::Late => (End::Lost, Code::OutcomeUnknown),
        };
        tries.ended(&target.life, end);
        if node.lines.allow(node.now(), "send not successful") {
            log::info!(
                id = &*job.id, target_id = &*target.life.id, end:debug, sends = tries.sends();
                "send not successful"
            );
        }
        if !tries.may_repeat(node.now()) {
            break code;
        }
    };
    match failed {
        Some(reply) => pass(reply),
        None => give_up(node, job, &tries, code),
    }
}

/// Makes the final answer for a request without one from a target.
fn give_up(node: &Node, job: &Job<'_>, tries: &Tries, code: Code) -> Answer {
    let code = tries.verdict(code);
    let held = node.now().since(job.incoming.came);
    if node.lines.allow(node.now(), "request not served") {
        log::info!(
            id = &*job.id, service = &*job.service, key = job.key, code:display, sends = tries.sends(),
            exposed = tries.is_exposed(), held_ms = held.as_millis();
            "request not served"
        );
    }
    answer(code, job.until.since(node.now()))
}

fn answer(code: Code, left: Span) -> Answer {
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let retry = (status == StatusCode::SERVICE_UNAVAILABLE).then(|| pause(left));
    Answer::refusal(status, retry)
}

/// Shortest and longest time after which a refused caller should come back.
const PAUSE_MIN: Span = Span::from_millis(50);
const PAUSE_MAX: Span = Span::from_millis(400);

/// Callers wait for at most a third of the time that they have left.
fn pause(left: Span) -> Span {
    left.scale(0.3).min(PAUSE_MAX).max(PAUSE_MIN)
}

fn refuse(node: &Node, incoming: &Incoming, id: &str, code: Code) -> Answer {
    if node.lines.allow(node.now(), "request refused") {
        log::info!(id, code:display, path = incoming.head.path(); "request refused");
    }
    node.metrics.answer("refused", node.now().since(incoming.came));
    answer(code, PAUSE_MAX)
}

/// Passes a target's answer on.
fn pass(reply: Reply) -> Answer {
    let own = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, name::KEEP_ALIVE, name::LOAD];
    let kept = reply.head.headers().iter().filter(|(name, _)| !own.contains(name));
    let headers = kept.map(|(name, value)| (name.clone(), value.clone())).collect();
    Answer { status: reply.head.status, headers, body: reply.body, retry: None }
}

impl Denied {
    fn code(self) -> Code {
        match self {
            Self::NoOwner => Code::NoOwner,
            Self::Full | Self::Crowded => Code::QueueFull,
            Self::NoTime => Code::DeadlineTooShort,
        }
    }
}
