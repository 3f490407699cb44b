//! Targets that join, drain, expire and restart.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::{Directory, Entry},
        load::{Denial, LocalLoads},
        owners::{Owners, Row},
        rank::FillFactor,
    },
    common::{at, entry, incarnation, leader},
};

/// A draining target gets no new requests by choice at once, and none for its
/// keys after the short time in which they move.
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

/// Further entries of a draining target must not restart the time for which it
/// still serves its keys.
#[test]
fn first_sign_of_leaving_counts() {
    let mut directory = Directory::default();
    for now in [1_000, 1_500, 2_000] {
        directory.put(at(now), Entry { draining: true, ..entry("a", 1) });
    }
    assert_eq!(directory.get("a").unwrap().draining_since, Some(at(1_000)));
}

/// Returns a directory of four targets.
fn four_targets() -> Directory {
    let mut directory = Directory::default();
    for id in ["a", "b", "c", "d"] {
        directory.put(at(0), entry(id, 1));
    }
    directory
}

/// Entries that expired while the store was unavailable count as present for a
/// grace period, in which live targets write them again. The others are removed
/// at its end.
#[test]
fn lapsed_entries_have_grace() {
    let mut directory = four_targets();
    assert!(directory.note_removals(at(10_000), 4));
    for id in ["a", "b", "c", "d"] {
        directory.remove(at(10_100), id);
    }
    assert!(directory.get("a").is_some());
    directory.put(at(11_000), entry("b", 1));
    directory.tick(at(12_300));
    assert!(directory.get("a").is_none());
    assert!(directory.get("b").unwrap().grace_end.is_none());
}

/// Entries that are removed one at a time belong to targets that left, so they
/// get no grace period, also after this process was cut off from the store for
/// a while: it must send nothing more to these targets.
#[test]
fn few_removed_entries_have_no_grace() {
    let mut directory = four_targets();
    assert!(!directory.note_removals(at(10_000), 1));
    directory.remove(at(10_000), "a");
    assert!(directory.get("a").is_none());
}

/// Without an outage of the store, a removed entry removes its target at once.
#[test]
fn removed_entry_removes_target() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.remove(at(100), "a");
    assert_eq!(directory.of_service("s").count(), 0);
}

/// A target that was draining before an outage gets no grace period, since it
/// has left.
#[test]
fn draining_target_has_no_grace() {
    let mut directory = four_targets();
    directory.put(at(0), Entry { draining: true, ..entry("a", 1) });
    directory.note_removals(at(10_000), 4);
    directory.remove(at(10_100), "a");
    assert!(directory.get("a").is_none());
}

/// A target that changes its service must no longer get requests of the old
/// one.
#[test]
fn changed_service_moves_target() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(100), Entry { service: "t".into(), ..entry("a", 2) });
    assert_eq!((directory.of_service("s").count(), directory.of_service("t").count()), (0, 1));
    assert!(directory.current(&incarnation("a", 1)).is_none());
}

/// A complete listing removes the targets that it does not name.
#[test]
fn listing_removes_others() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(0), entry("b", 1));
    directory.retain(at(100), |id| id == "b");
    assert!(directory.get("a").is_none() && directory.get("b").is_some());
}

/// An entry that differs only in the rest of the slow start is not reported as
/// changed; every other difference is.
#[test]
fn only_changes_are_reported() {
    let mut directory = Directory::default();
    assert!(directory.put(at(0), entry("a", 1)));
    assert!(!directory.put(at(900), Entry { cold_left: Span::from_millis(5), ..entry("a", 1) }));
    assert!(directory.put(at(1_800), Entry { draining: true, ..entry("a", 1) }));
    assert!(directory.put(at(2_700), entry("a", 2)));
}

/// A process whose entry is still listed long after a moment has run since: the
/// entry of one that had ended would be gone. Without this, a doubt about a
/// process would end only when its entry changes.
#[test]
fn listed_processes_are_confirmed_with_time() {
    let mut directory = Directory::default().with_entry_ttl(Span::from_secs(4));
    directory.put(at(0), entry("a", 1));
    let doubt = at(10_000);
    for millis in (0..14_000).step_by(300) {
        directory.note_read(at(millis));
        assert!(!directory.is_confirmed(&incarnation("a", 1), doubt), "after {millis} ms");
    }
    directory.note_read(at(14_100));
    assert!(directory.is_confirmed(&incarnation("a", 1), doubt));
    assert!(!directory.is_confirmed(&incarnation("a", 2), doubt));
}

/// While the directory is not read, entries of ended processes stay: a process
/// is confirmed only after a time of reads without a gap.
#[test]
fn unread_directory_confirms_nothing() {
    let mut directory = Directory::default().with_entry_ttl(Span::from_secs(4));
    directory.put(at(0), entry("a", 1));
    for millis in (0..10_000).step_by(300).chain((16_000..19_900).step_by(300)) {
        directory.note_read(at(millis));
    }
    assert!(!directory.is_confirmed(&incarnation("a", 1), at(9_000)));
    directory.note_read(at(20_100));
    assert!(directory.is_confirmed(&incarnation("a", 1), at(9_000)));
}

