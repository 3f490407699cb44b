//! Counters for operators.

use {
    catkin::types::Span,
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{counter::Counter, family::Family, histogram::Histogram},
        registry::Registry,
    },
};

/// Bounds of the latency histogram, in seconds; they include the latency
/// objectives and deadlines of the first users.
const LATENCY_SECONDS: [f64; 12] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 1.5, 5.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByEnd {
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByKind {
    kind: &'static str,
}

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<ByEnd, Counter>,
    sends: Family<ByEnd, Counter>,
    commands: Family<ByKind, Counter>,
    latency: Histogram,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("catkin_edge");
        let answers = Family::default();
        registry.register("answers", "Answers to callers by how they ended", answers.clone());
        let sends = Family::default();
        registry.register("sends", "Sends to targets by how they ended", sends.clone());
        let commands = Family::default();
        registry.register("commands", "Commands to targets about keys", commands.clone());
        let latency = Histogram::new(LATENCY_SECONDS);
        registry.register("latency_seconds", "Time from request to answer", latency.clone());
        Self { registry, answers, sends, commands, latency }
    }

    /// Counts an answer to a caller.
    pub(crate) fn answer(&self, end: &'static str, took: Span) {
        self.answers.get_or_create(&ByEnd { end }).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts a send to a target.
    pub(crate) fn send(&self, end: &'static str) {
        self.sends.get_or_create(&ByEnd { end }).inc();
    }

    /// Counts a command to a target.
    pub(crate) fn command(&self, kind: &'static str) {
        self.commands.get_or_create(&ByKind { kind }).inc();
    }

    /// Writes all metrics in the text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = text::encode(&mut text, &self.registry) {
            log::warn!(error:display; "metrics can't be written");
        }
        text
    }
}
