//! The configuration of the fleet: routes, services and limits.
//!
//! [`Config`] is what processes use. [`Parts`] are the same before they are
//! checked; [`review`] finds what is valid but probably not intended, and
//! [`compare`] what changes between two versions.

mod compare;
mod conflict;
mod finding;
mod parts;
mod place;
mod review;

pub use self::{
    compare::{Change, Comparison, Subject, compare},
    finding::{Finding, FindingCode, Severity},
    parts::{Parts, ServicePart},
    place::{Field, LimitField, Place, RouteField, ServiceField},
    review::review,
};

use {
    crate::{rank::Ranks, rate::RequestRate},
    catkin::{Error, types::Span},
    derive_more::Display,
    std::{collections::HashMap, sync::Arc},
};

/// Whether a route's requests may be repeated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once.
    #[display("at most once")]
    Once,
    /// A request with a large body; it runs at most once.
    #[display("upload")]
    Upload,
    /// A request with a large answer; it may run more than once.
    #[display("download")]
    Download,
}

impl RouteKind {
    /// Returns whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time in which a caller may send a head.
    pub head_timeout: Span,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Span,
}

/// One service of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service; the configuration must have it.
    pub service: Arc<str>,
    /// Relative share of the requests; the sum over a route is above 0.
    pub weight: u32,
}

/// A route: requests of one host whose path begins with a prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Latency objective; requests wait for free slots for a share of it.
    pub latency_objective: Span,
    /// Rank of the requests, 0 is the most urgent.
    pub priority: u32,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Services among which the requests are split.
    pub services: Vec<WeightedService>,
    /// Longest time from the arrival of a request to its answer.
    pub timeout: Span,
    /// Largest number of attempts that may reach a target for one request.
    pub max_attempts: u32,
}

/// How a target of a service starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Time for which a target is cold after its start.
    pub duration: Span,
    /// Requests that a cold target takes from all processes together.
    pub rate: RequestRate,
}

/// Settings of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSpec {
    /// Whether each key has exactly one owner among the targets.
    pub keyed: bool,
    /// How its targets start, if the requests to a cold one are limited.
    pub cold: Option<ColdSpec>,
    /// Path of the health checks of its targets.
    pub health_path: Option<Arc<str>>,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of the version; later versions have higher ones.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceSpec>,
    /// Ranks of the requests that each service gets.
    pub ranks: HashMap<Arc<str>, Ranks>,
    /// Number of routes whose kind this version of the program does not know.
    pub unknown_kinds: usize,
}

/// Returns whether a version comes into force in a process that knows another one.
pub fn is_later(version: u64, known: Option<u64>) -> bool {
    known.is_none_or(|known| version > known)
}

impl Config {
    /// Checks the parts of a configuration and builds it.
    ///
    /// # Errors
    ///
    /// `Code::ConfigService` if a route names an unknown service, has no host,
    /// no weight, no time-out, no attempt or a bad prefix, or has the host and
    /// prefix of another route.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<(Arc<str>, Route)>,
        services: HashMap<Arc<str>, ServiceSpec>,
    ) -> Result<Self, Error> {
        Self::build(version, limits, routes, services).map_err(|findings| findings[0].to_error())
    }

    /// Builds a configuration as [`Config::new`] does, and returns all conflicts.
    ///
    /// # Errors
    ///
    /// Findings with `Code::ConfigService`, at least one.
    pub fn build(
        version: u64,
        limits: Limits,
        routes: Vec<(Arc<str>, Route)>,
        services: HashMap<Arc<str>, ServiceSpec>,
    ) -> Result<Self, Vec<Finding>> {
        let findings = conflict::find_conflicts(&routes, &services);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in routes {
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let ranks = Ranks::of_services(hosts.values().flatten());
        Ok(Self { version, limits, hosts, services, ranks, unknown_kinds: 0 })
    }

    /// Sets the number of routes whose kind is unknown.
    #[must_use]
    pub fn with_unknown_kinds(self, unknown_kinds: usize) -> Self {
        Self { unknown_kinds, ..self }
    }

    /// Finds the route of a request: the one of its host with the longest
    /// matching prefix. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name).or_else(|| self.hosts.get(host))?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the names of services whose keys have owners.
    pub fn keyed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.iter().filter(|(_, spec)| spec.keyed).map(|(name, _)| name)
    }

    /// Returns the routes of all hosts, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
