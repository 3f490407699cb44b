//! Work of the leader: sends commands to targets, records the owners of keys
//! and moves keys.
//!
//! | module | responsibility |
//! |---|---|
//! | `membership` | membership of the group that names the next leader |
//! | `claim` | the claim of leadership |
//! | `record` | storage of the table of owners |
//! | `command` | commands to targets |

mod claim;
mod command;
pub(crate) mod membership;
pub(crate) mod record;

use {
    crate::{
        link,
        node::{Node, sleep},
    },
    catkin::types::{ConnId, Span, Time},
    catkin_route::{
        balance::{self, FleetLoads},
        granter::{Action, Command, Granter, LeaseTimes, Outcome, Step},
        owners::Owners,
        vacancy::Vacancy,
    },
    claim::Claim,
    command::{CommandConns, GRANT_TIMEOUT},
    futures_util::future::join_all,
    std::{cell::RefCell, rc::Rc, sync::Arc},
    tokio::{
        sync::mpsc::{self, UnboundedSender},
        task::JoinSet,
    },
};

/// Time without the store after which a leader stops renewing leases. Together
/// with the duration of the last leases it covers the outages of 9 s that the
/// platform announces. Keys whose leases an unreachable leader may still renew
/// are not granted again before this time has passed.
const STORE_OUTAGE_MAX: Span = Span::from_millis(6_500);

/// Timing of leases. A lease outlasts a change of the leader; its duration is
/// also the time for which the keys of a lost target have no owner.
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    duration: Span::from_millis(3_000),
    renew_interval: Span::from_millis(750),
    margin: Span::from_millis(250),
    skew: 1.025,
};

/// Longest time for which a table waits until its new owners have answered
/// their grants. A request that reaches a target before its grant is answered as
/// misdirected, and so is one that goes to the last owner by the older table.
const PUBLISH_DELAY_MAX: Span = Span::from_millis(15);

/// Interval between rounds of the leader.
const ROUND_INTERVAL: Span = Span::from_millis(60);

/// Time between two rounds above which another process may have replaced the
/// leader.
const ROUND_GAP_MAX: Span = Span::from_millis(700);

/// Age of the store's last answer up to which keys are moved by load. The
/// leader calls the store every 300 ms.
const STORE_AGE_MAX: Span = Span::from_millis(800);

/// Interval between rounds of balancing.
const BALANCE_INTERVAL: Span = Span::from_millis(250);

thread_local! {
    /// Loads that edge processes have reported to this one.
    static LOADS: RefCell<FleetLoads> = RefCell::default();
}

/// Calls a function with the loads that were reported to this process.
pub(crate) fn with_loads<T>(f: impl FnOnce(&mut FleetLoads) -> T) -> T {
    LOADS.with_borrow_mut(f)
}

/// Returns the timing of leases for the number of targets of keyed services.
fn lease_times(node: &Node) -> LeaseTimes {
    let directory = node.directory.borrow();
    let config = node.config.borrow();
    let services = config.iter().flat_map(|config| config.keyed());
    LEASE_TIMES.scale_for(services.map(|service| directory.of_service(service).count()).sum())
}

