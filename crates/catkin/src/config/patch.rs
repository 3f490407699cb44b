//! Policy of a service, and the fields of it that defaults and exceptions set.

use {
    crate::{
        Code, Error,
        types::{Share, Size, Span},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What a service does with requests that have an idempotency key and are not
/// idempotent, while the log is unavailable.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogDownPolicy {
    /// Refuses them with a code that says that they did not run.
    #[default]
    #[display("refuse")]
    Refuse,
    /// Sends them without the fleet-wide check of the idempotency key.
    #[display("send")]
    Send,
}

macro_rules! fields {
    ($($(#[$doc:meta])* $name:ident: $type:ty = $default:expr, in $min:expr, $max:expr;)*) => {
        /// Fields of a [`Policy`] that defaults or an exception set; `None`
        /// leaves the value unchanged.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct Patch {
            $($(#[$doc])* #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)*
        }

        /// Configuration values in force for one service.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Policy {
            $($(#[$doc])* pub $name: $type,)*
        }

        impl Default for Policy {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        impl Policy {
            /// Returns the policy with the fields that a patch sets replaced.
            #[must_use]
            pub fn with_patch(mut self, patch: &Patch) -> Self {
                $(if let Some(value) = &patch.$name { self.$name = value.clone(); })*
                self
            }

            /// Returns all fields by name, with their values as text.
            pub fn field_values(&self) -> Vec<(&'static str, String)> {
                vec![$((stringify!($name), self.$name.to_string()),)*]
            }
        }

        impl Patch {
            /// Returns the names of the fields that are set.
            pub fn field_names(&self) -> Vec<&'static str> {
                let names = [$(self.$name.as_ref().map(|_| stringify!($name)),)*];
                names.into_iter().flatten().collect()
            }

            /// Checks the range of each field that is set; `path` is the path of
            /// the patch in the configuration.
            pub(super) fn check_ranges(&self, path: &str) -> Result<(), Error> {
                $(check_range(&self.$name, &$min, &$max)
                    .map_err(|e| e.with_path(format!("{path}.{}", stringify!($name))))?;)*
                Ok(())
            }
        }
    };
}

fields! {
    /// Deadline of requests that set none.
    deadline: Span = Span::from_secs(2), in Span::from_millis(1), Span::from_secs(86_400);
    /// Number of requests that a target runs concurrently.
    slots: u32 = 6, in 1, 1_000;
    /// Share of the slots that long requests may use.
    long_share: Share = Share::from_percent(50), in Share::from_percent(1), Share::from_percent(100);
    /// Body size from which a request counts as long.
    long_size: Size = Size::from_bytes(1 << 20), in Size::from_bytes(1), Size::from_bytes(1 << 40);
    /// Maximum time in the queue of a target.
    queue_wait: Span = Span::from_millis(500), in Span::from_millis(1), Span::from_secs(60);
    /// Maximum number of requests in the queue of a target.
    queue_length: u32 = 256, in 1, 65_536;
    /// Maximum number of retries as a share of recent successes.
    retry_budget: Share = Share::from_percent(10), in Share::from_percent(0), Share::from_percent(100);
    /// Maximum number of attempts of a request, including the first.
    retry_tries: u32 = 2, in 1, 10;
    /// Maximum size of a request body. The lower of this and the limit in the
    /// settings of the gateway applies.
    body_limit: Size = Size::from_bytes(1 << 30), in Size::from_bytes(1), Size::from_bytes(1 << 40);
    /// Lease duration.
    lease_ttl: Span = Span::from_millis(400), in Span::from_millis(30), Span::from_millis(999);
    /// Interval between two renewals of a lease.
    lease_period: Span = Span::from_millis(100), in Span::from_millis(10), Span::from_millis(333);
    /// Maximum relative difference of the rates of two clocks.
    clock_margin: Share = Share::from_percent(1), in Share::from_percent(0), Share::from_percent(10);
    /// What happens to requests that have an idempotency key and are not idempotent,
    /// while the log is unavailable.
    log_down: LogDownPolicy = LogDownPolicy::Refuse, in LogDownPolicy::Refuse, LogDownPolicy::Send;
}

fn check_range<T: PartialOrd + std::fmt::Display>(value: &Option<T>, min: &T, max: &T) -> Result<(), Error> {
    match value {
        Some(value) if value < min || value > max => {
            Err(Error::new(Code::ConfigRange, format!("read {value}, allowed is {min} to {max}")))
        }
        _ => Ok(()),
    }
}
