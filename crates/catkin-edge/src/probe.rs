//! Health checks of targets in doubt, see
//! [`Directory::doubted`](catkin_route::directory::Directory::doubted), and of
//! those that have stopped responding, see [`catkin_route::silence`].
//!
//! A health check waits for a slot of its target as a request does, so there is
//! one at a time for each target, by the leader, which tells the others. A few other
//! processes check while there is no leader or it finds nothing out.

use {
    crate::{
        announcements,
        node::{Node, sleep},
        silence,
        sync::FORWARD_AGE_MAX,
    },
    actix_http::{
        Method, Uri,
        header::{HOST, HeaderValue},
    },
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_net::{Conn, HttpAnswer},
    catkin_route::directory::{Entry, Incarnation},
    std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration},
};

/// Interval between checks for targets in doubt.
const CHECK_INTERVAL: Span = Span::from_millis(50);

/// Time after which other processes than the leader check a target.
const LEADER_WAIT: Span = Span::from_millis(1_000);

/// Number of other processes that check a target, on average.
const PROBERS: f64 = 3.0;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for the answer to a health check, which waits for a slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for the answer of a target that has stopped responding. A check that is
/// open when the target continues shows that at once.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Checks targets in doubt, each once for each doubt, and ends doubts.
pub(crate) async fn run(node: Rc<Node>) {
    let mut probed: HashMap<Incarnation, Time> = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let ended = node.directory.borrow_mut().end_doubts(now);
        for incarnation in &ended {
            log::info!(target_id = &*incarnation.id; "target counts as staying; no health check has shown it");
        }
        if !ended.is_empty() {
            node.waiters.notify_all();
        }
        let doubted: Vec<(Entry, Time)> =
            node.directory.borrow().doubted().iter().map(|(t, since)| (t.entry.clone(), *since)).collect();
        probed.retain(|known, since| doubted.iter().any(|(e, at)| e.incarnation == *known && at == since));
        for (entry, since) in doubted {
            if probed.contains_key(&entry.incarnation) || !is_prober(&node, now, &entry.incarnation.id, since)
            {
                continue;
            }
            probed.insert(entry.incarnation.clone(), since);
            actix_rt::spawn(check(node.clone(), entry));
        }
        check_silent(&node, now);
    }
}

/// Checks targets that have stopped responding.
fn check_silent(node: &Rc<Node>, now: Time) {
    silence::apply(node);
    silence::signal_change(node);
    let unchecked = node.silence.borrow().unchecked(now);
    for incarnation in unchecked {
        let directory = node.directory.borrow();
        let target = directory.current(&incarnation).filter(|target| target.is_silent);
        let Some(target) = target.filter(|_| is_silence_prober(node, now, &incarnation.id)) else { continue };
        node.silence.borrow_mut().check_started(now, &incarnation);
        actix_rt::spawn(find_out(node.clone(), target.entry.clone()));
    }
}

/// Checks a target that has stopped responding.
async fn find_out(node: Rc<Node>, entry: Entry) {
    let incarnation = &entry.incarnation;
    let sent_at = node.now();
    let answer = exchange(&node, &entry, SILENCE_TIMEOUT).await;
    let answer = answer.filter(|reply| announcements::names(&reply.head, incarnation));
    let end = if answer.is_some() { "responding" } else { "silent" };
    node.metrics.count_probe(end);
    let took_ms = node.now().since(sent_at).as_millis();
    log::info!(target_id = &*incarnation.id, started = incarnation.started, end, took_ms; "health check of a silent target");
    let is_answered = answer.is_some();
    let has_ended = node.silence.borrow_mut().check_ended(node.now(), incarnation, sent_at, is_answered);
    if has_ended {
        node.request_report();
    }
    silence::apply(&node);
    silence::signal_change(&node);
}

/// Returns whether this process checks a target that is in doubt since a time.
fn is_prober(node: &Node, now: Time, id: &Arc<str>, since: Time) -> bool {
    if node.is_leader.get() {
        return true;
    }
    let waits = has_leader(node, now) && now.since(since) < LEADER_WAIT;
    !waits && node.loads.borrow().uniform(id) < PROBERS / f64::from(node.peers())
}

/// Returns whether this process checks a target that has stopped responding. What
/// the leader finds out is as good as what others would.
fn is_silence_prober(node: &Node, now: Time, id: &Arc<str>) -> bool {
    let is_one = node.loads.borrow().uniform(id) < PROBERS / f64::from(node.peers());
    node.is_leader.get() || !has_leader(node, now) && is_one
}

fn has_leader(node: &Node, now: Time) -> bool {
    now.since(node.last_leader_answer.get()) < FORWARD_AGE_MAX
}

/// Checks a target on a connection of its own, at whose other end the listed
/// process or a later one runs.
async fn check(node: Rc<Node>, entry: Entry) {
    let incarnation = &entry.incarnation;
    let answer = exchange(&node, &entry, ANSWER_TIMEOUT).await;
    let answer = answer.filter(|reply| announcements::names(&reply.head, incarnation));
    let leaves = answer.as_ref().map(|reply| announcements::says_leaving(&reply.head));
    let end = match leaves {
        Some(true) => "leaving",
        Some(false) => "staying",
        None => "unanswered",
    };
    node.metrics.count_probe(end);
    log::info!(target_id = &*incarnation.id, started = incarnation.started, end; "health check of a target in doubt");
    let now = node.now();
    let mut directory = node.directory.borrow_mut();
    match leaves {
        Some(true) => drop(directory.announce_leaving(now, incarnation)),
        Some(false) => drop(directory.note_staying(now, incarnation)),
        None => return,
    }
    drop(directory);
    node.waiters.notify_all();
}

/// Returns the answer to a health check, if there is one in time.
async fn exchange(node: &Node, entry: &Entry, within: Duration) -> Option<HttpAnswer> {
    let path = {
        let config = node.config.borrow();
        config.as_ref()?.services.get(&entry.service)?.health_path.clone()?
    };
    let mut head = catkin_net::request_head(Method::GET, path.parse::<Uri>().ok()?);
    head.headers.insert(HOST, HeaderValue::from_str(&entry.addr.to_string()).ok()?);
    let mut conn = Conn::open(entry.addr, CONNECT_TIMEOUT, node.http.clone()).await.ok()?;
    let exchange = conn.exchange(head, vec![Bytes::new()], false, |_| true);
    tokio::time::timeout(within, exchange).await.ok()?.ok()
}
