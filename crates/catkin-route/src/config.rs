//! The configuration of the fleet as the edge program uses it.

use {
    catkin::{Code, Error, types::Span},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A request with a large body; it runs at most once.
    Upload,
}

impl Kind {
    /// Returns whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: u64,
    /// Time to send a head.
    pub patience: Span,
    /// Time that a connection may be idle.
    pub idle: Span,
}

/// One service of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Name of the service.
    pub service: Arc<str>,
    /// Relative share; the sum over a rule is above 0.
    pub weight: u32,
}

/// A route: requests of one host whose path begins with a prefix.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Name of the route.
    pub name: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Latency objective.
    pub aim: Span,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Services that share the requests.
    pub parts: Vec<Part>,
    /// Longest time for a request.
    pub timeout: Span,
    /// Largest number of targets for one request.
    pub attempts: u32,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Whether each key has one owner.
    pub keyed: bool,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of the version; later versions have higher ones.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Rule>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Spec>,
}

/// A route or service that does not fit the rest of its configuration.
fn conflict(detail: String) -> Error {
    Error::new(Code::ConfigService, detail)
}

fn check_rule(host: &str, rule: &Rule, services: &HashMap<Arc<str>, Spec>) -> Result<(), Error> {
    let name = &rule.name;
    if host.is_empty() {
        return Err(conflict(format!("route {name} has no host")));
    }
    if !rule.prefix.starts_with('/') || !rule.prefix.ends_with('/') {
        return Err(conflict(format!("route {name}: prefix {:?} needs a slash at both ends", rule.prefix)));
    }
    if rule.parts.iter().map(|p| u64::from(p.weight)).sum::<u64>() == 0 {
        return Err(conflict(format!("route {name} has no service with a weight above 0")));
    }
    if rule.timeout.is_zero() || rule.attempts == 0 {
        return Err(conflict(format!("route {name} has no time-out or no attempt")));
    }
    match rule.parts.iter().find(|p| !services.contains_key(&p.service)) {
        Some(part) => Err(conflict(format!("route {name} names unknown service {}", part.service))),
        None => Ok(()),
    }
}

impl Config {
    /// Checks the parts of a configuration and puts them together.
    ///
    /// # Errors
    ///
    /// `Code::ConfigService` if a route names an unknown service, has no host,
    /// no weight, no time-out, a bad prefix, or the place of another route.
    pub fn new(
        version: u64,
        limits: Limits,
        rules: Vec<(Arc<str>, Rule)>,
        services: HashMap<Arc<str>, Spec>,
    ) -> Result<Self, Error> {
        let mut seen = HashSet::new();
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Rule>>> = HashMap::new();
        for (host, rule) in rules {
            check_rule(&host, &rule, &services)?;
            if !seen.insert((host.clone(), rule.prefix.clone())) {
                return Err(conflict(format!("route {} has the place of another route", rule.name)));
            }
            hosts.entry(host).or_default().push(Arc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Ok(Self { version, limits, hosts, services })
    }

    /// Finds the route of a request: the longest prefix of its host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = self.hosts.get(name).or_else(|| self.hosts.get(host))?;
        rules.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the names of services whose keys have owners.
    pub fn keyed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.iter().filter(|(_, spec)| spec.keyed).map(|(name, _)| name)
    }

    /// Returns all routes.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<Rule>> {
        self.hosts.values().flatten()
    }
}
