//! Choice of the keepers of targets.

use {
    super::zone::{ListedTarget, listed_targets},
    crate::{
        api::VmList,
        fold::{KeeperRow, State},
        member::{Live, Members},
        record::Claim,
        types::{Span, TargetId, Time, Version, VmId, Zone},
    },
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Bound on the targets of one VM relative to the mean. A quarter above the
/// mean leaves enough capacity so that keepers outside the zone of their target
/// are available when one zone has failed.
const KEPT_RATIO_MAX: f64 = 1.25;
/// Time for which each VM waits for the one that ranks before it. It covers an
/// append and the read of the record.
const RANK_WAIT: Span = Span::from_millis(300);
/// Time after which a claim is repeated if its record was not read.
const CLAIM_RETRY: Span = Span::from_secs(1);
/// Time for which a keeper that is not listed still counts as live, because
/// the list may lag.
const UNLISTED_GRACE: Span = Span::from_secs(2);
/// Time between two scans for unlisted targets, which read all rows.
const UNLISTED_SCAN_PERIOD: Span = Span::from_secs(1);
/// Time for which a VM without contact to any peer appends no claim.
const ISOLATED_WAIT: Span = Span::from_secs(3);

/// Returns the most targets that one of `live` VMs should keep.
pub fn kept_max(targets: usize, live: usize) -> u32 {
    let mean = targets as f64 / live.max(1) as f64;
    (mean * KEPT_RATIO_MAX).ceil().max(1.0) as u32
}

/// Returns the hash by which a VM is ranked for a text; the lowest ranks first.
pub(super) fn rank_hash(text: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(text.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Chooses the keeper of a target: the first live VM by rendezvous hash that
/// is below `max` targets and outside the target's zone. A VM of the target's
/// zone or one that is leaving is chosen only if there is no other.
pub fn choose_keeper(
    target: &TargetId,
    zone: &Zone,
    live: &[Live],
    kept: &BTreeMap<VmId, u32>,
    max: u32,
) -> Option<VmId> {
    let ranked = live.iter().map(|vm| rank(target, Some(zone), None, vm, kept, max));
    ranked.min().map(|rank| rank.vm.clone())
}

/// Rank of a VM for a target; the least one is the best. The zone of an
/// unreachable keeper ranks late, because the rest of the zone may have failed
/// too.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    leaving: bool,
    target_zone: bool,
    full: bool,
    unreachable_zone: bool,
    hash: u64,
    vm: &'a VmId,
}

fn rank<'a>(
    target: &TargetId,
    zone: Option<&Zone>,
    unreachable: Option<&Zone>,
    live: &'a Live,
    kept: &BTreeMap<VmId, u32>,
    max: u32,
) -> Rank<'a> {
    Rank {
        leaving: live.leaving,
        target_zone: zone == Some(&live.zone),
        full: kept.get(&live.vm).is_some_and(|count| *count >= max),
        unreachable_zone: unreachable == Some(&live.zone),
        hash: rank_hash(target.as_str(), live.vm.as_str()),
        vm: &live.vm,
    }
}

/// Why a target needs another keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// No record names a keeper.
    NoKeeper,
    /// The keeper is leaving.
    Leaving,
    /// The keeper is unreachable.
    Unreachable,
    /// The keeper is not in the VM list.
    Unlisted,
}

/// Decides which targets one VM claims.
#[derive(Debug)]
pub struct Claims {
    vm: VmId,
    /// When a target was first seen to need another keeper.
    needed: BTreeMap<TargetId, (Version, Time)>,
    /// Claims of this process: the version that the claim results in, and when
    /// it was returned.
    claimed: BTreeMap<TargetId, (Version, Time)>,
    /// Targets that own slices but are not listed, as of `last_scan`.
    unlisted: BTreeSet<TargetId>,
    last_scan: Option<Time>,
}

