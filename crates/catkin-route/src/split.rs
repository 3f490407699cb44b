//! Sharing the requests of a route among its services by weight.

use {
    crate::config::Rule,
    std::{collections::HashMap, sync::Arc},
};

/// Smooth weighted round robin for each route. A route whose parts change
/// starts again.
#[derive(Debug, Default)]
pub struct Split {
    credits: HashMap<Arc<str>, Vec<(Arc<str>, u32, i64)>>,
}

impl Split {
    /// Returns the service of the next request of a route.
    pub fn next(&mut self, rule: &Rule) -> Arc<str> {
        if let [only] = &rule.parts[..] {
            return only.service.clone();
        }
        let credits = self.credits.entry(rule.name.clone()).or_default();
        let same = credits.len() == rule.parts.len()
            && credits.iter().zip(&rule.parts).all(|(c, p)| c.0 == p.service && c.1 == p.weight);
        if !same {
            *credits = rule.parts.iter().map(|p| (p.service.clone(), p.weight, 0)).collect();
        }
        let total: i64 = credits.iter().map(|c| i64::from(c.1)).sum();
        for credit in credits.iter_mut() {
            credit.2 += i64::from(credit.1);
        }
        let best = (0..credits.len()).max_by_key(|i| (credits[*i].2, std::cmp::Reverse(*i))).unwrap_or(0);
        credits[best].2 -= total;
        credits[best].0.clone()
    }

    /// Forgets routes that a new configuration dropped.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.credits.retain(|name, _| keep(name));
    }
}
