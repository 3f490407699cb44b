//! Simulation of keepers, servers and a log in virtual time, with fixed
//! latencies.

use {
    catkin::{
        api::{Command, CommandReply, FencedSlice, Operation, Role, VmEntry, VmList, VmState},
        append::Appender,
        fold::State,
        lease::{Action, Holder, Keeper, Timings},
        record::{Assign, Change, Claim, Move, Publish, Writer},
        types::{Offset, Revision, Service, SliceId, TargetId, Time, Version, VmId},
        wire::Frame,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Time between two ticks of a gateway, in milliseconds.
const TICK_MS: u64 = 10;
/// One-way latency between two processes.
const HOP_MS: u64 = 1;
/// Latency of an append and of its answer, and of a read, each one way.
const LOG_HOP_MS: u64 = 15;

pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) keeper: Keeper,
    pub(crate) state: State,
    pub(crate) up: bool,
    pub(crate) paused: bool,
    appender: Appender,
}

pub(crate) struct Server {
    pub(crate) id: TargetId,
    pub(crate) holder: Holder,
    /// Whether messages reach it. Its clock always runs.
    pub(crate) reachable: bool,
}

enum Event {
    Command { vm: usize, server: usize, sent: u64, command: Option<Command> },
    Reply { vm: usize, sent: u64, reply: CommandReply },
    Ask { from: usize, to: usize, frame: Frame },
    Answer { from: usize, to: usize, frame: Frame },
    Append { vm: usize, bytes: Vec<u8> },
    Appended { vm: usize, offset: Offset },
    Read { vm: usize, head: Option<u64>, end: usize },
}

pub(crate) struct Sim {
    /// Virtual time in milliseconds.
    pub(crate) now: u64,
    pub(crate) vms: Vec<Vm>,
    pub(crate) servers: Vec<Server>,
    pub(crate) log: Vec<Vec<u8>>,
    pub(crate) log_up: bool,
    pub(crate) removed: BTreeSet<usize>,
    pub(crate) removed_vms: BTreeSet<usize>,
    /// Number of commands and bytes as JSON, under `renew` or `other`. The bytes
    /// of all answers count under `renew`, if a renewal was sent before.
    pub(crate) traffic: BTreeMap<&'static str, (u64, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
}

pub(crate) fn service() -> Service {
    "plan".parse().unwrap()
}

