//! Tries for each request when a third of the servers fail, and the two
//! counts that have to be zero in random fault schedules.

use {
    crate::{
        arrivals::{Plan, arrivals, short_mean},
        measure::{Bound, Measure},
        world::{self, End, Fault, Health, Mode, Outcomes, Setup, WIRE},
    },
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const ATTEMPTS_MAX: f64 = 1.1;
const LOAD: f64 = 0.4;
/// A server that is four times slower than usual can still do this.
const ONE_LOAD: f64 = 0.15;
const LENGTH: Span = Span::from_secs(12);
const FAIL_AT: Span = Span::from_secs(4);
const OPERATIONS_MIN: f64 = 100_000.0;
const SCHEDULES: u64 = 10;
const SCHEDULE_FAULTS: usize = 60;

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for (name, health) in [("dead", Health::Dead), ("frozen", Health::Frozen), ("shedding", Health::Shedding)]
    {
        list.extend(third(seed, name, health));
    }
    for (name, health) in [("slow", Health::Slow), ("thrashing", Health::Thrashing)] {
        list.extend(one(seed, name, health));
    }
    list.extend(schedules(seed));
    list
}

fn third(seed: u64, name: &str, health: Health) -> Vec<Measure> {
    let mut setup = Setup { servers: 9, ..Setup::new(Mode::Keeper) };
    let at = Time::default().after(FAIL_AT);
    setup.faults = (0..setup.servers / 3).map(|server| Fault { at, server, health }).collect();
    let outcomes = run(seed, &setup, LOAD);
    let after = || outcomes.of(Class::Short).filter(|(work, _)| work.at >= at);
    let count = after().count() as f64;
    let tries: f64 = after().map(|(_, fate)| f64::from(fate.tries)).sum();
    let good = after().filter(|(_, fate)| fate.end == End::Good).count() as f64;
    vec![
        Measure::new(
            format!("faults.{name}.attempts"),
            tries / count,
            "per_request",
            Bound::Max(ATTEMPTS_MAX),
        ),
        Measure::info(format!("faults.{name}.answered"), good / count, "share"),
    ]
}

/// Measures one server alone, as for a service divided by key, that gets
/// slower in the middle of the run.
fn one(seed: u64, name: &str, health: Health) -> Vec<Measure> {
    let mut setup = Setup { servers: 1, vms: 1, ..Setup::new(Mode::Keeper) };
    let at = Time::default().after(FAIL_AT);
    setup.faults = vec![Fault { at, server: 0, health }];
    let outcomes = run(seed, &setup, ONE_LOAD);
    let after: Vec<_> = outcomes.of(Class::Short).filter(|(work, _)| work.at >= at).collect();
    let good = || after.iter().filter(|(_, fate)| fate.end == End::Good);
    let answered = good().count() as f64 / after.len() as f64;
    let p99 = world::quantile(good().map(|(_, fate)| fate.span), 0.99);
    vec![
        Measure::info(format!("faults.{name}.answered"), answered, "share"),
        Measure::info(format!("faults.{name}.short_p99"), p99, "ms"),
    ]
}

fn run(seed: u64, setup: &Setup, load: f64) -> Outcomes {
    let capacity = setup.slots() / (short_mean() + 2.0 * WIRE.as_secs_f64());
    let work = arrivals(&Plan {
        seed,
        length: LENGTH,
        short: &|_| load * capacity,
        long: &|_| 0.0,
        deadline: Span::from_secs(1),
        idempotent: 0.5,
    });
    world::run(setup, &work)
}

fn schedules(seed: u64) -> Vec<Measure> {
    let (mut operations, mut twice, mut false_refusals, mut lost) = (0.0, 0.0, 0.0, 0.0);
    for number in 0..SCHEDULES {
        let seed = seed.wrapping_mul(1_000).wrapping_add(number);
        let mut setup = Setup { seed, warm: Span::ZERO, ..Setup::new(Mode::Keeper) };
        setup.faults = random_faults(seed, setup.servers);
        let outcomes = run(seed, &setup, LOAD);
        let once = || outcomes.of(Class::Short).filter(|(work, _)| !work.idempotent);
        operations += once().count() as f64;
        twice += once().filter(|(_, fate)| fate.runs > 1).count() as f64;
        lost += once().filter(|(_, fate)| fate.end == End::Unknown).count() as f64;
        let shed = outcomes.of(Class::Short).filter(|(_, fate)| fate.end == End::Shed);
        false_refusals += shed.filter(|(_, fate)| fate.runs > 0).count() as f64;
    }
    vec![
        Measure::new("faults.random.operations", operations, "requests", Bound::Min(OPERATIONS_MIN)),
        Measure::new("faults.random.run_twice", twice, "requests", Bound::Max(0.0)),
        Measure::new("faults.random.not_run_but_ran", false_refusals, "requests", Bound::Max(0.0)),
        Measure::info("faults.random.unknown", lost, "requests"),
    ]
}

fn random_faults(seed: u64, servers: usize) -> Vec<Fault> {
    const STATES: [Health; 5] = [Health::Up, Health::Up, Health::Dead, Health::Frozen, Health::Shedding];
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let fault = |_| Fault {
        at: Time::from_micros(random.random_range(0..LENGTH.as_micros())),
        server: random.random_range(0..servers),
        health: STATES[random.random_range(0..STATES.len())],
    };
    (0..SCHEDULE_FAULTS).map(fault).collect()
}
