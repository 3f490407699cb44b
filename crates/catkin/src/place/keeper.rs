//! Choice of the lease keeper of a target.

use {
    super::zone::{Server, servers},
    crate::{
        api::VmList,
        fold::{Keeper, State},
        member::{Live, Members},
        record::Claim,
        types::{Span, TargetId, Time, Version, VmId, Zone},
    },
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Targets of one VM relative to the mean. A quarter above it leaves enough
/// room for the zone rule when one zone is lost.
const KEPT_SLACK: f64 = 1.25;
/// Time that each VM waits for the one that ranks before it. It covers an
/// append and the read of the record.
const RANK_WAIT: Span = Span::from_millis(300);
/// Time after which a claim whose record was not read is repeated.
const CLAIM_AGAIN: Span = Span::from_secs(1);
/// Time for which a keeper that is not listed is still taken for live,
/// because the list may lag.
const UNLISTED_WAIT: Span = Span::from_secs(2);
/// Time between two searches for unlisted targets, which read all rows.
const SEEK_AFTER: Span = Span::from_secs(1);
/// Time for which a VM that hears no watched peer appends no claim.
const ALONE_WAIT: Span = Span::from_secs(3);

/// Returns the bound on the targets that one VM keeps.
pub fn kept_max(targets: usize, live: usize) -> u32 {
    let mean = targets as f64 / live.max(1) as f64;
    (mean * KEPT_SLACK).ceil().max(1.0) as u32
}

/// Returns the hash by which a VM is ranked for a text, lower is better.
pub(super) fn rank_hash(text: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(text.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Chooses the keeper of a target: the first live VM by rendezvous hash that
/// is below `max` targets and outside the target's zone. A VM of the target's
/// zone or one that is leaving is chosen only if there is no other.
pub fn keeper(
    target: &TargetId,
    zone: &Zone,
    live: &[Live],
    kept: &BTreeMap<VmId, u32>,
    max: u32,
) -> Option<VmId> {
    let ranked = live.iter().map(|vm| rank(target, Some(zone), None, vm, kept, max));
    ranked.min().map(|rank| rank.vm.clone())
}

/// Rank of a VM for a target; the least one is the best. A lost keeper's own
/// zone comes late, because the rest of it may be lost too.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    leaving: bool,
    target_zone: bool,
    full: bool,
    lost_zone: bool,
    hash: u64,
    vm: &'a VmId,
}

fn rank<'a>(
    target: &TargetId,
    zone: Option<&Zone>,
    lost: Option<&Zone>,
    live: &'a Live,
    kept: &BTreeMap<VmId, u32>,
    max: u32,
) -> Rank<'a> {
    Rank {
        leaving: live.leaving,
        target_zone: zone == Some(&live.zone),
        full: kept.get(&live.vm).is_some_and(|count| *count >= max),
        lost_zone: lost == Some(&live.zone),
        hash: rank_hash(target.as_str(), live.vm.as_str()),
        vm: &live.vm,
    }
}

/// Why a target needs another keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// No record names one.
    Missing,
    /// It is leaving.
    Leaving,
    /// It is lost.
    Lost,
    /// The list does not have it.
    Unlisted,
}

/// Claims of one VM, with what it must remember between two calls.
#[derive(Debug)]
pub struct Claims {
    vm: VmId,
    /// When a target was first seen to need another keeper.
    needed: BTreeMap<TargetId, (Version, Time)>,
    /// Claims of this process: version that the claim makes, and its time.
    claimed: BTreeMap<TargetId, (Version, Time)>,
    /// Targets that own slices but are not listed, and when they were sought.
    unlisted: BTreeSet<TargetId>,
    sought: Option<Time>,
}

