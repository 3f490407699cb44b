//! Writes snapshots of the fold to the log.

use {
    crate::{append, node::Node},
    catkin::{
        record::Change,
        snapshot::{self, LogView, Schedule, ScheduleLimits},
        types::{Offset, VmId},
    },
    std::{rc::Rc, time::Duration},
};

const TICK_PERIOD: Duration = Duration::from_secs(1);

/// Writes snapshots that are due until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut schedule = Schedule::new(ScheduleLimits::default());
    let mut tick = actix_rt::time::interval(TICK_PERIOD);
    loop {
        tick.tick().await;
        if node.ready.get() && schedule.tick(node.now(), &build_view(&node)) {
            write(&node);
        }
    }
}

fn build_view(node: &Node) -> LogView {
    let (first, head) = node.log_bounds.get();
    let newest = node.snapshots.borrow().newest().map(|state| state.next_offset());
    LogView { first, head, newest, log_available: node.log_available.get(), rank: rank(node, newest) }
}

/// Returns the position of this gateway among those that may write the next
/// snapshot.
fn rank(node: &Node, newest: Option<Offset>) -> u64 {
    let live: Vec<VmId> = node.members.borrow().live().map(|live| live.vm).collect();
    snapshot::rank(&node.settings.vm, &live, newest)
}

fn write(node: &Node) {
    let chunks = snapshot::split(&node.state.borrow());
    match chunks {
        Ok(chunks) => {
            for chunk in chunks {
                append::push(node, &node.control_queue, Change::Chunk(chunk));
            }
        }
        Err(error) => log::error!("can't write a snapshot: {error}"),
    }
}
