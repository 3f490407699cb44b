//! Counts and histograms of one kind of work.

use {
    crate::send::{Answer, Record},
    catkin::types::Span,
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

const HIGHEST_MICROS: u64 = 3_600_000_000;
const DIGITS: u8 = 3;
const OUTAGE_PAUSE: Span = Span::from_millis(500);

/// Quantiles of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Half of the values are lower.
    pub p50: u64,
    /// 90 of 100 values are lower.
    pub p90: u64,
    /// 99 of 100 values are lower.
    pub p99: u64,
    /// 999 of 1000 values are lower.
    pub p999: u64,
    /// The highest value.
    pub max: u64,
}

/// Results of one kind of work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that arrived.
    pub sent: u64,
    /// Requests that ran and were answered whole.
    pub ran: u64,
    /// Those of them that were answered after their deadline.
    pub late: u64,
    /// Requests that did not run because another with their idempotency key
    /// did.
    pub settled: u64,
    /// Requests by what their callers were told.
    pub answers: BTreeMap<String, u64>,
    /// Time from planned arrival to answer of requests that ran.
    pub latency: Quantiles,
    /// Time from planned arrival to answer of requests that were refused
    /// unrun.
    pub refusal: Quantiles,
    /// Time by which requests were sent after their planned arrival; high
    /// values show a load generator that is too slow.
    pub lag: Quantiles,
    /// Longest time in which no request ran, from the planned arrival of one
    /// that did not to that of the next that did, in microseconds.
    pub gap: u64,
    /// Longest time in which some requests did not run, although others may
    /// have, in microseconds. Two that did not run belong together if less
    /// than half a second lies between their planned arrivals.
    pub outage: u64,
}

/// Collects the results of one kind of work.
pub(crate) fn tally(records: &[&Record], deadline: Span) -> Tally {
    let served = is_served(records);
    let times: Vec<_> = records.iter().map(|record| record.at).zip(served.iter().copied()).collect();
    let took = |wanted: fn(&Answer) -> bool| {
        quantiles(records.iter().filter(|record| wanted(&record.answer)).map(|record| record.latency))
    };
    let latency = took(|answer| *answer == Answer::Ran);
    let mut answers = BTreeMap::new();
    for record in records {
        *answers.entry(record.answer.name()).or_default() += 1;
    }
    let is_late = |record: &&&Record| record.answer == Answer::Ran && record.latency > deadline;
    Tally {
        sent: records.len() as u64,
        ran: latency.count,
        late: records.iter().filter(is_late).count() as u64,
        settled: served.iter().filter(|served| **served).count() as u64 - latency.count,
        answers,
        latency,
        refusal: took(|answer| matches!(answer, Answer::NotRun(_))),
        lag: quantiles(records.iter().map(|record| record.lag)),
        gap: longest_gap(&times).as_micros(),
        outage: longest_outage(&times).as_micros(),
    }
}

fn quantiles(spans: impl Iterator<Item = Span>) -> Quantiles {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, HIGHEST_MICROS, DIGITS)
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

/// Returns for each request whether it, or another with its idempotency key,
/// ran.
fn is_served(records: &[&Record]) -> Vec<bool> {
    let ran = |record: &Record| matches!(record.answer, Answer::Ran | Answer::RanBefore);
    let operations: BTreeSet<_> =
        records.iter().filter(|record| ran(record)).filter_map(|record| record.operation.as_ref()).collect();
    let settled = |record: &Record| record.operation.as_ref().is_some_and(|key| operations.contains(key));
    records.iter().map(|record| ran(record) || settled(record)).collect()
}

/// Returns the longest span from a request that was not served to the next
/// that was, in the order of arrival. A span that lasts to the end counts as
/// well.
fn longest_gap(times: &[(Span, bool)]) -> Span {
    let (mut longest, mut since) = (Span::ZERO, None);
    for (at, served) in times {
        let start = *since.get_or_insert(*at);
        longest = longest.max(at.saturating_sub(start));
        if *served {
            since = None;
        }
    }
    longest
}

/// Returns the longest span from a request that was not served to another.
fn longest_outage(times: &[(Span, bool)]) -> Span {
    let (mut longest, mut start, mut last) = (Span::ZERO, None, Span::ZERO);
    for (at, _) in times.iter().filter(|(_, served)| !served) {
        let is_new = at.saturating_sub(last) > OUTAGE_PAUSE;
        let start = start.insert(start.filter(|_| !is_new).unwrap_or(*at));
        longest = longest.max(at.saturating_sub(*start));
        last = *at;
    }
    longest
}
