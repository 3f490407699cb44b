//! Properties of the decoders: any input gives a value or an error, and what
//! was encoded is decoded to the same value.

use {
    catkin::{
        Code, config,
        fold::State,
        record::{self, Assign, Carve, Change, Chunk, Claim, Intent, Move, Publish, Record, Writer},
        settings::{self, Gateway, Standin},
        types::{
            Fence, Key, Offset, RequestId, Revision, Sequence, Service, Share, Size, SliceId, Span, TargetId,
            Time, Version, VmId,
        },
        wire::{
            self, Answer, Body, Class, DATAGRAM_BYTES_MAX, Datagram, FRAME_BYTES_MAX, Frame, Gossip, Head,
        },
    },
    proptest::{collection::vec, option, prelude::*},
    std::str::FromStr,
};

/// A fixed seed, so that every run tries the same cases.
fn cases(number: u32) -> ProptestConfig {
    ProptestConfig {
        cases: number,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn id<T>() -> impl Strategy<Value = T>
where
    T: FromStr<Err = catkin::Error> + std::fmt::Debug,
{
    "[a-zA-Z0-9._-]{1,20}".prop_map(|text| text.parse().unwrap())
}

fn fence() -> impl Strategy<Value = Fence> {
    (any::<u64>(), any::<u32>()).prop_map(|(offset, step)| Fence { offset: Offset(offset), step })
}

fn slices() -> impl Strategy<Value = Vec<(SliceId, Fence)>> {
    vec((any::<u32>().prop_map(SliceId), fence()), 0..5)
}

fn one_move() -> impl Strategy<Value = Move> {
    let parts =
        (any::<u32>(), any::<u64>(), id::<TargetId>(), option::of(id::<TargetId>()), option::of(fence()));
    parts.prop_map(|(slice, expects, owner, standby, provisional)| Move {
        slice: SliceId(slice),
        expects: Version(expects),
        owner,
        standby,
        provisional,
    })
}

fn intent() -> impl Strategy<Value = Intent> {
    (id::<Service>(), any::<u128>(), any::<bool>()).prop_map(|(service, digest, done)| Intent {
        service,
        digest,
        done,
    })
}

fn chunk() -> impl Strategy<Value = Chunk> {
    (any::<u64>(), any::<[u32; 3]>(), vec(any::<u8>(), 0..200))
        .prop_map(|(at, [part, parts, checksum], data)| Chunk { at: Offset(at), part, parts, checksum, data })
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (any::<u64>(), ".{0,20}", ".{0,200}").prop_map(|(expects, author, text)| Change::Config(Publish {
            expects: Revision(expects),
            author: author.into(),
            text: text.into(),
        })),
        (id::<TargetId>(), any::<u64>(), id::<VmId>()).prop_map(|(target, expects, keeper)| {
            Change::Keeper(Claim { target, expects: Version(expects), keeper })
        }),
        (id::<Service>(), vec(one_move(), 0..5))
            .prop_map(|(service, moves)| Change::Assign(Assign { service, moves })),
        (id::<Service>(), ".{1,50}", any::<u64>()).prop_map(|(service, key, expects)| Change::Carve(Carve {
            service,
            key: Key::new(key).unwrap(),
            expects: Version(expects),
        })),
        vec(intent(), 0..5).prop_map(Change::Intents),
        chunk().prop_map(Change::Chunk),
    ]
}

fn any_record() -> impl Strategy<Value = Record> {
    (id::<VmId>(), any::<u64>(), any::<u64>(), change()).prop_map(|(id, boot, sequence, change)| Record {
        writer: Writer { id, boot },
        sequence: Sequence(sequence),
        change,
    })
}

fn headers() -> impl Strategy<Value = Vec<(std::sync::Arc<str>, bytes::Bytes)>> {
    vec(("[a-z-]{1,10}".prop_map(Into::into), vec(any::<u8>(), 0..20).prop_map(Into::into)), 0..4)
}

fn head() -> impl Strategy<Value = Head> {
    let names = (id::<RequestId>(), id::<Service>(), id::<TargetId>(), option::of("[a-z]{1,9}"));
    let numbers =
        (option::of((any::<u32>(), fence())), any::<bool>(), any::<u64>(), option::of(any::<u64>()));
    (names, numbers, "[A-Z]{3,6}", "/[a-z/]{0,20}", headers()).prop_map(
        |((request, service, target, key), (slice, flag, left, length), method, path, headers)| Head {
            request,
            service,
            target,
            slice: slice.map(|(slice, fence)| (SliceId(slice), fence)),
            key: key.map(|key| Key::new(key).unwrap()),
            class: if flag { Class::Long } else { Class::Short },
            idempotent: flag,
            left: Span::from_micros(left),
            method: method.into(),
            path: path.into(),
            headers,
            length,
            operation: length.map(|number| number.to_string().into()),
        },
    )
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        head().prop_map(Frame::Request),
        vec(any::<u8>(), 0..200).prop_map(|bytes| Frame::Body(bytes.into())),
        Just(Frame::End),
        Just(Frame::Cancel),
        Just(Frame::PullState),
        (any::<u16>(), headers(), option::of(any::<u64>()), id::<TargetId>(), option::of(fence())).prop_map(
            |(status, headers, length, target, fence)| {
                Frame::Answer(Answer { status, headers, length, target, fence })
            }
        ),
        (any::<u16>(), ".{0,50}").prop_map(|(code, detail)| Frame::Failed { code, detail: detail.into() }),
        (id::<TargetId>(), slices()).prop_map(|(target, slices)| Frame::AskStopped { target, slices }),
        (id::<TargetId>(), slices()).prop_map(|(target, slices)| Frame::Stopped { target, slices }),
        (any::<u64>(), any::<u32>(), vec(any::<u8>(), 0..99)).prop_map(|(at, left, data)| Frame::State {
            at: Offset(at),
            left,
            data: data.into()
        }),
        (id::<TargetId>(), any::<u64>(), option::of(id::<TargetId>()), slices()).prop_map(
            |(target, keeper, standby, slices)| Frame::KeeperNoted {
                target,
                keeper: Offset(keeper),
                standby,
                slices
            }
        ),
        (id::<TargetId>(), any::<u64>(), option::of(id::<TargetId>())).prop_map(
            |(target, keeper, standby)| Frame::AskKeeper { target, keeper: Offset(keeper), standby }
        ),
        (id::<TargetId>(), any::<u64>(), id::<TargetId>(), slices()).prop_map(
            |(from, keeper, to, slices)| { Frame::HandOver { from, keeper: Offset(keeper), to, slices } }
        ),
    ]
}

