//! Looks for keys that two servers hold.

use {
    super::Fleet,
    std::{
        cell::Cell,
        collections::{HashMap, HashSet},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Longest time for which two servers may hold the same keys.
const HELD_TWICE_MAX: Duration = Duration::from_millis(500);

/// Records a violation if two servers hold the same keys for too long.
pub(crate) async fn watch_holders(fleet: Rc<Fleet>, stop: Rc<Cell<bool>>) {
    let mut since: HashMap<(String, String), Instant> = HashMap::new();
    while !stop.get() {
        let held: Vec<_> = fleet.servers[..3].iter().map(|s| (s.id(), s.held_ranges())).collect();
        let overlap =
            |a: &[(u16, u16)], b: &[(u16, u16)]| a.iter().any(|a| b.iter().any(|b| a.0 <= b.1 && b.0 <= a.1));
        let mut twice = HashSet::new();
        for (i, (a, ranges)) in held.iter().enumerate() {
            let others = held[..i].iter().filter(|(_, other)| overlap(ranges, other));
            twice.extend(others.map(|(b, _)| ((*a).to_owned(), (*b).to_owned())));
        }
        since.retain(|pair, _| twice.contains(pair));
        for pair in twice {
            let first = *since.entry(pair.clone()).or_insert_with(Instant::now);
            if first.elapsed() > HELD_TWICE_MAX {
                fleet.checker.add_violation(format!("{} and {} hold the same keys", pair.0, pair.1));
                return;
            }
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