/// A forwarded listing leaves a process with the targets of the sender only:
/// one that has left must not be in use again. Of each target the later process
/// is known, also if the sender has not read of it yet.
#[test]
fn listing_replaces_all_targets() {
    let (mut sender, mut receiver) = (Directory::default(), Directory::default());
    sender.put(at(0), entry("a", 2));
    sender.put(at(0), Entry { cold_left: Span::from_secs(3), ..entry("b", 1) });
    sender.put(at(0), entry("c", 1));
    receiver.put(at(0), entry("a", 1));
    receiver.put(at(0), entry("c", 2));
    receiver.put(at(0), entry("gone", 1));
    receiver.replace(at(1_000), sender.listing(at(1_000)));
    let ids: Vec<&str> = receiver.of_service("s").map(|t| &*t.entry.incarnation.id).collect();
    assert_eq!(ids, ["a", "b", "c"]);
    assert!(receiver.current(&incarnation("a", 2)).is_some());
    assert!(receiver.current(&incarnation("c", 2)).is_some());
    assert_eq!(receiver.get("b").unwrap().cold_until, at(3_000));
}

/// A target in trouble says that it leaves, and its entry, late or wrong, that it
/// is ready. It must not get requests again, also not after its entry was
/// removed and is back.
#[test]
fn ready_entries_do_not_undo_leaving() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    assert!(directory.announce_leaving(at(100), &incarnation("a", 1)));
    assert!(!directory.announce_leaving(at(200), &incarnation("a", 1)), "it is known");
    let is_open = |directory: &Directory| directory.get("a").unwrap().is_open();
    assert!(!is_open(&directory));
    directory.put(at(1_000), entry("a", 1));
    assert!(!is_open(&directory));
    directory.remove_now("a");
    directory.put(at(60_000), entry("a", 1));
    assert!(!is_open(&directory));
    assert!(!directory.get("a").unwrap().serves_keys(at(60_000)));
}

/// A later process with the id of a target that left is another target. The
/// departure of an earlier one, heard late, says nothing of it.
#[test]
fn restarted_target_is_open() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 2));
    assert!(directory.announce_leaving(at(100), &incarnation("a", 1)));
    assert!(directory.get("a").unwrap().is_open());
    assert!(directory.announce_leaving(at(200), &incarnation("a", 2)));
    assert!(!directory.announce_leaving(at(300), &incarnation("a", 1)), "a later one has left");
    directory.put(at(400), entry("a", 3));
    assert!(!directory.get("a").unwrap().is_open(), "it may be the one that said so");
    assert!(directory.note_staying(at(450), &incarnation("a", 3)));
    directory.put(at(800), entry("a", 3));
    assert!(directory.get("a").unwrap().is_open());
}

/// Returns a directory with a target whose process 1 is listed and process 2 says
/// at 700 ms that it leaves, before its entry arrives at 3 s. Answers name no
/// process, so that counts for process 1.
fn unlisted_announcement() -> Directory {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    assert!(directory.announce_leaving(at(700), &incarnation("a", 1)));
    directory.put(at(3_000), entry("a", 2));
    directory
}

/// A target says that it leaves before its entry is listed. It must get no request
/// once it is listed, also not for keys, which it serves for a short time after
/// the announcement only.
#[test]
fn announcement_before_the_entry_counts() {
    let mut directory = unlisted_announcement();
    let target = directory.get("a").unwrap();
    assert!(!target.is_open() && !target.serves_keys(at(3_000)));
    let mut loads = LocalLoads::new("z".into());
    assert_eq!(loads.check(at(3_000), target, false, 1, FillFactor::MAX), Err(Denial::Doubted));
    let doubted: Vec<_> = directory.doubted().iter().map(|(t, at)| (t.entry.clone(), *at)).collect();
    assert_eq!(doubted, [(entry("a", 2), at(3_000))]);
    assert!(directory.announce_leaving(at(3_050), &incarnation("a", 2)));
    let target = directory.get("a").unwrap();
    assert_eq!((target.draining_since, target.is_open()), (Some(at(700)), false));
    assert!(!target.serves_keys(at(3_050)));
    assert!(directory.doubted().is_empty());
    assert_eq!(directory.leaving(), [incarnation("a", 2)]);
    assert!(directory.end_doubts(at(60_000)).is_empty());
    assert!(!directory.get("a").unwrap().is_open());
}

