//! Requests of callers: reading, retries and answers.

use {
    crate::{
        body::{self, Body},
        execute::{self, Reply},
        idempotency,
        node::Node,
        peer,
        route::{self, Count, Route},
    },
    actix_http::{
        Request, Response, StatusCode,
        body::BoxBody,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    bytes::Bytes,
    catkin::{
        Code, Error,
        api::header,
        config::Policy,
        event::Kind,
        intent::End,
        retry::{self, Budget, Decision, Failure, History},
        types::{Key, RequestId, Revision, Service, Span, Time},
        wire::{Class, Head},
    },
    catkin_net::Connections,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

const DEADLINE_MAX: Span = Span::from_secs(3_600);
const MOVE_POLL_MIN: Duration = Duration::from_millis(10);
const MOVE_POLL_MAX: Duration = Duration::from_millis(50);
/// First segments of the paths on which targets take commands and report. The
/// path of a caller is passed on with the service's name, so that no service
/// with one of these names can be served.
const TARGET_PATHS: [&str; 4] = ["lease", "load", "health", "drain"];

/// What a request of a caller asks for.
struct Ask {
    id: RequestId,
    service: Service,
    key: Option<Key>,
    operation: Option<Arc<str>>,
    class: Class,
    is_idempotent: bool,
    end: Time,
    method: Arc<str>,
    path: Arc<str>,
    headers: Vec<(Arc<str>, Bytes)>,
    policy: Policy,
}

/// Counts a request of a caller while it is in progress.
struct Open(Rc<Node>);

impl Open {
    fn new(node: &Rc<Node>) -> Self {
        node.metrics.open_requests.inc();
        Self(node.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

/// Serves callers until the listener fails.
///
/// # Errors
///
/// `Code::Internal` if the service can't be made.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) -> Result<(), Error> {
    let connections = Connections::new(node.settings.limits.connections);
    catkin_net::serve_limited(listener, connections, move |request| handle(node.clone(), request)).await
}

async fn handle(node: Rc<Node>, request: Request) -> Response<BoxBody> {
    let start = node.now();
    let id = node.next_request_id();
    let open = Open::new(&node);
    let result = run(&node, &id, request).await;
    let code = result.as_ref().map_or_else(|e| e.code(), |_| Code::Done);
    node.metrics.count_answer(code, node.now().since(start));
    match result {
        Ok(reply) => {
            let status = reply.answer.status;
            node.record_event(Kind::Answered {
                request: id.clone(),
                target: reply.answer.target.clone(),
                status,
            });
            answer(&id, reply, open)
        }
        Err(error) => {
            node.record_event(Kind::Refused { request: id.clone(), target: None, code: code.number() });
            refuse(&id, &error)
        }
    }
}

async fn run(node: &Rc<Node>, id: &RequestId, request: Request) -> Result<Reply, Error> {
    let (ask, body) = read(node, id, request).await?;
    let Some(key) = ask.operation.as_ref().filter(|_| !ask.is_idempotent) else {
        return send(node, &ask, body).await;
    };
    let mut guard = idempotency::register(node, &ask.service, key, ask.policy.log_down, ask.end).await?;
    let result = send(node, &ask, body).await;
    guard.set_end(match &result {
        Ok(_) => End::Ran,
        Err(error) if error.is_not_run() => End::NotRun,
        Err(_) => End::Unknown,
    });
    result
}

/// Sends a request until it is answered or must not be sent again.
async fn send(node: &Rc<Node>, ask: &Ask, mut body: Body) -> Result<Reply, Error> {
    let mut history = History::new(ask.is_idempotent, ask.end);
    let mut pause = MOVE_POLL_MIN;
    loop {
        let spare = body.copy();
        let error = match send_once(node, ask, body).await {
            Ok(reply) => {
                node.with_budget(&ask.service, &ask.policy, |budget| budget.succeed(node.now()));
                return Ok(reply);
            }
            Err(error) => error,
        };
        let Some(spare) = spare else { return Err(error) };
        if !is_moving(ask, &error) || node.now().after(Span::from(pause)) >= ask.end {
            settle(node, ask, &mut history, error)?;
        }
        node.metrics.count_retry();
        body = spare;
        actix_rt::time::sleep(pause).await;
        pause = MOVE_POLL_MAX.min(pause * 2);
    }
}

/// Returns whether no target was asked because the key or its keeper moves.
/// Waiting for the move puts no load on targets and needs no retry budget. The
/// owner of a key that can't be reached is about to lose it.
fn is_moving(ask: &Ask, error: &Error) -> bool {
    match error.code() {
        Code::NoOwner | Code::PeerUnreachable | Code::Leaving => true,
        Code::ConnectFailed => ask.key.is_some(),
        _ => false,
    }
}

/// Decides whether a failed request is sent again.
fn settle(node: &Node, ask: &Ask, history: &mut History, error: Error) -> Result<(), Error> {
    let failure = match error.code() {
        Code::TargetRefused | Code::FenceRefused => Failure::Refused(error),
        _ if error.is_not_run() => Failure::Unsent(error),
        _ => Failure::Lost(error),
    };
    let now = node.now();
    let decide = |budget: &mut Budget| retry::decide(now, &ask.policy, budget, history, failure);
    match node.with_budget(&ask.service, &ask.policy, decide) {
        Decision::Retry => Ok(()),
        Decision::Stop(error) => Err(error),
    }
}

async fn send_once(node: &Rc<Node>, ask: &Ask, body: Body) -> Result<Reply, Error> {
    let route = route::find(node, &ask.service, ask.key.as_ref())?;
    let mut count = Count::new(node, &ask.service, &route.target);
    let can_move = ask.is_idempotent && matches!(body, Body::Whole(_));
    let moved = route::moved(node, &ask.service, &route);
    let result = tokio::select! {
        result = send_to(node, ask, route.clone(), body) => result,
        () = moved, if can_move => Err(Error::new(Code::OutcomeUnknown, "the key or its keeper moved")),
    };
    match &result {
        Ok(reply) => route::hear(node, &ask.service, &reply.answer),
        Err(_) => count.set_fault(),
    }
    result
}

async fn send_to(node: &Rc<Node>, ask: &Ask, route: Route, body: Body) -> Result<Reply, Error> {
    let left = ask.end.since(node.now());
    let head = Head {
        request: ask.id.clone(),
        stamp: node.stamp(),
        service: ask.service.clone(),
        target: route.target,
        slice: route.slice,
        key: ask.key.clone(),
        operation: ask.operation.clone(),
        class: ask.class,
        idempotent: ask.is_idempotent,
        left,
        method: ask.method.clone(),
        path: ask.path.clone(),
        headers: ask.headers.clone(),
        length: body.length(),
    };
    if route.keeper == node.settings.vm {
        return execute::run(node, head, body).await;
    }
    let addr = node.peer_addr(&route.keeper).ok_or_else(|| {
        Error::new(Code::PeerUnreachable, format!("{} is not in the VM list", route.keeper))
    })?;
    let sent = peer::forward(node, addr, head, body);
    match actix_rt::time::timeout(left.as_duration(), sent).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::OutcomeUnknown, "no answer in time")),
    }
}

async fn read(node: &Node, id: &RequestId, mut request: Request) -> Result<(Ask, Body), Error> {
    check_path(request.path())?;
    let service = service(request.path())?;
    let current = node.state.borrow().config().clone();
    if current.revision == Revision::default() {
        return Err(Error::new(Code::Starting, "no configuration is in force"));
    }
    let entry = current
        .fleet
        .services
        .get(&service)
        .ok_or_else(|| Error::new(Code::UnknownService, format!("no service {service}")))?;
    let policy = current.fleet.policy(&service);
    let head = request.head();
    let key: Option<Key> =
        text(&head.headers, header::KEY)?.map(str::parse).transpose().map_err(bad_request)?;
    if entry.keyed && key.is_none() {
        return Err(Error::new(Code::MissingKey, format!("{service} needs the header {}", header::KEY)));
    }
    let operation = text(&head.headers, header::IDEMPOTENCY)?.map(Arc::from);
    let mut left = deadline(&head.headers, &policy)?;
    if entry.keyed && !entry.fenced {
        // Keys of a server that checks no fences move after this time.
        left = left.min(policy.deadline);
    }
    let (class, is_idempotent) = entry.route(head.method.as_str(), rest(head.uri.path()));
    let class = text(&head.headers, header::CLASS)?.map_or(Ok(class), parse_class)?;
    let mut ask = Ask {
        id: id.clone(),
        key: key.filter(|_| entry.keyed),
        operation,
        class,
        is_idempotent,
        end: node.now().after(left),
        method: head.method.as_str().into(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).into(),
        headers: execute::pass(&head.headers),
        service,
        policy,
    };
    node.record_event(Kind::Received {
        request: id.clone(),
        service: ask.service.clone(),
        class,
        key: ask.key.clone(),
    });
    let length = length(&head.headers)?;
    let payload = request.take_payload();
    let limits = &node.settings.limits;
    let body = body::read(payload, length, ask.policy.body_limit.min(limits.body), limits.buffer).await?;
    if body.length().is_none_or(|length| length >= ask.policy.long_size.as_bytes()) {
        ask.class = Class::Long;
    }
    Ok((ask, body))
}

fn bad_request(error: Error) -> Error {
    Error::new(Code::BadRequest, error.detail())
}

/// Refuses a path that leaves its service once a target normalizes it.
fn check_path(path: &str) -> Result<(), Error> {
    let plain = path.to_ascii_lowercase().replace("%2e", ".").replace("%2f", "/").replace("%5c", "\\");
    if plain.split(['/', '\\']).any(|segment| matches!(segment, "." | "..")) {
        return Err(Error::new(Code::BadRequest, "the path has a dot segment"));
    }
    Ok(())
}

fn service(path: &str) -> Result<Service, Error> {
    let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let unknown = || Error::new(Code::UnknownService, format!("no service {name:?}"));
    if TARGET_PATHS.contains(&name) {
        return Err(unknown());
    }
    name.parse().map_err(|_| unknown())
}

/// Returns the path after the service's name.
fn rest(path: &str) -> &str {
    let path = path.trim_start_matches('/');
    path.find('/').map_or("/", |at| &path[at..])
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Error> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| Error::new(Code::BadRequest, format!("{name} is not plain text")))
}

