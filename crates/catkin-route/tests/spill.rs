//! Requests without keys that leave their zone.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        directory::{Directory, Entry},
        load::{Criteria, LocalLoads},
        spill::{CrossingCost, Demand, SpillBoard, TargetState, ZoneReport, ZoneTable},
    },
    common::{
        SERVICE, at, entry,
        fleet::{Fleet, Tally, zone},
        incarnation,
    },
    std::{rc::Rc, sync::Arc},
};

/// Result of a replay.
#[derive(Debug)]
struct Replay {
    total: Tally,
    zones: Vec<Tally>,
    /// Most requests at the targets of each zone at once.
    peaks: Vec<usize>,
    fleet: Fleet,
}

/// Replays 12 s in a fleet of four zones with 6 processes and 10 targets each,
/// which serve 300 requests per second in each zone, and counts from 2 s on.
fn replay(sends_shares: bool, mut change: impl FnMut(&mut Fleet, u64)) -> Replay {
    let mut fleet = Fleet::new(&[6; 4], &[10; 4], 3);
    fleet.sends_shares = sends_shares;
    let mut peaks = vec![0; 4];
    for now in 0..12_000 {
        change(&mut fleet, now);
        fleet.step();
        if now == 2_000 {
            fleet.take_total();
        }
        for (z, peak) in peaks.iter_mut().enumerate() {
            let requests = fleet.targets.iter().filter(|t| t.zone == z).map(|t| t.requests()).sum();
            *peak = (*peak).max(requests);
        }
    }
    let zones = fleet.tallies.clone();
    let total = fleet.take_total();
    println!("shares {sends_shares}: {total:?} {:.4}, peaks {peaks:?}", total.in_time_share());
    Replay { total, zones, peaks, fleet }
}

/// Replays the same with today's factors and with shares.
fn compare(change: impl Fn(&mut Fleet, u64)) -> (Replay, Replay) {
    (replay(false, &change), replay(true, &change))
}

/// Returns the share of a crossing that the leader last sent, in hundredths.
fn share(fleet: &mut Fleet, from: usize, to: usize) -> u32 {
    let now = at(fleet.now);
    let Some(table) = fleet.processes[0].loads.spill().table(now).cloned() else { return 0 };
    let index = |z: usize| table.zones.iter().position(|(name, _)| *name == zone(z)).map(|i| i as u8);
    let shares = table.shares.iter().flat_map(|(_, shares)| shares);
    let crossing = |s: &&(u8, u8, u8)| Some(s.0) == index(from) && Some(s.1) == index(to);
    shares.filter(crossing).map(|s| u32::from(s.2) * 2 / 5).sum()
}

fn close_zone(fleet: &mut Fleet, z: usize) {
    for target in fleet.targets.iter().filter(|target| target.zone == z) {
        fleet.directory.announce_leaving(at(fleet.now), &target.incarnation);
    }
}

fn cool_zone(fleet: &mut Fleet, z: usize) {
    for target in fleet.targets.iter_mut().filter(|target| target.zone == z) {
        target.slowdown = 2.0;
        let entry = fleet.directory.get(&target.incarnation.id).unwrap().entry.clone();
        fleet.directory.put(at(fleet.now), Entry { cold_left: Span::from_secs(60), ..entry });
    }
}

/// While all zones have room, bytes between them would be paid for nothing.
#[test]
fn zone_with_room_keeps_its_requests() {
    for rate in [120.0, 180.0, 210.0] {
        let (factors, shares) = compare(|fleet, _| fleet.rates = vec![rate; 4]);
        assert!(shares.total.crossed_share() < 0.01, "{shares:?}");
        assert!(shares.total.in_time_share() > factors.total.in_time_share() - 0.002);
    }
}

/// A zone with half of the slots that its callers need must be served as well as
/// with today's factors, which send a third of all requests to other zones.
#[test]
fn zone_with_too_little_room_is_relieved() {
    let (factors, mut shares) = compare(|fleet, _| fleet.rates = vec![450.0, 150.0, 150.0, 150.0]);
    assert!(shares.total.in_time_share() > factors.total.in_time_share() - 0.002);
    assert!(shares.total.crossed < factors.total.crossed * 9 / 10);
    assert!(shares.zones[1..].iter().all(|tally| tally.crossed_share() < 0.01), "{:?}", shares.zones);
    let away: u32 = (1..4).map(|to| share(&mut shares.fleet, 0, to)).sum();
    assert!((30..60).contains(&away), "{away}");
}

