//! Readings of a monotonic clock and spans of time.

use {
    super::text::UnitVisitor,
    crate::{Code, Error},
    derive_more::{Add, AddAssign, Display, Sub},
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::{fmt, marker::PhantomData, str::FromStr, time::Duration},
};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MINUTE: u64 = 60 * MICROS_PER_SECOND;
const MICROS_PER_HOUR: u64 = 60 * MICROS_PER_MINUTE;
const UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", MICROS_PER_MILLI),
    ("min", MICROS_PER_MINUTE),
    ("s", MICROS_PER_SECOND),
    ("h", MICROS_PER_HOUR),
];

/// A reading of one process's monotonic clock, in microseconds. Readings of
/// different processes can't be compared.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}us")]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// Creates a reading from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the reading in microseconds.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span since an earlier reading, or zero if that reading is later.
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the reading one span later; saturates.
    #[must_use]
    pub fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the reading one span earlier, or zero if that would be negative.
    #[must_use]
    pub fn before(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

/// A span of time in microseconds, written with a unit: `400ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Add, AddAssign, Sub)]
pub struct Span(u64);

impl Span {
    /// A span of zero length.
    pub const ZERO: Self = Self(0);

    /// Creates a span from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * MICROS_PER_SECOND)
    }

    /// Returns the span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Returns the span as a standard duration.
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns whether the span has zero length.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the span multiplied by a factor, rounded up.
    #[must_use]
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor).ceil() as u64)
    }

    /// Returns the difference of two spans, or zero if `other` is longer.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [
            ("h", MICROS_PER_HOUR),
            ("min", MICROS_PER_MINUTE),
            ("s", MICROS_PER_SECOND),
            ("ms", MICROS_PER_MILLI),
        ];
        let largest = units.iter().find(|(_, micros)| self.0 >= *micros && self.0.is_multiple_of(*micros));
        match largest {
            Some((unit, micros)) => write!(f, "{}{unit}", self.0 / micros),
            None => write!(f, "{}us", self.0),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || {
            Error::new(Code::BadUnit, format!("{text:?} is not a span: use us, ms, s, min or h, as in 400ms"))
        };
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(invalid)?;
        let (number, unit) = text.split_at(split);
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let (_, micros) = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(invalid)?;
        number.checked_mul(*micros).map(Self).ok_or_else(invalid)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        if output.is_human_readable() {
            return output.collect_str(self);
        }
        output.serialize_u64(self.0)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        if !input.is_human_readable() {
            return u64::deserialize(input).map(Self);
        }
        input.deserialize_str(UnitVisitor(PhantomData))
    }
}
