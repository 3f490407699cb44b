//! Reads the log and the VM list.

use {
    crate::{node::Node, peer},
    catkin::{
        Code, Error,
        event::Kind,
        fold::{Keeper, State, Verdict},
        record::{self, Change},
        snapshot::{self, Choice, Join, Scan},
        types::{Fence, Offset, Span, VmId},
    },
    catkin_net::Read,
    std::{rc::Rc, time::Duration},
};

const PAGE_RECORDS: u32 = 512;
const READ_WAIT: Span = Span::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const LIST_PERIOD: Duration = Duration::from_millis(500);
const LIST_LIMIT: Span = Span::from_secs(1);
/// Time for a gateway to send its state.
const STATE_LIMIT: Duration = Duration::from_secs(2);
/// Gateways that are asked for their state at a start.
const STATE_PEERS: usize = 5;

/// Finds a state to start from and applies the records of the log until the
/// process ends.
pub(crate) async fn records(node: Rc<Node>) {
    start(&node).await;
    loop {
        let from = node.state.borrow().next();
        let read = node.log.read(from, PAGE_RECORDS, READ_WAIT).await;
        set_up(&node, read.is_ok());
        match read {
            Ok(read) if read.first > from => start(&node).await,
            Ok(read) => apply_all(&node, read),
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Takes a state from the log or, while the log is down, from another
/// gateway. The gateway refuses requests until then.
async fn start(node: &Rc<Node>) {
    loop {
        match find(node).await {
            Choice::State(state) => {
                replace(node, *state);
                return;
            }
            Choice::Wait => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn find(node: &Rc<Node>) -> Choice {
    let mut join = Join::new();
    let first = scan(node, &mut join).await;
    set_up(node, first.is_ok());
    let log = first.ok().map(|first| Scan { first, join: &join });
    match snapshot::choose(log, &[]) {
        Choice::Wait => snapshot::choose(log, &peer_states(node).await),
        choice => choice,
    }
}

/// Reads the chunks of snapshots in the log and returns its oldest offset.
async fn scan(node: &Node, join: &mut Join) -> Result<Offset, Error> {
    let mut next = Offset::default();
    loop {
        let read = node.log.read(next, PAGE_RECORDS, Span::ZERO).await?;
        let Some((last, _)) = read.records.last() else { return Ok(read.first) };
        next = last.next();
        for (_, bytes) in &read.records {
            take_chunk(join, bytes);
        }
    }
}

fn take_chunk(join: &mut Join, bytes: &[u8]) -> bool {
    match record::decode(bytes).map(|record| record.change) {
        Ok(Change::Chunk(chunk)) => join.push(chunk),
        _ => false,
    }
}

async fn peer_states(node: &Rc<Node>) -> Vec<State> {
    let vms: Vec<VmId> = node.members.borrow().live().map(|live| live.vm).collect();
    let mut states = Vec::new();
    for vm in vms.iter().filter(|vm| **vm != node.set.vm).take(STATE_PEERS) {
        let Some(addr) = node.peer(vm) else { continue };
        let pulled = actix_rt::time::timeout(STATE_LIMIT, peer::pull_state(node, addr)).await;
        states.extend(pulled.ok().and_then(Result::ok));
    }
    states
}

fn replace(node: &Node, state: State) {
    let result = snapshot::advance(&mut node.state.borrow_mut(), state);
    if result.is_err() {
        node.metrics.drop("state");
    }
    node.ready.set(true);
    node.changed.set(true);
    show(node);
}

fn set_up(node: &Node, is_up: bool) {
    if node.log_up.replace(is_up) != is_up {
        node.changed.set(true);
        let state = if is_up { "up" } else { "down" };
        log::info!(state = state; "the log is {state}");
        node.record(if is_up { Kind::LogUp } else { Kind::LogDown });
    }
}

fn apply_all(node: &Node, read: Read) {
    node.bounds.set((read.first, read.head));
    for (offset, bytes) in read.records {
        apply(node, offset, &bytes);
    }
    node.advanced.notify_waiters();
}

fn apply(node: &Node, offset: Offset, bytes: &[u8]) {
    let revision = node.state.borrow().config().revision;
    let verdict = node.state.borrow_mut().apply(offset, bytes);
    if !verdict.is_accepted() {
        node.metrics.drop("record");
    }
    let own = verdict.source.as_ref().is_some_and(|(writer, _)| writer.id == node.set.vm);
    if own {
        settle(node, verdict);
    }
    match record::decode(bytes).map(|record| record.change) {
        Ok(Change::Chunk(chunk)) => drop(node.join.borrow_mut().push(chunk)),
        Ok(change) => show_change(node, offset, &change),
        Err(_) => {}
    }
    node.changed.set(true);
    let current = node.state.borrow().config().revision;
    if current != revision {
        log::info!(revision = current.0; "configuration {current} is in force");
        node.record(Kind::ConfigInForce { revision: current });
    }
    show(node);
}

/// Takes an own record that was read back.
fn settle(node: &Node, verdict: Verdict) {
    let is_intent = verdict
        .source
        .as_ref()
        .is_some_and(|(writer, _)| *writer == *node.intents.appender.borrow().writer());
    if !is_intent {
        node.control.appender.borrow_mut().read(verdict);
        return;
    }
    let settled = node.intents.appender.borrow_mut().read(verdict);
    if let Some(settled) = settled {
        node.protect.settle(node, &settled);
    }
}

/// Records the events of a record as far as it was accepted.
fn show_change(node: &Node, offset: Offset, change: &Change) {
    let kinds: Vec<Kind> = match change {
        Change::Keeper(claim) => {
            let state = node.state.borrow();
            let row = state.keeper(&claim.target).filter(|row| row.fence == offset);
            let claimed = |row: &Keeper| Kind::KeeperClaimed {
                target: claim.target.clone(),
                keeper: row.vm.clone(),
                fence: offset,
            };
            row.map(claimed).into_iter().collect()
        }
        Change::Assign(assign) => {
            let state = node.state.borrow();
            let rows = assign.moves.iter().filter_map(|change| {
                let row = state.row(&assign.service, change.slice)?;
                (row.fence == Fence::new(offset)).then(|| Kind::SliceAssigned {
                    service: assign.service.clone(),
                    slice: change.slice,
                    target: row.owner.clone(),
                    fence: row.fence,
                })
            });
            rows.collect()
        }
        _ => Vec::new(),
    };
    kinds.into_iter().for_each(|kind| node.record(kind));
}

fn show(node: &Node) {
    let state = node.state.borrow();
    node.metrics.offset.set(i64::try_from(state.next().0).unwrap_or(i64::MAX));
    node.metrics.revision.set(i64::try_from(state.config().revision.0).unwrap_or(i64::MAX));
}

/// Waits until the log was read up to the head that it has now.
///
/// # Errors
///
/// `Code::LogUnavailable` if the log does not answer.
pub(crate) async fn read_to_head(node: &Node) -> Result<(), Error> {
    if !node.ready.get() {
        return Err(Error::new(Code::Starting, "no state yet"));
    }
    let from = node.state.borrow().next();
    let read = node.log.read(from, 1, Span::ZERO).await?;
    while node.state.borrow().next() < read.head {
        node.advanced.notified().await;
    }
    Ok(())
}

/// Reads the VM list until the process ends.
pub(crate) async fn list(node: Rc<Node>) {
    loop {
        let list = catkin_net::list_vms(&node.client, node.set.platform.vms, LIST_LIMIT).await;
        if let Ok(mut list) = list {
            node.draining.borrow_mut().retain(|target| list.vms.iter().any(|vm| *vm.id == *target.as_str()));
            node.draining.borrow().iter().for_each(|target| list.set_leaving(target));
            node.members.borrow_mut().sync(&list);
            node.set_list(list);
        }
        actix_rt::time::sleep(LIST_PERIOD).await;
    }
}
