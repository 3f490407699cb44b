//! Differences between two versions of a configuration, and those among them that
//! can lose work.
//!
//! Load pattern: an operator moves routes, adds a canary to a split and shortens
//! timeouts in one document of hundreds of routes. Routes are matched by host and
//! prefix, as the order in the document means nothing.

use {
    super::{
        Config, Field, Finding, FindingCode, LimitField, Limits, Parts, Place, Route, RouteField,
        ServiceField, ServicePart, WeightedService, is_later,
    },
    derive_more::Display,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// What a difference concerns.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The limits on callers.
    #[display("limits")]
    Limits,
    /// The route with a host and prefix.
    #[display("route {_0}{_1}")]
    Route(Arc<str>, Arc<str>),
    /// The service with a name.
    #[display("service {_0}")]
    Service(Arc<str>),
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The route, service or limits.
    pub subject: Subject,
    /// The changed field, or `None` if the subject was added or removed.
    pub field: Option<Field>,
    /// Old value, or a summary of a removed subject.
    pub old: Option<String>,
    /// New value, or a summary of an added subject.
    pub new: Option<String>,
    /// Which requests change their service, if any do.
    pub moved: Option<String>,
}

/// Differences between two versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// All differences: limits, then routes, then services, each in order.
    pub changes: Vec<Change>,
    /// Those that can lose work, at fields of the new version.
    pub findings: Vec<Finding>,
}

impl Comparison {
    fn push_fields<F: Copy>(
        &mut self,
        subject: &Subject,
        fields: impl Iterator<Item = (F, String, String)>,
        to_field: fn(F) -> Field,
    ) {
        for (field, old, new) in fields.filter(|(_, old, new)| old != new) {
            let (old, new) = (Some(old), Some(new));
            let field = Some(to_field(field));
            self.changes.push(Change { subject: subject.clone(), field, old, new, moved: None });
        }
    }

    fn report(&mut self, place: Place, code: FindingCode, message: String) {
        self.findings.push(Finding::new(place, code, message));
    }
}

/// Compares the version in force with a new one; both come with the configuration
/// built of their parts.
pub fn compare(old: (&Parts, &Config), new: (&Parts, &Config)) -> Comparison {
    let mut comparison = Comparison::default();
    if !is_later(new.0.version, Some(old.0.version)) {
        let message = format!("version {:x} is not later than {:x}", new.0.version, old.0.version);
        comparison.report(Place::Version, FindingCode::OldVersion, message);
    }
    let limits = limit_values(&old.0.limits).into_iter().zip(limit_values(&new.0.limits));
    let limits = limits.map(|((field, old), (_, new))| (field, old, new));
    comparison.push_fields(&Subject::Limits, limits, Field::Limit);
    compare_routes(old, new, &mut comparison);
    compare_services(old.0, new.0, &mut comparison);
    comparison
}

fn limit_values(limits: &Limits) -> [(LimitField, String); 4] {
    [
        (LimitField::HeadBytes, limits.head_bytes.to_string()),
        (LimitField::BodyBytes, limits.body_bytes.to_string()),
        (LimitField::HeadTimeout, limits.head_timeout.to_string()),
        (LimitField::IdleTimeout, limits.idle_timeout.to_string()),
    ]
}

fn route_values(route: &Route) -> [(RouteField, String); 7] {
    [
        (RouteField::Name, route.name.to_string()),
        (RouteField::Kind, route.kind.to_string()),
        (RouteField::LatencyObjective, route.latency_objective.to_string()),
        (RouteField::Priority, route.priority.to_string()),
        (RouteField::Services, format_shares(&route.services)),
        (RouteField::Timeout, route.timeout.to_string()),
        (RouteField::MaxAttempts, route.max_attempts.to_string()),
    ]
}

