//! Builds the HTTP client that all commands use.

use {
    awc::{Client, Connector},
    std::time::Duration,
};

/// Creates a client that opens a new connection for each request. The server
/// may close a kept-alive connection just as it is reused, and a running
/// gateway would then be reported as unreachable.
pub(crate) fn new_client() -> Client {
    let connector = Connector::new().conn_keep_alive(Duration::ZERO);
    Client::builder().connector(connector).finish()
}
