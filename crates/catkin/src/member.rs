//! Table of the entry VMs: probes, suspicion and loss.
//!
//! Every VM probes a bounded set of peers directly and, when no answer comes,
//! through relays, as in SWIM. Losses are not gossiped: a VM that replaces a
//! lost keeper writes a record, and every other VM learns of it from the log.
//! Only the VMs that would write that record have to watch the keeper, so the
//! cost of a node does not depend on the size of the fleet.
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
        api::{Life, Role, VmList},
        types::{Span, Time, VmId, Zone},
        wire::{Body, Datagram},
    },
    derive_more::Display,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        mem,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time between two calls of [`Members::tick`].
pub const TICK: Span = Span::from_millis(25);
/// Silence after which a peer is probed.
pub const PROBE_AFTER: Span = Span::from_millis(200);
/// Peers that one VM watches. Fleets of up to 11 VMs watch each other.
pub const WATCHED_MAX: usize = 10;

/// Extra silence that the VM with the higher id allows, so that of two VMs
/// that watch each other only one probes.
const PROBE_SLACK: Span = Span::from_millis(50);
/// Time for a direct answer. Zones of a region are about 1 ms apart.
const ACK_WAIT: Span = Span::from_millis(50);
/// Time for an answer through relays.
const RELAY_WAIT: Span = Span::from_millis(50);
/// Time from suspicion to loss. Two rounds of probes fit in, which keeps
/// false losses rare when one datagram in ten is dropped.
const SUSPICION: Span = Span::from_millis(200);
/// Time that one probe costs. It bounds the probes of a node at 20 a second,
/// what a fleet of 9 VMs needs. A VM that watches many peers probes each of
/// them less often.
const PROBE_COST: Span = Span::from_millis(50);
/// Time that can be saved for probes.
const CREDIT_MAX: Span = Span::from_millis(200);
/// Time between two probes of a lost peer.
const LOST_PROBE_AFTER: Span = Span::from_secs(1);
/// Silence of all peers from which this VM counts as cut off. It is shorter
/// than the time after which the first of them counts as lost.
const ALONE_AFTER: Span = Span::from_millis(300);
/// Time between two ticks from which this process counts as paused.
const PAUSE: Span = Span::from_millis(300);
/// Time for which an unlisted peer is remembered after its last datagram.
const UNLISTED_KEEP: Span = Span::from_secs(5);

/// Unlisted senders that are remembered; datagrams of others are dropped.
const UNLISTED_MAX: usize = 64;
const RELAYS: usize = 3;
/// Relays for a suspected peer. A small fleet asks all others, so that one
/// relay which hears the peer is enough.
const RELAYS_WHEN_SUSPECTED: usize = 10;
const RELAYS_WHEN_LOST: usize = 1;
/// Probes in progress for other VMs; more are dropped.
const PASSES_MAX: usize = 64;
/// Watched peers together with those that still count as suspected or lost.
const CHECKED_MAX: usize = 2 * WATCHED_MAX;
const RING_NEIGHBOURS: usize = 2;

/// A change of the table, for logs and events.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{vm} {event}")]
pub struct Change {
    /// The VM.
    pub vm: VmId,
    /// What changed.
    pub event: Event,
}

/// What changed for a VM.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Event {
    /// The list has it now.
    #[display("was listed")]
    Listed,
    /// The list no longer has it.
    #[display("is no longer listed")]
    Unlisted,
    /// It is about to leave.
    #[display("is leaving")]
    Leaving,
    /// Neither it nor a relay answers.
    #[display("is suspected")]
    Suspected,
    /// It did not answer during the whole time of suspicion.
    #[display("is lost")]
    Lost,
    /// It answered after it had been suspected or lost.
    #[display("answers again")]
    Recovered,
    /// A new process runs on it.
    #[display("was restarted")]
    Restarted,
}

/// A VM that is not lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// The VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is about to leave.
    pub leaving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Answers,
    Suspected { since: Time },
    Lost { since: Time },
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
    leaving_said: bool,
    heard: Option<Time>,
    /// Start of the present silence: the last answer, the start of watching
    /// or the end of a pause of this process.
    quiet: Option<Time>,
    probe: Option<Probe>,
    /// Number of the last probe before the present silence. An answer to a
    /// later one counts even if another probe was sent since.
    settled: u64,
    /// Relay through which it answered last; it is asked first.
    relay: Option<VmId>,
}

