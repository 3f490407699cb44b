//! Versions of the levels of all targets, and the deltas between them.
//!
//! Load pattern: 300 processes that are told several times a second how busy 3,000
//! targets are. All levels take 1.5 kB, which is a megabyte a second from the leader
//! in calm times, when hardly any level changes.

use {
    super::Levels,
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        rc::Rc,
        sync::Arc,
    },
};

/// Versions that a leader keeps. One is made at most every 50 ms, and a link
/// without a message for 1.5 s is closed.
const VERSIONS_MAX: usize = 32;

/// Bits of a level in a change.
const LEVEL_BITS: u32 = 4;

/// What became of the levels of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Change {
    /// Changed levels in the order of the targets: the number of unchanged targets
    /// before each, shifted by [`LEVEL_BITS`], and the new level in the lower bits.
    Few(Vec<u32>),
    /// The service has other targets, or most levels have changed.
    All(Levels),
}

/// Delta between the levels of two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelDelta {
    /// Checksum of the newer levels.
    checksum: u32,
    /// Indexes of services and their changes.
    changes: Vec<(u16, Change)>,
}

/// Levels of all targets for a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LevelUpdate {
    /// Version and all levels.
    Full(u64, Rc<Vec<Levels>>),
    /// Delta to an older version.
    Delta {
        /// The older version.
        from: u64,
        /// Versions by which the newer one is later, which may be 0.
        ahead: u32,
        /// Delta between the two.
        delta: Rc<LevelDelta>,
    },
}

impl LevelUpdate {
    /// Returns the version that a process holds once it has applied the update.
    pub fn version(&self) -> u64 {
        match self {
            Self::Full(version, _) => *version,
            Self::Delta { from, ahead, .. } => from.saturating_add(u64::from(*ahead)),
        }
    }
}

fn checksum(levels: &[Levels]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for levels in levels {
        hasher.update(&levels.checksum.to_be_bytes());
        hasher.update(&levels.packed);
    }
    hasher.finalize()
}

impl Change {
    fn new(old: &Levels, new: &Levels) -> Option<Self> {
        if old == new {
            return None;
        }
        if old.checksum != new.checksum || old.packed.len() != new.packed.len() {
            return Some(Self::All(new.clone()));
        }
        let mut changes = Vec::new();
        let mut next = 0;
        for index in 0..2 * new.packed.len() {
            let level = new.level(index);
            if old.level(index) == level {
                continue;
            }
            let gap = u32::try_from(index - next).unwrap_or(u32::MAX);
            changes.push(gap << LEVEL_BITS | u32::from(level.unwrap_or(0)));
            next = index + 1;
        }
        // A change takes a byte at least, and two levels take one byte.
        let is_short = changes.len() < new.packed.len();
        Some(if is_short { Self::Few(changes) } else { Self::All(new.clone()) })
    }

    /// Returns the newer levels of a service, or `None` if the change is not one of
    /// these levels.
    fn apply(&self, old: &Levels) -> Option<Levels> {
        let changes = match self {
            Self::All(levels) => return Some(levels.clone()),
            Self::Few(changes) => changes,
        };
        let mut packed = old.packed.to_vec();
        let mut next = 0_usize;
        for change in changes {
            let index = next + (change >> LEVEL_BITS) as usize;
            let shift = 4 * (index % 2);
            let pair = packed.get_mut(index / 2)?;
            let level = (change & ((1 << LEVEL_BITS) - 1)) as u8;
            *pair = *pair & !(0xf << shift) | level << shift;
            next = index + 1;
        }
        Some(Levels { service: old.service.clone(), checksum: old.checksum, packed: packed.into() })
    }
}

impl LevelDelta {
    /// Returns the delta between two versions, or `None` if their services differ.
    fn new(old: &[Levels], new: &[Levels]) -> Option<Self> {
        let names = |levels: &[Levels]| levels.iter().map(|l| l.service.clone()).collect::<Vec<Arc<str>>>();
        if names(old) != names(new) {
            return None;
        }
        let mut changes = Vec::new();
        for (i, (old, new)) in old.iter().zip(new).enumerate() {
            if let Some(change) = Change::new(old, new) {
                changes.push((u16::try_from(i).ok()?, change));
            }
        }
        Some(Self { checksum: checksum(new), changes })
    }

    fn apply(&self, levels: &mut [Levels]) -> Option<()> {
        for (i, change) in &self.changes {
            let levels = levels.get_mut(usize::from(*i))?;
            *levels = change.apply(levels)?;
        }
        (checksum(levels) == self.checksum).then_some(())
    }
}

/// The newest levels of the leader, and some earlier versions.
#[derive(Clone, Debug, Default)]
pub struct LevelBoard {
    /// Versions in order, the newest one last.
    versions: VecDeque<(u64, Rc<Vec<Levels>>)>,
    /// Deltas to the newest version, by the older one.
    deltas: HashMap<u64, Option<Rc<LevelDelta>>>,
}

impl LevelBoard {
    /// Sets the newest levels.
    pub fn set(&mut self, levels: Vec<Levels>) {
        let newest = self.versions.back();
        if newest.is_some_and(|(_, newest)| **newest == levels) {
            return;
        }
        let version = newest.map_or(1, |(version, _)| version + 1);
        self.versions.push_back((version, Rc::new(levels)));
        self.deltas.clear();
        if self.versions.len() > VERSIONS_MAX {
            self.versions.pop_front();
        }
    }

    /// Returns the newest version; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.versions.back().map_or(0, |(version, _)| *version)
    }

    /// Returns the newest levels for a process that holds a version, or none.
    pub fn update(&mut self, known: Option<u64>) -> Option<LevelUpdate> {
        let (version, newest) = self.versions.back()?.clone();
        let full = LevelUpdate::Full(version, newest.clone());
        let old = known.and_then(|known| self.versions.iter().find(|(version, _)| *version == known));
        let Some((from, old)) = old else { return Some(full) };
        let delta = self.deltas.entry(*from).or_insert_with(|| LevelDelta::new(old, &newest).map(Rc::new));
        let (from, ahead) = (*from, u32::try_from(version - from).unwrap_or(u32::MAX));
        Some(delta.clone().map_or(full, |delta| LevelUpdate::Delta { from, ahead, delta }))
    }
}

/// The levels that a process holds, as the leader sent them on one link.
#[derive(Clone, Debug, Default)]
pub struct LevelCopy {
    /// Version and levels; `None` before the first full copy, and after a delta that
    /// does not apply.
    held: Option<(u64, Vec<Levels>)>,
}

impl LevelCopy {
    /// Returns the version, which the process reports.
    pub fn version(&self) -> Option<u64> {
        self.held.as_ref().map(|(version, _)| *version)
    }

    /// Applies an update. Returns the newest levels, or `None` if the process needs a
    /// full copy.
    pub fn apply(&mut self, update: &LevelUpdate) -> Option<&[Levels]> {
        let held = match update {
            LevelUpdate::Full(version, levels) => Some((*version, (**levels).clone())),
            LevelUpdate::Delta { from, delta, .. } => {
                let old = self.held.take().filter(|(version, _)| *version == *from);
                old.and_then(|(_, mut levels)| {
                    delta.apply(&mut levels)?;
                    Some((update.version(), levels))
                })
            }
        };
        self.held = held;
        self.held.as_ref().map(|(_, levels)| &levels[..])
    }
}
