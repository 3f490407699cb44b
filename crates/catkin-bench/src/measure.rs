//! Measures, their bounds and their verdicts.

use std::fmt;

/// What a value has to satisfy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bound {
    /// At most this much.
    Max(f64),
    /// At least this much.
    Min(f64),
    /// Nothing: the value stands beside others to compare with.
    None,
}

/// One line of the report.
#[derive(Clone, Debug)]
pub(crate) struct Measure {
    /// Dotted name.
    pub(crate) name: String,
    /// The value.
    pub(crate) value: f64,
    /// Unit of value and bound.
    pub(crate) unit: &'static str,
    /// The bound.
    pub(crate) bound: Bound,
}

impl Measure {
    /// Makes a measure with a bound.
    pub(crate) fn new(name: impl Into<String>, value: f64, unit: &'static str, bound: Bound) -> Self {
        Self { name: name.into(), value, unit, bound }
    }

    /// Makes a measure without a bound.
    pub(crate) fn info(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self::new(name, value, unit, Bound::None)
    }

    /// Returns whether the bound is missed. A value that is not a number
    /// misses every bound.
    pub(crate) fn is_missed(&self) -> bool {
        match self.bound {
            Bound::Max(most) => self.value.is_nan() || self.value > most,
            Bound::Min(least) => self.value.is_nan() || self.value < least,
            Bound::None => false,
        }
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match self.bound {
            Bound::None => "info",
            _ if self.is_missed() => "MISSED",
            _ => "ok",
        };
        let bound = match self.bound {
            Bound::Max(most) => format!("<={most}"),
            Bound::Min(least) => format!(">={least}"),
            Bound::None => "-".to_owned(),
        };
        write!(f, "{} {:.3} {} {bound} {verdict}", self.name, self.value, self.unit)
    }
}
