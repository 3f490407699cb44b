//! Metrics of the process in the Prometheus text format.

use {
    catkin::types::{Size, Span},
    catkin_route::{directory::Directory, load::SlowTargets},
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::AtomicU64},
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

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabel {
    service: String,
    rank: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: Arc<str>,
}

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<EndLabel, Counter>,
    attempts: Family<EndLabel, Counter>,
    streams: Family<EndLabel, Counter>,
    commands: Family<KindLabel, Counter>,
    probes: Family<EndLabel, Counter>,
    suspicions: Counter,
    silent_targets: Family<ServiceLabel, Gauge>,
    cold: Family<EndLabel, Counter>,
    zone_crossings: Family<ServiceLabel, Counter>,
    latency: Histogram,
    config_version: Gauge,
    config_age: Gauge<f64, AtomicU64>,
    unknown_kinds: Gauge,
    link_delay: Histogram,
    link_bytes: Family<KindLabel, Counter>,
    held: Gauge,
    evacuated_zones: Gauge,
    evacuated_ranges: Gauge,
    evacuated_requests: Gauge,
    admitted: Family<RankLabel, Gauge<f64, AtomicU64>>,
    overload_refusals: Family<RankLabel, Counter>,
    slow_targets: Family<ServiceLabel, Gauge>,
    slowdown_max: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    slow_work_ratio: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    link_refusals: Counter,
}

