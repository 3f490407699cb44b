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

const FORMAT_BYTE: u8 = 0xC1;
const HEADER_BYTES: usize = 5;

/// Largest encoded record, in bytes.
pub const RECORD_BYTES_MAX: usize = 256 * 1024;

/// Process or operator that appends records. Each incarnation of a VM is a writer
/// of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// Id of the VM or of the operator.
    pub id: VmId,
    /// Incarnation, higher after each restart.
    pub boot: u64,
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Process or operator that appended the record.
    pub writer: Writer,
    /// Number of the record among those of its writer, increasing from 1.
    pub sequence: Sequence,
    /// Content of the record.
    pub change: Change,
}

/// Change that a record makes to the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Publishes a configuration.
    Config(Publish),
    /// Names the keeper of a target.
    Keeper(Claim),
    /// Assigns slices.
    Assign(Assign),
    /// Splits off a hot key.
    SplitOff(SplitOff),
    /// Registers idempotency keys.
    Intents(Vec<Intent>),
    /// Chunk of a snapshot.
    Chunk(Chunk),
}

/// Publication of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Revision in force that it replaces.
    pub expects: Revision,
    /// Operator who publishes it.
    pub author: Arc<str>,
    /// Document in YAML.
    pub text: Arc<str>,
}

/// Claim of a target by its new keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Claimed target.
    pub target: TargetId,
    /// Version of the target's keeper entry that it replaces.
    pub expects: Version,
    /// VM of the new keeper.
    pub keeper: VmId,
}

/// Assignment of slices of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assign {
    /// Service of the slices.
    pub service: Service,
    /// Moves, each of which is accepted or refused independently.
    pub moves: Vec<Move>,
}

/// Assignment of one slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Slice within its service.
    pub slice: SliceId,
    /// Version of the assignment that it replaces, 0 for the first one.
    pub expects: Version,
    /// New owner.
    pub owner: TargetId,
    /// Target that takes over if the owner fails.
    pub standby: Option<TargetId>,
    /// Fence of the provisional move that this record makes durable.
    pub provisional: Option<Fence>,
}

/// Splits off a hot key into a slice of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitOff {
    /// Service of the key.
    pub service: Service,
    /// Key to split off.
    pub key: Key,
    /// Version of the assignment of the slice that holds the key.
    pub expects: Version,
}

/// Registration of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Service of the request.
    pub service: Service,
    /// Hash of service and idempotency key, as of [`crate::intent::digest`].
    /// Callers of a service share one space of keys.
    pub digest: u128,
    /// Whether the request is known to have run.
    pub done: bool,
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Offset of the first record that the snapshot does not include.
    pub at: Offset,
    /// Index of this chunk, from 0.
    pub index: u32,
    /// Number of chunks of the snapshot.
    pub count: u32,
    /// CRC-32 of the full snapshot.
    pub checksum: u32,
    /// Bytes of this chunk.
    pub data: Vec<u8>,
}

/// Encodes a record.
///
/// # Errors
///
/// `Code::FrameTooLarge` if it is larger than [`RECORD_BYTES_MAX`].
pub fn encode(record: &Record) -> Result<Vec<u8>, Error> {
    let body = postcard::to_stdvec(record).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(FORMAT_BYTE);
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    if bytes.len() > RECORD_BYTES_MAX {
        let detail = format!("record of {} bytes, at most {RECORD_BYTES_MAX} are allowed", bytes.len());
        return Err(Error::new(Code::FrameTooLarge, detail));
    }
    Ok(bytes)
}

/// Decodes a record.
///
/// # Errors
///
/// `Code::ForeignRecord` if the format byte or the content is not that of a
/// record,
/// `Code::TornRecord` if the record is truncated or its checksum differs.
pub fn decode(bytes: &[u8]) -> Result<Record, Error> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(Error::new(Code::TornRecord, format!("record truncated to {} bytes", bytes.len())));
    };
    if header[0] != FORMAT_BYTE {
        return Err(Error::new(Code::ForeignRecord, format!("format byte {:#04x}", header[0])));
    }
    let checksum = u32::from_le_bytes([header[1], header[2], header[3], header[4]]);
    if checksum != crc32fast::hash(body) {
        return Err(Error::new(Code::TornRecord, "record checksum mismatch"));
    }
    postcard::from_bytes(body).map_err(|e| Error::new(Code::ForeignRecord, e.to_string()))
}
