//! `catkinctl owners`: lists the slices with their owners.

use {
    crate::{output::Rows, reader::Reader},
    catkin::{
        Error,
        types::{Fence, Service, SliceId, TargetId, VmId},
    },
    serde::Serialize,
    std::fmt,
};

/// A slice and who serves it, as the log says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Owned {
    /// The service.
    pub service: Service,
    /// The slice.
    pub slice: SliceId,
    /// The owner.
    pub owner: TargetId,
    /// The target that takes over when the owner is lost.
    pub standby: Option<TargetId>,
    /// The VM that keeps the owner.
    pub keeper: Option<VmId>,
    /// The fence of the owner.
    pub fence: Fence,
}

impl fmt::Display for Owned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let standby = self.standby.as_ref().map_or("none", TargetId::as_str);
        let keeper = self.keeper.as_ref().map_or("none", VmId::as_str);
        let Self { service, slice, owner, fence, .. } = self;
        write!(f, "{service}/{slice}: owner {owner}, standby {standby}, keeper {keeper}, fence {fence}")
    }
}

/// Reads the log and lists the slices, of one service or of all.
///
/// # Errors
///
/// As [`Reader::catch_up`].
pub async fn owners(mut reader: Reader, service: Option<&Service>) -> Result<Rows<Owned>, Error> {
    reader.catch_up(|_, _, _, _| ()).await?;
    let state = reader.state();
    let rows = state.rows().filter(|(name, ..)| service.is_none_or(|service| service == *name));
    let owned = rows.map(|(service, slice, row)| Owned {
        service: service.clone(),
        slice,
        owner: row.owner.clone(),
        standby: row.standby.clone(),
        keeper: state.keeper(&row.owner).map(|keeper| keeper.vm.clone()),
        fence: row.fence,
    });
    Ok(Rows(owned.collect()))
}
