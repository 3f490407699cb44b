//! Simulation in virtual time of a fleet whose VMs plan the placement of
//! slices. Moves take effect at once.

use {
    crate::{
        keys::{Keys, routing_key},
        measure::Measure,
        place::{keys, median},
    },
    catkin::{
        api::{Role, VmEntry, VmList, VmState},
        fold::State,
        member::Members,
        place::{Assigner, Claims, Inputs, Plan, Planner, SliceLoads, kept_loads, watch_set},
        record::{self, Assign, Change, Publish, Record, SplitOff, Writer},
        types::{Offset, Revision, Sequence, Service, SliceId, Span, TargetId, Time, VmId, Zone},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        hint::black_box,
        time::Instant,
    },
};

const INCARNATION: u64 = 1;

/// Size of a fleet and its load.
pub(crate) struct Size {
    /// Name in the names of measures.
    pub(crate) name: &'static str,
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    pub(crate) zones: usize,
    /// Slices of the service at the start.
    pub(crate) slices: usize,
    /// Exponent of the Zipf distribution of the keys.
    pub(crate) exponent: f64,
    /// Number of keys with any load.
    pub(crate) keys: f64,
}

/// Changes of one planner round.
#[derive(Default)]
pub(crate) struct RoundChanges {
    /// Slices that got another owner.
    pub(crate) moved: usize,
    /// Moved slices whose old owner is leaving or whose new owner joined last.
    pub(crate) handed_over: usize,
    /// Slices that only got another standby.
    pub(crate) repaired: usize,
    /// Keys that were split off.
    pub(crate) split_off: usize,
}

pub(crate) struct Fleet {
    now: Time,
    state: State,
    sequences: BTreeMap<VmId, Sequence>,
    list: VmList,
    members: BTreeMap<VmId, Members>,
    planners: BTreeMap<VmId, Planner>,
    loads: BTreeMap<VmId, SliceLoads>,
    keys: Keys,
    /// True request rates by slice number.
    rates: Vec<f64>,
    zones: usize,
    /// Number of slices without those of keys that were split off.
    base_slices: usize,
    /// Number of the server that joins next.
    next_server: usize,
    /// Server that joined last.
    joined: Option<TargetId>,
}

fn vm(number: usize) -> VmId {
    VmId::new(format!("entry-{number:04}")).unwrap_or_else(|e| unreachable!("{e}"))
}

fn plans_service() -> Service {
    Service::new("plans").unwrap_or_else(|e| unreachable!("{e}"))
}

fn list_row(id: String, role: Role, zone: usize) -> VmEntry {
    VmEntry {
        id: id.into(),
        role,
        service: (role == Role::Target).then(plans_service),
        zone: Zone::new(format!("zone-{zone}")).unwrap_or_else(|e| unreachable!("{e}")),
        addr: ([127, 0, 0, 1], 1).into(),
        admin: None,
        state: VmState::Live,
    }
}

impl Fleet {
    /// Makes a fleet in which all targets have keepers and all slices owners.
    pub(crate) fn new(seed: u64, size: &Size) -> Self {
        let entries = (0..size.vms).map(|n| list_row(vm(n).to_string(), Role::Entry, n % size.zones));
        let servers =
            (0..size.servers).map(|n| list_row(format!("plans-{n:04}"), Role::Target, n % size.zones));
        let list = VmList { vms: entries.chain(servers).collect() };
        let member = |number: usize| {
            let zone = list.vms[number].zone.clone();
            (vm(number), Members::new(vm(number), INCARNATION, zone))
        };
        let mut fleet = Self {
            now: Time::from_micros(1_000_000),
            state: State::new(),
            sequences: BTreeMap::new(),
            members: (0..size.vms).map(member).collect(),
            planners: (0..size.vms).map(|n| (vm(n), Planner::new(vm(n)))).collect(),
            loads: (0..size.vms).map(|n| (vm(n), SliceLoads::new())).collect(),
            keys: keys(seed, size),
            rates: Vec::new(),
            zones: size.zones,
            base_slices: size.slices,
            next_server: size.servers,
            joined: None,
            list,
        };
        fleet.sync();
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        let text = format!("services:\n  plans:\n    keyed: true\n    slices: {}\n", self.base_slices);
        let expects = Revision::default();
        self.append(&vm(0), Change::Config(Publish { expects, author: "bench".into(), text: text.into() }));
        self.claim();
        let mut assigns = Vec::new();
        for (vm, members) in &self.members {
            let mut assigner = Assigner::new(vm.clone());
            let due = assigner.assign(self.now, &self.state, &self.list, members);
            assigns.extend(due.into_iter().map(|assign| (vm.clone(), assign)));
        }
        for (vm, assign) in assigns {
            self.append(&vm, Change::Assign(assign));
        }
        self.update_rates();
    }

