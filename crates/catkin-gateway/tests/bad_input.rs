//! Guards against input that stops a gateway or is dropped without being
//! counted.

mod common;

use {
    catkin::{
        api::{Command, CommandStamp, Operation, header, path},
        types::{Offset, Span, Time},
    },
    catkin_net::get,
    common::{Gateway, LEASE, ORDERS, PLANS, TIMEOUT, read_until_closed, run, send},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, UdpSocket},
    },
};

/// Larger than the largest frame, record and body.
const HUGE_BYTES: usize = 300 * 1024;

/// Asserts that a gateway still runs and answers.
async fn assert_serves(gateway: &mut Gateway) {
    let reply = send(gateway.request("GET", "/orders/x"), "").await;
    assert_eq!(reply.result(), ("601", "ran"), "{reply:?}");
    gateway.assert_alive();
}

fn chunked(path: &str, chunks: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"
    )
}

/// Guards against limits in the settings of the process that are read but not
/// enforced.
#[test]
fn limits_of_the_process_are_kept() {
    run(async |env| {
        let [mut gateway] = env.start_fleet(["a"]).await;
        let body = "x".repeat(253 * 1024);
        let reply = send(gateway.request("POST", "/orders/x"), &body).await;
        assert_eq!(reply.result(), ("405", "not-run"), "{reply:?}");
        let mut open = Vec::new();
        for _ in 0..300 {
            open.push(TcpStream::connect(gateway.callers).await.unwrap());
        }
        let mut byte = [0];
        let read = open[299].read(&mut byte).await;
        assert!(matches!(read, Ok(0) | Err(_)), "a connection above the limit stays open");
        gateway.assert_alive();
    });
}

/// Guards against bad requests that run, or are refused without a code.
#[test]
fn bad_requests_get_numbered_refusals() {
    run(async |env| {
        let [mut gateway] = env.start_fleet(["a"]).await;
        let before = env.ledger(ORDERS).await.counts.ran;
        let get = |path: &str| gateway.request("GET", path);
        let no_key = gateway.client().get(format!("http://{}/plans/x", gateway.callers));
        let huge = "x".repeat(HUGE_BYTES);
        let requests = [
            (get("/unknown/x"), "", "401"),
            (get("/"), "", "401"),
            (get("/%ff/x"), "", "401"),
            (no_key, "", "402"),
            (get("/orders/x").insert_header((header::DEADLINE, "0")), "", "403"),
            (get("/orders/x").insert_header((header::DEADLINE, "soon")), "", "403"),
            (get("/orders/x").insert_header((header::DEADLINE, "99999999999999999999")), "", "403"),
            (get("/orders/x").insert_header((header::CLASS, "medium")), "", "406"),
            (get("/plans/x").insert_header((header::KEY, "")), "", "406"),
            (get("/plans/x").insert_header((header::KEY, "k".repeat(10_000))), "", "406"),
            (gateway.request("POST", "/orders/x"), huge.as_str(), "405"),
        ];
        for (request, body, code) in requests {
            let path = request.get_uri().clone();
            let reply = send(request, body).await;
            assert_eq!(reply.result(), (code, "not-run"), "{path}: {reply:?}");
        }
        let broken = gateway.send_raw(chunked("/orders/x", "zz\r\nabc\r\n").as_bytes()).await;
        assert!(broken.contains("x-catkin-code: 406"), "{broken}");
        assert_eq!(env.ledger(ORDERS).await.counts.ran, before);
        assert_serves(&mut gateway).await;
    });
}

