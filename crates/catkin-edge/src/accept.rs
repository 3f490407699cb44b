//! Connections of callers: reads requests and writes answers.
//!
//! Load pattern: callers that send further requests on a connection before the
//! first one is answered. Requests that change nothing are served at the same
//! time, as otherwise each would wait for all answers before its own; the answers
//! are written in the order of the requests.

mod read;

use {
    crate::{
        node::{Node, Stage, sleep},
        serve::{self, Answer, AnswerBody, Incoming},
        stream::BodyStream,
    },
    actix_http::{
        ConnectionType, Response, StatusCode,
        body::BodySize,
        h1::{Codec, Message},
        header::{HeaderValue, RETRY_AFTER},
    },
    bytes::{Bytes, BytesMut},
    catkin::types::Span,
    catkin_net::{Held, limit_unsent, set_socket_options},
    futures_util::{StreamExt, stream::FuturesOrdered},
    read::{Decoded, Input, Reader, STALL_TIMEOUT, Shared},
    std::{collections::VecDeque, convert::Infallible, io, pin::Pin, rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
    },
    tokio_util::codec::Encoder,
};

/// Most requests of one connection that are served at the same time.
const CONCURRENT_MAX: usize = 16;

/// Size of an answer up to which head and body are written together.
const COPIED_BYTES_MAX: usize = 64 << 10;

/// Counts a request as open until it is dropped.
struct OpenRequest<'a> {
    node: &'a Node,
    shared: &'a Shared,
}

impl<'a> OpenRequest<'a> {
    fn new(node: &'a Node, shared: &'a Shared) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        shared.open.set(shared.open.get() + 1);
        Self { node, shared }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get() - 1);
        self.shared.open.set(self.shared.open.get() - 1);
    }
}

/// A request that is not yet answered.
struct Open<'a> {
    codec: Codec,
    body_bytes: usize,
    /// Whether it changes nothing at its target.
    is_safe: bool,
    _count: OpenRequest<'a>,
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
                limit_unsent(&stream);
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

/// Answers of the open requests of a connection, in the order of the requests.
#[derive(Default)]
struct Answers<'a> {
    due: FuturesOrdered<Pin<Box<dyn Future<Output = Answer> + 'a>>>,
    /// Answers that were ready while an earlier one was being written.
    ready: VecDeque<Answer>,
}

impl Answers<'_> {
    fn is_empty(&self) -> bool {
        self.due.is_empty() && self.ready.is_empty()
    }

    /// Returns the next answer, or `None` without an open request.
    async fn next(&mut self) -> Option<Answer> {
        match self.ready.pop_front() {
            Some(answer) => Some(answer),
            None => self.due.next().await,
        }
    }

    /// Serves the open requests while an answer is being written.
    async fn run_ahead(&mut self) -> Infallible {
        while let Some(answer) = self.due.next().await {
            self.ready.push_back(answer);
        }
        std::future::pending().await
    }
}

/// What follows after a step of a connection.
enum Step<T> {
    /// The step is done.
    Done(T),
    /// The last answer is written.
    Finish,
    /// The caller closed the connection.
    Closed,
}

async fn serve_connection(node: &Rc<Node>, stream: TcpStream) -> io::Result<()> {
    let caller = stream.peer_addr()?;
    let (reader, writer) = stream.into_split();
    let shared = Shared::new(caller, writer, node.now());
    let end = run_connection(node, &shared, &mut Reader::new(reader)).await;
    if shared.is_partial.get() {
        // An ordinary close could make the answer look complete.
        let writer = shared.writer.into_inner();
        let _ = writer.as_ref().set_zero_linger();
        writer.forget();
    }
    end
}

async fn run_connection(node: &Rc<Node>, shared: &Shared, reader: &mut Reader) -> io::Result<()> {
    let mut conn = Connection { node, shared, open: VecDeque::new(), last: None };
    // Dropping the answers closes the connections to the targets, which ends the
    // work there.
    let mut answers = Answers::default();
    match conn.run(reader, &mut answers).await? {
        Step::Closed => Ok(()),
        Step::Done(()) | Step::Finish => conn.finish(reader).await,
    }
}

