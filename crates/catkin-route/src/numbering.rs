//! Numbering: targets by their number in the order of their ids.
//!
//! Load pattern: 300 processes that each report their requests at dozens of targets
//! up to 16 times a second. An id takes 13 bytes and a number 2.
//!
//! A process uses numbers if the leader has said that it knows the same targets. The
//! leader keeps the numberings of some earlier directories, as reports may cross a
//! change of the directory.

use {
    crate::directory::Directory,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, rc::Rc, sync::Arc},
};

/// Numberings that a leader keeps. A new one is made at most with each change of the
/// directory, and reports are answered within a second.
const LEADER_NUMBERINGS: usize = 32;

/// Identifies a numbering: a checksum of the ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberingId(u32);

/// The targets of one state of the directory, in the order of their ids.
#[derive(Clone, Debug)]
pub struct Numbering {
    id: NumberingId,
    targets: Vec<Arc<str>>,
}

impl Numbering {
    /// Creates the numbering of a directory.
    pub fn new(directory: &Directory) -> Self {
        let mut targets: Vec<Arc<str>> =
            directory.all().map(|target| target.entry.incarnation.id.clone()).collect();
        targets.sort_unstable();
        let mut hasher = crc32fast::Hasher::new();
        for target in &targets {
            hasher.update(target.as_bytes());
            hasher.update(&[0]);
        }
        Self { id: NumberingId(hasher.finalize()), targets }
    }

    /// Returns the id of the numbering.
    pub fn id(&self) -> NumberingId {
        self.id
    }

    fn number(&self, target: &str) -> Option<u32> {
        let index = self.targets.binary_search_by(|other| (**other).cmp(target)).ok()?;
        u32::try_from(index).ok()
    }
}

/// Values of some targets, as a message names them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ByTarget<T> {
    /// The targets with a number, in their order. Each is told by the number of
    /// targets between the last one and itself.
    numbered: Vec<(u32, T)>,
    /// The other targets, by their ids.
    named: Vec<(Arc<str>, T)>,
}

impl<T> Default for ByTarget<T> {
    fn default() -> Self {
        Self { numbered: Vec::new(), named: Vec::new() }
    }
}

impl<T> ByTarget<T> {
    /// Names targets by their numbers, or by their ids without a numbering.
    pub fn new(values: Vec<(Arc<str>, T)>, numbering: Option<&Numbering>) -> Self {
        let mut named = Vec::new();
        let mut found = Vec::new();
        for (target, value) in values {
            match numbering.and_then(|numbering| numbering.number(&target)) {
                Some(number) => found.push((number, value)),
                None => named.push((target, value)),
            }
        }
        found.sort_unstable_by_key(|(number, _)| *number);
        let mut next = 0;
        let gap = |(number, value)| {
            let gap = number - next;
            next = number + 1;
            (gap, value)
        };
        Self { numbered: found.into_iter().map(gap).collect(), named }
    }

    /// Returns the ids of the targets and their values, or `None` if the numbering is
    /// missing or has fewer targets.
    pub fn resolve(self, numbering: Option<&Numbering>) -> Option<Vec<(Arc<str>, T)>> {
        let mut values = self.named;
        let mut next = 0_usize;
        for (gap, value) in self.numbered {
            let index = next + gap as usize;
            values.push((numbering?.targets.get(index)?.clone(), value));
            next = index + 1;
        }
        Some(values)
    }
}

/// The numberings of the newest directory and of earlier ones.
#[derive(Clone, Debug)]
pub struct Numberings {
    /// Number of numberings that are kept.
    max: usize,
    /// Counter of the directory's changes for which the newest one holds.
    directory_changes: Option<u64>,
    /// Numberings in the order of their use, the newest one last.
    known: VecDeque<Rc<Numbering>>,
}

impl Default for Numberings {
    fn default() -> Self {
        Self::new(LEADER_NUMBERINGS)
    }
}

impl Numberings {
    /// Creates an empty list that keeps a number of numberings, at least the newest
    /// one.
    pub fn new(max: usize) -> Self {
        Self { max: max.max(1), directory_changes: None, known: VecDeque::new() }
    }

    /// Returns the numbering of the directory.
    pub fn newest(&mut self, directory: &Directory) -> Rc<Numbering> {
        if self.directory_changes == Some(directory.changes())
            && let Some(newest) = self.known.back()
        {
            return newest.clone();
        }
        let numbering = Rc::new(Numbering::new(directory));
        self.directory_changes = Some(directory.changes());
        self.known.retain(|known| known.id != numbering.id);
        self.known.push_back(numbering.clone());
        if self.known.len() > self.max {
            self.known.pop_front();
        }
        numbering
    }

    /// Returns a known numbering.
    pub fn find(&self, id: NumberingId) -> Option<Rc<Numbering>> {
        self.known.iter().find(|known| known.id == id).cloned()
    }
}
