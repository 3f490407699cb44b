//! Reads the log with the fold.

use {
    awc::Client,
    catkin::{
        Code, Error,
        fold::{State, Verdict},
        types::{Offset, Span},
    },
    catkin_net::Log,
    std::net::SocketAddr,
};

const PAGE_RECORDS: u32 = 512;

/// Reads the log in order and folds it.
pub struct Reader {
    log: Log,
    state: State,
}

impl Reader {
    /// Makes a reader that starts at the first record.
    pub fn new(addr: SocketAddr) -> Self {
        Self { log: Log::new(Client::default(), addr), state: State::new() }
    }

    /// Returns the client of the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the fold of the records read so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Reads one page, waits up to a span for its first record, and shows
    /// each record with its verdict.
    ///
    /// # Errors
    ///
    /// `Code::LogUnavailable`, or `Code::LogExpired` if records before the
    /// oldest one that is kept are needed.
    pub async fn page(
        &mut self,
        wait: Span,
        mut visit: impl FnMut(&State, Offset, &[u8], &Verdict),
    ) -> Result<Offset, Error> {
        let page = self.log.read(self.state.next(), PAGE_RECORDS, wait).await?;
        if page.first > self.state.next() {
            let detail = format!("record {} is needed, the oldest kept is {}", self.state.next(), page.first);
            return Err(Error::new(Code::LogExpired, detail));
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
}
