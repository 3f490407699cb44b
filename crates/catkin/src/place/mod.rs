//! Placement: keepers of targets, owners and standbys of slices.
//!
//! - [`choose_keeper`] ranks the entry VMs for a target, [`Claims`] returns
//!   the `Keeper` records that this VM should append.
//! - [`Assigner`] proposes the first owners of slices.
//! - [`SliceLoads`] measures the load of slices and finds hot keys, [`Planner`]
//!   plans moves by this load.

mod assign;
mod flow;
mod keeper;
mod load;
mod plan;
mod zone;

pub use {
    assign::Assigner,
    keeper::{Claims, choose_keeper, kept_max, watch_set},
    load::{DECAY_TIME, Sketch, SliceLoads},
    plan::{Inputs, MOVING_SHARE_MAX, Plan, Planner, kept_loads},
    zone::{ListedTarget, listed_targets},
};
