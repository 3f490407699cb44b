//! Reads the configuration, the directory and the table of owners from the
//! store while the leader does not forward them.

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
        frame::{self, KeyedRecord},
        name,
        store::StoreError,
    },
    catkin_route::{
        backlog::{Change, Payload},
        backoff::Failure,
        directory::{Directory, Entry, Incarnation, Target},
    },
    std::{collections::HashSet, rc::Rc, sync::Arc},
};

/// Time for an answer of the store, in addition to the time that a call asks
/// the store to wait.
pub(crate) const ANSWER_TIMEOUT: Span = Span::from_millis(1_200);

/// Time for which the leader's read of the configuration waits for a new
/// version. An unresponsive connection is detected after this time plus the
/// time for an answer; the sum stays near the bound for new configurations.
const CONFIG_WAIT: Span = Span::from_millis(800);

/// The same in a large fleet, whose processes report less often: together with
/// the time between two reports it stays well under [`FORWARD_AGE_MAX`], above
/// which every process would read the store itself.
const CONFIG_WAIT_LARGE: Span = Span::from_millis(400);

/// Interval between reads of the directory by the leader, which moves keys away
/// from leaving targets and forwards changes.
const DIRECTORY_READ_INTERVAL: Span = Span::from_millis(300);

/// Time since this process last knew a topic, or the leader's answer, to be
/// current, above which it reads the store itself. Together with a read it
/// stays well within the bounds of 2 s for configurations and for leaving
/// targets.
pub(crate) const FORWARD_AGE_MAX: Span = Span::from_millis(1_400);

/// Time for which a process without a position waits for the state that the
/// leader forwards. Reads by hundreds of processes that start together would
/// cost more calls than the rest of a day.
const LEADER_WAIT: Span = Span::from_millis(600);

/// The same in a fleet that starts for the first time: it elects its first
/// leader meanwhile, and has no callers yet.
const LEADER_WAIT_BOOTSTRAP: Span = Span::from_secs(5);

/// Interval between checks of the age of the leader's last message.
const RECHECK_INTERVAL: Span = Span::from_millis(100);

/// Time for which a read of the owners waits for a new table while the leader
/// forwards none.
const OWNERS_WAIT: Span = Span::from_secs(2);

/// Time for which a process that has read of a new leader waits for its answer.
/// A leader in a fleet of hundreds needs most of it to send every process its
/// first state.
const LEADER_ANSWER_WAIT: Span = Span::from_secs(1);

/// Waits until a read may call the store.
async fn await_backoff(node: &Node) {
    loop {
        let mut backoff = node.backoff.get();
        let may_call = backoff.claim(node.now());
        node.backoff.set(backoff);
        if may_call {
            return;
        }
        sleep(backoff.rest(node.now()).min(RECHECK_INTERVAL)).await;
    }
}

/// Ends the backoff, as the store has answered.
pub(crate) fn end_backoff(node: &Node) {
    let mut backoff = node.backoff.get();
    backoff.answered(node.now());
    node.backoff.set(backoff);
}

/// Updates the backoff after a read that began at a time.
fn update_backoff(node: &Node, began: Time, result: Result<(), StoreError>) {
    let failure = match result {
        Ok(()) | Err(StoreError::Deleted(_)) => return end_backoff(node),
        Err(StoreError::Unsent) => Failure::Unsent,
        Err(StoreError::Unknown) => Failure::Unanswered,
        Err(_) => Failure::Refused,
    };
    let mut backoff = node.backoff.get();
    backoff.failed(node.now(), began, failure);
    node.backoff.set(backoff);
}

/// Where a record comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// This process has read it from the store.
    Store,
    /// This process has listed the newest record of each key.
    Listing,
    /// The leader has forwarded it.
    Leader,
}

/// Origin of a record.
#[derive(Clone, Copy, Debug)]
struct Origin {
    source: Source,
    /// Time after which the value was written, if it differs from the known one:
    /// the topic was last known to be current then.
    written_after: Time,
}

