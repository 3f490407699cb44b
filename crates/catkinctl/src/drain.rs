//! `catkinctl drain`: asks a target to drain and waits until it owns, holds and runs
//! nothing.

use {
    crate::{gateways::Gateways, output::Report, reader::Reader},
    catkin::{
        Code, Error,
        api::{CommandReply, Load, Role, path},
        types::{Span, TargetId},
    },
    catkin_net::{get, post},
    serde::Serialize,
    std::{
        fmt,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const ANSWER_TIMEOUT: Span = Span::from_secs(2);
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Slices and requests that a draining target still has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DrainProgress {
    /// Id of the target.
    pub target: TargetId,
    /// Whether the target accepts no new work.
    pub draining: bool,
    /// Number of slices that the log assigns to the target.
    pub owned: usize,
    /// Number of slices that the target holds. A target whose lease expired
    /// holds none, but may still own some.
    pub held: usize,
    /// Number of requests that the target runs.
    pub running: u32,
}

impl Report for DrainProgress {
    fn is_success(&self) -> bool {
        self.draining && self.owned == 0 && self.held == 0 && self.running == 0
    }
}

impl fmt::Display for DrainProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { target, draining, owned, held, running } = self;
        let state = match (self.is_success(), draining) {
            (true, _) => "drained",
            (false, true) => "draining",
            (false, false) => "not draining",
        };
        write!(f, "{target}: {state}, owns {owned} slices, holds {held}, runs {running} requests")
    }
}

/// Asks a target to drain and waits until it owns, holds and runs nothing, or
/// until the timeout. The keeper sees the drain with the next renewal and moves
/// the slices. Calls `on_progress` when the progress changes.
///
/// # Errors
///
/// Returns `Code::ListUnavailable` if the VM list is unavailable, `Code::BadUsage`
/// if it has no such target, or the error of the last poll.
pub async fn drain(
    gateways: &Gateways,
    mut reader: Reader,
    target: &TargetId,
    timeout: Span,
    mut on_progress: impl FnMut(&str),
) -> Result<DrainProgress, Error> {
    let deadline = Instant::now() + timeout.as_duration();
    let addr = find_address(gateways, target).await?;
    let mut last = String::new();
    loop {
        let result = poll(gateways, &mut reader, target, addr).await;
        let progress = result.as_ref().map_or_else(ToString::to_string, ToString::to_string);
        if progress != last {
            on_progress(&progress);
            last = progress;
        }
        if result.as_ref().is_ok_and(Report::is_success) || Instant::now() >= deadline {
            return result;
        }
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}

async fn find_address(gateways: &Gateways, target: &TargetId) -> Result<SocketAddr, Error> {
    let rows = gateways.list().await?;
    let row = rows.iter().find(|row| row.role == Role::Target && *row.id == *target.as_str());
    row.map(|row| row.addr)
        .ok_or_else(|| Error::new(Code::BadUsage, format!("the VM list has no target {target}")))
}

/// Reads the progress. Sends the drain request again while the target does not
/// report that it drains, because the request or its answer may have been lost.
/// A second drain request has no effect.
async fn poll(
    gateways: &Gateways,
    reader: &mut Reader,
    target: &TargetId,
    addr: SocketAddr,
) -> Result<DrainProgress, Error> {
    let client = gateways.client();
    let mut lease: CommandReply = get(client, addr, path::LEASE, ANSWER_TIMEOUT).await?;
    if !lease.draining {
        let answer: Result<serde_json::Value, Error> =
            post(client, addr, path::DRAIN, &(), ANSWER_TIMEOUT).await;
        match answer {
            // The body of the answer is not used, so it need not be valid.
            Err(e) if e.code() != Code::BadFrame => return Err(e),
            _ => lease = get(client, addr, path::LEASE, ANSWER_TIMEOUT).await?,
        }
    }
    let load: Load = get(client, addr, path::LOAD, ANSWER_TIMEOUT).await?;
    reader.catch_up(|_, _, _, _| ()).await?;
    Ok(DrainProgress {
        target: target.clone(),
        draining: lease.draining,
        owned: reader.state().rows().filter(|(_, _, row)| row.owner == *target).count(),
        held: lease.slices.len(),
        running: load.running,
    })
}
