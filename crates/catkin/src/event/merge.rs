//! Merges the events of several processes into one timeline.

use super::Event;

/// Returns all events in the order of their timestamps. Events of one process
/// keep their order. Equal timestamps of different processes are ordered by VM
/// and incarnation, so that every reader gets the same order. Duplicates of an
/// event are removed.
pub fn merge(parts: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = parts.into_iter().flatten().collect();
    events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    events.dedup_by(|a, b| sort_key(a) == sort_key(b));
    events
}

fn sort_key(event: &Event) -> impl Ord + '_ {
    (event.at, &event.vm, event.boot, event.number)
}
