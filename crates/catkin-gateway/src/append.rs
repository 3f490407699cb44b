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

const APPEND_LIMIT: Span = Span::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Unsettled records above which further ones are dropped. Their makers make
/// them again while they are needed.
const QUEUE_MAX: usize = 1_024;

/// Records of one writer on their way to the log.
pub(crate) struct Lane {
    /// The records.
    pub(crate) appender: RefCell<Appender>,
    pushed: Notify,
}

impl Lane {
    /// Makes a lane of a writer.
    pub(crate) fn new(writer: Writer) -> Self {
        Self { appender: RefCell::new(Appender::new(writer)), pushed: Notify::new() }
    }
}

/// Queues a change for the log and returns the number of its record.
pub(crate) fn push(node: &Node, lane: &Lane, change: Change) -> Option<Sequence> {
    let mut appender = lane.appender.borrow_mut();
    if appender.len() >= QUEUE_MAX {
        node.metrics.drop("append");
        return None;
    }
    let sequence = match appender.push(change) {
        Ok(sequence) => sequence,
        Err(error) => {
            log::error!("a record can't be encoded: {error}");
            return None;
        }
    };
    lane.pushed.notify_one();
    Some(sequence)
}

/// Appends the queued records of a lane until the process ends.
pub(crate) async fn run(node: Rc<Node>, lane: Rc<Lane>) {
    loop {
        let bytes = lane.appender.borrow_mut().take().map(<[u8]>::to_vec);
        match bytes {
            Some(bytes) => append(&node, &lane, &bytes).await,
            None => wait(&node, &lane).await,
        }
    }
}

/// Waits for a new record, or until the one in flight was read back.
async fn wait(node: &Node, lane: &Lane) {
    tokio::select! {
        () = lane.pushed.notified() => {}
        () = node.advanced.notified() => {}
    }
}

async fn append(node: &Node, lane: &Lane, bytes: &[u8]) {
    match node.log.append(bytes, APPEND_LIMIT).await {
        Ok(offset) => lane.appender.borrow_mut().appended(offset),
        Err(error) => {
            lane.appender.borrow_mut().failed(&error);
            actix_rt::time::sleep(RETRY_PAUSE).await;
            resolve(node, lane).await;
        }
    }
}

/// Reads the log until it shows what became of an append without answer.
async fn resolve(node: &Node, lane: &Lane) {
    while lane.appender.borrow().is_unknown() {
        if follow::read_to_head(node).await.is_ok() {
            lane.appender.borrow_mut().again();
        } else {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}
