//! Bodies of answers that are forwarded while they arrive.
//!
//! A task reads the body from the target into a bounded buffer, also while earlier
//! answers of the connection are being written. The connection of the caller takes
//! parts out of the buffer. If it ends first, the task is cancelled, which resets the
//! connection to the target.

use {
    crate::{attempt::InFlight, node::Node},
    bytes::Bytes,
    catkin::types::{Size, Span, Time},
    catkin_net::{Body, Conn, Held, Reply},
    catkin_platform::name,
    catkin_route::streaming::{Progress, ReadAhead},
    std::{
        cell::{Cell, RefCell},
        io, mem,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, task::JoinHandle},
};

/// Interval at which an answer that is not read checks whether it may be.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Part of a body that has arrived and that its caller has not yet taken.
#[derive(Debug)]
pub(crate) struct Buffer {
    body: RefCell<Body>,
    /// Whether the whole body has arrived, once the answer has ended.
    end: Cell<Option<bool>>,
    filled: Notify,
    taken: Notify,
    held: Held,
    /// Bytes that are held beside the body.
    others: Cell<usize>,
}

impl Buffer {
    fn new(caller: SocketAddr) -> Self {
        Self {
            body: RefCell::default(),
            end: Cell::new(None),
            filled: Notify::new(),
            taken: Notify::new(),
            held: Held::new(caller),
            others: Cell::new(0),
        }
    }

    fn count(&self) {
        self.held.set(self.others.get() + self.body.borrow().capacity());
    }

    fn len(&self) -> usize {
        self.body.borrow().len()
    }

    /// Returns whether the caller waits for the target.
    pub(crate) fn is_empty(&self) -> bool {
        self.body.borrow().is_empty() && self.end.get().is_none()
    }

    fn finish(&self, is_complete: bool) {
        self.others.set(0);
        self.count();
        self.end.set(Some(is_complete));
        self.filled.notify_one();
    }
}

/// Body of an answer that is forwarded while it arrives.
#[derive(Debug)]
pub(crate) struct BodyStream {
    buffer: Rc<Buffer>,
    task: JoinHandle<()>,
    length: Option<u64>,
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BodyStream {
    /// Returns the length of the body, if its answer gives it.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// `UnexpectedEof` if the answer broke off.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if self.buffer.held.is_ended() {
                return Err(Held::error());
            }
            let part = self.buffer.body.borrow_mut().take();
            if let Some(part) = part {
                self.buffer.count();
                self.buffer.taken.notify_one();
                return Ok(Some(part));
            }
            match self.buffer.end.get() {
                Some(true) => return Ok(None),
                Some(false) => return Err(io::ErrorKind::UnexpectedEof.into()),
                None => {}
            }
            tokio::select! {
                () = self.buffer.filled.notified() => {}
                () = self.buffer.held.ended() => {}
            }
        }
    }
}

/// An answer whose body is being read for its caller.
pub(crate) struct Source {
    pub(crate) node: Rc<Node>,
    pub(crate) conn: Conn,
    pub(crate) reply: Reply,
    /// Counts the attempt at its target until the whole answer has arrived.
    pub(crate) in_flight: InFlight,
    /// Id of the request.
    pub(crate) id: Arc<str>,
    /// Whether the request has no key.
    pub(crate) is_unkeyed: bool,
    /// Deadline of the request.
    pub(crate) deadline: Time,
    /// Address of the caller.
    pub(crate) caller: SocketAddr,
}

impl Source {
    /// Starts to read the body.
    pub(crate) fn start(mut self) -> BodyStream {
        // From now on the bytes are held for the caller.
        self.reply.release();
        let buffer = Rc::new(Buffer::new(self.caller));
        let length = self.reply.length();
        self.in_flight.watch(buffer.clone(), self.deadline);
        let task = actix_rt::spawn(self.run(buffer.clone()));
        BodyStream { buffer, task, length }
    }

    async fn run(mut self, buffer: Rc<Buffer>) {
        let read = self.read(&buffer).await;
        let Self { node, conn, reply, mut in_flight, id, is_unkeyed, .. } = self;
        match &read {
            Ok(()) => {
                if is_unkeyed && reply.head.status.is_success() {
                    in_flight.count_answer(reply.decoded());
                }
                // A late copy of an answer without an id could pass for the next one.
                if conn.is_reusable_after(&reply) && reply.head.headers().contains_key(name::REQUEST_ID) {
                    in_flight.keep(conn, &reply.head);
                }
            }
            Err(error) => {
                if node.log_limiter.allow(node.now(), "answer broke off") {
                    let (target_id, bytes) = (&*in_flight.target().id, reply.decoded());
                    log::info!(id = &*id, target_id, error:display, bytes; "answer broke off");
                }
            }
        }
        in_flight.end_streamed(read.is_ok());
        buffer.finish(read.is_ok());
    }

    async fn read(&mut self, buffer: &Buffer) -> io::Result<()> {
        let mut ahead = ReadAhead::new(self.node.hold_size);
        let mut progress = Progress::new(self.node.now());
        loop {
            self.decode(buffer)?;
            if self.reply.is_complete() {
                return Ok(());
            }
            buffer.filled.notify_one();
            let pause = self.wait_for_room(buffer, &mut ahead).await?;
            progress.pause(pause);
            let left = progress.end().since(self.node.now()).as_duration();
            tokio::select! {
                biased;
                () = buffer.held.ended() => return Err(Held::error()),
                read = tokio::time::timeout(left, self.conn.fill(&mut self.reply)) => read??,
            }
            progress.record(self.node.now(), self.reply.decoded() as u64);
        }
    }

    /// Decodes what was received into the buffer.
    fn decode(&mut self, buffer: &Buffer) -> io::Result<()> {
        let mut body = buffer.body.borrow_mut();
        // What was held before the answer was forwarded comes first.
        if body.is_empty() {
            *body = mem::take(self.reply.body_mut());
        }
        mem::swap(self.reply.body_mut(), &mut body);
        let decoded = self.conn.decode(&mut self.reply);
        mem::swap(self.reply.body_mut(), &mut body);
        drop(body);
        buffer.others.set(self.conn.buffered(&self.reply));
        buffer.count();
        decoded
    }

    /// Waits until more of the answer may be read. Returns for how long it waited.
    async fn wait_for_room(&mut self, buffer: &Buffer, ahead: &mut ReadAhead) -> io::Result<Span> {
        let start = self.node.now();
        loop {
            let now = self.node.now();
            let waiting = Size::from_bytes(buffer.len() as u64);
            if ahead.may_read(now, waiting, catkin_net::has_room()) {
                let pause = now.since(start);
                self.in_flight.add_pause(pause);
                return Ok(pause);
            }
            tokio::select! {
                () = buffer.taken.notified() => {}
                () = buffer.held.ended() => return Err(Held::error()),
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }
}
