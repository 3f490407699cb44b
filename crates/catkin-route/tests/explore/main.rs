//! Exhaustive search of the leader's decisions: two leaders, two targets, one
//! range of keys, and commands that are lost, delayed or answered.
//!
//! The first leader loses the store when the second one claims leadership, but
//! both reach the targets. In every state at most one running target holds the
//! keys, and each process gets them with a higher fence than all other processes
//! before. From every last state, once faults have ended, the keys are served
//! again within a bound.
//!
//! A second search has fewer faults of commands, and late writes of directory
//! entries instead: a process that has ended becomes the listed one again, also
//! for a leader that lists the directory only then.

#[path = "../common/mod.rs"]
mod common;

use {
    catkin::types::{ConnId, Time},
    catkin_route::{
        balance::FleetLoads,
        directory::{Directory, Entry},
        granter::{self, Action, Command, Granter, Outcome, Step},
        owners::{Owners, Row},
    },
    common::{LEASE_TIMES, SERVICE, at, entry, leader},
    std::{
        collections::{BTreeMap, BTreeSet, HashSet, hash_map::DefaultHasher},
        hash::{Hash, Hasher},
        sync::Arc,
    },
};

/// Time between two steps of a path.
const STEP_MS: u64 = 500;

/// Steps of one path; they cover two lease durations.
const STEPS: u32 = 14;

/// What may happen on one path.
#[derive(Clone, Copy)]
struct Bounds {
    /// Commands that are not simply answered.
    faults: u32,
    /// Restarts, drains, claims and late writes.
    events: u32,
    /// Whether writes of directory entries may be carried out late.
    late_writes: bool,
    /// Whether the first target may count as silent for a while, also if it is not.
    silence: bool,
}

const COMMANDS: Bounds = Bounds { faults: 2, events: 2, late_writes: false, silence: false };

const LATE_WRITES: Bounds = Bounds { faults: 0, events: 3, late_writes: true, silence: false };

const SILENCE: Bounds = Bounds { faults: 1, events: 2, late_writes: false, silence: true };

/// Longest delay after which the write of an entry is still carried out.
const LATE_WRITE_MAX_MS: u64 = 6_000;

/// Time after which a process writes its entry again if another one has
/// replaced it.
const HEARTBEAT_MS: u64 = 1_000;

/// Time after which a process writes its first entry if it can't reach the store
/// at once.
const UNLISTED_MS: u64 = 4_000;

/// Time without the store after which a leader gives up.
const GIVE_UP_MS: u64 = 6_500;

/// Longest delay after which a command is still carried out.
const DELAY_MAX_MS: u64 = 4_000;

/// Time without faults after which the keys must be served: a lease of each of
/// two leaders, the time after which the first one gives up, and the time after
/// which a listed process is known to run.
const SETTLE_MS: u64 = 16_000;

/// Guards that a search runs without.
#[derive(Clone, Copy, Default)]
struct Disabled {
    /// A new leader's wait for earlier ones.
    wait: bool,
    /// The store's condition on the offset of a record.
    condition: bool,
    /// The connection that a fence keeps to.
    binding: bool,
    /// The check that every last state leads to served keys.
    settling: bool,
}

#[derive(Clone, Debug, Default)]
struct Server {
    started: u64,
    /// Each leader's connection and the incarnation at its other end; none if
    /// the next command opens one.
    conns: [Option<(ConnId, u64)>; 2],
    highest_fence: u64,
    lease_end: u64,
}

#[derive(Clone, Debug)]
struct Delayed {
    server: usize,
    command: Command,
    arrived: u64,
}

#[derive(Clone)]
struct World {
    now: u64,
    next_offset: u64,
    table: Owners,
    first: Option<Granter>,
    second: Option<Granter>,
    servers: [Server; 2],
    last_conn: ConnId,
    draining: bool,
    is_silent: bool,
    delayed: Vec<Delayed>,
    faults: u32,
    events: u32,
    claimed: Option<u64>,
    /// Entry of the first target that the store holds.
    listed: Listed,
    /// When the running process of the first target writes its entry.
    write_due: Option<u64>,
    /// Until when the process before may still be listed by a late write.
    late_until: u64,
    /// Directory of each leader.
    directories: [Directory; 2],
    /// Entries of the first target that each leader has read, and when.
    reads: [Vec<(Listed, u64)>; 2],
    /// Highest fence of each process that was granted the keys, by target and
    /// start.
    taken: BTreeMap<(usize, u64), u64>,
    violation: Option<&'static str>,
    trace: Vec<String>,
}

