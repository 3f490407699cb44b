//! Compares the answers to callers with the ledgers of the targets.

use {
    crate::send::{Answer, Record},
    catkin::types::{Fence, Service, SliceId, Span, TargetId},
    catkin_standin::{Interval, Ledger, Run},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Time for which a target may still get work after it was asked to drain.
const DRAIN_GRACE: Span = Span::from_secs(2);
const EXAMPLES_MAX: usize = 10;

/// Violations of one check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// Number of violations.
    pub count: u64,
    /// Descriptions of the first 10 violations.
    pub examples: Vec<String>,
}

impl Findings {
    /// Counts a violation; calls `example` only if the description is kept.
    pub fn add(&mut self, example: impl FnOnce() -> String) {
        self.count += 1;
        if self.examples.len() < EXAMPLES_MAX {
            self.examples.push(example());
        }
    }
}

/// Violations by check; without any, the experiment passes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checks {
    /// Runs of load generators' requests (those with a call id) on all targets; not
    /// a violation.
    pub runs: u64,
    /// Requests that were answered as run, but that no target ran. Printed as
    /// "lost".
    pub lost: Findings,
    /// Idempotency keys whose requests ran more than once. Printed as "doubled".
    pub doubled: Findings,
    /// Requests that were answered as not run, but that a target ran. Printed as
    /// "falsely not run".
    pub false_refusals: Findings,
    /// Answers that do not match their request. Printed as "mixed up".
    pub mixed: Findings,
    /// Answers that were read without an error, but whose body does not parse.
    /// Printed as "cut unseen".
    pub hidden_cut: Findings,
    /// Slices that two targets served at the same time. Printed as "served by
    /// two".
    pub shared_service: Findings,
    /// Slices that two targets held at the same time. Printed as "owned by two".
    pub shared_ownership: Findings,
    /// Targets at which work arrived more than 2 s after they were asked to
    /// drain. Printed as "work after drain".
    pub drained: Findings,
    /// Kinds of work whose share of served requests is below their minimum. A
    /// request is served if it, or another one with its idempotency key, ran.
    /// Printed as "kinds unserved".
    pub unserved: Findings,
    /// Ledgers that could not be read. Printed as "ledgers unread".
    pub unread: Findings,
    /// Events that a stand-in refused or did not answer. Printed as "events
    /// failed".
    pub failed_events: Findings,
}

