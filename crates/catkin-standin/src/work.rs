//! Parameters of a unit of work, read from the head of its request.

use {
    crate::{body::header_text, echo::header},
    actix_http::Request,
    catkin::{
        Code, Error,
        api::{self, FencedSlice},
        types::{RequestId, Span},
        wire::Class,
    },
    std::{str::FromStr, sync::Arc},
};

/// Duration of long work, as a multiple of that of short work.
const LONG_FACTOR: f64 = 20.0;
const PADDING_BYTES_MAX: usize = 16 << 20;

/// Parameters of a unit of work.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) request: Option<RequestId>,
    pub(crate) call: Option<Arc<str>>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) operation: Arc<str>,
    pub(crate) held: Option<FencedSlice>,
    /// Time left until the deadline.
    pub(crate) time_left: Option<Span>,
    pub(crate) class: Class,
    /// Duration that the request asks for in place of that of its class.
    pub(crate) duration: Option<Span>,
    /// Length of the padding in the answer, in bytes.
    pub(crate) padding: usize,
    /// Path and query.
    pub(crate) path: Arc<str>,
}

impl Work {
    /// Reads the parameters from the head of a request.
    pub(crate) fn from_request(request: &Request) -> Result<Self, Error> {
        let id: Option<RequestId> = parse(request, api::header::REQUEST)?;
        let operation = header_text(request, header::OPERATION)
            .or_else(|| header_text(request, api::header::IDEMPOTENCY))
            .or(id.as_ref().map(RequestId::as_str))
            .unwrap_or("unnamed")
            .into();
        let work_millis: Option<u64> = parse(request, header::WORK_MS)?;
        let left_millis: Option<u64> = parse(request, api::header::DEADLINE)?;
        let uri = request.uri();
        Ok(Self {
            operation,
            request: id,
            call: header_text(request, header::CALL).map(Arc::from),
            key: header_text(request, api::header::KEY).map(Arc::from),
            held: read_held(request)?,
            time_left: left_millis.map(Span::from_millis),
            class: read_class(request)?,
            duration: work_millis.map(Span::from_millis),
            padding: parse(request, header::ANSWER_BYTES)?.unwrap_or(0).min(PADDING_BYTES_MAX),
            path: uri.path_and_query().map_or(uri.path(), |path| path.as_str()).into(),
        })
    }

    /// Returns the duration of the work. `short` is that of short work without
    /// a duration of its own.
    pub(crate) fn duration(&self, short: Span) -> Span {
        let by_class = match self.class {
            Class::Short => short,
            Class::Long => short.scale(LONG_FACTOR),
        };
        self.duration.unwrap_or(by_class)
    }
}

fn read_held(request: &Request) -> Result<Option<FencedSlice>, Error> {
    let slice = parse(request, api::header::SLICE)?;
    let fence = parse(request, api::header::FENCE)?;
    Ok(slice.zip(fence).map(|(slice, fence)| FencedSlice { slice, fence }))
}

fn read_class(request: &Request) -> Result<Class, Error> {
    match header_text(request, api::header::CLASS) {
        None | Some("short") => Ok(Class::Short),
        Some("long") => Ok(Class::Long),
        Some(other) => Err(Error::new(Code::BadRequest, format!("{other:?} is not short or long"))),
    }
}

fn parse<T: FromStr>(request: &Request, name: &str) -> Result<Option<T>, Error> {
    let malformed = |text: &str| Error::new(Code::BadRequest, format!("{name}: {text:?} is malformed"));
    header_text(request, name).map(|text| text.parse().map_err(|_| malformed(text))).transpose()
}
