//! Runs an experiment.

use {
    crate::{
        audit::{Checks, Findings, audit, audit_answers},
        experiment::{Experiment, Standin},
        plan::plan,
        report::Report,
        send::{Record, Sender},
        tally::tally,
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

const LEDGER_LIMIT: Span = Span::from_secs(10);
/// Timers have a granularity of 1 ms; the rest of a wait is spent polling.
const POLL: Duration = Duration::from_millis(2);

/// Runs an experiment on the current thread.
///
/// # Errors
///
/// `Code::Internal` if a request was not carried to its end.
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
    let mut report = report(experiment, &records, checks);
    check_served(experiment, &mut report);
    Ok(report)
}

async fn send_all(experiment: &Experiment, start: Instant) -> Result<Vec<Record>, Error> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let prefix = format!("{}-{:x}", experiment.seed, since.as_micros());
    let sender = Rc::new(Sender::new(experiment, prefix.into()));
    let mut open = Vec::new();
    for (number, arrival) in (0..).zip(plan(experiment)) {
        let due = start + arrival.at.as_duration();
        wait(due).await;
        let sender = sender.clone();
        open.push(actix_rt::spawn(async move { sender.send(number, arrival, due).await }));
    }
    let mut records = Vec::with_capacity(open.len());
    for request in open {
        records.push(request.await.map_err(|e| Error::new(Code::Internal, e.to_string()))?);
    }
    Ok(records)
}

async fn wait(due: Instant) {
    loop {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        match left.checked_sub(POLL) {
            Some(left) => actix_rt::time::sleep(left).await,
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

async fn read_ledgers(targets: &[Standin], unread: &mut Findings) -> Vec<Ledger> {
    let client = Client::default();
    let mut ledgers = Vec::new();
    for target in targets {
        let live: Result<Ledger, Error> = get(&client, target.addr, "/ledger", LEDGER_LIMIT).await;
        let kept = target.journal.as_deref().map(read_journal).transpose();
        match (live, kept) {
            (Ok(live), Ok(kept)) => {
                // The journal also has the earlier processes of the target.
                ledgers.extend(kept.into_iter().flatten().filter(|ledger| ledger.boot != live.boot));
                ledgers.push(live);
            }
            (Err(_), Ok(Some(kept))) => ledgers.extend(kept),
            (Err(e), _) | (_, Err(e)) => unread.add(|| format!("{}: {e}", target.addr)),
        }
    }
    ledgers
}

fn report(experiment: &Experiment, records: &[Record], checks: Checks) -> Report {
    let kinds = experiment.kinds.iter().enumerate().map(|(index, kind)| {
        let own: Vec<_> = records.iter().filter(|record| record.kind == index).collect();
        (kind.name.clone(), tally(&own, kind.deadline))
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
        let tally = &report.kinds[&kind.name];
        let wanted = tally.sent as f64 * kind.served.as_f64();
        let ran = tally.ran + tally.settled;
        if (ran as f64) < wanted {
            let (name, sent) = (&kind.name, tally.sent);
            report.checks.unserved.add(|| format!("{name}: {ran} of {sent} ran, wanted {}", kind.served));
        }
    }
}
