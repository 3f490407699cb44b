//! Encoding of the whole state, for snapshots and peers.
//!
//! An encoded state is a format byte, a CRC-32 of the rest in little-endian
//! order, and the state in `postcard`. Two readers at the same offset have the
//! same bytes.

use {
    super::{Current, State},
    crate::{Code, Error, config},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_128,
};

const FORMAT: u8 = 0xC2;
const HEAD_BYTES: usize = 5;

impl State {
    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the state can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let body = postcard::to_stdvec(self).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
        bytes.push(FORMAT);
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        Ok(bytes)
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// `Code::ForeignRecord` if the bytes are no state, `Code::TornRecord` if
    /// they are truncated or changed.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let Some((head, body)) = bytes.split_at_checked(HEAD_BYTES) else {
            return Err(Error::new(Code::TornRecord, format!("a state of {} bytes", bytes.len())));
        };
        if head[0] != FORMAT {
            return Err(Error::new(Code::ForeignRecord, format!("format byte {:#04x}", head[0])));
        }
        if head[1..] != crc32fast::hash(body).to_le_bytes() {
            return Err(Error::new(Code::TornRecord, "the checksum of the state differs"));
        }
        let state: Self =
            postcard::from_bytes(body).map_err(|e| Error::new(Code::ForeignRecord, e.to_string()))?;
        if !state.writers.is_sound() || !state.intents.is_sound() {
            return Err(Error::new(Code::ForeignRecord, "the tables of the state disagree"));
        }
        Ok(state)
    }

    /// Returns a digest that is equal for two readers with the same state.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the state can't be encoded.
    pub fn digest(&self) -> Result<u128, Error> {
        self.encode().map(|bytes| xxh3_128(&bytes))
    }
}

#[derive(Serialize, Deserialize)]
struct Published {
    revision: crate::types::Revision,
    offset: crate::types::Offset,
    author: Arc<str>,
    text: Arc<str>,
}

impl Serialize for Current {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        let published = Published {
            revision: self.revision,
            offset: self.offset,
            author: self.author.clone(),
            text: self.text.clone(),
        };
        published.serialize(output)
    }
}

impl<'de> Deserialize<'de> for Current {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let Published { revision, offset, author, text } = Published::deserialize(input)?;
        let fleet = match revision.0 {
            0 => config::Fleet::default(),
            _ => config::parse(&text).map_err(serde::de::Error::custom)?,
        };
        Ok(Self { revision, offset, author, text, fleet: Arc::new(fleet) })
    }
}
