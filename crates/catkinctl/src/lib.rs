//! Commands of `catkinctl`.
//!
//! Each command has a module. Its functions do the work and, except for
//! `timeline`, return a report, which prints as text or serializes to JSON.
//! [`run`] parses the command line, runs the command and maps the result to an
//! exit code: 0 for success, 1 for a refusal or failure, 2 for wrong usage or
//! settings. `check` exits with 64 for wrong usage, as 1 and 2 tell what it found
//! in a configuration of the platform.

pub mod check;
mod cli;
mod client;
pub mod diff;
pub mod drain;
pub mod gateways;
pub mod history;
pub mod output;
pub mod owners;
pub mod publish;
pub mod reader;
pub mod status;
pub mod timeline;

use {
    bpaf::ParseFailure,
    catkin::{Code, Error},
    cli::{Command, DiffBase, TimelineOutput},
    gateways::Gateways,
    output::{OutputFormat, Report},
    reader::Reader,
    std::process::ExitCode,
};

const HELP_WIDTH_COLUMNS: usize = 100;
const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_CHECK_USAGE: u8 = 64;

/// Parses the command line, runs its command and returns the exit code.
pub fn run() -> ExitCode {
    let is_check = std::env::args_os().nth(1).is_some_and(|name| name == "check");
    match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => finish(is_check, execute(command)),
        Err(failure) => report_parse_failure(is_check, failure),
    }
}

fn report_parse_failure(is_check: bool, failure: ParseFailure) -> ExitCode {
    let is_usage_error = matches!(failure, ParseFailure::Stderr(_));
    failure.print_message(HELP_WIDTH_COLUMNS);
    match is_usage_error {
        true => ExitCode::from(if is_check { EXIT_CHECK_USAGE } else { EXIT_USAGE }),
        false => ExitCode::SUCCESS,
    }
}

fn execute(command: Command) -> eyre::Result<u8> {
    let system = actix_rt::System::new();
    system.block_on(dispatch(command))
}

async fn dispatch(command: Command) -> eyre::Result<u8> {
    match command {
        Command::Check { against, output, file } => emit(output, &check::check(&file, against.as_deref())?),
        Command::Publish { log, author, limit, output, file } => {
            let text = check::read(&file)?;
            emit(output, &publish::publish(Reader::new(log), &text, &author, limit).await?)
        }
        Command::Diff { base: DiffBase::Log(log), output, file } => {
            emit(output, &diff::with_log(Reader::new(log), &file).await?)
        }
        Command::Diff { base: DiffBase::File(other), output, file } => {
            emit(output, &diff::with_file(&other, &file)?)
        }
        Command::History { log, output } => emit(output, &history::history(Reader::new(log)).await?),
        Command::Status { vms, wait, limit, output } => {
            emit(output, &status::status(&Gateways::new(vms), wait, limit, notify).await?)
        }
        Command::Owners { log, service, output } => {
            emit(output, &owners::owners(Reader::new(log), service.as_ref()).await?)
        }
        Command::Timeline { vms, filter, view: TimelineOutput { format, follow: true } } => {
            timeline::follow(&Gateways::new(vms), &filter, format, notify).await.map(to_exit_code)
        }
        Command::Timeline { vms, filter, view: TimelineOutput { format, .. } } => {
            timeline::print(&Gateways::new(vms), &filter, format).await.map(to_exit_code)
        }
        Command::Drain { vms, log, limit, output, target } => {
            emit(output, &drain::drain(&Gateways::new(vms), Reader::new(log), &target, limit, notify).await?)
        }
    }
}

/// Prints progress, or the error of a request that is retried, to standard error,
/// so that standard output holds only the report.
fn notify(text: &str) {
    eprintln!("{text}");
}

fn emit<R: Report>(output: OutputFormat, report: &R) -> eyre::Result<u8> {
    output.print(report)?;
    Ok(report.exit_code())
}

fn to_exit_code(is_success: bool) -> u8 {
    if is_success { 0 } else { EXIT_FAILED }
}

fn finish(is_check: bool, result: eyre::Result<u8>) -> ExitCode {
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("catkinctl: {error:#}");
            ExitCode::from(exit_code(is_check, &error))
        }
    }
}

fn exit_code(is_check: bool, error: &eyre::Report) -> u8 {
    match error.downcast_ref::<Error>() {
        Some(error) if is_check && matches!(error.code(), Code::UnreadableFile | Code::BadUsage) => {
            EXIT_CHECK_USAGE
        }
        Some(error) if error.is_usage() => EXIT_USAGE,
        _ => EXIT_FAILED,
    }
}
