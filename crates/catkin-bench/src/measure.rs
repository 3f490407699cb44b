//! Measures, their bounds and their verdicts.

use std::fmt;

/// What a value has to satisfy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bound {
    /// At most this much.
    Max(f64),
    /// At least this much.
    Min(f64),
    /// No bound: the value is reported for comparison only.
    None,
}

/// One line of the report.
#[derive(Clone, Debug)]
pub(crate) struct Measure {
    /// Dotted name, which starts with the name of the group.
    pub(crate) name: String,
    pub(crate) value: f64,
    /// Unit of value and bound.
    pub(crate) unit: &'static str,
    pub(crate) bound: Bound,
}

impl Measure {
    pub(crate) fn new(name: impl Into<String>, value: f64, unit: &'static str, bound: Bound) -> Self {
        Self { name: name.into(), value, unit, bound }
    }

    /// Makes a measure without a bound.
    pub(crate) fn info(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self::new(name, value, unit, Bound::None)
    }

    /// Returns whether the value misses its bound. NaN misses every bound.
    pub(crate) fn is_missed(&self) -> bool {
        match self.bound {
            Bound::Max(max) => self.value.is_nan() || self.value > max,
            Bound::Min(min) => self.value.is_nan() || self.value < min,
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
            Bound::Max(max) => format!("<={max}"),
            Bound::Min(min) => format!(">={min}"),
            Bound::None => "-".to_owned(),
        };
        write!(f, "{} {:.3} {} {bound} {verdict}", self.name, self.value, self.unit)
    }
}
