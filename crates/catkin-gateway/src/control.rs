//! Claims, assignments and lease commands.

use {
    crate::{node::Node, peer},
    catkin::{
        Code, Error,
        api::{Command, Order, Reply, path},
        lease::Action,
        place::{Assigner, Claims},
        record::Change,
        types::{Span, TargetId, Time, VmId},
        wire::Frame,
    },
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

const TICK: Duration = Duration::from_millis(10);
/// Ticks between two runs of placement, which reads all slices.
const PLACE_TICKS: u64 = 10;
/// Ticks between two runs of the leases' `sync` without a change.
const SYNC_TICKS: u64 = 50;
const COMMAND_LIMIT: Span = Span::from_millis(100);
const ASK_LIMIT: Duration = Duration::from_millis(500);

struct Control {
    node: Rc<Node>,
    changes: UnboundedSender<Change>,
    claims: Claims,
    assigner: Assigner,
    kept: BTreeSet<TargetId>,
    ticks: u64,
}

/// Runs the control systems at each tick until the process ends.
pub(crate) async fn run(node: Rc<Node>, changes: UnboundedSender<Change>) {
    let vm = node.set.vm.clone();
    let mut control = Control {
        node,
        changes,
        claims: Claims::new(vm.clone()),
        assigner: Assigner::new(vm),
        kept: BTreeSet::new(),
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
        if self.node.changed.take() || is_due {
            self.sync(now);
        }
        let actions = self.node.keeper.borrow_mut().tick(now);
        actions.into_iter().for_each(|action| self.act(action));
        self.node.queues.tick(now);
    }

    /// Takes a changed fold or VM list.
    fn sync(&mut self, now: Time) {
        let node = &self.node;
        let state = node.state.borrow();
        let list = node.list.borrow();
        node.keeper.borrow_mut().sync(now, &state, &list, node.log_up.get());
        node.members.borrow_mut().sync(&list);
        drop(list);
        drop(state);
        self.sync_queues();
    }

    /// Makes a queue for each kept target.
    fn sync_queues(&mut self) {
        let node = &self.node;
        let state = node.state.borrow();
        let own = state.keepers().filter(|(_, keeper)| keeper.vm == node.set.vm);
        let kept: BTreeSet<TargetId> = own.map(|(target, _)| target.clone()).collect();
        for target in &kept {
            let service = node.listed(target.as_str()).and_then(|vm| vm.service);
            if let Some(service) = service {
                let policy = state.config().fleet.policy(&service);
                node.queues.table.borrow_mut().set(target, &policy);
            }
        }
        for target in self.kept.difference(&kept) {
            let events = node.queues.table.borrow_mut().remove(target);
            node.queues.notify(events);
        }
        node.metrics.kept.set(i64::try_from(kept.len()).unwrap_or(i64::MAX));
        self.kept = kept;
    }

    /// Appends claims for targets without keeper and owners for slices
    /// without owner.
    fn place(&mut self, now: Time) {
        let node = &self.node;
        if !node.log_up.get() {
            return;
        }
        let state = node.state.borrow();
        let list = node.list.borrow();
        let members = node.members.borrow();
        let claims = self.claims.claims(now, &state, &list, &members);
        let assigns = self.assigner.assign(now, &state, &list, &members);
        let changes = claims.into_iter().map(Change::Keeper).chain(assigns.into_iter().map(Change::Assign));
        // The receiver lives as long as the process.
        changes.for_each(|change| drop(self.changes.send(change)));
    }

    fn act(&self, action: Action) {
        let node = self.node.clone();
        match action {
            Action::Command { target, command } => {
                drop(actix_rt::spawn(command_target(node, target, command)))
            }
            Action::Inspect { target } => drop(actix_rt::spawn(inspect(node, target))),
            Action::Append(change) => drop(self.changes.send(change)),
            Action::Ask { vm, frame } => drop(actix_rt::spawn(ask(node, vm, frame))),
            Action::ReadHead => drop(actix_rt::spawn(read_head(node))),
        }
    }
}

async fn command_target(node: Rc<Node>, target: TargetId, command: Command) {
    let (page, kind) = match &command.order {
        Order::Fence => (path::FENCE, "fence"),
        Order::Renew { .. } => (path::RENEW, "renew"),
        Order::Grant { .. } => (path::GRANT, "grant"),
        Order::Release { .. } => (path::RELEASE, "release"),
    };
    node.metrics.command(kind);
    let sent = node.now();
    let result = match node.target(&target) {
        Some(addr) => catkin_net::post(&node.client, addr, page, &command, COMMAND_LIMIT).await,
        None => Err(Error::new(Code::NoOwner, "not in the VM list")),
    };
    settle(&node, &target, sent, result);
}

async fn inspect(node: Rc<Node>, target: TargetId) {
    let sent = node.now();
    let result = match node.target(&target) {
        Some(addr) => catkin_net::get(&node.client, addr, path::LEASE, COMMAND_LIMIT).await,
        None => Err(Error::new(Code::NoOwner, "not in the VM list")),
    };
    settle(&node, &target, sent, result);
}

fn settle(node: &Node, target: &TargetId, sent: Time, result: Result<Reply, Error>) {
    let now = node.now();
    let mut keeper = node.keeper.borrow_mut();
    match result {
        Ok(reply) if reply.target == *target => keeper.reply(now, sent, &reply),
        _ => keeper.failed(now, target),
    }
}

async fn ask(node: Rc<Node>, vm: VmId, frame: Frame) {
    let Some(addr) = node.peer(&vm) else { return };
    let asked = peer::ask(&node, addr, &frame);
    // The keeper asks again when no answer comes.
    if let Ok(Ok(answer)) = actix_rt::time::timeout(ASK_LIMIT, asked).await {
        node.keeper.borrow_mut().answer(node.now(), &vm, &answer);
    }
}

/// Reads the log up to the head that it has now.
async fn read_head(node: Rc<Node>) {
    let began = node.now();
    let from = node.state.borrow().next();
    let Ok(read) = node.log.read(from, 1, Span::ZERO).await else { return };
    while node.state.borrow().next() < read.head {
        node.advanced.notified().await;
    }
    let now = node.now();
    let state = node.state.borrow();
    let mut keeper = node.keeper.borrow_mut();
    keeper.sync(now, &state, &node.list.borrow(), node.log_up.get());
    keeper.at_head(began);
}
