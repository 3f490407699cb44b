//! Decision logic and shared types of the catkinhub router.
//!
//! catkinhub routes requests to servers, each of which owns its keys
//! exclusively. This crate holds the decision logic of all programs: the fold of
//! the log, leases, placement, membership, queueing and retries. It does no I/O
//! and takes the time as an argument, so that tests and benchmarks can drive it.
//!
//! # Where to start
//!
//! - [`types`] has the newtypes for ids, counters, sizes, times and rates.
//! - [`error`] has the opaque [`Error`] and its numbered [`Code`]s.
//! - [`record`] encodes log records and [`fold`] computes the state from them.
//!   [`append`] finds out whether an append without an answer took effect, and
//!   [`snapshot`] bounds how much of the log a VM reads at its start.
//! - [`lease::Keeper`] decides on commands to targets, grants and moves.
//! - [`config`] is the fleet configuration that operators publish; [`settings`]
//!   are the settings that one process reads at its start.
//! - [`choose`] selects a target, [`dispatch`] queues requests for it, [`retry`]
//!   decides on another attempt, [`intent`] checks idempotency keys across VMs.
//! - [`member`] tracks which entry VMs are alive, [`place`] assigns keepers and
//!   slices.
//! - [`holdings`] decides which exchange ends when a process holds too many
//!   bytes.
//! - [`api`] names headers and JSON bodies; [`wire`] has the messages between
//!   gateways; [`admin`] has the JSON bodies of the admin address.
//! - [`event`] has the events of the timeline and the hybrid logical clock.
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
pub mod holdings;
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
