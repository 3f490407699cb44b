//! Moves of slices: away from leaving servers, to joined ones, and by load.

use {
    super::{
        assign::{MOVES_MAX, Seat, pick_standby, seats, slice_hash},
        flow::{Flow, flows},
        load::{DECAY, Loads},
        zone::{Fit, Server, fit, servers},
    },
    crate::{
        api::VmList,
        config,
        fold::{CARVED_MAX, Keeper, Row, State},
        member::Members,
        record::{Assign, Carve, Move},
        types::{Service, SliceId, Span, TargetId, Time, Version, VmId},
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Share of the slices of a service that may be in motion. A slice in motion
/// is unavailable for a moment, so this bounds the work that waits.
pub const MOTION_SHARE: f64 = 0.02;

/// Count of slices relative to the mean above which a server gets no more.
/// It is the bound on the churn: when one server leaves, at most 1.2/n of the
/// slices move.
const COUNT_HIGH: f64 = 1.2;
/// Count and load relative to the mean below which a server counts as joined.
const FILL_LOW: f64 = 0.9;
/// Load relative to the mean from which slices are moved. It lies below the
/// bound of 1.25 on the imbalance of work in progress.
const LOAD_HIGH: f64 = 1.15;
/// Load relative to the mean up to which a standby takes the slices of a
/// leaving server, so that they need not move again by load.
const LOAD_EVEN: f64 = 1.05;
/// Load of a key relative to the mean server from which it is carved out.
const CARVE_FROM: f64 = 0.05;
/// Load of the rest of a slice relative to its hot key below which a carve
/// frees nothing: the slice is as hot as its key.
const CARVE_REST: f64 = 0.1;
/// Time between two moves by load. The loads of the new owners must show
/// before more is moved.
const SETTLE: Span = DECAY;
/// Time for which a slice that was moved by load or count stays.
const STAY: Span = Span::from_secs(10);
/// Time after which a move whose record was not read is planned anew.
const MOVE_AGAIN: Span = Span::from_secs(3);

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Fold of the log.
    pub state: &'a State,
    /// The VM list.
    pub list: &'a VmList,
    /// Table of the entry VMs.
    pub members: &'a Members,
    /// Loads of the slices whose owners this VM keeps.
    pub loads: &'a Loads,
    /// Loads of all targets, in the unit of `loads`: sums of `loads` for the
    /// own ones, what other VMs say for the rest. Without an entry a target
    /// counts as loaded like the mean.
    pub totals: &'a BTreeMap<TargetId, f64>,
    /// Targets that count as lost. Their slices go to their standbys by the
    /// lease code; the plan moves those without a usable standby.
    pub lost: &'a BTreeSet<TargetId>,
    /// Slices that were moved and are not granted to their new owner yet.
    pub moving: &'a BTreeSet<(Service, SliceId)>,
}

/// Changes that this VM should append.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves of slices whose owners this VM keeps.
    pub assigns: Vec<Assign>,
    /// Hot keys to make slices of their own.
    pub carves: Vec<Carve>,
}

impl Plan {
    /// Returns whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        self.assigns.is_empty() && self.carves.is_empty()
    }

    /// Returns all moves.
    pub fn moves(&self) -> impl Iterator<Item = &Move> {
        self.assigns.iter().flat_map(|assign| &assign.moves)
    }
}

/// Plans the moves of one VM, with what it must remember between two plans.
///
/// It plans only for slices whose owner this VM keeps. How much each server
/// gives to which other one follows from counts and loads that all VMs know,
/// so that the plans of several VMs add up.
#[derive(Debug)]
pub struct Planner {
    vm: VmId,
    planned: BTreeMap<(Service, SliceId), Planned>,
    /// When slices of a service were last moved by load.
    levelled: BTreeMap<Service, Time>,
}

#[derive(Clone, Debug)]
struct Planned {
    expects: Version,
    owner: TargetId,
    at: Time,
}

/// A slice whose owner this VM keeps.
struct Item<'a> {
    slice: SliceId,
    row: &'a Row,
    load: f64,
    fixed: bool,
}

