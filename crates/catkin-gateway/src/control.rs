//! Control loop of a gateway: claims of targets, assignments of slices, lease
//! commands and the queues of kept targets.

use {
    crate::{append, follow, heartbeat::LOAD_REPORT_PEERS_MAX, node::Node, peer, reports},
    catkin::{
        Code, Error,
        api::{Command, CommandReply, FencedSlice, Operation, VmList, VmState, path},
        event::Kind,
        fold::State,
        lease::Action,
        place::{self, Assigner, Claims},
        record::Change,
        types::{Revision, Span, TargetId, Time, VmId},
        wire::Frame,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
};

const TICK_PERIOD: Duration = Duration::from_millis(10);
/// Ticks between two runs of placement, which reads all slices.
const PLACE_PERIOD_TICKS: u64 = 10;
/// Ticks between two runs of `sync` if nothing has changed.
const SYNC_PERIOD_TICKS: u64 = 50;
/// The queue of a leaving target is closed this long after the target was first
/// seen to leave, below the limit of 2 s for new work. Its keys are moved to other
/// targets in this time.
const CLOSE_DELAY: Span = Span::from_millis(1_500);
const COMMAND_TIMEOUT: Span = Span::from_millis(100);
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

struct ControlLoop {
    node: Rc<Node>,
    claims: Claims,
    assigner: Assigner,
    /// Revision of the configuration whose timings the keeper uses.
    revision: Revision,
    kept_targets: BTreeSet<TargetId>,
    /// Targets whose lease was valid when they were last checked; entries of
    /// targets that are no longer kept remain.
    leased_targets: BTreeSet<TargetId>,
    /// Time at which a target was first seen to leave.
    leaving_since: BTreeMap<TargetId, Time>,
    ticks: u64,
}

/// Runs the control loop until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let vm = node.settings.vm.clone();
    let mut control = ControlLoop {
        node,
        claims: Claims::new(vm.clone()),
        assigner: Assigner::new(vm),
        revision: Revision::default(),
        kept_targets: BTreeSet::new(),
        leased_targets: BTreeSet::new(),
        leaving_since: BTreeMap::new(),
        ticks: 0,
    };
    let mut tick = actix_rt::time::interval(TICK_PERIOD);
    loop {
        tick.tick().await;
        control.tick();
    }
}

/// Returns the answer to a query of another gateway; `None` if this gateway
/// can't answer it.
pub(crate) fn answer_query(node: &Node, frame: &Frame) -> Option<Frame> {
    node.keeper.borrow_mut().answer_query(node.now(), frame)
}

impl ControlLoop {
    fn tick(&mut self) {
        self.ticks += 1;
        let now = self.node.now();
        if self.ticks.is_multiple_of(PLACE_PERIOD_TICKS) {
            self.append_placements(now);
        }
        let is_due = self.ticks.is_multiple_of(SYNC_PERIOD_TICKS);
        if self.node.needs_sync.take() || is_due {
            self.sync(now);
        }
        let actions = self.node.keeper.borrow_mut().tick(now);
        actions.into_iter().for_each(|action| self.perform(action));
        self.node.queues.tick(now);
        self.node.idempotency.tick(&self.node, now);
        self.record_lease_events(now);
        self.close_queues(now);
    }

    /// Adds an event for each lease that has begun or may have expired.
    fn record_lease_events(&mut self, now: Time) {
        let node = &self.node;
        for target in &self.kept_targets {
            let is_leased = node.keeper.borrow().admit(now, target, None).is_ok();
            if self.leased_targets.contains(target) == is_leased {
                continue;
            }
            let fence = node.state.borrow().keeper(target).map(|row| row.fence).unwrap_or_default();
            if is_leased {
                self.leased_targets.insert(target.clone());
                node.record_event(Kind::LeaseGranted { target: target.clone(), fence });
            } else {
                self.leased_targets.remove(target);
                node.record_event(Kind::LeaseExpired { target: target.clone() });
            }
        }
    }

