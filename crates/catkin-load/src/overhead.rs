//! Check of the latency that gateways add to direct calls.

use {crate::report::Report, std::fmt::Write};

/// Bound on the latency that gateways add to the median.
const MEDIAN_ADDED_MAX_US: u64 = 1_000;
/// Bound on the latency that gateways add to the 99th percentile.
const P99_ADDED_MAX_US: u64 = 3_000;

/// Compares the kinds of work that both reports have. Returns one line for each
/// measure and whether all are within their bounds, which is true if there are
/// none.
pub fn overhead(direct: &Report, routed: &Report) -> (String, bool) {
    let mut text = String::new();
    let mut is_within = true;
    for (name, direct_stats) in &direct.kinds {
        let Some(routed_stats) = routed.kinds.get(name) else { continue };
        let measures = [
            ("median", direct_stats.latency.p50, routed_stats.latency.p50, MEDIAN_ADDED_MAX_US),
            ("p99", direct_stats.latency.p99, routed_stats.latency.p99, P99_ADDED_MAX_US),
        ];
        for (measure, direct, routed, max) in measures {
            let added = routed.saturating_sub(direct);
            let verdict = if added <= max { "ok" } else { "MISSED" };
            let _ = writeln!(text, "overhead.{name}.{measure} {added} us <={max} {verdict}");
            is_within &= added <= max;
        }
    }
    (text, is_within)
}
