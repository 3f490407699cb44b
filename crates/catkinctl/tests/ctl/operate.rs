//! Operators' commands against stand-ins and gateways that answer or don't.

use {
    crate::fake,
    actix_http::Request,
    actix_rt::System,
    catkin::{
        Code,
        admin::{Health, Status},
        api::{Command, Held, Order, Reply, Stamp, path},
        config,
        record::{self, Assign, Change, Claim, Move, Record, Writer},
        settings::{Standin, parse},
        types::{Fence, Offset, Revision, Sequence, SliceId, Span, Time, Version},
    },
    catkin_net::{get, listen, post, reply_json, serve},
    catkin_standin::{Running, start},
    catkinctl::{
        drain::drain, gateways::Gateways, history::history, output::Report, owners::owners, reader::Reader,
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
        log: Health::Up,
        leaving: false,
        targets: Vec::new(),
        peers: Vec::new(),
        uptime: Span::from_secs(3),
    }
}

/// Starts a gateway that has a newer revision at each request.
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

pub(crate) async fn platform(rows: &[String]) -> (Running, Gateways) {
    let rows = rows.join(", ");
    let text = format!("platform: {{addr: '127.0.0.1:0', retention: 1h, lag: 0us, vms: [{rows}]}}");
    let running = start(&parse::<Standin>(&text).unwrap()).await.unwrap();
    let gateways = Gateways::new(running.platform.unwrap());
    (running, gateways)
}

pub(crate) fn entry(id: &str, admin: SocketAddr, state: &str) -> String {
    format!("{{id: {id}, role: entry, zone: z-1, addr: '127.0.0.1:1', admin: '{admin}', state: {state}}}")
}

/// Guards against "in force everywhere" while a gateway has an older revision.
#[test]
fn status_waits_for_the_last_gateway() {
    System::new().block_on(async {
        let rows = [
            entry("gw-1", gateway("gw-1", 7).await, "live"),
            entry("gw-2", gateway("gw-2", 5).await, "live"),
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

/// Guards against success when a live gateway does not answer, and against
/// endless waiting for one that has left.
#[test]
fn status_requires_live_gateways_only() {
    System::new().block_on(async {
        let closed = "127.0.0.1:9".parse().unwrap();
        for (state, expected) in [("live", false), ("leaving", true)] {
            let rows = [entry("gw-1", gateway("gw-1", 7).await, "live"), entry("gw-2", closed, state)];
            let (_running, gateways) = platform(&rows).await;
            let report = status(&gateways, Some(Revision(7)), Span::ZERO, |_| ()).await.unwrap();
            assert_eq!(report.is_success(), expected, "{report}");
            assert!(report.to_string().contains("gw-2: no answer: E415"), "{report}");
        }
        let (_running, gateways) = platform(&[]).await;
        assert!(!status(&gateways, None, Span::ZERO, |_| ()).await.unwrap().is_success());
    });
}

async fn order(
    gateways: &Gateways,
    addr: SocketAddr,
    number: u64,
    path: &str,
    order: impl Fn(Time) -> Order,
) {
    let lease: Reply = get(gateways.client(), addr, path::LEASE, LIMIT).await.unwrap();
    let stamp = Stamp { keeper: Offset(5), number };
    let order = order(lease.clock);
    let command = Command { from: "gw-1".parse().unwrap(), boot: lease.boot, stamp, order };
    let reply: Reply = post(gateways.client(), addr, path, &command, LIMIT).await.unwrap();
    assert!(reply.accepted);
}

/// Guards against a drain that reports success before the target stopped.
#[test]
fn drain_ends_when_the_target_holds_nothing() {
    System::new().block_on(async {
        let text = "targets: [{id: t-1, service: a, zone: z-1, addr: '127.0.0.1:0', slots: 2, work: 1ms, fenced: true}]";
        let targets = start(&parse::<Standin>(text).unwrap()).await.unwrap();
        let addr = targets.targets[0];
        let row = format!("{{id: t-1, role: target, service: a, zone: z-1, addr: '{addr}', state: live}}");
        let (_running, gateways) = platform(&[row]).await;
        let target = "t-1".parse().unwrap();
        let held = Held { slice: SliceId(3), fence: Fence::new(Offset(7)) };
        order(&gateways, addr, 1, path::RENEW, |clock| Order::Renew { until: clock.after(LIMIT) }).await;
        order(&gateways, addr, 2, path::GRANT, |_| Order::Grant { slices: vec![held] }).await;
        let report = drain(&gateways, &target, Span::ZERO, |_| ()).await.unwrap();
        assert!(!report.is_success());
        assert_eq!(report.to_string(), "t-1: draining, holds 1 slices, runs 0 requests");
        order(&gateways, addr, 3, path::RELEASE, |_| Order::Release { slices: vec![held] }).await;
        let report = drain(&gateways, &target, LIMIT, |_| ()).await.unwrap();
        assert_eq!(report.to_string(), "t-1: drained, holds 0 slices, runs 0 requests");
        let missing = drain(&gateways, &"t-2".parse().unwrap(), LIMIT, |_| ()).await.unwrap_err();
        assert_eq!(missing.code(), Code::BadUsage);
    });
}

/// Guards against a history that hides refused configurations.
#[test]
fn history_shows_every_verdict() {
    System::new().block_on(async {
        let (addr, log) = fake::start().await;
        log.borrow_mut().records.extend([
            fake::config_record("ana", 0, fake::FLEET),
            b"foreign".to_vec(),
            fake::config_record("eva", 0, fake::FLEET),
            fake::config_record("ana", 1, "services: 5"),
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

/// Guards against owners that differ from the log.
#[test]
fn owners_are_those_of_the_log() {
    System::new().block_on(async {
        let (addr, log) = fake::start().await;
        let owner = "t-1".parse().unwrap();
        let claim = Claim { target: owner, expects: Version(0), keeper: "gw-1".parse().unwrap() };
        let first = Move {
            slice: SliceId(3),
            expects: Version(0),
            owner: claim.target.clone(),
            standby: Some("t-2".parse().unwrap()),
            provisional: None,
        };
        let assign = |service: &str| Assign { service: service.parse().unwrap(), moves: vec![first.clone()] };
        // The fold refuses owners of slices that no configuration has.
        let fleet = "services: {a: {keyed: true, slices: 4}, b: {keyed: true, slices: 4}}";
        log.borrow_mut().records.extend([
            fake::config_record("ana", 0, fleet),
            encode(1, Change::Keeper(claim)),
            encode(2, Change::Assign(assign("a"))),
            encode(3, Change::Assign(assign("b"))),
        ]);
        let report = owners(Reader::new(addr), Some(&"b".parse().unwrap())).await.unwrap();
        assert_eq!(report.to_string(), "b/3: owner t-1, standby t-2, keeper gw-1, fence 3.0");
        let json = serde_json::to_value(&report).unwrap();
        assert_eq!(json[0]["fence"]["offset"], 3);
    });
}

/// Guards against a configuration that would send one key to two owners.
#[test]
fn publish_keeps_the_slices_in_force() {
    System::new().block_on(async {
        let (addr, log) = fake::start().await;
        let text = |slices| format!("services: {{a: {{keyed: true, slices: {slices}}}}}");
        log.borrow_mut().records.push(fake::config_record("ana", 0, &text(8)));
        config::parse(&text(16)).unwrap();
        let result = catkinctl::publish::publish(Reader::new(addr), &text(16), "eva", LIMIT).await;
        assert_eq!(result.unwrap_err().path(), Some("services.a.slices"));
        assert_eq!(log.borrow().appends, 0);
    });
}
