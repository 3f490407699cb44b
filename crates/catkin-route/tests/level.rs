//! Load levels of the targets of a service.

mod common;

use {
    catkin_route::{
        directory::{Directory, Target},
        level::{LevelBoard, LevelCopy, LevelUpdate, Levels, TargetLoad},
    },
    common::{SERVICE, at, entry},
    proptest::prelude::*,
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

/// Returns the levels of targets of which each has a number of requests.
fn levels_of(directory: &Directory, totals: &[u32]) -> Vec<Levels> {
    let targets = targets(directory);
    let total = |id: &str| targets.iter().position(|t| *t.entry.incarnation.id == *id).map(|i| totals[i]);
    vec![Levels::new(SERVICE.into(), &targets, |id| load(total(id).unwrap_or(0), 0))]
}

fn numbered(count: usize) -> Directory {
    let ids: Vec<String> = (0..count).map(|i| format!("t{i:05}")).collect();
    directory(&ids.iter().map(String::as_str).collect::<Vec<_>>())
}

proptest! {
    /// A process that applies deltas must hold exactly the leader's levels, also if
    /// it gets only some of the versions, and if targets come and go.
    #[test]
    fn deltas_give_the_newest_levels(
        steps in prop::collection::vec((1_usize..40, prop::collection::vec(0_u32..20, 40), any::<bool>()), 1..60)
    ) {
        let (mut board, mut copy) = (LevelBoard::default(), LevelCopy::default());
        let mut totals = vec![0; 40];
        for (i, (count, new_totals, is_sent)) in steps.into_iter().enumerate() {
            // Most steps change few levels of the same targets.
            let count = if i % 7 == 6 { count } else { 33 };
            for (total, new) in totals.iter_mut().zip(new_totals).skip(i % 5).step_by(9) {
                *total = new;
            }
            let newest = levels_of(&numbered(count), &totals);
            board.set(newest.clone());
            if is_sent {
                let update = board.update(copy.version()).unwrap();
                prop_assert_eq!(copy.apply(&update), Some(&newest[..]));
                prop_assert_eq!(copy.version(), Some(board.version()));
            }
        }
    }
}

/// A process that missed an update must not go on with levels that are wrong: it
/// holds none until the leader sends all of them.
#[test]
fn missed_update_leads_to_a_full_copy() {
    let directory = numbered(100);
    let (mut board, mut copy) = (LevelBoard::default(), LevelCopy::default());
    board.set(levels_of(&directory, &[0; 100]));
    copy.apply(&board.update(None).unwrap());
    let mut totals = [0; 100];
    totals[7] = 6;
    board.set(levels_of(&directory, &totals));
    let missed = board.version();
    totals[9] = 6;
    board.set(levels_of(&directory, &totals));
    assert_eq!(copy.apply(&board.update(Some(missed)).unwrap()), None);
    assert_eq!(copy.version(), None);
    let update = board.update(copy.version()).unwrap();
    assert_eq!(copy.apply(&update), Some(&levels_of(&directory, &totals)[..]));
}

/// The levels of another leader may have the same version as the held ones, and a
/// delta from other levels must be detected.
#[test]
fn levels_of_another_leader_are_detected() {
    let directory = numbered(100);
    let (mut first, mut second) = (LevelBoard::default(), LevelBoard::default());
    let mut totals = [6; 100];
    first.set(levels_of(&directory, &totals));
    second.set(levels_of(&directory, &[0; 100]));
    let mut copy = LevelCopy::default();
    copy.apply(&first.update(None).unwrap());
    totals = [0; 100];
    totals[3] = 12;
    second.set(levels_of(&directory, &totals));
    assert_eq!(copy.apply(&second.update(copy.version()).unwrap()), None);
}

/// In calm times few of thousands of targets change their level, and the leader tells
/// that to hundreds of processes several times a second.
#[test]
fn few_changes_take_few_bytes() {
    let directory = numbered(3_000);
    let mut board = LevelBoard::default();
    let mut totals = vec![0; 3_000];
    board.set(levels_of(&directory, &totals));
    let held = board.version();
    for i in 0..20 {
        totals[i * 149] = 6;
    }
    board.set(levels_of(&directory, &totals));
    let update = board.update(Some(held)).unwrap();
    assert!(matches!(update, LevelUpdate::Delta { .. }));
    let size = postcard::to_stdvec(&update).unwrap().len();
    assert!(size < 60, "{size} bytes for 20 changes");
}

/// A process that was away for many versions gets all levels.
#[test]
fn old_versions_are_not_kept() {
    let directory = numbered(10);
    let mut board = LevelBoard::default();
    for i in 0..100 {
        board.set(levels_of(&directory, &[6 * (i % 2); 10]));
    }
    assert!(matches!(board.update(Some(1)), Some(LevelUpdate::Full(100, _))));
    assert!(matches!(board.update(Some(99)), Some(LevelUpdate::Delta { .. })));
}
