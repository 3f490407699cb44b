//! The fold of the log: the same state for every reader at the same offset.

mod intents;
mod slices;
mod store;
mod writers;

pub use {
    intents::{INTENTS_MAX, Taken},
    slices::{CARVED_MAX, Row},
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

type Keepers = BTreeMap<TargetId, Keeper>;

/// The keeper of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    /// The VM.
    pub vm: VmId,
    /// Process of the VM that wrote the record; 0 if another VM wrote it.
    pub boot: u64,
    /// Earlier keepers, oldest first, each once.
    pub prior: Vec<VmId>,
    /// Version of the row.
    pub version: Version,
    /// Offset of the record that named it, which is its fence.
    pub fence: Offset,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Current {
    /// Its number.
    pub revision: Revision,
    /// Offset of its record.
    pub offset: Offset,
    /// Who published it.
    pub author: Arc<str>,
    /// Its text.
    pub text: Arc<str>,
    /// Its content.
    pub fleet: Arc<Fleet>,
}

/// Records that were counted and skipped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Skipped {
    /// Records of another system or of an unknown kind.
    pub foreign: u64,
    /// Truncated or changed records.
    pub torn: u64,
}

/// State of the fold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    next: Offset,
    config: Current,
    keepers: Keepers,
    slices: Slices,
    intents: Intents,
    writers: Writers,
    skipped: Skipped,
    changed: Offset,
}

/// What became of a record.
#[derive(Debug)]
pub struct Verdict {
    /// Writer and sequence, if the record could be decoded.
    pub source: Option<(Writer, Sequence)>,
    /// Refusals; empty if the whole record was accepted.
    pub refused: Vec<Error>,
}

impl State {
    /// Makes the state before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the offset after the last record that changed configuration,
    /// keepers or assignments.
    pub fn changed(&self) -> Offset {
        self.changed
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Current {
        &self.config
    }

    /// Returns the keeper of a target.
    pub fn keeper(&self, target: &TargetId) -> Option<&Keeper> {
        self.keepers.get(target)
    }

    /// Returns the targets that a VM keeps.
    pub fn kept_by<'a>(&'a self, vm: &'a VmId) -> impl Iterator<Item = (&'a TargetId, &'a Keeper)> {
        self.keepers().filter(move |(_, keeper)| keeper.vm == *vm)
    }

    /// Returns all keepers.
    pub fn keepers(&self) -> impl Iterator<Item = (&TargetId, &Keeper)> {
        self.keepers.iter()
    }

    /// Returns the assignment of a slice.
    pub fn row(&self, service: &Service, slice: SliceId) -> Option<&Row> {
        self.slices.row(service, slice)
    }

    /// Returns all assignments.
    pub fn rows(&self) -> impl Iterator<Item = (&Service, SliceId, &Row)> {
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

    /// Returns the keys of a service that have slices of their own.
    pub fn carved(&self, service: &Service) -> impl Iterator<Item = (&Key, SliceId)> {
        self.slices.carved(service)
    }

    /// Returns the first record of an idempotency key, unless
    /// [`INTENTS_MAX`] later ones have displaced it.
    pub fn intent(&self, digest: u128) -> Option<&Taken> {
        self.intents.get(digest)
    }

    /// Returns the number of idempotency keys.
    pub fn intents(&self) -> usize {
        self.intents.len()
    }

    /// Returns the last sequence of a writer.
    pub fn sequence(&self, writer: &Writer) -> Option<Sequence> {
        self.writers.last(writer)
    }

    /// Returns the number of writers.
    pub fn writers(&self) -> usize {
        self.writers.len()
    }

    /// Returns the records that were counted and skipped.
    pub fn skipped(&self) -> Skipped {
        self.skipped
    }

    /// Applies the record at an offset.
    ///
    /// A record before [`State::next`] is dropped with `Code::Duplicate`. One
    /// after it is refused with `Code::LogExpired` and changes nothing,
    /// because records are missing; only a new state may begin anywhere.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Verdict {
        if offset < self.next {
            let detail = format!("offset {offset} was read before");
            return Verdict::refuse(None, Error::new(Code::Duplicate, detail));
        }
        if offset > self.next && self.next.0 > 0 || offset.0 == u64::MAX {
            let detail = format!("offset {offset} follows a gap, next is {}", self.next);
            return Verdict::refuse(None, Error::new(Code::LogExpired, detail));
        }
        self.next = offset.next();
        match record::decode(bytes) {
            Ok(record) => self.apply_record(offset, record),
            Err(error) => {
                self.skip(&error);
                Verdict::refuse(None, error)
            }
        }
    }

