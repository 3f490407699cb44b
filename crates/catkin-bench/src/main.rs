//! Deterministic benchmarks of the decision code in virtual time.
//!
//! Prints one line for each measure: name, value, unit, bound and verdict.
//! The exit code is 1 if a bound is missed.

mod arrivals;
mod balance;
mod blocking;
mod capacity;
mod compare;
mod faults;
mod fleet;
mod keys;
mod measure;
mod member;
mod once;
mod overload;
mod peak;
mod place;
mod simulation;
mod wall;

use {bpaf::Bpaf, measure::Measure, std::process::ExitCode};

/// Measures the decision code of catkinhub against its bounds.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Seed of arrivals, choices and faults
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Only the groups whose name starts with this
    #[bpaf(argument("GROUP"), fallback(String::new()))]
    only: String,
    /// Measures wall-clock costs instead, which depend on the machine
    wall: bool,
}

type Group = (&'static str, fn(u64) -> Vec<Measure>);

const GROUPS: &[Group] = &[
    ("blocking", blocking::measures),
    ("overload", overload::measures),
    ("peak", peak::measures),
    ("balance", balance::measures),
    ("faults", faults::measures),
    ("once", once::measures),
    ("compare", compare::measures),
    ("member", member::measures),
    ("place", place::measures),
    ("planned", place::planned),
];

/// Groups whose values depend on the machine, run with `--wall`.
const WALL_GROUPS: &[Group] =
    &[("wall", wall::measures), ("wall", place::wall), ("capacity", capacity::measures)];

fn main() -> ExitCode {
    let options = options().run();
    let groups = if options.wall { WALL_GROUPS } else { GROUPS };
    let mut missed = false;
    for (_, measures) in groups.iter().filter(|(name, _)| name.starts_with(&options.only)) {
        for measure in measures(options.seed) {
            println!("{measure}");
            missed |= measure.is_missed();
        }
    }
    ExitCode::from(u8::from(missed))
}
