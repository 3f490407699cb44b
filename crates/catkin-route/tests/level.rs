//! Load levels of the targets of a service.

mod common;

use {
    catkin_route::{
        directory::{Directory, Target},
        level::{Levels, TargetLoad},
    },
    common::{SERVICE, at, entry},
    std::collections::HashMap,
};

fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.put(at(0), entry(id, 1));
    }
    directory
}

fn targets(directory: &Directory) -> Vec<&Target> {
    directory.of_service(SERVICE).collect()
}

fn load(total: u32, queue_length: u32) -> TargetLoad {
    TargetLoad { total, queue_length }
}

/// A process that took a busy target for a free one would overfill it, and one
/// that took a free target for a busy one would wait for quotas.
#[test]
fn levels_keep_what_decides() {
    let directory = directory(&["a", "b", "c", "d", "e"]);
    let loads: HashMap<&str, TargetLoad> =
        [("a", load(5, 0)), ("b", load(6, 0)), ("c", load(9, 0)), ("d", load(15, 40)), ("e", load(3, 1))]
            .into();
    let levels = Levels::new(SERVICE.into(), &targets(&directory), |id| loads[id]);
    let unpacked = levels.unpack(&targets(&directory)).unwrap();
    let found: HashMap<&str, TargetLoad> = unpacked.iter().map(|(i, load)| (&*i.id, *load)).collect();
    assert!(!found.contains_key("a"));
    for (id, sent) in loads.iter().filter(|(id, _)| **id != "a") {
        assert_eq!(found[id].is_busy(6), sent.is_busy(6), "target {id}");
        assert!(found[id].queue_length <= sent.queue_length, "target {id}");
    }
    // 40 queued requests are between six and eight times the slots.
    assert_eq!(found["d"].queue_length, 36);
}

/// Levels of other targets would be applied to the wrong ones.
#[test]
fn other_targets_are_detected() {
    let sender = directory(&["a", "b"]);
    let levels = Levels::new(SERVICE.into(), &targets(&sender), |_| load(15, 3));
    for ids in [&["a"][..], &["a", "c"], &["a", "b", "c"], &[]] {
        assert_eq!(levels.unpack(&targets(&directory(ids))), None);
    }
    assert!(levels.unpack(&targets(&sender)).is_some());
}

/// At a crest the leader sends a message to each of hundreds of processes many
/// times a second: the levels of 700 targets must take bytes, not kilobytes.
#[test]
fn levels_of_hundreds_of_targets_are_small() {
    let ids: Vec<String> = (0..700).map(|i| format!("i-{i:010x}")).collect();
    let directory = directory(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    let levels = Levels::new(SERVICE.into(), &targets(&directory), |_| load(15, 30));
    assert!(postcard::to_stdvec(&levels).unwrap().len() < 400);
}
