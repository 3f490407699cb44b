//! Environment and helpers of the tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    actix_rt::System,
    awc::Client,
    catkin::{
        api::{Command, CommandReply, CommandStamp, FencedSlice, Operation, path},
        settings::{Standin, parse},
        types::{Fence, Offset, SliceId, Span},
    },
    catkin_net::{get, post},
    catkin_standin::{Ledger, PlatformFaults, RunningStandins, TargetFaults, start},
    std::{future::Future, net::SocketAddr},
};

/// Time after which a test fails.
pub(crate) const LIMIT: Span = Span::from_secs(60);

const SETTINGS: &str = "
platform: {addr: '127.0.0.1:0', retention: 1h, lag: 0us, vms: []}
targets:
  - {id: t-1, service: planoteca, zone: a, addr: '127.0.0.1:0', slots: 1, work: 1us, fenced: true}
";

/// Runs a test against stand-ins. `change` adapts their settings.
pub(crate) fn run<Fut: Future<Output = ()>>(
    change: impl FnOnce(&mut Standin),
    test: impl FnOnce(Env) -> Fut,
) {
    System::new().block_on(async {
        let mut settings: Standin = parse(SETTINGS).unwrap();
        change(&mut settings);
        let running = start(&settings).await.unwrap();
        let env = Env { client: Client::builder().disable_timeout().finish(), running };
        // Fails a test that waits for an event that does not occur.
        actix_rt::time::timeout(LIMIT.as_duration(), test(env)).await.expect("test stopped at its limit");
    });
}

pub(crate) struct Env {
    pub(crate) client: Client,
    pub(crate) running: RunningStandins,
}

impl Env {
    pub(crate) fn platform(&self) -> SocketAddr {
        self.running.platform.unwrap()
    }

    pub(crate) fn target(&self) -> SocketAddr {
        self.running.targets[0]
    }

    pub(crate) async fn set_platform_faults(&self, faults: PlatformFaults) {
        let _: PlatformFaults = post(&self.client, self.platform(), "/faults", &faults, LIMIT).await.unwrap();
    }

    pub(crate) async fn set_target_faults(&self, faults: TargetFaults) {
        let _: TargetFaults = post(&self.client, self.target(), "/faults", &faults, LIMIT).await.unwrap();
    }

    pub(crate) async fn ledger(&self) -> Ledger {
        get(&self.client, self.target(), "/ledger", LIMIT).await.unwrap()
    }

    pub(crate) async fn lease(&self) -> CommandReply {
        get(&self.client, self.target(), path::LEASE, LIMIT).await.unwrap()
    }

    pub(crate) async fn send_command(&self, number: u64, path: &str, order: Operation) -> CommandReply {
        let boot = self.lease().await.boot;
        let stamp = CommandStamp { keeper: Offset(5), number };
        let command = Command { from: "gw-1".parse().unwrap(), boot, stamp, order };
        post(&self.client, self.target(), path, &command, LIMIT).await.unwrap()
    }

    /// Renews the lease for a time and grants slice 3 with fence 7.0.
    pub(crate) async fn grant(&self, ttl: Span) {
        let until = self.lease().await.clock.after(ttl);
        assert!(self.send_command(1, path::RENEW, Operation::Renew { until }).await.accepted);
        assert!(
            self.send_command(2, path::GRANT, Operation::Grant { slices: vec![held_slice()] }).await.accepted
        );
    }

    /// Creates a request for work.
    pub(crate) fn work_request(&self, path: &str) -> awc::ClientRequest {
        self.client.post(format!("http://{}{path}", self.target()))
    }

    /// Reads the ledger until it meets a condition.
    pub(crate) async fn wait_ledger(&self, condition: impl Fn(&Ledger) -> bool) -> Ledger {
        loop {
            let ledger = self.ledger().await;
            if condition(&ledger) {
                return ledger;
            }
        }
    }
}

pub(crate) fn held_slice() -> FencedSlice {
    FencedSlice { slice: SliceId(3), fence: Fence::new(Offset(7)) }
}
