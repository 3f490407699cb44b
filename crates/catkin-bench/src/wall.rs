//! Wall-clock cost of the decision code. The values depend on the machine and
//! have no bound.

use {
    crate::measure::Measure,
    catkin::{
        choose::{Strategy, TargetLoads},
        config::Policy,
        dispatch::{Dispatcher, Job, JobId, Outcome},
        types::{Span, TargetId, Time},
        wire::Class,
    },
    std::{hint::black_box, time::Instant},
};

const ROUNDS: u64 = 200_000;
const QUEUE_LENGTH: u64 = 100;
const TARGETS: u64 = 20;

/// Returns the measures of this group.
pub(crate) fn measures(_seed: u64) -> Vec<Measure> {
    vec![
        Measure::info("wall.dispatch_idle", nanos_per_round(dispatch(0)), "ns_per_request"),
        Measure::info("wall.dispatch_100_waiting", nanos_per_round(dispatch(QUEUE_LENGTH)), "ns_per_request"),
        Measure::info("wall.choose_of_20", nanos_per_round(choose()), "ns_per_request"),
    ]
}

fn nanos_per_round(mut round: impl FnMut(u64)) -> f64 {
    (0..ROUNDS / 10).for_each(&mut round);
    let start = Instant::now();
    (0..ROUNDS).for_each(round);
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}

fn target(number: u64) -> TargetId {
    TargetId::new(format!("target-{number}")).expect("the name is a valid id")
}

/// Returns a round that passes one request through a queue that holds
/// `queue_length` others.
fn dispatch(queue_length: u64) -> impl FnMut(u64) {
    let target = target(0);
    let policy = Policy { queue_wait: Span::from_secs(60), ..Policy::default() };
    let mut table = Dispatcher::new();
    table.set(&target, &policy);
    let mut now = Time::default();
    let mut number = 0;
    let mut running = Vec::new();
    move |_| {
        now = now.after(Span::from_micros(100));
        while u64::from(table.job_count(&target)) <= queue_length {
            number += 1;
            let deadline = now.after(Span::from_secs(60));
            let job = Job {
                id: JobId(number),
                target: target.clone(),
                class: Class::Short,
                deadline,
                expected_run: None,
            };
            let _ = black_box(table.push(now, job));
        }
        for action in table.poll(now, &target) {
            if let catkin::dispatch::Action::Start(id) = action {
                running.push(id);
            }
        }
        if let Some(id) = running.pop() {
            table.finish(now, id, Outcome::Ok);
        }
    }
}

/// Returns a round that chooses one of `TARGETS` targets.
fn choose() -> impl FnMut(u64) {
    let mut loads = TargetLoads::new();
    (0..TARGETS).for_each(|number| loads.add(Time::default(), &target(number), false));
    move |round| {
        let random = [round.wrapping_mul(0x9E37_79B9_7F4A_7C15), round.wrapping_mul(0xD1B5_4A32_D192_ED03)];
        black_box(loads.choose(Time::default(), Strategy::LeastOfTwo, random));
    }
}