/// Applies a key and value. Returns whether it changed the state.
type Apply = fn(&Node, Origin, &[u8], &[u8]) -> bool;

/// Returns whether a key of the topic of the configuration is used.
fn is_config_key(key: &[u8]) -> bool {
    key == name::CONFIG_KEY || name::parse_evacuation(key).is_some()
}

fn apply_config(node: &Node, origin: Origin, key: &[u8], value: &[u8]) -> bool {
    if let Some(zone) = name::parse_evacuation(key) {
        return match value.is_empty() {
            true => node.readmit(zone),
            false => node.evacuate(zone, origin.written_after),
        };
    }
    if key != name::CONFIG_KEY {
        return false;
    }
    match config::decode(value) {
        Ok(config) => node.update_config(config, origin.source),
        Err(error) => {
            log::warn!(error:display; "invalid configuration ignored");
            false
        }
    }
}

/// Ends the evacuations of zones whose keys a complete listing does not have.
fn readmit_unlisted(node: &Node, is_listed: impl Fn(&str) -> bool) {
    let zones: Vec<Arc<str>> = node.directory.borrow().evacuated_zones().cloned().collect();
    for zone in zones.iter().filter(|zone| !is_listed(zone)) {
        node.readmit(zone);
    }
}

fn apply_target(node: &Node, origin: Origin, key: &[u8], value: &[u8]) -> bool {
    let now = node.now();
    let mut directory = node.directory.borrow_mut();
    if value.is_empty() {
        directory.remove(now, &String::from_utf8_lossy(key));
        return true;
    }
    match entry::decode(key, value) {
        Ok(entry) => {
            log_other_process(&directory, &entry);
            let (incarnation, cold_left) = (entry.incarnation.clone(), entry.cold_left);
            let has_changed = match origin.source {
                Source::Listing => directory.put_listed(now, entry),
                Source::Store | Source::Leader => directory.put(now, entry),
            };
            if has_changed && !cold_left.is_zero() {
                let left_ms = cold_left.as_millis();
                log::info!(target_id = &*incarnation.id, started = incarnation.started, left_ms; "target is cold");
            }
            has_changed
        }
        Err(error) => {
            log::warn!(error:display; "invalid directory entry ignored");
            false
        }
    }
}

/// Logs that an entry comes from another process of a target than the known one.
fn log_other_process(directory: &Directory, entry: &Entry) {
    let Incarnation { id, started } = &entry.incarnation;
    let known = directory.get(id).map(|target| target.entry.incarnation.started);
    if let Some(known) = known.filter(|known| known != started) {
        log::info!(target_id = &**id, known, started; "entry of another process of a target");
    }
}

/// Applies configurations and evacuations that the leader forwarded.
pub(crate) fn apply_forwarded_configs(node: &Node, batch: &Batch, at: Time) {
    let feed = &node.config_feed;
    let had_position = feed.next_offset().is_some();
    apply_forwarded(node, feed, batch, at, apply_config);
    if !had_position && feed.next_offset().is_some() {
        let live = batch.changes.iter().filter(|change| change.value.size() > 0);
        let zones: HashSet<&str> = live.filter_map(|change| name::parse_evacuation(&change.key)).collect();
        readmit_unlisted(node, |zone| zones.contains(zone));
    }
}

/// Applies directory entries that the leader forwarded.
pub(crate) fn apply_forwarded_targets(node: &Node, batch: &Batch, at: Time) {
    start_grace(node, batch.changes.iter().filter(|c| c.value.size() == 0).count());
    apply_forwarded(node, &node.directory_feed, batch, at, apply_target);
    node.directory.borrow_mut().note_read(node.directory_feed.checked_at());
    node.waiters.notify_all();
}

