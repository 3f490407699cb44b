//! Reads configuration, directory and owners from the store, where the leader
//! does not pass them on.

use {
    crate::{
        feed::{Batch, Feed},
        lead::record,
        node::{Node, sleep},
    },
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_platform::{
        config, entry,
        frame::{self, Keyed},
        name,
        store::Refusal,
    },
    catkin_route::backlog::{Change, Packed},
    std::{collections::HashSet, rc::Rc},
};

/// Longest time for an answer of the store, beyond what a call waits.
pub(crate) const ANSWER_MAX: Span = Span::from_millis(1_200);

/// Pause after a call that failed; it doubles with each further one.
const RETRY_MIN: Span = Span::from_millis(200);

/// Longest such pause. After the store's return it leaves time to catch up
/// before bounds hold again, 3 s later.
const RETRY_MAX: Span = Span::from_millis(1_400);

/// How long the leader's read of the configuration waits for a new version. A
/// connection that went silent is noticed after this and the time for an
/// answer, which together stay near the bound for new configurations.
const CONFIG_WAIT: Span = Span::from_millis(800);

/// Pause between two reads of the directory by the leader, which moves keys of
/// targets that leave and passes changes on.
const TARGETS_PAUSE: Span = Span::from_millis(300);

/// Age of the leader's last word above which a process reads the store itself.
/// With a read it stays well within the bounds of 2 s for configurations and
/// for targets that leave.
const RELAY_MAX: Span = Span::from_millis(1_400);

/// Pause between two looks at the age of the leader's word.
const RELAY_LOOK: Span = Span::from_millis(100);

/// How long a read of the owners waits for a new table while the leader sends
/// none.
const OWNERS_WAIT: Span = Span::from_secs(2);

/// While the store is away one read after the other tries it, for all topics:
/// each call is priced, also one that is refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Away {
    /// When the next read may try.
    until: Time,
    /// Pause after it, should it fail.
    pause: Span,
}

/// Waits until a read may try the store.
async fn admit(node: &Node) {
    while let Some(away) = node.away.get() {
        let now = node.now();
        if now >= away.until {
            let until = now.after(ANSWER_MAX).after(RELAY_LOOK);
            node.away.set(Some(Away { until, ..away }));
            return;
        }
        sleep(away.until.since(now).min(RELAY_LOOK)).await;
    }
}

/// Notes whether the store answered a read.
fn note(node: &Node, answered: bool) {
    let pause = node.away.get().map_or(RETRY_MIN, |away| away.pause);
    let away = Away { until: node.now().after(pause), pause: pause.scale(2.0).min(RETRY_MAX) };
    node.away.set((!answered).then_some(away));
}

/// Applies one record. Returns whether it changed anything.
type Apply = fn(&Node, Time, &[u8], &[u8]) -> bool;

fn apply_config(node: &Node, _: Time, key: &[u8], value: &[u8]) -> bool {
    if key != name::CONFIG_KEY {
        return false;
    }
    match config::decode(value) {
        Ok(config) => node.configure(config),
        Err(error) => {
            log::warn!(error:display; "configuration ignored");
            false
        }
    }
}

fn apply_target(node: &Node, now: Time, key: &[u8], value: &[u8]) -> bool {
    let mut directory = node.directory.borrow_mut();
    if value.is_empty() {
        directory.remove(now, &String::from_utf8_lossy(key));
        return true;
    }
    match entry::decode(key, value) {
        Ok(entry) => directory.put(now, entry),
        Err(error) => {
            log::warn!(error:display; "entry ignored");
            false
        }
    }
}

/// Applies changes that the leader passed on.
pub(crate) fn relay_configs(node: &Node, batch: &Batch, at: Time) {
    relay(node, &node.configs, batch, at, apply_config);
}

/// Applies changes that the leader passed on.
pub(crate) fn relay_targets(node: &Node, batch: &Batch, at: Time) {
    note_lapse(node, batch.changes.iter().filter(|c| c.value.size() == 0).count());
    relay(node, &node.targets, batch, at, apply_target);
    node.room.notify_waiters();
}

/// Applies changes that follow what is known; others are read from the store.
fn relay(node: &Node, feed: &Feed, batch: &Batch, at: Time, apply: Apply) {
    let known = feed.next();
    if known.is_none_or(|next| next < batch.from || next > batch.to) {
        return;
    }
    for change in batch.changes.iter().filter(|c| known.is_some_and(|next| c.offset >= next)) {
        match change.value.unpack() {
            Ok(value) if apply(node, node.now(), &change.key, &value) => feed.keep(change.clone()),
            Ok(_) => {}
            Err(error) => log::warn!(topic = feed.topic, error:display; "change ignored"),
        }
    }
    feed.advance(batch.to, at);
}

/// A reader of one topic.
struct Reader<'a> {
    node: &'a Node,
    feed: &'a Feed,
    /// Runs before records are applied, with the number of removed keys.
    before: fn(&Node, usize),
    apply: Apply,
    failing: bool,
}

/// Decodes a record of a keyed topic, and notes one that can't be read.
pub(crate) fn keyed(record: Bytes, topic: &str) -> Option<Keyed> {
    match frame::decode_keyed(record) {
        Ok(keyed) => Some(keyed),
        Err(error) => {
            log::warn!(topic, error:display; "record ignored");
            None
        }
    }
}

