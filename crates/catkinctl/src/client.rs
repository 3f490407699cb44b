//! The HTTP client of all commands.

use {
    awc::{Client, Connector},
    std::time::Duration,
};

/// Makes a client that opens a connection for each request. A connection that
/// is kept open may be closed by the other side just when it is used again,
/// and a gateway that runs would be reported as silent.
pub(crate) fn client() -> Client {
    let connector = Connector::new().conn_keep_alive(Duration::ZERO);
    Client::builder().connector(connector).finish()
}
