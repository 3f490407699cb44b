//! Text ids.

use {
    crate::{Code, Error},
    derive_more::Display,
    serde::{Deserialize, Deserializer, Serialize},
    std::{str::FromStr, sync::Arc},
};

const ID_BYTES_MAX: usize = 128;
const KEY_BYTES_MAX: usize = 512;

fn check_id(text: &str) -> Result<(), Error> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || text.len() > ID_BYTES_MAX || !text.chars().all(plain) {
        return Err(Error::new(
            Code::BadValue,
            format!("{text:?} is not an id: allowed are 1 to {ID_BYTES_MAX} of a-z A-Z 0-9 - _ ."),
        ));
    }
    Ok(())
}

fn check_key(text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > KEY_BYTES_MAX {
        return Err(Error::new(
            Code::BadValue,
            format!("a key has 1 to {KEY_BYTES_MAX} bytes, this one has {}", text.len()),
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
            /// Checks the text and wraps it.
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

            /// Returns the text.
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
    /// Names a VM of the fleet.
    VmId,
    check_id
);
text_id!(
    /// Names a target, which is one server process behind the gateways.
    TargetId,
    check_id
);
text_id!(
    /// Names a service.
    Service,
    check_id
);
text_id!(
    /// Names an availability zone.
    Zone,
    check_id
);
text_id!(
    /// Names a caller.
    CallerId,
    check_id
);
text_id!(
    /// Names one request across all processes.
    RequestId,
    check_id
);
text_id!(
    /// The key of a request, such as one gallery or one certificate record.
    Key,
    check_key
);
