//! Placement: keepers of targets, owners and standbys of slices.
//!
//! - [`keeper`] ranks the entry VMs for a target, [`Claims`] says which
//!   `Keeper` records this VM should append.
//! - [`Assigner`] proposes the first owners of slices.

mod assign;
mod keeper;
mod zone;

pub use {
    assign::Assigner,
    keeper::{Claims, keeper, kept_max, watched},
    zone::{Server, servers},
};