    fn sync(&mut self) {
        self.members.values_mut().for_each(|members| members.sync(&self.list));
    }

    /// Lets every VM claim the targets without a keeper that it is to keep.
    fn claim(&mut self) {
        let mut claims = Vec::new();
        for (vm, members) in &self.members {
            let due = Claims::new(vm.clone()).claims(self.now, &self.state, &self.list, members);
            claims.extend(due.into_iter().map(|claim| (vm.clone(), claim)));
        }
        for (vm, claim) in claims {
            self.append(&vm, Change::Keeper(claim));
        }
    }

    fn append(&mut self, writer: &VmId, change: Change) -> bool {
        let sequence = self.sequences.entry(writer.clone()).or_default();
        *sequence = sequence.next();
        let writer = Writer { id: writer.clone(), boot: INCARNATION };
        let record = Record { writer, sequence: *sequence, change };
        let bytes = record::encode(&record).unwrap_or_else(|e| unreachable!("{e}"));
        self.state.apply(self.state.next_offset().max(Offset(1)), &bytes).is_accepted()
    }

    fn update_rates(&mut self) {
        let service = plans_service();
        let slice_of = |key| self.state.slice(&service, &routing_key(key)).unwrap_or_default();
        self.rates = self.keys.slice_rates(self.base_slices, slice_of);
    }

