//! Requests of callers: parsing, retries and answers.

use {
    crate::{
        body::{self, Body},
        execute::{self, StreamedAnswer},
        idempotency,
        node::Node,
        peer,
        route::{self, Attempt, Route},
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
        intent::RequestEnd,
        retry::{self, Budget, Decision, Failure, History},
        types::{Key, RequestId, Revision, Service, Span, Time},
        wire::{Class, RequestHead},
    },
    catkin_net::Connections,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

const DEADLINE_MAX: Span = Span::from_secs(3_600);
/// Bounds of the pause between two attempts, which doubles each time.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(10);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(50);
/// First segments of the paths on which targets accept commands and report
/// their state. A caller's path is forwarded with the service's name in front,
/// so a service with one of these names can't be served.
const RESERVED_SERVICES: [&str; 4] = ["lease", "load", "health", "drain"];

/// Request of a caller without its body.
struct Call {
    id: RequestId,
    service: Service,
    key: Option<Key>,
    idempotency_key: Option<Arc<str>>,
    class: Class,
    is_idempotent: bool,
    deadline: Time,
    method: Arc<str>,
    path: Arc<str>,
    headers: Vec<(Arc<str>, Bytes)>,
    policy: Policy,
}

/// Counts a request of a caller while it is in progress.
struct OpenRequest(Rc<Node>);

impl OpenRequest {
    fn new(node: &Rc<Node>) -> Self {
        node.metrics.open_requests.inc();
        Self(node.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

/// Serves callers until the listener fails.
///
/// # Errors
///
/// `Code::Internal` if the HTTP service can't be created.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) -> Result<(), Error> {
    let connections = Connections::new(node.settings.limits.connections);
    catkin_net::serve_limited(listener, connections, move |request| handle(node.clone(), request)).await
}

async fn handle(node: Rc<Node>, request: Request) -> Response<BoxBody> {
    let start = node.now();
    let id = node.next_request_id();
    let open = OpenRequest::new(&node);
    let result = process(&node, &id, request).await;
    let code = result.as_ref().map_or_else(|e| e.code(), |_| Code::Done);
    node.metrics.count_answer(code, node.now().since(start));
    match result {
        Ok(answer) => {
            let status = answer.head.status;
            node.record_event(Kind::Answered {
                request: id.clone(),
                target: answer.head.target.clone(),
                status,
            });
            build_answer(&id, answer, open)
        }
        Err(error) => {
            node.record_event(Kind::Refused { request: id.clone(), target: None, code: code.number() });
            build_refusal(&id, &error)
        }
    }
}

/// Sends a request. One that is not idempotent and has an idempotency key is
/// registered first.
async fn process(node: &Rc<Node>, id: &RequestId, request: Request) -> Result<StreamedAnswer, Error> {
    let (call, body) = read_call(node, id, request).await?;
    let Some(idempotency_key) = call.idempotency_key.as_ref().filter(|_| !call.is_idempotent) else {
        return send(node, &call, body).await;
    };
    let mut guard =
        idempotency::register(node, &call.service, idempotency_key, call.policy.log_down, call.deadline)
            .await?;
    let result = send(node, &call, body).await;
    guard.set_end(match &result {
        Ok(_) => RequestEnd::Ran,
        Err(error) if error.is_not_run() => RequestEnd::NotRun,
        Err(_) => RequestEnd::Unknown,
    });
    result
}

/// Makes attempts until the request is answered or must not be retried.
async fn send(node: &Rc<Node>, call: &Call, mut body: Body) -> Result<StreamedAnswer, Error> {
    let mut history = History::new(call.is_idempotent, call.deadline);
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        let copy = body.try_clone();
        let error = match make_attempt(node, call, body).await {
            Ok(answer) => {
                node.with_budget(&call.service, &call.policy, |budget| budget.count_success(node.now()));
                return Ok(answer);
            }
            Err(error) => error,
        };
        let Some(copy) = copy else { return Err(error) };
        if !is_temporary(call, &error) || node.now().after(Span::from(pause)) >= call.deadline {
            check_retry(node, call, &mut history, error)?;
        }
        node.metrics.count_retry();
        body = copy;
        actix_rt::time::sleep(pause).await;
        pause = RETRY_PAUSE_MAX.min(pause * 2);
    }
}

/// Returns whether the attempt failed before a target got the request, for a
/// reason that usually ends by itself: no owner, keeper unreachable, target
/// leaving or moved to another keeper, or, for a keyed request, a connection to
/// the owner that failed (the owner is then replaced). Waiting puts no load on
/// targets and needs no retry budget.
fn is_temporary(call: &Call, error: &Error) -> bool {
    match error.code() {
        Code::NoOwner | Code::PeerUnreachable | Code::Leaving => true,
        Code::ConnectFailed => call.key.is_some(),
        _ => false,
    }
}

/// Returns `Ok` if a request may be retried after a failed attempt, else the
/// error for the caller.
fn check_retry(node: &Node, call: &Call, history: &mut History, error: Error) -> Result<(), Error> {
    let failure = match error.code() {
        Code::TargetRefused | Code::FenceRefused => Failure::Refused(error),
        _ if error.is_not_run() => Failure::Unsent(error),
        _ => Failure::MayHaveRun(error),
    };
    let now = node.now();
    let decide = |budget: &mut Budget| retry::decide(now, &call.policy, budget, history, failure);
    match node.with_budget(&call.service, &call.policy, decide) {
        Decision::Retry => Ok(()),
        Decision::Stop(error) => Err(error),
    }
}

/// Chooses a route and makes one attempt. The attempt ends early if the key or
/// its keeper moves and the request can be sent again.
async fn make_attempt(node: &Rc<Node>, call: &Call, body: Body) -> Result<StreamedAnswer, Error> {
    let route = route::find_route(node, &call.service, call.key.as_ref())?;
    let mut attempt = Attempt::new(node, &call.service, &route.target);
    let can_resend = call.is_idempotent && matches!(body, Body::Buffered(_));
    let moved = route::wait_moved(node, &call.service, &route);
    let result = tokio::select! {
        result = send_on_route(node, call, route.clone(), body) => result,
        () = moved, if can_resend => Err(Error::new(Code::OutcomeUnknown, "the key or its keeper moved")),
    };
    match &result {
        Ok(answer) => route::update_load(node, &call.service, &answer.head),
        Err(_) => attempt.set_failed(),
    }
    result
}

async fn send_on_route(
    node: &Rc<Node>,
    call: &Call,
    route: Route,
    body: Body,
) -> Result<StreamedAnswer, Error> {
    let time_left = call.deadline.since(node.now());
    let head = RequestHead {
        request: call.id.clone(),
        stamp: node.stamp(),
        service: call.service.clone(),
        target: route.target,
        slice: route.slice,
        key: call.key.clone(),
        idempotency_key: call.idempotency_key.clone(),
        class: call.class,
        idempotent: call.is_idempotent,
        time_left,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        length: body.length(),
    };
    if route.keeper == node.settings.vm {
        return execute::run(node, head, body).await;
    }
    let addr = node.peer_addr(&route.keeper).ok_or_else(|| {
        Error::new(Code::PeerUnreachable, format!("{} is not in the VM list", route.keeper))
    })?;
    let sent = peer::forward(node, addr, head, body);
    match actix_rt::time::timeout(time_left.as_duration(), sent).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::OutcomeUnknown, "no answer before the deadline")),
    }
}

