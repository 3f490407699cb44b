//! Tests of snapshots in the log.

use {
    catkin::{
        Code,
        fold::State,
        record::{self, Change, Chunk, Intent, Record, Writer},
        snapshot::{
            Assembler, CHUNK_BYTES, InitialState, LogScan, LogView, Schedule, ScheduleLimits, choose_initial,
            rank, replace, split,
        },
        types::{Offset, Sequence, Span, Time, VmId},
    },
    std::collections::BTreeMap,
};

fn encode(sequence: u64, change: Change) -> Vec<u8> {
    let writer = Writer { id: "vm-0".parse().unwrap(), boot: 1 };
    record::encode(&Record { writer, sequence: Sequence(sequence), change }).unwrap()
}

/// Returns a state after `count` records with 1,000 intents each.
fn state(count: u64) -> State {
    let mut state = State::new();
    for number in 0..count {
        let digests = (0..1_000).map(|n| u128::from(number) << 64 | n);
        let intents = digests.map(|digest| Intent { service: "plan".parse().unwrap(), digest, done: false });
        let bytes = encode(number + 1, Change::Intents(intents.collect()));
        assert!(state.apply(state.next_offset(), &bytes).is_accepted());
    }
    state
}

fn join(chunks: impl IntoIterator<Item = Chunk>) -> Assembler {
    let mut join = Assembler::new();
    chunks.into_iter().for_each(|chunk| {
        join.push(chunk);
    });
    join
}

/// Guards against a snapshot that changes the state or a chunk that does not fit
/// into a record.
#[test]
fn chunks_in_any_order_give_the_state() {
    let state = state(30);
    let mut chunks = split(&state).unwrap();
    assert!(chunks.len() > 1 && chunks.iter().all(|chunk| chunk.data.len() <= CHUNK_BYTES));
    chunks.iter().for_each(|chunk| assert!(!encode(1, Change::Chunk(chunk.clone())).is_empty()));
    chunks.reverse();
    assert_eq!(join(chunks.clone()).newest(), Some(&state));
    let doubled = chunks.iter().chain(&chunks).cloned();
    assert_eq!(join(doubled).newest(), Some(&state), "chunks of two writers are combined");
}

/// Guards against the use of a snapshot with missing or changed chunks.
#[test]
fn cut_snapshot_is_never_used() {
    let (old, new) = (state(2), state(30));
    let chunks = split(&new).unwrap();
    for missing in 0..chunks.len() {
        let mut incomplete = chunks.clone();
        incomplete.remove(missing);
        let join = join(split(&old).unwrap().into_iter().chain(incomplete));
        assert_eq!(join.newest(), Some(&old), "without chunk {missing}");
    }
    let mut changed = chunks.clone();
    changed[0].data[100] ^= 1;
    let broken = join(changed);
    assert!(broken.newest().is_none() && broken.broken() == 1);
    let mut shifted = chunks;
    shifted.iter_mut().for_each(|chunk| chunk.at = Offset(chunk.at.0 + 1));
    assert!(join(shifted).newest().is_none(), "the state is not the one of this offset");
}

/// Guards against an older snapshot that replaces a newer one, and against incomplete
/// snapshots that accumulate.
#[test]
fn older_snapshot_does_not_replace_a_newer_one() {
    let (old, new) = (state(2), state(3));
    let mut join = join(split(&new).unwrap());
    assert!(!join.push(split(&old).unwrap().remove(0)));
    assert_eq!(join.newest(), Some(&new));
}

fn scan(first: u64, join: &Assembler) -> Option<LogScan<'_>> {
    Some(LogScan { first: Offset(first), snapshots: join })
}

fn chosen(choice: InitialState) -> Option<u64> {
    match choice {
        InitialState::State(state) => Some(state.next_offset().0),
        InitialState::Wait => None,
    }
}

/// Guards against a start from a state whose later records have expired, and
/// against a start without a state while the log is unavailable.
#[test]
fn vm_starts_from_the_newest_usable_state() {
    let empty = Assembler::new();
    let with_snapshot = join(split(&state(3)).unwrap());
    let peers = [state(2), state(4), State::new()];
    assert_eq!(chosen(choose_initial(scan(0, &empty), &[])), Some(0), "a new log");
    assert_eq!(chosen(choose_initial(scan(2, &with_snapshot), &peers)), Some(3));
    assert_eq!(chosen(choose_initial(scan(4, &with_snapshot), &peers)), Some(4), "the snapshot is too old");
    assert_eq!(chosen(choose_initial(scan(5, &with_snapshot), &peers)), None);
    assert_eq!(chosen(choose_initial(scan(1, &empty), &[])), None);
    assert_eq!(
        chosen(choose_initial(None, &peers)),
        Some(4),
        "the highest offset while the log is unavailable"
    );
    assert_eq!(chosen(choose_initial(None, &[State::new()])), None);
}

