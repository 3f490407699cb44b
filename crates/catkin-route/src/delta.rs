//! Deltas between two tables of owners.
//!
//! A table of a few hundred targets takes kilobytes, and most records move a
//! few ranges. Processes that have an earlier table get the delta only, also from a new
//! leader, which raises the fences of all rows.

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
    /// Fence of all rows that are not replaced, if it has changed: a new leader raises
    /// the fences of all rows.
    fence: Option<u64>,
    /// New rows of each service in the order of their keys. They replace the
    /// rows of the older table for the same keys.
    services: BTreeMap<Arc<str>, Vec<Row>>,
}

impl Delta {
    /// Returns the delta from one table to another, or `None` if the full state
    /// is needed.
    pub fn new(old: &Owners, new: &Owners) -> Option<Self> {
        let delta = Self::with_fence(old, new, None);
        let raised = most_frequent_fence(new).filter(|_| old.leader != new.leader);
        let raised = raised.map(|fence| Self::with_fence(old, new, Some(fence)));
        let delta = raised.filter(|raised| raised.row_count() < delta.row_count()).unwrap_or(delta);
        // A row can't express that a key has lost its owner.
        (delta.apply(old) == *new).then_some(delta)
    }

    fn with_fence(old: &Owners, new: &Owners, fence: Option<u64>) -> Self {
        let mut services = BTreeMap::new();
        for (name, rows) in &new.services {
            let known = old.services.get(name).map_or(&[][..], |rows| &rows[..]);
            let new_rows = changed_rows(known, rows, fence);
            if !new_rows.is_empty() {
                services.insert(name.clone(), new_rows);
            }
        }
        let head = Head::new(new);
        Self { head: (head != Head::new(old)).then_some(head), fence, services }
    }

    fn row_count(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }

    /// Returns the newer table. `old` must be the table from which the delta
    /// was made.
    pub fn apply(&self, old: &Owners) -> Owners {
        let mut services = old.services.clone();
        if let Some(fence) = self.fence {
            for row in services.values_mut().flatten() {
                row.fence = fence;
            }
        }
        for (name, new_rows) in &self.services {
            let rows = services.remove(name).unwrap_or_default();
            services.insert(name.clone(), replace_rows(rows, new_rows));
        }
        let Head { leader, earlier_leaders, lease_duration } =
            self.head.clone().unwrap_or_else(|| Head::new(old));
        Owners { leader, earlier_leaders, lease_duration, services }
    }
}

fn most_frequent_fence(table: &Owners) -> Option<u64> {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for row in table.services.values().flatten() {
        *counts.entry(row.fence).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(fence, _)| fence)
}

/// Returns the rows of a newer list that an older one does not have once its rows
/// have the given fence, if there is one. Both lists are in the order of their keys.
fn changed_rows(old: &[Row], new: &[Row], fence: Option<u64>) -> Vec<Row> {
    let is_known = |known: &Row, row: &Row| match fence {
        Some(fence) => fence == row.fence && Row { fence, ..known.clone() } == *row,
        None => known == row,
    };
    let mut old = old.iter().peekable();
    let mut new_rows = Vec::new();
    for row in new {
        while old.next_if(|known| known.from < row.from).is_some() {}
        if old.peek().is_none_or(|known| !is_known(known, row)) {
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
