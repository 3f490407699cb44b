//! Changes from one table of owners to another.
//!
//! A table of a few hundred targets has kilobytes, and most records move a few
//! ranges. Processes that know the last table get the changes only.

use {
    crate::owners::{Leader, Owners, Row},
    catkin::types::Span,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What differs in a newer table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    leader: Leader,
    earlier: Vec<Leader>,
    hold: Span,
    /// New rows of each service in the order of their keys. They replace what
    /// the older table says of their keys.
    services: BTreeMap<Arc<str>, Vec<Row>>,
}

impl Patch {
    /// Returns the changes that make one table of another, unless a whole
    /// table is needed.
    pub fn new(old: &Owners, new: &Owners) -> Option<Self> {
        let mut services = BTreeMap::new();
        for (name, rows) in &new.services {
            let known = old.services.get(name).map_or(&[][..], |rows| &rows[..]);
            let fresh = added(known, rows);
            if !fresh.is_empty() {
                services.insert(name.clone(), fresh);
            }
        }
        let Owners { leader, earlier, hold, .. } = new.clone();
        let patch = Self { leader, earlier, hold, services };
        // Keys that lost their owner can't be told by rows.
        (patch.apply(old) == *new).then_some(patch)
    }

    /// Returns the newer table.
    pub fn apply(&self, old: &Owners) -> Owners {
        let mut services = old.services.clone();
        for (name, fresh) in &self.services {
            let rows = services.remove(name).unwrap_or_default();
            services.insert(name.clone(), replace(rows, fresh));
        }
        let Self { leader, earlier, hold, .. } = self.clone();
        Owners { leader, earlier, hold, services }
    }
}

/// Returns the rows that an older list does not have. Both are ordered.
fn added(old: &[Row], new: &[Row]) -> Vec<Row> {
    let mut old = old.iter().peekable();
    let mut fresh = Vec::new();
    for row in new {
        while old.next_if(|known| known.from < row.from).is_some() {}
        if old.peek() != Some(&row) {
            fresh.push(row.clone());
        }
    }
    fresh
}

/// Puts rows in place of what a list says of their keys.
fn replace(rows: Vec<Row>, fresh: &[Row]) -> Vec<Row> {
    let mut out: Vec<Row> = Vec::with_capacity(rows.len() + fresh.len());
    for row in rows {
        let first = fresh.partition_point(|new| new.to < row.from);
        let over = fresh[first..].iter().take_while(|new| new.from <= row.to);
        let mut from = Some(row.from);
        for new in over {
            if let Some(start) = from.filter(|start| *start < new.from) {
                out.push(Row { from: start, to: new.from - 1, ..row.clone() });
            }
            from = new.to.checked_add(1);
        }
        if let Some(start) = from.filter(|start| *start <= row.to) {
            out.push(Row { from: start, ..row });
        }
    }
    out.extend(fresh.iter().cloned());
    out.sort_by_key(|row| row.from);
    out
}
