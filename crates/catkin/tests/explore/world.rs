//! Two keepers, two servers, one slice and a log, with faults.

use {
    catkin::{
        api::{Command, Life, Listed, Reply, Role, Stamp, VmList},
        config,
        fold::State,
        lease::{Action, Holder, Keeper, Timings},
        record::{self, Assign, Change, Claim, Move, Publish, Record, Writer},
        types::{Fence, Revision, Sequence, Service, SliceId, Span, TargetId, Time, Version, VmId},
        wire::Frame,
    },
    std::{collections::VecDeque, sync::Arc},
};

pub(crate) const ROUND: u64 = 100;
const FLEET: &str = "services: {plan: {keyed: true, slices: 1}}";

/// Guards that the test can take away.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub(crate) enum Without {
    /// All guards are in place.
    #[default]
    Nothing,
    /// Every question whether an owner has stopped is answered with yes.
    Lapse,
    /// Targets accept commands in any order.
    Stamps,
    /// Standbys are not told about a new keeper.
    Announcement,
    /// The keeper of a standby takes a hand-over from any keeper.
    KeeperFence,
    /// The log is not read before the first command to a process.
    Head,
    /// Keepers take no account of different clock rates.
    Margin,
}

#[derive(Clone, Hash)]
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) boot: u64,
    pub(crate) keeper: Keeper,
    pub(crate) state: Fold,
    pub(crate) paused: bool,
    pub(crate) lag: bool,
    /// Whether questions of the other VM don't arrive.
    pub(crate) deaf: bool,
    /// Servers that the VM can't reach.
    pub(crate) cut: [bool; 2],
    sequence: u64,
    /// What the keeper was told last.
    synced: Option<(u64, bool, usize)>,
}

/// A fold that is hashed by its offset, because the log determines the rest.
#[derive(Clone)]
pub(crate) struct Fold(pub(crate) Arc<State>);

impl std::hash::Hash for Fold {
    fn hash<H: std::hash::Hasher>(&self, output: &mut H) {
        self.0.next().hash(output);
    }
}

/// The log, hashed by a running digest of its records.
#[derive(Clone, Default)]
pub(crate) struct Log {
    records: Vec<Arc<[u8]>>,
    digest: u32,
}

impl Log {
    fn push(&mut self, bytes: Arc<[u8]>) {
        let both = [&self.digest.to_le_bytes(), &*bytes].concat();
        self.digest = crc32fast::hash(&both);
        self.records.push(bytes);
    }
}

impl std::hash::Hash for Log {
    fn hash<H: std::hash::Hasher>(&self, output: &mut H) {
        (self.records.len(), self.digest).hash(output);
    }
}

/// The VM list, which follows from the servers.
#[derive(Clone)]
struct List(Arc<VmList>);

impl std::hash::Hash for List {
    fn hash<H: std::hash::Hasher>(&self, _output: &mut H) {}
}

#[derive(Clone, Hash)]
pub(crate) struct Server {
    pub(crate) id: TargetId,
    pub(crate) boot: u64,
    pub(crate) holder: Holder,
    pub(crate) cut: bool,
    pub(crate) gone: bool,
    /// Clock rate in thousandths, and the moment when the clock read zero.
    rate: u64,
    zero: u64,
}

#[derive(Clone, Hash)]
pub(crate) enum Message {
    Command { vm: usize, server: usize, sent: Time, command: Option<Command> },
    Reply { vm: usize, sent: Time, reply: Reply },
    Ask { from: usize, to: usize, frame: Frame },
    Answer { from: usize, to: usize, frame: Frame },
    Append { bytes: Arc<[u8]> },
}

/// A fault of one round.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Commands of a VM to a server are lost.
    LoseCommands(usize, usize),
    /// Answers of a server to a VM are lost.
    LoseReplies(usize, usize),
    /// Commands of a VM to a server are delayed.
    HoldCommands(usize, usize),
    /// Commands of a VM to a server arrive now and once more later.
    CopyCommands(usize, usize),
    /// Questions of a VM to the other one are delayed.
    HoldAsks(usize),
    /// Appends of a VM take effect later.
    HoldAppends(usize),
}

#[derive(Clone, Hash)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) log: Log,
    pub(crate) log_up: bool,
    pub(crate) vms: Vec<Vm>,
    pub(crate) servers: Vec<Server>,
    pub(crate) held: Vec<Message>,
    pub(crate) without: Without,
    queue: VecDeque<Message>,
    fault: Fault,
    list: List,
}

