//! Registered idempotency keys, in the order of their first records.

use {
    crate::{
        Code, Error,
        record::{Intent, Writer},
        types::Offset,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of idempotency keys in the state. The oldest is evicted first.
/// A key takes about 100 bytes in memory and 30 in a snapshot, so that the table
/// stays below a quarter of the 32 MB of a node.
pub const INTENTS_MAX: usize = 65_536;

/// First registration of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Process that registered the key.
    pub writer: Writer,
    /// Offset of the record that registered the key.
    pub offset: Offset,
    /// Whether the request is known to have run.
    pub done: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Intents {
    rows: BTreeMap<u128, Registration>,
    order: VecDeque<u128>,
}

impl Intents {
    pub(super) fn get(&self, digest: u128) -> Option<&Registration> {
        self.rows.get(&digest)
    }

    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether `rows` and `order` hold the same keys within the bound.
    /// A decoded state may violate this.
    pub(super) fn is_consistent(&self) -> bool {
        self.rows.len() == self.order.len()
            && self.rows.len() <= INTENTS_MAX
            && self.order.iter().all(|digest| self.rows.contains_key(digest))
    }

    /// Registers an intent. The first record of a key wins, and only its writer
    /// may mark it as done later.
    pub(super) fn register(&mut self, offset: Offset, writer: &Writer, intent: &Intent) -> Result<(), Error> {
        if let Some(row) = self.rows.get_mut(&intent.digest) {
            if intent.done && row.writer == *writer {
                row.done = true;
                return Ok(());
            }
            return Err(Error::new(Code::TakenIntent, format!("registered at offset {}", row.offset)));
        }
        let row = Registration { writer: writer.clone(), offset, done: intent.done };
        self.rows.insert(intent.digest, row);
        self.order.push_back(intent.digest);
        while self.order.len() > INTENTS_MAX {
            let oldest = self.order.pop_front();
            oldest.and_then(|digest| self.rows.remove(&digest));
        }
        Ok(())
    }
}
