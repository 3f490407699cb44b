//! The table of owners: which target holds which keys, and with which fence.

use {
    crate::directory::Life,
    catkin::{Code, Error, types::Span},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// One range of keys and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Id of the target.
    pub target: Arc<str>,
    /// Start of the target's process.
    pub born: u64,
    /// Fencing token of the grant.
    pub fence: u64,
    /// What the last holder handed over, if it did.
    pub handover: Option<Arc<str>>,
}

impl Row {
    /// Returns the owner's process.
    pub fn life(&self) -> Life {
        Life { id: self.target.clone(), born: self.born }
    }
}

/// The process that grants keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of its VM.
    pub vm: Arc<str>,
    /// Number of this process of the VM.
    pub incarnation: u64,
    /// Its address for other edge processes.
    pub addr: SocketAddr,
}

/// The owners of all keys of all keyed services. One record of the store holds
/// the whole table, so that a change of several rows is atomic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    /// The process that wrote the table.
    pub leader: Leader,
    /// Processes that led before and may still renew their grants.
    pub earlier: Vec<Leader>,
    /// How long its grants and theirs hold.
    pub hold: Span,
    /// Rows of each service in the order of their keys, without gaps.
    pub services: BTreeMap<Arc<str>, Vec<Row>>,
}

impl Owners {
    /// Encodes the table.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|e| Error::new(Code::Internal, e.to_string()))
    }

    /// Decodes a table and checks that no two rows of it overlap.
    ///
    /// # Errors
    ///
    /// `Code::ForeignRecord` if the bytes are not a table.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let table: Self =
            postcard::from_bytes(bytes).map_err(|e| Error::new(Code::ForeignRecord, e.to_string()))?;
        let ordered = |rows: &Vec<Row>| {
            rows.windows(2).all(|w| w[0].to < w[1].from) && rows.iter().all(|r| r.from <= r.to)
        };
        if !table.services.values().all(ordered) {
            return Err(Error::new(Code::ForeignRecord, "rows of owners overlap"));
        }
        Ok(table)
    }

    /// Returns the row of a key.
    pub fn find(&self, service: &str, key: u16) -> Option<&Row> {
        let rows = self.services.get(service)?;
        let row = rows.get(rows.partition_point(|r| r.to < key))?;
        (row.from <= key).then_some(row)
    }
}