    /// Applies the fold, the VM list and the availability of the log to leases,
    /// loads and queues.
    fn sync(&mut self, now: Time) {
        let node = &self.node;
        let state = node.state.borrow();
        let list = node.vm_list.borrow();
        if state.config().revision != self.revision {
            self.revision = state.config().revision;
            node.keeper.borrow_mut().set_timings(state.config().fleet.timings());
        }
        node.keeper.borrow_mut().sync(now, &state, &list, node.log_available.get());
        sync_loads(node, now, &state, &list);
        drop(list);
        drop(state);
        self.sync_queues();
    }

    /// Closes the queues of targets that have been leaving for `CLOSE_DELAY`.
    fn close_queues(&mut self, now: Time) {
        let node = &self.node;
        let leaving: BTreeSet<TargetId> = node.vm_list.borrow().leaving_targets().collect();
        self.leaving_since.retain(|target, _| leaving.contains(target));
        for target in leaving {
            let since = *self.leaving_since.entry(target.clone()).or_insert(now);
            if now.since(since) >= CLOSE_DELAY {
                let events = node.queues.dispatcher.borrow_mut().close(&target);
                node.queues.notify(events);
            }
        }
    }

    /// Creates or updates the queue of each kept target and removes the queues of
    /// other targets.
    fn sync_queues(&mut self) {
        let node = &self.node;
        let state = node.state.borrow();
        let kept: BTreeSet<TargetId> =
            state.kept_by(&node.settings.vm).map(|(target, _)| target.clone()).collect();
        for target in &kept {
            let service = node.find_vm(target.as_str()).and_then(|vm| vm.service);
            if let Some(service) = service {
                let policy = state.config().fleet.policy(&service);
                node.queues.dispatcher.borrow_mut().set(target, &policy);
            }
        }
        for target in self.kept_targets.difference(&kept) {
            let events = node.queues.dispatcher.borrow_mut().remove(target);
            node.queues.notify(events);
        }
        node.metrics.kept_targets.set(i64::try_from(kept.len()).unwrap_or(i64::MAX));
        self.kept_targets = kept;
    }

    /// Appends claims of targets without a keeper and assignments of slices
    /// without an owner.
    fn append_placements(&mut self, now: Time) {
        let node = &self.node;
        // The timings of leases come with the first configuration.
        if !node.log_available.get() || self.revision == Revision::default() {
            return;
        }
        let state = node.state.borrow();
        let list = node.vm_list.borrow();
        let mut members = node.members.borrow_mut();
        // With more than `LOAD_REPORT_PEERS_MAX` live gateways, this one watches
        // only the keepers that it would replace.
        if members.live().count() > LOAD_REPORT_PEERS_MAX {
            let watched = place::watch_set(&node.settings.vm, &state, &list, &members);
            members.watch(watched);
        }
        let claims = self.claims.claims(now, &state, &list, &members);
        let assigns = self.assigner.assign(now, &state, &list, &members);
        let changes = claims.into_iter().map(Change::Keeper).chain(assigns.into_iter().map(Change::Assign));
        for change in changes {
            append::push(node, &node.control_queue, change);
        }
    }

    fn perform(&self, action: Action) {
        let node = self.node.clone();
        match action {
            Action::Command { target, command } => {
                drop(actix_rt::spawn(send_lease_command(node, target, command)))
            }
            Action::ReadLease { target } => drop(actix_rt::spawn(read_lease(node, target))),
            Action::Append(change) => {
                append::push(&node, &node.control_queue, change);
            }
            Action::Query { vm, frame } => drop(actix_rt::spawn(query_peer(node, vm, frame))),
            Action::ReadHead => drop(actix_rt::spawn(read_head(node))),
        }
    }
}

