//! Simulated fleet of entry VMs in virtual time, for the tests of membership
//! and placement.
#![allow(dead_code, unreachable_pub)]

use {
    catkin::{
        api::{Role, VmEntry, VmList, VmState},
        event::Timestamp,
        fold::{State, Verdict},
        member::{Event, MemberChange, Members, TICK_INTERVAL},
        place::{Assigner, Claims, Inputs, Planner, SliceLoads, kept_loads, watch_set},
        record::{self, Assign, Change, Publish, Record, SplitOff, Writer},
        types::{Key, Offset, Revision, Sequence, Service, SliceId, Span, TargetId, Time, VmId, Zone},
        wire::{Datagram, DatagramBody},
    },
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

pub type DropFilter = Box<dyn Fn(&VmId, &VmId) -> bool>;

/// Entry VMs on a network that delivers within a tick: a round trip between
/// zones takes about 1 ms, which is far below a tick.
pub struct Net {
    pub now: Time,
    pub list: VmList,
    pub members: BTreeMap<VmId, Members>,
    pub changes: Vec<(Time, VmId, MemberChange)>,
    pub datagrams: usize,
    /// Whether a datagram from the first VM to the second one is dropped.
    pub drop_filter: DropFilter,
    in_flight: VecDeque<(VmId, VmId, DatagramBody)>,
}

pub fn vm(number: usize) -> VmId {
    VmId::new(format!("gw-{number:04}")).unwrap()
}

pub fn zone(number: usize) -> Zone {
    Zone::new(format!("z{number}")).unwrap()
}

pub fn list_entry(id: &str, role: Role, zone: Zone) -> VmEntry {
    VmEntry {
        id: id.into(),
        role,
        service: None,
        zone,
        addr: "127.0.0.1:1".parse().unwrap(),
        admin: None,
        state: VmState::Live,
    }
}

impl Net {
    pub fn new(count: usize, zones: usize) -> Self {
        let rows = (0..count).map(|n| list_entry(vm(n).as_str(), Role::Entry, zone(n % zones)));
        let mut net = Self {
            now: Time::from_micros(1),
            list: VmList { vms: rows.collect() },
            members: BTreeMap::new(),
            changes: Vec::new(),
            datagrams: 0,
            drop_filter: Box::new(|_, _| false),
            in_flight: VecDeque::new(),
        };
        for number in 0..count {
            net.start(&vm(number), zone(number % zones), 1);
        }
        net
    }

    pub fn start(&mut self, vm: &VmId, zone: Zone, boot: u64) {
        let mut members = Members::new(vm.clone(), boot, zone);
        members.sync(&self.list);
        members.take_changes();
        self.members.insert(vm.clone(), members);
    }

    pub fn stop(&mut self, vm: &VmId) {
        self.members.remove(vm);
    }

    pub fn sync(&mut self) {
        for members in self.members.values_mut() {
            members.sync(&self.list);
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now.after(span);
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now.after(TICK_INTERVAL);
        for (from, members) in &mut self.members {
            let sends = members.tick(self.now);
            self.in_flight.extend(sends.into_iter().map(|(to, body)| (from.clone(), to, body)));
        }
        while let Some((from, to, body)) = self.in_flight.pop_front() {
            self.deliver(from, to, body);
        }
        for (vm, members) in &mut self.members {
            self.changes.extend(members.take_changes().into_iter().map(|c| (self.now, vm.clone(), c)));
        }
    }

    fn deliver(&mut self, from: VmId, to: VmId, body: DatagramBody) {
        self.datagrams += 1;
        if (self.drop_filter)(&from, &to) {
            return;
        }
        let sender = &self.members[&from];
        let datagram = Datagram {
            from: from.clone(),
            boot: sender.boot(),
            stamp: Timestamp::default(),
            offset: Offset(0),
            revision: Revision(0),
            leaving: sender.is_leaving(&from),
            body,
        };
        let Some(members) = self.members.get_mut(&to) else { return };
        let answers = members.receive(self.now, &from, &datagram);
        self.in_flight.extend(answers.into_iter().map(|(next, body)| (to.clone(), next, body)));
    }

    pub fn events(&self, event: Event) -> Vec<&(Time, VmId, MemberChange)> {
        self.changes.iter().filter(|(_, _, change)| change.event == event).collect()
    }
}

/// A log whose records are read at once.
#[derive(Clone)]
pub struct Log {
    pub state: State,
    next: Offset,
    sequence: BTreeMap<VmId, Sequence>,
}

impl Log {
    /// Creates a log with the configuration of one keyed service.
    pub fn new(slices: u32) -> Self {
        let mut log = Self { state: State::new(), next: Offset(1), sequence: BTreeMap::new() };
        let text = format!("services:\n  plans:\n    keyed: true\n    slices: {slices}\n");
        let expects = Revision::default();
        let publish = Publish { expects, author: "test".into(), text: text.into() };
        assert!(log.append(&vm(9_999), Change::Config(publish)).is_accepted());
        log
    }

    pub fn append(&mut self, writer: &VmId, change: Change) -> Verdict {
        let sequence = self.sequence.entry(writer.clone()).or_default();
        *sequence = sequence.next();
        let writer = Writer { id: writer.clone(), boot: 1 };
        let bytes = record::encode(&Record { writer, sequence: *sequence, change }).unwrap();
        self.next = self.next.next();
        self.state.apply(self.next, &bytes)
    }
}

pub fn plans() -> Service {
    Service::new("plans").unwrap()
}

pub fn server(number: usize) -> TargetId {
    TargetId::new(format!("plans-{number:04}")).unwrap()
}

/// Adds target servers to the list.
pub fn add_servers(list: &mut VmList, numbers: std::ops::Range<usize>, zones: usize) {
    list.vms.extend(numbers.map(|n| VmEntry {
        service: Some(plans()),
        ..list_entry(server(n).as_str(), Role::Target, zone(n % zones))
    }));
}

/// Entry VMs, a log and the claims of every VM.
pub struct Fleet {
    pub net: Net,
    pub log: Log,
    pub claims: BTreeMap<VmId, Claims>,
    pub accepted: usize,
    pub refused: usize,
}

impl Fleet {
    pub fn new(vms: usize, servers: usize, zones: usize, slices: u32) -> Self {
        let mut net = Net::new(vms, zones);
        add_servers(&mut net.list, 0..servers, zones);
        net.sync();
        let claims = net.members.keys().map(|vm| (vm.clone(), Claims::new(vm.clone()))).collect();
        Self { net, log: Log::new(slices), claims, accepted: 0, refused: 0 }
    }

    /// Runs the network and lets every VM append its claims at each tick.
    pub fn run(&mut self, span: Span) {
        let end = self.net.now.after(span);
        while self.net.now < end {
            self.net.step();
            self.claim();
            self.watch();
        }
    }

    fn watch(&mut self) {
        for (vm, members) in &mut self.net.members {
            members.watch(watch_set(vm, &self.log.state, &self.net.list, members));
        }
    }

    fn claim(&mut self) {
        let mut claims = Vec::new();
        for (vm, members) in &self.net.members {
            let own = self.claims.entry(vm.clone()).or_insert_with(|| Claims::new(vm.clone()));
            let due = own.claims(self.net.now, &self.log.state, &self.net.list, members);
            claims.extend(due.into_iter().map(|claim| (vm.clone(), claim)));
        }
        for (vm, claim) in claims {
            let verdict = self.log.append(&vm, Change::Keeper(claim));
            if verdict.is_accepted() { self.accepted += 1 } else { self.refused += 1 }
        }
    }

    /// Proposes first owners from every VM and appends them.
    pub fn assign(&mut self) {
        let mut assigns = Vec::new();
        for (vm, members) in &self.net.members {
            let mut assigner = Assigner::new(vm.clone());
            let due = assigner.assign(self.net.now, &self.log.state, &self.net.list, members);
            assigns.extend(due.into_iter().map(|assign| (vm.clone(), assign)));
        }
        for (vm, assign) in assigns {
            assert!(self.log.append(&vm, Change::Assign(assign)).is_accepted());
        }
    }

    /// Returns the zone of a server or VM of the list.
    pub fn zone_of(&self, id: &str) -> Zone {
        self.net.list.vms.iter().find(|row| row.id.as_ref() == id).unwrap().zone.clone()
    }
}

/// A fleet that plans moves and appends them, with the load of each slice
/// given by a function.
pub struct Planning {
    pub fleet: Fleet,
    pub planners: BTreeMap<VmId, Planner>,
    pub loads: BTreeMap<VmId, SliceLoads>,
    pub rate: Box<dyn Fn(SliceId) -> f64>,
    pub lost: BTreeSet<TargetId>,
    /// New owners in the last round.
    pub moved: usize,
    /// Replaced standbys in the last round.
    pub replaced: usize,
    /// Split-off keys of the last round.
    pub split_offs: Vec<SplitOff>,
}

const ROUND_SPAN: Span = Span::from_millis(500);
/// Rounds without a move after which planning has settled: longer than the
/// 10 s for which a moved slice is not moved again.
const SETTLED_ROUNDS: usize = 22;

impl Planning {
    pub fn new(vms: usize, servers: usize, zones: usize, slices: u32) -> Self {
        let mut fleet = Fleet::new(vms, servers, zones, slices);
        fleet.run(Span::from_millis(500));
        fleet.assign();
        let all = || fleet.net.members.keys().cloned();
        Self {
            planners: all().map(|vm| (vm.clone(), Planner::new(vm))).collect(),
            loads: all().map(|vm| (vm, SliceLoads::new())).collect(),
            rate: Box::new(|_| 0.0),
            lost: BTreeSet::new(),
            moved: 0,
            replaced: 0,
            split_offs: Vec::new(),
            fleet,
        }
    }

    /// Records the loads of one round and lets every VM plan and append.
    pub fn round(&mut self) {
        self.fleet.run(ROUND_SPAN);
        let now = self.fleet.net.now;
        let state = &self.fleet.log.state;
        let key = Key::new("any").unwrap();
        for (service, slice, row) in state.rows() {
            let Some(loads) = state.keeper(&row.owner).and_then(|k| self.loads.get_mut(&k.vm)) else {
                continue;
            };
            let weight = (self.rate)(slice) * ROUND_SPAN.as_secs_f64();
            if weight > 0.0 {
                loads.record(now, service, slice, &key, weight);
            }
        }
        self.plan();
    }

    pub fn totals(&self) -> BTreeMap<TargetId, f64> {
        let parts =
            self.loads.iter().map(|(vm, l)| kept_loads(self.fleet.net.now, &self.fleet.log.state, l, vm));
        parts.flatten().collect()
    }

    pub fn plan(&mut self) {
        let (now, totals) = (self.fleet.net.now, self.totals());
        let (state, list) = (&self.fleet.log.state, &self.fleet.net.list);
        let mut plans = Vec::new();
        for (vm, members) in &self.fleet.net.members {
            let loads = self.loads.entry(vm.clone()).or_default();
            loads.sweep(now);
            let planner = self.planners.entry(vm.clone()).or_insert_with(|| Planner::new(vm.clone()));
            let inputs = Inputs {
                state,
                list,
                members,
                loads,
                totals: &totals,
                unreachable: &self.lost,
                unsettled: &BTreeSet::new(),
            };
            plans.push((vm.clone(), planner.plan(now, &inputs)));
        }
        (self.moved, self.replaced) = (0, 0);
        self.split_offs.clear();
        for (vm, plan) in plans {
            self.split_offs.extend(plan.split_offs);
            for assign in plan.assigns {
                self.append(&vm, assign);
            }
        }
    }

    fn append(&mut self, vm: &VmId, assign: Assign) {
        for change in &assign.moves {
            let row = self.fleet.log.state.row(&assign.service, change.slice).unwrap();
            if row.owner == change.owner { self.replaced += 1 } else { self.moved += 1 }
        }
        assert!(self.fleet.log.append(vm, Change::Assign(assign)).is_accepted());
    }

    /// Plans until nothing moves for [`SETTLED_ROUNDS`] rounds, and returns the
    /// number of new owners.
    pub fn settle(&mut self, rounds: usize) -> usize {
        let (mut moved, mut idle_rounds) = (0, 0);
        for _ in 0..rounds {
            self.round();
            moved += self.moved;
            idle_rounds = if self.moved + self.replaced == 0 { idle_rounds + 1 } else { 0 };
            if idle_rounds == SETTLED_ROUNDS {
                return moved;
            }
        }
        panic!("moves after {rounds} rounds");
    }

    pub fn counts(&self) -> BTreeMap<TargetId, usize> {
        let mut counts = BTreeMap::new();
        for (_, _, row) in self.fleet.log.state.rows() {
            *counts.entry(row.owner.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the largest load of a server relative to the mean, from the true
    /// loads.
    pub fn imbalance(&self) -> f64 {
        let mut loads: BTreeMap<&TargetId, f64> = BTreeMap::new();
        for (_, slice, row) in self.fleet.log.state.rows() {
            *loads.entry(&row.owner).or_default() += (self.rate)(slice);
        }
        let mean = loads.values().sum::<f64>() / loads.len() as f64;
        loads.values().copied().fold(0.0, f64::max) / mean
    }

    pub fn leave(&mut self, server: &TargetId) {
        let rows = self.fleet.net.list.vms.iter_mut();
        rows.filter(|row| *row.id == *server.as_str()).for_each(|row| row.state = VmState::Leaving);
        self.fleet.net.sync();
    }

    /// Checks that owner and standby of every slice are in two zones, and
    /// returns for how many the keeper is in a third zone.
    pub fn count_three_zones(&self) -> usize {
        let mut three = 0;
        for (_, slice, row) in self.fleet.log.state.rows() {
            let Some(standby) = &row.standby else { continue };
            let keeper = &self.fleet.log.state.keeper(&row.owner).unwrap().vm;
            let [owner, standby, keeper] =
                [row.owner.as_str(), standby.as_str(), keeper.as_str()].map(|id| self.fleet.zone_of(id));
            assert_ne!(owner, standby, "slice {slice}");
            three += usize::from(keeper != owner && keeper != standby);
        }
        three
    }
}
