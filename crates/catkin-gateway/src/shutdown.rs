//! Graceful shutdown.

use {
    crate::node::Node,
    catkin::{Code, Error},
    std::{rc::Rc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

const POLL: Duration = Duration::from_millis(20);
/// Time for which requests are still accepted, because the balancer in front
/// of the gateways learns late that this one leaves.
const ACCEPT_TIME: Duration = Duration::from_secs(2);
/// Time for the last answers to leave the buffers of their connections.
const FLUSH_TIME: Duration = Duration::from_millis(250);

/// Waits for a signal to terminate, hands the kept targets over and returns
/// when no request is in progress.
///
/// # Errors
///
/// `Code::Internal` if signals can't be received.
pub(crate) async fn wait(node: Rc<Node>) -> Result<(), Error> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    terminate.recv().await;
    log::info!("the gateway is leaving");
    node.leaving.set(true);
    node.members.borrow_mut().leave();
    actix_rt::time::sleep(ACCEPT_TIME).await;
    while is_busy(&node) {
        actix_rt::time::sleep(POLL).await;
    }
    actix_rt::time::sleep(FLUSH_TIME).await;
    log::info!("the gateway has no work left");
    Ok(())
}

/// Returns whether requests are in progress or targets are still kept. While
/// the log is down no other gateway can take a target over.
fn is_busy(node: &Node) -> bool {
    let is_keeping = node.metrics.kept.get() > 0 && node.log_up.get();
    is_keeping || node.metrics.open.get() > 0 || node.forwarded.get() > 0
}
