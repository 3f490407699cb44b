//! Load and experiments against a running catkinhub.
//!
//! - [`Experiment`] is what a YAML file describes: arrivals, classes and
//!   events such as faults.
//! - [`plan`] draws all arrivals from the seed before the first is sent.
//! - [`run`] sends them at their times, whatever became of earlier ones, and
//!   returns a [`Report`].
//! - [`audit`] compares what callers were told with what targets ran.
//! - [`compare`] puts two reports side by side.

mod audit;
mod body;
mod compare;
mod event;
mod experiment;
mod keys;
mod overhead;
mod plan;
mod report;
mod run;
mod send;
mod tally;

pub use {
    audit::{Checks, Findings, audit},
    compare::compare,
    event::{Action, Event},
    experiment::{Experiment, Kind, Method, Phase, Standin},
    keys::{Chooser, Keys},
    overhead::overhead,
    plan::{Arrival, plan},
    report::Report,
    run::run,
    send::{Answer, Record},
    tally::{Quantiles, Tally},
};
