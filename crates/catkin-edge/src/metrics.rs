//! Metrics of the process in the Prometheus text format.

use {
    catkin::types::Span,
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{counter::Counter, family::Family, histogram::Histogram},
        registry::Registry,
    },
};

/// Buckets of the latency histogram. They include the latency objectives and
/// deadlines of the first users.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 5.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<EndLabel, Counter>,
    attempts: Family<EndLabel, Counter>,
    commands: Family<KindLabel, Counter>,
    latency: Histogram,
}

impl Metrics {
    /// Creates a registry with all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("catkin_edge");
        let answers = Family::default();
        registry.register("answers", "Answers to callers by how they ended", answers.clone());
        let attempts = Family::default();
        registry.register("sends", "Sends to targets by how they ended", attempts.clone());
        let commands = Family::default();
        registry.register("commands", "Commands to targets about keys", commands.clone());
        let latency = Histogram::new(LATENCY_BUCKETS_SECONDS);
        registry.register("latency_seconds", "Time from request to answer", latency.clone());
        Self { registry, answers, attempts, commands, latency }
    }

    /// Counts an answer to a caller, and records its latency.
    pub(crate) fn count_answer(&self, end: &'static str, took: Span) {
        self.answers.get_or_create(&EndLabel { end }).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts an attempt at a target.
    pub(crate) fn count_attempt(&self, end: &'static str) {
        self.attempts.get_or_create(&EndLabel { end }).inc();
    }

    /// Counts a command to a target.
    pub(crate) fn count_command(&self, kind: &'static str) {
        self.commands.get_or_create(&KindLabel { kind }).inc();
    }

    /// Returns all metrics in the text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry) {
            log::warn!(error:display; "failed to encode metrics");
        }
        text
    }
}