impl Peer {
    fn new() -> Self {
        Self {
            zone: None,
            listed: false,
            boot: 0,
            health: Health::Answers,
            leaving_listed: false,
            leaving_said: false,
            heard: None,
            quiet: None,
            probe: None,
            settled: 0,
            relay: None,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving_listed || self.leaving_said
    }

    fn is_lost(&self) -> bool {
        matches!(self.health, Health::Lost { .. })
    }
}

/// A probe that this VM sends for another one.
#[derive(Debug)]
struct Pass {
    number: u64,
    origin: VmId,
    origin_number: u64,
    to: VmId,
}

/// Table of the entry VMs as one of them sees it.
#[derive(Debug)]
pub struct Members {
    vm: VmId,
    boot: u64,
    zone: Zone,
    listed: bool,
    leaving: bool,
    leaving_listed: bool,
    peers: BTreeMap<VmId, Peer>,
    wanted: Option<BTreeSet<VmId>>,
    watched: BTreeSet<VmId>,
    /// Peers that are suspected or lost.
    troubled: BTreeSet<VmId>,
    /// Peers that the list does not have.
    unlisted: BTreeSet<VmId>,
    passes: VecDeque<Pass>,
    number: u64,
    ticked: Option<Time>,
    credit: Span,
    /// Last answer of any peer.
    heard: Option<Time>,
    alone: Option<Time>,
    changes: Vec<Change>,
}

impl Members {
    /// Makes the table of a process that knows no peer yet.
    pub fn new(vm: VmId, boot: u64, zone: Zone) -> Self {
        Self {
            vm,
            boot,
            zone,
            listed: false,
            leaving: false,
            leaving_listed: false,
            peers: BTreeMap::new(),
            wanted: None,
            watched: BTreeSet::new(),
            troubled: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            passes: VecDeque::new(),
            number: 0,
            ticked: None,
            credit: CREDIT_MAX,
            heard: None,
            alone: None,
            changes: Vec::new(),
        }
    }

    /// Returns the VM of this process.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Returns the number of this process.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Marks this VM as leaving. Its datagrams must say so.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes over the VM list. Peers that are missing from it stay in the
    /// table for a while if they still send datagrams, because the list lags.
    pub fn sync(&mut self, list: &VmList) {
        let entries = list.vms.iter().filter(|row| row.role == Role::Entry);
        let mut seen = BTreeSet::new();
        self.listed = false;
        for row in entries {
            let Ok(vm) = VmId::new(row.id.clone()) else { continue };
            let leaving = row.state == Life::Leaving;
            if vm == self.vm {
                self.listed = true;
                self.leaving_listed = leaving;
                continue;
            }
            self.list(&vm, &row.zone, leaving);
            seen.insert(vm);
        }
        self.unlist(&seen);
        self.choose_watched();
    }

    fn list(&mut self, vm: &VmId, zone: &Zone, leaving: bool) {
        let peer = self.peers.entry(vm.clone()).or_insert_with(Peer::new);
        if peer.zone.as_ref() != Some(zone) {
            peer.zone = Some(zone.clone());
        }
        if !mem::replace(&mut peer.listed, true) {
            self.unlisted.remove(vm);
            self.changes.push(Change { vm: vm.clone(), event: Event::Listed });
        }
        let before = peer.is_leaving();
        peer.leaving_listed = leaving;
        if leaving && !before {
            self.changes.push(Change { vm: vm.clone(), event: Event::Leaving });
        }
    }

    fn unlist(&mut self, seen: &BTreeSet<VmId>) {
        for (vm, peer) in &mut self.peers {
            if !seen.contains(vm) && mem::replace(&mut peer.listed, false) {
                self.unlisted.insert(vm.clone());
                self.changes.push(Change { vm: vm.clone(), event: Event::Unlisted });
            }
        }
    }

