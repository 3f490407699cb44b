//! Highest sequence number of each writer.

use {
    crate::{
        record::Writer,
        types::{Offset, Sequence},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Maximum number of writers in the state. The writer whose last record is oldest is
/// evicted first. An evicted writer can't repeat a change, because the versions
/// that its records expect are outdated.
pub const WRITERS_MAX: usize = 4_096;

/// Highest sequence number of each writer, with the offset of its last record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Writers {
    rows: BTreeMap<Writer, (Sequence, Offset)>,
    order: BTreeMap<Offset, Writer>,
}

impl Writers {
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(super) fn last(&self, writer: &Writer) -> Option<Sequence> {
        self.rows.get(writer).map(|(sequence, _)| *sequence)
    }

    /// Returns whether `rows` and `order` hold the same writers within the bound.
    /// A decoded state may violate this.
    pub(super) fn is_consistent(&self) -> bool {
        self.rows.len() == self.order.len()
            && self.rows.len() <= WRITERS_MAX
            && self.rows.iter().all(|(writer, (_, offset))| self.order.get(offset) == Some(writer))
    }

    /// Accepts a record with a higher sequence number than the writer's last one.
    /// Otherwise the error holds that last number.
    pub(super) fn accept(
        &mut self,
        offset: Offset,
        writer: &Writer,
        sequence: Sequence,
    ) -> Result<(), Sequence> {
        match self.rows.get(writer) {
            Some((last, _)) if sequence <= *last => return Err(*last),
            Some((_, old)) => {
                self.order.remove(old);
            }
            None => {}
        }
        self.rows.insert(writer.clone(), (sequence, offset));
        self.order.insert(offset, writer.clone());
        while self.order.len() > WRITERS_MAX {
            let oldest = self.order.pop_first();
            oldest.and_then(|(_, writer)| self.rows.remove(&writer));
        }
        Ok(())
    }
}
