//! Attempts per request when a third of the servers fail, the effect of one
//! slow server, and the two counts that must be zero in random fault schedules:
//! work that ran twice and work that was refused as not run but ran.

use {
    crate::{
        arrivals::{Workload, arrivals, short_mean},
        measure::{Bound, Measure},
        simulation::{self, End, Fault, HOP_DELAY, Health, Mode, Outcomes, Setup},
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
/// A server that needs four times as long as usual still has the capacity for
/// this load.
const SINGLE_LOAD: f64 = 0.15;
const DURATION: Span = Span::from_secs(12);
const FAIL_AT: Span = Span::from_secs(4);
const OPERATIONS_MIN: f64 = 100_000.0;
const SCHEDULES: u64 = 10;
const SCHEDULE_FAULTS: usize = 60;

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for (name, health) in [("dead", Health::Dead), ("frozen", Health::Frozen), ("shedding", Health::Shedding)]
    {
        list.extend(third_of_servers(seed, name, health));
    }
    for (name, health) in [("slow", Health::Slow), ("thrashing", Health::Thrashing)] {
        list.extend(single_server(seed, name, health));
    }
    list.extend(random_schedules(seed));
    list
}

/// Measures faults of a third of the servers at the same time.
fn third_of_servers(seed: u64, name: &str, health: Health) -> Vec<Measure> {
    let mut setup = Setup { servers: 9, ..Setup::new(Mode::Keeper) };
    let at = Time::default().after(FAIL_AT);
    setup.faults = (0..setup.servers / 3).map(|server| Fault { at, server, health }).collect();
    let outcomes = run(seed, &setup, LOAD);
    let after = || outcomes.of(Class::Short).filter(|(work, _)| work.at >= at);
    let count = after().count() as f64;
    let attempts: f64 = after().map(|(_, result)| f64::from(result.attempts)).sum();
    let good = after().filter(|(_, result)| result.end == End::Good).count() as f64;
    vec![
        Measure::new(
            format!("faults.{name}.attempts"),
            attempts / count,
            "per_request",
            Bound::Max(ATTEMPTS_MAX),
        ),
        Measure::info(format!("faults.{name}.answered"), good / count, "share"),
    ]
}

/// Measures a single server that becomes slower during the run. In a keyed
/// service, each key has only one server.
fn single_server(seed: u64, name: &str, health: Health) -> Vec<Measure> {
    let mut setup = Setup { servers: 1, vms: 1, ..Setup::new(Mode::Keeper) };
    let at = Time::default().after(FAIL_AT);
    setup.faults = vec![Fault { at, server: 0, health }];
    let outcomes = run(seed, &setup, SINGLE_LOAD);
    let after: Vec<_> = outcomes.of(Class::Short).filter(|(work, _)| work.at >= at).collect();
    let good = || after.iter().filter(|(_, result)| result.end == End::Good);
    let answered = good().count() as f64 / after.len() as f64;
    let p99 = simulation::quantile(good().map(|(_, result)| result.latency), 0.99);
    vec![
        Measure::info(format!("faults.{name}.answered"), answered, "share"),
        Measure::info(format!("faults.{name}.short_p99"), p99, "ms"),
    ]
}

fn run(seed: u64, setup: &Setup, load: f64) -> Outcomes {
    let capacity = setup.slots() / (short_mean() + 2.0 * HOP_DELAY.as_secs_f64());
    let work = arrivals(&Workload {
        seed,
        duration: DURATION,
        short_rate: &|_| load * capacity,
        long_rate: &|_| 0.0,
        short_deadline: Span::from_secs(1),
        idempotent_share: 0.5,
    });
    simulation::run(setup, &work)
}

fn random_schedules(seed: u64) -> Vec<Measure> {
    let (mut operations, mut run_twice, mut false_refusals, mut unknown) = (0.0, 0.0, 0.0, 0.0);
    for number in 0..SCHEDULES {
        let seed = seed.wrapping_mul(1_000).wrapping_add(number);
        let mut setup = Setup { seed, warm_up: Span::ZERO, ..Setup::new(Mode::Keeper) };
        setup.faults = random_faults(seed, setup.servers);
        let outcomes = run(seed, &setup, LOAD);
        let non_idempotent = || outcomes.of(Class::Short).filter(|(work, _)| !work.idempotent);
        operations += non_idempotent().count() as f64;
        run_twice += non_idempotent().filter(|(_, result)| result.runs > 1).count() as f64;
        unknown += non_idempotent().filter(|(_, result)| result.end == End::Unknown).count() as f64;
        let shed = outcomes.of(Class::Short).filter(|(_, result)| result.end == End::Shed);
        false_refusals += shed.filter(|(_, result)| result.runs > 0).count() as f64;
    }
    vec![
        Measure::new("faults.random.operations", operations, "requests", Bound::Min(OPERATIONS_MIN)),
        Measure::new("faults.random.run_twice", run_twice, "requests", Bound::Max(0.0)),
        Measure::new("faults.random.not_run_but_ran", false_refusals, "requests", Bound::Max(0.0)),
        Measure::info("faults.random.unknown", unknown, "requests"),
    ]
}

fn random_faults(seed: u64, servers: usize) -> Vec<Fault> {
    const STATES: [Health; 5] = [Health::Up, Health::Up, Health::Dead, Health::Frozen, Health::Shedding];
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let fault = |_| Fault {
        at: Time::from_micros(random.random_range(0..DURATION.as_micros())),
        server: random.random_range(0..servers),
        health: STATES[random.random_range(0..STATES.len())],
    };
    (0..SCHEDULE_FAULTS).map(fault).collect()
}
