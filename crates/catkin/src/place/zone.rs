//! Targets of the VM list and the rule of three zones.

use {
    crate::{
        api::{Life, Role, VmList},
        types::{Service, TargetId, Zone},
    },
    std::collections::BTreeMap,
};

/// A target of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The target.
    pub id: TargetId,
    /// Its service.
    pub service: Option<Service>,
    /// Its zone.
    pub zone: Option<Zone>,
    /// Whether it is about to leave.
    pub leaving: bool,
}

impl Server {
    /// Makes the row of a target of which only the id is known.
    pub(super) fn unlisted(id: &TargetId) -> Self {
        Self { id: id.clone(), service: None, zone: None, leaving: true }
    }
}

/// Returns the targets of the list.
pub fn servers(list: &VmList) -> BTreeMap<TargetId, Server> {
    let rows = list.vms.iter().filter(|row| row.role == Role::Target);
    let server = |row: &crate::api::Listed| {
        let id = TargetId::new(row.id.clone()).ok()?;
        let service = Some(row.service.clone()?);
        let leaving = row.state == Life::Leaving;
        Some((id.clone(), Server { id, service, zone: Some(row.zone.clone()), leaving }))
    };
    rows.filter_map(server).collect()
}

/// How well a standby keeps to the rule that owner, standby and keeper are in
/// three different zones. The least value is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fit {
    /// Three zones.
    Three,
    /// The zone of the keeper, but not that of the owner.
    KeeperZone,
    /// The zone of the owner; never used.
    OwnerZone,
}

/// Returns the fit of a standby.
pub(super) fn fit(standby: Option<&Zone>, owner: Option<&Zone>, keeper: Option<&Zone>) -> Fit {
    if standby == owner {
        Fit::OwnerZone
    } else if keeper == standby {
        Fit::KeeperZone
    } else {
        Fit::Three
    }
}
