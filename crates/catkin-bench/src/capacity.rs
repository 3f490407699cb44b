//! Values from which `docs/CAPACITY.md` is computed: bytes, memory and processor
//! time at several sizes, each with a linear fit.

use {
    crate::{measure::Measure, place::median},
    catkin::{
        api::{Role, VmEntry, VmList, VmState},
        fold::State,
        member::{Members, TICK_INTERVAL},
        place::{Claims, watch_set},
        record::{self, Assign, Change, Claim, Intent, Move, Publish, Record, Writer},
        types::{Offset, Revision, Sequence, Service, SliceId, Span, TargetId, Time, Version, VmId, Zone},
    },
    std::{fs, hint::black_box, time::Instant},
};

const PAGE_BYTES: f64 = 4_096.0;
const ZONES: usize = 8;
/// Targets per entry VM, as in current fleets.
const TARGETS_PER_VM: usize = 4;

/// Returns the points and fits of this group. All but the byte counts depend on
/// the machine.
pub(crate) fn measures(_seed: u64) -> Vec<Measure> {
    let mut list = record_bytes();
    list.extend(list_bytes());
    list.extend(fold());
    list.extend(config_time());
    list.extend(intents());
    list.extend(membership());
    list
}

/// Returns measures for the points and for the line of least squares through
/// them: its slope per `slope_unit` units, its value at 0 and the largest relative
/// error at a point.
fn fit(name: &str, unit: &'static str, slope_unit: f64, points: &[(f64, f64)]) -> Vec<Measure> {
    let count = points.len() as f64;
    let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = covariance / variance;
    let error = |p: &(f64, f64)| ((y + slope * (p.0 - x)) / p.1 - 1.0).abs();
    let error_max = points.iter().map(error).fold(0.0, f64::max);
    let at = |p: &(f64, f64)| Measure::info(format!("capacity.{name}.at_{}", p.0), p.1, unit);
    let mut list: Vec<Measure> = points.iter().map(at).collect();
    list.push(Measure::info(format!("capacity.{name}.slope_per_{slope_unit}"), slope * slope_unit, unit));
    list.push(Measure::info(format!("capacity.{name}.at_0"), y - slope * x, unit));
    list.push(Measure::info(format!("capacity.{name}.fit_error"), error_max * 100.0, "%"));
    list
}

/// Returns the wall-clock time of a run in milliseconds.
fn millis(run: impl FnOnce()) -> f64 {
    let start = Instant::now();
    run();
    start.elapsed().as_secs_f64() * 1e3
}

/// Returns the resident memory of this process in MB, or NaN if unreadable.
fn resident_mb() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(f64::NAN);
    pages * PAGE_BYTES / 1e6
}

fn vm_id(number: usize) -> VmId {
    VmId::new(format!("pe-sur-entry-{number:04}")).unwrap_or_else(|e| unreachable!("{e}"))
}

fn target(number: usize) -> TargetId {
    TargetId::new(format!("planoteca-{number:04}")).unwrap_or_else(|e| unreachable!("{e}"))
}

fn planoteca() -> Service {
    Service::new("planoteca").unwrap_or_else(|e| unreachable!("{e}"))
}

fn zone(number: usize) -> Zone {
    Zone::new(format!("pe-sur-{}", number % ZONES)).unwrap_or_else(|e| unreachable!("{e}"))
}

fn encode(sequence: u64, change: Change) -> Vec<u8> {
    let writer = Writer { id: vm_id(0), boot: 1_764_830_000_000_000 };
    let record = Record { writer, sequence: Sequence(sequence), change };
    record::encode(&record).unwrap_or_else(|e| unreachable!("{e}"))
}

fn moves(first: usize, count: usize) -> Assign {
    let item = |number: usize| Move {
        slice: SliceId(u32::try_from(number).unwrap_or(u32::MAX)),
        expects: Version::default(),
        owner: target(number % 1_680),
        standby: Some(target((number + 1) % 1_680)),
        provisional: None,
    };
    Assign { service: planoteca(), moves: (first..first + count).map(item).collect() }
}

