//! Puts two reports side by side.

use {
    crate::{
        report::{Report, millis},
        tally::Tally,
    },
    std::fmt::Write,
};

/// A measure of a kind of work, with the way to print it.
type Measure = (&'static str, fn(&Tally) -> u64, fn(u64) -> String);

const MEASURES: [Measure; 10] = [
    ("sent", |tally| tally.sent, count),
    ("ran", |tally| tally.ran, count),
    ("late", |tally| tally.late, count),
    ("p50 ms", |tally| tally.latency.p50, millis),
    ("p90 ms", |tally| tally.latency.p90, millis),
    ("p99 ms", |tally| tally.latency.p99, millis),
    ("p99.9 ms", |tally| tally.latency.p999, millis),
    ("max ms", |tally| tally.latency.max, millis),
    ("gap ms", |tally| tally.gap, millis),
    ("outage ms", |tally| tally.outage, millis),
];

fn count(number: u64) -> String {
    number.to_string()
}

/// Returns a table of two reports: each measure of each kind with its change.
pub fn compare(first: &Report, second: &Report) -> String {
    let mut text =
        format!("{:<16} {:<10} {:>12} {:>12} {:>9}\n", "kind", "measure", "first", "second", "change");
    for (name, before) in &first.kinds {
        let Some(after) = second.kinds.get(name) else {
            let _ = writeln!(text, "{name:<16} only in the first");
            continue;
        };
        for (measure, get, show) in MEASURES {
            let (old, new) = (get(before), get(after));
            let change = change(old, new);
            let _ =
                writeln!(text, "{name:<16} {measure:<10} {:>12} {:>12} {change:>9}", show(old), show(new));
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

fn change(old: u64, new: u64) -> String {
    match (old, new) {
        (0, 0) => "0.0%".to_owned(),
        (0, _) => "new".to_owned(),
        _ => format!("{:+.1}%", (new as f64 / old as f64 - 1.0) * 100.0),
    }
}