fn body() -> impl Strategy<Value = Body> {
    let gossip = (id::<TargetId>(), any::<u32>(), any::<bool>(), any::<u32>());
    let gossip = gossip.prop_map(|(target, depth, open, rate)| Gossip { target, depth, open, rate });
    prop_oneof![
        any::<u64>().prop_map(|number| Body::Probe { number }),
        any::<u64>().prop_map(|number| Body::Ack { number }),
        (any::<u64>(), id::<VmId>()).prop_map(|(number, to)| Body::Relay { number, to }),
        (any::<u64>(), id::<VmId>()).prop_map(|(number, from)| Body::Relayed { number, from }),
        vec(gossip, 0..5).prop_map(Body::Loads),
    ]
}

fn datagram() -> impl Strategy<Value = Datagram> {
    (id::<VmId>(), any::<[u64; 4]>(), any::<bool>(), body()).prop_map(
        |(from, [boot, clock, offset, revision], leaving, body)| Datagram {
            from,
            boot,
            clock: Time::from_micros(clock),
            offset: Offset(offset),
            revision: Revision(revision),
            leaving,
            body,
        },
    )
}

const GATEWAY: &str = include_str!("../../../examples/socavon/gateway-1.yaml");
const STANDIN: &str = include_str!("../../../examples/cascade/standin.yaml");
const FLEET: &str = include_str!("../../../examples/cascade/fleet.yaml");

/// Replaces a part of a valid file by other characters that YAML knows.
fn mutate(text: &str, at: usize, length: usize, with: &str) -> String {
    let chars: Vec<char> = text.chars().collect();
    let at = at % chars.len();
    let end = (at + length).min(chars.len());
    chars[..at].iter().copied().chain(with.chars()).chain(chars[end..].iter().copied()).collect()
}

fn read_all(text: &str) {
    let group = |result: Option<catkin::Error>, hundreds: u16| {
        let code = result.map_or(Code::BadValue.number(), |error| error.code().number());
        assert!(code / 100 == hundreds || code == Code::BadValue.number(), "{code} for {text:?}");
    };
    group(settings::parse::<Gateway>(text).err(), 1);
    group(settings::parse::<Standin>(text).err(), 1);
    group(config::parse(text).err(), 2);
}

