//! Fleet configuration: defaults for every service and exceptions with a
//! reason, as operators publish it to the log.

use {
    crate::{
        Code, Error,
        types::{Service, Share, Size, Span},
        wire::Class,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// What a service does with protected requests while the log is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogDown {
    /// Refuses them as not run.
    #[default]
    Refuse,
    /// Sends them without the fleet-wide check.
    Send,
}

/// Fields that defaults and exceptions may set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Patch {
    /// Deadline of requests that name none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
    /// Requests that a target runs at the same time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Share of the slots that long work may hold.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub long_share: Option<Share>,
    /// Body size from which work counts as long.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub long_size: Option<Size>,
    /// Longest time in the queue of a target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_wait: Option<Span>,
    /// Requests in the queue of a target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_length: Option<u32>,
    /// Retries as a share of recent successes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_budget: Option<Share>,
    /// Tries of one request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_tries: Option<u32>,
    /// Largest body.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body_limit: Option<Size>,
    /// Time to live of a lease.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease_ttl: Option<Span>,
    /// Time between two renewals.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease_period: Option<Span>,
    /// Largest difference of two clock rates.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub clock_margin: Option<Share>,
    /// What happens to protected requests while the log is down.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log_down: Option<LogDown>,
}

/// Settings in force for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Deadline of requests that name none.
    pub deadline: Span,
    /// Requests that a target runs at the same time.
    pub slots: u32,
    /// Share of the slots that long work may hold.
    pub long_share: Share,
    /// Body size from which work counts as long.
    pub long_size: Size,
    /// Longest time in the queue of a target.
    pub queue_wait: Span,
    /// Requests in the queue of a target.
    pub queue_length: u32,
    /// Retries as a share of recent successes.
    pub retry_budget: Share,
    /// Tries of one request.
    pub retry_tries: u32,
    /// Largest body.
    pub body_limit: Size,
    /// Time to live of a lease.
    pub lease_ttl: Span,
    /// Time between two renewals.
    pub lease_period: Span,
    /// Largest difference of two clock rates.
    pub clock_margin: Share,
    /// What happens to protected requests while the log is down.
    pub log_down: LogDown,
}

impl Default for Policy {
    fn default() -> Self {
        let share = |number| Share::new(number).unwrap_or_default();
        Self {
            deadline: Span::from_secs(2),
            slots: 6,
            long_share: share(0.5),
            long_size: Size::from_bytes(1 << 20),
            queue_wait: Span::from_millis(500),
            queue_length: 256,
            retry_budget: share(0.1),
            retry_tries: 2,
            body_limit: Size::from_bytes(1 << 30),
            lease_ttl: Span::from_millis(400),
            lease_period: Span::from_millis(100),
            clock_margin: share(0.01),
            log_down: LogDown::Refuse,
        }
    }
}

impl Policy {
    /// Returns the policy with the fields of a patch replaced.
    #[must_use]
    pub fn with_patch(mut self, patch: &Patch) -> Self {
        fn set<T: Clone>(field: &mut T, value: &Option<T>) {
            if let Some(value) = value {
                *field = value.clone();
            }
        }
        set(&mut self.deadline, &patch.deadline);
        set(&mut self.slots, &patch.slots);
        set(&mut self.long_share, &patch.long_share);
        set(&mut self.long_size, &patch.long_size);
        set(&mut self.queue_wait, &patch.queue_wait);
        set(&mut self.queue_length, &patch.queue_length);
        set(&mut self.retry_budget, &patch.retry_budget);
        set(&mut self.retry_tries, &patch.retry_tries);
        set(&mut self.body_limit, &patch.body_limit);
        set(&mut self.lease_ttl, &patch.lease_ttl);
        set(&mut self.lease_period, &patch.lease_period);
        set(&mut self.clock_margin, &patch.clock_margin);
        set(&mut self.log_down, &patch.log_down);
        self
    }
}

/// A rule for requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Start of the path after the service's name.
    pub prefix: Arc<str>,
    /// Class of the requests.
    #[serde(default)]
    pub class: Class,
    /// Whether they may be sent again; without it the method decides.
    pub idempotent: Option<bool>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Whether targets own keys.
    #[serde(default)]
    pub keyed: bool,
    /// Number of slices of a service divided by key.
    #[serde(default)]
    pub slices: u32,
    /// Whether the targets check fences.
    #[serde(default = "yes")]
    pub fenced: bool,
    /// Rules for requests; the longest prefix wins.
    #[serde(default)]
    pub routes: Vec<Route>,
}

fn yes() -> bool {
    true
}

/// An exception from the defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// The service.
    pub service: Service,
    /// Why it is needed.
    pub reason: Arc<str>,
    /// Who asked for it.
    pub author: Arc<str>,
    /// The fields that differ.
    pub set: Patch,
}

/// A fleet configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Fields for every service.
    #[serde(default)]
    pub defaults: Patch,
    /// The services.
    pub services: BTreeMap<Service, Entry>,
    /// The exceptions.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
}

impl Fleet {
    /// Returns the policy of a service.
    pub fn policy(&self, service: &Service) -> Policy {
        let base = Policy::default().with_patch(&self.defaults);
        let own = self.exceptions.iter().filter(|e| e.service == *service);
        own.fold(base, |policy, e| policy.with_patch(&e.set))
    }
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// A code of group 2 with the path of the field.
pub fn parse(text: &str) -> Result<Fleet, Error> {
    let input = serde_yaml_ng::Deserializer::from_str(text);
    let fleet: Fleet = serde_path_to_error::deserialize(input).map_err(|e| {
        let path = e.path().to_string();
        Error::new(Code::ConfigSyntax, e.into_inner().to_string()).with_path(path)
    })?;
    check(&fleet)?;
    Ok(fleet)
}

fn check(fleet: &Fleet) -> Result<(), Error> {
    for (number, exception) in fleet.exceptions.iter().enumerate() {
        check_exception(fleet, exception).map_err(|e| e.with_path(format!("exceptions[{number}]")))?;
    }
    for (service, entry) in &fleet.services {
        if entry.keyed && entry.slices == 0 {
            let detail = "a service divided by key has 1 or more slices";
            return Err(Error::new(Code::ConfigRange, detail).with_path(format!("services.{service}.slices")));
        }
    }
    Ok(())
}

fn check_exception(fleet: &Fleet, exception: &Exception) -> Result<(), Error> {
    if exception.reason.trim().is_empty() || exception.author.trim().is_empty() {
        return Err(Error::new(Code::ConfigReason, "an exception has a reason and an author"));
    }
    if !fleet.services.contains_key(&exception.service) {
        return Err(Error::new(Code::ConfigService, format!("no service {}", exception.service)));
    }
    Ok(())
}
