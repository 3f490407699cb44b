//! Health checks of targets in doubt, see
//! [`Directory::doubted`](catkin_route::directory::Directory::doubted).
//!
//! A health check waits for a slot of its target as a request does, so there is
//! one for each doubt, by the leader, which tells the others. A few other
//! processes check while there is no leader or it finds nothing out.

use {
    crate::{
        announcements,
        node::{Node, sleep},
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
    }
}

/// Returns whether this process checks a target that is in doubt since a time.
fn is_prober(node: &Node, now: Time, id: &Arc<str>, since: Time) -> bool {
    if node.is_leader.get() {
        return true;
    }
    let has_leader = now.since(node.last_leader_answer.get()) < FORWARD_AGE_MAX;
    let waits = has_leader && now.since(since) < LEADER_WAIT;
    !waits && node.loads.borrow().uniform(id) < PROBERS / f64::from(node.peers())
}

/// Checks a target on a connection of its own, at whose other end the listed
/// process or a later one runs.
async fn check(node: Rc<Node>, entry: Entry) {
    let incarnation = &entry.incarnation;
    let answer = exchange(&node, &entry).await.filter(|reply| announcements::names(&reply.head, incarnation));
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
async fn exchange(node: &Node, entry: &Entry) -> Option<HttpAnswer> {
    let path = {
        let config = node.config.borrow();
        config.as_ref()?.services.get(&entry.service)?.health_path.clone()?
    };
    let mut head = catkin_net::request_head(Method::GET, path.parse::<Uri>().ok()?);
    head.headers.insert(HOST, HeaderValue::from_str(&entry.addr.to_string()).ok()?);
    let mut conn = Conn::open(entry.addr, CONNECT_TIMEOUT, node.http.clone()).await.ok()?;
    let exchange = conn.exchange(head, vec![Bytes::new()], false, |_| true);
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?.ok()
}
