//! Which target of a service without keys gets a request.
//!
//! [`Loads`] holds what one VM knows about the targets. Its own counts and
//! the depths that keepers send weigh most; what a target says about itself
//! can only make it look worse. Random numbers are arguments.

use {
    crate::{
        api::Load,
        types::{Span, TargetId, Time, VmId},
        wire::Gossip,
    },
    std::collections::BTreeMap,
};

/// Depths and reports that are older say nothing about the present. Gateways
/// send them once a second, so that one lost datagram is bridged.
const AGE_MAX: Span = Span::from_millis(2_500);
/// Time in which a new target reaches its full share.
const RAMP: Span = Span::from_secs(2);
/// Share of a target that was added just now.
const RAMP_START: f64 = 0.2;
/// Failures in a row after which a target is left out for a while. One lost
/// connection says little about a target, three in a row say a lot.
const FAULTS_MAX: u32 = 3;
const OUT_MIN: Span = Span::from_millis(200);
const OUT_DOUBLINGS: u32 = 5;

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// The less loaded of two, by own counts and the keepers' depths.
    Two,
    /// The less loaded of two, by the counts that all VMs exchange; for
    /// dispatch without keepers.
    Shared,
    /// Any; a baseline.
    Random,
    /// The less loaded of two, by the targets' reports; a baseline.
    Reported,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Time,
    count: u32,
    own: u32,
}

#[derive(Debug, Default)]
struct Row {
    added: Option<Time>,
    own: u32,
    /// Drains or leaves; lasts until the target is added again.
    closed: bool,
    /// Its keeper said that it takes nothing new.
    shut: bool,
    depth: Option<Heard>,
    report: Option<Heard>,
    peers: BTreeMap<VmId, Heard>,
    faults: u32,
    out: Option<Time>,
}

/// What one VM knows about the load of targets.
#[derive(Debug, Default)]
pub struct Loads {
    rows: BTreeMap<TargetId, Row>,
}

impl Loads {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a target. A cold one gets less work at first.
    pub fn add(&mut self, now: Time, target: &TargetId, cold: bool) {
        let row = self.rows.entry(target.clone()).or_default();
        row.added = cold.then_some(now);
        row.closed = false;
        row.shut = false;
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &TargetId) {
        self.rows.remove(target);
    }

    /// Removes the targets for which a question is answered with no.
    pub fn retain(&mut self, is_kept: impl Fn(&TargetId) -> bool) {
        self.rows.retain(|target, _| is_kept(target));
    }

    /// Stops new work for a target that drains or leaves.
    pub fn close(&mut self, target: &TargetId) {
        if let Some(row) = self.rows.get_mut(target) {
            row.closed = true;
        }
    }

    /// Counts a request of this VM that goes to a target.
    pub fn begin(&mut self, target: &TargetId) {
        if let Some(row) = self.rows.get_mut(target) {
            row.own += 1;
        }
    }

    /// Counts the end of a request of this VM. `fault` says that the target
    /// could not be reached, refused or did not answer.
    pub fn end(&mut self, now: Time, target: &TargetId, fault: bool) {
        let Some(row) = self.rows.get_mut(target) else { return };
        row.own = row.own.saturating_sub(1);
        if !fault {
            row.faults = 0;
            row.out = None;
            return;
        }
        row.faults += 1;
        if row.faults >= FAULTS_MAX {
            let doublings = (row.faults - FAULTS_MAX).min(OUT_DOUBLINGS);
            row.out = Some(now.after(OUT_MIN.scale(f64::from(1 << doublings))));
        }
    }

    /// Takes a depth from the keeper of a target.
    pub fn hear(&mut self, now: Time, gossip: &Gossip) {
        let Some(row) = self.rows.get_mut(&gossip.target) else { return };
        row.depth = Some(Heard { at: now, count: gossip.depth, own: row.own });
        row.shut = !gossip.open;
    }

