//! Sends commands to targets.

use {
    crate::{announcements, node::Node},
    actix_http::{ResponseHead, ServiceConfig},
    catkin::types::ConnId,
    catkin_net::{Conn, HttpAnswer},
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

/// A connection that is kept for the next command.
#[derive(Debug)]
struct Kept {
    conn: Conn,
    /// Whether the target has named the id of a command in an answer. An answer
    /// without one belongs to no command then.
    names_ids: bool,
}

/// Connection that carries one command at a time. There is only one, since a
/// new connection would wait in the queue of a busy target.
#[derive(Debug, Default)]
pub(super) struct CommandConn {
    conn: Mutex<Option<Kept>>,
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
fn is_closed(kept: &Option<Kept>, command: &Command) -> bool {
    command.conn.is_some() && command.conn != kept.as_ref().map(|kept| kept.conn.id())
}

/// Returns an id that no other command has, also of another process.
fn command_id(node: &Node, command: &Command) -> String {
    format!("{:016x}-{}", node.identity.run_id, command.ticket)
}

/// Sends a command on the kept connection, or on a new one if none is kept.
/// Keeps the connection if it can carry another command.
async fn exchange(node: &Node, slot: &mut Option<Kept>, command: &Command) -> (Outcome, Option<ConnId>) {
    let timeout = if command.action == Action::Release { RELEASE_TIMEOUT } else { GRANT_TIMEOUT };
    node.metrics.count_command(command.action.name());
    let id = command_id(node, command);
    let (head, body) = match grant::encode(command, &id) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:display; "failed to encode command");
            return (Outcome::Undelivered, None);
        }
    };
    let Some(mut kept) = connect(slot.take(), command, node.http.clone()).await else {
        return (Outcome::Undelivered, None);
    };
    let (conn, names_ids) = (kept.conn.id(), kept.names_ids);
    let is_own = |head: &ResponseHead| grant::answered_id(head).map_or(!names_ids, |other| other == id);
    let exchange = kept.conn.exchange(head, vec![body], false, is_own);
    let outcome = match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(reply)) => {
            announcements::note_command(node, &command.incarnation, &reply.head);
            *slot = keep(kept, command, &reply);
            grant::decode(&reply)
        }
        Ok(Err(failure)) if !failure.sent => Outcome::Undelivered,
        Ok(Err(_)) => Outcome::Disconnected,
        // The connection is closed while a command on it is unanswered.
        Err(_) => Outcome::Unknown,
    };
    (outcome, Some(conn))
}

/// Returns the connection after an answer if it can carry another command. After
/// an answer to a release without its id it can't: a late copy of that answer
/// would free the keys of the next release while work on them goes on.
fn keep(kept: Kept, command: &Command, reply: &HttpAnswer) -> Option<Kept> {
    let names_ids = kept.names_ids || grant::answered_id(&reply.head).is_some();
    if reply.reusable && (names_ids || command.action != Action::Release) {
        return Some(Kept { names_ids, ..kept });
    }
    let target_id = &*command.incarnation.id;
    log::info!(target_id, conn = kept.conn.id().0, names_ids; "connection for commands closed after an answer");
    None
}

/// Returns the kept connection to a target, or a new one if none is kept.
async fn connect(kept: Option<Kept>, command: &Command, http: ServiceConfig) -> Option<Kept> {
    match kept {
        // A connection that the target has closed may mean that its process has
        // ended.
        Some(kept) => kept.conn.is_idle().then_some(kept),
        None => Some(Kept { conn: open(command, http).await?, names_ids: false }),
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