/// One service during a plan.
struct Table<'a> {
    service: &'a Service,
    seats: Vec<Seat<'a>>,
    loads: Vec<f64>,
    /// Sums over the seats.
    owned: usize,
    load: f64,
    /// Slices by the seat of their owner, of those that this VM keeps.
    own: BTreeMap<usize, Vec<Item<'a>>>,
    /// Slices of own targets that are leaving or lost.
    homeless: Vec<(Item<'a>, bool)>,
    places: HashMap<&'a TargetId, usize>,
    slices: usize,
    moves: Vec<Move>,
    /// Slices that may be moved in this round.
    budget: usize,
    /// Slices whose standby may be replaced in this round.
    repairs: usize,
}

impl Planner {
    /// Makes the memory of a new process.
    pub fn new(vm: VmId) -> Self {
        Self { vm, planned: BTreeMap::new(), levelled: BTreeMap::new() }
    }

    /// Plans one round.
    pub fn plan(&mut self, now: Time, inputs: &Inputs<'_>) -> Plan {
        let keep = STAY.max(MOVE_AGAIN);
        self.planned.retain(|_, planned| now.since(planned.at) < keep);
        let mut plan = Plan::default();
        if inputs.members.is_leaving(&self.vm) {
            return plan;
        }
        let targets = servers(inputs.list);
        let fleet = inputs.state.config().fleet.clone();
        for (service, entry) in fleet.services.iter().filter(|(_, entry)| entry.keyed) {
            let mut table = self.table(now, inputs, service, &targets);
            if table.seats.is_empty() {
                continue;
            }
            plan.carves.extend(carves(now, inputs, &table, entry));
            table.move_homeless();
            table.repair_standbys();
            if !table.balance_counts() && self.is_settled(now, service) && table.balance_loads() {
                self.levelled.insert(service.clone(), now);
            }
            self.note(now, service, &table.moves);
            let records = table.moves.chunks(MOVES_MAX);
            plan.assigns
                .extend(records.map(|part| Assign { service: service.clone(), moves: part.to_vec() }));
        }
        plan
    }

    fn is_settled(&self, now: Time, service: &Service) -> bool {
        self.levelled.get(service).is_none_or(|at| now.since(*at) >= SETTLE)
    }

    fn note(&mut self, now: Time, service: &Service, moves: &[Move]) {
        for change in moves {
            let planned = Planned { expects: change.expects, owner: change.owner.clone(), at: now };
            self.planned.insert((service.clone(), change.slice), planned);
        }
    }

    fn table<'a>(
        &self,
        now: Time,
        inputs: &Inputs<'a>,
        service: &'a Service,
        targets: &'a BTreeMap<TargetId, Server>,
    ) -> Table<'a> {
        let mut seats = seats(inputs.state, service, targets, inputs.members);
        seats.retain(|seat| !inputs.lost.contains(&seat.server.id));
        let places: HashMap<&TargetId, usize> =
            seats.iter().enumerate().map(|(at, seat)| (&seat.server.id, at)).collect();
        let mut table = Table {
            service,
            loads: Vec::new(),
            owned: 0,
            load: 0.0,
            seats,
            own: BTreeMap::new(),
            homeless: Vec::new(),
            places,
            slices: 0,
            moves: Vec::new(),
            budget: 0,
            repairs: 0,
        };
        for (_, slice, row) in inputs.state.rows().filter(|(name, ..)| *name == service) {
            self.add_row(now, inputs, &mut table, targets, slice, row);
        }
        table.loads = loads_of(&table.seats, inputs.totals);
        table.owned = table.seats.iter().map(|seat| seat.owned).sum();
        table.load = table.loads.iter().sum();
        table.set_budget(inputs, targets, &self.vm);
        table
    }

    fn add_row<'a>(
        &self,
        now: Time,
        inputs: &Inputs<'a>,
        table: &mut Table<'a>,
        targets: &BTreeMap<TargetId, Server>,
        slice: SliceId,
        row: &'a Row,
    ) {
        table.slices += 1;
        let id = (table.service.clone(), slice);
        let planned = self.planned.get(&id);
        let pending = planned.filter(|p| p.expects == row.version && now.since(p.at) < MOVE_AGAIN);
        let owner = pending.map_or(&row.owner, |planned| &planned.owner);
        let place = table.places.get(owner).copied();
        if let Some(place) = place {
            table.seats[place].owned += 1;
        }
        if let Some(standby) = row.standby.as_ref().and_then(|standby| table.places.get(standby)) {
            table.seats[*standby].stands += 1;
        }
        let own = |keeper: &Keeper| keeper.vm == self.vm && keeper.boot == inputs.members.boot();
        let kept = inputs.state.keeper(&row.owner).is_some_and(own);
        if !kept || pending.is_some() || inputs.moving.contains(&id) {
            return;
        }
        let fixed = planned.is_some();
        let load = inputs.loads.rate(now, table.service, slice).as_per_second();
        let item = Item { slice, row, load, fixed };
        match place {
            Some(place) => table.own.entry(place).or_default().push(item),
            None => {
                let lost = inputs.lost.contains(owner) || !targets.contains_key(owner);
                table.homeless.push((item, lost));
            }
        }
    }
}

