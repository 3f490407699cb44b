//! `catkinctl check`: checks a configuration file.

use {
    crate::output::Report,
    catkin::{Code, Error, config},
    derive_more::Display,
    serde::Serialize,
    std::path::Path,
};

/// Size of a valid configuration.
#[derive(Clone, Debug, Display, Serialize)]
#[display("valid: {services} services, {exceptions} exceptions")]
pub struct ConfigSummary {
    /// Number of services that the configuration defines.
    pub services: usize,
    /// Number of exceptions that the configuration lists.
    pub exceptions: usize,
}

impl Report for ConfigSummary {}

/// Reads a configuration file.
///
/// # Errors
///
/// Returns `Code::UnreadableFile` with the name of the file.
pub fn read(file: &Path) -> Result<String, Error> {
    std::fs::read_to_string(file)
        .map_err(|e| Error::new(Code::UnreadableFile, format!("{}: {e}", file.display())))
}

/// Checks a configuration file.
///
/// # Errors
///
/// Returns `Code::UnreadableFile`, or a configuration error (codes 200 to
/// 299) with the path of the field.
pub fn check(file: &Path) -> Result<ConfigSummary, Error> {
    let fleet = config::parse(&read(file)?)?;
    Ok(ConfigSummary { services: fleet.services.len(), exceptions: fleet.exceptions.len() })
}
