//! Finds targets that have stopped responding, and shares that among processes.
//!
//! Load pattern: one of 84 targets stops at a moment, without closing its
//! connections. Each of 70 processes sends it a request every few seconds, which
//! waits until its deadline, so that every process finds out by itself and loses
//! requests. A fifth of the targets take three times their usual time for 400 ms
//! at a time, and busy ones queue requests; neither of these is silent.
//!
//! A request or an attempt to connect that has received no byte for longer than
//! [`Silence::limit`], while nothing else has come from the target either, makes
//! the target suspect. The time at which it was sent is compared with the time at
//! which any process last heard of the target, and the later one decides.

use {
    crate::directory::{Directory, Incarnation, Target},
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Times of answers from which the usual time of a service follows.
const SAMPLES: usize = 128;

/// Number of answers below which [`USUAL_DEFAULT`] counts as the usual time.
const SAMPLES_MIN: usize = 16;

/// Usual time of a service before it is known.
const USUAL_DEFAULT: Span = Span::from_millis(400);

/// Work that a target does not do in a slow period that it has not reported yet:
/// two thirds of 400 ms.
const SLOW_PERIOD_LOSS: Span = Span::from_millis(270);

/// Factor on the usual time in a slow period.
const SLOW_FACTOR: f64 = 3.0;

/// Factor on the longest of the last times: longer ones occur as well.
const TAIL_FACTOR: f64 = 1.25;

/// Time on the network and in the queues of both processes.
const TRANSIT: Span = Span::from_millis(50);

/// Least limit. A target that needs 20 ms may still wait for its machine's
/// processor for a while.
const LIMIT_MIN: Span = Span::from_millis(200);

/// Delay of the timer of a wait above which this process was itself paused, so
/// that answers may have arrived unread.
const TIMER_DELAY_MAX: Span = Span::from_millis(60);

/// Time between two examinations of a wait that says nothing of its target yet.
const RECHECK_INTERVAL: Span = Span::from_millis(50);

/// Age of the newest evidence from which on a target is not suspect any more. It
/// covers a health check, which is evidence when it ends.
const EVIDENCE_AGE_MAX: Span = Span::from_secs(5);

/// Least time between two health checks of a target.
const CHECK_INTERVAL_MIN: Span = Span::from_secs(1);

/// Time for which the end of a suspicion is told to others. It covers several
/// reports of each process.
const END_AGE_MAX: Span = Span::from_secs(2);

/// Time for which it holds that a service has too many suspect targets, as the
/// leader told. It covers two of its answers.
const EXEMPT_AGE_MAX: Span = Span::from_millis(1_200);

/// Most observations in a message.
const REPORTS_MAX: usize = 64;

/// Largest share of a service's targets that may be suspect, so that one of three
/// zones may. More targets seldom stop at once, and then the others could not
/// take their requests.
const SUSPECT_SHARE_MAX: f64 = 0.4;

/// Newest observation of a target, as it is sent to the leader and to all
/// processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SilenceReport {
    /// Observed incarnation.
    pub incarnation: Incarnation,
    /// Whether a request has waited in vain. Otherwise the target was heard.
    pub is_silent: bool,
    /// Time since that request was sent, or since the target was heard, in
    /// microseconds.
    age: u64,
}

impl SilenceReport {
    /// Returns the time since the observation.
    pub fn age(&self) -> Span {
        Span::from_micros(self.age)
    }
}

/// Which observations a message has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those of this process, for the leader.
    Own,
    /// The newest ones of all processes, for the others.
    All,
}

/// Wait for the first byte of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    sent_at: Time,
    due: Option<Time>,
}

impl Wait {
    /// Starts a wait for the answer to a request that was sent at a time.
    pub fn new(sent_at: Time, limit: Span) -> Self {
        Self { sent_at, due: Some(sent_at.after(limit)) }
    }

    /// Ends the wait, as bytes have arrived.
    pub fn end(&mut self) {
        self.due = None;
    }

    /// Returns when the wait is examined next, if it is.
    pub fn due(&self) -> Option<Time> {
        self.due
    }
}

