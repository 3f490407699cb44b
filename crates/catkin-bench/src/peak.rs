//! Recovery after a load peak: the load rises tenfold within 2 s, stays for
//! 1 s and drops back at once.

use {
    crate::{
        arrivals::{Workload, arrivals, short_mean},
        measure::{Bound, Measure},
        simulation::{self, End, HOP_DELAY, Mode, Outcomes, Setup},
    },
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
};

const RECOVERY_SECONDS_MAX: f64 = 2.0;
const BASE_LOAD: f64 = 0.15;
const PEAK_FACTOR: f64 = 10.0;
const RISE_START: Span = Span::from_secs(6);
const RISE_END: Span = Span::from_secs(8);
const PEAK_END: Span = Span::from_secs(9);
const DURATION: Span = Span::from_secs(14);
const DEADLINE: Span = Span::from_millis(500);
const WINDOW: Span = Span::from_millis(200);
/// A window has recovered when its p99 is at most this many times the p99
/// before the peak and none of its requests is refused or late.
const P99_RATIO_MAX: f64 = 1.5;

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let mut list = Vec::new();
    for mode in Mode::ALL {
        let bound = if mode == Mode::Keeper { Bound::Max(RECOVERY_SECONDS_MAX) } else { Bound::None };
        let setup = Setup::new(mode);
        let outcomes = run_peak(seed, &setup);
        let name = mode.name();
        let in_use = outcomes.in_use(&setup, at(RISE_END), at(PEAK_END));
        let unserved = outcomes.of(Class::Short).filter(|(_, result)| result.end != End::Good).count() as f64;
        list.push(Measure::new(format!("peak.{name}.recovery"), recovery(&outcomes), "s", bound));
        list.push(Measure::info(format!("peak.{name}.slots_at_peak"), in_use, "share"));
        list.push(Measure::info(format!("peak.{name}.not_served"), unserved, "requests"));
    }
    list
}

fn at(span: Span) -> Time {
    Time::default().after(span)
}

fn rate(now: Time) -> f64 {
    if now < at(RISE_START) || now >= at(PEAK_END) {
        return BASE_LOAD;
    }
    let progress =
        now.since(at(RISE_START)).as_secs_f64() / RISE_END.saturating_sub(RISE_START).as_secs_f64();
    BASE_LOAD * (1.0 + (PEAK_FACTOR - 1.0) * progress.min(1.0))
}

fn run_peak(seed: u64, setup: &Setup) -> Outcomes {
    let capacity = setup.slots() / (short_mean() + 2.0 * HOP_DELAY.as_secs_f64());
    let work = arrivals(&Workload {
        seed,
        duration: DURATION,
        short_rate: &|now| rate(now) * capacity,
        long_rate: &|_| 0.0,
        short_deadline: DEADLINE,
        idempotent_share: 1.0,
    });
    simulation::run(setup, &work)
}

/// Returns the seconds from the end of the peak to the end of the last window
/// that had not recovered.
fn recovery(outcomes: &Outcomes) -> f64 {
    let before = outcomes.of(Class::Short).filter(|(work, _)| work.at < at(RISE_START));
    let baseline = simulation::quantile(before.map(|(_, result)| result.latency), 0.99);
    let mut end = Span::ZERO;
    let mut start = PEAK_END;
    while start < DURATION {
        if !has_recovered(outcomes, start, baseline) {
            end = (start + WINDOW).saturating_sub(PEAK_END);
        }
        start += WINDOW;
    }
    end.as_secs_f64()
}

fn has_recovered(outcomes: &Outcomes, start: Span, baseline: f64) -> bool {
    let inside = |time: Time| time >= at(start) && time < at(start + WINDOW);
    let window: Vec<_> = outcomes.of(Class::Short).filter(|(work, _)| inside(work.at)).collect();
    let served = window.iter().all(|(_, result)| result.end == End::Good);
    served
        && simulation::quantile(window.iter().map(|(_, result)| result.latency), 0.99)
            <= baseline * P99_RATIO_MAX
}
