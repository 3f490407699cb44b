//! Decision code and shared types of the catkinhub router.
//!
//! catkinhub routes requests to servers that each own keys exclusively. This
//! crate holds every decision that the programs take: the fold of the log,
//! leases, placement, membership, queueing and retries. It does no I/O and
//! takes time as an argument, so that tests and benchmarks can drive it.
//!
//! # Where to start
//!
//! - [`types`] has the newtypes for ids, sizes, times and rates.
//! - [`error`] has the opaque [`Error`] and the numbered [`Code`] table.
//! - [`record`] encodes what is written to the log, [`fold`] reads it back,
//!   [`append`] settles lost answers and [`snapshot`] bounds what a VM reads.
//! - [`lease::Keeper`] decides about commands to targets, grants and moves.
//! - [`config`] is what operators publish; [`settings`] is what one process
//!   reads at its start.
//! - [`choose`] picks a target, [`dispatch`] queues for it, [`retry`] decides
//!   about another try, [`intent`] keeps idempotency keys across VMs.
//! - [`member`] is the table of the entry VMs, [`place`] chooses keepers and
//!   places slices.
//! - [`api`] names headers and JSON bodies; [`wire`] has the messages between
//!   gateways; [`admin`] has the JSON bodies for operators.
//! - [`event`] has the events of the time line and their clock.
//!
//! ```
//! use catkin::types::Span;
//!
//! let ttl: Span = "400ms".parse()?;
//! assert_eq!(ttl.as_micros(), 400_000);
//! # Ok::<(), catkin::Error>(())
//! ```

pub mod admin;
pub mod api;
pub mod append;
pub mod choose;
pub mod config;
pub mod dispatch;
pub mod error;
pub mod event;
pub mod fold;
pub mod intent;
pub mod lease;
pub mod logs;
pub mod member;
pub mod place;
pub mod record;
pub mod retry;
pub mod settings;
pub mod snapshot;
pub mod types;
pub mod wire;

pub use error::{Code, Error, Result};
