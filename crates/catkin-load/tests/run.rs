//! Checks reports of the load generator against stand-ins with known behaviour.

use {
    actix_http::{Request, Response, body::BoxBody},
    actix_rt::System,
    awc::Client,
    catkin::{
        settings::{Standin, parse},
        types::Span,
    },
    catkin_load::{Event, Experiment, Report, run},
    catkin_net::{listen, reply_text, serve},
    catkin_standin::{PlatformFaults, TargetFaults, start},
    std::{net::SocketAddr, time::Duration},
};

const RUN_TIMEOUT: Duration = Duration::from_secs(60);

fn standin() -> Standin {
    parse(
        "
targets:
  - {id: t-1, service: s, zone: a, addr: '127.0.0.1:0', slots: 100, work: 1us, fenced: true, connections: 1000}
",
    )
    .unwrap()
}

fn experiment(addr: SocketAddr) -> Experiment {
    let text = format!(
        "
name: direct
seed: 1
gateways: ['{addr}']
targets: [{{addr: '{addr}'}}]
phases: [{{span: 200ms, rate: 200}}]
settle: 0us
kinds:
  - {{name: lookup, service: s, weight: 4, deadline: 30s, answer: 1KiB, keys: {{by: even, count: 9}}}}
  - {{name: order, service: s, weight: 1, deadline: 30s, method: post, protected: true, body: 100B}}
  - {{name: upload, service: s, weight: 1, deadline: 30s, method: put, body: 300KiB}}
"
    );
    parse(&text).unwrap()
}

fn event(addr: SocketAddr) -> Event {
    let (target, platform) = (None, None);
    Event { at: Span::ZERO, addr, target, platform, list: None, remove: None, drain: false }
}

async fn run_in_time(experiment: &Experiment) -> Report {
    actix_rt::time::timeout(RUN_TIMEOUT, run(experiment)).await.expect("run exceeded its time limit").unwrap()
}

/// Guards against violations in a run without faults, and against request bodies
/// whose checksum differs from that of the stand-in.
#[test]
fn direct_run_is_clean() {
    System::new().block_on(async {
        let running = start(&standin()).await.unwrap();
        let report = run_in_time(&experiment(running.targets[0])).await;
        assert!(report.checks.is_clean(), "{report}");
        assert_eq!((report.ran(), report.checks.runs), (report.sent(), report.sent()));
        assert!(report.kinds.values().all(|kind| kind.latency.count == kind.sent && kind.sent > 0));
    });
}

/// Guards against faults that don't take effect on the target, and against cut
/// answers that count as complete.
#[test]
fn events_take_effect_and_cuts_are_seen() {
    System::new().block_on(async {
        let running = start(&standin()).await.unwrap();
        let addr = running.targets[0];
        let mut experiment = experiment(addr);
        let faults = TargetFaults { cut: u32::MAX, ..TargetFaults::default() };
        experiment.events = vec![
            Event { target: Some(faults), ..event(addr) },
            Event {
                platform: Some(PlatformFaults { down: true, ..PlatformFaults::default() }),
                ..event(addr)
            },
        ];
        let report = run_in_time(&experiment).await;
        let cut: u64 = report.kinds.values().filter_map(|kind| kind.answers.get("cut")).sum();
        assert!(cut > 0, "{report}");
        assert_eq!(report.checks.failed_events.count, 1, "a target refuses faults of a platform");
        assert_eq!(report.checks.lost.count + report.checks.hidden_cut.count, 0, "{report}");
    });
}

async fn serve_wrong_answers(request: Request) -> Response<BoxBody> {
    let text = if request.method() == "GET" {
        r#"{"target":"t-1","boot":1,"request":null,"call":"other","key":null,"operation":"o","fence":null,
            "path":"/","length":0,"checksum":0,"pad":""}"#
    } else {
        r#"{"target":"t-1","#
    };
    let mut answer = reply_text(200, text);
    let ran = actix_http::header::HeaderValue::from_static("ran");
    answer.headers_mut().insert("x-catkin-outcome".parse().unwrap(), ran);
    answer
}

/// Guards against answers to other requests and truncated bodies that count as
/// correct, and against an unreadable ledger that is not reported.
#[test]
fn wrong_answers_are_found() {
    System::new().block_on(async {
        let listener = listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = actix_rt::spawn(serve(listener, serve_wrong_answers));
        let mut experiment = experiment(addr);
        experiment.kinds.truncate(2);
        let checks = run_in_time(&experiment).await.checks;
        assert!(checks.mixed.count > 0 && checks.hidden_cut.count > 0);
        assert_eq!((checks.lost.count, checks.unread.count), (0, 1));
        server.abort();
    });
}

/// Guards against coordinated omission: a generator that waits for answers sends
/// nothing during a stall, and so its latencies do not show the stall.
#[test]
fn stall_shows_in_the_latency_of_later_arrivals() {
    System::new().block_on(async {
        let running = start(&standin()).await.unwrap();
        let addr = running.targets[0];
        let mut experiment = experiment(addr);
        experiment.kinds.truncate(1);
        let freeze = TargetFaults { freeze: Span::from_secs(3_600), ..TargetFaults::default() };
        Event { target: Some(freeze), ..event(addr) }.send(&Client::default()).await.unwrap();
        // The freeze ends after the last arrival.
        let unfreeze =
            Event { at: Span::from_millis(400), target: Some(TargetFaults::default()), ..event(addr) };
        experiment.events = vec![unfreeze];
        let report = run_in_time(&experiment).await;
        let lookup = &report.kinds["lookup"];
        assert!(lookup.latency.p50 >= 200_000, "{report}");
        assert_eq!(lookup.ran, lookup.sent);
    });
}

/// Guards against a client that retries a request which may have run, and so
/// may run it twice.
#[test]
fn request_without_an_answer_is_not_sent_again() {
    System::new().block_on(async {
        let running = start(&standin()).await.unwrap();
        let addr = running.targets[0];
        let mut experiment = experiment(addr);
        experiment.gateways = vec![addr, addr];
        let faults = TargetFaults { hang_up: u32::MAX, ..TargetFaults::default() };
        Event { target: Some(faults), ..event(addr) }.send(&Client::default()).await.unwrap();
        let report = run_in_time(&experiment).await;
        assert!(report.checks.is_clean(), "{report}");
        assert_eq!((report.ran(), report.checks.runs), (0, report.sent()));
    });
}
