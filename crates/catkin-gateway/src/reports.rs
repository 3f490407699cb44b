//! Reads the load status of targets.
//!
//! A target is draining if it reports so, leaving if the VM list says so or the
//! target drains, and closed if it gets no new requests.

use {
    crate::node::Node,
    catkin::{
        api::{Load, path},
        types::{Span, TargetId},
    },
    std::{rc::Rc, time::Duration},
};

const LOAD_PERIOD: Duration = Duration::from_millis(500);
const LOAD_TIMEOUT: Span = Span::from_millis(500);

/// Reads the load status of the kept targets until the process ends. Only the
/// keeper of a target reads it, so that the number of reads does not grow with
/// the number of gateways.
pub(crate) async fn run(node: Rc<Node>) {
    let mut tick = actix_rt::time::interval(LOAD_PERIOD);
    loop {
        tick.tick().await;
        let state = node.state.borrow();
        let kept = state.kept_by(&node.settings.vm);
        kept.for_each(|(target, _)| drop(actix_rt::spawn(read_load(node.clone(), target.clone()))));
    }
}

async fn read_load(node: Rc<Node>, target: TargetId) {
    let Some(addr) = node.target_addr(&target) else { return };
    let answer: Result<Load, _> = catkin_net::get(&node.client, addr, path::LOAD, LOAD_TIMEOUT).await;
    let Ok(load) = answer else { return };
    node.queues.dispatcher.borrow_mut().report(&target, &load);
    let now = node.now();
    node.target_loads
        .borrow_mut()
        .values_mut()
        .for_each(|service_loads| service_loads.report(now, &target, &load));
    if load.draining {
        mark_draining(&node, &target);
    }
}

/// Marks a target as draining. It still gets the requests for its keys until
/// they have moved or until its queue is closed; other requests go to other
/// targets at once.
pub(crate) fn mark_draining(node: &Node, target: &TargetId) {
    if !node.draining.borrow_mut().insert(target.clone()) {
        return;
    }
    node.target_loads.borrow_mut().values_mut().for_each(|service_loads| service_loads.close(target));
    node.vm_list.borrow_mut().set_leaving(target);
    node.needs_sync.set(true);
}
