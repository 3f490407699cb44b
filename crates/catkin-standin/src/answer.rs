//! Answers to work, complete or truncated by a fault.

use {
    crate::{echo::Echo, run::Body, target::Target, work::Work},
    actix_http::{
        Response, ResponseBuilder, StatusCode,
        body::{BoxBody, MessageBody, SizedStream},
    },
    bytes::Bytes,
    catkin::{Error, api::header, error::Outcome},
    futures_util::{Stream, StreamExt, stream},
    std::io,
};

/// How much of an answer is sent, and whether the connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    Complete,
    /// Nothing is sent; the connection stays open.
    Lost,
    /// Nothing is sent; the connection closes.
    HungUp,
    /// Half of the body is sent; the connection stays open.
    Stalled,
    /// Half of the body is sent; the connection closes.
    Cut,
}

/// Creates the answer to work that ran. `Lost` and `HungUp` never reach this
/// function.
pub(crate) fn echo(target: &Target, work: &Work, body: &Body, delivery: Delivery) -> Response<BoxBody> {
    let echo = Echo {
        target: target.settings.id.clone(),
        boot: target.boot,
        request: work.request.clone(),
        call: work.call.clone(),
        key: work.key.clone(),
        operation: work.operation.clone(),
        fence: work.held.map(|held| held.fence),
        path: work.path.clone(),
        length: body.length,
        checksum: body.checksum,
        pad: "x".repeat(work.padding),
    };
    let text = Bytes::from(serde_json::to_string(&echo).unwrap_or_default());
    let mut answer = build(target, StatusCode::OK, Outcome::Ran);
    answer.insert_header(("content-type", "application/json"));
    if let Some(held) = work.held {
        answer.insert_header((header::FENCE, held.fence.to_string()));
    }
    match delivery {
        Delivery::Complete => answer.body(text).map_into_boxed_body(),
        Delivery::Lost | Delivery::HungUp | Delivery::Stalled => truncate(answer, &text, stream::pending()),
        Delivery::Cut => truncate(answer, &text, stream::once(reset())),
    }
}

/// Creates the answer for an error of work.
pub(crate) fn error_answer(target: &Target, error: &Error) -> Response<BoxBody> {
    let code = error.code();
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = build(target, status, code.outcome());
    answer.insert_header((header::CODE, code.number().to_string()));
    answer.body(error.to_string()).map_into_boxed_body()
}

fn build(target: &Target, status: StatusCode, outcome: Outcome) -> ResponseBuilder {
    let mut answer = Response::build(status);
    answer.insert_header((header::TARGET, target.settings.id.as_str()));
    answer.insert_header((header::OUTCOME, outcome.as_str()));
    answer
}

/// Fails with a connection reset. Yields first, so that the part of the body
/// before it is written to the connection.
async fn reset() -> io::Result<Bytes> {
    tokio::task::yield_now().await;
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Creates an answer that announces the length of the whole body and sends half
/// of it, then `rest`.
fn truncate<S>(mut answer: ResponseBuilder, text: &Bytes, rest: S) -> Response<BoxBody>
where
    S: Stream<Item = io::Result<Bytes>> + 'static,
{
    let half = text.slice(..text.len() / 2);
    let parts = stream::iter([Ok(half)]).chain(rest);
    answer.message_body(SizedStream::new(text.len() as u64, parts).boxed()).unwrap_or_else(Response::from)
}
