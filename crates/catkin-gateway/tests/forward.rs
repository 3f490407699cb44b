//! Guards against faults in the TCP protocol between gateways.

mod common;

use {
    bytes::Bytes,
    catkin::{
        event::Timestamp,
        types::Span,
        wire::{self, Class, FRAME_BYTES_MAX, Frame, RequestHead},
    },
    common::run,
    futures_util::{SinkExt, StreamExt},
    tokio::net::TcpStream,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

type Conn = Framed<TcpStream, LengthDelimitedCodec>;

async fn send(conn: &mut Conn, frame: &Frame) {
    conn.send(Bytes::from(wire::encode(frame, FRAME_BYTES_MAX).unwrap())).await.unwrap();
}

async fn receive(conn: &mut Conn) -> Frame {
    wire::decode(&conn.next().await.expect("the gateway closed the connection").unwrap()).unwrap()
}

fn head(number: u32) -> RequestHead {
    RequestHead {
        request: format!("test-{number}").parse().unwrap(),
        stamp: Timestamp::default(),
        service: "orders".parse().unwrap(),
        target: "orders-1".parse().unwrap(),
        slice: None,
        key: None,
        idempotency_key: None,
        class: Class::Short,
        idempotent: true,
        time_left: Span::from_secs(30),
        method: "GET".into(),
        path: "/orders/x".into(),
        headers: Vec::new(),
        length: Some(0),
    }
}

/// Returns the body of an answer, read to its end.
async fn read_answer(conn: &mut Conn) -> String {
    let mut body = Vec::new();
    loop {
        match receive(conn).await {
            Frame::Body(bytes) => body.extend_from_slice(&bytes),
            Frame::End => return String::from_utf8(body).unwrap(),
            other => panic!("{other:?} in a body"),
        }
    }
}

/// Guards against a gateway that closes a connection, or drops the next request
/// on it, because it has answered before the end of the previous request.
#[test]
fn connection_serves_a_request_after_an_early_answer() {
    run(async |env| {
        let [keeper] = env.start_fleet(["a"]).await;
        let mut conn =
            Framed::new(TcpStream::connect(keeper.peers).await.unwrap(), LengthDelimitedCodec::new());
        for number in [1, 2] {
            send(&mut conn, &Frame::Request(head(number))).await;
            let answer = receive(&mut conn).await;
            assert!(matches!(&answer, Frame::Answer(answer) if answer.status == 200), "{answer:?}");
            send(&mut conn, &Frame::End).await;
            let body = read_answer(&mut conn).await;
            assert!(body.contains(&format!("\"test-{number}\"")), "{body}");
        }
    });
}
