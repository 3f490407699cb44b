//! Deserializes values that are written with a unit.

use {
    crate::Error,
    serde::de::{self, Visitor},
    std::{fmt, marker::PhantomData, str::FromStr},
};

/// Parses text with the type's `FromStr`. A bare number is parsed as its text,
/// so that a missing unit gets the same error as an invalid one.
pub(super) struct UnitVisitor<T>(pub(super) PhantomData<T>);

impl<T: FromStr<Err = Error>> Visitor<'_> for UnitVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number with a unit")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
}
