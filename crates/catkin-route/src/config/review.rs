//! Findings about a valid configuration that is probably not what its author
//! means.
//!
//! Load pattern: a new version reaches all processes within a second, and a route
//! that matches nothing or a timeout that ends its requests is noticed only by the
//! requests that fail.

use {
    super::{
        Finding, FindingCode, LimitField, Parts, Place, Route, RouteField, ServiceField, ServicePart,
        WeightedService,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Fraction of the latency objective for which a request may wait for a target.
const WAIT_FRACTION: f64 = 0.5;

/// Requests in its cold time from which on a target is no longer cold: a warm one
/// of the usual size serves as many in more than a minute.
const COLD_REQUESTS_MAX: f64 = 1_000.0;

/// Longest name of a host and of one of its labels.
const HOST_BYTES_MAX: usize = 253;
const LABEL_BYTES_MAX: usize = 63;

/// Returns the warnings and remarks about a configuration.
pub fn review(parts: &Parts) -> Vec<Finding> {
    let mut findings = Vec::new();
    review_limits(parts, &mut findings);
    review_hosts(parts, &mut findings);
    let unknown_kinds: HashSet<usize> = parts.unknown_kinds.iter().map(|(index, _)| *index).collect();
    for (index, (_, route)) in parts.routes.iter().enumerate() {
        let has_kind = !unknown_kinds.contains(&index);
        review_route(route, has_kind, |field, code, message| {
            findings.push(Finding::new(Place::Route(index, field), code, message));
        });
    }
    for (index, kind) in &parts.unknown_kinds {
        let message = format!("kind {kind:?} is unknown, its requests run at most once");
        findings.push(Finding::new(
            Place::Route(*index, RouteField::Kind),
            FindingCode::UnknownKind,
            message,
        ));
    }
    review_services(parts, &mut findings);
    review_names(parts, &mut findings);
    findings
}

fn review_limits(parts: &Parts, findings: &mut Vec<Finding>) {
    let limits = &parts.limits;
    let mut report = |field, code, message: String| {
        findings.push(Finding::new(Place::Limit(field), code, message));
    };
    let zero = |text: &str| format!("the limit is 0, so that {text}");
    if limits.head_bytes == 0 {
        report(LimitField::HeadBytes, FindingCode::ZeroLimit, zero("every request is refused"));
    }
    if limits.head_timeout.is_zero() {
        report(LimitField::HeadTimeout, FindingCode::ZeroLimit, zero("a head must arrive at once"));
    }
    if limits.body_bytes == 0 {
        report(LimitField::BodyBytes, FindingCode::ZeroLimit, zero("every request with a body is refused"));
    } else if limits.body_bytes < limits.head_bytes as u64 {
        let message =
            format!("bodies of {} bytes at most are below heads of {}", limits.body_bytes, limits.head_bytes);
        report(LimitField::BodyBytes, FindingCode::SmallBody, message);
    }
    if limits.idle_timeout.is_zero() {
        report(
            LimitField::IdleTimeout,
            FindingCode::ZeroLimit,
            zero("connections are closed after each request"),
        );
    } else if limits.idle_timeout < limits.head_timeout {
        let message =
            format!("{} for an idle connection, but {} for a head", limits.idle_timeout, limits.head_timeout);
        report(LimitField::IdleTimeout, FindingCode::ShortIdle, message);
    }
}

fn review_hosts(parts: &Parts, findings: &mut Vec<Finding>) {
    let hosts: HashSet<&str> = parts.routes.iter().map(|(host, _)| &**host).collect();
    for (index, (host, _)) in parts.routes.iter().enumerate() {
        if let Some((code, message)) = review_host(host, &hosts) {
            findings.push(Finding::new(Place::Route(index, RouteField::Host), code, message));
        }
    }
}

/// Checks a host against `Config::find`, which compares it byte by byte with what
/// the request names, without its port unless no host has that name.
fn review_host(host: &str, hosts: &HashSet<&str>) -> Option<(FindingCode, String)> {
    if host.is_empty() {
        return None;
    }
    let impossible = |why: String| Some((FindingCode::ImpossibleHost, format!("host {host:?} {why}")));
    let (name, port) = match host.rsplit_once(':') {
        Some((name, port)) if !host.ends_with(']') => (name, Some(port)),
        _ => (host, None),
    };
    let is_address = name.starts_with('[') && name.ends_with(']');
    let is_allowed =
        |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || is_address && "[:]".contains(c);
    if let Some(other) = name.chars().find(|c| !is_allowed(*c)) {
        return impossible(format!("contains {other:?}"));
    }
    let labels = name.strip_suffix('.').unwrap_or(name);
    if !is_address && (labels.len() > HOST_BYTES_MAX || labels.split('.').any(|l| l.len() > LABEL_BYTES_MAX))
    {
        return impossible("is too long for a host name".to_owned());
    }
    if !is_address && labels.split('.').any(str::is_empty) {
        return impossible("has an empty label".to_owned());
    }
    if let Some(port) = port {
        if !port.parse::<u16>().is_ok_and(|port| port > 0) {
            return impossible(format!("has the port {port:?}"));
        }
        if hosts.contains(name) {
            return impossible(format!("is never looked up, as {name:?} gets the requests of all ports"));
        }
    }
    if name.contains(|c: char| c.is_ascii_uppercase()) {
        let message = format!("host {host:?} has upper-case letters, and case is not ignored");
        return Some((FindingCode::UpperCaseHost, message));
    }
    let port = port?;
    Some((FindingCode::HostWithPort, format!("host {host:?} matches requests that name port {port} only")))
}

/// Returns whether no path of a request contains the character: a parser of
/// requests refuses it, or ends the path before it.
fn is_outside_paths(c: char) -> bool {
    c.is_ascii() && !c.is_ascii_graphic() || "#<>?`".contains(c)
}

fn review_route(route: &Route, has_kind: bool, mut report: impl FnMut(RouteField, FindingCode, String)) {
    if let Some(bad) = route.prefix.chars().find(|c| is_outside_paths(*c)) {
        let message = format!("prefix {:?} contains {bad:?}, which no path contains", route.prefix);
        report(RouteField::Prefix, FindingCode::NeverMatches, message);
    } else if route.prefix.contains("//") {
        let message = format!("prefix {:?} has a doubled slash, and slashes are not merged", route.prefix);
        report(RouteField::Prefix, FindingCode::DoubledSlash, message);
    }
    let has_weight = route.services.iter().any(|share| share.weight > 0);
    for (index, share) in route.services.iter().enumerate() {
        if share.weight == 0 && has_weight {
            let message = format!("service {} has a weight of 0 after rounding to 0.001", share.service);
            report(RouteField::ShareWeight(index), FindingCode::ZeroWeight, message);
        }
    }
    let (objective, timeout) = (route.latency_objective, route.timeout);
    if !timeout.is_zero() && timeout < objective.scale(WAIT_FRACTION) {
        let message = format!("the timeout is {timeout}, but requests may wait for half of {objective}");
        report(RouteField::Timeout, FindingCode::TimeoutBelowWait, message);
    } else if !timeout.is_zero() && timeout < objective {
        let message = format!("the latency objective is {objective}, but the timeout {timeout}");
        report(RouteField::LatencyObjective, FindingCode::ObjectiveAboveTimeout, message);
    }
    if has_kind && !route.kind.is_idempotent() && route.max_attempts > 1 {
        let message = format!("{} attempts for requests that run at most once", route.max_attempts);
        report(RouteField::MaxAttempts, FindingCode::AttemptsOfOnce, message);
    }
}

fn review_services(parts: &Parts, findings: &mut Vec<Finding>) {
    let shares = parts.routes.iter().flat_map(|(_, route)| &route.services);
    let used: HashSet<&Arc<str>> = shares.map(|share| &share.service).collect();
    let mut seen = HashSet::new();
    for (index, service) in parts.services.iter().enumerate() {
        let name = &service.name;
        let mut report = |field, code, message: String| {
            findings.push(Finding::new(Place::Service(index, field), code, message));
        };
        if !seen.insert(name) {
            let message = format!("service {name} is defined before");
            report(ServiceField::Name, FindingCode::DuplicateService, message);
        } else if !used.contains(name) {
            report(ServiceField::Name, FindingCode::UnusedService, format!("no route names service {name}"));
        }
        if service.bad_path {
            let message = format!("the health path of service {name} has no slash at its beginning");
            report(ServiceField::HealthPath, FindingCode::BadHealthPath, message);
        }
        if let Some((field, code, message)) = review_cold(service) {
            report(field, code, message);
        }
    }
}

fn review_cold(service: &ServicePart) -> Option<(ServiceField, FindingCode, String)> {
    let duration = service.cold_duration;
    let Some(rate) = service.cold_rate else {
        let message = format!("targets are cold for {duration}, but without a rate");
        let code = FindingCode::ColdWithoutRate;
        return (!duration.is_zero()).then_some((ServiceField::ColdDuration, code, message));
    };
    if rate.per_second() == 0.0 {
        let message = "a cold rate of 0 limits nothing".to_owned();
        return Some((ServiceField::ColdRate, FindingCode::ZeroColdRate, message));
    }
    if duration.is_zero() {
        let message = format!("a cold rate of {rate} a second, but no time for which targets are cold");
        return Some((ServiceField::ColdRate, FindingCode::RateWithoutCold, message));
    }
    let requests = rate.per_second() * duration.as_secs_f64();
    let message = format!("{rate} requests a second for {duration} are {requests:.1} requests");
    let code = match requests {
        count if count < 1.0 => FindingCode::LowColdRate,
        count if count > COLD_REQUESTS_MAX => FindingCode::HighColdRate,
        _ => return None,
    };
    Some((ServiceField::ColdRate, code, message))
}

/// Names of one kind that were seen, by their lower-case form.
type Names<'a> = HashMap<(&'a str, String), &'a str>;

/// Returns the earlier name that differs from this one in case only. Names of
/// different scopes are not compared.
fn find_other_case<'a>(names: &mut Names<'a>, scope: &'a str, name: &'a str) -> Option<&'a str> {
    let known = names.entry((scope, name.to_lowercase())).or_insert(name);
    (*known != name).then_some(*known)
}

