//! Requests that a caller sends on a connection before an earlier one is answered.

mod common;

use {
    catkin_standin::users::ServerFaults,
    common::{Edge, Fleet},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Time in which a request reaches its server.
const SEND_TIME: Duration = Duration::from_millis(500);

fn lookup(id: &str, key: u16) -> String {
    format!("GET /read/x HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\nx-shard-key: {key}\r\n\r\n")
}

fn order(id: &str) -> String {
    format!("POST /order/x HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\ncontent-length: 5\r\n\r\norder")
}

async fn send(edge: &Edge, requests: &str) -> TcpStream {
    let mut stream = TcpStream::connect(edge.callers).await.unwrap();
    stream.write_all(requests.as_bytes()).await.unwrap();
    stream
}

/// Reads until each of the ids was answered. Returns the ids in the order of the
/// answers.
async fn answered(stream: &mut TcpStream, ids: &[&str]) -> Vec<String> {
    let mut text = String::new();
    let read = async {
        while !ids.iter().all(|id| text.contains(&format!("x-request-id: {id}\r\n"))) {
            let mut buffer = [0; 4_096];
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "closed after {text:?}");
            text += &String::from_utf8_lossy(&buffer[..count]);
        }
    };
    tokio::time::timeout(Duration::from_secs(3), read).await.unwrap();
    text.lines().filter_map(|line| line.strip_prefix("x-request-id: ")).map(str::to_owned).collect()
}

/// Returns a fleet, the key of a server that answers nothing, and a key of
/// another one.
async fn start_with_silent_server() -> (Fleet, u16, u16) {
    let fleet = Fleet::start(1).await;
    fleet.servers[0].set_faults(ServerFaults { unanswered_every: 1, ..ServerFaults::default() });
    let rows = fleet.table().services["keyed"].clone();
    let key = |is_silent: bool| rows.iter().find(|row| (*row.target == *"s0") == is_silent).unwrap().from;
    (fleet, key(true), key(false))
}

/// A lookup that takes long must not hold back those behind it: each would reach
/// its server only after all answers before its own.
#[actix_rt::test]
async fn pipelined_lookups_are_served_at_the_same_time() {
    let (fleet, silent, other) = start_with_silent_server().await;
    let requests = lookup("slow", silent) + &lookup("b", other) + &lookup("c", other);
    let _stream = send(&fleet.edges[0], &requests).await;
    actix_rt::time::sleep(SEND_TIME).await;
    assert_eq!(["slow", "b", "c"].map(|id| fleet.checker.run_count(id)), [1, 1, 1]);
    fleet.check();
}

/// Answers that are ready before an earlier one must wait for it: a caller matches
/// them by their order.
#[actix_rt::test]
async fn pipelined_requests_are_answered_in_order() {
    let fleet = Fleet::start(1).await;
    let ids = ["a", "b", "c", "d", "e", "f"];
    let requests: String = ids.iter().enumerate().map(|(i, id)| lookup(id, 10_000 * i as u16)).collect();
    let mut stream = send(&fleet.edges[0], &requests).await;
    assert_eq!(answered(&mut stream, &ids).await, ids);
    fleet.check();
}

/// An order must not overtake a request that was sent before it, nor be overtaken:
/// what it changes may concern the others.
#[actix_rt::test]
async fn pipelined_orders_keep_their_place() {
    let (fleet, silent, other) = start_with_silent_server().await;
    // The lookup ends while the others still have time.
    let slow = lookup("slow", silent).replace("host: h", "host: h\r\nx-deadline-ms: 700");
    let requests = slow + &order("order") + &lookup("last", other);
    let mut stream = send(&fleet.edges[0], &requests).await;
    actix_rt::time::sleep(SEND_TIME).await;
    assert_eq!(["slow", "order", "last"].map(|id| fleet.checker.run_count(id)), [1, 0, 0]);
    answered(&mut stream, &["order", "last"]).await;
    assert_eq!(fleet.checker.run_count("order"), 1);
    fleet.check();
}

/// A caller that leaves ends the work on all of its requests.
#[actix_rt::test]
async fn leaving_caller_ends_pipelined_requests() {
    let (fleet, silent, _) = start_with_silent_server().await;
    // The process sends a failed lookup again, unless its caller has left.
    let stream = send(&fleet.edges[0], &(lookup("a", silent) + &lookup("b", silent))).await;
    actix_rt::time::sleep(SEND_TIME).await;
    drop(stream);
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(["a", "b"].map(|id| fleet.checker.run_count(id)), [1, 1]);
    fleet.check();
}
