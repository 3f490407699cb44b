//! Deltas between tables of owners.

mod common;

use {
    catkin_route::{
        delta::Delta,
        owners::{Owners, Row},
    },
    common::{LEASE_TIMES, SERVICE, leader},
    proptest::prelude::*,
};

fn row(from: u16, to: u16, target: &str, fence: u64) -> Row {
    Row { from, to, target: target.into(), started: 1, fence, handover: None }
}

fn table(rows: Vec<Row>) -> Owners {
    Owners {
        leader: leader("x"),
        earlier_leaders: Vec::new(),
        lease_duration: LEASE_TIMES.duration,
        services: [(SERVICE.into(), rows)].into(),
    }
}

/// Returns adjoining rows for bounds and owners; a missing owner leaves a gap.
fn rows(bounds: Vec<u16>, owners: &[Option<u8>]) -> Vec<Row> {
    let mut bounds = bounds;
    bounds.extend([0, u16::MAX]);
    bounds.sort_unstable();
    bounds.dedup();
    let ranges = bounds.windows(2).map(|w| (w[0], if w[1] == u16::MAX { w[1] } else { w[1] - 1 }));
    let owned = ranges.zip(owners.iter().cycle());
    owned.filter_map(|((from, to), owner)| Some(row(from, to, &format!("t{}", (*owner)?), 1))).collect()
}

fn any_table() -> impl Strategy<Value = Owners> {
    let bounds = prop::collection::vec(any::<u16>(), 0..12);
    let owners = prop::collection::vec(prop::option::weighted(0.9, 0_u8..4), 1..12);
    (bounds, owners, any::<bool>(), 1_u64..3).prop_map(|(bounds, owners, is_other, fence)| {
        let mut rows = rows(bounds, &owners);
        for row in rows.iter_mut().skip(1) {
            row.fence = fence;
        }
        let leader = leader(if is_other { "y" } else { "x" });
        Owners { leader, ..table(rows) }
    })
}

proptest! {
    /// A process that applies a delta must get exactly the leader's table.
    #[test]
    fn patch_gives_the_newer_table(old in any_table(), new in any_table()) {
        if let Some(delta) = Delta::new(&old, &new) {
            prop_assert_eq!(delta.apply(&old), new);
        }
    }

    /// A delta to a table without gaps always exists.
    #[test]
    fn whole_tables_are_told_by_changes(old in any_table(), bounds in prop::collection::vec(any::<u16>(), 0..12)) {
        let new = table(rows(bounds, &[Some(7), Some(8)]));
        prop_assert!(Delta::new(&old, &new).is_some());
    }
}

/// The delta for a moved range has some rows, not the full state.
#[test]
fn moved_range_is_told_by_its_row() {
    let bounds: Vec<u16> = (0..200).map(|i| i * 300).collect();
    let owners: Vec<_> = (0..100).map(Some).collect();
    let old = table(rows(bounds, &owners));
    let mut new = old.clone();
    let list = new.services.get_mut(SERVICE).unwrap();
    let first = list[9].clone();
    list.splice(
        9..10,
        [Row { to: first.from + 9, ..first.clone() }, row(first.from + 10, first.to, "t200", 2)],
    );
    let delta = Delta::new(&old, &new).unwrap();
    assert_eq!(delta.apply(&old), new);
    let size = postcard::to_stdvec(&delta).unwrap().len();
    assert!(size < 150, "{size} bytes for one move");
}

/// Rows can't express that keys lost their owner, so the full state is needed.
#[test]
fn lost_owner_needs_the_whole_table() {
    let old = table(vec![row(0, 9, "a", 1), row(10, 19, "b", 1)]);
    let new = table(vec![row(0, 9, "a", 1)]);
    assert_eq!(Delta::new(&old, &new), None);
}

/// A move is told to every process at once. The leader and its address are as before, and
/// took more bytes than the row.
#[test]
fn same_leader_is_not_named_again() {
    let old = table(vec![row(0, 9, "a", 1), row(10, 19, "b", 1)]);
    let new = table(vec![row(0, 9, "a", 1), row(10, 19, "c", 2)]);
    let other = Owners { leader: leader("another"), ..new.clone() };
    let size = |new| postcard::to_stdvec(&Delta::new(&old, new).unwrap()).unwrap().len();
    assert!(size(&new) < 20, "{} bytes for one move", size(&new));
    assert_eq!(Delta::new(&old, &other).unwrap().apply(&old), other);
}
