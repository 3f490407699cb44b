//! Counts and latency quantiles of one kind of work.
//!
//! Served means that the request, or another one with its idempotency key, ran.

use {
    crate::send::{Answer, Record},
    catkin::types::Span,
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Higher values are recorded as one hour.
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest time between the planned arrivals of two successive requests of one
/// outage that were not served.
const OUTAGE_SPACING_MAX: Span = Span::from_millis(500);

/// Quantiles of durations, in microseconds, with three significant digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

/// Statistics of the requests of one kind of work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KindStats {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that ran and whose answer was complete.
    pub ran: u64,
    /// Requests among `ran` that were answered after their deadline.
    pub late: u64,
    /// Requests that were served, but that `ran` does not count. Unrelated to the
    /// waiting time `settle` of an experiment.
    pub settled: u64,
    /// Number of requests by the name of their answer.
    pub answers: BTreeMap<String, u64>,
    /// Time from the planned arrival to the end of the answer, for requests that
    /// ran.
    pub latency: Quantiles,
    /// Time from the planned arrival to the end of the answer, for requests that
    /// were refused without being run.
    pub refusal: Quantiles,
    /// Delay from the planned arrival to the start of sending; high values show
    /// that the load generator is overloaded.
    pub lag: Quantiles,
    /// Longest time in which no request was served, in microseconds: from the
    /// planned arrival of a request that was not served to that of the next one
    /// that was, or to the last arrival.
    pub gap: u64,
    /// Longest time, in microseconds, from the first to the last request of a
    /// series of requests that were not served, spaced by at most 500 ms; requests
    /// between them may have been served. Times are planned arrivals.
    pub outage: u64,
}

/// Computes the statistics of one kind of work from its records, in the order of
/// arrival.
pub(crate) fn summarize(records: &[&Record], deadline: Span) -> KindStats {
    let served = find_served(records);
    let arrivals: Vec<_> = records.iter().map(|record| record.at).zip(served.iter().copied()).collect();
    let quantiles_of = |matches: fn(&Answer) -> bool| {
        quantiles(records.iter().filter(|record| matches(&record.answer)).map(|record| record.latency))
    };
    let latency = quantiles_of(|answer| *answer == Answer::Ran);
    let mut answers = BTreeMap::new();
    for record in records {
        *answers.entry(record.answer.name()).or_default() += 1;
    }
    let is_late = |record: &&&Record| record.answer == Answer::Ran && record.latency > deadline;
    KindStats {
        sent: records.len() as u64,
        ran: latency.count,
        late: records.iter().filter(is_late).count() as u64,
        settled: served.iter().filter(|served| **served).count() as u64 - latency.count,
        answers,
        latency,
        refusal: quantiles_of(|answer| matches!(answer, Answer::NotRun(_))),
        lag: quantiles(records.iter().map(|record| record.lag)),
        gap: longest_gap(&arrivals).as_micros(),
        outage: longest_outage(&arrivals).as_micros(),
    }
}

fn quantiles(spans: impl Iterator<Item = Span>) -> Quantiles {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants that the library accepts");
    spans.for_each(|span| histogram.saturating_record(span.as_micros()));
    Quantiles {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}

/// Returns for each request whether it was served.
fn find_served(records: &[&Record]) -> Vec<bool> {
    let did_run = |record: &Record| matches!(record.answer, Answer::Ran | Answer::RanBefore);
    let served_keys: BTreeSet<_> = records
        .iter()
        .filter(|record| did_run(record))
        .filter_map(|record| record.idempotency_key.as_ref())
        .collect();
    let is_settled =
        |record: &Record| record.idempotency_key.as_ref().is_some_and(|key| served_keys.contains(key));
    records.iter().map(|record| did_run(record) || is_settled(record)).collect()
}

/// Returns the longest time from the arrival of a request that was not served to
/// that of the next one that was. A gap that is still open at the last arrival
/// counts up to there.
fn longest_gap(arrivals: &[(Span, bool)]) -> Span {
    let (mut longest, mut since) = (Span::ZERO, None);
    for (at, served) in arrivals {
        let start = *since.get_or_insert(*at);
        longest = longest.max(at.saturating_sub(start));
        if *served {
            since = None;
        }
    }
    longest
}

/// Returns the longest time from the first to the last arrival of an outage.
fn longest_outage(arrivals: &[(Span, bool)]) -> Span {
    let (mut longest, mut start, mut last) = (Span::ZERO, None, Span::ZERO);
    for (at, _) in arrivals.iter().filter(|(_, served)| !served) {
        let is_new_outage = at.saturating_sub(last) > OUTAGE_SPACING_MAX;
        let start = start.insert(start.filter(|_| !is_new_outage).unwrap_or(*at));
        longest = longest.max(at.saturating_sub(*start));
        last = *at;
    }
    longest
}
