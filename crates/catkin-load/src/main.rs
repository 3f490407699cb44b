//! Command line of the load generator: runs experiments and compares their
//! reports.

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

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Load generator for experiments against a running catkinhub.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Runs an experiment; exits with 1 if the report has a violation
    /// (such as a lost request, an operation that ran twice, a mixed-up answer or
    /// a slice with two owners)
    #[bpaf(command)]
    Run {
        /// Writes the report to a JSON file
        #[bpaf(argument("FILE"), optional)]
        out: Option<PathBuf>,
        /// Replaces the seed of the experiment
        #[bpaf(argument("NUMBER"), optional)]
        seed: Option<u64>,
        /// Checks the experiment file and exits
        check: bool,
        /// Experiment file, in YAML
        #[bpaf(positional("EXPERIMENT"))]
        file: PathBuf,
    },
    /// Prints a table of two reports with the change of each measure
    #[bpaf(command)]
    Compare {
        /// First report, in JSON
        #[bpaf(positional("FIRST"))]
        first: PathBuf,
        /// Second report, in JSON
        #[bpaf(positional("SECOND"))]
        second: PathBuf,
    },
    /// Prints the latency that gateways add; exits with 1 if it exceeds a bound
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
        Ok(false) => ExitCode::from(EXIT_FAILURE),
        Err(e) => {
            eprintln!("catkin-load: {e}");
            ExitCode::from(if e.is_usage() { EXIT_USAGE } else { EXIT_FAILURE })
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
        let text = serde_json::to_string_pretty(&report).map_err(|e| file_error(out, &e))?;
        fs::write(out, text).map_err(|e| file_error(out, &e))?;
    }
    Ok(report.checks.is_clean())
}

fn compare_files(first: &Path, second: &Path) -> Result<bool, Error> {
    print!("{}", compare(&read_report(first)?, &read_report(second)?));
    Ok(true)
}

fn overhead_files(direct: &Path, routed: &Path) -> Result<bool, Error> {
    let (text, is_within) = overhead(&read_report(direct)?, &read_report(routed)?);
    print!("{text}");
    Ok(is_within)
}

fn read_report(file: &Path) -> Result<Report, Error> {
    let text = fs::read_to_string(file).map_err(|e| file_error(file, &e))?;
    serde_json::from_str(&text).map_err(|e| file_error(file, &e))
}

fn file_error(file: &Path, error: &dyn std::error::Error) -> Error {
    Error::new(Code::UnreadableFile, format!("{}: {error}", file.display()))
}