/// Returns the loads of the seats. One without slices has no load; one whose
/// load is not known counts as the mean of the others.
fn loads_of(seats: &[Seat<'_>], totals: &BTreeMap<TargetId, f64>) -> Vec<f64> {
    let known = |seat: &Seat<'_>| {
        if seat.owned == 0 { Some(0.0) } else { totals.get(&seat.server.id).copied() }
    };
    let loads: Vec<Option<f64>> = seats.iter().map(known).collect();
    let count = loads.iter().flatten().count().max(1);
    let mean = loads.iter().flatten().sum::<f64>() / count as f64;
    loads.into_iter().map(|load| load.unwrap_or(mean)).collect()
}

impl Table<'_> {
    /// Shares the slices that may be in motion among the keepers that have
    /// something to move, as far as every VM can tell.
    fn set_budget(&mut self, inputs: &Inputs<'_>, targets: &BTreeMap<TargetId, Server>, vm: &VmId) {
        let leaving = targets.values().filter(|t| t.service.as_ref() == Some(self.service) && t.leaving);
        let (counts, loads) = (self.count_flows(), self.load_flows());
        let from = counts.iter().chain(&loads).map(|flow| &self.seats[flow.from].server.id);
        let sources: BTreeSet<&TargetId> = from.chain(leaving.map(|t| &t.id)).collect();
        let own = |id: &&&TargetId| inputs.state.keeper(id).is_some_and(|keeper| keeper.vm == *vm);
        let own = sources.iter().filter(own).count();
        let all = ((self.slices as f64 * MOTION_SHARE) as usize).max(1);
        let moving = inputs.moving.iter().filter(|(service, _)| service == self.service).count();
        let share = (all * own / sources.len().max(1)).max(1);
        self.budget = share.saturating_sub(moving);
        self.repairs = (all / inputs.members.live().count().max(1)).max(1).saturating_sub(moving);
    }

    fn mean_count(&self) -> f64 {
        self.owned as f64 / self.seats.len() as f64
    }

    fn mean_load(&self) -> f64 {
        self.load / self.loads.len() as f64
    }

    /// Gives the slices of leaving servers to their standbys or, where these
    /// are full, to the least filled server. Slices of a lost server whose
    /// standby is gone too are moved at once.
    fn move_homeless(&mut self) {
        for (item, lost) in std::mem::take(&mut self.homeless) {
            let standby = item.row.standby.as_ref().and_then(|s| self.places.get(s)).copied();
            if lost && standby.is_some() || !lost && self.budget == 0 {
                continue;
            }
            let full = self.count_max().max(self.mean_count().ceil() as usize);
            let load = |at: usize| self.loads[at] + item.load <= self.mean_load() * LOAD_EVEN;
            let open = standby.filter(|at| self.seats[*at].owned < full && load(*at));
            let Some(to) = open.or_else(|| self.least(item.slice)) else { continue };
            self.budget = self.budget.saturating_sub(usize::from(!lost));
            self.shift(&item, None, to);
        }
    }

    fn least(&self, slice: SliceId) -> Option<usize> {
        let fills =
            (0..self.seats.len()).map(|at| (self.fill(at), slice_hash(slice, self.seats[at].hash), at));
        fills.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(.., at)| at)
    }

    /// Moves a slice to another owner and keeps its standby if that is still
    /// right.
    fn shift(&mut self, item: &Item<'_>, from: Option<usize>, to: usize) {
        if let Some(from) = from {
            self.seats[from].owned -= 1;
            self.loads[from] -= item.load;
        } else {
            self.owned += 1;
            self.load += item.load;
        }
        self.seats[to].owned += 1;
        self.loads[to] += item.load;
        self.assign(item, to);
    }

    fn assign(&mut self, item: &Item<'_>, owner: usize) {
        let now = item.row.standby.as_ref().and_then(|standby| self.places.get(standby)).copied();
        let kept = now.filter(|at| *at != owner && self.is_best(*at, owner));
        let standby = kept.or_else(|| pick_standby(&self.seats, item.slice, owner));
        if standby != now {
            now.into_iter().for_each(|at| self.seats[at].stands -= 1);
            standby.into_iter().for_each(|at| self.seats[at].stands += 1);
        }
        self.moves.push(Move {
            slice: item.slice,
            expects: item.row.version,
            owner: self.seats[owner].server.id.clone(),
            standby: standby.map(|at| self.seats[at].server.id.clone()),
            provisional: None,
        });
    }

    fn fit(&self, standby: usize, owner: usize) -> Fit {
        let owner = &self.seats[owner];
        fit(self.seats[standby].server.zone.as_ref(), owner.server.zone.as_ref(), owner.keeper.as_ref())
    }

    fn is_best(&self, standby: usize, owner: usize) -> bool {
        match self.fit(standby, owner) {
            Fit::Three => true,
            Fit::OwnerZone => false,
            Fit::KeeperZone => (0..self.seats.len()).all(|at| self.fit(at, owner) != Fit::Three),
        }
    }

    /// Replaces standbys that are gone or in the wrong zone.
    fn repair_standbys(&mut self) {
        let own = std::mem::take(&mut self.own);
        for (owner, items) in &own {
            let possible = (0..self.seats.len()).any(|at| self.fit(at, *owner) != Fit::OwnerZone);
            let bests: Vec<bool> =
                (0..self.seats.len()).map(|at| at != *owner && self.is_best(at, *owner)).collect();
            for item in items {
                let standby = item.row.standby.as_ref().and_then(|standby| self.places.get(standby));
                let right = standby.map_or(!possible, |at| bests[*at]);
                if right || self.repairs == 0 {
                    continue;
                }
                self.repairs -= 1;
                self.assign(item, *owner);
            }
        }
        self.own = own;
        self.drop_moved();
    }

    fn drop_moved(&mut self) {
        let moved: BTreeSet<SliceId> = self.moves.iter().map(|change| change.slice).collect();
        if moved.is_empty() {
            return;
        }
        for items in self.own.values_mut() {
            items.retain(|item| !moved.contains(&item.slice));
        }
    }

    /// Returns how full a server is relative to the mean, by count or load.
    fn fill(&self, at: usize) -> f64 {
        let count = self.seats[at].owned as f64 / self.mean_count().max(1.0);
        let mean = self.mean_load();
        if mean > 0.0 { count.max(self.loads[at] / mean) } else { count }
    }

    /// Returns the flows that fill joined servers and relieve those with too
    /// many slices. A server with few but hot slices takes no part.
    fn count_flows(&self) -> Vec<Flow> {
        let mean = self.mean_count();
        let all = 0..self.seats.len();
        let joined: Vec<bool> = all
            .clone()
            .map(|at| self.fill(at) < FILL_LOW && self.seats[at].owned as f64 <= mean - 1.0)
            .collect();
        let over = |at: &usize| self.seats[*at].owned > self.count_max();
        let (any_joined, any_over) = (joined.contains(&true), all.clone().any(|at| over(&at)));
        let difference = |at: usize| {
            let above = self.seats[at].owned as f64 - mean;
            let gives = above > 0.0 && (any_joined || over(&at));
            let takes = above < 0.0 && (joined[at] || any_over && self.fill(at) < 1.0);
            if gives || takes { above } else { 0.0 }
        };
        flows(&all.map(difference).collect::<Vec<f64>>())
    }

    fn count_max(&self) -> usize {
        (self.mean_count() * COUNT_HIGH).floor().max(1.0) as usize
    }

    /// Evens out the numbers of slices, and returns whether they are uneven.
    /// The slices are drawn by hash, so that a joined server gets its share of
    /// the load too, without the hot ones.
    fn balance_counts(&mut self) -> bool {
        let hot = self.mean_load() * CARVE_FROM;
        let flows = self.count_flows();
        for flow in &flows {
            let seed = self.seats[flow.to].hash;
            self.follow(flow, flow.amount.round() as usize, |items| {
                items.retain(|item| item.load <= hot.max(f64::MIN_POSITIVE));
                items.sort_by_cached_key(|item| slice_hash(item.slice, seed));
            });
        }
        !flows.is_empty()
    }

    /// Moves up to `count` slices along a flow, in the order that `choose`
    /// makes.
    fn follow(&mut self, flow: &Flow, count: usize, choose: impl Fn(&mut Vec<&Item<'_>>)) {
        let Some(items) = self.own.remove(&flow.from) else { return };
        let mut chosen: Vec<&Item<'_>> = items.iter().filter(|item| !item.fixed).collect();
        choose(&mut chosen);
        for item in chosen.into_iter().take(count.min(self.budget)) {
            self.budget -= 1;
            self.shift(item, Some(flow.from), flow.to);
        }
        self.own.insert(flow.from, items);
        self.drop_moved();
    }

    fn load_flows(&self) -> Vec<Flow> {
        let mean = self.mean_load();
        if mean <= 0.0 || self.loads.iter().all(|load| *load <= mean * LOAD_HIGH) {
            return Vec::new();
        }
        flows(&self.loads.iter().map(|load| load - mean).collect::<Vec<f64>>())
    }

    /// Moves load from servers above the mean to those below it, the hottest
    /// slices that fit first, so that few are moved. Returns whether any was.
    fn balance_loads(&mut self) -> bool {
        let before = self.moves.len();
        for flow in self.load_flows() {
            let room = self.count_max().saturating_sub(self.seats[flow.to].owned);
            self.follow(&flow, room, |items| {
                items.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.slice.cmp(&b.slice)));
                let mut left = flow.amount;
                items.retain(|item| {
                    let fits = item.load > 0.0 && item.load <= left;
                    left -= if fits { item.load } else { 0.0 };
                    fits
                });
            });
        }
        self.moves.len() > before
    }
}

