//! Selects the target of a request and finds the gateway that keeps it.

use {
    crate::node::Node,
    catkin::{
        Code, Error,
        choose::Strategy,
        types::{Fence, Key, Service, SliceId, TargetId, VmId},
        wire::{Answer, LoadReport},
    },
    std::{rc::Rc, time::Duration},
};

/// Time for which an attempt is still awaited after the key or its keeper has
/// moved. The old owner finishes its work in progress before it releases a slice,
/// so most answers still arrive within this time.
const MOVED_GRACE: Duration = Duration::from_millis(100);

/// Target of a request and the way to it.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    /// The target.
    pub(crate) target: TargetId,
    /// Slice and fence, for a keyed service.
    pub(crate) slice: Option<(SliceId, Fence)>,
    /// The gateway that keeps the target.
    pub(crate) keeper: VmId,
}

/// Returns the route of a request.
///
/// # Errors
///
/// `Code::NoOwner` if no target may serve it at the time.
pub(crate) fn find_route(node: &Node, service: &Service, key: Option<&Key>) -> Result<Route, Error> {
    let state = node.state.borrow();
    let slice = key.and_then(|key| state.slice(service, key));
    let (target, slice) = match slice {
        Some(slice) => {
            let row = state.row(service, slice).ok_or_else(|| no_owner(service))?;
            (row.owner.clone(), Some((slice, row.fence)))
        }
        None => (choose_target(node, service)?, None),
    };
    let keeper = state.keeper(&target).ok_or_else(|| no_owner(service))?;
    Ok(Route { target, slice, keeper: keeper.vm.clone() })
}

/// Waits until an answer to a request that was sent along a route has become
/// unlikely: the log has named another owner or keeper, and `MOVED_GRACE` has
/// passed. A stopped target or gateway closes no connection, so without this the
/// request would wait for its deadline.
pub(crate) async fn wait_moved(node: &Node, service: &Service, route: &Route) {
    while is_current(node, service, route) {
        node.records_applied.notified().await;
    }
    actix_rt::time::sleep(MOVED_GRACE).await;
}

fn is_current(node: &Node, service: &Service, route: &Route) -> bool {
    let state = node.state.borrow();
    let is_kept = state.keeper(&route.target).is_some_and(|row| row.vm == route.keeper);
    let is_owned = |(slice, fence): (SliceId, Fence)| {
        state.row(service, slice).is_some_and(|row| row.owner == route.target && row.fence == fence)
    };
    is_kept && route.slice.is_none_or(is_owned)
}

fn choose_target(node: &Node, service: &Service) -> Result<TargetId, Error> {
    let loads = node.target_loads.borrow();
    let random = [node.next_random(), node.next_random()];
    let target = loads
        .get(service)
        .and_then(|service_loads| service_loads.choose(node.now(), Strategy::LeastOfTwo, random));
    target.ok_or_else(|| no_owner(service))
}

/// Updates the load of a target from an answer.
pub(crate) fn update_load(node: &Node, service: &Service, answer: &Answer) {
    let report = LoadReport { target: answer.target.clone(), depth: answer.depth, rate: 0, accepting: true };
    if let Some(service_loads) = node.target_loads.borrow_mut().get_mut(service) {
        service_loads.update_depth(node.now(), &report);
    }
}

/// Counts an attempt in the load of its target while it is in progress.
pub(crate) struct Attempt {
    node: Rc<Node>,
    service: Service,
    target: TargetId,
    is_failed: bool,
}

impl Attempt {
    /// Counts the attempt until the value is dropped.
    pub(crate) fn new(node: &Rc<Node>, service: &Service, target: &TargetId) -> Self {
        if let Some(service_loads) = node.target_loads.borrow_mut().get_mut(service) {
            service_loads.begin(target);
        }
        Self { node: node.clone(), service: service.clone(), target: target.clone(), is_failed: false }
    }

    /// Marks the attempt as failed, whatever the reason. A target with several
    /// failures in a row is excluded from the choice for a time.
    pub(crate) fn set_failed(&mut self) {
        self.is_failed = true;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.node.now();
        if let Some(service_loads) = self.node.target_loads.borrow_mut().get_mut(&self.service) {
            service_loads.end(now, &self.target, self.is_failed);
        }
    }
}

fn no_owner(service: &Service) -> Error {
    Error::new(Code::NoOwner, format!("no target of {service} can serve the request at present"))
}
