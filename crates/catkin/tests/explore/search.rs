//! Breadth-first search over all positions of a bounded number of faults.

use {
    crate::world::{Fault, World},
    std::{
        collections::{HashMap, HashSet},
        hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
        thread,
    },
};

const THREADS: usize = 6;

/// One step of a schedule.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Step {
    /// One round of time with a fault, or without one.
    Round(Fault),
    /// Makes the log unavailable or available again.
    ToggleLog,
    /// Pauses a VM or resumes it.
    TogglePause(usize),
    /// Stops or resumes the log reads of a VM.
    ToggleLag(usize),
    /// Cuts a server off or connects it again.
    ToggleServer(usize),
    /// Cuts a VM off from a server or connects it again.
    ToggleLink(usize, usize),
    /// Replaces the process of a server by a new incarnation.
    RestartServer(usize),
    /// Replaces the process of a VM by a new incarnation.
    RestartVm(usize),
    /// Removes a server's VM, and drops it from the VM list.
    RemoveServer(usize),
    /// A VM claims a server.
    Claim(usize, usize),
    /// Placement moves the slice to a server.
    MoveSlice(usize, usize),
    /// Placement removes the standby of the slice.
    DropStandby(usize),
    /// A delayed message arrives.
    DeliverDelayed(usize),
}

/// Result of a search.
pub(crate) struct SearchResult {
    /// Number of states explored.
    pub(crate) states: usize,
    /// A schedule that violates an invariant, with a description.
    pub(crate) violation: Option<(Vec<Step>, String)>,
}

fn steps(world: &World) -> Vec<Step> {
    let mut steps = vec![Step::ToggleLog];
    for vm in 0..2 {
        steps.extend([
            Step::TogglePause(vm),
            Step::ToggleLag(vm),
            Step::RestartVm(vm),
            Step::DropStandby(vm),
        ]);
        steps.extend([Step::Round(Fault::DelayAsks(vm)), Step::Round(Fault::DelayAppends(vm))]);
        for server in 0..2 {
            steps.extend([Step::MoveSlice(vm, server), Step::ToggleLink(vm, server)]);
            // A VM sends commands only to servers that it keeps, and claims
            // only others.
            if !world.vms[vm].keeper.keeps(&world.servers[server].id) {
                steps.push(Step::Claim(vm, server));
                continue;
            }
            let faults = [
                Fault::DropCommands(vm, server),
                Fault::DropReplies(vm, server),
                Fault::DelayCommands(vm, server),
                Fault::CopyCommands(vm, server),
            ];
            steps.extend(faults.map(Step::Round));
        }
    }
    for server in 0..2 {
        steps.extend([Step::ToggleServer(server), Step::RestartServer(server), Step::RemoveServer(server)]);
    }
    steps.extend((0..world.delayed.len()).map(Step::DeliverDelayed));
    steps
}

/// Applies a step. Returns whether it is possible in this state.
fn apply(world: &mut World, step: Step) -> bool {
    match step {
        Step::Round(fault) => world.round(fault),
        Step::ToggleLog => world.log_up = !world.log_up,
        Step::TogglePause(vm) => world.vms[vm].paused = !world.vms[vm].paused,
        Step::ToggleLag(vm) => world.vms[vm].log_lagging = !world.vms[vm].log_lagging,
        Step::ToggleServer(server) => world.servers[server].cut = !world.servers[server].cut,
        Step::ToggleLink(vm, server) => world.vms[vm].cut[server] = !world.vms[vm].cut[server],
        Step::RestartServer(server) if !world.servers[server].removed => world.restart_server(server),
        Step::RestartVm(vm) => world.restart_vm(vm),
        Step::RemoveServer(server) if !world.servers[1 - server].removed => world.remove(server),
        Step::Claim(vm, server) if world.log_up => {
            world.claim(vm, server);
            world.deliver_all();
        }
        Step::MoveSlice(vm, server) if world.log_up => {
            let moved = world.move_slice(vm, server, Some(1 - server));
            world.deliver_all();
            return moved;
        }
        Step::DropStandby(vm) if world.log_up => {
            let owner = world
                .full_state()
                .row(&crate::world::service(), crate::world::slice())
                .map(|r| r.owner.clone());
            let owner = usize::from(owner.as_ref() == Some(&world.servers[1].id));
            let moved = world.move_slice(vm, owner, None);
            world.deliver_all();
            return moved;
        }
        Step::DeliverDelayed(message) => world.deliver_delayed(message),
        _ => return false,
    }
    true
}

