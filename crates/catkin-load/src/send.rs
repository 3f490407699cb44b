//! Sends a request to the gateways and classifies its answer.

use {
    crate::{
        body::{Bodies, Body},
        experiment::{Experiment, Kind, Method},
        plan::Arrival,
    },
    actix_http::body::SizedStream,
    awc::{Client, ClientRequest, ClientResponse, Connector, error::SendRequestError},
    catkin::{
        api::header,
        types::{Span, TargetId},
        wire::Class,
    },
    catkin_net::{is_unsent, read_body},
    catkin_standin::{Echo, header as standin_header},
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const ANSWER_BYTES_MAX: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an answer is awaited after the deadline of its request.
const ANSWER_GRACE: Span = Span::from_secs(2);

/// Result of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request ran, and the answer is complete and matches the request.
    Ran,
    /// The outcome is `ran`, but the status is not 2xx: an earlier request with
    /// the key ran, or the target answered with an error.
    RanBefore,
    /// The request did not run; holds the result code.
    NotRun(u16),
    /// The request may have run; holds the result code.
    Unknown(u16),
    /// Reading the body failed.
    Cut,
    /// The body was read without an error, but does not parse.
    HiddenCut,
    /// The answer does not match the request.
    Mixed,
    /// The answer states no outcome; holds the HTTP status.
    Status(u16),
    /// The connection failed after the request may have been sent, or the
    /// request timed out.
    NoAnswer,
    /// No gateway accepted a connection.
    Unreachable,
}

impl Answer {
    /// Returns the name under which reports count the answer.
    pub fn name(self) -> String {
        match self {
            Self::Ran => "ran".to_owned(),
            Self::RanBefore => "ran-before".to_owned(),
            Self::NotRun(code) => format!("not-run E{code}"),
            Self::Unknown(code) => format!("unknown E{code}"),
            Self::Cut => "cut".to_owned(),
            Self::HiddenCut => "hidden-cut".to_owned(),
            Self::Mixed => "mixed".to_owned(),
            Self::Status(status) => format!("status {status}"),
            Self::NoAnswer => "no-answer".to_owned(),
            Self::Unreachable => "unreachable".to_owned(),
        }
    }
}

/// A request that was sent, and its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id that the load generator gave the request; targets record it with the
    /// run.
    pub call_id: Arc<str>,
    /// Index of its kind in the experiment.
    pub kind: usize,
    /// Key, if its kind has keys.
    pub key: Option<Arc<str>>,
    /// Idempotency key, if its kind is protected.
    pub idempotency_key: Option<Arc<str>>,
    /// Planned time since the start of the experiment.
    pub at: Span,
    /// Delay from the planned time to the start of sending.
    pub lag: Span,
    /// Time from the planned time to the end of the answer.
    pub latency: Span,
    /// Result as the caller saw it.
    pub answer: Answer,
    /// Target that is named in the answer.
    pub target: Option<TargetId>,
}

/// Sends the requests of an experiment.
pub(crate) struct Sender {
    client: Client,
    gateways: Vec<SocketAddr>,
    kinds: Vec<Kind>,
    bodies: Rc<Bodies>,
    /// Prefix of all ids of this run, so that runs do not share ids.
    prefix: Arc<str>,
}

/// A request with its generated id, key and body.
struct Call<'a> {
    kind: &'a Kind,
    id: Arc<str>,
    key: Option<Arc<str>>,
    idempotency_key: Option<Arc<str>>,
    /// Body and its checksum.
    body: Option<(Body, u32)>,
}

impl Sender {
    pub(crate) fn new(experiment: &Experiment, prefix: Arc<str>) -> Self {
        // A limit on connections would delay arrivals while the gateways stall.
        let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
        Self {
            client: Client::builder().connector(connector).disable_timeout().disable_redirects().finish(),
            gateways: experiment.gateways.clone(),
            kinds: experiment.kinds.clone(),
            bodies: Bodies::new(experiment.seed),
            prefix,
        }
    }

    /// Sends a request at its planned time `due`.
    pub(crate) async fn send(&self, number: u64, arrival: Arrival, due: Instant) -> Record {
        let lag = Span::from(due.elapsed());
        let call = self.prepare(number, &arrival);
        let timeout = call.kind.deadline + ANSWER_GRACE;
        let exchange = self.exchange(&call, arrival.gateway);
        let result = actix_rt::time::timeout(timeout.as_duration(), exchange).await;
        let (answer, target) = result.unwrap_or((Answer::NoAnswer, None));
        Record {
            kind: arrival.kind,
            at: arrival.at,
            lag,
            latency: Span::from(due.elapsed()),
            answer,
            target,
            call_id: call.id,
            key: call.key,
            idempotency_key: call.idempotency_key,
        }
    }

