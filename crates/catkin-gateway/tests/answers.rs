//! Guards against truncated answers that look complete, and against answers
//! that are delivered to another request.

mod common;

use {
    actix_http::{
        Method, Request, Response,
        body::{BodyStream, BoxBody},
    },
    bytes::{Bytes, BytesMut},
    catkin::{
        Code,
        api::{Load, header, path},
        lease::Holder,
        types::Span,
    },
    catkin_net::{MonotonicClock, listen, reply_json, serve},
    catkin_standin::TargetFaults,
    common::{Gateway, ORDERS, Reply, run, send, try_send},
    futures_util::{
        StreamExt,
        future::join_all,
        stream::{self, LocalBoxStream},
    },
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc},
};

/// Target whose answers are chunked. Those to `/notes/cut` are truncated by a
/// reset of the connection.
struct ChunkedTarget {
    clock: MonotonicClock,
    holder: RefCell<Holder>,
}

impl ChunkedTarget {
    async fn start() -> SocketAddr {
        let listener = listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let holder = RefCell::new(Holder::new("notes-1".parse().unwrap(), 1));
        let target = Rc::new(Self { clock: MonotonicClock::new(), holder });
        drop(actix_rt::spawn(serve(listener, move |request| target.clone().handle(request))));
        addr
    }

    async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        let now = self.clock.now();
        match (request.method(), request.path()) {
            (&Method::GET, path::LEASE) => reply_json(200, &self.holder.borrow_mut().status(now)),
            (_, path::LOAD | path::HEALTH) => reply_json(200, &Load { slots: 6, ..Load::default() }),
            (_, page) if page.starts_with(path::LEASE) => {
                let mut body = BytesMut::new();
                let mut payload = request.take_payload();
                while let Some(part) = payload.next().await {
                    body.extend_from_slice(&part.unwrap());
                }
                let command = serde_json::from_slice(&body).unwrap();
                reply_json(200, &self.holder.borrow_mut().command(now, &command))
            }
            (_, page) => Response::ok().set_body(BoxBody::new(BodyStream::new(chunks(page == "/notes/cut")))),
        }
    }
}

fn chunks(is_truncated: bool) -> LocalBoxStream<'static, io::Result<Bytes>> {
    let end = if is_truncated { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok("second".into()) };
    let parts = [Ok("first ".into()), end];
    let parts = stream::iter(parts).then(async |part: io::Result<Bytes>| {
        // Lets the server write the first part before the connection closes.
        tokio::task::yield_now().await;
        part
    });
    parts.boxed_local()
}

/// Sends an order and checks that its answer is truncated: it has fewer bytes
/// than `content-length` says, and the gateway closes the connection.
async fn assert_truncated(gateway: &Gateway) {
    let error = try_send(gateway.request("POST", "/orders/x"), "").await.unwrap_err();
    assert_eq!(error.code(), Code::AnswerCut);
    let request = "POST /orders/x HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    let answer = gateway.send_raw(request.as_bytes()).await;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.unwrap().parse().unwrap();
    assert!(!body.is_empty() && body.len() < length, "{answer}");
}

/// Guards against a truncated answer that a caller takes for a complete one.
#[test]
fn cut_answer_is_visible() {
    run(async |env| {
        let gateways = env.start_fleet(["a", "b"]).await;
        for gateway in &gateways {
            env.set_target_faults(ORDERS, TargetFaults { cut: 2, ..TargetFaults::default() }).await;
            assert_truncated(gateway).await;
            assert_eq!(send(gateway.request("POST", "/orders/x"), "").await.result(), ("601", "ran"));
        }
    });
}

/// Guards against a gateway that adds the last chunk to a chunked answer that
/// came without it.
#[test]
fn cut_chunks_are_visible() {
    run(async |env| {
        env.list_target("notes-1", "notes", ChunkedTarget::start().await).await;
        let gateways = env.start_fleet(["a", "b"]).await;
        for gateway in &gateways {
            for (page, body, is_complete) in [("x", "6\r\nsecond\r\n0\r\n\r\n", true), ("cut", "", false)] {
                let head = format!("POST /notes/{page} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
                let answer = gateway.send_raw((head + "content-length: 0\r\n\r\n").as_bytes()).await;
                assert!(answer.contains("first ") && answer.ends_with(body), "{answer}");
                assert_eq!(answer.ends_with("\r\n0\r\n\r\n"), is_complete, "{answer}");
            }
        }
    });
}

/// Guards against callers that wait forever for the rest of an answer. The limit
/// `stall` of 500 ms truncates it long before the test times out.
#[test]
fn silent_answer_is_cut() {
    run(async |env| {
        let gateways = env.start_fleet(["a", "b"]).await;
        for gateway in &gateways {
            env.set_target_faults(ORDERS, TargetFaults { silent: 2, ..TargetFaults::default() }).await;
            assert_truncated(gateway).await;
            assert_eq!(send(gateway.request("POST", "/orders/x"), "").await.result(), ("601", "ran"));
        }
    });
}

/// Guards against an answer that arrives after its request has timed out and is
/// taken for the answer to the next request on the same connection.
#[test]
fn late_answer_reaches_no_other_request() {
    run(async |env| {
        let gateways = env.start_fleet(["a", "b"]).await;
        for (round, gateway) in (0..3).flat_map(|round| gateways.iter().map(move |g| (round, g))) {
            let freeze = Span::from_secs(3_600);
            env.set_target_faults(ORDERS, TargetFaults { freeze, ..TargetFaults::default() }).await;
            let requests = (0..4).map(|_| {
                let request = gateway.request("POST", "/orders/late");
                send(request.insert_header((header::DEADLINE, "100")), "")
            });
            let late = join_all(requests).await;
            assert!(late.iter().any(|reply| reply.code == "501"), "{late:?}");
            // The target resumes and answers the requests that it has received.
            env.set_target_faults(ORDERS, TargetFaults::default()).await;
            let replies =
                (0..24).map(|number| send_until_run(gateway, format!("{}-{round}-{number}", gateway.id)));
            for (call, reply) in join_all(replies).await {
                assert_eq!(reply.echo().call.as_deref(), Some(call.as_str()));
            }
        }
    });
}

/// Sends an order until it runs: the lease may have expired during the freeze.
async fn send_until_run(gateway: &Gateway, call: String) -> (String, Reply) {
    loop {
        let request =
            gateway.request("POST", "/orders/next").insert_header(("x-standin-call", call.as_str()));
        let reply = send(request, "").await;
        if reply.outcome != "not-run" {
            return (call, reply);
        }
    }
}
