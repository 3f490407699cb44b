//! Connections of callers: reading requests, writing answers.

use {
    crate::{
        node::{Node, Stage, sleep},
        serve::{self, Answer, Incoming},
    },
    actix_http::{
        ConnectionType, HttpMessage, Request, Response, StatusCode,
        body::BodySize,
        error::ParseError,
        h1::{Codec, Message, MessageType},
        header::{EXPECT, HeaderValue, RETRY_AFTER},
    },
    bytes::{Bytes, BytesMut},
    catkin::types::{Span, Time},
    catkin_net::tune,
    std::{io, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Bytes read at a time.
const READ_BYTES: usize = 8 << 10;

/// Bytes that are read ahead while a request is in progress.
const AHEAD_BYTES_MAX: usize = 64 << 10;

/// Idle time of a connection before the first configuration.
const IDLE_DEFAULT: Span = Span::from_secs(60);

/// Added to the idle time that callers rely on.
const IDLE_MARGIN: Span = Span::from_secs(1);

/// Time for a caller to send a body or to take an answer without progress.
const STALL_MAX: Duration = Duration::from_secs(5);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A connection of a caller.
struct Caller {
    stream: TcpStream,
    buffer: BytesMut,
    codec: Codec,
}

/// What was read.
enum Read {
    /// A whole request.
    Request(Box<Incoming>),
    /// A request that is refused before its body was read.
    Refused(StatusCode),
    /// The caller closed the connection, or it was idle for too long.
    End,
}

/// Accepts connections of callers.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let mut stage = node.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|s| *s >= Stage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tune(&stream);
                let node = node.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = run(&node, stream).await {
                        log::debug!(error:display; "connection of a caller ended");
                    }
                });
            }
            Err(error) => {
                // Accepting fails while file descriptors are used up.
                log::warn!(error:display; "no connection accepted");
                sleep(Span::from_millis(20)).await;
            }
        }
    }
}

async fn run(node: &Rc<Node>, stream: TcpStream) -> io::Result<()> {
    let mut caller = Caller { stream, buffer: BytesMut::new(), codec: Codec::new(node.http.clone()) };
    loop {
        match caller.read(node).await? {
            Read::End => return Ok(()),
            Read::Refused(status) => {
                caller.write(Answer::refusal(status, None), true).await?;
                return caller.finish().await;
            }
            Read::Request(incoming) => {
                node.open.set(node.open.get() + 1);
                let done = caller.answer(node, *incoming).await;
                node.open.set(node.open.get() - 1);
                if !done? {
                    return caller.finish().await;
                }
            }
        }
    }
}

