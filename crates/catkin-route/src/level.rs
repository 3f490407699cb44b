//! Load levels: how busy the targets of a service are, in half a byte each.
//!
//! Load pattern: hundreds of processes that are told many times a second how
//! busy hundreds of targets are. With the targets' ids, one message takes
//! kilobytes, and the leader's link is full at a crest.
//!
//! Levels are in the order of the targets' ids, and a checksum of the ids tells
//! whether both ends know the same targets. Most levels stay the same from one
//! message to the next, so a process that holds the levels of a version gets the
//! delta from it, see [`LevelBoard`] and [`LevelCopy`].

mod board;

pub use board::{LevelBoard, LevelCopy, LevelDelta, LevelUpdate};

use {
    crate::{
        directory::{Incarnation, Target},
        rank::FILL_FACTOR_MAX,
    },
    serde::{Deserialize, Serialize},
    std::{rc::Rc, sync::Arc},
};

/// Requests at a target, as a multiple of its slots, from which on it is busy.
pub const BUSY_FACTOR: f64 = 1.5;

/// Requests at a target of each level below the first one with a queue, as a
/// multiple of its slots.
const FILL_FACTORS: [f64; 4] = [0.0, 1.0, BUSY_FACTOR, FILL_FACTOR_MAX];

/// Queue length of each further level, as a multiple of the slots.
const QUEUE_FACTORS: [f64; 12] = [0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 16.0, 24.0];

/// Load of a target, summed over all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests at the target.
    pub total: u32,
    /// Requests that are queued for it.
    pub queue_length: u32,
}

impl TargetLoad {
    /// Returns whether requests are sent to the target only within quotas.
    pub fn is_busy(self, slots: u32) -> bool {
        self.queue_length > 0 || f64::from(self.total) >= BUSY_FACTOR * f64::from(slots)
    }

    fn level(self, slots: u32) -> u8 {
        let ratio = |count: u32| f64::from(count) / f64::from(slots.max(1));
        let index = |factors: &[f64], count| factors.partition_point(|factor| *factor <= ratio(count)) - 1;
        let level = match self.queue_length {
            0 => index(&FILL_FACTORS, self.total),
            queue_length => FILL_FACTORS.len() + index(&QUEUE_FACTORS, queue_length),
        };
        u8::try_from(level).unwrap_or(0)
    }

    /// Returns the least load of a level.
    fn from_level(level: u8, slots: u32) -> Self {
        let level = usize::from(level);
        let count = |factor: f64| (factor * f64::from(slots)).ceil() as u32;
        match FILL_FACTORS.get(level) {
            Some(factor) => Self { total: count(*factor), queue_length: 0 },
            None => {
                let queued = QUEUE_FACTORS.get(level - FILL_FACTORS.len()).copied().unwrap_or(0.0);
                Self { total: count(FILL_FACTOR_MAX), queue_length: count(queued).max(1) }
            }
        }
    }
}

/// Levels of the targets of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Levels {
    /// Name of the service.
    pub service: Arc<str>,
    checksum: u32,
    /// Two levels in each byte, the first one in the lower half.
    packed: Rc<[u8]>,
}

fn checksum<'a>(targets: impl Iterator<Item = &'a Target>) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for target in targets {
        hasher.update(target.entry.incarnation.id.as_bytes());
        hasher.update(&[0]);
    }
    hasher.finalize()
}

impl Levels {
    fn level(&self, index: usize) -> Option<u8> {
        self.packed.get(index / 2).map(|pair| pair >> (4 * (index % 2)) & 0xf)
    }

    /// Packs the loads of targets. `targets` are those of the service in the
    /// order of their ids.
    pub fn new(service: Arc<str>, targets: &[&Target], load: impl Fn(&str) -> TargetLoad) -> Self {
        let level = |target: &&Target| load(&target.entry.incarnation.id).level(target.entry.slots);
        let levels: Vec<u8> = targets.iter().map(level).collect();
        let packed = levels.chunks(2).map(|pair| pair[0] | pair.get(1).unwrap_or(&0) << 4).collect();
        Self { service, checksum: checksum(targets.iter().copied()), packed }
    }

    /// Returns the targets with requests and their least loads, or `None` if
    /// `targets` are not those of the sender.
    pub fn unpack(&self, targets: &[&Target]) -> Option<Vec<(Incarnation, TargetLoad)>> {
        let has_same_targets = self.packed.len() == targets.len().div_ceil(2)
            && self.checksum == checksum(targets.iter().copied());
        let level = |i: usize| self.level(i).unwrap_or(0);
        let load = |(i, target): (usize, &&Target)| {
            let level = level(i);
            let load = TargetLoad::from_level(level, target.entry.slots);
            (level > 0).then(|| (target.entry.incarnation.clone(), load))
        };
        has_same_targets.then(|| targets.iter().enumerate().filter_map(load).collect())
    }
}
