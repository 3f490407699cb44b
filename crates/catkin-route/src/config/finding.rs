//! Findings of a check of a configuration.

use {
    super::Place,
    catkin::{Code, Error},
    derive_more::Display,
    serde::{Serialize, Serializer},
};

/// How a finding affects the use of a configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The configuration is used as written.
    #[display("info")]
    Info,
    /// The configuration is used, but probably not as intended.
    #[display("warning")]
    Warning,
    /// The configuration is refused.
    #[display("error")]
    Error,
}

impl Serialize for Severity {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

macro_rules! finding_codes {
    ($($name:ident = $text:literal, $severity:ident, $error:expr, $meaning:literal, $advice:literal;)*) => {
        /// Stable code of a finding. `docs/ERRORS.md` lists all of them.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
        pub enum FindingCode {
            $(#[doc = $meaning] #[display($text)] $name,)*
        }

        impl FindingCode {
            /// All codes, errors first.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the severity of all findings with this code.
            pub fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity,)* }
            }

            /// Returns the number of the error with which a process refuses the
            /// configuration. Findings about its use have none.
            pub fn error_code(self) -> Option<Code> {
                match self { $(Self::$name => $error,)* }
            }

            /// Returns the one-line meaning.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Returns what to do about it.
            pub fn advice(self) -> &'static str {
                match self { $(Self::$name => $advice,)* }
            }
        }
    };
}

const SYNTAX: Option<Code> = Some(Code::ConfigSyntax);
const RANGE: Option<Code> = Some(Code::ConfigRange);
const SERVICE: Option<Code> = Some(Code::ConfigService);

