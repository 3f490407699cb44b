//! Leases of targets and grants of slices.
//!
//! [`Holder`] runs at a target: it accepts commands of its keeper and decides
//! whether a request may run. [`Keeper`] runs at an entry VM: it decides which
//! commands to send, when a slice may be granted, and what is appended to the
//! log.

mod action;
mod bounds;
mod channel;
mod holder;
mod keeper;
mod kept;
mod listing;
mod moves;
mod peers;
mod rows;
mod timings;

pub use {
    action::Action,
    holder::{Holder, Ticket},
    keeper::Keeper,
    timings::Timings,
};