/// Evidence that a target is silent.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// When the last request that waited in vain was sent.
    silent_since: Time,
    /// Whether this process has sent that request.
    is_own: bool,
    ended: Option<End>,
    /// Start of the last health check.
    checked_at: Option<Time>,
    is_checking: bool,
}

/// End of a suspicion.
#[derive(Clone, Copy, Debug)]
struct End {
    /// When a process received bytes of the target.
    heard_at: Time,
    /// Whether this process did.
    is_own: bool,
    /// When this process learned of it.
    noted_at: Time,
}

impl Suspicion {
    fn is_in_force(&self, now: Time) -> bool {
        self.ended.is_none() && now.since(self.silent_since) < EVIDENCE_AGE_MAX
    }
}

/// Last times of answers of a service, without queueing and at the usual speed.
#[derive(Clone, Debug, Default)]
struct UsualTimes {
    seconds: Vec<f32>,
    next: usize,
}

impl UsualTimes {
    fn record(&mut self, seconds: f64) {
        let seconds = seconds as f32;
        match self.seconds.get_mut(self.next) {
            Some(oldest) => *oldest = seconds,
            None => self.seconds.push(seconds),
        }
        self.next = (self.next + 1) % SAMPLES;
    }

    /// Returns the second longest time, which a single late answer does not
    /// change.
    fn longest(&self) -> Span {
        if self.seconds.len() < SAMPLES_MIN {
            return USUAL_DEFAULT;
        }
        let (_, second) = self.seconds.iter().fold((0.0_f32, 0.0_f32), |(first, second), time| {
            if *time > first { (*time, first) } else { (first, second.max(*time)) }
        });
        Span::from_micros((f64::from(second) * 1e6) as u64)
    }
}

/// What a process knows of targets that do not respond.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    /// When this process last received a byte, by target.
    heard: HashMap<Incarnation, Time>,
    heard_any: Time,
    suspicions: HashMap<Incarnation, Suspicion>,
    usual: HashMap<Arc<str>, UsualTimes>,
    /// Services that the leader knows to have too many suspect targets, and when it
    /// last told that.
    exempt: (Time, Vec<Arc<str>>),
}

impl Silence {
    /// Records how long a target of a service took for an answer, without queueing
    /// and at the usual speed.
    pub fn record_time(&mut self, service: &Arc<str>, time: Span) {
        self.usual.entry(service.clone()).or_default().record(time.as_secs_f64());
    }

    /// Returns the time without a byte after which a request to a target of a
    /// service says that the target is silent. `factor` is the time that the
    /// request is expected to take at this target, as a multiple of the usual one.
    pub fn limit(&self, service: &str, factor: f64) -> Span {
        let longest = self.usual.get(service).map_or(USUAL_DEFAULT, UsualTimes::longest);
        let longest = longest.scale(TAIL_FACTOR);
        let lost = longest.scale(SLOW_FACTOR - 1.0).min(SLOW_PERIOD_LOSS);
        (longest.scale(factor.max(1.0)) + lost + TRANSIT).max(LIMIT_MIN)
    }

    /// Records that this process has received bytes of a target. Returns whether
    /// that ends a suspicion.
    pub fn heard(&mut self, now: Time, incarnation: &Incarnation) -> bool {
        self.heard_any = now;
        match self.heard.get_mut(incarnation) {
            Some(at) => *at = now,
            None => drop(self.heard.insert(incarnation.clone(), now)),
        }
        let Some(suspicion) = self.suspicions.get_mut(incarnation) else { return false };
        let was_in_force = suspicion.is_in_force(now);
        if suspicion.ended.is_none() {
            suspicion.ended = Some(End { heard_at: now, is_own: true, noted_at: now });
        }
        was_in_force
    }

    /// Examines a wait of this process once it is due. Returns whether it is
    /// evidence that its target is silent; it is examined only once then.
    pub fn examine(&mut self, now: Time, incarnation: &Incarnation, wait: &mut Wait) -> bool {
        let Some(due) = wait.due.filter(|due| *due <= now) else { return false };
        if now.since(due) > TIMER_DELAY_MAX {
            wait.due = Some(now.after(RECHECK_INTERVAL));
            return false;
        }
        if self.heard_at(incarnation) >= wait.sent_at {
            wait.due = None;
            return false;
        }
        if self.heard_any <= wait.sent_at {
            // This process may itself be cut off.
            wait.due = Some(now.after(RECHECK_INTERVAL));
            return false;
        }
        wait.due = None;
        self.note_silent(now, incarnation, wait.sent_at)
    }

