//! Checks of a whole configuration.

use {
    super::{Entry, Exception, Fleet, Policy},
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
/// A renewal may get lost twice before the lease expires.
const PERIODS_PER_TTL: u64 = 3;
/// Time for one grant command to a target in another zone.
const GRANT_SPAN: Span = Span::from_millis(100);
/// A key is served again within this time of the loss of its owner.
const SERVED_AGAIN_SPAN: Span = Span::from_secs(1);

pub(super) fn check(fleet: &Fleet) -> Result<(), Error> {
    fleet.defaults.check("defaults")?;
    for (service, entry) in &fleet.services {
        check_entry(entry).map_err(|e| prefix(e, &format!("services.{service}")))?;
    }
    let mut set = BTreeMap::new();
    for (number, exception) in fleet.exceptions.iter().enumerate() {
        let path = format!("exceptions[{number}]");
        check_exception(fleet, exception).map_err(|e| prefix(e, &path))?;
        exception.set.check(&format!("{path}.set"))?;
        check_twice(&mut set, exception, &path)?;
    }
    check_lease(&fleet.common()).map_err(|e| locate(e, fleet))?;
    Ok(())
}

/// Checks that a configuration may follow another one.
///
/// # Errors
///
/// `Code::ConfigRange` if it changes the slices of a service. Gateways take
/// up a revision at different moments; with two numbers of slices they would
/// send one key to two owners.
pub fn check_change(old: &Fleet, new: &Fleet) -> Result<(), Error> {
    if !old.services.is_empty() {
        check_lease_change(old, new)?;
    }
    for (service, entry) in &new.services {
        let Some(before) = old.services.get(service) else { continue };
        if (before.keyed, before.slices) != (entry.keyed, entry.slices) {
            let shown = |entry: &Entry| format!("keyed {} with {} slices", entry.keyed, entry.slices);
            let detail = format!("read {}, allowed is {} as in force", shown(entry), shown(before));
            return Err(range(detail).with_path(format!("services.{service}.slices")));
        }
    }
    Ok(())
}

/// A new keeper bounds the leases that an earlier one has given by its own
/// time to live, and the earlier one may not have read the revision yet.
fn check_lease_change(old: &Fleet, new: &Fleet) -> Result<(), Error> {
    let (before, after) = (old.common(), new.common());
    let refuse = |name: &str, read: String, allowed: String| {
        let detail = format!("read {read}, allowed is {allowed} as in force");
        Err(range(detail).with_path(format!("defaults.{name}")))
    };
    if before.lease_ttl != after.lease_ttl {
        return refuse("lease_ttl", after.lease_ttl.to_string(), before.lease_ttl.to_string());
    }
    if before.clock_margin != after.clock_margin {
        return refuse("clock_margin", after.clock_margin.to_string(), before.clock_margin.to_string());
    }
    Ok(())
}

fn range(detail: impl Into<std::sync::Arc<str>>) -> Error {
    Error::new(Code::ConfigRange, detail)
}

fn prefix(error: Error, start: &str) -> Error {
    let path = match error.path() {
        Some(path) => format!("{start}.{path}"),
        None => start.to_owned(),
    };
    error.with_path(path)
}

fn check_entry(entry: &Entry) -> Result<(), Error> {
    let allowed = if entry.keyed { 1..=SLICES_MAX } else { 0..=0 };
    if !allowed.contains(&entry.slices) {
        let detail = format!(
            "read {}, allowed is 1 to {SLICES_MAX} for a service divided by key and 0 for others",
            entry.slices
        );
        return Err(range(detail).with_path("slices"));
    }
    let mut prefixes = BTreeSet::new();
    for (number, route) in entry.routes.iter().enumerate() {
        let path = format!("routes[{number}].prefix");
        if !route.prefix.starts_with('/') || route.prefix.len() > PREFIX_BYTES_MAX {
            let detail =
                format!("read {:?}, allowed is '/' and up to {PREFIX_BYTES_MAX} bytes in all", route.prefix);
            return Err(range(detail).with_path(path));
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
    if exception.set.names().is_empty() {
        return Err(range("read no field, allowed is 1 or more").with_path("set"));
    }
    // A lease belongs to a server and its keeper, and any gateway may become
    // the keeper of any server.
    if let Some(name) = exception.set.names().into_iter().find(|name| LEASE_FIELDS.contains(name)) {
        let detail = format!("read {name} in an exception, allowed is it in the defaults only");
        return Err(range(detail).with_path(format!("set.{name}")));
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

fn check_twice<'a>(
    set: &mut BTreeMap<(&'a Service, &'static str), String>,
    exception: &'a Exception,
    path: &str,
) -> Result<(), Error> {
    for name in exception.set.names() {
        if let Some(other) = set.insert((&exception.service, name), path.to_owned()) {
            let detail = format!("{other} sets it for {} too, allowed is one of them", exception.service);
            return Err(Error::new(Code::ConfigTwice, detail).with_path(format!("{path}.set.{name}")));
        }
    }
    Ok(())
}

fn check_lease(policy: &Policy) -> Result<(), Error> {
    let ttl = policy.lease_ttl;
    if policy.lease_period.as_micros() * PERIODS_PER_TTL > ttl.as_micros() {
        let detail = format!("read {}, allowed is at most a third of lease_ttl {ttl}", policy.lease_period);
        return Err(range(detail).with_path("lease_period"));
    }
    let back = ttl.scale(1.0 + policy.clock_margin.as_f64()) + GRANT_SPAN;
    if back >= SERVED_AGAIN_SPAN {
        let detail = format!(
            "read {ttl}, which with clock_margin {} and {GRANT_SPAN} for a grant is {back}, allowed is below {SERVED_AGAIN_SPAN}",
            policy.clock_margin
        );
        return Err(range(detail).with_path("lease_ttl"));
    }
    Ok(())
}

/// Moves the path of an error to a field of the lease that the defaults set:
/// the one that the error names if they do, otherwise another one.
fn locate(error: Error, fleet: &Fleet) -> Error {
    let field = error.path().unwrap_or_default().to_owned();
    let names = fleet.defaults.names();
    let set = LEASE_FIELDS.iter().filter(|name| names.contains(name));
    match set.max_by_key(|name| **name == field) {
        Some(name) => error.with_path(format!("defaults.{name}")),
        None => error,
    }
}
