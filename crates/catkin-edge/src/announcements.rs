//! What targets announce in the heads of their answers: that they leave, that
//! they want no requests for a while, and how many they take at most.

use {
    crate::{attempt::header_text, node::Node, silence},
    actix_http::{
        ResponseHead, StatusCode,
        header::{DATE, HeaderName, RETRY_AFTER},
    },
    catkin::types::Time,
    catkin_platform::name,
    catkin_route::{directory::Incarnation, rate::RequestRate},
};

/// Returns whether an answer comes from an incarnation. Another target that has
/// its address refuses the request as misdirected, with its own id.
fn is_from(head: &ResponseHead, incarnation: &Incarnation) -> bool {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return names(head, incarnation);
    }
    head.headers().contains_key(name::STAMP) || head.headers().contains_key(name::NOT_RUN)
}

/// Returns whether an answer names the target of an incarnation.
pub(crate) fn names(head: &ResponseHead, incarnation: &Incarnation) -> bool {
    header_text(head, &name::INSTANCE) == Some(&*incarnation.id)
}

/// Returns whether an answer says that its target leaves.
pub(crate) fn says_leaving(head: &ResponseHead) -> bool {
    header_text(head, &name::LEAVING).is_some_and(|value| value.trim() == "1")
}

/// Notes what a target announces in an answer to a request that was sent at a
/// time.
pub(crate) fn note(node: &Node, incarnation: &Incarnation, head: &ResponseHead, sent_at: Time) {
    if is_from(head, incarnation) {
        note_leaving(node, incarnation, head);
        note_pause(node, incarnation, head, sent_at);
        note_limit(node, incarnation, head, sent_at);
    }
}

/// Notes whether a target says in the answer to a command that it leaves. Another
/// target that has its address refuses the command as misdirected.
pub(crate) fn note_command(node: &Node, incarnation: &Incarnation, head: &ResponseHead) {
    silence::note_heard(node, incarnation);
    if head.status != StatusCode::MISDIRECTED_REQUEST || names(head, incarnation) {
        note_leaving(node, incarnation, head);
    }
}

/// Notes that a target says that it leaves.
fn note_leaving(node: &Node, incarnation: &Incarnation, head: &ResponseHead) {
    if !says_leaving(head) {
        return;
    }
    if node.directory.borrow_mut().announce_leaving(node.now(), incarnation) {
        log::info!(target_id = &*incarnation.id; "target leaves");
        node.waiters.notify_all();
    }
}

/// Notes whether a target that turns a request away asks for a pause.
fn note_pause(node: &Node, incarnation: &Incarnation, head: &ResponseHead, sent_at: Time) {
    let date = header_text(head, &DATE);
    let span = header_text(head, &RETRY_AFTER)
        .filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE)
        .and_then(|text| name::parse_retry_after(text, date));
    let is_refusal = head.headers().contains_key(name::NOT_RUN);
    if span.is_none() && is_refusal {
        return;
    }
    node.loads.borrow_mut().observe_pause(node.now(), incarnation, span, sent_at);
    if let Some(span) = span
        && node.log_limiter.allow(node.now(), "target wants no requests")
    {
        log::info!(target_id = &*incarnation.id, rest_ms = span.as_millis(); "target wants no requests");
    }
}

/// Notes the limit that a target names in an answer. A refusal need not repeat
/// it.
fn note_limit(node: &Node, incarnation: &Incarnation, head: &ResponseHead, sent_at: Time) {
    let has = |header: &HeaderName| head.headers().contains_key(header);
    if !has(&name::STAMP) && !has(&name::LIMIT) {
        return;
    }
    let limit = header_text(head, &name::LIMIT).map(str::parse::<RequestRate>);
    let limit = match limit.transpose() {
        Ok(limit) => limit,
        Err(error) => {
            if node.log_limiter.allow(node.now(), "invalid limit ignored") {
                log::info!(target_id = &*incarnation.id, error:display; "invalid limit ignored");
            }
            return;
        }
    };
    if node.loads.borrow_mut().observe_limit(node.now(), incarnation, limit, sent_at) {
        let limit = limit.map(|limit| limit.to_string());
        log::info!(target_id = &*incarnation.id, limit; "limit of a target changed");
    }
}
