//! Collects the events of the gateways.

use {
    super::{Timeline, to_rfc3339},
    crate::gateways::Gateways,
    catkin::{
        Error,
        admin::{Events, path},
        event::{Event, WallTime, merge},
    },
    derive_more::Display,
    serde::Serialize,
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
        sync::Arc,
    },
};

const PAGE_EVENTS_MAX: usize = 4_096;
/// Bounds the events kept to match new events of a request with its earlier ones.
const RECENT_EVENTS_MAX: usize = 100_000;

/// A gateway without a usable answer.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("no answer from {vm}{}: {error}", if *leaving { " (leaving)" } else { "" })]
pub struct Unreachable {
    /// Id of the VM in the VM list.
    pub vm: Arc<str>,
    /// Whether the VM is leaving, so that it may have been removed already.
    pub leaving: bool,
    /// Error of the request.
    pub error: String,
}

/// Range of events that were dropped before they were read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// Id of the VM.
    pub vm: Arc<str>,
    /// Incarnation of the process that recorded the events.
    pub boot: u64,
    /// Number of the first event in the range.
    pub from: u64,
    /// Number of events; `None` if the process was replaced, so that the number
    /// is unknown and may be 0.
    pub dropped: Option<u64>,
    /// Time of the next event that was read; `None` if there is none.
    pub until: Option<WallTime>,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { vm, boot, from, dropped, until } = self;
        match dropped {
            Some(count) => write!(f, "{vm} boot {boot} dropped {count} events from number {from} on")?,
            None => write!(f, "{vm} boot {boot} was replaced: its events from number {from} on are lost")?,
        }
        until.map_or(Ok(()), |until| write!(f, ", before {}", to_rfc3339(until)))
    }
}

#[derive(Clone, Copy, Default)]
struct Cursor {
    boot: u64,
    next: u64,
}

/// Reads each event of each gateway once.
#[derive(Default)]
pub struct Collector {
    cursors: BTreeMap<Arc<str>, Cursor>,
    recent: VecDeque<Event>,
}

impl Collector {
    /// Creates a collector that has read no events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the last events read, at most `RECENT_EVENTS_MAX`; they are not
    /// sorted by time.
    pub fn recent(&self) -> &VecDeque<Event> {
        &self.recent
    }

    /// Reads the events that are new since the previous call.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Gateways::list`].
    pub async fn collect(&mut self, gateways: &Gateways) -> Result<Timeline, Error> {
        let mut timeline = Timeline::default();
        let mut pages = Vec::new();
        let mut ends = BTreeMap::new();
        loop {
            let cursors = &self.cursors;
            let responses = gateways.query::<Events>(|row| {
                let from = cursors.get(&row.id).map_or(0, |cursor| cursor.next);
                format!("{}?from={from}&max={PAGE_EVENTS_MAX}", path::EVENTS)
            });
            let mut more = false;
            timeline.unreachable.clear();
            for response in responses.await? {
                let vm = response.row.id.clone();
                match response.answer {
                    Ok(events) => {
                        // A busy gateway may add events faster than they are
                        // read. Events added after its first answer are left to
                        // the next call.
                        let end = *ends.entry((vm.clone(), events.boot)).or_insert(events.page.next);
                        more |= self.add_events(vm, events, &mut timeline.gaps, &mut pages) < end;
                    }
                    Err(ref error) => {
                        let leaving = !response.is_required();
                        timeline.unreachable.push(Unreachable { vm, leaving, error: error.to_string() });
                    }
                }
            }
            if !more {
                break;
            }
        }
        timeline.events = merge(pages);
        self.recent.extend(timeline.events.iter().cloned());
        let excess = self.recent.len().saturating_sub(RECENT_EVENTS_MAX);
        self.recent.drain(..excess);
        Ok(timeline)
    }

    /// Adds a page of events of one gateway and returns the number of the next
    /// event to read.
    fn add_events(
        &mut self,
        vm: Arc<str>,
        events: Events,
        gaps: &mut Vec<Gap>,
        pages: &mut Vec<Vec<Event>>,
    ) -> u64 {
        let previous = self.cursors.get(&vm).copied();
        let cursor = self.cursors.entry(vm.clone()).or_default();
        if let Some(old) = previous.filter(|old| old.boot != events.boot) {
            gaps.push(Gap { vm, boot: old.boot, from: old.next, dropped: None, until: None });
            // The event numbers of the new process start at 0.
            *cursor = Cursor { boot: events.boot, next: 0 };
            return 0;
        }
        let page = events.page;
        if page.first > cursor.next {
            let dropped = Some(page.first - cursor.next);
            let until = page.events.first().map(|event| event.at.wall);
            gaps.push(Gap { vm, boot: events.boot, from: cursor.next, dropped, until });
        }
        let next = page.events.last().map_or(page.next, |last| last.number + 1);
        *cursor = Cursor { boot: events.boot, next };
        pages.push(page.events);
        next
    }
}
