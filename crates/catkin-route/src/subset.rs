//! Subsets: in which order a process considers the targets of a service without
//! keys.
//!
//! Load pattern: hundreds of processes that each send a few requests a second to
//! the same targets, as at the start of traffic or at a crest. If all considered
//! the same targets first, these would get the requests of all processes before
//! any report shows it, and a target whose queue is full may never answer. In
//! its own order each process uses a few targets, so that a target has few
//! senders, and connections are used again.

use {
    crate::directory::{Directory, Target},
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Number of processes that should use a target.
const SENDERS: f64 = 12.0;

/// Least number of targets that a process considers at once.
const WIDTH_MIN: usize = 4;

/// Weight of targets in the zone of the process, without shares of the leader
/// (see [`crate::spill`]): bytes between zones cost money.
const OWN_ZONE_WEIGHT: f64 = 4.0;

/// The targets of a service in the order of a process.
#[derive(Clone, Debug)]
struct Ranking {
    /// Counter of the directory's changes for which the order holds.
    directory_changes: u64,
    targets: Arc<[Arc<str>]>,
    /// The targets of each zone, in the same order.
    zones: HashMap<Arc<str>, Arc<[Arc<str>]>>,
}

/// The orders of one process.
#[derive(Debug)]
pub struct Subsets {
    vm: Arc<str>,
    zone: Arc<str>,
    rankings: HashMap<Arc<str>, Ranking>,
}

impl Subsets {
    /// Creates the orders of a process on a VM in a zone.
    pub fn new(vm: Arc<str>, zone: Arc<str>) -> Self {
        Self { vm, zone, rankings: HashMap::new() }
    }

    /// Returns the ids of the targets of a service in the order of this process.
    pub fn ranked(&mut self, directory: &Directory, service: &str) -> Arc<[Arc<str>]> {
        self.ranking(directory, service).targets.clone()
    }

    /// Returns the ids of the targets of a service in one zone, in the order of
    /// this process.
    pub fn ranked_in(&mut self, directory: &Directory, service: &str, zone: &str) -> Arc<[Arc<str>]> {
        self.ranking(directory, service).zones.get(zone).cloned().unwrap_or_default()
    }

    fn ranking(&mut self, directory: &Directory, service: &str) -> &Ranking {
        let directory_changes = directory.changes();
        let known = self.rankings.get(service);
        if known.is_none_or(|known| known.directory_changes != directory_changes) {
            let ranking = self.rank(directory, service);
            self.rankings.insert(service.into(), ranking);
        }
        &self.rankings[service]
    }

    fn rank<'a>(&self, directory: &'a Directory, service: &str) -> Ranking {
        // Evacuated targets come last: where the process prefers their zone, only
        // a few of those that it considers first would be left.
        let scored = |target: &'a Target| (target.evacuation.is_some(), self.score(target), target);
        let mut scored: Vec<(bool, f64, &Target)> = directory.of_service(service).map(scored).collect();
        scored.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let mut zones: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
        for (_, _, target) in &scored {
            let zone = zones.entry(target.entry.zone.clone()).or_default();
            zone.push(target.entry.incarnation.id.clone());
        }
        Ranking {
            directory_changes: directory.changes(),
            targets: scored.into_iter().map(|(_, _, target)| target.entry.incarnation.id.clone()).collect(),
            zones: zones.into_iter().map(|(zone, ids)| (zone, ids.into())).collect(),
        }
    }

    /// Returns a number between 0 and 1 that is random for each process and
    /// target.
    pub fn uniform(&self, id: &Arc<str>) -> f64 {
        let mut hasher = DefaultHasher::new();
        (&self.vm, id).hash(&mut hasher);
        (hasher.finish() as f64 + 1.0) / (u64::MAX as f64 + 2.0)
    }

    /// Returns the score of a target by weighted rendezvous hashing; the lowest
    /// comes first.
    fn score(&self, target: &Target) -> f64 {
        let uniform = self.uniform(&target.entry.incarnation.id);
        let weight = if target.entry.zone == self.zone { OWN_ZONE_WEIGHT } else { 1.0 };
        -uniform.ln() / weight
    }
}

/// Returns how many of `targets` a process considers at once, if `peers`
/// processes use them.
pub fn width(targets: usize, peers: u32) -> usize {
    let wanted = (SENDERS * targets as f64 / f64::from(peers.max(1))).round() as usize;
    wanted.max(WIDTH_MIN)
}
