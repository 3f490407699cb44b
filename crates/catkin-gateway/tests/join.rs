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
    common::{LIMIT, POLL, run, run_with, send},
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
        settings.platform.as_mut().unwrap().retention = Span::from_secs(2);
    };
    run_with(short, async |env| {
        env.publish().await;
        let config = env.log().read(Offset::default(), 1, Span::ZERO).await.unwrap().records.remove(0).1;
        let mut state = State::new();
        assert!(state.apply(Offset::default(), &config).is_accepted());
        while env.log().read(Offset::default(), 1, Span::ZERO).await.unwrap().first == Offset::default() {
            actix_rt::time::sleep(POLL).await;
        }
        let writer = Writer { id: "test".parse().unwrap(), boot: 2 };
        for (number, chunk) in (1..).zip(snapshot::split(&state).unwrap()) {
            let change = Change::Chunk(chunk);
            let record = Record { writer: writer.clone(), sequence: Sequence(number), change };
            env.log().append(&record::encode(&record).unwrap(), LIMIT).await.unwrap();
        }
        let gateway = env.start("a").await;
        gateway.wait(|status| status.revision == Revision(1)).await;
        gateway.wait_served("/orders/x").await;
    });
}
