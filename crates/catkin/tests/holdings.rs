//! Who ends when a process holds too many bytes.

use {
    catkin::{
        holdings::Holdings,
        types::{HolderId, Size},
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

fn source(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn add(holdings: &mut Holdings, port: u16, bytes: u64) -> (HolderId, Vec<HolderId>) {
    let id = holdings.add(source(port));
    (id, holdings.set(id, Size::from_bytes(bytes)))
}

/// Nobody ends while the sum is at the limit, however large one holder is.
#[test]
fn nothing_ends_at_the_limit() {
    let mut holdings = Holdings::new(Size::from_bytes(100 * MIB));
    let (large, ended) = add(&mut holdings, 1, 90 * MIB);
    assert_eq!(ended, []);
    assert_eq!(add(&mut holdings, 2, 10 * MIB).1, []);
    assert_eq!(add(&mut holdings, 3, 1).1, [large]);
}

/// Eight faulty servers of 16 hold most of an answer on each connection, beside
/// hundreds of small exchanges. Only exchanges of faulty servers end, whoever
/// asks for the byte above the limit.
#[test]
fn faulty_servers_end_before_small_exchanges() {
    let limit = Size::from_bytes(100 * MIB);
    let mut holdings = Holdings::new(limit);
    let mut faulty = BTreeSet::new();
    let mut ended = Vec::new();
    for i in 0..110 {
        let (id, victims) = add(&mut holdings, 1 + i % 8, 7 * MIB);
        faulty.insert(id);
        ended.extend(victims);
        ended.extend(add(&mut holdings, 100 + i % 8, 16 * KIB).1);
        ended.extend(add(&mut holdings, 1_000 + i, 60 * KIB).1);
    }
    assert!(ended.iter().all(|id| faulty.contains(id)), "{ended:?}");
    assert_eq!(ended.len(), ended.iter().collect::<BTreeSet<_>>().len(), "some ended twice");
    ended.iter().for_each(|id| holdings.remove(*id));
    assert!(holdings.held() <= limit);
    assert!(holdings.held() >= Size::from_bytes(80 * MIB), "more ended than needed");
}

/// A faulty server holds a little on each of many connections, a caller more on
/// one: the server is the cause.
#[test]
fn bytes_of_a_source_count_together() {
    let mut holdings = Holdings::new(Size::from_bytes(10 * MIB));
    let (_, ended) = add(&mut holdings, 9, 3 * MIB);
    assert_eq!(ended, []);
    let exchanges: Vec<HolderId> = (0..7).map(|_| add(&mut holdings, 1, MIB).0).collect();
    let (last, ended) = add(&mut holdings, 2, MIB);
    assert!(exchanges.contains(&ended[0]) && ended[0] != last);
}

/// The bytes of a holder that was told to end are free once it is gone. Until
/// then no other one ends for them.
#[test]
fn ending_holders_make_room() {
    let mut holdings = Holdings::new(Size::from_bytes(10 * MIB));
    let (large, _) = add(&mut holdings, 1, 8 * MIB);
    assert_eq!(add(&mut holdings, 2, 3 * MIB).1, [large]);
    assert_eq!(holdings.set(large, Size::from_bytes(9 * MIB)), [], "it is told once");
    assert_eq!(add(&mut holdings, 3, 4 * MIB).1, []);
    assert_eq!(holdings.held(), Size::from_bytes(16 * MIB));
    holdings.remove(large);
    assert_eq!(holdings.held(), Size::from_bytes(7 * MIB));
    holdings.remove(large);
    assert_eq!(holdings.held(), Size::from_bytes(7 * MIB), "removed twice");
}
