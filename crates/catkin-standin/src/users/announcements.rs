//! What a server announces in its answers, and the checks that callers keep to
//! it. Restarts, pauses and ends of callers since are an excuse.

use {
    super::invariants::InvariantChecker,
    std::time::{Duration, Instant},
};

/// Time after a server named a limit from which on it is checked.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Span in which the requests at a server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Requests in that span, as a multiple of the limit and in addition to it, that
/// are no violation.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// Time after the start of a pause in which requests are on their way.
const PAUSE_GRACE: Duration = Duration::from_millis(500);

/// Later requests of each caller that are no violation.
const PAUSE_REQUESTS_MAX: usize = 2;

/// A limit that the server names in its answers.
#[derive(Debug)]
struct NamedLimit {
    per_second: f64,
    since: Instant,
    /// Times of the requests since.
    arrivals: Vec<Instant>,
}

impl NamedLimit {
    /// Returns the most requests in one window, if they are too many.
    fn excess(&self) -> Option<usize> {
        let checked = self.arrivals.iter().filter(|at| **at - self.since >= LIMIT_GRACE);
        let checked: Vec<&Instant> = checked.collect();
        let in_window = |(i, from): (usize, &&Instant)| {
            checked[i..].iter().filter(|at| ***at - **from < LIMIT_WINDOW).count()
        };
        let most = checked.iter().enumerate().map(in_window).max().unwrap_or(0);
        let allowed = LIMIT_FACTOR * LIMIT_WINDOW.as_secs_f64() * self.per_second + LIMIT_SLACK;
        (most as f64 > allowed).then_some(most)
    }
}

/// That the server says in its answers that it leaves.
#[derive(Debug)]
struct Leaving {
    /// Time after the first such answer from which on no request may arrive.
    drain_time: Duration,
    /// When it first answered so.
    since: Option<Instant>,
}

/// A time in which the server refuses all requests and says for how long.
#[derive(Debug)]
struct Pause {
    since: Instant,
    until: Instant,
    /// Number of callers that it has answered so.
    callers: usize,
    /// Requests that arrived later than [`PAUSE_GRACE`] after its start.
    late: usize,
}

/// Announcements of a server that are in force.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    limit: Option<NamedLimit>,
    leaving: Option<Leaving>,
    pause: Option<Pause>,
}

/// What the answer to a request announces.
#[derive(Debug, Default)]
pub(super) struct Announced {
    /// Limit in requests per second.
    pub(super) limit: Option<f64>,
    /// Whether the server leaves.
    pub(super) leaves: bool,
    /// Rest of the pause; the request is refused in it.
    pub(super) rest: Option<Duration>,
}

impl Announcements {
    /// Names a limit from now on, or none, and checks the last one.
    pub(super) fn set_limit(&mut self, id: &str, checker: &InvariantChecker, per_second: Option<f64>) {
        let limit = per_second.map(|per_second| NamedLimit {
            per_second,
            since: Instant::now(),
            arrivals: Vec::new(),
        });
        let Some(ended) = std::mem::replace(&mut self.limit, limit) else { return };
        let NamedLimit { per_second, since, .. } = ended;
        if let Some(count) = ended.excess().filter(|_| checker.is_calm_since(since)) {
            checker.add_violation(format!(
                "{id} got {count} requests in {LIMIT_WINDOW:?} beside a limit of {per_second} per second"
            ));
        }
    }

    /// Says from now on that the server leaves, or no longer.
    pub(super) fn set_leaving(&mut self, drain_time: Option<Duration>) {
        self.leaving = drain_time.map(|drain_time| Leaving { drain_time, since: None });
    }

    /// Ends everything that the server announced: a process that starts again
    /// knows nothing of before.
    pub(super) fn restart(&mut self, id: &str, checker: &InvariantChecker) {
        self.set_limit(id, checker, None);
        self.set_leaving(None);
        self.pause = None;
    }

    /// Starts a pause.
    pub(super) fn pause(&mut self, span: Duration, callers: usize) {
        let since = Instant::now();
        self.pause = Some(Pause { since, until: since + span, callers, late: 0 });
    }

    /// Returns how many requests arrived in the last pause once it was announced.
    pub(super) fn late_requests(&self) -> usize {
        self.pause.as_ref().map_or(0, |pause| pause.late)
    }

    /// Returns whether answers say that the server leaves.
    pub(super) fn leaves(&self) -> bool {
        self.leaving.is_some()
    }

    /// Checks a request that arrives, and returns what its answer announces.
    pub(super) fn arrive(&mut self, id: &str, checker: &InvariantChecker) -> Announced {
        let now = Instant::now();
        let limit = self.limit.as_mut().map(|limit| {
            limit.arrivals.push(now);
            limit.per_second
        });
        let leaves = self.leaving.is_some();
        if let Some(Leaving { drain_time, since }) = &mut self.leaving {
            let since = *since.get_or_insert(now);
            if now - since > *drain_time && checker.is_calm_since(since) {
                let late = now - since;
                checker.add_violation(format!("{id} got a request {late:?} after it said that it leaves"));
            }
        }
        let rest = self.pause.as_ref().and_then(|pause| pause.until.checked_duration_since(now));
        if let Some(pause) = self.pause.as_mut().filter(|p| rest.is_some() && now - p.since > PAUSE_GRACE) {
            pause.late += 1;
            if pause.late > PAUSE_REQUESTS_MAX * pause.callers && checker.is_calm_since(pause.since) {
                checker.add_violation(format!("{id} got {} requests in its pause", pause.late));
            }
        }
        Announced { limit, leaves, rest }
    }
}
