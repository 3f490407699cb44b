//! Membership of the entry VMs with failure detection.
//!
//! Every VM probes a bounded set of peers directly and, if no answer arrives,
//! through relays, as in SWIM. VMs do not exchange the failures that they detect.
//! A VM that replaces an unreachable keeper writes a record, and all other VMs
//! read it from the log. Only the VMs that would write that record have to watch
//! the keeper, so the cost per node does not depend on the size of the fleet.
//!
//! ```
//! use catkin::{
//!     api::VmList,
//!     member::Members,
//!     types::{Time, VmId, Zone},
//! };
//!
//! let mut members = Members::new(VmId::new("gw-1")?, 1, Zone::new("a")?);
//! members.sync(&VmList::default());
//! assert!(members.tick(Time::from_micros(0)).is_empty());
//! # Ok::<(), catkin::Error>(())
//! ```

use {
    crate::{
        api::{Role, VmList, VmState},
        types::{Span, Time, VmId, Zone},
        wire::{Datagram, DatagramBody},
    },
    derive_more::Display,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        mem,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time between two calls of [`Members::tick`].
pub const TICK_INTERVAL: Span = Span::from_millis(25);
/// Time without contact after which a peer is probed.
pub const PROBE_AFTER: Span = Span::from_millis(200);
/// Maximum number of peers that one VM watches. In fleets of up to 11 VMs all
/// watch each other.
pub const WATCHED_MAX: usize = 10;

/// Additional time before the VM with the higher id probes, so that of two VMs
/// that watch each other only one probes.
const PROBE_SLACK: Span = Span::from_millis(50);
/// Time-out of a direct answer. Zones of a region are about 1 ms apart.
const ACK_TIMEOUT: Span = Span::from_millis(50);
/// Time-out of an answer through relays.
const RELAY_TIMEOUT: Span = Span::from_millis(50);
/// Time for which a peer is suspected before it counts as unreachable. Two rounds of
/// probes fit in, which keeps false detections rare if one datagram in ten is
/// dropped.
const SUSPICION_TIMEOUT: Span = Span::from_millis(200);
/// Credit that one probe costs. It bounds the probes of a node at 20 per second,
/// which is what a fleet of 9 VMs needs. A VM that watches more peers probes each
/// of them less often.
const PROBE_COST: Span = Span::from_millis(50);
/// Largest credit that can accumulate for probes.
const PROBE_CREDIT_MAX: Span = Span::from_millis(200);
/// Time between two probes of an unreachable peer.
const UNREACHABLE_PROBE_INTERVAL: Span = Span::from_secs(1);
/// Time without contact to any peer after which this VM counts as isolated. It is
/// shorter than the time after which the first peer counts as unreachable.
const ISOLATED_AFTER: Span = Span::from_millis(300);
/// Minimum time between two ticks that counts as a pause of this process.
const PAUSE_MIN: Span = Span::from_millis(300);
/// Time for which an unlisted peer stays in the table after its last datagram.
const UNLISTED_RETENTION: Span = Span::from_secs(5);

/// Maximum number of unlisted senders in the table. Datagrams of further ones are
/// dropped.
const UNLISTED_MAX: usize = 64;
const RELAYS: usize = 3;
/// Maximum number of relays in a probe of a suspected peer. In a small fleet
/// these are all other VMs, so that a single relay that reaches the peer is
/// enough.
const RELAYS_WHEN_SUSPECTED: usize = 10;
const RELAYS_WHEN_UNREACHABLE: usize = 1;
/// Maximum number of probes in flight for other VMs. If there are more, the
/// oldest is dropped.
const FORWARDED_MAX: usize = 64;
/// Maximum number of peers in the rounds of probes: the watched ones and others
/// that are suspected or unreachable.
const CHECKED_MAX: usize = 2 * WATCHED_MAX;
const RING_NEIGHBOURS: usize = 2;

/// Change of the table, for logs and events.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{vm} {event}")]
pub struct MemberChange {
    /// VM that changed.
    pub vm: VmId,
    /// Kind of the change.
    pub event: Event,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Event {
    /// The VM was added to the list.
    #[display("was listed")]
    Listed,
    /// The VM was removed from the list.
    #[display("is no longer listed")]
    Unlisted,
    /// The VM is about to leave.
    #[display("is leaving")]
    Leaving,
    /// Neither the VM nor a relay answered a probe of it.
    #[display("is suspected")]
    Suspected,
    /// The VM did not answer for the whole suspicion time.
    #[display("is lost")]
    Unreachable,
    /// The VM answered after it had been suspected or unreachable.
    #[display("is reachable again")]
    Recovered,
    /// A new incarnation of the VM sent a datagram.
    #[display("was restarted")]
    Restarted,
}

/// Listed VM that is not unreachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// Id of the VM.
    pub vm: VmId,
    /// Zone of the VM.
    pub zone: Zone,
    /// Whether the VM is about to leave.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Reachable,
    Suspected { since: Time },
    Unreachable { since: Time },
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    sent: Time,
    relayed: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    zone: Option<Zone>,
    listed: bool,
    boot: u64,
    health: Health,
    leaving_listed: bool,
    leaving_announced: bool,
    last_seen: Option<Time>,
    /// Start of the present time without contact: the last contact, the start of
    /// watching or the end of a pause of this process.
    silent_since: Option<Time>,
    probe: Option<Probe>,
    /// Number of the last probe that was sent before the last contact. An answer
    /// through a relay counts for any later probe, even if another one was sent
    /// since.
    answered_up_to: u64,
    /// Relay through which the peer answered last. It is preferred for the next
    /// probe.
    relay: Option<VmId>,
}

impl Peer {
    fn new() -> Self {
        Self {
            zone: None,
            listed: false,
            boot: 0,
            health: Health::Reachable,
            leaving_listed: false,
            leaving_announced: false,
            last_seen: None,
            silent_since: None,
            probe: None,
            answered_up_to: 0,
            relay: None,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving_listed || self.leaving_announced
    }

    fn is_unreachable(&self) -> bool {
        matches!(self.health, Health::Unreachable { .. })
    }
}

/// Probe that this VM sends on behalf of another VM.
#[derive(Debug)]
struct ForwardedProbe {
    number: u64,
    origin: VmId,
    origin_number: u64,
    to: VmId,
}

/// Membership table of one VM.
#[derive(Debug)]
pub struct Members {
    vm: VmId,
    boot: u64,
    zone: Zone,
    listed: bool,
    leaving: bool,
    leaving_listed: bool,
    peers: BTreeMap<VmId, Peer>,
    requested_watch_set: Option<BTreeSet<VmId>>,
    watched: BTreeSet<VmId>,
    /// Suspected and unreachable peers.
    unhealthy: BTreeSet<VmId>,
    /// Peers in the table that are not on the list.
    unlisted: BTreeSet<VmId>,
    forwarded: VecDeque<ForwardedProbe>,
    last_number: u64,
    last_tick: Option<Time>,
    probe_credit: Span,
    /// Last contact with any peer, or the end of the last pause of this process.
    last_contact: Option<Time>,
    isolated_since: Option<Time>,
    changes: Vec<MemberChange>,
}

impl Members {
    /// Creates the table of a process that knows no peers.
    pub fn new(vm: VmId, boot: u64, zone: Zone) -> Self {
        Self {
            vm,
            boot,
            zone,
            listed: false,
            leaving: false,
            leaving_listed: false,
            peers: BTreeMap::new(),
            requested_watch_set: None,
            watched: BTreeSet::new(),
            unhealthy: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            forwarded: VecDeque::new(),
            last_number: 0,
            last_tick: None,
            probe_credit: PROBE_CREDIT_MAX,
            last_contact: None,
            isolated_since: None,
            changes: Vec::new(),
        }
    }

    /// Returns the VM of this process.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Returns the incarnation of this process.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Marks this VM as leaving. The caller announces it in its datagrams.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Applies the VM list. Peers that are missing from it stay in the table while
    /// they send datagrams, because the list lags behind.
    pub fn sync(&mut self, list: &VmList) {
        let entries = list.vms.iter().filter(|row| row.role == Role::Entry);
        let mut seen = BTreeSet::new();
        self.listed = false;
        for row in entries {
            let Ok(vm) = VmId::new(row.id.clone()) else { continue };
            let leaving = row.state == VmState::Leaving;
            if vm == self.vm {
                self.listed = true;
                self.leaving_listed = leaving;
                continue;
            }
            self.add_listed(&vm, &row.zone, leaving);
            seen.insert(vm);
        }
        self.mark_unlisted(&seen);
        self.choose_watched();
    }

    fn add_listed(&mut self, vm: &VmId, zone: &Zone, leaving: bool) {
        let peer = self.peers.entry(vm.clone()).or_insert_with(Peer::new);
        if peer.zone.as_ref() != Some(zone) {
            peer.zone = Some(zone.clone());
        }
        if !mem::replace(&mut peer.listed, true) {
            self.unlisted.remove(vm);
            self.changes.push(MemberChange { vm: vm.clone(), event: Event::Listed });
        }
        let before = peer.is_leaving();
        peer.leaving_listed = leaving;
        if leaving && !before {
            self.changes.push(MemberChange { vm: vm.clone(), event: Event::Leaving });
        }
    }

    fn mark_unlisted(&mut self, seen: &BTreeSet<VmId>) {
        for (vm, peer) in &mut self.peers {
            if !seen.contains(vm) && mem::replace(&mut peer.listed, false) {
                self.unlisted.insert(vm.clone());
                self.changes.push(MemberChange { vm: vm.clone(), event: Event::Unlisted });
            }
        }
    }

    /// Sets the peers to watch if the fleet is too large to watch all, see
    /// [`crate::place::watch_set`]. At most [`WATCHED_MAX`] are used.
    pub fn watch(&mut self, peers: impl IntoIterator<Item = VmId>) {
        self.requested_watch_set = Some(peers.into_iter().collect());
        self.choose_watched();
    }

    fn choose_watched(&mut self) {
        let listed: Vec<&VmId> =
            self.peers.iter().filter(|(_, peer)| peer.listed).map(|(vm, _)| vm).collect();
        let chosen: BTreeSet<VmId> = if listed.len() <= WATCHED_MAX {
            listed.into_iter().cloned().collect()
        } else if let Some(requested) = &self.requested_watch_set {
            listed.into_iter().filter(|vm| requested.contains(*vm)).take(WATCHED_MAX).cloned().collect()
        } else {
            self.ring_neighbours(listed)
        };
        for vm in chosen.difference(&self.watched) {
            if let Some(peer) = self.peers.get_mut(vm) {
                peer.silent_since = self.last_tick;
                peer.probe = None;
            }
        }
        self.watched = chosen;
    }

    /// Returns the nearest peers on both sides of this VM in the ring of hashes.
    fn ring_neighbours(&self, listed: Vec<&VmId>) -> BTreeSet<VmId> {
        let position = |vm: &VmId| (xxh3_64_with_seed(vm.as_str().as_bytes(), 0), vm.clone());
        let own = position(&self.vm);
        let (mut before, mut after): (Vec<_>, Vec<_>) =
            listed.into_iter().map(position).partition(|other| *other < own);
        before.sort();
        after.sort();
        after.append(&mut before);
        let last = after.len().saturating_sub(RING_NEIGHBOURS);
        let near = after.iter().take(RING_NEIGHBOURS).chain(after.iter().skip(last));
        near.map(|(_, vm)| vm.clone()).collect()
    }

    /// Advances the table and returns the datagrams to send.
    pub fn tick(&mut self, now: Time) -> Vec<(VmId, DatagramBody)> {
        if self.last_tick.is_some_and(|last| now.since(last) >= PAUSE_MIN) {
            self.resume(now);
        }
        let elapsed = self.last_tick.map_or(Span::ZERO, |last| now.since(last));
        self.probe_credit = (self.probe_credit + elapsed).min(PROBE_CREDIT_MAX);
        self.last_tick = Some(now);
        self.forget_unlisted(now);
        let mut output = Vec::new();
        let mut due: Vec<(Time, VmId)> = self
            .peers_to_check()
            .into_iter()
            .filter_map(|vm| Some((self.check(now, &vm, &mut output)?, vm)))
            .collect();
        due.sort();
        for (_, vm) in due {
            if self.probe_credit < PROBE_COST {
                break;
            }
            self.probe_credit = self.probe_credit - PROBE_COST;
            self.probe(now, &vm, &mut output);
        }
        self.update_isolation(now);
        output
    }

    /// Restarts all time-outs after a pause of this process, because the peers may
    /// have answered while it did not run.
    fn resume(&mut self, now: Time) {
        self.last_contact = Some(now);
        for peer in self.peers.values_mut() {
            peer.silent_since = Some(now);
            peer.probe = None;
            if let Health::Suspected { .. } = peer.health {
                peer.health = Health::Suspected { since: now };
            }
        }
    }

    fn forget_unlisted(&mut self, now: Time) {
        let peers = &mut self.peers;
        self.unlisted.retain(|vm| {
            let last_seen = peers.get(vm).and_then(|peer| peer.last_seen);
            let kept = last_seen.is_some_and(|last_seen| now.since(last_seen) < UNLISTED_RETENTION);
            if !kept {
                peers.remove(vm);
                self.unhealthy.remove(vm);
            }
            kept
        });
    }

    fn peers_to_check(&self) -> Vec<VmId> {
        let rest = self.unhealthy.iter().filter(|vm| !self.watched.contains(*vm));
        self.watched.iter().chain(rest).take(CHECKED_MAX).cloned().collect()
    }

    /// Handles the time-outs of the probe of a peer. If none is in flight, returns
    /// since when the next one has been due, if it is.
    fn check(&mut self, now: Time, vm: &VmId, output: &mut Vec<(VmId, DatagramBody)>) -> Option<Time> {
        let probe_after = if self.vm < *vm { PROBE_AFTER } else { PROBE_AFTER + PROBE_SLACK };
        let peer = self.peers.get_mut(vm).filter(|peer| peer.listed)?;
        let silent_since = *peer.silent_since.get_or_insert(now);
        let Some(probe) = peer.probe else {
            let due = silent_since.after(if peer.is_unreachable() {
                UNREACHABLE_PROBE_INTERVAL
            } else {
                probe_after
            });
            return (now >= due).then_some(due);
        };
        let waited = now.since(probe.sent);
        if !probe.relayed && waited >= ACK_TIMEOUT {
            let relays = match peer.health {
                Health::Reachable => RELAYS,
                Health::Suspected { .. } => RELAYS_WHEN_SUSPECTED,
                Health::Unreachable { .. } => RELAYS_WHEN_UNREACHABLE,
            };
            self.request_relays(vm, probe.number, relays, output);
        } else if waited >= ACK_TIMEOUT + RELAY_TIMEOUT {
            self.fail_probe(now, vm, output);
        }
        None
    }

    fn probe(&mut self, now: Time, vm: &VmId, output: &mut Vec<(VmId, DatagramBody)>) {
        self.last_number += 1;
        let number = self.last_number;
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.probe = Some(Probe { number, sent: now, relayed: false });
        output.push((vm.clone(), DatagramBody::Probe { number }));
    }

    fn request_relays(
        &mut self,
        vm: &VmId,
        number: u64,
        count: usize,
        output: &mut Vec<(VmId, DatagramBody)>,
    ) {
        if let Some(probe) = self.peers.get_mut(vm).and_then(|peer| peer.probe.as_mut()) {
            probe.relayed = true;
        }
        let usable = |(other, peer): &(&VmId, &Peer)| {
            *other != vm && peer.listed && matches!(peer.health, Health::Reachable)
        };
        let known = self.peers.get(vm).and_then(|peer| peer.relay.as_ref());
        let mut relays: Vec<(bool, u64, &VmId)> = self
            .peers
            .iter()
            .filter(usable)
            .map(|(other, _)| {
                (Some(other) != known, xxh3_64_with_seed(other.as_str().as_bytes(), number), other)
            })
            .collect();
        relays.sort();
        let chosen = relays.into_iter().take(count);
        output.extend(
            chosen.map(|(.., other)| (other.clone(), DatagramBody::Relay { number, probed: vm.clone() })),
        );
    }

    fn fail_probe(&mut self, now: Time, vm: &VmId, output: &mut Vec<(VmId, DatagramBody)>) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.probe = None;
        match peer.health {
            Health::Reachable => {
                peer.health = Health::Suspected { since: now };
                self.unhealthy.insert(vm.clone());
                self.changes.push(MemberChange { vm: vm.clone(), event: Event::Suspected });
                self.probe(now, vm, output);
            }
            Health::Suspected { since } if now.since(since) >= SUSPICION_TIMEOUT => {
                peer.health = Health::Unreachable { since: now };
                peer.silent_since = Some(now);
                self.changes.push(MemberChange { vm: vm.clone(), event: Event::Unreachable });
            }
            Health::Suspected { .. } => self.probe(now, vm, output),
            Health::Unreachable { .. } => peer.silent_since = Some(now),
        }
    }

    fn update_isolation(&mut self, now: Time) {
        let last_contact = *self.last_contact.get_or_insert(now);
        if self.watched.len() < 2 || now.since(last_contact) < ISOLATED_AFTER {
            self.isolated_since = None;
        } else {
            self.isolated_since.get_or_insert(now);
        }
    }

    /// Handles a datagram and returns the answers to send. A datagram of an earlier
    /// incarnation of the sender is ignored.
    pub fn receive(&mut self, now: Time, from: &VmId, datagram: &Datagram) -> Vec<(VmId, DatagramBody)> {
        if *from == self.vm || !self.accept(now, from, datagram) {
            return Vec::new();
        }
        match &datagram.body {
            DatagramBody::Probe { number } => vec![(from.clone(), DatagramBody::Ack { number: *number })],
            DatagramBody::Ack { number } => self.forward_ack(from, *number),
            DatagramBody::Relay { number, probed } => self.forward_probe(from, *number, probed),
            DatagramBody::Relayed { number, probed: other } => {
                self.accept_relayed(now, other, *number, from);
                Vec::new()
            }
            DatagramBody::Loads(_) => Vec::new(),
        }
    }

    fn accept(&mut self, now: Time, from: &VmId, datagram: &Datagram) -> bool {
        if !self.peers.contains_key(from)
            && self.peers.values().filter(|peer| !peer.listed).count() >= UNLISTED_MAX
        {
            return false;
        }
        let peer = self.peers.entry(from.clone()).or_insert_with(Peer::new);
        if datagram.boot < peer.boot {
            return false;
        }
        if datagram.boot > peer.boot {
            if peer.boot > 0 {
                self.changes.push(MemberChange { vm: from.clone(), event: Event::Restarted });
            }
            peer.boot = datagram.boot;
            peer.leaving_announced = false;
        }
        if datagram.leaving && !peer.is_leaving() {
            self.changes.push(MemberChange { vm: from.clone(), event: Event::Leaving });
        }
        peer.leaving_announced |= datagram.leaving;
        peer.last_seen = Some(now);
        self.mark_reachable(now, from);
        true
    }

    fn mark_reachable(&mut self, now: Time, vm: &VmId) {
        self.last_contact = Some(now);
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.silent_since = Some(now);
        peer.probe = None;
        peer.answered_up_to = self.last_number;
        if mem::replace(&mut peer.health, Health::Reachable) != Health::Reachable {
            self.unhealthy.remove(vm);
            self.changes.push(MemberChange { vm: vm.clone(), event: Event::Recovered });
        }
    }

    fn accept_relayed(&mut self, now: Time, vm: &VmId, number: u64, relay: &VmId) {
        let last = self.last_number;
        let is_current = |peer: &Peer| peer.answered_up_to < number && number <= last;
        if let Some(peer) = self.peers.get_mut(vm).filter(|peer| is_current(peer)) {
            peer.relay = Some(relay.clone());
            self.mark_reachable(now, vm);
        }
    }

    fn forward_probe(&mut self, origin: &VmId, origin_number: u64, to: &VmId) -> Vec<(VmId, DatagramBody)> {
        if !self.peers.contains_key(to) {
            return Vec::new();
        }
        if self.forwarded.len() == FORWARDED_MAX {
            self.forwarded.pop_front();
        }
        self.last_number += 1;
        let number = self.last_number;
        self.forwarded.push_back(ForwardedProbe {
            number,
            origin: origin.clone(),
            origin_number,
            to: to.clone(),
        });
        vec![(to.clone(), DatagramBody::Probe { number })]
    }

    fn forward_ack(&mut self, from: &VmId, number: u64) -> Vec<(VmId, DatagramBody)> {
        let found = self.forwarded.iter().position(|probe| probe.number == number && probe.to == *from);
        let Some(probe) = found.and_then(|at| self.forwarded.remove(at)) else { return Vec::new() };
        vec![(probe.origin, DatagramBody::Relayed { number: probe.origin_number, probed: probe.to })]
    }

    /// Returns whether a VM is listed and not unreachable. A peer that was never
    /// probed is live.
    pub fn is_live(&self, vm: &VmId) -> bool {
        if *vm == self.vm {
            return self.listed;
        }
        self.peers.get(vm).is_some_and(|peer| peer.listed && !peer.is_unreachable())
    }

    /// Returns since when a peer is unreachable, or `None` if it is not unreachable.
    pub fn unreachable_since(&self, vm: &VmId) -> Option<Time> {
        match self.peers.get(vm)?.health {
            Health::Unreachable { since } => Some(since),
            _ => None,
        }
    }

    /// Returns whether a VM is about to leave according to the list or to its own
    /// datagrams.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        if *vm == self.vm {
            return self.leaving || self.leaving_listed;
        }
        self.peers.get(vm).is_some_and(Peer::is_leaving)
    }

    /// Returns whether a VM is on the list.
    pub fn is_listed(&self, vm: &VmId) -> bool {
        if *vm == self.vm { self.listed } else { self.peers.get(vm).is_some_and(|peer| peer.listed) }
    }

    /// Returns the zone of a VM, or `None` if the VM was never listed.
    pub fn zone(&self, vm: &VmId) -> Option<&Zone> {
        if *vm == self.vm { Some(&self.zone) } else { self.peers.get(vm)?.zone.as_ref() }
    }

    /// Returns when the last datagram of a peer arrived.
    pub fn last_seen(&self, vm: &VmId) -> Option<Time> {
        self.peers.get(vm)?.last_seen
    }

    /// Returns the listed VMs that are not unreachable, including this VM if it
    /// is listed.
    pub fn live(&self) -> impl Iterator<Item = Live> {
        let own = Live { vm: self.vm.clone(), zone: self.zone.clone(), leaving: self.is_leaving(&self.vm) };
        let peers = self.peers.iter().filter(|(_, peer)| peer.listed && !peer.is_unreachable());
        let peers = peers.filter_map(|(vm, peer)| {
            Some(Live { vm: vm.clone(), zone: peer.zone.clone()?, leaving: peer.is_leaving() })
        });
        self.listed.then_some(own).into_iter().chain(peers)
    }

    /// Returns the peers that this VM watches.
    pub fn watched(&self) -> impl Iterator<Item = &VmId> {
        self.watched.iter()
    }

    /// Returns since when no datagram of any peer has arrived, if this VM watches
    /// at least two. The fault is then more likely on this VM than on all peers.
    pub fn isolated_since(&self) -> Option<Time> {
        self.isolated_since
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        mem::take(&mut self.changes)
    }
}
