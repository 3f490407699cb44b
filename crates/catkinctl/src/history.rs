//! `catkinctl history`: lists all published configurations.

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
pub struct Published {
    /// Offset of its record.
    pub offset: Offset,
    /// Number that it got, or that it would have got.
    pub revision: Revision,
    /// Who published it.
    pub author: Arc<str>,
    /// What became of it.
    pub verdict: Outcome,
}

/// What became of a published configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It came into force.
    Accepted,
    /// It was refused for this reason.
    Refused(String),
    /// Records before it have expired.
    Unknown,
}

impl fmt::Display for Published {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { offset, revision, author, verdict } = self;
        write!(f, "offset {offset}: revision {revision} by {author}: ")?;
        match verdict {
            Outcome::Accepted => write!(f, "accepted"),
            Outcome::Refused(reason) => write!(f, "refused: {reason}"),
            Outcome::Unknown => write!(f, "verdict unknown, records before it have expired"),
        }
    }
}

/// Reads the log and lists its configurations in order.
///
/// # Errors
///
/// As [`Reader::catch_up`].
pub async fn history(mut reader: Reader) -> Result<Rows<Published>, Error> {
    let mut rows = Vec::new();
    reader.catch_up(|_: &State, offset, bytes, verdict| rows.extend(read(offset, bytes, verdict))).await?;
    let unjudged = reader.unjudged().iter();
    let unjudged = unjudged.map(|(offset, publish)| row(*offset, publish, Outcome::Unknown));
    Ok(Rows(unjudged.chain(rows).collect()))
}

fn read(offset: Offset, bytes: &[u8], verdict: &Verdict) -> Option<Published> {
    let Ok(Change::Config(publish)) = record::decode(bytes).map(|record| record.change) else { return None };
    let outcome = match verdict.refused.first() {
        None => Outcome::Accepted,
        Some(error) => Outcome::Refused(error.to_string()),
    };
    Some(row(offset, &publish, outcome))
}

fn row(offset: Offset, publish: &Publish, verdict: Outcome) -> Published {
    Published { offset, revision: publish.expects.next(), author: publish.author.clone(), verdict }
}
