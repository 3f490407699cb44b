//! Arrivals of work from a seeded random generator: the same seed gives the
//! same work.

use {
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const SHORT_RUN_MIN: Span = Span::from_millis(1);
const SHORT_EXTRA_MEAN: Span = Span::from_millis(4);
/// One short unit in 500 runs 40 times as long as drawn.
const SLOW_SHARE: f64 = 0.002;
const SLOW_FACTOR: f64 = 40.0;
const LONG_RUN_MIN: Span = Span::from_secs(2);
const LONG_EXTRA_MEAN: Span = Span::from_secs(1);
/// Arrival rates are constant within a step.
const RATE_STEP: Span = Span::from_millis(10);

/// Returns the mean run time of short work, in seconds.
pub(crate) fn short_mean() -> f64 {
    (SHORT_RUN_MIN + SHORT_EXTRA_MEAN).as_secs_f64() * (1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0))
}

/// Returns the mean run time of long work, in seconds.
pub(crate) fn long_mean() -> f64 {
    (LONG_RUN_MIN + LONG_EXTRA_MEAN).as_secs_f64()
}

/// One unit of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// Time of arrival.
    pub(crate) at: Time,
    pub(crate) class: Class,
    /// Time that a server needs for it.
    pub(crate) run_time: Span,
    /// Time from arrival to deadline.
    pub(crate) deadline: Span,
    /// Whether it may be sent again after it may have run.
    pub(crate) idempotent: bool,
    /// Random number that selects the entry VM.
    pub(crate) entry_pick: u64,
}

/// Parameters from which arrivals are generated.
pub(crate) struct Workload<'a> {
    /// Seed of arrivals, run times and picks.
    pub(crate) seed: u64,
    /// Time during which work arrives.
    pub(crate) duration: Span,
    /// Short units a second, by time.
    pub(crate) short_rate: &'a dyn Fn(Time) -> f64,
    /// Long units a second, by time.
    pub(crate) long_rate: &'a dyn Fn(Time) -> f64,
    /// Time from the arrival of short work to its deadline.
    pub(crate) short_deadline: Span,
    /// Share of short work that is idempotent.
    pub(crate) idempotent_share: f64,
}

/// Time from the arrival of long work to its deadline.
pub(crate) const LONG_DEADLINE: Span = Span::from_secs(30);

/// Returns the work of a workload in the order of arrival.
pub(crate) fn arrivals(workload: &Workload<'_>) -> Vec<Work> {
    let mut random = ChaCha8Rng::seed_from_u64(workload.seed);
    let mut work = Vec::new();
    let mut step = Time::default();
    while step < Time::default().after(workload.duration) {
        for (class, rate) in
            [(Class::Short, (workload.short_rate)(step)), (Class::Long, (workload.long_rate)(step))]
        {
            for at in draw_arrivals(&mut random, step, rate) {
                work.push(draw_unit(&mut random, workload, class, at));
            }
        }
        step = step.after(RATE_STEP);
    }
    work.sort_by_key(|unit| unit.at);
    work
}

fn draw_unit(random: &mut ChaCha8Rng, workload: &Workload<'_>, class: Class, at: Time) -> Work {
    let run_time = match class {
        Class::Short => draw_run_time(random),
        Class::Long => LONG_RUN_MIN + draw_exponential(random, LONG_EXTRA_MEAN),
    };
    let deadline = if class == Class::Short { workload.short_deadline } else { LONG_DEADLINE };
    let idempotent = class == Class::Short && random.random::<f64>() < workload.idempotent_share;
    Work { at, class, run_time, deadline, idempotent, entry_pick: random.random() }
}

fn draw_run_time(random: &mut ChaCha8Rng) -> Span {
    let run_time = SHORT_RUN_MIN + draw_exponential(random, SHORT_EXTRA_MEAN);
    if random.random::<f64>() < SLOW_SHARE { run_time.scale(SLOW_FACTOR) } else { run_time }
}

fn draw_exponential(random: &mut ChaCha8Rng, mean: Span) -> Span {
    let uniform: f64 = random.random();
    mean.scale(-(1.0 - uniform).ln())
}

fn draw_arrivals(random: &mut ChaCha8Rng, start: Time, rate: f64) -> Vec<Time> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let mean_gap = Span::from_micros((1e6 / rate) as u64);
    let mut at = start.after(draw_exponential(random, mean_gap));
    while at < start.after(RATE_STEP) {
        times.push(at);
        at = at.after(draw_exponential(random, mean_gap));
    }
    times
}