    fn prepare(&self, number: u64, arrival: &Arrival) -> Call<'_> {
        let kind = &self.kinds[arrival.kind];
        let length = kind.body.as_bytes();
        let body = (length > 0).then(|| self.bodies.create(number, length));
        Call {
            kind,
            id: format!("{}-{number}", self.prefix).into(),
            key: arrival.key.map(|key| format!("{}-{key}", kind.name).into()),
            idempotency_key: kind
                .protected
                .then(|| format!("{}-op-{}", self.prefix, arrival.operation_number).into()),
            body: body.map(|body| (body.clone(), body.checksum())),
        }
    }

    /// Makes an attempt on each gateway in turn until one accepts a connection,
    /// as a load balancer in front of the gateways does. A request that may
    /// have run is not sent again.
    async fn exchange(&self, call: &Call<'_>, first: usize) -> (Answer, Option<TargetId>) {
        let order = self.gateways.iter().cycle().skip(first).take(self.gateways.len());
        for addr in order {
            match self.attempt(call, *addr).await {
                Ok(mut answer) => return read_answer(call, &mut answer).await,
                Err(e) if is_unsent(&e) => {}
                Err(_) => return (Answer::NoAnswer, None),
            }
        }
        (Answer::Unreachable, None)
    }

    async fn attempt(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
    ) -> Result<ClientResponse<impl Payload>, SendRequestError> {
        let request = self.build_request(call, addr);
        match &call.body {
            None => request.send().await,
            Some((body, _)) => {
                let chunks = Box::pin(body.stream(call.kind.pace));
                request.send_body(SizedStream::new(call.kind.body.as_bytes(), chunks)).await
            }
        }
    }

    fn build_request(&self, call: &Call<'_>, addr: SocketAddr) -> ClientRequest {
        let kind = call.kind;
        let url = format!("http://{addr}/{}{}", kind.service, kind.path);
        let mut request = match kind.method {
            Method::Get => self.client.get(url),
            Method::Post => self.client.post(url),
            Method::Put => self.client.put(url),
        };
        request = request
            .insert_header((standin_header::CALL, &*call.id))
            .insert_header((standin_header::ANSWER_BYTES, kind.answer.as_bytes().to_string()))
            .insert_header((header::DEADLINE, kind.deadline.as_millis().to_string()));
        let optional = [
            (header::KEY, call.key.as_deref().map(str::to_owned)),
            (header::IDEMPOTENCY, call.idempotency_key.as_deref().map(str::to_owned)),
            (header::CLASS, kind.class.map(|class| class_name(class).to_owned())),
            (standin_header::WORK_MS, kind.work.map(|work| work.as_millis().to_string())),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                request = request.insert_header((name, value));
            }
        }
        request
    }
}

/// The stream of an answer's body, as a short name for the bound.
trait Payload:
    futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin
{
}

impl<T> Payload for T where
    T: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin
{
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Short => "short",
        Class::Long => "long",
    }
}

async fn read_answer(
    call: &Call<'_>,
    answer: &mut ClientResponse<impl Payload>,
) -> (Answer, Option<TargetId>) {
    let status = answer.status().as_u16();
    let header_text = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    let code = header_text(header::CODE).and_then(|code| code.parse().ok()).unwrap_or_default();
    let outcome = header_text(header::OUTCOME).map(str::to_owned);
    let Ok(body) = read_body(answer, ANSWER_BYTES_MAX).await else {
        return (Answer::Cut, None);
    };
    match outcome.as_deref() {
        Some("ran") if (200..300).contains(&status) => check_echo(call, &body),
        Some("ran") => (Answer::RanBefore, None),
        Some("not-run") => (Answer::NotRun(code), None),
        Some("unknown") => (Answer::Unknown(code), None),
        _ => (Answer::Status(status), None),
    }
}

/// Checks that the body of an answer parses and that it matches the request.
fn check_echo(call: &Call<'_>, body: &[u8]) -> (Answer, Option<TargetId>) {
    let Ok(echo) = serde_json::from_slice::<Echo>(body) else {
        return (Answer::HiddenCut, None);
    };
    let (length, checksum) =
        call.body.as_ref().map_or((0, 0), |(_, checksum)| (call.kind.body.as_bytes(), *checksum));
    let is_match = echo.call.as_ref() == Some(&call.id)
        && echo.key.as_ref().is_none_or(|key| call.key.as_ref() == Some(key))
        && (echo.length, echo.checksum) == (length, checksum)
        && echo.pad.len() as u64 == call.kind.answer.as_bytes();
    (if is_match { Answer::Ran } else { Answer::Mixed }, Some(echo.target))
}