pub(crate) fn time(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

impl Sim {
    /// Assigns slices to servers round robin. The keeper of server `n` is VM
    /// `n + 1` and its standby server `n + 2`, so that the three are in three
    /// zones if there are three.
    pub(crate) fn new(vms: usize, servers: usize, slices: u32, fenced: bool) -> Self {
        let vms = (0..vms).map(|n| new_vm(&format!("vm-{n}"))).collect();
        let servers = (0..servers).map(|n| new_server(&format!("t-{n}"))).collect();
        let mut sim = Self {
            now: 10_000,
            vms,
            servers,
            log: Vec::new(),
            log_up: true,
            removed: BTreeSet::new(),
            removed_vms: BTreeSet::new(),
            traffic: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
        };
        let text = format!("services: {{plan: {{keyed: true, slices: {slices}, fenced: {fenced}}}}}");
        let publish = Publish { expects: Revision(0), author: "op".into(), text: text.into() };
        sim.push(0, Change::Config(publish));
        sim.run(100);
        for server in 0..sim.servers.len() {
            sim.claim((server + 1) % sim.vms.len(), server);
        }
        let moves = (0..slices).map(|slice| sim.first_owner(slice)).collect();
        sim.push(0, Change::Assign(Assign { service: service(), moves }));
        sim.run(2_000);
        sim
    }

    fn first_owner(&self, slice: u32) -> Move {
        let count = self.servers.len();
        let owner = slice as usize % count;
        Move {
            slice: SliceId(slice),
            expects: Version(0),
            owner: self.servers[owner].id.clone(),
            standby: Some(self.servers[(owner + 2) % count].id.clone()),
            provisional: None,
        }
    }

    pub(crate) fn push(&mut self, vm: usize, change: Change) {
        self.vms[vm].appender.push(change).unwrap();
    }

    pub(crate) fn claim(&mut self, vm: usize, server: usize) {
        let target = self.servers[server].id.clone();
        let expects = self.vms[vm].state.keeper(&target).map(|k| k.version).unwrap_or_default();
        let keeper = self.vms[vm].id.clone();
        self.push(vm, Change::Keeper(Claim { target, expects, keeper }));
    }

    /// Replaces the process of a VM by a new incarnation that has read the log.
    pub(crate) fn restart(&mut self, vm: usize) {
        let old = &self.vms[vm];
        let (id, state, boot) = (old.id.clone(), old.state.clone(), old.appender.writer().boot + 1);
        let keeper = Keeper::new(id.clone(), boot, Timings::default());
        let appender = Appender::new(Writer { id: id.clone(), boot });
        self.vms[vm] = Vm { id, keeper, state, up: true, paused: false, appender };
    }

    /// Advances the time, one millisecond at a time.
    pub(crate) fn run(&mut self, ms: u64) {
        self.run_with(ms, |_| {});
    }

    /// Advances the time and calls `observe` after every millisecond.
    pub(crate) fn run_with(&mut self, ms: u64, mut observe: impl FnMut(&Self)) {
        for _ in 0..ms {
            self.now += 1;
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let event = entry.remove();
                self.handle(event);
            }
            for vm in 0..self.vms.len() {
                if (self.now + vm as u64).is_multiple_of(TICK_MS) && self.runs(vm) {
                    self.tick(vm);
                }
            }
            observe(self);
        }
    }

    fn runs(&self, vm: usize) -> bool {
        self.vms[vm].up && !self.vms[vm].paused
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn tick(&mut self, number: usize) {
        let (now, list, log_up, end) = (time(self.now), self.list(), self.log_up, self.log.len());
        let vm = &mut self.vms[number];
        vm.keeper.sync(now, &vm.state, &list, log_up);
        let actions = vm.keeper.tick(now);
        if log_up {
            self.schedule(LOG_HOP_MS, Event::Read { vm: number, head: None, end });
        }
        actions.into_iter().for_each(|action| self.act(number, action));
        if let Some(bytes) = self.vms[number].appender.next_bytes().map(<[u8]>::to_vec) {
            self.schedule(LOG_HOP_MS, Event::Append { vm: number, bytes });
        }
    }

    fn act(&mut self, vm: usize, action: Action) {
        let sent = self.now;
        match action {
            Action::Command { target, command } => {
                self.count(&command);
                let server = self.server_index(&target);
                self.schedule(HOP_MS, Event::Command { vm, server, sent, command: Some(command) });
            }
            Action::ReadLease { target } => {
                let server = self.server_index(&target);
                self.schedule(HOP_MS, Event::Command { vm, server, sent, command: None });
            }
            Action::Append(change) => self.push(vm, change),
            Action::Query { vm: to, frame } => {
                let to = self.vms.iter().position(|vm| vm.id == to).unwrap();
                self.schedule(HOP_MS, Event::Ask { from: vm, to, frame });
            }
            Action::ReadHead if self.log_up => {
                let end = self.log.len();
                self.schedule(LOG_HOP_MS, Event::Read { vm, head: Some(sent), end });
            }
            Action::ReadHead => {}
        }
    }

    fn count(&mut self, command: &Command) {
        let name = match command.order {
            Operation::Renew { .. } => "renew",
            _ => "other",
        };
        let bytes = serde_json::to_vec(command).unwrap().len() as u64;
        let entry = self.traffic.entry(name).or_default();
        *entry = (entry.0 + 1, entry.1 + bytes);
    }

    fn server_index(&self, target: &TargetId) -> usize {
        self.servers.iter().position(|server| server.id == *target).unwrap()
    }

    fn handle(&mut self, event: Event) {
        let now = time(self.now);
        match event {
            Event::Command { vm, server, sent, command } if self.servers[server].reachable => {
                let holder = &mut self.servers[server].holder;
                let reply = match command {
                    Some(command) => holder.command(now, &command),
                    None => holder.status(now),
                };
                if let Some((_, bytes)) = self.traffic.get_mut("renew") {
                    *bytes += serde_json::to_vec(&reply).unwrap().len() as u64;
                }
                self.schedule(HOP_MS, Event::Reply { vm, sent, reply });
            }
            Event::Reply { vm, sent, reply } if self.runs(vm) => {
                self.vms[vm].keeper.apply_reply(now, time(sent), &reply);
            }
            Event::Ask { from, to, frame } if self.runs(to) => {
                if let Some(frame) = self.vms[to].keeper.answer_query(now, &frame) {
                    self.schedule(HOP_MS, Event::Answer { from: to, to: from, frame });
                }
            }
            Event::Answer { from, to, frame } if self.runs(to) => {
                let from = self.vms[from].id.clone();
                self.vms[to].keeper.apply_answer(now, &from, &frame);
            }
            Event::Append { vm, bytes } => self.append(vm, bytes),
            Event::Appended { vm, offset } => self.vms[vm].appender.appended(offset),
            Event::Read { vm, head, end } if self.runs(vm) => self.read(vm, head, end),
            _ => {}
        }
    }

    fn append(&mut self, vm: usize, bytes: Vec<u8>) {
        if !self.log_up {
            let error = catkin::Error::new(catkin::Code::LogUnavailable, "down");
            return self.vms[vm].appender.failed(&error);
        }
        self.log.push(bytes);
        let offset = Offset(self.log.len() as u64 - 1);
        self.schedule(LOG_HOP_MS, Event::Appended { vm, offset });
    }

    fn read(&mut self, number: usize, head: Option<u64>, end: usize) {
        let (now, list, log_up) = (time(self.now), self.list(), self.log_up);
        let vm = &mut self.vms[number];
        while vm.state.next_offset().0 < end as u64 {
            let offset = vm.state.next_offset();
            let verdict = vm.state.apply(offset, &self.log[offset.0 as usize]);
            vm.appender.observe(verdict);
        }
        if let Some(began) = head {
            vm.keeper.sync(now, &vm.state, &list, log_up);
            vm.keeper.finish_head_read(time(began));
        }
    }

    fn list(&self) -> VmList {
        let entry = |id: &str, role| VmEntry {
            id: id.into(),
            role,
            service: Some(service()),
            zone: "a".parse().unwrap(),
            addr: "127.0.0.1:1".parse().unwrap(),
            admin: None,
            state: VmState::Live,
        };
        let vms = self.vms.iter().enumerate().filter(|(n, _)| !self.removed_vms.contains(n));
        let servers = self.servers.iter().enumerate().filter(|(n, _)| !self.removed.contains(n));
        let vms = vms.map(|(_, vm)| entry(vm.id.as_str(), Role::Entry));
        VmList { vms: vms.chain(servers.map(|(_, s)| entry(s.id.as_str(), Role::Target))).collect() }
    }

    /// Returns what the servers hold by their own clocks, reachable or not.
    pub(crate) fn holdings(&self) -> Vec<(usize, FencedSlice)> {
        let now = time(self.now);
        let leased = self.servers.iter().enumerate().filter(|(_, server)| server.holder.is_leased(now));
        let held = leased.flat_map(|(n, server)| {
            let held = server.holder.clone().status(now).slices;
            held.into_iter().map(move |held| (n, held))
        });
        held.collect()
    }

    /// Returns whether the keeper of a server would send it a request under a
    /// grant, and the server is reachable.
    pub(crate) fn is_served(&self, server: usize, held: FencedSlice) -> bool {
        let now = time(self.now);
        let server = &self.servers[server];
        let grant = Some((held.slice, held.fence));
        let sends = |vm: &Vm| vm.up && !vm.paused && vm.keeper.admit(now, &server.id, grant).is_ok();
        server.reachable && self.vms.iter().any(sends)
    }

    /// Returns the slices that the log assigns to a server.
    pub(crate) fn owned(&self, server: usize) -> Vec<SliceId> {
        let id = &self.servers[server].id;
        self.vms[0].state.rows().filter(|(_, _, row)| row.owner == *id).map(|(_, slice, _)| slice).collect()
    }

    /// Returns the number of records that assign slices.
    pub(crate) fn assigns(&self) -> usize {
        let assign = |bytes: &&Vec<u8>| {
            catkin::record::decode(bytes).is_ok_and(|record| matches!(record.change, Change::Assign(_)))
        };
        self.log.iter().filter(assign).count()
    }
}

fn new_vm(id: &str) -> Vm {
    let id: VmId = id.parse().unwrap();
    let keeper = Keeper::new(id.clone(), 1, Timings::default());
    let appender = Appender::new(Writer { id: id.clone(), boot: 1 });
    Vm { id, keeper, state: State::new(), up: true, paused: false, appender }
}

fn new_server(id: &str) -> Server {
    let id: TargetId = id.parse().unwrap();
    Server { holder: Holder::new(id.clone(), 1), id, reachable: true }
}
