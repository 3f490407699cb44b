//! `catkinctl owners`: lists slices with their owners.

use {
    crate::{output::Rows, reader::Reader},
    catkin::{
        Error,
        types::{Fence, Service, SliceId, TargetId, VmId},
    },
    serde::Serialize,
    std::fmt,
};

/// Assignment of a slice according to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SliceOwner {
    /// Service that the slice belongs to.
    pub service: Service,
    /// Index of the slice in its service.
    pub slice: SliceId,
    /// Target that serves the slice.
    pub owner: TargetId,
    /// Target that takes over if the owner fails; `None` if there is none.
    pub standby: Option<TargetId>,
    /// VM that manages the lease of the owner; `None` if no VM does.
    pub keeper: Option<VmId>,
    /// Fence under which the owner serves the slice.
    pub fence: Fence,
}

impl fmt::Display for SliceOwner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let standby = self.standby.as_ref().map_or("none", TargetId::as_str);
        let keeper = self.keeper.as_ref().map_or("none", VmId::as_str);
        let Self { service, slice, owner, fence, .. } = self;
        write!(f, "{service}/{slice}: owner {owner}, standby {standby}, keeper {keeper}, fence {fence}")
    }
}

/// Reads the log and lists the slices of one service, or of all services.
///
/// # Errors
///
/// Returns the errors of [`Reader::catch_up`].
pub async fn owners(mut reader: Reader, service: Option<&Service>) -> Result<Rows<SliceOwner>, Error> {
    reader.catch_up(|_, _, _, _| ()).await?;
    let state = reader.state();
    let rows = state.rows().filter(|(name, ..)| service.is_none_or(|service| service == *name));
    let slices = rows.map(|(service, slice, row)| SliceOwner {
        service: service.clone(),
        slice,
        owner: row.owner.clone(),
        standby: row.standby.clone(),
        keeper: state.keeper(&row.owner).map(|keeper| keeper.vm.clone()),
        fence: row.fence,
    });
    Ok(Rows(slices.collect()))
}