/// How a command is delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    Answered,
    /// The command is answered, and the connection is closed after that.
    Closed,
    AnswerLost,
    Delayed,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Nothing,
    Restart,
    /// The new process writes its entry only after [`UNLISTED_MS`].
    RestartUnlisted,
    Drain,
    Claim,
    /// The new leader lists the directory at that time, and has read nothing
    /// before.
    ClaimAnew,
    /// A write of the process before the running one is carried out.
    LateWrite,
    RunDelayed,
    /// Both leaders learn that the first target is silent, or that it answers again.
    Silence,
}

/// Entry of the first target: the start of its process, and whether it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Listed {
    started: u64,
    draining: bool,
}

impl Listed {
    fn entry(self) -> Entry {
        Entry { draining: self.draining, ..entry("a", self.started) }
    }
}

impl World {
    fn new() -> Self {
        let row = Row { from: 0, to: 0, target: "a".into(), started: 1, fence: 1, handover: None };
        let services = [(SERVICE.into(), vec![row])].into();
        let table = Owners {
            leader: leader("x"),
            earlier_leaders: Vec::new(),
            lease_duration: LEASE_TIMES.duration,
            services,
        };
        let claim = granter::claim(&leader("x"), LEASE_TIMES.duration, Some(&table), 1);
        let listed = Listed { started: 1, draining: false };
        let mut directory = Directory::default();
        directory.put(at(0), listed.entry());
        directory.put(at(0), entry("b", 1));
        directory.note_read(at(0));
        let conns = [1, 2].map(|id| Some((ConnId(id), 1)));
        let server = Server { started: 1, conns, ..Server::default() };
        Self {
            now: 0,
            next_offset: 2,
            first: Some(Granter::new(LEASE_TIMES, at(0), at(0), LEASE_TIMES.duration, &claim, 1)),
            second: None,
            table: claim,
            servers: [server.clone(), server],
            last_conn: ConnId(2),
            draining: false,
            is_silent: false,
            delayed: Vec::new(),
            faults: 0,
            events: 0,
            claimed: None,
            listed,
            write_due: None,
            late_until: 0,
            directories: [directory.clone(), directory],
            reads: Default::default(),
            taken: BTreeMap::new(),
            violation: None,
            trace: Vec::new(),
        }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let parts = (&self.first, &self.second, &self.servers, &self.delayed, &self.table);
        format!("{parts:?}").hash(&mut hasher);
        (
            self.now,
            self.next_offset,
            self.draining,
            self.is_silent,
            self.faults,
            self.events,
            self.claimed,
            self.listed,
            self.write_due,
            self.late_until,
            &self.reads,
            &self.taken,
        )
            .hash(&mut hasher);
        hasher.finish()
    }

    fn granter(&mut self, second: bool) -> &mut Option<Granter> {
        if second { &mut self.second } else { &mut self.first }
    }

    /// Lets a target carry a command out. Returns its answer.
    fn apply(&mut self, server_index: usize, command: &Command, arrived: u64) -> Outcome {
        let now = self.now;
        let server = &mut self.servers[server_index];
        match command.action {
            Action::Grant { .. } if command.fence < server.highest_fence => Outcome::Fenced,
            Action::Grant { .. } => {
                // The clock of the target is 2% slow.
                let lease_end = arrived + 3_060;
                server.highest_fence = command.fence;
                if lease_end <= now {
                    return Outcome::Done(None);
                }
                server.lease_end = server.lease_end.max(lease_end);
                let process = (server_index, server.started);
                if self.taken.iter().any(|(other, fence)| *other != process && *fence >= command.fence) {
                    self.violation = Some("a fence that is not above that of another process");
                }
                self.taken.insert(process, command.fence);
                Outcome::Done(None)
            }
            Action::Release => {
                server.lease_end = 0;
                Outcome::Done(None)
            }
        }
    }

