//! `catkinctl history`: lists all published configurations.

use {
    crate::{output::Rows, reader::Reader},
    catkin::{
        Error,
        fold::{State, Verdict},
        record::{self, Change},
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
    /// Why it was refused; `None` if it was accepted.
    pub refused: Option<String>,
}

impl fmt::Display for Published {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { offset, revision, author, refused } = self;
        match refused {
            None => write!(f, "offset {offset}: revision {revision} by {author}: accepted"),
            Some(reason) => write!(f, "offset {offset}: revision {revision} by {author}: refused: {reason}"),
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
    Ok(Rows(rows))
}

fn read(offset: Offset, bytes: &[u8], verdict: &Verdict) -> Option<Published> {
    let Ok(Change::Config(publish)) = record::decode(bytes).map(|record| record.change) else { return None };
    let refused = verdict.refused.first().map(ToString::to_string);
    Some(Published { offset, revision: publish.expects.next(), author: publish.author, refused })
}
