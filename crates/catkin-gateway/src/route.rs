//! Which target gets a request, and which gateway keeps that target.

use {
    crate::node::Node,
    catkin::{
        Code, Error,
        api::{Life, Role},
        types::{Fence, Key, Service, SliceId, TargetId, VmId},
    },
};

/// Where a request goes.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    /// The target.
    pub(crate) target: TargetId,
    /// Slice and fence, for a service divided by key.
    pub(crate) slice: Option<(SliceId, Fence)>,
    /// The gateway that keeps the target.
    pub(crate) keeper: VmId,
}

/// Finds the route of a request.
///
/// # Errors
///
/// `Code::NoOwner` if no target may serve it at this moment.
pub(crate) fn find(node: &Node, service: &Service, key: Option<&Key>) -> Result<Route, Error> {
    let state = node.state.borrow();
    let slice = key.and_then(|key| state.slice(service, key));
    let (target, slice) = match slice {
        Some(slice) => {
            let row = state.row(service, slice).ok_or_else(|| no_owner(service))?;
            (row.owner.clone(), Some((slice, row.fence)))
        }
        None => (pick(node, service)?, None),
    };
    let keeper = state.keeper(&target).ok_or_else(|| no_owner(service))?;
    Ok(Route { target, slice, keeper: keeper.vm.clone() })
}

fn pick(node: &Node, service: &Service) -> Result<TargetId, Error> {
    let list = node.list.borrow();
    let open = list
        .vms
        .iter()
        .filter(|vm| {
            vm.role == Role::Target && vm.state == Life::Live && vm.service.as_ref() == Some(service)
        })
        .filter_map(|vm| TargetId::new(vm.id.clone()).ok());
    let open: Vec<_> = open.collect();
    let number = node.next_random() as usize;
    open.get(number % open.len().max(1)).cloned().ok_or_else(|| no_owner(service))
}

fn no_owner(service: &Service) -> Error {
    Error::new(Code::NoOwner, format!("no target of {service} may serve the request"))
}
