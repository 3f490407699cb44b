//! Whether a request goes to a target once more, and what its caller may be
//! told.

use {
    crate::{config::Rule, directory::Life},
    catkin::{Code, types::Time},
};

/// Failed connections after which a request is given up.
const UNREACHED_MAX: u32 = 4;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a complete answer that is no failure of the target.
    Answered,
    /// With a complete answer that says that the target failed; it ran.
    Failed,
    /// The target refused the request without running it.
    NotRun,
    /// The target does not hold the request's key, or is another process; the
    /// request did not run.
    Misdirected,
    /// No byte reached a target.
    Unreached,
    /// Some of the request was sent and no complete answer came.
    Lost,
}

/// The sends of one request.
#[derive(Clone, Debug)]
pub struct Tries {
    idempotent: bool,
    attempts: u32,
    until: Time,
    targets: Vec<Life>,
    sends: u32,
    unreached: u32,
    exposed: bool,
    misdirected: Option<Life>,
}

impl Tries {
    /// Starts with no send, for a request that is given up at a time.
    pub fn new(rule: &Rule, until: Time) -> Self {
        Self {
            idempotent: rule.kind.is_idempotent(),
            attempts: rule.attempts,
            until,
            targets: Vec::new(),
            sends: 0,
            unreached: 0,
            exposed: false,
            misdirected: None,
        }
    }

    /// Takes the end of a send.
    pub fn ended(&mut self, life: &Life, end: End) {
        if end == End::Unreached {
            self.unreached += 1;
            return;
        }
        self.sends += 1;
        self.exposed |= !matches!(end, End::NotRun | End::Misdirected);
        self.misdirected = (end == End::Misdirected).then(|| life.clone());
        if !self.targets.contains(life) {
            self.targets.push(life.clone());
        }
    }

    /// Returns the targets that had the request.
    pub fn targets(&self) -> &[Life] {
        &self.targets
    }

    /// Returns the target that did not hold the key at the last send. Only a
    /// newer table of owners says where the key is.
    pub fn misdirected(&self) -> Option<&Life> {
        self.misdirected.as_ref()
    }

    /// Returns the number of sends that reached a target.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether a send may have run.
    pub fn is_exposed(&self) -> bool {
        self.exposed
    }

    /// Returns whether the request may be sent once more. A request that may
    /// have run is sent again only if it may run twice.
    pub fn may_repeat(&self, now: Time) -> bool {
        let safe = self.idempotent || !self.exposed;
        let left = self.sends < self.attempts && self.unreached < UNREACHED_MAX;
        safe && left && now < self.until
    }

    /// Returns what the caller is told when the last send ended with a code.
    /// "Not run" must hold for every send, not only for the last.
    pub fn verdict(&self, code: Code) -> Code {
        match self.exposed {
            true if !matches!(code, Code::AnswerCut) => Code::OutcomeUnknown,
            _ => code,
        }
    }
}
