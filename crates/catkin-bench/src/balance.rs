//! Imbalance of the requests running or queued at the servers.

use {
    crate::{
        arrivals::{Workload, arrivals, short_mean},
        measure::{Bound, Measure},
        simulation::{self, HOP_DELAY, Mode, Outcomes, Setup, mean},
    },
    catkin::types::{Span, Time},
};

const IMBALANCE_MAX: f64 = 1.25;
const LOAD: f64 = 0.7;
const DURATION: Span = Span::from_secs(12);
const WINDOW: Span = Span::from_secs(1);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for mode in Mode::ALL {
        let bound = if mode == Mode::Keeper { Bound::Max(IMBALANCE_MAX) } else { Bound::None };
        let outcomes = balance(seed, &Setup::new(mode));
        let name = mode.name();
        list.push(Measure::new(
            format!("balance.{name}.worst_second"),
            worst_window(&outcomes),
            "ratio",
            bound,
        ));
        list.push(Measure::info(format!("balance.{name}.moment"), mean_imbalance(&outcomes), "ratio"));
    }
    list
}

fn balance(seed: u64, setup: &Setup) -> Outcomes {
    let capacity = setup.slots() / (short_mean() + 2.0 * HOP_DELAY.as_secs_f64());
    let work = arrivals(&Workload {
        seed,
        duration: DURATION,
        short_rate: &|_| LOAD * capacity,
        long_rate: &|_| 0.0,
        short_deadline: Span::from_secs(2),
        idempotent_share: 1.0,
    });
    simulation::run(setup, &work)
}

/// Returns the largest imbalance of any second, taken over the sums of its
/// samples.
fn worst_window(outcomes: &Outcomes) -> f64 {
    let mut worst = 0.0_f64;
    let mut start = outcomes.counted_from;
    while start < Time::default().after(DURATION) {
        let end = start.after(WINDOW);
        let inside = outcomes.samples.iter().filter(|sample| sample.at >= start && sample.at < end);
        let samples: Vec<&Vec<u32>> = inside.map(|sample| &sample.busy).collect();
        worst = worst.max(imbalance(&server_sums(&samples)));
        start = end;
    }
    worst
}

/// Returns the mean of the imbalances of the single samples.
fn mean_imbalance(outcomes: &Outcomes) -> f64 {
    let end = Time::default().after(DURATION);
    let counted =
        outcomes.samples.iter().filter(|sample| sample.at >= outcomes.counted_from && sample.at < end);
    mean(counted.map(|sample| imbalance(&server_sums(&[&sample.busy]))))
}

/// Returns the sum over the samples for each server.
fn server_sums(samples: &[&Vec<u32>]) -> Vec<f64> {
    let servers = samples.first().map(|busy| busy.len()).unwrap_or_default();
    let sum = |server: usize| samples.iter().map(|busy| f64::from(busy[server])).sum();
    (0..servers).map(sum).collect()
}

/// Returns the ratio of the largest load to the mean.
fn imbalance(loads: &[f64]) -> f64 {
    let max = loads.iter().copied().fold(0.0, f64::max);
    max / mean(loads.iter().copied())
}
