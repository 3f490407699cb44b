//! Reads the log with the fold.

use {
    crate::client::client,
    catkin::{
        Code, Error,
        fold::{State, Verdict},
        record::{self, Change, Publish},
        snapshot::{Choice, Join, Scan, choose},
        types::{Offset, Span},
    },
    catkin_net::Log,
    std::net::SocketAddr,
};

const PAGE_RECORDS: u32 = 512;

/// Reads the log in order and folds it. If its first records have expired, it
/// starts from the newest complete snapshot.
pub struct Reader {
    log: Log,
    state: State,
    unjudged: Vec<(Offset, Publish)>,
}

impl Reader {
    /// Makes a reader that starts at the first record.
    pub fn new(addr: SocketAddr) -> Self {
        Self { log: Log::new(client(), addr), state: State::new(), unjudged: Vec::new() }
    }

    /// Returns the client of the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the fold of the records read so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the configurations before the snapshot that the reader started
    /// from. The fold has no verdict for them.
    pub fn unjudged(&self) -> &[(Offset, Publish)] {
        &self.unjudged
    }

    /// Reads one page, waits up to a span for its first record, and shows
    /// each record with its verdict.
    ///
    /// # Errors
    ///
    /// `Code::LogUnavailable`, or `Code::LogExpired` if expired records are
    /// needed and no complete snapshot stands for them.
    pub async fn page(
        &mut self,
        wait: Span,
        mut visit: impl FnMut(&State, Offset, &[u8], &Verdict),
    ) -> Result<Offset, Error> {
        let mut page = self.log.read(self.state.next(), PAGE_RECORDS, wait).await?;
        if page.first > self.state.next() {
            self.restart(page.first).await?;
            page = self.log.read(self.state.next(), PAGE_RECORDS, wait).await?;
        }
        for (offset, bytes) in &page.records {
            let verdict = self.state.apply(*offset, bytes);
            visit(&self.state, *offset, bytes, &verdict);
        }
        Ok(page.head)
    }

    /// Reads to the head that the log reports first.
    ///
    /// # Errors
    ///
    /// As [`Reader::page`].
    pub async fn catch_up(
        &mut self,
        mut visit: impl FnMut(&State, Offset, &[u8], &Verdict),
    ) -> Result<(), Error> {
        let head = self.page(Span::ZERO, &mut visit).await?;
        while self.state.next() < head {
            let before = self.state.next();
            self.page(Span::ZERO, &mut visit).await?;
            if self.state.next() == before {
                return Err(Error::new(
                    Code::LogUnavailable,
                    format!("no record at {before} below head {head}"),
                ));
            }
        }
        Ok(())
    }

    /// Looks for a snapshot among the records that are kept.
    async fn restart(&mut self, first: Offset) -> Result<(), Error> {
        let (mut join, mut next, mut published) = (Join::new(), first, Vec::new());
        loop {
            let page = self.log.read(next, PAGE_RECORDS, Span::ZERO).await?;
            for (offset, bytes) in &page.records {
                next = offset.next();
                match record::decode(bytes).map(|record| record.change) {
                    Ok(Change::Chunk(chunk)) => drop(join.push(chunk)),
                    Ok(Change::Config(publish)) => published.push((*offset, publish)),
                    _ => {}
                }
            }
            if page.records.is_empty() || next >= page.head {
                break;
            }
        }
        let Choice::State(state) = choose(Some(Scan { first, join: &join }), &[]) else {
            let detail = format!("the oldest record is {first}, and there is no complete snapshot after it");
            return Err(Error::new(Code::LogExpired, detail));
        };
        published.retain(|(offset, _)| *offset < state.next());
        self.unjudged = published;
        self.state = *state;
        Ok(())
    }
}
