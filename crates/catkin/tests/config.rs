//! Routes, differences and changes of fleet configurations.

use catkin::{
    Code,
    config::{self, Difference, Fleet, check_change, diff, parse},
    types::Service,
    wire::Class,
};

const BASE: &str = "
services:
  a:
    keyed: true
    slices: 8
    routes:
      - {prefix: /, class: long}
      - {prefix: /scan/state, class: short, idempotent: true}
      - {prefix: /scan, class: long, idempotent: false}
  b: {}
";

fn fleet(extra: &str) -> Fleet {
    parse(&format!("{BASE}{extra}")).unwrap()
}

fn service(name: &str) -> Service {
    name.parse().unwrap()
}

/// Guards against a request that is sent again although its route forbids it,
/// and against a short prefix that takes precedence over a longer one.
#[test]
fn longest_prefix_applies_before_method() {
    let fleet = fleet("");
    let route = |method, path| fleet.route(&service("a"), method, path);
    assert_eq!(route("POST", "/scan/state"), (Class::Short, true));
    assert_eq!(route("PUT", "/scan/9"), (Class::Long, false));
    assert_eq!(route("GET", "/other"), (Class::Long, true));
    let idempotent = |method| fleet.route(&service("b"), method, "/x").1;
    assert!(["GET", "HEAD", "PUT", "DELETE"].into_iter().all(idempotent));
    assert!(!["POST", "PATCH", "get", ""].into_iter().any(idempotent));
    assert_eq!(fleet.route(&service("c"), "GET", "/x"), (Class::Short, true));
}

/// Guards against a diff that omits a change of a value in force, or lists a
/// value that has not changed.
#[test]
fn diff_compares_values_in_force() {
    let old = fleet("defaults: {deadline: 2s, slots: 4}\n");
    let moved = "exceptions: [{service: b, reason: r, author: a, set: {slots: 4, deadline: 3s}}]\n";
    let new = fleet(&format!("defaults: {{slots: 4}}\n{moved}"));
    let expected = Difference {
        service: service("b"),
        field: "deadline".to_owned(),
        old: Some("2s".to_owned()),
        new: Some("3s".to_owned()),
    };
    assert_eq!(diff(&old, &new), [expected]);
    let fewer = parse("services: {b: {routes: [{prefix: /x, class: long}]}}").unwrap();
    let lines: Vec<_> = diff(&fleet(""), &fewer).iter().map(ToString::to_string).collect();
    assert!(lines.contains(&"a slices: 8 -> none".to_owned()), "{lines:?}");
    assert!(lines.contains(&"b routes /x: none -> long, by method".to_owned()), "{lines:?}");
}

/// Guards against one key in two slices while gateways apply a revision at
/// different moments.
#[test]
fn a_revision_keeps_the_slices_of_a_service() {
    let new = parse("services: {a: {keyed: true, slices: 16}}").unwrap();
    let error = check_change(&fleet(""), &new).unwrap_err();
    assert_eq!((error.code(), error.path()), (Code::ConfigRange, Some("services.a.slices")));
    check_change(&new, &parse("services: {b: {}}").unwrap()).unwrap();
    check_change(&Fleet::default(), &new).unwrap();
}

/// Guards against two keepers that bound one lease by different durations.
#[test]
fn a_revision_keeps_lease_duration_and_clock_margin() {
    let fleet =
        |defaults: &str| config::parse(&format!("defaults: {{{defaults}}}\nservices: {{a: {{}}}}")).unwrap();
    let old = fleet("lease_ttl: 300ms");
    for (defaults, path) in [
        ("lease_ttl: 400ms", "defaults.lease_ttl"),
        ("lease_ttl: 300ms, clock_margin: 0.02", "defaults.clock_margin"),
    ] {
        let error = config::check_change(&old, &fleet(defaults)).unwrap_err();
        assert_eq!((error.code(), error.path()), (Code::ConfigRange, Some(path)));
    }
    config::check_change(&old, &fleet("lease_ttl: 300ms, deadline: 3s")).unwrap();
    config::check_change(&config::Fleet::default(), &old).unwrap();
}
