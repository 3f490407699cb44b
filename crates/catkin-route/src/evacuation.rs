//! Evacuated zones: until when their targets serve keys, and when the keys of
//! each of them move.
//!
//! Load pattern: an operator takes a quarter or a third of all targets out of use
//! at once, under load. If all their keys were released together, none of them
//! would have an owner until the next table is written, and the other targets
//! would get the load of a zone in one moment. So the targets release their keys
//! one after the other during the first part of the time that the platform
//! allows. Requests without a key go elsewhere from the first moment on, and
//! those for keys that could not move stop before the end.

use {
    crate::directory::Target,
    catkin::types::{Span, Time},
    std::{
        collections::BTreeMap,
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Time that the platform allows if the settings name none.
const BOUND_DEFAULT: Span = Span::from_secs(5);

/// Share of the bound after which no request for a key is sent any more. The
/// rest covers a connection that takes long to open and a slow link.
const SERVE_SHARE: f64 = 0.8;

/// Share of the bound over which the targets of a zone release their keys. A
/// process may learn of the evacuation 1.4 s later than another one, and with
/// 5 s the last release still leaves it 0.8 s until it stops.
const RELEASE_SHARE: f64 = 0.35;

/// Times of a target in an evacuated zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Time after which the operator has evacuated the zone.
    pub since: Time,
    /// Time from which on the target gets no requests for its keys.
    pub serve_end: Time,
    /// Time from which on its keys move.
    pub release_at: Time,
}

/// What is known of an evacuated zone.
#[derive(Clone, Copy, Debug)]
struct EvacuatedZone {
    /// Time after which the operator has written the key: the store had no such
    /// key before.
    written_after: Time,
    /// When this process has learnt of it.
    known_since: Time,
}

/// All evacuated zones.
#[derive(Clone, Debug)]
pub struct Evacuations {
    bound: Span,
    zones: BTreeMap<Arc<str>, EvacuatedZone>,
}

impl Default for Evacuations {
    fn default() -> Self {
        Self::new(BOUND_DEFAULT)
    }
}

impl Evacuations {
    /// Starts without evacuated zones. Targets of a zone must get no requests
    /// from `bound` after the operator has evacuated it.
    pub fn new(bound: Span) -> Self {
        Self { bound, zones: BTreeMap::new() }
    }

    /// Adds a zone that was not evacuated at `written_after`. Returns whether that
    /// is new.
    pub fn begin(&mut self, now: Time, zone: &str, written_after: Time) -> bool {
        if self.zones.contains_key(zone) {
            return false;
        }
        self.zones.insert(zone.into(), EvacuatedZone { written_after, known_since: now });
        true
    }

    /// Removes a zone. Returns whether it was evacuated.
    pub fn end(&mut self, zone: &str) -> bool {
        self.zones.remove(zone).is_some()
    }

    /// Returns the names of the evacuated zones in their order.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Returns the times of a target, if its zone is evacuated. The order in which
    /// the targets of a zone release their keys is the same for every leader.
    pub fn find(&self, zone: &str, target: &str) -> Option<Evacuation> {
        let EvacuatedZone { written_after, known_since } = *self.zones.get(zone)?;
        let mut hasher = DefaultHasher::new();
        target.hash(&mut hasher);
        let uniform = hasher.finish() as f64 / u64::MAX as f64;
        Some(Evacuation {
            since: written_after,
            serve_end: written_after.after(self.bound.scale(SERVE_SHARE)),
            release_at: known_since.after(self.bound.scale(RELEASE_SHARE * uniform)),
        })
    }
}

/// Returns the targets among those that accept keys which get the keys of an
/// evacuated zone: cold ones only if they are the majority, as the others could
/// not take the load of all then.
pub fn receivers(now: Time, open: Vec<&Target>) -> Vec<&Target> {
    let warm: Vec<&Target> = open.iter().copied().filter(|target| target.cold_until <= now).collect();
    if 2 * warm.len() >= open.len() { warm } else { open }
}
