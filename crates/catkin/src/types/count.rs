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
            /// Returns the value incremented by 1.
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
    /// Version of a row of the fold; 0 before the row is first written.
    Version,
    u64
);
counter!(
    /// Revision number of the fleet configuration; 0 before the first one is published.
    Revision,
    u64
);
counter!(
    /// Sequence number of a record among those of one writer.
    Sequence,
    u64
);
counter!(
    /// Index of a slice within a service.
    SliceId,
    u32
);

counter!(
    /// Number of a connection among those that this process has opened; 0 for none.
    ConnId,
    u64
);

/// A fencing token: the offset of the accepted record and a step. The step is
/// above 0 only for a provisional move made while the log is unavailable.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{offset}.{step}")]
pub struct Fence {
    /// Offset of the record that made the assignment.
    pub offset: Offset,
    /// Number of provisional moves since that record; 0 for a logged assignment.
    pub step: u32,
}

impl Fence {
    /// Creates the fence of a logged assignment, whose step is 0.
    pub fn new(offset: Offset) -> Self {
        Self { offset, step: 0 }
    }

    /// Returns the fence of a provisional move that follows this one.
    #[must_use]
    pub fn next_step(self) -> Self {
        Self { step: self.step + 1, ..self }
    }
}

impl FromStr for Fence {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::new(Code::BadValue, format!("{text:?} is not a fence such as 12.0"));
        let (offset, step) = text.split_once('.').ok_or_else(invalid)?;
        Ok(Self {
            offset: offset.parse().map_err(|_| invalid())?,
            step: step.parse().map_err(|_| invalid())?,
        })
    }
}
counter!(
    /// Number of a holder of bytes, which no other one of its process has.
    HolderId,
    u64
);
