//! The VM list, which shows changes after a lag.

use {
    catkin::{
        api::{VmEntry, VmList},
        types::{Span, Time},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// Body of `POST /vms/remove`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRemoval {
    /// Id of the VM.
    pub id: Arc<str>,
}

/// A VM list that shows changes only after a lag.
pub(crate) struct LaggedVmList {
    lag: Span,
    shown: Vec<VmEntry>,
    /// Changes that are not shown, each with the time at which it is due.
    pending: VecDeque<(Time, VmListChange)>,
}

enum VmListChange {
    Set(VmEntry),
    Remove(Arc<str>),
}

impl LaggedVmList {
    /// Creates a list that shows the given rows from the start.
    pub(crate) fn new(lag: Span, rows: Vec<VmEntry>) -> Self {
        Self { lag, shown: rows, pending: VecDeque::new() }
    }

    /// Adds a row, or replaces the one with the same id.
    pub(crate) fn set(&mut self, now: Time, row: VmEntry) {
        self.pending.push_back((now.after(self.lag), VmListChange::Set(row)));
    }

    /// Removes the row with an id, if there is one.
    pub(crate) fn remove(&mut self, now: Time, removal: VmRemoval) {
        self.pending.push_back((now.after(self.lag), VmListChange::Remove(removal.id)));
    }

    /// Returns the rows that are shown.
    pub(crate) fn list(&mut self, now: Time) -> VmList {
        while let Some((_, change)) = self.pending.pop_front_if(|(due, _)| *due <= now) {
            self.apply(change);
        }
        VmList { vms: self.shown.clone() }
    }

    fn apply(&mut self, change: VmListChange) {
        match change {
            VmListChange::Remove(id) => self.shown.retain(|row| row.id != id),
            VmListChange::Set(new) => match self.shown.iter_mut().find(|row| row.id == new.id) {
                Some(row) => *row = new,
                None => self.shown.push(new),
            },
        }
    }
}
