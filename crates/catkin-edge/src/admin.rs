//! Serves readiness and metrics over HTTP.

use {
    crate::node::Node,
    actix_http::{Request, Response, body::BoxBody},
    catkin_net::reply_text,
    catkin_platform::name::READY_PATH,
    std::{future::ready, rc::Rc},
    tokio::net::TcpListener,
};

fn reply(node: &Node, path: &str) -> Response<BoxBody> {
    match path {
        READY_PATH if node.is_ready() => reply_text(200, "ready\n"),
        READY_PATH => reply_text(503, "not ready\n"),
        "/metrics" => reply_text(200, node.metrics.encode()),
        _ => reply_text(404, "unknown path; the readiness path and /metrics are served\n"),
    }
}

/// Serves the admin endpoints to the platform and to operators.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let result =
        catkin_net::serve(listener, move |request: Request| ready(reply(&node, request.path()))).await;
    if let Err(error) = result {
        log::error!(error:display; "admin server failed");
    }
}
