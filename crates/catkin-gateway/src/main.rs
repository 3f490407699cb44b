//! Gateway of the catkinhub router: one process on each entry VM.
//!
//! A gateway accepts requests of callers, forwards each to the gateway that
//! keeps the chosen target, queues and dispatches the requests to the targets
//! that it keeps, and maintains their leases.
//!
//! | module | responsibility |
//! |---|---|
//! | `accept` | requests of callers: parsing, retries, answers |
//! | `route` | which target gets a request, and who keeps it |
//! | `body` | bodies of requests and answers |
//! | `execute` | requests of kept targets: queueing, sending, streaming the answer |
//! | `peer` | the TCP protocol between gateways |
//! | `connect` | connections to targets, which report an early end as an error |
//! | `follow` | loads the state, reads the log and the VM list |
//! | `queue` | queues for the slots of kept targets |
//! | `idempotency` | requests with an idempotency key |
//! | `reports` | load status of targets |
//! | `snapshots` | writes snapshots of the fold |
//! | `append` | queues of records for the log |
//! | `control` | claims, assignments and lease commands |
//! | `balance` | moves of slices by load and away from leaving targets |
//! | `heartbeat` | UDP datagrams between gateways: liveness and loads |
//! | `shutdown` | graceful shutdown |
//! | `admin` | HTTP interface for operators |
//! | `metrics` | metrics for operators |
//! | `node` | state shared by the tasks |

mod accept;
mod admin;
mod append;
mod balance;
mod body;
mod connect;
mod control;
mod execute;
mod follow;
mod heartbeat;
mod idempotency;
mod metrics;
mod node;
mod peer;
mod queue;
mod reports;
mod route;
mod shutdown;
mod snapshots;

use {
    bpaf::Bpaf,
    catkin::{Error, logs, settings},
    node::Node,
    std::{path::PathBuf, process::ExitCode, rc::Rc},
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Gateway of the catkinhub router.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings of this process, in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Checks the settings and exits
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings: settings::Gateway = match settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if options.check {
        println!("{}: ok", options.settings.display());
        return ExitCode::SUCCESS;
    }
    logs::init(settings.logs);
    let ended = actix_rt::System::new().block_on(run(settings));
    logs::flush();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("catkin-gateway: {error}");
    ExitCode::from(if error.is_usage() { EXIT_USAGE } else { EXIT_FAILED })
}

async fn run(settings: settings::Gateway) -> Result<(), Error> {
    let node = Rc::new(Node::new(settings));
    let callers = catkin_net::listen(node.settings.callers).await?;
    let peers = catkin_net::listen(node.settings.peers).await?;
    let admin = catkin_net::listen(node.settings.admin).await?;
    let socket = heartbeat::bind(node.settings.peers).await?;
    log::info!(vm = node.settings.vm.as_str(), callers:display = node.settings.callers; "gateway started");
    actix_rt::spawn(follow::follow_log(node.clone()));
    actix_rt::spawn(follow::poll_vms(node.clone()));
    actix_rt::spawn(balance::run(node.clone()));
    actix_rt::spawn(reports::run(node.clone()));
    actix_rt::spawn(snapshots::run(node.clone()));
    actix_rt::spawn(append::run(node.clone(), node.control_queue.clone()));
    actix_rt::spawn(append::run(node.clone(), node.intent_queue.clone()));
    actix_rt::spawn(control::run(node.clone()));
    actix_rt::spawn(heartbeat::run(node.clone(), socket));
    actix_rt::spawn(peer::listen(node.clone(), peers));
    actix_rt::spawn(admin::serve(node.clone(), admin));
    tokio::select! {
        result = accept::serve(node.clone(), callers) => result,
        result = shutdown::run(node) => result,
    }
}
