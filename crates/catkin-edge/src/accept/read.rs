//! Reads the requests of one caller's connection.

use {
    crate::{
        due::DueAnswer,
        node::{Node, Stage},
        serve::{self, Answer, Incoming},
    },
    actix_http::{
        HttpMessage, Request, StatusCode,
        error::ParseError,
        h1::{Codec, Message, MessageType},
        header::EXPECT,
    },
    bytes::{Bytes, BytesMut},
    catkin::types::{Span, Time},
    catkin_net::Held,
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
        sync::Mutex,
    },
    tokio_util::codec::Decoder,
};

/// Least free space of the buffer before a read.
const READ_BYTES: usize = 8 << 10;

/// Most bytes that are read ahead while no further request is taken.
const READ_AHEAD_BYTES_MAX: usize = 64 << 10;

/// Idle time-out of a connection before the first configuration is known.
const IDLE_TIMEOUT_DEFAULT: Span = Span::from_secs(60);

/// Added to the configured idle time-out, on which callers rely.
const IDLE_MARGIN: Span = Span::from_secs(1);

/// Longest time without progress while a caller sends a request or takes an
/// answer.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(5);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// State of a connection that its reader and its writer share.
pub(super) struct Shared {
    /// Counts the bytes of the buffer, of the requests and of the answer.
    pub(super) held: Held,
    buffer_bytes: Cell<usize>,
    /// Bytes of the bodies of requests that are not yet answered.
    body_bytes: Cell<usize>,
    answer_bytes: Cell<usize>,
    /// Whether a part of a further request was read.
    pub(super) is_reading: Cell<bool>,
    /// Number of requests that are not yet answered.
    pub(super) open: Cell<usize>,
    /// When the last answer was written, or the connection was opened.
    pub(super) last_active: Cell<Time>,
    /// Whether a part of an answer was written whose rest is still to come.
    pub(super) is_partial: Cell<bool>,
    /// Counts the answer that is being written as due on the link.
    pub(super) due: RefCell<Option<DueAnswer>>,
    /// Address of the caller.
    caller: SocketAddr,
    /// Half on which answers are written.
    pub(super) writer: Mutex<OwnedWriteHalf>,
}

impl Shared {
    pub(super) fn new(caller: SocketAddr, writer: OwnedWriteHalf, now: Time) -> Self {
        Self {
            held: Held::new(caller),
            is_partial: Cell::new(false),
            due: RefCell::default(),
            caller,
            buffer_bytes: Cell::new(0),
            body_bytes: Cell::new(0),
            answer_bytes: Cell::new(0),
            is_reading: Cell::new(false),
            open: Cell::new(0),
            last_active: Cell::new(now),
            writer: Mutex::new(writer),
        }
    }

    fn count_held(&self) {
        self.held.set(self.buffer_bytes.get() + self.body_bytes.get() + self.answer_bytes.get());
    }

    fn set_buffer(&self, buffer: &BytesMut) {
        self.buffer_bytes.set(buffer.capacity());
        self.count_held();
    }

    /// Sets the bytes of the answer that is being written.
    pub(super) fn set_answer(&self, bytes: usize) {
        self.answer_bytes.set(bytes);
        self.count_held();
    }

    fn add_body(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get() + bytes);
    }

    /// Removes the body of a request that is answered.
    pub(super) fn remove_body(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get().saturating_sub(bytes));
        self.count_held();
    }
}

/// A complete request and the codec that encodes its answer: what the codec
/// knows of the last request it has decoded decides how the answer is framed.
pub(super) struct Decoded {
    pub(super) incoming: Box<Incoming>,
    pub(super) codec: Codec,
    pub(super) body_bytes: usize,
}

impl Decoded {
    /// Returns whether the request changes nothing at its target.
    pub(super) fn is_safe(&self) -> bool {
        self.incoming.head.method().is_safe()
    }
}

/// Result of reading a request.
pub(super) enum Input {
    /// A complete request.
    Request(Decoded),
    /// A request that is refused before its body is read completely.
    Refused(Answer, Codec),
    /// The caller sends no further request in time, or the process is closing.
    End,
    /// The caller closed the connection.
    Closed,
}

fn refused(status: StatusCode, codec: Codec) -> Input {
    Input::Refused(Answer::local(status, None), codec)
}

/// Reader of one connection.
pub(super) struct Reader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