/// Guards against a state that is replaced by an older one.
#[test]
fn older_state_is_refused() {
    let mut current = state(3);
    assert_eq!(replace(&mut current, state(2)).unwrap_err().code(), Code::Duplicate);
    assert_eq!(current.next_offset(), Offset(3));
    replace(&mut current, state(4)).unwrap();
    assert_eq!(current.next_offset(), Offset(4));
}

const VMS: u64 = 4;

fn limits() -> ScheduleLimits {
    ScheduleLimits { records_max: 1_000, ..ScheduleLimits::default() }
}

fn view(head: u64, newest: Option<u64>, rank: u64) -> LogView {
    LogView { first: Offset(0), head: Offset(head), newest: newest.map(Offset), log_available: true, rank }
}

fn seconds(count: u64) -> Time {
    Time::from_micros(count * 1_000_000)
}

/// Guards against two VMs that write the same snapshot without a fault, and against
/// a missing snapshot if the first VM in rank fails.
#[test]
fn one_vm_writes_and_the_next_in_rank_takes_over() {
    let mut vms: Vec<Schedule> = (0..VMS).map(|_| Schedule::new(limits())).collect();
    let mut due = |at: u64, newest| {
        let view = |rank| view(10, newest, rank);
        let ranked = vms.iter_mut().zip(0..);
        ranked.map(|(vm, rank)| vm.tick(seconds(at), &view(rank))).collect::<Vec<_>>()
    };
    assert_eq!(due(0, None), [true, false, false, false]);
    assert_eq!(due(1, None), [false; 4], "the first VM is writing");
    assert_eq!(due(2, Some(10)), [false; 4], "the snapshot is complete");
    assert_eq!(due(301, Some(10)), [false; 4]);
    assert_eq!(due(302, Some(10)), [true, false, false, false], "the age bound");
    assert!(due(307, Some(10))[1], "the first VM has failed");
}

/// Guards against records that expire before a snapshot includes them.
#[test]
fn snapshot_is_due_before_its_records_expire() {
    let due = |view: LogView| {
        let mut schedule = Schedule::new(limits());
        schedule.tick(seconds(0), &LogView { head: Offset(view.newest.unwrap_or_default().0 + 1), ..view });
        schedule.tick(seconds(1), &view)
    };
    assert!(due(view(1_000, Some(0), 0)), "the record bound");
    assert!(!due(view(999, Some(0), 0)));
    let expiring = LogView { first: Offset(400), ..view(900, Some(500), 0) };
    assert!(due(expiring), "the snapshot is in the older half");
    assert!(!due(LogView { first: Offset(400), ..view(900, Some(700), 0) }));
}

/// Guards against a snapshot that expires during an outage of the log.
#[test]
fn snapshot_is_due_at_once_after_a_long_outage() {
    let mut schedule = Schedule::new(limits());
    assert!(!schedule.tick(seconds(0), &view(10, Some(9), 0)));
    let unavailable = LogView { log_available: false, ..view(10, Some(9), 0) };
    assert!(!schedule.tick(seconds(10), &unavailable));
    assert!(!schedule.tick(seconds(39), &view(10, Some(9), 0)), "a short outage");
    assert!(!schedule.tick(seconds(40), &unavailable));
    assert!(schedule.tick(seconds(70), &view(10, Some(9), 0)));
    assert!(!schedule.tick(seconds(71), &view(12, Some(10), 0)));
}

/// Guards against a VM that writes every snapshot, and against two VMs with the
/// same rank.
#[test]
fn ranks_are_distinct_and_rotate() {
    let vms: Vec<VmId> = (0..VMS).map(|n| format!("vm-{n}").parse().unwrap()).collect();
    let mut first_counts: BTreeMap<VmId, u32> = BTreeMap::new();
    for newest in 0..100 {
        let rank_of = |vm: &VmId| rank(vm, &vms, Some(Offset(newest)));
        let mut all: Vec<u64> = vms.iter().map(rank_of).collect();
        let first = vms.iter().find(|vm| rank_of(vm) == 0).unwrap();
        *first_counts.entry(first.clone()).or_default() += 1;
        all.sort_unstable();
        assert_eq!(all, (0..VMS).collect::<Vec<_>>());
    }
    assert!(
        first_counts.len() == VMS as usize && first_counts.values().all(|count| *count >= 10),
        "{first_counts:?}"
    );
    let head_start: Span = ScheduleLimits::default().head_start;
    assert!(!head_start.is_zero());
}
