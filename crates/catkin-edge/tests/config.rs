//! Tests of the time in which a configuration comes into force.

mod common;

use {
    actix_http::Method,
    catkin_platform::config::Inspection,
    catkin_route::config::Severity,
    catkin_standin::users::{Config, Route, put_config, put_document, to_document},
    common::{Edge, Fleet, plan, send},
    serde_json::json,
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

/// A configuration that `catkinctl check` finds errors in must not come into force
/// in any process, and must not keep the next one from it.
#[actix_rt::test]
async fn configurations_with_errors_stay_out_of_force() {
    let fleet = Fleet::start(2).await;
    let rule = "/listeners/0/rules/0";
    let faults = [
        ("unknown_service", "/action/trafficSplit/0/service", json!("none")),
        ("long_timeout", "/action/timeoutMs", json!(1e9)),
        ("no_weight", "/action/trafficSplit/0/weight", json!(0)),
        ("same_place", "/match/pathPrefix", json!("/new/")),
        ("below_zero", "/action/timeoutMs", json!(-1)),
    ];
    let valid = |version| to_document(&plan_with_route(version));
    let mut documents: Vec<_> = faults.iter().map(|(code, ..)| (*code, valid(2))).collect();
    for ((_, document), (_, field, value)) in documents.iter_mut().zip(&faults) {
        *document.pointer_mut(&format!("{rule}{field}")).unwrap() = value.clone();
    }
    for host in [json!(""), json!(null)] {
        let mut document = valid(2);
        document["listeners"][0]["hostname"] = host;
        documents.push(("no_host", document));
    }
    for (code, document) in &documents {
        let inspection = Inspection::new(document.to_string().as_bytes());
        let errors = inspection.findings.iter().filter(|f| f.severity == Severity::Error);
        assert_eq!(errors.map(|f| f.code.to_string()).collect::<Vec<_>>(), [*code]);
        put_document(&fleet.store, document);
        sleep(100).await;
    }
    let text = valid(2).to_string();
    fleet.store.put("keyed.op", "config", &text.as_bytes()[..text.len() - 1]);
    put_document(&fleet.store, &valid(1));
    actix_rt::time::sleep(APPLY_TIME).await;
    for edge in &fleet.edges {
        assert!(!has_new_route(&fleet, edge).await, "a configuration with an error is in force");
        assert_eq!(fleet.get(edge, 1).await.unwrap().status, 200);
    }
    put_document(&fleet.store, &valid(2));
    actix_rt::time::sleep(APPLY_TIME).await;
    for edge in &fleet.edges {
        assert!(has_new_route(&fleet, edge).await, "a valid configuration is not in force");
    }
    fleet.check();
}