/// A target that has restarted and stays must be used as soon as that is known,
/// whether its entry or the news of the health check arrives first. Other
/// processes are told for a while.
#[test]
fn staying_target_is_open() {
    let mut directory = unlisted_announcement();
    assert!(directory.note_staying(at(3_050), &incarnation("a", 2)));
    assert!(!directory.note_staying(at(3_100), &incarnation("a", 2)), "it is known");
    assert!(directory.get("a").unwrap().is_open());
    directory.put(at(3_400), entry("a", 2));
    assert!(directory.get("a").unwrap().is_open());
    assert_eq!(directory.staying(), [incarnation("a", 2)]);
    assert!(directory.end_doubts(at(8_050)).is_empty() && directory.staying().is_empty());

    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.announce_leaving(at(700), &incarnation("a", 1));
    assert!(!directory.note_staying(at(2_900), &incarnation("a", 2)), "it is not listed");
    directory.put(at(3_000), entry("a", 2));
    assert!(directory.get("a").unwrap().is_open());
}

/// No health check is answered, and no other process knows more. The target must
/// not stay unused for that.
#[test]
fn doubt_ends_by_itself() {
    let mut directory = unlisted_announcement();
    directory.put(at(4_000), entry("a", 2));
    assert!(directory.end_doubts(at(5_900)).is_empty());
    assert!(!directory.get("a").unwrap().is_open());
    assert_eq!(directory.end_doubts(at(6_000)), [incarnation("a", 2)]);
    assert!(directory.get("a").unwrap().is_open());
    directory.put(at(6_100), entry("a", 2));
    assert!(directory.get("a").unwrap().is_open());
}

/// Health checks cost a slot each. There is no doubt long after an announcement,
/// nor after an entry that said that its own process drains.
#[test]
fn only_recent_answers_raise_doubt() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.announce_leaving(at(700), &incarnation("a", 1));
    directory.announce_leaving(at(1_300), &incarnation("a", 1));
    for (listed_at, is_open) in [(20_900, false), (21_300, true)] {
        let mut directory = directory.clone();
        directory.put(at(listed_at), entry("a", 2));
        assert_eq!(directory.get("a").unwrap().is_open(), is_open);
    }
    let mut directory = Directory::default();
    directory.put(at(0), Entry { draining: true, ..entry("a", 1) });
    directory.remove_now("a");
    directory.put(at(1_000), entry("a", 2));
    assert!(directory.get("a").unwrap().is_open());
}

/// A target's clock is set back between two processes, and both say that they
/// leave. The departure of the listed one counts, whatever their order.
#[test]
fn departure_with_an_earlier_clock_counts() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 9));
    directory.announce_leaving(at(100), &incarnation("a", 9));
    read(&mut directory, 0, 7_000);
    directory.put(at(7_000), entry("a", 3));
    assert!(!directory.get("a").unwrap().is_open());
    assert!(directory.announce_leaving(at(7_050), &incarnation("a", 3)));
    assert!(!directory.announce_leaving(at(7_100), &incarnation("a", 9)), "it is not listed");
    directory.remove_now("a");
    directory.put(at(8_000), entry("a", 3));
    assert!(!directory.get("a").unwrap().is_open());
}

/// A process that learns of a departure before it knows the entry, and one that
/// gets a listing, know that the target leaves.
#[test]
fn departures_are_listed() {
    let mut directory = Directory::default();
    directory.announce_leaving(at(0), &incarnation("a", 1));
    assert!(directory.leaving().is_empty(), "it is not listed");
    directory.put(at(100), entry("a", 1));
    assert!(!directory.get("a").unwrap().is_open());
    assert_eq!(directory.leaving(), [incarnation("a", 1)]);
    assert!(directory.listing(at(100))[0].draining);
}

/// A write of an entry may be carried out seconds late, when the target has
/// started again. It must not replace the entry of the later process.
#[test]
fn entry_of_an_earlier_process_is_ignored() {
    let mut directory = Directory::default();
    assert!(directory.put(at(0), entry("a", 2)));
    assert!(!directory.put(at(5_900), Entry { draining: true, ..entry("a", 1) }));
    let known = directory.get("a").unwrap();
    assert_eq!((known.entry.incarnation.started, known.is_open()), (2, true));
    assert!(directory.put(at(6_000), entry("a", 3)));
}

/// A write of an entry may be carried out seconds late, when the process has
/// said that it drains. It must not get new requests again. Without starts in
/// the entries a ready one may come from a later process.
#[test]
fn late_ready_entry_does_not_undo_draining() {
    for (started, is_open) in [(1, false), (0, true)] {
        let mut directory = Directory::default();
        directory.put(at(0), entry("a", started));
        directory.put(at(1_000), Entry { draining: true, ..entry("a", started) });
        directory.put(at(2_000), entry("a", started));
        let target = directory.get("a").unwrap();
        assert_eq!(target.is_open(), is_open);
        assert_eq!(target.serves_keys(at(2_000)), is_open);
    }
}

