//! Framing of the messages between edge processes.

use {
    crate::{
        feed::{self, Feed},
        metrics::Metrics,
    },
    bytes::{Bytes, BytesMut},
    catkin::types::{Span, Time},
    catkin_net::{Held, set_socket_options},
    catkin_route::message::TopicChanges,
    serde::Serialize,
    std::{io, net::SocketAddr, pin::pin},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::SemaphorePermit,
    },
};

/// Time without a message after which a link is closed.
pub(super) const LINK_TIMEOUT: Span = Span::from_millis(1_500);

/// Time for a link to open. A system repeats a lost attempt after 1 s, 2 s and 4 s,
/// so after a cut a new attempt is sooner than one in progress.
const CONNECT_TIMEOUT: Span = Span::from_millis(400);

/// Size of a message from which on links write in turn. Hundreds of full tables at
/// once would fill the buffers of all connections, and on a slow link of the leader
/// all of them would be late.
const LARGE_BYTES_MIN: usize = 8 << 10;

/// Longest turn of a link. 100 kB, the table of 3,000 targets, take as long at
/// 4 Mbit/s.
const TURN_MAX: Span = Span::from_millis(200);

/// Largest accepted message.
pub(super) const MESSAGE_BYTES_MAX: usize = 4 << 20;

/// Returns the changes of a topic from an offset on.
pub(super) fn changes_since(feed: &Feed, from: u64, now: Time) -> Option<TopicChanges> {
    Some(changes(feed, feed.since(from)?, now))
}

/// Returns the newest records of a topic, for a process without a position.
pub(super) fn newest_changes(feed: &Feed, now: Time) -> Option<TopicChanges> {
    Some(changes(feed, feed.newest()?, now))
}

fn changes(feed: &Feed, batch: feed::Batch, now: Time) -> TopicChanges {
    let feed::Batch { from, to, changes } = batch;
    TopicChanges { from, to, age: now.since(feed.checked_at()).as_micros(), records: changes }
}

/// Returns the batch that a message carries.
pub(super) fn into_batch(changes: TopicChanges) -> feed::Batch {
    feed::Batch { from: changes.from, to: changes.to, changes: changes.records }
}

/// Opens a connection to another process.
pub(super) async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let connect = TcpStream::connect(addr);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT.as_duration(), connect).await??;
    set_socket_options(&stream);
    Ok(stream)
}

/// Encoded message with its length in front. Links that send the same message share
/// its bytes.
#[derive(Clone, Debug)]
pub(super) struct Frame {
    /// Kind of the message in the metrics.
    kind: &'static str,
    bytes: Bytes,
}

impl Frame {
    pub(super) fn new<T: Serialize>(kind: &'static str, message: &T) -> io::Result<Self> {
        let mut bytes = postcard::to_extend(message, vec![0; 4]).map_err(io::Error::other)?;
        let length = u32::try_from(bytes.len() - 4).map_err(io::Error::other)?;
        bytes[..4].copy_from_slice(&length.to_be_bytes());
        Ok(Self { kind, bytes: bytes.into() })
    }

    /// Returns whether the message is large enough that links write such ones in turn.
    pub(super) fn is_large(&self) -> bool {
        self.bytes.len() > LARGE_BYTES_MIN
    }
}

/// Writes a message that the metrics don't count.
pub(super) async fn write<T: Serialize>(stream: &mut OwnedWriteHalf, message: &T) -> io::Result<()> {
    let frame = Frame::new("other", message)?;
    tokio::time::timeout(LINK_TIMEOUT.as_duration(), stream.write_all(&frame.bytes)).await?
}

/// Writes a message, and ends the turn of the link once it is written or has taken
/// [`TURN_MAX`]: a link that is cut off must not keep the others waiting.
pub(super) async fn write_frame(
    metrics: &Metrics,
    stream: &mut OwnedWriteHalf,
    frame: &Frame,
    turn: Option<SemaphorePermit<'_>>,
) -> io::Result<()> {
    metrics.count_link_bytes(frame.kind, frame.bytes.len());
    let mut written = pin!(tokio::time::timeout(LINK_TIMEOUT.as_duration(), stream.write_all(&frame.bytes)));
    if let Some(turn) = turn {
        let in_turn = tokio::time::timeout(TURN_MAX.as_duration(), &mut written).await;
        drop(turn);
        if let Ok(written) = in_turn {
            return written?;
        }
    }
    written.await?
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
