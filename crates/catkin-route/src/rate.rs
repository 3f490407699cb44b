//! Rates of requests and of bytes.

use {
    catkin::{
        Code, Error,
        types::{Size, Span},
    },
    derive_more::Display,
    std::str::FromStr,
};

/// Longest interval between two requests.
const INTERVAL_MAX_S: f64 = 3_600.0;

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate. Returns `None` for a negative or infinite number and for
    /// none at all.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the rate multiplied by a factor that is not negative.
    #[must_use]
    pub fn scale(self, factor: f64) -> Self {
        Self(self.0 * factor)
    }

    /// Returns the time between two requests, at most an hour.
    pub fn interval(self) -> Span {
        let seconds = if self.0 * INTERVAL_MAX_S > 1.0 { 1.0 / self.0 } else { INTERVAL_MAX_S };
        Span::from_micros((seconds * 1e6) as u64)
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let rate = text.trim().parse().ok().and_then(Self::new);
        rate.ok_or_else(|| Error::new(Code::BadValue, format!("{text:?} is no rate of requests")))
    }
}

/// Bytes per second of a link; finite and above zero.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
#[display("{} Mbit/s", _0 / 125_000.0)]
pub struct LinkRate(f64);

impl Default for LinkRate {
    /// Returns 1,000 Mbit/s, which no machine of the first users exceeds.
    fn default() -> Self {
        Self(125_000_000.0)
    }
}

impl LinkRate {
    /// Creates a rate from Mbit/s. Returns `None` unless the number is finite and
    /// above zero.
    pub fn from_mbps(mbps: f64) -> Option<Self> {
        (mbps.is_finite() && mbps > 0.0).then_some(Self(mbps * 125_000.0))
    }

    /// Returns the number of bytes that the link carries in a time.
    pub fn bytes_in(self, time: Span) -> Size {
        Size::from_bytes((self.0 * time.as_secs_f64()) as u64)
    }

    /// Returns the time in which the link carries a number of bytes.
    pub fn time_for(self, size: Size) -> Span {
        Span::from_micros((size.as_bytes() as f64 / self.0 * 1e6) as u64)
    }
}

impl FromStr for LinkRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let rate = text.trim().trim_end_matches("Mbit/s").trim_end().parse().ok().and_then(Self::from_mbps);
        rate.ok_or_else(|| Error::new(Code::BadValue, format!("{text:?} is no rate of a link")))
    }
}
