//! Tests of the commands against stand-ins and fake gateways, some of them
//! unreachable.

use {
    crate::fake_log,
    actix_http::Request,
    actix_rt::System,
    catkin::{
        Code,
        admin::{Availability, Status},
        api::{Command, CommandReply, CommandStamp, FencedSlice, Operation, path},
        config,
        fold::State,
        record::{self, Assign, Change, Claim, Move, Record, Writer},
        settings::{Standin, parse},
        snapshot::split,
        types::{Fence, Offset, Revision, Sequence, SliceId, Span, Time, Version},
    },
    catkin_net::{get, listen, post, reply_json, serve},
    catkin_standin::{RunningStandins, start},
    catkinctl::{
        drain::drain,
        gateways::Gateways,
        history::history,
        output::Report,
        owners::owners,
        publish::{PublishReport, publish},
        reader::Reader,
        status::status,
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

const LIMIT: Span = Span::from_secs(60);

fn status_of(vm: &str, revision: u64) -> Status {
    Status {
        vm: vm.parse().unwrap(),
        boot: 1,
        zone: "z-1".parse().unwrap(),
        revision: Revision(revision),
        offset: Offset(4),
        log: Availability::Up,
        leaving: false,
        targets: Vec::new(),
        peers: Vec::new(),
        uptime: Span::from_secs(3),
    }
}

/// Starts a gateway whose revision increases by one with each request.
async fn gateway(vm: &'static str, first: u64) -> SocketAddr {
    let listener = listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let revision = Rc::new(Cell::new(first));
    actix_rt::spawn(serve(listener, move |_: Request| {
        let revision = revision.clone();
        async move { reply_json(200, &status_of(vm, revision.replace(revision.get() + 1))) }
    }));
    addr
}

pub(crate) async fn platform(rows: &[String]) -> (RunningStandins, Gateways) {
    let rows = rows.join(", ");
    let text = format!("platform: {{addr: '127.0.0.1:0', retention: 1h, lag: 0us, vms: [{rows}]}}");
    let running = start(&parse::<Standin>(&text).unwrap()).await.unwrap();
    let gateways = Gateways::new(running.platform.unwrap());
    (running, gateways)
}

pub(crate) fn gateway_row(id: &str, admin: SocketAddr, state: &str) -> String {
    format!("{{id: {id}, role: entry, zone: z-1, addr: '127.0.0.1:1', admin: '{admin}', state: {state}}}")
}

/// Guards against success while a gateway has an older revision.
#[test]
fn status_waits_for_the_last_gateway() {
    System::new().block_on(async {
        let rows = [
            gateway_row("gw-1", gateway("gw-1", 7).await, "live"),
            gateway_row("gw-2", gateway("gw-2", 5).await, "live"),
        ];
        let (_running, gateways) = platform(&rows).await;
        let mut shown = Vec::new();
        let report = status(&gateways, Some(Revision(7)), LIMIT, |text| shown.push(text.to_owned())).await;
        assert!(report.unwrap().is_success());
        assert_eq!(
            shown,
            ["revision 7 in force on 1 of 2, waiting for gw-2", "revision 7 in force on 2 of 2"]
        );
    });
}

/// Guards against success when a live gateway is unreachable, and against a
/// failure because of a leaving gateway that is unreachable.
#[test]
fn status_requires_live_gateways_only() {
    System::new().block_on(async {
        let closed = "127.0.0.1:9".parse().unwrap();
        for (state, expected) in [("live", false), ("leaving", true)] {
            let rows =
                [gateway_row("gw-1", gateway("gw-1", 7).await, "live"), gateway_row("gw-2", closed, state)];
            let (_running, gateways) = platform(&rows).await;
            let report = status(&gateways, Some(Revision(7)), Span::ZERO, |_| ()).await.unwrap();
            assert_eq!(report.is_success(), expected, "{report}");
            assert!(report.to_string().contains("gw-2: no answer: E415"), "{report}");
        }
        let (_running, gateways) = platform(&[]).await;
        assert!(!status(&gateways, None, Span::ZERO, |_| ()).await.unwrap().is_success());
    });
}

async fn send_command(
    gateways: &Gateways,
    addr: SocketAddr,
    number: u64,
    path: &str,
    order: impl Fn(Time) -> Operation,
) {
    let lease: CommandReply = get(gateways.client(), addr, path::LEASE, LIMIT).await.unwrap();
    let stamp = CommandStamp { keeper: Offset(5), number };
    let order = order(lease.clock);
    let command = Command { from: "gw-1".parse().unwrap(), boot: lease.boot, stamp, order };
    let reply: CommandReply = post(gateways.client(), addr, path, &command, LIMIT).await.unwrap();
    assert!(reply.accepted);
}

/// Guards against a drain that succeeds before the target has stopped serving, or
/// after its lease expired while the log still names it as owner.
#[test]
fn drain_ends_when_the_target_owns_and_holds_nothing() {
    System::new().block_on(async {
        let text = "targets: [{id: t-1, service: a, zone: z-1, addr: '127.0.0.1:0', slots: 2, work: 1ms, fenced: true}]";
        let targets = start(&parse::<Standin>(text).unwrap()).await.unwrap();
        let addr = targets.targets[0];
        let row = format!("{{id: t-1, role: target, service: a, zone: z-1, addr: '{addr}', state: live}}");
        let (_running, gateways) = platform(&[row]).await;
        let (log_addr, log) = fake_log::start().await;
        log.borrow_mut().records.extend(assigned_records());
        let held = FencedSlice { slice: SliceId(3), fence: Fence::new(Offset(2)) };
        send_command(&gateways, addr, 1, path::RENEW, |clock| Operation::Renew { until: clock.after(LIMIT) }).await;
        send_command(&gateways, addr, 2, path::GRANT, |_| Operation::Grant { slices: vec![held] }).await;
        let target = "t-1".parse().unwrap();
        let once = async || drain(&gateways, Reader::new(log_addr), &target, Span::ZERO, |_| ()).await.unwrap();
        assert_eq!(once().await.to_string(), "t-1: draining, owns 1 slices, holds 1, runs 0 requests");
        send_command(&gateways, addr, 3, path::RELEASE, |_| Operation::Release { slices: vec![held] }).await;
        assert_eq!(once().await.to_string(), "t-1: draining, owns 1 slices, holds 0, runs 0 requests");
        let assign = Change::Assign(Assign { service: "a".parse().unwrap(), moves: vec![move_to(1, "t-3")] });
        log.borrow_mut().records.push(encode(3, assign));
        assert_eq!(once().await.to_string(), "t-1: drained, owns 0 slices, holds 0, runs 0 requests");
        let other = "t-2".parse().unwrap();
        let missing = drain(&gateways, Reader::new(log_addr), &other, LIMIT, |_| ()).await.unwrap_err();
        assert_eq!(missing.code(), Code::BadUsage);
    });
}

/// Guards against a history without the refused configurations.
#[test]
fn history_shows_every_verdict() {
    System::new().block_on(async {
        let (addr, log) = fake_log::start().await;
        log.borrow_mut().records.extend([
            fake_log::config_record("ana", 0, fake_log::FLEET),
            b"foreign".to_vec(),
            fake_log::config_record("eva", 0, fake_log::FLEET),
            fake_log::config_record("ana", 1, "services: 5"),
        ]);
        let lines = history(Reader::new(addr)).await.unwrap().to_string();
        let lines: Vec<_> = lines.lines().collect();
        assert_eq!(lines.len(), 3);
        assert_eq!(lines[0], "offset 0: revision 1 by ana: accepted");
        assert!(lines[1].starts_with("offset 2: revision 1 by eva: refused: E205: "), "{}", lines[1]);
        assert!(
            lines[2].starts_with("offset 3: revision 2 by ana: refused: E201 at services: "),
            "{}",
            lines[2]
        );
    });
}

fn encode(sequence: u64, change: Change) -> Vec<u8> {
    let writer = Writer { id: "gw-1".parse().unwrap(), boot: 1 };
    record::encode(&Record { writer, sequence: Sequence(sequence), change }).unwrap()
}

fn move_to(expects: u64, owner: &str) -> Move {
    Move {
        slice: SliceId(3),
        expects: Version(expects),
        owner: owner.parse().unwrap(),
        standby: Some("t-2".parse().unwrap()),
        provisional: None,
    }
}

/// Returns records of a configuration, of the keeper of t-1, and of t-1 as the
/// owner of slice 3 of service a. The configuration is needed because the fold
/// refuses owners of slices that it does not define.
fn assigned_records() -> [Vec<u8>; 3] {
    let fleet = "services: {a: {keyed: true, slices: 4}, b: {keyed: true, slices: 4}}";
    let keeper = "gw-1".parse().unwrap();
    let claim = Claim { target: "t-1".parse().unwrap(), expects: Version(0), keeper };
    let assign = Assign { service: "a".parse().unwrap(), moves: vec![move_to(0, "t-1")] };
    [
        fake_log::config_record("ana", 0, fleet),
        encode(1, Change::Keeper(claim)),
        encode(2, Change::Assign(assign)),
    ]
}

/// Guards against reported owners that differ from those in the log.
#[test]
fn owners_match_the_log() {
    System::new().block_on(async {
        let (addr, log) = fake_log::start().await;
        log.borrow_mut().records.extend(assigned_records());
        let report = owners(Reader::new(addr), Some(&"a".parse().unwrap())).await.unwrap();
        assert_eq!(report.to_string(), "a/3: owner t-1, standby t-2, keeper gw-1, fence 2.0");
        let json = serde_json::to_value(&report).unwrap();
        assert_eq!(json[0]["fence"]["offset"], 2);
        let none = owners(Reader::new(addr), Some(&"b".parse().unwrap())).await.unwrap();
        assert_eq!(none.to_string(), "");
    });
}

/// Guards against commands that fail, or start from an empty state, after old
/// records have expired.
#[test]
fn snapshot_replaces_expired_records() {
    System::new().block_on(async {
        let (addr, log) = fake_log::start().await;
        let records: Vec<_> = (0..4).map(|n| fake_log::config_record("ana", n, fake_log::FLEET)).collect();
        let mut state = State::new();
        (0..).zip(&records[..3]).for_each(|(n, bytes)| drop(state.apply(Offset(n), bytes)));
        {
            let mut log = log.borrow_mut();
            log.first = 2;
            log.records.extend(records[2..].to_vec());
        }
        let expired = history(Reader::new(addr)).await.unwrap_err();
        assert_eq!(expired.code(), Code::LogExpired);

        let chunks = split(&state).unwrap();
        log.borrow_mut().records.extend((1..).zip(chunks).map(|(n, chunk)| encode(n, Change::Chunk(chunk))));
        let lines = history(Reader::new(addr)).await.unwrap().to_string();
        let expected = [
            "offset 2: revision 3 by ana: verdict unknown, records before it have expired",
            "offset 3: revision 4 by ana: accepted",
        ];
        assert_eq!(lines.lines().collect::<Vec<_>>(), expected);
        let published = publish(Reader::new(addr), fake_log::FLEET, "eva", LIMIT).await.unwrap();
        assert_eq!(published, PublishReport::Accepted { revision: Revision(5), offset: Offset(5) });
    });
}

/// Guards against a changed number of slices, which would send one key to two
/// owners.
#[test]
fn publish_keeps_the_slices_in_force() {
    System::new().block_on(async {
        let (addr, log) = fake_log::start().await;
        let text = |slices| format!("services: {{a: {{keyed: true, slices: {slices}}}}}");
        log.borrow_mut().records.push(fake_log::config_record("ana", 0, &text(8)));
        config::parse(&text(16)).unwrap();
        let result = publish(Reader::new(addr), &text(16), "eva", LIMIT).await;
        assert_eq!(result.unwrap_err().path(), Some("services.a.slices"));
        assert_eq!(log.borrow().appends, 0);
    });
}
