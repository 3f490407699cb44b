//! Messages between the edge processes and their leader.
//!
//! Each process reports to the leader, which answers each report with a state.
//! Both are encoded by `postcard`; the edge program frames them.

use {
    crate::{
        admission::{self, FleetShares},
        announced::LimitReport,
        backlog::{Change, Payload},
        cold::TokenGrant,
        delta::Delta,
        directory::{Entry, Incarnation},
        level::LevelUpdate,
        numbering::{ByTarget, Numbering, NumberingId},
        owners::Owners,
        pace::Share,
        peer_view::Known,
        quotas::Counts,
        service_time::TimeSum,
        silence::SilenceReport,
        spill::{ZoneReport, ZoneTable},
        vacancy::Vacancy,
    },
    catkin::{Code, Error},
    serde::{Deserialize, Serialize},
    std::{rc::Rc, sync::Arc},
};

/// Message of a process to the leader or to an earlier leader.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// Loads of the process, and the offsets that it knows.
    Report(Box<Report>),
    /// Request to stop leading, for the process with this run id.
    Stop(u64),
}

/// Keys and the number of requests for each.
pub type KeyCounts = Vec<(u16, u16)>;

/// Report of a process to the leader.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    /// VM of the process.
    pub vm: Arc<str>,
    /// Run id of the leader that the report is for.
    pub leader: u64,
    /// Number of messages that were received on this link.
    pub received: u64,
    /// What the process knows of what the leader sends.
    pub known: Known,
    /// Requests by service and key since the last report that had them, see
    /// [`crate::pacing`].
    pub key_counts: Vec<(Arc<str>, KeyCounts)>,
    /// Whether the process has the resources to lead, as the edge
    /// program decides.
    pub strong: bool,
    /// Numbering of the targets below, if any of them is named by its number.
    pub numbering: Option<NumberingId>,
    /// Requests of the process in progress at each target.
    pub in_flight: ByTarget<u32>,
    /// Requests of the process that are queued for each target.
    pub queued: ByTarget<u32>,
    /// Those of the most urgent of several ranks among them.
    pub urgent: ByTarget<u32>,
    /// Refused requests of the process that will return to each target.
    pub promised: ByTarget<u32>,
    /// Times that requests took at targets since the last report that had them; recent
    /// ones for a new leader. Targets without a measurement are left out.
    pub service_times: ByTarget<TimeSum>,
    /// What the process has observed of the limits of targets.
    pub limits: Vec<LimitReport>,
    /// Listed targets that said in an answer that they leave.
    pub leaving: Vec<Incarnation>,
    /// What the process has observed of targets that may have stopped responding.
    pub silence: Vec<SilenceReport>,
    /// Requests by service and rank since the last report that had them.
    pub admission: admission::Report,
    /// What the process asked of the services without keys since the last report that
    /// said it, if targets lie in several zones.
    pub zones: Option<ZoneReport>,
}

/// Counts of a report, by the ids of targets.
#[derive(Clone, Debug, Default)]
pub struct ReportedCounts {
    /// Requests of the process in progress at each target.
    pub in_flight: Counts,
    /// Requests of the process that are queued for each target.
    pub queued: Counts,
    /// Those of the most urgent of several ranks among them.
    pub urgent: Counts,
    /// Refused requests of the process that will return to each target.
    pub promised: Counts,
    /// Times that requests took at targets.
    pub service_times: Vec<(Arc<str>, TimeSum)>,
}

impl Report {
    /// Takes the counts of targets out of the report. Returns `None` if it names
    /// targets by a numbering that is not known.
    pub fn take_counts(&mut self, numbering: Option<&Numbering>) -> Option<ReportedCounts> {
        Some(ReportedCounts {
            in_flight: std::mem::take(&mut self.in_flight).resolve(numbering)?,
            queued: std::mem::take(&mut self.queued).resolve(numbering)?,
            urgent: std::mem::take(&mut self.urgent).resolve(numbering)?,
            promised: std::mem::take(&mut self.promised).resolve(numbering)?,
            service_times: std::mem::take(&mut self.service_times).resolve(numbering)?,
        })
    }
}

/// Confirms that the asked process of this VM does not lead.
#[derive(Debug, Serialize, Deserialize)]
pub struct Stopped;

/// Message of the leader to a process.
#[derive(Debug, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// State that the leader sends.
    State(Box<LeaderState>),
    /// Newer table of owners.
    Table(TableUpdate),
    /// Complete listing of the directory, for a process without a position.
    Listing(Listing),
    /// The process that the report is for does not lead.
    NotLeader,
}

