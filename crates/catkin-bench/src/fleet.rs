//! A fleet in virtual time whose moves take effect at once.

use {
    crate::{
        keys::{Keys, text},
        measure::Measure,
        place::{keys, median},
    },
    catkin::{
        api::{Life, Listed, Role, VmList},
        fold::State,
        member::Members,
        place::{Assigner, Claims, Inputs, Loads, Plan, Planner, own_totals, watched},
        record::{self, Assign, Carve, Change, Publish, Record, Writer},
        types::{Offset, Revision, Sequence, Service, SliceId, Span, TargetId, Time, VmId, Zone},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        hint::black_box,
        time::Instant,
    },
};

const BOOT: u64 = 1;

/// Size of a fleet and its load.
pub(crate) struct Size {
    pub(crate) name: &'static str,
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    pub(crate) zones: usize,
    pub(crate) slices: usize,
    /// Exponent of the key choice.
    pub(crate) exponent: f64,
    /// Number of keys.
    pub(crate) keys: f64,
}

/// What one round changed.
#[derive(Default)]
pub(crate) struct Step {
    /// Slices with another owner.
    pub(crate) moved: usize,
    /// Those moved from a leaving server or to the one that joined.
    pub(crate) handed: usize,
    /// Slices with another standby only.
    pub(crate) repaired: usize,
    /// Keys that got a slice of their own.
    pub(crate) carved: usize,
}

pub(crate) struct Fleet {
    now: Time,
    state: State,
    sequences: BTreeMap<VmId, Sequence>,
    list: VmList,
    members: BTreeMap<VmId, Members>,
    planners: BTreeMap<VmId, Planner>,
    loads: BTreeMap<VmId, Loads>,
    keys: Keys,
    rates: Vec<f64>,
    zones: usize,
    base: usize,
    joined: usize,
    newest: Option<TargetId>,
}

fn vm(number: usize) -> VmId {
    VmId::new(format!("entry-{number:04}")).unwrap_or_else(|e| unreachable!("{e}"))
}

fn plans() -> Service {
    Service::new("plans").unwrap_or_else(|e| unreachable!("{e}"))
}

fn listed(id: String, role: Role, zone: usize) -> Listed {
    Listed {
        id: id.into(),
        role,
        service: (role == Role::Target).then(plans),
        zone: Zone::new(format!("zone-{zone}")).unwrap_or_else(|e| unreachable!("{e}")),
        addr: ([127, 0, 0, 1], 1).into(),
        admin: None,
        state: Life::Live,
    }
}

impl Fleet {
    /// Makes a fleet whose targets have keepers and whose slices have owners.
    pub(crate) fn new(seed: u64, size: &Size) -> Self {
        let entries = (0..size.vms).map(|n| listed(vm(n).to_string(), Role::Entry, n % size.zones));
        let servers =
            (0..size.servers).map(|n| listed(format!("plans-{n:04}"), Role::Target, n % size.zones));
        let list = VmList { vms: entries.chain(servers).collect() };
        let member = |number: usize| {
            let zone = list.vms[number].zone.clone();
            (vm(number), Members::new(vm(number), BOOT, zone))
        };
        let mut fleet = Self {
            now: Time::from_micros(1_000_000),
            state: State::new(),
            sequences: BTreeMap::new(),
            members: (0..size.vms).map(member).collect(),
            planners: (0..size.vms).map(|n| (vm(n), Planner::new(vm(n)))).collect(),
            loads: (0..size.vms).map(|n| (vm(n), Loads::new())).collect(),
            keys: keys(seed, size),
            rates: Vec::new(),
            zones: size.zones,
            base: size.slices,
            joined: size.servers,
            newest: None,
            list,
        };
        fleet.sync();
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        let text = format!("services:\n  plans:\n    keyed: true\n    slices: {}\n", self.base);
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
        self.measure();
    }

    fn sync(&mut self) {
        self.members.values_mut().for_each(|members| members.sync(&self.list));
    }

