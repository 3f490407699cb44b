//! Which target gets a request, and which gateway keeps that target.

use {
    crate::node::Node,
    catkin::{
        Code, Error,
        choose::Rule,
        types::{Fence, Key, Service, SliceId, TargetId, VmId},
        wire::{Answer, Gossip},
    },
    std::{rc::Rc, time::Duration},
};

/// Time for the answers of work in progress when a key moves. A release waits
/// for this work, so that most of it ends well.
const MOVED_WAIT: Duration = Duration::from_millis(100);

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

/// Waits until a request that was sent along a route can hardly be answered
/// any more: the log has named another owner or keeper, and the time for work
/// in progress has passed. A frozen target or gateway gives no other sign.
pub(crate) async fn moved(node: &Node, service: &Service, route: &Route) {
    while is_current(node, service, route) {
        node.records_applied.notified().await;
    }
    actix_rt::time::sleep(MOVED_WAIT).await;
}

fn is_current(node: &Node, service: &Service, route: &Route) -> bool {
    let state = node.state.borrow();
    let is_kept = state.keeper(&route.target).is_some_and(|row| row.vm == route.keeper);
    let is_owned = |(slice, fence): (SliceId, Fence)| {
        state.row(service, slice).is_some_and(|row| row.owner == route.target && row.fence == fence)
    };
    is_kept && route.slice.is_none_or(is_owned)
}

fn pick(node: &Node, service: &Service) -> Result<TargetId, Error> {
    let loads = node.target_loads.borrow();
    let random = [node.next_random(), node.next_random()];
    let target = loads.get(service).and_then(|rows| rows.choose(node.now(), Rule::Two, random));
    target.ok_or_else(|| no_owner(service))
}

/// Takes the load of a target from an answer.
pub(crate) fn hear(node: &Node, service: &Service, answer: &Answer) {
    let gossip = Gossip { target: answer.target.clone(), depth: answer.depth, rate: 0, open: true };
    if let Some(rows) = node.target_loads.borrow_mut().get_mut(service) {
        rows.hear(node.now(), &gossip);
    }
}

/// Counts a request while it is on its way to a target.
pub(crate) struct Count {
    node: Rc<Node>,
    service: Service,
    target: TargetId,
    is_fault: bool,
}

impl Count {
    /// Begins to count.
    pub(crate) fn new(node: &Rc<Node>, service: &Service, target: &TargetId) -> Self {
        if let Some(rows) = node.target_loads.borrow_mut().get_mut(service) {
            rows.begin(target);
        }
        Self { node: node.clone(), service: service.clone(), target: target.clone(), is_fault: false }
    }

    /// Says that the target could not be reached, refused or did not answer.
    pub(crate) fn set_fault(&mut self) {
        self.is_fault = true;
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        let now = self.node.now();
        if let Some(rows) = self.node.target_loads.borrow_mut().get_mut(&self.service) {
            rows.end(now, &self.target, self.is_fault);
        }
    }
}

fn no_owner(service: &Service) -> Error {
    Error::new(Code::NoOwner, format!("no target of {service} may serve the request"))
}
