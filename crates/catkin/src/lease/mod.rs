//! Leases of targets and grants of slices.
//!
//! [`Holder`] is the side of a target: it accepts commands of its keeper and
//! says whether a request may run. [`Keeper`] is the side of an entry VM: it
//! decides which commands to send, when a slice may be granted, and what goes
//! to the log.

mod action;
mod bounds;
mod holder;
mod keeper;
mod kept;
mod link;
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