/// Replays 10 s of a fleet with 68 processes and 84 targets of different speeds, a
/// fifth of which are three times slower for 400 ms at a time. `usages` are the
/// used share of the capacity, in general and from 3 s to 8 s.
fn replay_fleet(sends_shares: bool, usages: (f64, f64)) -> Tally {
    let mut fleet = Fleet::new(&[17; 4], &[21; 4], 3);
    (fleet.sends_shares, fleet.work_ms, fleet.objective_ms) = (sends_shares, 260.0, 1_000);
    let speeds: Vec<f64> = (0..84).map(|_| 0.6 + fleet.uniform()).collect();
    let capacity = speeds.iter().sum::<f64>() * 3.0 / 0.26 * (0.8 + 0.2 / 3.0);
    for now in 0..10_000 {
        if now % 400 == 0 {
            for (i, speed) in speeds.iter().enumerate() {
                let slowdown = if fleet.uniform() < 0.2 { 3.0 } else { 1.0 };
                fleet.targets[i].slowdown = slowdown / speed;
            }
        }
        let usage = if (3_000..8_000).contains(&now) { usages.1 } else { usages.0 };
        fleet.rates = vec![usage * capacity / 4.0; 4];
        fleet.step();
    }
    let total = fleet.take_total();
    println!("{usages:?}, shares {sends_shares}: {total:?} {:.4}", total.in_time_share());
    total
}

/// With many processes and uneven, changing speeds, a zone with room must not
/// look full, and a burst in all zones at once must not send requests to and fro.
#[test]
fn large_fleet_keeps_its_requests_at_home() {
    for (usages, crossed_max) in [((0.5, 0.5), 0.01), ((0.7, 0.7), 0.05), ((0.4, 1.04), 0.15)] {
        let (factors, shares) = (replay_fleet(false, usages), replay_fleet(true, usages));
        assert!(shares.in_time_share() > factors.in_time_share(), "{usages:?}");
        assert!(shares.crossed_share() < crossed_max, "{usages:?}");
        assert!(factors.crossed_share() > 0.35, "{usages:?}");
    }
}

/// If all zones have too little room, requests would only change places.
#[test]
fn overload_of_all_zones_moves_nothing() {
    let (factors, mut shares) = compare(|fleet, _| fleet.rates = vec![360.0; 4]);
    assert!(shares.total.in_time_share() > factors.total.in_time_share() - 0.02);
    assert!(f64::from(shares.total.refused) < 1.05 * f64::from(factors.total.refused));
    for (from, to) in (0..4).flat_map(|from| (0..4).map(move |to| (from, to))) {
        assert_eq!(share(&mut shares.fleet, from, to), 0);
    }
}

/// The zone in need changes every second: by the time that a share has grown,
/// another zone needs it. Shares must not swing so far that zones overrun one
/// another.
#[test]
fn changing_need_causes_no_swing() {
    let need = |fleet: &mut Fleet, now: u64| {
        fleet.rates = vec![150.0; 4];
        fleet.rates[(now / 1_000 % 4) as usize] = 420.0;
    };
    let (mut last, mut rise, mut most) = ([[0; 4]; 4], 0, 0);
    let shares = replay(true, |fleet, now| {
        need(fleet, now);
        if now % 1_000 == 0 {
            let next = [0, 1, 2, 3].map(|from| [0, 1, 2, 3].map(|to| share(fleet, from, to)));
            let rises = (0..16).map(|i| next[i / 4][i % 4].saturating_sub(last[i / 4][i % 4]));
            rise = rise.max(rises.max().unwrap_or(0));
            most = most.max(next.map(|crossings| crossings.iter().sum()).into_iter().max().unwrap_or(0));
            last = next;
        }
    });
    assert!(shares.total.in_time_share() > 0.99, "{shares:?}");
    assert!(shares.peaks.iter().all(|peak| *peak < 90), "{:?}", shares.peaks);
    assert!(rise <= 45, "a share rose by {rise}% within a second");
    assert!(most <= 70, "{most}% of a zone's requests left");
}

/// Three zones in need see one with room. The sum of what they send must fit
/// there, and its own callers are served as before.
#[test]
fn three_zones_do_not_overrun_a_fourth() {
    let (factors, mut shares) = compare(|fleet, _| fleet.rates = vec![340.0, 90.0, 340.0, 340.0]);
    assert!(shares.peaks[1] < 75, "{:?}", shares.peaks);
    assert!(shares.zones[1].in_time_share() > factors.zones[1].in_time_share() - 0.01);
    assert!(shares.total.in_time_share() > factors.total.in_time_share() - 0.005);
    let sent: u32 = [0, 2, 3].map(|from| share(&mut shares.fleet, from, 1)).iter().sum();
    assert!(f64::from(sent) / 100.0 * 340.0 < 0.9 * 300.0 - 90.0, "{sent}");
}

