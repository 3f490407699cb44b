//! Placement: keepers of targets, owners and standbys of slices.
//!
//! - [`keeper`] ranks the entry VMs for a target, [`Claims`] says which
//!   `Keeper` records this VM should append.
//! - [`Assigner`] proposes the first owners of slices.
//! - [`Loads`] measures the load of slices and finds hot keys, [`Planner`]
//!   moves slices by it.

mod assign;
mod flow;
mod keeper;
mod load;
mod plan;
mod zone;

pub use {
    assign::Assigner,
    keeper::{Claims, keeper, kept_max, watched},
    load::{DECAY, Loads, Sketch},
    plan::{Inputs, MOTION_SHARE, Plan, Planner, own_totals},
    zone::{Server, servers},
};
