//! Sends commands to targets.

use {
    crate::node::Node,
    actix_http::ServiceConfig,
    catkin_net::Conn,
    catkin_platform::grant,
    catkin_route::{
        directory::Incarnation,
        granter::{Action, Command, Outcome},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Mutex,
};

pub(super) const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the answer to a release, which the target sends once the work in
/// progress has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connections for commands, by the incarnation of the target and whether they
/// are for releases. A release waits for work in progress, so releases have a
/// separate connection.
pub(super) type CommandConns = Rc<RefCell<HashMap<(Incarnation, bool), Rc<CommandConn>>>>;

/// Connection that carries one command at a time. There is only one, since a
/// new connection would wait in the queue of a busy target.
#[derive(Debug, Default)]
pub(super) struct CommandConn {
    conn: Mutex<Option<Conn>>,
    /// Number of failed connections so far.
    failures: Cell<u64>,
}

impl CommandConn {
    /// Returns whether there is no open connection and no command waits for
    /// one.
    pub(super) fn is_unused(self: &Rc<Self>) -> bool {
        Rc::strong_count(self) == 1 && self.conn.try_lock().is_ok_and(|conn| conn.is_none())
    }
}

/// Sends a command once. Skips it if the connection failed while the command
/// waited for it.
pub(super) async fn send(node: &Node, conns: &CommandConns, command: &Command) -> Outcome {
    let is_release = command.action == Action::Release;
    let shared = conns.borrow_mut().entry((command.incarnation.clone(), is_release)).or_default().clone();
    let failures = shared.failures.get();
    let mut conn = shared.conn.lock().await;
    if shared.failures.get() != failures {
        return Outcome::Skipped;
    }
    let outcome = exchange(node, &mut conn, command).await;
    if conn.is_none() {
        shared.failures.set(failures + 1);
    }
    outcome
}

/// Sends a command on the kept connection, or on a new one if none is kept.
/// Keeps the connection if it can carry another command.
async fn exchange(node: &Node, kept: &mut Option<Conn>, command: &Command) -> Outcome {
    let is_release = command.action == Action::Release;
    let timeout = if is_release { RELEASE_TIMEOUT } else { GRANT_TIMEOUT };
    node.metrics.count_command(command.action.name());
    let (head, body) = match grant::encode(command) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:display; "failed to encode command");
            return Outcome::Undelivered;
        }
    };
    let Some(mut conn) = connect(kept.take(), command, node.http.clone()).await else {
        return Outcome::Undelivered;
    };
    let exchange = conn.exchange(head, vec![body], false, |_| true);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(reply)) => {
            if !reply.reusable {
                let target_id = &*command.incarnation.id;
                log::info!(target_id, conn = conn.id().0; "connection for commands closed after an answer");
            }
            *kept = reply.reusable.then_some(conn);
            grant::decode(&reply)
        }
        Ok(Err(failure)) if !failure.sent => Outcome::Undelivered,
        Ok(Err(_)) => Outcome::Disconnected,
        // The connection is closed while a command on it is unanswered.
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the kept connection to a target, or a new one if none is kept.
async fn connect(kept: Option<Conn>, command: &Command, http: ServiceConfig) -> Option<Conn> {
    match kept {
        // A connection that the target has closed may mean that its process has
        // ended.
        Some(conn) => conn.is_idle().then_some(conn),
        None => open(command, http).await,
    }
}

/// Opens a connection for commands to a target. The process at its other end is
/// the one that has the address now, which is not always the one that the
/// command is meant for.
async fn open(command: &Command, http: ServiceConfig) -> Option<Conn> {
    let conn = Conn::open(command.addr, CONNECT_TIMEOUT, http).await.ok()?;
    let action = command.action.name();
    let (from, to, fence, started) = (command.from, command.to, command.fence, command.incarnation.started);
    log::info!(target_id = &*command.incarnation.id, started, conn = conn.id().0, action, from, to, fence; "connection for commands opened");
    Some(conn)
}
