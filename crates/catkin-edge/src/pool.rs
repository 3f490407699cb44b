//! Idle connections to targets.

use {
    catkin::types::{Span, Time},
    catkin_net::Conn,
    catkin_route::directory::{Directory, Life},
    std::{cell::RefCell, collections::HashMap},
};

/// Idle connections kept for one target.
const IDLE_MAX: usize = 6;

/// Time that an idle connection is kept when the target names none.
const IDLE_DEFAULT: Span = Span::from_secs(4);

/// Part of the time that a target names that is not used, so that a request
/// does not cross the target's close.
const IDLE_MARGIN: Span = Span::from_millis(1_500);

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Time,
}

/// Idle connections by the process at their other end.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Life, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that was used last.
    pub(crate) fn take(&self, now: Time, life: &Life) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(life)?;
        while let Some(last) = list.pop() {
            if now < last.until && last.conn.is_quiet() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Keeps a connection that may be used again.
    pub(crate) fn put(&self, now: Time, life: &Life, conn: Conn, named: Option<Span>) {
        let keep = named.map_or(IDLE_DEFAULT, |span| span.saturating_sub(IDLE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(life.clone()).or_default();
        if list.len() < IDLE_MAX && !keep.is_zero() {
            list.push(Idle { conn, until: now.after(keep) });
        }
    }

    /// Closes connections that are too old or whose target is gone.
    pub(crate) fn sweep(&self, now: Time, directory: &Directory) {
        self.idle.borrow_mut().retain(|life, list| {
            list.retain(|idle| now < idle.until);
            !list.is_empty() && directory.living(life).is_some()
        });
    }
}
