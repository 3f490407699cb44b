//! Metrics for operators, in the text format of Prometheus.

use {
    catkin::{Code, types::Span},
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::sync::Arc,
};

const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<CodeLabels, Counter>,
    latency: Histogram,
    drops: Family<KindLabels, Counter>,
    retries: Counter,
    commands: Family<KindLabels, Counter>,
    /// Requests of callers in progress.
    pub(crate) open_requests: Gauge,
    /// Offset of the next record of the log.
    pub(crate) log_offset: Gauge,
    /// Revision of the configuration in force.
    pub(crate) config_revision: Gauge,
    /// Targets that this gateway keeps.
    pub(crate) kept_targets: Gauge,
}

impl Metrics {
    /// Creates all metrics and registers them.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("catkin");
        let answers = Family::default();
        registry.register("answers", "Answers to callers by result code", answers.clone());
        let latency = Histogram::new(LATENCY_BUCKETS_SECONDS);
        registry.register("latency_seconds", "Time from request to answer head", latency.clone());
        let drops = Family::default();
        registry.register("drops", "Messages and records dropped by kind", drops.clone());
        let retries = Counter::default();
        registry.register("retries", "Requests sent again", retries.clone());
        let commands = Family::default();
        registry.register("commands", "Commands to targets by kind", commands.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let open_requests = gauge("open_requests", "Requests of callers in progress");
        let log_offset = gauge("log_offset", "Offset of the next record of the log");
        let config_revision = gauge("config_revision", "Configuration in force");
        let kept_targets = gauge("kept_targets", "Targets that this gateway keeps");
        Self {
            registry,
            answers,
            latency,
            drops,
            retries,
            commands,
            open_requests,
            log_offset,
            config_revision,
            kept_targets,
        }
    }

    /// Counts an answer to a caller, with the time until its head was ready.
    pub(crate) fn count_answer(&self, code: Code, latency: Span) {
        self.answers.get_or_create(&CodeLabels { code: code.number() }).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts a message or a record that was dropped. The kind is the value of
    /// a label.
    pub(crate) fn count_drop(&self, kind: &'static str) {
        self.drops.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a further attempt of a request.
    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }

    /// Counts a command to a target. The kind is the value of a label.
    pub(crate) fn count_command(&self, kind: &'static str) {
        self.commands.get_or_create(&KindLabels { kind }).inc();
    }

    /// Returns all metrics in the text format.
    pub(crate) fn encode(&self) -> Arc<str> {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text.into()
    }
}
