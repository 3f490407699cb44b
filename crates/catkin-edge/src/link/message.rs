//! Messages between edge processes and their framing.

use {
    crate::feed::{self, Feed},
    bytes::{Bytes, BytesMut},
    catkin::types::{Span, Time},
    catkin_route::{
        backlog::Change,
        owners::Owners,
        patch::Patch,
        turns::{Counts, Turn},
    },
    serde::{Deserialize, Serialize},
    std::{io, rc::Rc, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::tcp::OwnedWriteHalf,
    },
};

/// Silence after which a connection between edge processes is closed.
pub(super) const SILENCE_MAX: Span = Span::from_millis(1_500);

/// Largest message.
pub(super) const MESSAGE_BYTES_MAX: usize = 4 << 20;

/// What a process says to the leader, or to the one before it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// Loads and what is known.
    Report(Report),
    /// Asks the process with an incarnation to stop leading.
    Stop(u64),
}

/// Keys and the requests for each.
pub(super) type KeyCounts = Vec<(u16, u16)>;

/// What a process reports.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) vm: Arc<str>,
    /// Incarnation of the leader that it is meant for.
    pub(super) leader: u64,
    /// Version of the newest known table.
    pub(super) version: Option<u64>,
    /// Offsets of the next records of the configuration and the directory.
    pub(super) next: [Option<u64>; 2],
    /// Requests by service and key since the last report.
    pub(super) keys: Vec<(Arc<str>, KeyCounts)>,
    /// Whether the process can do the work of a leader well.
    pub(super) strong: bool,
    /// Requests of this process at each target.
    pub(super) own: Counts,
    /// Requests of this process that wait for a turn at each target.
    pub(super) waiting: Counts,
    /// Mean time of a request at each target that was measured, in seconds.
    pub(super) times: Vec<(Arc<str>, f32)>,
}

/// Says that the asked process of this VM no longer leads.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Stopped;

/// What a process answers to a report.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Answer {
    /// What the leader says.
    Notice(Box<Notice>),
    /// The process that the report is meant for does not lead any more.
    Ended,
}

/// What the leader says.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Notice {
    /// Number of processes that report.
    pub(super) peers: u32,
    /// Whether the process should stand by to follow the leader.
    pub(super) standby: bool,
    /// Microseconds since the leader last reached the store.
    pub(super) alone: u64,
    /// Full targets and the requests of all processes at them.
    pub(super) full: Counts,
    /// In an answer to a report: targets that get requests by turns only, and
    /// the turns of the process.
    pub(super) turns: Option<Vec<Turn>>,
    /// A newer table.
    pub(super) table: Option<News>,
    /// Changes of the configuration and of the directory.
    pub(super) changes: [Option<Changes>; 2],
}

/// A newer table of owners.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum News {
    /// The whole table and its version.
    Whole(u64, Rc<Owners>),
    /// What differs from the table of a version.
    Changes {
        /// Version of the older table.
        from: u64,
        /// Version of the newer table.
        to: u64,
        /// What differs.
        patch: Rc<Patch>,
    },
}

/// Changes of one topic.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Changes {
    pub(super) from: u64,
    pub(super) to: u64,
    /// Microseconds since the leader read the store.
    pub(super) age: u64,
    pub(super) records: Vec<Change>,
}

impl Changes {
    pub(super) fn new(feed: &Feed, from: u64, now: Time) -> Option<Self> {
        let feed::Batch { from, to, changes } = feed.since(from)?;
        let age = now.since(feed.fresh()).as_micros();
        Some(Self { from, to, age, records: changes })
    }

    pub(super) fn into_batch(self) -> feed::Batch {
        feed::Batch { from: self.from, to: self.to, changes: self.records }
    }
}

pub(super) async fn write<T: Serialize>(stream: &mut OwnedWriteHalf, message: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    tokio::time::timeout(SILENCE_MAX.as_duration(), stream.write_all(&bytes)).await?
}

/// Reads whole messages; a read that is dropped loses nothing.
pub(super) struct Messages<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncReadExt + Unpin> Messages<R> {
    pub(super) fn new(stream: R) -> Self {
        Self { stream, buffer: BytesMut::new() }
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
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
