//! Decides who must give up bytes when a process holds too many.
//!
//! Load pattern: several servers send most of a large answer and then almost
//! nothing until the deadline, callers send large bodies slowly or do not read
//! their answers. Each of them stays under the limit of one exchange, but their
//! sum ends the process, and with it the requests of all others.
//!
//! The source that holds the most bytes is taken for the cause, whoever asks for
//! the next byte: a faulty server holds them on many connections. Its largest
//! holder ends first.

use {
    crate::types::{HolderId, Size},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

#[derive(Clone, Copy, Debug)]
struct Holder {
    source: SocketAddr,
    bytes: u64,
    /// Whether it was told to end.
    is_ending: bool,
}

/// Bytes that the holders of a process hold, and their limit.
#[derive(Clone, Debug)]
pub struct Holdings {
    limit: Size,
    /// Bytes of all holders.
    held: u64,
    /// Bytes of those that were told to end.
    ending: u64,
    holders: HashMap<HolderId, Holder>,
    last_id: HolderId,
}

impl Holdings {
    /// Starts without a holder.
    pub fn new(limit: Size) -> Self {
        Self { limit, held: 0, ending: 0, holders: HashMap::new(), last_id: HolderId::default() }
    }

    /// Changes the limit, which applies from the next change on.
    pub fn set_limit(&mut self, limit: Size) {
        self.limit = limit;
    }

    /// Returns the limit.
    pub fn limit(&self) -> Size {
        self.limit
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> Size {
        Size::from_bytes(self.held)
    }

    /// Adds a holder without bytes. `source` is the address from which its bytes
    /// come.
    pub fn add(&mut self, source: SocketAddr) -> HolderId {
        self.last_id = self.last_id.next();
        self.holders.insert(self.last_id, Holder { source, bytes: 0, is_ending: false });
        self.last_id
    }

    /// Removes a holder, whose bytes are free.
    pub fn remove(&mut self, id: HolderId) {
        self.update(id, 0);
        self.holders.remove(&id);
    }

    /// Records how many bytes a holder holds. Returns the holders that must end
    /// so that the rest stays under the limit. The bytes of a holder count until
    /// it is removed, but it is told to end only once.
    pub fn set(&mut self, id: HolderId, bytes: Size) -> Vec<HolderId> {
        self.update(id, bytes.as_bytes());
        let mut ended = Vec::new();
        while self.held - self.ending > self.limit.as_bytes()
            && let Some(id) = self.largest()
        {
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.is_ending = true;
                self.ending += holder.bytes;
            }
            ended.push(id);
        }
        ended
    }

    fn update(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        self.held = self.held - holder.bytes + bytes;
        if holder.is_ending {
            self.ending = self.ending - holder.bytes + bytes;
        }
        holder.bytes = bytes;
    }

    /// Returns the largest holder of the source that holds the most bytes.
    fn largest(&self) -> Option<HolderId> {
        let staying = || self.holders.iter().filter(|(_, holder)| !holder.is_ending && holder.bytes > 0);
        let mut sources: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for (_, holder) in staying() {
            *sources.entry(holder.source).or_default() += holder.bytes;
        }
        let (source, _) = sources.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        let of_source = staying().filter(|(_, holder)| holder.source == source);
        of_source.max_by_key(|(id, holder)| (holder.bytes, **id)).map(|(id, _)| *id)
    }
}