    /// Names the peers to watch when the fleet is too large to watch them
    /// all, see [`crate::place::watched`]. At most [`WATCHED_MAX`] are used.
    pub fn watch(&mut self, peers: impl IntoIterator<Item = VmId>) {
        self.wanted = Some(peers.into_iter().collect());
        self.choose_watched();
    }

    fn choose_watched(&mut self) {
        let listed: Vec<&VmId> = self.peers.iter().filter(|(_, p)| p.listed).map(|(vm, _)| vm).collect();
        let chosen: BTreeSet<VmId> = if listed.len() <= WATCHED_MAX {
            listed.into_iter().cloned().collect()
        } else if let Some(wanted) = &self.wanted {
            listed.into_iter().filter(|vm| wanted.contains(*vm)).take(WATCHED_MAX).cloned().collect()
        } else {
            self.ring_neighbours(listed)
        };
        for vm in chosen.difference(&self.watched) {
            if let Some(peer) = self.peers.get_mut(vm) {
                peer.quiet = self.ticked;
                peer.probe = None;
            }
        }
        self.watched = chosen;
    }

    /// Returns the peers next to this VM in the order of their hashes.
    fn ring_neighbours(&self, listed: Vec<&VmId>) -> BTreeSet<VmId> {
        let place = |vm: &VmId| (xxh3_64_with_seed(vm.as_str().as_bytes(), 0), vm.clone());
        let own = place(&self.vm);
        let (mut before, mut after): (Vec<_>, Vec<_>) =
            listed.into_iter().map(place).partition(|other| *other < own);
        before.sort();
        after.sort();
        after.append(&mut before);
        let last = after.len().saturating_sub(RING_NEIGHBOURS);
        let near = after.iter().take(RING_NEIGHBOURS).chain(after.iter().skip(last));
        near.map(|(_, vm)| vm.clone()).collect()
    }

    /// Advances the table and returns the datagrams to send.
    pub fn tick(&mut self, now: Time) -> Vec<(VmId, Body)> {
        if self.ticked.is_some_and(|last| now.since(last) >= PAUSE) {
            self.resume(now);
        }
        let passed = self.ticked.map_or(Span::ZERO, |last| now.since(last));
        self.credit = (self.credit + passed).min(CREDIT_MAX);
        self.ticked = Some(now);
        self.forget(now);
        let mut output = Vec::new();
        let mut due: Vec<(Time, VmId)> = self
            .checked()
            .into_iter()
            .filter_map(|vm| Some((self.check(now, &vm, &mut output)?, vm)))
            .collect();
        due.sort();
        for (_, vm) in due {
            if self.credit < PROBE_COST {
                break;
            }
            self.credit = self.credit - PROBE_COST;
            self.probe(now, &vm, &mut output);
        }
        self.note_alone(now);
        output
    }