/// Guards against a chunked body above the limit that runs, or that is reported
/// as a failure of the target after part of it was sent.
#[test]
fn oversized_chunked_body_does_not_run() {
    run(async |env| {
        let mut gateways = env.start_fleet(["a", "b"]).await;
        for gateway in &mut gateways {
            let before = env.ledger(ORDERS).await.counts.ran;
            let chunks = format!("{HUGE_BYTES:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(HUGE_BYTES));
            let answer = gateway.send_raw(chunked("/orders/x", &chunks).as_bytes()).await;
            assert!(answer.contains("x-catkin-code: 504"), "{answer}");
            assert!(answer.contains("x-catkin-outcome: unknown"), "{answer}");
            assert_eq!(env.ledger(ORDERS).await.counts.ran, before);
            assert_serves(gateway).await;
        }
    });
}

/// Guards against a request head that exhausts the memory or stops the gateway.
#[test]
fn broken_heads_are_refused() {
    run(async |env| {
        let [mut gateway] = env.start_fleet(["a"]).await;
        let huge = "x".repeat(4 * HUGE_BYTES);
        let heads = [
            format!("GET /orders/{huge} HTTP/1.1\r\n\r\n"),
            format!("GET /orders/x HTTP/1.1\r\nx-large: {huge}\r\n\r\n"),
            "x: y\r\n".repeat(200).replacen("x: y", "GET /orders/x HTTP/1.1", 1) + "\r\n",
            "\u{0}\u{1}\u{2}\r\n\r\n".to_owned(),
            "GET /orders/x HTTP/1.1\r\ncontent-length: -1\r\n\r\n".to_owned(),
            "POST /orders/x HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_owned(),
        ];
        for head in heads {
            let answer = gateway.send_raw(head.as_bytes()).await;
            let start: String = head.chars().take(40).collect();
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{start:?}: {answer}");
            assert_serves(&mut gateway).await;
        }
    });
}

/// Guards against garbage on the ports for gateways that is not counted or stops
/// the gateway.
#[test]
fn garbage_between_gateways_is_counted() {
    run(async |env| {
        let [mut gateway] = env.start_fleet(["a"]).await;
        let oversized = [u32::MAX.to_be_bytes().as_slice(), &[7; 64]].concat();
        let unknown = [3_u32.to_be_bytes().as_slice(), &[0xFF; 3]].concat();
        let http = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec();
        for (count, garbage) in (1..).zip([unknown, oversized, http]) {
            let mut stream = TcpStream::connect(gateway.peers).await.unwrap();
            stream.write_all(&garbage).await.unwrap();
            assert_eq!(read_until_closed(&mut stream).await, "");
            assert_eq!(gateway.drop_count("peer_frame").await, count, "{garbage:?}");
            assert_serves(&mut gateway).await;
        }
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for (count, garbage) in (1..).zip([vec![], vec![0xFF; 40], vec![0; 1_200], vec![1; 9_000]]) {
            socket.send_to(&garbage, gateway.peers).await.unwrap();
            gateway.wait_drop_count("datagram", count).await;
        }
        assert_serves(&mut gateway).await;
    });
}

/// Guards against a foreign or truncated record after which the gateway reads no
/// more of the log, or that is not counted.
#[test]
fn broken_records_are_counted() {
    run(async |env| {
        let [mut gateway] = env.start_fleet(["a"]).await;
        let config = env.log().read(Offset::default(), 1, Span::ZERO).await.unwrap().records.remove(0).1;
        let before = gateway.drop_count("record").await;
        let records = [&config[..config.len() / 2], &config[..3], &[], b"not a record of this system"];
        for record in records {
            env.log().append(record, TIMEOUT).await.unwrap();
        }
        let head = env.log_head().await;
        gateway.wait_status(|status| status.offset >= head).await;
        assert!(gateway.drop_count("record").await >= before + 4);
        assert_serves(&mut gateway).await;
    });
}

/// Guards against callers that send commands to a target through the gateway,
/// also with a path that some targets normalize or through a service whose name
/// starts the paths of commands.
#[test]
fn callers_reach_no_commands() {
    run(async |env| {
        let [mut gateway] = env.start_fleet(["a"]).await;
        let lease = async |target: usize| -> catkin::api::CommandReply {
            get(&env.client, env.running.targets[target], path::LEASE, TIMEOUT).await.unwrap()
        };
        let held = [lease(PLANS).await, lease(LEASE).await];
        let stamp = CommandStamp { keeper: Offset(1 << 40), number: 1 };
        let order = Operation::Renew { until: Time::default().after(Span::from_secs(1 << 20)) };
        for target in held.each_ref() {
            let command =
                Command { from: "gw-a".parse().unwrap(), boot: target.boot, stamp, order: order.clone() };
            let body = serde_json::to_string(&command).unwrap();
            for page in [path::RENEW, path::GRANT, path::RELEASE, path::FENCE, path::DRAIN] {
                let reply = send(gateway.request("POST", &format!("/plans{page}")), body.clone()).await;
                assert_eq!(&*reply.echo().path, format!("/plans{page}"));
                for (start, code) in [
                    ("", "401"),
                    ("/", "401"),
                    ("/plans/..", "406"),
                    ("/plans/./../plans/..", "406"),
                    ("/plans/%2e%2E", "406"),
                    ("/plans/..%2f", "406"),
                    ("/plans/x%5C..", "406"),
                ] {
                    let head = format!("POST {start}{page} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
                    let rest = format!("x-catkin-key: k\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                    let answer = gateway.send_raw((head + &rest).as_bytes()).await;
                    assert!(answer.contains(&format!("x-catkin-code: {code}")), "{start}{page}: {answer}");
                }
            }
        }
        for (target, held) in [PLANS, LEASE].into_iter().zip(held) {
            let after = lease(target).await;
            assert_eq!((after.stamp.keeper, after.draining), (held.stamp.keeper, false));
        }
        assert_serves(&mut gateway).await;
    });
}
