//! Which VMs have gone, according to the list.

use {
    super::Timings,
    crate::{api::VmList, types::Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// What the VM list says over time.
///
/// The list lags and may come from a replica that is behind, so a VM counts
/// as gone only if this process saw it listed and then missing for a whole
/// `absence`, or missing for a whole `lag` if it was never seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Listing {
    since: Option<Time>,
    listed: BTreeSet<Arc<str>>,
    /// VMs that were listed, and since when they are missing.
    missing: BTreeMap<Arc<str>, Time>,
}

impl Listing {
    /// Takes a new list. An empty one is ignored: it says nothing about any
    /// VM, since this VM itself is missing from it.
    pub(super) fn update(&mut self, now: Time, list: &VmList) {
        if list.vms.is_empty() {
            return;
        }
        self.since.get_or_insert(now);
        let listed = list.vms.iter().map(|vm| vm.id.clone()).collect();
        let before = std::mem::replace(&mut self.listed, listed);
        let left = before.into_iter().filter(|id| !self.listed.contains(id));
        self.missing.extend(left.map(|id| (id, now)));
        self.missing.retain(|id, _| !self.listed.contains(id));
    }

    pub(super) fn is_gone(&self, now: Time, timings: &Timings, id: &str) -> bool {
        let Some(since) = self.since.filter(|_| !self.listed.contains(id)) else { return false };
        let end = match self.missing.get(id) {
            Some(missing) => missing.after(timings.absence),
            None => since.after(timings.lag),
        };
        now >= end
    }
}
