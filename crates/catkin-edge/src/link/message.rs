//! Messages between edge processes and their framing.

use {
    crate::feed::{self, Feed},
    bytes::{Bytes, BytesMut},
    catkin::types::{Span, Time},
    catkin_net::{Held, set_socket_options},
    catkin_route::{
        admission::{self, FleetShares},
        announced::LimitReport,
        backlog::{Change, Payload},
        cold::TokenGrant,
        delta::Delta,
        directory::{Entry, Incarnation},
        level::Levels,
        owners::Owners,
        pace::Share,
        peer_view::NextOffsets,
        quotas::Counts,
        silence::SilenceReport,
        spill::{ZoneReport, ZoneTable},
        vacancy::Vacancy,
    },
    serde::{Deserialize, Serialize},
    std::{io, net::SocketAddr, rc::Rc, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Time without a message after which a link is closed.
pub(super) const LINK_TIMEOUT: Span = Span::from_millis(1_500);

/// Time for a link to open. A system repeats a lost attempt after 1 s, 2 s and 4 s,
/// so after a cut a new attempt is sooner than one in progress.
const CONNECT_TIMEOUT: Span = Span::from_millis(400);

/// Largest accepted message.
pub(super) const MESSAGE_BYTES_MAX: usize = 4 << 20;

/// Message of a process to the leader or to an earlier leader.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// Loads of the process, and the offsets that it knows.
    Report(Box<Report>),
    /// Request to stop leading, for the process with this run id.
    Stop(u64),
}

/// Keys and the number of requests for each.
pub(super) type KeyCounts = Vec<(u16, u16)>;

/// Report of a process to the leader.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) vm: Arc<str>,
    /// Run id of the leader that the report is for.
    pub(super) leader: u64,
    /// Number of states that were received on this link.
    pub(super) received: u64,
    /// Offset of the newest known table of owners.
    pub(super) offset: Option<u64>,
    /// Offsets of the next records of the configuration and the directory.
    pub(super) next_offsets: NextOffsets,
    /// Requests by service and key since the last report.
    pub(super) key_counts: Vec<(Arc<str>, KeyCounts)>,
    /// Whether the process has the resources to lead, see
    /// [`crate::node::Node::is_strong`].
    pub(super) strong: bool,
    /// Requests of the process in progress at each target.
    pub(super) in_flight: Counts,
    /// Requests of the process that are queued for each target.
    pub(super) queued: Counts,
    /// Refused requests of the process that will return to each target.
    pub(super) promised: Counts,
    /// Mean time of a request at each target, in seconds; targets without a
    /// measurement are left out.
    pub(super) service_times: Vec<(Arc<str>, f32)>,
    /// What the process has observed of the limits of targets.
    pub(super) limits: Vec<LimitReport>,
    /// Listed targets that said in an answer that they leave.
    pub(super) leaving: Vec<Incarnation>,
    /// What the process has observed of targets that may have stopped responding.
    pub(super) silence: Vec<SilenceReport>,
    /// Requests by service and rank since the last report.
    pub(super) admission: admission::Report,
    /// What the process asked of the services without keys, if targets lie in
    /// several zones.
    pub(super) zones: Option<ZoneReport>,
}

/// Confirms that the asked process of this VM does not lead.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Stopped;

/// Message of the leader to a process.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LeaderMessage {
    /// State that the leader sends.
    State(Box<LeaderState>),
    /// The process that the report is for does not lead.
    NotLeader,
}

/// State that the leader sends to a process.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LeaderState {
    /// Number of processes that report to the leader.
    pub(super) peer_count: u32,
    /// Whether the process should be a standby of the leader.
    pub(super) standby: bool,
    /// Time since the leader last reached the store, in microseconds.
    pub(super) store_age: u64,
    /// Quotas of the process at targets; present in an answer to a report.
    pub(super) quotas: Option<Counts>,
    /// Refused requests of all processes that will return, for targets for which the
    /// process has some; present in an answer to a report.
    pub(super) promised: Counts,
    /// Share of the process at cold targets, once the leader knows the number of
    /// processes; present in an answer to a report.
    pub(super) share: Option<Share>,
    /// Tokens of the process for cold targets; present in an answer to a report.
    pub(super) tokens: Vec<TokenGrant>,
    /// Loads of all targets by service, if they are due.
    pub(super) levels: Option<Rc<Vec<Levels>>>,
    /// Newest observations of the limits of targets; present in an answer to a
    /// report.
    pub(super) limits: Vec<LimitReport>,
    /// Listed targets that said in an answer that they leave; present in an answer
    /// to a report.
    pub(super) leaving: Vec<Incarnation>,
    /// Listed targets that were in doubt and stay; present in an answer to a
    /// report.
    pub(super) staying: Vec<Incarnation>,
    /// Newest observations of targets that may have stopped responding; present in
    /// an answer to a report and when they have changed.
    pub(super) silence: Vec<SilenceReport>,
    /// Services with so many such targets that none counts as silent; present as
    /// these are.
    pub(super) silence_exempt: Vec<Arc<str>>,
    /// Ranges of keys that have no owner for a while; present as these are.
    pub(super) vacancies: Vec<Vacancy>,
    /// Which requests are admitted; present in an answer to a report.
    pub(super) admission: Option<FleetShares>,
    /// Shares of the requests without keys that leave their zone, if targets lie
    /// in several zones; present in an answer to a report.
    pub(super) zones: Option<Rc<ZoneTable>>,
    /// Whether busy targets with keys accept requests within quotas only.
    pub(super) use_quotas: bool,
    /// Newer table of owners.
    pub(super) table: Option<TableUpdate>,
    /// Changes of the configuration and of the directory.
    pub(super) changes: [Option<TopicChanges>; 2],
    /// Complete listing of the directory, for a process without a position.
    pub(super) listing: Option<Rc<Listing>>,
}

