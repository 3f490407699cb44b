//! Appends records to the log, one at a time.

use {
    crate::{follow, node::Node},
    catkin::{
        record::Change,
        types::{Sequence, Span},
    },
    std::{rc::Rc, time::Duration},
};

const APPEND_LIMIT: Span = Span::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Unsettled records above which further ones are dropped. Their makers make
/// them again while they are needed.
const QUEUE_MAX: usize = 1_024;

/// Queues a change for the log and returns the number of its record.
pub(crate) fn push(node: &Node, change: Change) -> Option<Sequence> {
    let mut appender = node.appender.borrow_mut();
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
    node.pushed.notify_one();
    Some(sequence)
}

/// Appends the queued records until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let bytes = node.appender.borrow_mut().take().map(<[u8]>::to_vec);
        match bytes {
            Some(bytes) => append(&node, &bytes).await,
            None => wait(&node).await,
        }
    }
}

/// Waits for a new record, or until the one in flight was read back.
async fn wait(node: &Node) {
    tokio::select! {
        () = node.pushed.notified() => {}
        () = node.advanced.notified() => {}
    }
}

async fn append(node: &Node, bytes: &[u8]) {
    match node.log.append(bytes, APPEND_LIMIT).await {
        Ok(offset) => node.appender.borrow_mut().appended(offset),
        Err(error) => {
            node.appender.borrow_mut().failed(&error);
            actix_rt::time::sleep(RETRY_PAUSE).await;
            resolve(node).await;
        }
    }
}

/// Reads the log until it shows what became of an append without answer.
async fn resolve(node: &Node) {
    while node.appender.borrow().is_unknown() {
        if follow::read_to_head(node).await.is_ok() {
            node.appender.borrow_mut().again();
        } else {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}
