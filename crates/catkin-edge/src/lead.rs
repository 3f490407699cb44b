//! Membership, the leader's claim, commands to targets and moves of keys.

use {
    crate::{
        follow::ANSWER_MAX,
        link,
        node::{Node, sleep},
    },
    actix_http::ServiceConfig,
    catkin::types::{Span, Time},
    catkin_net::Conn,
    catkin_platform::{
        grant,
        store::{Member, Refusal},
    },
    catkin_route::{
        balance::{self, Loads},
        directory::Life,
        granter::{self, Ask, Command, Granter, Outcome, Rules, Step},
        owners::{Leader, Owners},
    },
    std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Topic of the table of owners.
pub(crate) const TOPIC: &str = "keyed.owners";

/// Key of the table in its topic.
pub(crate) const KEY: &[u8] = b"table";

/// Group whose first partition makes its holder the next leader.
const GROUP: &str = "edge";

/// Topic whose partitions the group shares out. It holds no records.
const SEATS: &str = "edge.seats";

/// Silence after which the group drops a member: the platform's least.
const SEAT_TTL: Span = Span::from_millis(1_000);

/// Silence of the leader after which every strong process stands by.
const ORPHAN: Span = Span::from_millis(1_500);

/// The same for processes with little processor time or bandwidth.
const ORPHAN_WEAK: Span = Span::from_millis(3_000);

/// Time since the leader last reached the store after which the next process
/// claims. Holds bridge it: they are renewed four times as often as they end.
const SUCCEED: Span = Span::from_millis(1_600);

/// Pause between two joins; three fit into the time above.
const JOIN_PAUSE: Span = Span::from_millis(300);

/// Time without the store after which a leader stops renewing. It covers the
/// outages that the platform announces.
const ALONE_MAX: Span = Span::from_secs(10);

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

/// Pause between two rounds of balancing in a small fleet.
const BALANCE: Span = Span::from_millis(200);

/// Processes for which the pause above holds. A new table goes to all of them,
/// so more processes get one less often.
const BALANCE_PEERS: f64 = 16.0;

/// Time for the answer to a grant.
const GRANT_MAX: Duration = Duration::from_millis(500);

/// Time for the answer to a release, which waits for the work in progress.
const RELEASE_MAX: Duration = Duration::from_millis(1_500);

/// Time to open a connection for a command.
const CONNECT_MAX: Duration = Duration::from_millis(300);

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

fn member(node: &Node) -> Member {
    let name = format!("{}.{}", node.me.vm, node.me.incarnation);
    Member { group: GROUP, name: name.into(), topic: SEATS, ttl: SEAT_TTL }
}

/// Returns whether this process should be a member: the leader, those that it
/// chose to stand by, and all that hear of no leader. Members that can't lead
/// soon would only cost calls.
fn wants_seat(node: &Node) -> bool {
    let silence = node.now().since(node.linked.get().max(node.started));
    let patience = if node.is_strong() { ORPHAN } else { ORPHAN_WEAK };
    let is_new = node.linked.get() < node.started;
    let orphan = silence > patience || is_new && node.is_strong();
    node.leads.get() || node.standby.get() && silence < ORPHAN_WEAK || orphan
}

/// Stays a member of the group that names the next leader.
pub(crate) async fn join(node: Rc<Node>) {
    let member = member(&node);
    let mut generation = 0;
    let mut joined = false;
    while !node.is_leaving() {
        if !wants_seat(&node) {
            if std::mem::take(&mut joined) {
                leave(node.clone()).await;
            }
            sleep(JOIN_PAUSE).await;
            continue;
        }
        joined = true;
        match node.store.join(&member, generation, ANSWER_MAX.as_duration()).await {
            Ok(seat) => {
                generation = seat.generation;
                node.seat.set(Some(node.now()));
                node.first.set(seat.holds(0));
            }
            Err(Refusal::Fenced) => node.first.set(false),
            Err(refusal) => log::debug!(refusal:display; "group not joined"),
        }
        sleep(JOIN_PAUSE).await;
    }
}

/// Leaves the group, so that another process is named at once.
pub(crate) async fn leave(node: Rc<Node>) {
    node.seat.set(None);
    node.first.set(false);
    if let Err(refusal) = node.store.leave(&member(&node), ANSWER_MAX.as_duration()).await {
        log::info!(refusal:display; "group not left; its time-out will do it");
    }
}

/// Returns whether this process should claim leadership. The group moves its
/// partitions with every change of members; a leader that reaches the store
/// stays all the same, since each change costs renewals of all keys.
fn may_claim(node: &Node) -> bool {
    let now = node.now();
    let knows = node.config.borrow().is_some() && node.listed.get();
    let member = node.seat.get().is_some_and(|at| now.since(at) < SEAT_TTL);
    if node.is_leaving() || !knows || !member {
        return false;
    }
    match node.owned() {
        Some(owned) if owned.table.leader == node.me => true,
        // The process before this one on the same VM has ended.
        Some(owned) if owned.table.leader.vm == node.me.vm => node.first.get(),
        Some(_) => node.first.get() && now.since(node.alive.get()) > SUCCEED,
        None => node.first.get(),
    }
}

/// Leads from time to time.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        if may_claim(&node)
            && let Some(claim) = claim(&node).await
        {
            node.leads.set(true);
            lead(&node, claim).await;
            node.leads.set(false);
        }
        sleep(ROUND).await;
    }
}

