//! HTTP/1.1 server on the current thread.

use {
    actix_http::{HttpService, Request, Response, StatusCode, body::BoxBody},
    actix_rt::net::TcpStream,
    actix_service::{Service, ServiceFactory, fn_service},
    catkin::{Code, Error},
    serde::Serialize,
    std::{cell::RefCell, collections::HashMap, future::Future, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpListener, sync::Notify},
};

const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Opens a TCP listener.
///
/// # Errors
///
/// `Code::BadValue` with the address if the listener can't be opened.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::new(Code::BadValue, format!("can't listen on {addr}: {e}")))
}

/// The open connections of a listener and their limit. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    max: u32,
    open: Rc<RefCell<HashMap<SocketAddr, Rc<Notify>>>>,
}

/// Removes the connection from the set when dropped.
struct ConnectionGuard {
    connections: Connections,
    peer: SocketAddr,
    close_requested: Rc<Notify>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.peer);
    }
}

impl Connections {
    /// Creates a set that allows up to `max` connections.
    pub fn new(max: u32) -> Self {
        Self { max, open: Rc::default() }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> u32 {
        u32::try_from(self.open.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Closes the connection from an address, even while a request runs on it.
    pub fn close(&self, peer: SocketAddr) {
        if let Some(close_requested) = self.open.borrow().get(&peer) {
            close_requested.notify_one();
        }
    }

    /// Closes all connections, as the end of a process does.
    pub fn close_all(&self) {
        self.open.borrow().values().for_each(|close_requested| close_requested.notify_one());
    }

    fn register(&self, peer: SocketAddr) -> Option<ConnectionGuard> {
        (self.count() < self.max).then(|| {
            let close_requested = Rc::<Notify>::default();
            self.open.borrow_mut().insert(peer, close_requested.clone());
            ConnectionGuard { connections: self.clone(), peer, close_requested }
        })
    }
}

/// Serves the requests of a listener until the future is dropped.
///
/// # Errors
///
/// `Code::Internal` if the HTTP service can't be created.
pub async fn serve<F, Fut>(listener: TcpListener, handler: F) -> Result<(), Error>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    serve_limited(listener, Connections::new(u32::MAX), handler).await
}

/// Serves the requests of a listener until the future is dropped. Connections
/// above the limit are closed at once.
///
/// The handler's future is dropped when its connection is closed.
///
/// # Errors
///
/// `Code::Internal` if the HTTP service can't be created.
pub async fn serve_limited<F, Fut>(
    listener: TcpListener,
    connections: Connections,
    handler: F,
) -> Result<(), Error>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let service = fn_service(move |request: Request| {
        let answer = handler(request);
        async move { Ok::<_, actix_http::Error>(answer.await) }
    });
    // A caller cancels its request by closing the connection. If half-closed
    // connections were allowed, the work would run until its answer is written.
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1(service)
        .tcp();
    let http = factory
        .new_service(())
        .await
        .map_err(|()| Error::new(Code::Internal, "can't create the HTTP service"))?;
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Accepting fails while no file descriptors are available.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(guard) = connections.register(peer) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let stream: TcpStream = stream;
        let serving = http.call(stream);
        actix_rt::spawn(async move {
            tokio::select! {
                _ = serving => {}
                () = guard.close_requested.notified() => {}
            }
        });
    }
}

/// Creates an answer with a JSON body; an invalid status becomes 500.
pub fn reply_json<T: Serialize>(status: u16, body: &T) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = serde_json::to_string(body).unwrap_or_default();
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Creates an answer with a text body; an invalid status becomes 500.
pub fn reply_text(status: u16, body: impl Into<String>) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status)
        .insert_header(("content-type", "text/plain"))
        .body(body.into())
        .map_into_boxed_body()
}
