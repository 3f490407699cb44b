//! Idempotency keys in log order.

use {
    crate::{
        Code, Error,
        record::{Intent, Writer},
        types::Offset,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Idempotency keys that the fold remembers; the oldest is dropped first. A
/// key costs about 100 bytes in memory and 30 in a snapshot, so that the
/// table stays below a quarter of the 32 MB of a node.
pub const INTENTS_MAX: usize = 65_536;

/// The first record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Process that registered it first.
    pub writer: Writer,
    /// Offset of the record.
    pub offset: Offset,
    /// Whether the work is known to have ended.
    pub done: bool,
}

/// Idempotency keys, the oldest dropped first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Intents {
    rows: BTreeMap<u128, Taken>,
    order: VecDeque<u128>,
}

impl Intents {
    pub(super) fn get(&self, digest: u128) -> Option<&Taken> {
        self.rows.get(&digest)
    }

    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether rows and order name the same keys.
    pub(super) fn is_sound(&self) -> bool {
        self.rows.len() == self.order.len()
            && self.rows.len() <= INTENTS_MAX
            && self.order.iter().all(|digest| self.rows.contains_key(digest))
    }

    /// The first record of a key wins. Its writer may mark it as done later.
    pub(super) fn register(&mut self, offset: Offset, writer: &Writer, intent: &Intent) -> Result<(), Error> {
        if let Some(row) = self.rows.get_mut(&intent.digest) {
            if intent.done && row.writer == *writer {
                row.done = true;
                return Ok(());
            }
            return Err(Error::new(Code::TakenIntent, format!("registered at offset {}", row.offset)));
        }
        let row = Taken { writer: writer.clone(), offset, done: intent.done };
        self.rows.insert(intent.digest, row);
        self.order.push_back(intent.digest);
        while self.order.len() > INTENTS_MAX {
            let oldest = self.order.pop_front();
            oldest.and_then(|digest| self.rows.remove(&digest));
        }
        Ok(())
    }
}
