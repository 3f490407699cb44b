//! Requests of the targets that this gateway keeps: queue, send, stream back.

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
        wire::{Answer, Head},
    },
    futures_util::{Stream, StreamExt, stream},
    std::{rc::Rc, sync::Arc, time::Duration},
};

const HOP_HEADERS: [&str; 9] = [
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

type Incoming = ClientResponse<actix_http::BoxedPayloadStream>;

/// An answer whose head has arrived.
pub(crate) struct Reply {
    /// The head.
    pub(crate) answer: Answer,
    /// The body.
    pub(crate) body: Body,
}

/// Copies the headers that are passed on.
pub(crate) fn pass(headers: &HeaderMap) -> Vec<(Arc<str>, Bytes)> {
    let passed = |name: &str| !HOP_HEADERS.contains(&name) && !name.starts_with("x-catkin-");
    let kept = headers.iter().filter(|(name, _)| passed(name.as_str()));
    kept.map(|(name, value)| (Arc::from(name.as_str()), Bytes::copy_from_slice(value.as_bytes()))).collect()
}

/// Queues a request for its target, sends it and returns the head of the
/// answer.
///
/// # Errors
///
/// A code of group 4 if the target did not run it, of group 5 if it may have.
pub(crate) async fn run(node: &Rc<Node>, head: Head, body: Body) -> Result<Reply, Error> {
    let Some((target, fence)) = lent(node, &head) else { return run_here(node, head, body).await };
    let keeper = node.state.borrow().keeper(&target).map(|row| row.vm.clone());
    let head = Head { slice: head.slice.map(|(slice, _)| (slice, fence)), target, ..head };
    match keeper {
        Some(vm) if vm == node.settings.vm => run_here(node, head, body).await,
        Some(vm) => {
            let addr = node.peer_addr(&vm);
            let addr =
                addr.ok_or_else(|| Error::new(Code::PeerUnreachable, format!("{vm} is not listed")))?;
            peer::forward(node, addr, head, body).await
        }
        None => Err(Error::new(Code::NoOwner, format!("{} has no keeper", head.target))),
    }
}

/// Returns the standby that serves the slice of a lost owner until the log
/// names it.
fn lent(node: &Node, head: &Head) -> Option<(TargetId, Fence)> {
    let (slice, _) = head.slice?;
    node.keeper.borrow().lent(&head.target, slice).cloned()
}

async fn run_here(node: &Rc<Node>, head: Head, body: Body) -> Result<Reply, Error> {
    let end = node.now().after(head.left);
    let mut permit = queue::enter(node, &head, end).await?;
    node.record_event(Kind::Sent { request: head.request.clone(), target: head.target.clone(), attempt: 1 });
    if let (Some((slice, _)), Some(key)) = (head.slice, &head.key) {
        node.slice_loads.borrow_mut().note(node.now(), &head.service, slice, key, 1.0);
    }
    // The lease may have ended while the request waited.
    node.keeper.borrow().admit(node.now(), &head.target, head.slice)?;
    let request = prepare(node, &head, end)?;
    let left = end.since(node.now()).as_duration();
    let sent = actix_rt::time::timeout(left, request.send_body(body.into_http())).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) => {
            permit.set(Outcome::Failed);
            return Err(send_error(&e));
        }
        Err(_) => {
            permit.set(Outcome::TimedOut);
            return Err(Error::new(Code::OutcomeUnknown, format!("{} did not answer in time", head.target)));
        }
    };
    if is_refusal(&answer) {
        permit.set(Outcome::Refused);
        return Err(Error::new(refusal(&answer), format!("{} refused the request", head.target)));
    }
    Ok(reply(node, &head, answer, permit))
}

fn prepare(node: &Node, head: &Head, end: Time) -> Result<ClientRequest, Error> {
    let addr = node
        .target_addr(&head.target)
        .ok_or_else(|| Error::new(Code::NoOwner, format!("{} is not in the VM list", head.target)))?;
    let method =
        head.method.parse::<actix_http::Method>().map_err(|e| Error::new(Code::BadRequest, e.to_string()))?;
    let mut request = node.request_client.request(method, format!("http://{addr}{}", head.path));
    for (name, value) in &head.headers {
        request = request.append_header((&**name, &**value));
    }
    let left = end.since(node.now()).as_millis();
    request = request
        .insert_header((header::REQUEST, head.request.as_str()))
        .insert_header((header::DEADLINE, left.to_string()));
    if let Some(key) = &head.key {
        request = request.insert_header((header::KEY, key.as_str()));
    }
    if let Some(operation) = &head.operation {
        request = request.insert_header((header::OPERATION, &**operation));
    }
    if let Some((slice, fence)) = head.slice {
        request = request
            .insert_header((header::SLICE, slice.to_string()))
            .insert_header((header::FENCE, fence.to_string()));
    }
    Ok(request)
}

fn send_error(error: &SendRequestError) -> Error {
    let code = match error {
        SendRequestError::Body(_) => Code::UploadCut,
        _ if catkin_net::is_unsent(error) => Code::ConnectFailed,
        _ => Code::OutcomeUnknown,
    };
    Error::new(code, error.to_string())
}

fn is_refusal(answer: &Incoming) -> bool {
    let outcome = answer.headers().get(header::OUTCOME);
    answer.status().as_u16() == 503 && outcome.is_some_and(|value| value == "not-run")
}

fn refusal(answer: &Incoming) -> Code {
    let code = answer.headers().get(header::CODE).and_then(|value| value.to_str().ok());
    match code.and_then(|text| text.parse().ok()).and_then(Code::from_number) {
        Some(code) if code == Code::FenceRefused => code,
        _ => Code::TargetRefused,
    }
}

fn reply(node: &Node, head: &Head, answer: Incoming, mut permit: Permit) -> Reply {
    let length = answer
        .headers()
        .get("content-length")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let answer_head = Answer {
        status: answer.status().as_u16(),
        headers: pass(answer.headers()),
        length,
        target: head.target.clone(),
        depth: node.queues.table.borrow().depth(&head.target),
        stamp: node.stamp(),
        fence: head.slice.map(|(_, fence)| fence),
    };
    let stall = node.settings.limits.stall.as_duration();
    if has_no_body(head, answer_head.status) {
        permit.set(Outcome::Ok);
        return Reply { answer: answer_head, body: Body::Whole(Bytes::new()) };
    }
    let parts = parts(answer, permit, stall).boxed_local();
    Reply { answer: answer_head, body: Body::Stream(length, parts) }
}

/// Returns whether an answer has no body, whatever length it announces.
fn has_no_body(head: &Head, status: u16) -> bool {
    &*head.method == "HEAD" || matches!(status, 204 | 304)
}

/// Reads the body of an answer. The permit is given back at its end.
fn parts(answer: Incoming, permit: Permit, stall: Duration) -> impl Stream<Item = Result<Bytes, Error>> {
    stream::unfold(Some((answer, permit)), move |state| async move {
        let (mut answer, mut permit) = state?;
        let cut = match actix_rt::time::timeout(stall, answer.next()).await {
            Ok(Some(Ok(bytes))) => return Some((Ok(bytes), Some((answer, permit)))),
            Ok(None) => {
                permit.set(Outcome::Ok);
                return None;
            }
            Ok(Some(Err(e))) => e.to_string(),
            Err(_) => format!("no progress for {stall:?}"),
        };
        permit.set(Outcome::Failed);
        Some((Err(Error::new(Code::AnswerCut, cut)), None))
    })
}
