//! Counters: offsets, versions, fences and slice numbers.

use {
    crate::{Code, Error},
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord,
            Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// Returns the number that follows.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse()
                    .map(Self)
                    .map_err(|_| Error::new(Code::BadValue, format!("{text:?} is not a whole number")))
            }
        }
    };
}

counter!(
    /// Position of a record in the log.
    Offset,
    u64
);
counter!(
    /// Version of a row of the fold; 0 is a row that was never written.
    Version,
    u64
);
counter!(
    /// Number of a configuration; 0 is the state before the first one.
    Revision,
    u64
);
counter!(
    /// Number of a record among those of one writer.
    Sequence,
    u64
);
counter!(
    /// Number of a slice within a service.
    SliceId,
    u32
);

/// A fencing token. It is the offset of the accepted record, and a step that
/// is above 0 only for a provisional move made while the log is down.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{offset}.{step}")]
pub struct Fence {
    /// Offset of the record that made the assignment.
    pub offset: Offset,
    /// Number of provisional moves since that record.
    pub step: u32,
}

impl Fence {
    /// Makes the fence of a logged assignment.
    pub fn new(offset: Offset) -> Self {
        Self { offset, step: 0 }
    }

    /// Returns the fence of a provisional move that follows this one.
    #[must_use]
    pub fn with_next_step(self) -> Self {
        Self { step: self.step + 1, ..self }
    }
}

impl FromStr for Fence {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::new(Code::BadValue, format!("{text:?} is not a fence such as 12.0"));
        let (offset, step) = text.split_once('.').ok_or_else(bad)?;
        Ok(Self { offset: offset.parse().map_err(|_| bad())?, step: step.parse().map_err(|_| bad())? })
    }
}
