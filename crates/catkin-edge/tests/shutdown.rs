//! Real edge processes that are asked to stop while requests arrive.

mod common;

use {
    actix_http::Method,
    catkin_standin::users::{Config, ServerFaults, put_config},
    common::{Fleet, open, plan, send_on},
    nix::sys::signal::Signal,
    std::time::{Duration, Instant},
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts a process whose orders and uploads run and get no answer, with a time
/// limit of 20 s.
async fn start_unanswered() -> Fleet {
    let fleet = Fleet::start(1).await;
    put_config(&fleet.store, &Config { timeout_ms: 20_000, ..plan(2) });
    sleep(1_900).await;
    for server in &fleet.servers[3..] {
        server.set_faults(ServerFaults { unanswered_every: 1, ..ServerFaults::default() });
    }
    fleet
}

/// A process that receives SIGTERM answers the requests that it has read,
/// closes connections with its answers, and ends within its grace period.
#[actix_rt::test]
async fn stopping_process_loses_nothing() {
    let fleet = Fleet::start(2).await;
    let edge = &fleet.edges[0];
    let mut conn = open(edge).await.unwrap();
    let id = fleet.id();
    let first = send_on(&mut conn, Method::GET, "/read/x", &id, Some(1), Vec::new()).await.unwrap();
    assert!(!first.closes);
    edge.signal(Signal::SIGTERM);
    sleep(300).await;
    let id = fleet.id();
    let last = send_on(&mut conn, Method::GET, "/read/x", &id, Some(1), Vec::new()).await.unwrap();
    assert_eq!((last.status, last.closes), (200, true));
    let until = Instant::now() + Duration::from_secs(5);
    while !edge.has_ended() {
        assert!(Instant::now() < until, "the process did not end within its grace");
        sleep(50).await;
    }
    assert_eq!(fleet.get(&fleet.edges[1], 1).await.unwrap().status, 200);
    fleet.check();
}

/// A process that ends answers the callers of unresponsive targets first, and
/// the answer does not say whether the request ran.
#[actix_rt::test]
async fn stopping_process_answers_what_is_open() {
    let fleet = start_unanswered().await;
    let edge = &fleet.edges[0];
    let mut conn = open(edge).await.unwrap();
    let mut head = catkin_net::request_head(Method::POST, "/order/x".parse().unwrap());
    for (name, value) in [("host", "h"), ("x-request-id", "open"), ("x-deadline-ms", "15000")] {
        head.headers.insert(name.parse().unwrap(), value.parse().unwrap());
    }
    let exchange = conn.exchange(head, Vec::new(), false, |_| true);
    let term = async {
        sleep(300).await;
        edge.signal(Signal::SIGTERM);
    };
    let (reply, ()) = tokio::join!(exchange, term);
    assert_eq!(reply.expect("no answer before the end").head.status.as_u16(), 504);
    fleet.check();
}

/// Reads everything that a process writes on a connection.
async fn read_all(stream: &mut (impl AsyncReadExt + Unpin)) -> String {
    let mut bytes = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(6), stream.read_to_end(&mut bytes)).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The body of an upload arrives until shortly before the end of the grace
/// period. If it were passed on, it would be cut while its target is at work on
/// it, and its caller must not send it again.
#[actix_rt::test]
async fn stopping_process_takes_no_request_that_it_cannot_finish() {
    let fleet = start_unanswered().await;
    let edge = &fleet.edges[0];
    let stream = tokio::net::TcpStream::connect(edge.callers).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    // Another request keeps the process until the end of its grace period.
    let mut open = tokio::net::TcpStream::connect(edge.callers).await.unwrap();
    let order = "POST /order/x HTTP/1.1\r\nhost: h\r\nx-request-id: open\r\nx-deadline-ms: 15000\r\ncontent-length: 0\r\n\r\n";
    open.write_all(order.as_bytes()).await.unwrap();
    sleep(300).await;
    edge.signal(Signal::SIGTERM);
    let head = "POST /scan/x HTTP/1.1\r\nhost: h\r\nx-request-id: slow\r\nx-deadline-ms: 15000\r\ncontent-length: 12\r\n\r\n";
    writer.write_all(head.as_bytes()).await.unwrap();
    actix_rt::spawn(async move {
        for _ in 0..12 {
            sleep(300).await;
            // The process may have answered and closed the connection.
            let _ = writer.write_all(b"x").await;
        }
        // Without its writer the caller would count as gone.
        std::future::pending::<()>().await;
        drop(writer);
    });
    let answer = read_all(&mut reader).await;
    assert_eq!(fleet.checker.run_count("slow"), 0, "{answer}");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
}

/// A caller has sent a second request before the first is answered. The process
/// has read both when it is asked to stop, and must answer both.
#[actix_rt::test]
async fn stopping_process_answers_requests_that_it_has_read_ahead() {
    let fleet = Fleet::start(1).await;
    let edge = &fleet.edges[0];
    edge.signal(Signal::SIGTERM);
    sleep(100).await;
    let mut stream = tokio::net::TcpStream::connect(edge.callers).await.unwrap();
    let request = |id: &str| {
        format!(
            "GET /read/x HTTP/1.1\r\nhost: h\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\nx-shard-key: 1\r\n\r\n"
        )
    };
    stream.write_all((request("first") + &request("second")).as_bytes()).await.unwrap();
    let answers = read_all(&mut stream).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    fleet.check();
}