    fn skip(&mut self, error: &Error) {
        match error.code() {
            Code::TornRecord => self.skipped.torn += 1,
            _ => self.skipped.foreign += 1,
        }
    }

    fn apply_record(&mut self, offset: Offset, record: Record) -> Verdict {
        let Record { writer, sequence, change } = record;
        let source = Some((writer.clone(), sequence));
        if let Err(last) = self.writers.take(offset, &writer, sequence) {
            let detail = format!("sequence {sequence} after {last}");
            return Verdict::refuse(source, Error::new(Code::Duplicate, detail));
        }
        Verdict { source, refused: self.change(offset, &writer, change) }
    }

    fn change(&mut self, offset: Offset, writer: &Writer, change: Change) -> Vec<Error> {
        if !matches!(change, Change::Intents(_) | Change::Chunk(_)) {
            self.changed = offset.next();
        }
        match change {
            Change::Config(publish) => refusals([self.publish(offset, publish)]),
            Change::Keeper(claim) => refusals([self.claim(offset, writer, claim)]),
            Change::Assign(assign) => {
                let service = assign.service;
                let moves = assign.moves.into_iter().enumerate();
                refusals(moves.map(|(number, change)| {
                    let result = self.slices.assign(offset, writer, &self.keepers, &service, change);
                    result.map_err(|e| e.with_path(format!("moves[{number}]")))
                }))
            }
            Change::Carve(carve) => refusals([self.slices.carve(offset, writer, &self.keepers, carve)]),
            Change::Intents(intents) => refusals(intents.iter().enumerate().map(|(number, intent)| {
                let result = self.intents.register(offset, writer, intent);
                result.map_err(|e| e.with_path(format!("intents[{number}]")))
            })),
            Change::Chunk(_) => Vec::new(),
        }
    }

    fn publish(&mut self, offset: Offset, publish: Publish) -> Result<(), Error> {
        if publish.expects != self.config.revision {
            let detail =
                format!("expects revision {}, in force is {}", publish.expects, self.config.revision);
            return Err(Error::new(Code::ConfigConflict, detail));
        }
        let fleet = config::parse(&publish.text)?;
        config::check_change(&self.config.fleet, &fleet)?;
        self.slices.check(&fleet)?;
        self.slices.configure(&fleet);
        self.config = Current {
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
        expect(claim.expects, version)?;
        let boot = if writer.id == claim.keeper { writer.boot } else { 0 };
        let prior = row.map(|k| k.prior_after(&claim.keeper, boot)).unwrap_or_default();
        let keeper = Keeper { vm: claim.keeper, boot, prior, version: version.next(), fence: offset };
        self.keepers.insert(claim.target, keeper);
        Ok(())
    }
}

impl Keeper {
    /// A second record of the same process says that it has taken the target
    /// over, so that earlier keepers no longer matter.
    fn prior_after(&self, next: &VmId, boot: u64) -> Vec<VmId> {
        if self.vm == *next && self.boot == boot && boot != 0 {
            return Vec::new();
        }
        let mut prior: Vec<VmId> = self.prior.iter().filter(|vm| *vm != &self.vm).cloned().collect();
        prior.push(self.vm.clone());
        prior.retain(|vm| vm != next);
        prior
    }
}

/// Only the process that claimed a target may move its slices, so that an
/// append of a dead process that takes effect late changes nothing.
fn check_keeper(keepers: &Keepers, owner: &TargetId, writer: &Writer) -> Result<(), Error> {
    let keeper = keepers.get(owner);
    if keeper.is_some_and(|keeper| keeper.vm == writer.id && keeper.boot == writer.boot) {
        return Ok(());
    }
    let detail = format!("process {} of {} is not the keeper of {owner}", writer.boot, writer.id);
    Err(Error::new(Code::NotKeeper, detail))
}

fn refusals(results: impl IntoIterator<Item = Result<(), Error>>) -> Vec<Error> {
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

fn expect(expected: Version, current: Version) -> Result<(), Error> {
    if expected == current {
        return Ok(());
    }
    Err(Error::new(Code::StaleVersion, format!("expects version {expected}, current is {current}")))
}
