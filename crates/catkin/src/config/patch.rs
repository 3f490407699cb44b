//! The fields that defaults and exceptions may set.

use {
    crate::{
        Code, Error,
        types::{Share, Size, Span},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What a service does with protected requests while the log is down.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogDown {
    /// Refuses them as not run.
    #[default]
    #[display("refuse")]
    Refuse,
    /// Sends them without the fleet-wide check.
    #[display("send")]
    Send,
}

macro_rules! fields {
    ($($(#[$doc:meta])* $name:ident: $type:ty = $default:expr, in $low:expr, $high:expr;)*) => {
        /// Fields that defaults and exceptions may set.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct Patch {
            $($(#[$doc])* #[serde(skip_serializing_if = "Option::is_none")] pub $name: Option<$type>,)*
        }

        /// Settings in force for one service.
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
            /// Returns the policy with the fields of a patch replaced.
            #[must_use]
            pub fn with_patch(mut self, patch: &Patch) -> Self {
                $(if let Some(value) = &patch.$name { self.$name = value.clone(); })*
                self
            }

            /// Returns the names of all fields with their values.
            pub fn values(&self) -> Vec<(&'static str, String)> {
                vec![$((stringify!($name), self.$name.to_string()),)*]
            }
        }

        impl Patch {
            /// Returns the names of the fields that are set.
            pub fn names(&self) -> Vec<&'static str> {
                let names = [$(self.$name.as_ref().map(|_| stringify!($name)),)*];
                names.into_iter().flatten().collect()
            }

            /// Checks the range of each field that is set.
            pub(super) fn check(&self, path: &str) -> Result<(), Error> {
                $(check_range(&self.$name, &$low, &$high)
                    .map_err(|e| e.with_path(format!("{path}.{}", stringify!($name))))?;)*
                Ok(())
            }
        }
    };
}

fields! {
    /// Deadline of requests that name none.
    deadline: Span = Span::from_secs(2), in Span::from_millis(1), Span::from_secs(86_400);
    /// Requests that a target runs at the same time.
    slots: u32 = 6, in 1, 1_000;
    /// Share of the slots that long work may hold.
    long_share: Share = Share::from_percent(50), in Share::from_percent(1), Share::from_percent(100);
    /// Body size from which work counts as long.
    long_size: Size = Size::from_bytes(1 << 20), in Size::from_bytes(1), Size::from_bytes(1 << 40);
    /// Longest time in the queue of a target.
    queue_wait: Span = Span::from_millis(500), in Span::from_millis(1), Span::from_secs(60);
    /// Requests in the queue of a target.
    queue_length: u32 = 256, in 1, 65_536;
    /// Retries as a share of recent successes.
    retry_budget: Share = Share::from_percent(10), in Share::from_percent(0), Share::from_percent(100);
    /// Tries of one request.
    retry_tries: u32 = 2, in 1, 10;
    /// Largest body.
    body_limit: Size = Size::from_bytes(1 << 30), in Size::from_bytes(1), Size::from_bytes(1 << 40);
    /// Time to live of a lease.
    lease_ttl: Span = Span::from_millis(400), in Span::from_millis(30), Span::from_millis(999);
    /// Time between two renewals.
    lease_period: Span = Span::from_millis(100), in Span::from_millis(10), Span::from_millis(333);
    /// Largest difference of two clock rates.
    clock_margin: Share = Share::from_percent(1), in Share::from_percent(0), Share::from_percent(10);
    /// What happens to protected requests while the log is down.
    log_down: LogDown = LogDown::Refuse, in LogDown::Refuse, LogDown::Send;
}

fn check_range<T: PartialOrd + std::fmt::Display>(value: &Option<T>, low: &T, high: &T) -> Result<(), Error> {
    match value {
        Some(value) if value < low || value > high => {
            Err(Error::new(Code::ConfigRange, format!("read {value}, allowed is {low} to {high}")))
        }
        _ => Ok(()),
    }
}