impl Metrics {
    /// Creates a registry with all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("catkin_edge");
        let answers = Family::default();
        registry.register("answers", "Answers to callers by how they ended", answers.clone());
        let attempts = Family::default();
        registry.register("sends", "Sends to targets by how they ended", attempts.clone());
        let streams = Family::default();
        let help = "Answers that were forwarded while they arrived, by how they ended";
        registry.register("streamed_answers", help, streams.clone());
        let commands = Family::default();
        registry.register("commands", "Commands to targets about keys", commands.clone());
        let probes = Family::default();
        registry.register("health_checks", "Health checks of targets by how they ended", probes.clone());
        let suspicions = Counter::default();
        let help = "Requests to targets that got no byte for so long that their target counts as silent";
        registry.register("suspicions", help, suspicions.clone());
        let silent_targets = Family::default();
        let help = "Targets that have stopped responding";
        registry.register("silent_targets", help, silent_targets.clone());
        let cold = Family::default();
        registry.register("cold_requests", "Requests for cold targets by what became of them", cold.clone());
        let zone_crossings = Family::default();
        let help = "Requests sent to targets of other zones";
        registry.register("sends_to_other_zones", help, zone_crossings.clone());
        let latency = Histogram::new(LATENCY_BUCKETS_SECONDS);
        registry.register("latency_seconds", "Time from request to answer", latency.clone());
        let config_version = Gauge::default();
        registry.register("config_version", "Version of the configuration in force", config_version.clone());
        let config_age = Gauge::default();
        let help = "Time since the configuration was known to be the newest, in seconds";
        registry.register("config_age_seconds", help, config_age.clone());
        let unknown_kinds = Gauge::default();
        let help = "Routes in force whose kind is unknown and whose requests run at most once";
        registry.register("unknown_route_kinds", help, unknown_kinds.clone());
        let link_delay = Histogram::new(LATENCY_BUCKETS_SECONDS);
        registry.register("link_delay_seconds", "Time from a report to its answer", link_delay.clone());
        let link_bytes = Family::default();
        registry.register("link_bytes", "Bytes sent on links between processes", link_bytes.clone());
        let held = Gauge::default();
        registry.register("held_bytes", "Bytes of requests, answers and messages", held.clone());
        let evacuated_zones = Gauge::default();
        registry.register("evacuated_zones", "Evacuated zones", evacuated_zones.clone());
        let evacuated_ranges = Gauge::default();
        let help = "Ranges of keys whose owner is in an evacuated zone";
        registry.register("evacuated_ranges", help, evacuated_ranges.clone());
        let evacuated_requests = Gauge::default();
        let help = "Requests of this process in progress at targets of evacuated zones";
        registry.register("evacuated_requests", help, evacuated_requests.clone());
        let admitted = Family::default();
        let help = "Share of the requests of a rank that is admitted, of services with several ranks";
        registry.register("admitted_share", help, admitted.clone());
        let overload_refusals = Family::default();
        let help = "Requests that were refused at once because their service has too little room";
        registry.register("overload_refusals", help, overload_refusals.clone());
        let slow_targets = Family::default();
        registry.register("slow_targets", "Targets that are slow by their reports", slow_targets.clone());
        let slowdown_max = Family::default();
        let help = "Largest slowdown that a slow target has reported; 1 if none is slow";
        registry.register("slowdown_max", help, slowdown_max.clone());
        let slow_work_ratio = Family::default();
        let help = "Requests of a target while it is slow, as a multiple of those of other targets";
        registry.register("slow_work_ratio", help, slow_work_ratio.clone());
        let link_refusals = Counter::default();
        let help = "Requests that were refused at once because the own link is too slow for their answers";
        registry.register("link_refusals", help, link_refusals.clone());
        Self {
            registry,
            answers,
            attempts,
            streams,
            commands,
            probes,
            suspicions,
            silent_targets,
            cold,
            zone_crossings,
            latency,
            config_version,
            config_age,
            unknown_kinds,
            link_delay,
            link_bytes,
            held,
            evacuated_zones,
            evacuated_ranges,
            evacuated_requests,
            admitted,
            overload_refusals,
            slow_targets,
            slowdown_max,
            slow_work_ratio,
            link_refusals,
        }
    }

    /// Sets the version of the configuration in force and the number of its routes
    /// whose kind is unknown.
    pub(crate) fn set_config(&self, version: u64, unknown_kinds: usize) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.unknown_kinds.set(i64::try_from(unknown_kinds).unwrap_or(i64::MAX));
    }

    /// Sets the time since the configuration was known to be the newest.
    pub(crate) fn set_config_age(&self, age: Span) {
        self.config_age.set(age.as_secs_f64());
    }

    /// Sets the bytes of requests, answers and messages that are held.
    pub(crate) fn set_held(&self, held: Size) {
        self.held.set(i64::try_from(held.as_bytes()).unwrap_or(i64::MAX));
    }

    /// Sets the number of evacuated zones, of the ranges that their targets own,
    /// and of the requests in progress there.
    pub(crate) fn set_evacuated(&self, zones: usize, ranges: usize, requests: u32) {
        self.evacuated_zones.set(i64::try_from(zones).unwrap_or(i64::MAX));
        self.evacuated_ranges.set(i64::try_from(ranges).unwrap_or(i64::MAX));
        self.evacuated_requests.set(i64::from(requests));
    }

    /// Sets the share of the requests of a rank that is admitted.
    pub(crate) fn set_admitted(&self, service: &str, rank: u32, share: f64) {
        self.admitted.get_or_create(&RankLabel { service: service.to_owned(), rank }).set(share);
    }

    /// Counts a request that was refused at once because of its rank.
    pub(crate) fn count_overload_refusal(&self, service: &str, rank: u32) {
        self.overload_refusals.get_or_create(&RankLabel { service: service.to_owned(), rank }).inc();
    }

    /// Replaces what is known of slow targets, by service.
    pub(crate) fn set_slow(&self, services: BTreeMap<Arc<str>, SlowTargets>) {
        self.slow_targets.clear();
        self.slowdown_max.clear();
        self.slow_work_ratio.clear();
        for (service, slow) in services {
            let label = ServiceLabel { service };
            self.slow_targets.get_or_create(&label).set(i64::try_from(slow.count).unwrap_or(i64::MAX));
            self.slowdown_max.get_or_create(&label).set(slow.slowdown_max);
            if let Some(ratio) = slow.work_ratio {
                self.slow_work_ratio.get_or_create(&label).set(ratio);
            }
        }
    }

    /// Counts a request that was refused at once because the own link is too slow.
    pub(crate) fn count_link_refusal(&self) {
        self.link_refusals.inc();
    }

    /// Records the time from a report to the leader to its answer.
    pub(crate) fn record_link_delay(&self, delay: Span) {
        self.link_delay.observe(delay.as_secs_f64());
    }

    /// Counts the bytes of a message on a link to another process.
    pub(crate) fn count_link_bytes(&self, kind: &'static str, bytes: usize) {
        self.link_bytes.get_or_create(&KindLabel { kind }).inc_by(bytes as u64);
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

    /// Counts an answer that was forwarded while it arrived.
    pub(crate) fn count_stream(&self, end: &'static str) {
        self.streams.get_or_create(&EndLabel { end }).inc();
    }

    /// Counts a request that was sent to a cold target, or refused as all its
    /// targets are cold.
    pub(crate) fn count_cold(&self, end: &'static str) {
        self.cold.get_or_create(&EndLabel { end }).inc();
    }

    /// Counts a request to a target of another zone.
    pub(crate) fn count_zone_crossing(&self, service: &Arc<str>) {
        self.zone_crossings.get_or_create(&ServiceLabel { service: service.clone() }).inc();
    }

    /// Counts a command to a target.
    pub(crate) fn count_command(&self, kind: &'static str) {
        self.commands.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a health check of a target.
    pub(crate) fn count_probe(&self, end: &'static str) {
        self.probes.get_or_create(&EndLabel { end }).inc();
    }

    /// Counts a request to a target that got no byte for so long that the target counts
    /// as silent.
    pub(crate) fn count_suspicion(&self) {
        self.suspicions.inc();
    }

    /// Sets the number of targets that have stopped responding, by service.
    pub(crate) fn set_silent(&self, directory: &Directory) {
        for service in directory.services() {
            let count = directory.of_service(service).filter(|target| target.is_silent).count();
            let gauge = self.silent_targets.get_or_create(&ServiceLabel { service: service.clone() });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
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
