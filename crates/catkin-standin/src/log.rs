//! The log service.

use {
    catkin::{
        api::{Entry, Page},
        types::{Offset, Span, Time},
    },
    catkin_net::Monotonic,
    std::{cell::RefCell, collections::VecDeque},
    tokio::sync::Notify,
};

/// An append-only log that keeps records for a span.
pub(crate) struct LogService {
    clock: Monotonic,
    retention: Span,
    rows: RefCell<Rows>,
    grown: Notify,
}

#[derive(Default)]
struct Rows {
    first: Offset,
    records: VecDeque<Record>,
}

struct Record {
    at: Time,
    data: String,
}

impl Rows {
    fn head(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    fn expire(&mut self, oldest: Time) {
        while self.records.front().is_some_and(|record| record.at < oldest) {
            self.records.pop_front();
            self.first = self.first.next();
        }
    }
}

impl LogService {
    /// Makes an empty log. Its first record gets offset 0.
    pub(crate) fn new(clock: Monotonic, retention: Span) -> Self {
        let rows = Rows { first: Offset(0), records: VecDeque::new() };
        Self { clock, retention, rows: RefCell::new(rows), grown: Notify::new() }
    }

    /// Appends a record in base64 and returns its offset.
    pub(crate) fn append(&self, data: String) -> Offset {
        let mut rows = self.rows.borrow_mut();
        let offset = rows.head();
        rows.records.push_back(Record { at: self.clock.now(), data });
        self.grown.notify_waiters();
        offset
    }

    /// Reads records from an offset on, waiting up to a span for the first.
    pub(crate) async fn read(&self, from: Offset, max: usize, wait: Span) -> Page {
        let grown = self.grown.notified();
        let page = self.page(from, max);
        if !page.records.is_empty() || wait.is_zero() {
            return page;
        }
        // A time-out ends the wait; the page is then empty.
        let _ = actix_rt::time::timeout(wait.as_duration(), grown).await;
        self.page(from, max)
    }

    fn page(&self, from: Offset, max: usize) -> Page {
        let mut rows = self.rows.borrow_mut();
        rows.expire(self.clock.now().before(self.retention));
        let start = from.max(rows.first);
        let skip = usize::try_from(start.0 - rows.first.0).unwrap_or(usize::MAX);
        let records = rows.records.iter().skip(skip).take(max).zip(start.0..);
        let entries = records.map(|(record, at)| Entry { offset: Offset(at), data: record.data.clone() });
        Page { first: rows.first, head: rows.head(), records: entries.collect() }
    }
}
