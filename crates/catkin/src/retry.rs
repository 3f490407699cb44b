//! Retry rules and the retry budget of a service.

use {
    crate::{
        Code, Error,
        config::Policy,
        types::{Share, Span, Time},
    },
    std::collections::VecDeque,
};

const WINDOW_SECS: u64 = 10;

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    second: u64,
    successes: u32,
    retries: u32,
}

/// Retry budget of one service on one VM: a share of the successes of the last
/// ten seconds. It starts at zero, so that a VM that has not seen a success of
/// the service adds no load to it.
#[derive(Debug)]
pub struct Budget {
    share: Share,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Creates a budget without successes, which allows no retry.
    pub fn new(policy: &Policy) -> Self {
        Self { share: policy.retry_budget, buckets: VecDeque::new() }
    }

    /// Adopts the share of a changed policy.
    pub fn set(&mut self, policy: &Policy) {
        self.share = policy.retry_budget;
    }

    /// Counts a request that succeeded.
    pub fn count_success(&mut self, now: Time) {
        self.bucket(now).successes += 1;
    }

    /// Takes one retry from the budget. Returns `false` if the budget is exhausted.
    pub fn take(&mut self, now: Time) -> bool {
        self.bucket(now);
        let successes: u32 = self.buckets.iter().map(|bucket| bucket.successes).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        if f64::from(retries + 1) > f64::from(successes) * self.share.as_f64() {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let second = now.as_micros() / Span::from_secs(1).as_micros();
        while self.buckets.front().is_some_and(|bucket| bucket.second + WINDOW_SECS <= second) {
            self.buckets.pop_front();
        }
        let last = self.buckets.back().map(|bucket| bucket.second);
        if last.is_none_or(|last| last < second) {
            self.buckets.push_back(Bucket { second, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// Failure of an attempt.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was sent to a target.
    Unsent(Error),
    /// The target refused the request without running it.
    Refused(Error),
    /// Part of the request was sent and no complete answer arrived, so it may have
    /// run.
    MayHaveRun(Error),
}

/// Attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct History {
    idempotent: bool,
    deadline: Time,
    attempts: u32,
    may_have_run: bool,
}

impl History {
    /// Creates the history of a request before its first attempt.
    pub fn new(idempotent: bool, deadline: Time) -> Self {
        Self { idempotent, deadline, attempts: 0, may_have_run: false }
    }

    /// Returns the number of failed attempts.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether an earlier attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

/// Decision after a failed attempt.
#[derive(Debug)]
pub enum Decision {
    /// Retry, on another target if there is one.
    Retry,
    /// Answer the caller with this error.
    Stop(Error),
}

/// Decides whether to retry a request after a failed attempt.
///
/// A request is retried only if it is idempotent or no attempt of it can have
/// run. The error of [`Decision::Stop`] reports "not run" only if that holds for
/// every attempt, not only for the last one.
pub fn decide(
    now: Time,
    policy: &Policy,
    budget: &mut Budget,
    history: &mut History,
    failure: Failure,
) -> Decision {
    history.attempts += 1;
    let error = match failure {
        Failure::Unsent(error) | Failure::Refused(error) => error,
        Failure::MayHaveRun(error) => {
            history.may_have_run = true;
            error
        }
    };
    let repeatable = history.idempotent || !history.may_have_run;
    let in_time = now < history.deadline;
    if !repeatable || !in_time || history.attempts >= policy.retry_tries {
        return Decision::Stop(consistent_error(history, error));
    }
    if !budget.take(now) {
        let detail = format!("retry budget of this service exhausted after: {error}");
        return Decision::Stop(consistent_error(history, Error::new(Code::RetryBudget, detail)));
    }
    Decision::Retry
}

/// Replaces an error that contradicts the attempts: by `Code::OutcomeUnknown` if an
/// attempt may have run and the error does not say that the outcome is unknown, by
/// `Code::TargetRefused` if no attempt can have run and the error does not report
/// "not run".
fn consistent_error(history: &History, error: Error) -> Error {
    if history.may_have_run && !error.is_unknown() {
        let detail = format!("an earlier attempt may have run; the last one failed: {error}");
        return Error::new(Code::OutcomeUnknown, detail);
    }
    if !history.may_have_run && !error.is_not_run() {
        return Error::new(Code::TargetRefused, format!("not run: {error}"));
    }
    error
}
