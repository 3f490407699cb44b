//! Fold of the log: the state computed from its records. Every reader has the
//! same state at the same offset.

mod intents;
mod slices;
mod state_codec;
mod writers;

pub use {
    intents::{INTENTS_MAX, Registration},
    slices::{SPLIT_KEYS_MAX, SliceRow},
    writers::WRITERS_MAX,
};

use {
    crate::{
        Code, Error,
        config::{self, Fleet},
        record::{self, Change, Claim, Publish, Record, Writer},
        types::{Key, Offset, Revision, Sequence, Service, SliceId, TargetId, Version, VmId},
    },
    intents::Intents,
    serde::{Deserialize, Serialize},
    slices::Slices,
    std::{collections::BTreeMap, sync::Arc},
    writers::Writers,
};

type Keepers = BTreeMap<TargetId, KeeperRow>;

/// Keeper of a target, as the log names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperRow {
    /// VM of the keeper.
    pub vm: VmId,
    /// Incarnation of the VM if the VM wrote the record itself, 0 if another VM
    /// wrote it.
    pub boot: u64,
    /// Earlier keepers, oldest first, without duplicates. Empty once the keeper
    /// has confirmed that it has taken over.
    pub prior: Vec<VmId>,
    /// Version that the next claim of the target must expect.
    pub version: Version,
    /// Offset of the record that named the keeper. It serves as its fence.
    pub fence: Offset,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveConfig {
    /// Revision; 0 before the first publication.
    pub revision: Revision,
    /// Offset of the record that published it.
    pub offset: Offset,
    /// Operator who published it.
    pub author: Arc<str>,
    /// Document in YAML.
    pub text: Arc<str>,
    /// Parsed document.
    pub fleet: Arc<Fleet>,
}

/// Numbers of records that could not be decoded and were skipped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Skipped {
    /// Records of another system or of an unknown kind.
    pub foreign: u64,
    /// Truncated records and records with a wrong checksum.
    pub torn: u64,
}

/// State computed from the records of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    next_offset: Offset,
    config: ActiveConfig,
    keepers: Keepers,
    slices: Slices,
    intents: Intents,
    writers: Writers,
    skipped: Skipped,
    changed: Offset,
}

/// Result of applying a record.
#[derive(Debug)]
pub struct Verdict {
    /// Writer and sequence, if the record could be decoded.
    pub source: Option<(Writer, Sequence)>,
    /// Errors of the refused changes; empty if the whole record was accepted.
    pub refused: Vec<Error>,
}

impl State {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the offset after the last record about the configuration, keepers or
    /// assignments. A record whose change is refused counts too, except a duplicate
    /// of its writer.
    pub fn changed_offset(&self) -> Offset {
        self.changed
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &ActiveConfig {
        &self.config
    }

    /// Returns the keeper of a target, or `None` if no VM has claimed it.
    pub fn keeper(&self, target: &TargetId) -> Option<&KeeperRow> {
        self.keepers.get(target)
    }

    /// Returns the targets whose keeper is the given VM.
    pub fn kept_by<'a>(&'a self, vm: &'a VmId) -> impl Iterator<Item = (&'a TargetId, &'a KeeperRow)> {
        self.keepers().filter(move |(_, keeper)| keeper.vm == *vm)
    }

    /// Returns all keepers.
    pub fn keepers(&self) -> impl Iterator<Item = (&TargetId, &KeeperRow)> {
        self.keepers.iter()
    }

    /// Returns the assignment of a slice, or `None` if the slice was never
    /// assigned.
    pub fn row(&self, service: &Service, slice: SliceId) -> Option<&SliceRow> {
        self.slices.row(service, slice)
    }

    /// Returns all assignments.
    pub fn rows(&self) -> impl Iterator<Item = (&Service, SliceId, &SliceRow)> {
        self.slices.rows()
    }

    /// Returns the slice of a key, or `None` for a service without slices.
    pub fn slice(&self, service: &Service, key: &Key) -> Option<SliceId> {
        let entry = self.config.fleet.services.get(service)?;
        if !entry.keyed {
            return None;
        }
        self.slices.slice(service, key)
    }

    /// Returns the keys of a service that were split off, each with its slice.
    pub fn split_keys(&self, service: &Service) -> impl Iterator<Item = (&Key, SliceId)> {
        self.slices.split_off(service)
    }

    /// Returns the first registration of an idempotency key. It is absent if the
    /// key was never registered or if [`INTENTS_MAX`] later keys have displaced it.
    pub fn intent(&self, digest: u128) -> Option<&Registration> {
        self.intents.get(digest)
    }

    /// Returns the number of idempotency keys, at most [`INTENTS_MAX`].
    pub fn intent_count(&self) -> usize {
        self.intents.len()
    }

    /// Returns the highest sequence number that was accepted from a writer.
    pub fn last_sequence(&self, writer: &Writer) -> Option<Sequence> {
        self.writers.last(writer)
    }

    /// Returns the number of writers, at most [`WRITERS_MAX`].
    pub fn writer_count(&self) -> usize {
        self.writers.len()
    }

    /// Returns the numbers of records that could not be decoded.
    pub fn skipped(&self) -> Skipped {
        self.skipped
    }

