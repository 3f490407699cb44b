//! Stand-ins for the users' platform: its store, its servers and its operator.
//!
//! They run on the current thread and share one [`Ledger`], which records
//! violations: a request that may run once only and ran twice, two servers that
//! began work on one key with the same fence, a request that was refused as not
//! run and ran, and work with a fence lower than one that another server used.

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
