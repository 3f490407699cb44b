//! Requests to the targets that this gateway keeps: queueing, sending and
//! streaming the answer.

use {
    crate::{
        body::Body,
        node::Node,
        peer,
        queue::{self, Permit},
    },
    actix_http::header::HeaderMap,
    awc::{ClientRequest, ClientResponse, error::SendRequestError},
    bytes::Bytes,
    catkin::{
        Code, Error,
        api::header,
        dispatch::Outcome,
        event::Kind,
        types::{Fence, TargetId, Time},
        wire::{Answer, RequestHead},
    },
    futures_util::{Stream, StreamExt, stream},
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Headers that are not forwarded: those of one connection (RFC 9110, section
/// 7.6.1) and the length, which is set anew.
const UNFORWARDED_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

type TargetAnswer = ClientResponse<actix_http::BoxedPayloadStream>;

/// An answer whose head has arrived.
pub(crate) struct StreamedAnswer {
    /// Head of the answer.
    pub(crate) head: Answer,
    /// Body, which may still be arriving.
    pub(crate) body: Body,
}

/// Copies the headers that are forwarded: all but `UNFORWARDED_HEADERS` and those
/// of this system.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<(Arc<str>, Bytes)> {
    let is_forwarded = |name: &str| !UNFORWARDED_HEADERS.contains(&name) && !name.starts_with("x-catkin-");
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name.as_str()));
    forwarded
        .map(|(name, value)| (Arc::from(name.as_str()), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

/// Queues a request for its target, sends it and returns the head of the
/// answer.
///
/// # Errors
///
/// A code 4xx if the target did not run it, a code 5xx if it may have run.
pub(crate) async fn run(node: &Rc<Node>, head: RequestHead, body: Body) -> Result<StreamedAnswer, Error> {
    let Some((target, fence)) = find_standby(node, &head) else { return run_local(node, head, body).await };
    let keeper = node.state.borrow().keeper(&target).map(|row| row.vm.clone());
    let head = RequestHead { slice: head.slice.map(|(slice, _)| (slice, fence)), target, ..head };
    match keeper {
        Some(vm) if vm == node.settings.vm => run_local(node, head, body).await,
        Some(vm) => {
            let addr = node.peer_addr(&vm);
            let addr =
                addr.ok_or_else(|| Error::new(Code::PeerUnreachable, format!("{vm} is not in the VM list")))?;
            peer::forward(node, addr, head, body).await
        }
        None => Err(Error::new(Code::NoOwner, format!("{} has no keeper", head.target))),
    }
}

/// Returns the standby that serves the slice of an unreachable owner, with its
/// fence, until the log names the standby as owner.
fn find_standby(node: &Node, head: &RequestHead) -> Option<(TargetId, Fence)> {
    let (slice, _) = head.slice?;
    node.keeper.borrow().provisional_standby(&head.target, slice).cloned()
}

async fn run_local(node: &Rc<Node>, head: RequestHead, body: Body) -> Result<StreamedAnswer, Error> {
    let deadline = node.now().after(head.time_left);
    let mut permit = queue::acquire(node, &head, deadline).await?;
    node.record_event(Kind::Sent { request: head.request.clone(), target: head.target.clone(), attempt: 1 });
    if let (Some((slice, _)), Some(key)) = (head.slice, &head.key) {
        node.slice_loads.borrow_mut().record(node.now(), &head.service, slice, key, 1.0);
    }
    // The lease may have expired while the request was queued.
    node.keeper.borrow().admit(node.now(), &head.target, head.slice)?;
    let request = build_request(node, &head, deadline)?;
    let left = deadline.since(node.now()).as_duration();
    let sent = actix_rt::time::timeout(left, request.send_body(body.into_http())).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => {
            permit.set_outcome(Outcome::Failed);
            return Err(map_send_error(&e));
        }
        Err(_) => {
            permit.set_outcome(Outcome::TimedOut);
            return Err(Error::new(
                Code::OutcomeUnknown,
                format!("{} did not answer before the deadline", head.target),
            ));
        }
    };
    if is_refusal(&answer) {
        permit.set_outcome(Outcome::Refused);
        return Err(Error::new(refusal_code(&answer), format!("{} refused the request", head.target)));
    }
    Ok(build_streamed_answer(node, &head, answer, permit))
}

fn build_request(node: &Node, head: &RequestHead, deadline: Time) -> Result<ClientRequest, Error> {
    let addr = node
        .target_addr(&head.target)
        .ok_or_else(|| Error::new(Code::NoOwner, format!("{} is not in the VM list", head.target)))?;
    let method =
        head.method.parse::<actix_http::Method>().map_err(|e| Error::new(Code::BadRequest, e.to_string()))?;
    let mut request = node.request_client.request(method, format!("http://{addr}{}", head.path));
    for (name, value) in &head.headers {
        request = request.append_header((&**name, &**value));
    }
    let left = deadline.since(node.now()).as_millis();
    request = request
        .insert_header((header::REQUEST, head.request.as_str()))
        .insert_header((header::DEADLINE, left.to_string()));
    if let Some(key) = &head.key {
        request = request.insert_header((header::KEY, key.as_str()));
    }
    if let Some(idempotency_key) = &head.idempotency_key {
        request = request.insert_header((header::OPERATION, &**idempotency_key));
    }
    if let Some((slice, fence)) = head.slice {
        request = request
            .insert_header((header::SLICE, slice.to_string()))
            .insert_header((header::FENCE, fence.to_string()));
    }
    Ok(request)
}

fn map_send_error(error: &SendRequestError) -> Error {
    let code = match error {
        SendRequestError::Body(_) => Code::UploadCut,
        _ if catkin_net::is_unsent(error) => Code::ConnectFailed,
        _ => Code::OutcomeUnknown,
    };
    Error::new(code, error.to_string())
}

fn is_refusal(answer: &TargetAnswer) -> bool {
    let outcome = answer.headers().get(header::OUTCOME);
    answer.status().as_u16() == 503 && outcome.is_some_and(|value| value == "not-run")
}

fn refusal_code(answer: &TargetAnswer) -> Code {
    let code = answer.headers().get(header::CODE).and_then(|value| value.to_str().ok());
    match code.and_then(|text| text.parse().ok()).and_then(Code::from_number) {
        Some(code) if code == Code::FenceRefused => code,
        _ => Code::TargetRefused,
    }
}

/// Builds the answer to forward. The permit is dropped, which frees the slot,
/// when the body ends.
fn build_streamed_answer(
    node: &Node,
    head: &RequestHead,
    answer: TargetAnswer,
    mut permit: Permit,
) -> StreamedAnswer {
    let length = answer
        .headers()
        .get("content-length")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let answer_head = Answer {
        status: answer.status().as_u16(),
        headers: forwarded_headers(answer.headers()),
        length,
        target: head.target.clone(),
        depth: node.queues.dispatcher.borrow().job_count(&head.target),
        stamp: node.stamp(),
        fence: head.slice.map(|(_, fence)| fence),
    };
    let stall = node.settings.limits.stall.as_duration();
    if has_no_body(head, answer_head.status) {
        permit.set_outcome(Outcome::Ok);
        return StreamedAnswer { head: answer_head, body: Body::Buffered(Bytes::new()) };
    }
    let parts = read_parts(answer, permit, stall).boxed_local();
    StreamedAnswer { head: answer_head, body: Body::Streamed(length, parts) }
}

/// Returns whether an answer has no body, whatever its `content-length` says.
fn has_no_body(head: &RequestHead, status: u16) -> bool {
    &*head.method == "HEAD" || matches!(status, 204 | 304)
}

/// Reads the body of an answer and drops the permit at its end. A pause of
/// `stall` between two parts truncates the body.
fn read_parts(
    answer: TargetAnswer,
    permit: Permit,
    stall: Duration,
) -> impl Stream<Item = Result<Bytes, Error>> {
    stream::unfold(Some((answer, permit)), move |state| async move {
        let (mut answer, mut permit) = state?;
        let detail = match actix_rt::time::timeout(stall, answer.next()).await {
            Ok(Some(Ok(bytes))) => return Some((Ok(bytes), Some((answer, permit)))),
            Ok(None) => {
                permit.set_outcome(Outcome::Ok);
                return None;
            }
            Ok(Some(Err(e))) => e.to_string(),
            Err(_) => format!("no data from the target for {stall:?}"),
        };
        permit.set_outcome(Outcome::Failed);
        Some((Err(Error::new(Code::AnswerCut, detail)), None))
    })
}
