//! An HTTP/1.1 server on the current thread.

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
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Opens a listener.
///
/// # Errors
///
/// `Code::BadValue` with the address if it can't be bound.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| Error::new(Code::BadValue, format!("can't listen on {addr}: {e}")))
}

/// The open connections of a listener, and their limit.
#[derive(Clone, Debug)]
pub struct Connections {
    max: u32,
    open: Rc<RefCell<HashMap<SocketAddr, Rc<Notify>>>>,
}

/// One open connection; dropped with it.
struct Open {
    connections: Connections,
    peer: SocketAddr,
    closed: Rc<Notify>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.peer);
    }
}

impl Connections {
    /// Allows a number of connections.
    pub fn new(max: u32) -> Self {
        Self { max, open: Rc::default() }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u32 {
        u32::try_from(self.open.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Closes the connection from an address, whatever it is in the middle of.
    pub fn close(&self, peer: SocketAddr) {
        if let Some(closed) = self.open.borrow().get(&peer) {
            closed.notify_one();
        }
    }

    fn enter(&self, peer: SocketAddr) -> Option<Open> {
        (self.open() < self.max).then(|| {
            let closed = Rc::<Notify>::default();
            self.open.borrow_mut().insert(peer, closed.clone());
            Open { connections: self.clone(), peer, closed }
        })
    }
}

/// Answers requests of a listener until the future is dropped.
///
/// # Errors
///
/// `Code::Internal` if the service can't be made.
pub async fn serve<F, Fut>(listener: TcpListener, handler: F) -> Result<(), Error>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    serve_limited(listener, Connections::new(u32::MAX), handler).await
}

/// Answers requests of a listener until the future is dropped; closes
/// connections above the limit at once.
///
/// The future of an answer is dropped when its connection is closed.
///
/// # Errors
///
/// `Code::Internal` if the service can't be made.
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
    // A caller that closes its connection gives its request up. With half-closed
    // connections allowed, the work would go on until its answer is written.
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .h1(service)
        .tcp();
    let http = factory.new_service(()).await.map_err(|()| Error::new(Code::Internal, "no HTTP service"))?;
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Accepting fails while file descriptors are used up.
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Some(open) = connections.enter(peer) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let stream: TcpStream = stream;
        let exchange = http.call(stream);
        actix_rt::spawn(async move {
            tokio::select! {
                _ = exchange => {}
                () = open.closed.notified() => {}
            }
        });
    }
}

/// Makes an answer with a JSON body.
pub fn reply_json<T: Serialize>(status: u16, body: &T) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = serde_json::to_string(body).unwrap_or_default();
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Makes an answer with a text body.
pub fn reply_text(status: u16, body: impl Into<String>) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::build(status)
        .insert_header(("content-type", "text/plain"))
        .body(body.into())
        .map_into_boxed_body()
}
