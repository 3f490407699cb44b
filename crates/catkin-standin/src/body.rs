//! Reads bodies, queries and headers of requests.

use {
    actix_http::{BoxedPayloadStream, Payload, Request, Response, body::BoxBody},
    bytes::{Bytes, BytesMut},
    catkin::{Code, Error},
    catkin_net::reply_text,
    futures_util::StreamExt,
    serde::de::DeserializeOwned,
};

const BODY_BYTES_MAX: usize = 16 << 20;

/// Reads a JSON body of at most [`BODY_BYTES_MAX`].
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Error> {
    let body = read(request.take_payload()).await?;
    serde_json::from_slice(&body).map_err(|e| Error::new(Code::BadRequest, e.to_string()))
}

/// Reads a body of at most [`BODY_BYTES_MAX`].
pub(crate) async fn read(mut payload: Payload<BoxedPayloadStream>) -> Result<Bytes, Error> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| Error::new(Code::BadRequest, e.to_string()))?;
        if body.len() + part.len() > BODY_BYTES_MAX {
            return Err(Error::new(
                Code::BodyTooLarge,
                format!("the body has more than {BODY_BYTES_MAX} bytes"),
            ));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Returns a number from the query, or a default if it is missing.
pub(crate) fn query_number(request: &Request, name: &str, default: u64) -> Result<u64, Error> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    match pairs.into_iter().find(|(key, _)| *key == name) {
        None => Ok(default),
        Some((_, value)) => value
            .parse()
            .map_err(|_| Error::new(Code::BadRequest, format!("{name}: {value:?} is not a valid number"))),
    }
}

/// Returns the value of a header, if it is present and visible ASCII.
pub(crate) fn header_text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.head().headers().get(name).and_then(|value| value.to_str().ok())
}

/// Creates the answer for an error.
pub(crate) fn reply_error(error: &Error) -> Response<BoxBody> {
    reply_text(error.code().status(), error.to_string())
}
