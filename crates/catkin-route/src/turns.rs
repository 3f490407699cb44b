//! Sharing the room of busy targets among processes.
//!
//! With more processes than a target has places, no process can tell from its
//! own requests whether there is room, and all that wait would send at once.
//! The leader knows the requests of all processes at a target; where a target
//! is busy it gives out turns, and a process sends there only with a turn.

use {
    crate::load::FILL_MAX,
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Age of the last report above which a process is not counted.
const REPORT_MAX: Span = Span::from_secs(3);

/// Slots of a target, as a multiple, from which on it gets requests by turns
/// only. Below, a process may send without asking.
const BUSY: f64 = 1.5;

/// Processes from which on turns are given: with fewer, each may fill a part of
/// a target's slots by itself.
const PROCESSES_MIN: usize = 17;

/// What a process may do at a busy target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Id of the target.
    pub target: Arc<str>,
    /// Requests that the process may send.
    pub turns: u32,
    /// Requests of all processes that wait for a turn.
    pub waiting: u32,
}

/// Numbers by target.
pub type Counts = Vec<(Arc<str>, u32)>;

/// What a process said last.
#[derive(Clone, Debug, Default)]
struct Said {
    at: Time,
    /// Its requests at targets.
    own: Counts,
    /// Its requests that wait for a turn.
    waiting: Counts,
    /// Turns that it was given since.
    given: Counts,
}

/// The leader's view of the requests of all processes.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    said: BTreeMap<Arc<str>, Said>,
    /// Requests at each target and turns that were given for it.
    totals: HashMap<Arc<str>, u32>,
    /// Requests that wait for each target.
    waiting: HashMap<Arc<str>, u32>,
}

fn add(sums: &mut HashMap<Arc<str>, u32>, counts: &Counts) {
    for (id, count) in counts {
        *sums.entry(id.clone()).or_default() += count;
    }
}

fn subtract(sums: &mut HashMap<Arc<str>, u32>, counts: &Counts) {
    for (id, count) in counts {
        if let Some(sum) = sums.get_mut(id) {
            *sum = sum.saturating_sub(*count);
        }
    }
}

impl Turns {
    /// Takes a process's report in place of its last one, and forgets processes
    /// that report no more. Returns the number of processes.
    pub fn take(&mut self, now: Time, vm: &Arc<str>, own: Counts, waiting: Counts) -> usize {
        add(&mut self.totals, &own);
        add(&mut self.waiting, &waiting);
        let said = Said { at: now, own, waiting, given: Vec::new() };
        let old = self.said.insert(vm.clone(), said);
        let gone = self.said.extract_if(.., |_, said| now.since(said.at) >= REPORT_MAX);
        for old in old.into_iter().chain(gone.map(|(_, said)| said)) {
            subtract(&mut self.totals, &old.own);
            subtract(&mut self.totals, &old.given);
            subtract(&mut self.waiting, &old.waiting);
        }
        self.totals.retain(|_, total| *total > 0);
        self.waiting.retain(|_, count| *count > 0);
        self.said.len()
    }

    /// Returns the targets whose slots are full, and the requests of all
    /// processes at them. `slots` returns the slots of known targets.
    pub fn full(&self, slots: impl Fn(&str) -> Option<u32>) -> Counts {
        let is_full = |id: &str, total: u32| slots(id).is_some_and(|slots| total >= slots);
        let full = self.totals.iter().filter(|(id, total)| is_full(id, **total));
        full.map(|(id, total)| (id.clone(), *total)).collect()
    }

    /// Gives turns to a process that has reported. Returns the busy targets with
    /// its turns at each of them. `slots` returns the slots of targets that may get
    /// requests by turns.
    pub fn give(&mut self, vm: &str, slots: impl Fn(&str) -> Option<u32>) -> Vec<Turn> {
        if !self.are_needed() {
            return Vec::new();
        }
        let Some(said) = self.said.get_mut(vm) else { return Vec::new() };
        for (id, count) in &said.waiting {
            let Some(slots) = slots(id) else { continue };
            let total = self.totals.entry(id.clone()).or_default();
            let room = (FILL_MAX * f64::from(slots)) as u32;
            let turns = room.saturating_sub(*total).min(*count);
            *total += turns;
            if turns > 0 {
                said.given.push((id.clone(), turns));
            }
        }
        let given: HashMap<&str, u32> = said.given.iter().map(|(id, turns)| (&**id, *turns)).collect();
        let turn = |(id, total): (&Arc<str>, &u32)| {
            let slots = f64::from(slots(id)?);
            let waiting = self.waiting.get(id).copied().unwrap_or(0);
            let is_busy = waiting > 0 || f64::from(*total) >= BUSY * slots;
            let turns = given.get(&**id).copied().unwrap_or(0);
            is_busy.then(|| Turn { target: id.clone(), turns, waiting })
        };
        self.totals.iter().filter_map(turn).collect()
    }

    /// Returns whether there are so many processes that each alone could
    /// overfill a target.
    fn are_needed(&self) -> bool {
        self.said.len() >= PROCESSES_MIN
    }
}
