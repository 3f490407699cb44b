//! Commands of the operators' client.
//!
//! Each command has a file with one function that does the work and returns
//! a report. A report prints as text and serializes to JSON. [`run`] reads
//! the command line, runs the command and turns the result into an exit code:
//! 0 for success, 1 for refused or failed, 2 for wrong usage or settings.

pub mod check;
mod cli;
pub mod output;
pub mod publish;
pub mod reader;

use {
    bpaf::ParseFailure,
    catkin::Error,
    cli::Command,
    output::{Output, Report},
    std::process::ExitCode,
};

const HELP_WIDTH_COLUMNS: usize = 100;
const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Reads the command line and runs its command.
pub fn run() -> ExitCode {
    match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => finish(execute(command)),
        Err(failure) => refuse(failure),
    }
}

fn refuse(failure: ParseFailure) -> ExitCode {
    let usage = matches!(failure, ParseFailure::Stderr(_));
    failure.print_message(HELP_WIDTH_COLUMNS);
    if usage { ExitCode::from(EXIT_USAGE) } else { ExitCode::SUCCESS }
}

fn execute(command: Command) -> eyre::Result<bool> {
    let system = actix_rt::System::new();
    system.block_on(dispatch(command))
}

async fn dispatch(command: Command) -> eyre::Result<bool> {
    match command {
        Command::Check { output, file } => emit(output, &check::check(&file)?),
        Command::Publish { log, author, limit, output, file } => {
            let text = check::read(&file)?;
            let reader = reader::Reader::new(log);
            emit(output, &publish::publish(reader, &text, &author, limit).await?)
        }
    }
}

fn emit<R: Report>(output: Output, report: &R) -> eyre::Result<bool> {
    output.print(report)?;
    Ok(report.is_success())
}

fn finish(result: eyre::Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("catkinctl: {error:#}");
            ExitCode::from(exit_number(&error))
        }
    }
}

fn exit_number(error: &eyre::Report) -> u8 {
    match error.downcast_ref::<Error>() {
        Some(error) if error.is_usage() => EXIT_USAGE,
        _ => EXIT_FAILED,
    }
}
