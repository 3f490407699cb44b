//! Tests that all readers of the log compute the same state.

use {
    catkin::{
        Code,
        append::Appender,
        fold::{INTENTS_MAX, State, Verdict, WRITERS_MAX},
        record::{self, Assign, Change, Claim, Intent, Move, Publish, Record, SplitOff, Writer},
        types::{Fence, Key, Offset, Revision, Sequence, Service, SliceId, TargetId, Version},
    },
    proptest::prelude::*,
};

const CONFIG: &str = "services: {plan: {keyed: true, slices: 2}}";

fn writer(number: u64) -> Writer {
    Writer { id: format!("vm-{}", number % 3).parse().unwrap(), boot: number / 3 + 1 }
}

fn target(number: u64) -> TargetId {
    format!("t-{}", number % 3).parse().unwrap()
}

fn plan() -> Service {
    "plan".parse().unwrap()
}

fn key(number: u64) -> Key {
    format!("key-{number}").parse().unwrap()
}

fn encode(writer: &Writer, sequence: u64, change: Change) -> Vec<u8> {
    record::encode(&Record { writer: writer.clone(), sequence: Sequence(sequence), change }).unwrap()
}

fn publish(expects: u64, text: &str) -> Change {
    Change::Config(Publish { expects: Revision(expects), author: "op".into(), text: text.into() })
}

fn claim(expects: u64, number: u64, keeper: &Writer) -> Change {
    Change::Keeper(Claim { target: target(number), expects: Version(expects), keeper: keeper.id.clone() })
}

fn assign(slice: u32, expects: u64, owner: u64, provisional: Option<Fence>) -> Change {
    let change = Move {
        slice: SliceId(slice),
        expects: Version(expects),
        owner: target(owner),
        standby: Some(target(owner + 1)),
        provisional,
    };
    Change::Assign(Assign { service: plan(), moves: vec![change] })
}

fn intent(digest: u128, done: bool) -> Change {
    Change::Intents(vec![Intent { service: plan(), digest, done }])
}

fn split_off(number: u64, expects: u64) -> Change {
    Change::SplitOff(SplitOff { service: plan(), key: key(number), expects: Version(expects) })
}

fn codes(verdict: &Verdict) -> Vec<Code> {
    verdict.refused.iter().map(catkin::Error::code).collect()
}

/// Returns arbitrary changes with small numbers, so that they conflict. Provisional
/// fences contain offsets, which differ in a log with duplicates.
fn changes(provisional: bool) -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..3_u64, 1..4_u32).prop_map(|(expects, slices)| publish(
            expects,
            &format!("services: {{plan: {{keyed: true, slices: {slices}}}}}")
        )),
        (0..4_u64, 0..3_u64, 0..3_u64).prop_map(|(expects, number, vm)| claim(expects, number, &writer(vm))),
        (0..4_u32, 0..3_u64, 0..3_u64, Just(provisional)).prop_map(|(slice, expects, owner, provisional)| {
            let fence = Fence::new(Offset(expects)).next_step();
            assign(slice, expects, owner, (provisional && slice == 1).then_some(fence))
        }),
        (0..3_u64, 0..4_u64).prop_map(|(number, expects)| split_off(number, expects)),
        (0..4_u128, any::<bool>()).prop_map(|(digest, done)| intent(digest, done)),
    ]
}

/// Returns arbitrary entries of the log: records, truncated records and random
/// bytes.
fn entries() -> impl Strategy<Value = Vec<u8>> {
    let record = (0..6_u64, 1..6_u64, changes(true));
    let complete =
        record.prop_map(|(number, sequence, change)| encode(&writer(number), sequence, change)).boxed();
    let truncated = (complete.clone(), any::<prop::sample::Index>()).prop_map(|(mut bytes, at)| {
        bytes.truncate(at.index(bytes.len()));
        bytes
    });
    prop_oneof![8 => complete, 1 => truncated, 1 => prop::collection::vec(any::<u8>(), 0..40)]
}

