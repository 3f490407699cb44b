//! Appends records to the log, one at a time.

use {
    crate::{follow, node::Node},
    catkin::{
        append::Appender,
        record::{Change, Writer},
        types::{Sequence, Span},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

const APPEND_TIMEOUT: Span = Span::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of queued records; further ones are dropped. The caller of
/// [`push`] creates a dropped record again while it is needed.
const QUEUED_RECORDS_MAX: usize = 1_024;

/// Records of one writer that were not read back from the log yet.
pub(crate) struct AppendQueue {
    /// Order and state of the records.
    pub(crate) appender: RefCell<Appender>,
    pushed: Notify,
}

impl AppendQueue {
    /// Creates an empty queue for the records of a writer.
    pub(crate) fn new(writer: Writer) -> Self {
        Self { appender: RefCell::new(Appender::new(writer)), pushed: Notify::new() }
    }
}

/// Queues a change for the log and returns the sequence number of its record;
/// `None` if the queue is full or the change can't be encoded.
pub(crate) fn push(node: &Node, queue: &AppendQueue, change: Change) -> Option<Sequence> {
    let mut appender = queue.appender.borrow_mut();
    if appender.len() >= QUEUED_RECORDS_MAX {
        node.metrics.count_drop("append");
        return None;
    }
    let sequence = match appender.push(change) {
        Ok(sequence) => sequence,
        Err(error) => {
            log::error!("can't encode a record for the log: {error}");
            return None;
        }
    };
    queue.pushed.notify_one();
    Some(sequence)
}

/// Appends the queued records one after another until the process ends.
pub(crate) async fn run(node: Rc<Node>, queue: Rc<AppendQueue>) {
    loop {
        let bytes = queue.appender.borrow_mut().next_bytes().map(<[u8]>::to_vec);
        match bytes {
            Some(bytes) => append(&node, &queue, &bytes).await,
            None => wait(&node, &queue).await,
        }
    }
}

/// Waits until a record is pushed or records of the log were applied.
async fn wait(node: &Node, queue: &AppendQueue) {
    tokio::select! {
        () = queue.pushed.notified() => {}
        () = node.records_applied.notified() => {}
    }
}

async fn append(node: &Node, queue: &AppendQueue, bytes: &[u8]) {
    match node.log.append(bytes, APPEND_TIMEOUT).await {
        Ok(offset) => queue.appender.borrow_mut().appended(offset),
        Err(error) => {
            queue.appender.borrow_mut().failed(&error);
            actix_rt::time::sleep(RETRY_PAUSE).await;
            resolve_unknown(node, queue).await;
        }
    }
}

/// Returns whether an unanswered append may be retried. Only those of
/// idempotency keys are limited in rate.
fn may_retry(node: &Node, queue: &AppendQueue) -> bool {
    !std::ptr::eq(queue, &*node.intent_queue) || node.idempotency.may_retry(node.now())
}

/// Reads the log until it shows whether an unanswered append took effect, and
/// allows the append to be retried if it did not.
async fn resolve_unknown(node: &Node, queue: &AppendQueue) {
    while queue.appender.borrow().is_unknown() {
        if follow::read_to_head(node).await.is_ok() && may_retry(node, queue) {
            queue.appender.borrow_mut().resend();
        } else {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}
