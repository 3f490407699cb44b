//! `catkinctl status`: shows what is in force on each gateway.

use {
    crate::{
        gateways::{Gateways, Reply},
        output::Report,
    },
    catkin::{
        Error,
        admin::{Liveness, Status, path},
        types::{Revision, Span},
    },
    serde::Serialize,
    std::{
        fmt,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const POLL_PERIOD: Duration = Duration::from_millis(200);

/// State of all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// The revision that was waited for.
    pub wait: Option<Revision>,
    /// Whether all gateways answer and have at least that revision.
    pub settled: bool,
    /// The gateways.
    pub gateways: Vec<Row>,
}

/// State of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Id of the VM in the VM list.
    pub vm: Arc<str>,
    /// Whether the VM may have gone already.
    pub leaving: bool,
    /// Its state, if it answered.
    pub status: Option<Status>,
    /// Why there is no state.
    pub error: Option<String>,
}

impl Report for FleetStatus {
    fn is_success(&self) -> bool {
        self.settled
    }
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.gateways {
            writeln!(f, "{row}")?;
        }
        match (self.wait, self.settled) {
            (Some(revision), true) => write!(f, "revision {revision} is in force on all gateways"),
            (Some(revision), false) => write!(f, "revision {revision} is not in force on all gateways"),
            (None, true) => write!(f, "all gateways answer"),
            (None, false) => write!(f, "not all gateways answer"),
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(status) = &self.status else {
            let error = self.error.as_deref().unwrap_or_default();
            return write!(f, "{}: no answer: {error}", self.vm);
        };
        let suspected = status.peers.iter().filter(|p| p.liveness == Liveness::Suspected).count();
        let Status { zone, revision, offset, log, uptime, .. } = status;
        write!(
            f,
            "{}: zone {zone}, revision {revision}, offset {offset}, log {log}, keeps {} targets, \
             {suspected} of {} peers suspected, up {}s{}",
            self.vm,
            status.targets.len(),
            status.peers.len(),
            uptime.as_millis() / 1_000,
            if status.leaving { ", leaving" } else { "" },
        )
    }
}

impl Row {
    fn new(reply: Reply<Status>) -> Self {
        let leaving = !reply.is_required();
        let (status, error) = match reply.answer {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        Self { vm: reply.row.id, leaving, status, error }
    }

    fn is_settled(&self, wait: Option<Revision>) -> bool {
        match &self.status {
            Some(status) => wait.is_none_or(|revision| status.revision >= revision),
            None => self.leaving,
        }
    }
}

/// Reads the state of all gateways; waits up to a limit until a revision is
/// in force on all of them. Each change of progress is shown. While it waits,
/// a VM list that does not answer is asked again.
///
/// # Errors
///
/// As [`Gateways::list`].
pub async fn status(
    gateways: &Gateways,
    wait: Option<Revision>,
    limit: Span,
    mut show: impl FnMut(&str),
) -> Result<FleetStatus, Error> {
    let end = Instant::now() + limit.as_duration();
    let mut shown = String::new();
    loop {
        let result = read(gateways, wait).await;
        let Some(revision) = wait else { return result };
        let progress = result.as_ref().map_or_else(ToString::to_string, |status| progress(status, revision));
        if progress != shown {
            show(&progress);
            shown = progress;
        }
        if result.as_ref().is_ok_and(|status| status.settled) || Instant::now() >= end {
            return result;
        }
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}

async fn read(gateways: &Gateways, wait: Option<Revision>) -> Result<FleetStatus, Error> {
    let replies = gateways.ask(|_| path::STATUS.to_owned()).await?;
    let rows: Vec<Row> = replies.into_iter().map(Row::new).collect();
    // An empty list says nothing about the fleet.
    let settled = !rows.is_empty() && rows.iter().all(|row| row.is_settled(wait));
    Ok(FleetStatus { wait, settled, gateways: rows })
}

fn progress(status: &FleetStatus, revision: Revision) -> String {
    let rows = &status.gateways;
    let settled = rows.iter().filter(|row| row.is_settled(Some(revision))).count();
    let late: Vec<&str> =
        rows.iter().filter(|row| !row.is_settled(Some(revision))).map(|row| &*row.vm).collect();
    let waiting = if late.is_empty() { String::new() } else { format!(", waiting for {}", late.join(", ")) };
    format!("revision {revision} in force on {settled} of {}{waiting}", rows.len())
}
