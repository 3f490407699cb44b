//! Links between processes and the leader.
//!
//! Each process keeps one connection to the leader, on which it reports loads.
//! The leader answers each report, and forwards a new table, configuration or
//! change of the directory at once.
//!
//! | module | responsibility |
//! |---|---|
//! | `message` | framing of the messages |
//! | `peers` | state that all links of the leader share |
//! | `report` | side of the reporting process |
//! | `serve` | side of the leader |

mod message;
mod peers;
mod report;
mod serve;

pub(crate) use {
    report::{report, stop},
    serve::listen,
};
