//! TCP protocol between gateways.
//!
//! A connection carries one request at a time. The client sends `Request`,
//! `Body`…, `End`; the server sends `Answer`, `Body`…, `End`, or `Failed` at any
//! point. Either side cancels by closing the connection. All other frames are
//! queries and are answered on the same connection.

use {
    crate::{
        body::{Body, Part},
        control,
        execute::{self, StreamedAnswer},
        node::Node,
    },
    bytes::Bytes,
    catkin::{
        Code, Error,
        fold::State,
        wire::{self, BODY_BYTES_MAX, FRAME_BYTES_MAX, Frame, RequestHead},
    },
    futures_util::{
        SinkExt, StreamExt,
        stream::{self, LocalBoxStream},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io::ErrorKind,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::mpsc,
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const BODY_DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const PARTS_IN_FLIGHT_MAX: usize = 2;
const IDLE_CONNS_PER_PEER_MAX: usize = 256;

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

struct Conn {
    reader: Reader,
    writer: Writer,
}

impl Conn {
    fn new(stream: TcpStream) -> Self {
        // Frames are written in one piece, so Nagle's algorithm would only add
        // delay.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let codec = || {
            let mut codec = LengthDelimitedCodec::new();
            codec.set_max_frame_length(FRAME_BYTES_MAX);
            codec
        };
        Self { reader: FramedRead::new(reader, codec()), writer: FramedWrite::new(writer, codec()) }
    }

    /// Returns whether neither data nor the end of the stream can be read.
    fn is_idle(&self) -> bool {
        let mut byte = [0];
        let read = self.reader.get_ref().try_read(&mut byte);
        matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Idle connections to other gateways.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Conn>>>,
}

impl Pool {
    async fn take(&self, addr: SocketAddr) -> Result<Conn, Error> {
        while let Some(conn) = self.pop(addr) {
            if conn.is_idle() {
                return Ok(conn);
            }
        }
        let connect = TcpStream::connect(addr);
        let stream = match actix_rt::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(unreachable(addr, &e.to_string())),
            Err(_) => return Err(unreachable(addr, "connecting timed out")),
        };
        Ok(Conn::new(stream))
    }

    fn pop(&self, addr: SocketAddr) -> Option<Conn> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    fn put(&self, addr: SocketAddr, conn: Conn) {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(addr).or_default();
        if conns.len() < IDLE_CONNS_PER_PEER_MAX {
            conns.push(conn);
        }
    }
}

fn unreachable(addr: SocketAddr, detail: &str) -> Error {
    Error::new(Code::PeerUnreachable, format!("{addr}: {detail}"))
}

async fn send(writer: &mut Writer, frame: &Frame) -> Result<(), Error> {
    let bytes = wire::encode(frame, FRAME_BYTES_MAX)?;
    writer.send(Bytes::from(bytes)).await.map_err(|e| connection_error(&e.to_string()))
}

async fn receive(reader: &mut Reader) -> Result<Frame, Error> {
    match reader.next().await {
        Some(Ok(bytes)) => wire::decode(&bytes),
        // The codec reports a frame above the limit with this kind.
        Some(Err(e)) if e.kind() == ErrorKind::InvalidData => {
            Err(Error::new(Code::FrameTooLarge, e.to_string()))
        }
        Some(Err(e)) => Err(connection_error(&e.to_string())),
        None => Err(connection_error("closed by the peer")),
    }
}

fn connection_error(detail: &str) -> Error {
    Error::new(Code::OutcomeUnknown, format!("connection between gateways failed: {detail}"))
}

async fn send_body(writer: &mut Writer, mut parts: LocalBoxStream<'static, Part>) -> Result<(), Error> {
    while let Some(part) = parts.next().await {
        let mut part = part?;
        while part.len() > BODY_BYTES_MAX {
            send(writer, &Frame::Body(part.split_to(BODY_BYTES_MAX))).await?;
        }
        send(writer, &Frame::Body(part)).await?;
    }
    send(writer, &Frame::End).await
}

/// Sends a request to the gateway that keeps its target and returns the answer.
///
/// # Errors
///
/// - `Code::PeerUnreachable` if no connection could be opened; nothing was sent.
/// - The code that the other gateway gave, or `Code::OutcomeUnknown` for an
///   unknown one.
/// - `Code::OutcomeUnknown` if the connection failed or an unexpected frame
///   arrived.
/// - `Code::UploadCut`, or another code of the body, if the body of the request
///   failed.
/// - `Code::FrameTooLarge` if a frame exceeds the limit, `Code::BadFrame` if one
///   can't be decoded, `Code::Internal` if one can't be encoded.
pub(crate) async fn forward(
    node: &Rc<Node>,
    addr: SocketAddr,
    head: RequestHead,
    body: Body,
) -> Result<StreamedAnswer, Error> {
    let mut conn = node.peer_pool.take(addr).await?;
    send(&mut conn.writer, &Frame::Request(head)).await?;
    let (frame, is_upload_complete) = upload(&mut conn, body.into_stream()).await?;
    match frame {
        Frame::Answer(head) => {
            node.observe(head.stamp);
            let length = head.length;
            let body = Body::Streamed(length, read_answer(node.clone(), addr, conn, is_upload_complete));
            Ok(StreamedAnswer { head, body })
        }
        Frame::Failed { code, detail } => {
            if is_upload_complete {
                node.peer_pool.put(addr, conn);
            }
            Err(Error::new(Code::from_number(code).unwrap_or(Code::OutcomeUnknown), detail))
        }
        _ => Err(connection_error("unexpected frame")),
    }
}

/// Sends a body and reads the first frame of the answer, which may arrive
/// before the body is sent. Also returns whether the body was sent completely.
async fn upload(conn: &mut Conn, parts: LocalBoxStream<'static, Part>) -> Result<(Frame, bool), Error> {
    let Conn { reader, writer } = conn;
    let mut first = std::pin::pin!(receive(reader));
    let sent = tokio::select! {
        biased;
        frame = &mut first => return Ok((frame?, false)),
        sent = send_body(writer, parts) => sent,
    };
    match sent {
        Ok(()) => Ok((first.await?, true)),
        Err(e) if e.code() == Code::UploadCut => Err(e),
        // The other side stops reading once it has failed the request; its
        // `Failed` frame with the reason can still be read.
        Err(e) => first.await.map(|frame| (frame, false)).map_err(|_| e),
    }
}

/// Reads the body of an answer. The connection is reused only if the request
/// was sent completely.
fn read_answer(
    node: Rc<Node>,
    addr: SocketAddr,
    conn: Conn,
    is_upload_complete: bool,
) -> LocalBoxStream<'static, Part> {
    let truncated = |detail: String| Error::new(Code::AnswerCut, detail);
    let parts = stream::unfold(Some((node, conn)), move |state| async move {
        let (node, mut conn) = state?;
        match receive(&mut conn.reader).await {
            Ok(Frame::Body(bytes)) => Some((Ok(bytes), Some((node, conn)))),
            Ok(Frame::End) => {
                if is_upload_complete {
                    node.peer_pool.put(addr, conn);
                }
                None
            }
            Ok(Frame::Failed { detail, .. }) => Some((Err(truncated(detail.to_string())), None)),
            Ok(_) => Some((Err(truncated("unexpected frame".into())), None)),
            Err(e) => Some((Err(truncated(e.to_string())), None)),
        }
    });
    parts.boxed_local()
}

