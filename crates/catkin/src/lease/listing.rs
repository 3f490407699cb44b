//! Detection of VMs that were removed from the VM list.

use {
    super::Timings,
    crate::{api::VmList, types::Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// History of the VM list.
///
/// The list lags and may come from a replica that is behind, so a VM counts
/// as removed only if this process saw it listed and then missing for
/// [`Timings::list_absence`], or missing for [`Timings::list_lag`] if it was
/// never listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Listing {
    first_update: Option<Time>,
    listed: BTreeSet<Arc<str>>,
    /// VMs that were listed, and since when they are not.
    missing_since: BTreeMap<Arc<str>, Time>,
}

impl Listing {
    /// Applies a new list. An empty one is ignored: it lacks this VM too, so it
    /// says nothing about the others.
    pub(super) fn update(&mut self, now: Time, list: &VmList) {
        if list.vms.is_empty() {
            return;
        }
        self.first_update.get_or_insert(now);
        let listed = list.vms.iter().map(|vm| vm.id.clone()).collect();
        let previous = std::mem::replace(&mut self.listed, listed);
        let unlisted = previous.into_iter().filter(|id| !self.listed.contains(id));
        self.missing_since.extend(unlisted.map(|id| (id, now)));
        self.missing_since.retain(|id, _| !self.listed.contains(id));
    }

    pub(super) fn is_removed(&self, now: Time, timings: &Timings, id: &str) -> bool {
        let Some(first) = self.first_update.filter(|_| !self.listed.contains(id)) else { return false };
        let end = match self.missing_since.get(id) {
            Some(missing) => missing.after(timings.list_absence),
            None => first.after(timings.list_lag),
        };
        now >= end
    }
}
