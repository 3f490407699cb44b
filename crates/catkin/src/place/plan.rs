//! Planning of slice moves: from leaving targets, to joined ones, and by load.

use {
    super::{
        assign::{Candidate, MOVES_MAX, candidates, pick_standby, slice_hash},
        flow::{Flow, flows},
        load::{DECAY_TIME, SliceLoads},
        zone::{ListedTarget, ZoneFit, listed_targets, zone_fit},
    },
    crate::{
        api::VmList,
        config,
        fold::{KeeperRow, SPLIT_KEYS_MAX, SliceRow, State},
        member::Members,
        record::{Assign, Move, SplitOff},
        types::{Service, SliceId, Span, TargetId, Time, Version, VmId},
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Share of the slices of a service that may move at the same time. A moving
/// slice is briefly not served, so this bounds the requests that wait.
pub const MOVING_SHARE_MAX: f64 = 0.02;

/// Count of slices relative to the mean above which a target gets no more.
/// This bounds the churn: when one of n targets leaves, at most 1.2/n of the
/// slices move.
const COUNT_RATIO_MAX: f64 = 1.2;
/// Count and load relative to the mean below which a target counts as joined.
const JOINED_FILL_MAX: f64 = 0.9;
/// Load relative to the mean above which slices are moved away. It lies below
/// the bound of 1.25 on the imbalance of requests in progress.
const LOAD_RATIO_MAX: f64 = 1.15;
/// Load relative to the mean up to which a standby accepts the slices of a
/// leaving target, so that they need not move again by load.
const STANDBY_LOAD_MAX: f64 = 1.05;
/// Load of a key relative to the mean load of a target from which the key is
/// split off.
const SPLIT_LOAD_MIN: f64 = 0.05;
/// Load of the rest of a slice relative to its hot key below which a split
/// does not help: the slice is as hot as its key.
const SPLIT_REST_MIN: f64 = 0.1;
/// Time between two rounds of moves by load. The measured loads must show a
/// move before the next one.
const LOAD_MOVE_PERIOD: Span = DECAY_TIME;
/// Time for which a moved slice is not moved again by load or count.
const MOVE_INTERVAL_MIN: Span = Span::from_secs(10);
/// Time after which a move is planned again if its record was not read.
const MOVE_RETRY: Span = Span::from_secs(3);

/// Inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Fold of the log.
    pub state: &'a State,
    /// The VM list, for the targets, their zones and whether they leave.
    pub list: &'a VmList,
    /// Membership table of the entry VMs.
    pub members: &'a Members,
    /// Loads of the slices whose owners this VM keeps.
    pub loads: &'a SliceLoads,
    /// Loads of all targets, in the unit of `loads`: sums of `loads` for the
    /// targets that this VM keeps, the reports of other VMs for the rest. A
    /// target without an entry counts with the mean load.
    pub totals: &'a BTreeMap<TargetId, f64>,
    /// Targets that are unreachable. The lease code moves their slices to their
    /// standbys; the plan moves those without a usable standby.
    pub unreachable: &'a BTreeSet<TargetId>,
    /// Slices that were moved and not yet granted to their new owner.
    pub unsettled: &'a BTreeSet<(Service, SliceId)>,
}

/// Changes that this VM should append.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves of slices whose owners this VM keeps.
    pub assigns: Vec<Assign>,
    /// Hot keys to split off into slices of their own.
    pub split_offs: Vec<SplitOff>,
}

impl Plan {
    /// Returns whether there is nothing to append.
    pub fn is_empty(&self) -> bool {
        self.assigns.is_empty() && self.split_offs.is_empty()
    }

    /// Returns the moves of all assignments.
    pub fn moves(&self) -> impl Iterator<Item = &Move> {
        self.assigns.iter().flat_map(|assign| &assign.moves)
    }
}

/// Plans the moves of one VM.
///
/// It plans only for slices whose owner this VM keeps. How much each target
/// gives to which other one follows from counts and loads that all VMs know,
/// so that the plans of several VMs add up.
#[derive(Debug)]
pub struct Planner {
    vm: VmId,
    /// Recent moves that this VM planned.
    planned: BTreeMap<(Service, SliceId), PlannedMove>,
    /// When slices of a service were last moved by load.
    balanced_at: BTreeMap<Service, Time>,
}

#[derive(Clone, Debug)]
struct PlannedMove {
    expects: Version,
    owner: TargetId,
    at: Time,
}

/// A slice whose owner this VM keeps.
struct KeptSlice<'a> {
    slice: SliceId,
    row: &'a SliceRow,
    load: f64,
    recently_moved: bool,
}

