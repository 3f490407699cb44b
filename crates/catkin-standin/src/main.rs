//! Runs stand-ins for the platform and for targets, for tests and the demo.

use {
    bpaf::Bpaf,
    catkin::{Error, logs, settings},
    std::{path::PathBuf, process::ExitCode},
};

const EXIT_USAGE: u8 = 2;

/// Runs stand-ins for the platform and for targets.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Checks the settings and exits
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("catkin-standin: {e}");
            ExitCode::from(if e.is_usage() { EXIT_USAGE } else { 1 })
        }
    }
}

fn run(options: &Options) -> Result<(), Error> {
    let settings: settings::Standin = settings::read(&options.settings)?;
    if options.check {
        return Ok(());
    }
    logs::init(settings.logs);
    let ended = actix_rt::System::new().block_on(async {
        let running = catkin_standin::start(&settings).await?;
        log::info!(targets = running.targets.len(); "stand-ins are running");
        wait_signal().await;
        Ok(())
    });
    logs::flush();
    ended
}

/// Waits for SIGINT or SIGTERM. Never returns if SIGTERM can't be handled.
async fn wait_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut term) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
