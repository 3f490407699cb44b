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
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Time for the answer to a grant.
pub(super) const GRANT_MAX: Duration = Duration::from_millis(500);

/// Time for the answer to a release, which waits for the work in progress.
const RELEASE_MAX: Duration = Duration::from_millis(1_500);

/// Time to open a connection for a command.
const CONNECT_MAX: Duration = Duration::from_millis(300);

/// Connections for commands, by the process at their other end.
pub(super) type Conns = Rc<RefCell<HashMap<Life, Conn>>>;

/// Sends a command once.
pub(super) async fn send(node: &Node, conns: &Conns, command: &Command) -> Outcome {
    let within = if command.ask == Ask::Release { RELEASE_MAX } else { GRANT_MAX };
    node.metrics.command(if command.ask == Ask::Release { "release" } else { "grant" });
    let (head, body) = match grant::encode(command) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:display; "command can't be encoded");
            return Outcome::Unsent;
        }
    };
    let Some(mut conn) = connect(conns, command, node.http.clone()).await else {
        return Outcome::Unsent;
    };
    let exchange = conn.exchange(head, vec![body], false, |_| true);
    match tokio::time::timeout(within, exchange).await {
        Ok(Ok(reply)) => {
            if reply.reusable {
                conns.borrow_mut().insert(command.life.clone(), conn);
            }
            grant::decode(&reply)
        }
        Ok(Err(broken)) if !broken.sent => Outcome::Unsent,
        Ok(Err(_)) => Outcome::Cut,
        // The connection is closed with an unanswered command on it.
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the kept connection to a process, or a new one if none is kept.
async fn connect(conns: &Conns, command: &Command, http: ServiceConfig) -> Option<Conn> {
    let kept = conns.borrow_mut().remove(&command.life);
    match kept {
        // A connection that the target closed may mean that its process ended.
        Some(conn) => conn.is_quiet().then_some(conn),
        None => Conn::open(command.addr, CONNECT_MAX, http).await.ok(),
    }
}
