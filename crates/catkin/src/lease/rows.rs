//! The part of the fold that a keeper needs about one target.

use {
    super::kept::Want,
    crate::{
        fold::State,
        types::{Fence, Service, SliceId, TargetId},
    },
    std::collections::BTreeMap,
};

/// The rows that name one target.
#[derive(Default)]
pub(super) struct Rows {
    /// Service of the rows.
    pub(super) service: Option<Service>,
    /// Slices that the target owns.
    pub(super) wants: BTreeMap<SliceId, Want>,
    /// Slices that name the target as their standby, with owner and fence.
    pub(super) backs: BTreeMap<SliceId, (TargetId, Fence)>,
    /// Slices of carved keys that the target owns or owned, with their
    /// parents.
    pub(super) parents: BTreeMap<SliceId, (SliceId, Fence)>,
}

/// Collects the rows of the targets that a closure picks.
pub(super) fn collect(state: &State, is_kept: impl Fn(&TargetId) -> bool) -> BTreeMap<TargetId, Rows> {
    let mut rows: BTreeMap<TargetId, Rows> = BTreeMap::new();
    for (service, slice, row) in state.rows() {
        let previous = row.previous.as_ref().map(|(owner, _)| owner);
        if is_kept(&row.owner) {
            let entry = rows.entry(row.owner.clone()).or_default();
            entry.wants.insert(slice, Want::new(row));
            entry.service.get_or_insert_with(|| service.clone());
        }
        if let Some(standby) = row.standby.as_ref().filter(|standby| is_kept(standby)) {
            let entry = rows.entry(standby.clone()).or_default();
            entry.backs.insert(slice, (row.owner.clone(), row.fence));
            entry.service.get_or_insert_with(|| service.clone());
        }
        let Some(parent) = row.parent else { continue };
        for target in previous.into_iter().chain([&row.owner]).filter(|target| is_kept(target)) {
            rows.entry(target.clone()).or_default().parents.insert(slice, parent);
        }
    }
    rows
}
