//! Commands of the leader to targets that restart, or answer more than once.

mod common;

use {
    catkin_standin::users::{Config, put_config},
    common::{
        Fleet, plan,
        target::{Received, Reply, ScriptedTarget, check_fences},
    },
    std::{collections::HashMap, time::Duration},
};

/// Service of the scripted targets.
const SERVICE: &str = "scripted";

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts a process that leads scripted targets, and waits until they hold all
/// keys.
async fn start<const N: usize>(ids: [&'static str; N]) -> (Fleet, Vec<ScriptedTarget>) {
    let fleet = Fleet::start(1).await;
    let mut targets = Vec::new();
    for id in ids {
        targets.push(ScriptedTarget::start(&fleet, id, SERVICE).await);
    }
    let mut services = plan(2).services;
    services.push((SERVICE, true));
    put_config(&fleet.store, &Config { services, ..plan(2) });
    sleep(4_000).await;
    let table = fleet.table();
    let keys: u32 = table.services[SERVICE].iter().map(|row| u32::from(row.to - row.from) + 1).sum();
    assert_eq!(keys, 1 << 16, "keys without an owner");
    (fleet, targets)
}

/// A target starts again under its id and is listed a second later. Renewals on
/// a new connection gave the new process keys under fences of the earlier one.
/// The leader took the new entry as proof that nobody held these keys, and gave
/// them to other targets.
#[actix_rt::test]
async fn later_process_gets_no_fence_of_the_earlier_one() {
    let (fleet, targets) = start(["a", "b", "c"]).await;
    let process = targets[0].restart();
    sleep(1_000).await;
    targets[0].publish(&fleet, process, "ready");
    sleep(4_000).await;
    let grants = targets[0].received().into_iter().filter(|request| request.is_grant());
    assert!(grants.filter(|grant| grant.process == process).count() > 0, "no keys for the new process");
    check_fences(&targets.iter().collect::<Vec<_>>());
}

/// A target that leaves closes its connections with each answer. Only one of its
/// ranges was released then, and the others waited until their leases expired.
#[actix_rt::test]
async fn leaving_target_hands_over_all_keys() {
    let (fleet, targets) = start(["a", "b", "c"]).await;
    let ranges = fleet.table().services[SERVICE].iter().filter(|row| *row.target == *"a").count();
    targets[0].set_script(|request| {
        let close = "connection: close\r\nx-handover: h\r\n";
        request.answer("200 OK", close).into()
    });
    targets[0].publish(&fleet, 1, "draining");
    sleep(2_000).await;
    let releases = targets[0].received().iter().filter(|request| request.is_release()).count();
    assert!(ranges > 2 && releases >= ranges, "{releases} releases of {ranges} ranges");
    assert!(fleet.table().services[SERVICE].iter().all(|row| *row.target != *"a"));
    check_fences(&targets.iter().collect::<Vec<_>>());
}

/// A target without requests says in its answers to commands that it leaves, and one
/// passes on a refusal of another target. The first one kept its keys until a
/// request showed it; the second one must keep them.
#[actix_rt::test]
async fn answers_to_commands_announce_departures() {
    let (fleet, targets) = start(["a", "b", "c"]).await;
    targets[0].set_script(|request| request.answer("200 OK", "server-leaving: 1\r\n").into());
    targets[1].set_script(|request| match request.is_grant() {
        true => {
            let other = "x-not-run: 1\r\nx-instance-id: other\r\nserver-leaving: 1\r\n";
            request.answer("421 Misdirected Request", other).into()
        }
        false => request.accept().into(),
    });
    sleep(1_500).await;
    let rows = fleet.table().services[SERVICE].clone();
    assert!(rows.iter().all(|row| *row.target != *"a"), "{rows:?}");
    assert!(rows.iter().any(|row| *row.target == *"b"), "{rows:?}");
}

/// Time from a release to the end of the work in progress.
const WORK_TIME: Duration = Duration::from_millis(300);

/// Lets a target drain that writes its answer to a release once more when the
/// next release comes on the connection, and checks that no key is granted to
/// another target before its work has ended.
async fn drain_with_repeated_answers(names_ids: bool) {
    let (fleet, targets) = start(["a", "b", "c"]).await;
    let mut last = HashMap::new();
    targets[0].set_script(move |request| {
        if !request.is_release() {
            return request.accept().into();
        }
        let request = if names_ids { request.clone() } else { request.without_id() };
        let answer = request.accept();
        let early = last.insert(request.conn, answer.clone()).unwrap_or_default();
        Reply { early, delay: WORK_TIME, answer }
    });
    targets[0].publish(&fleet, 1, "draining");
    sleep(6_000).await;
    let grants: Vec<_> = targets[1..].iter().flat_map(ScriptedTarget::received).collect();
    let received = targets[0].received();
    let releases: Vec<_> = received.iter().filter(|request| request.is_release()).collect();
    assert!(releases.len() > 2, "{} releases", releases.len());
    for release in releases {
        let is_early = |grant: &&Received| {
            let age = grant.at.saturating_duration_since(release.at);
            grant.is_grant() && grant.overlaps(release) && !age.is_zero() && age < WORK_TIME
        };
        if let Some(grant) = grants.iter().find(is_early) {
            panic!("{grant:?} while the work of {release:?} went on");
        }
    }
}

/// A late copy of the answer to a release was taken for the answer to the next
/// one, so keys were granted to another target while their owner was at work.
#[actix_rt::test]
async fn repeated_release_answer_frees_no_other_keys() {
    drain_with_repeated_answers(true).await;
}

/// A target does not name the command that it answers. Only a connection of its
/// own tells the answer to a release from a copy of an earlier one.
#[actix_rt::test]
async fn nameless_release_answer_frees_no_other_keys() {
    drain_with_repeated_answers(false).await;
}
