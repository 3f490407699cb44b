//! Rows of the fold by target, as a keeper needs them.

use {
    super::kept::Assignment,
    crate::{
        fold::State,
        types::{Fence, Service, SliceId, TargetId},
    },
    std::collections::BTreeMap,
};

/// Rows that name one target as owner, previous owner or standby.
#[derive(Default)]
pub(super) struct Rows {
    /// Service of the target; `None` if no row names it as owner or standby.
    pub(super) service: Option<Service>,
    /// Slices that the log assigns to the target.
    pub(super) assigned: BTreeMap<SliceId, Assignment>,
    /// Slices whose standby is the target, with owner and fence.
    pub(super) standby_for: BTreeMap<SliceId, (TargetId, Fence)>,
    /// Slices of split-off keys that the target owns or owned, with the slice
    /// that held the key before and its last fence.
    pub(super) parents: BTreeMap<SliceId, (SliceId, Fence)>,
}

/// Collects the rows of the targets for which `is_kept` holds.
pub(super) fn collect(state: &State, is_kept: impl Fn(&TargetId) -> bool) -> BTreeMap<TargetId, Rows> {
    let mut rows: BTreeMap<TargetId, Rows> = BTreeMap::new();
    for (service, slice, row) in state.rows() {
        let previous = row.previous.as_ref().map(|(owner, _)| owner);
        if is_kept(&row.owner) {
            let entry = rows.entry(row.owner.clone()).or_default();
            entry.assigned.insert(slice, Assignment::new(row));
            entry.service.get_or_insert_with(|| service.clone());
        }
        if let Some(standby) = row.standby.as_ref().filter(|standby| is_kept(standby)) {
            let entry = rows.entry(standby.clone()).or_default();
            entry.standby_for.insert(slice, (row.owner.clone(), row.fence));
            entry.service.get_or_insert_with(|| service.clone());
        }
        let Some(parent) = row.parent else { continue };
        for target in previous.into_iter().chain([&row.owner]).filter(|target| is_kept(target)) {
            rows.entry(target.clone()).or_default().parents.insert(slice, parent);
        }
    }
    rows
}
