//! Pacing: which parts of the messages between a process and its leader are due.
//!
//! Load pattern: a crest at which each of 300 processes asks for quotas 16 times a
//! second. Quotas depend on the requests in flight and queued, which every report has.
//! What else the messages carry is needed within half a second: in calm times
//! processes report no more often.

use {
    crate::spill::ZoneTable,
    catkin::types::{Span, Time},
    std::rc::Rc,
};

/// Number of processes up to which every message has all of its parts: the link of a
/// leader carries them.
const FULL_PROCESSES_MAX: u32 = 100;

/// Least time between two messages with all parts in the largest fleets. It is shorter
/// than the 500 ms between two reports in calm times, so that each of these has all.
const FULL_INTERVAL: Span = Span::from_millis(400);

/// Least time between two messages to a process with the loads of targets.
const LEVELS_INTERVAL: Span = Span::from_millis(200);

/// Returns the least time between two messages to a process with the loads of targets,
/// for a number of processes.
pub fn levels_interval(processes: u32) -> Span {
    let factor = f64::from(processes) / f64::from(FULL_PROCESSES_MAX);
    LEVELS_INTERVAL.scale(factor.max(1.0)).min(FULL_INTERVAL)
}

/// Which reports of a process have all parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportPacing {
    full_at: Option<Time>,
}

impl ReportPacing {
    /// Returns whether a report that is sent now has all parts, for a number of
    /// processes.
    pub fn is_full(&mut self, now: Time, processes: u32) -> bool {
        let is_early = self.full_at.is_some_and(|at| now.since(at) < FULL_INTERVAL);
        let is_full = processes <= FULL_PROCESSES_MAX || !is_early;
        if is_full {
            self.full_at = Some(now);
        }
        is_full
    }
}

/// Which messages to a process have the shares of zones.
#[derive(Clone, Debug, Default)]
pub struct ZonePacing {
    sent: Option<(Time, Rc<ZoneTable>)>,
}

impl ZonePacing {
    /// Returns the newest shares if they are new or were sent long ago.
    pub fn due(&mut self, now: Time, newest: Rc<ZoneTable>) -> Option<Rc<ZoneTable>> {
        let is_known = |(at, sent): &(Time, Rc<ZoneTable>)| *sent == newest && now.since(*at) < FULL_INTERVAL;
        if self.sent.as_ref().is_some_and(is_known) {
            return None;
        }
        self.sent = Some((now, newest.clone()));
        Some(newest)
    }
}
