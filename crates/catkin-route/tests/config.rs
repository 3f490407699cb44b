//! Lookup of routes, checks of a configuration, and splits by weight.

use {
    catkin::{Code, types::Span},
    catkin_route::{
        config::{Config, Limits, Route, RouteKind, ServiceSpec, WeightedService},
        split::Split,
    },
    std::{collections::HashMap, sync::Arc},
};

const LIMITS: Limits = Limits {
    head_bytes: 1_000,
    body_bytes: 1_000,
    head_timeout: Span::from_secs(3),
    idle_timeout: Span::from_secs(15),
};

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> (Arc<str>, Route) {
    let weighted =
        |(service, weight): &(&str, u32)| WeightedService { service: (*service).into(), weight: *weight };
    let route = Route {
        name: name.into(),
        kind: RouteKind::Once,
        latency_objective: Span::from_millis(400),
        priority: 1,
        prefix: prefix.into(),
        services: services.iter().map(weighted).collect(),
        timeout: Span::from_secs(1),
        max_attempts: 2,
    };
    ("h".into(), route)
}

fn config(routes: Vec<(Arc<str>, Route)>) -> Result<Config, catkin::Error> {
    let spec = ServiceSpec::default;
    let services: HashMap<Arc<str>, ServiceSpec> = [("s".into(), spec()), ("t".into(), spec())].into();
    Config::new(1, LIMITS, routes, services)
}

/// The longest prefix of the request's own host wins. A request of another host
/// or outside all prefixes has no route.
#[test]
fn longest_prefix_wins() {
    let config =
        config(vec![route("short", "/a/", &[("s", 1)]), route("long", "/a/b/", &[("t", 1)])]).unwrap();
    let name = |host: &str, path: &str| config.find(host, path).map(|r| r.name.to_string());
    assert_eq!(name("h", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("h:80", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("h", "/a"), None);
    assert_eq!(name("other", "/a/x"), None);
}

/// A configuration that can't be served must not replace a valid one.
#[test]
fn bad_configurations_are_refused() {
    let good = || route("r", "/a/", &[("s", 1)]);
    let mut no_host = good();
    no_host.0 = "".into();
    let mut no_attempt = good();
    no_attempt.1.max_attempts = 0;
    let bad = [
        vec![route("r", "/a/", &[("unknown", 1)])],
        vec![route("r", "/a/", &[("s", 0), ("t", 0)])],
        vec![route("r", "/a/", &[])],
        vec![route("r", "/a", &[("s", 1)])],
        vec![route("r", "a/", &[("s", 1)])],
        vec![good(), route("again", "/a/", &[("t", 1)])],
        vec![no_host],
        vec![no_attempt],
    ];
    for routes in bad {
        assert_eq!(config(routes).unwrap_err().code(), Code::ConfigService);
    }
    assert!(config(vec![good()]).is_ok());
}

/// Requests of a split route go to its services in proportion to the weights,
/// over any short run of them.
#[test]
fn split_follows_weights() {
    let (_, route) = route("r", "/a/", &[("s", 90), ("t", 10)]);
    let mut split = Split::default();
    for _ in 0..10 {
        let of_t = (0..20).filter(|_| &*split.next(&route) == "t").count();
        assert_eq!(of_t, 2);
    }
}

/// New weights apply from the next request on.
#[test]
fn split_takes_new_weights() {
    let (_, old) = route("r", "/a/", &[("s", 90), ("t", 10)]);
    let (_, new) = route("r", "/a/", &[("s", 0), ("t", 10)]);
    let mut split = Split::default();
    split.next(&old);
    assert!((0..20).all(|_| &*split.next(&new) == "t"));
}
