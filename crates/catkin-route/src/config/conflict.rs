//! Conflicts that make a process refuse a configuration.

use {
    super::{Finding, FindingCode, Place, Route, RouteField, ServiceSpec},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Returns every conflict of the routes with each other and with the services, in
/// the order of the routes.
pub(super) fn find_conflicts(
    routes: &[(Arc<str>, Route)],
    services: &HashMap<Arc<str>, ServiceSpec>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut seen = HashSet::new();
    for (index, (host, route)) in routes.iter().enumerate() {
        check_route(host, route, services, |field, code, detail| {
            findings.push(Finding::new(
                Place::Route(index, field),
                code,
                format!("route {} {detail}", route.name),
            ));
        });
        if !seen.insert((host, &route.prefix)) {
            let place = Place::Route(index, RouteField::Prefix);
            let message = format!("route {} has the host and prefix of another route", route.name);
            findings.push(Finding::new(place, FindingCode::SamePlace, message));
        }
    }
    findings
}

fn check_route(
    host: &str,
    route: &Route,
    services: &HashMap<Arc<str>, ServiceSpec>,
    mut report: impl FnMut(RouteField, FindingCode, String),
) {
    if host.is_empty() {
        report(RouteField::Host, FindingCode::NoHost, "has no host".to_owned());
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let detail = format!("has the prefix {:?}, which needs a slash at both ends", route.prefix);
        report(RouteField::Prefix, FindingCode::BadPrefix, detail);
    }
    if route.services.iter().map(|s| u64::from(s.weight)).sum::<u64>() == 0 {
        let detail = "has no service with a weight above 0".to_owned();
        report(RouteField::Services, FindingCode::NoWeight, detail);
    }
    if route.timeout.is_zero() {
        report(RouteField::Timeout, FindingCode::ZeroTimeout, "has a timeout of 0".to_owned());
    }
    if route.max_attempts == 0 {
        report(RouteField::MaxAttempts, FindingCode::ZeroAttempts, "allows no attempt".to_owned());
    }
    for (index, share) in route.services.iter().enumerate() {
        if !services.contains_key(&share.service) {
            let detail = format!("names unknown service {}", share.service);
            report(RouteField::ShareService(index), FindingCode::UnknownService, detail);
        }
    }
}