    /// Records that a request or an attempt to connect of this process has waited
    /// in vain since a time. Returns whether that is evidence.
    pub fn note_silent(&mut self, now: Time, incarnation: &Incarnation, sent_at: Time) -> bool {
        let is_evidence = self.heard_at(incarnation) < sent_at && self.heard_any > sent_at;
        if is_evidence {
            self.suspect(now, incarnation, sent_at, true);
        }
        is_evidence
    }

    fn heard_at(&self, incarnation: &Incarnation) -> Time {
        self.heard.get(incarnation).copied().unwrap_or_default()
    }

    fn suspect(&mut self, now: Time, incarnation: &Incarnation, silent_since: Time, is_own: bool) {
        let known = self.suspicions.get(incarnation);
        if known.is_some_and(|known| {
            known.silent_since >= silent_since || known.ended.is_some_and(|end| end.heard_at >= silent_since)
        }) {
            return;
        }
        let continued = known.filter(|known| known.is_in_force(now)).copied();
        let fresh = Suspicion {
            silent_since,
            is_own,
            ended: None,
            checked_at: None,
            is_checking: known.is_some_and(|known| known.is_checking),
        };
        let mut suspicion = match continued {
            Some(known) => Suspicion { silent_since, is_own, ..known },
            None => fresh,
        };
        let heard_at = self.heard_at(incarnation);
        if heard_at >= silent_since {
            suspicion.ended = Some(End { heard_at, is_own: true, noted_at: now });
        }
        self.suspicions.insert(incarnation.clone(), suspicion);
    }

    /// Applies what other processes have observed. The time of the message counts
    /// as zero: an answer that arrives from now on ends a suspicion in any case.
    pub fn learn(&mut self, now: Time, reports: &[SilenceReport]) {
        for SilenceReport { incarnation, is_silent, age } in reports {
            let at = now.before(Span::from_micros(*age));
            if *is_silent {
                self.suspect(now, incarnation, at, false);
            } else if let Some(suspicion) = self.suspicions.get_mut(incarnation)
                && suspicion.ended.is_none()
                && at > suspicion.silent_since
            {
                suspicion.ended = Some(End { heard_at: at, is_own: false, noted_at: now });
            }
        }
    }

