//! Commands to targets.

use {
    crate::node::Node,
    actix_http::ServiceConfig,
    catkin_net::Conn,
    catkin_platform::grant,
    catkin_route::{
        directory::Life,
        granter::{Ask, Command, Outcome},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Mutex,
};

/// Time for the answer to a grant.
pub(super) const GRANT_MAX: Duration = Duration::from_millis(500);

/// Time for the answer to a release, which waits for the work in progress.
const RELEASE_MAX: Duration = Duration::from_millis(1_500);

/// Time to open a connection for a command.
const CONNECT_MAX: Duration = Duration::from_millis(300);

/// Connections for commands, by the process at their other end. A release waits
/// for work, so it has a connection of its own.
pub(super) type Lanes = Rc<RefCell<HashMap<(Life, bool), Rc<Lane>>>>;

/// A connection that carries one command after the other. A new connection
/// waits in the queue of a busy target, so there is only one.
#[derive(Debug, Default)]
pub(super) struct Lane {
    conn: Mutex<Option<Conn>>,
    /// Connections that have failed so far.
    failures: Cell<u64>,
}

impl Lane {
    /// Returns whether the lane has no connection and nobody waits for it.
    pub(super) fn is_idle(self: &Rc<Self>) -> bool {
        Rc::strong_count(self) == 1 && self.conn.try_lock().is_ok_and(|conn| conn.is_none())
    }
}

/// Sends a command once.
pub(super) async fn send(node: &Node, lanes: &Lanes, command: &Command) -> Outcome {
    let is_release = command.ask == Ask::Release;
    let lane = lanes.borrow_mut().entry((command.life.clone(), is_release)).or_default().clone();
    let failures = lane.failures.get();
    let mut conn = lane.conn.lock().await;
    if lane.failures.get() != failures {
        return Outcome::Skipped;
    }
    let outcome = exchange(node, &mut conn, command).await;
    if conn.is_none() {
        lane.failures.set(failures + 1);
    }
    outcome
}

/// Sends a command on the kept connection, or on a new one if none is kept.
/// The connection is kept if it may carry another command.
async fn exchange(node: &Node, kept: &mut Option<Conn>, command: &Command) -> Outcome {
    let is_release = command.ask == Ask::Release;
    let within = if is_release { RELEASE_MAX } else { GRANT_MAX };
    node.metrics.command(if is_release { "release" } else { "grant" });
    let (head, body) = match grant::encode(command) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:display; "command can't be encoded");
            return Outcome::Unsent;
        }
    };
    let Some(mut conn) = connect(kept.take(), command, node.http.clone()).await else {
        return Outcome::Unsent;
    };
    let exchange = conn.exchange(head, vec![body], false, |_| true);
    match tokio::time::timeout(within, exchange).await {
        Ok(Ok(reply)) => {
            *kept = reply.reusable.then_some(conn);
            grant::decode(&reply)
        }
        Ok(Err(broken)) if !broken.sent => Outcome::Unsent,
        Ok(Err(_)) => Outcome::Cut,
        // The connection is closed with an unanswered command on it.
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the kept connection to a process, or a new one if none is kept.
async fn connect(kept: Option<Conn>, command: &Command, http: ServiceConfig) -> Option<Conn> {
    match kept {
        // A connection that the target closed may mean that its process ended.
        Some(conn) => conn.is_quiet().then_some(conn),
        None => Conn::open(command.addr, CONNECT_MAX, http).await.ok(),
    }
}