/// When the callers of the receiving zone need its slots themselves, shares end
/// at once and not by small steps.
#[test]
fn lost_room_ends_shares_at_once() {
    let mut sent = (0, 0);
    replay(true, |fleet, now| {
        fleet.rates = vec![450.0, if now < 6_000 { 20.0 } else { 290.0 }, 230.0, 230.0];
        match now {
            5_900 => sent.0 = share(fleet, 0, 1),
            7_200 => sent.1 = share(fleet, 0, 1),
            _ => {}
        }
    });
    assert!(sent.0 > 25 && sent.1 < 12, "{sent:?}");
}

/// The requests of an evacuated zone go where there is room, and no share leads
/// to that zone.
#[test]
fn evacuated_zone_has_no_room() {
    let (factors, mut shares) = compare(|fleet, now| {
        fleet.rates = vec![130.0, 130.0, 130.0, 260.0];
        if now == 4_000 {
            close_zone(fleet, 0);
        }
    });
    assert!(shares.total.in_time_share() > factors.total.in_time_share() - 0.002);
    assert!((1..4).all(|from| share(&mut shares.fleet, from, 0) == 0));
    let away = [1, 2, 3].map(|to| share(&mut shares.fleet, 0, to));
    assert!(away.iter().sum::<u32>() > 90 && away[2] < away[0].min(away[1]), "{away:?}");
    assert!(shares.fleet.targets.iter().all(|target| target.zone != 0 || target.requests() == 0));
}

/// Cold targets take little, so most of their zone's requests leave, and none of
/// others come.
#[test]
fn cold_zone_has_little_room() {
    let (_, mut shares) = compare(|fleet, now| {
        fleet.rates = vec![130.0, 130.0, 130.0, 260.0];
        if now == 4_000 {
            cool_zone(fleet, 0);
        }
    });
    assert!(shares.total.in_time_share() > 0.99, "{shares:?}");
    assert!((1..4).all(|from| share(&mut shares.fleet, from, 0) == 0));
    let away: u32 = (1..4).map(|to| share(&mut shares.fleet, 0, to)).sum();
    assert!(away > 50, "{away}");
}

/// Without a leader the last shares hold for 2 s; then each process uses today's
/// factors, although another zone is in need by then.
#[test]
fn shares_end_without_the_leader() {
    let change = |fleet: &mut Fleet, now: u64| {
        let need = if now < 6_500 { 0 } else { 2 };
        fleet.rates = vec![150.0; 4];
        fleet.rates[need] = 450.0;
        if now == 6_000 {
            fleet.leader = None;
        }
        let is_known = fleet.processes[0].loads.spill().table(at(now)).is_some();
        assert!(!(1_000..7_400).contains(&now) || is_known || !fleet.sends_shares, "lost at {now}");
        assert!(now < 8_000 || !is_known, "kept at {now}");
    };
    let (factors, shares) = compare(change);
    assert!(shares.total.in_time_share() > factors.total.in_time_share() - 0.005);
}

fn table(share: u8) -> Rc<ZoneTable> {
    let zones = vec![("far".into(), 4), ("z".into(), 4)];
    let shares = if share > 0 { vec![(SERVICE.into(), vec![(1, 0, share)])] } else { Vec::new() };
    Rc::new(ZoneTable { zones, shares })
}

/// A process in a zone with one target, one in another zone, and a share.
fn pair(share: u8) -> (LocalLoads, Directory) {
    let mut directory = Directory::default();
    directory.put(at(0), entry("near", 1));
    directory.put(at(0), Entry { zone: "far".into(), ..entry("far", 1) });
    let mut loads = LocalLoads::new("z".into());
    loads.spill().learn(at(0), table(share));
    (loads, directory)
}

fn count_far(loads: &mut LocalLoads, directory: &Directory, sizes: impl Iterator<Item = usize>) -> usize {
    let mut is_far = |size| {
        let chosen = loads.choose(at(1), directory, SERVICE, 8, Criteria::new(size)).unwrap();
        &*chosen.entry.incarnation.id == "far"
    };
    sizes.filter(|size| is_far(*size)).count()
}

/// With a share of 0 the own zone gets all requests, however much faster others
/// are; with a share of 0.3, three in ten leave.
#[test]
fn share_is_kept_exactly() {
    let (mut loads, directory) = pair(0);
    for _ in 0..20 {
        loads.begin(at(0), &incarnation("near", 1), 8);
        let took = Span::from_millis(900);
        loads.end(at(0), &incarnation("near", 1), catkin_route::load::Completion::Good, took, 6);
    }
    assert_eq!(count_far(&mut loads, &directory, (0..100).map(|_| 0)), 0);
    let (mut loads, directory) = pair(75);
    assert_eq!(count_far(&mut loads, &directory, (0..100).map(|_| 0)), 30);
}