fn apply_all(state: &mut State, log: &[Vec<u8>]) -> Vec<Vec<Code>> {
    let first = state.next_offset().0 as usize;
    let unapplied = log.iter().enumerate().skip(first);
    unapplied.map(|(at, bytes)| codes(&state.apply(Offset(at as u64), bytes))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against readers with different states. One reads from the start, the
    /// other starts from an encoded state at any prefix and reads some records
    /// twice.
    #[test]
    fn readers_agree_at_every_prefix(
        log in prop::collection::vec(entries(), 1..40),
        joined_at in any::<prop::sample::Index>(),
        repeated in 0..5_u64,
    ) {
        let mut first = State::new();
        let joined_at = joined_at.index(log.len());
        apply_all(&mut first, &log[..joined_at]);
        let mut second = State::decode(&first.encode().unwrap()).unwrap();
        prop_assert_eq!(&first, &second);
        for offset in (joined_at as u64).saturating_sub(repeated)..joined_at as u64 {
            let verdict = second.apply(Offset(offset), &log[offset as usize]);
            prop_assert_eq!(codes(&verdict), [Code::Duplicate]);
        }
        for (offset, bytes) in log.iter().enumerate().skip(joined_at) {
            let offset = Offset(offset as u64);
            prop_assert_eq!(codes(&first.apply(offset, bytes)), codes(&second.apply(offset, bytes)));
            prop_assert_eq!(first.digest().unwrap(), second.digest().unwrap());
        }
    }

    /// Guards against a duplicate that changes the state. A log in which each record
    /// may occur twice must give the same rows as the log without duplicates.
    #[test]
    fn duplicates_change_nothing(
        log in prop::collection::vec((0..6_u64, changes(false), any::<bool>()), 1..30),
    ) {
        let mut single = State::new();
        let mut double = State::new();
        for (at, (number, change, repeat)) in log.into_iter().enumerate() {
            let bytes = encode(&writer(number), at as u64 + 1, change);
            let (of_single, of_double) = (codes(&single.apply(single.next_offset(), &bytes)), codes(&double.apply(double.next_offset(), &bytes)));
            prop_assert_eq!(of_single, of_double);
            if repeat {
                let verdict = double.apply(double.next_offset(), &bytes);
                prop_assert_eq!(codes(&verdict), [Code::Duplicate]);
            }
        }
        let rows = |state: &State| {
            let rows = state.rows().map(|(_, slice, row)| (slice, row.owner.clone(), row.version));
            rows.collect::<Vec<_>>()
        };
        prop_assert_eq!(rows(&single), rows(&double));
        prop_assert_eq!(single.intent_count(), double.intent_count());
        prop_assert_eq!(single.config().revision, double.config().revision);
    }

    /// Guards against a change that is omitted or applied twice after an append
    /// without an answer. Every append may be refused, take effect without an answer,
    /// or be lost.
    #[test]
    fn lost_answers_are_settled_by_reading(outcomes in prop::collection::vec(0..4_u8, 1..40)) {
        let mut appender = Appender::new(writer(0));
        let mut state = State::new();
        let mut unread = Vec::new();
        let mut settled = Vec::new();
        let count = 10_u64;
        for digest in 0..count {
            appender.push(intent(u128::from(digest), false)).unwrap();
        }
        let mut outcomes = outcomes.into_iter().chain(std::iter::repeat(0));
        while !appender.is_empty() {
            let Some(bytes) = appender.next_bytes().map(<[u8]>::to_vec) else {
                prop_assert!(appender.is_unknown());
                appender.resend();
                continue;
            };
            prop_assert!(appender.next_bytes().is_none(), "one append is in flight");
            let outcome = outcomes.next().unwrap_or_default();
            if outcome == 1 {
                appender.failed(&catkin::Error::new(Code::LogUnavailable, "refused"));
                continue;
            }
            let lost = outcome == 2;
            unread.extend((!lost).then(|| state.apply(state.next_offset(), &bytes)));
            if outcome > 0 {
                appender.failed(&catkin::Error::new(Code::AppendUnknown, "no answer"));
                prop_assert!(appender.is_unknown());
            } else {
                appender.appended(Offset(state.next_offset().0 - 1));
            }
            // The log is read after only some of the unknown appends.
            if outcome != 3 {
                settled.extend(unread.drain(..).filter_map(|verdict| appender.observe(verdict)));
            }
        }
        prop_assert!(settled.iter().all(|done| done.refused.is_empty()));
        let all: Vec<u64> = settled.iter().map(|done| done.sequence.0).collect();
        prop_assert_eq!(all, (1..=count).collect::<Vec<_>>());
        prop_assert_eq!(state.intent_count() as u64, count);
    }

    /// Guards against a panic on arbitrary bytes.
    #[test]
    fn any_bytes_are_skipped_or_applied(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        offset in prop_oneof![any::<u64>(), Just(u64::MAX)],
        framed in any::<bool>(),
    ) {
        let mut data = bytes;
        if framed {
            let mut head = vec![0xC1];
            head.extend(crc32fast::hash(&data).to_le_bytes());
            head.append(&mut data);
            data = head;
        }
        let mut state = State::new();
        state.apply(Offset(offset), &data);
        let skipped = state.skipped();
        prop_assert!(skipped.foreign + skipped.torn <= 1);
        let _ = State::decode(&data);
    }
}

/// Returns a state with a configuration, keepers of targets 0 and 1, and both
/// slices owned by target 0.
fn initial_state() -> State {
    let mut state = State::new();
    let changes = [
        publish(0, CONFIG),
        claim(0, 0, &writer(0)),
        claim(0, 1, &writer(0)),
        assign(0, 0, 0, None),
        assign(1, 0, 0, None),
    ];
    for (at, change) in changes.into_iter().enumerate() {
        let verdict = state.apply(Offset(at as u64), &encode(&writer(0), at as u64 + 1, change));
        assert!(verdict.is_accepted(), "{:?}", verdict.refused);
    }
    state
}

fn apply_next(state: &mut State, number: u64, change: Change) -> Vec<Code> {
    let sequence = state.last_sequence(&writer(number)).unwrap_or_default().next();
    codes(&state.apply(state.next_offset(), &encode(&writer(number), sequence.0, change)))
}

/// Guards against a delayed append of a process that has ended. It must not move
/// slices that another process keeps.
#[test]
fn only_the_claiming_process_moves_slices() {
    let mut state = initial_state();
    assert_eq!(apply_next(&mut state, 1, assign(0, 1, 1, None)), [Code::NotKeeper]);
    assert_eq!(
        apply_next(&mut state, 3, assign(0, 1, 1, None)),
        [Code::NotKeeper],
        "a new incarnation of the same VM"
    );
    assert_eq!(apply_next(&mut state, 0, assign(0, 1, 1, None)), []);
    assert_eq!(apply_next(&mut state, 0, assign(0, 1, 2, None)), [Code::StaleVersion]);
    assert_eq!(apply_next(&mut state, 0, assign(7, 0, 1, None)), [Code::UnknownSlice]);
}

/// Guards against a provisional move that becomes durable on top of another row
/// than the one that it was made from.
#[test]
fn provisional_move_becomes_durable_only_on_its_row() {
    let mut state = initial_state();
    let fence = state.row(&plan(), SliceId(0)).unwrap().fence;
    let other_fence = Fence::new(Offset(99)).next_step();
    assert_eq!(apply_next(&mut state, 0, assign(0, 1, 1, Some(other_fence))), [Code::StaleVersion]);
    assert_eq!(apply_next(&mut state, 0, assign(0, 1, 2, Some(fence.next_step()))), [Code::StaleVersion]);
    assert_eq!(apply_next(&mut state, 0, assign(0, 1, 1, Some(fence.next_step()))), []);
    let row = state.row(&plan(), SliceId(0)).unwrap();
    assert!(row.fence > fence.next_step(), "the logged fence is above the provisional one");
    assert_eq!(row.previous, Some((target(0), fence)));
}

/// Guards against a key that two slices hold. Readers that have not applied the
/// split use the old fence and must be refused.
#[test]
fn split_off_key_gets_a_slice_and_its_old_slice_a_new_fence() {
    let mut state = initial_state();
    let old_slice = state.slice(&plan(), &key(1)).unwrap();
    let before = state.row(&plan(), old_slice).unwrap().clone();
    assert_eq!(apply_next(&mut state, 1, split_off(1, 1)), [Code::NotKeeper]);
    assert_eq!(apply_next(&mut state, 0, split_off(1, 1)), []);
    let slice = state.slice(&plan(), &key(1)).unwrap();
    assert_eq!(slice, SliceId(2));
    let row = state.row(&plan(), slice).unwrap();
    assert_eq!((row.owner.clone(), row.parent), (target(0), Some((old_slice, before.fence))));
    assert!(state.row(&plan(), old_slice).unwrap().fence > before.fence);
    assert_eq!(apply_next(&mut state, 0, split_off(1, 1)), [Code::UnknownSlice], "a key is split off once");
}

/// Guards against readers at different revisions that map one key to different
/// slices.
#[test]
fn number_of_slices_never_changes() {
    let mut state = initial_state();
    let more = CONFIG.replace("slices: 2", "slices: 3");
    assert_eq!(apply_next(&mut state, 0, publish(1, &more)), [Code::ConfigRange]);
    assert_eq!(apply_next(&mut state, 0, publish(1, "services: {}")), []);
    assert_eq!(
        apply_next(&mut state, 0, publish(2, &more)),
        [Code::ConfigRange],
        "not after a removal either"
    );
    assert_eq!(apply_next(&mut state, 0, publish(2, CONFIG)), []);
}

/// Guards against two winners of one idempotency key, and against a process that marks
/// the key of another one as done.
#[test]
fn first_intent_wins_and_its_writer_marks_it() {
    let mut state = initial_state();
    assert_eq!(apply_next(&mut state, 1, intent(5, false)), []);
    assert_eq!(apply_next(&mut state, 2, intent(5, false)), [Code::TakenIntent]);
    assert_eq!(apply_next(&mut state, 2, intent(5, true)), [Code::TakenIntent]);
    assert_eq!(apply_next(&mut state, 1, intent(5, false)), [Code::TakenIntent]);
    assert!(!state.intent(5).unwrap().done);
    assert_eq!(apply_next(&mut state, 1, intent(5, true)), []);
    assert!(state.intent(5).unwrap().done);
}

/// Guards against tables that grow without bound.
#[test]
fn tables_are_bounded() {
    let mut state = State::new();
    let per_record = 1_024_u128;
    for batch in 0..(INTENTS_MAX as u128 / per_record + 2) {
        let digests = batch * per_record..(batch + 1) * per_record;
        let intents = digests.map(|digest| Intent { service: plan(), digest, done: false }).collect();
        assert_eq!(apply_next(&mut state, 0, Change::Intents(intents)), []);
    }
    assert_eq!(state.intent_count(), INTENTS_MAX);
    assert!(state.intent(0).is_none() && state.intent(2 * per_record).is_some());
    for number in 0..(WRITERS_MAX as u64 + 10) {
        let change = intent(0, true);
        state.apply(state.next_offset(), &encode(&writer(3 * number + 5), 1, change));
    }
    assert_eq!(state.writer_count(), WRITERS_MAX);
    let bytes = state.encode().unwrap();
    println!("{} bytes for {INTENTS_MAX} intents and {WRITERS_MAX} writers", bytes.len());
    assert_eq!(State::decode(&bytes).unwrap(), state);
}

/// Guards against a state that skips missing records.
#[test]
fn record_after_a_gap_changes_nothing() {
    let mut state = initial_state();
    let before = state.digest().unwrap();
    let bytes = encode(&writer(0), 99, intent(1, false));
    assert_eq!(codes(&state.apply(Offset(state.next_offset().0 + 1), &bytes)), [Code::LogExpired]);
    assert_eq!(state.digest().unwrap(), before);
}
