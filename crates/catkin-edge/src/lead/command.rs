//! Sends commands to targets.

use {
    crate::node::Node,
    actix_http::ServiceConfig,
    catkin::types::ConnId,
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
/// waited for it. Returns the connection on which the command went out, if it
/// did.
pub(super) async fn send(node: &Node, conns: &CommandConns, command: &Command) -> (Outcome, Option<ConnId>) {
    let is_release = command.action == Action::Release;
    let shared = conns.borrow_mut().entry((command.incarnation.clone(), is_release)).or_default().clone();
    let failures = shared.failures.get();
    let mut kept = shared.conn.lock().await;
    if shared.failures.get() != failures {
        return (Outcome::Skipped, None);
    }
    if !is_release && is_closed(&kept, command) {
        return (Outcome::Closed, None);
    }
    let (outcome, conn) = exchange(node, &mut kept, command).await;
    if matches!(outcome, Outcome::Undelivered | Outcome::Disconnected | Outcome::Unknown) {
        shared.failures.set(failures + 1);
    }
    (outcome, conn)
}

/// Returns whether the connection that carried the fence of a command is no
/// longer the kept one.
fn is_closed(kept: &Option<Conn>, command: &Command) -> bool {
    command.conn.is_some() && command.conn != kept.as_ref().map(Conn::id)
}

/// Sends a command on the kept connection, or on a new one if none is kept.
/// Keeps the connection if it can carry another command.
async fn exchange(node: &Node, kept: &mut Option<Conn>, command: &Command) -> (Outcome, Option<ConnId>) {
    let timeout = if command.action == Action::Release { RELEASE_TIMEOUT } else { GRANT_TIMEOUT };
    node.metrics.count_command(command.action.name());
    let (head, body) = match grant::encode(command) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:display; "failed to encode command");
            return (Outcome::Undelivered, None);
        }
    };
    let Some(mut conn) = connect(kept.take(), command, node.http.clone()).await else {
        return (Outcome::Undelivered, None);
    };
    let id = conn.id();
    let exchange = conn.exchange(head, vec![body], false, |_| true);
    let outcome = match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(reply)) => {
            if !reply.reusable {
                let target_id = &*command.incarnation.id;
                log::info!(target_id, conn = id.0; "connection for commands closed after an answer");
            }
            *kept = reply.reusable.then_some(conn);
            grant::decode(&reply)
        }
        Ok(Err(failure)) if !failure.sent => Outcome::Undelivered,
        Ok(Err(_)) => Outcome::Disconnected,
        // The connection is closed while a command on it is unanswered.
        Err(_) => Outcome::Unknown,
    };
    (outcome, Some(id))
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