/// Serves a request.
async fn serve_request(node: &Rc<Node>, incoming: Box<Incoming>) -> Answer {
    serve::serve(node, &incoming).await
}

/// Returns the next answer, or `None` if the open requests must end.
async fn next_answer(node: &Node, shared: &Shared, answers: &mut Answers<'_>) -> Option<Answer> {
    if answers.is_empty() {
        return std::future::pending().await;
    }
    let mut stage = node.stage.subscribe();
    tokio::select! {
        biased;
        answer = answers.next() => answer,
        _ = stage.wait_for(|s| *s == Stage::Ending) => None,
        () = shared.held.ended() => None,
    }
}

/// A connection of a caller and its requests that are not yet answered.
struct Connection<'a> {
    node: &'a Rc<Node>,
    shared: &'a Shared,
    open: VecDeque<Open<'a>>,
    /// The request whose answer closes the connection. It counts as open until the
    /// connection is closed.
    last: Option<Open<'a>>,
}

impl<'a> Connection<'a> {
    /// Reads and answers requests until the last one is answered.
    async fn run(&mut self, reader: &mut Reader, answers: &mut Answers<'a>) -> io::Result<Step<()>> {
        loop {
            let input = match self.next_input(reader, answers).await? {
                Step::Done(input) => input,
                Step::Finish => return Ok(Step::Finish),
                Step::Closed => return Ok(Step::Closed),
            };
            let (decoded, others_max) = match input {
                Input::Closed => return Ok(Step::Closed),
                Input::End if self.open.is_empty() => return Ok(Step::Closed),
                Input::Request(decoded) => {
                    // A request that changes something keeps its place among the
                    // others.
                    let is_safe = decoded.is_safe() && self.open.iter().all(|open| open.is_safe);
                    (Some(Ok(decoded)), if is_safe { CONCURRENT_MAX - 1 } else { 0 })
                }
                Input::Refused(answer, codec) => (Some(Err((answer, codec))), 0),
                Input::End => (None, 0),
            };
            match self.answer_open(reader, answers, others_max).await? {
                Step::Done(()) => {}
                other => return Ok(other),
            }
            match decoded {
                Some(Ok(decoded)) => self.begin(decoded, answers),
                Some(Err((answer, codec))) => {
                    self.push(codec, 0, false);
                    self.answer(answer, true).await?;
                    return Ok(Step::Finish);
                }
                // What arrived meanwhile is answered too.
                None if self.shared.is_reading.get() => {}
                None => return Ok(Step::Finish),
            }
        }
    }

    /// Reads the next request, and answers open ones meanwhile.
    async fn next_input(
        &mut self,
        reader: &mut Reader,
        answers: &mut Answers<'a>,
    ) -> io::Result<Step<Input>> {
        if self.open.back().is_some_and(|last| !last.codec.keep_alive()) {
            return Ok(match self.answer_open(reader, answers, 0).await? {
                Step::Closed => Step::Closed,
                Step::Done(()) | Step::Finish => Step::Finish,
            });
        }
        let (node, shared) = (self.node, self.shared);
        let mut reading = Box::pin(reader.next(node, shared));
        loop {
            let answer = tokio::select! {
                biased;
                answer = next_answer(node, shared, answers) => answer,
                input = &mut reading => return Ok(Step::Done(input?)),
            };
            let Some(answer) = answer else {
                self.end_open().await?;
                return Ok(Step::Finish);
            };
            let Some((open, close)) = self.take_first(false) else { return Ok(Step::Finish) };
            let is_safe = open.is_safe && !close;
            let mut input = None;
            let last = {
                // A connection that waits for an answer needs no memory for writing it.
                let mut writing = Box::pin(self.writer().write_last(open, answer, close));
                loop {
                    let read = tokio::select! {
                        biased;
                        written = &mut writing => break written?,
                        never = answers.run_ahead() => match never {},
                        read = &mut reading, if input.is_none() => read?,
                    };
                    match read {
                        Input::Closed => return Ok(Step::Closed),
                        Input::Request(decoded) if is_safe && self.may_begin(&decoded) => {
                            self.begin(decoded, answers);
                            drop(reading);
                            reading = Box::pin(reader.next(node, shared));
                        }
                        other => input = Some(other),
                    }
                }
            };
            self.last = last;
            match input {
                _ if self.last.is_some() => return Ok(Step::Finish),
                Some(input) => return Ok(Step::Done(input)),
                None => {}
            }
        }
    }