/// Applies that other processes were told by targets that these leave.
pub(crate) fn apply_leaving(node: &Node, leaving: &[Incarnation]) {
    for incarnation in leaving {
        if node.directory.borrow_mut().announce_leaving(node.now(), incarnation) {
            log::info!(target_id = &*incarnation.id; "target leaves, as another process was told");
        }
    }
}

/// Applies that targets do not leave, as the leader has found out.
pub(crate) fn apply_staying(node: &Node, staying: &[Incarnation]) {
    for incarnation in staying {
        if node.directory.borrow_mut().note_staying(node.now(), incarnation) {
            log::info!(target_id = &*incarnation.id; "target does not leave, as the leader has found out");
        }
    }
}

/// Returns whether a state from the leader may be the first one of a topic. A
/// leader that was paused sends an old one.
fn is_recent(node: &Node, at: Time) -> bool {
    node.now().since(at) < FORWARD_AGE_MAX
}

/// Applies a complete listing of the directory that the leader forwarded, if
/// this process has no position.
pub(crate) fn apply_listing(node: &Node, entries: Vec<Entry>, to: u64, at: Time) {
    if !is_recent(node, at) || !node.directory_feed.list(to, at) {
        return;
    }
    let listed: HashSet<&str> = entries.iter().map(|entry| &*entry.incarnation.id).collect();
    let is_missing = |t: &&Target| !listed.contains(&*t.entry.incarnation.id);
    let missing = node.directory.borrow().all().filter(is_missing).count();
    start_grace(node, missing);
    node.directory.borrow_mut().replace(node.now(), entries);
    node.directory.borrow_mut().note_read(at);
    node.directory_read.set(true);
    node.waiters.notify_all();
}

/// Returns whether a topic without a position should wait for the leader.
fn awaits_leader(node: &Node, feed: &Feed) -> bool {
    let bootstraps = node.settings.bootstrap == Some(true) && !feed.was_read();
    let wait = if bootstraps { LEADER_WAIT_BOOTSTRAP } else { LEADER_WAIT };
    let waits = |since: Time| node.now().since(since) < wait;
    !node.is_strong() && feed.lost_since().is_some_and(waits)
}

/// Applies forwarded changes that continue at the known position. After a gap,
/// or if a change is invalid, the records are read from the store.
fn apply_forwarded(node: &Node, feed: &Feed, batch: &Batch, at: Time, apply: Apply) {
    let origin = Origin { source: Source::Leader, written_after: feed.checked_at() };
    let known = match feed.next_offset() {
        None if batch.from == 0 && is_recent(node, at) && feed.covers(batch.to) => {
            feed.list(batch.to, at);
            0
        }
        Some(next) if batch.from <= next && next <= batch.to => next,
        _ => return,
    };
    for change in batch.changes.iter().filter(|c| c.offset >= known) {
        match change.value.decode() {
            Ok(value) => {
                let has_changed = apply(node, origin, &change.key, &value);
                feed.add(change.clone(), has_changed);
            }
            Err(error) => {
                log::warn!(topic = feed.topic, error:display; "invalid change ignored");
                feed.reset(node.now());
                return;
            }
        }
    }
    feed.advance(batch.to, None, at);
}

/// Reader of one topic.
struct Reader<'a> {
    node: &'a Node,
    feed: &'a Feed,
    /// Called before records are applied, with the number of removed keys.
    on_removed: fn(&Node, usize),
    apply: Apply,
    /// Whether a listed record is kept for processes without a position.
    is_kept: fn(&[u8]) -> bool,
    failing: bool,
}

/// Decodes a record of a keyed topic. Logs a record that can't be decoded and
/// returns `None`.
pub(crate) fn decode_record(record: Bytes, topic: &str) -> Option<KeyedRecord> {
    match frame::decode_keyed(record) {
        Ok(keyed) => Some(keyed),
        Err(error) => {
            log::warn!(topic, error:display; "invalid record ignored");
            None
        }
    }
}

