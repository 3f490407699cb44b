//! Connections to targets.
//!
//! `awc` ends the body of an answer without an error when its connection
//! closes, so that a truncated chunked answer looks complete. On these
//! connections the end of the stream is an error. An answer with neither a
//! length nor chunks, which ends with its connection, therefore counts as
//! truncated.

use {
    actix_rt::net::{ActixStream, Ready, TcpStream},
    actix_service::{Service, ServiceExt},
    actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector},
    awc::http::Uri,
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// TCP stream that reports its end as `UnexpectedEof`.
#[derive(Debug)]
pub(crate) struct EofIsError(TcpStream);

/// Returns the service that opens connections to targets.
pub(crate) fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, EofIsError>, Error = ConnectError> + Clone {
    let tcp = Connector::default().service();
    tcp.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, uri) = connection.into_parts();
        Connection::new(uri, EofIsError(stream))
    })
}

impl AsyncRead for EofIsError {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == filled_before;
        Poll::Ready(if is_end { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(()) })
    }
}

impl AsyncWrite for EofIsError {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

impl ActixStream for EofIsError {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
