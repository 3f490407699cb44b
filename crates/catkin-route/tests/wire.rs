//! Decoders of what other processes send, on arbitrary and on changed bytes.

mod common;

use {
    catkin_route::{
        announced::LimitReport,
        backlog::Change,
        delta::Delta,
        directory::{Directory, Entry},
        level::{LevelBoard, LevelCopy, LevelUpdate, Levels, TargetLoad},
        owners::{Owners, Row},
    },
    common::{SERVICE, at, entry, incarnation, leader},
    proptest::prelude::*,
    std::collections::BTreeMap,
};

fn table(cuts: &[u16], fence: u64) -> Owners {
    let mut from = 0;
    let mut rows = Vec::new();
    for (i, to) in cuts.iter().copied().chain([u16::MAX]).enumerate() {
        let target = if i % 2 == 0 { "a" } else { "b" };
        rows.push(Row { from, to, target: target.into(), started: 1, fence, handover: None });
        from = to.saturating_add(1);
    }
    let services = BTreeMap::from([(SERVICE.into(), rows)]);
    Owners {
        leader: leader("vm"),
        earlier_leaders: Vec::new(),
        lease_duration: common::LEASE_TIMES.duration,
        services,
    }
}

/// Decodes bytes as each kind of message, and uses what was decoded.
fn use_all(bytes: &[u8]) {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(0), entry("b", 1));
    let old = table(&[100, 30_000], 1);
    if let Ok(delta) = postcard::from_bytes::<Delta>(bytes) {
        let _ = delta.apply(&old).find(SERVICE, 200);
    }
    if let Ok(levels) = postcard::from_bytes::<Levels>(bytes) {
        let targets: Vec<_> = directory.of_service(SERVICE).collect();
        let _ = levels.unpack(&targets);
    }
    if let Ok(update) = postcard::from_bytes::<LevelUpdate>(bytes) {
        let targets: Vec<_> = directory.of_service(SERVICE).collect();
        let mut board = LevelBoard::default();
        board.set(vec![Levels::new(SERVICE.into(), &targets, |_| TargetLoad::default())]);
        let mut copy = LevelCopy::default();
        copy.apply(&board.update(None).unwrap());
        let _ = copy.apply(&update);
        let _ = copy.apply(&update);
    }
    if let Ok(change) = postcard::from_bytes::<Change>(bytes) {
        let _ = change.value.decode();
    }
    if let Ok(entries) = postcard::from_bytes::<Vec<Entry>>(bytes) {
        directory.replace(at(1), entries);
    }
    if let Ok(report) = postcard::from_bytes::<LimitReport>(bytes) {
        let mut board = catkin_route::announced::LimitBoard::default();
        board.record(at(1_000), &report);
        let _ = board.reports(at(2_000));
    }
    if let Ok(owners) = Owners::decode(bytes) {
        let _ = owners.find(SERVICE, u16::MAX);
    }
}

/// Returns a valid message of each kind.
fn messages() -> Vec<Vec<u8>> {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    let targets: Vec<_> = directory.of_service(SERVICE).collect();
    let levels = Levels::new(SERVICE.into(), &targets, |_| TargetLoad { total: 9, queue_length: 3 });
    let mut board = LevelBoard::default();
    board.set(vec![Levels::new(SERVICE.into(), &targets, |_| TargetLoad::default())]);
    board.set(vec![levels.clone()]);
    let delta = Delta::new(&table(&[100, 30_000], 1), &table(&[100, 40_000], 2)).unwrap();
    let limit = LimitReport { incarnation: incarnation("a", 1), per_second: Some(2.5), age: 7 };
    vec![
        postcard::to_stdvec(&delta).unwrap(),
        postcard::to_stdvec(&levels).unwrap(),
        postcard::to_stdvec(&board.update(Some(1)).unwrap()).unwrap(),
        postcard::to_stdvec(&directory.listing(at(0))).unwrap(),
        postcard::to_stdvec(&limit).unwrap(),
        table(&[5, 500], 3).encode().unwrap(),
    ]
}

/// A length that is not followed by its bytes must be an error, not an
/// allocation of that size.
#[test]
fn lengths_without_bytes_are_refused() {
    let huge = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
    assert!(postcard::from_bytes::<Vec<Entry>>(&huge).is_err());
    assert!(postcard::from_bytes::<LimitReport>(&huge).is_err());
    assert!(Owners::decode(&huge).is_err());
}

proptest! {
    /// No bytes of another process end this one.
    #[test]
    fn any_bytes_of_a_process_are_survived(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        use_all(&bytes);
    }

    /// Nor do valid messages with one byte changed or cut off anywhere.
    #[test]
    fn changed_messages_are_survived(number in 0..6_usize, place in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = messages().swap_remove(number);
        let place = place.index(bytes.len());
        bytes[place] = byte;
        use_all(&bytes);
        use_all(&bytes[..place]);
    }
}
