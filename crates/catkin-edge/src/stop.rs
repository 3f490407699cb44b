//! Signals and graceful shutdown.

use {
    crate::node::{Node, Stage, sleep},
    catkin::{Code, Error, types::Span},
    std::rc::Rc,
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Time after the signal within which the platform has seen that no new
/// connections should come, with two questions a second apart.
const SETTLE: Span = Span::from_millis(2_600);

/// Part of the platform's grace that is left for the last answers and the end
/// of the process. It lies within the last sixth of the grace, in which work
/// may be broken off.
const GRACE_LEFT: Span = Span::from_millis(600);

/// Time for the last answers to leave.
const LAST: Span = Span::from_millis(200);

fn listen(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|e| Error::new(Code::Internal, format!("no signal handler: {e}")))
}

/// Waits for the signal to stop, then until the requests in progress have
/// their answers.
///
/// # Errors
///
/// `Code::Internal` if signals can't be handled.
pub(crate) async fn wait(node: Rc<Node>) -> Result<(), Error> {
    let mut term = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut hangup = listen(SignalKind::hangup())?;
    let mut second = tokio::time::interval(Span::from_secs(1).as_duration());
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            // The platform restarts a process to change its addresses; nothing
            // else of the settings can change while it runs.
            _ = hangup.recv() => log::info!("settings signalled; they are read at the next start"),
            _ = second.tick() => node.sweep(),
        }
    }
    drain(node).await;
    Ok(())
}

async fn drain(node: Rc<Node>) {
    let start = node.now();
    node.stage.send_replace(Stage::Leaving);
    log::info!(open = node.open.get(); "stopping");
    let limit = node.bounds.grace.saturating_sub(GRACE_LEFT);
    loop {
        let passed = node.now().since(start);
        if passed >= SETTLE {
            node.stage.send_replace(Stage::Closing);
        }
        let idle = node.open.get() == 0 && !node.leads.get();
        if passed >= limit || passed >= SETTLE && idle {
            break;
        }
        sleep(Span::from_millis(20)).await;
    }
    if node.open.get() > 0 {
        node.stage.send_replace(Stage::Ending);
        sleep(LAST).await;
    }
    log::info!(open = node.open.get(); "stopped");
}
