//! Assignment of first owners to slices.

use {
    super::{
        keeper::rank_hash,
        zone::{ListedTarget, ZoneFit, listed_targets, zone_fit},
    },
    crate::{
        api::VmList,
        fold::State,
        member::Members,
        record::{Assign, Move},
        types::{Service, SliceId, Span, TargetId, Time, Version, VmId, Zone},
    },
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Maximum number of moves in one record. The largest ids need 292 bytes for a
/// move, so that 800 of them stay below [`crate::record::RECORD_BYTES_MAX`].
pub(super) const MOVES_MAX: usize = 800;

/// Time after which a proposal is repeated if its records were not read.
const ASSIGN_RETRY: Span = Span::from_secs(3);
/// Time for which a proposal waits for targets without a keeper.
const KEEPERS_WAIT: Span = Span::from_secs(3);

/// Proposes the first owners of slices for one VM.
#[derive(Debug)]
pub struct Assigner {
    vm: VmId,
    /// Since when each service has slices without an owner.
    unowned_since: BTreeMap<Service, Time>,
    /// When this VM last made a proposal for each service.
    proposed_at: BTreeMap<Service, Time>,
}

/// A target that may get slices, with its zones and what it has so far.
pub(super) struct Candidate<'a> {
    pub(super) target: &'a ListedTarget,
    /// Zone of the keeper.
    pub(super) keeper: Option<Zone>,
    pub(super) hash: u64,
    /// Slices that it owns.
    pub(super) owned: usize,
    /// Slices of which it is the standby.
    pub(super) standby_count: usize,
}

impl Assigner {
    /// Creates the state of a new process, which has proposed nothing.
    pub fn new(vm: VmId) -> Self {
        Self { vm, unowned_since: BTreeMap::new(), proposed_at: BTreeMap::new() }
    }

    /// Returns the assignments of slices without an owner that this VM should
    /// append. Only the VM that ranks first among the live ones for a service
    /// proposes; if two do, the expected versions decide.
    pub fn assign(&mut self, now: Time, state: &State, list: &VmList, members: &Members) -> Vec<Assign> {
        let targets = listed_targets(list);
        let fleet = state.config().fleet.clone();
        let mut assigns = Vec::new();
        for (service, entry) in fleet.services.iter().filter(|(_, entry)| entry.keyed) {
            let unowned: Vec<SliceId> =
                (0..entry.slices).map(SliceId).filter(|s| state.row(service, *s).is_none()).collect();
            if unowned.is_empty() {
                self.unowned_since.remove(service);
                self.proposed_at.remove(service);
                continue;
            }
            if self.is_due(now, service, state, &targets, members) {
                assigns.extend(first_owners(state, service, &unowned, &targets, members));
            }
        }
        assigns
    }

    fn is_due(
        &mut self,
        now: Time,
        service: &Service,
        state: &State,
        targets: &BTreeMap<TargetId, ListedTarget>,
        members: &Members,
    ) -> bool {
        let since = *self.unowned_since.entry(service.clone()).or_insert(now);
        let first = members
            .live()
            .filter(|live| !live.leaving)
            .min_by_key(|live| rank_hash(service.as_str(), live.vm.as_str()));
        if first.is_none_or(|live| live.vm != self.vm) {
            return false;
        }
        let mut own = targets.values().filter(|t| t.service.as_ref() == Some(service) && !t.leaving);
        if own.any(|t| state.keeper(&t.id).is_none()) && now.since(since) < KEEPERS_WAIT {
            return false;
        }
        if self.proposed_at.get(service).is_some_and(|at| now.since(*at) < ASSIGN_RETRY) {
            return false;
        }
        self.proposed_at.insert(service.clone(), now);
        true
    }
}

