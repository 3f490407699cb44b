//! Sharing the requests of a route among its services by weight.

use {
    crate::config::{Part, Rule},
    std::{collections::HashMap, sync::Arc},
};

/// One service of a route: its weight and what it is owed.
#[derive(Debug)]
struct Credit {
    service: Arc<str>,
    weight: u32,
    owed: i64,
}

impl Credit {
    fn new(part: &Part) -> Self {
        Self { service: part.service.clone(), weight: part.weight, owed: 0 }
    }
}

/// Smooth weighted round robin for each route. A route whose parts change
/// starts again.
#[derive(Debug, Default)]
pub struct Split {
    credits: HashMap<Arc<str>, Vec<Credit>>,
}

impl Split {
    /// Returns the service of the next request of a route.
    pub fn next(&mut self, rule: &Rule) -> Arc<str> {
        if let [only] = &rule.parts[..] {
            return only.service.clone();
        }
        let credits = self.credits.entry(rule.name.clone()).or_default();
        let same = credits.len() == rule.parts.len()
            && credits.iter().zip(&rule.parts).all(|(c, p)| c.service == p.service && c.weight == p.weight);
        if !same {
            *credits = rule.parts.iter().map(Credit::new).collect();
        }
        let total: i64 = credits.iter().map(|c| i64::from(c.weight)).sum();
        for credit in credits.iter_mut() {
            credit.owed += i64::from(credit.weight);
        }
        let best = (0..credits.len()).max_by_key(|i| (credits[*i].owed, std::cmp::Reverse(*i))).unwrap_or(0);
        credits[best].owed -= total;
        credits[best].service.clone()
    }

    /// Forgets routes that a new configuration dropped.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| keep(name));
    }
}
