//! Faults that are switched on over HTTP.

use {
    catkin::{
        api::Load,
        types::{Share, Span},
    },
    serde::{Deserialize, Serialize},
};

/// Faults of the log service and the VM list. A body of `/faults` replaces
/// all of them; a field that it leaves out is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Answers every request to the log with status 503.
    pub down: bool,
    /// Never answers the requests to the log that come while this is on.
    pub silent: bool,
    /// Delays every answer of the log.
    pub slow: Span,
    /// Number of appends that take effect and whose answer never comes.
    pub lose: u32,
    /// Number of appends that take effect and whose connection closes before
    /// the answer.
    pub hang_up: u32,
    /// Number of appends that are refused with status 503.
    pub refuse: u32,
    /// Answers every request to the VM list with status 503.
    pub unlisted: bool,
}

/// Slowness of the first requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Number of requests that are slow.
    pub requests: u32,
    /// Factor of their work time.
    pub factor: f64,
}

/// Faults of a target. A body of `/faults` replaces all of them; a field that
/// it leaves out is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaults {
    /// Time from now on in which the target does nothing; it then goes on as
    /// if no time had passed.
    pub freeze: Span,
    /// Factor of the work time.
    pub slow: Option<f64>,
    /// Refuses all work unrun.
    pub refuse: bool,
    /// Share of the work that is refused unrun.
    pub shed: Share,
    /// Load report that is given in place of the true one.
    pub lie: Option<Load>,
    /// Slowness of the next requests.
    pub cold: Option<Cold>,
    /// Number of requests that run and whose answer never comes.
    pub lose: u32,
    /// Number of requests that run and whose connection closes before the
    /// answer.
    pub hang_up: u32,
    /// Number of answers that stop in the middle on an open connection.
    pub silent: u32,
    /// Number of answers that end in the middle with the connection.
    pub cut: u32,
    /// Runs work whatever its slice and fence are.
    pub unfenced: bool,
}