impl Caller {
    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    async fn read(&mut self, node: &Node) -> io::Result<Read> {
        let limits = node.config.borrow().as_ref().map(|c| c.limits);
        let idle = limits.map_or(IDLE_DEFAULT, |l| l.idle) + IDLE_MARGIN;
        let mut patience = idle.as_duration();
        let mut stage = node.stage.subscribe();
        let head = loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(head))) => break head,
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) => {}
                Err(ParseError::TooLarge) => {
                    return Ok(Read::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Err(_) => return Ok(Read::Refused(StatusCode::BAD_REQUEST)),
            }
            if self.buffer.is_empty() {
                // An idle connection keeps no buffer.
                self.buffer = BytesMut::new();
            }
            let limit = limits.map_or(usize::MAX, |l| l.head);
            if self.buffer.len() > limit {
                return Ok(Read::Refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            let is_idle = self.buffer.is_empty();
            let read = tokio::select! {
                biased;
                read = tokio::time::timeout(patience, self.fill()) => read,
                // A request that crosses this close was not read, so its
                // caller may send it elsewhere.
                _ = stage.wait_for(|s| *s >= Stage::Closing), if is_idle => return Ok(Read::End),
            };
            match read {
                Ok(Ok(0)) | Err(_) => return Ok(Read::End),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error),
            }
            patience = limits.map_or(STALL_MAX, |l| l.patience.as_duration());
        };
        let came = node.now();
        self.body(head, came, limits.map_or(u64::MAX, |l| l.body)).await
    }

    async fn body(&mut self, head: Request, came: Time, max: u64) -> io::Result<Read> {
        let mut incoming = Box::new(Incoming { chunked: false, body: Vec::new(), came, head });
        if self.codec.message_type() == MessageType::None {
            return Ok(Read::Request(incoming));
        }
        incoming.chunked = incoming.head.chunked().unwrap_or(false);
        if incoming
            .head
            .headers()
            .get(EXPECT)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
        {
            self.stream.write_all(CONTINUE).await?;
        }
        let mut length = 0;
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    length += chunk.len() as u64;
                    if length > max {
                        return Ok(Read::Refused(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    push(&mut incoming.body, chunk);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(Read::Request(incoming)),
                Ok(Some(Message::Item(_))) | Err(_) => return Ok(Read::Refused(StatusCode::BAD_REQUEST)),
                Ok(None) => match tokio::time::timeout(STALL_MAX, self.fill()).await {
                    Ok(Ok(0)) | Err(_) => return Ok(Read::End),
                    Ok(read) => drop(read?),
                },
            }
        }
    }

    /// Serves a request and writes its answer, unless the caller leaves.
    /// Returns whether the connection stays open.
    async fn answer(&mut self, node: &Rc<Node>, incoming: Incoming) -> io::Result<bool> {
        let served = serve::serve(node, &incoming);
        let mut stage = node.stage.subscribe();
        let answer = tokio::select! {
            answer = served => answer,
            _ = stage.wait_for(|s| *s == Stage::Ending) => {
                // Whether the request ran is not known.
                Answer::refusal(StatusCode::GATEWAY_TIMEOUT, None)
            }
            () = gone(&self.stream, &mut self.buffer) => {
                // Dropping the request closes its connection to the target,
                // which ends the work there.
                return Ok(false);
            }
        };
        let close = node.is_leaving() || !self.codec.keep_alive();
        self.write(answer, close).await?;
        Ok(!close)
    }

    async fn write(&mut self, answer: Answer, close: bool) -> io::Result<()> {
        let mut response = Response::with_body(answer.status, ());
        for (name, value) in answer.headers {
            response.headers_mut().append(name, value);
        }
        if let Some(after) = answer.retry.and_then(retry_after) {
            response.headers_mut().insert(RETRY_AFTER, after);
        }
        if close {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let mut bytes = BytesMut::with_capacity(512 + answer.body.len());
        let size = BodySize::Sized(answer.body.len() as u64);
        self.codec.encode(Message::Item((response, size)), &mut bytes)?;
        if !answer.body.is_empty() {
            self.codec.encode(Message::Chunk(Some(answer.body)), &mut bytes)?;
        }
        self.codec.encode(Message::Chunk(None), &mut bytes)?;
        tokio::time::timeout(STALL_MAX, self.stream.write_all(&bytes)).await?
    }

    /// Closes the connection after its last answer. Unread bytes would reset
    /// it and could take the answer with them.
    async fn finish(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let drained = async {
            loop {
                self.buffer.clear();
                if self.fill().await? == 0 {
                    return Ok(());
                }
            }
        };
        tokio::time::timeout(Duration::from_secs(1), drained).await.unwrap_or(Ok(()))
    }
}

fn retry_after(after: Span) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())).ok()
}

/// Small pieces of a body are joined, so that a body of many pieces costs
/// little memory.
fn push(body: &mut Vec<Bytes>, chunk: Bytes) {
    const JOIN_BYTES: usize = 16 << 10;
    match body.last_mut() {
        Some(last) if last.len() + chunk.len() <= JOIN_BYTES => {
            let mut joined = BytesMut::with_capacity(last.len() + chunk.len());
            joined.extend_from_slice(last);
            joined.extend_from_slice(&chunk);
            *last = joined.freeze();
        }
        _ => body.push(chunk),
    }
}

/// Waits until the caller has closed the connection.
async fn gone(stream: &TcpStream, buffer: &mut BytesMut) {
    loop {
        if buffer.len() >= AHEAD_BYTES_MAX {
            return std::future::pending().await;
        }
        if stream.readable().await.is_err() {
            return;
        }
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
