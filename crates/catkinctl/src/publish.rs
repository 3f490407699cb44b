//! `catkinctl publish`: appends a configuration to the log and reads its verdict.

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

const WRITER_ID: &str = "catkinctl";
const FIRST_SEQUENCE: Sequence = Sequence(1);
const APPEND_TIMEOUT: Span = Span::from_secs(5);
const READ_WAIT: Span = Span::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Verdict on the configuration that [`publish`] appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum PublishReport {
    /// It is in force from its offset on.
    Accepted {
        /// Revision that it got.
        revision: Revision,
        /// Offset of its record.
        offset: Offset,
    },
    /// The fold refused it.
    Refused {
        /// Offset of its record.
        offset: Offset,
        /// Number of the error code.
        code: u16,
        /// Reason, with the path of the field if there is one.
        detail: String,
    },
}

impl Report for PublishReport {
    fn is_success(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}

impl fmt::Display for PublishReport {
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
/// If the answer to an append is lost, the log is read to its head. The record is
/// appended again only if it is not in the log. The second copy has the same
/// sequence, so that the fold ignores it if the first one arrives late.
///
/// # Errors
///
/// Returns a configuration error (codes 200 to 299) if the text is not valid or is
/// not a permitted change of the configuration in force, `Code::LogUnavailable` if
/// the log could not be read before the append, or `Code::AppendUnknown` if the record
/// was not found before the timeout, so that it may still be accepted.
pub async fn publish(
    mut reader: Reader,
    text: &str,
    author: &str,
    timeout: Span,
) -> Result<PublishReport, Error> {
    let fleet = config::parse(text)?;
    let deadline = Instant::now() + timeout.as_duration();
    reader.catch_up(|_, _, _, _| ()).await?;
    config::check_change(&reader.state().config().fleet, &fleet)?;
    let record = Record {
        writer: Writer { id: VmId::new(WRITER_ID)?, boot: new_boot() },
        sequence: FIRST_SEQUENCE,
        change: Change::Config(Publish {
            expects: reader.state().config().revision,
            author: author.into(),
            text: text.into(),
        }),
    };
    append(&mut reader, &record, deadline).await
}

async fn append(reader: &mut Reader, record: &Record, deadline: Instant) -> Result<PublishReport, Error> {
    let bytes = record::encode(record)?;
    loop {
        let error = match reader.log().append(&bytes, APPEND_TIMEOUT).await {
            Ok(offset) => {
                return find_verdict(reader, record, Some(offset), deadline)
                    .await?
                    .ok_or_else(|| wrong_record(offset));
            }
            Err(error) => error,
        };
        // A connection error does not prove that nothing was sent: awc reports
        // a connection that closes before the answer with the same error.
        if let Some(published) = find_verdict(reader, record, None, deadline).await? {
            return Ok(published);
        }
        if Instant::now() >= deadline {
            let detail = format!("the record is not in the log but may still be appended: {error}");
            return Err(Error::new(Code::AppendUnknown, detail));
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

fn wrong_record(offset: Offset) -> Error {
    Error::new(Code::Internal, format!("the log acknowledged offset {offset} but holds another record there"))
}

/// Reads the log up to the acknowledged offset, or to the head if there is none,
/// and returns the verdict on the record, or `None` if the record is not there.
async fn find_verdict(
    reader: &mut Reader,
    record: &Record,
    offset: Option<Offset>,
    deadline: Instant,
) -> Result<Option<PublishReport>, Error> {
    let mut found = None;
    loop {
        let visit = |state: &State, offset: Offset, _: &[u8], verdict: &Verdict| {
            if found.is_none() && is_verdict_of(verdict, record) {
                found = Some(outcome(state, offset, verdict));
            }
        };
        let result = match offset {
            Some(_) => reader.read_page(READ_WAIT, visit).await.map(|_| ()),
            None => reader.catch_up(visit).await,
        };
        let complete = result.is_ok() && offset.is_none_or(|offset| reader.state().next_offset() > offset);
        if found.is_some() || complete {
            return Ok(found);
        }
        if Instant::now() >= deadline {
            let reason = result.err().map_or_else(String::new, |e| format!(": {e}"));
            return Err(Error::new(
                Code::AppendUnknown,
                format!("the log could not be read to check whether the record was appended{reason}"),
            ));
        }
        if result.is_err() {
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }
}

fn is_verdict_of(verdict: &Verdict, record: &Record) -> bool {
    let expected = (&record.writer, record.sequence);
    verdict.source.as_ref().is_some_and(|(writer, sequence)| (writer, *sequence) == expected)
}

fn outcome(state: &State, offset: Offset, verdict: &Verdict) -> PublishReport {
    match verdict.refused.first() {
        None => PublishReport::Accepted { revision: state.config().revision, offset },
        Some(error) => PublishReport::Refused {
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
