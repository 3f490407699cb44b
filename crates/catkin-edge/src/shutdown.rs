//! Signals and graceful shutdown.

use {
    crate::node::{Node, Stage, sleep},
    catkin::{Code, Error, types::Span},
    catkin_route::drain::Drain,
    std::rc::Rc,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Time for sending the last answers.
const FINAL_ANSWERS_DELAY: Span = Span::from_millis(200);

fn listen(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|e| Error::new(Code::Internal, format!("failed to install a signal handler: {e}")))
}

/// Sweeps every second until a signal arrives, then drains for at most the
/// termination grace period.
///
/// # Errors
///
/// `Code::Internal` if no signal handler can be installed.
pub(crate) async fn run_until_stopped(node: Rc<Node>) -> Result<(), Error> {
    let mut term = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let mut every_second = tokio::time::interval(Span::from_secs(1).as_duration());
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            // The platform restarts the process to change its addresses; no
            // other setting can change while it runs.
            _ = hangup.recv() => log::info!("SIGHUP ignored; settings are read at the next start"),
            _ = every_second.tick() => node.sweep(),
        }
    }
    drain(node).await;
    Ok(())
}

async fn drain(node: Rc<Node>) {
    let drain = Drain::new(node.now(), node.bounds.termination_grace);
    node.drain.set(Some(drain));
    node.stage.send_replace(Stage::Draining);
    log::info!(open_requests = node.open_requests.get(); "stopping");
    loop {
        let now = node.now();
        if now >= drain.closing() {
            node.stage.send_replace(Stage::Closing);
        }
        let idle = node.open_requests.get() == 0 && !node.is_leader.get();
        if now >= drain.end() || now >= drain.closing() && idle {
            break;
        }
        sleep(Span::from_millis(20)).await;
    }
    if node.open_requests.get() > 0 {
        node.stage.send_replace(Stage::Ending);
        sleep(FINAL_ANSWERS_DELAY).await;
    }
    log::info!(open_requests = node.open_requests.get(); "stopped");
}
