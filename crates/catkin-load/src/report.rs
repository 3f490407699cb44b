//! The result of an experiment.

use {
    crate::{audit::Checks, tally::Tally},
    catkin::types::Span,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, sync::Arc},
};

/// The result of an experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: Arc<str>,
    /// Its seed.
    pub seed: u64,
    /// Planned length of the arrivals.
    pub span: Span,
    /// Results by kind of work.
    pub kinds: BTreeMap<Arc<str>, Tally>,
    /// Comparison with the ledgers of the targets.
    pub checks: Checks,
}

impl Report {
    /// Returns the number of requests that were sent.
    pub fn sent(&self) -> u64 {
        self.kinds.values().map(|tally| tally.sent).sum()
    }

    /// Returns the number of requests that ran and were answered.
    pub fn ran(&self) -> u64 {
        self.kinds.values().map(|tally| tally.ran).sum()
    }
}

pub(crate) fn millis(micros: u64) -> String {
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
        for (name, tally) in &self.kinds {
            let time = &tally.latency;
            write!(
                f,
                "{name:<16} {:>8} {:>8} {:>8} {:>6}",
                tally.sent, tally.ran, tally.settled, tally.late
            )?;
            for micros in [time.p50, time.p90, time.p99, time.p999, time.max, tally.gap, tally.outage] {
                write!(f, " {:>9}", millis(micros))?;
            }
            writeln!(f)?;
        }
        for (name, tally) in &self.kinds {
            let answers = tally.answers.iter().map(|(answer, count)| format!("{answer}: {count}"));
            writeln!(f, "{name}: {}", answers.collect::<Vec<_>>().join(", "))?;
        }
        for (name, findings) in self.checks.findings() {
            writeln!(f, "{name}: {}", findings.count)?;
            findings.examples.iter().try_for_each(|example| writeln!(f, "  {example}"))?;
        }
        let wrong: u64 = self.checks.findings().iter().map(|(_, findings)| findings.count).sum();
        writeln!(f, "sent: {}, ran: {}, runs: {}, wrong: {wrong}", self.sent(), self.ran(), self.checks.runs)
    }
}
