//! Differences of two configurations.

use {
    super::Fleet,
    crate::types::Service,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// A field of a service whose value in force differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The service.
    pub service: Service,
    /// The field.
    pub field: String,
    /// Value before; `None` if there was none.
    pub old: Option<String>,
    /// Value after; `None` if there is none.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
        write!(f, "{} {}: {} -> {}", self.service, self.field, shown(&self.old), shown(&self.new))
    }
}

/// Compares what is in force for each service, by service and field. Moving a
/// value from the defaults to an exception is no difference.
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
    let policy = fleet.policy(service).values();
    policy.into_iter().map(|(name, value)| (name.to_owned(), value)).chain(entry.values()).collect()
}