fn service_values(service: &ServicePart) -> [(ServiceField, String); 4] {
    let cold_rate = service.cold_rate.map_or("none".to_owned(), |rate| rate.to_string());
    [
        (ServiceField::Keyed, service.spec.keyed.to_string()),
        (ServiceField::HealthPath, service.spec.health_path.as_deref().unwrap_or("none").to_owned()),
        (ServiceField::ColdDuration, service.cold_duration.to_string()),
        (ServiceField::ColdRate, cold_rate),
    ]
}

/// Returns the share of the requests of a route that each service gets.
fn shares(services: &[WeightedService]) -> BTreeMap<&str, f64> {
    let total: f64 = services.iter().map(|share| f64::from(share.weight)).sum();
    let mut shares = BTreeMap::new();
    for share in services {
        *shares.entry(&*share.service).or_default() += f64::from(share.weight) / total;
    }
    shares
}

/// Writes services with weight and share, as in `s 90 (90.0%), t 10 (10.0%)`.
fn format_shares(services: &[WeightedService]) -> String {
    let shares = shares(services);
    let text = |share: &WeightedService| {
        let weight = f64::from(share.weight) / 1e3;
        format!("{} {weight} ({:.1}%)", share.service, shares[&*share.service] * 100.0)
    };
    services.iter().map(text).collect::<Vec<_>>().join(", ")
}

/// Says which requests change their service, or returns `None` if none do.
fn describe_move(old: Option<&Route>, new: Option<&Route>) -> Option<String> {
    let of = |route: Option<&'_ Route>| -> BTreeMap<String, f64> {
        let shares = route.map(|route| shares(&route.services)).unwrap_or_default();
        shares.into_iter().map(|(service, share)| (service.to_owned(), share)).collect()
    };
    let (before, after) = (of(old), of(new));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let percent = |shares: &BTreeMap<String, f64>, name| shares.get(name).copied().unwrap_or(0.0) * 100.0;
    let rows = names.into_iter().map(|name| (name, percent(&before, name), percent(&after, name)));
    let rows = rows.filter(|(_, old, new)| (old - new).abs() >= 0.05);
    let rows: Vec<_> = rows.map(|(name, old, new)| format!("{name} {old:.1}% -> {new:.1}%")).collect();
    (!rows.is_empty()).then(|| rows.join(", "))
}

type Places<'a> = BTreeMap<(&'a Arc<str>, &'a Arc<str>), (usize, &'a Route)>;

fn by_place(parts: &Parts) -> Places<'_> {
    let routes = parts.routes.iter().enumerate();
    routes.map(|(index, (host, route))| ((host, &route.prefix), (index, route))).collect()
}

fn compare_routes(old: (&Parts, &Config), new: (&Parts, &Config), comparison: &mut Comparison) {
    let (before, after) = (by_place(old.0), by_place(new.0));
    let places: BTreeSet<_> = before.keys().chain(after.keys()).copied().collect();
    for (host, prefix) in places {
        let subject = Subject::Route(host.clone(), prefix.clone());
        match (before.get(&(host, prefix)), after.get(&(host, prefix))) {
            (Some((_, old)), Some((index, new))) => {
                let values = route_values(old).into_iter().zip(route_values(new));
                let values = values.map(|((field, old), (_, new))| (field, old, new));
                comparison.push_fields(&subject, values, Field::Route);
                let is_split = |change: &&mut Change| {
                    change.subject == subject && change.field == Some(Field::Route(RouteField::Services))
                };
                if let Some(change) = comparison.changes.iter_mut().rev().find(is_split) {
                    change.moved = describe_move(Some(old), Some(new));
                }
                report_risks(comparison, *index, old, new);
            }
            (None, Some((index, new))) => {
                let earlier = old.1.find(host, prefix).map(|route| &**route);
                let summary = Some(format_shares(&new.services));
                let earlier_summary = earlier.map(|route| format!("part of {}", route.prefix));
                let moved = earlier.and_then(|earlier| describe_move(Some(earlier), Some(new)));
                let change = Change { subject, field: None, old: None, new: summary, moved };
                comparison.changes.push(Change { old: earlier_summary, ..change });
                if let Some(earlier) = earlier {
                    report_risks(comparison, *index, earlier, new);
                }
            }
            (Some((_, old)), None) => {
                let later = new.1.find(host, prefix).map(|route| &**route);
                let moved = describe_move(Some(old), later);
                let change = Change {
                    subject: subject.clone(),
                    field: None,
                    old: Some(format_shares(&old.services)),
                    new: later.map(|route| format!("part of {}", route.prefix)),
                    moved,
                };
                comparison.changes.push(change);
                let index = later.and_then(|route| after.get(&(host, &route.prefix)));
                match index {
                    Some((index, later)) => report_risks(comparison, *index, old, later),
                    None => {
                        let message = format!("requests of {subject} have no route any more");
                        comparison.report(Place::Whole, FindingCode::RouteRemoved, message);
                    }
                }
            }
            (None, None) => {}
        }
    }
}

