//! JSON requests over HTTP.

use {
    awc::Client,
    bytes::Bytes,
    catkin::{
        Code, Error,
        api::{VmList, path},
        types::Span,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

const BODY_BYTES_MAX: usize = 64 << 20;

/// Sends a GET request and reads a JSON answer.
///
/// # Errors
///
/// `Code::ConnectFailed` if nothing was sent, `Code::OutcomeUnknown` if no
/// answer came in time, `Code::BadRequest` if the answer is not a success,
/// `Code::BadFrame` if it is not the expected JSON.
pub async fn get<T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    limit: Span,
) -> Result<T, Error> {
    let request = client.get(format!("http://{addr}{path}")).timeout(limit.as_duration());
    read(request.send(), limit).await
}

/// Sends a POST request with a JSON body and reads a JSON answer.
///
/// # Errors
///
/// As [`get`].
pub async fn post<B: Serialize, T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
    body: &B,
    limit: Span,
) -> Result<T, Error> {
    let text = serde_json::to_string(body).map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    let request = client
        .post(format!("http://{addr}{path}"))
        .insert_header(("content-type", "application/json"))
        .timeout(limit.as_duration());
    read(request.send_body(text), limit).await
}

/// Reads the VM list.
///
/// # Errors
///
/// As [`get`].
pub async fn list_vms(client: &Client, addr: SocketAddr, limit: Span) -> Result<VmList, Error> {
    get(client, addr, path::VMS, limit).await
}

async fn read<T: DeserializeOwned>(send: awc::SendClientRequest, limit: Span) -> Result<T, Error> {
    let exchange = async {
        let mut answer = send.await.map_err(|e| Error::new(send_code(&e), e.to_string()))?;
        let status = answer.status();
        let body: Bytes = answer
            .body()
            .limit(BODY_BYTES_MAX)
            .await
            .map_err(|e| Error::new(Code::OutcomeUnknown, e.to_string()))?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(Error::new(Code::BadRequest, format!("{status}: {text}")));
        }
        serde_json::from_slice(&body).map_err(|e| Error::new(Code::BadFrame, e.to_string()))
    };
    match actix_rt::time::timeout(limit.as_duration(), exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(Code::OutcomeUnknown, format!("no answer within {limit}"))),
    }
}

fn send_code(error: &awc::error::SendRequestError) -> Code {
    match error {
        awc::error::SendRequestError::Connect(_) | awc::error::SendRequestError::Url(_) => {
            Code::ConnectFailed
        }
        _ => Code::OutcomeUnknown,
    }
}