pub(crate) fn service() -> Service {
    "plan".parse().unwrap()
}

pub(crate) fn slice() -> SliceId {
    SliceId(0)
}

fn timings(without: Without) -> Timings {
    let ms = Span::from_millis;
    Timings {
        ttl: ms(2 * ROUND),
        renew_period: ms(ROUND),
        target_timeout: ms(ROUND + ROUND / 2),
        query_period: ms(1),
        deadline: ms(ROUND),
        list_absence: ms(ROUND),
        list_lag: ms(5 * ROUND),
        drift_ppm: if without == Without::Margin { 0 } else { 10_000 },
    }
}

impl World {
    /// Server 0 owns the slice and VM 0 keeps it; server 1 is the standby and
    /// a given VM keeps it. Nothing was granted yet. The clock of server 0 is
    /// 1% slow.
    pub(crate) fn fresh(without: Without, keeper: usize) -> Self {
        let vms = (0..2).map(|n| new_vm(&format!("vm-{n}"), 1, without)).collect();
        let servers = (0..2).map(|n| new_server(&format!("t-{n}"), 990 + 10 * n)).collect();
        let mut world = Self {
            now: 10_000,
            log: Log::default(),
            log_up: true,
            vms,
            servers,
            held: Vec::new(),
            without,
            queue: VecDeque::new(),
            fault: Fault::None,
            list: List(Arc::default()),
        };
        world.list = List(Arc::new(world.make_list()));
        // Both VMs see the list with both servers before any fault.
        (0..2).for_each(|vm| world.sync(vm));
        let publish = Publish { expects: Revision(0), author: "op".into(), text: FLEET.into() };
        assert!(config::parse(FLEET).is_ok());
        world.append(0, Change::Config(publish));
        world.claim(0, 0);
        world.claim(keeper, 1);
        let row = world.change_to(0, Version(0), Some(1));
        world.append(0, row);
        world.drain();
        world
    }