fn deadline(headers: &HeaderMap, policy: &Policy) -> Result<Span, Error> {
    let Some(text) = text(headers, header::DEADLINE)? else { return Ok(policy.deadline) };
    let millis: u64 = text.parse().unwrap_or_default();
    if millis == 0 || millis > DEADLINE_MAX.as_millis() {
        let detail = format!("{text:?}: allowed are 1 to {} ms", DEADLINE_MAX.as_millis());
        return Err(Error::new(Code::BadDeadline, detail));
    }
    Ok(Span::from_millis(millis))
}

fn parse_class(text: &str) -> Result<Class, Error> {
    match text {
        "short" => Ok(Class::Short),
        "long" => Ok(Class::Long),
        _ => Err(Error::new(Code::BadRequest, format!("{} is short or long, not {text:?}", header::CLASS))),
    }
}

/// Returns the length of a request's body; `None` if it is chunked.
fn length(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    if headers.contains_key("transfer-encoding") {
        return Ok(None);
    }
    let Some(text) = text(headers, "content-length")? else { return Ok(Some(0)) };
    text.parse().map(Some).map_err(|_| Error::new(Code::BadRequest, "content-length is not a number"))
}

fn answer(id: &RequestId, reply: Reply, open: Open) -> Response<BoxBody> {
    let status = StatusCode::from_u16(reply.answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &reply.answer.headers {
        builder.append_header((&**name, &**value));
    }
    builder
        .insert_header((header::REQUEST, id.as_str()))
        .insert_header((header::SERVER, reply.answer.target.as_str()))
        .insert_header((header::CODE, Code::Done.number().to_string()))
        .insert_header((header::OUTCOME, Code::Done.outcome().as_str()));
    if let Some(fence) = reply.answer.fence {
        builder.insert_header((header::FENCE, fence.to_string()));
    }
    builder.body(reply.body.with_guard(open).into_http()).map_into_boxed_body()
}

fn refuse(id: &RequestId, error: &Error) -> Response<BoxBody> {
    let code = error.code();
    let body = serde_json::json!({ "code": code.number(), "name": code.name(), "detail": error.detail() });
    let mut response = catkin_net::reply_json(code.status(), &body);
    let texts = [
        (header::REQUEST, id.to_string()),
        (header::CODE, code.number().to_string()),
        (header::OUTCOME, code.outcome().as_str().to_owned()),
    ];
    for (name, value) in texts {
        let value = HeaderValue::from_str(&value).expect("ids and numbers are plain text");
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
    response
}
