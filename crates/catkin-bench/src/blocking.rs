//! Head-of-line blocking: short work with and without uploads.

use {
    crate::{
        arrivals::{Workload, arrivals, long_mean, short_mean},
        measure::{Bound, Measure},
        simulation::{self, Mode, Setup},
    },
    catkin::{types::Span, wire::Class},
};

const P99_RATIO_MAX: f64 = 1.5;
const SHORT_LOAD: f64 = 0.2;
/// Offered uploads as a share of all slots; half of the slots accept uploads.
const LONG_LOAD: f64 = 0.6;
const DURATION: Span = Span::from_secs(20);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let keeper = latencies(seed, Setup::new(Mode::Keeper));
    let mut list = vec![
        Measure::info("blocking.keeper.p99_alone", keeper.p99_alone, "ms"),
        Measure::info("blocking.keeper.p99_with_uploads", keeper.p99_mixed, "ms"),
        Measure::new(
            "blocking.keeper.ratio",
            keeper.p99_mixed / keeper.p99_alone,
            "ratio",
            Bound::Max(P99_RATIO_MAX),
        ),
        Measure::info("blocking.keeper.long_slots", keeper.long_slots, "share"),
    ];
    for mode in [Mode::Direct, Mode::Random, Mode::Reported, Mode::Fifo] {
        let other = latencies(seed, Setup::new(mode));
        let name = mode.name();
        list.push(Measure::info(format!("blocking.{name}.p99_with_uploads"), other.p99_mixed, "ms"));
        list.push(Measure::info(
            format!("blocking.{name}.ratio"),
            other.p99_mixed / other.p99_alone,
            "ratio",
        ));
    }
    let mut setup = Setup::new(Mode::Keeper);
    setup.policy.slots += 1;
    let one_ahead = latencies(seed, setup);
    list.push(Measure::info("blocking.one_ahead.ratio", one_ahead.p99_mixed / one_ahead.p99_alone, "ratio"));
    list
}

/// 99th percentiles of short work, in milliseconds, and the share of all slots
/// that uploads use.
struct Latencies {
    p99_alone: f64,
    p99_mixed: f64,
    long_slots: f64,
}

fn latencies(seed: u64, setup: Setup) -> Latencies {
    let setup = Setup { warm_up: Span::from_secs(5), ..setup };
    let short_rate = SHORT_LOAD * setup.slots() / short_mean();
    let long_rate = LONG_LOAD * setup.slots() / long_mean();
    let run = |long_rate: f64| {
        let work = arrivals(&Workload {
            seed,
            duration: DURATION,
            short_rate: &|_| short_rate,
            long_rate: &|_| long_rate,
            short_deadline: Span::from_secs(2),
            idempotent_share: 1.0,
        });
        simulation::run(&setup, &work)
    };
    let (alone, mixed) = (run(0.0), run(long_rate));
    let end = catkin::types::Time::default().after(DURATION);
    let long_slots = mixed.in_use(&setup, mixed.counted_from, end) - SHORT_LOAD;
    Latencies {
        p99_alone: alone.quantile(Class::Short, 0.99),
        p99_mixed: mixed.quantile(Class::Short, 0.99),
        long_slots,
    }
}