/// Claims leadership whenever that is due, and leads until leadership is lost.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if claim::is_due(&node).await
            && let Some(claim) = claim::claim(&node).await
        {
            node.is_leader.set(true);
            lead(&node, claim).await;
            node.is_leader.set(false);
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Event that a leader waits for.
enum Event {
    /// A command has ended. It went out on the connection, if there is one.
    Command(Command, Outcome, Option<ConnId>),
    /// The store has answered the write of a table: the offset, the table, and
    /// `true` if the table stands at the offset, `false` if another record does
    /// or the table could not be encoded.
    Owners(u64, Owners, bool),
    /// All earlier leaders have stopped.
    Stopped,
}

/// One term of leadership. Its tasks are cancelled when it ends.
struct Term {
    node: Rc<Node>,
    granter: Granter,
    conns: CommandConns,
    tasks: JoinSet<()>,
    events: UnboundedSender<Event>,
    last_decay: Time,
    last_balance: Time,
    /// Newest table that the store has accepted, until it is published.
    unpublished: Option<Unpublished>,
}

/// A table that waits for the grants of its new owners.
struct Unpublished {
    /// Since when a table waits.
    since: Time,
    offset: u64,
    table: Owners,
}

/// Grants, renews and moves keys until another process may lead.
async fn lead(node: &Rc<Node>, claim: Claim) {
    let offset = claim.offset;
    let (sender, mut events) = mpsc::unbounded_channel();
    let mut term = Term::new(node.clone(), claim, sender);
    let mut now = node.now();
    log::info!(offset; "leadership started");
    loop {
        let last_round = std::mem::replace(&mut now, node.now());
        if let Some(reason) = end_reason(node, &term.granter, last_round, now) {
            log::info!(reason; "leadership ended");
            return;
        }
        term.round(now);
        let pause = if term.unpublished.is_some() { PUBLISH_DELAY_MAX } else { ROUND_INTERVAL };
        let event = tokio::time::timeout(pause.as_duration(), events.recv()).await;
        let mut event = event.ok().flatten();
        while let Some(next) = event {
            if !term.handle(next) {
                log::info!(reason = "another process has written the table of owners"; "leadership ended");
                return;
            }
            event = events.try_recv().ok();
        }
    }
}

impl Term {
    fn new(node: Rc<Node>, claim: Claim, events: UnboundedSender<Event>) -> Self {
        let Claim { table, offset, lease_duration } = claim;
        let now = node.now();
        // An earlier leader that can't reach the store, but can reach a target,
        // renews leases there until it has been without the store for
        // `STORE_OUTAGE_MAX`.
        let earlier = table.earlier_leaders.clone();
        let stop_time = if earlier.is_empty() { now } else { now.after(STORE_OUTAGE_MAX) };
        let granter = Granter::new(lease_times(&node), now, stop_time, lease_duration, &table, offset);
        node.update_owners(offset, Rc::new(table));
        let mut tasks = JoinSet::new();
        if !earlier.is_empty() {
            let events = events.clone();
            tasks.spawn_local(async move {
                join_all(earlier.iter().map(link::stop)).await;
                let _ = events.send(Event::Stopped);
            });
        }
        let conns = CommandConns::default();
        Self { node, granter, conns, tasks, events, last_decay: now, last_balance: now, unpublished: None }
    }

    /// Sends the commands and writes the tables that are due.
    fn round(&mut self, now: Time) {
        while self.tasks.try_join_next().is_some() {}
        self.decay(now);
        let services: Vec<Arc<str>> = match &*self.node.config.borrow() {
            Some(config) => config.keyed().cloned().collect(),
            None => Vec::new(),
        };
        let joined_at = self.node.last_join.get().unwrap_or_default();
        // The read of the configuration waits in the store, so its answer tells
        // little of whether the store takes calls now.
        let read_at = self.node.directory_feed.checked_at();
        self.granter.note_store_contact(joined_at.max(read_at));
        let directory = self.node.directory.borrow();
        let steps = with_loads(|loads| self.granter.tick(now, &services, &directory, loads));
        let vacancies = self.granter.vacancies(now, &directory);
        drop(directory);
        self.set_vacancies(vacancies);
        for step in steps {
            match step {
                Step::Send(command) => self.send(command),
                Step::Write { table, offset } => self.write(table, offset),
            }
        }
        self.publish(now);
        // Keys that are released while the store is unavailable have no owner
        // until it is available again.
        let reaches_store = self.node.last_join.get().is_some_and(|at| now.since(at) < STORE_AGE_MAX);
        if now.since(self.last_balance) >= BALANCE_INTERVAL && reaches_store {
            self.last_balance = now;
            rebalance(&self.node, &mut self.granter, &services, now);
        }
    }

    /// Sets which keys have no owner. All processes hear at once of further ones.
    fn set_vacancies(&self, vacancies: Vec<Vacancy>) {
        let last = self.node.own_vacancies.replace(vacancies);
        for Vacancy { service, from, to, .. } in &*self.node.own_vacancies.borrow() {
            if !last.iter().any(|v| v.service == *service && v.from <= *from && *to <= v.to) {
                self.node.silence_changed.set(true);
            }
        }
        let count = self.node.own_vacancies.borrow().len();
        if (count > 0) != last.is_empty() {
            return;
        }
        let rest_ms = self.node.own_vacancies.borrow().iter().map(|v| v.rest().as_millis()).max();
        log::info!(count, rest_ms; "ranges of keys without an owner");
    }

    fn decay(&mut self, now: Time) {
        if now.since(self.last_decay) < balance::DECAY_INTERVAL {
            return;
        }
        self.last_decay = now;
        with_loads(|loads| {
            loads.decay();
            loads.retain(now, &self.node.directory.borrow());
        });
        self.conns.borrow_mut().retain(|_, conn| !conn.is_unused());
    }

    fn send(&mut self, command: Command) {
        let (node, conns, events) = (self.node.clone(), self.conns.clone(), self.events.clone());
        self.tasks.spawn_local(async move {
            let (outcome, conn) = command::send(&node, &conns, &command).await;
            let _ = events.send(Event::Command(command, outcome, conn));
        });
    }

    /// Writes a table in a task, so that renewals continue meanwhile.
    fn write(&mut self, table: Owners, offset: u64) {
        let (node, events) = (self.node.clone(), self.events.clone());
        self.tasks.spawn_local(async move {
            let accepted = record::write(&node, &table, offset).await;
            let _ = events.send(Event::Owners(offset, table, accepted));
        });
    }

    /// Publishes the newest table once its new owners have answered.
    fn publish(&mut self, now: Time) {
        let is_due = |unpublished: &mut Unpublished| {
            !self.granter.awaits_new_owner(now) || now.since(unpublished.since) >= PUBLISH_DELAY_MAX
        };
        if let Some(Unpublished { offset, table, .. }) = self.unpublished.take_if(is_due) {
            self.node.update_owners(offset, Rc::new(table));
        }
    }

    /// Handles an event. Returns whether this process still leads.
    fn handle(&mut self, event: Event) -> bool {
        match event {
            Event::Command(command, outcome, conn) => {
                complete(&self.node, &mut self.granter, &command, outcome, conn);
            }
            Event::Owners(_, _, false) => return false,
            Event::Owners(offset, table, true) => {
                let now = self.node.now();
                self.granter.table_accepted(now);
                let since = self.unpublished.as_ref().map_or(now, |earlier| earlier.since);
                self.unpublished = Some(Unpublished { since, offset, table });
            }
            Event::Stopped => {
                log::info!("all earlier leaders have stopped");
                self.granter.earlier_stopped(self.node.now().after(Span::from(GRANT_TIMEOUT)));
            }
        }
        true
    }
}

fn end_reason(node: &Node, granter: &Granter, last_round: Time, now: Time) -> Option<&'static str> {
    match node.last_join.get() {
        None => Some("this process left the group, or another process leads"),
        Some(_) if granter.is_fenced() => Some("a target has seen a higher fence"),
        Some(at) if now.since(at) > STORE_OUTAGE_MAX => Some("the store was unavailable for too long"),
        // A process that was paused may have been replaced meanwhile.
        Some(_) if now.since(last_round) > ROUND_GAP_MAX => {
            node.last_join.set(None);
            Some("this process was paused for too long")
        }
        Some(_) if node.owners().is_some_and(|o| o.table.leader != node.identity) => Some("another leader"),
        Some(_) => None,
    }
}

fn complete(node: &Node, granter: &mut Granter, command: &Command, outcome: Outcome, conn: Option<ConnId>) {
    let now = node.now();
    if !matches!(outcome, Outcome::Done(_)) || command.action == Action::Release {
        let (from, to, fence) = (command.from, command.to, command.fence);
        let action = command.action.name();
        let id = conn.map(|conn| conn.0);
        log::info!(target_id = &*command.incarnation.id, action, from, to, fence, conn = id, outcome:debug; "command to target ended");
    }
    if let Some(conn) = conn {
        granter.command_sent(now, command.ticket, conn);
    }
    granter.command_ended(now, command.ticket, outcome);
}

fn rebalance(node: &Node, granter: &mut Granter, services: &[Arc<str>], now: Time) {
    let directory = node.directory.borrow();
    for service in services {
        let moves = with_loads(|loads| balance::plan(now, service, granter, &directory, loads));
        for next in moves {
            let accepted = granter.begin_move(service, next.from, next.to, next.dest.clone());
            let (from, to) = (next.from, next.to);
            log::info!(service = &**service, from, to, dest = &*next.dest.id, accepted; "move of keys to balance load requested");
        }
    }
}