impl Reader<'_> {
    /// Reads once. Returns the listed keys if the read was a complete listing.
    async fn read(&mut self, wait: Span) -> Result<Option<HashSet<Bytes>>, StoreError> {
        let timeout = ANSWER_TIMEOUT.as_duration();
        let (node, feed) = (self.node, self.feed);
        // A probe that waits would take longer to find out that nothing answers.
        let wait = if node.backoff.get().is_over() { wait } else { Span::ZERO };
        let sent_at = node.now();
        let written_after = feed.checked_at();
        let Some(from) = feed.next_offset() else {
            let newest = node.store.newest(feed.topic, timeout).await?;
            if !feed.list(newest.end, sent_at) {
                // The state of the leader may be newer.
                return Ok(None);
            }
            let live = newest.items.iter().filter(|r| !r.value.is_empty());
            let keys = live.clone().map(|r| r.key.clone()).collect();
            let origin = Origin { source: Source::Listing, written_after };
            for record in live {
                (self.apply)(node, origin, &record.key, &record.value);
            }
            for KeyedRecord { key, value } in newest.items.into_iter().filter(|r| (self.is_kept)(&r.key)) {
                self.keep(newest.end.saturating_sub(1), key, &value, true);
            }
            return Ok(Some(keys));
        };
        let read = node.store.read(feed.topic, from, wait, timeout).await;
        let has_moved = feed.next_offset() != Some(from);
        let batch = match read {
            // Changes from the leader moved the position during the read.
            Ok(_) | Err(StoreError::Deleted(_)) if has_moved => return Ok(None),
            read => read?,
        };
        let to = from + batch.records.len() as u64;
        let decoded = batch.records.into_iter().map(|record| decode_record(record, feed.topic));
        let records: Vec<Option<KeyedRecord>> = decoded.collect();
        let origin = Origin { source: Source::Store, written_after };
        (self.on_removed)(node, records.iter().flatten().filter(|r| r.value.is_empty()).count());
        for (offset, record) in (from..).zip(records) {
            let Some(KeyedRecord { key, value }) = record else { continue };
            let has_changed = (self.apply)(node, origin, &key, &value);
            if has_changed || feed.may_be_ahead() {
                self.keep(offset, key, &value, has_changed);
            }
        }
        // The store answers at once if it has a record, and otherwise after the
        // whole wait: an empty answer is current at the end of the wait.
        let at = if to == from { sent_at.after(wait).min(node.now()) } else { sent_at };
        feed.advance(to, Some(batch.end), at);
        Ok(None)
    }

    /// Keeps a record for other processes.
    fn keep(&self, offset: u64, key: Bytes, value: &Bytes, has_changed: bool) {
        match Payload::new(value) {
            Ok(value) => self.feed.add(Change { offset, key, value }, has_changed),
            Err(error) => {
                log::error!(topic = self.feed.topic, error:display; "change not forwarded");
                self.feed.forget_before(offset + 1);
            }
        }
    }

    /// Reads until the store answers.
    async fn next(&mut self, wait: Span) -> Option<HashSet<Bytes>> {
        loop {
            await_backoff(self.node).await;
            let began = self.node.now();
            let read = self.read(wait).await;
            update_backoff(self.node, began, read.as_ref().map(drop).map_err(|error| *error));
            match read {
                Ok(keys) => {
                    if std::mem::take(&mut self.failing) {
                        log::info!(topic = self.feed.topic; "store is available again");
                    }
                    return keys;
                }
                Err(StoreError::Deleted(_)) => self.feed.reset(self.node.now()),
                Err(error) => {
                    if !std::mem::replace(&mut self.failing, true) {
                        log::warn!(topic = self.feed.topic, code:display = error.code(), error:display; "store unavailable");
                    }
                }
            }
        }
    }
}

/// Returns whether the changes from the leader are recent enough for a topic.
fn is_forwarded(node: &Node, feed: &Feed) -> bool {
    !node.is_leader.get()
        && feed.next_offset().is_some()
        && node.now().since(feed.checked_at()) < FORWARD_AGE_MAX
}

