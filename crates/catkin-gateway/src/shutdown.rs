//! Graceful shutdown.

use {
    crate::node::Node,
    catkin::{Code, Error},
    std::{rc::Rc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time for which requests are still accepted, because the load balancer in
/// front of the gateways notices the shutdown with a delay.
const ACCEPT_TIME: Duration = Duration::from_secs(2);
/// Time for the last answers to be written from the buffers of their
/// connections.
const FLUSH_TIME: Duration = Duration::from_millis(250);

/// Waits for SIGTERM, announces that this gateway leaves, and returns when its
/// targets were taken over and no request is in progress.
///
/// # Errors
///
/// `Code::Internal` if signals can't be received.
pub(crate) async fn run(node: Rc<Node>) -> Result<(), Error> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    terminate.recv().await;
    log::info!("gateway shutdown started");
    node.leaving.set(true);
    node.members.borrow_mut().leave();
    actix_rt::time::sleep(ACCEPT_TIME).await;
    while is_busy(&node) {
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
    actix_rt::time::sleep(FLUSH_TIME).await;
    log::info!("gateway shutdown complete: no requests in progress");
    Ok(())
}

/// Returns whether requests are in progress or targets are still kept. Kept
/// targets don't count while the log is unavailable, since no other gateway can
/// take them over then.
fn is_busy(node: &Node) -> bool {
    let has_kept_targets = node.metrics.kept_targets.get() > 0 && node.log_available.get();
    has_kept_targets || node.metrics.open_requests.get() > 0 || node.peer_requests.get() > 0
}
