//! Head-of-line blocking: short work with and without uploads.

use {
    crate::{
        arrivals::{Plan, arrivals, long_mean, short_mean},
        measure::{Bound, Measure},
        world::{self, Mode, Setup},
    },
    catkin::{types::Span, wire::Class},
};

const RATIO_MAX: f64 = 1.5;
const SHORT_LOAD: f64 = 0.2;
/// Uploads offered, as a share of all slots; half of the slots may take them.
const LONG_LOAD: f64 = 0.6;
const LENGTH: Span = Span::from_secs(20);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let keeper = ratio(seed, Setup::new(Mode::Keeper));
    let mut list = vec![
        Measure::info("blocking.keeper.p99_alone", keeper.alone, "ms"),
        Measure::info("blocking.keeper.p99_with_uploads", keeper.beside, "ms"),
        Measure::new("blocking.keeper.ratio", keeper.beside / keeper.alone, "ratio", Bound::Max(RATIO_MAX)),
        Measure::info("blocking.keeper.long_slots", keeper.long_slots, "share"),
    ];
    for mode in [Mode::Direct, Mode::Random, Mode::Reported, Mode::Fifo] {
        let other = ratio(seed, Setup::new(mode));
        let name = mode.name();
        list.push(Measure::info(format!("blocking.{name}.p99_with_uploads"), other.beside, "ms"));
        list.push(Measure::info(format!("blocking.{name}.ratio"), other.beside / other.alone, "ratio"));
    }
    let mut setup = Setup::new(Mode::Keeper);
    setup.policy.slots += 1;
    let ahead = ratio(seed, setup);
    list.push(Measure::info("blocking.one_ahead.ratio", ahead.beside / ahead.alone, "ratio"));
    list
}

struct Ratio {
    alone: f64,
    beside: f64,
    long_slots: f64,
}

fn ratio(seed: u64, setup: Setup) -> Ratio {
    let setup = Setup { warm: Span::from_secs(5), ..setup };
    let short = SHORT_LOAD * setup.slots() / short_mean();
    let long = LONG_LOAD * setup.slots() / long_mean();
    let plan = |long: f64| {
        let work = arrivals(&Plan {
            seed,
            length: LENGTH,
            short: &|_| short,
            long: &|_| long,
            deadline: Span::from_secs(2),
            idempotent: 1.0,
        });
        world::run(&setup, &work)
    };
    let (alone, beside) = (plan(0.0), plan(long));
    let end = catkin::types::Time::default().after(LENGTH);
    let long_slots = beside.in_use(&setup, beside.warm, end) - SHORT_LOAD;
    Ratio {
        alone: alone.quantile(Class::Short, 0.99),
        beside: beside.quantile(Class::Short, 0.99),
        long_slots,
    }
}