/// A claim that the store accepted.
struct Claim {
    table: Owners,
    offset: u64,
    /// How long the earlier leader's grants hold.
    hold: Span,
    /// The leader before, if it was another process.
    earlier: Option<Leader>,
}

/// Claims leadership: writes the newest table once more with higher fences.
async fn claim(node: &Node) -> Option<Claim> {
    let newest = match node.store.newest(TOPIC, ANSWER_MAX.as_duration()).await {
        Ok(newest) => newest,
        Err(refusal) => {
            log::info!(refusal:display; "owners not read");
            return None;
        }
    };
    let record = newest.items.iter().find(|r| *r.key == *KEY);
    let last = match record.map(|r| Owners::decode(&r.value)).transpose() {
        Ok(last) => last,
        Err(error) => {
            log::error!(error:display; "table of owners can't be read; it is replaced");
            None
        }
    };
    let known = node.owned().map(|o| o.table.leader.clone());
    if let Some(last) =
        last.as_ref().filter(|l| l.leader.vm != node.me.vm && Some(&l.leader) != known.as_ref())
    {
        // Another process leads since; whether it lives is to be seen.
        node.alive.set(node.now());
        node.adopt(newest.end.saturating_sub(1), last.clone());
        return None;
    }
    let table = granter::claim(&node.me, rules(node).hold, last.as_ref(), newest.end);
    let hold = last.as_ref().map_or(Span::ZERO, |l| l.hold);
    let earlier = last.map(|l| l.leader).filter(|l| *l != node.me);
    write(node, &table, newest.end).await.then_some(Claim { table, offset: newest.end, hold, earlier })
}

/// Writes a table after the record before `end`. Returns whether the store
/// accepted it; it may have done so also if this returns false.
async fn write(node: &Node, table: &Owners, end: u64) -> bool {
    let bytes = match table.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:display; "table of owners can't be encoded");
            return false;
        }
    };
    match node.store.append(TOPIC, KEY, &bytes, end, ANSWER_MAX.as_duration()).await {
        Ok(offset) if offset == end => {
            log::info!(offset, bytes = bytes.len(); "owners written");
            true
        }
        Ok(offset) => {
            log::error!(offset, end; "owners written at another offset");
            false
        }
        Err(refusal) => {
            log::warn!(end, refusal:display; "owners not written");
            false
        }
    }
}

/// Connections for commands, by the process at their other end.
type Conns = Rc<RefCell<HashMap<Life, Conn>>>;

/// The task that asks the earlier leader to stop; it ends with the leadership.
struct Asking(Option<actix_rt::task::JoinHandle<()>>);

