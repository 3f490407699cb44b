//! The error type of all programs and its numbered codes.
//!
//! `docs/ERRORS.md` has the same table for operators; a test compares the two.

use std::{fmt, sync::Arc};

/// Alias for results with the crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

const RETRY_LATER_STATUS: u16 = 503;

/// Whether the work that ended with a code ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The code does not concern a request.
    None,
    /// No part of the request ran on a server.
    NotRun,
    /// The request may have run; its outcome is not known.
    Unknown,
    /// The request ran.
    Ran,
}

impl Outcome {
    /// Returns the value of the answer header `x-catkin-outcome`. The value `none`
    /// is written for codes that do not concern a request.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

macro_rules! codes {
    ($($name:ident = $number:literal, $outcome:ident, $status:literal, $meaning:literal;)*) => {
        /// Numbered result codes. The first digit is the group: 1 settings and
        /// usage, 2 configuration, 3 log records, 4 not run, 5 outcome
        /// unknown, 6 ran, 7 platform, 8 messages, 9 internal.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns whether the work that ended with the code ran.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// Returns the HTTP status that callers see.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the one-line meaning that `docs/ERRORS.md` lists.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Returns the name that `docs/ERRORS.md` lists.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    UnknownField = 101, None, 400, "A field is not known.";
    BadValue = 102, None, 400, "A value is malformed or not allowed.";
    BadUnit = 103, None, 400, "A value has an invalid unit or none.";
    NotIp = 104, None, 400, "An address is not an IP address with a port.";
    ZeroLimit = 105, None, 400, "A limit is 0.";
    MissingField = 106, None, 400, "A required field is missing.";
    UnreadableFile = 107, None, 400, "A file can't be read.";
    BadUsage = 108, None, 400, "The command line is invalid.";
    ConfigSyntax = 201, None, 400, "A configuration is not valid YAML of the expected shape.";
    ConfigService = 202, None, 400, "A configuration names a service that it does not define.";
    ConfigReason = 203, None, 400, "An exception has no reason or no author.";
    ConfigRange = 204, None, 400, "A configuration value is outside its range.";
    ConfigConflict = 205, None, 409, "Another configuration was published first.";
    ConfigTwice = 206, None, 400, "A field or a route of a service is set twice.";
    StaleVersion = 301, None, 409, "The expected version of a record is not the current one.";
    Duplicate = 302, None, 200, "A record with this writer and sequence was read before.";
    NotKeeper = 303, None, 409, "Only the keeper of the owner may move a slice.";
    ForeignRecord = 304, None, 400, "A record was not written by this system.";
    TornRecord = 305, None, 400, "A record is truncated or its checksum differs.";
    UnknownSlice = 306, None, 404, "A record names a slice that does not exist.";
    TakenIntent = 307, None, 409, "An earlier record has this idempotency key.";
    UnknownService = 401, NotRun, 404, "The service is not configured.";
    MissingKey = 402, NotRun, 400, "The service is keyed and the request has no key.";
    BadDeadline = 403, NotRun, 400, "The deadline is not a whole number of milliseconds above 0.";
    HeadTooLarge = 404, NotRun, 431, "The head of the request is too large.";
    BodyTooLarge = 405, NotRun, 413, "The body of the request is too large.";
    BadRequest = 406, NotRun, 400, "The request is malformed.";
    DeadlineTooShort = 407, NotRun, 503, "The request can't meet its deadline.";
    QueueFull = 408, NotRun, 503, "The queue of the target is full.";
    NoOwner = 409, NotRun, 503, "No target may serve the key at this moment.";
    TargetRefused = 410, NotRun, 503, "The target refused the request without running it.";
    Starting = 411, NotRun, 503, "The gateway has no state yet.";
    Leaving = 412, NotRun, 503, "The gateway or the target is leaving.";
    LogDown = 413, NotRun, 503, "The log is unavailable and the service requires it for this request.";
    IntentPending = 414, NotRun, 409, "Another request with this idempotency key is in progress.";
    ConnectFailed = 415, NotRun, 503, "No connection to the target could be opened.";
    FenceRefused = 416, NotRun, 503, "The target does not hold the slice with this fence.";
    RetryBudget = 417, NotRun, 503, "The retry budget is used up.";
    PeerUnreachable = 418, NotRun, 503, "The gateway that keeps the target is unreachable.";
    TargetLimited = 419, NotRun, 503, "The target takes no further request at this moment.";
    OutcomeUnknown = 501, Unknown, 504, "The request was sent and no answer came.";
    AnswerCut = 502, Unknown, 502, "The answer ended before it was complete.";
    IntentSettled = 503, Unknown, 409, "An earlier request with this idempotency key was sent; its outcome is not known.";
    UploadCut = 504, Unknown, 400, "The caller's body ended before it was complete.";
    Done = 601, Ran, 200, "The request ran and the answer is complete.";
    IntentDone = 602, Ran, 409, "An earlier request with this idempotency key ran.";
    LogUnavailable = 701, None, 503, "The log is unavailable.";
    AppendUnknown = 702, None, 503, "An append was sent and no answer came.";
    LogExpired = 703, None, 410, "Records from this offset have expired.";
    ListUnavailable = 704, None, 503, "The VM list is unavailable.";
    BadFrame = 801, None, 400, "A message can't be decoded.";
    FrameTooLarge = 802, None, 400, "A message is too large.";
    Internal = 901, None, 500, "A condition that should not occur.";
}

impl Code {
    /// Returns the number, whose hundreds digit is the group.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number, or `None` if there is none.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{}", self.number())
    }
}

/// An error with a numbered code, a detail text and, if it concerns a field,
/// the path of the field.
pub struct Error {
    inner: Box<Inner>,
}

struct Inner {
    code: Code,
    path: Option<Arc<str>>,
    detail: Arc<str>,
}

impl Error {
    /// Creates an error. The detail is a text for the reader; for a field it says
    /// what was read and what is allowed.
    pub fn new(code: Code, detail: impl Into<Arc<str>>) -> Self {
        Self { inner: Box::new(Inner { code, path: None, detail: detail.into() }) }
    }

    /// Sets the path of the field that the error concerns.
    #[must_use]
    pub fn with_path(mut self, path: impl Into<Arc<str>>) -> Self {
        self.inner.path = Some(path.into());
        self
    }

    /// Returns the numbered code.
    pub fn code(&self) -> Code {
        self.inner.code
    }

    /// Returns the path of the field, or `None` if the error concerns no field.
    pub fn path(&self) -> Option<&str> {
        self.inner.path.as_deref()
    }

    /// Returns the text for the reader; for a field what was read and what is
    /// allowed.
    pub fn detail(&self) -> &str {
        &self.inner.detail
    }

    /// Returns whether the work certainly did not run.
    pub fn is_not_run(&self) -> bool {
        self.code().outcome() == Outcome::NotRun
    }

    /// Returns whether the work may have run and its outcome is not known.
    pub fn is_unknown(&self) -> bool {
        self.code().outcome() == Outcome::Unknown
    }

    /// Returns whether the same request may succeed later and certainly had no
    /// effect.
    pub fn is_retryable(&self) -> bool {
        self.code().status() == RETRY_LATER_STATUS && self.code() != Code::AppendUnknown
    }

    /// Returns whether the command line or the settings caused the error.
    pub fn is_usage(&self) -> bool {
        matches!(self.code().number(), 100..=199)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.code())?;
        if let Some(path) = self.path() {
            write!(f, " at {path}")?;
        }
        write!(f, ": {}", self.detail())
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl std::error::Error for Error {}
