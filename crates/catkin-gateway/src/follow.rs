//! Loads the state of the fold and follows the log and the VM list.

use {
    crate::{node::Node, peer},
    catkin::{
        Code, Error,
        event::Kind,
        fold::{KeeperRow, State, Verdict},
        record::{self, Change},
        snapshot::{self, Assembler, InitialState, LogScan},
        types::{Fence, Offset, Span, VmId},
    },
    catkin_net::LogPage,
    std::{rc::Rc, time::Duration},
};

const PAGE_RECORDS: u32 = 512;
const READ_WAIT: Span = Span::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const LIST_PERIOD: Duration = Duration::from_millis(500);
const LIST_TIMEOUT: Span = Span::from_secs(1);
/// Bound on the transfer of the state from one gateway.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Gateways that are asked for their state at a start.
const STATE_PEERS_MAX: usize = 5;

/// Loads a state and applies the records of the log until the process ends. If
/// records expire before they were read, a state is loaded again.
pub(crate) async fn follow_log(node: Rc<Node>) {
    load_state(&node).await;
    loop {
        let from = node.state.borrow().next_offset();
        let read = node.log.read(from, PAGE_RECORDS, READ_WAIT).await;
        set_log_available(&node, read.is_ok());
        match read {
            Ok(read) if read.first > from => load_state(&node).await,
            Ok(read) => apply_all(&node, read),
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Loads a state from the log or, if the log gives none, from another gateway.
/// Before the first state, requests are refused.
async fn load_state(node: &Rc<Node>) {
    loop {
        match find_state(node).await {
            InitialState::State(state) => {
                replace_state(node, *state);
                return;
            }
            InitialState::Wait => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn find_state(node: &Rc<Node>) -> InitialState {
    let mut snapshots = Assembler::new();
    let first = read_snapshots(node, &mut snapshots).await;
    set_log_available(node, first.is_ok());
    let log = first.ok().map(|first| LogScan { first, snapshots: &snapshots });
    match snapshot::choose_initial(log, &[]) {
        InitialState::Wait => snapshot::choose_initial(log, &pull_states(node).await),
        choice => choice,
    }
}

/// Reads the snapshots in the log and returns the oldest offset of the log.
async fn read_snapshots(node: &Node, snapshots: &mut Assembler) -> Result<Offset, Error> {
    let mut next = Offset::default();
    loop {
        let read = node.log.read(next, PAGE_RECORDS, Span::ZERO).await?;
        let Some((last, _)) = read.records.last() else { return Ok(read.first) };
        next = last.next();
        for (_, bytes) in &read.records {
            push_chunk(snapshots, bytes);
        }
    }
}

/// Adds the chunk of a snapshot, if the record holds one. Returns whether it
/// completed a snapshot.
fn push_chunk(snapshots: &mut Assembler, bytes: &[u8]) -> bool {
    match record::decode(bytes).map(|record| record.change) {
        Ok(Change::Chunk(chunk)) => snapshots.push(chunk),
        _ => false,
    }
}

async fn pull_states(node: &Rc<Node>) -> Vec<State> {
    let vms: Vec<VmId> = node.members.borrow().live().map(|live| live.vm).collect();
    let mut states = Vec::new();
    for vm in vms.iter().filter(|vm| **vm != node.settings.vm).take(STATE_PEERS_MAX) {
        let Some(addr) = node.peer_addr(vm) else { continue };
        let pulled = actix_rt::time::timeout(STATE_TIMEOUT, peer::pull_state(node, addr)).await;
        states.extend(pulled.ok().and_then(Result::ok));
    }
    states
}

fn replace_state(node: &Node, state: State) {
    let result = snapshot::replace(&mut node.state.borrow_mut(), state);
    if result.is_err() {
        node.metrics.count_drop("state");
    }
    node.ready.set(true);
    node.needs_sync.set(true);
    update_gauges(node);
}

fn set_log_available(node: &Node, is_available: bool) {
    if node.log_available.replace(is_available) != is_available {
        node.needs_sync.set(true);
        let state = if is_available { "up" } else { "down" };
        log::info!(state = state; "log status changed to {state}");
        node.record_event(if is_available { Kind::LogUp } else { Kind::LogDown });
    }
}

fn apply_all(node: &Node, read: LogPage) {
    node.log_bounds.set((read.first, read.head));
    for (offset, bytes) in read.records {
        apply(node, offset, &bytes);
    }
    node.records_applied.notify_waiters();
}

fn apply(node: &Node, offset: Offset, bytes: &[u8]) {
    let revision = node.state.borrow().config().revision;
    let verdict = node.state.borrow_mut().apply(offset, bytes);
    if !verdict.is_accepted() {
        node.metrics.count_drop("record");
    }
    let is_own = verdict.source.as_ref().is_some_and(|(writer, _)| writer.id == node.settings.vm);
    if is_own {
        observe_own(node, verdict);
    }
    match record::decode(bytes).map(|record| record.change) {
        Ok(Change::Chunk(chunk)) => drop(node.snapshots.borrow_mut().push(chunk)),
        Ok(change) => record_change_events(node, offset, &change),
        Err(_) => {}
    }
    node.needs_sync.set(true);
    let new_revision = node.state.borrow().config().revision;
    if new_revision != revision {
        log::info!(revision = new_revision.0; "configuration revision {new_revision} is in force");
        node.record_event(Kind::ConfigInForce { revision: new_revision });
    }
    update_gauges(node);
}

/// Passes a record of this gateway that was read back to the queue that it
/// came from.
fn observe_own(node: &Node, verdict: Verdict) {
    let is_intent = verdict
        .source
        .as_ref()
        .is_some_and(|(writer, _)| *writer == *node.intent_queue.appender.borrow().writer());
    if !is_intent {
        node.control_queue.appender.borrow_mut().observe(verdict);
        return;
    }
    let settled = node.intent_queue.appender.borrow_mut().observe(verdict);
    if let Some(settled) = settled {
        node.idempotency.observe_record(node, &settled);
    }
}

/// Adds the accepted claims and moves of a record to the timeline.
fn record_change_events(node: &Node, offset: Offset, change: &Change) {
    let kinds: Vec<Kind> = match change {
        Change::Keeper(claim) => {
            let state = node.state.borrow();
            let row = state.keeper(&claim.target).filter(|row| row.fence == offset);
            let claimed = |row: &KeeperRow| Kind::KeeperClaimed {
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
    kinds.into_iter().for_each(|kind| node.record_event(kind));
}

fn update_gauges(node: &Node) {
    let state = node.state.borrow();
    node.metrics.log_offset.set(i64::try_from(state.next_offset().0).unwrap_or(i64::MAX));
    node.metrics.config_revision.set(i64::try_from(state.config().revision.0).unwrap_or(i64::MAX));
}

/// Waits until the log has been applied up to its head at the time of the call.
///
/// # Errors
///
/// `Code::LogUnavailable` if the log does not answer, `Code::Starting` if no
/// state was loaded yet.
pub(crate) async fn read_to_head(node: &Node) -> Result<(), Error> {
    if !node.ready.get() {
        return Err(Error::new(Code::Starting, "no state has been loaded yet"));
    }
    let from = node.state.borrow().next_offset();
    let read = node.log.read(from, 1, Span::ZERO).await?;
    while node.state.borrow().next_offset() < read.head {
        node.records_applied.notified().await;
    }
    Ok(())
}

/// Reads the VM list at regular intervals until the process ends.
pub(crate) async fn poll_vms(node: Rc<Node>) {
    loop {
        let list = catkin_net::list_vms(&node.client, node.settings.platform.vms, LIST_TIMEOUT).await;
        if let Ok(mut list) = list {
            node.draining.borrow_mut().retain(|target| list.vms.iter().any(|vm| *vm.id == *target.as_str()));
            node.draining.borrow().iter().for_each(|target| list.set_leaving(target));
            node.members.borrow_mut().sync(&list);
            node.set_vm_list(list);
        }
        actix_rt::time::sleep(LIST_PERIOD).await;
    }
}
