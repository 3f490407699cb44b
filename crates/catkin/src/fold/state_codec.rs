//! Encoding of the full state for snapshots and peers.
//!
//! An encoded state is a format byte, a CRC-32 of the rest in little-endian
//! order, and the state in `postcard`. Two readers at the same offset encode
//! it to the same bytes.

use {
    super::{ActiveConfig, State},
    crate::{Code, Error, config},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_128,
};

const FORMAT_BYTE: u8 = 0xC2;
const HEADER_BYTES: usize = 5;

impl State {
    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the state can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let body = postcard::to_stdvec(self).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.push(FORMAT_BYTE);
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// `Code::ForeignRecord` if the bytes do not encode a state,
    /// `Code::TornRecord` if they are truncated or their checksum differs.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
            return Err(Error::new(Code::TornRecord, format!("state truncated to {} bytes", bytes.len())));
        };
        if header[0] != FORMAT_BYTE {
            return Err(Error::new(Code::ForeignRecord, format!("format byte {:#04x}", header[0])));
        }
        if header[1..] != crc32fast::hash(body).to_le_bytes() {
            return Err(Error::new(Code::TornRecord, "state checksum mismatch"));
        }
        let state: Self =
            postcard::from_bytes(body).map_err(|e| Error::new(Code::ForeignRecord, e.to_string()))?;
        if !state.writers.is_consistent() || !state.intents.is_consistent() {
            return Err(Error::new(Code::ForeignRecord, "tables of the state are inconsistent"));
        }
        Ok(state)
    }

    /// Returns a hash of the encoded state. It is equal for all readers with the
    /// same state.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the state can't be encoded.
    pub fn digest(&self) -> Result<u128, Error> {
        self.encode().map(|bytes| xxh3_128(&bytes))
    }
}

/// Encoded form of [`ActiveConfig`]. The parsed document is left out and rebuilt
/// from its text.
#[derive(Serialize, Deserialize)]
struct EncodedConfig {
    revision: crate::types::Revision,
    offset: crate::types::Offset,
    author: Arc<str>,
    text: Arc<str>,
}

impl Serialize for ActiveConfig {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let encoded = EncodedConfig {
            revision: self.revision,
            offset: self.offset,
            author: self.author.clone(),
            text: self.text.clone(),
        };
        encoded.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ActiveConfig {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let EncodedConfig { revision, offset, author, text } = EncodedConfig::deserialize(deserializer)?;
        let fleet = match revision.0 {
            0 => config::Fleet::default(),
            _ => config::parse(&text).map_err(serde::de::Error::custom)?,
        };
        Ok(Self { revision, offset, author, text, fleet: Arc::new(fleet) })
    }
}
