//! Merges the events of several processes.

use super::Event;

/// Returns all events in the order of their timestamps. Events of one process
/// keep their order; a tie between processes goes by VM and boot, so that
/// every reader sees the same order. An event that was read twice appears
/// once.
pub fn merge(parts: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = parts.into_iter().flatten().collect();
    events.sort_by(|a, b| place(a).cmp(&place(b)));
    events.dedup_by(|a, b| place(a) == place(b));
    events
}

fn place(event: &Event) -> impl Ord + '_ {
    (event.at, &event.vm, event.boot, event.number)
}
