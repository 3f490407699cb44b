//! Answers to work, whole or broken off.

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

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// After its last byte.
    Whole,
    /// Before its first byte; the connection stays open.
    Lost,
    /// Before its first byte, with the connection.
    HungUp,
    /// In the middle; the connection stays open.
    Silent,
    /// In the middle, with the connection.
    Cut,
}

/// Makes the answer to work that ran.
pub(crate) fn echo(target: &Target, work: &Work, body: &Body, end: End) -> Response<BoxBody> {
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
        pad: "x".repeat(work.pad),
    };
    let text = Bytes::from(serde_json::to_string(&echo).unwrap_or_default());
    let mut answer = start(target, StatusCode::OK, Outcome::Ran);
    answer.insert_header(("content-type", "application/json"));
    if let Some(held) = work.held {
        answer.insert_header((header::FENCE, held.fence.to_string()));
    }
    match end {
        End::Whole => answer.body(text).map_into_boxed_body(),
        End::Lost | End::HungUp | End::Silent => break_off(answer, &text, stream::pending()),
        End::Cut => break_off(answer, &text, stream::once(cut())),
    }
}

/// Makes the answer to work that had no effect.
pub(crate) fn refuse(target: &Target, error: &Error) -> Response<BoxBody> {
    let code = error.code();
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = start(target, status, code.outcome());
    answer.insert_header((header::CODE, code.number().to_string()));
    answer.body(error.to_string()).map_into_boxed_body()
}

fn start(target: &Target, status: StatusCode, outcome: Outcome) -> ResponseBuilder {
    let mut answer = Response::build(status);
    answer.insert_header((header::SERVER, target.settings.id.as_str()));
    answer.insert_header((header::OUTCOME, outcome.as_str()));
    answer
}

/// Ends a body after what came before was written to the connection.
async fn cut() -> io::Result<Bytes> {
    tokio::task::yield_now().await;
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Makes an answer that announces its whole length and gives half of it.
fn break_off<S>(mut answer: ResponseBuilder, text: &Bytes, rest: S) -> Response<BoxBody>
where
    S: Stream<Item = io::Result<Bytes>> + 'static,
{
    let half = text.slice(..text.len() / 2);
    let parts = stream::iter([Ok(half)]).chain(rest);
    answer.message_body(SizedStream::new(text.len() as u64, parts).boxed()).unwrap_or_else(Response::from)
}
