//! Leading: commands to targets, records of owners and moves of keys.
//!
//! | module | responsibility |
//! |---|---|
//! | `seat` | membership of the group that names the next leader |
//! | `claim` | the claim of leadership |
//! | `record` | the record of the table of owners |
//! | `command` | commands to targets |

mod claim;
mod command;
pub(crate) mod record;
pub(crate) mod seat;

use {
    crate::{
        link,
        node::{Node, sleep},
    },
    catkin::types::{Span, Time},
    catkin_route::{
        balance::{self, Loads},
        granter::{Ask, Command, Granter, Outcome, Rules, Step},
        owners::Owners,
    },
    claim::Claim,
    command::{GRANT_MAX, Lanes},
    futures_util::future::join_all,
    std::{cell::RefCell, rc::Rc, sync::Arc},
    tokio::{
        sync::mpsc::{self, UnboundedSender},
        task::JoinSet,
    },
};

/// Time without the store after which a leader stops renewing. With the hold of
/// the last grants it covers the outages of 9 s that the platform announces.
/// Keys that an unreachable leader may still renew wait for it.
const ALONE_MAX: Span = Span::from_millis(6_500);

/// Times of grants. A hold bridges the change of the leader; it also is the
/// time for which a lost target's keys are away.
const RULES: Rules = Rules {
    hold: Span::from_millis(3_000),
    renew: Span::from_millis(750),
    margin: Span::from_millis(250),
    skew: 1.025,
};

/// Time by which grants go ahead of the table that names the new owners. A
/// request that is there first is misdirected.
const GRANT_LEAD: Span = Span::from_millis(6);

/// Pause between two rounds of the leader.
const ROUND: Span = Span::from_millis(60);

/// Gap between two rounds above which the leader may have been replaced.
const GAP_MAX: Span = Span::from_millis(700);

/// Age of the store's last answer up to which keys are moved by load. The
/// leader asks it every 300 ms.
const STORE_FRESH: Span = Span::from_millis(800);

/// Pause between two rounds of balancing.
const BALANCE: Span = Span::from_millis(250);

thread_local! {
    /// Loads that edge processes reported to this one.
    static LOADS: RefCell<Loads> = RefCell::default();
}

/// Runs a function on the loads that were reported to this process.
pub(crate) fn with_loads<T>(f: impl FnOnce(&mut Loads) -> T) -> T {
    LOADS.with_borrow_mut(f)
}

/// Returns the times of grants for the targets that have keys.
fn rules(node: &Node) -> Rules {
    let directory = node.directory.borrow();
    let config = node.config.borrow();
    let keyed = config.iter().flat_map(|config| config.keyed());
    RULES.stretch(keyed.map(|service| directory.of(service).count()).sum())
}

/// Leads from time to time.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if claim::is_due(&node).await
            && let Some(claim) = claim::claim(&node).await
        {
            node.leads.set(true);
            lead(&node, claim).await;
            node.leads.set(false);
        }
        sleep(ROUND).await;
    }
}

/// What a leader waits for.
enum Event {
    /// A command has ended.
    Ended(Command, Outcome),
    /// The store has taken a table after the record before an offset, or has
    /// another record there.
    Written(u64, Owners, bool),
    /// All earlier leaders have stopped.
    Stopped,
}

/// One time of leadership. Its tasks end with it.
struct Term {
    node: Rc<Node>,
    granter: Granter,
    lanes: Lanes,
    tasks: JoinSet<()>,
    events: UnboundedSender<Event>,
    /// When loads were last decayed.
    decayed: Time,
    /// When keys were last balanced.
    balanced: Time,
    /// A table that the store accepted and whose grants are still to be sent.
    written: Option<(u64, Owners)>,
}

/// Grants, renews and moves keys until another process may lead.
async fn lead(node: &Rc<Node>, claim: Claim) {
    let offset = claim.offset;
    let (sender, mut events) = mpsc::unbounded_channel();
    let mut term = Term::new(node.clone(), claim, sender);
    let mut now = node.now();
    log::info!(offset; "leading");
    loop {
        let last = std::mem::replace(&mut now, node.now());
        if let Some(reason) = ends(node, &term.granter, last, now) {
            log::info!(reason; "leading ended");
            return;
        }
        term.round(now);
        let event = tokio::time::timeout(ROUND.as_duration(), events.recv()).await;
        let mut event = event.ok().flatten();
        while let Some(next) = event {
            if !term.take(next) {
                log::info!(reason = "another process has written the owners"; "leading ended");
                return;
            }
            event = events.try_recv().ok();
        }
    }
}

impl Term {
    fn new(node: Rc<Node>, claim: Claim, events: UnboundedSender<Event>) -> Self {
        let Claim { table, offset, hold } = claim;
        let now = node.now();
        // An earlier leader that is cut off from the store, but not from a
        // target, goes on renewing there until it gives up by itself.
        let earlier = table.earlier.clone();
        let fenced = if earlier.is_empty() { now } else { now.after(ALONE_MAX) };
        let granter = Granter::new(rules(&node), now, fenced, hold, &table, offset);
        node.adopt(offset, Rc::new(table));
        let mut tasks = JoinSet::new();
        if !earlier.is_empty() {
            let events = events.clone();
            tasks.spawn_local(async move {
                join_all(earlier.iter().map(link::stop)).await;
                let _ = events.send(Event::Stopped);
            });
        }
        let lanes = Lanes::default();
        Self { node, granter, lanes, tasks, events, decayed: now, balanced: now, written: None }
    }