proptest! {
    #![proptest_config(cases(512))]

    /// Guards against a gateway that is stopped by one bad record, frame or
    /// datagram.
    #[test]
    fn any_bytes_give_a_value_or_an_error(bytes in vec(any::<u8>(), 0..400)) {
        let _ = record::decode(&bytes);
        let _ = wire::decode::<Frame>(&bytes);
        let _ = wire::decode::<Datagram>(&bytes);
        State::new().apply(Offset(0), &bytes);
    }

    /// Guards against a decoder that trusts a length or a tag behind a valid
    /// format byte and checksum.
    #[test]
    fn a_record_with_a_valid_checksum_may_hold_anything(body in vec(any::<u8>(), 0..400)) {
        let mut bytes = vec![0xC1];
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        let _ = record::decode(&bytes);
        State::new().apply(Offset(0), &bytes);
    }

    /// Guards against readers that take different records from one offset,
    /// and against a cut or changed record that passes as whole.
    #[test]
    fn records_round_trip_and_damage_is_noticed(
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

    /// Guards against a message that arrives as another one, and against a
    /// cut message that passes as whole.
    #[test]
    fn messages_round_trip(frame in frame(), datagram in datagram(), at in any::<prop::sample::Index>()) {
        let bytes = wire::encode(&frame, FRAME_BYTES_MAX).unwrap();
        prop_assert_eq!(wire::decode::<Frame>(&bytes).unwrap(), frame);
        prop_assert!(wire::decode::<Frame>(&bytes[..at.index(bytes.len())]).is_err());
        let bytes = wire::encode(&datagram, DATAGRAM_BYTES_MAX).unwrap();
        prop_assert_eq!(wire::decode::<Datagram>(&bytes).unwrap(), datagram);
        prop_assert!(wire::decode::<Datagram>(&bytes[..at.index(bytes.len())]).is_err());
    }

    /// Guards against a program that panics on a file instead of naming its
    /// fault, and against a fault with a code of another group.
    #[test]
    fn any_text_is_read_or_refused(text in "[ -~\n]{0,200}") {
        read_all(&text);
    }

    /// As above, with files that are almost valid.
    #[test]
    fn a_changed_file_is_read_or_refused(
        at in any::<usize>(),
        length in 0..12_usize,
        with in "[ \n:{}\\[\\]&*!|>'\"0-9a-z,.#-]{0,8}",
    ) {
        for text in [GATEWAY, STANDIN, FLEET] {
            read_all(&mutate(text, at, length, &with));
        }
    }

    /// Guards against a configuration that means something else once it is
    /// written out and read again.
    #[test]
    fn configurations_round_trip(deadline in 1..86_400_000_u64, size in 1..1_u64 << 40, share in 1..=100_u32) {
        let mut fleet = config::parse(FLEET).unwrap();
        fleet.defaults.deadline = Some(Span::from_millis(deadline));
        fleet.defaults.long_size = Some(Size::from_bytes(size));
        fleet.defaults.long_share = Some(Share::from_percent(share));
        let text = serde_yaml_ng::to_string(&fleet).unwrap();
        prop_assert_eq!(config::parse(&text).unwrap(), fleet);
    }

    /// Guards against a value that changes when it is shown and read again.
    #[test]
    fn spans_and_sizes_round_trip(number in any::<u64>(), text in "[0-9]{0,30}[a-zA-Z]{0,4}") {
        let span = Span::from_micros(number);
        prop_assert_eq!(span.to_string().parse::<Span>().unwrap(), span);
        let size = Size::from_bytes(number);
        prop_assert_eq!(size.to_string().parse::<Size>().unwrap(), size);
        let _ = (text.parse::<Span>(), text.parse::<Size>());
    }
}

/// Guards against a published text that uses up the stack, the memory or the
/// time of every gateway: the longest nesting that is allowed, one level more,
/// and lists that repeat others many times.
#[test]
fn deep_and_self_multiplying_texts_are_refused() {
    let deep = ["[", "{a: "].into_iter().flat_map(|part| [part.repeat(2_000), part.repeat(2_001)]);
    let levels = (1..12).map(|n| format!("a{n}: &a{n} [{}]\n", vec![format!("*a{}", n - 1); 12].join(", ")));
    let bomb = format!("a0: &a0 [x, x]\n{}", levels.collect::<String>());
    for text in deep.chain([bomb, "- ".repeat(20_000), "a".repeat(200_000)]) {
        assert_eq!(config::parse(&text).unwrap_err().code(), Code::ConfigSyntax);
    }
    let long = config::parse(&"a".repeat(200_000)).unwrap_err();
    assert_eq!(long.detail(), "read 200000 bytes, allowed are 131072");
    let many = config::parse(&"[],".repeat(2_001)).unwrap_err();
    assert_eq!(many.detail(), "read 2001 lists and maps in brackets, allowed are 2000");
}