impl Claims {
    /// Creates the state of a new process, which has claimed nothing.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            needed: BTreeMap::new(),
            claimed: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            last_scan: None,
        }
    }

    /// Returns the claims that this VM should append.
    ///
    /// The VM that ranks first claims at once; each further one waits a
    /// little longer, so that a target gets a keeper even if the first VMs
    /// have failed and this VM does not know it yet. A claim is not repeated
    /// before its record had time to appear.
    ///
    /// A call reads the whole list. Call it when the list, the fold or the
    /// table of VMs has changed, and otherwise every 500 ms.
    pub fn claims(&mut self, now: Time, state: &State, list: &VmList, members: &Members) -> Vec<Claim> {
        let mut targets = listed_targets(list);
        self.find_unlisted(now, state, &targets);
        targets.extend(self.unlisted.iter().map(|id| (id.clone(), ListedTarget::unlisted(id))));
        self.prune(&targets);
        if !members.is_listed(&self.vm) || members.is_leaving(&self.vm) {
            return Vec::new();
        }
        if members.isolated_since().is_some_and(|since| now.since(since) < ISOLATED_WAIT) {
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

    /// A target that was removed from the list still needs a keeper while it
    /// owns slices: only its keeper may move them.
    fn find_unlisted(&mut self, now: Time, state: &State, targets: &BTreeMap<TargetId, ListedTarget>) {
        if self.last_scan.is_some_and(|at| now.since(at) < UNLISTED_SCAN_PERIOD) {
            return;
        }
        self.last_scan = Some(now);
        let unlisted: BTreeSet<&TargetId> =
            state.keepers().map(|(target, _)| target).filter(|t| !targets.contains_key(*t)).collect();
        self.unlisted.clear();
        if unlisted.is_empty() {
            return;
        }
        let owners = state.rows().map(|(.., row)| &row.owner).filter(|owner| unlisted.contains(owner));
        self.unlisted.extend(owners.cloned());
    }

    fn prune(&mut self, targets: &BTreeMap<TargetId, ListedTarget>) {
        self.needed.retain(|target, _| targets.contains_key(target));
        self.claimed.retain(|target, _| targets.contains_key(target));
    }

    #[allow(clippy::too_many_arguments)]
    fn claim(
        &mut self,
        now: Time,
        state: &State,
        members: &Members,
        target: &ListedTarget,
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
        let since = self.needed_since(now, members, &target.id, logged, need)?;
        let ranking = rank_candidates(target, logged, need, members, live, kept, max);
        let first = ranking.first()?;
        *kept.entry(first.clone()).or_default() += 1;
        let position = ranking.iter().position(|vm| *vm == self.vm)?;
        let wait = Span::from_micros(RANK_WAIT.as_micros() * position as u64);
        let repeated = self
            .claimed
            .get(&target.id)
            .is_some_and(|(version, at)| *version == expects.next() && now.since(*at) < CLAIM_RETRY);
        if repeated || now.since(since) < wait {
            return None;
        }
        self.claimed.insert(target.id.clone(), (expects.next(), now));
        Some(Claim { target: target.id.clone(), expects, keeper: self.vm.clone() })
    }

    fn need(&self, members: &Members, logged: Option<&KeeperRow>) -> Option<Need> {
        match logged {
            None => Some(Need::NoKeeper),
            // A new incarnation of the named VM claims its targets again in
            // `lease::Keeper`.
            Some(keeper) if keeper.vm == self.vm => None,
            Some(keeper) if members.unreachable_since(&keeper.vm).is_some() => Some(Need::Unreachable),
            Some(keeper) if members.is_leaving(&keeper.vm) => Some(Need::Leaving),
            Some(keeper) if members.is_listed(&keeper.vm) => None,
            Some(_) => Some(Need::Unlisted),
        }
    }

    /// Returns since when a target is known to need another keeper, or `None`
    /// if an unlisted keeper may still be live.
    fn needed_since(
        &mut self,
        now: Time,
        members: &Members,
        target: &TargetId,
        logged: Option<&KeeperRow>,
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
        let last_seen = logged.and_then(|k| members.last_seen(&k.vm)).unwrap_or_default();
        let certain = since.max(last_seen).after(UNLISTED_GRACE);
        (now >= certain).then_some(certain)
    }
}

fn rank_candidates(
    target: &ListedTarget,
    logged: Option<&KeeperRow>,
    need: Need,
    members: &Members,
    live: &[Live],
    kept: &BTreeMap<VmId, u32>,
    max: u32,
) -> Vec<VmId> {
    let unreachable = logged.filter(|_| need == Need::Unreachable).and_then(|k| members.zone(&k.vm));
    let usable = live.iter().filter(|vm| logged.is_none_or(|k| k.vm != vm.vm));
    let mut ranks: Vec<Rank<'_>> =
        usable.map(|vm| rank(&target.id, target.zone.as_ref(), unreachable, vm, kept, max)).collect();
    ranks.sort();
    ranks.into_iter().map(|rank| rank.vm.clone()).collect()
}

fn kept_counts(state: &State, targets: &BTreeMap<TargetId, ListedTarget>) -> BTreeMap<VmId, u32> {
    let mut kept = BTreeMap::new();
    for (target, keeper) in state.keepers() {
        if targets.contains_key(target) {
            *kept.entry(keeper.vm.clone()).or_default() += 1;
        }
    }
    kept
}

/// Returns the VMs that a VM should watch in a large fleet: the keepers of
/// the targets for which it ranks first if the keeper leaves or fails.
pub fn watch_set(vm: &VmId, state: &State, list: &VmList, members: &Members) -> BTreeSet<VmId> {
    let targets = listed_targets(list);
    let live: Vec<Live> = members.live().collect();
    let max = kept_max(targets.len(), live.len());
    let kept = kept_counts(state, &targets);
    // `all` stops at the first VM that ranks before this one, usually after a few.
    let is_first = |target: &ListedTarget, keeper: &VmId, unreachable: Option<&Zone>| {
        let rank_of = |live| rank(&target.id, target.zone.as_ref(), unreachable, live, &kept, max);
        let own = live.iter().find(|live| live.vm == *vm).map(rank_of);
        let mut others = live.iter().filter(|other| other.vm != *vm && other.vm != *keeper);
        own.is_some_and(|own| others.all(|other| own < rank_of(other)))
    };
    let takes_over_from = |target: &ListedTarget| {
        let keeper = &state.keeper(&target.id).filter(|keeper| keeper.vm != *vm)?.vm;
        let zone = members.zone(keeper);
        (is_first(target, keeper, zone) || is_first(target, keeper, None)).then(|| keeper.clone())
    };
    targets.values().filter_map(takes_over_from).collect()
}