    /// As [`World::fresh`], after the slice was granted.
    pub(crate) fn new(without: Without, keeper: usize) -> Self {
        let mut world = Self::fresh(without, keeper);
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.serves(0) && !world.serves(1), "the start state serves the slice");
        world
    }

    /// As [`World::new`], but VM 0 neither reads the log nor reaches server 0
    /// any more, hears no questions if it is deaf, and VM 1 has claimed
    /// server 0.
    pub(crate) fn stale(without: Without, keeper: usize, deaf: bool) -> Self {
        let mut world = Self::new(without, keeper);
        world.vms[0].deaf = deaf;
        world.vms[0].lag = true;
        world.vms[0].cut[0] = true;
        world.claim(1, 0);
        world.drain();
        world
    }

    /// As [`World::stale`], after VM 1 moved the slice to server 1 and lost
    /// its way to server 0.
    pub(crate) fn moved(without: Without) -> Self {
        let mut world = Self::stale(without, 1, true);
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.shift(1, 1, None), "VM 1 moves the slice");
        world.drain();
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.serves(1), "the slice is served by server 1");
        world.vms[1].cut[0] = true;
        world
    }

    /// As [`World::new`], with copies of all commands so far on their way.
    pub(crate) fn copied(without: Without) -> Self {
        let mut world = Self::fresh(without, 1);
        (0..2).for_each(|_| world.round(Fault::CopyCommands(0, 0)));
        assert!(world.serves(0), "the slice was granted");
        world
    }

    /// As [`World::new`], while the log is down.
    pub(crate) fn log_down(without: Without) -> Self {
        let mut world = Self::new(without, 1);
        world.log_up = false;
        world
    }

    /// The log is down with the record of a changed standby on its way to it,
    /// server 0 was lost for a time, and VM 1 reads no log.
    pub(crate) fn late_append(without: Without) -> Self {
        let mut world = Self::new(without, 1);
        assert!(world.shift(0, 0, None), "VM 0 drops the standby");
        world.held.extend(world.queue.drain(..));
        world.log_up = false;
        world.vms[1].lag = true;
        world.servers[0].cut = true;
        (0..4).for_each(|_| world.round(Fault::None));
        world.servers[0].cut = false;
        world
    }

    /// A hand-over of server 0's slice is on its way since the log was down.
    /// The slice moved to server 1 and back since, and server 1 is the standby
    /// again.
    pub(crate) fn late_hand_over(without: Without) -> Self {
        let mut world = Self::log_down(without);
        world.servers[0].cut = true;
        (0..4).for_each(|_| world.round(Fault::HoldAsks(0)));
        world.held.truncate(1);
        assert_eq!(world.held.len(), 1, "VM 0 hands the slice over");
        world.heal(4);
        assert!(world.serves(1), "the slice moved to the standby");
        assert!(world.shift(1, 0, Some(1)), "VM 1 moves the slice back");
        world.drain();
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.serves(0), "the slice moved back");
        world
    }

    fn change_to(&self, owner: usize, expects: Version, standby: Option<usize>) -> Change {
        let standby = standby.map(|n| self.servers[n].id.clone());
        let owner = self.servers[owner].id.clone();
        let change = Move { slice: slice(), expects, owner, standby, provisional: None };
        Change::Assign(Assign { service: service(), moves: vec![change] })
    }

    fn append(&mut self, vm: usize, change: Change) {
        let vm = &mut self.vms[vm];
        vm.sequence += 1;
        let writer = Writer { id: vm.id.clone(), boot: vm.boot };
        let record = Record { writer, sequence: Sequence(vm.sequence), change };
        let bytes = record::encode(&record).unwrap().into();
        self.queue.push_back(Message::Append { bytes });
    }

    /// A VM claims a target by what it has read.
    pub(crate) fn claim(&mut self, vm: usize, server: usize) {
        let target = self.servers[server].id.clone();
        let expects = self.vms[vm].state.0.keeper(&target).map(|k| k.version).unwrap_or_default();
        let claim = Claim { target, expects, keeper: self.vms[vm].id.clone() };
        self.append(vm, Change::Keeper(claim));
    }

    /// Placement moves the slice, or only changes its standby.
    pub(crate) fn shift(&mut self, vm: usize, to: usize, standby: Option<usize>) -> bool {
        let Some((owner, version)) =
            self.vms[vm].state.0.row(&service(), slice()).map(|r| (r.owner.clone(), r.version))
        else {
            return false;
        };
        let standby = standby.map(|n| self.servers[n].id.clone());
        let to = self.servers[to].id.clone();
        let change = Move { slice: slice(), expects: version, owner: to, standby, provisional: None };
        let now = self.time();
        match self.vms[vm].keeper.shift(now, &service(), &owner, change) {
            Ok(change) => self.append(vm, change),
            Err(_) => return false,
        }
        true
    }

    pub(crate) fn time(&self) -> Time {
        Time::from_micros(self.now * 1_000)
    }

    /// Takes a server's VM out of the list.
    pub(crate) fn remove(&mut self, server: usize) {
        self.servers[server].gone = true;
        self.list = List(Arc::new(self.make_list()));
    }

    fn make_list(&self) -> VmList {
        let entry = |id: &str, role| Listed {
            id: id.into(),
            role,
            service: Some(service()),
            zone: "a".parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            admin: None,
            state: Life::Live,
        };
        let vms = self.vms.iter().map(|vm| entry(vm.id.as_str(), Role::Entry));
        let servers = self.servers.iter().filter(|server| !server.gone);
        VmList { vms: vms.chain(servers.map(|s| entry(s.id.as_str(), Role::Target))).collect() }
    }

    /// Lets one round of time pass, with a fault in it.
    pub(crate) fn round(&mut self, fault: Fault) {
        self.now += ROUND;
        self.fault = fault;
        for _ in 0..4 {
            (0..self.vms.len()).for_each(|vm| self.tick(vm));
            if self.queue.is_empty() {
                break;
            }
            self.drain();
        }
        self.fault = Fault::None;
    }

    fn tick(&mut self, number: usize) {
        if self.vms[number].paused {
            return;
        }
        self.sync(number);
        let now = self.time();
        for action in self.vms[number].keeper.tick(now) {
            self.act(number, action);
        }
    }

    fn sync(&mut self, number: usize) {
        let (now, list, log_up) = (self.time(), self.list.0.clone(), self.log_up);
        let vm = &mut self.vms[number];
        if log_up && !vm.lag {
            read(Arc::make_mut(&mut vm.state.0), &self.log);
        }
        let view = Some((vm.state.0.next().0, log_up, list.vms.len()));
        if vm.synced != view {
            vm.synced = view;
            vm.keeper.sync(now, &vm.state.0, &list, log_up);
        }
    }

    fn act(&mut self, vm: usize, action: Action) {
        let sent = self.time();
        match action {
            Action::Command { target, command } => {
                let server = self.server(&target);
                self.queue.push_back(Message::Command { vm, server, sent, command: Some(command) });
            }
            Action::Inspect { target } => {
                let server = self.server(&target);
                self.queue.push_back(Message::Command { vm, server, sent, command: None });
            }
            Action::Append(change) => self.append(vm, change),
            Action::Ask { vm: to, frame } => {
                let to = usize::from(to == self.vms[1].id);
                self.ask(vm, to, frame);
            }
            Action::ReadHead => self.read_head(vm),
        }
    }

    fn ask(&mut self, from: usize, to: usize, frame: Frame) {
        let forged = match (&frame, self.without) {
            (Frame::AskStopped { target, slices }, Without::Lapse) => {
                Some(Frame::Stopped { target: target.clone(), slices: slices.clone() })
            }
            (Frame::AskKeeper { target, keeper, standby }, Without::Announcement) => {
                Some(Frame::KeeperNoted {
                    target: target.clone(),
                    keeper: *keeper,
                    standby: standby.clone(),
                    slices: Vec::new(),
                })
            }
            _ => None,
        };
        let message = match (forged, frame) {
            (Some(answer), _) => Message::Answer { from: to, to: from, frame: answer },
            (None, Frame::HandOver { from: owner, to: standby, slices, .. })
                if self.without == Without::KeeperFence =>
            {
                let keeper = self.truth().keeper(&owner).unwrap().fence;
                let frame = Frame::HandOver { from: owner, keeper, to: standby, slices };
                Message::Ask { from, to, frame }
            }
            (None, frame) => Message::Ask { from, to, frame },
        };
        self.queue.push_back(message);
    }

    fn read_head(&mut self, number: usize) {
        let now = self.time();
        if self.without != Without::Head {
            if !self.log_up {
                return;
            }
            read(Arc::make_mut(&mut self.vms[number].state.0), &self.log);
            let (list, vm) = (self.list.0.clone(), &mut self.vms[number]);
            vm.keeper.sync(now, &vm.state.0, &list, true);
        }
        self.vms[number].keeper.at_head(now);
    }

    fn server(&self, target: &TargetId) -> usize {
        usize::from(*target == self.servers[1].id)
    }

    /// Delivers all messages that are not held back.
    pub(crate) fn drain(&mut self) {
        while let Some(message) = self.queue.pop_front() {
            self.route(message);
        }
    }

    fn route(&mut self, message: Message) {
        let fault = self.fault;
        match &message {
            Message::Command { vm, server, .. } => match fault {
                Fault::LoseCommands(v, s) if (v, s) == (*vm, *server) => return,
                Fault::HoldCommands(v, s) if (v, s) == (*vm, *server) => return self.held.push(message),
                Fault::CopyCommands(v, s) if (v, s) == (*vm, *server) => self.held.push(message.clone()),
                _ => {}
            },
            Message::Reply { vm, reply, .. } => {
                let server = self.server(&reply.target);
                if fault == Fault::LoseReplies(*vm, server) {
                    return;
                }
            }
            Message::Ask { from, .. } if fault == Fault::HoldAsks(*from) => return self.held.push(message),
            Message::Append { bytes } => {
                let Fault::HoldAppends(vm) = fault else { return self.deliver(message) };
                let writer = record::decode(bytes).unwrap().writer;
                if writer.id == self.vms[vm].id {
                    return self.held.push(message);
                }
            }
            _ => {}
        }
        self.deliver(message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Command { vm, server, sent, command } => self.command(vm, server, sent, command),
            Message::Reply { vm, sent, reply } => {
                let now = self.time();
                if !self.vms[vm].paused {
                    self.vms[vm].keeper.reply(now, sent, &reply);
                }
            }
            Message::Ask { from, to, frame } => {
                let now = self.time();
                if self.vms[to].paused || self.vms[to].deaf {
                    return;
                }
                if let Some(frame) = self.vms[to].keeper.ask(now, &frame) {
                    self.queue.push_back(Message::Answer { from: to, to: from, frame });
                }
            }
            Message::Answer { from, to, frame } => {
                let (now, id) = (self.time(), self.vms[from].id.clone());
                if !self.vms[to].paused {
                    self.vms[to].keeper.answer(now, &id, &frame);
                }
            }
            Message::Append { bytes } => {
                if self.log_up {
                    self.log.push(bytes);
                }
            }
        }
    }

    fn command(&mut self, vm: usize, number: usize, sent: Time, command: Option<Command>) {
        let without = self.without;
        let clock = self.clock(number);
        let server = &mut self.servers[number];
        if server.cut || server.gone || self.vms[vm].cut[number] {
            return;
        }
        let reply = match command {
            Some(mut command) => {
                let stamp = command.stamp;
                let newest = server.holder.status(clock).stamp;
                if without == Without::Stamps && stamp <= newest {
                    command.stamp = Stamp { number: newest.number + 1, ..newest };
                }
                let mut reply = server.holder.command(clock, &command);
                if command.stamp != stamp {
                    reply.stamp = stamp;
                }
                reply
            }
            None => server.holder.status(clock),
        };
        self.queue.push_back(Message::Reply { vm, sent, reply });
    }

    /// Delivers a message that was held back.
    pub(crate) fn release(&mut self, number: usize) {
        let message = self.held.remove(number);
        self.deliver(message);
        self.drain();
    }

    fn clock(&self, number: usize) -> Time {
        let server = &self.servers[number];
        Time::from_micros((self.now - server.zero) * server.rate)
    }

    /// Returns whether a server would run a request for the slice, by its own
    /// clock, under any fence.
    pub(crate) fn serves(&self, number: usize) -> bool {
        let server = &self.servers[number];
        if server.gone {
            return false;
        }
        let clock = self.clock(number);
        let mut holder = server.holder.clone();
        let held = holder.status(clock).slices;
        holder.is_leased(clock) && held.iter().any(|held| held.slice == slice())
    }

    pub(crate) fn fence(&self, number: usize) -> Option<Fence> {
        let mut holder = self.servers[number].holder.clone();
        holder.status(self.clock(number)).slices.first().map(|held| held.fence)
    }

    /// A new process takes the place of a server's old one.
    pub(crate) fn restart_server(&mut self, number: usize) {
        let now = self.now;
        let server = &mut self.servers[number];
        server.boot += 1;
        server.zero = now - 1;
        server.cut = false;
        server.holder = Holder::new(server.id.clone(), server.boot);
    }

    /// A new process takes the place of a VM's old one. It reads the log, or
    /// takes the state of the other VM while the log is down.
    pub(crate) fn restart_vm(&mut self, number: usize) {
        let boot = self.vms[number].boot + 1;
        let mut fresh = new_vm(self.vms[number].id.as_str(), boot, self.without);
        if self.log_up {
            read(Arc::make_mut(&mut fresh.state.0), &self.log);
        } else {
            fresh.state = self.vms[1 - number].state.clone();
        }
        self.vms[number] = fresh;
    }

    /// Ends all faults that can end and lets time pass.
    pub(crate) fn heal(&mut self, rounds: usize) {
        self.log_up = true;
        for vm in &mut self.vms {
            (vm.paused, vm.lag, vm.deaf, vm.cut) = (false, false, false, [false; 2]);
        }
        self.servers.iter_mut().for_each(|server| server.cut = false);
        (0..rounds).for_each(|_| self.round(Fault::None));
    }

    /// The fold of the whole log.
    pub(crate) fn truth(&self) -> State {
        let mut state = State::new();
        read(&mut state, &self.log);
        state
    }
}

fn read(state: &mut State, log: &Log) {
    while let Some(bytes) = log.records.get(usize::try_from(state.next().0).unwrap()) {
        state.apply(state.next(), bytes);
    }
}

fn new_vm(id: &str, boot: u64, without: Without) -> Vm {
    let id: VmId = id.parse().unwrap();
    let keeper = Keeper::new(id.clone(), boot, timings(without));
    Vm {
        id,
        boot,
        keeper,
        state: Fold(Arc::default()),
        paused: false,
        lag: false,
        deaf: false,
        cut: [false; 2],
        sequence: 0,
        synced: None,
    }
}

fn new_server(id: &str, rate: u64) -> Server {
    let id: TargetId = id.parse().unwrap();
    Server { holder: Holder::new(id.clone(), 1), id, boot: 1, cut: false, gone: false, rate, zero: 0 }
}