fn record_bytes() -> Vec<Measure> {
    let assign = |count: usize| (count as f64, encode(1, Change::Assign(moves(0, count))).len() as f64);
    let mut list = fit("record.assign", "B", 1.0, &[assign(50), assign(100), assign(400), assign(800)]);
    let claim = Claim { target: target(1), expects: Version(7), keeper: vm_id(1) };
    let bytes = encode(1, Change::Keeper(claim)).len() as f64;
    list.push(Measure::info("capacity.record.keeper", bytes, "B"));
    let publish = |services: usize| {
        let change = Change::Config(publish(services));
        (services as f64, encode(1, change).len() as f64)
    };
    list.extend(fit("record.config", "B", 1.0, &[publish(4), publish(40), publish(400)]));
    let group =
        |count: usize| (count as f64, encode(1, Change::Intents(intent_group(0, count))).len() as f64);
    list.extend(fit("record.intents", "B", 1.0, &[group(1), group(100), group(1_000)]));
    list
}

fn publish(services: usize) -> Publish {
    let item = |number: usize| format!("  service-{number:04}:\n    keyed: true\n    slices: 64\n");
    let text = format!("services:\n{}", (0..services).map(item).collect::<String>());
    Publish { expects: Revision::default(), author: "operator".into(), text: text.into() }
}

fn intent_group(first: usize, count: usize) -> Vec<Intent> {
    let item = |number: usize| Intent {
        service: planoteca(),
        digest: (number as u128 + 1) * 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c834,
        done: false,
    };
    (first..first + count).map(item).collect()
}

fn vm_list(entries: usize, targets: usize) -> VmList {
    let row = |id: String, role: Role, number: usize| VmEntry {
        id: id.into(),
        role,
        service: (role == Role::Target).then(planoteca),
        zone: zone(number),
        addr: ([10, 20, 30, 40], 8_080).into(),
        admin: (role == Role::Entry).then(|| ([10, 20, 30, 40], 9_090).into()),
        state: VmState::Live,
    };
    let entries = (0..entries).map(|n| row(vm_id(n).to_string(), Role::Entry, n));
    let targets = (0..targets).map(|n| row(target(n).to_string(), Role::Target, n));
    VmList { vms: entries.chain(targets).collect() }
}

fn list_of(nodes: usize) -> VmList {
    let entries = nodes / (TARGETS_PER_VM + 1);
    vm_list(entries, nodes - entries)
}

fn list_bytes() -> Vec<Measure> {
    let bytes = |nodes: usize| {
        let text = serde_json::to_string(&list_of(nodes)).unwrap_or_default();
        (nodes as f64, text.len() as f64)
    };
    let parse = |nodes: usize| {
        let text = serde_json::to_string(&list_of(nodes)).unwrap_or_default();
        let time = median(|| millis(|| drop(black_box(serde_json::from_str::<VmList>(&text)))));
        (nodes as f64, time)
    };
    let mut list = fit("list.json", "B", 1.0, &[525, 1_050, 2_100].map(bytes));
    list.extend(fit("list.parse", "ms", 1_000.0, &[525, 1_050, 2_100].map(parse)));
    list
}

fn state_with_config(slices: usize) -> State {
    let mut state = State::new();
    let text = format!("services:\n  planoteca:\n    keyed: true\n    slices: {slices}\n");
    let publish = Publish { expects: Revision::default(), author: "operator".into(), text: text.into() };
    state.apply(Offset(1), &encode(1, Change::Config(publish)));
    state
}

