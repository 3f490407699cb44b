//! Validation of a whole fleet configuration and of its changes.

use {
    super::{Exception, Fleet, Policy, ServiceConfig},
    crate::{
        Code, Error,
        types::{Service, Span},
    },
    std::collections::{BTreeMap, BTreeSet},
};

const LEASE_FIELDS: [&str; 3] = ["lease_ttl", "lease_period", "clock_margin"];
const SLICES_MAX: u32 = 65_536;
const PREFIX_BYTES_MAX: usize = 1_024;
const REASON_BYTES_MAX: usize = 1_000;
const AUTHOR_BYTES_MAX: usize = 100;
/// Minimum number of renewal intervals in a lease duration, so that the lease
/// survives two failed renewals.
const PERIODS_PER_TTL_MIN: u64 = 3;
/// Time for one grant command to a target in another zone.
const GRANT_TIME_MAX: Span = Span::from_millis(100);
/// Time within which a key is served again after its owner failed.
const FAILOVER_TIME_MAX: Span = Span::from_secs(1);

pub(super) fn check(fleet: &Fleet) -> Result<(), Error> {
    fleet.defaults.check_ranges("defaults")?;
    for (service, entry) in &fleet.services {
        check_entry(entry).map_err(|e| prefix_path(e, &format!("services.{service}")))?;
    }
    let mut seen = BTreeMap::new();
    for (number, exception) in fleet.exceptions.iter().enumerate() {
        let path = format!("exceptions[{number}]");
        check_exception(fleet, exception).map_err(|e| prefix_path(e, &path))?;
        exception.set.check_ranges(&format!("{path}.set"))?;
        check_duplicates(&mut seen, exception, &path)?;
    }
    check_lease(&fleet.default_policy()).map_err(|e| set_lease_path(e, fleet))?;
    Ok(())
}

/// Checks that a configuration may replace another one.
///
/// # Errors
///
/// `Code::ConfigRange` if `new` changes the lease duration, the clock margin,
/// or `keyed` or the number of slices of a service that `old` has. The lease
/// duration and the clock margin may change if `old` has no services. Gateways
/// apply a revision at different moments; with two numbers of slices they would
/// send one key to two owners.
pub fn check_change(old: &Fleet, new: &Fleet) -> Result<(), Error> {
    if !old.services.is_empty() {
        check_lease_change(old, new)?;
    }
    for (service, entry) in &new.services {
        let Some(before) = old.services.get(service) else { continue };
        if (before.keyed, before.slices) != (entry.keyed, entry.slices) {
            let describe =
                |entry: &ServiceConfig| format!("keyed {} with {} slices", entry.keyed, entry.slices);
            let detail = format!("read {}, allowed is {} as in force", describe(entry), describe(before));
            return Err(range_error(detail).with_path(format!("services.{service}.slices")));
        }
    }
    Ok(())
}

/// Checks that the lease duration and the clock margin stay the same. A new
/// keeper bounds the leases of an earlier keeper by its own lease duration, and
/// the earlier keeper may not have read the revision yet.
fn check_lease_change(old: &Fleet, new: &Fleet) -> Result<(), Error> {
    let (before, after) = (old.default_policy(), new.default_policy());
    let mismatch = |name: &str, read: String, allowed: String| {
        let detail = format!("read {read}, allowed is {allowed} as in force");
        Err(range_error(detail).with_path(format!("defaults.{name}")))
    };
    if before.lease_ttl != after.lease_ttl {
        return mismatch("lease_ttl", after.lease_ttl.to_string(), before.lease_ttl.to_string());
    }
    if before.clock_margin != after.clock_margin {
        return mismatch("clock_margin", after.clock_margin.to_string(), before.clock_margin.to_string());
    }
    Ok(())
}

fn range_error(detail: impl Into<std::sync::Arc<str>>) -> Error {
    Error::new(Code::ConfigRange, detail)
}

fn prefix_path(error: Error, prefix: &str) -> Error {
    let path = match error.path() {
        Some(path) => format!("{prefix}.{path}"),
        None => prefix.to_owned(),
    };
    error.with_path(path)
}

