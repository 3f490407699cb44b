//! How far requests of each rank may fill a target.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::Directory,
        load::{Completion, Criteria, LocalLoads},
        rank::{FillFactor, Ranks},
    },
    common::{SERVICE, at, entry, incarnation},
};

const PEERS: u32 = 70;

/// Returns whether the only target of a service, with 6 slots and a reported
/// number of requests, gets a request.
fn is_sent(reported: u32, fill: FillFactor) -> bool {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    let mut loads = LocalLoads::new("z".into());
    loads.begin(at(0), &incarnation("a", 1), PEERS);
    loads.record_report(at(1), &incarnation("a", 1), reported + 1, 1.0);
    loads.end(at(1), &incarnation("a", 1), Completion::Good, Span::from_millis(90), 6);
    loads.choose(at(2), &directory, SERVICE, PEERS, Criteria { fill, ..Criteria::new(0) }).is_some()
}

/// Less urgent requests that queue at a target delay urgent ones that come
/// later.
#[test]
fn least_urgent_requests_take_free_slots_only() {
    let ranks = Ranks { first: 0, last: 2 };
    for (rank, requests_max) in [(0, 15), (1, 10), (2, 5)] {
        let fill = ranks.fill_factor(rank, 0.0);
        assert!(is_sent(requests_max, fill), "rank {rank}");
        assert!(!is_sent(requests_max + 1, fill), "rank {rank}");
    }
}

/// A request that has waited for its time must not be refused at a target that
/// has room in its queue.
#[test]
fn late_requests_fill_targets_as_urgent_ones() {
    let ranks = Ranks { first: 0, last: 2 };
    assert!(!is_sent(14, ranks.fill_factor(2, 0.5)));
    assert!(is_sent(14, ranks.fill_factor(2, 1.0)));
}

/// A fleet whose requests have one rank is served as before there were ranks.
#[test]
fn single_rank_has_no_headroom() {
    for rank in [0, 3] {
        let fill = Ranks { first: rank, last: rank }.fill_factor(rank, 0.0);
        assert_eq!(fill, FillFactor::MAX);
        assert!(is_sent(14, fill));
    }
}
