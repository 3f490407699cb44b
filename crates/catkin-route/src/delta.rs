//! Deltas between two tables of owners.
//!
//! A table of a few hundred targets takes kilobytes, and most records move a
//! few ranges. Processes that have an earlier table get the delta only.

use {
    crate::owners::{Owners, ProcessId, Row},
    catkin::types::Span,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Fields of a table beside its rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    leader: ProcessId,
    earlier_leaders: Vec<ProcessId>,
    lease_duration: Span,
}

impl Head {
    fn new(table: &Owners) -> Self {
        let Owners { leader, earlier_leaders, lease_duration, .. } = table;
        let (leader, earlier_leaders) = (leader.clone(), earlier_leaders.clone());
        Self { leader, earlier_leaders, lease_duration: *lease_duration }
    }
}

/// The delta from one table to a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Fields beside the rows, if any of them has changed.
    head: Option<Head>,
    /// New rows of each service in the order of their keys. They replace the
    /// rows of the older table for the same keys.
    services: BTreeMap<Arc<str>, Vec<Row>>,
}

impl Delta {
    /// Returns the delta from one table to another, or `None` if the full state
    /// is needed.
    pub fn new(old: &Owners, new: &Owners) -> Option<Self> {
        let mut services = BTreeMap::new();
        for (name, rows) in &new.services {
            let known = old.services.get(name).map_or(&[][..], |rows| &rows[..]);
            let new_rows = changed_rows(known, rows);
            if !new_rows.is_empty() {
                services.insert(name.clone(), new_rows);
            }
        }
        let head = Head::new(new);
        let delta = Self { head: (head != Head::new(old)).then_some(head), services };
        // A row can't express that a key has lost its owner.
        (delta.apply(old) == *new).then_some(delta)
    }

    /// Returns the newer table. `old` must be the table from which the delta
    /// was made.
    pub fn apply(&self, old: &Owners) -> Owners {
        let mut services = old.services.clone();
        for (name, new_rows) in &self.services {
            let rows = services.remove(name).unwrap_or_default();
            services.insert(name.clone(), replace_rows(rows, new_rows));
        }
        let Head { leader, earlier_leaders, lease_duration } =
            self.head.clone().unwrap_or_else(|| Head::new(old));
        Owners { leader, earlier_leaders, lease_duration, services }
    }
}

/// Returns the rows of a newer list that an older one does not have. Both lists
/// are in the order of their keys.
fn changed_rows(old: &[Row], new: &[Row]) -> Vec<Row> {
    let mut old = old.iter().peekable();
    let mut new_rows = Vec::new();
    for row in new {
        while old.next_if(|known| known.from < row.from).is_some() {}
        if old.peek() != Some(&row) {
            new_rows.push(row.clone());
        }
    }
    new_rows
}

/// Replaces the rows of a list for all keys that new rows cover.
fn replace_rows(rows: Vec<Row>, new_rows: &[Row]) -> Vec<Row> {
    let mut out: Vec<Row> = Vec::with_capacity(rows.len() + new_rows.len());
    for row in rows {
        let first = new_rows.partition_point(|new| new.to < row.from);
        let overlapping = new_rows[first..].iter().take_while(|new| new.from <= row.to);
        let mut from = Some(row.from);
        for new in overlapping {
            if let Some(start) = from.filter(|start| *start < new.from) {
                out.push(Row { from: start, to: new.from - 1, ..row.clone() });
            }
            from = new.to.checked_add(1);
        }
        if let Some(start) = from.filter(|start| *start <= row.to) {
            out.push(Row { from: start, ..row });
        }
    }
    out.extend(new_rows.iter().cloned());
    out.sort_by_key(|row| row.from);
    out
}
