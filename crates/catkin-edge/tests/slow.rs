//! Targets that report that they are slow.

mod common;

use {
    common::{Fleet, metric},
    futures_util::future::join_all,
    std::time::{Duration, Instant},
};

/// Sends orders to the only process for a time, four at once. Returns how many each
/// of the three servers without keys has got.
async fn orders(fleet: &Fleet, time: Duration) -> [u32; 3] {
    let received = || [3, 4, 5].map(|i| fleet.servers[i].received());
    let (before, until) = (received(), Instant::now() + time);
    while Instant::now() < until {
        join_all((0..4).map(|_| fleet.order(&fleet.edges[0]))).await;
    }
    let after = received();
    [0, 1, 2].map(|i| after[i] - before[i])
}

/// The operator must see how many targets are slow, how slow they are and that they
/// get less work: before, only the answers of the targets named it.
#[actix_rt::test]
async fn slow_target_is_seen_in_the_metrics() {
    let fleet = Fleet::start(1).await;
    let edge = &fleet.edges[0];
    let get = async |name: &str| metric(edge, &format!("catkin_edge_{name}{{service=\"plain\"}}")).await;
    orders(&fleet, Duration::from_secs(2)).await;
    assert_eq!((get("slow_targets").await, get("slowdown_max").await), (Some(0.0), Some(1.0)));
    assert_eq!(get("slow_work_ratio").await, None);
    fleet.servers[4].set_slowdown(3.0);
    let (mut sum, mut seen) = ([0; 3], Vec::new());
    for _ in 0..10 {
        let received = orders(&fleet, Duration::from_millis(500)).await;
        sum = [0, 1, 2].map(|i| sum[i] + received[i]);
        seen.push((get("slow_targets").await, get("slowdown_max").await));
    }
    // A target that gets few requests is heard of seldom.
    assert!(seen.contains(&(Some(1.0), Some(3.0))), "{seen:?}");
    let ([one, slow, other], ratio) = (sum, get("slow_work_ratio").await.unwrap());
    println!("{slow} requests of the slow target, {one} and {other} of the others, ratio {ratio}");
    assert!(ratio < 0.7 && 3 * slow < 2 * one.min(other), "{ratio}; {slow} of {one}, {other}");
    fleet.servers[4].set_slowdown(1.0);
    orders(&fleet, Duration::from_millis(2_500)).await;
    assert_eq!((get("slow_targets").await, get("slowdown_max").await), (Some(0.0), Some(1.0)));
    fleet.check();
}