    /// Applies the record at an offset.
    ///
    /// A record before [`State::next_offset`] is ignored with `Code::Duplicate`.
    /// One after it is refused with `Code::LogExpired` and changes nothing,
    /// because records are missing in between. An empty state accepts any first
    /// offset except `u64::MAX`, which is always refused with `Code::LogExpired`.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Verdict {
        if offset < self.next_offset {
            let detail = format!("offset {offset} was applied before");
            return Verdict::refuse(None, Error::new(Code::Duplicate, detail));
        }
        if offset > self.next_offset && self.next_offset.0 > 0 || offset.0 == u64::MAX {
            let detail = format!("offset {offset} follows missing records, next is {}", self.next_offset);
            return Verdict::refuse(None, Error::new(Code::LogExpired, detail));
        }
        self.next_offset = offset.next();
        match record::decode(bytes) {
            Ok(record) => self.apply_record(offset, record),
            Err(error) => {
                self.count_skipped(&error);
                Verdict::refuse(None, error)
            }
        }
    }

    fn count_skipped(&mut self, error: &Error) {
        match error.code() {
            Code::TornRecord => self.skipped.torn += 1,
            _ => self.skipped.foreign += 1,
        }
    }

    fn apply_record(&mut self, offset: Offset, record: Record) -> Verdict {
        let Record { writer, sequence, change } = record;
        let source = Some((writer.clone(), sequence));
        if let Err(last) = self.writers.accept(offset, &writer, sequence) {
            let detail = format!("sequence {sequence} after {last}");
            return Verdict::refuse(source, Error::new(Code::Duplicate, detail));
        }
        Verdict { source, refused: self.apply_change(offset, &writer, change) }
    }

    fn apply_change(&mut self, offset: Offset, writer: &Writer, change: Change) -> Vec<Error> {
        if !matches!(change, Change::Intents(_) | Change::Chunk(_)) {
            self.changed = offset.next();
        }
        match change {
            Change::Config(publish) => errors([self.publish(offset, publish)]),
            Change::Keeper(claim) => errors([self.claim(offset, writer, claim)]),
            Change::Assign(assign) => {
                let service = assign.service;
                let moves = assign.moves.into_iter().enumerate();
                errors(moves.map(|(index, slice_move)| {
                    let result = self.slices.assign(offset, writer, &self.keepers, &service, slice_move);
                    result.map_err(|e| e.with_path(format!("moves[{index}]")))
                }))
            }
            Change::SplitOff(split_off) => {
                errors([self.slices.split_key(offset, writer, &self.keepers, split_off)])
            }
            Change::Intents(intents) => errors(intents.iter().enumerate().map(|(index, intent)| {
                let result = self.intents.register(offset, writer, intent);
                result.map_err(|e| e.with_path(format!("intents[{index}]")))
            })),
            Change::Chunk(_) => Vec::new(),
        }
    }

    fn publish(&mut self, offset: Offset, publish: Publish) -> Result<(), Error> {
        if publish.expects != self.config.revision {
            let detail = format!(
                "expects revision {}, revision {} is in force",
                publish.expects, self.config.revision
            );
            return Err(Error::new(Code::ConfigConflict, detail));
        }
        let fleet = config::parse(&publish.text)?;
        config::check_change(&self.config.fleet, &fleet)?;
        self.slices.check(&fleet)?;
        self.slices.configure(&fleet);
        self.config = ActiveConfig {
            revision: publish.expects.next(),
            offset,
            author: publish.author,
            text: publish.text,
            fleet: Arc::new(fleet),
        };
        Ok(())
    }

    fn claim(&mut self, offset: Offset, writer: &Writer, claim: Claim) -> Result<(), Error> {
        let row = self.keepers.get(&claim.target);
        let version = row.map(|k| k.version).unwrap_or_default();
        check_version(claim.expects, version)?;
        let boot = if writer.id == claim.keeper { writer.boot } else { 0 };
        let prior = row.map(|k| k.earlier_keepers(&claim.keeper, boot)).unwrap_or_default();
        let keeper = KeeperRow { vm: claim.keeper, boot, prior, version: version.next(), fence: offset };
        self.keepers.insert(claim.target, keeper);
        Ok(())
    }
}

impl KeeperRow {
    /// Returns the keepers before `next`, oldest first. A second record of the
    /// same incarnation confirms that it has taken the target over, which makes
    /// the earlier keepers irrelevant.
    fn earlier_keepers(&self, next: &VmId, boot: u64) -> Vec<VmId> {
        if self.vm == *next && self.boot == boot && boot != 0 {
            return Vec::new();
        }
        let mut prior: Vec<VmId> = self.prior.iter().filter(|vm| *vm != &self.vm).cloned().collect();
        prior.push(self.vm.clone());
        prior.retain(|vm| vm != next);
        prior
    }
}

/// Checks that the writer is the incarnation that claimed the owner of a slice.
/// No other process may move the slice, so that a delayed append of a process
/// that has ended changes nothing.
fn check_keeper(keepers: &Keepers, owner: &TargetId, writer: &Writer) -> Result<(), Error> {
    let keeper = keepers.get(owner);
    if keeper.is_some_and(|keeper| keeper.vm == writer.id && keeper.boot == writer.boot) {
        return Ok(());
    }
    let detail = format!("incarnation {} of {} is not the keeper of {owner}", writer.boot, writer.id);
    Err(Error::new(Code::NotKeeper, detail))
}

fn errors(results: impl IntoIterator<Item = Result<(), Error>>) -> Vec<Error> {
    results.into_iter().filter_map(Result::err).collect()
}

impl Verdict {
    fn refuse(source: Option<(Writer, Sequence)>, error: Error) -> Self {
        Self { source, refused: vec![error] }
    }

    /// Returns whether the whole record was accepted.
    pub fn is_accepted(&self) -> bool {
        self.refused.is_empty()
    }
}

fn check_version(expected: Version, current: Version) -> Result<(), Error> {
    if expected == current {
        return Ok(());
    }
    Err(Error::new(Code::StaleVersion, format!("expects version {expected}, current is {current}")))
}
