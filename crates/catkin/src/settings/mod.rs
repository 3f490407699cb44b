//! Settings of one process, read once when it starts.
//!
//! Gateway settings hold addresses, the zone, the platform's addresses and limits.
//! Everything else is fleet configuration, see [`crate::config`]. They are
//! parsed strictly: an error has a numbered code, the path of the field, what
//! was read and what is allowed.
//!
//! ```
//! use catkin::{Code, settings::{self, Standin}};
//!
//! let error = settings::parse::<Standin>("targets: [{id: 'a b'}]").unwrap_err();
//! assert_eq!((error.code(), error.path()), (Code::BadValue, Some("targets[0].id")));
//! ```

mod gateway;
mod standin;
pub(crate) mod yaml;

pub use {
    gateway::{Gateway, Limits, Platform},
    standin::{Standin, StandinPlatform, StandinTarget},
};

use {
    crate::{Code, Error},
    serde::{Deserialize, Deserializer, de::DeserializeOwned},
    std::{net::SocketAddr, path::Path},
};

/// Settings of a program.
pub trait Settings: DeserializeOwned {
    /// Checks constraints between fields.
    ///
    /// # Errors
    ///
    /// A code of group 1 with the path of the field.
    fn check(&self) -> Result<(), Error>;
}

/// Reads settings from a file.
///
/// # Errors
///
/// `Code::UnreadableFile` if the file can't be read; otherwise as [`parse`].
pub fn read<T: Settings>(file: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| Error::new(Code::UnreadableFile, format!("{}: {e}", file.display())))?;
    parse(&text)
}

/// Parses and validates settings.
///
/// # Errors
///
/// A code of group 1 with the path of the field, what was read and what is
/// allowed.
pub fn parse<T: Settings>(text: &str) -> Result<T, Error> {
    let settings: T = yaml::read(text)?;
    settings.check()?;
    Ok(settings)
}

/// Deserializes a value that must not be 0.
fn deserialize_nonzero<'de, D, T>(input: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default + PartialEq,
{
    let value = T::deserialize(input)?;
    if value == T::default() {
        return Err(serde::de::Error::custom(Error::new(Code::ZeroLimit, "read 0, allowed is 1 or more")));
    }
    Ok(value)
}

/// Checks that no two sockets of a process have the same address. Port 0 may
/// repeat, since the system replaces it by a free port.
fn check_distinct<'a>(sockets: impl IntoIterator<Item = (String, &'a SocketAddr)>) -> Result<(), Error> {
    let mut seen: Vec<(String, &SocketAddr)> = Vec::new();
    for (path, addr) in sockets {
        if let Some((other, _)) = seen.iter().find(|(_, a)| *a == addr && addr.port() != 0) {
            let detail = format!("read {addr}, allowed is an address that {other} does not use");
            return Err(Error::new(Code::BadValue, detail).with_path(path));
        }
        seen.push((path, addr));
    }
    Ok(())
}
