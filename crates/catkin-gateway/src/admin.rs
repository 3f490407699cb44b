//! HTTP interface for operators: metrics, status and events.
//!
//! Gateways report only `fencing` or `valid` for leases and `alive` or `leaving`
//! for peers; `left` is always 0.

use {
    crate::node::Node,
    actix_http::{Request, Response, body::BoxBody},
    catkin::admin::{Availability, Events, KeptTarget, LeaseState, Liveness, Peer, Status, path},
    std::rc::Rc,
    tokio::net::TcpListener,
};

const PAGE_EVENTS_MAX: usize = 4_096;

/// Serves operators until the process ends or the listener fails.
pub(crate) async fn serve(node: Rc<Node>, listener: TcpListener) {
    let served = catkin_net::serve(listener, move |request| {
        let answer = handle(&node, &request);
        async move { answer }
    });
    if let Err(error) = served.await {
        log::error!("the admin listener has failed: {error}");
    }
}

fn handle(node: &Node, request: &Request) -> Response<BoxBody> {
    match request.path() {
        path::METRICS => catkin_net::reply_text(200, &*node.metrics.encode()),
        path::STATUS => catkin_net::reply_json(200, &status(node)),
        path::EVENTS => catkin_net::reply_json(200, &events(node, request.uri().query().unwrap_or_default())),
        page => {
            let known = [path::METRICS, path::STATUS, path::EVENTS].join(", ");
            catkin_net::reply_text(404, format!("no page {page}; the pages are {known}\n"))
        }
    }
}

fn events(node: &Node, query: &str) -> Events {
    let parameter = |name: &str| {
        let mut parameters = query.split('&').filter_map(|field| field.split_once('='));
        parameters.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let from = parameter("from").unwrap_or_default();
    let max = parameter("max").and_then(|max| usize::try_from(max).ok()).unwrap_or(PAGE_EVENTS_MAX);
    let page = node.events.borrow().page(from, max.min(PAGE_EVENTS_MAX));
    Events { vm: node.settings.vm.clone(), boot: node.incarnation, page }
}

fn status(node: &Node) -> Status {
    let state = node.state.borrow();
    Status {
        vm: node.settings.vm.clone(),
        boot: node.incarnation,
        zone: node.settings.zone.clone(),
        revision: state.config().revision,
        offset: state.next_offset(),
        log: if node.log_available.get() { Availability::Up } else { Availability::Down },
        leaving: node.leaving.get(),
        targets: targets(node),
        peers: peers(node),
        uptime: node.now().since(Default::default()),
    }
}

fn targets(node: &Node) -> Vec<KeptTarget> {
    let state = node.state.borrow();
    let keeper = node.keeper.borrow();
    let now = node.now();
    let kept = state.kept_by(&node.settings.vm);
    kept.map(|(target, row)| KeptTarget {
        target: target.clone(),
        fence: row.fence,
        lease: if keeper.admit(now, target, None).is_ok() { LeaseState::Valid } else { LeaseState::Fencing },
        left: Default::default(),
    })
    .collect()
}

fn peers(node: &Node) -> Vec<Peer> {
    let members = node.members.borrow();
    let live = members.live().filter(|live| live.vm != node.settings.vm);
    live.map(|live| Peer {
        liveness: if live.leaving { Liveness::Leaving } else { Liveness::Alive },
        vm: live.vm,
    })
    .collect()
}