/// State that the leader sends to a process.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaderState {
    /// Number of processes that report to the leader.
    pub peer_count: u32,
    /// Whether the process should be a standby of the leader.
    pub standby: bool,
    /// Time since the leader last reached the store, in microseconds.
    pub store_age: u64,
    /// Quotas of the process at targets; present in an answer to a report.
    pub quotas: Option<Counts>,
    /// Refused requests of all processes that will return, for targets for which the
    /// process has some; present in an answer to a report.
    pub promised: Counts,
    /// Share of the process at cold targets, once the leader knows the number of
    /// processes; present in an answer to a report.
    pub share: Option<Share>,
    /// Tokens of the process for cold targets; present in an answer to a report.
    pub tokens: Vec<TokenGrant>,
    /// Loads of all targets by service, if they are due.
    pub levels: Option<LevelUpdate>,
    /// Newest observations of the limits of targets; present in an answer to a
    /// report.
    pub limits: Vec<LimitReport>,
    /// Listed targets that said in an answer that they leave; present in an answer
    /// to a report.
    pub leaving: Vec<Incarnation>,
    /// Listed targets that were in doubt and stay; present in an answer to a
    /// report.
    pub staying: Vec<Incarnation>,
    /// Newest observations of targets that may have stopped responding; present in an
    /// answer to a report and when they have changed.
    pub silence: Vec<SilenceReport>,
    /// Services with so many such targets that none counts as silent; present as these
    /// are.
    pub silence_exempt: Vec<Arc<str>>,
    /// Ranges of keys that have no owner for a while; present as these are.
    pub vacancies: Vec<Vacancy>,
    /// Which requests are admitted; present in an answer to a report.
    pub admission: Option<FleetShares>,
    /// Shares of the requests without keys that leave their zone, if targets lie
    /// in several zones and the shares are due.
    pub zones: Option<Rc<ZoneTable>>,
    /// Numbering of the targets that the leader knows, if it has changed on this link
    /// since it was last sent.
    pub numbering: Option<NumberingId>,
    /// Whether busy targets with keys accept requests within quotas only.
    pub use_quotas: bool,
    /// Changes of the configuration and of the directory.
    pub changes: [Option<TopicChanges>; 2],
}

/// Complete listing of the directory.
#[derive(Debug, Serialize, Deserialize)]
pub struct Listing {
    /// Offset at which a reader continues.
    pub to: u64,
    /// Greatest time since the leader read the store, in microseconds.
    pub age: u64,
    /// Entries, encoded and compressed.
    entries: Payload,
}

impl Listing {
    /// Creates a listing of entries, which are compressed.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the encoder or the compressor fails.
    pub fn new(to: u64, age: u64, entries: &Vec<Entry>) -> Result<Self, Error> {
        let bytes = postcard::to_stdvec(entries).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
        Ok(Self { to, age, entries: Payload::new(&bytes.into())? })
    }

    /// Returns the entries.
    ///
    /// # Errors
    ///
    /// `Code::BadFrame` if the bytes are not a listing.
    pub fn entries(&self) -> Result<Vec<Entry>, Error> {
        let bytes = self.entries.decode()?;
        postcard::from_bytes(&bytes).map_err(|e| Error::new(Code::BadFrame, e.to_string()))
    }
}

/// Update of the table of owners.
#[derive(Debug, Serialize, Deserialize)]
pub enum TableUpdate {
    /// Full table.
    Full {
        /// Offset of the table.
        offset: u64,
        /// The table, encoded and compressed.
        table: Payload,
    },
    /// Delta to an older table.
    Delta {
        /// Offset of the older table.
        from: u64,
        /// Offset of the newer table.
        to: u64,
        /// Delta between the two tables.
        delta: Delta,
    },
}

impl TableUpdate {
    /// Creates an update with a full table.
    ///
    /// # Errors
    ///
    /// `Code::Internal` if the encoder or the compressor fails.
    pub fn full(offset: u64, table: &Owners) -> Result<Self, Error> {
        Ok(Self::Full { offset, table: Payload::new(&table.encode()?.into())? })
    }

    /// Returns the newer table and its offset, or `None` if the update is for a
    /// process with another table. `known` is the table of this process and its
    /// offset.
    ///
    /// # Errors
    ///
    /// `Code::BadFrame` or `Code::ForeignRecord` if the bytes are not a table.
    pub fn apply(&self, known: Option<(u64, &Owners)>) -> Result<Option<(u64, Owners)>, Error> {
        match self {
            Self::Full { offset, table } => Ok(Some((*offset, Owners::decode(&table.decode()?)?))),
            Self::Delta { from, to, delta } => {
                let old = known.filter(|(offset, _)| offset == from);
                Ok(old.map(|(_, old)| (*to, delta.apply(old))))
            }
        }
    }
}

/// Changes of one topic between two offsets.
#[derive(Debug, Serialize, Deserialize)]
pub struct TopicChanges {
    /// First offset that the changes cover.
    pub from: u64,
    /// Offset after the last one.
    pub to: u64,
    /// Time since the leader read the store, in microseconds.
    pub age: u64,
    /// Changes in offset order; records without effect are left out.
    pub records: Vec<Change>,
}