impl Reader<'_> {
    /// Reads once. Returns the keys of a complete listing, if it was one.
    async fn read(&mut self, wait: Span) -> Result<Option<HashSet<Bytes>>, Refusal> {
        let within = ANSWER_MAX.as_duration();
        let (node, feed) = (self.node, self.feed);
        let sent = node.now();
        let Some(from) = feed.next() else {
            let newest = node.store.newest(feed.topic, within).await?;
            let kept = newest.items.iter().filter(|r| !r.value.is_empty());
            let keys = kept.clone().map(|r| r.key.clone()).collect();
            for record in kept {
                (self.apply)(node, node.now(), &record.key, &record.value);
            }
            feed.restart(newest.end, sent);
            return Ok(Some(keys));
        };
        let batch = node.store.read(feed.topic, from, wait, within).await?;
        if feed.next() != Some(from) {
            // The leader passed changes on meanwhile.
            return Ok(None);
        }
        let to = from + batch.records.len() as u64;
        let decoded = batch.records.into_iter().map(|record| keyed(record, feed.topic));
        let records: Vec<Option<Keyed>> = decoded.collect();
        (self.before)(node, records.iter().flatten().filter(|r| r.value.is_empty()).count());
        for (offset, record) in (from..).zip(records) {
            let Some(Keyed { key, value }) = record else { continue };
            if (self.apply)(node, node.now(), &key, &value) {
                match Packed::new(&value) {
                    Ok(value) => feed.keep(Change { offset, key, value }),
                    // Other processes read the record from the store.
                    Err(error) => log::error!(topic = feed.topic, error:display; "change not kept"),
                }
            }
        }
        // The store answers at once if it has a record, and otherwise after
        // the whole wait.
        let at = if to == from { sent.after(wait).min(node.now()) } else { sent };
        feed.advance(to, at);
        Ok(None)
    }

    /// Reads until the store answers, or the leader's word is fresh again.
    async fn next(&mut self, wait: Span) -> Option<HashSet<Bytes>> {
        loop {
            admit(self.node).await;
            let read = self.read(wait).await;
            note(self.node, matches!(read, Ok(_) | Err(Refusal::Gone(_))));
            match read {
                Ok(keys) => {
                    if std::mem::take(&mut self.failing) {
                        log::info!(topic = self.feed.topic; "store regained");
                    }
                    return keys;
                }
                Err(Refusal::Gone(_)) => self.feed.reset(),
                Err(refusal) => {
                    if !std::mem::replace(&mut self.failing, true) {
                        log::warn!(topic = self.feed.topic, code:display = refusal.code(), refusal:display; "store lost");
                    }
                }
            }
        }
    }
}

/// Returns whether the leader's word on a topic suffices.
fn is_relayed(node: &Node, feed: &Feed) -> bool {
    !node.leads.get() && feed.next().is_some() && node.now().since(feed.fresh()) < RELAY_MAX
}

/// Keeps the newest configuration in force.
pub(crate) async fn config(node: Rc<Node>) {
    let mut reader =
        Reader { node: &node, feed: &node.configs, before: |_, _| (), apply: apply_config, failing: false };
    loop {
        if is_relayed(&node, &node.configs) {
            sleep(RELAY_LOOK).await;
            continue;
        }
        let wait = if node.leads.get() { CONFIG_WAIT } else { Span::ZERO };
        reader.next(wait).await;
    }
}

/// Starts the grace for entries that lapsed while the store was away, if so
/// many are removed.
fn note_lapse(node: &Node, gone: usize) {
    if node.directory.borrow_mut().lapse(node.now(), gone) {
        log::info!(gone; "entries lapsed; their targets have time to write them again");
    }
}

/// Keeps the directory of targets.
pub(crate) async fn targets(node: Rc<Node>) {
    let mut reader =
        Reader { node: &node, feed: &node.targets, before: note_lapse, apply: apply_target, failing: false };
    loop {
        if is_relayed(&node, &node.targets) {
            sleep(RELAY_LOOK).await;
            continue;
        }
        let keys = reader.next(Span::ZERO).await;
        if let Some(keys) = keys {
            let known = |id: &str| keys.contains(id.as_bytes());
            let gone = node.directory.borrow().all().filter(|t| !known(&t.entry.life.id)).count();
            note_lapse(&node, gone);
            node.directory.borrow_mut().retain(node.now(), known);
        }
        node.listed.set(true);
        node.room.notify_waiters();
        sleep(TARGETS_PAUSE).await;
    }
}

/// Reads the owners from the store while the leader sends none.
pub(crate) async fn owners(node: Rc<Node>) {
    let mut next = None;
    loop {
        if node.now().since(node.linked.get()) <= RELAY_MAX || node.leads.get() {
            next = None;
            sleep(RELAY_LOOK).await;
            continue;
        }
        admit(&node).await;
        let read = match next {
            // A read that waits would keep the others from the store.
            Some(end) if node.away.get().is_none() => record::wait(&node, end, OWNERS_WAIT).await,
            _ => record::read(&node).await,
        };
        note(&node, read.is_ok());
        match read {
            Ok(record::Newest { table, end }) => {
                next = Some(end);
                if let Some(table) = table {
                    node.adopt(end.saturating_sub(1), Rc::new(table));
                }
            }
            Err(refusal) => {
                next = None;
                log::debug!(refusal:display; "owners not read");
            }
        }
    }
}
