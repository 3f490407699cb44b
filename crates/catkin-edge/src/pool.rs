//! Idle connections to targets.

use {
    catkin::types::{ConnId, Span, Time},
    catkin_net::Conn,
    catkin_route::directory::{Directory, Incarnation},
    std::{cell::RefCell, collections::HashMap},
};

/// Most idle connections that are kept for one target.
const IDLE_CONNS_MAX: usize = 6;

/// Time for which an idle connection is kept if the target names no time-out.
const KEEP_ALIVE_DEFAULT: Span = Span::from_secs(4);

/// Part of the target's keep-alive time-out that is not used, so that no
/// request is sent while the target closes the connection.
const KEEP_ALIVE_MARGIN: Span = Span::from_millis(1_500);

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    expires: Time,
}

/// Idle connections by the incarnation of their target.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Incarnation, Vec<IdleConn>>>,
}

impl Pool {
    /// Takes the most recently used connection that is still usable, among
    /// those for which `may_use` returns true.
    pub(crate) fn take(
        &self,
        now: Time,
        incarnation: &Incarnation,
        may_use: impl Fn(ConnId) -> bool,
    ) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(incarnation)?;
        while let Some(i) = list.iter().rposition(|idle| may_use(idle.conn.id())) {
            let last = list.remove(i);
            if now < last.expires && last.conn.is_idle() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Keeps a connection for reuse. `keep_alive` is the time-out that the
    /// target named.
    pub(crate) fn put(&self, now: Time, incarnation: &Incarnation, conn: Conn, keep_alive: Option<Span>) {
        let idle_time = keep_alive.map_or(KEEP_ALIVE_DEFAULT, |span| span.saturating_sub(KEEP_ALIVE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(incarnation.clone()).or_default();
        if list.len() < IDLE_CONNS_MAX && !idle_time.is_zero() {
            list.push(IdleConn { conn, expires: now.after(idle_time) });
        }
    }

    /// Closes connections that have been idle for too long or whose target has
    /// left the directory.
    pub(crate) fn sweep(&self, now: Time, directory: &Directory) {
        self.idle.borrow_mut().retain(|incarnation, list| {
            list.retain(|idle| now < idle.expires);
            !list.is_empty() && directory.current(incarnation).is_some()
        });
    }
}
