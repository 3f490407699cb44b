//! Runs experiments against a running catkinhub and compares their reports.

use {
    bpaf::Bpaf,
    catkin::{Code, Error, settings},
    catkin_load::{Experiment, Report, compare, overhead, run},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

const EXIT_WRONG: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Load and experiments against a running catkinhub.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Runs an experiment; exits with 1 if anything is lost, doubled, mixed
    /// up or owned twice
    #[bpaf(command)]
    Run {
        /// Writes the report to a file, in JSON
        #[bpaf(argument("FILE"), optional)]
        out: Option<PathBuf>,
        /// Uses another seed than the experiment's
        #[bpaf(argument("NUMBER"), optional)]
        seed: Option<u64>,
        /// Checks the experiment and exits
        check: bool,
        /// Experiment, in YAML
        #[bpaf(positional("EXPERIMENT"))]
        file: PathBuf,
    },
    /// Puts two reports side by side
    #[bpaf(command)]
    Compare {
        /// First report, in JSON
        #[bpaf(positional("FIRST"))]
        first: PathBuf,
        /// Second report, in JSON
        #[bpaf(positional("SECOND"))]
        second: PathBuf,
    },
    /// Says what gateways add to direct calls; exits with 1 if it is too much
    #[bpaf(command)]
    Overhead {
        /// Report of direct calls, in JSON
        #[bpaf(positional("DIRECT"))]
        direct: PathBuf,
        /// Report of calls through gateways, in JSON
        #[bpaf(positional("ROUTED"))]
        routed: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Run { out, seed, check, file } => run_file(&file, seed, check, out.as_deref()),
        Command::Compare { first, second } => compare_files(&first, &second),
        Command::Overhead { direct, routed } => overhead_files(&direct, &routed),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_WRONG),
        Err(e) => {
            eprintln!("catkin-load: {e}");
            ExitCode::from(if e.is_usage() { EXIT_USAGE } else { EXIT_WRONG })
        }
    }
}

fn run_file(file: &Path, seed: Option<u64>, check: bool, out: Option<&Path>) -> Result<bool, Error> {
    let mut experiment: Experiment = settings::read(file)?;
    if check {
        return Ok(true);
    }
    experiment.seed = seed.unwrap_or(experiment.seed);
    let report = actix_rt::System::new().block_on(run(&experiment))?;
    print!("{report}");
    if let Some(out) = out {
        let text = serde_json::to_string_pretty(&report).map_err(|e| fail(out, &e))?;
        fs::write(out, text).map_err(|e| fail(out, &e))?;
    }
    Ok(report.checks.is_clean())
}

fn compare_files(first: &Path, second: &Path) -> Result<bool, Error> {
    print!("{}", compare(&read(first)?, &read(second)?));
    Ok(true)
}

fn overhead_files(direct: &Path, routed: &Path) -> Result<bool, Error> {
    let (text, is_met) = overhead(&read(direct)?, &read(routed)?);
    print!("{text}");
    Ok(is_met)
}

fn read(file: &Path) -> Result<Report, Error> {
    let text = fs::read_to_string(file).map_err(|e| fail(file, &e))?;
    serde_json::from_str(&text).map_err(|e| fail(file, &e))
}

fn fail(file: &Path, error: &dyn std::error::Error) -> Error {
    Error::new(Code::UnreadableFile, format!("{}: {error}", file.display()))
}
