//! Fields of a configuration to which findings and differences refer.

/// A limit on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitField {
    /// Largest head of a request.
    HeadBytes,
    /// Largest body of a request.
    BodyBytes,
    /// Longest time in which a caller may send a head.
    HeadTimeout,
    /// Longest time for which a connection may be idle.
    IdleTimeout,
}

/// A field of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteField {
    /// Host of the requests.
    Host,
    /// Name of the route.
    Name,
    /// Whether requests may be repeated.
    Kind,
    /// Latency objective.
    LatencyObjective,
    /// Rank of the requests.
    Priority,
    /// Prefix of the path.
    Prefix,
    /// Services with their weights.
    Services,
    /// Name of the service with this index.
    ShareService(usize),
    /// Weight of the service with this index.
    ShareWeight(usize),
    /// Longest time to the answer.
    Timeout,
    /// Largest number of attempts.
    MaxAttempts,
}

/// A setting of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceField {
    /// Name of the service.
    Name,
    /// Whether its keys have owners.
    Keyed,
    /// Path of health checks.
    HealthPath,
    /// Time for which a target is cold.
    ColdDuration,
    /// Requests per second that a cold target takes.
    ColdRate,
}

/// A field of any part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Field {
    /// A limit.
    Limit(LimitField),
    /// A field of a route.
    Route(RouteField),
    /// A setting of a service.
    Service(ServiceField),
}

/// A field of one configuration. Routes and services are numbered in the order of
/// the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    /// No field, but the configuration as a whole.
    Whole,
    /// Version.
    Version,
    /// A limit.
    Limit(LimitField),
    /// A field of the route with this index.
    Route(usize, RouteField),
    /// A setting of the service with this index.
    Service(usize, ServiceField),
}
