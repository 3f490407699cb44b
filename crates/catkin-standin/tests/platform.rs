//! Guards against a log or a VM list that does not follow its settings and
//! faults.

mod common;

use {
    actix_rt::spawn,
    catkin::{
        Code,
        api::{Role, VmEntry, VmState},
        types::{Offset, Span},
    },
    catkin_net::{LogClient, list_vms},
    catkin_standin::{PlatformFaults, VmRemoval},
    common::{Env, LIMIT, run},
};

fn log(env: &Env) -> LogClient {
    LogClient::new(env.client.clone(), env.platform())
}

async fn post(env: &Env, path: &str, body: &impl serde::Serialize) {
    let request = env.client.post(format!("http://{}{path}", env.platform()));
    assert!(request.send_json(body).await.unwrap().status().is_success());
}

/// Guards against unanswered appends that take no effect, and against refused
/// ones that do.
#[test]
fn unanswered_appends_take_effect_and_refused_ones_do_not() {
    run(
        |_| {},
        async |env| {
            let log = log(&env);
            let faults = PlatformFaults { lose: 1, hang_up: 1, refuse: 1, ..PlatformFaults::default() };
            env.set_platform_faults(faults).await;
            let refused = log.append(b"refused", LIMIT).await.unwrap_err();
            let writer = log.clone();
            let lost = spawn(async move { writer.append(b"lost", LIMIT).await });
            while log.read(Offset(0), 10, Span::ZERO).await.unwrap().head == Offset(0) {}
            assert!(!lost.is_finished());
            lost.abort();
            let hung = log.append(b"hung", LIMIT).await.unwrap_err();
            let offset = log.append(b"kept", LIMIT).await.unwrap();
            assert_eq!((refused.code(), hung.code()), (Code::LogUnavailable, Code::AppendUnknown));
            let read = log.read(Offset(0), 10, Span::ZERO).await.unwrap();
            let texts: Vec<_> = read.records.iter().map(|(_, data)| &data[..]).collect();
            assert_eq!((texts, offset), (vec![&b"lost"[..], b"hung", b"kept"], Offset(2)));
        },
    );
}

/// Guards against a waiting reader that misses an append.
#[test]
fn waiting_reader_gets_the_next_record() {
    run(
        |_| {},
        async |env| {
            let log = log(&env);
            let reader = log.clone();
            let read = spawn(async move { reader.read(Offset(0), 10, LIMIT).await });
            let offset = log.append(b"one", LIMIT).await.unwrap();
            assert_eq!(read.await.unwrap().unwrap().records, [(offset, b"one".to_vec())]);
        },
    );
}

/// Guards against offsets that are used again when records expire.
#[test]
fn expired_records_keep_their_offsets() {
    let retention = |span| {
        move |settings: &mut catkin::settings::Standin| {
            settings.platform.as_mut().unwrap().retention = span;
        }
    };
    run(retention(Span::from_millis(1)), async |env| {
        let log = log(&env);
        log.append(b"one", LIMIT).await.unwrap();
        while log.read(Offset(0), 10, Span::ZERO).await.unwrap().first == Offset(0) {}
        assert_eq!(log.append(b"two", LIMIT).await.unwrap(), Offset(1));
    });
}

/// Guards against a log that answers while the fault `down` is on.
#[test]
fn log_is_unavailable_until_the_fault_ends() {
    run(
        |_| {},
        async |env| {
            let log = log(&env);
            env.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
            assert!(log.read(Offset(0), 10, Span::ZERO).await.is_err());
            assert!(log.append(b"one", LIMIT).await.is_err());
            env.set_platform_faults(PlatformFaults::default()).await;
            assert_eq!(log.read(Offset(0), 10, Span::ZERO).await.unwrap().head, Offset(0));
        },
    );
}

/// Guards against a list that shows changes before its lag has passed.
#[test]
fn list_shows_changes_after_its_lag() {
    let row = VmEntry {
        id: "gw-1".into(),
        role: Role::Entry,
        service: None,
        zone: "a".parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        admin: None,
        state: VmState::Live,
    };
    for (lag, shown) in [(Span::ZERO, 1), (Span::from_secs(3_600), 0)] {
        let change = |settings: &mut catkin::settings::Standin| settings.platform.as_mut().unwrap().lag = lag;
        run(change, async |env| {
            post(&env, "/vms", &row).await;
            let list = list_vms(&env.client, env.platform(), LIMIT).await.unwrap();
            assert_eq!(list.vms.len(), shown);
            post(&env, "/vms/remove", &VmRemoval { id: row.id.clone() }).await;
            assert!(list_vms(&env.client, env.platform(), LIMIT).await.unwrap().vms.is_empty());
        });
    }
}
