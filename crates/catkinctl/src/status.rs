//! `catkinctl status`: shows the configuration revision and state of each gateway.

use {
    crate::{
        gateways::{Gateways, Response},
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

/// Status of all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// Revision to wait for; `None` if no revision is required.
    pub wait: Option<Revision>,
    /// Whether all live gateways answer, and all that answer have at least the
    /// revision `wait`, if there is one.
    pub settled: bool,
    /// One row per gateway of the VM list.
    pub gateways: Vec<GatewayStatus>,
}

/// Status of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GatewayStatus {
    /// Id of the VM in the VM list.
    pub vm: Arc<str>,
    /// Whether the VM is leaving, so that it may have been removed already.
    pub leaving: bool,
    /// Its answer; `None` if there is none.
    pub status: Option<Status>,
    /// Why there is no answer; `None` if there is one.
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

impl fmt::Display for GatewayStatus {
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

impl GatewayStatus {
    fn new(response: Response<Status>) -> Self {
        let leaving = !response.is_required();
        let (status, error) = match response.answer {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        Self { vm: response.row.id, leaving, status, error }
    }

    fn is_settled(&self, wait: Option<Revision>) -> bool {
        match &self.status {
            Some(status) => wait.is_none_or(|revision| status.revision >= revision),
            None => self.leaving,
        }
    }
}

/// Reads the status of all gateways. With a revision, polls until the revision
/// is in force on all of them or until the timeout, retries when the VM list is
/// unavailable, and calls `on_progress` when the progress changes.
///
/// # Errors
///
/// Returns the errors of [`Gateways::list`].
pub async fn status(
    gateways: &Gateways,
    wait: Option<Revision>,
    timeout: Span,
    mut on_progress: impl FnMut(&str),
) -> Result<FleetStatus, Error> {
    let deadline = Instant::now() + timeout.as_duration();
    let mut last = String::new();
    loop {
        let result = query(gateways, wait).await;
        let Some(revision) = wait else { return result };
        let progress = result.as_ref().map_or_else(ToString::to_string, |status| progress(status, revision));
        if progress != last {
            on_progress(&progress);
            last = progress;
        }
        if result.as_ref().is_ok_and(|status| status.settled) || Instant::now() >= deadline {
            return result;
        }
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}

async fn query(gateways: &Gateways, wait: Option<Revision>) -> Result<FleetStatus, Error> {
    let responses = gateways.query(|_| path::STATUS.to_owned()).await?;
    let rows: Vec<GatewayStatus> = responses.into_iter().map(GatewayStatus::new).collect();
    // An empty VM list gives no information about the fleet.
    let settled = !rows.is_empty() && rows.iter().all(|row| row.is_settled(wait));
    Ok(FleetStatus { wait, settled, gateways: rows })
}

fn progress(status: &FleetStatus, revision: Revision) -> String {
    let rows = &status.gateways;
    let settled = rows.iter().filter(|row| row.is_settled(Some(revision))).count();
    let pending: Vec<&str> =
        rows.iter().filter(|row| !row.is_settled(Some(revision))).map(|row| &*row.vm).collect();
    let suffix =
        if pending.is_empty() { String::new() } else { format!(", waiting for {}", pending.join(", ")) };
    format!("revision {revision} in force on {settled} of {}{suffix}", rows.len())
}
