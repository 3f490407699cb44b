//! Splits the requests of a route among its services by weight.

use {
    crate::config::{Route, WeightedService},
    std::{collections::HashMap, sync::Arc},
};

/// A service of a route, with its weight and its current credit.
#[derive(Debug)]
struct Credit {
    service: Arc<str>,
    weight: u32,
    current: i64,
}

impl Credit {
    fn new(entry: &WeightedService) -> Self {
        Self { service: entry.service.clone(), weight: entry.weight, current: 0 }
    }
}

/// Smooth weighted round robin for each route. If the services or weights of a
/// route change, its credits restart at 0.
#[derive(Debug, Default)]
pub struct Split {
    credits: HashMap<Arc<str>, Vec<Credit>>,
}

impl Split {
    /// Returns the service of the next request of a route.
    pub fn next(&mut self, route: &Route) -> Arc<str> {
        if let [only] = &route.services[..] {
            return only.service.clone();
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        let same = credits.len() == route.services.len()
            && credits
                .iter()
                .zip(&route.services)
                .all(|(c, s)| c.service == s.service && c.weight == s.weight);
        if !same {
            *credits = route.services.iter().map(Credit::new).collect();
        }
        let total: i64 = credits.iter().map(|c| i64::from(c.weight)).sum();
        for credit in credits.iter_mut() {
            credit.current += i64::from(credit.weight);
        }
        let chosen =
            (0..credits.len()).max_by_key(|i| (credits[*i].current, std::cmp::Reverse(*i))).unwrap_or(0);
        credits[chosen].current -= total;
        credits[chosen].service.clone()
    }

    /// Removes the state of routes that a new configuration does not have.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| keep(name));
    }
}
