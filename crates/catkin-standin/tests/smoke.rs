//! Guards against stand-ins that don't start or lose what they were given.

use {
    actix_rt::System,
    awc::Client,
    catkin::{
        api::{Command, Held, Order, Reply, Stamp, header, path},
        settings::{Standin, parse},
        types::{Fence, Offset, SliceId, Span},
    },
    catkin_net::{Log, get, post},
    catkin_standin::{Echo, Ledger, start},
};

const LIMIT: Span = Span::from_secs(5);
const SETTINGS: &str = "
platform: {addr: '127.0.0.1:0', retention: 1h, lag: 0us, vms: []}
targets:
  - {id: t-1, service: planoteca, zone: a, addr: '127.0.0.1:0', slots: 2, work: 1ms, fenced: true}
";

#[test]
fn log_returns_what_was_appended() {
    System::new().block_on(async {
        let settings: Standin = parse(SETTINGS).unwrap();
        let running = start(&settings).await.unwrap();
        let log = Log::new(Client::default(), running.platform.unwrap());
        let offset = log.append(b"one", LIMIT).await.unwrap();
        let read = log.read(offset, 10, Span::ZERO).await.unwrap();
        assert_eq!(read.records, [(offset, b"one".to_vec())]);
    });
}

#[test]
fn target_runs_work_only_under_its_fence() {
    System::new().block_on(async {
        let settings: Standin = parse(SETTINGS).unwrap();
        let running = start(&settings).await.unwrap();
        let (client, addr) = (Client::default(), running.targets[0]);
        let lease: Reply = get(&client, addr, path::LEASE, LIMIT).await.unwrap();
        let held = Held { slice: SliceId(3), fence: Fence::new(Offset(7)) };
        let orders = [
            (path::RENEW, Order::Renew { until: lease.clock.after(LIMIT) }),
            (path::GRANT, Order::Grant { slices: vec![held] }),
        ];
        for (number, (path, order)) in (1..).zip(orders) {
            let stamp = Stamp { keeper: Offset(5), number };
            let command = Command { from: "gw-1".parse().unwrap(), boot: lease.boot, stamp, order };
            let reply: Reply = post(&client, addr, path, &command, LIMIT).await.unwrap();
            assert!(reply.accepted);
        }
        let send = |fence: &'static str| {
            client
                .post(format!("http://{addr}/draw"))
                .insert_header((header::REQUEST, "r-1"))
                .insert_header((header::SLICE, "3"))
                .insert_header((header::FENCE, fence))
                .send_body("plan")
        };
        let refused = send("6.0").await.unwrap();
        assert_eq!(refused.headers().get(header::OUTCOME).unwrap(), "not-run");
        let mut answer = send("7.0").await.unwrap();
        let echo: Echo = answer.json().await.unwrap();
        assert_eq!((echo.length, echo.checksum), (4, catkin_standin::checksum(b"plan")));
        let ledger: Ledger = get(&client, addr, "/ledger", LIMIT).await.unwrap();
        assert_eq!(ledger.runs["r-1"].len(), 1);
        assert_eq!(ledger.owned.len(), 1);
    });
}
