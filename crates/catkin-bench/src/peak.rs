//! Recovery after a demand peak: a tenfold rise in 2 s, then a fall.

use {
    crate::{
        arrivals::{Plan, arrivals, short_mean},
        measure::{Bound, Measure},
        world::{self, End, Mode, Outcomes, Setup, WIRE},
    },
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
};

const RECOVERY_MAX: f64 = 2.0;
const LOW: f64 = 0.15;
const RISE: f64 = 10.0;
const RISE_START: Span = Span::from_secs(6);
const RISE_END: Span = Span::from_secs(8);
const FALL: Span = Span::from_secs(9);
const LENGTH: Span = Span::from_secs(14);
const DEADLINE: Span = Span::from_millis(500);
const WINDOW: Span = Span::from_millis(200);
/// A window has recovered when its p99 is at most this many times the p99
/// before the peak and nothing in it is refused or late.
const USUAL: f64 = 1.5;

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for mode in Mode::ALL {
        let bound = if mode == Mode::Keeper { Bound::Max(RECOVERY_MAX) } else { Bound::None };
        let setup = Setup::new(mode);
        let outcomes = peak(seed, &setup);
        let name = mode.name();
        let peak = outcomes.in_use(&setup, at(RISE_END), at(FALL));
        let lost = outcomes.of(Class::Short).filter(|(_, fate)| fate.end != End::Good).count() as f64;
        list.push(Measure::new(format!("peak.{name}.recovery"), recovery(&outcomes), "s", bound));
        list.push(Measure::info(format!("peak.{name}.slots_at_peak"), peak, "share"));
        list.push(Measure::info(format!("peak.{name}.not_served"), lost, "requests"));
    }
    list
}

fn at(span: Span) -> Time {
    Time::default().after(span)
}

fn rate(now: Time) -> f64 {
    if now < at(RISE_START) || now >= at(FALL) {
        return LOW;
    }
    let part = now.since(at(RISE_START)).as_secs_f64() / RISE_END.saturating_sub(RISE_START).as_secs_f64();
    LOW * (1.0 + (RISE - 1.0) * part.min(1.0))
}

fn peak(seed: u64, setup: &Setup) -> Outcomes {
    let capacity = setup.slots() / (short_mean() + 2.0 * WIRE.as_secs_f64());
    let work = arrivals(&Plan {
        seed,
        length: LENGTH,
        short: &|now| rate(now) * capacity,
        long: &|_| 0.0,
        deadline: DEADLINE,
        idempotent: 1.0,
    });
    world::run(setup, &work)
}

/// Returns the seconds from the fall to the end of the last window that was
/// not yet as before the peak.
fn recovery(outcomes: &Outcomes) -> f64 {
    let before = outcomes.of(Class::Short).filter(|(work, _)| work.at < at(RISE_START));
    let usual = world::quantile(before.map(|(_, fate)| fate.span), 0.99);
    let mut end = Span::ZERO;
    let mut start = FALL;
    while start < LENGTH {
        if !is_usual(outcomes, start, usual) {
            end = (start + WINDOW).saturating_sub(FALL);
        }
        start += WINDOW;
    }
    end.as_secs_f64()
}

fn is_usual(outcomes: &Outcomes, start: Span, usual: f64) -> bool {
    let inside = |at_: Time| at_ >= at(start) && at_ < at(start + WINDOW);
    let window: Vec<_> = outcomes.of(Class::Short).filter(|(work, _)| inside(work.at)).collect();
    let served = window.iter().all(|(_, fate)| fate.end == End::Good);
    served && world::quantile(window.iter().map(|(_, fate)| fate.span), 0.99) <= usual * USUAL
}
