//! Imbalance of the work in flight at the servers.

use {
    crate::{
        arrivals::{Plan, arrivals, short_mean},
        measure::{Bound, Measure},
        world::{self, Mode, Outcomes, Setup, WIRE, mean},
    },
    catkin::types::{Span, Time},
};

const IMBALANCE_MAX: f64 = 1.25;
const LOAD: f64 = 0.7;
const LENGTH: Span = Span::from_secs(12);
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
            worst_second(&outcomes),
            "ratio",
            bound,
        ));
        list.push(Measure::info(format!("balance.{name}.moment"), moment(&outcomes), "ratio"));
    }
    list
}

fn balance(seed: u64, setup: &Setup) -> Outcomes {
    let capacity = setup.slots() / (short_mean() + 2.0 * WIRE.as_secs_f64());
    let work = arrivals(&Plan {
        seed,
        length: LENGTH,
        short: &|_| LOAD * capacity,
        long: &|_| 0.0,
        deadline: Span::from_secs(2),
        idempotent: 1.0,
    });
    world::run(setup, &work)
}

/// Returns the largest imbalance of the mean work in flight in any second.
fn worst_second(outcomes: &Outcomes) -> f64 {
    let mut worst = 0.0_f64;
    let mut start = outcomes.warm;
    while start < Time::default().after(LENGTH) {
        let end = start.after(WINDOW);
        let inside = outcomes.samples.iter().filter(|sample| sample.at >= start && sample.at < end);
        let samples: Vec<&Vec<u32>> = inside.map(|sample| &sample.busy).collect();
        worst = worst.max(imbalance(&sums(&samples)));
        start = end;
    }
    worst
}

/// Returns the mean of the imbalance at single moments.
fn moment(outcomes: &Outcomes) -> f64 {
    let end = Time::default().after(LENGTH);
    let counted = outcomes.samples.iter().filter(|sample| sample.at >= outcomes.warm && sample.at < end);
    mean(counted.map(|sample| imbalance(&sums(&[&sample.busy]))))
}

fn sums(samples: &[&Vec<u32>]) -> Vec<f64> {
    let servers = samples.first().map(|busy| busy.len()).unwrap_or_default();
    let sum = |server: usize| samples.iter().map(|busy| f64::from(busy[server])).sum();
    (0..servers).map(sum).collect()
}

fn imbalance(loads: &[f64]) -> f64 {
    let most = loads.iter().copied().fold(0.0, f64::max);
    most / mean(loads.iter().copied())
}
