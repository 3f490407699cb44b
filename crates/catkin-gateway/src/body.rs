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

/// Part of a body, or the error that cut it.
pub(crate) type Part = Result<Bytes, Error>;

/// A body that is whole in memory, or streamed.
pub(crate) enum Body {
    /// In memory; it can be sent again.
    Whole(Bytes),
    /// Streamed, with its length if it is known.
    Stream(Option<u64>, LocalBoxStream<'static, Part>),
}

impl Body {
    /// Returns the length, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes) => Some(bytes.len() as u64),
            Self::Stream(length, _) => *length,
        }
    }

    /// Returns a copy of a body that is in memory.
    pub(crate) fn copy(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Stream(..) => None,
        }
    }

    /// Keeps a value until the body is read or dropped.
    pub(crate) fn with_guard<T: 'static>(self, guard: T) -> Self {
        match self {
            Self::Whole(bytes) => Self::Whole(bytes),
            Self::Stream(length, parts) => {
                let hold = move |_: &Part| {
                    let _ = &guard;
                };
                Self::Stream(length, parts.inspect(hold).boxed_local())
            }
        }
    }

    /// Returns the parts.
    pub(crate) fn into_stream(self) -> LocalBoxStream<'static, Part> {
        match self {
            Self::Whole(bytes) if bytes.is_empty() => stream::empty().boxed_local(),
            Self::Whole(bytes) => stream::once(async { Ok(bytes) }).boxed_local(),
            Self::Stream(_, parts) => parts,
        }
    }

    /// Returns the body of an HTTP message. An error in the stream closes the
    /// connection before the end of the message, so that the cut is visible.
    pub(crate) fn into_http(self) -> BoxBody {
        match self {
            Self::Whole(bytes) => BoxBody::new(bytes),
            Self::Stream(Some(length), parts) => BoxBody::new(SizedStream::new(length, parts.then(flush))),
            Self::Stream(None, parts) => BoxBody::new(BodyStream::new(parts.then(flush))),
        }
    }
}

/// Delays an error until what came before it was written: the HTTP server
/// drops its unwritten bytes, and with them the head, when a body fails.
async fn flush(part: Part) -> Part {
    if part.is_err() {
        tokio::task::yield_now().await;
    }
    part
}

/// Reads the body of a request. A body of up to `buffer` bytes is read whole,
/// so that it can be sent again; a larger one is streamed.
///
/// # Errors
///
/// `Code::BodyTooLarge` if the body has more than `limit` bytes,
/// `Code::BadRequest` if its encoding is broken.
pub(crate) async fn read(
    mut payload: Payload,
    length: Option<u64>,
    limit: Size,
    buffer: Size,
) -> Result<Body, Error> {
    if length.is_some_and(|length| length > limit.as_bytes()) {
        return Err(too_large(limit));
    }
    if length.is_some_and(|length| length > buffer.as_bytes()) {
        return Ok(Body::Stream(length, limited(payload, Bytes::new(), limit)));
    }
    let mut whole = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|e| Error::new(Code::BadRequest, e.to_string()))?;
        whole.extend_from_slice(&part);
        if whole.len() as u64 > buffer.as_bytes() {
            return Ok(Body::Stream(None, limited(payload, whole.freeze(), limit)));
        }
    }
    if whole.len() as u64 > limit.as_bytes() {
        return Err(too_large(limit));
    }
    Ok(Body::Whole(whole.freeze()))
}

fn too_large(limit: Size) -> Error {
    Error::new(Code::BodyTooLarge, format!("a body has at most {limit}"))
}

fn limited(payload: Payload, first: Bytes, limit: Size) -> LocalBoxStream<'static, Part> {
    let first = stream::iter((!first.is_empty()).then_some(Ok(first)));
    let parts = first.chain(payload.map(|part| part.map_err(|e| Error::new(Code::UploadCut, e.to_string()))));
    parts
        .scan(0, move |sent, part: Part| {
            *sent += part.as_ref().map_or(0, |bytes| bytes.len() as u64);
            let is_large = *sent > limit.as_bytes();
            let part =
                if is_large { Err(Error::new(Code::UploadCut, too_large(limit).detail())) } else { part };
            std::future::ready(Some(part))
        })
        .boxed_local()
}