    /// Restarts all waits after this process was paused: the peers may have
    /// answered while it did not run.
    fn resume(&mut self, now: Time) {
        self.heard = Some(now);
        for peer in self.peers.values_mut() {
            peer.quiet = Some(now);
            peer.probe = None;
            if let Health::Suspected { .. } = peer.health {
                peer.health = Health::Suspected { since: now };
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let peers = &mut self.peers;
        self.unlisted.retain(|vm| {
            let heard = peers.get(vm).and_then(|peer| peer.heard);
            let kept = heard.is_some_and(|heard| now.since(heard) < UNLISTED_KEEP);
            if !kept {
                peers.remove(vm);
                self.troubled.remove(vm);
            }
            kept
        });
    }

    fn checked(&self) -> Vec<VmId> {
        let rest = self.troubled.iter().filter(|vm| !self.watched.contains(*vm));
        self.watched.iter().chain(rest).take(CHECKED_MAX).cloned().collect()
    }

    /// Follows the probe of a peer up or returns since when a new one is due.
    fn check(&mut self, now: Time, vm: &VmId, output: &mut Vec<(VmId, Body)>) -> Option<Time> {
        let after = if self.vm < *vm { PROBE_AFTER } else { PROBE_AFTER + PROBE_SLACK };
        let peer = self.peers.get_mut(vm).filter(|p| p.listed)?;
        let quiet = *peer.quiet.get_or_insert(now);
        let Some(probe) = peer.probe else {
            let due = quiet.after(if peer.is_lost() { LOST_PROBE_AFTER } else { after });
            return (now >= due).then_some(due);
        };
        let waited = now.since(probe.sent);
        if !probe.relayed && waited >= ACK_WAIT {
            let relays = match peer.health {
                Health::Answers => RELAYS,
                Health::Suspected { .. } => RELAYS_WHEN_SUSPECTED,
                Health::Lost { .. } => RELAYS_WHEN_LOST,
            };
            self.relay(vm, probe.number, relays, output);
        } else if waited >= ACK_WAIT + RELAY_WAIT {
            self.fail(now, vm, output);
        }
        None
    }

    fn probe(&mut self, now: Time, vm: &VmId, output: &mut Vec<(VmId, Body)>) {
        self.number += 1;
        let number = self.number;
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.probe = Some(Probe { number, sent: now, relayed: false });
        output.push((vm.clone(), Body::Probe { number }));
    }

    fn relay(&mut self, vm: &VmId, number: u64, count: usize, output: &mut Vec<(VmId, Body)>) {
        if let Some(probe) = self.peers.get_mut(vm).and_then(|p| p.probe.as_mut()) {
            probe.relayed = true;
        }
        let usable = |(other, peer): &(&VmId, &Peer)| {
            *other != vm && peer.listed && matches!(peer.health, Health::Answers)
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
        output.extend(chosen.map(|(.., other)| (other.clone(), Body::Relay { number, to: vm.clone() })));
    }

    fn fail(&mut self, now: Time, vm: &VmId, output: &mut Vec<(VmId, Body)>) {
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.probe = None;
        match peer.health {
            Health::Answers => {
                peer.health = Health::Suspected { since: now };
                self.troubled.insert(vm.clone());
                self.changes.push(Change { vm: vm.clone(), event: Event::Suspected });
                self.probe(now, vm, output);
            }
            Health::Suspected { since } if now.since(since) >= SUSPICION => {
                peer.health = Health::Lost { since: now };
                peer.quiet = Some(now);
                self.changes.push(Change { vm: vm.clone(), event: Event::Lost });
            }
            Health::Suspected { .. } => self.probe(now, vm, output),
            Health::Lost { .. } => peer.quiet = Some(now),
        }
    }

    fn note_alone(&mut self, now: Time) {
        let heard = *self.heard.get_or_insert(now);
        if self.watched.len() < 2 || now.since(heard) < ALONE_AFTER {
            self.alone = None;
        } else {
            self.alone.get_or_insert(now);
        }
    }

    /// Takes a datagram and returns the answers to send. A datagram of an
    /// earlier process of the sender is dropped.
    pub fn receive(&mut self, now: Time, from: &VmId, datagram: &Datagram) -> Vec<(VmId, Body)> {
        if *from == self.vm || !self.hear(now, from, datagram) {
            return Vec::new();
        }
        match &datagram.body {
            Body::Probe { number } => vec![(from.clone(), Body::Ack { number: *number })],
            Body::Ack { number } => self.pass_back(from, *number),
            Body::Relay { number, to } => self.pass_on(from, *number, to),
            Body::Relayed { number, from: other } => {
                self.answer(now, other, *number, from);
                Vec::new()
            }
            Body::Loads(_) => Vec::new(),
        }
    }

    fn hear(&mut self, now: Time, from: &VmId, datagram: &Datagram) -> bool {
        if !self.peers.contains_key(from) && self.peers.values().filter(|p| !p.listed).count() >= UNLISTED_MAX
        {
            return false;
        }
        let peer = self.peers.entry(from.clone()).or_insert_with(Peer::new);
        if datagram.boot < peer.boot {
            return false;
        }
        if datagram.boot > peer.boot {
            if peer.boot > 0 {
                self.changes.push(Change { vm: from.clone(), event: Event::Restarted });
            }
            peer.boot = datagram.boot;
            peer.leaving_said = false;
        }
        if datagram.leaving && !peer.is_leaving() {
            self.changes.push(Change { vm: from.clone(), event: Event::Leaving });
        }
        peer.leaving_said |= datagram.leaving;
        peer.heard = Some(now);
        self.recover(now, from);
        true
    }

    fn recover(&mut self, now: Time, vm: &VmId) {
        self.heard = Some(now);
        let Some(peer) = self.peers.get_mut(vm) else { return };
        peer.quiet = Some(now);
        peer.probe = None;
        peer.settled = self.number;
        if mem::replace(&mut peer.health, Health::Answers) != Health::Answers {
            self.troubled.remove(vm);
            self.changes.push(Change { vm: vm.clone(), event: Event::Recovered });
        }
    }

    fn answer(&mut self, now: Time, vm: &VmId, number: u64, relay: &VmId) {
        let last = self.number;
        let fresh = |peer: &Peer| peer.settled < number && number <= last;
        if let Some(peer) = self.peers.get_mut(vm).filter(|peer| fresh(peer)) {
            peer.relay = Some(relay.clone());
            self.recover(now, vm);
        }
    }

    fn pass_on(&mut self, origin: &VmId, origin_number: u64, to: &VmId) -> Vec<(VmId, Body)> {
        if !self.peers.contains_key(to) {
            return Vec::new();
        }
        if self.passes.len() == PASSES_MAX {
            self.passes.pop_front();
        }
        self.number += 1;
        let number = self.number;
        self.passes.push_back(Pass { number, origin: origin.clone(), origin_number, to: to.clone() });
        vec![(to.clone(), Body::Probe { number })]
    }

    fn pass_back(&mut self, from: &VmId, number: u64) -> Vec<(VmId, Body)> {
        let found = self.passes.iter().position(|p| p.number == number && p.to == *from);
        let Some(pass) = found.and_then(|at| self.passes.remove(at)) else { return Vec::new() };
        vec![(pass.origin, Body::Relayed { number: pass.origin_number, from: pass.to })]
    }

    /// Returns whether a VM is listed and not lost. A peer that was never
    /// probed counts as live.
    pub fn is_live(&self, vm: &VmId) -> bool {
        if *vm == self.vm {
            return self.listed;
        }
        self.peers.get(vm).is_some_and(|p| p.listed && !p.is_lost())
    }

    /// Returns since when a VM counts as lost.
    pub fn lost_since(&self, vm: &VmId) -> Option<Time> {
        match self.peers.get(vm)?.health {
            Health::Lost { since } => Some(since),
            _ => None,
        }
    }

    /// Returns whether a VM is about to leave, by the list or by its own word.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        if *vm == self.vm {
            return self.leaving || self.leaving_listed;
        }
        self.peers.get(vm).is_some_and(Peer::is_leaving)
    }

    /// Returns whether the list has a VM.
    pub fn is_listed(&self, vm: &VmId) -> bool {
        if *vm == self.vm { self.listed } else { self.peers.get(vm).is_some_and(|p| p.listed) }
    }

    /// Returns the zone of a VM.
    pub fn zone(&self, vm: &VmId) -> Option<&Zone> {
        if *vm == self.vm { Some(&self.zone) } else { self.peers.get(vm)?.zone.as_ref() }
    }

    /// Returns when the last datagram of a peer came.
    pub fn heard(&self, vm: &VmId) -> Option<Time> {
        self.peers.get(vm)?.heard
    }

    /// Returns the listed VMs that are not lost, with this one if it is listed.
    pub fn live(&self) -> impl Iterator<Item = Live> {
        let own = Live { vm: self.vm.clone(), zone: self.zone.clone(), leaving: self.is_leaving(&self.vm) };
        let peers = self.peers.iter().filter(|(_, p)| p.listed && !p.is_lost());
        let peers = peers.filter_map(|(vm, p)| {
            Some(Live { vm: vm.clone(), zone: p.zone.clone()?, leaving: p.is_leaving() })
        });
        self.listed.then_some(own).into_iter().chain(peers)
    }

    /// Returns the peers that this VM watches.
    pub fn watched(&self) -> impl Iterator<Item = &VmId> {
        self.watched.iter()
    }

    /// Returns since when no peer at all answers, if at least two are watched.
    /// The fault is then more likely with this VM than with all of them.
    pub fn alone_since(&self) -> Option<Time> {
        self.alone
    }

    /// Takes the changes since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        mem::take(&mut self.changes)
    }
}
