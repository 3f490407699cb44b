//! Plans the moves of slices between targets, by load and away from leaving
//! targets.

use {
    crate::{append, node::Node},
    catkin::{
        fold::State,
        lease::Keeper,
        place::{Inputs, Plan, Planner, kept_loads},
        record::{Assign, Change, Move, SplitOff},
        types::{Service, SliceId, TargetId, Time},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
};

const PLAN_PERIOD: Duration = Duration::from_secs(1);
/// Time between two plans while a kept target is leaving. It is short because a
/// plan moves a bounded share of the slices and a leaving target gets no new
/// work after 2 s.
const LEAVING_PLAN_PERIOD: Duration = Duration::from_millis(50);

/// Plans moves until the process ends.
pub(crate) async fn run(node: Rc<Node>) {
    let mut planner = Planner::new(node.settings.vm.clone());
    loop {
        let period = if has_leaving_owner(&node) { LEAVING_PLAN_PERIOD } else { PLAN_PERIOD };
        actix_rt::time::sleep(period).await;
        if node.log_available.get() && node.ready.get() {
            let plan = plan(&node, &mut planner);
            apply(&node, plan);
        }
    }
}

/// Returns whether a kept target that is leaving still owns slices.
fn has_leaving_owner(node: &Node) -> bool {
    let state = node.state.borrow();
    let keeper = node.keeper.borrow();
    let leaving: BTreeSet<TargetId> =
        node.vm_list.borrow().leaving_targets().filter(|target| keeper.keeps(target)).collect();
    !leaving.is_empty() && state.rows().any(|(.., row)| leaving.contains(&row.owner))
}

fn plan(node: &Node, planner: &mut Planner) -> Plan {
    let now = node.now();
    let state = node.state.borrow();
    node.slice_loads.borrow_mut().sweep(now);
    let slice_loads = node.slice_loads.borrow();
    let keeper = node.keeper.borrow();
    let mut totals: BTreeMap<TargetId, f64> =
        node.target_rates.borrow().iter().map(|(target, rate)| (target.clone(), f64::from(*rate))).collect();
    totals.extend(kept_loads(now, &state, &slice_loads, &node.settings.vm));
    let lost = state.keepers().map(|(target, _)| target).filter(|target| keeper.is_unreachable(now, target));
    let inputs = Inputs {
        state: &state,
        list: &node.vm_list.borrow(),
        members: &node.members.borrow(),
        loads: &slice_loads,
        totals: &totals,
        unreachable: &lost.cloned().collect(),
        unsettled: &find_moving(now, &state, &keeper),
    };
    planner.plan(now, &inputs)
}

/// Returns the slices of kept owners whose grant is not confirmed yet.
fn find_moving(now: Time, state: &State, keeper: &Keeper) -> BTreeSet<(Service, SliceId)> {
    let own = state.rows().filter(|(.., row)| keeper.keeps(&row.owner));
    let not_granted =
        own.filter(|(_, slice, row)| keeper.admit(now, &row.owner, Some((*slice, row.fence))).is_err());
    not_granted.map(|(service, slice, _)| (service.clone(), slice)).collect()
}

fn apply(node: &Node, plan: Plan) {
    for assign in plan.assigns {
        move_slices(node, assign);
    }
    for change in plan.split_offs {
        split_off(node, change);
    }
}

fn move_slices(node: &Node, assign: Assign) {
    let now = node.now();
    let service = assign.service;
    let mut moves: Vec<Move> = Vec::new();
    for change in assign.moves {
        let Some(owner) = find_owner(node, &service, change.slice) else { continue };
        // A move that the keeper refuses is part of a later plan if it is still
        // needed.
        let accepted = node.keeper.borrow_mut().move_slice(now, &service, &owner, change);
        if let Ok(Change::Assign(assign)) = accepted {
            moves.extend(assign.moves);
        }
    }
    if !moves.is_empty() {
        append::push(node, &node.control_queue, Change::Assign(Assign { service, moves }));
    }
}

fn split_off(node: &Node, change: SplitOff) {
    let slice = node.state.borrow().slice(&change.service, &change.key);
    let Some(slice) = slice else { return };
    let Some(owner) = find_owner(node, &change.service, slice) else { return };
    let accepted = node.keeper.borrow_mut().split_off(node.now(), &owner, slice, change);
    if let Ok(change) = accepted {
        append::push(node, &node.control_queue, change);
    }
}

fn find_owner(node: &Node, service: &Service, slice: SliceId) -> Option<TargetId> {
    node.state.borrow().row(service, slice).map(|row| row.owner.clone())
}
