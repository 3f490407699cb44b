//! Records of a topic that are kept to be passed on.
//!
//! Only the newest record of a key counts, so older ones are dropped. Large
//! values are compressed: a configuration of hundreds of routes goes to every
//! process, and in quick succession would fill the leader's link.

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

/// Records that are kept.
const RECORDS_MAX: usize = 2_048;

/// Size of a value from which on it is compressed.
const LARGE_BYTES: usize = 2 << 10;

/// Largest value; records of the platform's store are smaller.
const VALUE_BYTES_MAX: u64 = 4 << 20;

/// A value as it is kept and passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Packed {
    /// As it was written.
    Plain(Bytes),
    /// Compressed.
    Deflated(Bytes),
}

impl Packed {
    /// Packs a value.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the compressor fails.
    pub fn new(value: &Bytes) -> Result<Self, Error> {
        if value.len() < LARGE_BYTES {
            return Ok(Self::Plain(value.clone()));
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(value).and_then(|()| encoder.finish());
        let packed = written.map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        Ok(Self::Deflated(packed.into()))
    }

    /// Returns the value.
    ///
    /// # Errors
    ///
    /// `Code::BadFrame` if the bytes are no compressed value of a usual size.
    pub fn unpack(&self) -> Result<Bytes, Error> {
        let packed = match self {
            Self::Plain(value) => return Ok(value.clone()),
            Self::Deflated(packed) => packed,
        };
        let mut value = Vec::new();
        let mut decoder = DeflateDecoder::new(&packed[..]).take(VALUE_BYTES_MAX + 1);
        decoder.read_to_end(&mut value).map_err(|e| Error::new(Code::BadFrame, e.to_string()))?;
        if value.len() as u64 > VALUE_BYTES_MAX {
            return Err(Error::new(Code::BadFrame, "a compressed value is too large"));
        }
        Ok(value.into())
    }

    /// Returns the bytes that are kept and passed on.
    pub fn size(&self) -> usize {
        match self {
            Self::Plain(bytes) | Self::Deflated(bytes) => bytes.len(),
        }
    }
}

/// A record: its offset, key and value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Offset in the topic.
    pub offset: u64,
    /// Key.
    pub key: Bytes,
    /// Value; an empty one removes the key.
    pub value: Packed,
}

/// The newest record of each key from an offset on.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// First offset from which on every change is known.
    first: u64,
    changes: VecDeque<Change>,
}

impl Default for Backlog {
    fn default() -> Self {
        Self { first: u64::MAX, changes: VecDeque::new() }
    }
}

impl Backlog {
    /// Starts again from an offset.
    pub fn restart(&mut self, first: u64) {
        self.changes.clear();
        self.first = first;
    }

    /// Keeps a change that follows all others.
    pub fn keep(&mut self, change: Change) {
        self.first = self.first.min(change.offset);
        self.changes.retain(|old| old.key != change.key);
        self.changes.push_back(change);
        if self.changes.len() > RECORDS_MAX
            && let Some(dropped) = self.changes.pop_front()
        {
            self.first = dropped.offset + 1;
        }
    }

    /// Returns the newest change of each key from an offset on, unless some are
    /// not known.
    pub fn since(&self, from: u64) -> Option<Vec<Change>> {
        let skip = self.changes.partition_point(|change| change.offset < from);
        (from >= self.first).then(|| self.changes.iter().skip(skip).cloned().collect())
    }
}
