//! Dispatch by keepers, direct dispatch and the baselines on the same arrivals.

use {
    crate::{
        arrivals::{Work, Workload, arrivals, long_mean, short_mean},
        measure::Measure,
        simulation::{self, End, HOP_DELAY, Mode, Setup},
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
/// Ten times as often as the traffic limit of a keeper allows.
const FREQUENT_GOSSIP_PERIOD: Span = Span::from_millis(25);
const DURATION: Span = Span::from_secs(16);

/// Returns the measures of this group.
pub(crate) fn measures(seed: u64) -> Vec<Measure> {
    let work = mixed(seed);
    let modes = Mode::ALL.into_iter().map(|mode| (mode.name(), Setup::new(mode)));
    let frequent = Setup { gossip_period: FREQUENT_GOSSIP_PERIOD, ..Setup::new(Mode::Direct) };
    let setups = modes.chain([("direct_25ms", frequent)]);
    setups.flat_map(|(name, setup)| compare(name, setup, &work)).collect()
}

/// Short work and uploads at 60% of the slots, with a peak of short work.
fn mixed(seed: u64) -> Vec<Work> {
    let slots = Setup::new(Mode::Keeper).slots();
    let short_capacity = slots / (short_mean() + 2.0 * HOP_DELAY.as_secs_f64());
    let is_peak = |now: Time| now >= at(PEAK_START) && now < at(PEAK_END);
    arrivals(&Workload {
        seed,
        duration: DURATION,
        short_rate: &|now| short_capacity * if is_peak(now) { PEAK_LOAD } else { SHORT_LOAD },
        long_rate: &|_| LONG_LOAD * slots / long_mean(),
        short_deadline: Span::from_millis(500),
        idempotent_share: 1.0,
    })
}

fn at(span: Span) -> Time {
    Time::default().after(span)
}

fn compare(name: &str, setup: Setup, work: &[Work]) -> Vec<Measure> {
    let setup = Setup { warm_up: Span::from_secs(4), ..setup };
    let outcomes = simulation::run(&setup, work);
    let before_peak = || outcomes.of(Class::Short).filter(|(work, _)| work.at < at(PEAK_START));
    let latency = |share| {
        let latencies =
            before_peak().filter(|(_, result)| result.end == End::Good).map(|(_, result)| result.latency);
        simulation::quantile(latencies, share)
    };
    let total = outcomes.of(Class::Short).count() as f64;
    let hops: f64 = outcomes.of(Class::Short).map(|(_, result)| f64::from(result.hops)).sum();
    vec![
        Measure::info(format!("compare.{name}.short_p50"), latency(0.5), "ms"),
        Measure::info(format!("compare.{name}.short_p99"), latency(0.99), "ms"),
        Measure::info(format!("compare.{name}.peak_p99"), outcomes.quantile(Class::Short, 0.99), "ms"),
        Measure::info(
            format!("compare.{name}.slots_at_peak"),
            outcomes.in_use(&setup, at(PEAK_START), at(PEAK_END)),
            "share",
        ),
        Measure::info(
            format!("compare.{name}.short_shed"),
            outcomes.count(Class::Short, End::Shed) / total,
            "share",
        ),
        Measure::info(
            format!("compare.{name}.short_late"),
            outcomes.count(Class::Short, End::Late) / total,
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
        Measure::info(format!("compare.{name}.hops"), hops / total, "per_request"),
    ]
}
