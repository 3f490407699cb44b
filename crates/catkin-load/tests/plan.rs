//! Checks that the plan of arrivals follows the experiment.

use {
    catkin::{
        settings::{Settings, parse, read},
        types::{Share, Span},
    },
    catkin_load::{Experiment, KeyDistribution, KeySampler, plan},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::path::Path,
};

const DRAWS: usize = 20_000;

fn experiment() -> Experiment {
    parse(
        "
name: plan
seed: 7
gateways: ['127.0.0.1:1', '127.0.0.1:2']
phases: [{span: 10s, rate: 100}, {span: 5s, rate: 0}, {span: 1s, rate: 1000}]
kinds:
  - {name: lookup, service: planoteca, weight: 3, deadline: 1s, keys: {by: even, count: 10}}
  - {name: order, service: pedidos, weight: 1, deadline: 1s, method: post, protected: true, repeat: 1.0}
",
    )
    .unwrap()
}

/// Guards against runs that can't be repeated with the same seed.
#[test]
fn same_seed_gives_the_same_plan() {
    let mut other = experiment();
    assert_eq!(plan(&experiment()), plan(&other));
    other.seed += 1;
    assert_ne!(plan(&experiment()), plan(&other));
}

/// Guards against arrivals outside their phase and against kinds whose share
/// differs from their weight.
#[test]
fn arrivals_follow_phases_and_weights() {
    let arrivals = plan(&experiment());
    let lookups: Vec<_> = arrivals.iter().filter(|arrival| arrival.kind == 0).collect();
    let orders: Vec<_> = arrivals.iter().filter(|arrival| arrival.kind == 1).collect();
    let (pause_start, pause_end) = (Span::from_secs(10), Span::from_secs(15));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    assert!(arrivals.iter().all(|arrival| arrival.at < pause_start || arrival.at >= pause_end));
    let operations = lookups.len() + orders.len() / 2;
    assert!((1_800..2_200).contains(&operations), "{operations}");
    let share = lookups.len() as f64 / operations as f64;
    assert!((0.7..0.8).contains(&share), "{share}");
    let pairs = orders.chunks(2).all(|pair| {
        pair[0].operation_number == pair[1].operation_number && pair[0].gateway != pair[1].gateway
    });
    assert!(pairs, "each protected operation is sent through two gateways");
}

fn sample_shares(distribution: KeyDistribution, at: Span) -> Vec<f64> {
    let (sampler, mut rng) = (KeySampler::new(distribution), ChaCha8Rng::seed_from_u64(1));
    let mut counts = vec![0; distribution.count() as usize];
    (0..DRAWS).for_each(|_| counts[sampler.sample(&mut rng, at) as usize] += 1);
    counts.into_iter().map(|count| f64::from(count) / DRAWS as f64).collect()
}

/// Guards against keys that are drawn more or less often than their
/// distribution says.
#[test]
fn keys_follow_their_distribution() {
    let zipf = sample_shares(KeyDistribution::Zipf { count: 100, exponent: 1.0 }, Span::ZERO);
    assert!((1.8..2.2).contains(&(zipf[0] / zipf[1])), "{} {}", zipf[0], zipf[1]);
    let share = Share::new(0.9).unwrap();
    let hot = KeyDistribution::Hot { count: 100, hot: 2, share, shift: Span::from_secs(1) };
    let (first, later) = (sample_shares(hot, Span::ZERO), sample_shares(hot, Span::from_secs(3)));
    assert!((0.88..0.94).contains(&(first[0] + first[1])));
    assert!((0.88..0.94).contains(&(later[6] + later[7])));
}

/// Guards against invalid experiments that pass the check of the settings.
#[test]
fn invalid_experiments_are_refused() {
    let check = |change: fn(&mut Experiment)| {
        let mut experiment = experiment();
        change(&mut experiment);
        experiment.check().unwrap_err().path().map(str::to_owned)
    };
    assert!(experiment().check().is_ok());
    assert_eq!(check(|e| e.gateways.clear()).as_deref(), Some("gateways"));
    assert_eq!(check(|e| e.kinds[1].deadline = Span::ZERO).as_deref(), Some("kinds[1].deadline"));
    assert_eq!(
        check(|e| e.kinds[0].keys = Some(KeyDistribution::Even { count: 0 })).as_deref(),
        Some("kinds[0].keys.count")
    );
}

/// Guards against example experiments that do not parse or plan no arrivals.
#[test]
fn examples_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["socavon/load", "socavon/warm-up", "socavon/faults", "cascade/load", "cascade/warm-up"] {
        let file = examples.join(name).with_extension("yaml");
        let experiment: Experiment = read(&file).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(!plan(&experiment).is_empty(), "{name}");
    }
}
