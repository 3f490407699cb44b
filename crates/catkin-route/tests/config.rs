//! Lookup of routes, checks of a configuration, and splits by weight.

use {
    catkin::{Code, types::Span},
    catkin_route::{
        config::{Config, Limits, RouteKind, Rule, ServiceSpec, WeightedService},
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

fn rule(name: &str, prefix: &str, services: &[(&str, u32)]) -> (Arc<str>, Rule) {
    let weighted =
        |(service, weight): &(&str, u32)| WeightedService { service: (*service).into(), weight: *weight };
    let rule = Rule {
        name: name.into(),
        kind: RouteKind::Once,
        latency_objective: Span::from_millis(400),
        priority: 1,
        prefix: prefix.into(),
        services: services.iter().map(weighted).collect(),
        timeout: Span::from_secs(1),
        max_attempts: 2,
    };
    ("h".into(), rule)
}

fn config(rules: Vec<(Arc<str>, Rule)>) -> Result<Config, catkin::Error> {
    let spec = || ServiceSpec { keyed: false };
    let services: HashMap<Arc<str>, ServiceSpec> = [("s".into(), spec()), ("t".into(), spec())].into();
    Config::new(1, LIMITS, rules, services)
}

/// The longest prefix of the request's own host wins. A request of another host
/// or outside all prefixes has no route.
#[test]
fn longest_prefix_wins() {
    let config = config(vec![rule("short", "/a/", &[("s", 1)]), rule("long", "/a/b/", &[("t", 1)])]).unwrap();
    let name = |host: &str, path: &str| config.find(host, path).map(|r| r.name.to_string());
    assert_eq!(name("h", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("h:80", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("h", "/a"), None);
    assert_eq!(name("other", "/a/x"), None);
}

/// A configuration that can't be served must not replace a valid one.
#[test]
fn bad_configurations_are_refused() {
    let good = || rule("r", "/a/", &[("s", 1)]);
    let mut no_host = good();
    no_host.0 = "".into();
    let mut no_attempt = good();
    no_attempt.1.max_attempts = 0;
    let bad = [
        vec![rule("r", "/a/", &[("unknown", 1)])],
        vec![rule("r", "/a/", &[("s", 0), ("t", 0)])],
        vec![rule("r", "/a/", &[])],
        vec![rule("r", "/a", &[("s", 1)])],
        vec![rule("r", "a/", &[("s", 1)])],
        vec![good(), rule("again", "/a/", &[("t", 1)])],
        vec![no_host],
        vec![no_attempt],
    ];
    for rules in bad {
        assert_eq!(config(rules).unwrap_err().code(), Code::ConfigService);
    }
    assert!(config(vec![good()]).is_ok());
}

/// Requests of a split route go to its services in proportion to the weights,
/// over any short run of them.
#[test]
fn split_follows_weights() {
    let (_, rule) = rule("r", "/a/", &[("s", 90), ("t", 10)]);
    let mut split = Split::default();
    for _ in 0..10 {
        let of_t = (0..20).filter(|_| &*split.next(&rule) == "t").count();
        assert_eq!(of_t, 2);
    }
}

/// New weights apply from the next request on.
#[test]
fn split_takes_new_weights() {
    let (_, old) = rule("r", "/a/", &[("s", 90), ("t", 10)]);
    let (_, new) = rule("r", "/a/", &[("s", 0), ("t", 10)]);
    let mut split = Split::default();
    split.next(&old);
    assert!((0..20).all(|_| &*split.next(&new) == "t"));
}