/// State of one service during a plan.
struct ServiceTable<'a> {
    service: &'a Service,
    candidates: Vec<Candidate<'a>>,
    /// Load of each candidate.
    loads: Vec<f64>,
    /// Number of slices that candidates own.
    candidate_slices: usize,
    /// Sum of the loads of all candidates.
    total_load: f64,
    /// Slices whose owner this VM keeps, by the candidate that owns them.
    kept: BTreeMap<usize, Vec<KeptSlice<'a>>>,
    /// Slices of kept targets that are leaving or unreachable, and whether the
    /// owner is unreachable or not listed.
    displaced: Vec<(KeptSlice<'a>, bool)>,
    indexes: HashMap<&'a TargetId, usize>,
    /// Number of slices with an owner, candidate or not.
    owned_slices: usize,
    moves: Vec<Move>,
    /// Slices that may still be moved in this round.
    budget: usize,
    /// Standbys that may still be replaced in this round.
    standby_budget: usize,
}

impl Planner {
    /// Creates the state of a new process, which has planned nothing.
    pub fn new(vm: VmId) -> Self {
        Self { vm, planned: BTreeMap::new(), balanced_at: BTreeMap::new() }
    }

    /// Plans one round of moves for all keyed services.
    pub fn plan(&mut self, now: Time, inputs: &Inputs<'_>) -> Plan {
        let retention = MOVE_INTERVAL_MIN.max(MOVE_RETRY);
        self.planned.retain(|_, planned| now.since(planned.at) < retention);
        let mut plan = Plan::default();
        if inputs.members.is_leaving(&self.vm) {
            return plan;
        }
        let targets = listed_targets(inputs.list);
        let fleet = inputs.state.config().fleet.clone();
        for (service, entry) in fleet.services.iter().filter(|(_, entry)| entry.keyed) {
            let mut table = self.service_table(now, inputs, service, &targets);
            if table.candidates.is_empty() {
                continue;
            }
            plan.split_offs.extend(split_offs(now, inputs, &table, entry));
            table.move_displaced();
            table.repair_standbys();
            if !table.balance_counts() && self.is_settled(now, service) && table.balance_loads() {
                self.balanced_at.insert(service.clone(), now);
            }
            self.record_moves(now, service, &table.moves);
            let records = table.moves.chunks(MOVES_MAX);
            plan.assigns
                .extend(records.map(|chunk| Assign { service: service.clone(), moves: chunk.to_vec() }));
        }
        plan
    }

    fn is_settled(&self, now: Time, service: &Service) -> bool {
        self.balanced_at.get(service).is_none_or(|at| now.since(*at) >= LOAD_MOVE_PERIOD)
    }

    fn record_moves(&mut self, now: Time, service: &Service, moves: &[Move]) {
        for slice_move in moves {
            let planned =
                PlannedMove { expects: slice_move.expects, owner: slice_move.owner.clone(), at: now };
            self.planned.insert((service.clone(), slice_move.slice), planned);
        }
    }

    fn service_table<'a>(
        &self,
        now: Time,
        inputs: &Inputs<'a>,
        service: &'a Service,
        targets: &'a BTreeMap<TargetId, ListedTarget>,
    ) -> ServiceTable<'a> {
        let mut candidates = candidates(inputs.state, service, targets, inputs.members);
        candidates.retain(|candidate| !inputs.unreachable.contains(&candidate.target.id));
        let indexes: HashMap<&TargetId, usize> =
            candidates.iter().enumerate().map(|(at, candidate)| (&candidate.target.id, at)).collect();
        let mut table = ServiceTable {
            service,
            loads: Vec::new(),
            candidate_slices: 0,
            total_load: 0.0,
            candidates,
            kept: BTreeMap::new(),
            displaced: Vec::new(),
            indexes,
            owned_slices: 0,
            moves: Vec::new(),
            budget: 0,
            standby_budget: 0,
        };
        for (_, slice, row) in inputs.state.rows().filter(|(name, ..)| *name == service) {
            self.add_row(now, inputs, &mut table, targets, slice, row);
        }
        table.loads = loads_of(&table.candidates, inputs.totals);
        table.candidate_slices = table.candidates.iter().map(|candidate| candidate.owned).sum();
        table.total_load = table.loads.iter().sum();
        table.set_budget(inputs, targets, &self.vm);
        table
    }

    fn add_row<'a>(
        &self,
        now: Time,
        inputs: &Inputs<'a>,
        table: &mut ServiceTable<'a>,
        targets: &BTreeMap<TargetId, ListedTarget>,
        slice: SliceId,
        row: &'a SliceRow,
    ) {
        table.owned_slices += 1;
        let id = (table.service.clone(), slice);
        let planned = self.planned.get(&id);
        let pending = planned.filter(|p| p.expects == row.version && now.since(p.at) < MOVE_RETRY);
        let owner = pending.map_or(&row.owner, |planned| &planned.owner);
        let index = table.indexes.get(owner).copied();
        if let Some(index) = index {
            table.candidates[index].owned += 1;
        }
        if let Some(standby) = row.standby.as_ref().and_then(|standby| table.indexes.get(standby)) {
            table.candidates[*standby].standby_count += 1;
        }
        let own = |keeper: &KeeperRow| keeper.vm == self.vm && keeper.boot == inputs.members.boot();
        let is_kept = inputs.state.keeper(&row.owner).is_some_and(own);
        if !is_kept || pending.is_some() || inputs.unsettled.contains(&id) {
            return;
        }
        let recently_moved = planned.is_some();
        let load = inputs.loads.rate(now, table.service, slice).as_per_second();
        let item = KeptSlice { slice, row, load, recently_moved };
        match index {
            Some(index) => table.kept.entry(index).or_default().push(item),
            None => {
                let unreachable = inputs.unreachable.contains(owner) || !targets.contains_key(owner);
                table.displaced.push((item, unreachable));
            }
        }
    }
}

