//! Fleet configuration that operators publish to the log: services, defaults for
//! all of them, and exceptions with a reason.
//!
//! ```
//! use catkin::{config, wire::Class};
//!
//! let fleet = config::parse(
//!     "
//! defaults: {deadline: 2s}
//! services:
//!   intake: {routes: [{prefix: /scan, class: long}]}
//! exceptions:
//!   - {service: intake, reason: scans are large, author: ana, set: {deadline: 10min}}
//! ",
//! )?;
//! let intake = "intake".parse()?;
//! assert_eq!(fleet.policy(&intake).deadline.to_string(), "10min");
//! assert_eq!(fleet.route(&intake, "POST", "/scan/7"), (Class::Long, false));
//! # Ok::<(), catkin::Error>(())
//! ```

mod check;
mod diff;
mod patch;
mod services;

pub use {
    check::check_change,
    diff::{Difference, diff},
    patch::{LogDownPolicy, Patch, Policy},
    services::{Route, ServiceConfig},
};

use {
    crate::{Code, Error, lease::Timings, settings::yaml, types::Service, wire::Class},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Maximum size of a configuration text, in bytes.
const TEXT_BYTES_MAX: usize = 128 * 1024;
/// Maximum number of lists and maps in brackets. It bounds their depth. The time
/// of the YAML parser grows with the square of the depth, and a gateway renews no
/// lease while it parses.
const BRACKETS_MAX: usize = 2_000;

/// An exception to the defaults for one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Service that it applies to.
    pub service: Service,
    /// Why it is needed; must not be empty.
    #[serde(default)]
    pub reason: Arc<str>,
    /// Who requested it; must not be empty.
    #[serde(default)]
    pub author: Arc<str>,
    /// Fields that differ from the defaults.
    pub set: Patch,
}

/// Fleet configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Fields that apply to every service.
    #[serde(default)]
    pub defaults: Patch,
    /// Services by name.
    pub services: BTreeMap<Service, ServiceConfig>,
    /// Exceptions to the defaults.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
}

impl Fleet {
    /// Returns the policy that applies where there is no exception.
    pub fn default_policy(&self) -> Policy {
        Policy::default().with_patch(&self.defaults)
    }

    /// Returns the times that leases depend on. `max_deadline` is the longest
    /// deadline among keyed services with `fenced: false`, since their requests
    /// must end before their slices move; the default deadline if there is none.
    pub fn timings(&self) -> Timings {
        let unfenced = self.services.iter().filter(|(_, entry)| entry.keyed && !entry.fenced);
        let deadline = unfenced.map(|(service, _)| self.policy(service).deadline).max();
        let default = self.default_policy();
        Timings { max_deadline: deadline.unwrap_or(default.deadline), ..Timings::from(&default) }
    }

    /// Returns the policy of a service: the defaults and its exceptions.
    pub fn policy(&self, service: &Service) -> Policy {
        let defaults = Policy::default().with_patch(&self.defaults);
        let overrides = self.exceptions.iter().filter(|e| e.service == *service);
        overrides.fold(defaults, |policy, e| policy.with_patch(&e.set))
    }

    /// Returns the class of a request and whether it is idempotent, so that it may
    /// be sent again. `path` is the part after the service's name.
    pub fn route(&self, service: &Service, method: &str, path: &str) -> (Class, bool) {
        match self.services.get(service) {
            Some(entry) => entry.route(method, path),
            None => (Class::default(), services::is_idempotent(method)),
        }
    }
}

/// Parses and validates a fleet configuration.
///
/// # Errors
///
/// A code of group 2 with the path of the field, what was read and what is
/// allowed.
pub fn parse(text: &str) -> Result<Fleet, Error> {
    check_size(text)?;
    let fleet: Fleet = yaml::read(text).map_err(into_config_error)?;
    check::check(&fleet)?;
    Ok(fleet)
}

fn check_size(text: &str) -> Result<(), Error> {
    let check_max = |name: &str, read: usize, max: usize| {
        if read <= max {
            return Ok(());
        }
        Err(Error::new(Code::ConfigSyntax, format!("read {read} {name}, allowed are {max}")))
    };
    check_max("bytes", text.len(), TEXT_BYTES_MAX)?;
    let brackets = text.bytes().filter(|byte| b"[{".contains(byte)).count();
    check_max("lists and maps in brackets", brackets, BRACKETS_MAX)
}

fn into_config_error(error: Error) -> Error {
    if matches!(error.code().number(), 200..=299) {
        return error;
    }
    let syntax = Error::new(Code::ConfigSyntax, error.detail());
    match error.path() {
        Some(path) => syntax.with_path(path),
        None => syntax,
    }
}
