//! Faults that are switched on and off over HTTP.

use {
    catkin::{
        api::Load,
        types::{Share, Span},
    },
    serde::{Deserialize, Serialize},
};

/// Faults of the log service and the VM list. A body of `POST /faults` replaces
/// all of them; a fault that it leaves out is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Answers every request to the log with status 503.
    pub down: bool,
    /// Does not answer appends that arrive, or reads that arrive or end, while
    /// this is on.
    pub silent: bool,
    /// Delay of every request to the log.
    pub slow: Span,
    /// Number of appends that take effect but are never answered.
    pub lose: u32,
    /// Number of appends that take effect but whose connection closes before
    /// the answer.
    pub hang_up: u32,
    /// Number of appends that are refused with status 503 and take no effect.
    pub refuse: u32,
    /// Answers every request to the VM list with status 503.
    pub unlisted: bool,
}

/// Fault that makes the next requests slow, as after a cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Number of slow requests that are left.
    pub requests: u32,
    /// Factor by which their duration is multiplied.
    pub factor: f64,
}

/// Faults of a target. A body of `POST /faults` replaces all of them; a fault
/// that it leaves out is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaults {
    /// Time after `POST /faults` for which the target is frozen. It then goes
    /// on with the requests that it has.
    pub freeze: Span,
    /// Factor by which the duration of work is multiplied.
    pub slow: Option<f64>,
    /// Refuses all work without running it.
    pub refuse: bool,
    /// Share of the work that is refused without running.
    pub shed: Share,
    /// Load that is reported in place of the measured one.
    pub lie: Option<Load>,
    /// Slows the next requests, as after a cold start.
    pub cold: Option<ColdStart>,
    /// Number of requests that run but are never answered.
    pub lose: u32,
    /// Number of requests that run but whose connection closes before the
    /// answer.
    pub hang_up: u32,
    /// Number of answers that stop in the middle while the connection stays
    /// open.
    pub silent: u32,
    /// Number of answers whose connection closes in the middle.
    pub cut: u32,
    /// Runs work without checking its slice and fence.
    pub unfenced: bool,
}
