//! Sends one request and reads its answer.

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
    catkin_standin::{Echo, header as own},
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const ANSWER_BYTES_MAX: usize = 64 << 20;
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time after its deadline for which the answer to a request is awaited.
const GRACE: Span = Span::from_secs(2);

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It ran, and the answer is whole and its own.
    Ran,
    /// An earlier request with this idempotency key ran.
    RanBefore,
    /// It was not run, with a code.
    NotRun(u16),
    /// It may have run, with a code.
    Unknown(u16),
    /// The answer ended early and the caller saw it.
    Cut,
    /// The answer ended early and looked whole.
    HiddenCut,
    /// The answer is to another request.
    Mixed,
    /// An answer that says nothing of an outcome, with its status.
    Foreign(u16),
    /// The connection was lost, or no answer came in time.
    Lost,
    /// No gateway accepted a connection.
    Unreachable,
}

impl Answer {
    /// Returns a name for counts.
    pub fn name(self) -> String {
        match self {
            Self::Ran => "ran".to_owned(),
            Self::RanBefore => "ran-before".to_owned(),
            Self::NotRun(code) => format!("not-run E{code}"),
            Self::Unknown(code) => format!("unknown E{code}"),
            Self::Cut => "cut".to_owned(),
            Self::HiddenCut => "hidden-cut".to_owned(),
            Self::Mixed => "mixed".to_owned(),
            Self::Foreign(status) => format!("status {status}"),
            Self::Lost => "no-answer".to_owned(),
            Self::Unreachable => "unreachable".to_owned(),
        }
    }
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id that the request carried.
    pub call: Arc<str>,
    /// Index of its kind.
    pub kind: usize,
    /// Key, if it had one.
    pub key: Option<Arc<str>>,
    /// Idempotency key, if it had one.
    pub operation: Option<Arc<str>>,
    /// Planned time since the start of the experiment.
    pub at: Span,
    /// Time by which it was sent too late.
    pub lag: Span,
    /// Time from the planned start to the end of the answer.
    pub took: Span,
    /// What the caller was told.
    pub answer: Answer,
    /// Target that answered.
    pub target: Option<TargetId>,
}

/// Sends requests.
pub(crate) struct Sender {
    client: Client,
    gateways: Vec<SocketAddr>,
    kinds: Vec<Kind>,
    bodies: Rc<Bodies>,
    /// Start of all ids of this run.
    prefix: Arc<str>,
}

/// A request that is being sent.
struct Call<'a> {
    kind: &'a Kind,
    id: Arc<str>,
    key: Option<Arc<str>>,
    operation: Option<Arc<str>>,
    body: Option<(Body, u32)>,
}

impl Sender {
    pub(crate) fn new(experiment: &Experiment, prefix: Arc<str>) -> Self {
        // Without a limit on connections a stall does not hold back arrivals.
        let connector = Connector::new().limit(0).timeout(CONNECT_LIMIT);
        Self {
            client: Client::builder().connector(connector).disable_timeout().disable_redirects().finish(),
            gateways: experiment.gateways.clone(),
            kinds: experiment.kinds.clone(),
            bodies: Bodies::new(experiment.seed),
            prefix,
        }
    }

    /// Sends a request whose planned time has come.
    pub(crate) async fn send(&self, number: u64, arrival: Arrival, due: Instant) -> Record {
        let lag = Span::from(due.elapsed());
        let call = self.call(number, &arrival);
        let limit = call.kind.deadline + GRACE;
        let exchange = self.exchange(&call, arrival.gateway);
        let ended = actix_rt::time::timeout(limit.as_duration(), exchange).await;
        let (answer, target) = ended.unwrap_or((Answer::Lost, None));
        Record {
            kind: arrival.kind,
            at: arrival.at,
            lag,
            took: Span::from(due.elapsed()),
            answer,
            target,
            call: call.id,
            key: call.key,
            operation: call.operation,
        }
    }

