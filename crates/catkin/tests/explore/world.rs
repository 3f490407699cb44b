//! Model of two keepers, two servers, one slice and a log, with faults.

use {
    catkin::{
        api::{Command, CommandReply, CommandStamp, Role, VmEntry, VmList, VmState},
        config,
        fold::State,
        lease::{Action, Holder, Keeper, Timings},
        record::{self, Assign, Change, Claim, Move, Publish, Record, Writer},
        types::{Fence, Revision, Sequence, Service, SliceId, Span, TargetId, Time, Version, VmId},
        wire::Frame,
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Virtual time of one round.
pub(crate) const ROUND_MS: u64 = 100;
const FLEET: &str = "services: {plan: {keyed: true, slices: 1}}";

/// A guard of the ownership rules that the test disables.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub(crate) enum DisabledGuard {
    /// All guards are enabled.
    #[default]
    None,
    /// Every query whether an owner has stopped is answered with yes.
    StopCheck,
    /// Targets accept commands in any order.
    CommandOrder,
    /// Standbys are not told about a new keeper.
    Announcement,
    /// The keeper of a standby accepts a provisional failover from any keeper.
    KeeperFence,
    /// The log is not read before the first command to an incarnation.
    LogHead,
    /// Keepers ignore different clock rates.
    ClockMargin,
}

#[derive(Clone, Hash)]
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) boot: u64,
    pub(crate) keeper: Keeper,
    pub(crate) state: Fold,
    pub(crate) paused: bool,
    pub(crate) log_lagging: bool,
    /// Whether queries of the other VM don't arrive.
    pub(crate) queries_cut: bool,
    /// Servers that are unreachable for the VM.
    pub(crate) cut: [bool; 2],
    sequence: u64,
    /// Next log offset, availability of the log and length of the VM list at
    /// the last [`Keeper::sync`].
    last_sync: Option<(u64, bool, usize)>,
}

/// A fold that is hashed by its offset only, because the log determines the
/// rest.
#[derive(Clone)]
pub(crate) struct Fold(pub(crate) Arc<State>);

impl std::hash::Hash for Fold {
    fn hash<H: std::hash::Hasher>(&self, output: &mut H) {
        self.0.next_offset().hash(output);
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

/// The VM list. It is not hashed, because the servers determine it.
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
    pub(crate) removed: bool,
    /// Rate of the clock in thousandths.
    clock_rate: u64,
    /// Time when the clock read zero.
    clock_zero: u64,
}

#[derive(Clone, Hash)]
pub(crate) enum Message {
    Command { vm: usize, server: usize, sent: Time, command: Option<Command> },
    Reply { vm: usize, sent: Time, reply: CommandReply },
    Ask { from: usize, to: usize, frame: Frame },
    Answer { from: usize, to: usize, frame: Frame },
    Append { bytes: Arc<[u8]> },
}

/// A fault of one round.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Commands of a VM to a server are dropped.
    DropCommands(usize, usize),
    /// Answers of a server to a VM are dropped.
    DropReplies(usize, usize),
    /// Commands of a VM to a server are delayed.
    DelayCommands(usize, usize),
    /// Commands of a VM to a server arrive at once and again later.
    CopyCommands(usize, usize),
    /// Queries of a VM to the other one are delayed.
    DelayAsks(usize),
    /// Appends of a VM are delayed.
    DelayAppends(usize),
}

#[derive(Clone, Hash)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) log: Log,
    pub(crate) log_up: bool,
    pub(crate) vms: Vec<Vm>,
    pub(crate) servers: Vec<Server>,
    /// Delayed messages.
    pub(crate) delayed: Vec<Message>,
    pub(crate) disabled: DisabledGuard,
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

fn timings(disabled: DisabledGuard) -> Timings {
    let ms = Span::from_millis;
    Timings {
        ttl: ms(2 * ROUND_MS),
        renew_period: ms(ROUND_MS),
        target_timeout: ms(ROUND_MS + ROUND_MS / 2),
        query_period: ms(1),
        max_deadline: ms(ROUND_MS),
        list_absence: ms(ROUND_MS),
        list_lag: ms(5 * ROUND_MS),
        margin_ppm: if disabled == DisabledGuard::ClockMargin { 0 } else { 10_000 },
    }
}

