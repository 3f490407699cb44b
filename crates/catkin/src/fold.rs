//! The fold of the log: the same state for every reader at the same offset.

use {
    crate::{
        Code, Error,
        config::{self, Fleet},
        record::{self, Change, Claim, Move, Publish, Record, Writer},
        types::{Fence, Key, Offset, Revision, Sequence, Service, SliceId, TargetId, Version, VmId},
    },
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

const KEY_HASH_SEED: u64 = 0x6361_746b_696e;

/// The keeper of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
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

/// Assignment of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The owner.
    pub owner: TargetId,
    /// The target that takes over when the owner is lost.
    pub standby: Option<TargetId>,
    /// Version of the row.
    pub version: Version,
    /// Fence of the owner.
    pub fence: Fence,
    /// The owner before, with its fence.
    pub previous: Option<(TargetId, Fence)>,
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

/// State of the fold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    next: Offset,
    config: Current,
    keepers: BTreeMap<TargetId, Keeper>,
    slices: BTreeMap<(Service, SliceId), Row>,
    writers: BTreeMap<Writer, Sequence>,
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

    /// Returns the configuration in force.
    pub fn config(&self) -> &Current {
        &self.config
    }

    /// Returns the keeper of a target.
    pub fn keeper(&self, target: &TargetId) -> Option<&Keeper> {
        self.keepers.get(target)
    }

    /// Returns all keepers.
    pub fn keepers(&self) -> impl Iterator<Item = (&TargetId, &Keeper)> {
        self.keepers.iter()
    }

    /// Returns the assignment of a slice.
    pub fn row(&self, service: &Service, slice: SliceId) -> Option<&Row> {
        self.slices.get(&(service.clone(), slice))
    }

    /// Returns all assignments.
    pub fn rows(&self) -> impl Iterator<Item = (&Service, SliceId, &Row)> {
        self.slices.iter().map(|((service, slice), row)| (service, *slice, row))
    }

    /// Returns the slice of a key, or `None` for a service without slices.
    pub fn slice(&self, service: &Service, key: &Key) -> Option<SliceId> {
        let entry = self.config.fleet.services.get(service)?;
        if !entry.keyed {
            return None;
        }
        let hash = xxh3_64_with_seed(key.as_str().as_bytes(), KEY_HASH_SEED);
        let slice = u32::try_from(hash % u64::from(entry.slices)).ok()?;
        Some(SliceId(slice))
    }

    /// Applies the record at an offset. A record before [`State::next`] is
    /// dropped.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Verdict {
        if offset < self.next {
            return Verdict::refuse(
                None,
                Error::new(Code::Duplicate, format!("offset {offset} was read before")),
            );
        }
        self.next = offset.next();
        match record::decode(bytes) {
            Ok(record) => self.apply_record(offset, record),
            Err(error) => Verdict::refuse(None, error),
        }
    }

    fn apply_record(&mut self, offset: Offset, record: Record) -> Verdict {
        let source = Some((record.writer.clone(), record.sequence));
        let last = self.writers.entry(record.writer.clone()).or_default();
        if record.sequence <= *last {
            let detail = format!("sequence {} after {last}", record.sequence);
            return Verdict::refuse(source, Error::new(Code::Duplicate, detail));
        }
        *last = record.sequence;
        let refused = match record.change {
            Change::Config(publish) => self.publish(offset, publish).err().into_iter().collect(),
            Change::Keeper(claim) => self.claim(offset, &record.writer, claim).err().into_iter().collect(),
            Change::Assign(assign) => self.assign(offset, &record.writer, &assign.service, assign.moves),
            Change::Carve(_) | Change::Intents(_) | Change::Chunk(_) => Vec::new(),
        };
        Verdict { source, refused }
    }

    fn publish(&mut self, offset: Offset, publish: Publish) -> Result<(), Error> {
        if publish.expects != self.config.revision {
            let detail =
                format!("expects revision {}, in force is {}", publish.expects, self.config.revision);
            return Err(Error::new(Code::ConfigConflict, detail));
        }
        let fleet = config::parse(&publish.text)?;
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

    fn assign(&mut self, offset: Offset, writer: &Writer, service: &Service, moves: Vec<Move>) -> Vec<Error> {
        let results = moves.into_iter().map(|change| self.assign_one(offset, writer, service, change));
        results.filter_map(Result::err).collect()
    }

    fn assign_one(
        &mut self,
        offset: Offset,
        writer: &Writer,
        service: &Service,
        change: Move,
    ) -> Result<(), Error> {
        let row = self.slices.get(&(service.clone(), change.slice));
        expect(change.expects, row.map(|r| r.version).unwrap_or_default())?;
        let previous = row.map(|r| (r.owner.clone(), r.fence));
        if let Some((owner, _)) = &previous {
            self.check_keeper(owner, writer)?;
        }
        let row = Row {
            owner: change.owner,
            standby: change.standby,
            version: change.expects.next(),
            fence: Fence::new(offset),
            previous,
        };
        self.slices.insert((service.clone(), change.slice), row);
        Ok(())
    }

    fn check_keeper(&self, owner: &TargetId, writer: &Writer) -> Result<(), Error> {
        let keeper = self.keepers.get(owner);
        if keeper.is_some_and(|k| k.vm == writer.id && k.boot == writer.boot) {
            return Ok(());
        }
        let detail = format!("process {} of {} is not the keeper of {owner}", writer.boot, writer.id);
        Err(Error::new(Code::NotKeeper, detail))
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
