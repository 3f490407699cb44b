//! A process's side of its link to the leader.

use {
    super::message::{
        Answer, Changes, KeyCounts, Message, Messages, News, Notice, Report, SILENCE_MAX, write,
    },
    crate::{
        follow,
        node::{Node, Owned, sleep},
    },
    catkin::types::{Span, Time},
    catkin_net::tune,
    catkin_route::owners::Leader,
    std::{collections::HashMap, io, rc::Rc, sync::Arc},
    tokio::net::TcpStream,
};

/// Pause between two reports.
const REPORT_PAUSE: Span = Span::from_millis(250);

/// The same pause in a fleet of many processes.
const REPORT_PAUSE_MANY: Span = Span::from_millis(500);

/// Least pause before a report that asks for turns.
const ASK_PAUSE: Span = Span::from_millis(60);

/// Processes from which on the longer pause holds.
const MANY: u32 = 17;

fn report_now(node: &Node, leader: &Leader) -> Report {
    let mut keys: HashMap<Arc<str>, KeyCounts> = HashMap::new();
    for ((service, key), count) in node.keys.take() {
        keys.entry(service).or_default().push((key, count));
    }
    let times = node.loads.borrow_mut().take_times();
    let own = node.loads.borrow().own();
    let waiting = node.loads.borrow().waiting();
    let version = node.owned().map(|o| o.version);
    let next = [node.configs.next(), node.targets.next()];
    let strong = node.is_strong();
    let keys = keys.into_iter().collect();
    Report {
        vm: node.me.vm.clone(),
        leader: leader.incarnation,
        version,
        next,
        strong,
        own,
        waiting,
        keys,
        times,
    }
}

/// Reports to the leader and takes its tables.
pub(crate) async fn report(node: Rc<Node>) {
    let mut owned = node.owned.subscribe();
    loop {
        let leader = owned.borrow_and_update().as_ref().map(|o| o.table.leader.clone());
        if let Some(leader) = leader {
            let next = |owned: &Option<Owned>| owned.as_ref().is_some_and(|o| o.table.leader != leader);
            tokio::select! {
                ended = link(&node, &leader) => note_end(&node, &leader, ended),
                _ = owned.wait_for(next) => continue,
            }
        }
        sleep(REPORT_PAUSE).await;
    }
}

/// Notes the end of the link to the leader. Where nothing runs or another
/// process answers, the next leader need not wait.
fn note_end(node: &Node, leader: &Leader, ended: io::Result<()>) {
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    let is_over = ended.as_ref().map_or_else(refused, |()| true);
    if let Err(error) = ended {
        log::debug!(leader = &*leader.vm, error:display; "link to the leader ended");
    }
    if is_over {
        node.alive.set(Time::default());
    }
}

/// Takes what the leader says.
fn hear(node: &Node, notice: Notice, now: Time) {
    node.linked.set(now);
    node.peers.set(notice.peers.max(1));
    node.standby.set(notice.standby);
    for (id, total) in &notice.full {
        node.loads.borrow_mut().share(now, id, *total, notice.peers);
    }
    if let Some(turns) = notice.turns {
        node.loads.borrow_mut().take_turns(now, &turns);
        node.room.notify_waiters();
    }
    match notice.table {
        Some(News::Whole(version, table)) => node.adopt(version, table),
        Some(News::Changes { from, to, patch }) => {
            if let Some(old) = node.owned().filter(|o| o.version == from) {
                node.adopt(to, Rc::new(patch.apply(&old.table)));
            }
        }
        None => {}
    }
    // The leader reports to itself as well; its own changes are no news to it.
    if node.leads.get() {
        return;
    }
    node.alive.set(node.alive.get().max(now.before(Span::from_micros(notice.alone))));
    let at = |c: &Changes| now.before(Span::from_micros(c.age));
    let [configs, targets] = notice.changes;
    if let Some(changes) = configs {
        let at = at(&changes);
        follow::relay_configs(node, &changes.into_batch(), at);
    }
    if let Some(changes) = targets {
        let at = at(&changes);
        follow::relay_targets(node, &changes.into_batch(), at);
    }
}

/// Waits until a request needs a turn and the last report is old enough.
async fn asked(node: &Node, sent: Time) {
    while !node.asks.get() {
        node.asked.notified().await;
    }
    sleep(ASK_PAUSE.saturating_sub(node.now().since(sent))).await;
}

/// Reports to a leader. Returns once that process does not lead any more.
async fn link(node: &Rc<Node>, leader: &Leader) -> io::Result<()> {
    let connect = TcpStream::connect(leader.addr);
    let stream = tokio::time::timeout(SILENCE_MAX.as_duration(), connect).await??;
    tune(&stream);
    let (reader, mut writer) = stream.into_split();
    let mut messages = Messages::new(reader);
    let pause = if node.peers.get() < MANY { REPORT_PAUSE } else { REPORT_PAUSE_MANY };
    let mut pause = tokio::time::interval(pause.as_duration());
    let mut heard = node.now();
    let mut sent = heard;
    loop {
        let due = tokio::select! {
            message = messages.next() => {
                let answer: Answer = postcard::from_bytes(&message?).map_err(io::Error::other)?;
                heard = node.now();
                match answer {
                    Answer::Notice(notice) => hear(node, *notice, heard),
                    Answer::Ended => return Ok(()),
                }
                false
            }
            _ = pause.tick() => true,
            () = asked(node, sent) => true,
        };
        if !due {
            continue;
        }
        sent = node.now();
        if sent.since(heard) > SILENCE_MAX {
            return Err(io::ErrorKind::TimedOut.into());
        }
        node.asks.set(false);
        write(&mut writer, &Message::Report(report_now(node, leader))).await?;
    }
}

/// Asks an earlier leader to stop. Returns once it has, or once another
/// process runs in its place.
pub(crate) async fn stop(leader: &Leader) {
    loop {
        match tokio::time::timeout(SILENCE_MAX.as_duration(), stop_once(leader)).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => log::debug!(error:display; "earlier leader not reached"),
            Err(_) => {}
        }
        sleep(REPORT_PAUSE).await;
    }
}

async fn stop_once(leader: &Leader) -> io::Result<()> {
    let stream = TcpStream::connect(leader.addr).await?;
    tune(&stream);
    let (reader, mut writer) = stream.into_split();
    write(&mut writer, &Message::Stop(leader.incarnation)).await?;
    Messages::new(reader).next().await.map(drop)
}