/// Keeps the configuration and the evacuated zones up to date.
pub(crate) async fn read_config(node: Rc<Node>) {
    let mut reader = Reader {
        node: &node,
        feed: &node.config_feed,
        on_removed: |_, _| (),
        apply: apply_config,
        is_kept: is_config_key,
        failing: false,
    };
    loop {
        if is_forwarded(&node, &node.config_feed) || awaits_leader(&node, &node.config_feed) {
            sleep(RECHECK_INTERVAL).await;
            continue;
        }
        let wait = match node.is_leader.get() {
            true if node.is_large_fleet() => CONFIG_WAIT_LARGE,
            true => CONFIG_WAIT,
            false => Span::ZERO,
        };
        if let Some(keys) = reader.next(wait).await {
            let zones: HashSet<&str> = keys.iter().filter_map(|key| name::parse_evacuation(key)).collect();
            readmit_unlisted(&node, |zone| zones.contains(zone));
        }
    }
}

/// Starts the grace period of the directory if so many entries are removed that
/// they must have expired while the store was unavailable.
fn start_grace(node: &Node, removed: usize) {
    if node.directory.borrow_mut().note_removals(node.now(), removed) {
        log::info!(removed; "directory entries expired; their targets have a grace period to renew them");
    }
}

/// Keeps the directory of targets up to date.
pub(crate) async fn read_targets(node: Rc<Node>) {
    let mut reader = Reader {
        node: &node,
        feed: &node.directory_feed,
        on_removed: start_grace,
        apply: apply_target,
        // The leader lists the directory itself.
        is_kept: |_| false,
        failing: false,
    };
    loop {
        if is_forwarded(&node, &node.directory_feed) || awaits_leader(&node, &node.directory_feed) {
            sleep(RECHECK_INTERVAL).await;
            continue;
        }
        let keys = reader.next(Span::ZERO).await;
        if let Some(keys) = keys {
            let is_listed = |id: &str| keys.contains(id.as_bytes());
            let removed =
                node.directory.borrow().all().filter(|t| !is_listed(&t.entry.incarnation.id)).count();
            start_grace(&node, removed);
            node.directory.borrow_mut().retain(node.now(), is_listed);
        }
        node.directory.borrow_mut().note_read(node.directory_feed.checked_at());
        node.directory_read.set(true);
        node.waiters.notify_all();
        sleep(DIRECTORY_READ_INTERVAL).await;
    }
}

/// Reads the table of owners from the store while the leader forwards none.
pub(crate) async fn read_owners(node: Rc<Node>) {
    // When the fleet starts for the first time, there is no table yet.
    let mut known = None;
    let mut next = (node.settings.bootstrap == Some(true) && !node.is_strong()).then_some(0);
    loop {
        if node.now().since(node.forwarded_at.get()) <= FORWARD_AGE_MAX || node.is_leader.get() {
            next = None;
            sleep(RECHECK_INTERVAL).await;
            continue;
        }
        await_backoff(&node).await;
        let began = node.now();
        let read = match next {
            // A long poll would keep the other readers from probing the store.
            Some(end) if node.backoff.get().is_over() => record::wait(&node, end, OWNERS_WAIT).await,
            _ => record::read(&node).await,
        };
        update_backoff(&node, began, read.as_ref().map(drop).map_err(|error| *error));
        match read {
            Ok(record::Newest { table, end }) => {
                next = Some(end);
                let Some(table) = table else { continue };
                let leader = table.leader.clone();
                node.update_owners(end.saturating_sub(1), Rc::new(table));
                if known.replace(leader.clone()) != Some(leader) {
                    sleep(LEADER_ANSWER_WAIT).await;
                }
            }
            Err(error) => {
                next = None;
                log::debug!(error:display; "failed to read owners");
            }
        }
    }
}