    /// Answers open requests until at most `max` are left.
    async fn answer_open(
        &mut self,
        reader: &mut Reader,
        answers: &mut Answers<'_>,
        max: usize,
    ) -> io::Result<Step<()>> {
        while self.open.len() > max {
            let answer = tokio::select! {
                biased;
                answer = next_answer(self.node, self.shared, answers) => answer,
                () = reader.closed(self.shared) => return Ok(Step::Closed),
            };
            let Some(answer) = answer else {
                self.end_open().await?;
                return Ok(Step::Finish);
            };
            let Some((open, close)) = self.take_first(false) else { return Ok(Step::Finish) };
            self.last = tokio::select! {
                biased;
                written = Box::pin(self.writer().write_last(open, answer, close)) => written?,
                never = answers.run_ahead() => match never {},
                () = reader.closed(self.shared) => return Ok(Step::Closed),
            };
            if self.last.is_some() {
                return Ok(Step::Finish);
            }
        }
        Ok(Step::Done(()))
    }

    fn push(&mut self, codec: Codec, body_bytes: usize, is_safe: bool) {
        let count = OpenRequest::new(self.node, self.shared);
        self.open.push_back(Open { codec, body_bytes, is_safe, _count: count });
    }

    /// Begins to serve a request.
    fn begin(&mut self, decoded: Decoded, answers: &mut Answers<'a>) {
        let is_safe = decoded.is_safe();
        let Decoded { incoming, codec, body_bytes } = decoded;
        self.push(codec, body_bytes, is_safe);
        answers.due.push_back(Box::pin(serve_request(self.node, incoming)));
    }

    /// Returns whether a request may be served while the answer to one that changes
    /// nothing is being written. The connection goes on after it.
    fn may_begin(&self, decoded: &Decoded) -> bool {
        decoded.is_safe()
            && decoded.codec.keep_alive()
            && self.open.len() + 1 < CONCURRENT_MAX
            && self.open.iter().all(|open| open.is_safe)
    }

    fn writer(&self) -> Writer<'a> {
        Writer { node: self.node, shared: self.shared }
    }

    /// Ends all open requests.
    async fn end_open(&mut self) -> io::Result<()> {
        while !self.open.is_empty() {
            // The requests may have run, so the answers must not say otherwise.
            let is_last = self.open.len() == 1;
            self.answer(Answer::local(StatusCode::GATEWAY_TIMEOUT, None), is_last).await?;
        }
        Ok(())
    }

    /// Takes the first open request, whose answer is to be written. Returns it and
    /// whether its answer closes the connection, which it does with `is_last`.
    fn take_first(&mut self, is_last: bool) -> Option<(Open<'a>, bool)> {
        let open = self.open.pop_front()?;
        // Requests that were read ahead must be answered too.
        let is_drained = self.node.is_draining() && self.open.is_empty() && !self.shared.is_reading.get();
        let close = is_last || is_drained || !open.codec.keep_alive() || self.shared.held.is_ended();
        self.shared.remove_body(open.body_bytes);
        Some((open, close))
    }

    /// Writes the answer to the first open request. The connection closes after it
    /// with `is_last`.
    async fn answer(&mut self, answer: Answer, is_last: bool) -> io::Result<()> {
        if let Some((open, close)) = self.take_first(is_last) {
            self.last = Box::pin(self.writer().write_last(open, answer, close)).await?;
        }
        Ok(())
    }

    /// Closes the connection after its last answer. Reads the remaining bytes
    /// first: unread bytes would reset the connection and could discard the
    /// answer.
    async fn finish(&mut self, reader: &mut Reader) -> io::Result<()> {
        self.shared.writer.lock().await.shutdown().await?;
        let discard = reader.discard(self.shared);
        tokio::time::timeout(Duration::from_secs(1), discard).await.unwrap_or(Ok(()))
    }
}

