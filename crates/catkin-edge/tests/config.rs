//! Tests of the time in which a configuration comes into force.

mod common;

use {
    actix_http::Method,
    catkin_standin::users::{Config, Route, put_config},
    common::{Edge, Fleet, plan, send},
    std::time::{Duration, Instant},
};

/// Time in which an accepted configuration must be in force.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time after a fault of a process or of its connections within which the bound
/// does not hold.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Returns a configuration whose additional route no older one has.
fn plan_with_route(version: u32) -> Config {
    let mut config = plan(version);
    config.routes.push(Route { prefix: "/new/", kind: "idempotent", priority: 1, split: vec![("keyed", 1)] });
    config
}

async fn has_new_route(fleet: &Fleet, edge: &Edge) -> bool {
    let response = send(edge, Method::GET, "/new/x", &fleet.id(), Some(1), Vec::new()).await;
    response.is_some_and(|response| response.status != 404)
}

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// A process must not take a state for recent that spent seconds on the link to
/// the leader, as if the leader's bandwidth is too low for all of its messages.
#[actix_rt::test]
async fn late_states_of_the_leader_are_not_recent() {
    let fleet = Fleet::start(2).await;
    let leader = fleet.leader();
    let link = &fleet.links[leader];
    // The delay grows, so that the messages never stop.
    for delay in (0..=3_500).step_by(50) {
        link.set_answer_delay(Duration::from_millis(delay));
        sleep(100).await;
    }
    put_config(&fleet.store, &plan_with_route(2));
    actix_rt::time::sleep(APPLY_TIME).await;
    for edge in &fleet.edges {
        assert!(has_new_route(&fleet, edge).await, "a process has the old configuration");
    }
    fleet.check();
}

/// A listing of the store that arrives after newer changes of the leader must
/// not replace what the process forwards once it leads: a process that starts
/// then would keep the old configuration.
#[actix_rt::test]
async fn late_listing_is_not_forwarded() {
    let mut fleet = Fleet::start(1).await;
    fleet.store.set_listing_delay("keyed.op", Duration::from_millis(1_000));
    fleet.add_edge("").await;
    sleep(600).await;
    put_config(&fleet.store, &plan_with_route(2));
    fleet.store.set_listing_delay("keyed.op", Duration::ZERO);
    sleep(2_000).await;
    fleet.edges[0].kill();
    let until = Instant::now() + Duration::from_secs(10);
    while fleet.leader() != 1 {
        assert!(Instant::now() < until, "no process has replaced the leader");
        sleep(50).await;
    }
    fleet.add_edge("cores: 0.1\n").await;
    actix_rt::time::sleep(STABLE_WINDOW).await;
    assert!(has_new_route(&fleet, &fleet.edges[1]).await, "the leader has the old configuration");
    assert!(has_new_route(&fleet, &fleet.edges[2]).await, "the started process has the old configuration");
    fleet.check();
}

/// When all open connections go silent, a process must not wait for one
/// connection to the store after the other.
#[actix_rt::test]
async fn silent_connections_delay_a_configuration_once() {
    let fleet = Fleet::start(2).await;
    sleep(1_000).await;
    for proxy in fleet.proxies.iter().chain(&fleet.links) {
        proxy.silence();
    }
    sleep(100).await;
    put_config(&fleet.store, &plan_with_route(2));
    actix_rt::time::sleep(STABLE_WINDOW - Duration::from_millis(100)).await;
    for edge in &fleet.edges {
        assert!(has_new_route(&fleet, edge).await, "a process has the old configuration");
    }
    fleet.check();
}
