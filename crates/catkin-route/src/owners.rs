//! The table of owners: which target holds which keys, and under which fencing
//! token.

use {
    crate::directory::Incarnation,
    catkin::{Code, Error, types::Span},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// A range of keys and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// First key of the range.
    pub from: u16,
    /// Last key of the range, inclusive.
    pub to: u16,
    /// Id of the owner.
    pub target: Arc<str>,
    /// Start of the owner's process, in Unix milliseconds of the target.
    pub started: u64,
    /// Fencing token of the grant.
    pub fence: u64,
    /// Handover data of the last owner, if it returned any on release.
    pub handover: Option<Arc<str>>,
}

impl Row {
    /// Returns the incarnation that owns the range.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.target.clone(), started: self.started }
    }
}

/// Identity of one run of an edge process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of the VM on which it runs.
    pub vm: Arc<str>,
    /// Id of this run: the start of the process in Unix microseconds, XOR its
    /// process id.
    pub run_id: u64,
    /// Address on which it accepts connections of other edge processes.
    pub addr: SocketAddr,
}

/// The owners of all keys of all keyed services. One record of the store holds
/// the full table, so that a change of several rows is atomic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    /// The leader that wrote the table.
    pub leader: ProcessId,
    /// Earlier leaders that may still renew their grants.
    pub earlier_leaders: Vec<ProcessId>,
    /// Longest lease duration of the grants of this leader and of earlier ones.
    pub lease_duration: Span,
    /// Rows of each service in the order of their keys, without overlap.
    pub services: BTreeMap<Arc<str>, Vec<Row>>,
}

impl Owners {
    /// Encodes the table as the value of a record.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        postcard::to_stdvec(self).map_err(|e| Error::new(Code::Internal, e.to_string()))
    }

    /// Decodes a table and checks that its rows are in order and do not
    /// overlap.
    ///
    /// # Errors
    ///
    /// `Code::ForeignRecord` if the bytes are not such a table.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let table: Self =
            postcard::from_bytes(bytes).map_err(|e| Error::new(Code::ForeignRecord, e.to_string()))?;
        let ordered = |rows: &Vec<Row>| {
            rows.windows(2).all(|w| w[0].to < w[1].from) && rows.iter().all(|r| r.from <= r.to)
        };
        if !table.services.values().all(ordered) {
            return Err(Error::new(
                Code::ForeignRecord,
                "rows of the table of owners overlap or are out of order",
            ));
        }
        Ok(table)
    }

    /// Returns the row that covers a key, or `None` if the key has no owner.
    pub fn find(&self, service: &str, key: u16) -> Option<&Row> {
        let rows = self.services.get(service)?;
        let row = rows.get(rows.partition_point(|r| r.to < key))?;
        (row.from <= key).then_some(row)
    }
}