/// Bytes cost money: of large and small requests the small ones leave, and large
/// ones only if there are no others.
#[test]
fn large_bodies_leave_after_others() {
    let large = 60_000;
    let (mut loads, directory) = pair(75);
    let mixed = (0..100).map(|i| if i % 2 == 0 { large } else { 0 });
    let (mut sizes, far) = (Vec::new(), &mut 0);
    for size in mixed {
        let count = count_far(&mut loads, &directory, std::iter::once(size));
        *far += count;
        sizes.extend((count > 0).then_some(size));
    }
    assert!(sizes.iter().all(|size| *size == 0) && (28..=30).contains(far), "{far} {sizes:?}");
    let (mut loads, directory) = pair(75);
    assert!((28..=30).contains(&count_far(&mut loads, &directory, (0..100).map(|_| large))));
}

/// A share steers and never refuses: if no target of the own zone may take a
/// request, another zone gets it.
#[test]
fn share_refuses_nothing() {
    let (mut loads, mut directory) = pair(0);
    directory.announce_leaving(at(0), &incarnation("near", 1));
    assert_eq!(count_far(&mut loads, &directory, (0..10).map(|_| 0)), 10);
    // Nor does a share keep a request from its own zone.
    let (mut loads, mut directory) = pair(250);
    directory.announce_leaving(at(0), &incarnation("far", 1));
    assert_eq!(count_far(&mut loads, &directory, (0..10).map(|_| 0)), 0);
}

/// Returns the table of a fleet with 4 zones, of which one is in need.
fn table_of(processes: usize, targets: usize) -> Rc<ZoneTable> {
    let mut directory = Directory::default();
    for i in 0..targets {
        directory.put(at(0), Entry { zone: zone(i % 4), ..entry(&format!("i-{i}"), 1) });
    }
    let mut board = SpillBoard::new(CrossingCost::default());
    for now in (500..10_000).step_by(500) {
        for i in 0..processes {
            let need = if i % 4 == 0 { 8 } else { 2 };
            let requests = (6 * 10 * targets / 4 * need / processes / 2) as u32;
            let demand = Demand { requests, ..Demand::default() };
            let report = ZoneReport { zone: zone(i % 4), demands: vec![(SERVICE.into(), demand)] };
            board.report(at(now), &format!("vm-{i}").into(), &report);
        }
        board.table(at(now), &directory, &[SERVICE.into()], |_| TargetState::default());
    }
    board.table(at(10_000), &directory, &[SERVICE.into()], |_| TargetState::default())
}

/// Hundreds of processes get the table twice a second: its size must not grow
/// with the number of machines.
#[test]
fn table_does_not_grow_with_the_fleet() {
    let (small, large) = (table_of(8, 16), table_of(300, 720));
    assert!(!large.shares.is_empty(), "{large:?}");
    let size = |table: &ZoneTable| postcard::to_stdvec(table).unwrap().len();
    assert!(size(&large) <= size(&small) + 16 && size(&large) < 64, "{} {}", size(&small), size(&large));
}

/// In a fleet with one zone nothing is reported and no shares are made.
#[test]
fn single_zone_has_no_shares() {
    let (mut loads, directory) = pair(0);
    loads.spill().count_request(&SERVICE.into(), 100);
    assert!(loads.spill().take_report(&directory).is_some());
    let mut single = Directory::default();
    single.put(at(0), entry("near", 1));
    loads.spill().count_request(&SERVICE.into(), 100);
    assert!(loads.spill().take_report(&single).is_none());
    let services: [Arc<str>; 1] = [SERVICE.into()];
    let mut board = SpillBoard::default();
    assert!(board.table(at(1_000), &single, &services, |_| TargetState::default()).zones.is_empty());
}

/// The next leader continues with the shares that it knows from the last one.
#[test]
fn next_leader_continues() {
    let mut fleet = Fleet::new(&[6; 4], &[10; 4], 3);
    fleet.rates = vec![450.0, 150.0, 150.0, 150.0];
    (0..6_000).for_each(|_| fleet.step());
    let now = at(fleet.now);
    let last = fleet.processes[0].loads.spill().table(now).unwrap().clone();
    let mut board = SpillBoard::default();
    assert!(board.is_outdated(now));
    board.start(now, Some(&last));
    let services: [Arc<str>; 1] = [SERVICE.into()];
    let next = board.table(now, &fleet.directory, &services, |_| TargetState::default());
    assert!(!next.shares.is_empty());
    assert_eq!(next, last);
}
