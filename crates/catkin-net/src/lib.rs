//! HTTP server, HTTP connections and platform clients shared by the catkinhub
//! programs.
//!
//! - [`serve`] serves HTTP requests of one listener on the current thread;
//!   [`serve_limited`] also counts and limits the connections.
//! - [`Conn`] carries HTTP/1.1 requests on a persistent connection.
//! - [`Held`] counts the bytes that an exchange holds, under one limit for all.
//! - [`LogClient`] appends to and reads from the log service of the platform.
//! - [`get`] and [`post`] exchange JSON over HTTP.
//! - [`MonotonicClock`] reads a clock that starts with the process, [`BootClock`]
//!   the boot-time clock of the machine.

mod body;
mod clock;
mod exchange;
mod held;
mod http;
mod json;
mod log;

pub use {
    body::Body,
    clock::{BootClock, MonotonicClock},
    exchange::{
        ANSWER_BYTES_MAX, Conn, ExchangeError, HttpAnswer, Reply, limit_send_buffer, limit_unsent,
        request_head, set_socket_options,
    },
    held::{Held, has_room, held, held_limit, limit_held},
    http::{Connections, listen, reply_json, reply_text, serve, serve_limited},
    json::{get, is_unsent, list_vms, post, read_body},
    log::{LogClient, LogPage},
};
