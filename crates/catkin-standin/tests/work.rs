//! Guards against targets whose answers, faults and ledger do not agree.

mod common;

use {
    actix_rt::spawn,
    catkin::{
        Code,
        api::{Load, header, path},
        types::{Share, Span},
    },
    catkin_net::{get, is_unsent, read_body},
    catkin_standin::{TargetFaults, header as standin_header, read_journal},
    common::{Env, LIMIT, run},
    std::time::Duration,
};

const BYTES_MAX: usize = 1 << 20;
/// Time after which a request counts as unanswered.
const NO_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Duration of work that does not end during a test.
const ENDLESS_WORK_MS: &str = "3600000";

async fn load(env: &Env) -> Load {
    get(&env.client, env.target(), path::LOAD, LIMIT).await.unwrap()
}

/// Guards against more running work than slots, and against work that goes on
/// after its caller has closed the connection.
#[test]
fn slots_are_limited_and_freed_when_the_caller_disconnects() {
    run(
        |_| {},
        async |env| {
            let first = spawn(
                env.work_request("/a").insert_header((standin_header::WORK_MS, ENDLESS_WORK_MS)).send(),
            );
            while load(&env).await.running == 0 {}
            let second = env.work_request("/b").send().await.unwrap();
            assert_eq!(second.headers().get(header::OUTCOME).unwrap(), "not-run");
            first.abort();
            let ledger = env.wait_ledger(|ledger| ledger.counts.cancelled == 1).await;
            assert_eq!((ledger.counts.refused, ledger.counts.ran), (1, 0));
            assert!(env.work_request("/c").send().await.unwrap().status().is_success());
        },
    );
}

/// Guards against work that goes on after its deadline.
#[test]
fn work_stops_at_its_deadline() {
    run(
        |_| {},
        async |env| {
            let request = env.work_request("/a").insert_header((standin_header::WORK_MS, ENDLESS_WORK_MS));
            let answer = request.insert_header((header::DEADLINE, "5")).send().await.unwrap();
            assert_eq!(answer.headers().get(header::OUTCOME).unwrap(), "unknown");
            let ledger = env.ledger().await;
            assert_eq!((ledger.counts.late, ledger.counts.ran), (1, 0));
        },
    );
}

/// Guards against a fault that cuts an answer in a way that the caller can't
/// detect.
#[test]
fn incomplete_answers_are_detected() {
    run(
        |_| {},
        async |env| {
            let faults = TargetFaults { cut: 1, silent: 1, hang_up: 1, lose: 1, ..TargetFaults::default() };
            env.set_target_faults(faults).await;
            let lost = spawn(env.work_request("/a").send());
            env.wait_ledger(|ledger| ledger.counts.ran == 1).await;
            assert!(!lost.is_finished());
            lost.abort();
            assert!(!is_unsent(&env.work_request("/e").send().await.unwrap_err()));
            let mut silent = env.work_request("/b").send().await.unwrap();
            assert!(actix_rt::time::timeout(NO_ANSWER_TIMEOUT, silent.body()).await.is_err());
            let cut =
                read_body(&mut env.work_request("/c").send().await.unwrap(), BYTES_MAX).await.unwrap_err();
            assert_eq!(cut.code(), Code::AnswerCut);
            assert!(read_body(&mut env.work_request("/d").send().await.unwrap(), BYTES_MAX).await.is_ok());
            assert_eq!(env.ledger().await.counts.ran, 5);
        },
    );
}

/// Guards against the faults `shed` and `refuse` refusing more or fewer
/// requests than they are set to.
#[test]
fn refusals_follow_the_faults() {
    run(
        |_| {},
        async |env| {
            env.set_target_faults(TargetFaults { shed: Share::new(0.5).unwrap(), ..TargetFaults::default() })
                .await;
            for _ in 0..10 {
                env.work_request("/a").send().await.unwrap();
            }
            env.set_target_faults(TargetFaults { refuse: true, ..TargetFaults::default() }).await;
            assert_eq!(env.work_request("/a").send().await.unwrap().status(), 503);
            let counts = env.ledger().await.counts;
            assert_eq!((counts.ran, counts.refused), (5, 6));
        },
    );
}

/// Guards against a target that answers while it is frozen, or that fails work
/// because of a freeze.
#[test]
fn frozen_target_answers_after_the_freeze() {
    run(
        |_| {},
        async |env| {
            env.set_target_faults(TargetFaults { freeze: Span::from_secs(3_600), ..TargetFaults::default() })
                .await;
            let work = spawn(env.work_request("/a").send());
            assert!(actix_rt::time::timeout(NO_ANSWER_TIMEOUT, env.work_request("/b").send()).await.is_err());
            assert!(!work.is_finished());
            env.set_target_faults(TargetFaults::default()).await;
            assert!(work.await.unwrap().unwrap().status().is_success());
        },
    );
}

/// Guards against reports that show the present load although the setting `lag`
/// or the fault `lie` is on.
#[test]
fn load_reports_follow_lag_and_lie() {
    run(
        |settings| settings.targets[0].lag = Span::from_secs(3_600),
        async |env| {
            let first = spawn(
                env.work_request("/a").insert_header((standin_header::WORK_MS, ENDLESS_WORK_MS)).send(),
            );
            while env.work_request("/b").send().await.unwrap().status().is_success() {}
            assert_eq!(load(&env).await.running, 0);
            let lie = Load { running: 5, ..Load::default() };
            env.set_target_faults(TargetFaults { lie: Some(lie), ..TargetFaults::default() }).await;
            assert_eq!(load(&env).await, lie);
            first.abort();
        },
    );
}

/// Guards against runs that are missing in the journal, so that they are lost
/// when the process ends.
#[test]
fn journal_has_the_runs_of_the_ledger() {
    let file = std::env::temp_dir().join(format!("catkin-standin-journal-{}", std::process::id()));
    let journal = file.clone();
    run(
        |settings| settings.targets[0].journal = Some(journal),
        async |env| {
            for operation in ["o-1", "o-2", "o-1"] {
                env.work_request("/a")
                    .insert_header((standin_header::OPERATION, operation))
                    .send()
                    .await
                    .unwrap();
            }
            let (live, kept) = (env.ledger().await, read_journal(&file).unwrap());
            assert_eq!((kept.len(), &kept[0].runs), (1, &live.runs));
            std::fs::remove_file(&file).unwrap();
        },
    );
}