    fn call(&self, number: u64, arrival: &Arrival) -> Call<'_> {
        let kind = &self.kinds[arrival.kind];
        let length = kind.body.as_bytes();
        let body = (length > 0).then(|| self.bodies.create(number, length));
        Call {
            kind,
            id: format!("{}-{number}", self.prefix).into(),
            key: arrival.key.map(|key| format!("{}-{key}", kind.name).into()),
            operation: kind.protected.then(|| format!("{}-op-{}", self.prefix, arrival.operation).into()),
            body: body.map(|body| (body.clone(), body.checksum())),
        }
    }

    /// Tries the gateways in turn until one accepts a connection, as a load
    /// balancer in front of them does.
    async fn exchange(&self, call: &Call<'_>, first: usize) -> (Answer, Option<TargetId>) {
        let order = self.gateways.iter().cycle().skip(first).take(self.gateways.len());
        for addr in order {
            match self.try_send(call, *addr).await {
                Ok(mut answer) => return read(call, &mut answer).await,
                Err(e) if is_unsent(&e) => {}
                Err(_) => return (Answer::Lost, None),
            }
        }
        (Answer::Unreachable, None)
    }

    async fn try_send(
        &self,
        call: &Call<'_>,
        addr: SocketAddr,
    ) -> Result<ClientResponse<impl Incoming>, SendRequestError> {
        let request = self.head(call, addr);
        match &call.body {
            None => request.send().await,
            Some((body, _)) => {
                let parts = Box::pin(body.stream(call.kind.pace));
                request.send_body(SizedStream::new(call.kind.body.as_bytes(), parts)).await
            }
        }
    }

    fn head(&self, call: &Call<'_>, addr: SocketAddr) -> ClientRequest {
        let kind = call.kind;
        let url = format!("http://{addr}/{}{}", kind.service, kind.path);
        let mut request = match kind.method {
            Method::Get => self.client.get(url),
            Method::Post => self.client.post(url),
            Method::Put => self.client.put(url),
        };
        request = request
            .insert_header((own::CALL, &*call.id))
            .insert_header((own::PAD, kind.answer.as_bytes().to_string()))
            .insert_header((header::DEADLINE, kind.deadline.as_millis().to_string()));
        let optional = [
            (header::KEY, call.key.as_deref().map(str::to_owned)),
            (header::IDEMPOTENCY, call.operation.as_deref().map(str::to_owned)),
            (header::CLASS, kind.class.map(|class| class_name(class).to_owned())),
            (own::WORK, kind.work.map(|work| work.as_millis().to_string())),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                request = request.insert_header((name, value));
            }
        }
        request
    }
}

/// Parts of an answer's body.
trait Incoming:
    futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin
{
}

impl<T> Incoming for T where
    T: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin
{
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Short => "short",
        Class::Long => "long",
    }
}

async fn read(call: &Call<'_>, answer: &mut ClientResponse<impl Incoming>) -> (Answer, Option<TargetId>) {
    let status = answer.status().as_u16();
    let text = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    let code = text(header::CODE).and_then(|code| code.parse().ok()).unwrap_or_default();
    let outcome = text(header::OUTCOME).map(str::to_owned);
    let Ok(body) = read_body(answer, ANSWER_BYTES_MAX).await else {
        return (Answer::Cut, None);
    };
    match outcome.as_deref() {
        Some("ran") if (200..300).contains(&status) => check(call, &body),
        Some("ran") => (Answer::RanBefore, None),
        Some("not-run") => (Answer::NotRun(code), None),
        Some("unknown") => (Answer::Unknown(code), None),
        _ => (Answer::Foreign(status), None),
    }
}

/// Checks that an answer is whole and that it is to the request.
fn check(call: &Call<'_>, body: &[u8]) -> (Answer, Option<TargetId>) {
    let Ok(echo) = serde_json::from_slice::<Echo>(body) else {
        return (Answer::HiddenCut, None);
    };
    let (length, sum) = call.body.as_ref().map_or((0, 0), |(_, sum)| (call.kind.body.as_bytes(), *sum));
    let is_own = echo.call.as_ref() == Some(&call.id)
        && echo.key.as_ref().is_none_or(|key| call.key.as_ref() == Some(key))
        && (echo.length, echo.checksum) == (length, sum)
        && echo.pad.len() as u64 == call.kind.answer.as_bytes();
    (if is_own { Answer::Ran } else { Answer::Mixed }, Some(echo.target))
}
