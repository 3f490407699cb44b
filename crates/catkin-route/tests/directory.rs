//! Targets that come, leave, lapse and start again.

mod common;

use {
    catkin::types::Span,
    catkin_route::directory::{Directory, Entry},
    common::{at, entry, life},
};

/// A target that leaves gets nothing new by choice at once, and nothing for
/// its keys after a short time for them to move.
#[test]
fn leaving_target_gets_nothing_new() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(1_000), Entry { draining: true, ..entry("a", 1) });
    let target = directory.get("a").unwrap();
    assert!(!target.is_open());
    assert!(target.serves_keys(at(1_100)));
    assert!(!target.serves_keys(at(1_700)));
}

/// Repeated entries of a leaving target must not start its time again.
#[test]
fn first_sign_of_leaving_counts() {
    let mut directory = Directory::default();
    for now in [1_000, 1_500, 2_000] {
        directory.put(at(now), Entry { draining: true, ..entry("a", 1) });
    }
    assert_eq!(directory.get("a").unwrap().leaving, Some(at(1_000)));
}

/// Starts with four targets.
fn four() -> Directory {
    let mut directory = Directory::default();
    for id in ["a", "b", "c", "d"] {
        directory.put(at(0), entry(id, 1));
    }
    directory
}

/// Entries that lapsed while the store was away count as present until the
/// targets had time to write them again; those that stay away are gone.
#[test]
fn lapsed_entries_have_grace() {
    let mut directory = four();
    assert!(directory.lapse(at(10_000), 4));
    for id in ["a", "b", "c", "d"] {
        directory.remove(at(10_100), id);
    }
    assert!(directory.get("a").is_some());
    directory.put(at(11_000), entry("b", 1));
    directory.tick(at(12_300));
    assert!(directory.get("a").is_none());
    assert!(directory.get("b").unwrap().lapsed.is_none());
}

/// A process that was cut off from the store for a while took entries of
/// targets that had left for lapsed ones, and went on sending to them.
#[test]
fn few_removed_entries_have_no_grace() {
    let mut directory = four();
    assert!(!directory.lapse(at(10_000), 1));
    directory.remove(at(10_000), "a");
    assert!(directory.get("a").is_none());
}

/// Without an outage an entry that is removed is gone at once.
#[test]
fn removed_entry_is_gone() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.remove(at(100), "a");
    assert_eq!(directory.of("s").count(), 0);
}

/// A target that announced its leaving before an outage gets no grace.
#[test]
fn leaving_target_has_no_grace() {
    let mut directory = four();
    directory.put(at(0), Entry { draining: true, ..entry("a", 1) });
    directory.lapse(at(10_000), 4);
    directory.remove(at(10_100), "a");
    assert!(directory.get("a").is_none());
}

/// An address that went to another service must serve that one only.
#[test]
fn changed_service_moves_target() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(100), Entry { service: "t".into(), ..entry("a", 2) });
    assert_eq!((directory.of("s").count(), directory.of("t").count()), (0, 1));
    assert!(directory.living(&life("a", 1)).is_none());
}

/// A complete listing removes what it does not name.
#[test]
fn listing_removes_others() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(0), entry("b", 1));
    directory.retain(at(100), |id| id == "b");
    assert!(directory.get("a").is_none() && directory.get("b").is_some());
}

/// Heartbeats are no news; what matters is.
#[test]
fn only_changes_are_news() {
    let mut directory = Directory::default();
    assert!(directory.put(at(0), entry("a", 1)));
    assert!(!directory.put(at(900), Entry { cold: Span::from_millis(5), ..entry("a", 1) }));
    assert!(directory.put(at(1_800), Entry { draining: true, ..entry("a", 1) }));
    assert!(directory.put(at(2_700), entry("a", 2)));
}
