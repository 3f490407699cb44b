//! `catkinctl drain`: asks a target to drain.

use {
    crate::{gateways::Gateways, output::Report, reader::Reader},
    catkin::{
        Code, Error,
        api::{Load, Reply, Role, path},
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

const ANSWER_LIMIT: Span = Span::from_secs(2);
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// What a draining target still holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Drained {
    /// The target.
    pub target: TargetId,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Slices that the log assigns to it.
    pub owned: usize,
    /// Slices that it holds. A target whose lease expired holds none and may
    /// still own some.
    pub held: usize,
    /// Requests that it runs.
    pub running: u32,
}

impl Report for Drained {
    fn is_success(&self) -> bool {
        self.draining && self.owned == 0 && self.held == 0 && self.running == 0
    }
}

impl fmt::Display for Drained {
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

/// Asks a target to drain and waits up to a limit until it owns, holds and
/// runs nothing. The keeper learns of the drain with the next renewal and moves the
/// slices. Each change of progress is shown.
///
/// # Errors
///
/// `Code::ListUnavailable`, `Code::BadUsage` if the list has no such target,
/// or the code of the last request that failed.
pub async fn drain(
    gateways: &Gateways,
    mut reader: Reader,
    target: &TargetId,
    limit: Span,
    mut show: impl FnMut(&str),
) -> Result<Drained, Error> {
    let end = Instant::now() + limit.as_duration();
    let addr = find(gateways, target).await?;
    let mut shown = String::new();
    loop {
        let result = step(gateways, &mut reader, target, addr).await;
        let progress = result.as_ref().map_or_else(ToString::to_string, ToString::to_string);
        if progress != shown {
            show(&progress);
            shown = progress;
        }
        if result.as_ref().is_ok_and(Report::is_success) || Instant::now() >= end {
            return result;
        }
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}

async fn find(gateways: &Gateways, target: &TargetId) -> Result<SocketAddr, Error> {
    let rows = gateways.list().await?;
    let row = rows.iter().find(|row| row.role == Role::Target && *row.id == *target.as_str());
    row.map(|row| row.addr)
        .ok_or_else(|| Error::new(Code::BadUsage, format!("the VM list has no target {target}")))
}

/// Asks again while the target does not report that it drains, because the
/// request or its answer may have been lost. Draining twice has no effect.
async fn step(
    gateways: &Gateways,
    reader: &mut Reader,
    target: &TargetId,
    addr: SocketAddr,
) -> Result<Drained, Error> {
    let client = gateways.client();
    let mut lease: Reply = get(client, addr, path::LEASE, ANSWER_LIMIT).await?;
    if !lease.draining {
        let asked: Result<serde_json::Value, Error> =
            post(client, addr, path::DRAIN, &(), ANSWER_LIMIT).await;
        match asked {
            // The body of the answer is of no interest.
            Err(e) if e.code() != Code::BadFrame => return Err(e),
            _ => lease = get(client, addr, path::LEASE, ANSWER_LIMIT).await?,
        }
    }
    let load: Load = get(client, addr, path::LOAD, ANSWER_LIMIT).await?;
    reader.catch_up(|_, _, _, _| ()).await?;
    Ok(Drained {
        target: target.clone(),
        draining: lease.draining,
        owned: reader.state().rows().filter(|(_, _, row)| row.owner == *target).count(),
        held: lease.slices.len(),
        running: load.running,
    })
}