/// Sends one frame to a gateway and returns the frame that it answers with. A
/// `Failed` frame is returned as a frame.
///
/// # Errors
///
/// - `Code::PeerUnreachable` if no connection could be opened.
/// - `Code::OutcomeUnknown` if the connection failed.
/// - `Code::FrameTooLarge` if a frame exceeds the limit, `Code::BadFrame` if one
///   can't be decoded, `Code::Internal` if one can't be encoded.
pub(crate) async fn query(node: &Node, addr: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
    let mut conn = node.peer_pool.take(addr).await?;
    send(&mut conn.writer, frame).await?;
    let answer = receive(&mut conn.reader).await?;
    node.peer_pool.put(addr, conn);
    Ok(answer)
}

/// Returns the state of the fold of another gateway.
///
/// # Errors
///
/// As [`query`], and:
///
/// - `Code::Starting` if the gateway answers with a `Failed` frame, as it does
///   while it has no state.
/// - `Code::OutcomeUnknown` if an unexpected frame arrived.
/// - The code of a state that can't be decoded.
pub(crate) async fn pull_state(node: &Node, addr: SocketAddr) -> Result<State, Error> {
    let mut conn = node.peer_pool.take(addr).await?;
    send(&mut conn.writer, &Frame::PullState).await?;
    let mut bytes = Vec::new();
    loop {
        match receive(&mut conn.reader).await? {
            Frame::State { parts_left, data, .. } => {
                bytes.extend_from_slice(&data);
                if parts_left == 0 {
                    break;
                }
            }
            Frame::Failed { detail, .. } => return Err(Error::new(Code::Starting, detail)),
            _ => return Err(connection_error("unexpected frame")),
        }
    }
    node.peer_pool.put(addr, conn);
    State::decode(&bytes)
}

async fn send_state(node: &Node, writer: &mut Writer) -> Result<(), Error> {
    if !node.ready.get() {
        return send_failed(writer, &Error::new(Code::Starting, "no state has been loaded yet")).await;
    }
    let (at, bytes) = {
        let state = node.state.borrow();
        (state.next_offset(), Bytes::from(state.encode()?))
    };
    let parts: Vec<Bytes> = bytes.chunks(BODY_BYTES_MAX).map(|part| bytes.slice_ref(part)).collect();
    for (number, data) in parts.iter().enumerate() {
        let parts_left = u32::try_from(parts.len() - number - 1).unwrap_or(u32::MAX);
        send(writer, &Frame::State { at, parts_left, data: data.clone() }).await?;
    }
    Ok(())
}

