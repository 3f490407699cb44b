//! The backlog of records that is forwarded to other processes.

use {
    bytes::Bytes,
    catkin_route::backlog::{Backlog, Change, Payload},
    proptest::prelude::*,
    std::fmt::Write,
};

fn change(offset: u64, key: &str, value: &Bytes) -> Change {
    Change { offset, key: Bytes::copy_from_slice(key.as_bytes()), value: Payload::new(value).unwrap() }
}

/// Returns a configuration of 350 routes as text.
fn config(version: u64) -> Bytes {
    let mut text = format!("{{\"configVersion\":\"{version:08x}\",\"listeners\":[");
    for i in 0..350 {
        write!(
            text,
            "{{\"hostname\":\"h{}.example\",\"match\":{{\"pathPrefix\":\"/p{i}/\"}},\"action\":{{\"service\":\"s{}\",\"timeoutMs\":3000,\"maxAttempts\":2}}}},",
            i % 7,
            i % 4
        )
        .unwrap();
    }
    text.into()
}

/// Configurations in quick succession would saturate the leader's link if all
/// were forwarded in full. A process gets the newest one only, and compressed.
#[test]
fn burst_of_configurations_is_passed_on_as_one() {
    let mut backlog = Backlog::default();
    backlog.reset(10);
    for version in 10..27 {
        backlog.append(change(version, "config", &config(version)));
    }
    let changes = backlog.since(12).unwrap();
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].value.decode().unwrap(), config(26));
    assert!(changes[0].value.size() * 5 < config(26).len(), "{} bytes", changes[0].value.size());
}

/// A process without a position must not get an empty topic: it would be without
/// a configuration until the next one.
#[test]
fn empty_backlog_is_no_state() {
    let mut backlog = Backlog::default();
    backlog.reset(10);
    assert!(backlog.newest().is_none());
    backlog.append(change(10, "config", &config(1)));
    backlog.append(change(12, "config", &config(2)));
    let newest = backlog.newest().unwrap();
    assert_eq!((newest.len(), newest[0].offset), (1, 12));
}

/// A process that is behind the kept records must read the store, since the
/// backlog lacks changes that it needs.
#[test]
fn unknown_changes_are_not_passed_on() {
    let mut backlog = Backlog::default();
    assert!(backlog.since(0).is_none());
    backlog.reset(5);
    assert!(backlog.since(4).is_none());
    assert_eq!(backlog.since(5), Some(Vec::new()));
    for offset in 5..2_100 {
        backlog.append(change(offset, &format!("k{offset}"), &Bytes::from_static(b"v")));
    }
    assert!(backlog.since(5).is_none());
    assert_eq!(backlog.since(2_099).unwrap().len(), 1);
}

/// Invalid bytes from a faulty process must not end the process that receives
/// them.
#[test]
fn spoiled_values_are_refused() {
    assert!(Payload::Deflated(Bytes::from_static(b"\xff\x00\x13")).decode().is_err());
    let large = Payload::new(&vec![0; 6 << 20].into()).unwrap();
    assert!(large.decode().is_err());
}

proptest! {
    /// A value that is encoded and decoded is unchanged.
    #[test]
    fn values_survive_packing(value in prop::collection::vec(any::<u8>(), 0..9_000)) {
        let value = Bytes::from(value);
        prop_assert_eq!(Payload::new(&value).unwrap().decode().unwrap(), value);
    }

    /// The changes since any offset hold the newest value of each key that was
    /// written since.
    #[test]
    fn changes_since_an_offset_give_the_newest_values(
        keys in prop::collection::vec(0_u8..5, 1..60),
        from in 0_u64..60,
    ) {
        let mut backlog = Backlog::default();
        backlog.reset(0);
        let mut newest = std::collections::BTreeMap::new();
        for (offset, key) in (0..).zip(&keys) {
            let value = Bytes::from(offset.to_string());
            backlog.append(change(offset, &key.to_string(), &value));
            newest.insert(key.to_string(), (offset, value));
        }
        let expected: Vec<_> = newest.into_iter().filter(|(_, (offset, _))| *offset >= from).collect();
        let mut got: Vec<_> = backlog.since(from).unwrap().into_iter().map(|c| {
            (String::from_utf8(c.key.to_vec()).unwrap(), (c.offset, c.value.decode().unwrap()))
        }).collect();
        got.sort();
        prop_assert_eq!(got, expected);
    }
}