/// Returns the targets of a service that accept slices. Their counts are 0.
pub(super) fn candidates<'a>(
    state: &State,
    service: &Service,
    targets: &'a BTreeMap<TargetId, ListedTarget>,
    members: &Members,
) -> Vec<Candidate<'a>> {
    let usable = targets.values().filter(|t| t.service.as_ref() == Some(service) && !t.leaving);
    let candidate = |target: &'a ListedTarget| Candidate {
        target,
        keeper: state.keeper(&target.id).and_then(|k| members.zone(&k.vm)).cloned(),
        hash: xxh3_64_with_seed(target.id.as_str().as_bytes(), 0),
        owned: 0,
        standby_count: 0,
    };
    usable.filter(|t| state.keeper(&t.id).is_some()).map(candidate).collect()
}

/// Returns the hash of a slice for a target, from the hash of the target, so
/// that ids are hashed once.
pub(super) fn slice_hash(slice: SliceId, target: u64) -> u64 {
    xxh3_64_with_seed(&slice.0.to_le_bytes(), target)
}

fn first_owners(
    state: &State,
    service: &Service,
    unowned: &[SliceId],
    targets: &BTreeMap<TargetId, ListedTarget>,
    members: &Members,
) -> Vec<Assign> {
    let mut candidates = candidates(state, service, targets, members);
    if candidates.is_empty() {
        return Vec::new();
    }
    for (_, _, row) in state.rows().filter(|(name, ..)| *name == service) {
        for candidate in &mut candidates {
            candidate.owned += usize::from(candidate.target.id == row.owner);
            candidate.standby_count += usize::from(row.standby.as_ref() == Some(&candidate.target.id));
        }
    }
    let total = unowned.len() + candidates.iter().map(|s| s.owned).sum::<usize>();
    let max = total.div_ceil(candidates.len());
    let mut shuffled = unowned.to_vec();
    shuffled.sort_by_cached_key(|slice| slice_hash(*slice, 0));
    let standbys: Vec<Vec<usize>> =
        (0..candidates.len()).map(|owner| best_standbys(&candidates, owner)).collect();
    let mut counts = vec![0; candidates.len()];
    let mut moves = Vec::with_capacity(shuffled.len());
    let mut next = 0;
    for slice in shuffled {
        while candidates[next].owned >= max {
            next = (next + 1) % candidates.len();
        }
        let (owner, count) = (next, counts[next]);
        candidates[owner].owned += 1;
        counts[owner] += 1;
        next = (next + 1) % candidates.len();
        let suitable = &standbys[owner];
        let standby = suitable.get((owner + count) % suitable.len().max(1));
        moves.push(Move {
            slice,
            expects: Version::default(),
            owner: candidates[owner].target.id.clone(),
            standby: standby.map(|at| candidates[*at].target.id.clone()),
            provisional: None,
        });
    }
    let records = moves.chunks(MOVES_MAX);
    records.map(|chunk| Assign { service: service.clone(), moves: chunk.to_vec() }).collect()
}

/// Returns the candidates for the standby of an owner: those in a third zone
/// or, if there are none, all outside the zone of the owner.
fn best_standbys(candidates: &[Candidate<'_>], owner: usize) -> Vec<usize> {
    let own = &candidates[owner];
    let fit = |at: &usize| {
        zone_fit(candidates[*at].target.zone.as_ref(), own.target.zone.as_ref(), own.keeper.as_ref())
    };
    let best = (0..candidates.len()).map(|at| fit(&at)).min().filter(|best| *best != ZoneFit::OwnerZone);
    (0..candidates.len()).filter(|at| Some(fit(at)) == best).collect()
}

/// Picks the standby of a slice: in a third zone if possible, never in the
/// zone of the owner, and among those the one that is standby of the fewest
/// slices.
pub(super) fn pick_standby(candidates: &[Candidate<'_>], slice: SliceId, owner: usize) -> Option<usize> {
    let own = &candidates[owner];
    let ranked = (0..candidates.len()).filter(|at| *at != owner).map(|at| {
        let candidate = &candidates[at];
        let fit = zone_fit(candidate.target.zone.as_ref(), own.target.zone.as_ref(), own.keeper.as_ref());
        (fit, candidate.standby_count, slice_hash(slice, candidate.hash), at)
    });
    ranked.filter(|(fit, ..)| *fit != ZoneFit::OwnerZone).min().map(|(.., at)| at)
}