/// Keeps a load entry for each target of the services that are not keyed.
fn sync_loads(node: &Node, now: Time, state: &State, list: &VmList) {
    let mut target_loads = node.target_loads.borrow_mut();
    let services = &state.config().fleet.services;
    for service in services.iter().filter(|(_, entry)| !entry.keyed).map(|(service, _)| service) {
        let is_new = !target_loads.contains_key(service);
        let service_loads = target_loads.entry(service.clone()).or_default();
        let listed = list.vms.iter().filter(|vm| vm.service.as_ref() == Some(service));
        let mut seen = BTreeSet::new();
        for vm in listed {
            let Ok(target) = TargetId::new(vm.id.clone()) else { continue };
            // Targets found when the load table of the service is created get no
            // warm-up.
            service_loads.add(now, &target, !is_new);
            if vm.state == VmState::Leaving {
                service_loads.close(&target);
            }
            seen.insert(target);
        }
        service_loads.retain(|target| seen.contains(target));
    }
}

async fn send_lease_command(node: Rc<Node>, target: TargetId, command: Command) {
    let (command_path, kind) = match &command.order {
        Operation::Fence => (path::FENCE, "fence"),
        Operation::Renew { .. } => (path::RENEW, "renew"),
        Operation::Grant { .. } => (path::GRANT, "grant"),
        Operation::Release { .. } => (path::RELEASE, "release"),
    };
    node.metrics.count_command(kind);
    let sent = node.now();
    let result = match node.target_addr(&target) {
        Some(addr) => catkin_net::post(&node.client, addr, command_path, &command, COMMAND_TIMEOUT).await,
        None => Err(Error::new(Code::NoOwner, "the target is not in the VM list")),
    };
    record_command_events(&node, &target, &command, result.as_ref());
    apply_reply(&node, &target, sent, result);
}

/// Adds the events of an accepted grant or release to the timeline.
fn record_command_events(
    node: &Node,
    target: &TargetId,
    command: &Command,
    result: Result<&CommandReply, &Error>,
) {
    let Ok(reply) = result else { return };
    let Some(service) = node.find_vm(target.as_str()).and_then(|vm| vm.service) else { return };
    let target = target.clone();
    match &command.order {
        Operation::Grant { slices } if reply.accepted => {
            for FencedSlice { slice, fence } in slices.iter().copied() {
                let (service, target) = (service.clone(), target.clone());
                node.record_event(Kind::SliceGranted { service, slice, target, fence });
            }
        }
        Operation::Release { slices } if reply.accepted => {
            for FencedSlice { slice, fence } in slices.iter().copied() {
                let (service, target) = (service.clone(), target.clone());
                node.record_event(Kind::SliceReleased { service, slice, target, fence });
            }
        }
        _ => {}
    }
}

async fn read_lease(node: Rc<Node>, target: TargetId) {
    let sent = node.now();
    let result = match node.target_addr(&target) {
        Some(addr) => catkin_net::get(&node.client, addr, path::LEASE, COMMAND_TIMEOUT).await,
        None => Err(Error::new(Code::NoOwner, "the target is not in the VM list")),
    };
    apply_reply(&node, &target, sent, result);
}

/// Passes the reply of a target, or its absence, to the keeper.
fn apply_reply(node: &Node, target: &TargetId, sent: Time, result: Result<CommandReply, Error>) {
    let now = node.now();
    let mut keeper = node.keeper.borrow_mut();
    match result {
        Ok(reply) if reply.target == *target => {
            keeper.apply_reply(now, sent, &reply);
            if reply.draining {
                reports::mark_draining(node, target);
            }
        }
        _ => keeper.command_failed(now, target),
    }
}

async fn query_peer(node: Rc<Node>, vm: VmId, frame: Frame) {
    let Some(addr) = node.peer_addr(&vm) else { return };
    let answer = peer::query(&node, addr, &frame);
    // The keeper repeats the query if no answer arrives.
    if let Ok(Ok(answer)) = actix_rt::time::timeout(QUERY_TIMEOUT, answer).await {
        node.keeper.borrow_mut().apply_answer(node.now(), &vm, &answer);
    }
}

async fn read_head(node: Rc<Node>) {
    let start = node.now();
    if follow::read_to_head(&node).await.is_err() {
        return;
    }
    let now = node.now();
    let state = node.state.borrow();
    let mut keeper = node.keeper.borrow_mut();
    keeper.sync(now, &state, &node.vm_list.borrow(), node.log_available.get());
    keeper.finish_head_read(start);
}
