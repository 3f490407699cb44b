//! Ownership of each slice over time, from the events.

use {
    super::SliceName,
    catkin::{
        event::{Event, Kind, Wall},
        types::TargetId,
    },
    std::collections::BTreeMap,
};

/// What a slice was during a stretch of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// A target held it.
    Owned(TargetId),
    /// A target held it and did not answer its keeper.
    Unanswered(TargetId),
    /// No target held it.
    Unavailable,
    /// A target was granted it while another one held it.
    Overlap(TargetId),
}

/// A stretch of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stretch {
    /// Its start.
    pub from: Wall,
    /// Its end.
    pub to: Wall,
    /// What the slice was.
    pub state: Use,
}

/// Slices with the same history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lane {
    /// The slices.
    pub slices: Vec<SliceName>,
    /// Their history.
    pub stretches: Vec<Stretch>,
}

impl Lane {
    /// Returns the time without an owner, in microseconds.
    pub fn unavailable_micros(&self) -> u64 {
        let lost = self.stretches.iter().filter(|stretch| stretch.state == Use::Unavailable);
        lost.map(|stretch| stretch.to.as_micros() - stretch.from.as_micros()).sum()
    }
}

#[derive(Default)]
struct History {
    done: Vec<Stretch>,
    now: Option<(Wall, Use)>,
}

impl History {
    fn turn(&mut self, at: Wall, state: Use) {
        self.close(at);
        self.now = Some((at, state));
    }

    fn close(&mut self, at: Wall) {
        if let Some((from, state)) = self.now.take().filter(|(from, _)| *from < at) {
            self.done.push(Stretch { from, to: at, state });
        }
    }

    fn holder(&self) -> Option<&TargetId> {
        match &self.now {
            Some((_, Use::Owned(target) | Use::Unanswered(target) | Use::Overlap(target))) => Some(target),
            _ => None,
        }
    }
}

/// Returns the history of the slices, the longest unavailable ones first.
/// Events have to be in order.
pub fn lanes(events: &[Event]) -> Vec<Lane> {
    let mut histories: BTreeMap<SliceName, History> = BTreeMap::new();
    for event in events {
        apply(&mut histories, event);
    }
    let end = events.last().map_or(Wall::default(), |event| event.at.wall);
    let mut groups: BTreeMap<Vec<Stretch>, Vec<SliceName>> = BTreeMap::new();
    for (name, mut history) in histories {
        history.close(end);
        groups.entry(history.done).or_default().push(name);
    }
    let mut lanes: Vec<Lane> =
        groups.into_iter().map(|(stretches, slices)| Lane { slices, stretches }).collect();
    lanes.sort_by_key(|lane| (u64::MAX - lane.unavailable_micros(), lane.slices.first().cloned()));
    lanes
}

fn apply(histories: &mut BTreeMap<SliceName, History>, event: &Event) {
    let at = event.at.wall;
    match &event.kind {
        Kind::SliceGranted { service, slice, target, .. } => {
            let history = histories.entry(SliceName { service: service.clone(), slice: *slice }).or_default();
            let other = history.holder().is_some_and(|holder| holder != target);
            let state = if other { Use::Overlap(target.clone()) } else { Use::Owned(target.clone()) };
            history.turn(at, state);
        }
        Kind::SliceReleased { service, slice, target, .. } => {
            let history = histories.entry(SliceName { service: service.clone(), slice: *slice }).or_default();
            // Without a grant in the events the target is known to have held
            // the slice, but not since when.
            if history.now.is_none() || history.holder() == Some(target) {
                history.turn(at, Use::Unavailable);
            }
        }
        Kind::LeaseNotRenewed { target, .. } => {
            turn_all(histories, target, at, Use::Unanswered(target.clone()))
        }
        Kind::LeaseGranted { target, .. } => turn_unanswered(histories, target, at),
        Kind::LeaseExpired { target } => turn_all(histories, target, at, Use::Unavailable),
        _ => {}
    }
}

fn turn_all(histories: &mut BTreeMap<SliceName, History>, target: &TargetId, at: Wall, state: Use) {
    let held = histories.values_mut().filter(|history| history.holder() == Some(target));
    // The first renewal that failed starts the stretch.
    let held = held.filter(|history| history.now.as_ref().is_none_or(|(_, now)| *now != state));
    held.for_each(|history| history.turn(at, state.clone()));
}

fn turn_unanswered(histories: &mut BTreeMap<SliceName, History>, target: &TargetId, at: Wall) {
    let unanswered = Use::Unanswered(target.clone());
    let lost = histories.values_mut().filter(|h| h.now.as_ref().is_some_and(|(_, now)| *now == unanswered));
    lost.for_each(|history| history.turn(at, Use::Owned(target.clone())));
}
