//! `catkinctl publish`: appends a configuration and waits for the verdict.

use {
    crate::{output::Report, reader::Reader},
    catkin::{
        Code, Error, config,
        fold::{State, Verdict},
        record::{self, Change, Publish, Record, Writer},
        types::{Offset, Revision, Sequence, Span, VmId},
    },
    serde::Serialize,
    std::{
        fmt,
        hash::{BuildHasher, RandomState},
        time::{Duration, Instant, SystemTime},
    },
};

const WRITER: &str = "catkinctl";
const FIRST: Sequence = Sequence(1);
const APPEND_LIMIT: Span = Span::from_secs(5);
const READ_WAIT: Span = Span::from_millis(500);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What became of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Published {
    /// It is in force from an offset on.
    Accepted {
        /// Its number.
        revision: Revision,
        /// Offset of its record.
        offset: Offset,
    },
    /// The fold refused it.
    Refused {
        /// Offset of its record.
        offset: Offset,
        /// Number of the code.
        code: u16,
        /// What was wrong.
        detail: String,
    },
}

impl Report for Published {
    fn is_success(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

impl fmt::Display for Published {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { revision, offset } => {
                write!(f, "accepted: revision {revision} at offset {offset}")
            }
            Self::Refused { offset, code, detail } => {
                write!(f, "refused at offset {offset}: E{code}: {detail}")
            }
        }
    }
}

/// Publishes a configuration as the successor of the one in force.
///
/// An append whose answer is lost is settled by reading: the record is
/// appended again, with the same sequence, only after a read to the head has
/// not found it. The fold drops the second copy if the first one arrives late.
///
/// # Errors
///
/// A code of group 2 if the text is not valid or must not follow the
/// configuration in force, `Code::LogUnavailable` if the log could not be read
/// before the append, `Code::AppendUnknown` if the record was not found within
/// the limit, so that it may yet be accepted.
pub async fn publish(mut reader: Reader, text: &str, author: &str, limit: Span) -> Result<Published, Error> {
    let fleet = config::parse(text)?;
    let end = Instant::now() + limit.as_duration();
    reader.catch_up(|_, _, _, _| ()).await?;
    config::check_change(&reader.state().config().fleet, &fleet)?;
    let record = Record {
        writer: Writer { id: VmId::new(WRITER)?, boot: new_boot() },
        sequence: FIRST,
        change: Change::Config(Publish {
            expects: reader.state().config().revision,
            author: author.into(),
            text: text.into(),
        }),
    };
    append(&mut reader, &record, end).await
}

async fn append(reader: &mut Reader, record: &Record, end: Instant) -> Result<Published, Error> {
    let bytes = record::encode(record)?;
    loop {
        let error = match reader.log().append(&bytes, APPEND_LIMIT).await {
            Ok(offset) => {
                return settle(reader, record, Some(offset), end).await?.ok_or_else(|| lost(offset));
            }
            Err(error) => error,
        };
        // An error that speaks of the connection does not prove that nothing
        // was sent: awc also reports a connection that closes instead of an
        // answer in this way.
        if let Some(published) = settle(reader, record, None, end).await? {
            return Ok(published);
        }
        if Instant::now() >= end {
            let detail = format!("the record is not in the log and may yet arrive: {error}");
            return Err(Error::new(Code::AppendUnknown, detail));
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

fn lost(offset: Offset) -> Error {
    Error::new(Code::Internal, format!("the log acknowledged offset {offset} and holds another record there"))
}

/// Reads until the record appears. Without an acknowledged offset it reads
/// to the head and returns `None` if the record is not there.
async fn settle(
    reader: &mut Reader,
    record: &Record,
    offset: Option<Offset>,
    end: Instant,
) -> Result<Option<Published>, Error> {
    let mut found = None;
    loop {
        let visit = |state: &State, offset: Offset, _: &[u8], verdict: &Verdict| {
            if found.is_none() && is_source(verdict, record) {
                found = Some(judge(state, offset, verdict));
            }
        };
        let done = match offset {
            Some(_) => reader.page(READ_WAIT, visit).await.map(|_| ()),
            None => reader.catch_up(visit).await,
        };
        let whole = done.is_ok() && offset.is_none_or(|offset| reader.state().next() > offset);
        if found.is_some() || whole {
            return Ok(found);
        }
        if Instant::now() >= end {
            let reason = done.err().map_or_else(String::new, |e| format!(": {e}"));
            return Err(Error::new(
                Code::AppendUnknown,
                format!("the log can't be read to settle it{reason}"),
            ));
        }
        if done.is_err() {
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}

fn is_source(verdict: &Verdict, record: &Record) -> bool {
    let own = (&record.writer, record.sequence);
    verdict.source.as_ref().is_some_and(|(writer, sequence)| (writer, *sequence) == own)
}

fn judge(state: &State, offset: Offset, verdict: &Verdict) -> Published {
    match verdict.refused.first() {
        None => Published::Accepted { revision: state.config().revision, offset },
        Some(error) => Published::Refused {
            offset,
            code: error.code().number(),
            detail: match error.path() {
                Some(path) => format!("{path}: {}", error.detail()),
                None => error.detail().to_owned(),
            },
        },
    }
}

fn new_boot() -> u64 {
    RandomState::new().hash_one((SystemTime::now(), std::process::id()))
}
