//! What gateways add to the latency of a direct call.

use {crate::report::Report, std::fmt::Write};

/// Time that gateways may add to the median, in microseconds.
const MEDIAN_MAX_US: u64 = 1_000;
/// Time that gateways may add to the 99th percentile, in microseconds.
const P99_MAX_US: u64 = 3_000;

/// Compares the kinds that both reports have. Returns one line for each
/// measure and whether all are within their bounds.
pub fn overhead(direct: &Report, routed: &Report) -> (String, bool) {
    let mut text = String::new();
    let mut is_met = true;
    for (name, before) in &direct.kinds {
        let Some(after) = routed.kinds.get(name) else { continue };
        let measures = [
            ("median", before.latency.p50, after.latency.p50, MEDIAN_MAX_US),
            ("p99", before.latency.p99, after.latency.p99, P99_MAX_US),
        ];
        for (measure, old, new, max) in measures {
            let added = new.saturating_sub(old);
            let verdict = if added <= max { "ok" } else { "MISSED" };
            let _ = writeln!(text, "overhead.{name}.{measure} {added} us <={max} {verdict}");
            is_met &= added <= max;
        }
    }
    (text, is_met)
}
