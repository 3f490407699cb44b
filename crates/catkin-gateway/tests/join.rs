//! Guards against gateways that serve without a state, or can't start while the
//! log is unavailable.

mod common;

use {
    catkin::{
        admin::Availability,
        fold::State,
        record::{self, Change, Record, Writer},
        snapshot,
        types::{Offset, Revision, Sequence, Span},
    },
    catkin_standin::PlatformFaults,
    common::{Env, POLL_PERIOD, TIMEOUT, run, run_with, send},
};

fn log_down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

/// Guards against a gateway that can't start while the log is unavailable
/// although a peer has the state.
#[test]
fn gateway_starts_from_a_peer_while_the_log_is_down() {
    run(async |env| {
        let [first] = env.start_fleet(["a"]).await;
        env.set_platform_faults(log_down()).await;
        first.wait_status(|status| status.log == Availability::Down).await;
        let state = first.status().await;
        let second = env.start_gateway("b").await;
        second.wait_served("/orders/x").await;
        second.wait_served("/plans/x").await;
        let joined = second.status().await;
        assert_eq!(
            (joined.log, joined.revision, joined.offset),
            (Availability::Down, state.revision, state.offset)
        );
    });
}

/// Guards against a gateway that serves before it has loaded a state.
#[test]
fn gateway_without_a_state_refuses() {
    run(async |env| {
        env.publish().await;
        env.set_platform_faults(log_down()).await;
        let gateway = env.start_gateway("a").await;
        for _ in 0..20 {
            let reply = send(gateway.request("GET", "/orders/x"), "").await;
            assert_eq!(reply.result(), ("411", "not-run"), "{reply:?}");
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
        let status = gateway.status().await;
        assert_eq!((status.log, status.revision), (Availability::Down, Revision::default()));
        env.set_platform_faults(PlatformFaults::default()).await;
        gateway.wait_served("/orders/x").await;
    });
}

/// Guards against a gateway that needs records that have expired although a
/// snapshot replaces them.
#[test]
fn gateway_starts_from_a_snapshot() {
    let short = |settings: &mut catkin::settings::Standin| {
        settings.platform.as_mut().unwrap().retention = Span::from_secs(5);
    };
    run_with(short, async |env| {
        env.publish().await;
        let mut state = State::new();
        while apply_new(&env, &mut state).await == Offset::default() {
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
        let gateway = env.start_gateway("a").await;
        let refused = send(gateway.request("GET", "/orders/x"), "").await;
        assert_eq!(refused.result(), ("411", "not-run"), "{refused:?}");
        let mut sequence = Sequence(0);
        // The snapshots expire as well, so the newest state is written again and
        // again.
        while gateway.status().await.revision != Revision(1) {
            apply_new(&env, &mut state).await;
            for chunk in snapshot::split(&state).unwrap() {
                sequence = Sequence(sequence.0 + 1);
                let writer = Writer { id: "test".parse().unwrap(), boot: 2 };
                let record = Record { writer, sequence, change: Change::Chunk(chunk) };
                env.log().append(&record::encode(&record).unwrap(), TIMEOUT).await.unwrap();
            }
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
        gateway.wait_served("/orders/x").await;
    });
}

/// Applies the new records of the log to `state` and returns the oldest offset
/// of the log.
async fn apply_new(env: &Env, state: &mut State) -> Offset {
    let read = env.log().read(state.next_offset(), 1_000, Span::ZERO).await.unwrap();
    for (offset, bytes) in read.records {
        state.apply(offset, &bytes);
    }
    read.first
}
