//! Reads configuration, directory and owners from the store.

use {
    crate::{
        lead,
        node::{Node, sleep},
    },
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_platform::{config, entry, frame, name, store::Refusal},
    catkin_route::owners::Owners,
    std::{collections::HashSet, rc::Rc},
};

/// Longest time for an answer of the store, beyond what a call waits.
pub(crate) const ANSWER_MAX: Span = Span::from_millis(1_200);

/// Pause after a call that failed.
const RETRY: Span = Span::from_millis(200);

/// How long a read of the configuration waits for a new version. A connection
/// that went silent is noticed after this and the time for an answer, which
/// together stay near the bound for new configurations.
const CONFIG_WAIT: Span = Span::from_millis(1_000);

/// Pause between two reads of the directory. A target that leaves must be seen
/// well within the drain bound of 2 s.
const TARGETS_PAUSE: Span = Span::from_millis(900);

/// The same pause at the leader, which moves keys of targets that leave.
const LEADER_PAUSE: Span = Span::from_millis(300);

/// Pause between two reads of the owners while the leader sends none.
const OWNERS_PAUSE: Span = Span::from_millis(700);

/// Age of the leader's last message above which owners are read from the
/// store.
const LINK_MAX: Span = Span::from_millis(1_200);

/// Silence of the store after which its return starts a grace for entries.
const OUTAGE_MIN: Span = Span::from_millis(2_000);

/// A reader of one topic.
struct Reader {
    node: Rc<Node>,
    topic: &'static str,
    next: Option<u64>,
    last: Time,
    failing: bool,
}

/// What a reader found.
enum Found {
    /// The newest record of each key, or all keys when it starts.
    All(Vec<frame::Keyed>),
    /// Records since the last read.
    New(Vec<frame::Keyed>),
}

fn keyed(record: Bytes, topic: &str) -> Option<frame::Keyed> {
    match frame::decode_keyed(record) {
        Ok(keyed) => Some(keyed),
        Err(error) => {
            log::warn!(topic, error:display; "record ignored");
            None
        }
    }
}

impl Reader {
    fn new(node: &Rc<Node>, topic: &'static str) -> Self {
        Self { node: node.clone(), topic, next: None, last: node.now(), failing: false }
    }

    async fn read(&mut self, wait: Span) -> Result<Found, Refusal> {
        let within = ANSWER_MAX.as_duration();
        let store = &self.node.store;
        let Some(from) = self.next else {
            let newest = store.newest(self.topic, within).await?;
            self.next = Some(newest.end);
            return Ok(Found::All(newest.items));
        };
        let batch = store.read(self.topic, from, wait, within).await?;
        self.next = Some(from + batch.records.len() as u64);
        Ok(Found::New(batch.records.into_iter().filter_map(|r| keyed(r, self.topic)).collect()))
    }

    /// Reads until the store answers. Returns also how long it did not.
    async fn wait(&mut self, wait: Span) -> (Found, Span) {
        loop {
            match self.read(wait).await {
                Ok(found) => {
                    let now = self.node.now();
                    let silence = now.since(self.last);
                    self.last = now;
                    if std::mem::take(&mut self.failing) {
                        log::info!(topic = self.topic, silence_ms = silence.as_millis(); "store regained");
                    }
                    return (found, silence);
                }
                Err(Refusal::Gone(_)) => self.next = None,
                Err(refusal) => {
                    if !std::mem::replace(&mut self.failing, true) {
                        log::warn!(topic = self.topic, code:display = refusal.code(), refusal:display; "store lost");
                    }
                    sleep(RETRY).await;
                }
            }
        }
    }
}

/// Keeps the newest configuration in force.
pub(crate) async fn config(node: Rc<Node>) {
    let mut reader = Reader::new(&node, name::OPERATOR_TOPIC);
    loop {
        let (found, _) = reader.wait(CONFIG_WAIT).await;
        let (Found::All(records) | Found::New(records)) = found;
        for record in records.iter().filter(|r| *r.key == *name::CONFIG_KEY) {
            match config::decode(&record.value) {
                Ok(config) => node.configure(config),
                Err(error) => log::warn!(error:display; "configuration ignored"),
            }
        }
    }
}

fn put(node: &Node, now: Time, record: &frame::Keyed) {
    let id = String::from_utf8_lossy(&record.key);
    let mut directory = node.directory.borrow_mut();
    if record.value.is_empty() {
        directory.remove(now, &id);
        return;
    }
    match entry::decode(&record.key, &record.value) {
        Ok(entry) => directory.put(now, entry),
        Err(error) => {
            log::warn!(error:display; "entry ignored");
        }
    }
}

/// Keeps the directory of targets.
pub(crate) async fn targets(node: Rc<Node>) {
    let mut reader = Reader::new(&node, name::TARGETS_TOPIC);
    loop {
        let (found, silence) = reader.wait(Span::ZERO).await;
        let now = node.now();
        if silence > OUTAGE_MIN {
            node.directory.borrow_mut().returned(now);
        }
        let (Found::All(records) | Found::New(records)) = &found;
        for record in records {
            put(&node, now, record);
        }
        if let Found::All(records) = &found {
            let ids: HashSet<String> = records
                .iter()
                .filter(|r| !r.value.is_empty())
                .map(|r| String::from_utf8_lossy(&r.key).into_owned())
                .collect();
            node.directory.borrow_mut().retain(now, |id| ids.contains(id));
        }
        node.listed.set(true);
        node.room.notify_waiters();
        sleep(if node.seat.get().is_some() { LEADER_PAUSE } else { TARGETS_PAUSE }).await;
    }
}

/// Reads the owners from the store while the leader sends none.
pub(crate) async fn owners(node: Rc<Node>) {
    loop {
        if node.now().since(node.linked.get()) > LINK_MAX && node.seat.get().is_none() {
            match node.store.newest(lead::TOPIC, ANSWER_MAX.as_duration()).await {
                Ok(newest) => adopt(&node, &newest.items, newest.end),
                Err(refusal) => log::debug!(refusal:display; "owners not read"),
            }
        }
        sleep(OWNERS_PAUSE).await;
    }
}

fn adopt(node: &Node, items: &[frame::Keyed], end: u64) {
    let Some(record) = items.iter().find(|r| *r.key == *lead::KEY) else { return };
    match Owners::decode(&record.value) {
        // The table is the only key of its topic, so its record is the last.
        Ok(table) => node.adopt(end.saturating_sub(1), table),
        Err(error) => log::warn!(error:display; "table of owners ignored"),
    }
}
