//! Exchange of a request and its answer on a persistent HTTP/1.1 connection.
//!
//! A connection carries one request at a time. It may be reused only after a
//! complete answer without trailing bytes; [`Conn::is_idle`] checks this again
//! before the next request.

use {
    crate::{body::Body, held::Held},
    actix_http::{
        Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Uri,
        body::BodySize,
        h1::{ClientCodec, Message, MessageType},
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    bytes::{Bytes, BytesMut},
    catkin::types::ConnId,
    socket2::{SockRef, TcpKeepalive},
    std::{
        cell::Cell,
        io,
        net::SocketAddr,
        rc::Rc,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Maximum size of an answer body, which is held in memory.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// Maximum size of the head of an answer.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Most informational answers before the final one.
const INFORMATIONAL_MAX: u32 = 16;

/// Most bytes of framing for each byte of a body, beside those of a head.
const FRAMING_RATIO_MAX: usize = 16;

/// Time after which unacknowledged data or an unreachable peer closes a
/// connection. A machine that loses power closes no connection itself.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of connections that this process has opened.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// Sets the socket options of a connection: no delay for small writes, and
/// timeouts that close the connection if the peer's machine is unreachable.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(PEER_TIMEOUT));
    let probes = TcpKeepalive::new().with_time(PEER_TIMEOUT).with_interval(Duration::from_secs(1));
    let _ = socket.set_tcp_keepalive(&probes);
}

/// Bounds the bytes that the system holds for a connection until the other end has
/// taken them.
pub fn limit_send_buffer(stream: &TcpStream, bytes: usize) {
    // The system reserves twice the size, for its own bookkeeping.
    let _ = SockRef::from(stream).set_send_buffer_size(bytes);
}

/// Creates a request head without headers.
pub fn request_head(method: Method, uri: Uri) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head
}

/// A persistent connection to a server.
#[derive(Debug)]
pub struct Conn {
    id: ConnId,
    peer: SocketAddr,
    stream: TcpStream,
    buffer: BytesMut,
    config: ServiceConfig,
    /// Whether a request was started and has no complete answer.
    busy: bool,
    /// Bytes that were received since the connection was opened.
    received: Rc<Cell<usize>>,
}

impl Drop for Conn {
    /// Resets a connection whose request was abandoned. After an ordinary close,
    /// bytes delayed by a network partition would still be delivered.
    fn drop(&mut self) {
        if self.busy {
            let _ = self.stream.set_zero_linger();
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status and headers.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub reusable: bool,
    /// Counts the body as held.
    pub held: Held,
}

/// Error of an exchange without a complete answer.
#[derive(Debug)]
pub struct ExchangeError {
    /// I/O or protocol error.
    pub error: io::Error,
    /// Whether any byte of the request was written to the socket.
    pub sent: bool,
    /// Whether any byte of an answer was received.
    pub answered: bool,
}

fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Bytes of a request, and how many of them are written.
#[derive(Debug, Default)]
struct Outgoing {
    parts: Vec<Bytes>,
    next: usize,
    offset: usize,
    written: u64,
    /// Size of an own copy of the body.
    copied: usize,
}

impl Outgoing {
    fn remaining(&self) -> &[u8] {
        self.parts.get(self.next).map_or(&[], |part| &part[self.offset..])
    }

    fn is_done(&self) -> bool {
        self.next >= self.parts.len()
    }

    fn advance(&mut self, count: usize) {
        self.written += count as u64;
        self.offset += count;
        while !self.is_done() && self.offset >= self.parts[self.next].len() {
            self.offset -= self.parts[self.next].len();
            self.next += 1;
        }
    }
}

impl Conn {
    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// The error of the system, or a timeout after `within`.
    pub async fn open(addr: SocketAddr, within: Duration, config: ServiceConfig) -> io::Result<Self> {
        let stream = tokio::time::timeout(within, TcpStream::connect(addr)).await??;
        set_socket_options(&stream);
        let id = ConnId(OPENED.fetch_add(1, Ordering::Relaxed) + 1);
        Ok(Self {
            id,
            peer: addr,
            stream,
            buffer: BytesMut::new(),
            config,
            busy: false,
            received: Rc::default(),
        })
    }

    /// Returns the number of the connection, which no other one of this process
    /// has.
    pub fn id(&self) -> ConnId {
        self.id
    }

    /// Returns the number of bytes that were received so far. It is current during
    /// an exchange.
    pub fn received(&self) -> Rc<Cell<usize>> {
        self.received.clone()
    }

    /// Returns whether the connection is open and has received no unexpected
    /// bytes.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request with its body and reads the answer. Answers for which
    /// `is_own` returns false belong to another request and are skipped.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if no complete answer arrives, or if the exchange must
    /// end since the process holds too many bytes, see [`Held`]. The connection
    /// must then not be reused.
    pub async fn exchange(
        &mut self,
        head: RequestHead,
        body: Vec<Bytes>,
        chunked: bool,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<HttpAnswer, ExchangeError> {
        let mut codec = ClientCodec::new(self.config.clone());
        let mut out = encode(&mut codec, head, body, chunked).map_err(|error| ExchangeError {
            error,
            sent: false,
            answered: false,
        })?;
        self.busy = true;
        let held = Held::new(self.peer);
        let result = tokio::select! {
            biased;
            () = held.ended() => Err((Held::error(), true)),
            result = self.transfer(codec, &mut out, is_own, &held) => result,
        };
        self.busy = result.is_err() || !out.is_done();
        if self.buffer.is_empty() {
            // An idle connection keeps no buffer, since there may be hundreds.
            self.buffer = BytesMut::new();
        }
        match result {
            Ok((head, body, reusable)) => {
                held.set(body.len());
                Ok(HttpAnswer { head, body, reusable: reusable && out.is_done(), held })
            }
            Err((error, answered)) => Err(ExchangeError { error, sent: out.written > 0, answered }),
        }
    }

    async fn transfer(
        &mut self,
        mut codec: ClientCodec,
        out: &mut Outgoing,
        is_own: impl Fn(&ResponseHead) -> bool,
        held: &Held,
    ) -> Result<(ResponseHead, Bytes, bool), (io::Error, bool)> {
        loop {
            let mut informational = 0;
            let head = loop {
                let decoded = codec.decode(&mut self.buffer).map_err(|e| (invalid(e.to_string()), true))?;
                match decoded {
                    Some(head) if head.status.is_informational() => {
                        informational += 1;
                        if informational > INFORMATIONAL_MAX {
                            return Err((invalid("too many informational answers"), true));
                        }
                    }
                    Some(head) => break head,
                    None if self.buffer.len() > HEAD_BYTES_MAX => {
                        return Err((invalid("head too large"), true));
                    }
                    None => {
                        let answered = !self.buffer.is_empty();
                        self.read_or_write(out).await.map_err(|e| (e, answered))?;
                        held.set(out.copied + self.buffer.capacity());
                    }
                }
            };
            let keep = codec.keep_alive() && !has_close(&head);
            if is_unframed(&head, &codec) {
                let body = self.read_to_close(out, held).await.map_err(|e| (e, true))?;
                return match is_own(&head) {
                    true => Ok((head, body, false)),
                    false => Err((invalid("answer of another request"), true)),
                };
            }
            if codec.message_type() == MessageType::None {
                if is_own(&head) {
                    return Ok((head, Bytes::new(), keep && self.buffer.is_empty()));
                }
                continue;
            }
            let mut payload = codec.into_payload_codec();
            let mut body = Body::default();
            let start = self.received.get() - self.buffer.len();
            loop {
                match payload.decode(&mut self.buffer).map_err(|e| (invalid(e.to_string()), true))? {
                    Some(Some(chunk)) => body.push(&chunk),
                    Some(None) => break,
                    None => self.read_or_write(out).await.map_err(|e| (e, true))?,
                }
                held.set(out.copied + self.buffer.capacity() + body.capacity());
                if body.len() > ANSWER_BYTES_MAX {
                    return Err((invalid("answer too large"), true));
                }
                let framing = self.received.get() - self.buffer.len() - start - body.len();
                if framing > HEAD_BYTES_MAX + FRAMING_RATIO_MAX * body.len() {
                    return Err((invalid("too much framing in a body"), true));
                }
            }
            if is_own(&head) {
                return Ok((head, body.into_bytes(), keep && self.buffer.is_empty()));
            }
            codec = payload.into_message_codec();
        }
    }

    /// Reads a body that ends when its connection closes. A reset is an error.
    async fn read_to_close(&mut self, out: &mut Outgoing, held: &Held) -> io::Result<Bytes> {
        let mut body = Body::default();
        loop {
            body.push(&self.buffer.split());
            held.set(out.copied + self.buffer.capacity() + body.capacity());
            if body.len() > ANSWER_BYTES_MAX {
                return Err(invalid("answer too large"));
            }
            match self.read_or_write(out).await {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(body.into_bytes()),
                Err(e) => return Err(e),
            }
        }
    }

    /// Waits until the socket can be read or written, and does one of them. Thousands of
    /// exchanges may wait at once, so a buffer is reserved only for bytes that have
    /// arrived.
    async fn read_or_write(&mut self, out: &mut Outgoing) -> io::Result<()> {
        if out.is_done() {
            self.stream.readable().await?;
            self.buffer.reserve(READ_BUFFER_BYTES);
            let count = check_read(self.stream.read_buf(&mut self.buffer).await)?;
            self.received.set(self.received.get() + count);
            return Ok(());
        }
        let (reader, mut writer) = self.stream.split();
        let written = tokio::select! {
            biased;
            readable = reader.readable() => {
                readable?;
                self.buffer.reserve(READ_BUFFER_BYTES);
                // Nothing may have arrived after all, and the request must be written.
                match reader.try_read_buf(&mut self.buffer) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    read => self.received.set(self.received.get() + check_read(read)?),
                }
                tokio::task::coop::consume_budget().await;
                return Ok(());
            }
            written = writer.write(out.remaining()) => written,
        };
        match written {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                out.advance(count);
                Ok(())
            }
            Err(error) => Err(error),
        }
    }
}

fn check_read(read: io::Result<usize>) -> io::Result<usize> {
    match read {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        read => read,
    }
}

/// Returns whether the body of an answer has neither a length nor chunks. The
/// codec treats such an answer as one without a body, unless the answer closes
/// its connection.
fn is_unframed(head: &ResponseHead, codec: &ClientCodec) -> bool {
    let headers = head.headers();
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !framed && !has_no_body || codec.message_type() == MessageType::Stream
}

fn has_close(head: &ResponseHead) -> bool {
    head.headers()
        .get(actix_http::header::CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().contains("close"))
}

fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: Vec<Bytes>,
    chunked: bool,
) -> io::Result<Outgoing> {
    let length: usize = body.iter().map(Bytes::len).sum();
    let size = match (chunked, length) {
        (true, _) => BodySize::Stream,
        (false, 0) => BodySize::None,
        (false, length) => BodySize::Sized(length as u64),
    };
    let mut bytes = BytesMut::new();
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut bytes)?;
    if !chunked {
        let parts = std::iter::once(bytes.freeze()).chain(body).filter(|part| !part.is_empty());
        return Ok(Outgoing { parts: parts.collect(), ..Outgoing::default() });
    }
    for chunk in body {
        codec.encode(Message::Chunk(Some(chunk)), &mut bytes)?;
    }
    codec.encode(Message::Chunk(None), &mut bytes)?;
    let copied = bytes.len();
    Ok(Outgoing { parts: vec![bytes.freeze()], copied, ..Outgoing::default() })
}