/// Parses the head of a request, checks it against the configuration and reads
/// the body.
async fn read_call(node: &Node, id: &RequestId, mut request: Request) -> Result<(Call, Body), Error> {
    check_path(request.path())?;
    let service = parse_service(request.path())?;
    let config = node.state.borrow().config().clone();
    if config.revision == Revision::default() {
        return Err(Error::new(Code::Starting, "no configuration is in force yet"));
    }
    let entry = config
        .fleet
        .services
        .get(&service)
        .ok_or_else(|| Error::new(Code::UnknownService, format!("unknown service {service}")))?;
    let policy = config.fleet.policy(&service);
    let head = request.head();
    let key: Option<Key> =
        header_text(&head.headers, header::KEY)?.map(str::parse).transpose().map_err(bad_request)?;
    if entry.keyed && key.is_none() {
        return Err(Error::new(Code::MissingKey, format!("{service} requires the header {}", header::KEY)));
    }
    let idempotency_key = header_text(&head.headers, header::IDEMPOTENCY)?.map(Arc::from);
    let mut left = parse_deadline(&head.headers, &policy)?;
    if entry.keyed && !entry.fenced {
        // A slice whose owner checks no fences moves only after
        // `policy.deadline`, so no request may run longer than that.
        left = left.min(policy.deadline);
    }
    let (class, is_idempotent) = entry.route(head.method.as_str(), path_in_service(head.uri.path()));
    let class = header_text(&head.headers, header::CLASS)?.map_or(Ok(class), parse_class)?;
    let mut call = Call {
        id: id.clone(),
        key: key.filter(|_| entry.keyed),
        idempotency_key,
        class,
        is_idempotent,
        deadline: node.now().after(left),
        method: head.method.as_str().into(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).into(),
        headers: execute::forwarded_headers(&head.headers),
        service,
        policy,
    };
    node.record_event(Kind::Received {
        request: id.clone(),
        service: call.service.clone(),
        class,
        key: call.key.clone(),
    });
    let length = content_length(&head.headers)?;
    let payload = request.take_payload();
    let limits = &node.settings.limits;
    let body = body::read(payload, length, call.policy.body_limit.min(limits.body), limits.buffer).await?;
    if body.length().is_none_or(|length| length >= call.policy.long_size.as_bytes()) {
        call.class = Class::Long;
    }
    Ok((call, body))
}