/// Writes the answers of a connection.
#[derive(Clone, Copy)]
struct Writer<'a> {
    node: &'a Rc<Node>,
    shared: &'a Shared,
}

impl<'a> Writer<'a> {
    /// Writes the answer to a request. Returns the request if the answer closes the
    /// connection.
    async fn write_last(
        self,
        mut open: Open<'a>,
        mut answer: Answer,
        close: bool,
    ) -> io::Result<Option<Open<'a>>> {
        self.shared.due.replace(answer.due.take());
        self.write(&mut open.codec, answer, close).await?;
        if let Some(due) = self.shared.due.take() {
            due.finish();
        }
        self.shared.set_answer(0);
        self.shared.last_active.set(self.node.now());
        Ok(close.then_some(open))
    }

    async fn write(&self, codec: &mut Codec, answer: Answer, close: bool) -> io::Result<()> {
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
        let body = match answer.body {
            AnswerBody::Whole(body) => body,
            AnswerBody::Streamed(stream) => {
                // Connections without such an answer need no memory for it.
                return Box::pin(self.write_stream(codec, response, stream, close)).await;
            }
        };
        let length = body.len();
        self.shared.set_answer(length);
        // From now on the bytes are held for the caller.
        drop(answer.held);
        let mut bytes = BytesMut::with_capacity(512 + length.min(COPIED_BYTES_MAX));
        codec.encode(Message::Item((response, BodySize::Sized(length as u64))), &mut bytes)?;
        if length > COPIED_BYTES_MAX {
            self.write_bytes(&bytes).await?;
            return self.write_bytes(&body).await;
        }
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(body)), &mut bytes)?;
        }
        codec.encode(Message::Chunk(None), &mut bytes)?;
        self.write_bytes(&bytes).await
    }

    /// Writes an answer while its body arrives. The connection must be reset after an
    /// error.
    async fn write_stream(
        &self,
        codec: &mut Codec,
        response: Response<()>,
        mut stream: BodyStream,
        close: bool,
    ) -> io::Result<()> {
        // An answer that breaks off before its first part was written can be told from
        // a complete one.
        let Ok(mut part) = self.next_part(&mut stream).await else {
            let failed = Answer::local(StatusCode::BAD_GATEWAY, None);
            return Box::pin(self.write(codec, failed, close)).await;
        };
        self.shared.is_partial.set(true);
        let size = stream.length().map_or(BodySize::Stream, BodySize::Sized);
        let mut bytes = BytesMut::new();
        codec.encode(Message::Item((response, size)), &mut bytes)?;
        while let Some(next) = part {
            codec.encode(Message::Chunk(Some(next)), &mut bytes)?;
            self.shared.set_answer(bytes.capacity());
            self.write_bytes(&bytes).await?;
            bytes.clear();
            part = self.next_part(&mut stream).await?;
        }
        codec.encode(Message::Chunk(None), &mut bytes)?;
        self.write_bytes(&bytes).await?;
        self.shared.is_partial.set(false);
        Ok(())
    }

    /// Returns the next part of a body, unless the process ends before it arrives.
    async fn next_part(&self, stream: &mut BodyStream) -> io::Result<Option<Bytes>> {
        let mut stage = self.node.stage.subscribe();
        tokio::select! {
            biased;
            part = stream.next() => part,
            _ = stage.wait_for(|s| *s == Stage::Ending) => Err(io::ErrorKind::ConnectionAborted.into()),
            () = self.shared.held.ended() => Err(Held::error()),
        }
    }

    /// Writes bytes as long as the caller takes some of them.
    async fn write_bytes(&self, mut bytes: &[u8]) -> io::Result<()> {
        let mut writer = self.shared.writer.lock().await;
        while !bytes.is_empty() {
            let count = tokio::select! {
                biased;
                written = tokio::time::timeout(STALL_TIMEOUT, writer.write(bytes)) => written??,
                () = self.shared.held.ended() => return Err(Held::error()),
            };
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            if let Some(due) = &*self.shared.due.borrow() {
                due.record_written(count);
            }
            bytes = &bytes[count..];
        }
        Ok(())
    }
}

fn retry_after_value(after: Span) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())).ok()
}
