//! Comparison of two reports.

use {
    crate::{
        report::{Report, format_millis},
        stats::KindStats,
    },
    std::fmt::Write,
};

/// Name of a measure, function that reads it and function that formats it.
type Measure = (&'static str, fn(&KindStats) -> u64, fn(u64) -> String);

const MEASURES: [Measure; 10] = [
    ("sent", |stats| stats.sent, format_count),
    ("ran", |stats| stats.ran, format_count),
    ("late", |stats| stats.late, format_count),
    ("p50 ms", |stats| stats.latency.p50, format_millis),
    ("p90 ms", |stats| stats.latency.p90, format_millis),
    ("p99 ms", |stats| stats.latency.p99, format_millis),
    ("p99.9 ms", |stats| stats.latency.p999, format_millis),
    ("max ms", |stats| stats.latency.max, format_millis),
    ("gap ms", |stats| stats.gap, format_millis),
    ("outage ms", |stats| stats.outage, format_millis),
];

fn format_count(count: u64) -> String {
    count.to_string()
}

/// Returns a table of both reports: each measure of each kind with its relative
/// change, then the violations of each check.
pub fn compare(first: &Report, second: &Report) -> String {
    let mut text =
        format!("{:<16} {:<10} {:>12} {:>12} {:>9}\n", "kind", "measure", "first", "second", "change");
    for (name, first_stats) in &first.kinds {
        let Some(second_stats) = second.kinds.get(name) else {
            let _ = writeln!(text, "{name:<16} only in the first");
            continue;
        };
        for (measure, get, format) in MEASURES {
            let (old, new) = (get(first_stats), get(second_stats));
            let change = format_change(old, new);
            let _ = writeln!(
                text,
                "{name:<16} {measure:<10} {:>12} {:>12} {change:>9}",
                format(old),
                format(new)
            );
        }
    }
    for name in second.kinds.keys().filter(|name| !first.kinds.contains_key(*name)) {
        let _ = writeln!(text, "{name:<16} only in the second");
    }
    for ((name, old), (_, new)) in first.checks.findings().iter().zip(second.checks.findings()) {
        let _ = writeln!(text, "{:<16} {name:<14} {:>8} {:>12}", "checks", old.count, new.count);
    }
    text
}

fn format_change(old: u64, new: u64) -> String {
    match (old, new) {
        (0, 0) => "0.0%".to_owned(),
        (0, _) => "new".to_owned(),
        _ => format!("{:+.1}%", (new as f64 / old as f64 - 1.0) * 100.0),
    }
}
