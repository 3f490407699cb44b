//! Report of an experiment, for JSON and for the terminal.

use {
    crate::{audit::Checks, stats::KindStats},
    catkin::types::Span,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, sync::Arc},
};

/// Result of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: Arc<str>,
    /// Seed that was used; it may differ from that of the experiment file.
    pub seed: u64,
    /// Total duration of the phases.
    pub span: Span,
    /// Statistics by name of the kind of work.
    pub kinds: BTreeMap<Arc<str>, KindStats>,
    /// Violations that were found.
    pub checks: Checks,
}

impl Report {
    /// Returns the number of requests that were sent, over all kinds.
    pub fn sent(&self) -> u64 {
        self.kinds.values().map(|stats| stats.sent).sum()
    }

    /// Returns the number of requests that ran and whose answer was complete,
    /// over all kinds.
    pub fn ran(&self) -> u64 {
        self.kinds.values().map(|stats| stats.ran).sum()
    }
}

pub(crate) fn format_millis(micros: u64) -> String {
    format!("{:.2}", micros as f64 / 1e3)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "experiment {}, seed {}, {} of arrivals; times in ms", self.name, self.seed, self.span)?;
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>8} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "kind", "sent", "ran", "settled", "late", "p50", "p90", "p99", "p99.9", "max", "gap", "outage"
        )?;
        for (name, stats) in &self.kinds {
            let latency = &stats.latency;
            write!(
                f,
                "{name:<16} {:>8} {:>8} {:>8} {:>6}",
                stats.sent, stats.ran, stats.settled, stats.late
            )?;
            for micros in
                [latency.p50, latency.p90, latency.p99, latency.p999, latency.max, stats.gap, stats.outage]
            {
                write!(f, " {:>9}", format_millis(micros))?;
            }
            writeln!(f)?;
        }
        for (name, stats) in &self.kinds {
            let answers = stats.answers.iter().map(|(answer, count)| format!("{answer}: {count}"));
            writeln!(f, "{name}: {}", answers.collect::<Vec<_>>().join(", "))?;
        }
        for (name, findings) in self.checks.findings() {
            writeln!(f, "{name}: {}", findings.count)?;
            findings.examples.iter().try_for_each(|example| writeln!(f, "  {example}"))?;
        }
        let violations: u64 = self.checks.findings().iter().map(|(_, findings)| findings.count).sum();
        writeln!(
            f,
            "sent: {}, ran: {}, runs: {}, wrong: {violations}",
            self.sent(),
            self.ran(),
            self.checks.runs
        )
    }
}
