//! `catkinctl check`: checks a configuration file.

use {
    crate::output::Report,
    catkin::{Code, Error, config},
    catkin_platform::config::{Inspection, LocatedFinding, NamedChange, is_document},
    catkin_route::config::Severity,
    derive_more::Display,
    serde::Serialize,
    std::{fmt, path::Path},
};

/// Size of a valid fleet configuration.
#[derive(Clone, Debug, Display, Serialize)]
#[display("valid: {services} services, {exceptions} exceptions")]
pub struct ConfigSummary {
    /// Number of services that the configuration defines.
    pub services: usize,
    /// Number of exceptions that the configuration lists.
    pub exceptions: usize,
}

/// Findings about a configuration of the platform.
#[derive(Clone, Debug, Serialize)]
pub struct PlatformReport {
    /// Whether processes accept the configuration. Differences from the version
    /// in force do not count.
    pub accepted: bool,
    /// Number of its routes.
    pub routes: usize,
    /// Number of its services.
    pub services: usize,
    /// All findings, the most severe first.
    pub findings: Vec<LocatedFinding>,
    /// Differences from the version in force, if one was given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<NamedChange>>,
}

impl PlatformReport {
    fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|finding| finding.severity == severity).count()
    }
}

impl fmt::Display for PlatformReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        for change in self.changes.iter().flatten() {
            writeln!(f, "change {change}")?;
        }
        let verdict = if self.accepted { "accepted" } else { "refused" };
        let [errors, warnings, infos] =
            [Severity::Error, Severity::Warning, Severity::Info].map(|severity| self.count(severity));
        write!(f, "{verdict}: {} routes, {} services; ", self.routes, self.services)?;
        write!(f, "{errors} errors, {warnings} warnings, {infos} infos")?;
        match &self.changes {
            Some(changes) => write!(f, ", {} changes", changes.len()),
            None => Ok(()),
        }
    }
}

/// Result of a check.
#[derive(Clone, Debug, Display, Serialize)]
#[serde(untagged)]
pub enum CheckReport {
    /// The file is a valid fleet configuration.
    Fleet(ConfigSummary),
    /// The file is a configuration of the platform.
    Platform(PlatformReport),
}

impl Report for CheckReport {
    fn is_success(&self) -> bool {
        self.exit_code() == 0
    }

    /// Returns 1 for warnings and 2 for errors.
    fn exit_code(&self) -> u8 {
        let Self::Platform(report) = self else { return 0 };
        match report.findings.iter().map(|finding| finding.severity).max() {
            Some(Severity::Error) => 2,
            Some(Severity::Warning) => 1,
            Some(Severity::Info) | None => 0,
        }
    }
}

fn unreadable(file: &Path, error: impl fmt::Display) -> Error {
    Error::new(Code::UnreadableFile, format!("{}: {error}", file.display()))
}

fn read_bytes(file: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|e| unreadable(file, e))
}

/// Reads a configuration file.
///
/// # Errors
///
/// Returns `Code::UnreadableFile` with the name of the file.
pub fn read(file: &Path) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|e| unreadable(file, e))
}

/// Checks a configuration file. One of the platform is compared with `against`.
///
/// # Errors
///
/// Returns `Code::UnreadableFile`, `Code::BadUsage` if `against` is given for a
/// fleet configuration, or an error of a fleet configuration (codes 200 to 299)
/// with the path of the field.
pub fn check(file: &Path, against: Option<&Path>) -> Result<CheckReport, Error> {
    let bytes = read_bytes(file)?;
    if is_document(&bytes) || against.is_some() && bytes.trim_ascii().is_empty() {
        return check_platform(&bytes, against).map(CheckReport::Platform);
    }
    if against.is_some() {
        let detail = "--against needs a configuration of the platform; see catkinctl diff for the others";
        return Err(Error::new(Code::BadUsage, detail));
    }
    let text = String::from_utf8(bytes).map_err(|e| unreadable(file, e))?;
    let fleet = config::parse(&text)?;
    let (services, exceptions) = (fleet.services.len(), fleet.exceptions.len());
    Ok(CheckReport::Fleet(ConfigSummary { services, exceptions }))
}

fn check_platform(bytes: &[u8], against: Option<&Path>) -> Result<PlatformReport, Error> {
    let mut inspection = Inspection::new(bytes);
    let changes = match against {
        Some(base) => Some(inspection.compare(&Inspection::new(&read_bytes(base)?))),
        None => None,
    };
    let (accepted, (routes, services)) = (inspection.config.is_some(), inspection.counts);
    Ok(PlatformReport { accepted, routes, services, findings: inspection.findings, changes })
}