/// Complete listing of the directory.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Listing {
    /// Offset at which a reader continues.
    pub(super) to: u64,
    /// Greatest time since the leader read the store, in microseconds.
    pub(super) age: u64,
    /// Entries, encoded and compressed.
    entries: Payload,
}

impl Listing {
    pub(super) fn new(to: u64, age: u64, entries: &Vec<Entry>) -> io::Result<Self> {
        let bytes = postcard::to_stdvec(entries).map_err(io::Error::other)?;
        let entries = Payload::new(&bytes.into()).map_err(io::Error::other)?;
        Ok(Self { to, age, entries })
    }

    pub(super) fn entries(&self) -> io::Result<Vec<Entry>> {
        let bytes = self.entries.decode().map_err(io::Error::other)?;
        postcard::from_bytes(&bytes).map_err(io::Error::other)
    }
}

/// Update of the table of owners.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum TableUpdate {
    /// Offset and full table.
    Full(u64, Rc<Owners>),
    /// Delta to an older table.
    Delta {
        /// Offset of the older table.
        from: u64,
        /// Offset of the newer table.
        to: u64,
        /// Delta between the two tables.
        delta: Rc<Delta>,
    },
}

/// Changes of one topic between two offsets.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct TopicChanges {
    pub(super) from: u64,
    pub(super) to: u64,
    /// Time since the leader read the store, in microseconds.
    pub(super) age: u64,
    pub(super) records: Vec<Change>,
}

impl TopicChanges {
    pub(super) fn new(feed: &Feed, from: u64, now: Time) -> Option<Self> {
        let feed::Batch { from, to, changes } = feed.since(from)?;
        let age = now.since(feed.checked_at()).as_micros();
        Some(Self { from, to, age, records: changes })
    }

    /// Returns the newest records of a topic, for a process without a position.
    pub(super) fn newest(feed: &Feed, now: Time) -> Option<Self> {
        let feed::Batch { from, to, changes } = feed.newest()?;
        let age = now.since(feed.checked_at()).as_micros();
        Some(Self { from, to, age, records: changes })
    }

    pub(super) fn into_batch(self) -> feed::Batch {
        feed::Batch { from: self.from, to: self.to, changes: self.records }
    }
}

/// Opens a connection to another process.
pub(super) async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let connect = TcpStream::connect(addr);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT.as_duration(), connect).await??;
    set_socket_options(&stream);
    Ok(stream)
}

pub(super) async fn write<T: Serialize>(stream: &mut OwnedWriteHalf, message: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    tokio::time::timeout(LINK_TIMEOUT.as_duration(), stream.write_all(&bytes)).await?
}

/// Reader of whole messages. Cancelling a read loses no bytes.
pub(super) struct MessageReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    held: Held,
}

impl MessageReader {
    pub(super) fn new(stream: OwnedReadHalf) -> io::Result<Self> {
        let held = Held::new(stream.peer_addr()?);
        Ok(Self { stream, buffer: BytesMut::new(), held })
    }

    pub(super) async fn next(&mut self) -> io::Result<Bytes> {
        loop {
            if let Some(head) = self.buffer.first_chunk::<4>() {
                let length = u32::from_be_bytes(*head) as usize;
                if length > MESSAGE_BYTES_MAX {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if self.buffer.len() >= 4 + length {
                    let message = self.buffer.split_to(4 + length).freeze();
                    return Ok(message.slice(4..));
                }
            }
            self.held.set(self.buffer.capacity());
            let read = tokio::select! {
                biased;
                () = self.held.ended() => return Err(Held::error()),
                read = self.stream.read_buf(&mut self.buffer) => read?,
            };
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
