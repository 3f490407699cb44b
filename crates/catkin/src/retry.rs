//! Whether a request is tried again: rules and a budget for each service.

use {
    crate::{
        Code, Error,
        config::Policy,
        types::{Share, Span, Time},
    },
    std::collections::VecDeque,
};

const WINDOW_SECS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    number: u64,
    successes: u32,
    retries: u32,
}

/// The retries that one VM allows one service: a share of the successes of
/// the last ten seconds. It starts at zero, so that a VM that has not seen a
/// service work adds no load to it.
#[derive(Debug)]
pub struct Budget {
    share: Share,
    seconds: VecDeque<Second>,
}

impl Budget {
    /// Makes an empty budget.
    pub fn new(policy: &Policy) -> Self {
        Self { share: policy.retry_budget, seconds: VecDeque::new() }
    }

    /// Changes the share.
    pub fn set(&mut self, policy: &Policy) {
        self.share = policy.retry_budget;
    }

    /// Counts a request that ended well.
    pub fn succeed(&mut self, now: Time) {
        self.second(now).successes += 1;
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        self.second(now);
        let successes: u32 = self.seconds.iter().map(|s| s.successes).sum();
        let retries: u32 = self.seconds.iter().map(|s| s.retries).sum();
        if f64::from(retries + 1) > f64::from(successes) * self.share.as_f64() {
            return false;
        }
        self.second(now).retries += 1;
        true
    }

    fn second(&mut self, now: Time) -> &mut Second {
        let number = now.as_micros() / Span::from_secs(1).as_micros();
        while self.seconds.front().is_some_and(|s| s.number + WINDOW_SECS <= number) {
            self.seconds.pop_front();
        }
        let last = self.seconds.back().map(|s| s.number);
        if last.is_none_or(|last| last < number) {
            self.seconds.push_back(Second { number, ..Second::default() });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}

/// How a try failed.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was sent to a target.
    Unsent(Error),
    /// The target refused the request without running it.
    Refused(Error),
    /// Some of the request was sent and no complete answer came.
    Lost(Error),
}

/// The tries of one request.
#[derive(Clone, Copy, Debug)]
pub struct History {
    idempotent: bool,
    deadline: Time,
    tries: u32,
    exposed: bool,
}

impl History {
    /// Makes the history of a request before its first try.
    pub fn new(idempotent: bool, deadline: Time) -> Self {
        Self { idempotent, deadline, tries: 0, exposed: false }
    }

    /// Returns the number of failed tries.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Returns whether an earlier try may have run.
    pub fn is_exposed(&self) -> bool {
        self.exposed
    }
}

/// What follows a failed try.
#[derive(Debug)]
pub enum Decision {
    /// Try again, on another target if there is one.
    Retry,
    /// Answer the caller with this error.
    Stop(Error),
}

/// Decides what follows a failed try.
///
/// A request is tried again only if it is idempotent or no try of it can have
/// run. The error of [`Decision::Stop`] reports "not run" only if that holds
/// for every try, not only for the last.
pub fn decide(
    now: Time,
    policy: &Policy,
    budget: &mut Budget,
    history: &mut History,
    failure: Failure,
) -> Decision {
    history.tries += 1;
    let error = match failure {
        Failure::Unsent(error) | Failure::Refused(error) => error,
        Failure::Lost(error) => {
            history.exposed = true;
            error
        }
    };
    let safe = history.idempotent || !history.exposed;
    let timely = now < history.deadline;
    if !safe || !timely || history.tries >= policy.retry_tries {
        return Decision::Stop(truthful(history, error));
    }
    if !budget.take(now) {
        let detail = format!("no retry left for this service after: {error}");
        return Decision::Stop(truthful(history, Error::new(Code::RetryBudget, detail)));
    }
    Decision::Retry
}

/// Replaces an error that contradicts the history.
fn truthful(history: &History, error: Error) -> Error {
    if history.exposed && !error.is_unknown() {
        let detail = format!("an earlier try may have run; the last one: {error}");
        return Error::new(Code::OutcomeUnknown, detail);
    }
    if !history.exposed && !error.is_not_run() {
        return Error::new(Code::TargetRefused, format!("not run: {error}"));
    }
    error
}
