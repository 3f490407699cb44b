//! What a unit of work asks for, read from its headers.

use {
    crate::{body::header_text, echo::header},
    actix_http::Request,
    catkin::{
        Code, Error,
        api::{self, Held},
        types::{RequestId, Span},
        wire::Class,
    },
    std::{str::FromStr, sync::Arc},
};

/// Work time of long work, as a multiple of that of short work.
const LONG_FACTOR: f64 = 20.0;
const PAD_BYTES_MAX: usize = 16 << 20;

/// The head of a unit of work.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) request: Option<RequestId>,
    pub(crate) call: Option<Arc<str>>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) operation: Arc<str>,
    pub(crate) held: Option<Held>,
    pub(crate) left: Option<Span>,
    pub(crate) class: Class,
    pub(crate) time: Option<Span>,
    pub(crate) pad: usize,
    pub(crate) path: Arc<str>,
}

impl Work {
    /// Reads the head of a request.
    pub(crate) fn read(request: &Request) -> Result<Self, Error> {
        let id: Option<RequestId> = parse(request, api::header::REQUEST)?;
        let operation = header_text(request, header::OPERATION)
            .or_else(|| header_text(request, api::header::IDEMPOTENCY))
            .or(id.as_ref().map(RequestId::as_str))
            .unwrap_or("unnamed")
            .into();
        let millis: Option<u64> = parse(request, header::WORK)?;
        let left: Option<u64> = parse(request, api::header::DEADLINE)?;
        let uri = request.uri();
        Ok(Self {
            operation,
            request: id,
            call: header_text(request, header::CALL).map(Arc::from),
            key: header_text(request, api::header::KEY).map(Arc::from),
            held: read_held(request)?,
            left: left.map(Span::from_millis),
            class: read_class(request)?,
            time: millis.map(Span::from_millis),
            pad: parse(request, header::PAD)?.unwrap_or(0).min(PAD_BYTES_MAX),
            path: uri.path_and_query().map_or(uri.path(), |path| path.as_str()).into(),
        })
    }

    /// Returns the time that the work takes.
    pub(crate) fn time(&self, short: Span) -> Span {
        let by_class = match self.class {
            Class::Short => short,
            Class::Long => short.scale(LONG_FACTOR),
        };
        self.time.unwrap_or(by_class)
    }
}

fn read_held(request: &Request) -> Result<Option<Held>, Error> {
    let slice = parse(request, api::header::SLICE)?;
    let fence = parse(request, api::header::FENCE)?;
    Ok(slice.zip(fence).map(|(slice, fence)| Held { slice, fence }))
}

fn read_class(request: &Request) -> Result<Class, Error> {
    match header_text(request, api::header::CLASS) {
        None | Some("short") => Ok(Class::Short),
        Some("long") => Ok(Class::Long),
        Some(other) => Err(Error::new(Code::BadRequest, format!("{other:?} is not short or long"))),
    }
}

fn parse<T: FromStr>(request: &Request, name: &str) -> Result<Option<T>, Error> {
    let bad = |text: &str| Error::new(Code::BadRequest, format!("{name}: {text:?} has the wrong shape"));
    header_text(request, name).map(|text| text.parse().map_err(|_| bad(text))).transpose()
}
