//! A decoded configuration before its routes are checked against each other.

use {
    super::{Config, Finding, Limits, Route, ServiceSpec},
    crate::rate::RequestRate,
    catkin::types::Span,
    std::sync::Arc,
};

/// A service as written, with what its settings in force no longer show.
#[derive(Clone, Debug)]
pub struct ServicePart {
    /// Name of the service.
    pub name: Arc<str>,
    /// Settings in force.
    pub spec: ServiceSpec,
    /// Time for which its targets are cold, zero if it is not written.
    pub cold_duration: Span,
    /// Rate of cold targets, also if it is 0 and therefore not in force.
    pub cold_rate: Option<RequestRate>,
    /// Whether its health path was ignored.
    pub bad_path: bool,
}

/// The parts of one configuration, in the order of its document.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Number of the version.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    /// Routes with their hosts.
    pub routes: Vec<(Arc<str>, Route)>,
    /// Services; of several with one name the last one counts.
    pub services: Vec<ServicePart>,
    /// Indices of the routes whose kind is unknown, with the kind.
    pub unknown_kinds: Vec<(usize, String)>,
}

impl Parts {
    /// Builds the configuration.
    ///
    /// # Errors
    ///
    /// All findings of [`Config::build`].
    pub fn into_config(self) -> Result<Config, Vec<Finding>> {
        let services = self.services.into_iter().map(|service| (service.name, service.spec)).collect();
        let config = Config::build(self.version, self.limits, self.routes, services)?;
        Ok(config.with_unknown_kinds(self.unknown_kinds.len()))
    }
}