    /// Claims all targets without a keeper.
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
        let writer = Writer { id: writer.clone(), boot: BOOT };
        let record = Record { writer, sequence: *sequence, change };
        let bytes = record::encode(&record).unwrap_or_else(|e| unreachable!("{e}"));
        self.state.apply(self.state.next().max(Offset(1)), &bytes).is_accepted()
    }

    fn measure(&mut self) {
        let service = plans();
        let slice_of = |key| self.state.slice(&service, &text(key)).unwrap_or_default();
        self.rates = self.keys.slice_rates(self.base, slice_of);
    }

    /// Notes the requests of a span at the VMs that keep the owners.
    pub(crate) fn feed(&mut self, span: Span) {
        self.now = self.now.after(span);
        let service = plans();
        let mut rest = self.rates.clone();
        let mut noted = Vec::new();
        for (key, rate) in self.keys.hottest().collect::<Vec<_>>() {
            let key = text(key);
            let slice = self.state.slice(&service, &key).unwrap_or_default();
            rest[slice.0 as usize] -= rate;
            noted.push((slice, key, self.keys.draw(rate * span.as_secs_f64())));
        }
        for (slice, rate) in rest.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
            let slice = SliceId(u32::try_from(slice).unwrap_or(u32::MAX));
            noted.push((slice, text(u32::MAX), self.keys.draw(rate * span.as_secs_f64())));
        }
        for (slice, key, count) in noted.into_iter().filter(|(.., count)| *count > 0.0) {
            let keeper = self.state.row(&service, slice).and_then(|row| self.state.keeper(&row.owner));
            let Some(loads) = keeper.and_then(|keeper| self.loads.get_mut(&keeper.vm)) else { continue };
            loads.note(self.now, &service, slice, &key, count);
        }
        self.loads.values_mut().for_each(|loads| loads.sweep(self.now));
    }

    /// Returns the loads of all targets, as their keepers measure them.
    pub(crate) fn totals(&self) -> BTreeMap<TargetId, f64> {
        let parts = self.loads.iter().map(|(vm, loads)| own_totals(self.now, &self.state, loads, vm));
        parts.flatten().collect()
    }

    /// Feeds a span of load and lets every VM plan.
    pub(crate) fn round(&mut self, span: Span) -> Step {
        self.feed(span);
        let totals = self.totals();
        let mut plans = Vec::new();
        for (vm, planner) in &mut self.planners {
            let inputs = Inputs {
                state: &self.state,
                list: &self.list,
                members: &self.members[vm],
                loads: &self.loads[vm],
                totals: &totals,
                lost: &BTreeSet::new(),
                moving: &BTreeSet::new(),
            };
            plans.push((vm.clone(), planner.plan(self.now, &inputs)));
        }
        let mut step = Step::default();
        for (vm, plan) in plans {
            self.carry_out(&vm, plan, &mut step);
        }
        if step.carved > 0 {
            self.measure();
        }
        step
    }

    fn carry_out(&mut self, vm: &VmId, plan: Plan, step: &mut Step) {
        for carve in plan.carves {
            let Carve { service, .. } = &carve;
            debug_assert_eq!(*service, plans());
            step.carved += usize::from(self.append(vm, Change::Carve(carve)));
        }
        for assign in plan.assigns {
            self.count(&assign, step);
            self.append(vm, Change::Assign(assign));
        }
    }

    fn count(&self, assign: &Assign, step: &mut Step) {
        for change in &assign.moves {
            let Some(row) = self.state.row(&assign.service, change.slice) else { continue };
            let leaving = |target: &TargetId| {
                self.list.vms.iter().any(|v| *v.id == *target.as_str() && v.state == Life::Leaving)
            };
            if row.owner == change.owner {
                step.repaired += 1;
                continue;
            }
            step.moved += 1;
            step.handed += usize::from(Some(&change.owner) == self.newest.as_ref() || leaving(&row.owner));
        }
    }

    fn sums(&self) -> (HashMap<&TargetId, f64>, HashMap<&TargetId, f64>) {
        let (mut loads, mut counts) = (HashMap::new(), HashMap::new());
        for (_, slice, row) in self.state.rows() {
            *loads.entry(&row.owner).or_default() +=
                self.rates.get(slice.0 as usize).copied().unwrap_or_default();
            *counts.entry(&row.owner).or_default() += 1.0;
        }
        (loads, counts)
    }

    /// Returns the largest over the mean of the true loads of the servers.
    pub(crate) fn load_imbalance(&self) -> f64 {
        self.imbalance(&self.sums().0)
    }

    /// Returns the largest over the mean of the numbers of slices.
    pub(crate) fn count_imbalance(&self) -> f64 {
        self.imbalance(&self.sums().1)
    }

    fn imbalance(&self, sums: &HashMap<&TargetId, f64>) -> f64 {
        let most = sums.values().copied().fold(0.0, f64::max);
        most / (sums.values().sum::<f64>() / self.servers() as f64)
    }

    /// Returns the number of servers that stay.
    pub(crate) fn servers(&self) -> usize {
        let stays = |row: &&Listed| row.role == Role::Target && row.state == Life::Live;
        self.list.vms.iter().filter(stays).count()
    }

    /// Returns the number of slices.
    pub(crate) fn slices(&self) -> usize {
        self.state.rows().count()
    }

    /// Gives the rates of the hottest keys to others.
    pub(crate) fn change_hottest(&mut self, count: usize) {
        self.keys.change_hottest(count);
        self.measure();
    }

    /// Lets the first server leave.
    pub(crate) fn leave(&mut self) {
        let stays = |row: &&mut Listed| row.role == Role::Target && row.state == Life::Live;
        if let Some(row) = self.list.vms.iter_mut().find(stays) {
            row.state = Life::Leaving;
        }
        self.sync();
    }

    /// Adds a server.
    pub(crate) fn join(&mut self) {
        let id = format!("plans-{:04}", self.joined);
        self.list.vms.retain(|row| row.state == Life::Live);
        self.list.vms.push(listed(id.clone(), Role::Target, self.joined % self.zones));
        self.newest = TargetId::new(id).ok();
        self.joined += 1;
        self.sync();
        self.claim();
    }

    /// Returns the VM whose work is timed.
    pub(crate) fn first_vm(&self) -> VmId {
        vm(0)
    }

    /// Sums the loads of the targets of the first VM and makes its plan.
    pub(crate) fn plan_of(&self, planner: &mut Planner, totals: &BTreeMap<TargetId, f64>) -> Plan {
        black_box(own_totals(self.now, &self.state, &self.loads[&vm(0)], &vm(0)));
        let inputs = Inputs {
            state: &self.state,
            list: &self.list,
            members: &self.members[&vm(0)],
            loads: &self.loads[&vm(0)],
            totals,
            lost: &BTreeSet::new(),
            moving: &BTreeSet::new(),
        };
        planner.plan(self.now, &inputs)
    }

    /// Times the other work of one VM.
    pub(crate) fn wall(&self, name: &impl Fn(&str) -> String) -> Vec<Measure> {
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
            black_box(watched(&vm(0), &self.state, &self.list, members));
        });
        vec![Measure::info(name("claims"), claim, "ms"), Measure::info(name("watched"), watch, "ms")]
    }
}
