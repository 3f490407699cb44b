//! Ports of the processes of a test.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, TcpListener},
    process,
    sync::{LazyLock, Mutex},
};

/// First port of the tests; it is below the ports that the system assigns to
/// clients.
const PORTS_FROM: u16 = 20_000;

/// Number of ports in a range. Its first one is the guard.
const PORTS: u16 = 400;

/// Number of ranges.
const RANGES: u16 = 30;

/// Range of ports that belongs to one test program. A process binds its ports
/// some time after they were chosen, and a restarted process leaves them free for a
/// while: without exclusive ranges another program took them, whose processes then
/// answered the requests of this test.
#[derive(Debug)]
pub(crate) struct PortRange {
    /// Listener at the first port. No other program can bind it, and the system
    /// closes it if this one is killed.
    guard: TcpListener,
    used: BTreeSet<u16>,
    next: u16,
}

impl PortRange {
    /// Reserves a range that no other test program uses, the given one if it is
    /// free.
    ///
    /// # Panics
    ///
    /// Panics if all ranges are in use.
    pub(crate) fn reserve(preferred: u16) -> Self {
        let firsts = (0..RANGES).map(|i| PORTS_FROM + (preferred + i) % RANGES * PORTS);
        let guard = firsts.filter_map(|first| TcpListener::bind(("127.0.0.1", first)).ok()).next();
        let guard = guard.expect("all ranges of ports are used by other test programs");
        Self { guard, used: BTreeSet::new(), next: 0 }
    }

    /// Returns the first port, which no process may use.
    pub(crate) fn first(&self) -> u16 {
        self.guard.local_addr().unwrap().port()
    }

    /// Takes a free port.
    fn take(&mut self) -> u16 {
        for _ in 1..PORTS {
            self.next = self.next % (PORTS - 1) + 1;
            let port = self.first() + self.next;
            // Processes of a test program that was killed may still run.
            let is_free = !self.used.contains(&port) && TcpListener::bind(("127.0.0.1", port)).is_ok();
            if is_free && self.used.insert(port) {
                return port;
            }
        }
        panic!("all {} ports of this test program are in use", self.used.len());
    }
}

static RANGE: LazyLock<Mutex<PortRange>> =
    LazyLock::new(|| Mutex::new(PortRange::reserve((process::id() % u32::from(RANGES)) as u16)));

/// Returns a free address on loopback. No other call returns it until its port is
/// released.
pub(crate) fn free_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], RANGE.lock().unwrap().take()))
}

/// Releases a port that no process of this test program uses any more.
pub(crate) fn release(port: u16) {
    RANGE.lock().unwrap().used.remove(&port);
}
