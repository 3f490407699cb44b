//! Experiment files: the settings of one run of the load generator.

use {
    crate::{event::Event, keys::KeyDistribution},
    catkin::{
        Code, Error,
        settings::Settings,
        types::{Rate, Service, Share, Size, Span},
        wire::Class,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf, sync::Arc},
};

/// Settings of an experiment: arrivals, kinds of work and events.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment in the report.
    pub name: Arc<str>,
    /// Seed of all random draws: arrivals, keys and bodies.
    pub seed: u64,
    /// Caller addresses of the gateways.
    pub gateways: Vec<SocketAddr>,
    /// Targets whose ledgers are read at the end; if empty, only the answers to
    /// callers are checked.
    #[serde(default)]
    pub targets: Vec<LedgerSource>,
    /// Phases of arrivals, in order.
    pub phases: Vec<Phase>,
    /// Kinds of work that the arrivals are divided among.
    pub kinds: Vec<Kind>,
    /// Faults and changes that are sent to the stand-ins during the run.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Time between the last answer and the reading of the ledgers, in which
    /// requests without an answer may still run. Unrelated to the requests that
    /// [`KindStats::settled`](crate::KindStats::settled) counts.
    #[serde(default = "settle")]
    pub settle: Span,
}

fn settle() -> Span {
    Span::from_secs(1)
}

/// A stand-in target whose ledger is read.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Standin")]
pub struct LedgerSource {
    /// Address that serves the ledger.
    pub addr: SocketAddr,
    /// Journal of the target, with the ledgers of its earlier incarnations; it
    /// replaces the ledger if the target is unreachable.
    pub journal: Option<PathBuf>,
}

/// A span of time with a constant arrival rate.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Duration of the phase.
    pub span: Span,
    /// Mean arrival rate over all kinds; 0 for none.
    pub rate: Rate,
}

/// HTTP method of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// `GET`, for lookups.
    #[default]
    Get,
    /// `POST`, for work that is not idempotent.
    Post,
    /// `PUT`, for idempotent uploads, which may be retried.
    Put,
}

/// Settings of one kind of work.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind in the report.
    pub name: Arc<str>,
    /// Service that the requests are for.
    pub service: Service,
    /// Path after the name of the service, with its leading slash.
    #[serde(default)]
    pub path: Arc<str>,
    /// Weight among the kinds when the kind of an arrival is drawn.
    pub weight: f64,
    /// HTTP method of the requests.
    #[serde(default)]
    pub method: Method,
    /// Class that the requests carry; without it the route decides.
    pub class: Option<Class>,
    /// Whether requests carry an idempotency key; their operations must not run
    /// twice.
    #[serde(default)]
    pub protected: bool,
    /// Share of protected operations that are sent twice at the same time,
    /// through two gateways if there are two or more.
    #[serde(default)]
    pub repeat: Share,
    /// Length of the request body.
    #[serde(default)]
    pub body: Size,
    /// Pause between two chunks of the request body.
    #[serde(default)]
    pub pace: Span,
    /// Length of the padding in the answer.
    #[serde(default)]
    pub answer: Size,
    /// Time for which the target works on a request; without it the target
    /// decides by class.
    pub work: Option<Span>,
    /// Deadline that the requests carry; a later answer counts as late.
    pub deadline: Span,
    /// Minimum share of the requests that must be served for the experiment to
    /// pass. A request is served if it, or another one with its idempotency key,
    /// ran.
    #[serde(default)]
    pub served: Share,
    /// Distribution of keys; without it requests have no key.
    pub keys: Option<KeyDistribution>,
}

impl Settings for Experiment {
    fn check(&self) -> Result<(), Error> {
        if self.gateways.is_empty() {
            return Err(
                Error::new(Code::MissingField, "read no address, allowed is 1 or more").with_path("gateways")
            );
        }
        for (index, kind) in self.kinds.iter().enumerate() {
            let fail = |code, field: &str, detail: &str| {
                Err(Error::new(code, detail).with_path(format!("kinds[{index}].{field}")))
            };
            if kind.deadline.as_millis() == 0 {
                return fail(Code::ZeroLimit, "deadline", "read 0, allowed is 1ms or more");
            }
            if !kind.weight.is_finite() || kind.weight < 0.0 {
                return fail(
                    Code::BadValue,
                    "weight",
                    "read a negative or non-finite weight, allowed is 0 or more",
                );
            }
            if kind.keys.as_ref().is_some_and(|keys| keys.count() == 0) {
                return fail(Code::ZeroLimit, "keys.count", "read 0, allowed is 1 or more");
            }
        }
        for (index, phase) in self.phases.iter().enumerate() {
            let rate = phase.rate.as_per_second();
            if !rate.is_finite() || rate < 0.0 {
                let path = format!("phases[{index}].rate");
                return Err(Error::new(
                    Code::BadValue,
                    "read a negative or non-finite rate, allowed is 0 or more",
                )
                .with_path(path));
            }
        }
        if self.kinds.iter().map(|kind| kind.weight).sum::<f64>() <= 0.0 {
            return Err(Error::new(
                Code::MissingField,
                "read no kind with a weight above 0, allowed is 1 or more",
            )
            .with_path("kinds"));
        }
        self.events.iter().enumerate().try_for_each(|(index, event)| {
            event.action().map(drop).map_err(|e| e.with_path(format!("events[{index}]")))
        })
    }
}
