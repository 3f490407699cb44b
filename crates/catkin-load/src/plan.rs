//! Plan of an experiment: all arrivals, drawn from the seed before the first
//! request is sent.

use {
    crate::{experiment::Experiment, keys::KeySampler},
    catkin::types::Span,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// A planned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Planned time since the start of the experiment.
    pub at: Span,
    /// Index of its kind in the experiment.
    pub kind: usize,
    /// Number of its key, if its kind has keys.
    pub key: Option<u32>,
    /// Number of its operation; the two requests of a repeated operation share
    /// it.
    pub operation_number: u64,
    /// Index of the gateway that it is sent to first.
    pub gateway: usize,
}

/// Draws the arrivals of an experiment, ordered by time, as a Poisson process in
/// each phase. The same experiment always gives the same plan.
pub fn plan(experiment: &Experiment) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    let samplers: Vec<_> = experiment.kinds.iter().map(|kind| kind.keys.map(KeySampler::new)).collect();
    let mut arrivals = Vec::new();
    for (operation_number, at) in (0..).zip(draw_times(experiment, &mut rng)) {
        let kind = draw_kind(experiment, &mut rng);
        let key = samplers[kind].as_ref().map(|sampler| sampler.sample(&mut rng, at));
        let gateway = rng.random_range(0..experiment.gateways.len());
        arrivals.push(Arrival { at, kind, key, operation_number, gateway });
        let settings = &experiment.kinds[kind];
        if settings.protected && rng.random::<f64>() < settings.repeat.as_f64() {
            let other = (gateway + 1) % experiment.gateways.len();
            arrivals.push(Arrival { at, kind, key, operation_number, gateway: other });
        }
    }
    arrivals
}

fn draw_times(experiment: &Experiment, rng: &mut ChaCha8Rng) -> Vec<Span> {
    let mut times = Vec::new();
    let mut start = 0.0;
    for phase in &experiment.phases {
        let end = start + phase.span.as_secs_f64();
        let mut interval = || -(1.0 - rng.random::<f64>()).ln() / phase.rate.as_per_second();
        // A rate of 0 gives an infinite interval, and so no arrivals.
        let mut next = start + interval();
        while next < end {
            times.push(Span::from_micros((next * 1e6) as u64));
            next += interval();
        }
        start = end;
    }
    times
}

fn draw_kind(experiment: &Experiment, rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = experiment.kinds.iter().map(|kind| kind.weight).sum();
    let mut point = rng.random::<f64>() * total;
    let index = experiment.kinds.iter().position(|kind| {
        point -= kind.weight;
        point < 0.0
    });
    index.unwrap_or_default()
}
