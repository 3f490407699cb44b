//! Compares what callers were told with what the targets ran.

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

/// Time after which a target that drains gets no more work.
const DRAIN_LIMIT: Span = Span::from_secs(2);
const EXAMPLES_MAX: usize = 10;

/// Violations of one kind: their number and the first of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// How many.
    pub count: u64,
    /// Descriptions of the first.
    pub examples: Vec<String>,
}

impl Findings {
    /// Adds a violation.
    pub fn add(&mut self, example: impl FnOnce() -> String) {
        self.count += 1;
        if self.examples.len() < EXAMPLES_MAX {
            self.examples.push(example());
        }
    }
}

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checks {
    /// Runs on all targets.
    pub runs: u64,
    /// Answered as run, but no target ran it.
    pub lost: Findings,
    /// Protected operations that ran more than once.
    pub doubled: Findings,
    /// Answered as not run, but a target ran it.
    pub false_refusals: Findings,
    /// Answers to another request.
    pub mixed: Findings,
    /// Answers that were cut and looked whole.
    pub hidden_cut: Findings,
    /// Slices that two targets served at the same time.
    pub shared_service: Findings,
    /// Slices that two targets held at the same time.
    pub shared_ownership: Findings,
    /// Targets that got work long after they were asked to drain.
    pub drained: Findings,
    /// Kinds of work of which too few requests ran.
    pub unserved: Findings,
    /// Ledgers that could not be read.
    pub unread: Findings,
    /// Events that a stand-in did not take.
    pub failed_events: Findings,
}

impl Checks {
    /// Returns the violations with their names.
    pub fn all(&self) -> [(&'static str, &Findings); 11] {
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
        self.all().iter().all(|(_, findings)| findings.count == 0)
    }
}

/// Looks at the answers to callers alone, for lack of ledgers.
pub(crate) fn audit_answers(records: &[Record]) -> Checks {
    let mut checks = Checks::default();
    records.iter().for_each(|record| check_body(&mut checks, record));
    checks
}

/// Compares the records of callers with the ledgers of targets.
pub fn audit(records: &[Record], ledgers: &[Ledger]) -> Checks {
    let runs = runs_by_call(ledgers);
    let mut checks = Checks { runs: runs.values().map(|runs| runs.len() as u64).sum(), ..Checks::default() };
    let mut operations: BTreeMap<&Arc<str>, Vec<&(TargetId, Run)>> = BTreeMap::new();
    for record in records {
        let own = runs.get(&record.call).map_or(&[][..], Vec::as_slice);
        check_body(&mut checks, record);
        check_runs(&mut checks, record, own);
        if let Some(operation) = &record.operation {
            operations.entry(operation).or_default().extend(own);
        }
    }
    check_operations(&mut checks, records, &operations);
    let served = ledgers.iter().flat_map(|ledger| ledger.served.iter().map(move |held| (ledger, *held)));
    find_overlaps(&mut checks.shared_service, served);
    let owned = ledgers.iter().flat_map(|ledger| ledger.owned.iter().map(move |held| (ledger, *held)));
    find_overlaps(&mut checks.shared_ownership, owned);
    ledgers.iter().for_each(|ledger| check_drain(&mut checks, ledger));
    checks
}

fn check_drain(checks: &mut Checks, ledger: &Ledger) {
    let Some((drained, arrived)) = ledger.drained.zip(ledger.arrived) else { return };
    let late = Span::from_micros(arrived.saturating_sub(drained));
    if late > DRAIN_LIMIT {
        checks.drained.add(|| format!("{}: work came {late} after its drain", ledger.target));
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

fn check_body(checks: &mut Checks, record: &Record) {
    let call = &record.call;
    match record.answer {
        Answer::Mixed => checks.mixed.add(|| format!("{call}: answer of {:?} is to another", record.target)),
        Answer::HiddenCut => checks.hidden_cut.add(|| format!("{call}: whole length, broken body")),
        _ => {}
    }
}

fn check_runs(checks: &mut Checks, record: &Record, runs: &[(TargetId, Run)]) {
    let call = &record.call;
    match record.answer {
        Answer::Ran if runs.is_empty() => {
            checks.lost.add(|| format!("{call}: answered by {:?}, no target ran it", record.target));
        }
        Answer::NotRun(code) if !runs.is_empty() => {
            checks.false_refusals.add(|| format!("{call}: E{code}, ran on {}", targets(runs)));
        }
        _ => {}
    }
}

fn check_operations(
    checks: &mut Checks,
    records: &[Record],
    operations: &BTreeMap<&Arc<str>, Vec<&(TargetId, Run)>>,
) {
    for (operation, runs) in operations {
        if runs.len() > 1 {
            checks.doubled.add(|| format!("{operation}: ran on {}", targets(runs.iter().copied())));
        }
    }
    let before = records.iter().filter(|record| record.answer == Answer::RanBefore);
    for record in before {
        let runs = record.operation.as_ref().and_then(|operation| operations.get(operation));
        if runs.is_none_or(Vec::is_empty) {
            checks.lost.add(|| format!("{}: answered as run before, no target ran it", record.call));
        }
    }
}

fn targets<'a>(runs: impl IntoIterator<Item = &'a (TargetId, Run)>) -> String {
    let names = runs.into_iter().map(|(target, run)| format!("{target} at {}", run.at));
    names.collect::<Vec<_>>().join(", ")
}

/// A process, and the fence with which it held a slice.
type Holder<'a> = (&'a TargetId, u64, Fence);

/// Finds slices that two processes held at the same time.
fn find_overlaps<'a>(findings: &mut Findings, intervals: impl Iterator<Item = (&'a Ledger, Interval)>) {
    let mut slices: BTreeMap<(&Service, SliceId), Vec<(Interval, Holder<'_>)>> = BTreeMap::new();
    for (ledger, held) in intervals {
        let holder = (&ledger.target, ledger.boot, held.fence);
        slices.entry((&ledger.service, held.slice)).or_default().push((held, holder));
    }
    for ((service, slice), mut held) in slices {
        held.sort_by_key(|(interval, _)| interval.from);
        let mut ends: BTreeMap<(&TargetId, u64), (u64, Fence)> = BTreeMap::new();
        for (interval, (target, boot, fence)) in held {
            let others = ends.iter().filter(|(process, _)| **process != (target, boot));
            for ((other, _), (end, earlier)) in others.filter(|(_, (end, _))| *end > interval.from) {
                let micros = (*end).min(interval.until) - interval.from;
                findings.add(|| {
                    format!("{service} slice {slice}: {other} {earlier} and {target} {fence}, {micros} us")
                });
            }
            let end = ends.entry((target, boot)).or_insert((interval.until, fence));
            *end = (*end).max((interval.until, fence));
        }
    }
}
