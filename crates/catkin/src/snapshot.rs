//! Snapshots of the fold: chunks in the log, and what a VM starts from.
//!
//! A reader passes every chunk that it reads to [`Join::push`]. A VM that
//! starts reads the log from its oldest record to its head, then asks
//! [`choose`] what to start from. [`Schedule`] says when to write a snapshot:
//! the gateway appends the chunks of [`split`] in order.

mod schedule;
mod start;

pub use {
    schedule::{Limits, Schedule, View, rank},
    start::{Choice, Scan, advance, choose},
};

use {
    crate::{Code, Error, fold::State, record::Chunk, types::Offset},
    std::collections::BTreeMap,
};

/// Bytes of the state in one chunk. A record with it stays below
/// [`RECORD_BYTES_MAX`](crate::record::RECORD_BYTES_MAX).
pub const CHUNK_BYTES: usize = 192 * 1024;
/// Incomplete snapshots that a reader keeps; the oldest is dropped first.
const OPEN_MAX: usize = 4;
/// Largest snapshot, in chunks.
const PARTS_MAX: u32 = 64;

/// Splits a state into chunks.
///
/// # Errors
///
/// `Code::FrameTooLarge` if there are too many chunks, `Code::Internal` if the
/// state can't be encoded.
pub fn split(state: &State) -> Result<Vec<Chunk>, Error> {
    let bytes = state.encode()?;
    let checksum = crc32fast::hash(&bytes);
    let parts = u32::try_from(bytes.len().div_ceil(CHUNK_BYTES)).unwrap_or(u32::MAX);
    if parts > PARTS_MAX {
        let detail = format!("a snapshot of {parts} chunks, allowed are {PARTS_MAX}");
        return Err(Error::new(Code::FrameTooLarge, detail));
    }
    let chunks = bytes.chunks(CHUNK_BYTES).zip(0..).map(|(data, part)| Chunk {
        at: state.next(),
        part,
        parts,
        checksum,
        data: data.to_vec(),
    });
    Ok(chunks.collect())
}

/// Offset, number of chunks and checksum, which chunks of one snapshot share.
/// Two writers at the same offset write the same bytes, so that their chunks
/// complete each other.
type Id = (Offset, u32, u32);

/// Collects the chunks of snapshots and keeps the newest complete one.
#[derive(Clone, Debug, Default)]
pub struct Join {
    open: BTreeMap<Id, BTreeMap<u32, Vec<u8>>>,
    newest: Option<State>,
    broken: u64,
}

impl Join {
    /// Makes an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a chunk. Returns whether it completed a snapshot that is newer
    /// than all complete ones.
    pub fn push(&mut self, chunk: Chunk) -> bool {
        let known = self.newest.as_ref().is_some_and(|newest| chunk.at <= newest.next());
        if known || chunk.part >= chunk.parts || chunk.parts > PARTS_MAX || chunk.data.len() > CHUNK_BYTES {
            return false;
        }
        let id = (chunk.at, chunk.parts, chunk.checksum);
        let parts = self.open.entry(id).or_default();
        parts.insert(chunk.part, chunk.data);
        if parts.len() == chunk.parts as usize {
            return self.complete(id);
        }
        while self.open.len() > OPEN_MAX {
            self.open.pop_first();
        }
        false
    }

    fn complete(&mut self, id: Id) -> bool {
        let (at, _, checksum) = id;
        let bytes: Vec<u8> =
            self.open.remove(&id).into_iter().flat_map(BTreeMap::into_values).flatten().collect();
        let state = State::decode(&bytes).ok().filter(|state| state.next() == at);
        let Some(state) = state.filter(|_| crc32fast::hash(&bytes) == checksum) else {
            self.broken += 1;
            return false;
        };
        self.open.retain(|(open, _, _), _| *open > at);
        self.newest = Some(state);
        true
    }

    /// Returns the state of the newest complete snapshot.
    pub fn newest(&self) -> Option<&State> {
        self.newest.as_ref()
    }

    /// Returns the number of snapshots whose chunks were all there but did
    /// not give a state.
    pub fn broken(&self) -> u64 {
        self.broken
    }
}
