//! Leases of targets and grants of slices.
//!
//! [`Holder`] is the side of a target: it accepts commands of its keeper and
//! says whether a request may run.

mod holder;

pub use holder::{Holder, Ticket};
