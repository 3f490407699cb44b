//! Runs an experiment: sends its requests and events, then audits the results.

use {
    crate::{
        audit::{Checks, Findings, audit, audit_answers},
        experiment::{Experiment, LedgerSource},
        plan::plan,
        report::Report,
        send::{Record, Sender},
        stats::summarize,
    },
    actix_rt::task::JoinHandle,
    awc::Client,
    catkin::{Code, Error, types::Span},
    catkin_net::get,
    catkin_standin::{Ledger, read_journal},
    std::{
        rc::Rc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const LEDGER_TIMEOUT: Span = Span::from_secs(10);
/// Last part of a wait, which is spent polling, since timers have a granularity
/// of 1 ms.
const POLLED_WAIT: Duration = Duration::from_millis(2);

/// Runs an experiment on the current thread.
///
/// # Errors
///
/// `Code::Internal` if the task of a request or of the events did not finish.
pub async fn run(experiment: &Experiment) -> Result<Report, Error> {
    let start = Instant::now();
    let events = send_events(experiment, start);
    let records = send_all(experiment, start).await?;
    let failed = events.await.map_err(|e| Error::new(Code::Internal, e.to_string()))?;
    actix_rt::time::sleep(experiment.settle.as_duration()).await;
    let mut unread = Findings::default();
    let ledgers = read_ledgers(&experiment.targets, &mut unread).await;
    let audited = match &experiment.targets[..] {
        [] => audit_answers(&records),
        _ => audit(&records, &ledgers),
    };
    let checks = Checks { unread, failed_events: failed, ..audited };
    let mut report = build_report(experiment, &records, checks);
    check_served(experiment, &mut report);
    Ok(report)
}

async fn send_all(experiment: &Experiment, start: Instant) -> Result<Vec<Record>, Error> {
    let epoch_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let prefix = format!("{}-{:x}", experiment.seed, epoch_time.as_micros());
    let sender = Rc::new(Sender::new(experiment, prefix.into()));
    let mut tasks = Vec::new();
    for (number, arrival) in (0..).zip(plan(experiment)) {
        let due = start + arrival.at.as_duration();
        wait_until(due).await;
        let sender = sender.clone();
        tasks.push(actix_rt::spawn(async move { sender.send(number, arrival, due).await }));
    }
    let mut records = Vec::with_capacity(tasks.len());
    for task in tasks {
        records.push(task.await.map_err(|e| Error::new(Code::Internal, e.to_string()))?);
    }
    Ok(records)
}

async fn wait_until(due: Instant) {
    loop {
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        match remaining.checked_sub(POLLED_WAIT) {
            Some(timed) => actix_rt::time::sleep(timed).await,
            None => tokio::task::yield_now().await,
        }
    }
}

fn send_events(experiment: &Experiment, start: Instant) -> JoinHandle<Findings> {
    let mut events = experiment.events.clone();
    events.sort_by_key(|event| event.at);
    actix_rt::spawn(async move {
        let client = Client::default();
        let mut failed = Findings::default();
        for event in events {
            actix_rt::time::sleep_until((start + event.at.as_duration()).into()).await;
            if let Err(e) = event.send(&client).await {
                failed.add(|| e.to_string());
            }
        }
        failed
    })
}

async fn read_ledgers(targets: &[LedgerSource], unread: &mut Findings) -> Vec<Ledger> {
    let client = Client::default();
    let mut ledgers = Vec::new();
    for target in targets {
        let live: Result<Ledger, Error> = get(&client, target.addr, "/ledger", LEDGER_TIMEOUT).await;
        let journaled = target.journal.as_deref().map(read_journal).transpose();
        match (live, journaled) {
            (Ok(live), Ok(journaled)) => {
                // The journal also holds the ledgers of earlier incarnations.
                ledgers.extend(journaled.into_iter().flatten().filter(|ledger| ledger.boot != live.boot));
                ledgers.push(live);
            }
            (Err(_), Ok(Some(journaled))) => ledgers.extend(journaled),
            (Err(e), _) | (_, Err(e)) => unread.add(|| format!("{}: {e}", target.addr)),
        }
    }
    ledgers
}

fn build_report(experiment: &Experiment, records: &[Record], checks: Checks) -> Report {
    let kinds = experiment.kinds.iter().enumerate().map(|(index, kind)| {
        let of_kind: Vec<_> = records.iter().filter(|record| record.kind == index).collect();
        (kind.name.clone(), summarize(&of_kind, kind.deadline))
    });
    Report {
        name: experiment.name.clone(),
        seed: experiment.seed,
        span: experiment.phases.iter().fold(Span::ZERO, |sum, phase| sum + phase.span),
        kinds: kinds.collect(),
        checks,
    }
}

fn check_served(experiment: &Experiment, report: &mut Report) {
    for kind in &experiment.kinds {
        let stats = &report.kinds[&kind.name];
        let required = stats.sent as f64 * kind.served.as_f64();
        let ran = stats.ran + stats.settled;
        if (ran as f64) < required {
            let (name, sent) = (&kind.name, stats.sent);
            report.checks.unserved.add(|| format!("{name}: {ran} of {sent} ran, wanted {}", kind.served));
        }
    }
}