fn bad_request(error: Error) -> Error {
    Error::new(Code::BadRequest, error.detail())
}

/// Refuses a path with dot segments, also encoded ones: it could leave its
/// service when a target normalizes it.
fn check_path(path: &str) -> Result<(), Error> {
    let decoded = path.to_ascii_lowercase().replace("%2e", ".").replace("%2f", "/").replace("%5c", "\\");
    if decoded.split(['/', '\\']).any(|segment| matches!(segment, "." | "..")) {
        return Err(Error::new(Code::BadRequest, "the path contains a dot segment"));
    }
    Ok(())
}

/// Returns the service that the first segment of a path names.
fn parse_service(path: &str) -> Result<Service, Error> {
    let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let unknown = || Error::new(Code::UnknownService, format!("unknown service {name:?}"));
    if RESERVED_SERVICES.contains(&name) {
        return Err(unknown());
    }
    name.parse().map_err(|_| unknown())
}

/// Returns the path after the service's name.
fn path_in_service(path: &str) -> &str {
    let path = path.trim_start_matches('/');
    path.find('/').map_or("/", |at| &path[at..])
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Error> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value
        .to_str()
        .map(Some)
        .map_err(|_| Error::new(Code::BadRequest, format!("the header {name} is not ASCII text")))
}

fn parse_deadline(headers: &HeaderMap, policy: &Policy) -> Result<Span, Error> {
    let Some(text) = header_text(headers, header::DEADLINE)? else { return Ok(policy.deadline) };
    let millis: u64 = text.parse().unwrap_or_default();
    if millis == 0 || millis > DEADLINE_MAX.as_millis() {
        let detail = format!("the deadline {text:?} is not within 1 to {} ms", DEADLINE_MAX.as_millis());
        return Err(Error::new(Code::BadDeadline, detail));
    }
    Ok(Span::from_millis(millis))
}

fn parse_class(text: &str) -> Result<Class, Error> {
    match text {
        "short" => Ok(Class::Short),
        "long" => Ok(Class::Long),
        _ => Err(Error::new(
            Code::BadRequest,
            format!("{} must be short or long, got {text:?}", header::CLASS),
        )),
    }
}

/// Returns the length of a request's body; `None` if it is chunked.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    if headers.contains_key("transfer-encoding") {
        return Ok(None);
    }
    let Some(text) = header_text(headers, "content-length")? else { return Ok(Some(0)) };
    text.parse().map(Some).map_err(|_| Error::new(Code::BadRequest, "content-length is not a number"))
}

fn build_answer(id: &RequestId, answer: StreamedAnswer, open: OpenRequest) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for (name, value) in &answer.head.headers {
        builder.append_header((&**name, &**value));
    }
    builder
        .insert_header((header::REQUEST, id.as_str()))
        .insert_header((header::TARGET, answer.head.target.as_str()))
        .insert_header((header::CODE, Code::Done.number().to_string()))
        .insert_header((header::OUTCOME, Code::Done.outcome().as_str()));
    if let Some(fence) = answer.head.fence {
        builder.insert_header((header::FENCE, fence.to_string()));
    }
    builder.body(answer.body.with_guard(open).into_http()).map_into_boxed_body()
}

fn build_refusal(id: &RequestId, error: &Error) -> Response<BoxBody> {
    let code = error.code();
    let body = serde_json::json!({ "code": code.number(), "name": code.name(), "detail": error.detail() });
    let mut response = catkin_net::reply_json(code.status(), &body);
    let texts = [
        (header::REQUEST, id.to_string()),
        (header::CODE, code.number().to_string()),
        (header::OUTCOME, code.outcome().as_str().to_owned()),
    ];
    for (name, value) in texts {
        let value = HeaderValue::from_str(&value).expect("ids and numbers are valid header values");
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
    response
}