    /// Takes the count of requests that another VM has sent to a target.
    pub fn hear_peer(&mut self, now: Time, peer: &VmId, target: &TargetId, count: u32) {
        let Some(row) = self.rows.get_mut(target) else { return };
        row.peers.insert(peer.clone(), Heard { at: now, count, own: row.own });
    }

    /// Takes a target's own report.
    pub fn report(&mut self, now: Time, target: &TargetId, load: &Load) {
        let Some(row) = self.rows.get_mut(target) else { return };
        let at = now.before(load.age);
        row.report = Some(Heard { at, count: load.running, own: row.own });
        row.closed |= load.draining;
    }

    /// Returns the number of requests of this VM on a target.
    pub fn own(&self, target: &TargetId) -> u32 {
        self.rows.get(target).map(|row| row.own).unwrap_or_default()
    }

    /// Chooses a target, or none if all are closed.
    pub fn choose(&self, now: Time, rule: Rule, random: [u64; 2]) -> Option<TargetId> {
        self.choose_except(now, rule, random, &[])
    }

    /// Chooses a target for another try, not one of those that failed unless
    /// there is no other.
    pub fn choose_except(
        &self,
        now: Time,
        rule: Rule,
        random: [u64; 2],
        tried: &[TargetId],
    ) -> Option<TargetId> {
        let open: Vec<(&TargetId, &Row)> = self.rows.iter().filter(|(_, row)| row.is_open()).collect();
        let fresh = narrow(&open, |(target, _)| !tried.contains(target));
        let sound = match rule {
            Rule::Random | Rule::Reported => fresh,
            Rule::Two | Rule::Shared => narrow(&fresh, |(_, row)| row.is_sound(now)),
        };
        let (first, second) = pair(sound.len(), random)?;
        let score = |index: usize| sound[index].1.score(now, rule);
        let index = if score(second) < score(first) { second } else { first };
        Some(sound[index].0.clone())
    }
}

impl Row {
    fn is_open(&self) -> bool {
        !self.closed && !self.shut
    }

    fn is_sound(&self, now: Time) -> bool {
        self.out.is_none_or(|until| now >= until && self.own == 0)
    }

    fn score(&self, now: Time, rule: Rule) -> f64 {
        let load = match rule {
            Rule::Random => return 0.0,
            Rule::Reported => return self.report.map(|report| f64::from(report.count)).unwrap_or_default(),
            Rule::Two => self.own.max(self.present(now, self.depth)).max(self.present(now, self.report)),
            Rule::Shared => self.own + self.others(now),
        };
        (f64::from(load) + 1.0) / self.warmth(now)
    }

    /// Returns a count with what this VM has added to it or ended since.
    fn present(&self, now: Time, heard: Option<Heard>) -> u32 {
        let fresh = heard.filter(|heard| now.since(heard.at) < AGE_MAX);
        fresh.map(|heard| (heard.count + self.own).saturating_sub(heard.own)).unwrap_or_default()
    }

    fn others(&self, now: Time) -> u32 {
        let fresh = self.peers.values().filter(|heard| now.since(heard.at) < AGE_MAX);
        fresh.map(|heard| heard.count).sum()
    }

    fn warmth(&self, now: Time) -> f64 {
        let Some(added) = self.added else { return 1.0 };
        let share = now.since(added).as_secs_f64() / RAMP.as_secs_f64();
        share.clamp(RAMP_START, 1.0)
    }
}

/// Returns the items that pass, or all if none does.
fn narrow<T: Clone>(items: &[T], pass: impl Fn(&T) -> bool) -> Vec<T> {
    let passed: Vec<T> = items.iter().filter(|item| pass(item)).cloned().collect();
    if passed.is_empty() { items.to_vec() } else { passed }
}

/// Returns two different indexes below a length, or the same one twice if
/// there is only one.
fn pair(length: usize, random: [u64; 2]) -> Option<(usize, usize)> {
    let first = random[0].checked_rem(length as u64)? as usize;
    let Some(second) = random[1].checked_rem(length as u64 - 1) else { return Some((first, first)) };
    let second = second as usize;
    Some((first, if second >= first { second + 1 } else { second }))
}
