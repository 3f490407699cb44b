//! Properties of the decoders: any input gives a value or an error, and an
//! encoded value is decoded to the same value.

use {
    catkin::{
        Code, config,
        event::{Timestamp, WallTime},
        fold::State,
        record::{self, Assign, Change, Chunk, Claim, Intent, Move, Publish, Record, SplitOff, Writer},
        settings::{self, Gateway, Standin},
        types::{
            Fence, Key, Offset, Revision, Sequence, Service, Share, Size, SliceId, Span, TargetId, Version,
            VmId,
        },
        wire::{
            self, Answer, Class, DATAGRAM_BYTES_MAX, Datagram, DatagramBody, FRAME_BYTES_MAX, Frame,
            LoadReport, RequestHead,
        },
    },
    proptest::{collection::vec, option, prelude::*},
    std::{str::FromStr, sync::Arc},
};

/// Returns a configuration with a fixed seed, so that every run has the same
/// cases.
fn cases(number: u32) -> ProptestConfig {
    ProptestConfig {
        cases: number,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn id<T: FromStr<Err = catkin::Error> + std::fmt::Debug>() -> impl Strategy<Value = T> {
    "[a-zA-Z0-9._-]{1,20}".prop_map(|text| text.parse().unwrap())
}

fn fence() -> impl Strategy<Value = Fence> {
    (any::<u64>(), any::<u32>()).prop_map(|(offset, step)| Fence { offset: Offset(offset), step })
}

prop_compose! {
    fn slice_move()(
        slice in any::<u32>(), expects in any::<u64>(), owner in id(), standby in option::of(id()),
        provisional in option::of(fence()),
    ) -> Move {
        Move { slice: SliceId(slice), expects: Version(expects), owner, standby, provisional }
    }
}

prop_compose! {
    fn change()(
        number in any::<u64>(), small in any::<u32>(), text in ".{1,90}", service in id::<Service>(),
        target in id(), keeper in id(), moves in vec(slice_move(), 0..4), data in vec(any::<u8>(), 0..99),
        kind in 0..6,
    ) -> Change {
        let (expects, digest) = (Version(number), u128::from(number) << (small % 64));
        match kind {
            0 => Change::Config(Publish { expects: Revision(number), author: "a".into(), text: text.into() }),
            1 => Change::Keeper(Claim { target, expects, keeper }),
            2 => Change::Assign(Assign { service, moves }),
            3 => Change::SplitOff(SplitOff { service, key: Key::new(text).unwrap(), expects }),
            4 => Change::Intents(vec![Intent { service, digest, done: small % 2 == 0 }]),
            _ => Change::Chunk(Chunk { at: Offset(number), index: small, count: small, checksum: small, data }),
        }
    }
}

prop_compose! {
    fn any_record()(id in id(), boot in any::<u64>(), sequence in any::<u64>(), change in change()) -> Record {
        Record { writer: Writer { id, boot }, sequence: Sequence(sequence), change }
    }
}

prop_compose! {
    fn frame()(
        number in option::of(any::<u64>()), small in any::<u16>(), flag in any::<bool>(), text in ".{1,90}",
        (request, service) in (id(), id()), (target, to) in (id::<TargetId>(), id::<TargetId>()),
        slices in vec((any::<u32>().prop_map(SliceId), fence()), 0..4), data in vec(any::<u8>(), 0..99),
        kind in 0..10,
    ) -> Frame {
        let keeper = Offset(number.unwrap_or_default());
        let text: Arc<str> = text.into();
        let headers = vec![("x".into(), data.clone().into())];
        let fence = slices.first().map(|(_, fence)| *fence);
        let stamp = Timestamp { wall: WallTime::from_micros(keeper.0), count: small.into() };
        match kind {
            0 => Frame::Request(RequestHead {
                stamp, request, service, target, slice: slices.first().copied(), key: Key::new(text.clone()).ok(),
                idempotency_key: Some(text.clone()), class: if flag { Class::Long } else { Class::Short },
                idempotent: flag, time_left: Span::from_micros(keeper.0), method: "GET".into(), path: text, headers,
                length: number,
            }),
            1 => Frame::Body(data.into()),
            2 => if flag { Frame::End } else { Frame::Cancel },
            3 => Frame::Answer(Answer { status: small, headers, length: number, target, depth: small.into(), stamp, fence }),
            4 => Frame::Failed { code: small, detail: text },
            5 => if flag { Frame::PullState } else { Frame::QueryStopped { target, slices } },
            6 => Frame::State { at: keeper, parts_left: small.into(), data: data.into() },
            7 => Frame::Stopped { target, slices },
            8 => Frame::KeeperAcknowledged { target, keeper, standby: flag.then_some(to), slices },
            _ => Frame::FailOver { from: target, keeper, to, slices },
        }
    }
}

prop_compose! {
    fn datagram()(
        from in id::<VmId>(), to in id::<VmId>(), target in id(), [boot, clock, offset, number] in any::<[u64; 4]>(),
        small in any::<u32>(), flag in any::<bool>(), kind in 0..5,
    ) -> Datagram {
        let body = match kind {
            0 => DatagramBody::Probe { number },
            1 => DatagramBody::Ack { number },
            2 => DatagramBody::Relay { number, probed: to },
            3 => DatagramBody::Relayed { number, probed: to },
            _ => DatagramBody::Loads(vec![LoadReport { target, depth: small, accepting: flag, rate: small }]),
        };
        let stamp = Timestamp { wall: WallTime::from_micros(clock), count: small };
        let revision = Revision(number);
        Datagram { from, boot, stamp, offset: Offset(offset), revision, leaving: flag, body }
    }
}

const GATEWAY: &str = include_str!("../../../examples/socavon/gateway-1.yaml");
const STANDIN: &str = include_str!("../../../examples/cascade/standin.yaml");
const FLEET: &str = include_str!("../../../examples/cascade/fleet.yaml");

/// Replaces a part of a valid file by other text.
fn mutate(text: &str, at: usize, length: usize, with: &str) -> String {
    let chars: Vec<char> = text.chars().collect();
    let at = at % chars.len();
    let end = (at + length).min(chars.len());
    chars[..at].iter().copied().chain(with.chars()).chain(chars[end..].iter().copied()).collect()
}

fn parse_all(text: &str) {
    let check_group = |result: Option<catkin::Error>, hundreds: u16| {
        let code = result.map_or(Code::BadValue.number(), |error| error.code().number());
        assert!(code / 100 == hundreds || code == Code::BadValue.number(), "{code} for {text:?}");
    };
    check_group(settings::parse::<Gateway>(text).err(), 1);
    check_group(settings::parse::<Standin>(text).err(), 1);
    check_group(config::parse(text).err(), 2);
}

proptest! {
    #![proptest_config(cases(512))]

    /// Guards against a gateway that panics on a malformed record, frame or
    /// datagram.
    #[test]
    fn any_bytes_give_a_value_or_an_error(bytes in vec(any::<u8>(), 0..400)) {
        let _ = record::decode(&bytes);
        let _ = wire::decode::<Frame>(&bytes);
        let _ = wire::decode::<Datagram>(&bytes);
        State::new().apply(Offset(0), &bytes);
    }

    /// Guards against a decoder that trusts a length or a tag because the format
    /// byte and the checksum are valid.
    #[test]
    fn any_body_with_valid_checksum_gives_a_value_or_an_error(body in vec(any::<u8>(), 0..400)) {
        let mut bytes = vec![0xC1];
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        let _ = record::decode(&bytes);
        State::new().apply(Offset(0), &bytes);
    }

    /// Guards against readers that decode different records from one offset,
    /// and against a truncated or changed record that is accepted.
    #[test]
    fn records_round_trip_and_corruption_is_detected(
        record in any_record(),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u8,
    ) {
        let bytes = record::encode(&record).unwrap();
        prop_assert_eq!(record::decode(&bytes).unwrap(), record);
        prop_assert!(record::decode(&bytes[..at.index(bytes.len())]).is_err());
        let mut changed = bytes.clone();
        changed[at.index(bytes.len())] ^= 1 << bit;
        prop_assert!(record::decode(&changed).is_err());
        State::new().apply(Offset(0), &bytes);
    }

    /// Guards against a message that is decoded as another one, and against a
    /// truncated message that is accepted.
    #[test]
    fn messages_round_trip(frame in frame(), datagram in datagram(), at in any::<prop::sample::Index>()) {
        let bytes = wire::encode(&frame, FRAME_BYTES_MAX).unwrap();
        prop_assert_eq!(wire::decode::<Frame>(&bytes).unwrap(), frame);
        prop_assert!(wire::decode::<Frame>(&bytes[..at.index(bytes.len())]).is_err());
        let bytes = wire::encode(&datagram, DATAGRAM_BYTES_MAX).unwrap();
        prop_assert_eq!(wire::decode::<Datagram>(&bytes).unwrap(), datagram);
        prop_assert!(wire::decode::<Datagram>(&bytes[..at.index(bytes.len())]).is_err());
    }

    /// Guards against a program that panics on a file instead of reporting the
    /// error, and against an error with a code of another group.
    #[test]
    fn any_text_is_read_or_refused(text in "[ -~\n]{0,200}") {
        parse_all(&text);
    }

    /// As `any_text_is_read_or_refused`, with files that are almost valid.
    #[test]
    fn a_changed_file_is_read_or_refused(
        at in any::<usize>(),
        length in 0..12_usize,
        with in "[ \n:{}\\[\\]&*!|>'\"0-9a-z,.#-]{0,8}",
    ) {
        for text in [GATEWAY, STANDIN, FLEET] {
            parse_all(&mutate(text, at, length, &with));
        }
    }

    /// Guards against a configuration that changes when it is serialized and
    /// parsed again.
    #[test]
    fn configurations_round_trip(deadline in 1..86_400_000_u64, size in 1..1_u64 << 40, share in 1..=100_u32) {
        let mut fleet = config::parse(FLEET).unwrap();
        fleet.defaults.deadline = Some(Span::from_millis(deadline));
        fleet.defaults.long_size = Some(Size::from_bytes(size));
        fleet.defaults.long_share = Some(Share::from_percent(share));
        let text = serde_yaml_ng::to_string(&fleet).unwrap();
        prop_assert_eq!(config::parse(&text).unwrap(), fleet);
    }

    /// Guards against a value that changes when it is formatted and parsed again.
    #[test]
    fn spans_and_sizes_round_trip(number in any::<u64>(), text in "[0-9]{0,30}[a-zA-Z]{0,4}") {
        let span = Span::from_micros(number);
        prop_assert_eq!(span.to_string().parse::<Span>().unwrap(), span);
        let size = Size::from_bytes(number);
        prop_assert_eq!(size.to_string().parse::<Size>().unwrap(), size);
        let _ = (text.parse::<Span>(), text.parse::<Size>());
    }
}

/// Guards against a published text that exhausts the stack, the memory or the
/// time of every gateway: brackets that are never closed, as many as are allowed
/// and one more, and aliases that repeat other lists many times.
#[test]
fn deep_and_self_multiplying_texts_are_refused() {
    let deep = ["[", "{a: "].into_iter().flat_map(|part| [part.repeat(2_000), part.repeat(2_001)]);
    let levels = (1..12).map(|n| format!("a{n}: &a{n} [{}]\n", vec![format!("*a{}", n - 1); 12].join(", ")));
    let nested_aliases = format!("a0: &a0 [x, x]\n{}", levels.collect::<String>());
    for text in deep.chain([nested_aliases, "- ".repeat(20_000), "a".repeat(200_000)]) {
        assert_eq!(config::parse(&text).unwrap_err().code(), Code::ConfigSyntax);
    }
    let long = config::parse(&"a".repeat(200_000)).unwrap_err();
    assert_eq!(long.detail(), "read 200000 bytes, allowed are 131072");
    let many = config::parse(&"[],".repeat(2_001)).unwrap_err();
    assert_eq!(many.detail(), "read 2001 lists and maps in brackets, allowed are 2000");
}
