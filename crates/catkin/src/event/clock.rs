//! Hybrid logical clock.

use {
    crate::{Code, Error},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{str::FromStr, time::SystemTime},
};

/// A reading of the wall clock, in microseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a reading from microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl From<SystemTime> for WallTime {
    fn from(time: SystemTime) -> Self {
        let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
    }
}

/// A timestamp of a hybrid logical clock, ordered by wall clock and then count.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{wall}+{count}")]
pub struct Timestamp {
    /// Highest wall clock reading known to the process; 1 µs above it if `count`
    /// overflowed.
    pub wall: WallTime,
    /// Tie-breaker between timestamps with the same reading; 0 for a new reading.
    pub count: u32,
}

impl FromStr for Timestamp {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid =
            || Error::new(Code::BadValue, format!("{text:?} is not a timestamp such as 1700000000000000+0"));
        let (wall, count) = text.split_once('+').ok_or_else(invalid)?;
        Ok(Self {
            wall: WallTime(wall.parse().map_err(|_| invalid())?),
            count: count.parse().map_err(|_| invalid())?,
        })
    }
}

/// A hybrid logical clock. Its timestamps strictly increase.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// Creates a clock that has issued no timestamp.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the timestamp of a local event or of a message to send.
    pub fn stamp(&mut self, wall: WallTime) -> Timestamp {
        self.last = if wall > self.last.wall { Timestamp { wall, count: 0 } } else { self.last.next() };
        self.last
    }

    /// Ensures that the next timestamp is later than `remote`.
    pub fn observe(&mut self, remote: Timestamp) {
        self.last = self.last.max(remote);
    }
}

impl Timestamp {
    fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { wall: self.wall, count },
            None => Self { wall: WallTime(self.wall.0.saturating_add(1)), count: 0 },
        }
    }
}