impl World {
    /// Server 0 owns the slice and VM 0 is its keeper; server 1 is the standby
    /// and VM `keeper` is its keeper. Nothing is granted yet. The clock of
    /// server 0 is 1% slow.
    pub(crate) fn ungranted(disabled: DisabledGuard, keeper: usize) -> Self {
        let vms = (0..2).map(|n| new_vm(&format!("vm-{n}"), 1, disabled)).collect();
        let servers = (0..2).map(|n| new_server(&format!("t-{n}"), 990 + 10 * n)).collect();
        let mut world = Self {
            now: 10_000,
            log: Log::default(),
            log_up: true,
            vms,
            servers,
            delayed: Vec::new(),
            disabled,
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
        let row = world.assignment(0, Version(0), Some(1));
        world.append(0, row);
        world.deliver_all();
        world
    }

    /// As [`World::ungranted`], after the slice was granted.
    pub(crate) fn new(disabled: DisabledGuard, keeper: usize) -> Self {
        let mut world = Self::ungranted(disabled, keeper);
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.serves(0) && !world.serves(1), "the start state serves the slice");
        world
    }

    /// As [`World::new`], but VM 0 does not read the log, server 0 is
    /// unreachable for it, it gets no queries if `queries_cut`, and VM 1 has
    /// claimed server 0.
    pub(crate) fn stale_keeper(disabled: DisabledGuard, keeper: usize, queries_cut: bool) -> Self {
        let mut world = Self::new(disabled, keeper);
        world.vms[0].queries_cut = queries_cut;
        world.vms[0].log_lagging = true;
        world.vms[0].cut[0] = true;
        world.claim(1, 0);
        world.deliver_all();
        world
    }

