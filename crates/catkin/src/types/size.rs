//! Sizes, rates and shares.

use {
    super::text::UnitVisitor,
    crate::{Code, Error},
    derive_more::Display,
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    std::{fmt, marker::PhantomData, str::FromStr},
};

const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// A size in bytes, written with a unit: `64KiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(u64);

impl Size {
    /// Creates a size from a number of bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the size in bytes.
    pub const fn as_bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let largest = UNITS.iter().find(|(_, bytes)| self.0 >= *bytes && self.0.is_multiple_of(*bytes));
        match largest {
            Some((unit, bytes)) => write!(f, "{}{unit}", self.0 / bytes),
            None => write!(f, "0B"),
        }
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || {
            Error::new(Code::BadUnit, format!("{text:?} is not a size: use B, KiB, MiB or GiB, as in 64KiB"))
        };
        let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(invalid)?;
        let (number, unit) = text.split_at(split);
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let (_, bytes) = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(invalid)?;
        number.checked_mul(*bytes).map(Self).ok_or_else(invalid)
    }
}

impl Serialize for Size {
    fn serialize<S: Serializer>(&self, output: S) -> Result<S::Ok, S::Error> {
        if output.is_human_readable() {
            return output.collect_str(self);
        }
        output.serialize_u64(self.0)
    }
}

impl<'de> Deserialize<'de> for Size {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        if !input.is_human_readable() {
            return u64::deserialize(input).map(Self);
        }
        input.deserialize_str(UnitVisitor(PhantomData))
    }
}

/// A rate in events per second, displayed and parsed as `200/s`; serialized as a
/// number.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{_0}/s")]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate from a number of events per second.
    pub const fn from_per_second(events: f64) -> Self {
        Self(events)
    }

    /// Returns the events per second.
    pub const fn as_per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::new(Code::BadUnit, format!("{text:?} is not a rate such as 200/s"));
        let number = text.strip_suffix("/s").ok_or_else(invalid)?;
        let number: f64 = number.parse().map_err(|_| invalid())?;
        if !number.is_finite() || number < 0.0 {
            return Err(invalid());
        }
        Ok(Self(number))
    }
}

/// A share between 0 and 1.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Share(f64);

impl Share {
    /// Validates the number and wraps it.
    ///
    /// # Errors
    ///
    /// `Code::BadValue` if the number is not between 0 and 1.
    pub fn new(number: f64) -> Result<Self, Error> {
        if !(0.0..=1.0).contains(&number) {
            return Err(Error::new(Code::BadValue, format!("{number} is not a share between 0 and 1")));
        }
        Ok(Self(number))
    }

    /// Creates a share from a percentage; values above 100 are clamped to 100.
    pub const fn from_percent(percent: u32) -> Self {
        let percent = if percent > 100 { 100 } else { percent };
        Self(percent as f64 / 100.0)
    }

    /// Returns the share as a number between 0 and 1.
    pub const fn as_f64(self) -> f64 {
        self.0
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text
            .parse()
            .map_err(|_| Error::new(Code::BadValue, format!("{text:?} is not a share between 0 and 1")))?;
        Self::new(number)
    }
}

impl<'de> Deserialize<'de> for Share {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        // Shares occur only in fleet configurations, so the error has a code of
        // group 2 (configuration).
        let number = f64::deserialize(input)?;
        Self::new(number).map_err(|e| serde::de::Error::custom(Error::new(Code::ConfigRange, e.detail())))
    }
}
