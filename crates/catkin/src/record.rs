//! Records of the log and their encoding.
//!
//! An encoded record is a format byte, a CRC-32 of the rest in little-endian
//! order, and the record in `postcard`.

use {
    crate::{
        Code, Error,
        types::{Fence, Key, Offset, Revision, Sequence, Service, SliceId, TargetId, Version, VmId},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

const FORMAT: u8 = 0xC1;
const HEAD_BYTES: usize = 5;

/// Largest encoded record, in bytes.
pub const RECORD_BYTES_MAX: usize = 256 * 1024;

/// Who wrote a record. A restarted process is a new writer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// VM or operator.
    pub id: VmId,
    /// Number of the process.
    pub boot: u64,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who wrote it.
    pub writer: Writer,
    /// Its number among those of the writer.
    pub sequence: Sequence,
    /// What it changes.
    pub change: Change,
}

/// What a record changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Publishes a configuration.
    Config(Publish),
    /// Names the keeper of a target.
    Keeper(Claim),
    /// Assigns slices.
    Assign(Assign),
    /// Makes a hot key a slice of its own.
    Carve(Carve),
    /// Registers idempotency keys.
    Intents(Vec<Intent>),
    /// Part of a snapshot.
    Chunk(Chunk),
}

/// Publishes a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Revision that it replaces.
    pub expects: Revision,
    /// Operator.
    pub author: Arc<str>,
    /// The document, in YAML.
    pub text: Arc<str>,
}

/// Names the keeper of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The target.
    pub target: TargetId,
    /// Version of the target's row that it replaces.
    pub expects: Version,
    /// The new keeper.
    pub keeper: VmId,
}

/// Assigns slices of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assign {
    /// The service.
    pub service: Service,
    /// The moves; each is accepted or refused on its own.
    pub moves: Vec<Move>,
}

/// Assigns one slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The slice.
    pub slice: SliceId,
    /// Version of the slice's row that it replaces.
    pub expects: Version,
    /// The owner.
    pub owner: TargetId,
    /// The target that takes over when the owner is lost.
    pub standby: Option<TargetId>,
    /// Fence of the provisional move that this record makes durable.
    pub provisional: Option<Fence>,
}

/// Makes a hot key a slice of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carve {
    /// The service.
    pub service: Service,
    /// The key.
    pub key: Key,
    /// Version of the row of the slice that holds the key now.
    pub expects: Version,
}

/// Registers one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The service.
    pub service: Service,
    /// Hash of service, caller and idempotency key.
    pub digest: u128,
    /// Whether the work is known to have ended.
    pub done: bool,
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Offset up to which the snapshot holds the fold.
    pub at: Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// CRC-32 of the whole snapshot.
    pub checksum: u32,
    /// The bytes of this part.
    pub data: Vec<u8>,
}

/// Encodes a record.
///
/// # Errors
///
/// `Code::FrameTooLarge` if it is larger than [`RECORD_BYTES_MAX`].
pub fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    let body = postcard::to_stdvec(record).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
    bytes.push(FORMAT);
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    if bytes.len() > RECORD_BYTES_MAX {
        let detail = format!("a record of {} bytes, allowed are {RECORD_BYTES_MAX}", bytes.len());
        return Err(Error::new(Code::FrameTooLarge, detail));
    }
    Ok(bytes)
}

/// Decodes a record.
///
/// # Errors
///
/// `Code::ForeignRecord` if the format byte or the shape is not ours,
/// `Code::TornRecord` if the record is truncated or its checksum differs.
pub fn decode(bytes: &[u8]) -> Result<Record, Error> {
    let Some((head, body)) = bytes.split_at_checked(HEAD_BYTES) else {
        return Err(Error::new(Code::TornRecord, format!("a record of {} bytes", bytes.len())));
    };
    if head[0] != FORMAT {
        return Err(Error::new(Code::ForeignRecord, format!("format byte {:#04x}", head[0])));
    }
    let checksum = u32::from_le_bytes([head[1], head[2], head[3], head[4]]);
    if checksum != crc32fast::hash(body) {
        return Err(Error::new(Code::TornRecord, "the checksum differs"));
    }
    postcard::from_bytes(body).map_err(|e| Error::new(Code::ForeignRecord, e.to_string()))
}