    /// Sends what is due.
    fn round(&mut self, now: Time) {
        while self.tasks.try_join_next().is_some() {}
        self.decay(now);
        let keyed: Vec<Arc<str>> = match &*self.node.config.borrow() {
            Some(config) => config.keyed().cloned().collect(),
            None => Vec::new(),
        };
        let directory = self.node.directory.borrow();
        let steps = with_loads(|loads| self.granter.tick(now, &keyed, &directory, loads));
        drop(directory);
        for step in steps {
            match step {
                Step::Send(command) => self.send(command),
                Step::Write { table, end } => self.write(table, end),
            }
        }
        if let Some((end, table)) = self.written.take() {
            self.publish(end, table);
        }
        // Keys that are released while the store is away have no owner until
        // it is back.
        let reaches_store = self.node.seat.get().is_some_and(|at| now.since(at) < STORE_FRESH);
        if now.since(self.balanced) >= BALANCE && reaches_store {
            self.balanced = now;
            rebalance(&self.node, &mut self.granter, &keyed, now);
        }
    }

    fn decay(&mut self, now: Time) {
        if now.since(self.decayed) < balance::DECAY {
            return;
        }
        self.decayed = now;
        with_loads(|loads| {
            loads.decay();
            loads.retain(&self.node.directory.borrow());
        });
        self.lanes.borrow_mut().retain(|_, lane| !lane.is_idle());
    }

    fn send(&mut self, command: Command) {
        let (node, lanes, events) = (self.node.clone(), self.lanes.clone(), self.events.clone());
        self.tasks.spawn_local(async move {
            let outcome = command::send(&node, &lanes, &command).await;
            let _ = events.send(Event::Ended(command, outcome));
        });
    }

    /// Writes a table while renewals go on.
    fn write(&mut self, table: Owners, end: u64) {
        let (node, events) = (self.node.clone(), self.events.clone());
        self.tasks.spawn_local(async move {
            let accepted = record::write(&node, &table, end).await;
            let _ = events.send(Event::Written(end, table, accepted));
        });
    }

    /// Passes a table on once its grants had time to arrive.
    fn publish(&mut self, end: u64, table: Owners) {
        let node = self.node.clone();
        self.tasks.spawn_local(async move {
            sleep(GRANT_LEAD).await;
            node.adopt(end, Rc::new(table));
        });
    }

    /// Takes an event. Returns whether this process still leads.
    fn take(&mut self, event: Event) -> bool {
        match event {
            Event::Ended(command, outcome) => ended(&self.node, &mut self.granter, &command, outcome),
            Event::Written(_, _, false) => return false,
            Event::Written(end, table, true) => {
                self.granter.written(self.node.now());
                self.written = Some((end, table));
            }
            Event::Stopped => {
                log::info!("all earlier leaders have stopped");
                self.granter.settle(self.node.now().after(Span::from(GRANT_MAX)));
            }
        }
        true
    }
}

fn ends(node: &Node, granter: &Granter, last: Time, now: Time) -> Option<&'static str> {
    match node.seat.get() {
        None => Some("the group was left, or another process leads"),
        Some(_) if granter.is_fenced() => Some("a target has seen a higher fence"),
        Some(at) if now.since(at) > ALONE_MAX => Some("the store is away for too long"),
        // A process that stood still may have been replaced meanwhile.
        Some(_) if now.since(last) > GAP_MAX => {
            node.seat.set(None);
            Some("this process stood still")
        }
        Some(_) if node.owned().is_some_and(|o| o.table.leader != node.me) => Some("another process leads"),
        Some(_) => None,
    }
}

fn ended(node: &Node, granter: &mut Granter, command: &Command, outcome: Outcome) {
    if !matches!(outcome, Outcome::Done(_)) || command.ask == Ask::Release {
        let (from, to, fence) = (command.from, command.to, command.fence);
        let ask = if command.ask == Ask::Release { "release" } else { "grant" };
        log::info!(target_id = &*command.life.id, ask, from, to, fence, outcome:debug; "command ended");
    }
    granter.ended(node.now(), command.ticket, outcome);
}

fn rebalance(node: &Node, granter: &mut Granter, keyed: &[Arc<str>], now: Time) {
    let directory = node.directory.borrow();
    for service in keyed {
        let moves = with_loads(|loads| balance::plan(now, service, granter, &directory, loads));
        for next in moves {
            let started = granter.begin_move(service, next.from, next.to, next.dest.clone());
            let (from, to) = (next.from, next.to);
            log::info!(service = &**service, from, to, dest = &*next.dest.id, started; "keys move by load");
        }
    }
}