/// Serves the connections of other gateways until the process ends.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(node.clone(), Conn::new(stream)));
            }
            // Accepting fails while no file descriptor is free.
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}

async fn serve(node: Rc<Node>, mut conn: Conn) {
    loop {
        let Err(error) = serve_next(&node, &mut conn).await else { continue };
        if matches!(error.code(), Code::BadFrame | Code::FrameTooLarge) {
            node.metrics.count_drop("peer_frame");
        }
        return;
    }
}

async fn serve_next(node: &Rc<Node>, conn: &mut Conn) -> Result<(), Error> {
    match receive(&mut conn.reader).await? {
        Frame::Request(head) => serve_request(node, conn, head).await,
        other => serve_query(node, &mut conn.writer, &other).await,
    }
}

async fn serve_query(node: &Node, writer: &mut Writer, frame: &Frame) -> Result<(), Error> {
    if matches!(frame, Frame::PullState) {
        return send_state(node, writer).await;
    }
    match control::answer_query(node, frame) {
        Some(answer) => send(writer, &answer).await,
        None => Err(Error::new(Code::BadFrame, "unexpected frame")),
    }
}

/// Counts a request of another gateway while it is in progress.
struct PeerRequest(Rc<Node>);

impl PeerRequest {
    fn new(node: &Rc<Node>) -> Self {
        node.peer_requests.set(node.peer_requests.get() + 1);
        Self(node.clone())
    }
}

impl Drop for PeerRequest {
    fn drop(&mut self) {
        self.0.peer_requests.set(self.0.peer_requests.get() - 1);
    }
}

/// Serves one request. Its body is read at the same time, so that a failure of
/// the connection cancels the request.
async fn serve_request(node: &Rc<Node>, conn: &mut Conn, head: RequestHead) -> Result<(), Error> {
    let _open = PeerRequest::new(node);
    node.observe(head.stamp);
    let (sender, receiver) = mpsc::channel::<Part>(PARTS_IN_FLIGHT_MAX);
    let body = match head.length {
        Some(0) => Body::Buffered(Bytes::new()),
        length => Body::Streamed(length, into_stream(receiver)),
    };
    let is_body_read = Cell::new(false);
    let result = tokio::select! {
        result = execute::run(node, head, body) => result,
        error = read_body(&mut conn.reader, sender, &is_body_read) => return Err(error),
    };
    match result {
        Ok(answer) => {
            send(&mut conn.writer, &Frame::Answer(answer.head)).await?;
            send_answer(&mut conn.writer, answer.body.into_stream()).await?;
        }
        Err(e) => send_failed(&mut conn.writer, &e).await?,
    }
    if is_body_read.get() { Ok(()) } else { discard(&mut conn.reader).await }
}

/// Passes a body on and then waits until the connection fails. Returns the
/// failure.
async fn read_body(reader: &mut Reader, sender: mpsc::Sender<Part>, is_body_read: &Cell<bool>) -> Error {
    let mut sender = Some(sender);
    loop {
        match (receive(reader).await, &sender) {
            (Ok(Frame::Body(bytes)), Some(sender)) => {
                // Sending fails if the target has answered before it has read
                // the full body.
                let _ = sender.send(Ok(bytes)).await;
            }
            (Ok(Frame::End), Some(_)) => {
                is_body_read.set(true);
                sender = None;
            }
            (Ok(_), _) => return connection_error("unexpected frame"),
            (Err(e), _) => return e,
        }
    }
}

/// Reads and discards the rest of a body after its answer. The other side reuses
/// the connection once it has sent the end, and closing with unread data would
/// reset the connection and lose the answer that was just written.
async fn discard(reader: &mut Reader) -> Result<(), Error> {
    let read = async {
        loop {
            match receive(reader).await? {
                Frame::Body(_) => {}
                Frame::End => return Ok(()),
                _ => return Err(connection_error("unexpected frame")),
            }
        }
    };
    let in_time = actix_rt::time::timeout(BODY_DISCARD_TIMEOUT, read).await;
    in_time.unwrap_or_else(|_| Err(connection_error("reading the rest of the body timed out")))
}

fn into_stream(receiver: mpsc::Receiver<Part>) -> LocalBoxStream<'static, Part> {
    stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    })
    .boxed_local()
}

async fn send_answer(writer: &mut Writer, body: LocalBoxStream<'static, Part>) -> Result<(), Error> {
    match send_body(writer, body).await {
        Err(e) if e.code() == Code::AnswerCut => send_failed(writer, &e).await,
        result => result,
    }
}

async fn send_failed(writer: &mut Writer, error: &Error) -> Result<(), Error> {
    let frame = Frame::Failed { code: error.code().number(), detail: error.detail().into() };
    send(writer, &frame).await
}
