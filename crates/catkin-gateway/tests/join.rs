//! Guards against gateways that start without a state, or can't start while
//! the log is down.

mod common;

use {
    catkin::{
        admin::Health,
        fold::State,
        record::{self, Change, Record, Writer},
        snapshot,
        types::{Offset, Revision, Sequence, Span},
    },
    catkin_standin::PlatformFaults,
    common::{Env, LIMIT, POLL, run, run_with, send},
};

fn down() -> PlatformFaults {
    PlatformFaults { down: true, ..PlatformFaults::default() }
}

/// Guards against a gateway that can't start while the log is down although a
/// peer has the state.
#[test]
fn gateway_starts_from_a_peer_while_the_log_is_down() {
    run(async |env| {
        let [first] = env.fleet(["a"]).await;
        env.fail_platform(down()).await;
        first.wait(|status| status.log == Health::Down).await;
        let state = first.status().await;
        let second = env.start("b").await;
        second.wait_served("/orders/x").await;
        second.wait_served("/plans/x").await;
        let joined = second.status().await;
        assert_eq!(
            (joined.log, joined.revision, joined.offset),
            (Health::Down, state.revision, state.offset)
        );
    });
}

/// Guards against a gateway that serves without a state.
#[test]
fn gateway_without_a_state_refuses() {
    run(async |env| {
        env.publish().await;
        env.fail_platform(down()).await;
        let gateway = env.start("a").await;
        for _ in 0..20 {
            let reply = send(gateway.request("GET", "/orders/x"), "").await;
            assert_eq!(reply.ends(), ("411", "not-run"), "{reply:?}");
            actix_rt::time::sleep(POLL).await;
        }
        let status = gateway.status().await;
        assert_eq!((status.log, status.revision), (Health::Down, Revision::default()));
        env.fail_platform(PlatformFaults::default()).await;
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
        while read(&env, &mut state).await == Offset::default() {
            actix_rt::time::sleep(POLL).await;
        }
        let gateway = env.start("a").await;
        let refused = send(gateway.request("GET", "/orders/x"), "").await;
        assert_eq!(refused.ends(), ("411", "not-run"), "{refused:?}");
        let mut sequence = Sequence(0);
        // The snapshots expire too, so that the newest state is written again.
        while gateway.status().await.revision != Revision(1) {
            read(&env, &mut state).await;
            for chunk in snapshot::split(&state).unwrap() {
                sequence = Sequence(sequence.0 + 1);
                let writer = Writer { id: "test".parse().unwrap(), boot: 2 };
                let record = Record { writer, sequence, change: Change::Chunk(chunk) };
                env.log().append(&record::encode(&record).unwrap(), LIMIT).await.unwrap();
            }
            actix_rt::time::sleep(POLL).await;
        }
        gateway.wait_served("/orders/x").await;
    });
}

/// Applies the new records of the log and returns its oldest offset.
async fn read(env: &Env, state: &mut State) -> Offset {
    let read = env.log().read(state.next(), 1_000, Span::ZERO).await.unwrap();
    for (offset, bytes) in read.records {
        state.apply(offset, &bytes);
    }
    read.first
}
