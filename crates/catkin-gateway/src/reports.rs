//! Load reports of targets.

use {
    crate::node::Node,
    catkin::{
        api::{Load, path},
        types::{Span, TargetId},
    },
    std::{rc::Rc, time::Duration},
};

const PERIOD: Duration = Duration::from_millis(500);
const REPORT_LIMIT: Span = Span::from_millis(500);

/// Reads the reports of the kept targets until the process ends. Only the
/// keeper reads them, so that their number does not grow with the gateways.
pub(crate) async fn run(node: Rc<Node>) {
    let mut tick = actix_rt::time::interval(PERIOD);
    loop {
        tick.tick().await;
        let state = node.state.borrow();
        let kept = state.kept_by(&node.settings.vm);
        kept.for_each(|(target, _)| drop(actix_rt::spawn(read(node.clone(), target.clone()))));
    }
}

async fn read(node: Rc<Node>, target: TargetId) {
    let Some(addr) = node.target_addr(&target) else { return };
    let report: Result<Load, _> = catkin_net::get(&node.client, addr, path::LOAD, REPORT_LIMIT).await;
    let Ok(load) = report else { return };
    node.queues.table.borrow_mut().report(&target, &load);
    let now = node.now();
    node.target_loads.borrow_mut().values_mut().for_each(|rows| rows.report(now, &target, &load));
    if load.draining {
        close(&node, &target);
    }
}

/// Takes note that a target drains. Work for its keys goes on until they have
/// moved; other work goes to other targets at once.
pub(crate) fn close(node: &Node, target: &TargetId) {
    if !node.draining.borrow_mut().insert(target.clone()) {
        return;
    }
    node.target_loads.borrow_mut().values_mut().for_each(|rows| rows.close(target));
    node.vm_list.borrow_mut().set_leaving(target);
    node.needs_sync.set(true);
}
