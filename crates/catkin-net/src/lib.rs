//! HTTP server and platform clients shared by the catkinhub programs.
//!
//! - [`serve`] answers HTTP requests on one address, on the current thread;
//!   [`serve_limited`] counts and limits the connections.
//! - [`Log`] appends to and reads from the platform's log service.
//! - [`get`] and [`post`] exchange JSON over HTTP.
//! - [`Monotonic`] reads the process's clock.

mod clock;
mod exchange;
mod http;
mod json;
mod log;

pub use {
    clock::{Boot, Monotonic},
    exchange::{Broken, Conn, Reply, request, tune},
    http::{Connections, listen, reply_json, reply_text, serve, serve_limited},
    json::{get, is_unsent, list_vms, post, read_body},
    log::{Log, Read},
};
