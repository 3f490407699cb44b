//! The two candidates for dispatch and the baselines on the same arrivals.

use {
    crate::{
        arrivals::{Plan, Work, arrivals, long_mean, short_mean},
        measure::Measure,
        world::{self, End, Mode, Setup, WIRE},
    },
    catkin::{
        types::{Span, Time},
        wire::Class,
    },
};

const SHORT_LOAD: f64 = 0.35;
const LONG_LOAD: f64 = 0.25;
const PEAK_LOAD: f64 = 1.5;
const PEAK_START: Span = Span::from_secs(10);
const PEAK_END: Span = Span::from_secs(12);
/// Ten times as often as the traffic of a keeper allows.
const OFTEN: Span = Span::from_millis(25);
const LENGTH: Span = Span::from_secs(16);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let work = mixed(seed);
    let modes = Mode::ALL.into_iter().map(|mode| (mode.name(), Setup::new(mode)));
    let often = Setup { gossip: OFTEN, ..Setup::new(Mode::Direct) };
    let setups = modes.chain([("direct_25ms", often)]);
    setups.flat_map(|(name, setup)| compare(name, setup, &work)).collect()
}

/// Short work and uploads at 60% of the slots, with a peak of short work.
fn mixed(seed: u64) -> Vec<Work> {
    let slots = Setup::new(Mode::Keeper).slots();
    let short = slots / (short_mean() + 2.0 * WIRE.as_secs_f64());
    let peak = |now: Time| now >= at(PEAK_START) && now < at(PEAK_END);
    arrivals(&Plan {
        seed,
        length: LENGTH,
        short: &|now| short * if peak(now) { PEAK_LOAD } else { SHORT_LOAD },
        long: &|_| LONG_LOAD * slots / long_mean(),
        deadline: Span::from_millis(500),
        idempotent: 1.0,
    })
}

fn at(span: Span) -> Time {
    Time::default().after(span)
}

fn compare(name: &str, setup: Setup, work: &[Work]) -> Vec<Measure> {
    let setup = Setup { warm: Span::from_secs(4), ..setup };
    let outcomes = world::run(&setup, work);
    let calm = || outcomes.of(Class::Short).filter(|(work, _)| work.at < at(PEAK_START));
    let good = |share| {
        let spans = calm().filter(|(_, fate)| fate.end == End::Good).map(|(_, fate)| fate.span);
        world::quantile(spans, share)
    };
    let all = outcomes.of(Class::Short).count() as f64;
    let hops: f64 = outcomes.of(Class::Short).map(|(_, fate)| f64::from(fate.hops)).sum();
    vec![
        Measure::info(format!("compare.{name}.short_p50"), good(0.5), "ms"),
        Measure::info(format!("compare.{name}.short_p99"), good(0.99), "ms"),
        Measure::info(format!("compare.{name}.peak_p99"), outcomes.quantile(Class::Short, 0.99), "ms"),
        Measure::info(
            format!("compare.{name}.slots_at_peak"),
            outcomes.in_use(&setup, at(PEAK_START), at(PEAK_END)),
            "share",
        ),
        Measure::info(
            format!("compare.{name}.short_shed"),
            outcomes.count(Class::Short, End::Shed) / all,
            "share",
        ),
        Measure::info(
            format!("compare.{name}.short_late"),
            outcomes.count(Class::Short, End::Late) / all,
            "share",
        ),
        Measure::info(
            format!("compare.{name}.long_good"),
            outcomes.count(Class::Long, End::Good),
            "requests",
        ),
        Measure::info(
            format!("compare.{name}.long_shed"),
            outcomes.count(Class::Long, End::Shed),
            "requests",
        ),
        Measure::info(format!("compare.{name}.hops"), hops / all, "per_request"),
    ]
}
