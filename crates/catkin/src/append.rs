//! Appends to the log: one outstanding for each writer.
//!
//! An [`Appender`] queues changes, numbers them, and keeps the record in
//! flight until the log has shown its `(writer, sequence)`. An append without
//! an answer is unknown, and only reading settles it.
//!
//! The gateway sends the bytes that [`Appender::take`] returns, reports
//! failures with [`Appender::failed`], and passes every verdict of the fold to
//! [`Appender::read`].

use {
    crate::{
        Code, Error,
        fold::Verdict,
        record::{self, Change, Record, Writer},
        types::{Offset, Sequence},
    },
    std::collections::VecDeque,
};

/// Where the record in flight stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stand {
    /// To be sent.
    Due,
    /// Sent; the log may have it.
    Sent,
    /// The log gave it an offset that was not read yet.
    At(Offset),
    /// Sent without an answer; the log may have it.
    Unknown,
}

struct Flight {
    sequence: Sequence,
    bytes: Vec<u8>,
    stand: Stand,
}

/// The appends of one writer.
pub struct Appender {
    writer: Writer,
    last: Sequence,
    flight: Option<Flight>,
    queue: VecDeque<(Sequence, Vec<u8>)>,
}

/// What became of a record that was pushed.
#[derive(Debug)]
pub struct Settled {
    /// Its number.
    pub sequence: Sequence,
    /// Refusals; empty if the whole record was accepted. `Code::Duplicate`
    /// says that an earlier copy was applied in a part of the log that this
    /// process did not read: the state tells what became of it.
    pub refused: Vec<Error>,
}

impl Appender {
    /// Makes a table without records.
    pub fn new(writer: Writer) -> Self {
        Self { writer, last: Sequence(0), flight: None, queue: VecDeque::new() }
    }

    /// Returns the writer.
    pub fn writer(&self) -> &Writer {
        &self.writer
    }

    /// Returns the number of records that are not settled.
    pub fn len(&self) -> usize {
        self.queue.len() + usize::from(self.flight.is_some())
    }

    /// Returns whether all records are settled.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a change and returns the number of its record.
    ///
    /// # Errors
    ///
    /// `Code::FrameTooLarge` if the record is too large.
    pub fn push(&mut self, change: Change) -> Result<Sequence, Error> {
        let sequence = self.last.next();
        let record = Record { writer: self.writer.clone(), sequence, change };
        self.queue.push_back((sequence, record::encode(&record)?));
        self.last = sequence;
        Ok(sequence)
    }

    /// Returns the bytes to append now. While a record is in flight there are
    /// none.
    pub fn take(&mut self) -> Option<&[u8]> {
        if self.flight.is_none() {
            let (sequence, bytes) = self.queue.pop_front()?;
            self.flight = Some(Flight { sequence, bytes, stand: Stand::Due });
        }
        let flight = self.flight.as_mut().filter(|flight| flight.stand == Stand::Due)?;
        flight.stand = Stand::Sent;
        Some(&flight.bytes)
    }

    /// Takes the offset that the log gave to the record in flight.
    pub fn appended(&mut self, offset: Offset) {
        if let Some(flight) = &mut self.flight {
            flight.stand = Stand::At(offset);
        }
    }

    /// Takes the failure of an append. After `Code::LogUnavailable` nothing
    /// was appended; after any other code the record may be in the log.
    pub fn failed(&mut self, error: &Error) {
        let Some(flight) = &mut self.flight else { return };
        let sent = flight.stand == Stand::Sent;
        flight.stand = match error.code() {
            Code::LogUnavailable if sent => Stand::Due,
            _ => Stand::Unknown,
        };
    }

    /// Makes the record in flight due again, with the same number. The fold
    /// drops the second copy. Allowed at any time: the gateway calls it when
    /// the log was read up to its head and did not show the record.
    pub fn again(&mut self) {
        if let Some(flight) = self.flight.as_mut().filter(|flight| flight.stand == Stand::Unknown) {
            flight.stand = Stand::Due;
        }
    }

    /// Returns whether an append has no answer.
    pub fn is_unknown(&self) -> bool {
        self.flight.as_ref().is_some_and(|flight| flight.stand == Stand::Unknown)
    }

    /// Takes the verdict of the fold on any record, and returns the result if
    /// it settles the record in flight.
    pub fn read(&mut self, verdict: Verdict) -> Option<Settled> {
        let (writer, sequence) = verdict.source?;
        let flight = self.flight.as_ref().filter(|flight| flight.sequence == sequence)?;
        if writer != self.writer {
            return None;
        }
        let sequence = flight.sequence;
        self.flight = None;
        Some(Settled { sequence, refused: verdict.refused })
    }
}
