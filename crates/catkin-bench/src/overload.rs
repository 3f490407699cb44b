//! Goodput and late answers when the offered load is twice the capacity.

use {
    crate::{
        arrivals::{Workload, arrivals, short_mean},
        measure::{Bound, Measure},
        simulation::{self, End, HOP_DELAY, Mode, Setup, UnitResult},
    },
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
};

const GOODPUT_MIN: f64 = 0.95;
const LATE_SHARE_MAX: f64 = 0.01;
const LOAD: f64 = 2.0;
const DURATION: Span = Span::from_secs(12);
/// Work that arrives later is not counted: the load ends soon after, so what is
/// left in the queues is served and not refused.
const COUNTED_UNTIL: Span = Span::from_secs(11);
const DEADLINE: Span = Span::from_millis(500);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for mode in Mode::ALL {
        let (goodput, late) = match mode {
            Mode::Keeper => (Bound::Min(GOODPUT_MIN), Bound::Max(LATE_SHARE_MAX)),
            _ => (Bound::None, Bound::None),
        };
        let result = overload(seed, &Setup::new(mode));
        let name = mode.name();
        list.push(Measure::new(format!("overload.{name}.goodput"), result.goodput, "share", goodput));
        list.push(Measure::new(format!("overload.{name}.late"), result.late_share, "share", late));
        list.push(Measure::info(format!("overload.{name}.goodput_of_slots"), result.slot_goodput, "share"));
        list.push(Measure::info(format!("overload.{name}.refused_after_wait"), result.waited_share, "share"));
    }
    list.extend(one_ahead(seed));
    list
}

/// Measures keepers whose policy has one slot more than each server, so that
/// the next request is on its way while another one ends.
fn one_ahead(seed: u64) -> Vec<Measure> {
    let mut setup = Setup::new(Mode::Keeper);
    setup.policy.slots += 1;
    let result = overload(seed, &setup);
    vec![
        Measure::info("overload.one_ahead.goodput_of_slots", result.slot_goodput, "share"),
        Measure::info("overload.one_ahead.late", result.late_share, "share"),
    ]
}

struct Overload {
    goodput: f64,
    slot_goodput: f64,
    late_share: f64,
    waited_share: f64,
}

fn overload(seed: u64, setup: &Setup) -> Overload {
    // A keeper counts a slot as used from sending until the answer arrives, so
    // each request occupies its slot for one round trip more than its run.
    let capacity = setup.slots() / (short_mean() + 2.0 * HOP_DELAY.as_secs_f64());
    let slot_capacity = setup.slots() / short_mean();
    let work = arrivals(&Workload {
        seed,
        duration: DURATION,
        short_rate: &|_| LOAD * capacity,
        long_rate: &|_| 0.0,
        short_deadline: DEADLINE,
        idempotent_share: 1.0,
    });
    let outcomes = simulation::run(setup, &work);
    let span = COUNTED_UNTIL.saturating_sub(setup.warm_up).as_secs_f64();
    let end = Time::default().after(COUNTED_UNTIL);
    let counted: Vec<&UnitResult> =
        outcomes.of(Class::Short).filter(|(work, _)| work.at < end).map(|(_, result)| result).collect();
    let count = |test: &dyn Fn(&UnitResult) -> bool| counted.iter().filter(|r| test(r)).count() as f64;
    let good = count(&|result| result.end == End::Good);
    let late = count(&|result| result.end == End::Late);
    let waited = count(&|result| result.waited && result.end == End::Shed);
    let total = counted.len() as f64;
    Overload {
        goodput: good / span / capacity,
        slot_goodput: good / span / slot_capacity,
        late_share: late / (good + late),
        waited_share: waited / total,
    }
}
