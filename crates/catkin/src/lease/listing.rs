//! Which VMs have gone, according to the list.

use {
    crate::{
        api::VmList,
        types::{Span, Time},
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// What the VM list says over time.
///
/// The list lags and may come from a replica that is behind, so a VM counts
/// as gone only if this process saw it listed and then missing, or missing
/// for a whole `lag`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Listing {
    since: Option<Time>,
    seen: BTreeSet<Arc<str>>,
    listed: BTreeSet<Arc<str>>,
}

impl Listing {
    /// Takes a new list. An empty one is ignored: it says nothing about any
    /// VM, since this VM itself is missing from it.
    pub(super) fn update(&mut self, now: Time, list: &VmList) {
        if list.vms.is_empty() {
            return;
        }
        self.since.get_or_insert(now);
        self.listed = list.vms.iter().map(|vm| vm.id.clone()).collect();
        self.seen.extend(self.listed.iter().cloned());
    }

    pub(super) fn is_gone(&self, now: Time, lag: Span, id: &str) -> bool {
        let Some(since) = self.since else { return false };
        !self.listed.contains(id) && (self.seen.contains(id) || now >= since.after(lag))
    }
}
