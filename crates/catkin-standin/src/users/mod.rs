//! Stand-ins for the platform that `catkin-edge` runs on: its store, its servers and
//! its operator.
//!
//! They run on the current thread. The servers share one [`InvariantChecker`] with
//! the test. It records violations: a request that may run at most once but ran
//! twice, two servers that began work on one key with the same fence, a request
//! that was refused as not run but ran, work with a fence lower than one that
//! another server used, and too many requests at a server that is cold.

mod announcements;
mod cold;
mod invariants;
mod operator;
mod server;
mod store;

pub use {
    invariants::InvariantChecker,
    operator::{Config, Route, evacuate, put_config, put_document, to_document, withdraw_evacuation},
    server::{Server, ServerFaults},
    store::{Store, StoreMode},
};
