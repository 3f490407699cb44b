//! Snapshots of the state, which bound how many records a starting VM reads.
//!
//! A snapshot is appended to the log in chunks. [`Schedule`] decides when to
//! write one, and the gateway appends the chunks of [`split`] in order. Every
//! reader passes the chunks that it reads to [`Assembler::push`]. A starting VM reads
//! the log from its oldest record to its head, then calls [`choose_initial`] to select
//! the initial state.

mod schedule;
mod start;

pub use {
    schedule::{LogView, Schedule, ScheduleLimits, rank},
    start::{InitialState, LogScan, choose_initial, replace},
};

use {
    crate::{Code, Error, fold::State, record::Chunk, types::Offset},
    std::collections::BTreeMap,
};

/// Maximum number of bytes of the encoded state in one chunk. A record with a
/// chunk stays below [`RECORD_BYTES_MAX`](crate::record::RECORD_BYTES_MAX).
pub const CHUNK_BYTES: usize = 192 * 1024;
/// Maximum number of incomplete snapshots in the buffer of a reader. The oldest
/// is evicted first.
const INCOMPLETE_MAX: usize = 4;
/// Maximum number of chunks in one snapshot.
const CHUNKS_MAX: u32 = 64;

/// Splits a state into chunks.
///
/// # Errors
///
/// `Code::FrameTooLarge` if there are too many chunks, `Code::Internal` if the
/// state can't be encoded.
pub fn split(state: &State) -> Result<Vec<Chunk>, Error> {
    let bytes = state.encode()?;
    let checksum = crc32fast::hash(&bytes);
    let count = u32::try_from(bytes.len().div_ceil(CHUNK_BYTES)).unwrap_or(u32::MAX);
    if count > CHUNKS_MAX {
        let detail = format!("snapshot of {count} chunks, at most {CHUNKS_MAX} are allowed");
        return Err(Error::new(Code::FrameTooLarge, detail));
    }
    let chunks = bytes.chunks(CHUNK_BYTES).zip(0..).map(|(data, index)| Chunk {
        at: state.next_offset(),
        index,
        count,
        checksum,
        data: data.to_vec(),
    });
    Ok(chunks.collect())
}

/// Offset, number of chunks and checksum, which all chunks of a snapshot share.
/// Two writers at the same offset write the same bytes, so their chunks can be
/// combined.
type SnapshotId = (Offset, u32, u32);

/// Assembles snapshots from chunks and keeps the newest complete one.
#[derive(Clone, Debug, Default)]
pub struct Assembler {
    incomplete: BTreeMap<SnapshotId, BTreeMap<u32, Vec<u8>>>,
    newest: Option<State>,
    broken: u64,
}

impl Assembler {
    /// Creates an assembler without chunks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk. Returns whether it completed a snapshot that is newer than
    /// all earlier complete ones. Invalid and outdated chunks are ignored.
    pub fn push(&mut self, chunk: Chunk) -> bool {
        let outdated = self.newest.as_ref().is_some_and(|newest| chunk.at <= newest.next_offset());
        if outdated
            || chunk.index >= chunk.count
            || chunk.count > CHUNKS_MAX
            || chunk.data.len() > CHUNK_BYTES
        {
            return false;
        }
        let id = (chunk.at, chunk.count, chunk.checksum);
        let chunks = self.incomplete.entry(id).or_default();
        chunks.insert(chunk.index, chunk.data);
        if chunks.len() == chunk.count as usize {
            return self.complete(id);
        }
        while self.incomplete.len() > INCOMPLETE_MAX {
            self.incomplete.pop_first();
        }
        false
    }

    fn complete(&mut self, id: SnapshotId) -> bool {
        let (at, _, checksum) = id;
        let bytes: Vec<u8> =
            self.incomplete.remove(&id).into_iter().flat_map(BTreeMap::into_values).flatten().collect();
        let state = State::decode(&bytes).ok().filter(|state| state.next_offset() == at);
        let Some(state) = state.filter(|_| crc32fast::hash(&bytes) == checksum) else {
            self.broken += 1;
            return false;
        };
        self.incomplete.retain(|(other, _, _), _| *other > at);
        self.newest = Some(state);
        true
    }

    /// Returns the state of the newest complete snapshot, if there is one.
    pub fn newest(&self) -> Option<&State> {
        self.newest.as_ref()
    }

    /// Returns the number of snapshots with all chunks that did not decode to a
    /// valid state.
    pub fn broken(&self) -> u64 {
        self.broken
    }
}