impl Claims {
    /// Makes the memory of a new process.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            needed: BTreeMap::new(),
            claimed: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            sought: None,
        }
    }

    /// Returns the claims that this VM should append now.
    ///
    /// The VM that ranks first claims at once; each further one waits a
    /// little longer, so that a target finds a keeper even if the first VMs
    /// are lost without this VM's knowledge. A claim is not repeated before
    /// its record had time to appear.
    ///
    /// A call reads the whole list. It is due when the list, the fold or the
    /// table of VMs has changed, and otherwise every 500 ms.
    pub fn claims(&mut self, now: Time, state: &State, list: &VmList, members: &Members) -> Vec<Claim> {
        let mut targets = servers(list);
        self.seek_unlisted(now, state, &targets);
        targets.extend(self.unlisted.iter().map(|id| (id.clone(), Server::unlisted(id))));
        self.forget(&targets);
        if !members.is_listed(&self.vm) || members.is_leaving(&self.vm) {
            return Vec::new();
        }
        if members.alone_since().is_some_and(|since| now.since(since) < ALONE_WAIT) {
            return Vec::new();
        }
        let live: Vec<Live> = members.live().collect();
        let max = kept_max(targets.len(), live.iter().filter(|vm| !vm.leaving).count());
        let mut kept = kept_counts(state, &targets);
        let mut claims = Vec::new();
        for target in targets.values() {
            claims.extend(self.claim(now, state, members, target, &live, &mut kept, max));
        }
        claims
    }

    /// A target that is gone from the list still needs a keeper while it owns
    /// slices: only its keeper may move them.
    fn seek_unlisted(&mut self, now: Time, state: &State, targets: &BTreeMap<TargetId, Server>) {
        if self.sought.is_some_and(|at| now.since(at) < SEEK_AFTER) {
            return;
        }
        self.sought = Some(now);
        let unlisted: BTreeSet<&TargetId> =
            state.keepers().map(|(target, _)| target).filter(|t| !targets.contains_key(*t)).collect();
        self.unlisted.clear();
        if unlisted.is_empty() {
            return;
        }
        let owners = state.rows().map(|(.., row)| &row.owner).filter(|owner| unlisted.contains(owner));
        self.unlisted.extend(owners.cloned());
    }

    fn forget(&mut self, targets: &BTreeMap<TargetId, Server>) {
        self.needed.retain(|target, _| targets.contains_key(target));
        self.claimed.retain(|target, _| targets.contains_key(target));
    }

    #[allow(clippy::too_many_arguments)]
    fn claim(
        &mut self,
        now: Time,
        state: &State,
        members: &Members,
        target: &Server,
        live: &[Live],
        kept: &mut BTreeMap<VmId, u32>,
        max: u32,
    ) -> Option<Claim> {
        let logged = state.keeper(&target.id);
        let expects = logged.map(|k| k.version).unwrap_or_default();
        let Some(need) = self.need(members, logged) else {
            self.needed.remove(&target.id);
            return None;
        };
        let since = self.since(now, members, &target.id, logged, need)?;
        let order = order(target, logged, need, members, live, kept, max);
        let first = order.first()?;
        *kept.entry(first.clone()).or_default() += 1;
        let place = order.iter().position(|vm| *vm == self.vm)?;
        let wait = Span::from_micros(RANK_WAIT.as_micros() * place as u64);
        let repeated = self
            .claimed
            .get(&target.id)
            .is_some_and(|(version, at)| *version == expects.next() && now.since(*at) < CLAIM_AGAIN);
        if repeated || now.since(since) < wait {
            return None;
        }
        self.claimed.insert(target.id.clone(), (expects.next(), now));
        Some(Claim { target: target.id.clone(), expects, keeper: self.vm.clone() })
    }

    fn need(&self, members: &Members, logged: Option<&Keeper>) -> Option<Need> {
        match logged {
            None => Some(Need::Missing),
            // A new process of the VM that is named claims its targets again
            // in `lease::Keeper`.
            Some(keeper) if keeper.vm == self.vm => None,
            Some(keeper) if members.lost_since(&keeper.vm).is_some() => Some(Need::Lost),
            Some(keeper) if members.is_leaving(&keeper.vm) => Some(Need::Leaving),
            Some(keeper) if members.is_listed(&keeper.vm) => None,
            Some(_) => Some(Need::Unlisted),
        }
    }

    /// Returns since when a target certainly needs another keeper.
    fn since(
        &mut self,
        now: Time,
        members: &Members,
        target: &TargetId,
        logged: Option<&Keeper>,
        need: Need,
    ) -> Option<Time> {
        let version = logged.map(|k| k.version).unwrap_or_default();
        let entry = self.needed.entry(target.clone()).or_insert((version, now));
        if entry.0 != version {
            *entry = (version, now);
        }
        let since = entry.1;
        if need != Need::Unlisted {
            return Some(since);
        }
        let heard = logged.and_then(|k| members.heard(&k.vm)).unwrap_or_default();
        let sure = since.max(heard).after(UNLISTED_WAIT);
        (now >= sure).then_some(sure)
    }
}

fn order(
    target: &Server,
    logged: Option<&Keeper>,
    need: Need,
    members: &Members,
    live: &[Live],
    kept: &BTreeMap<VmId, u32>,
    max: u32,
) -> Vec<VmId> {
    let lost = logged.filter(|_| need == Need::Lost).and_then(|k| members.zone(&k.vm));
    let usable = live.iter().filter(|vm| logged.is_none_or(|k| k.vm != vm.vm));
    let mut ranks: Vec<Rank<'_>> =
        usable.map(|vm| rank(&target.id, target.zone.as_ref(), lost, vm, kept, max)).collect();
    ranks.sort();
    ranks.into_iter().map(|rank| rank.vm.clone()).collect()
}

fn kept_counts(state: &State, targets: &BTreeMap<TargetId, Server>) -> BTreeMap<VmId, u32> {
    let mut kept = BTreeMap::new();
    for (target, keeper) in state.keepers() {
        if targets.contains_key(target) {
            *kept.entry(keeper.vm.clone()).or_default() += 1;
        }
    }
    kept
}

/// Returns the VMs that a VM should watch in a large fleet: the keepers of
/// the targets for which it ranks first should the keeper leave or be lost.
pub fn watched(vm: &VmId, state: &State, list: &VmList, members: &Members) -> BTreeSet<VmId> {
    let targets = servers(list);
    let live: Vec<Live> = members.live().collect();
    let max = kept_max(targets.len(), live.len());
    let kept = kept_counts(state, &targets);
    // Most targets are settled by the first few VMs, because one of them ranks
    // before this one.
    let is_first = |target: &Server, keeper: &VmId, lost: Option<&Zone>| {
        let rank_of = |live| rank(&target.id, target.zone.as_ref(), lost, live, &kept, max);
        let own = live.iter().find(|live| live.vm == *vm).map(rank_of);
        let mut others = live.iter().filter(|other| other.vm != *vm && other.vm != *keeper);
        own.is_some_and(|own| others.all(|other| own < rank_of(other)))
    };
    let follows = |target: &Server| {
        let keeper = &state.keeper(&target.id).filter(|keeper| keeper.vm != *vm)?.vm;
        let zone = members.zone(keeper);
        (is_first(target, keeper, zone) || is_first(target, keeper, None)).then(|| keeper.clone())
    };
    targets.values().filter_map(follows).collect()
}
