//! Appends records to the log, one at a time.

use {
    crate::node::Node,
    catkin::{
        record::{self, Change, Record, Writer},
        types::{Sequence, Span},
    },
    std::{rc::Rc, time::Duration},
    tokio::sync::mpsc::UnboundedReceiver,
};

const APPEND_LIMIT: Span = Span::from_secs(2);
const READ_BACK_LIMIT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Appends changes until the process ends. A change whose append was not
/// answered is appended again with the same sequence; the fold drops the
/// duplicate.
pub(crate) async fn run(node: Rc<Node>, mut changes: UnboundedReceiver<Change>) {
    let writer = Writer { id: node.set.vm.clone(), boot: node.boot };
    let mut sequence = Sequence::default();
    while let Some(change) = changes.recv().await {
        sequence = sequence.next();
        let record = Record { writer: writer.clone(), sequence, change };
        match record::encode(&record) {
            Ok(bytes) => append(&node, sequence, &bytes).await,
            Err(error) => log::error!("a record can't be encoded: {error}"),
        }
    }
}

async fn append(node: &Node, sequence: Sequence, bytes: &[u8]) {
    while node.read_back.get() < sequence {
        if node.log.append(bytes, APPEND_LIMIT).await.is_err() {
            actix_rt::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let read_back = async {
            while node.read_back.get() < sequence {
                node.advanced.notified().await;
            }
        };
        // Without the record by then, it is appended again.
        let _ = actix_rt::time::timeout(READ_BACK_LIMIT, read_back).await;
    }
}
