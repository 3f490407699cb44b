//! Storage of the table of owners in a topic of the store.

use {
    crate::{
        node::{Node, sleep},
        sync::{self, ANSWER_TIMEOUT},
    },
    catkin::types::Span,
    catkin_platform::{frame::KeyedRecord, store::StoreError},
    catkin_route::owners::Owners,
};

/// Topic of the table of owners.
const TOPIC: &str = "keyed.owners";

/// Only key of the topic.
const KEY: &[u8] = b"table";

/// Delay before a write is repeated that the store refused or did not answer.
const RETRY_DELAY: Span = Span::from_millis(300);

/// Newest record of the topic.
#[derive(Debug)]
pub(crate) struct Newest {
    /// Table; `None` if there is no record or it can't be decoded.
    pub(crate) table: Option<Owners>,
    /// Offset after the record. The topic has only one key, so this is also the
    /// offset of the next record.
    pub(crate) end: u64,
}

/// Reads the newest record.
///
/// # Errors
///
/// As any call of the store.
pub(crate) async fn read(node: &Node) -> Result<Newest, StoreError> {
    let newest = node.store.newest(TOPIC, ANSWER_TIMEOUT.as_duration()).await?;
    Ok(Newest { table: decode(&newest.items), end: newest.end })
}

/// Waits for records from an offset on, and returns the newest one.
///
/// # Errors
///
/// As any call of the store.
pub(crate) async fn wait(node: &Node, from: u64, wait: Span) -> Result<Newest, StoreError> {
    let batch = node.store.read(TOPIC, from, wait, ANSWER_TIMEOUT.as_duration()).await?;
    let end = from + batch.records.len() as u64;
    let records: Vec<KeyedRecord> =
        batch.records.into_iter().filter_map(|r| sync::decode_record(r, TOPIC)).collect();
    Ok(Newest { table: decode(&records), end })
}

fn decode(records: &[KeyedRecord]) -> Option<Owners> {
    let record = records.iter().rfind(|record| *record.key == *KEY)?;
    match Owners::decode(&record.value) {
        Ok(table) => Some(table),
        Err(error) => {
            log::error!(error:display; "failed to decode the table of owners");
            None
        }
    }
}

async fn append(node: &Node, bytes: &[u8], offset: u64) -> Result<(), StoreError> {
    let appended = node.store.append(TOPIC, KEY, bytes, offset, ANSWER_TIMEOUT.as_duration()).await;
    match appended {
        Ok(_) => log::info!(offset, bytes = bytes.len(); "table of owners written"),
        Err(error) => log::warn!(offset, error:display; "failed to write the table of owners"),
    }
    appended.map(drop)
}

fn encode(table: &Owners) -> Option<Vec<u8>> {
    match table.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!(error:display; "failed to encode the table of owners");
            None
        }
    }
}

/// Returns whether the record at `offset` holds `table`. Returns `None` if
/// there is no such record yet or the store can't be read.
async fn is_stored(node: &Node, table: &Owners, offset: u64) -> Option<bool> {
    match read(node).await {
        Ok(newest) if newest.end > offset => {
            Some(newest.end == offset + 1 && newest.table.as_ref() == Some(table))
        }
        Ok(_) => None,
        Err(error) => {
            log::info!(error:display; "failed to read owners");
            None
        }
    }
}

/// Makes one attempt to write a table at `offset`. Returns whether it is stored
/// there, or `None` if that is unknown.
async fn try_append(node: &Node, table: &Owners, bytes: &[u8], offset: u64) -> Option<bool> {
    match append(node, bytes, offset).await {
        Ok(()) => Some(true),
        // This attempt or an earlier one may have been executed without an
        // answer.
        Err(StoreError::EndMismatch(_) | StoreError::Unknown) => is_stored(node, table, offset).await,
        Err(_) => None,
    }
}

/// Writes a table at `offset` with a single attempt. Returns whether the table
/// or another record is stored there, or `None` if that is unknown; the attempt
/// may still take effect then.
pub(super) async fn write_once(node: &Node, table: &Owners, offset: u64) -> Option<bool> {
    let bytes = encode(table)?;
    try_append(node, table, &bytes, offset).await
}

/// Writes a table at `offset`, and repeats the attempt until the store has
/// said whether it is stored there. Returns whether it is; if not, another
/// process has written a record there.
pub(super) async fn write(node: &Node, table: &Owners, offset: u64) -> bool {
    let Some(bytes) = encode(table) else { return false };
    loop {
        if let Some(is_stored) = try_append(node, table, &bytes, offset).await {
            return is_stored;
        }
        sleep(RETRY_DELAY).await;
    }
}
