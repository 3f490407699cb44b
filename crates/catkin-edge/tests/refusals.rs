//! Refusals of targets that must not be taken for a promise that a request did
//! not run.

mod common;

use {
    actix_http::Method,
    bytes::Bytes,
    catkin_standin::users::{Config, Route, put_config},
    common::{
        Fleet, Response, plan, send,
        target::{Received, Reply, ScriptedTarget},
    },
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Service of the scripted target.
const SERVICE: &str = "scripted";

const REFUSED: &str = "503 Service Unavailable";

const NOT_RUN: &str = "x-not-run: 1\r\n";

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts a process whose orders to `/scripted/` go to one scripted target.
async fn start() -> (Fleet, ScriptedTarget) {
    let fleet = Fleet::start(1).await;
    let target = ScriptedTarget::start(&fleet, "a", SERVICE).await;
    let Config { mut routes, mut services, .. } = plan(2);
    routes.push(Route {
        prefix: "/scripted/",
        kind: "non_idempotent",
        priority: 1,
        split: vec![(SERVICE, 1)],
    });
    services.push((SERVICE, false));
    put_config(&fleet.store, &Config { routes, services, ..plan(2) });
    sleep(1_900).await;
    (fleet, target)
}

async fn order(fleet: &Fleet) -> Option<Response> {
    let id = fleet.id();
    let body = vec![Bytes::from_static(b"order")];
    let response = send(&fleet.edges[0], Method::POST, "/scripted/x", &id, None, body).await;
    match response {
        // The scripted target answers with an empty body.
        Some(response) if response.status == 200 => Some(response),
        response => fleet.check_response(&id, response, true),
    }
}

/// A target refuses an order, gets it again on the same connection, repeats its
/// refusal and runs the order. Both refusals have the id of the order, so its
/// caller was told that it did not run.
#[actix_rt::test]
async fn repeated_refusal_does_not_answer_the_next_attempt() {
    let (fleet, target) = start().await;
    let checker = fleet.checker.clone();
    let (mut seen, mut last) = (HashSet::new(), HashMap::new());
    target.set_script(move |request: &Received| {
        let copy = last.remove(&request.conn);
        if seen.insert(request.id.clone()) {
            let refusal = request.answer(REFUSED, NOT_RUN);
            last.insert(request.conn, refusal.clone());
            return refusal.into();
        }
        checker.record_run(&request.id, true);
        Reply { early: copy.unwrap_or_default(), delay: Duration::from_millis(20), answer: request.accept() }
    });
    let mut served = 0;
    for _ in 0..6 {
        served += u32::from(order(&fleet).await.is_some_and(|response| response.status == 200));
    }
    fleet.check();
    assert!(served > 0);
}

/// A target writes bytes behind a complete answer that look like a refusal and
/// name no request. On a connection that is used again they may be all that
/// came before the order runs.
#[actix_rt::test]
async fn nameless_refusal_on_a_used_connection_promises_nothing() {
    let (fleet, target) = start().await;
    let checker = fleet.checker.clone();
    target.set_script(move |request: &Received| {
        checker.record_run(&request.id, true);
        let early = match request.index {
            0 => String::new(),
            _ => format!("HTTP/1.1 {REFUSED}\r\n{NOT_RUN}content-length: 0\r\n\r\n"),
        };
        Reply { early, delay: Duration::from_millis(20), answer: request.accept() }
    });
    for _ in 0..6 {
        order(&fleet).await;
    }
    fleet.check();
    assert!(target.received().iter().any(|request| request.index > 0), "no connection was used again");
}

/// A target runs an order and answers with a status that would tell the caller
/// that it did not run. Only `x-not-run` says that.
#[actix_rt::test]
async fn unmarked_refusal_promises_nothing() {
    let (fleet, target) = start().await;
    for status in [REFUSED, "429 Too Many Requests", "408 Request Timeout"] {
        let checker = fleet.checker.clone();
        target.set_script(move |request: &Received| {
            checker.record_run(&request.id, true);
            request.answer(status, "x-server-stamp: s\r\n").into()
        });
        for _ in 0..3 {
            order(&fleet).await;
        }
    }
    fleet.check();
}
