//! Ranks: how far a less urgent request leaves the targets to urgent ones.
//!
//! Load pattern: a service gets urgent requests with a short latency objective
//! and, in bursts, less urgent ones that have time. A target runs what arrives
//! first, so less urgent requests that queue there delay urgent ones that come
//! later. They wait in their process instead, where urgent ones pass them. The
//! longer one has waited, the more of the queue it may use: without an overload
//! that lasts, it is delayed and not refused.

use {
    crate::config::Route,
    std::{
        collections::{HashMap, hash_map::Entry},
        sync::Arc,
    },
};

/// Requests that all edge processes together may have at a target, as a
/// multiple of its slots: the queue of a target is short, and some targets
/// answer nothing any more once it is full.
pub const FILL_FACTOR_MAX: f64 = 2.5;

/// The same for the least urgent requests of a service with several ranks while
/// they have not waited: they take free slots only.
const FILL_FACTOR_MIN: f64 = 1.0;

/// Requests by which a target must be below the least factor. Estimates of a load
/// decay between two reports, so a count just below the slots is a full target.
const MARGIN: f64 = 0.5;

/// Requests at a target, as a multiple of its slots, up to which a request may be
/// sent there.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct FillFactor(f64);

impl FillFactor {
    /// Fill factor of the most urgent requests.
    pub const MAX: Self = Self(FILL_FACTOR_MAX);

    /// Returns whether a target with `slots` and a number of requests may get one
    /// more. `slowdown` is the time that work takes there, as a multiple of the
    /// usual time.
    pub fn admits(self, requests: f64, slots: u32, slowdown: f64) -> bool {
        let held_back = (FILL_FACTOR_MAX - self.0) / (FILL_FACTOR_MAX - FILL_FACTOR_MIN);
        // On a slow target the wait in the queue is longer, but free slots stay of
        // use.
        let fill = self.0.min((self.0 / slowdown).max(FILL_FACTOR_MIN));
        requests < fill * f64::from(slots) - MARGIN * held_back
    }
}

/// Ranks of the requests that a service gets by the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ranks {
    /// Most urgent rank; ranks are numbered from 0, which is the most urgent.
    pub first: u32,
    /// Least urgent rank.
    pub last: u32,
}

impl Ranks {
    /// Returns the ranks of all services that routes send requests to.
    pub fn of_services<'a>(routes: impl Iterator<Item = &'a Arc<Route>>) -> HashMap<Arc<str>, Self> {
        let mut ranks: HashMap<Arc<str>, Self> = HashMap::new();
        for route in routes {
            let rank = route.priority;
            for share in route.services.iter().filter(|share| share.weight > 0) {
                match ranks.entry(share.service.clone()) {
                    Entry::Occupied(mut known) => known.get_mut().insert(rank),
                    Entry::Vacant(free) => drop(free.insert(Self { first: rank, last: rank })),
                }
            }
        }
        ranks
    }

    fn insert(&mut self, rank: u32) {
        self.first = self.first.min(rank);
        self.last = self.last.max(rank);
    }

    /// Returns whether all requests have the same rank.
    pub fn is_single(self) -> bool {
        self.first == self.last
    }

    /// Returns the fill factor of a request. `waited` is the time that it has
    /// waited for a target, as a fraction of the longest wait; at 1 it may fill
    /// targets as far as the most urgent ones.
    pub fn fill_factor(self, rank: u32, waited: f64) -> FillFactor {
        if self.is_single() {
            return FillFactor::MAX;
        }
        let position = f64::from(rank.clamp(self.first, self.last) - self.first);
        let lateness = position / f64::from(self.last - self.first);
        // The power keeps the factor low for most of the wait.
        let held_back = lateness * (1.0 - waited.clamp(0.0, 1.0).powi(4));
        FillFactor(FILL_FACTOR_MAX - (FILL_FACTOR_MAX - FILL_FACTOR_MIN) * held_back)
    }
}