impl Drop for Asking {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

/// Grants, renews and moves keys until another process may lead.
async fn lead(node: &Rc<Node>, claim: Claim) {
    let Claim { table, offset, hold, earlier } = claim;
    let mut now = node.now();
    // An earlier leader that is cut off from the store, but not from a target,
    // goes on renewing there until it gives up by itself.
    let fenced = if earlier.is_some() { now.after(ALONE_MAX) } else { now };
    let mut granter = Granter::new(rules(node), now, fenced, hold, &table, offset);
    node.adopt(offset, table);
    let (stopped, mut stops) = mpsc::unbounded_channel();
    let asking = earlier.map(|leader| {
        actix_rt::spawn(async move {
            link::stop(&leader).await;
            let _ = stopped.send(());
        })
    });
    let _asking = Asking(asking);
    let conns = Conns::default();
    let (sender, mut results) = mpsc::unbounded_channel();
    let mut balanced = now;
    // A table that the store accepted and whose grants are still to be sent.
    let mut written: Option<(u64, Owners)> = None;
    let mut decayed = now;
    log::info!(offset; "leading");
    loop {
        let last = std::mem::replace(&mut now, node.now());
        if let Some(reason) = ends(node, &granter, last, now) {
            log::info!(reason; "leading ended");
            return;
        }
        if stops.try_recv().is_ok() {
            log::info!("the earlier leader has stopped");
            granter.settle(now.after(Span::from(GRANT_MAX)));
        }
        if now.since(decayed) >= balance::DECAY {
            decayed = now;
            with_loads(|loads| {
                loads.decay();
                loads.retain(&node.directory.borrow());
            });
        }
        let keyed: Vec<Arc<str>> = match &*node.config.borrow() {
            Some(config) => config.keyed().cloned().collect(),
            None => Vec::new(),
        };
        let steps = with_loads(|loads| granter.tick(now, &keyed, &node.directory.borrow(), loads));
        let granted = written.take();
        for step in steps {
            match step {
                Step::Send(command) => {
                    let (node, conns, sender) = (node.clone(), conns.clone(), sender.clone());
                    actix_rt::spawn(async move {
                        let outcome = command_once(&node, &conns, &command).await;
                        let _ = sender.send((command, outcome));
                    });
                }
                Step::Write { table, end } => {
                    if !write(node, &table, end).await {
                        return;
                    }
                    granter.written(node.now());
                    written = Some((end, table));
                }
            }
        }
        if let Some((end, table)) = granted {
            let node = node.clone();
            actix_rt::spawn(async move {
                sleep(GRANT_LEAD).await;
                node.adopt(end, table);
            });
        }
        if written.is_some() {
            // The grants of the new owners go out in the next round.
            continue;
        }
        let pause = BALANCE.scale((f64::from(node.peers.get()) / BALANCE_PEERS).max(1.0));
        if now.since(balanced) >= pause {
            balanced = now;
            rebalance(node, &mut granter, &keyed, now);
        }
        let pause = tokio::time::timeout(ROUND.as_duration(), results.recv()).await;
        if let Ok(Some((command, outcome))) = pause {
            ended(node, &mut granter, &command, outcome);
        }
        while let Ok((command, outcome)) = results.try_recv() {
            ended(node, &mut granter, &command, outcome);
        }
    }
}

fn ends(node: &Node, granter: &Granter, last: Time, now: Time) -> Option<&'static str> {
    match node.seat.get() {
        None => Some("the group was left, or another process leads"),
        Some(_) if node.is_leaving() => Some("stopping"),
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

async fn command_once(node: &Node, conns: &Conns, command: &Command) -> Outcome {
    let within = if command.ask == Ask::Release { RELEASE_MAX } else { GRANT_MAX };
    node.metrics.command(if command.ask == Ask::Release { "release" } else { "grant" });
    let (head, body) = match grant::encode(command) {
        Ok(request) => request,
        Err(error) => {
            log::error!(error:display; "command can't be encoded");
            return Outcome::Unsent;
        }
    };
    let Some(mut conn) = connect(conns, command, node.http.clone()).await else {
        return Outcome::Unsent;
    };
    let exchange = conn.exchange(head, vec![body], false, |_| true);
    match tokio::time::timeout(within, exchange).await {
        Ok(Ok(reply)) => {
            if reply.reusable {
                conns.borrow_mut().insert(command.life.clone(), conn);
            }
            grant::decode(&reply)
        }
        Ok(Err(broken)) if !broken.sent => Outcome::Unsent,
        Ok(Err(_)) => Outcome::Cut,
        // The connection is closed with an unanswered command on it.
        Err(_) => Outcome::Unknown,
    }
}

/// Returns the kept connection to a process, or a new one if none is kept.
async fn connect(conns: &Conns, command: &Command, http: ServiceConfig) -> Option<Conn> {
    let kept = conns.borrow_mut().remove(&command.life);
    match kept {
        // A connection that the target closed may mean that its process ended.
        Some(conn) => conn.is_quiet().then_some(conn),
        None => Conn::open(command.addr, CONNECT_MAX, http).await.ok(),
    }
}