impl Checks {
    /// Returns the violations of each check with its name in printed reports.
    pub fn findings(&self) -> [(&'static str, &Findings); 11] {
        [
            ("lost", &self.lost),
            ("doubled", &self.doubled),
            ("falsely not run", &self.false_refusals),
            ("mixed up", &self.mixed),
            ("cut unseen", &self.hidden_cut),
            ("served by two", &self.shared_service),
            ("owned by two", &self.shared_ownership),
            ("work after drain", &self.drained),
            ("kinds unserved", &self.unserved),
            ("ledgers unread", &self.unread),
            ("events failed", &self.failed_events),
        ]
    }

    /// Returns whether there is no violation.
    pub fn is_clean(&self) -> bool {
        self.findings().iter().all(|(_, findings)| findings.count == 0)
    }
}

/// Checks only the answers to callers, for experiments without ledgers.
pub(crate) fn audit_answers(records: &[Record]) -> Checks {
    let mut checks = Checks::default();
    records.iter().for_each(|record| check_answer(&mut checks, record));
    checks
}

/// Compares the records of all requests with the ledgers of all targets.
pub fn audit(records: &[Record], ledgers: &[Ledger]) -> Checks {
    let by_call = runs_by_call(ledgers);
    let mut checks =
        Checks { runs: by_call.values().map(|runs| runs.len() as u64).sum(), ..Checks::default() };
    let mut runs_by_key: BTreeMap<&Arc<str>, Vec<&(TargetId, Run)>> = BTreeMap::new();
    for record in records {
        let runs = by_call.get(&record.call_id).map_or(&[][..], Vec::as_slice);
        check_answer(&mut checks, record);
        check_runs(&mut checks, record, runs);
        if let Some(idempotency_key) = &record.idempotency_key {
            runs_by_key.entry(idempotency_key).or_default().extend(runs);
        }
    }
    check_keys(&mut checks, records, &runs_by_key);
    let served =
        ledgers.iter().flat_map(|ledger| ledger.served.iter().map(move |interval| (ledger, *interval)));
    find_overlaps(&mut checks.shared_service, served);
    let owned =
        ledgers.iter().flat_map(|ledger| ledger.owned.iter().map(move |interval| (ledger, *interval)));
    find_overlaps(&mut checks.shared_ownership, owned);
    ledgers.iter().for_each(|ledger| check_drain(&mut checks, ledger));
    checks
}

fn check_drain(checks: &mut Checks, ledger: &Ledger) {
    let Some((drained, arrived)) = ledger.drained.zip(ledger.arrived) else { return };
    let delay = Span::from_micros(arrived.saturating_sub(drained));
    if delay > DRAIN_GRACE {
        checks.drained.add(|| format!("{}: work came {delay} after its drain", ledger.target));
    }
}

fn runs_by_call(ledgers: &[Ledger]) -> HashMap<Arc<str>, Vec<(TargetId, Run)>> {
    let mut calls: HashMap<Arc<str>, Vec<(TargetId, Run)>> = HashMap::new();
    for ledger in ledgers {
        for run in ledger.runs.values().flatten() {
            if let Some(call) = &run.call {
                calls.entry(call.clone()).or_default().push((ledger.target.clone(), run.clone()));
            }
        }
    }
    calls
}

fn check_answer(checks: &mut Checks, record: &Record) {
    let call_id = &record.call_id;
    match record.answer {
        Answer::Mixed => {
            checks.mixed.add(|| format!("{call_id}: answer of {:?} is to another", record.target))
        }
        Answer::HiddenCut => checks.hidden_cut.add(|| format!("{call_id}: whole length, broken body")),
        _ => {}
    }
}

fn check_runs(checks: &mut Checks, record: &Record, runs: &[(TargetId, Run)]) {
    let call_id = &record.call_id;
    match record.answer {
        Answer::Ran if runs.is_empty() => {
            checks.lost.add(|| format!("{call_id}: answered by {:?}, no target ran it", record.target));
        }
        Answer::NotRun(code) if !runs.is_empty() => {
            checks.false_refusals.add(|| format!("{call_id}: E{code}, ran on {}", format_runs(runs)));
        }
        _ => {}
    }
}

fn check_keys(
    checks: &mut Checks,
    records: &[Record],
    runs_by_key: &BTreeMap<&Arc<str>, Vec<&(TargetId, Run)>>,
) {
    for (key, runs) in runs_by_key {
        if runs.len() > 1 {
            checks.doubled.add(|| format!("{key}: ran on {}", format_runs(runs.iter().copied())));
        }
    }
    let ran_before = records.iter().filter(|record| record.answer == Answer::RanBefore);
    for record in ran_before {
        let runs = record.idempotency_key.as_ref().and_then(|key| runs_by_key.get(key));
        if runs.is_none_or(Vec::is_empty) {
            checks.lost.add(|| format!("{}: answered as run before, no target ran it", record.call_id));
        }
    }
}

fn format_runs<'a>(runs: impl IntoIterator<Item = &'a (TargetId, Run)>) -> String {
    let parts = runs.into_iter().map(|(target, run)| format!("{target} at {}", run.at));
    parts.collect::<Vec<_>>().join(", ")
}

/// Target, boot and fence of an incarnation that held a slice.
type Holder<'a> = (&'a TargetId, u64, Fence);

/// Adds a violation for each overlap of intervals in which different
/// incarnations held the same slice.
fn find_overlaps<'a>(findings: &mut Findings, intervals: impl Iterator<Item = (&'a Ledger, Interval)>) {
    let mut slices: BTreeMap<(&Service, SliceId), Vec<(Interval, Holder<'_>)>> = BTreeMap::new();
    for (ledger, interval) in intervals {
        let holder = (&ledger.target, ledger.boot, interval.fence);
        slices.entry((&ledger.service, interval.slice)).or_default().push((interval, holder));
    }
    for ((service, slice), mut intervals) in slices {
        intervals.sort_by_key(|(interval, _)| interval.from);
        let mut ends: BTreeMap<(&TargetId, u64), (u64, Fence)> = BTreeMap::new();
        for (interval, (target, boot, fence)) in intervals {
            let others = ends.iter().filter(|(incarnation, _)| **incarnation != (target, boot));
            for ((other, _), (end, other_fence)) in others.filter(|(_, (end, _))| *end > interval.from) {
                let micros = (*end).min(interval.until) - interval.from;
                findings.add(|| {
                    format!(
                        "{service} slice {slice}: {other} {other_fence} and {target} {fence}, {micros} us"
                    )
                });
            }
            let end = ends.entry((target, boot)).or_insert((interval.until, fence));
            *end = (*end).max((interval.until, fence));
        }
    }
}