impl Reader {
    pub(super) fn new(stream: OwnedReadHalf) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    async fn fill(&mut self, shared: &Shared) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await;
        shared.set_buffer(&self.buffer);
        read
    }

    /// Reads until the caller has closed the connection and discards what
    /// arrives.
    pub(super) async fn discard(&mut self, shared: &Shared) -> io::Result<()> {
        loop {
            self.buffer.clear();
            if self.fill(shared).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Waits until the caller has closed the connection. Buffers the bytes that
    /// arrive meanwhile; waits forever once the buffer is full.
    pub(super) async fn closed(&mut self, shared: &Shared) {
        loop {
            if self.buffer.len() >= READ_AHEAD_BYTES_MAX {
                return std::future::pending().await;
            }
            if self.stream.readable().await.is_err() {
                return;
            }
            self.buffer.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return,
                Ok(_) => {
                    shared.is_reading.set(true);
                    shared.set_buffer(&self.buffer);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Reads the next request. If the future is dropped, a part of a request may
    /// be lost.
    pub(super) async fn next(&mut self, node: &Node, shared: &Shared) -> io::Result<Input> {
        let mut codec = Codec::new(node.http.clone());
        let limits = node.config.borrow().as_ref().map(|c| c.limits);
        let idle = limits.map_or(IDLE_TIMEOUT_DEFAULT, |l| l.idle_timeout) + IDLE_MARGIN;
        let mut stage = node.stage.subscribe();
        let head = loop {
            match codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(head))) => break head,
                Ok(Some(Message::Chunk(_)) | None) => {}
                Err(ParseError::TooLarge) => {
                    return Ok(refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, codec));
                }
                Err(_) => return Ok(refused(StatusCode::BAD_REQUEST, codec)),
            }
            let is_idle = self.buffer.is_empty();
            shared.is_reading.set(!is_idle);
            if is_idle {
                // Frees the buffer of an idle connection.
                self.buffer = BytesMut::new();
                shared.set_buffer(&self.buffer);
            }
            let limit = limits.map_or(usize::MAX, |l| l.head_bytes);
            if self.buffer.len() > limit {
                return Ok(refused(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, codec));
            }
            let timeout = match is_idle {
                true => idle.saturating_sub(node.now().since(shared.last_active.get())).as_duration(),
                false => limits.map_or(STALL_TIMEOUT, |l| l.head_timeout.as_duration()),
            };
            // An answer that takes long leaves the connection open.
            let timeout = if is_idle && shared.open.get() > 0 { idle.as_duration() } else { timeout };
            let read = tokio::select! {
                biased;
                () = shared.held.ended() => return Ok(Input::Closed),
                read = tokio::time::timeout(timeout, self.fill(shared)) => read,
                // A request that arrives while the connection is being closed
                // is not read, so its caller may send it to another process.
                _ = stage.wait_for(|s| *s >= Stage::Closing), if is_idle => return Ok(Input::End),
            };
            match read {
                Ok(Ok(0)) => return Ok(Input::Closed),
                Err(_) if is_idle && node.now().since(shared.last_active.get()) < idle => {}
                Err(_) if is_idle && shared.open.get() > 0 => {}
                Err(_) => return Ok(Input::End),
                Ok(read) => drop(read?),
            }
        };
        shared.is_reading.set(true);
        let arrived = node.now();
        let max = limits.map_or(u64::MAX, |l| l.body_bytes);
        let mut body_bytes = 0;
        let read = self.read_body(node, shared, (head, codec, arrived), max, &mut body_bytes).await;
        if !matches!(read, Ok(Input::Request(_))) {
            shared.remove_body(body_bytes);
        }
        shared.is_reading.set(!self.buffer.is_empty());
        read
    }

    async fn read_body(
        &mut self,
        node: &Node,
        shared: &Shared,
        (head, mut codec, arrived): (Request, Codec, Time),
        max: u64,
        body_bytes: &mut usize,
    ) -> io::Result<Input> {
        let mut incoming =
            Box::new(Incoming { chunked: false, body: Vec::new(), arrived, caller: shared.caller, head });
        if codec.message_type() == MessageType::None {
            return Ok(Input::Request(Decoded { incoming, codec, body_bytes: 0 }));
        }
        if let Some(answer) = serve::refuse_unconfigured(node, &incoming) {
            // Without a configuration there is no limit on the body.
            return Ok(Input::Refused(answer, codec));
        }
        incoming.chunked = incoming.head.chunked().unwrap_or(false);
        let expects = incoming.head.headers().get(EXPECT);
        // While an answer is due on the connection, a caller goes on without.
        if expects.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
            && shared.open.get() == 0
        {
            shared.writer.lock().await.write_all(CONTINUE).await?;
        }
        let mut stage = node.stage.subscribe();
        let mut is_checked = false;
        loop {
            match codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    *body_bytes += chunk.len();
                    shared.add_body(chunk.len());
                    if *body_bytes as u64 > max {
                        return Ok(refused(StatusCode::PAYLOAD_TOO_LARGE, codec));
                    }
                    append_chunk(&mut incoming.body, chunk);
                    continue;
                }
                Ok(Some(Message::Chunk(None))) => {
                    return Ok(Input::Request(Decoded { incoming, codec, body_bytes: *body_bytes }));
                }
                Ok(Some(Message::Item(_))) | Err(_) => return Ok(refused(StatusCode::BAD_REQUEST, codec)),
                Ok(None) => {}
            }
            let read = tokio::select! {
                () = shared.held.ended() => {
                    return Ok(Input::Refused(serve::refuse_held(node, &incoming), codec));
                }
                read = tokio::time::timeout(STALL_TIMEOUT, self.fill(shared)) => read,
                _ = stage.wait_for(|s| *s >= Stage::Closing), if !is_checked => {
                    is_checked = true;
                    if let Some(answer) = serve::refuse_early(node, &incoming) {
                        return Ok(Input::Refused(answer, codec));
                    }
                    continue;
                }
            };
            match read {
                Ok(Ok(0)) => return Ok(Input::Closed),
                Err(_) => return Ok(Input::End),
                Ok(read) => drop(read?),
            }
        }
    }
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
