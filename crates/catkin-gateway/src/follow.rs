//! Reads the log and the VM list.

use {
    crate::node::Node,
    catkin::{
        event::Kind,
        types::{Offset, Span},
    },
    std::{rc::Rc, time::Duration},
};

const PAGE_RECORDS: u32 = 512;
const READ_WAIT: Span = Span::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const LIST_PERIOD: Duration = Duration::from_millis(500);
const LIST_LIMIT: Span = Span::from_secs(1);

/// Applies the records of the log until the process ends.
pub(crate) async fn records(node: Rc<Node>) {
    loop {
        let from = node.state.borrow().next();
        match node.log.read(from, PAGE_RECORDS, READ_WAIT).await {
            Ok(read) => {
                set_up(&node, true);
                for (offset, bytes) in read.records {
                    apply(&node, offset, &bytes);
                }
            }
            Err(_) => {
                set_up(&node, false);
                actix_rt::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn set_up(node: &Node, is_up: bool) {
    if node.log_up.replace(is_up) != is_up {
        node.changed.set(true);
        let state = if is_up { "up" } else { "down" };
        log::info!(state = state; "the log is {state}");
        node.record(if is_up { Kind::LogUp } else { Kind::LogDown });
    }
}

fn apply(node: &Node, offset: Offset, bytes: &[u8]) {
    let revision = node.state.borrow().config().revision;
    let verdict = node.state.borrow_mut().apply(offset, bytes);
    if let Some((writer, sequence)) = &verdict.source
        && writer.id == node.set.vm
        && writer.boot == node.boot
    {
        node.read_back.set(node.read_back.get().max(*sequence));
    }
    node.changed.set(true);
    node.advanced.notify_waiters();
    if !verdict.is_accepted() {
        node.metrics.drop("record");
    }
    let current = node.state.borrow().config().revision;
    if current != revision {
        log::info!(revision = current.0; "configuration {current} is in force");
        node.record(Kind::ConfigInForce { revision: current });
    }
    node.metrics.offset.set(i64::try_from(offset.next().0).unwrap_or(i64::MAX));
    node.metrics.revision.set(i64::try_from(current.0).unwrap_or(i64::MAX));
}

/// Reads the VM list until the process ends.
pub(crate) async fn list(node: Rc<Node>) {
    loop {
        let list = catkin_net::list_vms(&node.client, node.set.platform.vms, LIST_LIMIT).await;
        if let Ok(list) = list {
            *node.list.borrow_mut() = list;
            node.changed.set(true);
        }
        actix_rt::time::sleep(LIST_PERIOD).await;
    }
}