finding_codes! {
    CutShort = "cut_short", Error, SYNTAX, "The document ends too early.", "Copy the whole document.";
    BadSyntax = "bad_syntax", Error, SYNTAX, "The document is not JSON.", "Correct the text at this line and column.";
    MissingField = "missing_field", Error, SYNTAX, "A required field is missing.", "Add the field.";
    WrongType = "wrong_type", Error, SYNTAX, "A value has another type than its field.", "Write a value of the type that the message names.";
    DuplicateField = "duplicate_field", Error, SYNTAX, "A field occurs twice in one object.", "Remove one of the two.";
    BadVersion = "bad_version", Error, SYNTAX, "The version is not a hexadecimal number.", "Write up to 16 hexadecimal digits.";
    NoAction = "no_action", Error, SYNTAX, "A route has neither a service nor a split, or both.", "Write exactly one of the two.";
    BelowZero = "below_zero", Error, RANGE, "A number is below zero.", "Write a number in the range that the message names.";
    LongTimeout = "long_timeout", Error, RANGE, "A timeout is too long.", "Write a timeout in the range that the message names.";
    OutOfRange = "out_of_range", Error, RANGE, "A number is too large.", "Write a number in the range that the message names.";
    NoHost = "no_host", Error, SERVICE, "A route has no host.", "Write the host name of the requests.";
    BadPrefix = "bad_prefix", Error, SERVICE, "A prefix does not have a slash at both ends.", "Write the prefix with a slash at both ends.";
    NoWeight = "no_weight", Error, SERVICE, "A split has no weight above 0.", "Give at least one service a weight above 0.";
    ZeroTimeout = "zero_timeout", Error, SERVICE, "The timeout of a route is 0.", "Write a timeout above 0.";
    ZeroAttempts = "zero_attempts", Error, SERVICE, "A route allows no attempt.", "Allow at least one attempt.";
    UnknownService = "unknown_service", Error, SERVICE, "A route names a service that is not defined.", "Define the service, or correct the name.";
    SamePlace = "same_place", Error, SERVICE, "Two routes have the same host and prefix.", "Remove one of them, or change its host or prefix.";
    OldVersion = "old_version", Error, None, "The version is not later than the one in force.", "Write a version above the one in force.";
    BadBase = "bad_base", Error, None, "The configuration to compare with is refused itself.", "Compare with the configuration in force.";
    NeverMatches = "never_matches", Warning, None, "No path of a request begins with the prefix.", "Write the characters percent-encoded, and no query or fragment.";
    DoubledSlash = "doubled_slash", Warning, None, "Only paths that have the doubled slash too match the prefix.", "Write a single slash, unless callers do send two.";
    ImpossibleHost = "impossible_host", Warning, None, "No request has this host name.", "Write a host name without wildcards, spaces and paths; list each host on its own.";
    UpperCaseHost = "upper_case_host", Warning, None, "Only requests with the same upper-case letters match the host.", "Write the host name in lower case, as clients send it.";
    HostWithPort = "host_with_port", Info, None, "Only requests that name the port match the host.", "Leave out the port to match requests with any port.";
    ZeroWeight = "zero_weight", Warning, None, "A service of a split gets no requests.", "Remove the service from the split, or raise its weight to 0.001 or more.";
    UnusedService = "unused_service", Warning, None, "No route names the service.", "Remove the service, or add the route that is missing.";
    DuplicateService = "duplicate_service", Warning, None, "A service is defined twice; the last definition counts.", "Remove one of the definitions.";
    SharedName = "shared_name", Warning, None, "Two split routes have the same name and different weights, which mixes up their shares.", "Give each route a name of its own.";
    CaseDiffers = "case_differs", Warning, None, "Two names differ only in case.", "Write one of them as the other, unless both are meant.";
    UnknownKind = "unknown_kind", Warning, None, "The kind of a route is unknown; its requests run at most once.", "Write one of the kinds that OPERATIONS.md lists.";
    ObjectiveAboveTimeout = "objective_above_timeout", Warning, None, "The latency objective is above the timeout.", "Lower the objective, or raise the timeout.";
    TimeoutBelowWait = "timeout_below_wait", Warning, None, "The timeout is below half of the latency objective, for which requests may wait for a target.", "Lower the objective, or raise the timeout.";
    AttemptsOfOnce = "attempts_of_once", Info, None, "Requests that run at most once have several attempts; the further ones serve refused requests alone.", "Nothing, if that is meant.";
    ZeroLimit = "zero_limit", Warning, None, "A limit is 0, so that requests are refused or connections closed at once.", "Write a limit above 0.";
    ShortIdle = "short_idle", Warning, None, "Connections may be idle for a shorter time than a head may take.", "Raise the idle timeout, or lower the header timeout.";
    SmallBody = "small_body", Warning, None, "Bodies must be smaller than heads.", "Raise the limit of bodies, or lower the one of heads.";
    ColdWithoutRate = "cold_without_rate", Warning, None, "Targets are cold for a time, but no rate limits their requests then.", "Set the cold rate too, or remove the time.";
    RateWithoutCold = "rate_without_cold", Warning, None, "A cold rate is set, but no time for which targets are cold.", "Set the time too, or remove the rate.";
    ZeroColdRate = "zero_cold_rate", Warning, None, "A cold rate of 0 counts as none: requests to cold targets are not limited.", "Write a rate above 0, or remove it.";
    HighColdRate = "high_cold_rate", Warning, None, "A cold target may get as many requests as a warm one, so the cold rate limits nothing.", "Lower the cold rate.";
    LowColdRate = "low_cold_rate", Warning, None, "A cold target may get no request at all in its cold time.", "Raise the cold rate, or the time.";
    BadHealthPath = "bad_health_path", Warning, None, "A health path does not begin with a slash and is ignored.", "Write the path with a slash at its beginning.";
    NotCompared = "not_compared", Info, None, "The configuration was not compared, as it has errors.", "Correct the errors and check again.";
    MayRepeat = "may_repeat", Warning, None, "Requests that ran at most once may run several times.", "Make sure that the service bears repeated requests.";
    KeyedChanged = "keyed_changed", Warning, None, "A service gains or loses owners of its keys.", "Make sure that its targets take commands about keys; move it as a new service otherwise.";
    ServiceRemoved = "service_removed", Warning, None, "A service is removed, while its targets may still announce themselves.", "Remove its targets first.";
    RouteRemoved = "route_removed", Warning, None, "Requests of a removed route have no route any more.", "Make sure that no client sends them.";
    TimeoutShortened = "timeout_shortened", Warning, None, "Requests have a shorter timeout, so that some may be ended that were answered before.", "Make sure that the longest answers take less.";
}

impl Serialize for FindingCode {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// A finding about one field of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The field.
    pub place: Place,
    /// What was found.
    pub code: FindingCode,
    /// What was read, in one sentence.
    pub message: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new(place: Place, code: FindingCode, message: impl Into<String>) -> Self {
        Self { place, code, message: message.into() }
    }

    /// Returns the error with which a process refuses the configuration.
    pub fn to_error(&self) -> Error {
        Error::new(self.code.error_code().unwrap_or(Code::ConfigService), &*self.message)
    }
}
