//! Entry program of the catkinhub router on the users' platform: one process on
//! each VM.
//!
//! A request passes `accept` -> `serve` -> `admit` -> `attempt`. `sync` reads
//! the platform's state into `node`; `lead` derives commands to targets from it
//! when this process is the leader. The decisions are in the crate
//! `catkin-route`, the platform's names in `catkin-platform`.
//!
//! | module | responsibility |
//! |---|---|
//! | `accept` | connections of callers: reads requests, writes answers |
//! | `serve` | one request: route, attempts, the final answer |
//! | `admit` | selects the target of an attempt, and waits for capacity |
//! | `wait_queue` | order in which waiting requests are woken
//! | `attempt` | one send of a request to one target |
//! | `announcements` | what targets announce in the heads of their answers |
//! | `probe` | health checks of targets that may be leaving |
//! | `pool` | idle connections to targets |
//! | `feed` | read position in a topic, and its recent changes |
//! | `sync` | reads configuration, directory and owners from the store |
//! | `lead` | membership, claim of leadership, commands, records and moves of keys |
//! | `link` | links between processes and the leader |
//! | `admin` | readiness and metrics |
//! | `shutdown` | signals and graceful shutdown |
//! | `log_limiter` | limits the log lines of each message |
//! | `node` | state that these modules share |

mod accept;
mod admin;
mod admit;
mod announcements;
mod attempt;
mod due;
mod feed;
mod lead;
mod link;
mod log_limiter;
mod metrics;
mod node;
mod pool;
mod probe;
mod serve;
mod settings;
mod shutdown;
mod silence;
mod stream;
mod sync;
mod wait_queue;

use {
    bpaf::Bpaf,
    catkin::{Code, Error, logs, types::Size},
    node::Node,
    settings::Settings,
    std::{path::PathBuf, process::ExitCode, rc::Rc},
};

/// Memory of the smallest VM.
const MEMORY_MB_DEFAULT: f64 = 260.0;

/// Share of the memory for the bytes of requests, answers and messages. Freed
/// parts of the heap and the buffers of sockets need about as much again.
const HELD_SHARE: f64 = 0.35;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Entry program of the catkinhub router on the users' platform.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    #[bpaf(external)]
    source: Source,
    /// Memory that the process may use, in MB; 260 if absent
    #[bpaf(long("memory"), env("CATKIN_MEMORY_MB"), argument::<String>("MB"), parse(parse_memory), fallback(MEMORY_MB_DEFAULT))]
    memory: f64,
    /// Checks the settings and exits
    check: bool,
}

/// Where the settings are.
#[derive(Clone, Debug, Bpaf)]
enum Source {
    /// Settings of this process, in YAML
    File {
        /// Settings of this process, in YAML
        #[bpaf(long("settings"), argument("FILE"))]
        file: PathBuf,
    },
    /// Environment variable with the path of the settings
    Variable {
        /// Environment variable that holds the path of the settings
        #[bpaf(long("settings-from"), argument("NAME"))]
        name: String,
    },
}

/// Parses a size in MB. The variable is empty on a platform that names none.
fn parse_memory(text: String) -> Result<f64, Error> {
    let invalid = || Error::new(Code::BadValue, format!("{text:?} is not a size in MB"));
    match text.trim() {
        "" => Ok(MEMORY_MB_DEFAULT),
        number => number.parse().ok().filter(|mb: &f64| mb.is_finite() && *mb > 0.0).ok_or_else(invalid),
    }
}

fn path(source: &Source) -> Result<PathBuf, Error> {
    match source {
        Source::File { file } => Ok(file.clone()),
        Source::Variable { name } => std::env::var_os(name)
            .map(PathBuf::from)
            .ok_or_else(|| Error::new(Code::BadUsage, format!("environment variable {name} is not set"))),
    }
}

fn main() -> ExitCode {
    let options = options().run();
    let read = path(&options.source).and_then(|file| catkin::settings::read::<Settings>(&file));
    let settings = match read {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if options.check {
        println!("settings: ok");
        return ExitCode::SUCCESS;
    }
    logs::init_to(settings.logs, logs::Output::Stdout);
    catkin_net::limit_held(Size::from_bytes((options.memory * 1e6 * HELD_SHARE) as u64));
    let ended = actix_rt::System::new().block_on(run(settings));
    logs::flush();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &Error) -> ExitCode {
    eprintln!("catkin-edge: {error}");
    ExitCode::from(if error.is_usage() { EXIT_USAGE } else { EXIT_FAILED })
}

async fn run(settings: Settings) -> Result<(), Error> {
    let bounds = catkin_platform::bounds::decode(&settings.bounds)?;
    let node = Rc::new(Node::new(settings, bounds));
    let callers = catkin_net::listen(node.settings.callers).await?;
    let admin = catkin_net::listen(node.settings.admin).await?;
    let peers = catkin_net::listen(node.settings.peers).await?;
    let grace_ms = node.bounds.termination_grace.as_millis();
    let retry_slack = node.bounds.retry_slack;
    log::info!(vm = node.settings.vm.as_str(), callers:display = node.settings.callers, grace_ms, retry_slack; "started");
    actix_rt::spawn(sync::read_config(node.clone()));
    actix_rt::spawn(sync::read_targets(node.clone()));
    actix_rt::spawn(sync::read_owners(node.clone()));
    actix_rt::spawn(lead::membership::join(node.clone()));
    actix_rt::spawn(lead::run(node.clone()));
    actix_rt::spawn(link::listen(node.clone(), peers));
    actix_rt::spawn(link::report(node.clone()));
    actix_rt::spawn(probe::run(node.clone()));
    actix_rt::spawn(admin::serve(node.clone(), admin));
    if let Some(addr) = node.settings.metrics {
        let listener = catkin_net::listen(addr).await?;
        actix_rt::spawn(admin::serve(node.clone(), listener));
    }
    actix_rt::spawn(accept::serve(node.clone(), callers));
    shutdown::run_until_stopped(node).await
}