    fn deliver(&mut self, second: bool, command: Command, delivery: Delivery, disabled: Disabled) {
        {
            self.trace.push(format!(
                "{} {} {} {:?} {:?} fence {}",
                self.now,
                if second { "second" } else { "first" },
                command.incarnation.id,
                delivery,
                command.action,
                command.fence
            ));
        }
        let server_index = usize::from(&*command.incarnation.id == "b");
        // A command for an earlier incarnation finds its connection closed; the
        // next one would reach the new incarnation.
        let started = self.servers[server_index].started;
        let kept = self.servers[server_index].conns[usize::from(second)];
        let is_bound = command.conn.is_some() && command.action != Action::Release && !disabled.binding;
        let is_closed = is_bound && command.conn != kept.map(|(id, _)| id);
        let is_stale = kept.is_some_and(|(_, end)| end != started);
        if !is_closed || is_stale {
            self.last_conn = if kept.is_none() { self.last_conn.next() } else { self.last_conn };
            let conn = kept.or(Some((self.last_conn, started)));
            // A connection on which no answer came is closed.
            let is_lost = matches!(delivery, Delivery::Closed | Delivery::AnswerLost | Delivery::Delayed);
            self.servers[server_index].conns[usize::from(second)] = conn.filter(|_| !is_lost && !is_stale);
            let now = at(self.now);
            if let (Some((id, _)), Some(granter)) = (conn.filter(|_| !is_stale), self.granter(second)) {
                granter.command_sent(now, command.ticket, id);
            }
        }
        let outcome = match delivery {
            _ if is_stale => Outcome::Undelivered,
            _ if is_closed => Outcome::Closed,
            Delivery::NotSent => Outcome::Undelivered,
            Delivery::Answered | Delivery::Closed => self.apply(server_index, &command, self.now),
            Delivery::AnswerLost => {
                self.apply(server_index, &command, self.now);
                Outcome::Unknown
            }
            Delivery::Delayed => {
                self.delayed.push(Delayed {
                    server: server_index,
                    command: command.clone(),
                    arrived: self.now,
                });
                Outcome::Unknown
            }
        };
        let now = at(self.now);
        if let Some(granter) = self.granter(second) {
            granter.command_ended(now, command.ticket, outcome);
            if granter.is_fenced() {
                *self.granter(second) = None;
            }
        }
    }

    fn tick(&mut self, second: bool, disabled: Disabled) -> Vec<Command> {
        let now = at(self.now);
        let keyed: [Arc<str>; 1] = [SERVICE.into()];
        let granter = if second { &mut self.second } else { &mut self.first };
        let Some(granter) = granter else { return Vec::new() };
        let directory = &self.directories[usize::from(second)];
        let steps = granter.tick(now, &keyed, directory, &FleetLoads::default());
        let mut commands = Vec::new();
        for step in steps {
            match step {
                Step::Send(command) => commands.push(command),
                Step::Write { table, offset } => self.write(second, table, offset, now, disabled),
            }
        }
        commands
    }

    fn write(&mut self, second: bool, table: Owners, offset: u64, now: Time, disabled: Disabled) {
        // A leader without the store repeats the write and renews meanwhile.
        if !second && self.claimed.is_some() && !disabled.condition {
            return;
        }
        if offset != self.next_offset && !disabled.condition {
            *self.granter(second) = None;
            return;
        }
        self.next_offset += 1;
        let reading = usize::from(self.claimed.is_some());
        self.directories[reading..].iter_mut().for_each(|directory| directory.learn_owners(now, &table));
        self.table = table;
        if let Some(granter) = self.granter(second) {
            granter.table_accepted(now);
        }
    }

    fn event(&mut self, event: Event, disabled: Disabled) {
        if event != Event::Nothing {
            self.trace.push(format!("{} {event:?}", self.now));
        }
        let is_end = event == Event::RunDelayed || event == Event::Silence && self.is_silent;
        self.events += u32::from(event != Event::Nothing && !is_end);
        match event {
            Event::Nothing => {}
            Event::Restart => self.restart(STEP_MS),
            Event::RestartUnlisted => self.restart(UNLISTED_MS),
            Event::Drain => {
                self.draining = true;
                self.write_due = self.write_due.or(Some(self.now + STEP_MS));
            }
            Event::Claim => self.claim(disabled),
            Event::ClaimAnew => {
                self.directories[1] = Directory::default();
                self.directories[1].put_listed(at(self.now), self.listed.entry());
                self.directories[1].put_listed(at(self.now), entry("b", 1));
                self.directories[1].note_read(at(self.now));
                self.reads[1] = vec![(self.listed, self.now)];
                self.claim(disabled);
            }
            Event::LateWrite => {
                self.late_until = 0;
                self.listed = Listed { started: self.servers[0].started - 1, draining: false };
                self.write_due = self.write_due.or(Some(self.now + HEARTBEAT_MS));
                self.read_entry();
            }
            Event::Silence => self.set_silent(!self.is_silent),
            Event::RunDelayed => {
                for delayed in std::mem::take(&mut self.delayed) {
                    self.apply(delayed.server, &delayed.command, delayed.arrived);
                }
            }
        }
    }

    fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
        for directory in &mut self.directories {
            let known = directory.get("a").filter(|_| is_silent).map(|t| t.entry.incarnation.clone());
            directory.set_silent(known.as_slice());
        }
    }

    /// Starts the first target again. The new process writes its entry after
    /// `lag_ms`.
    fn restart(&mut self, lag_ms: u64) {
        // Commands that a process has not yet carried out end with it.
        self.delayed.retain(|l| l.server != 0);
        let Server { started, conns, .. } = self.servers[0];
        self.servers[0] = Server { started: started + 1, conns, ..Server::default() };
        self.write_due = Some(self.now + lag_ms);
        self.late_until = self.now + LATE_WRITE_MAX_MS;
    }

    /// Lets the second leader claim leadership. The first one loses the store.
    fn claim(&mut self, disabled: Disabled) {
        let offset = self.next_offset;
        let claim = granter::claim(&leader("y"), LEASE_TIMES.duration, Some(&self.table), offset);
        let wait = if disabled.wait { 0 } else { GIVE_UP_MS };
        let (now, stop_time) = (at(self.now), at(self.now + wait));
        self.second = Some(Granter::new(LEASE_TIMES, now, stop_time, LEASE_TIMES.duration, &claim, offset));
        self.directories[1].learn_owners(now, &claim);
        (self.next_offset, self.table, self.claimed) = (offset + 1, claim, Some(self.now));
    }

    /// Lets the leaders that reach the store read the entry of the first target.
    fn read_entry(&mut self) {
        let first = usize::from(self.claimed.is_some());
        for i in first..2 {
            self.directories[i].put(at(self.now), self.listed.entry());
            self.reads[i].push((self.listed, self.now));
        }
    }

    /// Ends a step: the processes that run write their entries, and the leaders
    /// that reach the store read the directory.
    fn advance(&mut self) {
        self.now += STEP_MS;
        let (now, claimed) = (self.now, self.claimed);
        if self.write_due.is_some_and(|due| due <= now) {
            self.write_due = None;
            self.listed = Listed { started: self.servers[0].started, draining: self.draining };
            self.read_entry();
        }
        if now > self.late_until {
            self.late_until = 0;
        }
        for directory in &mut self.directories[usize::from(claimed.is_some())..] {
            directory.note_read(at(now));
        }
        self.delayed.retain(|l| now <= l.arrived + DELAY_MAX_MS);
        if claimed.is_some_and(|at| now > at + GIVE_UP_MS) {
            self.first = None;
        }
    }

    /// Returns whether the keys are served again once faults have ended.
    fn settles(&self) -> bool {
        let mut world = self.clone();
        world.faults = u32::MAX;
        world.set_silent(false);
        let end = world.now + SETTLE_MS;
        while world.now < end {
            world.event(Event::RunDelayed, Disabled::default());
            for second in [false, true] {
                let mut worlds = run_leader(vec![world], second, COMMANDS, Disabled::default());
                world = worlds.remove(0);
            }
            world.advance();
        }
        world.servers.iter().any(|server| server.lease_end > world.now)
    }

    fn check(&mut self) {
        let holders = self.servers.iter().filter(|s| s.lease_end > self.now).count();
        if holders > 1 {
            self.violation = Some("two targets hold the keys");
        }
    }
}

fn deliveries(world: &World, bounds: Bounds) -> &'static [Delivery] {
    match world.faults < bounds.faults {
        true => &[
            Delivery::Answered,
            Delivery::Closed,
            Delivery::AnswerLost,
            Delivery::Delayed,
            Delivery::NotSent,
        ],
        false => &[Delivery::Answered],
    }
}

fn possible_events(world: &World, bounds: Bounds) -> Vec<Event> {
    let mut events = vec![Event::Nothing];
    if world.events < bounds.events {
        events.push(Event::Restart);
        if !world.draining {
            events.push(Event::Drain);
        }
        if world.claimed.is_none() {
            events.push(Event::Claim);
        }
        if bounds.late_writes {
            events.push(Event::RestartUnlisted);
            if world.claimed.is_none() {
                events.push(Event::ClaimAnew);
            }
            if world.late_until > 0 {
                events.push(Event::LateWrite);
            }
        }
    }
    if bounds.silence && (world.is_silent || world.events < bounds.events) {
        events.push(Event::Silence);
    }
    if !world.delayed.is_empty() {
        events.push(Event::RunDelayed);
    }
    events
}