fn check_entry(entry: &ServiceConfig) -> Result<(), Error> {
    let allowed = if entry.keyed { 1..=SLICES_MAX } else { 0..=0 };
    if !allowed.contains(&entry.slices) {
        let detail = format!(
            "read {}, allowed is 1 to {SLICES_MAX} for a keyed service and 0 for others",
            entry.slices
        );
        return Err(range_error(detail).with_path("slices"));
    }
    let mut prefixes = BTreeSet::new();
    for (number, route) in entry.routes.iter().enumerate() {
        let path = format!("routes[{number}].prefix");
        if !route.prefix.starts_with('/') || route.prefix.len() > PREFIX_BYTES_MAX {
            let detail =
                format!("read {:?}, allowed is '/' and up to {PREFIX_BYTES_MAX} bytes in all", route.prefix);
            return Err(range_error(detail).with_path(path));
        }
        if !prefixes.insert(&route.prefix) {
            let detail =
                format!("read {:?} a second time, allowed is one route for each prefix", route.prefix);
            return Err(Error::new(Code::ConfigTwice, detail).with_path(path));
        }
    }
    Ok(())
}

fn check_exception(fleet: &Fleet, exception: &Exception) -> Result<(), Error> {
    check_text("reason", &exception.reason, REASON_BYTES_MAX)?;
    check_text("author", &exception.author, AUTHOR_BYTES_MAX)?;
    if !fleet.services.contains_key(&exception.service) {
        let names: Vec<_> = fleet.services.keys().map(Service::as_str).collect();
        let detail = format!("read {:?}, allowed are {}", exception.service.as_str(), names.join(", "));
        return Err(Error::new(Code::ConfigService, detail).with_path("service"));
    }
    if exception.set.field_names().is_empty() {
        return Err(range_error("read no field, allowed is 1 or more").with_path("set"));
    }
    // A lease concerns a target and its keeper, and any gateway may become the
    // keeper of any target, so that these fields can't differ between services.
    if let Some(name) = exception.set.field_names().into_iter().find(|name| LEASE_FIELDS.contains(name)) {
        let detail = format!("read {name} in an exception, allowed in the defaults only");
        return Err(range_error(detail).with_path(format!("set.{name}")));
    }
    Ok(())
}

fn check_text(name: &str, text: &str, max: usize) -> Result<(), Error> {
    if text.trim().is_empty() || text.len() > max {
        let detail = format!("read {} bytes, allowed is a text of 1 to {max} bytes", text.trim().len());
        return Err(Error::new(Code::ConfigReason, detail).with_path(name));
    }
    Ok(())
}

fn check_duplicates<'a>(
    seen: &mut BTreeMap<(&'a Service, &'static str), String>,
    exception: &'a Exception,
    path: &str,
) -> Result<(), Error> {
    for name in exception.set.field_names() {
        if let Some(other) = seen.insert((&exception.service, name), path.to_owned()) {
            let detail = format!("{other} sets it for {} too, allowed is one of them", exception.service);
            return Err(Error::new(Code::ConfigTwice, detail).with_path(format!("{path}.set.{name}")));
        }
    }
    Ok(())
}

fn check_lease(policy: &Policy) -> Result<(), Error> {
    let ttl = policy.lease_ttl;
    if policy.lease_period.as_micros() * PERIODS_PER_TTL_MIN > ttl.as_micros() {
        let detail = format!("read {}, allowed is at most a third of lease_ttl {ttl}", policy.lease_period);
        return Err(range_error(detail).with_path("lease_period"));
    }
    let failover = ttl.scale(1.0 + policy.clock_margin.as_f64()) + GRANT_TIME_MAX;
    if failover >= FAILOVER_TIME_MAX {
        let detail = format!(
            "read {ttl}, which with clock_margin {} and {GRANT_TIME_MAX} for a grant is {failover}, allowed is below {FAILOVER_TIME_MAX}",
            policy.clock_margin
        );
        return Err(range_error(detail).with_path("lease_ttl"));
    }
    Ok(())
}

/// Makes the path point to a lease field that is present in `defaults`: the one
/// that the error names if present, else any other.
fn set_lease_path(error: Error, fleet: &Fleet) -> Error {
    let field = error.path().unwrap_or_default().to_owned();
    let names = fleet.defaults.field_names();
    let set = LEASE_FIELDS.iter().filter(|name| names.contains(name));
    match set.max_by_key(|name| **name == field) {
        Some(name) => error.with_path(format!("defaults.{name}")),
        None => error,
    }
}
