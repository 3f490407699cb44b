//! Experiment files.

use {
    crate::{event::Event, keys::Keys},
    catkin::{
        Code, Error,
        settings::Settings,
        types::{Rate, Service, Share, Size, Span},
        wire::Class,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf, sync::Arc},
};

/// An experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, for the report.
    pub name: Arc<str>,
    /// Seed of all choices.
    pub seed: u64,
    /// Addresses of the gateways for callers.
    pub gateways: Vec<SocketAddr>,
    /// Targets whose ledgers are read at the end; without any, only the answers
    /// to callers are looked at.
    #[serde(default)]
    pub targets: Vec<Standin>,
    /// Rates of arrival, one phase after the other.
    pub phases: Vec<Phase>,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// What happens to the stand-ins meanwhile.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Time from the last answer to the reading of the ledgers, in which
    /// requests without an answer may still run.
    #[serde(default = "settle")]
    pub settle: Span,
}

fn settle() -> Span {
    Span::from_secs(1)
}

/// A stand-in for a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Standin {
    /// Address of the target.
    pub addr: SocketAddr,
    /// Journal that is read if the target has gone.
    pub journal: Option<PathBuf>,
}

/// A span of time with one rate of arrival.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Length.
    pub span: Span,
    /// Arrivals of all kinds.
    pub rate: Rate,
}

/// Method of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Method {
    /// Lookups.
    #[default]
    Get,
    /// Work that is not idempotent.
    Post,
    /// Uploads that may be sent again.
    Put,
}

/// A kind of work.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, for the report.
    pub name: Arc<str>,
    /// Service that is asked.
    pub service: Service,
    /// Path after the service's name.
    #[serde(default)]
    pub path: Arc<str>,
    /// Share of the arrivals, in relation to the other kinds.
    pub weight: f64,
    /// Method of the requests.
    #[serde(default)]
    pub method: Method,
    /// Class of the requests; without it the route decides.
    pub class: Option<Class>,
    /// Whether it carries an idempotency key and must not run twice.
    #[serde(default)]
    pub protected: bool,
    /// Share of protected operations that are sent twice at once, through two
    /// gateways.
    #[serde(default)]
    pub repeat: Share,
    /// Length of the request's body.
    #[serde(default)]
    pub body: Size,
    /// Time between two parts of the body.
    #[serde(default)]
    pub pace: Span,
    /// Length of the pad in the answer.
    #[serde(default)]
    pub answer: Size,
    /// Time that the work takes; without it the target decides by class.
    pub work: Option<Span>,
    /// Deadline that is sent; a later answer counts as late.
    pub deadline: Span,
    /// Share of the requests that must run for the experiment to pass.
    #[serde(default)]
    pub served: Share,
    /// Choice of keys; without it requests have none.
    pub keys: Option<Keys>,
}

impl Settings for Experiment {
    fn check(&self) -> Result<(), Error> {
        if self.gateways.is_empty() {
            return Err(Error::new(Code::MissingField, "one or more addresses").with_path("gateways"));
        }
        for (number, kind) in self.kinds.iter().enumerate() {
            let fail = |code, field: &str, detail: &str| {
                Err(Error::new(code, detail).with_path(format!("kinds[{number}].{field}")))
            };
            if kind.deadline.as_millis() == 0 {
                return fail(Code::ZeroLimit, "deadline", "1ms or more");
            }
            if !kind.weight.is_finite() || kind.weight < 0.0 {
                return fail(Code::BadValue, "weight", "a number that is not negative");
            }
            if kind.keys.as_ref().is_some_and(|keys| keys.count() == 0) {
                return fail(Code::ZeroLimit, "keys.count", "1 or more");
            }
        }
        for (number, phase) in self.phases.iter().enumerate() {
            let rate = phase.rate.as_per_second();
            if !rate.is_finite() || rate < 0.0 {
                let path = format!("phases[{number}].rate");
                return Err(Error::new(Code::BadValue, "a rate that is not negative").with_path(path));
            }
        }
        if self.kinds.iter().map(|kind| kind.weight).sum::<f64>() <= 0.0 {
            return Err(Error::new(Code::MissingField, "a kind with a weight above 0").with_path("kinds"));
        }
        self.events.iter().enumerate().try_for_each(|(number, event)| {
            event.action().map(drop).map_err(|e| e.with_path(format!("events[{number}]")))
        })
    }
}
