//! Deterministic arrivals: the same seed gives the same work.

use {
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const SHORT_MIN: Span = Span::from_millis(1);
const SHORT_MEAN: Span = Span::from_millis(4);
/// One short unit in 500 runs 40 times longer than the rest.
const TAIL_SHARE: f64 = 0.002;
const TAIL_FACTOR: f64 = 40.0;
const LONG_MIN: Span = Span::from_secs(2);
const LONG_MEAN: Span = Span::from_secs(1);
const STEP: Span = Span::from_millis(10);

/// Mean run of short work, in seconds.
pub(crate) fn short_mean() -> f64 {
    (SHORT_MIN + SHORT_MEAN).as_secs_f64() * (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0))
}

/// Mean run of long work, in seconds.
pub(crate) fn long_mean() -> f64 {
    (LONG_MIN + LONG_MEAN).as_secs_f64()
}

/// One unit of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// When it arrives.
    pub(crate) at: Time,
    /// Its class.
    pub(crate) class: Class,
    /// How long a server runs it.
    pub(crate) run: Span,
    /// Time from arrival to deadline.
    pub(crate) deadline: Span,
    /// Whether it may be sent again.
    pub(crate) idempotent: bool,
    /// Random number that picks the entry VM.
    pub(crate) pick: u64,
}

/// What arrives.
pub(crate) struct Plan<'a> {
    /// Seed of all random numbers.
    pub(crate) seed: u64,
    /// How long work arrives.
    pub(crate) length: Span,
    /// Short units a second, by time.
    pub(crate) short: &'a dyn Fn(Time) -> f64,
    /// Long units a second, by time.
    pub(crate) long: &'a dyn Fn(Time) -> f64,
    /// Deadline of short work.
    pub(crate) deadline: Span,
    /// Share of short work that may be sent again.
    pub(crate) idempotent: f64,
}

/// Deadline of long work.
pub(crate) const LONG_DEADLINE: Span = Span::from_secs(30);

/// Returns the work of a plan in the order of arrival.
pub(crate) fn arrivals(plan: &Plan<'_>) -> Vec<Work> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut work = Vec::new();
    let mut step = Time::default();
    while step < Time::default().after(plan.length) {
        for (class, rate) in [(Class::Short, (plan.short)(step)), (Class::Long, (plan.long)(step))] {
            for at in poisson(&mut random, step, rate) {
                work.push(unit(&mut random, plan, class, at));
            }
        }
        step = step.after(STEP);
    }
    work.sort_by_key(|unit| unit.at);
    work
}

fn unit(random: &mut ChaCha8Rng, plan: &Plan<'_>, class: Class, at: Time) -> Work {
    let run = match class {
        Class::Short => short_run(random),
        Class::Long => LONG_MIN + exponential(random, LONG_MEAN),
    };
    let deadline = if class == Class::Short { plan.deadline } else { LONG_DEADLINE };
    let idempotent = class == Class::Short && random.random::<f64>() < plan.idempotent;
    Work { at, class, run, deadline, idempotent, pick: random.random() }
}

fn short_run(random: &mut ChaCha8Rng) -> Span {
    let run = SHORT_MIN + exponential(random, SHORT_MEAN);
    if random.random::<f64>() < TAIL_SHARE { run.scale(TAIL_FACTOR) } else { run }
}

fn exponential(random: &mut ChaCha8Rng, mean: Span) -> Span {
    let uniform: f64 = random.random();
    mean.scale(-(1.0 - uniform).ln())
}

fn poisson(random: &mut ChaCha8Rng, start: Time, rate: f64) -> Vec<Time> {
    let mut times = Vec::new();
    if rate <= 0.0 {
        return times;
    }
    let gap = Span::from_micros((1e6 / rate) as u64);
    let mut at = start.after(exponential(random, gap));
    while at < start.after(STEP) {
        times.push(at);
        at = at.after(exponential(random, gap));
    }
    times
}
