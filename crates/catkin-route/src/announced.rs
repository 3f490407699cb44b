//! What targets announce in their answers, beside the content.
//!
//! Load pattern: a target names a limit, and hundreds of processes have requests
//! for it. Each would have to send one to learn of the limit, and later, at its
//! small share of it, that it is over. So processes report what they observe to
//! the leader, and the leader tells all of them; the newest observation counts.

use {
    crate::{
        directory::{Directory, Incarnation},
        pace::Pace,
        pause::Pause,
        rate::RequestRate,
    },
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// Age up to which the end of a limit is told to other processes.
const END_AGE_MAX: Span = Span::from_secs(10);

/// That a target named a limit, or none any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The target.
    pub incarnation: Incarnation,
    /// Requests per second of all processes; `None` if the limit is over.
    pub per_second: Option<f64>,
    /// Time since the answer that showed it, in microseconds.
    pub age: u64,
}

impl LimitReport {
    /// Returns the limit.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.per_second.and_then(RequestRate::new)
    }

    /// Returns the time since the answer that showed it.
    pub(crate) fn age(&self) -> Span {
        Span::from_micros(self.age)
    }
}

/// Announcements of a target that are in force for one process.
#[derive(Clone, Debug, Default)]
pub struct Announced {
    /// Pause that the target asked this process for. Others may have been asked
    /// for another one or for none.
    pause: Option<Pause>,
    pace: Option<Pace>,
    /// When the last answer arrived that named a limit or its end.
    observed_at: Time,
    /// Whether this process got that answer itself.
    is_own: bool,
}

impl Announced {
    /// Returns the limit on the requests of all processes, if the target names
    /// one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.pace.map(|pace| pace.limit())
    }

    /// Returns the pace of this process, if the target names a limit.
    pub fn pace(&self) -> Option<Pace> {
        self.pace
    }

    /// Returns the pause that the target asked this process for.
    pub fn pause(&self) -> Option<Pause> {
        self.pause
    }

    /// Records that an answer asked for a pause, or that it did not; the answered
    /// request was sent at `sent_at`. For `phase` see [`Pause::new`].
    pub fn observe_pause(&mut self, now: Time, span: Option<Span>, sent_at: Time, phase: f64) {
        match span {
            Some(span) => self.pause = Some(Pause::new(now, span, phase).or_longer(self.pause)),
            None => self.pause.iter_mut().for_each(|pause| pause.request_answered(sent_at)),
        }
    }

    /// Counts a request that is sent to the target.
    pub fn begin(&mut self, now: Time, peers: u32) {
        if let Some(pace) = &mut self.pace {
            pace.take(now, peers);
        }
    }

    /// Records that an answer to a request that was sent at `sent_at` named a
    /// limit, or none. Only a later request than the last answer with a limit
    /// shows that it is over: answers overtake each other on several connections.
    /// `phase` places the requests of this process among those of all, see
    /// [`Pace::new`].
    pub fn observe(&mut self, now: Time, limit: Option<RequestRate>, sent_at: Time, phase: f64) {
        if limit.is_none() && (self.pace.is_none() || sent_at <= self.observed_at) {
            return;
        }
        (self.observed_at, self.is_own) = (now, true);
        self.set_limit(now, limit, phase);
    }

    /// Applies what another process has observed at a time, if that is newer.
    pub fn learn(&mut self, now: Time, limit: Option<RequestRate>, observed_at: Time, phase: f64) {
        if observed_at > self.observed_at {
            (self.observed_at, self.is_own) = (observed_at, false);
            self.set_limit(now, limit, phase);
        }
    }

    fn set_limit(&mut self, now: Time, limit: Option<RequestRate>, phase: f64) {
        self.pace = limit.map(|rate| match self.pace {
            Some(pace) => pace.with_limit(rate),
            None => Pace::new(now, rate, phase),
        });
    }

    /// Returns what this process has observed of the target, for the leader.
    pub fn report(&self, now: Time, incarnation: &Incarnation) -> Option<LimitReport> {
        let age = now.since(self.observed_at);
        let is_news = self.is_own && (self.pace.is_some() || age < END_AGE_MAX);
        is_news.then(|| LimitReport {
            incarnation: incarnation.clone(),
            per_second: self.limit().map(RequestRate::per_second),
            age: age.as_micros(),
        })
    }
}

/// The newest observation of each target's limit, as the leader knows it.
#[derive(Clone, Debug, Default)]
pub struct LimitBoard {
    observations: HashMap<Arc<str>, Observation>,
}

#[derive(Clone, Debug)]
struct Observation {
    incarnation: Incarnation,
    limit: Option<RequestRate>,
    observed_at: Time,
}

impl LimitBoard {
    /// Records what a process has observed, if it is newer than what is known.
    pub fn record(&mut self, now: Time, report: &LimitReport) {
        let observation = Observation {
            incarnation: report.incarnation.clone(),
            limit: report.rate(),
            observed_at: now.before(report.age()),
        };
        match self.observations.get_mut(&report.incarnation.id) {
            Some(known) if known.observed_at >= observation.observed_at => {}
            Some(known) => *known = observation,
            None => drop(self.observations.insert(report.incarnation.id.clone(), observation)),
        }
    }

    /// Returns the limit that a target names.
    pub fn limit(&self, incarnation: &Incarnation) -> Option<RequestRate> {
        let known = self.observations.get(&incarnation.id)?;
        known.limit.filter(|_| known.incarnation == *incarnation)
    }

    /// Returns all observations, for the processes.
    pub fn reports(&self, now: Time) -> Vec<LimitReport> {
        let report = |known: &Observation| LimitReport {
            incarnation: known.incarnation.clone(),
            per_second: known.limit.map(RequestRate::per_second),
            age: now.since(known.observed_at).as_micros(),
        };
        self.observations.values().map(report).collect()
    }

    /// Removes targets that the directory does not list, and ends of limits that
    /// all processes have learned of.
    pub fn retain(&mut self, now: Time, directory: &Directory) {
        self.observations.retain(|_, known| {
            let is_news = known.limit.is_some() || now.since(known.observed_at) < END_AGE_MAX;
            is_news && directory.current(&known.incarnation).is_some()
        });
    }
}
