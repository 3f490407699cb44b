//! Stand-ins for the platform and for targets, for tests and the demo.
//!
//! [`start`] runs, on the current thread, a log service and a VM list on one
//! address and any number of targets, each on its own address. `POST /faults`
//! switches faults of each of them on and off while it runs.
//!
//! - [`Echo`] is the answer to work.
//! - [`Ledger`] lists the runs of a target and when it owned which slice.
//! - [`read_journal`] reads the runs of a target whose process has ended.
//! - [`PlatformFaults`] and [`TargetFaults`] are the bodies of `/faults`.
//! - [`users`] has stand-ins for the platform that `catkin-edge` runs on (store,
//!   servers, operator).

mod answer;
mod body;
mod echo;
mod faults;
mod journal;
mod ledger;
mod list;
mod load_history;
mod log;
mod platform;
mod run;
mod start;
mod target;
pub mod users;
mod work;

pub use {
    echo::{Echo, checksum, header},
    faults::{ColdStart, PlatformFaults, TargetFaults},
    journal::read_journal,
    ledger::{Counts, Interval, Ledger, Run},
    list::VmRemoval,
    start::{RunningStandins, start},
};