fn carves(now: Time, inputs: &Inputs<'_>, table: &Table<'_>, entry: &config::Entry) -> Vec<Carve> {
    let hot = table.mean_load() * CARVE_FROM;
    let mut room = CARVED_MAX.saturating_sub(inputs.state.carved(table.service).count());
    let mut carves = Vec::new();
    let items = table.own.values().flatten().filter(|item| item.slice.0 < entry.slices);
    for item in items.filter(|item| hot > 0.0 && item.load > hot) {
        let heavy = inputs.loads.heavy(now, table.service, item.slice);
        let Some((key, rate)) = heavy.into_iter().next() else { continue };
        let rate = rate.as_per_second();
        let frees = item.load - rate >= rate * CARVE_REST;
        let held = inputs.state.slice(table.service, &key) == Some(item.slice);
        if rate < hot || !frees || !held || room == 0 {
            continue;
        }
        room -= 1;
        carves.push(Carve { service: table.service.clone(), key, expects: item.row.version });
    }
    carves
}

/// Returns the loads of the targets that a VM keeps, summed over their slices.
pub fn own_totals(now: Time, state: &State, loads: &Loads, vm: &VmId) -> BTreeMap<TargetId, f64> {
    let own = |target: &TargetId| state.keeper(target).is_some_and(|keeper| keeper.vm == *vm);
    let kept: BTreeSet<&TargetId> = state.keepers().map(|(target, _)| target).filter(|t| own(t)).collect();
    let mut totals: BTreeMap<TargetId, f64> = BTreeMap::new();
    for (service, slice, row) in state.rows().filter(|(.., row)| kept.contains(&row.owner)) {
        *totals.entry(row.owner.clone()).or_default() += loads.rate(now, service, slice).as_per_second();
    }
    totals
}
