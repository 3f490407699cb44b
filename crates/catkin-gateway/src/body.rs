//! Bodies of requests and answers.

use {
    actix_http::{
        Payload,
        body::{BodyStream, BoxBody, SizedStream},
    },
    bytes::{Bytes, BytesMut},
    catkin::{Code, Error, types::Size},
    futures_util::{
        StreamExt,
        stream::{self, LocalBoxStream},
    },
};

/// Part of a body, or the error that truncated it.
pub(crate) type Part = Result<Bytes, Error>;

/// Body of a message, in memory or streamed.
pub(crate) enum Body {
    /// In memory; it can be sent again.
    Buffered(Bytes),
    /// Parts that arrive one after another, with the total length if it is
    /// known.
    Streamed(Option<u64>, LocalBoxStream<'static, Part>),
}

impl Body {
    /// Returns the length in bytes, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Streamed(length, _) => *length,
        }
    }

    /// Returns a copy of a body that is in memory; `None` for a streamed one.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streamed(..) => None,
        }
    }

    /// Drops `guard` when a streamed body has been read or is dropped; drops it
    /// at once if the body is in memory.
    pub(crate) fn with_guard<T: 'static>(self, guard: T) -> Self {
        match self {
            Self::Buffered(bytes) => Self::Buffered(bytes),
            Self::Streamed(length, parts) => {
                let keep_guard = move |_: &Part| {
                    let _ = &guard;
                };
                Self::Streamed(length, parts.inspect(keep_guard).boxed_local())
            }
        }
    }

    /// Returns the parts of the body; an empty body has none.
    pub(crate) fn into_stream(self) -> LocalBoxStream<'static, Part> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => stream::empty().boxed_local(),
            Self::Buffered(bytes) => stream::once(async { Ok(bytes) }).boxed_local(),
            Self::Streamed(_, parts) => parts,
        }
    }

    /// Returns the body of an HTTP message. An error in the stream closes the
    /// connection before the end of the message, so that the receiver detects
    /// the truncation.
    pub(crate) fn into_http(self) -> BoxBody {
        match self {
            Self::Buffered(bytes) => BoxBody::new(bytes),
            Self::Streamed(Some(length), parts) => {
                BoxBody::new(SizedStream::new(length, parts.then(delay_error)))
            }
            Self::Streamed(None, parts) => BoxBody::new(BodyStream::new(parts.then(delay_error))),
        }
    }
}

/// Delays an error until the preceding bytes were written: the HTTP server
/// drops its unwritten bytes, and with them the head, when a body fails.
async fn delay_error(part: Part) -> Part {
    if part.is_err() {
        tokio::task::yield_now().await;
    }
    part
}

/// Reads the body of a request. A body of up to `buffer_max` bytes is read into
/// memory, so that it can be sent again; a larger one is streamed.
///
/// # Errors
///
/// `Code::BodyTooLarge` if its known length, or its buffered bytes, exceed
/// `limit`. A streamed body that exceeds it ends with `Code::UploadCut`.
/// `Code::BadRequest` if its encoding is broken.
pub(crate) async fn read(
    mut payload: Payload,
    length: Option<u64>,
    limit: Size,
    buffer_max: Size,
) -> Result<Body, Error> {
    if length.is_some_and(|length| length > limit.as_bytes()) {
        return Err(too_large(limit));
    }
    if length.is_some_and(|length| length > buffer_max.as_bytes()) {
        return Ok(Body::Streamed(length, limit_stream(payload, Bytes::new(), limit)));
    }
    let mut bytes = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| Error::new(Code::BadRequest, e.to_string()))?;
        bytes.extend_from_slice(&part);
        if bytes.len() as u64 > buffer_max.as_bytes() {
            return Ok(Body::Streamed(None, limit_stream(payload, bytes.freeze(), limit)));
        }
    }
    if bytes.len() as u64 > limit.as_bytes() {
        return Err(too_large(limit));
    }
    Ok(Body::Buffered(bytes.freeze()))
}

fn too_large(limit: Size) -> Error {
    Error::new(Code::BodyTooLarge, format!("the body exceeds the limit of {limit}"))
}

fn limit_stream(payload: Payload, first: Bytes, limit: Size) -> LocalBoxStream<'static, Part> {
    let first = stream::iter((!first.is_empty()).then_some(Ok(first)));
    let parts = first.chain(payload.map(|part| part.map_err(|e| Error::new(Code::UploadCut, e.to_string()))));
    parts
        .scan(0, move |received, part: Part| {
            *received += part.as_ref().map_or(0, |bytes| bytes.len() as u64);
            let is_too_large = *received > limit.as_bytes();
            let part =
                if is_too_large { Err(Error::new(Code::UploadCut, too_large(limit).detail())) } else { part };
            std::future::ready(Some(part))
        })
        .boxed_local()
}
