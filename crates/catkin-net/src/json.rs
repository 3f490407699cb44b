//! JSON requests and answers over HTTP.

use {
    actix_http::error::PayloadError,
    awc::{
        Client, ClientResponse,
        error::{ConnectError, SendRequestError},
    },
    bytes::Bytes,
    catkin::{
        Code, Error,
        api::{VmList, path},
        types::Span,
    },
    futures_util::Stream,
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

const BODY_BYTES_MAX: usize = 64 << 20;

/// Sends a GET request and decodes the JSON answer.
///
/// # Errors
///
/// - `Code::ConnectFailed` if nothing was sent.
/// - `Code::OutcomeUnknown` if the exchange failed after that or no answer came
///   within `timeout`.
/// - `Code::AnswerCut` as [`read_body`].
/// - `Code::BadRequest` if the status of the answer is not a success (2xx).
/// - `Code::BadFrame` if the answer is not the expected JSON.
pub async fn get<T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    timeout: Span,
) -> Result<T, Error> {
    let request = client.get(format!("http://{addr}{path}")).timeout(timeout.as_duration());
    read(request.send(), timeout).await
}

/// Sends a POST request with a JSON body and decodes the JSON answer.
///
/// # Errors
///
/// As [`get`], and `Code::Internal` if the body can't be encoded as JSON.
pub async fn post<B: Serialize, T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: &B,
    timeout: Span,
) -> Result<T, Error> {
    let text = serde_json::to_string(body).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let request = client
        .post(format!("http://{addr}{path}"))
        .insert_header(("content-type", "application/json"))
        .timeout(timeout.as_duration());
    read(request.send_body(text), timeout).await
}

/// Fetches the VM list.
///
/// # Errors
///
/// As [`get`].
pub async fn list_vms(client: &Client, addr: SocketAddr, timeout: Span) -> Result<VmList, Error> {
    get(client, addr, path::VMS, timeout).await
}

/// Reads the body of an answer and checks that it has the length of its
/// `content-length` header.
///
/// `awc` reports no error when the connection closes before the end of the body,
/// so that a truncated answer looks complete.
///
/// # Errors
///
/// `Code::AnswerCut` if the body can't be read, is truncated or has more than
/// `max_bytes` bytes.
pub async fn read_body<S>(answer: &mut ClientResponse<S>, max_bytes: usize) -> Result<Bytes, Error>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let length = answer.headers().get("content-length");
    let announced: Option<usize> = length.and_then(|text| text.to_str().ok()?.parse().ok());
    let answer_cut = |detail: String| Error::new(Code::AnswerCut, detail);
    let body = answer.body().limit(max_bytes).await.map_err(|e| answer_cut(e.to_string()))?;
    match announced {
        Some(length) if length != body.len() => {
            Err(answer_cut(format!("body truncated: got {} of {length} bytes", body.len())))
        }
        _ => Ok(body),
    }
}

async fn read<T: DeserializeOwned>(send: awc::SendClientRequest, timeout: Span) -> Result<T, Error> {
    let exchange = async {
        let mut answer = send.await.map_err(|e| Error::new(send_code(&e), e.to_string()))?;
        let status = answer.status();
        let body = read_body(&mut answer, BODY_BYTES_MAX).await?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(Error::new(Code::BadRequest, format!("{status}: {text}")));
        }
        serde_json::from_slice(&body).map_err(|e| Error::new(Code::BadFrame, e.to_string()))
    };
    match actix_rt::time::timeout(timeout.as_duration(), exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::OutcomeUnknown, format!("timed out: no answer within {timeout}"))),
    }
}

/// Returns whether a failed request was certainly not sent.
///
/// `Connect(Disconnected)` does not count, since `awc` also reports it when a
/// connection closes between the request and its answer.
pub fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}

fn send_code(error: &SendRequestError) -> Code {
    if is_unsent(error) { Code::ConnectFailed } else { Code::OutcomeUnknown }
}
