//! Load generator for experiments against a running catkinhub.
//!
//! - [`Experiment`] holds the settings from a YAML file: arrivals, kinds of work
//!   and events such as faults.
//! - [`plan`] draws all arrivals from the seed before the first request is sent.
//! - [`run`] sends each request at its planned time without waiting for earlier
//!   answers (open loop), and returns a [`Report`].
//! - [`audit`] compares the answers to callers with the ledgers of the targets.
//! - [`compare`] tabulates two reports with the change of each measure.
//! - [`overhead`] checks the latency that gateways add to direct calls.

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
mod stats;

pub use {
    audit::{Checks, Findings, audit},
    compare::compare,
    event::{Action, Event},
    experiment::{Experiment, Kind, LedgerSource, Method, Phase},
    keys::{KeyDistribution, KeySampler},
    overhead::overhead,
    plan::{Arrival, plan},
    report::Report,
    run::run,
    send::{Answer, Record},
    stats::{KindStats, Quantiles},
};
