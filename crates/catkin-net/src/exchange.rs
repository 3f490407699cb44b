//! Exchange of a request and its answer on a persistent HTTP/1.1 connection.
//!
//! A connection carries one request at a time. It may be reused only after a
//! complete answer without trailing bytes; [`Conn::is_idle`] checks this again
//! before the next request.
//!
//! [`Conn::exchange`] returns a complete answer. [`Conn::begin`] returns at its
//! head; its body is then read step by step, so that it may be forwarded before it
//! is complete.

use {
    crate::{body::Body, held::Held},
    actix_http::{
        Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Uri,
        body::BodySize,
        h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
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

/// Maximum size of the body of an answer that is held in memory.
pub const ANSWER_BYTES_MAX: usize = 8 << 20;

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

/// Bytes of an answer that the system buffers beyond what it has sent. Without this
/// limit it takes megabytes for a peer that reads slowly, and a write that waits says
/// nothing about whether the peer reads.
const UNSENT_BYTES_MAX: u32 = 64 << 10;

/// Limits the bytes that the system buffers for a peer that reads slowly.
pub fn limit_unsent(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_BYTES_MAX);
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

/// How the end of a body is found.
enum Framing {
    /// There is no body, or all of it is decoded.
    Done,
    /// By its length or its last chunk.
    Payload(ClientPayloadCodec),
    /// By the end of its connection.
    Close,
}

/// An answer whose head has arrived.
pub struct Reply {
    /// Status and headers.
    pub head: ResponseHead,
    framing: Framing,
    body: Body,
    /// Bytes of the body that were decoded.
    decoded: usize,
    /// Bytes of the connection before the body.
    start: usize,
    /// Whether the connection may be reused after a complete answer.
    keep: bool,
    out: Outgoing,
    held: Option<Held>,
}

impl Reply {
    /// Returns whether the whole body has arrived.
    pub fn is_complete(&self) -> bool {
        matches!(self.framing, Framing::Done)
    }

    /// Returns the length that the answer gives for its body, if it gives one.
    pub fn length(&self) -> Option<u64> {
        let headers = self.head.headers();
        if headers.contains_key(TRANSFER_ENCODING) || matches!(self.framing, Framing::Close) {
            return None;
        }
        headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
    }

    /// Returns the number of bytes of the body that were decoded so far.
    pub fn decoded(&self) -> usize {
        self.decoded
    }

    /// Returns the part of the body that was read and not yet taken.
    pub fn body_mut(&mut self) -> &mut Body {
        &mut self.body
    }

    /// Stops counting the bytes of the answer as held, and ending the exchange for
    /// them. The reader of its body must do so.
    pub fn release(&mut self) {
        self.held = None;
        if self.out.is_done() {
            // The body of the request is not needed for the rest of the answer.
            self.out = Outgoing { written: self.out.written, ..Outgoing::default() };
        }
    }
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
        let mut reply = self.begin(head, body, chunked, is_own).await?;
        self.hold(&mut reply, ANSWER_BYTES_MAX).await?;
        self.finish(reply)
    }

    /// Sends a request with its body and reads the head of the answer. Answers for
    /// which `is_own` returns false belong to another request and are skipped.
    ///
    /// # Errors
    ///
    /// As [`exchange`](Self::exchange).
    pub async fn begin(
        &mut self,
        head: RequestHead,
        body: Vec<Bytes>,
        chunked: bool,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Reply, ExchangeError> {
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
            result = self.read_head(codec, &mut out, is_own, &held) => result,
        };
        match result {
            Ok((head, framing, keep)) => {
                let start = self.received.get() - self.buffer.len();
                let body = Body::default();
                Ok(Reply { head, framing, body, decoded: 0, start, keep, out, held: Some(held) })
            }
            Err((error, answered)) => Err(ExchangeError { error, sent: out.written > 0, answered }),
        }
    }

    /// Reads the body of an answer until it is complete or more than `max` bytes of
    /// it have arrived. With a `max` of zero, takes only what was received. If the
    /// future is dropped, nothing is lost.
    ///
    /// # Errors
    ///
    /// As [`exchange`](Self::exchange).
    pub async fn hold(&mut self, reply: &mut Reply, max: usize) -> Result<(), ExchangeError> {
        loop {
            let read = match self.decode(reply) {
                Ok(()) if reply.is_complete() || max == 0 || reply.body.len() > max => return Ok(()),
                Ok(()) => self.fill(reply).await,
                Err(error) => Err(error),
            };
            let sent = reply.out.written > 0;
            read.map_err(|error| ExchangeError { error, sent, answered: true })?;
        }
    }

    /// Returns a complete answer.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if the answer is not complete, which is so if it is larger
    /// than what was to be held.
    pub fn finish(&self, reply: Reply) -> Result<HttpAnswer, ExchangeError> {
        if !reply.is_complete() {
            let (error, sent) = (invalid("answer too large"), reply.out.written > 0);
            return Err(ExchangeError { error, sent, answered: true });
        }
        let reusable = self.is_reusable_after(&reply);
        let Reply { head, body, held, .. } = reply;
        let body = body.into_bytes();
        let held = held.unwrap_or_else(|| Held::new(self.peer));
        held.set(body.len());
        Ok(HttpAnswer { head, body, reusable, held })
    }

    /// Returns whether the connection may carry another request after an answer.
    pub fn is_reusable_after(&self, reply: &Reply) -> bool {
        reply.is_complete() && reply.keep && self.buffer.is_empty() && reply.out.is_done()
    }

    /// Returns the size of the buffer of the connection and of what an answer holds.
    pub fn buffered(&self, reply: &Reply) -> usize {
        reply.out.copied + self.buffer.capacity() + reply.body.capacity()
    }

    /// Reads more bytes of an answer, or writes more of its request. If the future is
    /// dropped, nothing is lost.
    ///
    /// # Errors
    ///
    /// That of the system, or that the exchange must end since the process holds too
    /// many bytes.
    pub async fn fill(&mut self, reply: &mut Reply) -> io::Result<()> {
        let Reply { out, held, framing, .. } = reply;
        let ended = async {
            match held {
                Some(held) => held.ended().await,
                None => std::future::pending().await,
            }
        };
        let read = tokio::select! {
            biased;
            () = ended => Err(Held::error()),
            read = self.read_or_write(out) => read,
        };
        match read {
            // A body without a length ends with its connection; a reset is an error.
            Err(e) if matches!(framing, Framing::Close) && e.kind() == io::ErrorKind::UnexpectedEof => {
                self.end_body(reply);
                Ok(())
            }
            read => read,
        }
    }

    /// Decodes what was received of the body of an answer.
    ///
    /// # Errors
    ///
    /// `InvalidData` if it is malformed.
    pub fn decode(&mut self, reply: &mut Reply) -> io::Result<()> {
        loop {
            let chunk = match &mut reply.framing {
                Framing::Done => {
                    self.end_body(reply);
                    return Ok(());
                }
                Framing::Close if self.buffer.is_empty() => None,
                Framing::Close => Some(Some(self.buffer.split().freeze())),
                Framing::Payload(codec) => {
                    codec.decode(&mut self.buffer).map_err(|e| invalid(e.to_string()))?
                }
            };
            match &chunk {
                Some(Some(chunk)) => {
                    reply.decoded += chunk.len();
                    reply.body.push(chunk);
                }
                Some(None) => reply.framing = Framing::Done,
                None => {}
            }
            let framing = self.received.get() - self.buffer.len() - reply.start - reply.decoded;
            if framing > HEAD_BYTES_MAX + FRAMING_RATIO_MAX * reply.decoded {
                return Err(invalid("too much framing in a body"));
            }
            if chunk.is_none() {
                if let Some(held) = &reply.held {
                    held.set(self.buffered(reply));
                }
                return Ok(());
            }
        }
    }

    /// Ends an answer that is complete.
    fn end_body(&mut self, reply: &mut Reply) {
        reply.framing = Framing::Done;
        self.busy = !reply.out.is_done();
        if self.buffer.is_empty() {
            // An idle connection keeps no buffer, since there may be hundreds.
            self.buffer = BytesMut::new();
        }
    }

    async fn read_head(
        &mut self,
        mut codec: ClientCodec,
        out: &mut Outgoing,
        is_own: impl Fn(&ResponseHead) -> bool,
        held: &Held,
    ) -> Result<(ResponseHead, Framing, bool), (io::Error, bool)> {
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
                return match is_own(&head) {
                    true => Ok((head, Framing::Close, false)),
                    false => Err((invalid("answer of another request"), true)),
                };
            }
            if codec.message_type() == MessageType::None {
                if is_own(&head) {
                    return Ok((head, Framing::Done, keep));
                }
                continue;
            }
            let mut payload = codec.into_payload_codec();
            if is_own(&head) {
                return Ok((head, Framing::Payload(payload), keep));
            }
            self.skip_body(&mut payload, out, held).await.map_err(|e| (e, true))?;
            codec = payload.into_message_codec();
        }
    }

    /// Reads the body of an answer that belongs to another request.
    async fn skip_body(
        &mut self,
        payload: &mut ClientPayloadCodec,
        out: &mut Outgoing,
        held: &Held,
    ) -> io::Result<()> {
        let start = self.received.get() - self.buffer.len();
        let mut skipped = 0;
        loop {
            match payload.decode(&mut self.buffer).map_err(|e| invalid(e.to_string()))? {
                Some(Some(chunk)) => skipped += chunk.len(),
                Some(None) => return Ok(()),
                None => self.read_or_write(out).await?,
            }
            held.set(out.copied + self.buffer.capacity());
            if skipped > ANSWER_BYTES_MAX {
                return Err(invalid("answer too large"));
            }
            let framing = self.received.get() - self.buffer.len() - start - skipped;
            if framing > HEAD_BYTES_MAX + FRAMING_RATIO_MAX * skipped {
                return Err(invalid("too much framing in a body"));
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
