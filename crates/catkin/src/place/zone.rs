//! Targets of the VM list, and the rule that owner, standby and keeper are in
//! three zones.

use {
    crate::{
        api::{Role, VmList, VmState},
        types::{Service, TargetId, Zone},
    },
    std::collections::BTreeMap,
};

/// A target of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Id of its VM.
    pub id: TargetId,
    /// Its service; `None` if the target is not listed.
    pub service: Option<Service>,
    /// Its zone; `None` if the target is not listed.
    pub zone: Option<Zone>,
    /// Whether it is leaving, so that it accepts no slices.
    pub leaving: bool,
}

impl ListedTarget {
    /// Returns the entry of a target of which only the id is known.
    pub(super) fn unlisted(id: &TargetId) -> Self {
        Self { id: id.clone(), service: None, zone: None, leaving: true }
    }
}

/// Returns the targets of the list that name a service and have a valid id.
pub fn listed_targets(list: &VmList) -> BTreeMap<TargetId, ListedTarget> {
    let rows = list.vms.iter().filter(|row| row.role == Role::Target);
    let listed_target = |row: &crate::api::VmEntry| {
        let id = TargetId::new(row.id.clone()).ok()?;
        let service = Some(row.service.clone()?);
        let leaving = row.state == VmState::Leaving;
        Some((id.clone(), ListedTarget { id, service, zone: Some(row.zone.clone()), leaving }))
    };
    rows.filter_map(listed_target).collect()
}

/// How well a standby fits the rule that owner, standby and keeper are in
/// three different zones. The least value is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ZoneFit {
    /// Owner, standby and keeper are in three zones.
    ThreeZones,
    /// The standby is in the zone of the keeper, but not in that of the owner.
    KeeperZone,
    /// The standby is in the zone of the owner, which is never allowed.
    OwnerZone,
}

pub(super) fn zone_fit(standby: Option<&Zone>, owner: Option<&Zone>, keeper: Option<&Zone>) -> ZoneFit {
    if standby == owner {
        ZoneFit::OwnerZone
    } else if keeper == standby {
        ZoneFit::KeeperZone
    } else {
        ZoneFit::ThreeZones
    }
}
