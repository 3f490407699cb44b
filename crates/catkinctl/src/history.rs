//! `catkinctl history`: lists all published configurations in log order.

use {
    crate::{output::Rows, reader::Reader},
    catkin::{
        Error,
        fold::{State, Verdict},
        record::{self, Change, Publish},
        types::{Offset, Revision},
    },
    serde::Serialize,
    std::{fmt, sync::Arc},
};

/// A published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Publication {
    /// Offset of the record that published it.
    pub offset: Offset,
    /// Revision that it got, or would have got if it had been accepted.
    pub revision: Revision,
    /// Operator who published it.
    pub author: Arc<str>,
    /// Whether it was accepted.
    pub verdict: PublicationVerdict,
}

/// Verdict on a configuration in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublicationVerdict {
    /// It came into force.
    Accepted,
    /// It was refused; holds the reason.
    Refused(String),
    /// Records before it have expired, so it has no verdict.
    Unknown,
}

impl fmt::Display for Publication {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { offset, revision, author, verdict } = self;
        write!(f, "offset {offset}: revision {revision} by {author}: ")?;
        match verdict {
            PublicationVerdict::Accepted => write!(f, "accepted"),
            PublicationVerdict::Refused(reason) => write!(f, "refused: {reason}"),
            PublicationVerdict::Unknown => write!(f, "verdict unknown, records before it have expired"),
        }
    }
}

/// Reads the log and lists its configurations in order.
///
/// # Errors
///
/// Returns the errors of [`Reader::catch_up`].
pub async fn history(mut reader: Reader) -> Result<Rows<Publication>, Error> {
    let mut rows = Vec::new();
    reader.catch_up(|_: &State, offset, bytes, verdict| rows.extend(decode(offset, bytes, verdict))).await?;
    let earlier = reader.before_snapshot().iter();
    let earlier = earlier.map(|(offset, publish)| publication(*offset, publish, PublicationVerdict::Unknown));
    Ok(Rows(earlier.chain(rows).collect()))
}

fn decode(offset: Offset, bytes: &[u8], verdict: &Verdict) -> Option<Publication> {
    let Ok(Change::Config(publish)) = record::decode(bytes).map(|record| record.change) else { return None };
    let outcome = match verdict.refused.first() {
        None => PublicationVerdict::Accepted,
        Some(error) => PublicationVerdict::Refused(error.to_string()),
    };
    Some(publication(offset, &publish, outcome))
}

fn publication(offset: Offset, publish: &Publish, verdict: PublicationVerdict) -> Publication {
    Publication { offset, revision: publish.expects.next(), author: publish.author.clone(), verdict }
}
