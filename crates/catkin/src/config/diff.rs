//! Differences between two fleet configurations.

use {
    super::Fleet,
    crate::types::Service,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// A field of a service whose value in force differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Service that the field belongs to.
    pub service: Service,
    /// Name of the field, or `routes` and the prefix of a route.
    pub field: String,
    /// Old value; `None` if the service or route did not exist.
    pub old: Option<String>,
    /// New value; `None` if the service or route does not exist.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
        write!(f, "{} {}: {} -> {}", self.service, self.field, text(&self.old), text(&self.new))
    }
}

/// Compares the values in force for each service, sorted by service and field.
/// Moving a value from the defaults to an exception makes no difference.
pub fn diff(old: &Fleet, new: &Fleet) -> Vec<Difference> {
    let services: BTreeSet<_> = old.services.keys().chain(new.services.keys()).collect();
    services.into_iter().flat_map(|service| diff_service(service, old, new)).collect()
}

fn diff_service(service: &Service, old: &Fleet, new: &Fleet) -> Vec<Difference> {
    let (mut old, mut new) = (values(service, old), values(service, new));
    let fields: BTreeSet<_> = old.keys().chain(new.keys()).cloned().collect();
    let differences = fields.into_iter().filter_map(|field| {
        let (old, new) = (old.remove(&field), new.remove(&field));
        (old != new).then(|| Difference { service: service.clone(), field, old, new })
    });
    differences.collect()
}

fn values(service: &Service, fleet: &Fleet) -> BTreeMap<String, String> {
    let Some(entry) = fleet.services.get(service) else { return BTreeMap::new() };
    let policy = fleet.policy(service).field_values();
    policy.into_iter().map(|(name, value)| (name.to_owned(), value)).chain(entry.field_values()).collect()
}
