//! Tests of the timeline of gateways that keep, drop or lose events.

use {
    crate::commands::{gateway_row, platform},
    actix_http::{Request, Response, body::BoxBody},
    actix_rt::System,
    catkin::{
        admin::Events,
        event::{Kind, Ring, WallTime},
        types::{Fence, Offset, RequestId, Service, SliceId, TargetId},
        wire::Class,
    },
    catkin_net::{listen, reply_json, serve},
    catkinctl::timeline::{
        Collector, Filter, Gap, SliceState, Timeline, TimelineFormat, collect, lanes, render_page,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
};

const START_MICROS: u64 = 1_700_000_000_000_000;
const PAGE_EVENTS: usize = 2;

type Shared = Rc<RefCell<Ring>>;

fn ring(vm: &str, boot: u64, limit: usize) -> Ring {
    Ring::new(vm.parse().unwrap(), boot, limit)
}

fn push(ring: &Shared, millis: u64, kind: Kind) {
    ring.borrow_mut().push(WallTime::from_micros(START_MICROS + millis * 1_000), Offset(9), kind);
}

/// Starts a gateway that returns at most two events per page.
async fn gateway(ring: &Shared) -> SocketAddr {
    let listener = listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let ring = ring.clone();
    actix_rt::spawn(serve(listener, move |request| {
        let answer = events(&ring.borrow(), &request);
        async move { answer }
    }));
    addr
}

fn events(ring: &Ring, request: &Request) -> Response<BoxBody> {
    let query = request.uri().query().unwrap();
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")).unwrap().parse().unwrap();
    let page = ring.page(from, PAGE_EVENTS);
    let boot = ring.page(0, 1).events[0].boot;
    reply_json(200, &Events { vm: "gw".parse().unwrap(), boot, page })
}

fn service() -> Service {
    "lookup".parse().unwrap()
}

fn target(name: &str) -> TargetId {
    name.parse().unwrap()
}

fn granted(slice: u32, name: &str, offset: u64) -> Kind {
    let fence = Fence::new(Offset(offset));
    Kind::SliceGranted { service: service(), slice: SliceId(slice), target: target(name), fence }
}

fn request(id: &str, key: &str) -> Kind {
    let request: RequestId = id.parse().unwrap();
    Kind::Received { request, service: service(), class: Class::Short, key: Some(key.parse().unwrap()) }
}

fn queued(id: &str, slice: u32, name: &str) -> Kind {
    let request = id.parse().unwrap();
    Kind::Queued { request, service: service(), target: target(name), slice: Some(SliceId(slice)) }
}

/// Returns the events of two gateways during a failover of slice 3 from s1 to s2:
/// lease not renewed at 100 ms, expired at 500 ms, slice granted to s2 at 560 ms.
fn failover() -> (Shared, Shared) {
    let (a, b) = (Rc::new(RefCell::new(ring("gw-1", 1, 100))), Rc::new(RefCell::new(ring("gw-2", 1, 100))));
    push(&a, 0, granted(3, "s1", 4));
    push(&a, 0, granted(5, "s3", 4));
    push(&a, 50, request("r1", "cave-7"));
    push(&b, 51, queued("r1", 3, "s1"));
    push(&a, 60, request("r2", "cave-8"));
    push(&b, 61, queued("r2", 5, "s3"));
    push(&a, 100, Kind::LeaseNotRenewed { target: target("s1"), code: 415 });
    push(&a, 200, Kind::LeaseNotRenewed { target: target("s1"), code: 415 });
    push(&a, 500, Kind::LeaseExpired { target: target("s1") });
    push(&b, 560, granted(3, "s2", 9));
    push(&b, 1_000, Kind::LogDown);
    (a, b)
}

fn run(filter: &Filter) -> Timeline {
    let (a, b) = failover();
    System::new().block_on(async {
        let rows =
            [gateway_row("gw-1", gateway(&a).await, "live"), gateway_row("gw-2", gateway(&b).await, "live")];
        let (_running, gateways) = platform(&rows).await;
        collect(&gateways, filter).await.unwrap()
    })
}

fn lines(timeline: &Timeline) -> Vec<String> {
    timeline.lines().map(|line| line.to_string()).collect()
}

/// Guards against missing pages and against events ordered by gateway instead of time.
#[test]
fn events_of_all_gateways_are_merged_in_order() {
    let timeline = run(&Filter::default());
    assert_eq!(timeline.events.len(), 11);
    assert!(timeline.events.is_sorted_by_key(|event| event.at));
    assert!(timeline.all_live_answered());
    let first = "2023-11-14T22:13:20.050000Z+0 gw-1 offset 9: request r1 received: service lookup, class Short, key cave-7";
    assert_eq!(lines(&timeline)[2], first);
}

/// Guards against filters that hide some events of a request, or the lease events
/// that explain why a slice was unavailable.
#[test]
fn filters_select_whole_requests_and_slices() {
    let by_request = run(&Filter { request: Some("r1".parse().unwrap()), ..Filter::default() });
    assert_eq!(by_request.events.len(), 2);
    let by_key = Filter { key: Some("cave-7".parse().unwrap()), ..Filter::default() };
    let by_slice = Filter { slice: Some("lookup/3".parse().unwrap()), ..Filter::default() };
    for filter in [by_key, by_slice] {
        let shown = lines(&run(&filter));
        assert_eq!(shown.len(), 7, "{shown:#?}");
        assert!(shown.iter().any(|line| line.ends_with("lease expired: target s1")));
    }
    let by_server = run(&Filter { server: Some(target("s3")), ..Filter::default() });
    assert_eq!(by_server.events.len(), 3);
    let wall = |millis: u64| Some(WallTime::from_micros(START_MICROS + millis * 1_000));
    let by_time = run(&Filter { from: wall(100), to: wall(500), ..Filter::default() });
    assert_eq!(by_time.events.len(), 3);
}

/// Guards against a chart that shows an owner while there was none.
#[test]
fn lanes_show_owners_and_unavailable_time() {
    let lanes = lanes(&run(&Filter::default()).events);
    assert_eq!(lanes[0].slices[0].to_string(), "lookup/3");
    let millis = |wall: WallTime| (wall.as_micros() - START_MICROS) / 1_000;
    let shown: Vec<_> =
        lanes[0].segments.iter().map(|s| (millis(s.from), millis(s.to), s.state.clone())).collect();
    let expected = [
        (0, 100, SliceState::Owned(target("s1"))),
        (100, 500, SliceState::NotRenewed(target("s1"))),
        (500, 560, SliceState::Unavailable),
        (560, 1_000, SliceState::Owned(target("s2"))),
    ];
    assert_eq!(shown, expected);
    assert_eq!((lanes[0].unavailable_micros(), lanes[1].unavailable_micros()), (60_000, 0));
}

/// Guards against a chart that hides a second owner.
#[test]
fn lanes_show_overlapping_owners() {
    let a = Rc::new(RefCell::new(ring("gw-1", 1, 100)));
    push(&a, 0, granted(3, "s1", 4));
    push(&a, 10, granted(3, "s2", 5));
    push(&a, 20, Kind::LogDown);
    let lanes = lanes(&a.borrow().page(0, 9).events);
    assert_eq!(lanes[0].segments[1].state, SliceState::Overlap(target("s2")));
}

/// Guards against a page that needs other files, and against unescaped markup from
/// events.
#[test]
fn page_is_self_contained_and_escaped() {
    let mut timeline = run(&Filter::default());
    let gap = Gap { vm: "<b>".into(), boot: 1, from: 0, dropped: Some(3), until: None };
    timeline.gaps.push(gap);
    let text = render_page(&timeline);
    assert!(text.contains("<svg") && text.contains("class=\"unavailable\""));
    assert!(text.contains("&lt;b&gt; boot 1 dropped 3 events") && !text.contains("<b>"));
    assert!(!text.contains("src=") && !text.contains("href="));
    let mut json = Vec::new();
    timeline.write(TimelineFormat::Json, &mut json).unwrap();
    let last = String::from_utf8(json).unwrap().lines().last().map(str::to_owned).unwrap();
    assert_eq!(last, r#"{"gap":{"vm":"<b>","boot":1,"from":0,"dropped":3,"until":null}}"#);
}

/// Guards against a timeline that looks complete although a ring dropped events, a
/// process was replaced or a gateway is unreachable, and against events that are
/// shown twice while following.
#[test]
fn missing_events_are_reported() {
    let (a, _) = failover();
    System::new().block_on(async {
        let rows = [
            gateway_row("gw-1", gateway(&a).await, "live"),
            gateway_row("gw-2", "127.0.0.1:9".parse().unwrap(), "live"),
        ];
        let (_running, gateways) = platform(&rows).await;
        let mut collector = Collector::new();
        let first = collector.collect(&gateways).await.unwrap();
        assert_eq!((first.events.len(), first.all_live_answered()), (7, false));
        assert!(lines(&first)[7].starts_with("no answer from gw-2: E415: "), "{:?}", lines(&first)[7]);
        assert!(collector.collect(&gateways).await.unwrap().events.is_empty());

        *a.borrow_mut() = ring("gw-1", 2, 3);
        (0..5).for_each(|millis| push(&a, 2_000 + millis, Kind::LogUp));
        let second = collector.collect(&gateways).await.unwrap();
        assert_eq!(second.events.len(), 3);
        let gaps: Vec<_> = second.gaps.iter().map(ToString::to_string).collect();
        let expected = [
            "gw-1 boot 1 was replaced: its events from number 7 on are lost",
            "gw-1 boot 2 dropped 2 events from number 0 on, before 2023-11-14T22:13:22.002000Z",
        ];
        assert_eq!(gaps, expected);
        let late =
            Filter { from: Some(WallTime::from_micros(START_MICROS + 3_000_000)), ..Filter::default() };
        assert!(collect(&gateways, &late).await.unwrap().gaps.is_empty());
    });
}
