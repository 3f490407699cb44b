//! Connections of callers: reads requests and writes answers.

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
    catkin_net::{Held, set_socket_options},
    std::{io, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Least free space of the buffer before a read.
const READ_BYTES: usize = 8 << 10;

/// Most bytes that are read ahead while a request is in progress.
const READ_AHEAD_BYTES_MAX: usize = 64 << 10;

/// Idle time-out of a connection before the first configuration is known.
const IDLE_TIMEOUT_DEFAULT: Span = Span::from_secs(60);

/// Added to the configured idle time-out, on which callers rely.
const IDLE_MARGIN: Span = Span::from_secs(1);

/// Longest time without progress while a caller sends a request or takes an
/// answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of an answer up to which head and body are written together.
const COPIED_BYTES_MAX: usize = 64 << 10;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A connection of a caller.
struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    codec: Codec,
    /// Counts the bytes of the buffer, of the request and of its answer.
    held: Rc<Held>,
    /// Bytes of the request's body that were read.
    body_bytes: usize,
}

/// Result of reading a request.
enum Input {
    /// A complete request.
    Request(Box<Incoming>),
    /// A request that is refused before its body is read completely.
    Refused(Answer),
    /// The caller closed the connection, or did not send in time.
    End,
}

impl Input {
    fn refused(status: StatusCode) -> Self {
        Self::Refused(Answer::local(status, None))
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequest<'a>(&'a Node);

impl<'a> OpenRequest<'a> {
    fn new(node: &'a Node) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        Self(node)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Accepts connections of callers until the process closes.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let mut stage = node.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|s| *s >= Stage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                set_socket_options(&stream);
                let node = node.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = serve_connection(&node, stream).await {
                        log::debug!(error:display; "caller connection failed");
                    }
                });
            }
            Err(error) => {
                // Accepting fails while no file descriptor is free.
                log::warn!(error:display; "failed to accept a caller connection");
                sleep(Span::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(node: &Rc<Node>, stream: TcpStream) -> io::Result<()> {
    let held = Rc::new(Held::new(stream.peer_addr()?));
    let codec = Codec::new(node.http.clone());
    let mut conn = Connection { stream, buffer: BytesMut::new(), codec, held, body_bytes: 0 };
    loop {
        match conn.read_request(node).await? {
            Input::End => return Ok(()),
            Input::Refused(answer) => {
                conn.write(answer, true).await?;
                return conn.finish().await;
            }
            Input::Request(incoming) => {
                let _open = OpenRequest::new(node);
                if !conn.answer(node, *incoming).await? {
                    return conn.finish().await;
                }
            }
        }
    }
}

impl Connection {
    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        self.count_held(0);
        read
    }

    /// Counts the bytes of the buffer, of the request and of an answer as held.
    fn count_held(&self, answer_bytes: usize) {
        self.held.set(self.buffer.capacity() + self.body_bytes + answer_bytes);
    }

    async fn read_request(&mut self, node: &Node) -> io::Result<Input> {
        let limits = node.config.borrow().as_ref().map(|c| c.limits);
        let idle = limits.map_or(IDLE_TIMEOUT_DEFAULT, |l| l.idle_timeout) + IDLE_MARGIN;
        let mut timeout = idle.as_duration();
        let held = self.held.clone();
        let mut stage = node.stage.subscribe();
        let head = loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(head))) => break head,
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) => {}
                Err(ParseError::TooLarge) => {
                    return Ok(Input::refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Err(_) => return Ok(Input::refused(StatusCode::BAD_REQUEST)),
            }
            if self.buffer.is_empty() {
                // Frees the buffer of an idle connection.
                self.buffer = BytesMut::new();
                self.count_held(0);
            }
            let limit = limits.map_or(usize::MAX, |l| l.head_bytes);
            if self.buffer.len() > limit {
                return Ok(Input::refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            let is_idle = self.buffer.is_empty();
            let read = tokio::select! {
                biased;
                () = held.ended() => return Ok(Input::End),
                read = tokio::time::timeout(timeout, self.fill()) => read,
                // A request that arrives while the connection is being closed
                // is not read, so its caller may send it to another process.
                _ = stage.wait_for(|s| *s >= Stage::Closing), if is_idle => return Ok(Input::End),
            };
            match read {
                Ok(Ok(0)) | Err(_) => return Ok(Input::End),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error),
            }
            timeout = limits.map_or(STALL_TIMEOUT, |l| l.head_timeout.as_duration());
        };
        let arrived = node.now();
        self.read_body(node, head, arrived, limits.map_or(u64::MAX, |l| l.body_bytes)).await
    }

    async fn read_body(&mut self, node: &Node, head: Request, arrived: Time, max: u64) -> io::Result<Input> {
        let mut incoming = Box::new(Incoming { chunked: false, body: Vec::new(), arrived, head });
        if self.codec.message_type() == MessageType::None {
            return Ok(Input::Request(incoming));
        }
        if let Some(answer) = serve::refuse_unconfigured(node, &incoming) {
            // Without a configuration there is no limit on the body.
            return Ok(Input::Refused(answer));
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
        let held = self.held.clone();
        let mut stage = node.stage.subscribe();
        let mut is_checked = false;
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    self.body_bytes += chunk.len();
                    if self.body_bytes as u64 > max {
                        return Ok(Input::refused(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    append_chunk(&mut incoming.body, chunk);
                    continue;
                }
                Ok(Some(Message::Chunk(None))) => return Ok(Input::Request(incoming)),
                Ok(Some(Message::Item(_))) | Err(_) => return Ok(Input::refused(StatusCode::BAD_REQUEST)),
                Ok(None) => {}
            }
            let read = tokio::select! {
                () = held.ended() => {
                    return Ok(Input::Refused(serve::refuse_held(node, &incoming)));
                }
                read = tokio::time::timeout(STALL_TIMEOUT, self.fill()) => read,
                _ = stage.wait_for(|s| *s >= Stage::Closing), if !is_checked => {
                    is_checked = true;
                    if let Some(answer) = serve::refuse_early(node, &incoming) {
                        return Ok(Input::Refused(answer));
                    }
                    continue;
                }
            };
            match read {
                Ok(Ok(0)) | Err(_) => return Ok(Input::End),
                Ok(read) => drop(read?),
            }
        }
    }

    /// Serves a request and writes its answer, unless the caller closes the
    /// connection first. Returns whether the connection stays open.
    async fn answer(&mut self, node: &Rc<Node>, incoming: Incoming) -> io::Result<bool> {
        let served = serve::serve(node, &incoming);
        let (held, body_bytes) = (self.held.clone(), self.body_bytes);
        let mut stage = node.stage.subscribe();
        let answer = tokio::select! {
            biased;
            answer = served => answer,
            _ = stage.wait_for(|s| *s == Stage::Ending) => {
                // The request may have run, so the answer must not say
                // otherwise.
                Answer::local(StatusCode::GATEWAY_TIMEOUT, None)
            }
            () = held.ended() => {
                // The same holds for a request that ends for its bytes.
                Answer::local(StatusCode::GATEWAY_TIMEOUT, None)
            }
            () = wait_closed(&self.stream, &mut self.buffer, |bytes| held.set(bytes + body_bytes)) => {
                // Dropping the future closes the connection to the target,
                // which ends the work there.
                return Ok(false);
            }
        };
        // A request that was read ahead must be answered too.
        let is_last = node.is_draining() && self.buffer.is_empty();
        let close = is_last || !self.codec.keep_alive() || self.held.is_ended();
        drop(incoming);
        self.body_bytes = 0;
        self.write(answer, close).await?;
        self.count_held(0);
        Ok(!close)
    }

    async fn write(&mut self, answer: Answer, close: bool) -> io::Result<()> {
        let length = answer.body.len();
        let mut response = Response::with_body(answer.status, ());
        for (name, value) in answer.headers {
            response.headers_mut().append(name, value);
        }
        if let Some(after) = answer.retry_after.and_then(retry_after_value) {
            response.headers_mut().insert(RETRY_AFTER, after);
        }
        if close {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        let body = answer.body;
        self.count_held(length);
        // From now on the bytes are held for the caller.
        drop(answer.held);
        let mut bytes = BytesMut::with_capacity(512 + length.min(COPIED_BYTES_MAX));
        self.codec.encode(Message::Item((response, BodySize::Sized(length as u64))), &mut bytes)?;
        if length > COPIED_BYTES_MAX {
            self.write_bytes(&bytes).await?;
            return self.write_bytes(&body).await;
        }
        if !body.is_empty() {
            self.codec.encode(Message::Chunk(Some(body)), &mut bytes)?;
        }
        self.codec.encode(Message::Chunk(None), &mut bytes)?;
        self.write_bytes(&bytes).await
    }

    async fn write_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        let held = self.held.clone();
        tokio::select! {
            biased;
            written = tokio::time::timeout(STALL_TIMEOUT, self.stream.write_all(bytes)) => written?,
            () = held.ended() => Err(Held::error()),
        }
    }

    /// Closes the connection after its last answer. Reads the remaining bytes
    /// first: unread bytes would reset the connection and could discard the
    /// answer.
    async fn finish(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let drain = async {
            loop {
                self.buffer.clear();
                if self.fill().await? == 0 {
                    return Ok(());
                }
            }
        };
        tokio::time::timeout(Duration::from_secs(1), drain).await.unwrap_or(Ok(()))
    }
}

fn retry_after_value(after: Span) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())).ok()
}

/// Appends a chunk to a body. Small chunks are merged, so that a body of many
/// chunks needs little memory.
fn append_chunk(body: &mut Vec<Bytes>, chunk: Bytes) {
    const MERGED_BYTES_MAX: usize = 16 << 10;
    match body.last_mut() {
        Some(last) if last.len() + chunk.len() <= MERGED_BYTES_MAX => {
            let mut merged = BytesMut::with_capacity(last.len() + chunk.len());
            merged.extend_from_slice(last);
            merged.extend_from_slice(&chunk);
            *last = merged.freeze();
        }
        _ => body.push(chunk),
    }
}

/// Waits until the caller has closed the connection. Buffers the bytes that
/// arrive meanwhile; waits forever once the buffer is full.
/// `on_read` is called with the size of the buffer.
async fn wait_closed(stream: &TcpStream, buffer: &mut BytesMut, on_read: impl Fn(usize)) {
    loop {
        if buffer.len() >= READ_AHEAD_BYTES_MAX {
            return std::future::pending().await;
        }
        if stream.readable().await.is_err() {
            return;
        }
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Ok(0) => return,
            Ok(_) => on_read(buffer.capacity()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