/// Reports how the change of a route can lose or repeat the work of its requests.
fn report_risks(comparison: &mut Comparison, index: usize, old: &Route, new: &Route) {
    if !old.kind.is_idempotent() && new.kind.is_idempotent() {
        let message =
            format!("requests for {} changed from {} to {}", longer_prefix(old, new), old.kind, new.kind);
        comparison.report(Place::Route(index, RouteField::Kind), FindingCode::MayRepeat, message);
    }
    if new.timeout < old.timeout {
        let message =
            format!("requests for {} had {}, now {}", longer_prefix(old, new), old.timeout, new.timeout);
        comparison.report(Place::Route(index, RouteField::Timeout), FindingCode::TimeoutShortened, message);
    }
}

/// Returns the prefix of the requests that both routes serve, one of them before
/// and the other after the change.
fn longer_prefix<'a>(old: &'a Route, new: &'a Route) -> &'a str {
    if old.prefix.len() > new.prefix.len() { &old.prefix } else { &new.prefix }
}

fn compare_services(old: &Parts, new: &Parts, comparison: &mut Comparison) {
    // Of several services with one name the last one counts.
    let by_name = |parts: &Parts| -> BTreeMap<Arc<str>, (usize, ServicePart)> {
        let services = parts.services.iter().cloned().enumerate();
        services.map(|(index, service)| (service.name.clone(), (index, service))).collect()
    };
    let (before, after) = (by_name(old), by_name(new));
    let names: BTreeSet<&Arc<str>> = before.keys().chain(after.keys()).collect();
    for name in names {
        let subject = Subject::Service(name.clone());
        let summary = |service: &ServicePart| match service.spec.keyed {
            true => Some("keys with owners".to_owned()),
            false => Some("no keys".to_owned()),
        };
        let change = Change { subject: subject.clone(), field: None, old: None, new: None, moved: None };
        match (before.get(name), after.get(name)) {
            (Some((_, old)), Some((index, new))) => {
                let values = service_values(old).into_iter().zip(service_values(new));
                let values = values.map(|((field, old), (_, new))| (field, old, new));
                comparison.push_fields(&subject, values, Field::Service);
                if old.spec.keyed != new.spec.keyed {
                    let verb = if new.spec.keyed { "gains" } else { "loses" };
                    let place = Place::Service(*index, ServiceField::Keyed);
                    let message = format!("{subject} {verb} owners of its keys");
                    comparison.report(place, FindingCode::KeyedChanged, message);
                }
            }
            (None, Some((_, new))) => comparison.changes.push(Change { new: summary(new), ..change }),
            (Some((_, old)), None) => {
                comparison.changes.push(Change { old: summary(old), ..change });
                let message = format!("{subject} is removed");
                comparison.report(Place::Whole, FindingCode::ServiceRemoved, message);
            }
            (None, None) => {}
        }
    }
}
