//! Reports to the leader; tables and changes from it.
//!
//! Each process keeps one connection to the leader, on which it reports loads.
//! The leader answers each report, and passes a new table, configuration or
//! change of the directory on at once.
//!
//! | module | responsibility |
//! |---|---|
//! | `message` | messages and their framing |
//! | `report` | a process's side |
//! | `serve` | the leader's side |

mod message;
mod report;
mod serve;

pub(crate) use {
    report::{report, stop},
    serve::listen,
};
