//! Appends to the log, one in flight for each writer.
//!
//! An [`Appender`] queues and numbers changes. It keeps the record in flight
//! until `(writer, sequence)` of the record is read from the log. The outcome of
//! an append without an answer is unknown until then.
//!
//! The gateway sends the bytes that [`Appender::next_bytes`] returns, reports
//! failures with [`Appender::failed`], and passes every verdict of the fold to
//! [`Appender::observe`].

use {
    crate::{
        Code, Error,
        fold::Verdict,
        record::{self, Change, Record, Writer},
        types::{Offset, Sequence},
    },
    std::collections::VecDeque,
};

/// Progress of the record in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Not sent yet, or to be sent again.
    Pending,
    /// Sent, without an answer so far.
    Sent,
    /// Appended at this offset, and not read back yet.
    Appended(Offset),
    /// The append failed or timed out, and the log may hold the record.
    Unknown,
}

struct InFlight {
    sequence: Sequence,
    bytes: Vec<u8>,
    progress: Progress,
}

/// Queue of the appends of one writer.
pub struct Appender {
    writer: Writer,
    last: Sequence,
    in_flight: Option<InFlight>,
    queue: VecDeque<(Sequence, Vec<u8>)>,
}

/// Outcome of a record that was passed to [`Appender::push`].
#[derive(Debug)]
pub struct Settled {
    /// Sequence number of the record.
    pub sequence: Sequence,
    /// Errors of the refused changes; empty if the whole record was accepted.
    /// `Code::Duplicate` means that an earlier copy was applied in a part of the
    /// log that this process did not read. The state then shows the outcome.
    pub refused: Vec<Error>,
}

impl Appender {
    /// Creates an empty queue.
    pub fn new(writer: Writer) -> Self {
        Self { writer, last: Sequence(0), in_flight: None, queue: VecDeque::new() }
    }

    /// Returns the writer of all records.
    pub fn writer(&self) -> &Writer {
        &self.writer
    }

    /// Returns the number of records that are queued or in flight.
    pub fn len(&self) -> usize {
        self.queue.len() + usize::from(self.in_flight.is_some())
    }

    /// Returns whether no record is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a change and returns the sequence number of its record.
    ///
    /// # Errors
    ///
    /// `Code::FrameTooLarge` if the record is larger than
    /// [`RECORD_BYTES_MAX`](record::RECORD_BYTES_MAX).
    pub fn push(&mut self, change: Change) -> Result<Sequence, Error> {
        let sequence = self.last.next();
        let record = Record { writer: self.writer.clone(), sequence, change };
        self.queue.push_back((sequence, record::encode(&record)?));
        self.last = sequence;
        Ok(sequence)
    }

    /// Returns the bytes to append, or `None` while a sent record is in flight
    /// or if the queue is empty.
    pub fn next_bytes(&mut self) -> Option<&[u8]> {
        if self.in_flight.is_none() {
            let (sequence, bytes) = self.queue.pop_front()?;
            self.in_flight = Some(InFlight { sequence, bytes, progress: Progress::Pending });
        }
        let in_flight =
            self.in_flight.as_mut().filter(|in_flight| in_flight.progress == Progress::Pending)?;
        in_flight.progress = Progress::Sent;
        Some(&in_flight.bytes)
    }

    /// Notes the offset that the log assigned to the record in flight.
    pub fn appended(&mut self, offset: Offset) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.progress = Progress::Appended(offset);
        }
    }

    /// Notes the failure of an append. After `Code::LogUnavailable` nothing was
    /// appended; after any other code the log may hold the record.
    pub fn failed(&mut self, error: &Error) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let was_sent = in_flight.progress == Progress::Sent;
        in_flight.progress = match error.code() {
            Code::LogUnavailable if was_sent => Progress::Pending,
            _ => Progress::Unknown,
        };
    }

    /// Sends the record in flight again if its outcome is unknown, with the same
    /// sequence number. The fold ignores a second copy, so this is safe at any
    /// time. The gateway calls it when it has read the log up to its head without
    /// finding the record.
    pub fn resend(&mut self) {
        if let Some(in_flight) =
            self.in_flight.as_mut().filter(|in_flight| in_flight.progress == Progress::Unknown)
        {
            in_flight.progress = Progress::Pending;
        }
    }

    /// Returns whether the outcome of the record in flight is unknown.
    pub fn is_unknown(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.progress == Progress::Unknown)
    }

    /// Passes on the verdict of the fold on any record. Returns the outcome of
    /// the record in flight if the verdict is about that record.
    pub fn observe(&mut self, verdict: Verdict) -> Option<Settled> {
        let (writer, sequence) = verdict.source?;
        let in_flight = self.in_flight.as_ref().filter(|in_flight| in_flight.sequence == sequence)?;
        if writer != self.writer {
            return None;
        }
        let sequence = in_flight.sequence;
        self.in_flight = None;
        Some(Settled { sequence, refused: verdict.refused })
    }
}
