//! Bytes that the exchanges of the current thread hold, which share one limit.

use {
    catkin::{
        holdings::Holdings,
        types::{HolderId, Size},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// Granularity in which held bytes are counted: the buffer space of a small
/// exchange.
const GRAIN_BYTES: usize = 16 << 10;

struct Shared {
    holdings: Holdings,
    ends: HashMap<HolderId, Rc<End>>,
}

/// That a holder was told to end.
#[derive(Debug, Default)]
struct End {
    is_due: Cell<bool>,
    changed: Notify,
}

thread_local! {
    static SHARED: RefCell<Shared> = RefCell::new(Shared {
        holdings: Holdings::new(Size::from_bytes(u64::MAX)),
        ends: HashMap::new(),
    });
}

/// Sets the limit on the bytes that all holders of the current thread hold
/// together. Without a limit nobody ends.
pub fn limit_held(limit: Size) {
    SHARED.with_borrow_mut(|shared| shared.holdings.set_limit(limit));
}

/// Returns the bytes that all holders of the current thread hold.
pub fn held() -> Size {
    SHARED.with_borrow(|shared| shared.holdings.held())
}

/// Returns the limit on the bytes that all holders of the current thread hold.
pub fn held_limit() -> Size {
    SHARED.with_borrow(|shared| shared.holdings.limit())
}

/// Returns whether so few bytes are held that more may be read than is needed at
/// once: less than half of the limit.
pub fn has_room() -> bool {
    held().as_bytes() < held_limit().as_bytes() / 2
}

/// Bytes that come from one source. They are free again when this is dropped.
#[derive(Debug)]
pub struct Held {
    id: HolderId,
    grains: Cell<usize>,
    end: Rc<End>,
}

impl Held {
    /// Starts without bytes, for a peer from which they come.
    pub fn new(source: SocketAddr) -> Self {
        let end = Rc::<End>::default();
        let id = SHARED.with_borrow_mut(|shared| {
            let id = shared.holdings.add(source);
            shared.ends.insert(id, end.clone());
            id
        });
        Self { id, grains: Cell::new(0), end }
    }

    /// Records how many bytes are held now. Another holder may be told to end
    /// for that, or this one.
    pub fn set(&self, bytes: usize) {
        let grains = bytes.div_ceil(GRAIN_BYTES);
        if self.grains.replace(grains) == grains {
            return;
        }
        SHARED.with_borrow_mut(|shared| {
            let size = Size::from_bytes((grains * GRAIN_BYTES) as u64);
            for id in shared.holdings.set(self.id, size) {
                if let Some(end) = shared.ends.get(&id) {
                    end.is_due.set(true);
                    end.changed.notify_waiters();
                }
            }
        });
    }

    /// Returns whether this holder must end.
    pub fn is_ended(&self) -> bool {
        self.end.is_due.get()
    }

    /// Waits until this holder must end.
    pub async fn ended(&self) {
        let changed = self.end.changed.notified();
        if !self.is_ended() {
            changed.await;
        }
    }

    /// Returns the error of an exchange that must end.
    pub fn error() -> io::Error {
        io::Error::new(io::ErrorKind::OutOfMemory, "ended, as the process holds too many bytes")
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        SHARED.with_borrow_mut(|shared| {
            shared.holdings.remove(self.id);
            shared.ends.remove(&self.id);
        });
    }
}
