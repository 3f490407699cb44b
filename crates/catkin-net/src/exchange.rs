//! One request and its answer on a kept HTTP/1.1 connection.
//!
//! A connection carries one request at a time. It may be used again only after
//! a complete answer with nothing behind it; [`Conn::is_quiet`] checks this
//! once more before the next request.

use {
    actix_http::{
        Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Uri,
        body::BodySize,
        h1::{ClientCodec, Message, MessageType},
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    bytes::{Bytes, BytesMut},
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Bytes read at a time.
const READ_BYTES: usize = 16 << 10;

/// Largest complete answer that is held in memory.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// Largest head of an answer.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Time after which unacknowledged data or a silent peer ends a connection.
/// A machine without power answers nothing.
const SILENCE_MAX: Duration = Duration::from_secs(3);

/// Sets the options of a connection: no delay, and an end when the peer's
/// machine is silent.
pub fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE_MAX));
    let probes = TcpKeepalive::new().with_time(SILENCE_MAX).with_interval(Duration::from_secs(1));
    let _ = socket.set_tcp_keepalive(&probes);
}

/// Makes a request without headers.
pub fn request(method: Method, uri: Uri) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head
}

/// A connection to a server.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buffer: BytesMut,
    config: ServiceConfig,
    /// Whether a request was begun and has no complete answer.
    busy: bool,
}

impl Drop for Conn {
    /// Resets a connection whose request was given up. Bytes that a partition
    /// holds up would be delivered after an ordinary close.
    fn drop(&mut self) {
        if self.busy {
            let _ = self.stream.set_zero_linger();
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: ResponseHead,
    /// The whole body.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

/// Why an exchange has no complete answer.
#[derive(Debug)]
pub struct Broken {
    /// What happened.
    pub error: io::Error,
    /// Whether any byte of the request was handed to the system.
    pub sent: bool,
    /// Whether any byte of an answer arrived.
    pub answered: bool,
}

fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// The bytes of a request that are still to be written.
#[derive(Debug, Default)]
struct Outgoing {
    parts: Vec<Bytes>,
    next: usize,
    offset: usize,
    written: u64,
}

impl Outgoing {
    fn rest(&self) -> &[u8] {
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
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The system's error, or a time-out.
    pub async fn open(addr: SocketAddr, within: Duration, config: ServiceConfig) -> io::Result<Self> {
        let stream = tokio::time::timeout(within, TcpStream::connect(addr)).await??;
        tune(&stream);
        Ok(Self { stream, buffer: BytesMut::new(), config, busy: false })
    }

    /// Returns whether the connection is open and nothing unasked has arrived.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let idle = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && idle.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request with its whole body and reads the answer. Answers that
    /// `is_own` refuses belong to another request and are skipped.
    ///
    /// # Errors
    ///
    /// [`Broken`] if no complete answer arrives. The connection must not be
    /// used again then.
    pub async fn exchange(
        &mut self,
        head: RequestHead,
        body: Vec<Bytes>,
        chunked: bool,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Reply, Broken> {
        let mut codec = ClientCodec::new(self.config.clone());
        let mut out = encode(&mut codec, head, body, chunked).map_err(|error| Broken {
            error,
            sent: false,
            answered: false,
        })?;
        self.busy = true;
        let result = self.run(codec, &mut out, is_own).await;
        self.busy = result.is_err() || !out.is_done();
        if self.buffer.is_empty() {
            // An idle connection keeps no buffer; there may be hundreds.
            self.buffer = BytesMut::new();
        }
        match result {
            Ok((head, body, reusable)) => Ok(Reply { head, body, reusable: reusable && out.is_done() }),
            Err((error, answered)) => Err(Broken { error, sent: out.written > 0, answered }),
        }
    }

    async fn run(
        &mut self,
        mut codec: ClientCodec,
        out: &mut Outgoing,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<(ResponseHead, Bytes, bool), (io::Error, bool)> {
        loop {
            let head = loop {
                let decoded = codec.decode(&mut self.buffer).map_err(|e| (invalid(e.to_string()), true))?;
                match decoded {
                    Some(head) if head.status.is_informational() => {}
                    Some(head) => break head,
                    None if self.buffer.len() > HEAD_BYTES_MAX => {
                        return Err((invalid("head too large"), true));
                    }
                    None => {
                        let before = !self.buffer.is_empty();
                        self.progress(out).await.map_err(|e| (e, before))?;
                    }
                }
            };
            let keep = codec.keep_alive() && !closes(&head);
            if is_unframed(&head, &codec) {
                let body = self.rest(out).await.map_err(|e| (e, true))?;
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
            let mut body = BytesMut::new();
            loop {
                match payload.decode(&mut self.buffer).map_err(|e| (invalid(e.to_string()), true))? {
                    Some(Some(chunk)) => body.extend_from_slice(&chunk),
                    Some(None) => break,
                    None => self.progress(out).await.map_err(|e| (e, true))?,
                }
                if body.len() > ANSWER_BYTES_MAX {
                    return Err((invalid("answer too large"), true));
                }
            }
            if is_own(&head) {
                return Ok((head, body.freeze(), keep && self.buffer.is_empty()));
            }
            codec = payload.into_message_codec();
        }
    }

    /// Reads an answer that ends with its connection. A reset is no such end.
    async fn rest(&mut self, out: &mut Outgoing) -> io::Result<Bytes> {
        loop {
            match self.progress(out).await {
                Ok(()) if self.buffer.len() > ANSWER_BYTES_MAX => return Err(invalid("answer too large")),
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => {
                    return Ok(self.buffer.split().freeze());
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes and reads what is possible; waits until at least one is.
    async fn progress(&mut self, out: &mut Outgoing) -> io::Result<()> {
        self.buffer.reserve(READ_BYTES);
        if out.is_done() {
            return read_some(self.stream.read_buf(&mut self.buffer).await);
        }
        let (mut reader, mut writer) = self.stream.split();
        let written = tokio::select! {
            biased;
            read = reader.read_buf(&mut self.buffer) => return read_some(read),
            written = writer.write(out.rest()) => written,
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

fn read_some(read: io::Result<usize>) -> io::Result<()> {
    match read {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Returns whether an answer has neither a length nor chunks. The codec takes
/// such an answer for one without a body unless it closes its connection.
fn is_unframed(head: &ResponseHead, codec: &ClientCodec) -> bool {
    let headers = head.headers();
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !framed && !bodiless || codec.message_type() == MessageType::Stream
}

fn closes(head: &ResponseHead) -> bool {
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
    Ok(Outgoing { parts: vec![bytes.freeze()], ..Outgoing::default() })
}
