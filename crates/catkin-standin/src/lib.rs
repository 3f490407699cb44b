//! Stand-ins for the platform and for targets, for tests and the demo.
//!
//! [`start`] runs, on the current thread, a log service and a VM list on one
//! address and any number of targets, each on its own address. Every one of
//! them takes faults over HTTP while it runs (`POST /faults`).
//!
//! - [`Echo`] is the answer to work.
//! - [`Ledger`] counts what a target ran and when it owned which slice.
//! - [`read_journal`] reads what a target that has gone ran.
//! - [`PlatformFaults`] and [`TargetFaults`] are the bodies of `/faults`.
//! - [`users`] has stand-ins of the users' platform, for `catkin-edge`.

mod answer;
mod body;
mod echo;
mod faults;
mod journal;
mod ledger;
mod list;
mod log;
mod platform;
mod report;
mod run;
mod start;
mod target;
pub mod users;
mod work;

pub use {
    echo::{Echo, checksum, header},
    faults::{Cold, PlatformFaults, TargetFaults},
    journal::read_journal,
    ledger::{Counts, Interval, Ledger, Run},
    list::Removal,
    start::{Running, start},
};