/// Runs one round of a leader, with every delivery that each of its commands
/// can have.
fn run_leader(worlds: Vec<World>, second: bool, bounds: Bounds, disabled: Disabled) -> Vec<World> {
    let mut results = Vec::new();
    for mut world in worlds {
        let commands = world.tick(second, disabled);
        let mut branches = vec![world];
        for command in commands {
            let mut next = Vec::new();
            for branch in branches {
                for delivery in deliveries(&branch, bounds) {
                    let mut world = branch.clone();
                    world.faults += u32::from(*delivery != Delivery::Answered);
                    world.deliver(second, command.clone(), *delivery, disabled);
                    next.push(world);
                }
            }
            branches = next;
        }
        results.extend(branches);
    }
    results
}

/// Returns the number of states and the violations that were found.
fn search(bounds: Bounds, disabled: Disabled) -> (usize, BTreeSet<&'static str>) {
    let mut visited = HashSet::new();
    let mut violations = BTreeSet::new();
    let mut states = vec![World::new()];
    for _ in 0..STEPS {
        let mut next = Vec::new();
        for world in states {
            for event in possible_events(&world, bounds) {
                let mut world = world.clone();
                world.event(event, disabled);
                let first = run_leader(vec![world], false, bounds, disabled);
                for mut world in run_leader(first, true, bounds, disabled) {
                    world.check();
                    if let (Some(violation), true) = (world.violation, violations.is_empty()) {
                        println!("{violation}: {:#?} {:?}", world.trace, world.servers);
                    }
                    violations.extend(world.violation);
                    world.advance();
                    if world.violation.is_none() && visited.insert(world.fingerprint()) {
                        next.push(world);
                    }
                }
            }
        }
        states = next;
    }
    if !disabled.settling
        && let Some(world) = states.iter().find(|world| !world.settles())
    {
        println!("keys without an owner: {:#?} {:?}", world.trace, world.servers);
        violations.insert("keys without an owner after faults have ended");
    }
    (visited.len(), violations)
}

/// With all guards, no state has two holders, no process gets a fence that is
/// not above those of others, and every last state leads to served keys.
#[test]
fn no_state_has_two_holders() {
    let (states, violations) = search(COMMANDS, Disabled::default());
    println!("explored {states} states");
    assert!(states > 10_000);
    assert_eq!(violations, BTreeSet::new());
}

/// With late writes of entries, also for a leader that lists the directory while
/// one of an ended process is the newest.
#[test]
fn no_state_has_two_holders_with_late_entries() {
    let (states, violations) = search(LATE_WRITES, Disabled::default());
    println!("explored {states} states");
    assert!(states > 10_000);
    assert_eq!(violations, BTreeSet::new());
}

/// With a target that counts as silent at any time, rightly or not, and gets no
/// renewals meanwhile: its keys must not move before all its leases have ended.
#[test]
fn no_state_has_two_holders_with_silent_targets() {
    let (states, violations) = search(SILENCE, Disabled::default());
    println!("explored {states} states");
    assert!(states > 10_000);
    assert_eq!(violations, BTreeSet::new());
}

/// Checks that the search detects a missing guard: two targets hold the keys if
/// a new leader does not wait for an earlier one that may still renew.
#[test]
fn search_needs_wait_for_earlier_leader() {
    let (_, violations) = search(COMMANDS, Disabled { wait: true, settling: true, ..Disabled::default() });
    assert!(!violations.is_empty());
}

/// Checks that the search detects a missing guard: two targets hold the keys if
/// the store accepts a record at any offset.
#[test]
fn search_needs_condition_of_store() {
    let (_, violations) =
        search(COMMANDS, Disabled { condition: true, settling: true, ..Disabled::default() });
    assert!(!violations.is_empty());
}

/// Checks that the search detects a missing guard: a later process gets the
/// fence of the earlier one if a fence may go on any connection.
#[test]
fn search_needs_connection_of_fence() {
    let (_, violations) = search(COMMANDS, Disabled { binding: true, settling: true, ..Disabled::default() });
    assert!(!violations.is_empty());
}
