//! First owners of slices.

use {
    super::{
        keeper::rank_hash,
        zone::{Fit, Server, fit, servers},
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

/// Moves of one record. The largest ids need 292 bytes for a move, so that
/// 800 of them stay below [`crate::record::RECORD_BYTES_MAX`].
pub(super) const MOVES_MAX: usize = 800;

/// Time after which a proposal whose records were not read is repeated.
const ASSIGN_AGAIN: Span = Span::from_secs(3);
/// Time for which the proposal waits for targets without a keeper.
const KEEPERS_WAIT: Span = Span::from_secs(3);

/// Proposes the first owners of slices.
#[derive(Debug)]
pub struct Assigner {
    vm: VmId,
    unowned: BTreeMap<Service, Time>,
    proposed: BTreeMap<Service, Time>,
}

/// A target with its zones and the slices that it has so far.
pub(super) struct Seat<'a> {
    pub(super) server: &'a Server,
    pub(super) keeper: Option<Zone>,
    pub(super) hash: u64,
    pub(super) owned: usize,
    pub(super) stands: usize,
}

impl Assigner {
    /// Makes the memory of a new process.
    pub fn new(vm: VmId) -> Self {
        Self { vm, unowned: BTreeMap::new(), proposed: BTreeMap::new() }
    }

    /// Returns the assignments of slices without owner that this VM should
    /// append now. Only the VM that ranks first among the live ones for a
    /// service proposes; if two do, the expected versions decide.
    pub fn assign(&mut self, now: Time, state: &State, list: &VmList, members: &Members) -> Vec<Assign> {
        let targets = servers(list);
        let fleet = state.config().fleet.clone();
        let mut assigns = Vec::new();
        for (service, entry) in fleet.services.iter().filter(|(_, entry)| entry.keyed) {
            let free: Vec<SliceId> =
                (0..entry.slices).map(SliceId).filter(|s| state.row(service, *s).is_none()).collect();
            if free.is_empty() {
                self.unowned.remove(service);
                self.proposed.remove(service);
                continue;
            }
            if self.is_due(now, service, state, &targets, members) {
                assigns.extend(first_owners(state, service, &free, &targets, members));
            }
        }
        assigns
    }

    fn is_due(
        &mut self,
        now: Time,
        service: &Service,
        state: &State,
        targets: &BTreeMap<TargetId, Server>,
        members: &Members,
    ) -> bool {
        let since = *self.unowned.entry(service.clone()).or_insert(now);
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
        if self.proposed.get(service).is_some_and(|at| now.since(*at) < ASSIGN_AGAIN) {
            return false;
        }
        self.proposed.insert(service.clone(), now);
        true
    }
}

/// Returns the targets of a service that take slices, with what they have.
pub(super) fn seats<'a>(
    state: &State,
    service: &Service,
    targets: &'a BTreeMap<TargetId, Server>,
    members: &Members,
) -> Vec<Seat<'a>> {
    let usable = targets.values().filter(|t| t.service.as_ref() == Some(service) && !t.leaving);
    let seat = |server: &'a Server| Seat {
        server,
        keeper: state.keeper(&server.id).and_then(|k| members.zone(&k.vm)).cloned(),
        hash: xxh3_64_with_seed(server.id.as_str().as_bytes(), 0),
        owned: 0,
        stands: 0,
    };
    usable.filter(|t| state.keeper(&t.id).is_some()).map(seat).collect()
}

/// Orders a target for a slice, from two hashes that are made once.
pub(super) fn slice_hash(slice: SliceId, target: u64) -> u64 {
    xxh3_64_with_seed(&slice.0.to_le_bytes(), target)
}

fn first_owners(
    state: &State,
    service: &Service,
    free: &[SliceId],
    targets: &BTreeMap<TargetId, Server>,
    members: &Members,
) -> Vec<Assign> {
    let mut seats = seats(state, service, targets, members);
    if seats.is_empty() {
        return Vec::new();
    }
    for (_, _, row) in state.rows().filter(|(name, ..)| *name == service) {
        for seat in &mut seats {
            seat.owned += usize::from(seat.server.id == row.owner);
            seat.stands += usize::from(row.standby.as_ref() == Some(&seat.server.id));
        }
    }
    let total = free.len() + seats.iter().map(|s| s.owned).sum::<usize>();
    let max = total.div_ceil(seats.len());
    let mut order = free.to_vec();
    order.sort_by_cached_key(|slice| slice_hash(*slice, 0));
    let standbys: Vec<Vec<usize>> = (0..seats.len()).map(|owner| best_standbys(&seats, owner)).collect();
    let mut turns = vec![0; seats.len()];
    let mut moves = Vec::with_capacity(order.len());
    let mut next = 0;
    for slice in order {
        while seats[next].owned >= max {
            next = (next + 1) % seats.len();
        }
        let (owner, turn) = (next, turns[next]);
        seats[owner].owned += 1;
        turns[owner] += 1;
        next = (next + 1) % seats.len();
        let usable = &standbys[owner];
        let standby = usable.get((owner + turn) % usable.len().max(1));
        moves.push(Move {
            slice,
            expects: Version::default(),
            owner: seats[owner].server.id.clone(),
            standby: standby.map(|at| seats[*at].server.id.clone()),
            provisional: None,
        });
    }
    let records = moves.chunks(MOVES_MAX);
    records.map(|part| Assign { service: service.clone(), moves: part.to_vec() }).collect()
}

/// Returns the standbys in a third zone or, if there are none, all that are
/// not in the zone of the owner.
fn best_standbys(seats: &[Seat<'_>], owner: usize) -> Vec<usize> {
    let own = &seats[owner];
    let fit =
        |at: &usize| fit(seats[*at].server.zone.as_ref(), own.server.zone.as_ref(), own.keeper.as_ref());
    let best = (0..seats.len()).map(|at| fit(&at)).min().filter(|best| *best != Fit::OwnerZone);
    (0..seats.len()).filter(|at| Some(fit(at)) == best).collect()
}

/// Picks the standby of a slice: in a third zone if there is one, never in
/// the zone of the owner, and among those the one with the fewest.
pub(super) fn pick_standby(seats: &[Seat<'_>], slice: SliceId, owner: usize) -> Option<usize> {
    let own = &seats[owner];
    let ranked = (0..seats.len()).filter(|at| *at != owner).map(|at| {
        let seat = &seats[at];
        let fit = fit(seat.server.zone.as_ref(), own.server.zone.as_ref(), own.keeper.as_ref());
        (fit, seat.stands, slice_hash(slice, seat.hash), at)
    });
    ranked.filter(|(fit, ..)| *fit != Fit::OwnerZone).min().map(|(.., at)| at)
}
