//! Stand-ins of the users' platform: its store, its servers and its operator.
//!
//! They run on the current thread and share one [`Ledger`], which notes what
//! the rules forbid: a request that runs twice though it may not, two servers
//! that begin work on one key at the same time, a request that was refused as
//! not run and ran, and a fence that falls.

mod ledger;
mod operator;
mod server;
mod store;

pub use {
    ledger::Ledger,
    operator::{Plan, Route, put_config},
    server::{Server, ServerFaults},
    store::{Store, StoreMode},
};