    /// Returns the newest observations for a message. Suspects of services with
    /// too many of them are left out.
    pub fn reports(&self, now: Time, directory: &Directory, scope: Scope) -> Vec<SilenceReport> {
        let suspects: HashSet<Incarnation> = match scope {
            Scope::Own => HashSet::new(),
            Scope::All => self.suspects(now, directory).into_iter().collect(),
        };
        let report = |(incarnation, suspicion): (&Incarnation, &Suspicion)| {
            let (is_silent, at, is_reported) = match suspicion.ended {
                None => {
                    let is_reported = match scope {
                        Scope::Own => suspicion.is_own && suspicion.is_in_force(now),
                        Scope::All => suspects.contains(incarnation),
                    };
                    (true, suspicion.silent_since, is_reported)
                }
                Some(End { heard_at, is_own, noted_at }) => {
                    let is_recent = now.since(noted_at) < END_AGE_MAX;
                    (false, heard_at, is_recent && (is_own || scope == Scope::All))
                }
            };
            let age = now.since(at).as_micros();
            is_reported.then(|| SilenceReport { incarnation: incarnation.clone(), is_silent, age })
        };
        let mut reports: Vec<SilenceReport> = self.suspicions.iter().filter_map(report).collect();
        reports.sort_by(|a, b| (a.age, &a.incarnation).cmp(&(b.age, &b.incarnation)));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Returns the suspect targets, in no particular order. Those of a service with
    /// more than a bounded share of them are not treated as suspect: the cause is
    /// in the network then, or the targets have too much work.
    pub fn suspects(&self, now: Time, directory: &Directory) -> Vec<Incarnation> {
        let exempt = self.exempt_services(now, directory);
        let in_force = self.suspicions.iter().filter(|(_, suspicion)| suspicion.is_in_force(now));
        let targets = in_force.filter_map(|(incarnation, _)| directory.current(incarnation));
        let suspects = targets.filter(|target| !exempt.contains(&target.entry.service));
        suspects.map(|target| target.entry.incarnation.clone()).collect()
    }

    /// Returns the services with too many suspect targets, as far as this process or
    /// the leader knows. The leader tells others, which know only some of these.
    pub fn exempt_services(&self, now: Time, directory: &Directory) -> Vec<Arc<str>> {
        let mut counts: HashMap<&Arc<str>, usize> = HashMap::new();
        for (incarnation, _) in self.suspicions.iter().filter(|(_, suspicion)| suspicion.is_in_force(now)) {
            if let Some(target) = directory.current(incarnation) {
                *counts.entry(&target.entry.service).or_default() += 1;
            }
        }
        let is_present = |t: &&Target| t.draining_since.is_none() && t.evacuation.is_none() && !t.is_doubted;
        counts.retain(|service, count| {
            *count > suspects_max(directory.of_service(service).filter(is_present).count())
        });
        let mut exempt: Vec<Arc<str>> = counts.into_keys().cloned().collect();
        if now.since(self.exempt.0) < EXEMPT_AGE_MAX {
            let told = self.exempt.1.iter().filter(|service| !exempt.contains(service));
            let told: Vec<Arc<str>> = told.cloned().collect();
            exempt.extend(told);
        }
        exempt
    }

    /// Applies which services have too many suspect targets, as the leader knows.
    pub fn learn_exempt(&mut self, now: Time, services: Vec<Arc<str>>) {
        self.exempt = (now, services);
    }

    /// Returns whether the last suspicion of a target has ended since a process
    /// received bytes of it.
    pub fn has_answered(&self, incarnation: &Incarnation) -> bool {
        self.suspicions.get(incarnation).is_some_and(|suspicion| suspicion.ended.is_some())
    }

    /// Returns the targets that a process may check now. There is one health check
    /// for each at a time.
    pub fn unchecked(&self, now: Time) -> Vec<Incarnation> {
        let is_due = |suspicion: &Suspicion| {
            let is_recent = suspicion.checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL_MIN);
            suspicion.is_in_force(now) && !suspicion.is_checking && !is_recent
        };
        let due = self.suspicions.iter().filter(|(_, suspicion)| is_due(suspicion));
        due.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Records that this process starts a health check.
    pub fn check_started(&mut self, now: Time, incarnation: &Incarnation) {
        if let Some(suspicion) = self.suspicions.get_mut(incarnation) {
            (suspicion.checked_at, suspicion.is_checking) = (Some(now), true);
        }
    }

    /// Records the end of a health check that was sent at a time. One without an
    /// answer is new evidence. Returns whether an answer ended a suspicion.
    pub fn check_ended(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        sent_at: Time,
        is_answered: bool,
    ) -> bool {
        if let Some(suspicion) = self.suspicions.get_mut(incarnation) {
            suspicion.is_checking = false;
        }
        if is_answered {
            return self.heard(now, incarnation);
        }
        self.note_silent(now, incarnation, sent_at);
        false
    }

    /// Removes what is of no further use.
    pub fn retain(&mut self, now: Time, directory: &Directory) {
        self.heard.retain(|incarnation, _| directory.current(incarnation).is_some());
        self.suspicions.retain(|incarnation, suspicion| {
            let is_news = now.since(suspicion.silent_since) < EVIDENCE_AGE_MAX + END_AGE_MAX
                || suspicion.ended.is_some_and(|end| now.since(end.noted_at) < END_AGE_MAX);
            (is_news || suspicion.is_checking) && directory.current(incarnation).is_some()
        });
    }
}

/// Returns how many of a number of targets may be suspect.
fn suspects_max(targets: usize) -> usize {
    let share = (targets as f64 * SUSPECT_SHARE_MAX) as usize;
    if targets < 2 { 0 } else { share.max(1) }
}
