//! Fleet configuration: defaults for every service and exceptions with a
//! reason, as operators publish it to the log.
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
    patch::{LogDown, Patch, Policy},
    services::{Entry, Route},
};

use {
    crate::{Code, Error, lease::Timings, settings::yaml, types::Service, wire::Class},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Longest text, in bytes.
const TEXT_BYTES_MAX: usize = 128 * 1024;
/// Most lists and maps in brackets. The YAML parser takes time in proportion
/// to the square of their depth, and a gateway renews no lease while it
/// parses.
const BRACKETS_MAX: usize = 2_000;

/// An exception from the defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// The service.
    pub service: Service,
    /// Why it is needed.
    #[serde(default)]
    pub reason: Arc<str>,
    /// Who asked for it.
    #[serde(default)]
    pub author: Arc<str>,
    /// The fields that differ.
    pub set: Patch,
}

/// A fleet configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Fields for every service.
    #[serde(default)]
    pub defaults: Patch,
    /// The services.
    pub services: BTreeMap<Service, Entry>,
    /// The exceptions.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
}

impl Fleet {
    /// Returns the policy that holds where no exception does.
    pub fn common(&self) -> Policy {
        Policy::default().with_patch(&self.defaults)
    }

    /// Returns the times that leases depend on. Work in progress on a server
    /// that does not check fences has to end before its keys move.
    pub fn timings(&self) -> Timings {
        let unfenced = self.services.iter().filter(|(_, entry)| entry.keyed && !entry.fenced);
        let deadline = unfenced.map(|(service, _)| self.policy(service).deadline).max();
        let common = self.common();
        Timings { deadline: deadline.unwrap_or(common.deadline), ..Timings::from(&common) }
    }

    /// Returns the policy of a service.
    pub fn policy(&self, service: &Service) -> Policy {
        let base = Policy::default().with_patch(&self.defaults);
        let own = self.exceptions.iter().filter(|e| e.service == *service);
        own.fold(base, |policy, e| policy.with_patch(&e.set))
    }

    /// Returns the class of a request and whether it may be sent again. The
    /// path is the part after the service's name.
    pub fn route(&self, service: &Service, method: &str, path: &str) -> (Class, bool) {
        match self.services.get(service) {
            Some(entry) => entry.route(method, path),
            None => (Class::default(), services::is_idempotent(method)),
        }
    }
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// A code of group 2 with the path of the field, what was read and what is
/// allowed.
pub fn parse(text: &str) -> Result<Fleet, Error> {
    check_text(text)?;
    let fleet: Fleet = yaml::read(text).map_err(into_config)?;
    check::check(&fleet)?;
    Ok(fleet)
}

fn check_text(text: &str) -> Result<(), Error> {
    let limit = |name: &str, read: usize, max: usize| {
        if read <= max {
            return Ok(());
        }
        Err(Error::new(Code::ConfigSyntax, format!("read {read} {name}, allowed are {max}")))
    };
    limit("bytes", text.len(), TEXT_BYTES_MAX)?;
    let brackets = text.bytes().filter(|byte| b"[{".contains(byte)).count();
    limit("lists and maps in brackets", brackets, BRACKETS_MAX)
}

fn into_config(error: Error) -> Error {
    if matches!(error.code().number(), 200..=299) {
        return error;
    }
    let syntax = Error::new(Code::ConfigSyntax, error.detail());
    match error.path() {
        Some(path) => syntax.with_path(path),
        None => syntax,
    }
}