    /// As [`World::stale_keeper`], after VM 1 moved the slice to server 1 and
    /// server 0 became unreachable for VM 1.
    pub(crate) fn moved_by_new_keeper(disabled: DisabledGuard) -> Self {
        let mut world = Self::stale_keeper(disabled, 1, true);
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.move_slice(1, 1, None), "VM 1 moves the slice");
        world.deliver_all();
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.serves(1), "the slice is served by server 1");
        world.vms[1].cut[0] = true;
        world
    }

    /// As [`World::new`], with delayed copies of all commands of VM 0 to server 0.
    pub(crate) fn duplicated_commands(disabled: DisabledGuard) -> Self {
        let mut world = Self::ungranted(disabled, 1);
        (0..2).for_each(|_| world.round(Fault::CopyCommands(0, 0)));
        assert!(world.serves(0), "the slice was granted");
        world
    }

    /// As [`World::new`], while the log is unavailable.
    pub(crate) fn log_down(disabled: DisabledGuard) -> Self {
        let mut world = Self::new(disabled, 1);
        world.log_up = false;
        world
    }

    /// The log is unavailable, the append of a changed standby is delayed,
    /// server 0 was unreachable for a time, and VM 1 does not read the log.
    pub(crate) fn late_append(disabled: DisabledGuard) -> Self {
        let mut world = Self::new(disabled, 1);
        assert!(world.move_slice(0, 0, None), "VM 0 drops the standby");
        world.delayed.extend(world.queue.drain(..));
        world.log_up = false;
        world.vms[1].log_lagging = true;
        world.servers[0].cut = true;
        (0..4).for_each(|_| world.round(Fault::None));
        world.servers[0].cut = false;
        world
    }

    /// A request to take over server 0's slice provisionally is delayed since
    /// the log was unavailable. The slice has moved to server 1 and back since,
    /// and server 1 is the standby again.
    pub(crate) fn late_failover(disabled: DisabledGuard) -> Self {
        let mut world = Self::log_down(disabled);
        world.servers[0].cut = true;
        (0..4).for_each(|_| world.round(Fault::DelayAsks(0)));
        world.delayed.truncate(1);
        assert_eq!(world.delayed.len(), 1, "VM 0 fails the slice over");
        world.end_faults(4);
        assert!(world.serves(1), "the slice moved to the standby");
        assert!(world.move_slice(1, 0, Some(1)), "VM 1 moves the slice back");
        world.deliver_all();
        (0..4).for_each(|_| world.round(Fault::None));
        assert!(world.serves(0), "the slice moved back");
        world
    }

    fn assignment(&self, owner: usize, expects: Version, standby: Option<usize>) -> Change {
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

    /// A VM claims a target, with the version that it has read.
    pub(crate) fn claim(&mut self, vm: usize, server: usize) {
        let target = self.servers[server].id.clone();
        let expects = self.vms[vm].state.0.keeper(&target).map(|k| k.version).unwrap_or_default();
        let claim = Claim { target, expects, keeper: self.vms[vm].id.clone() };
        self.append(vm, Change::Keeper(claim));
    }

    /// Placement moves the slice, or only changes its standby. Returns whether
    /// the keeper allows it.
    pub(crate) fn move_slice(&mut self, vm: usize, to: usize, standby: Option<usize>) -> bool {
        let Some((owner, version)) =
            self.vms[vm].state.0.row(&service(), slice()).map(|r| (r.owner.clone(), r.version))
        else {
            return false;
        };
        let standby = standby.map(|n| self.servers[n].id.clone());
        let to = self.servers[to].id.clone();
        let change = Move { slice: slice(), expects: version, owner: to, standby, provisional: None };
        let now = self.time();
        match self.vms[vm].keeper.move_slice(now, &service(), &owner, change) {
            Ok(change) => self.append(vm, change),
            Err(_) => return false,
        }
        true
    }

    pub(crate) fn time(&self) -> Time {
        Time::from_micros(self.now * 1_000)
    }

    /// Removes a server's VM, and drops it from the list.
    pub(crate) fn remove(&mut self, server: usize) {
        self.servers[server].removed = true;
        self.list = List(Arc::new(self.make_list()));
    }

    fn make_list(&self) -> VmList {
        let entry = |id: &str, role| VmEntry {
            id: id.into(),
            role,
            service: Some(service()),
            zone: "a".parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            admin: None,
            state: VmState::Live,
        };
        let vms = self.vms.iter().map(|vm| entry(vm.id.as_str(), Role::Entry));
        let servers = self.servers.iter().filter(|server| !server.removed);
        VmList { vms: vms.chain(servers.map(|s| entry(s.id.as_str(), Role::Target))).collect() }
    }

    /// Advances the time by one round, with a fault in it.
    pub(crate) fn round(&mut self, fault: Fault) {
        self.now += ROUND_MS;
        self.fault = fault;
        for _ in 0..4 {
            (0..self.vms.len()).for_each(|vm| self.tick(vm));
            if self.queue.is_empty() {
                break;
            }
            self.deliver_all();
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
            self.perform(number, action);
        }
    }

    fn sync(&mut self, number: usize) {
        let (now, list, log_up) = (self.time(), self.list.0.clone(), self.log_up);
        let vm = &mut self.vms[number];
        if log_up && !vm.log_lagging {
            read(Arc::make_mut(&mut vm.state.0), &self.log);
        }
        let view = Some((vm.state.0.next_offset().0, log_up, list.vms.len()));
        if vm.last_sync != view {
            vm.last_sync = view;
            vm.keeper.sync(now, &vm.state.0, &list, log_up);
        }
    }

    fn perform(&mut self, vm: usize, action: Action) {
        let sent = self.time();
        match action {
            Action::Command { target, command } => {
                let server = self.server(&target);
                self.queue.push_back(Message::Command { vm, server, sent, command: Some(command) });
            }
            Action::ReadLease { target } => {
                let server = self.server(&target);
                self.queue.push_back(Message::Command { vm, server, sent, command: None });
            }
            Action::Append(change) => self.append(vm, change),
            Action::Query { vm: to, frame } => {
                let to = usize::from(to == self.vms[1].id);
                self.send_query(vm, to, frame);
            }
            Action::ReadHead => self.read_head(vm),
        }
    }

    fn send_query(&mut self, from: usize, to: usize, frame: Frame) {
        let forged = match (&frame, self.disabled) {
            (Frame::QueryStopped { target, slices }, DisabledGuard::StopCheck) => {
                Some(Frame::Stopped { target: target.clone(), slices: slices.clone() })
            }
            (Frame::AnnounceKeeper { target, keeper, standby }, DisabledGuard::Announcement) => {
                Some(Frame::KeeperAcknowledged {
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
            (None, Frame::FailOver { from: owner, to: standby, slices, .. })
                if self.disabled == DisabledGuard::KeeperFence =>
            {
                let keeper = self.full_state().keeper(&owner).unwrap().fence;
                let frame = Frame::FailOver { from: owner, keeper, to: standby, slices };
                Message::Ask { from, to, frame }
            }
            (None, frame) => Message::Ask { from, to, frame },
        };
        self.queue.push_back(message);
    }

    fn read_head(&mut self, number: usize) {
        let now = self.time();
        if self.disabled != DisabledGuard::LogHead {
            if !self.log_up {
                return;
            }
            read(Arc::make_mut(&mut self.vms[number].state.0), &self.log);
            let (list, vm) = (self.list.0.clone(), &mut self.vms[number]);
            vm.keeper.sync(now, &vm.state.0, &list, true);
        }
        self.vms[number].keeper.finish_head_read(now);
    }

    fn server(&self, target: &TargetId) -> usize {
        usize::from(*target == self.servers[1].id)
    }

    /// Delivers all messages that the fault does not delay.
    pub(crate) fn deliver_all(&mut self) {
        while let Some(message) = self.queue.pop_front() {
            self.apply_fault(message);
        }
    }

    fn apply_fault(&mut self, message: Message) {
        let fault = self.fault;
        match &message {
            Message::Command { vm, server, .. } => match fault {
                Fault::DropCommands(v, s) if (v, s) == (*vm, *server) => return,
                Fault::DelayCommands(v, s) if (v, s) == (*vm, *server) => return self.delayed.push(message),
                Fault::CopyCommands(v, s) if (v, s) == (*vm, *server) => self.delayed.push(message.clone()),
                _ => {}
            },
            Message::Reply { vm, reply, .. } => {
                let server = self.server(&reply.target);
                if fault == Fault::DropReplies(*vm, server) {
                    return;
                }
            }
            Message::Ask { from, .. } if fault == Fault::DelayAsks(*from) => {
                return self.delayed.push(message);
            }
            Message::Append { bytes } => {
                let Fault::DelayAppends(vm) = fault else { return self.deliver(message) };
                let writer = record::decode(bytes).unwrap().writer;
                if writer.id == self.vms[vm].id {
                    return self.delayed.push(message);
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
                    self.vms[vm].keeper.apply_reply(now, sent, &reply);
                }
            }
            Message::Ask { from, to, frame } => {
                let now = self.time();
                if self.vms[to].paused || self.vms[to].queries_cut {
                    return;
                }
                if let Some(frame) = self.vms[to].keeper.answer_query(now, &frame) {
                    self.queue.push_back(Message::Answer { from: to, to: from, frame });
                }
            }
            Message::Answer { from, to, frame } => {
                let (now, id) = (self.time(), self.vms[from].id.clone());
                if !self.vms[to].paused {
                    self.vms[to].keeper.apply_answer(now, &id, &frame);
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
        let disabled = self.disabled;
        let clock = self.clock(number);
        let server = &mut self.servers[number];
        if server.cut || server.removed || self.vms[vm].cut[number] {
            return;
        }
        let reply = match command {
            Some(mut command) => {
                let stamp = command.stamp;
                let newest = server.holder.status(clock).stamp;
                if disabled == DisabledGuard::CommandOrder && stamp <= newest {
                    command.stamp = CommandStamp { number: newest.number + 1, ..newest };
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

    /// Delivers a delayed message.
    pub(crate) fn deliver_delayed(&mut self, number: usize) {
        let message = self.delayed.remove(number);
        self.deliver(message);
        self.deliver_all();
    }

    fn clock(&self, number: usize) -> Time {
        let server = &self.servers[number];
        Time::from_micros((self.now - server.clock_zero) * server.clock_rate)
    }

    /// Returns whether a server would run a request for the slice under some
    /// fence, by its own clock.
    pub(crate) fn serves(&self, number: usize) -> bool {
        let server = &self.servers[number];
        if server.removed {
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

    /// Replaces the process of a server by a new incarnation.
    pub(crate) fn restart_server(&mut self, number: usize) {
        let now = self.now;
        let server = &mut self.servers[number];
        server.boot += 1;
        server.clock_zero = now - 1;
        server.cut = false;
        server.holder = Holder::new(server.id.clone(), server.boot);
    }

    /// Replaces the process of a VM by a new incarnation. It reads the log, or
    /// takes the state of the other VM while the log is unavailable.
    pub(crate) fn restart_vm(&mut self, number: usize) {
        let boot = self.vms[number].boot + 1;
        let mut fresh = new_vm(self.vms[number].id.as_str(), boot, self.disabled);
        if self.log_up {
            read(Arc::make_mut(&mut fresh.state.0), &self.log);
        } else {
            fresh.state = self.vms[1 - number].state.clone();
        }
        self.vms[number] = fresh;
    }

    /// Ends all faults that can end, and runs some rounds.
    pub(crate) fn end_faults(&mut self, rounds: usize) {
        self.log_up = true;
        for vm in &mut self.vms {
            (vm.paused, vm.log_lagging, vm.queries_cut, vm.cut) = (false, false, false, [false; 2]);
        }
        self.servers.iter_mut().for_each(|server| server.cut = false);
        (0..rounds).for_each(|_| self.round(Fault::None));
    }

    /// Returns the fold of the whole log.
    pub(crate) fn full_state(&self) -> State {
        let mut state = State::new();
        read(&mut state, &self.log);
        state
    }
}

fn read(state: &mut State, log: &Log) {
    while let Some(bytes) = log.records.get(usize::try_from(state.next_offset().0).unwrap()) {
        state.apply(state.next_offset(), bytes);
    }
}

fn new_vm(id: &str, boot: u64, disabled: DisabledGuard) -> Vm {
    let id: VmId = id.parse().unwrap();
    let keeper = Keeper::new(id.clone(), boot, timings(disabled));
    Vm {
        id,
        boot,
        keeper,
        state: Fold(Arc::default()),
        paused: false,
        log_lagging: false,
        queries_cut: false,
        cut: [false; 2],
        sequence: 0,
        last_sync: None,
    }
}

fn new_server(id: &str, clock_rate: u64) -> Server {
    let id: TargetId = id.parse().unwrap();
    Server {
        holder: Holder::new(id.clone(), 1),
        id,
        boot: 1,
        cut: false,
        removed: false,
        clock_rate,
        clock_zero: 0,
    }
}