/// Returns the loads of the candidates. One without slices has no load; one
/// whose load is unknown counts with the mean of the others.
fn loads_of(candidates: &[Candidate<'_>], totals: &BTreeMap<TargetId, f64>) -> Vec<f64> {
    let known = |candidate: &Candidate<'_>| {
        if candidate.owned == 0 { Some(0.0) } else { totals.get(&candidate.target.id).copied() }
    };
    let loads: Vec<Option<f64>> = candidates.iter().map(known).collect();
    let count = loads.iter().flatten().count().max(1);
    let mean = loads.iter().flatten().sum::<f64>() / count as f64;
    loads.into_iter().map(|load| load.unwrap_or(mean)).collect()
}

impl ServiceTable<'_> {
    /// Divides the slices that may move among the keepers that have something
    /// to move, by the counts and loads that all VMs know.
    fn set_budget(&mut self, inputs: &Inputs<'_>, targets: &BTreeMap<TargetId, ListedTarget>, vm: &VmId) {
        let leaving = targets.values().filter(|t| t.service.as_ref() == Some(self.service) && t.leaving);
        let (counts, loads) = (self.count_flows(), self.load_flows());
        let from = counts.iter().chain(&loads).map(|flow| &self.candidates[flow.from].target.id);
        let sources: BTreeSet<&TargetId> = from.chain(leaving.map(|t| &t.id)).collect();
        let own = |id: &&&TargetId| inputs.state.keeper(id).is_some_and(|keeper| keeper.vm == *vm);
        let own = sources.iter().filter(own).count();
        let moving_max = ((self.owned_slices as f64 * MOVING_SHARE_MAX) as usize).max(1);
        let moving = inputs.unsettled.iter().filter(|(service, _)| service == self.service).count();
        let share = (moving_max * own / sources.len().max(1)).max(1);
        self.budget = share.saturating_sub(moving);
        self.standby_budget =
            (moving_max / inputs.members.live().count().max(1)).max(1).saturating_sub(moving);
    }

    fn mean_count(&self) -> f64 {
        self.candidate_slices as f64 / self.candidates.len() as f64
    }

    fn mean_load(&self) -> f64 {
        self.total_load / self.loads.len() as f64
    }

    /// Moves the slices of leaving targets to their standbys or, where a
    /// standby has no capacity, to the least filled target. Slices of an
    /// unreachable target without a usable standby are moved at once.
    fn move_displaced(&mut self) {
        for (item, unreachable) in std::mem::take(&mut self.displaced) {
            let standby = item.row.standby.as_ref().and_then(|s| self.indexes.get(s)).copied();
            if unreachable && standby.is_some() || !unreachable && self.budget == 0 {
                continue;
            }
            let count_limit = self.count_max().max(self.mean_count().ceil() as usize);
            let has_capacity = |at: usize| self.loads[at] + item.load <= self.mean_load() * STANDBY_LOAD_MAX;
            let accepting =
                standby.filter(|at| self.candidates[*at].owned < count_limit && has_capacity(*at));
            let Some(to) = accepting.or_else(|| self.least_filled(item.slice)) else { continue };
            self.budget = self.budget.saturating_sub(usize::from(!unreachable));
            self.move_slice(&item, None, to);
        }
    }

    fn least_filled(&self, slice: SliceId) -> Option<usize> {
        let fills = (0..self.candidates.len())
            .map(|at| (self.fill(at), slice_hash(slice, self.candidates[at].hash), at));
        fills.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(.., at)| at)
    }

    /// Moves a slice to another owner. Its standby stays if it is still
    /// suitable.
    fn move_slice(&mut self, item: &KeptSlice<'_>, from: Option<usize>, to: usize) {
        if let Some(from) = from {
            self.candidates[from].owned -= 1;
            self.loads[from] -= item.load;
        } else {
            self.candidate_slices += 1;
            self.total_load += item.load;
        }
        self.candidates[to].owned += 1;
        self.loads[to] += item.load;
        self.assign(item, to);
    }

    fn assign(&mut self, item: &KeptSlice<'_>, owner: usize) {
        let current = item.row.standby.as_ref().and_then(|standby| self.indexes.get(standby)).copied();
        let retained = current.filter(|at| *at != owner && self.is_best(*at, owner));
        let standby = retained.or_else(|| pick_standby(&self.candidates, item.slice, owner));
        if standby != current {
            current.into_iter().for_each(|at| self.candidates[at].standby_count -= 1);
            standby.into_iter().for_each(|at| self.candidates[at].standby_count += 1);
        }
        self.moves.push(Move {
            slice: item.slice,
            expects: item.row.version,
            owner: self.candidates[owner].target.id.clone(),
            standby: standby.map(|at| self.candidates[at].target.id.clone()),
            provisional: None,
        });
    }

    fn fit(&self, standby: usize, owner: usize) -> ZoneFit {
        let owner = &self.candidates[owner];
        zone_fit(
            self.candidates[standby].target.zone.as_ref(),
            owner.target.zone.as_ref(),
            owner.keeper.as_ref(),
        )
    }

    fn is_best(&self, standby: usize, owner: usize) -> bool {
        match self.fit(standby, owner) {
            ZoneFit::ThreeZones => true,
            ZoneFit::OwnerZone => false,
            ZoneFit::KeeperZone => {
                (0..self.candidates.len()).all(|at| self.fit(at, owner) != ZoneFit::ThreeZones)
            }
        }
    }

    /// Replaces standbys that were removed or are in the wrong zone.
    fn repair_standbys(&mut self) {
        let kept = std::mem::take(&mut self.kept);
        for (owner, items) in &kept {
            let possible = (0..self.candidates.len()).any(|at| self.fit(at, *owner) != ZoneFit::OwnerZone);
            let suitable: Vec<bool> =
                (0..self.candidates.len()).map(|at| at != *owner && self.is_best(at, *owner)).collect();
            for item in items {
                let standby = item.row.standby.as_ref().and_then(|standby| self.indexes.get(standby));
                let is_suitable = standby.map_or(!possible, |at| suitable[*at]);
                if is_suitable || self.standby_budget == 0 {
                    continue;
                }
                self.standby_budget -= 1;
                self.assign(item, *owner);
            }
        }
        self.kept = kept;
        self.remove_moved();
    }

    fn remove_moved(&mut self) {
        let moved: BTreeSet<SliceId> = self.moves.iter().map(|slice_move| slice_move.slice).collect();
        if moved.is_empty() {
            return;
        }
        for items in self.kept.values_mut() {
            items.retain(|item| !moved.contains(&item.slice));
        }
    }

    /// Returns how full a target is relative to the mean, by count or load.
    fn fill(&self, at: usize) -> f64 {
        let count = self.candidates[at].owned as f64 / self.mean_count().max(1.0);
        let mean = self.mean_load();
        if mean > 0.0 { count.max(self.loads[at] / mean) } else { count }
    }

    /// Returns the flows that fill joined targets and relieve those with too
    /// many slices. A target with few but hot slices is left out.
    fn count_flows(&self) -> Vec<Flow> {
        let mean = self.mean_count();
        let all = 0..self.candidates.len();
        let joined: Vec<bool> = all
            .clone()
            .map(|at| self.fill(at) < JOINED_FILL_MAX && self.candidates[at].owned as f64 <= mean - 1.0)
            .collect();
        let over = |at: &usize| self.candidates[*at].owned > self.count_max();
        let (any_joined, any_over) = (joined.contains(&true), all.clone().any(|at| over(&at)));
        let difference = |at: usize| {
            let above = self.candidates[at].owned as f64 - mean;
            let gives = above > 0.0 && (any_joined || over(&at));
            let takes = above < 0.0 && (joined[at] || any_over && self.fill(at) < 1.0);
            if gives || takes { above } else { 0.0 }
        };
        flows(&all.map(difference).collect::<Vec<f64>>())
    }

    fn count_max(&self) -> usize {
        (self.mean_count() * COUNT_RATIO_MAX).floor().max(1.0) as usize
    }

    /// Levels the numbers of slices, and returns whether they are uneven. The
    /// slices are chosen by hash and without hot ones, so that a joined target
    /// gets its share of the load too.
    fn balance_counts(&mut self) -> bool {
        let hot = self.mean_load() * SPLIT_LOAD_MIN;
        let flows = self.count_flows();
        for flow in &flows {
            let seed = self.candidates[flow.to].hash;
            self.apply_flow(flow, flow.amount.round() as usize, |items| {
                items.retain(|item| item.load <= hot.max(f64::MIN_POSITIVE));
                items.sort_by_cached_key(|item| slice_hash(item.slice, seed));
            });
        }
        !flows.is_empty()
    }

    /// Moves up to `count` slices along a flow, in the order and selection of
    /// `choose`.
    fn apply_flow(&mut self, flow: &Flow, count: usize, choose: impl Fn(&mut Vec<&KeptSlice<'_>>)) {
        let Some(items) = self.kept.remove(&flow.from) else { return };
        let mut chosen: Vec<&KeptSlice<'_>> = items.iter().filter(|item| !item.recently_moved).collect();
        choose(&mut chosen);
        for item in chosen.into_iter().take(count.min(self.budget)) {
            self.budget -= 1;
            self.move_slice(item, Some(flow.from), flow.to);
        }
        self.kept.insert(flow.from, items);
        self.remove_moved();
    }

    fn load_flows(&self) -> Vec<Flow> {
        let mean = self.mean_load();
        if mean <= 0.0 || self.loads.iter().all(|load| *load <= mean * LOAD_RATIO_MAX) {
            return Vec::new();
        }
        flows(&self.loads.iter().map(|load| load - mean).collect::<Vec<f64>>())
    }

    /// Moves load from targets above the mean to those below it. It starts with
    /// the hottest slices that fit, so that few are moved. Returns whether any
    /// was moved.
    fn balance_loads(&mut self) -> bool {
        let before = self.moves.len();
        for flow in self.load_flows() {
            let free = self.count_max().saturating_sub(self.candidates[flow.to].owned);
            self.apply_flow(&flow, free, |items| {
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

fn split_offs(
    now: Time,
    inputs: &Inputs<'_>,
    table: &ServiceTable<'_>,
    entry: &config::ServiceConfig,
) -> Vec<SplitOff> {
    let hot = table.mean_load() * SPLIT_LOAD_MIN;
    let mut free = SPLIT_KEYS_MAX.saturating_sub(inputs.state.split_keys(table.service).count());
    let mut split_offs = Vec::new();
    let items = table.kept.values().flatten().filter(|item| item.slice.0 < entry.slices);
    for item in items.filter(|item| hot > 0.0 && item.load > hot) {
        let heavy = inputs.loads.heavy_keys(now, table.service, item.slice);
        let Some((key, rate)) = heavy.into_iter().next() else { continue };
        let rate = rate.as_per_second();
        let leaves_load = item.load - rate >= rate * SPLIT_REST_MIN;
        let is_current = inputs.state.slice(table.service, &key) == Some(item.slice);
        if rate < hot || !leaves_load || !is_current || free == 0 {
            continue;
        }
        free -= 1;
        split_offs.push(SplitOff { service: table.service.clone(), key, expects: item.row.version });
    }
    split_offs
}

/// Returns the loads of the targets that a VM keeps, each the sum over its
/// slices.
pub fn kept_loads(now: Time, state: &State, loads: &SliceLoads, vm: &VmId) -> BTreeMap<TargetId, f64> {
    let own = |target: &TargetId| state.keeper(target).is_some_and(|keeper| keeper.vm == *vm);
    let kept: BTreeSet<&TargetId> = state.keepers().map(|(target, _)| target).filter(|t| own(t)).collect();
    let mut totals: BTreeMap<TargetId, f64> = BTreeMap::new();
    for (service, slice, row) in state.rows().filter(|(.., row)| kept.contains(&row.owner)) {
        *totals.entry(row.owner.clone()).or_default() += loads.rate(now, service, slice).as_per_second();
    }
    totals
}