    /// Counts the requests of a span at the keepers of the slice owners.
    pub(crate) fn note_requests(&mut self, span: Span) {
        self.now = self.now.after(span);
        let service = plans_service();
        let mut uncounted = self.rates.clone();
        let mut counts = Vec::new();
        for (key, rate) in self.keys.hottest().collect::<Vec<_>>() {
            let key = routing_key(key);
            let slice = self.state.slice(&service, &key).unwrap_or_default();
            uncounted[slice.0 as usize] -= rate;
            counts.push((slice, key, self.keys.draw_count(rate * span.as_secs_f64())));
        }
        for (slice, rate) in uncounted.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
            let slice = SliceId(u32::try_from(slice).unwrap_or(u32::MAX));
            counts.push((slice, routing_key(u32::MAX), self.keys.draw_count(rate * span.as_secs_f64())));
        }
        for (slice, key, count) in counts.into_iter().filter(|(.., count)| *count > 0.0) {
            let keeper = self.state.row(&service, slice).and_then(|row| self.state.keeper(&row.owner));
            let Some(loads) = keeper.and_then(|keeper| self.loads.get_mut(&keeper.vm)) else { continue };
            loads.record(self.now, &service, slice, &key, count);
        }
        self.loads.values_mut().for_each(|loads| loads.sweep(self.now));
    }

    /// Returns the loads of all targets as measured by their keepers.
    pub(crate) fn totals(&self) -> BTreeMap<TargetId, f64> {
        let parts = self.loads.iter().map(|(vm, loads)| kept_loads(self.now, &self.state, loads, vm));
        parts.flatten().collect()
    }

    /// Counts the requests of a span, then lets every VM plan and carries out the
    /// plans.
    pub(crate) fn round(&mut self, span: Span) -> RoundChanges {
        self.note_requests(span);
        let totals = self.totals();
        let mut planned = Vec::new();
        for (vm, planner) in &mut self.planners {
            let inputs = Inputs {
                state: &self.state,
                list: &self.list,
                members: &self.members[vm],
                loads: &self.loads[vm],
                totals: &totals,
                unreachable: &BTreeSet::new(),
                unsettled: &BTreeSet::new(),
            };
            planned.push((vm.clone(), planner.plan(self.now, &inputs)));
        }
        let mut changes = RoundChanges::default();
        for (vm, plan) in planned {
            self.carry_out(&vm, plan, &mut changes);
        }
        if changes.split_off > 0 {
            self.update_rates();
        }
        changes
    }

    fn carry_out(&mut self, vm: &VmId, plan: Plan, changes: &mut RoundChanges) {
        for split_off in plan.split_offs {
            let SplitOff { service, .. } = &split_off;
            debug_assert_eq!(*service, plans_service());
            changes.split_off += usize::from(self.append(vm, Change::SplitOff(split_off)));
        }
        for assign in plan.assigns {
            self.count(&assign, changes);
            self.append(vm, Change::Assign(assign));
        }
    }

    fn count(&self, assign: &Assign, changes: &mut RoundChanges) {
        for change in &assign.moves {
            let Some(row) = self.state.row(&assign.service, change.slice) else { continue };
            let leaving = |target: &TargetId| {
                self.list.vms.iter().any(|row| *row.id == *target.as_str() && row.state == VmState::Leaving)
            };
            if row.owner == change.owner {
                changes.repaired += 1;
                continue;
            }
            changes.moved += 1;
            changes.handed_over +=
                usize::from(Some(&change.owner) == self.joined.as_ref() || leaving(&row.owner));
        }
    }

    /// Returns the true load and the number of slices of each server.
    fn server_sums(&self) -> (HashMap<&TargetId, f64>, HashMap<&TargetId, f64>) {
        let (mut loads, mut counts) = (HashMap::new(), HashMap::new());
        for (_, slice, row) in self.state.rows() {
            *loads.entry(&row.owner).or_default() +=
                self.rates.get(slice.0 as usize).copied().unwrap_or_default();
            *counts.entry(&row.owner).or_default() += 1.0;
        }
        (loads, counts)
    }

    /// Returns the ratio of the largest true load of a server to the mean.
    pub(crate) fn load_imbalance(&self) -> f64 {
        self.imbalance(&self.server_sums().0)
    }

    /// Returns the ratio of the largest number of slices of a server to the mean.
    pub(crate) fn count_imbalance(&self) -> f64 {
        self.imbalance(&self.server_sums().1)
    }

    fn imbalance(&self, server_sums: &HashMap<&TargetId, f64>) -> f64 {
        let max = server_sums.values().copied().fold(0.0, f64::max);
        max / (server_sums.values().sum::<f64>() / self.servers() as f64)
    }

    /// Returns the number of servers that are not leaving.
    pub(crate) fn servers(&self) -> usize {
        let is_live = |row: &&VmEntry| row.role == Role::Target && row.state == VmState::Live;
        self.list.vms.iter().filter(is_live).count()
    }

    /// Returns the number of slices, with those of keys that were split off.
    pub(crate) fn slices(&self) -> usize {
        self.state.rows().count()
    }

    /// Swaps the rates of the `count` hottest keys with those of colder keys.
    pub(crate) fn change_hottest(&mut self, count: usize) {
        self.keys.change_hottest(count);
        self.update_rates();
    }

    /// Marks the first live server as leaving.
    pub(crate) fn leave(&mut self) {
        let is_live = |row: &&mut VmEntry| row.role == Role::Target && row.state == VmState::Live;
        if let Some(row) = self.list.vms.iter_mut().find(is_live) {
            row.state = VmState::Leaving;
        }
        self.sync();
    }

    /// Removes servers that are leaving from the list and adds a new one.
    pub(crate) fn join(&mut self) {
        let id = format!("plans-{:04}", self.next_server);
        self.list.vms.retain(|row| row.state == VmState::Live);
        self.list.vms.push(list_row(id.clone(), Role::Target, self.next_server % self.zones));
        self.joined = TargetId::new(id).ok();
        self.next_server += 1;
        self.sync();
        self.claim();
    }

    /// Returns the VM whose processor time is measured.
    pub(crate) fn first_vm(&self) -> VmId {
        vm(0)
    }

    /// Sums the loads of the targets of the first VM and returns its plan.
    pub(crate) fn plan_first_vm(&self, planner: &mut Planner, totals: &BTreeMap<TargetId, f64>) -> Plan {
        black_box(kept_loads(self.now, &self.state, &self.loads[&vm(0)], &vm(0)));
        let inputs = Inputs {
            state: &self.state,
            list: &self.list,
            members: &self.members[&vm(0)],
            loads: &self.loads[&vm(0)],
            totals,
            unreachable: &BTreeSet::new(),
            unsettled: &BTreeSet::new(),
        };
        planner.plan(self.now, &inputs)
    }

    /// Measures the processor time of claims and of the choice of watched VMs.
    pub(crate) fn time_rest(&self, name: &impl Fn(&str) -> String) -> Vec<Measure> {
        let members = &self.members[&vm(0)];
        let mut claims = Claims::new(vm(0));
        let timed = |run: &mut dyn FnMut()| {
            median(|| {
                let start = Instant::now();
                run();
                start.elapsed().as_secs_f64() * 1e3
            })
        };
        let claim = timed(&mut || {
            black_box(claims.claims(self.now, &self.state, &self.list, members));
        });
        let watch = timed(&mut || {
            black_box(watch_set(&vm(0), &self.state, &self.list, members));
        });
        vec![Measure::info(name("claims"), claim, "ms"), Measure::info(name("watched"), watch, "ms")]
    }
}