fn review_names(parts: &Parts, findings: &mut Vec<Finding>) {
    let (mut hosts, mut routes) = (Names::new(), Names::new());
    let (mut prefixes, mut services) = (Names::new(), Names::new());
    let mut splits: HashMap<&str, &[WeightedService]> = HashMap::new();
    for (index, (host, route)) in parts.routes.iter().enumerate() {
        let found = [
            (RouteField::Host, find_other_case(&mut hosts, "", host)),
            (RouteField::Name, find_other_case(&mut routes, "", &route.name)),
            (RouteField::Prefix, find_other_case(&mut prefixes, host, &route.prefix)),
        ];
        for (field, known) in found {
            if let Some(known) = known {
                let message = format!("this name and {known:?} before it differ only in case");
                findings.push(Finding::new(Place::Route(index, field), FindingCode::CaseDiffers, message));
            }
        }
        // The position within a split is kept by the name of its route.
        let is_split = route.services.len() > 1;
        let known = is_split.then(|| *splits.entry(&route.name).or_insert(&route.services));
        if known.is_some_and(|known| known != &route.services[..]) {
            let message = format!("another split route with other weights has the name {}", route.name);
            findings.push(Finding::new(
                Place::Route(index, RouteField::Name),
                FindingCode::SharedName,
                message,
            ));
        }
    }
    for (index, service) in parts.services.iter().enumerate() {
        if let Some(known) = find_other_case(&mut services, "", &service.name) {
            let message = format!("this name and {known:?} before it differ only in case");
            let place = Place::Service(index, ServiceField::Name);
            findings.push(Finding::new(place, FindingCode::CaseDiffers, message));
        }
    }
}
