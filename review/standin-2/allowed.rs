//! Lookups that HTTP/1.1 allows beside the plain ones: HEAD, those that name a version
//! which the client has already, and those of clients that offer another protocol.

use {
    crate::{Call, Fleet, Outcome, has_trouble, record::Record, target::Special},
    std::{
        path::Path,
        thread,
        time::{Duration, Instant},
    },
};

/// Time-out of the route, and the time after it in which the rule asks for a final
/// answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(500);

/// Time for which the clients wait, and the deadline that they send.
const CLIENT_WAIT: Duration = Duration::from_secs(8);

/// Requests of each kind.
const REQUESTS: usize = 20;

const TAG: &str = "\"v7\"";
const SHEET: &str = "the plan of a gallery";

/// Returns the answer of a server that keeps its connections open.
fn answer(method: &str, id: &str, tag: &str) -> String {
    let head = format!("x-request-id: {id}\r\nx-server-stamp: s\r\netag: {TAG}\r\n");
    let length = SHEET.len();
    match (method, tag) {
        // The length of a body that is not sent may be left out.
        ("HEAD", _) => format!("HTTP/1.1 200 OK\r\n{head}\r\n"),
        // It may be told as well.
        (_, TAG) => format!("HTTP/1.1 304 Not Modified\r\n{head}content-length: {length}\r\n\r\n"),
        _ => format!("HTTP/1.1 200 OK\r\n{head}content-length: {length}\r\n\r\n{SHEET}"),
    }
}

pub fn run(scratch: &Path, record: &Record) -> Outcome {
    let Some(fleet) = Fleet::start(scratch, record, 2) else { return Outcome::NotRun };
    for target in fleet.of_service("planoteca") {
        target.set_script(|request| {
            let id = request.header("x-request-id");
            Special::Keep(answer(&request.method, id, request.header("if-none-match")).into_bytes())
        });
    }
    // The machines are in touch after this time without a disruption.
    thread::sleep(Duration::from_millis(3_500));
    let tag = [("If-None-Match", TAG)];
    let offer = [("Connection", "upgrade"), ("Upgrade", "websocket")];
    let mut kinds = vec![("plain", "GET", &[][..])];
    if has_trouble() {
        kinds.push(("head", "HEAD", &[][..]));
        kinds.push(("conditional", "GET", &tag[..]));
        kinds.push(("offer", "GET", &offer[..]));
    }
    let mut clients = Vec::new();
    for i in 0..REQUESTS {
        for &(kind, method, headers) in &kinds {
            let (addr, record) = (fleet.edges[i % 2].callers, record.clone());
            let headers: Vec<(&'static str, &'static str)> = headers.to_vec();
            clients.push(thread::spawn(move || {
                let id = format!("{kind}-{i}");
                let deadline_ms = CLIENT_WAIT.as_millis() as u64;
                let key = Some((i * 3_000) as u16);
                let call =
                    Call { method, path: "/sheets/1", id, deadline_ms, key, headers: &headers, body: b"" };
                record.write(&format!("sent {}", call.id));
                let sent_at = Instant::now();
                let answer = call.send(addr, CLIENT_WAIT);
                let took = sent_at.elapsed();
                let end = answer.map_or("no answer".to_owned(), |answer| format!("status {}", answer.status));
                record.write(&format!("{} after {:.2} s: {end}", call.id, took.as_secs_f64()));
                took
            }));
            thread::sleep(Duration::from_millis(60));
        }
    }
    let times: Vec<Duration> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let long = times.iter().filter(|took| **took >= TIMEOUT).count();
    let late = times.iter().filter(|took| **took >= TIMEOUT + SLACK).count();
    let sent = times.len();
    record.tell(&format!(
        "{sent} requests; {long} longer than timeoutMs; {late} of these without an answer 0.5 s after it"
    ));
    if late >= 8 && late * 4 > long { Outcome::Broken } else { Outcome::Held }
}
