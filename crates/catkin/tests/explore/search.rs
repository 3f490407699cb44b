//! Breadth-first search over all placements of a bounded number of faults.

use {
    crate::world::{Fault, World},
    std::{
        collections::{HashMap, HashSet},
        hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
        thread,
    },
};

const THREADS: usize = 6;

/// One step that the search can take instead of a plain round.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Step {
    /// A round of time, with a fault in it.
    Round(Fault),
    /// Turns the log off or on.
    Log,
    /// Pauses a VM or wakes it.
    Pause(usize),
    /// Stops a VM from reading the log, or lets it read again.
    Lag(usize),
    /// Cuts a server off or connects it again.
    Cut(usize),
    /// Cuts a VM off from a server or connects it again.
    Link(usize, usize),
    /// A new process takes the place of a server's old one.
    RestartServer(usize),
    /// A new process takes the place of a VM's old one.
    RestartVm(usize),
    /// The VM list drops a server whose VM was removed.
    Gone(usize),
    /// A VM claims a server.
    Claim(usize, usize),
    /// Placement moves the slice to a server.
    Shift(usize, usize),
    /// Placement drops the standby.
    Restand(usize),
    /// A message that was held back arrives.
    Release(usize),
}

/// Result of a search.
pub(crate) struct Found {
    /// States explored.
    pub(crate) states: usize,
    /// A schedule that breaks an invariant, with what broke.
    pub(crate) broken: Option<(Vec<Step>, String)>,
}

fn steps(world: &World) -> Vec<Step> {
    let mut steps = vec![Step::Log];
    for vm in 0..2 {
        steps.extend([Step::Pause(vm), Step::Lag(vm), Step::RestartVm(vm), Step::Restand(vm)]);
        steps.extend([Step::Round(Fault::HoldAsks(vm)), Step::Round(Fault::HoldAppends(vm))]);
        for server in 0..2 {
            steps.extend([Step::Shift(vm, server), Step::Link(vm, server)]);
            // A VM sends commands only to servers that it keeps, and claims
            // only others.
            if !world.vms[vm].keeper.keeps(&world.servers[server].id) {
                steps.push(Step::Claim(vm, server));
                continue;
            }
            let faults = [
                Fault::LoseCommands(vm, server),
                Fault::LoseReplies(vm, server),
                Fault::HoldCommands(vm, server),
                Fault::CopyCommands(vm, server),
            ];
            steps.extend(faults.map(Step::Round));
        }
    }
    for server in 0..2 {
        steps.extend([Step::Cut(server), Step::RestartServer(server), Step::Gone(server)]);
    }
    steps.extend((0..world.held.len()).map(Step::Release));
    steps
}

/// Takes a step. Returns whether it changes anything.
fn apply(world: &mut World, step: Step) -> bool {
    match step {
        Step::Round(fault) => world.round(fault),
        Step::Log => world.log_up = !world.log_up,
        Step::Pause(vm) => world.vms[vm].paused = !world.vms[vm].paused,
        Step::Lag(vm) => world.vms[vm].lag = !world.vms[vm].lag,
        Step::Cut(server) => world.servers[server].cut = !world.servers[server].cut,
        Step::Link(vm, server) => world.vms[vm].cut[server] = !world.vms[vm].cut[server],
        Step::RestartServer(server) if !world.servers[server].gone => world.restart_server(server),
        Step::RestartVm(vm) => world.restart_vm(vm),
        Step::Gone(server) if !world.servers[1 - server].gone => world.remove(server),
        Step::Claim(vm, server) if world.log_up => {
            world.claim(vm, server);
            world.drain();
        }
        Step::Shift(vm, server) if world.log_up => {
            let shifted = world.shift(vm, server, Some(1 - server));
            world.drain();
            return shifted;
        }
        Step::Restand(vm) if world.log_up => {
            let owner =
                world.truth().row(&crate::world::service(), crate::world::slice()).map(|r| r.owner.clone());
            let owner = usize::from(owner.as_ref() == Some(&world.servers[1].id));
            let shifted = world.shift(vm, owner, None);
            world.drain();
            return shifted;
        }
        Step::Release(message) => world.release(message),
        _ => return false,
    }
    true
}

/// A state in the search: the world, the steps left, and its place in the
/// trace.
struct Node {
    world: World,
    left: usize,
    place: usize,
}

/// Explores all schedules of `rounds` rounds with at most `budget` other
/// steps at any places, breadth first, and checks every state.
///
/// A state that was met with at least as many steps left is not met again.
pub(crate) fn explore(
    start: &World,
    rounds: usize,
    budget: usize,
    check: impl Fn(&World) -> Result<(), String> + Sync,
) -> Found {
    let mut trace = Vec::new();
    let mut level: Vec<Vec<Node>> = (0..=budget).map(|_| Vec::new()).collect();
    level[budget].push(Node { world: start.clone(), left: budget, place: usize::MAX });
    for round in 0..rounds {
        let mut met: HashMap<(u64, bool), usize> = HashMap::new();
        let mut next: Vec<Vec<Node>> = (0..=budget).map(|_| Vec::new()).collect();
        for left in (0..=budget).rev() {
            let nodes = std::mem::take(&mut level[left]);
            for child in children(&nodes, &check) {
                let Child { parent, step, world, hash, broken } = child;
                let timed = matches!(step, Step::Round(_));
                let left = if step == Step::Round(Fault::None) { left } else { left - 1 };
                if met.get(&(hash, timed)).is_some_and(|old| *old >= left) {
                    continue;
                }
                met.insert((hash, timed), left);
                trace.push((nodes[parent].place, step));
                let place = trace.len() - 1;
                if let Some(what) = broken {
                    let broken = Some((path(&trace, place), format!("round {round}: {what}")));
                    return Found { states: trace.len(), broken };
                }
                let list = if timed { &mut next } else { &mut level };
                list[left].push(Node { world, left, place });
            }
        }
        level = next;
    }
    Found { states: trace.len(), broken: None }
}

struct Child {
    parent: usize,
    step: Step,
    world: World,
    hash: u64,
    broken: Option<String>,
}

/// Makes the successors of all nodes, in the order of the nodes, with those
/// that cost nothing first.
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
    let mut met = HashSet::new();
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
            if met.insert((hash, step == Step::Round(Fault::None))) {
                let broken = check(&world).err();
                children.push(Child { parent: first + number, step, world, hash, broken });
            }
        }
    }
    children
}

fn path(trace: &[(usize, Step)], last: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut place = last;
    while let Some((before, step)) = trace.get(place) {
        steps.push(*step);
        place = *before;
    }
    steps.reverse();
    steps
}
