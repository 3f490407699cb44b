//! Collects events from the gateways.

use {
    super::{Timeline, show_time},
    crate::gateways::Gateways,
    catkin::{
        Error,
        admin::{Events, path},
        event::{Event, Wall, merge},
    },
    derive_more::Display,
    serde::Serialize,
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
        sync::Arc,
    },
};

const PAGE_EVENTS: usize = 4_096;
/// Events kept so that a request is recognized while new events are followed.
const RECENT_EVENTS_MAX: usize = 100_000;

/// A gateway that did not answer.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("no answer from {vm}{}: {error}", if *leaving { " (leaving)" } else { "" })]
pub struct Silent {
    /// Its id in the VM list.
    pub vm: Arc<str>,
    /// Whether the VM may have gone already.
    pub leaving: bool,
    /// What went wrong.
    pub error: String,
}

/// Events that were dropped before they were read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// The VM.
    pub vm: Arc<str>,
    /// Number of the process.
    pub boot: u64,
    /// Number of the first one.
    pub from: u64,
    /// How many; `None` if the process was replaced.
    pub dropped: Option<u64>,
    /// Time of the next event that was read, if any.
    pub until: Option<Wall>,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { vm, boot, from, dropped, until } = self;
        match dropped {
            Some(number) => write!(f, "{vm} boot {boot} dropped {number} events from number {from} on")?,
            None => write!(f, "{vm} boot {boot} was replaced: its events from number {from} on are lost")?,
        }
        until.map_or(Ok(()), |until| write!(f, ", before {}", show_time(until)))
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
    /// Makes a collector that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the events read last, in no order.
    pub fn recent(&self) -> &VecDeque<Event> {
        &self.recent
    }

    /// Reads the events that are new since the last time.
    ///
    /// # Errors
    ///
    /// As [`Gateways::list`].
    pub async fn collect(&mut self, gateways: &Gateways) -> Result<Timeline, Error> {
        let mut timeline = Timeline::default();
        let mut parts = Vec::new();
        let mut goals = BTreeMap::new();
        loop {
            let cursors = &self.cursors;
            let replies = gateways.query::<Events>(|row| {
                let from = cursors.get(&row.id).map_or(0, |cursor| cursor.next);
                format!("{}?from={from}&max={PAGE_EVENTS}", path::EVENTS)
            });
            let mut more = false;
            timeline.silent.clear();
            for reply in replies.await? {
                let vm = reply.row.id.clone();
                match reply.answer {
                    Ok(events) => {
                        // A busy gateway adds events faster than they are
                        // read; those after the first answer can wait.
                        let goal = *goals.entry((vm.clone(), events.boot)).or_insert(events.page.next);
                        more |= self.take(vm, events, &mut timeline.gaps, &mut parts) < goal;
                    }
                    Err(ref error) => {
                        let leaving = !reply.is_required();
                        timeline.silent.push(Silent { vm, leaving, error: error.to_string() });
                    }
                }
            }
            if !more {
                break;
            }
        }
        timeline.events = merge(parts);
        self.recent.extend(timeline.events.iter().cloned());
        let excess = self.recent.len().saturating_sub(RECENT_EVENTS_MAX);
        self.recent.drain(..excess);
        Ok(timeline)
    }

    /// Takes the events of one gateway in and returns the number of the next
    /// one to read.
    fn take(
        &mut self,
        vm: Arc<str>,
        events: Events,
        gaps: &mut Vec<Gap>,
        parts: &mut Vec<Vec<Event>>,
    ) -> u64 {
        let known = self.cursors.get(&vm).copied();
        let cursor = self.cursors.entry(vm.clone()).or_default();
        if let Some(old) = known.filter(|old| old.boot != events.boot) {
            gaps.push(Gap { vm, boot: old.boot, from: old.next, dropped: None, until: None });
            // The numbers of the new process start again from 0.
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
        parts.push(page.events);
        next
    }
}
