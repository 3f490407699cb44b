//! Ids and keys as validated text.

use {
    crate::{Code, Error},
    derive_more::Display,
    serde::{Deserialize, Deserializer, Serialize},
    std::{str::FromStr, sync::Arc},
};

const ID_BYTES_MAX: usize = 128;
const KEY_BYTES_MAX: usize = 512;

fn check_id(text: &str) -> Result<(), Error> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || text.len() > ID_BYTES_MAX || !text.chars().all(is_allowed) {
        return Err(Error::new(
            Code::BadValue,
            format!("{text:?} is not an id: expected 1 to {ID_BYTES_MAX} characters of a-z A-Z 0-9 - _ ."),
        ));
    }
    Ok(())
}

fn check_key(text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > KEY_BYTES_MAX {
        return Err(Error::new(
            Code::BadValue,
            format!("expected a key of 1 to {KEY_BYTES_MAX} bytes, got {}", text.len()),
        ));
    }
    Ok(())
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates the text and wraps it.
            ///
            /// # Errors
            ///
            /// `Code::BadValue` if the text is empty, too long or has a
            /// character that is not allowed.
            pub fn new(text: impl Into<Arc<str>>) -> Result<Self, Error> {
                let text = text.into();
                $check(&text)?;
                Ok(Self(text))
            }

            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = Arc::<str>::deserialize(input)?;
                Self::new(text).map_err(serde::de::Error::custom)
            }
        }
    };
}

text_id!(
    /// Id of a VM, unique in the fleet.
    VmId,
    check_id
);
text_id!(
    /// Id of a target, which is one server process behind the gateways.
    TargetId,
    check_id
);
text_id!(
    /// Name of a service.
    Service,
    check_id
);
text_id!(
    /// Name of an availability zone.
    Zone,
    check_id
);
text_id!(
    /// Id of a caller.
    CallerId,
    check_id
);
text_id!(
    /// Id of a request, the same in all processes.
    RequestId,
    check_id
);
text_id!(
    /// The key of a request, such as one gallery or one certificate record.
    Key,
    check_key
);