fn fold() -> Vec<Measure> {
    let (mut memory, mut time) = (Vec::new(), Vec::new());
    let mut kept_states = Vec::new();
    for slices in [8_192, 16_384, 32_768, 65_536] {
        let records: Vec<Vec<u8>> = (0..slices / 512)
            .map(|part| encode(part as u64 + 2, Change::Assign(moves(part * 512, 512))))
            .collect();
        let fill = || {
            let mut state = state_with_config(slices);
            for bytes in &records {
                black_box(state.apply(state.next_offset(), bytes));
            }
            state
        };
        let before = resident_mb();
        let state = fill();
        memory.push((slices as f64, resident_mb() - before));
        time.push((slices as f64, median(|| millis(|| drop(fill())))));
        // The allocator would reuse the memory of a freed state for the next one, and
        // the growth of the process would not show it.
        kept_states.push(state);
    }
    let mut list = fit("fold.rows.memory", "MB", 1_000.0, &memory);
    list.extend(fit("fold.moves.time", "ms", 1_000.0, &time));
    list
}

fn config_time() -> Vec<Measure> {
    let time = |services: usize| {
        let bytes = encode(1, Change::Config(publish(services)));
        let time_spent = median(|| {
            let mut state = State::new();
            millis(|| {
                black_box(state.apply(Offset(1), &bytes));
            })
        });
        (services as f64, time_spent)
    };
    fit("fold.config.time", "ms", 1.0, &[40, 400, 4_000].map(time))
}

fn intents() -> Vec<Measure> {
    let mut points = Vec::new();
    for count in [10_000, 20_000, 40_000] {
        let records: Vec<Vec<u8>> = (0..count / 100)
            .map(|part| encode(part as u64 + 2, Change::Intents(intent_group(part * 100, 100))))
            .collect();
        let time_spent = median(|| {
            let mut state = state_with_config(64);
            millis(|| {
                for bytes in &records {
                    black_box(state.apply(state.next_offset(), bytes));
                }
            })
        });
        points.push((count as f64, time_spent));
    }
    fit("fold.intents.time", "ms", 1_000.0, &points)
}

/// Measures the processor time of one entry VM by the number of nodes, of which
/// four in five are targets.
fn membership() -> Vec<Measure> {
    let (mut ticks, mut syncs, mut claims, mut watches) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for nodes in [525, 1_050, 1_575, 2_100] {
        let list = list_of(nodes);
        let mut members = Members::new(vm_id(0), 1, zone(0));
        let sync = median(|| millis(|| members.sync(&list)));
        let state = state_with_keepers(&list, nodes / (TARGETS_PER_VM + 1));
        let mut claimer = Claims::new(vm_id(0));
        let mut now = Time::from_micros(1_000_000);
        members.tick(now);
        let claim = median(|| {
            now = now.after(Span::from_millis(100));
            millis(|| drop(black_box(claimer.claims(now, &state, &list, &members))))
        });
        let watch = median(|| millis(|| drop(black_box(watch_set(&vm_id(0), &state, &list, &members)))));
        let tick = median(|| {
            millis(|| {
                for _ in 0..100 {
                    now = now.after(TICK_INTERVAL);
                    black_box(members.tick(now));
                }
            }) / 100.0
        });
        ticks.push((nodes as f64, tick * 1e3));
        syncs.push((nodes as f64, sync));
        claims.push((nodes as f64, claim));
        watches.push((nodes as f64, watch));
    }
    let mut list = fit("member.tick", "us", 1_000.0, &ticks);
    list.extend(fit("member.sync", "ms", 1_000.0, &syncs));
    list.extend(fit("place.claims", "ms", 1_000.0, &claims));
    list.extend(fit("place.watched", "ms", 1_000.0, &watches));
    list
}

fn state_with_keepers(list: &VmList, entries: usize) -> State {
    let mut state = state_with_config(64);
    let targets = list.vms.iter().filter(|row| row.role == Role::Target);
    for (number, _) in targets.enumerate() {
        let claim = Claim {
            target: target(number),
            expects: Version::default(),
            keeper: vm_id((number + 1) % entries),
        };
        state.apply(state.next_offset(), &encode(number as u64 + 2, Change::Keeper(claim)));
    }
    state
}
