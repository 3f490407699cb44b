//! All arrivals of an experiment, drawn before the first is sent.

use {
    crate::{experiment::Experiment, keys::Chooser},
    catkin::types::Span,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// A request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the experiment.
    pub at: Span,
    /// Index of its kind.
    pub kind: usize,
    /// Number of its key.
    pub key: Option<u32>,
    /// Number of its operation.
    pub operation: u64,
    /// Number of the gateway that gets it first.
    pub gateway: usize,
}

/// Draws the arrivals of an experiment in the order of their times: a Poisson
/// process in each phase.
pub fn plan(experiment: &Experiment) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    let choosers: Vec<_> = experiment.kinds.iter().map(|kind| kind.keys.map(Chooser::new)).collect();
    let mut arrivals = Vec::new();
    for (operation, at) in (0..).zip(times(experiment, &mut rng)) {
        let kind = draw_kind(experiment, &mut rng);
        let key = choosers[kind].as_ref().map(|chooser| chooser.choose(&mut rng, at));
        let gateway = rng.random_range(0..experiment.gateways.len());
        arrivals.push(Arrival { at, kind, key, operation, gateway });
        let chosen = &experiment.kinds[kind];
        if chosen.protected && rng.random::<f64>() < chosen.repeat.as_f64() {
            let other = (gateway + 1) % experiment.gateways.len();
            arrivals.push(Arrival { at, kind, key, operation, gateway: other });
        }
    }
    arrivals
}

fn times(experiment: &Experiment, rng: &mut ChaCha8Rng) -> Vec<Span> {
    let mut times = Vec::new();
    let mut start = 0.0;
    for phase in &experiment.phases {
        let end = start + phase.span.as_secs_f64();
        let mut pause = || -(1.0 - rng.random::<f64>()).ln() / phase.rate.as_per_second();
        // With a rate of 0 the first pause is infinite.
        let mut next = start + pause();
        while next < end {
            times.push(Span::from_micros((next * 1e6) as u64));
            next += pause();
        }
        start = end;
    }
    times
}

fn draw_kind(experiment: &Experiment, rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = experiment.kinds.iter().map(|kind| kind.weight).sum();
    let mut point = rng.random::<f64>() * total;
    let found = experiment.kinds.iter().position(|kind| {
        point -= kind.weight;
        point < 0.0
    });
    found.unwrap_or_default()
}
