//! Claims, assignments and lease commands.

use {
    crate::{append, follow, heartbeat::GOSSIP_PEERS, node::Node, peer, reports},
    catkin::{
        Code, Error,
        api::{Command, Held, Life, Order, Reply, VmList, path},
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

const TICK: Duration = Duration::from_millis(10);
/// Ticks between two runs of placement, which reads all slices.
const PLACE_TICKS: u64 = 10;
/// Ticks between two runs of the leases' `sync` without a change.
const SYNC_TICKS: u64 = 50;
/// Time in which the keys of a leaving target are moved. After it the target
/// gets no new work, so that it gets none 2 s after the first sign.
const CLOSE_AFTER: Span = Span::from_millis(1_500);
const COMMAND_LIMIT: Span = Span::from_millis(100);
const ASK_LIMIT: Duration = Duration::from_millis(500);

struct Control {
    node: Rc<Node>,
    claims: Claims,
    assigner: Assigner,
    /// Configuration whose times the keeper uses.
    revision: Revision,
    kept: BTreeSet<TargetId>,
    leased: BTreeSet<TargetId>,
    /// When a target was first seen to leave.
    signs: BTreeMap<TargetId, Time>,
    ticks: u64,
}

/// Runs the control systems at each tick until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let vm = node.settings.vm.clone();
    let mut control = Control {
        node,
        claims: Claims::new(vm.clone()),
        assigner: Assigner::new(vm),
        revision: Revision::default(),
        kept: BTreeSet::new(),
        leased: BTreeSet::new(),
        signs: BTreeMap::new(),
        ticks: 0,
    };
    let mut tick = actix_rt::time::interval(TICK);
    loop {
        tick.tick().await;
        control.tick();
    }
}

/// Answers a question of another gateway.
pub(crate) fn answer(node: &Node, frame: &Frame) -> Option<Frame> {
    node.keeper.borrow_mut().ask(node.now(), frame)
}

impl Control {
    fn tick(&mut self) {
        self.ticks += 1;
        let now = self.node.now();
        if self.ticks.is_multiple_of(PLACE_TICKS) {
            self.place(now);
        }
        let is_due = self.ticks.is_multiple_of(SYNC_TICKS);
        if self.node.needs_sync.take() || is_due {
            self.sync(now);
        }
        let actions = self.node.keeper.borrow_mut().tick(now);
        actions.into_iter().for_each(|action| self.act(action));
        self.node.queues.tick(now);
        self.node.idempotency.tick(&self.node, now);
        self.show_leases(now);
        self.close_queues(now);
    }

    /// Records an event for each lease that began or may have ended.
    fn show_leases(&mut self, now: Time) {
        let node = &self.node;
        for target in &self.kept {
            let is_leased = node.keeper.borrow().admit(now, target, None).is_ok();
            if self.leased.contains(target) == is_leased {
                continue;
            }
            let fence = node.state.borrow().keeper(target).map(|row| row.fence).unwrap_or_default();
            if is_leased {
                self.leased.insert(target.clone());
                node.record_event(Kind::LeaseGranted { target: target.clone(), fence });
            } else {
                self.leased.remove(target);
                node.record_event(Kind::LeaseExpired { target: target.clone() });
            }
        }
    }

    /// Takes a changed fold or VM list.
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

    /// Closes the queues of targets that have been leaving for a while.
    fn close_queues(&mut self, now: Time) {
        let node = &self.node;
        let leaving: BTreeSet<TargetId> = node.vm_list.borrow().leaving().collect();
        self.signs.retain(|target, _| leaving.contains(target));
        for target in leaving {
            let sign = *self.signs.entry(target.clone()).or_insert(now);
            if now.since(sign) >= CLOSE_AFTER {
                let events = node.queues.table.borrow_mut().close(&target);
                node.queues.notify(events);
            }
        }
    }

    /// Makes a queue for each kept target.
    fn sync_queues(&mut self) {
        let node = &self.node;
        let state = node.state.borrow();
        let kept: BTreeSet<TargetId> =
            state.kept_by(&node.settings.vm).map(|(target, _)| target.clone()).collect();
        for target in &kept {
            let service = node.find_vm(target.as_str()).and_then(|vm| vm.service);
            if let Some(service) = service {
                let policy = state.config().fleet.policy(&service);
                node.queues.table.borrow_mut().set(target, &policy);
            }
        }
        for target in self.kept.difference(&kept) {
            let events = node.queues.table.borrow_mut().remove(target);
            node.queues.notify(events);
        }
        node.metrics.kept_targets.set(i64::try_from(kept.len()).unwrap_or(i64::MAX));
        self.kept = kept;
    }

    /// Appends claims for targets without keeper and owners for slices
    /// without owner.
    fn place(&mut self, now: Time) {
        let node = &self.node;
        // Leases depend on the first configuration.
        if !node.log_available.get() || self.revision == Revision::default() {
            return;
        }
        let state = node.state.borrow();
        let list = node.vm_list.borrow();
        let mut members = node.members.borrow_mut();
        // In a larger fleet a VM watches only the keepers that it would replace.
        if members.live().count() > GOSSIP_PEERS {
            let watched = place::watched(&node.settings.vm, &state, &list, &members);
            members.watch(watched);
        }
        let claims = self.claims.claims(now, &state, &list, &members);
        let assigns = self.assigner.assign(now, &state, &list, &members);
        let changes = claims.into_iter().map(Change::Keeper).chain(assigns.into_iter().map(Change::Assign));
        for change in changes {
            append::push(node, &node.control_queue, change);
        }
    }

    fn act(&self, action: Action) {
        let node = self.node.clone();
        match action {
            Action::Command { target, command } => {
                drop(actix_rt::spawn(command_target(node, target, command)))
            }
            Action::Inspect { target } => drop(actix_rt::spawn(inspect(node, target))),
            Action::Append(change) => {
                append::push(&node, &node.control_queue, change);
            }
            Action::Ask { vm, frame } => drop(actix_rt::spawn(ask(node, vm, frame))),
            Action::ReadHead => drop(actix_rt::spawn(read_head(node))),
        }
    }
}

/// Keeps a row for each target of the services that are not divided by key.
fn sync_loads(node: &Node, now: Time, state: &State, list: &VmList) {
    let mut loads = node.target_loads.borrow_mut();
    let services = &state.config().fleet.services;
    for service in services.iter().filter(|(_, entry)| !entry.keyed).map(|(service, _)| service) {
        let is_new = !loads.contains_key(service);
        let rows = loads.entry(service.clone()).or_default();
        let listed = list.vms.iter().filter(|vm| vm.service.as_ref() == Some(service));
        let mut seen = BTreeSet::new();
        for vm in listed {
            let Ok(target) = TargetId::new(vm.id.clone()) else { continue };
            // Targets that run already when the gateway starts are not cold.
            rows.add(now, &target, !is_new);
            if vm.state == Life::Leaving {
                rows.close(&target);
            }
            seen.insert(target);
        }
        rows.retain(|target| seen.contains(target));
    }
}

async fn command_target(node: Rc<Node>, target: TargetId, command: Command) {
    let (page, kind) = match &command.order {
        Order::Fence => (path::FENCE, "fence"),
        Order::Renew { .. } => (path::RENEW, "renew"),
        Order::Grant { .. } => (path::GRANT, "grant"),
        Order::Release { .. } => (path::RELEASE, "release"),
    };
    node.metrics.count_command(kind);
    let sent = node.now();
    let result = match node.target_addr(&target) {
        Some(addr) => catkin_net::post(&node.client, addr, page, &command, COMMAND_LIMIT).await,
        None => Err(Error::new(Code::NoOwner, "not in the VM list")),
    };
    show_command(&node, &target, &command, result.as_ref());
    settle(&node, &target, sent, result);
}

/// Records the events of an accepted grant or release.
fn show_command(node: &Node, target: &TargetId, command: &Command, result: Result<&Reply, &Error>) {
    let Ok(reply) = result else { return };
    let Some(service) = node.find_vm(target.as_str()).and_then(|vm| vm.service) else { return };
    let target = target.clone();
    match &command.order {
        Order::Grant { slices } if reply.accepted => {
            for Held { slice, fence } in slices.iter().copied() {
                let (service, target) = (service.clone(), target.clone());
                node.record_event(Kind::SliceGranted { service, slice, target, fence });
            }
        }
        Order::Release { slices } if reply.accepted => {
            for Held { slice, fence } in slices.iter().copied() {
                let (service, target) = (service.clone(), target.clone());
                node.record_event(Kind::SliceReleased { service, slice, target, fence });
            }
        }
        _ => {}
    }
}

async fn inspect(node: Rc<Node>, target: TargetId) {
    let sent = node.now();
    let result = match node.target_addr(&target) {
        Some(addr) => catkin_net::get(&node.client, addr, path::LEASE, COMMAND_LIMIT).await,
        None => Err(Error::new(Code::NoOwner, "not in the VM list")),
    };
    settle(&node, &target, sent, result);
}

fn settle(node: &Node, target: &TargetId, sent: Time, result: Result<Reply, Error>) {
    let now = node.now();
    let mut keeper = node.keeper.borrow_mut();
    match result {
        Ok(reply) if reply.target == *target => {
            keeper.reply(now, sent, &reply);
            if reply.draining {
                reports::close(node, target);
            }
        }
        _ => keeper.failed(now, target),
    }
}

async fn ask(node: Rc<Node>, vm: VmId, frame: Frame) {
    let Some(addr) = node.peer_addr(&vm) else { return };
    let asked = peer::ask(&node, addr, &frame);
    // The keeper asks again when no answer comes.
    if let Ok(Ok(answer)) = actix_rt::time::timeout(ASK_LIMIT, asked).await {
        node.keeper.borrow_mut().answer(node.now(), &vm, &answer);
    }
}

async fn read_head(node: Rc<Node>) {
    let began = node.now();
    if follow::read_to_head(&node).await.is_err() {
        return;
    }
    let now = node.now();
    let state = node.state.borrow();
    let mut keeper = node.keeper.borrow_mut();
    keeper.sync(now, &state, &node.vm_list.borrow(), node.log_available.get());
    keeper.at_head(began);
}
