//! Goodput at twice the capacity.

use {
    crate::{
        arrivals::{Plan, arrivals, short_mean},
        measure::{Bound, Measure},
        world::{self, End, Mode, Setup, WIRE},
    },
    catkin::{types::Span, wire::Class},
};

const GOODPUT_MIN: f64 = 0.95;
const LATE_MAX: f64 = 0.01;
const LOAD: f64 = 2.0;
const LENGTH: Span = Span::from_secs(12);
const DEADLINE: Span = Span::from_millis(500);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for mode in Mode::ALL {
        let (goodput, late) = match mode {
            Mode::Keeper => (Bound::Min(GOODPUT_MIN), Bound::Max(LATE_MAX)),
            _ => (Bound::None, Bound::None),
        };
        let result = overload(seed, mode);
        let name = mode.name();
        list.push(Measure::new(format!("overload.{name}.goodput"), result.goodput, "share", goodput));
        list.push(Measure::new(format!("overload.{name}.late"), result.late, "share", late));
        list.push(Measure::info(format!("overload.{name}.goodput_of_slots"), result.raw, "share"));
        list.push(Measure::info(format!("overload.{name}.refused_after_wait"), result.waited, "share"));
    }
    list
}

struct Overload {
    goodput: f64,
    raw: f64,
    late: f64,
    waited: f64,
}

fn overload(seed: u64, mode: Mode) -> Overload {
    let setup = Setup::new(mode);
    // A keeper counts a slot as used from sending until the answer is back,
    // so the capacity is that of the slots with one round trip.
    let capacity = setup.slots() / (short_mean() + 2.0 * WIRE.as_secs_f64());
    let raw = setup.slots() / short_mean();
    let work = arrivals(&Plan {
        seed,
        length: LENGTH,
        short: &|_| LOAD * capacity,
        long: &|_| 0.0,
        deadline: DEADLINE,
        idempotent: 1.0,
    });
    let outcomes = world::run(&setup, &work);
    let span = LENGTH.saturating_sub(setup.warm).as_secs_f64();
    let good = outcomes.count(Class::Short, End::Good);
    let late = outcomes.count(Class::Short, End::Late);
    let all = outcomes.of(Class::Short).count() as f64;
    let waited =
        outcomes.of(Class::Short).filter(|(_, fate)| fate.waited && fate.end == End::Shed).count() as f64;
    Overload {
        goodput: good / span / capacity,
        raw: good / span / raw,
        late: late / (good + late),
        waited: waited / all,
    }
}
