//! Reads the log and folds its records.

use {
    crate::client::new_client,
    catkin::{
        Code, Error,
        fold::{State, Verdict},
        record::{self, Change, Publish},
        snapshot::{Assembler, InitialState, LogScan, choose_initial},
        types::{Offset, Span},
    },
    catkin_net::LogClient,
    std::net::SocketAddr,
};

const PAGE_RECORDS: u32 = 512;

/// Reads the log in order and folds its records into a state. If the first
/// records have expired, it starts from the newest complete snapshot.
pub struct Reader {
    log: LogClient,
    state: State,
    before_snapshot: Vec<(Offset, Publish)>,
}

impl Reader {
    /// Creates a reader that starts at the first record.
    pub fn new(addr: SocketAddr) -> Self {
        Self { log: LogClient::new(new_client(), addr), state: State::new(), before_snapshot: Vec::new() }
    }

    /// Returns the client of the log service.
    pub fn log(&self) -> &LogClient {
        &self.log
    }

    /// Returns the state after the records read so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the retained configurations with offsets before the snapshot that
    /// the reader started from. They have no verdict, since they were not folded.
    pub fn before_snapshot(&self) -> &[(Offset, Publish)] {
        &self.before_snapshot
    }

    /// Reads one page, waits up to `wait` for its first record, and calls
    /// `visit` with the state after each record and its verdict. Returns the head
    /// of the log.
    ///
    /// # Errors
    ///
    /// Returns `Code::LogUnavailable`, or `Code::LogExpired` if expired records
    /// are needed and no complete snapshot replaces them.
    pub async fn read_page(
        &mut self,
        wait: Span,
        mut visit: impl FnMut(&State, Offset, &[u8], &Verdict),
    ) -> Result<Offset, Error> {
        let mut page = self.log.read(self.state.next_offset(), PAGE_RECORDS, wait).await?;
        if page.first > self.state.next_offset() {
            self.load_snapshot(page.first).await?;
            page = self.log.read(self.state.next_offset(), PAGE_RECORDS, wait).await?;
        }
        for (offset, bytes) in &page.records {
            let verdict = self.state.apply(*offset, bytes);
            visit(&self.state, *offset, bytes, &verdict);
        }
        Ok(page.head)
    }

    /// Reads up to the head that the log reports with the first page.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Reader::read_page`].
    pub async fn catch_up(
        &mut self,
        mut visit: impl FnMut(&State, Offset, &[u8], &Verdict),
    ) -> Result<(), Error> {
        let head = self.read_page(Span::ZERO, &mut visit).await?;
        while self.state.next_offset() < head {
            let before = self.state.next_offset();
            self.read_page(Span::ZERO, &mut visit).await?;
            if self.state.next_offset() == before {
                return Err(Error::new(
                    Code::LogUnavailable,
                    format!("the log returned no record at offset {before}, below its head {head}"),
                ));
            }
        }
        Ok(())
    }

    /// Loads the newest complete snapshot from the retained records, the oldest of
    /// which is at `first`.
    async fn load_snapshot(&mut self, first: Offset) -> Result<(), Error> {
        let (mut join, mut next, mut configs) = (Assembler::new(), first, Vec::new());
        loop {
            let page = self.log.read(next, PAGE_RECORDS, Span::ZERO).await?;
            for (offset, bytes) in &page.records {
                next = offset.next();
                match record::decode(bytes).map(|record| record.change) {
                    Ok(Change::Chunk(chunk)) => drop(join.push(chunk)),
                    Ok(Change::Config(publish)) => configs.push((*offset, publish)),
                    _ => {}
                }
            }
            if page.records.is_empty() || next >= page.head {
                break;
            }
        }
        let InitialState::State(state) = choose_initial(Some(LogScan { first, snapshots: &join }), &[])
        else {
            let detail =
                format!("the oldest record is at offset {first}, and no complete snapshot follows it");
            return Err(Error::new(Code::LogExpired, detail));
        };
        configs.retain(|(offset, _)| *offset < state.next_offset());
        self.before_snapshot = configs;
        self.state = *state;
        Ok(())
    }
}