/// Reads the directory without a gap from one time to another.
fn read(directory: &mut Directory, from: u64, to: u64) {
    (from..=to).step_by(300).for_each(|millis| directory.note_read(at(millis)));
}

/// A write of a process may be carried out seconds after the process has ended,
/// and its entry is removed that much later. Neither proves that it has run
/// since a moment before.
#[test]
fn late_writes_prove_nothing() {
    let mut directory = Directory::default().with_entry_ttl(Span::from_secs(4));
    let process = incarnation("a", 1);
    directory.put(at(0), entry("a", 1));
    read(&mut directory, 0, 12_000);
    directory.put(at(12_100), Entry { slots: 7, ..entry("a", 1) });
    assert!(!directory.has_run_since(&process, at(10_000)));
    read(&mut directory, 12_100, 19_900);
    assert!(!directory.has_run_since(&process, at(10_000)));
    read(&mut directory, 19_900, 20_200);
    assert!(directory.has_run_since(&process, at(10_000)));
    directory.put(at(20_300), Entry { slots: 8, ..entry("a", 1) });
    assert!(directory.has_run_since(&process, at(14_000)), "carried out longer after that than any write");
    assert!(!directory.has_run_since(&process, at(15_000)));
}

/// An entry that is read after a gap may have been written at any time in it.
#[test]
fn entry_after_a_gap_proves_nothing() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    read(&mut directory, 0, 9_900);
    directory.put(at(30_000), Entry { slots: 7, ..entry("a", 1) });
    assert!(!directory.has_run_since(&incarnation("a", 1), at(10_000)));
}

/// A write of an earlier process is carried out after the entry of the later one
/// was removed. The earlier process has ended, so it must not be listed again.
#[test]
fn late_entry_lists_no_ended_process() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 2));
    directory.remove(at(3_000), "a");
    assert!(!directory.put(at(5_900), entry("a", 1)));
    assert!(directory.get("a").is_none());
    directory.put(at(6_000), entry("a", 2));
    assert!(directory.current(&incarnation("a", 2)).is_some(), "its entry had only expired");
}

/// A write of a process that drained is carried out after its entry was removed.
/// The process leaves, so it must not get requests again.
#[test]
fn late_entry_does_not_undo_leaving() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.put(at(1_000), Entry { draining: true, ..entry("a", 1) });
    directory.remove(at(3_000), "a");
    directory.put(at(5_900), entry("a", 1));
    let target = directory.get("a").unwrap();
    assert!(!target.is_open() && !target.serves_keys(at(5_900)));
}

/// The clock of a target was set back before it started again, so its process
/// names an earlier start. Its entry can't be a late one if it is carried out
/// longer after the known process was heard of than any write is late.
#[test]
fn process_with_an_earlier_clock_is_listed() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 5));
    read(&mut directory, 0, 5_700);
    assert!(!directory.put(at(5_800), entry("a", 3)));
    read(&mut directory, 6_000, 6_300);
    assert!(!directory.put(at(6_400), entry("a", 0)), "an entry without a start is not of this target");
    assert!(directory.put(at(6_400), entry("a", 3)));
    assert!(directory.current(&incarnation("a", 3)).is_some());
    let mut unread = Directory::default();
    unread.put(at(0), entry("a", 5));
    assert!(!unread.put(at(60_000), entry("a", 3)), "it may have been carried out at any time");
}

/// The table of owners names a later process than the entry that a new edge
/// process has listed: the entry was written late. Requests must not go where it
/// says, and it must not come back.
#[test]
fn owners_outdate_entries_of_earlier_processes() {
    let row = Row { from: 0, to: u16::MAX, target: "a".into(), started: 2, fence: 1, handover: None };
    let services = [("s".into(), vec![row])].into();
    let table =
        Owners { leader: leader("x"), earlier_leaders: Vec::new(), lease_duration: Span::ZERO, services };
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 1));
    directory.learn_owners(at(100), &table);
    assert!(directory.get("a").is_none());
    assert!(!directory.put(at(200), entry("a", 1)));
    assert!(directory.put(at(300), entry("a", 2)));
    directory.learn_owners(at(400), &table);
    assert!(directory.current(&incarnation("a", 2)).is_some());
}

/// A process that lists the directory while a late entry is the newest one knows
/// only that. The next entry of the later process must reach it, so it counts as
/// a change also where the late one was ignored.
#[test]
fn entry_after_a_late_one_is_a_change() {
    let mut directory = Directory::default();
    directory.put(at(0), entry("a", 2));
    assert!(!directory.put(at(1_000), entry("a", 2)));
    directory.put(at(5_900), entry("a", 1));
    assert!(directory.put(at(6_000), entry("a", 2)));
    assert!(!directory.put(at(7_000), entry("a", 2)));
}
