//! Directory entries that the store gets late, with real processes.

mod common;

use {
    common::{Fleet, holders::watch_holders},
    nix::sys::signal::Signal,
    std::{cell::Cell, rc::Rc, time::Duration},
};

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Sends lookups until `stop` is set, so that keys have loads.
async fn call(fleet: Rc<Fleet>, stop: Rc<Cell<bool>>) {
    for key in (0..u16::MAX).step_by(997).cycle() {
        if stop.get() {
            return;
        }
        let edge = &fleet.edges[usize::from(key) % fleet.edges.len()];
        fleet.get(edge, key).await;
        sleep(10).await;
    }
}

/// Starts a fleet with callers, and runs a case beside a watch for keys with two
/// holders.
async fn check(edges: usize, case: impl AsyncFnOnce(&Fleet)) {
    let fleet = Rc::new(Fleet::start(edges).await);
    let stop = Rc::<Cell<bool>>::default();
    let watch = actix_rt::spawn(watch_holders(fleet.clone(), stop.clone()));
    let calls = actix_rt::spawn(call(fleet.clone(), stop.clone()));
    sleep(1_000).await;
    case(&fleet).await;
    stop.set(true);
    calls.await.unwrap();
    watch.await.unwrap();
    fleet.check();
}

/// A server starts again, and its new process takes keys before its entry is in
/// the store. The last write of the earlier process is carried out meanwhile, so
/// that the earlier one seems to have run a moment ago. The keys of the new
/// process must not go to others while it holds them.
#[actix_rt::test]
async fn late_entry_before_that_of_the_running_process() {
    check(2, async |fleet| {
        let server = &fleet.servers[0];
        server.restart_unlisted(Duration::from_millis(4_500));
        sleep(2_800).await;
        server.publish_earlier();
        server.drain();
        sleep(5_000).await;
    })
    .await;
}

/// The leader ends while the late write of an earlier process is the newest
/// entry of a server, and a process that has started since lists only that. The
/// running process keeps its keys alone, and is in use again.
#[actix_rt::test]
async fn late_entry_while_the_leader_changes() {
    check(2, async |fleet| {
        let server = &fleet.servers[0];
        server.restart();
        sleep(6_000).await;
        server.set_unlisted(Duration::from_millis(3_000));
        server.publish_earlier();
        let leader = fleet.leader();
        fleet.edges[1 - leader].kill();
        fleet.edges[1 - leader].restart();
        sleep(1_500).await;
        fleet.edges[leader].signal(Signal::SIGKILL);
        sleep(5_000).await;
        fleet.edges[leader].restart();
        fleet.wait_until_serving(Duration::from_secs(15)).await;
        assert!(!server.held_ranges().is_empty(), "the running process gets no keys");
    })
    .await;
}

/// A process that starts while a late write of an earlier process is the newest
/// entry of a server lists only that. It must learn of the running process,
/// whose entry does not change.
#[actix_rt::test]
async fn late_entry_while_a_process_starts() {
    check(2, async |fleet| {
        let server = &fleet.servers[0];
        server.restart();
        sleep(4_000).await;
        server.set_unlisted(Duration::from_millis(1_500));
        server.publish_earlier();
        let follower = &fleet.edges[1 - fleet.leader()];
        follower.kill();
        follower.restart();
        sleep(4_000).await;
        let Some((key, _)) = server.held_ranges().first().copied() else {
            panic!("the server has lost its keys");
        };
        let mut served = 0;
        for _ in 0..20 {
            served += u32::from(fleet.get(follower, key).await.is_some_and(|answer| answer.status == 200));
        }
        assert!(served >= 18, "{served} of 20 requests for a key of the server were served");
    })
    .await;
}

/// The leader is paused while a server starts again and a late write of the
/// earlier process replaces the entry of the running one. It goes on with what
/// it knew before, beside the process that has replaced it.
#[actix_rt::test]
async fn late_entry_while_the_leader_is_paused() {
    check(3, async |fleet| {
        let server = &fleet.servers[0];
        let leader = &fleet.edges[fleet.leader()];
        leader.signal(Signal::SIGSTOP);
        server.restart();
        sleep(1_000).await;
        server.set_unlisted(Duration::from_millis(3_500));
        server.publish_earlier();
        sleep(1_500).await;
        leader.signal(Signal::SIGCONT);
        sleep(5_000).await;
        fleet.wait_until_serving(Duration::from_secs(15)).await;
    })
    .await;
}

/// A server starts again twice within seconds. Late writes of the process before
/// the last one follow one another, before its own entry and after it.
#[actix_rt::test]
async fn late_entries_around_two_restarts() {
    check(2, async |fleet| {
        let server = &fleet.servers[0];
        server.restart_unlisted(Duration::from_millis(1_000));
        sleep(2_500).await;
        server.restart_unlisted(Duration::from_millis(3_000));
        for _ in 0..4 {
            sleep(1_000).await;
            server.publish_earlier();
        }
        sleep(3_000).await;
        fleet.wait_until_serving(Duration::from_secs(15)).await;
    })
    .await;
}
