//! Guards against work that runs twice, and against the outcome "not run" for
//! work that ran.

mod common;

use {
    catkin::{admin::Availability, api::header},
    catkin_standin::{PlatformFaults, TargetFaults},
    common::{Env, NOTES, ORDERS, run, send},
};

fn hang_up_once() -> TargetFaults {
    TargetFaults { hang_up: 1, ..TargetFaults::default() }
}

async fn run_count(env: &Env, target: usize) -> u64 {
    env.ledger(target).await.counts.ran
}

/// Guards against the outcome "not run", or a second run, for a request that the
/// target has read before it closes the connection.
#[test]
fn unanswered_order_has_an_unknown_outcome() {
    run(async |env| {
        let gateways = env.start_fleet(["a", "b"]).await;
        for gateway in &gateways {
            let before = run_count(&env, ORDERS).await;
            env.set_target_faults(ORDERS, hang_up_once()).await;
            let reply = send(gateway.request("POST", "/orders/new"), "order").await;
            assert_eq!(reply.result(), ("501", "unknown"), "{reply:?}");
            assert_eq!(run_count(&env, ORDERS).await, before + 1);
            // This success adds to the retry budget, from which the retry below is
            // paid.
            assert_eq!(send(gateway.request("PUT", "/orders/new"), "").await.status, 200);
            env.set_target_faults(ORDERS, hang_up_once()).await;
            let reply = send(gateway.request("PUT", "/orders/new"), "order").await;
            assert_eq!(reply.result(), ("601", "ran"), "{reply:?}");
            assert_eq!(run_count(&env, ORDERS).await, before + 4);
        }
    });
}

/// Guards against two runs of requests with one idempotency key that are sent
/// through two gateways.
#[test]
fn idempotency_key_runs_once_in_the_fleet() {
    run(async |env| {
        let [first, second] = env.start_fleet(["a", "b"]).await;
        for number in 0..8 {
            let key = format!("order-{number}");
            let order = |gateway: &common::Gateway| {
                gateway
                    .request("POST", "/orders/new")
                    .insert_header((header::IDEMPOTENCY, key.as_str()))
                    .insert_header(("x-standin-work-ms", "20"))
            };
            let (one, two) = tokio::join!(send(order(&first), ""), send(order(&second), ""));
            assert_eq!([&one, &two].iter().filter(|reply| reply.code == "601").count(), 1, "{one:?} {two:?}");
            for gateway in [&first, &second] {
                let again = send(order(gateway), "").await;
                assert_ne!((again.status, again.code.as_str()), (200, "601"), "{again:?}");
            }
            assert_eq!(env.ledger(ORDERS).await.runs[key.as_str()].len(), 1);
        }
    });
}

/// Guards against requests that are sent without registering their idempotency
/// keys while the log is unavailable, and against refusals for a service with
/// `log_down: send`.
#[test]
fn log_down_setting_decides() {
    run(async |env| {
        let [gateway] = env.start_fleet(["a"]).await;
        let before = run_count(&env, ORDERS).await;
        env.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
        gateway.wait_status(|status| status.log == Availability::Down).await;
        let post = |path: &str| gateway.request("POST", path).insert_header((header::IDEMPOTENCY, "key"));
        let refused = send(post("/orders/new"), "").await;
        assert_eq!(refused.result(), ("413", "not-run"), "{refused:?}");
        let sent = send(post("/notes/new"), "").await;
        assert_eq!(sent.result(), ("601", "ran"), "{sent:?}");
        assert_eq!(run_count(&env, ORDERS).await, before);
        assert_eq!(env.ledger(NOTES).await.runs["key"].len(), 1);
    });
}
