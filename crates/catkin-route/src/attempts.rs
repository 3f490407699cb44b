//! Decides whether a request gets another attempt, and what its caller may be
//! told.

use {
    crate::{config::Route, directory::Incarnation},
    catkin::{
        Code,
        types::{ConnId, Time},
    },
};

/// Attempts without a connection after which a request fails.
const CONNECT_FAILURES_MAX: u32 = 4;

/// How an attempt ended, for the decision whether the request gets another one
/// and for the code that its caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered completely, and the answer is no failure of the
    /// target.
    Answered,
    /// The target ran the request and answered that it failed.
    Failed,
    /// The target refused the request without running it.
    NotRun,
    /// The target does not own the key, or another target has its address; the
    /// request did not run.
    Misdirected,
    /// No byte of the request reached a target.
    Unreachable,
    /// At least a part of the request was sent, and no complete answer came.
    Unanswered,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    max_attempts: u32,
    deadline: Time,
    targets: Vec<Incarnation>,
    conns: Vec<ConnId>,
    reached: u32,
    connect_failures: u32,
    may_have_run: bool,
    misdirected: Option<Incarnation>,
}

impl Attempts {
    /// Starts without an attempt, for a request that fails at the deadline.
    pub fn new(route: &Route, deadline: Time) -> Self {
        Self {
            idempotent: route.kind.is_idempotent(),
            max_attempts: route.max_attempts,
            deadline,
            targets: Vec::new(),
            conns: Vec::new(),
            reached: 0,
            connect_failures: 0,
            may_have_run: false,
            misdirected: None,
        }
    }

    /// Records the connection on which an attempt is sent.
    pub fn sent_on(&mut self, conn: ConnId) {
        self.conns.push(conn);
    }

    /// Returns whether an attempt may be sent on a connection. All attempts of
    /// a request have its id, so a late copy of the answer to an earlier one on
    /// the same connection could not be told from the answer to the next one.
    pub fn may_send_on(&self, conn: ConnId) -> bool {
        !self.conns.contains(&conn)
    }

    /// Returns whether a target's answer may be forwarded. `says_not_run` is
    /// whether its status tells the caller that the request did not run, which a
    /// target that has run it may send too.
    pub fn may_forward(&self, says_not_run: bool) -> bool {
        self.idempotent || !says_not_run
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, incarnation: &Incarnation, end: AttemptEnd) {
        if end == AttemptEnd::Unreachable {
            self.connect_failures += 1;
            return;
        }
        self.reached += 1;
        self.may_have_run |= !matches!(end, AttemptEnd::NotRun | AttemptEnd::Misdirected);
        self.misdirected = (end == AttemptEnd::Misdirected).then(|| incarnation.clone());
        if !self.targets.contains(incarnation) {
            self.targets.push(incarnation.clone());
        }
    }

    /// Returns the targets that an attempt reached.
    pub fn targets(&self) -> &[Incarnation] {
        &self.targets
    }

    /// Returns the target of the last attempt that reached a target, if it was
    /// misdirected. A request with a key must not go there again while the
    /// table of owners names that target.
    pub fn misdirected(&self) -> Option<&Incarnation> {
        self.misdirected.as_ref()
    }

    /// Returns whether there was no attempt yet.
    pub fn is_empty(&self) -> bool {
        self.reached == 0 && self.connect_failures == 0
    }

    /// Returns the number of attempts that reached a target.
    pub fn reached(&self) -> u32 {
        self.reached
    }

    /// Returns whether the request may have run in any attempt.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether the request may get another attempt. A request that may
    /// have run gets one only if it may run twice.
    pub fn may_retry(&self, now: Time) -> bool {
        let is_safe = self.idempotent || !self.may_have_run;
        let has_attempt_left =
            self.reached < self.max_attempts && self.connect_failures < CONNECT_FAILURES_MAX;
        is_safe && has_attempt_left && now < self.deadline
    }

    /// Returns whether another attempt may still replace the answer of the current
    /// one, which is not yet recorded and whose target has begun to answer.
    pub fn may_replace(&self, now: Time) -> bool {
        self.idempotent && self.reached + 1 < self.max_attempts && now < self.deadline
    }

    /// Returns the code for the caller when the last attempt ended with `code`.
    /// A code that says "not run" must hold for every attempt, not only for the
    /// last.
    pub fn caller_code(&self, code: Code) -> Code {
        match self.may_have_run {
            true if !matches!(code, Code::AnswerCut) => Code::OutcomeUnknown,
            _ => code,
        }
    }
}
