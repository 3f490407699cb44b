//! Services and their routes in the fleet configuration.

use {
    crate::wire::Class,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

const IDEMPOTENT_METHODS: [&str; 4] = ["GET", "HEAD", "PUT", "DELETE"];

/// A rule for requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Prefix of the path after the service's name; starts with `/`.
    pub prefix: Arc<str>,
    /// Class of the matching requests.
    #[serde(default)]
    pub class: Class,
    /// Whether the requests may be sent again; if absent, the method decides.
    pub idempotent: Option<bool>,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Entry", deny_unknown_fields)]
pub struct ServiceConfig {
    /// Whether each key has one target as its owner.
    #[serde(default)]
    pub keyed: bool,
    /// Number of slices of a keyed service; 0 for others.
    #[serde(default)]
    pub slices: u32,
    /// Whether the targets check fences.
    #[serde(default = "default_fenced")]
    pub fenced: bool,
    /// Rules for requests; the one with the longest matching prefix applies.
    #[serde(default)]
    pub routes: Vec<Route>,
}

fn default_fenced() -> bool {
    true
}

impl ServiceConfig {
    /// Returns the class of a request and whether it is idempotent, so that it may
    /// be sent again. `path` is the part after the service's name.
    pub fn route(&self, method: &str, path: &str) -> (Class, bool) {
        let matching = self.routes.iter().filter(|route| path.starts_with(&*route.prefix));
        let route = matching.max_by_key(|route| route.prefix.len());
        let class = route.map(|route| route.class).unwrap_or_default();
        let idempotent = route.and_then(|route| route.idempotent);
        (class, idempotent.unwrap_or_else(|| is_idempotent(method)))
    }

    /// Returns all fields and routes by name, with their values as text.
    pub(super) fn field_values(&self) -> Vec<(String, String)> {
        let mut values = vec![
            ("keyed".to_owned(), self.keyed.to_string()),
            ("slices".to_owned(), self.slices.to_string()),
            ("fenced".to_owned(), self.fenced.to_string()),
        ];
        values.extend(self.routes.iter().map(|route| (format!("routes {}", route.prefix), route.describe())));
        values
    }
}

impl Route {
    fn describe(&self) -> String {
        let class = match self.class {
            Class::Short => "short",
            Class::Long => "long",
        };
        match self.idempotent {
            Some(true) => format!("{class}, idempotent"),
            Some(false) => format!("{class}, not idempotent"),
            None => format!("{class}, by method"),
        }
    }
}

pub(super) fn is_idempotent(method: &str) -> bool {
    IDEMPOTENT_METHODS.contains(&method)
}
