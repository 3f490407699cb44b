//! Goodput at twice the capacity.

use {
    crate::{
        arrivals::{Plan, arrivals, short_mean},
        measure::{Bound, Measure},
        world::{self, End, Fate, Mode, Setup, WIRE},
    },
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
};

const GOODPUT_MIN: f64 = 0.95;
const LATE_MAX: f64 = 0.01;
const LOAD: f64 = 2.0;
const LENGTH: Span = Span::from_secs(12);
/// Work that arrives later is not counted: the load ends then, and the rest of
/// the queues is served without being refused.
const COUNTED: Span = Span::from_secs(11);
const DEADLINE: Span = Span::from_millis(500);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for mode in Mode::ALL {
        let (goodput, late) = match mode {
            Mode::Keeper => (Bound::Min(GOODPUT_MIN), Bound::Max(LATE_MAX)),
            _ => (Bound::None, Bound::None),
        };
        let result = overload(seed, &Setup::new(mode));
        let name = mode.name();
        list.push(Measure::new(format!("overload.{name}.goodput"), result.goodput, "share", goodput));
        list.push(Measure::new(format!("overload.{name}.late"), result.late, "share", late));
        list.push(Measure::info(format!("overload.{name}.goodput_of_slots"), result.raw, "share"));
        list.push(Measure::info(format!("overload.{name}.refused_after_wait"), result.waited, "share"));
    }
    list.extend(ahead(seed));
    list
}

/// Measures a keeper that is told of one slot more than each server has, so
/// that a request is on its way while another one ends.
fn ahead(seed: u64) -> Vec<Measure> {
    let mut setup = Setup::new(Mode::Keeper);
    setup.policy.slots += 1;
    let result = overload(seed, &setup);
    vec![
        Measure::info("overload.one_ahead.goodput_of_slots", result.raw, "share"),
        Measure::info("overload.one_ahead.late", result.late, "share"),
    ]
}

struct Overload {
    goodput: f64,
    raw: f64,
    late: f64,
    waited: f64,
}

fn overload(seed: u64, setup: &Setup) -> Overload {
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
    let outcomes = world::run(setup, &work);
    let span = COUNTED.saturating_sub(setup.warm).as_secs_f64();
    let end = Time::default().after(COUNTED);
    let counted: Vec<&Fate> =
        outcomes.of(Class::Short).filter(|(work, _)| work.at < end).map(|(_, fate)| fate).collect();
    let count = |pass: &dyn Fn(&Fate) -> bool| counted.iter().filter(|fate| pass(fate)).count() as f64;
    let good = count(&|fate| fate.end == End::Good);
    let late = count(&|fate| fate.end == End::Late);
    let waited = count(&|fate| fate.waited && fate.end == End::Shed);
    let all = counted.len() as f64;
    Overload {
        goodput: good / span / capacity,
        raw: good / span / raw,
        late: late / (good + late),
        waited: waited / all,
    }
}
