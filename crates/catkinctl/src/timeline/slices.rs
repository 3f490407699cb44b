//! Computes the ownership of each slice over time from the events.

use {
    super::SliceName,
    catkin::{
        event::{Event, Kind, WallTime},
        types::TargetId,
    },
    std::collections::BTreeMap,
};

/// Ownership of a slice during a segment of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SliceState {
    /// A target held it.
    Owned(TargetId),
    /// A target held it, but the renewal of its lease failed.
    NotRenewed(TargetId),
    /// No target held it.
    Unavailable,
    /// It was granted to this target while another one held it.
    Overlap(TargetId),
}

/// A period of time in which the state of a slice stays the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Segment {
    /// Start of the segment.
    pub from: WallTime,
    /// End of the segment.
    pub to: WallTime,
    /// State of the slice.
    pub state: SliceState,
}

/// Slices that have the same history and share a row of the chart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lane {
    /// Names of the slices, in order.
    pub slices: Vec<SliceName>,
    /// History of the slices, in order of time.
    pub segments: Vec<Segment>,
}

impl Lane {
    /// Returns the total time without an owner, in microseconds.
    pub fn unavailable_micros(&self) -> u64 {
        let unavailable = self.segments.iter().filter(|segment| segment.state == SliceState::Unavailable);
        unavailable.map(|segment| segment.to.as_micros() - segment.from.as_micros()).sum()
    }
}

#[derive(Default)]
struct History {
    closed: Vec<Segment>,
    current: Option<(WallTime, SliceState)>,
}

impl History {
    fn set_state(&mut self, at: WallTime, state: SliceState) {
        self.close(at);
        self.current = Some((at, state));
    }

    fn close(&mut self, at: WallTime) {
        if let Some((from, state)) = self.current.take().filter(|(from, _)| *from < at) {
            self.closed.push(Segment { from, to: at, state });
        }
    }

    fn holder(&self) -> Option<&TargetId> {
        match &self.current {
            Some((_, SliceState::Owned(t) | SliceState::NotRenewed(t) | SliceState::Overlap(t))) => Some(t),
            _ => None,
        }
    }
}

/// Groups the slices by their history, those with the longest unavailable time
/// first. Events must be in order.
pub fn lanes(events: &[Event]) -> Vec<Lane> {
    let mut histories: BTreeMap<SliceName, History> = BTreeMap::new();
    for event in events {
        apply(&mut histories, event);
    }
    let end = events.last().map_or(WallTime::default(), |event| event.at.wall);
    let mut groups: BTreeMap<Vec<Segment>, Vec<SliceName>> = BTreeMap::new();
    for (name, mut history) in histories {
        history.close(end);
        groups.entry(history.closed).or_default().push(name);
    }
    let mut lanes: Vec<Lane> =
        groups.into_iter().map(|(segments, slices)| Lane { slices, segments }).collect();
    lanes.sort_by_key(|lane| (u64::MAX - lane.unavailable_micros(), lane.slices.first().cloned()));
    lanes
}

fn apply(histories: &mut BTreeMap<SliceName, History>, event: &Event) {
    let at = event.at.wall;
    match &event.kind {
        Kind::SliceGranted { service, slice, target, .. } => {
            let history = histories.entry(SliceName { service: service.clone(), slice: *slice }).or_default();
            let other = history.holder().is_some_and(|holder| holder != target);
            let state =
                if other { SliceState::Overlap(target.clone()) } else { SliceState::Owned(target.clone()) };
            history.set_state(at, state);
        }
        Kind::SliceReleased { service, slice, target, .. } => {
            let history = histories.entry(SliceName { service: service.clone(), slice: *slice }).or_default();
            // If the events hold no grant, the target held the slice from an
            // unknown time on.
            if history.current.is_none() || history.holder() == Some(target) {
                history.set_state(at, SliceState::Unavailable);
            }
        }
        Kind::LeaseNotRenewed { target, .. } => {
            set_state_of_held_slices(histories, target, at, SliceState::NotRenewed(target.clone()))
        }
        Kind::LeaseGranted { target, .. } => restore_owned(histories, target, at),
        Kind::LeaseExpired { target } => {
            set_state_of_held_slices(histories, target, at, SliceState::Unavailable)
        }
        _ => {}
    }
}

fn set_state_of_held_slices(
    histories: &mut BTreeMap<SliceName, History>,
    target: &TargetId,
    at: WallTime,
    state: SliceState,
) {
    let held = histories.values_mut().filter(|history| history.holder() == Some(target));
    // Only the first failed renewal starts a segment.
    let held = held.filter(|history| history.current.as_ref().is_none_or(|(_, current)| *current != state));
    held.for_each(|history| history.set_state(at, state.clone()));
}

fn restore_owned(histories: &mut BTreeMap<SliceName, History>, target: &TargetId, at: WallTime) {
    let state = SliceState::NotRenewed(target.clone());
    let not_renewed =
        histories.values_mut().filter(|h| h.current.as_ref().is_some_and(|(_, current)| *current == state));
    not_renewed.for_each(|history| history.set_state(at, SliceState::Owned(target.clone())));
}
