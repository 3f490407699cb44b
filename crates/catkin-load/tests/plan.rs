//! Guards against arrivals that differ from the experiment.

use {
    catkin::{
        settings::{Settings, parse, read},
        types::{Share, Span},
    },
    catkin_load::{Chooser, Experiment, Keys, plan},
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

/// Guards against runs that can't be repeated.
#[test]
fn same_seed_gives_the_same_plan() {
    let mut other = experiment();
    assert_eq!(plan(&experiment()), plan(&other));
    other.seed += 1;
    assert_ne!(plan(&experiment()), plan(&other));
}

/// Guards against phases that run into each other and kinds out of proportion.
#[test]
fn arrivals_follow_phases_and_weights() {
    let arrivals = plan(&experiment());
    let single: Vec<_> = arrivals.iter().filter(|arrival| arrival.kind == 0).collect();
    let double: Vec<_> = arrivals.iter().filter(|arrival| arrival.kind == 1).collect();
    let (first, last) = (Span::from_secs(10), Span::from_secs(15));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    assert!(arrivals.iter().all(|arrival| arrival.at < first || arrival.at >= last));
    let operations = single.len() + double.len() / 2;
    assert!((1_800..2_200).contains(&operations), "{operations}");
    let share = single.len() as f64 / operations as f64;
    assert!((0.7..0.8).contains(&share), "{share}");
    let pairs = double
        .chunks(2)
        .all(|pair| pair[0].operation == pair[1].operation && pair[0].gateway != pair[1].gateway);
    assert!(pairs, "each protected operation is sent through two gateways");
}

fn shares(keys: Keys, at: Span) -> Vec<f64> {
    let (chooser, mut rng) = (Chooser::new(keys), ChaCha8Rng::seed_from_u64(1));
    let mut counts = vec![0; keys.count() as usize];
    (0..DRAWS).for_each(|_| counts[chooser.choose(&mut rng, at) as usize] += 1);
    counts.into_iter().map(|count| f64::from(count) / DRAWS as f64).collect()
}

/// Guards against hot keys that are less hot than the experiment says.
#[test]
fn keys_follow_their_distribution() {
    let zipf = shares(Keys::Zipf { count: 100, exponent: 1.0 }, Span::ZERO);
    assert!((1.8..2.2).contains(&(zipf[0] / zipf[1])), "{} {}", zipf[0], zipf[1]);
    let share = Share::new(0.9).unwrap();
    let hot = Keys::Hot { count: 100, hot: 2, share, shift: Span::from_secs(1) };
    let (first, later) = (shares(hot, Span::ZERO), shares(hot, Span::from_secs(3)));
    assert!((0.88..0.94).contains(&(first[0] + first[1])));
    assert!((0.88..0.94).contains(&(later[6] + later[7])));
}

/// Guards against experiments with mistakes that start all the same.
#[test]
fn mistakes_are_found_before_the_start() {
    let check = |change: fn(&mut Experiment)| {
        let mut experiment = experiment();
        change(&mut experiment);
        experiment.check().unwrap_err().path().map(str::to_owned)
    };
    assert!(experiment().check().is_ok());
    assert_eq!(check(|e| e.gateways.clear()).as_deref(), Some("gateways"));
    assert_eq!(check(|e| e.kinds[1].deadline = Span::ZERO).as_deref(), Some("kinds[1].deadline"));
    assert_eq!(
        check(|e| e.kinds[0].keys = Some(Keys::Even { count: 0 })).as_deref(),
        Some("kinds[0].keys.count")
    );
}

/// Guards against example experiments that no longer start.
#[test]
fn examples_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["socavon/load", "socavon/warm-up", "socavon/faults", "cascade/load", "cascade/warm-up"] {
        let file = examples.join(name).with_extension("yaml");
        let experiment: Experiment = read(&file).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(!plan(&experiment).is_empty(), "{name}");
    }
}
