//! Counters for operators.

use {
    catkin::{Code, types::Span},
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::sync::Arc,
};

const LATENCY_SECONDS: [f64; 12] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCode {
    code: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByKind {
    kind: &'static str,
}

/// Metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<ByCode, Counter>,
    latency: Histogram,
    drops: Family<ByKind, Counter>,
    retries: Counter,
    commands: Family<ByKind, Counter>,
    /// Requests of callers in progress.
    pub(crate) open: Gauge,
    /// Offset of the next record of the log.
    pub(crate) offset: Gauge,
    /// Configuration in force.
    pub(crate) revision: Gauge,
    /// Targets that this gateway keeps.
    pub(crate) kept: Gauge,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("catkin");
        let answers = Family::default();
        registry.register("answers", "Answers to callers by result code", answers.clone());
        let latency = Histogram::new(LATENCY_SECONDS);
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
        let open = gauge("open_requests", "Requests of callers in progress");
        let offset = gauge("log_offset", "Offset of the next record of the log");
        let revision = gauge("config_revision", "Configuration in force");
        let kept = gauge("kept_targets", "Targets that this gateway keeps");
        Self { registry, answers, latency, drops, retries, commands, open, offset, revision, kept }
    }

    /// Counts an answer to a caller.
    pub(crate) fn answer(&self, code: Code, took: Span) {
        self.answers.get_or_create(&ByCode { code: code.number() }).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts a message or a record that was dropped.
    pub(crate) fn drop(&self, kind: &'static str) {
        self.drops.get_or_create(&ByKind { kind }).inc();
    }

    /// Counts a request that is sent again.
    pub(crate) fn retry(&self) {
        self.retries.inc();
    }

    /// Counts a command to a target.
    pub(crate) fn command(&self, kind: &'static str) {
        self.commands.get_or_create(&ByKind { kind }).inc();
    }

    /// Writes all metrics in the text format.
    pub(crate) fn encode(&self) -> Arc<str> {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text.into()
    }
}
