//! Records runs and refusals of requests, and detects violations.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Instant};

#[derive(Clone, Debug, Default)]
struct RequestState {
    runs: u32,
    /// Whether the request may run at most once.
    at_most_once: bool,
    /// Whether a caller was told that the request did not run.
    refused: bool,
}

#[derive(Debug, Default)]
struct Inner {
    requests: HashMap<String, RequestState>,
    /// Highest fence and the server that used it, by key.
    fences: HashMap<u16, (u64, String)>,
    violations: Vec<String>,
    /// When a process was last started, paused or ended.
    disturbed_at: Option<Instant>,
    /// When a process was last cut off from the store, or no longer.
    cut_at: Option<Instant>,
}

/// Records what servers run and what callers are told, and detects violations.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    inner: Rc<RefCell<Inner>>,
}

impl InvariantChecker {
    /// Records that a server began to run a request. `at_most_once` means that
    /// the request may run at most once.
    pub fn record_run(&self, id: &str, at_most_once: bool) {
        let mut inner = self.inner.borrow_mut();
        let state = inner.requests.entry(id.to_owned()).or_default();
        state.runs += 1;
        state.at_most_once |= at_most_once;
        let state = state.clone();
        if state.at_most_once && state.runs > 1 {
            inner.violations.push(format!("request {id} may run at most once but ran {} times", state.runs));
        }
        if state.at_most_once && state.refused {
            inner.violations.push(format!("request {id} ran after it was refused as not run"));
        }
    }

    /// Records that a caller was told that a request did not run.
    /// `at_most_once` means that the request may run at most once.
    pub fn record_refusal(&self, id: &str, at_most_once: bool) {
        let mut inner = self.inner.borrow_mut();
        let state = inner.requests.entry(id.to_owned()).or_default();
        state.refused = true;
        let ran = state.runs > 0;
        if at_most_once && ran {
            inner.violations.push(format!("request {id} was refused as not run after it had run"));
        }
    }

    /// Records that a server began work on a key with a fence.
    pub fn record_work(&self, server: &str, key: u16, fence: u64) {
        let mut inner = self.inner.borrow_mut();
        let (highest, holder) = inner.fences.entry(key).or_insert((fence, server.to_owned())).clone();
        if fence < highest && holder != server {
            inner
                .violations
                .push(format!("{server} used fence {fence} for key {key} after {holder} used {highest}"));
        }
        if fence == highest && holder != server {
            inner.violations.push(format!("{server} and {holder} used fence {highest} for key {key}"));
        }
        if fence >= highest {
            inner.fences.insert(key, (fence, server.to_owned()));
        }
    }

    /// Records that a process was started, paused or ended: it does not know what
    /// servers announced before.
    pub fn record_disturbance(&self) {
        self.inner.borrow_mut().disturbed_at = Some(Instant::now());
    }

    /// Records that processes are cut off from the store from now on, or no
    /// longer.
    pub fn record_cut(&self) {
        self.inner.borrow_mut().cut_at = Some(Instant::now());
    }

    /// Returns the time since which every process has run and could reach the
    /// store, but not before `since`.
    pub fn reachable_since(&self, since: Instant) -> Instant {
        let inner = self.inner.borrow();
        [inner.disturbed_at, inner.cut_at].into_iter().flatten().fold(since, Instant::max)
    }

    /// Returns whether every process has run since a time.
    pub fn is_calm_since(&self, since: Instant) -> bool {
        self.inner.borrow().disturbed_at.is_none_or(|at| at < since)
    }

    /// Returns how often a request ran; 0 if the id is unknown.
    pub fn run_count(&self, id: &str) -> u32 {
        self.inner.borrow().requests.get(id).map_or(0, |r| r.runs)
    }

    /// Returns descriptions of all violations so far.
    pub fn violations(&self) -> Vec<String> {
        self.inner.borrow().violations.clone()
    }

    /// Adds a violation that the caller detected.
    pub fn add_violation(&self, description: String) {
        self.inner.borrow_mut().violations.push(description);
    }
}
