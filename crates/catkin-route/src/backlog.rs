//! Backlog of a topic's records, to be forwarded to other processes.
//!
//! Only the newest record of each key is kept. Large values are compressed: a
//! configuration of hundreds of routes goes to every process, and several in
//! quick succession would saturate the leader's link.

use {
    bytes::Bytes,
    catkin::{Code, Error},
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        io::{Read, Write},
    },
};

/// Most records that a backlog keeps; the oldest is evicted first.
const RECORDS_MAX: usize = 2_048;

/// Values of at least this size are compressed.
const COMPRESS_MIN_BYTES: usize = 2 << 10;

/// Limit on a decompressed value; records of the platform's store are smaller.
const VALUE_BYTES_MAX: u64 = 4 << 20;

/// The value of a record, compressed if it is large.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The value as written to the store.
    Plain(Bytes),
    /// The value as a raw DEFLATE stream.
    Deflated(Bytes),
}

impl Payload {
    /// Compresses a large value and keeps a small one as it is.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the compressor fails.
    pub fn new(value: &Bytes) -> Result<Self, Error> {
        if value.len() < COMPRESS_MIN_BYTES {
            return Ok(Self::Plain(value.clone()));
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(value).and_then(|()| encoder.finish());
        let deflated = written.map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        Ok(Self::Deflated(deflated.into()))
    }

    /// Returns the decompressed value.
    ///
    /// # Errors
    ///
    /// `Code::BadFrame` if the bytes are not a DEFLATE stream, or if the value
    /// exceeds 4 MiB.
    pub fn decode(&self) -> Result<Bytes, Error> {
        let deflated = match self {
            Self::Plain(value) => return Ok(value.clone()),
            Self::Deflated(deflated) => deflated,
        };
        let mut value = Vec::new();
        let mut decoder = DeflateDecoder::new(&deflated[..]).take(VALUE_BYTES_MAX + 1);
        decoder.read_to_end(&mut value).map_err(|e| Error::new(Code::BadFrame, e.to_string()))?;
        if value.len() as u64 > VALUE_BYTES_MAX {
            return Err(Error::new(Code::BadFrame, "decompressed value exceeds 4 MiB"));
        }
        Ok(value.into())
    }

    /// Returns the size in bytes in which the value is stored and forwarded.
    pub fn size(&self) -> usize {
        match self {
            Self::Plain(bytes) | Self::Deflated(bytes) => bytes.len(),
        }
    }
}

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Offset in the topic.
    pub offset: u64,
    /// Key whose value the record sets or removes.
    pub key: Bytes,
    /// Value; an empty one removes the key.
    pub value: Payload,
}

/// The newest record of each key from an offset on.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// Every change from this offset on is known; `u64::MAX` if none is.
    first: u64,
    changes: VecDeque<Change>,
}

impl Default for Backlog {
    fn default() -> Self {
        Self { first: u64::MAX, changes: VecDeque::new() }
    }
}

impl Backlog {
    /// Clears the backlog, which is then complete from `first` on.
    pub fn reset(&mut self, first: u64) {
        self.changes.clear();
        self.first = first;
    }

    /// Appends a change with a higher offset than all others, and evicts an
    /// older change of its key.
    pub fn append(&mut self, change: Change) {
        self.first = self.first.min(change.offset);
        self.changes.retain(|old| old.key != change.key);
        self.changes.push_back(change);
        if self.changes.len() > RECORDS_MAX
            && let Some(evicted) = self.changes.pop_front()
        {
            self.first = evicted.offset + 1;
        }
    }

    /// Returns the change of a key that is kept.
    pub fn get(&self, key: &[u8]) -> Option<&Change> {
        self.changes.iter().find(|change| change.key == key)
    }

    /// Returns the newest change of each key, or `None` if there is no change:
    /// a process that took that for the whole topic would wait for the next one.
    pub fn newest(&self) -> Option<Vec<Change>> {
        (!self.changes.is_empty()).then(|| self.changes.iter().cloned().collect())
    }

    /// Returns the newest change of each key from an offset on, or `None` if
    /// changes from there on may be missing.
    pub fn since(&self, from: u64) -> Option<Vec<Change>> {
        let skip = self.changes.partition_point(|change| change.offset < from);
        (from >= self.first).then(|| self.changes.iter().skip(skip).cloned().collect())
    }
}
