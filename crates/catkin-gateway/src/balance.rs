//! Moves of slices by load, and away from leaving targets.

use {
    crate::{append, node::Node},
    catkin::{
        fold::State,
        lease::Keeper,
        place::{Inputs, Plan, Planner, own_totals},
        record::{Assign, Carve, Change, Move},
        types::{Service, SliceId, TargetId, Time},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
};

/// Time between two plans.
const PERIOD: Duration = Duration::from_secs(1);
/// Time between two plans while a kept target is leaving. A plan moves a
/// bounded share of the slices, and a target that leaves gets no new work
/// after 2 s.
const LEAVE_PERIOD: Duration = Duration::from_millis(50);

/// Plans moves until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut planner = Planner::new(node.settings.vm.clone());
    loop {
        let period = if is_leaving(&node) { LEAVE_PERIOD } else { PERIOD };
        actix_rt::time::sleep(period).await;
        if node.log_available.get() && node.ready.get() {
            let plan = plan(&node, &mut planner);
            carry_out(&node, plan);
        }
    }
}

/// Returns whether a kept target that leaves still owns slices.
fn is_leaving(node: &Node) -> bool {
    let state = node.state.borrow();
    let keeper = node.keeper.borrow();
    let kept: BTreeSet<TargetId> =
        node.vm_list.borrow().leaving().filter(|target| keeper.keeps(target)).collect();
    !kept.is_empty() && state.rows().any(|(.., row)| kept.contains(&row.owner))
}

fn plan(node: &Node, planner: &mut Planner) -> Plan {
    let now = node.now();
    let state = node.state.borrow();
    node.slice_loads.borrow_mut().sweep(now);
    let slices = node.slice_loads.borrow();
    let keeper = node.keeper.borrow();
    let mut totals: BTreeMap<TargetId, f64> =
        node.target_rates.borrow().iter().map(|(target, rate)| (target.clone(), f64::from(*rate))).collect();
    totals.extend(own_totals(now, &state, &slices, &node.settings.vm));
    let lost = state.keepers().map(|(target, _)| target).filter(|target| keeper.is_lost(now, target));
    let inputs = Inputs {
        state: &state,
        list: &node.vm_list.borrow(),
        members: &node.members.borrow(),
        loads: &slices,
        totals: &totals,
        lost: &lost.cloned().collect(),
        moving: &moving(now, &state, &keeper),
    };
    planner.plan(now, &inputs)
}

/// Returns the slices of kept owners that are not granted yet.
fn moving(now: Time, state: &State, keeper: &Keeper) -> BTreeSet<(Service, SliceId)> {
    let own = state.rows().filter(|(.., row)| keeper.keeps(&row.owner));
    let waiting =
        own.filter(|(_, slice, row)| keeper.admit(now, &row.owner, Some((*slice, row.fence))).is_err());
    waiting.map(|(service, slice, _)| (service.clone(), slice)).collect()
}

fn carry_out(node: &Node, plan: Plan) {
    for assign in plan.assigns {
        shift(node, assign);
    }
    for carve in plan.carves {
        split(node, carve);
    }
}

fn shift(node: &Node, assign: Assign) {
    let now = node.now();
    let service = assign.service;
    let mut moves: Vec<Move> = Vec::new();
    for change in assign.moves {
        let Some(owner) = owner(node, &service, change.slice) else { continue };
        // A move that the keeper refuses is planned again while it is needed.
        let shifted = node.keeper.borrow_mut().shift(now, &service, &owner, change);
        if let Ok(Change::Assign(assign)) = shifted {
            moves.extend(assign.moves);
        }
    }
    if !moves.is_empty() {
        append::push(node, &node.control_queue, Change::Assign(Assign { service, moves }));
    }
}

fn split(node: &Node, carve: Carve) {
    let slice = node.state.borrow().slice(&carve.service, &carve.key);
    let Some(slice) = slice else { return };
    let Some(owner) = owner(node, &carve.service, slice) else { return };
    let carved = node.keeper.borrow_mut().carve(node.now(), &owner, slice, carve);
    if let Ok(change) = carved {
        append::push(node, &node.control_queue, change);
    }
}

fn owner(node: &Node, service: &Service, slice: SliceId) -> Option<TargetId> {
    node.state.borrow().row(service, slice).map(|row| row.owner.clone())
}