/// A state in the search: the world, the steps other than plain rounds that
/// are left, and its index in the trace.
struct Node {
    world: World,
    left: usize,
    trace_index: usize,
}

/// Explores all schedules of `rounds` rounds with at most `budget` other steps
/// at any positions, breadth first, and checks every state.
///
/// A state that was seen before with at least as many steps left is skipped.
pub(crate) fn explore(
    start: &World,
    rounds: usize,
    budget: usize,
    check: impl Fn(&World) -> Result<(), String> + Sync,
) -> SearchResult {
    let mut trace = Vec::new();
    let mut level: Vec<Vec<Node>> = (0..=budget).map(|_| Vec::new()).collect();
    level[budget].push(Node { world: start.clone(), left: budget, trace_index: usize::MAX });
    for round in 0..rounds {
        let mut seen: HashMap<(u64, bool), usize> = HashMap::new();
        let mut next: Vec<Vec<Node>> = (0..=budget).map(|_| Vec::new()).collect();
        for left in (0..=budget).rev() {
            let nodes = std::mem::take(&mut level[left]);
            for child in children(&nodes, &check) {
                let Child { parent, step, world, hash, violation } = child;
                let is_round = matches!(step, Step::Round(_));
                let left = if step == Step::Round(Fault::None) { left } else { left - 1 };
                if seen.get(&(hash, is_round)).is_some_and(|old| *old >= left) {
                    continue;
                }
                seen.insert((hash, is_round), left);
                trace.push((nodes[parent].trace_index, step));
                let trace_index = trace.len() - 1;
                if let Some(what) = violation {
                    let violation = Some((path(&trace, trace_index), format!("round {round}: {what}")));
                    return SearchResult { states: trace.len(), violation };
                }
                let list = if is_round { &mut next } else { &mut level };
                list[left].push(Node { world, left, trace_index });
            }
        }
        level = next;
    }
    SearchResult { states: trace.len(), violation: None }
}

struct Child {
    parent: usize,
    step: Step,
    world: World,
    hash: u64,
    violation: Option<String>,
}

/// Returns the successors of all nodes, in the order of the nodes, with plain
/// rounds first, which use no budget.
fn children(nodes: &[Node], check: &(impl Fn(&World) -> Result<(), String> + Sync)) -> Vec<Child> {
    let size = nodes.len().div_ceil(THREADS).max(1);
    let parts = thread::scope(|scope| {
        let parts = nodes.chunks(size).enumerate();
        let parts: Vec<_> =
            parts.map(|(n, part)| scope.spawn(move || part_children(part, n * size, check))).collect();
        parts.into_iter().map(|part| part.join().unwrap()).collect::<Vec<_>>()
    });
    let mut all: Vec<Child> = parts.into_iter().flatten().collect();
    all.sort_by_key(|child| child.step != Step::Round(Fault::None));
    all
}

fn part_children(nodes: &[Node], first: usize, check: &impl Fn(&World) -> Result<(), String>) -> Vec<Child> {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let mut seen = HashSet::new();
    let mut children = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let mut choices = vec![Step::Round(Fault::None)];
        if node.left > 0 {
            choices.extend(steps(&node.world));
        }
        for step in choices {
            let mut world = node.world.clone();
            if !apply(&mut world, step) {
                continue;
            }
            let hash = hasher.hash_one(&world);
            if seen.insert((hash, step == Step::Round(Fault::None))) {
                let violation = check(&world).err();
                children.push(Child { parent: first + number, step, world, hash, violation });
            }
        }
    }
    children
}

fn path(trace: &[(usize, Step)], last: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut trace_index = last;
    while let Some((before, step)) = trace.get(trace_index) {
        steps.push(*step);
        trace_index = *before;
    }
    steps.reverse();
    steps
}
