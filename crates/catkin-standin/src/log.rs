//! The append-only log of the log service.

use {
    catkin::{
        api::{LogRecord, RecordPage},
        types::{Offset, Span, Time},
    },
    catkin_net::MonotonicClock,
    std::{cell::RefCell, collections::VecDeque},
    tokio::sync::Notify,
};

/// An append-only log that keeps its records for the retention time.
pub(crate) struct AppendLog {
    clock: MonotonicClock,
    retention: Span,
    records: RefCell<Records>,
    appended: Notify,
}

#[derive(Default)]
struct Records {
    /// Offset of the oldest record.
    first: Offset,
    queue: VecDeque<Record>,
}

struct Record {
    appended_at: Time,
    /// In base64.
    data: String,
}

impl Records {
    /// Returns the offset that the next record gets.
    fn head(&self) -> Offset {
        Offset(self.first.0 + self.queue.len() as u64)
    }

    fn expire_before(&mut self, cutoff: Time) {
        while self.queue.front().is_some_and(|record| record.appended_at < cutoff) {
            self.queue.pop_front();
            self.first = self.first.next();
        }
    }
}

impl AppendLog {
    /// Creates an empty log. Its first record gets offset 0.
    pub(crate) fn new(clock: MonotonicClock, retention: Span) -> Self {
        let records = Records { first: Offset(0), queue: VecDeque::new() };
        Self { clock, retention, records: RefCell::new(records), appended: Notify::new() }
    }

    /// Appends a record in base64 and returns its offset.
    pub(crate) fn append(&self, data: String) -> Offset {
        let mut records = self.records.borrow_mut();
        let offset = records.head();
        records.queue.push_back(Record { appended_at: self.clock.now(), data });
        self.appended.notify_waiters();
        offset
    }

    /// Reads up to `max` records from an offset on, and waits up to `wait` for
    /// the first.
    pub(crate) async fn read(&self, from: Offset, max: usize, wait: Span) -> RecordPage {
        let appended = self.appended.notified();
        let page = self.page(from, max);
        if !page.records.is_empty() || wait.is_zero() {
            return page;
        }
        // If the wait times out, the page is empty.
        let _ = actix_rt::time::timeout(wait.as_duration(), appended).await;
        self.page(from, max)
    }

    fn page(&self, from: Offset, max: usize) -> RecordPage {
        let mut records = self.records.borrow_mut();
        records.expire_before(self.clock.now().before(self.retention));
        let start = from.max(records.first);
        let skip = usize::try_from(start.0 - records.first.0).unwrap_or(usize::MAX);
        let numbered = records.queue.iter().skip(skip).take(max).zip(start.0..);
        let entries =
            numbered.map(|(record, offset)| LogRecord { offset: Offset(offset), data: record.data.clone() });
        RecordPage { first: records.first, head: records.head(), records: entries.collect() }
    }
}
