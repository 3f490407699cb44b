//! The record of the store that holds the table of owners.

use {
    crate::{
        follow::{self, ANSWER_MAX},
        node::{Node, sleep},
    },
    catkin::types::Span,
    catkin_platform::{frame::Keyed, store::Refusal},
    catkin_route::owners::Owners,
};

/// Topic of the table of owners.
const TOPIC: &str = "keyed.owners";

/// Key of the table in its topic.
const KEY: &[u8] = b"table";

/// Pause before a write that the store refused or did not answer is repeated.
const REPEAT: Span = Span::from_millis(300);

/// The newest record.
#[derive(Debug)]
pub(crate) struct Newest {
    /// The table, if there is one that can be read.
    pub(crate) table: Option<Owners>,
    /// Offset after the record. The topic has only one key, so this is the
    /// offset of the next record.
    pub(crate) end: u64,
}

/// Reads the newest record.
///
/// # Errors
///
/// As any call of the store.
pub(crate) async fn read(node: &Node) -> Result<Newest, Refusal> {
    let newest = node.store.newest(TOPIC, ANSWER_MAX.as_duration()).await?;
    Ok(Newest { table: decode(&newest.items), end: newest.end })
}

/// Waits for a record from an offset on and returns the newest one.
///
/// # Errors
///
/// As any call of the store.
pub(crate) async fn wait(node: &Node, from: u64, wait: Span) -> Result<Newest, Refusal> {
    let batch = node.store.read(TOPIC, from, wait, ANSWER_MAX.as_duration()).await?;
    let end = from + batch.records.len() as u64;
    let records: Vec<Keyed> = batch.records.into_iter().filter_map(|r| follow::keyed(r, TOPIC)).collect();
    Ok(Newest { table: decode(&records), end })
}

fn decode(records: &[Keyed]) -> Option<Owners> {
    let record = records.iter().rfind(|record| *record.key == *KEY)?;
    match Owners::decode(&record.value) {
        Ok(table) => Some(table),
        Err(error) => {
            log::error!(error:display; "table of owners can't be read");
            None
        }
    }
}

async fn append(node: &Node, bytes: &[u8], end: u64) -> Result<(), Refusal> {
    let appended = node.store.append(TOPIC, KEY, bytes, end, ANSWER_MAX.as_duration()).await;
    match appended {
        Ok(_) => log::info!(offset = end, bytes = bytes.len(); "owners written"),
        Err(refusal) => log::warn!(end, refusal:display; "owners not written"),
    }
    appended.map(drop)
}

fn encode(table: &Owners) -> Option<Vec<u8>> {
    match table.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!(error:display; "table of owners can't be encoded");
            None
        }
    }
}

/// Returns whether a table stands behind the record before `end`, if a record
/// does and the store can be read.
async fn stands(node: &Node, table: &Owners, end: u64) -> Option<bool> {
    match read(node).await {
        Ok(newest) if newest.end > end => Some(newest.end == end + 1 && newest.table.as_ref() == Some(table)),
        Ok(_) => None,
        Err(refusal) => {
            log::info!(refusal:display; "owners not read");
            None
        }
    }
}

/// Tries once to write a table after the record before `end`. Returns whether
/// it stands there, as far as the store says.
async fn attempt(node: &Node, table: &Owners, bytes: &[u8], end: u64) -> Option<bool> {
    match append(node, bytes, end).await {
        Ok(()) => Some(true),
        // This try or an earlier one may have been carried out unanswered.
        Err(Refusal::Moved(_) | Refusal::Unknown) => stands(node, table, end).await,
        Err(_) => None,
    }
}

/// Writes a table after the record before `end`, once. Returns whether the
/// store has it there; it may get it later also if this returns false.
pub(super) async fn write_once(node: &Node, table: &Owners, end: u64) -> bool {
    let Some(bytes) = encode(table) else { return false };
    attempt(node, table, &bytes, end).await == Some(true)
}

/// Writes a table after the record before `end`, again and again until the
/// store has said whether it stands there. Returns whether it does; otherwise
/// another process has written a record there.
pub(super) async fn write(node: &Node, table: &Owners, end: u64) -> bool {
    let Some(bytes) = encode(table) else { return false };
    loop {
        if let Some(stands) = attempt(node, table, &bytes, end).await {
            return stands;
        }
        sleep(REPEAT).await;
    }
}
