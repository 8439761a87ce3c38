use std::net::SocketAddr;
use std::time::Duration;

use policy::{
    Ask, DomainLoad, FarReason, Grant, Kind, NodeId, ObservedLimit, PermitId, RateLimit, Rejection,
    Reply, Reporter, RequestKey, SendKind, Tier,
};
use proptest::prelude::*;
use resources::{
    Endpoint, Position, Priority, Registration, RegistryChange, RegistryEntry, Standing,
};

use crate::exchange::{CHANGES_PER_FRAME, MAX_GOSSIP, frames_of};
use crate::replica::Versions;
use crate::wire::{
    Ack, Batch, Capacity, Features, Frame, Gossip, Key, Keys, LastAnswer, MAX_FRAME_BYTES, Message,
    NodeInfo, PermitMessage, Phase, PlatformUpdate, VERSION, Verdict, WireError,
};

/// A rate limit of the greatest encoded length.
fn longest_limit() -> ObservedLimit {
    let limit = RateLimit::from_per_second(f64::MAX).unwrap();
    ObservedLimit {
        endpoint: longest_info().addr,
        limit,
        age_ms: u32::MAX,
        sent_ms: Some(u32::MAX),
    }
}

/// A load of the greatest encoded length.
fn longest_load() -> DomainLoad {
    DomainLoad {
        failure_domain: u64::MAX,
        usable: f32::MAX,
        in_use: u32::MAX,
        queued: u32::MAX,
        served: f32::MAX,
        unserved: f32::MAX,
    }
}

/// A position of the greatest encoded length.
const LAST: Position = Position { era: u32::MAX, revision: u64::MAX };

fn keys(text: &str) -> Keys {
    Keys { current: Key::new(text.as_bytes()), also_accepted: None }
}

fn frame(message: Message) -> Frame {
    Frame { from: NodeId(7), message }
}

fn gossip() -> Frame {
    let nodes = vec![longest_info()];
    frame(Message::Gossip(Gossip { nodes, ..Gossip::default() }))
}

/// A node state of the greatest encoded length.
fn longest_info() -> NodeInfo {
    let addr: SocketAddr = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap();
    NodeInfo {
        addr,
        failure_domain: u64::MAX,
        incarnation: u64::MAX,
        version: u32::MAX,
        capacity: Capacity { millicores: u32::MAX, link_mbps: u32::MAX },
        phase: Phase::Leaving,
        versions: Versions { config: u64::MAX, registry: LAST },
        features: Features::DOMAIN_DISPATCH,
    }
}

#[test]
fn the_longest_gossip_fits_a_datagram() {
    let info = longest_info();
    let verdict = Verdict { endpoint: info.addr, valid_ms: u32::MAX };
    let rejection = Rejection { request: RequestKey(u64::MAX), valid_ms: u32::MAX };
    let (nodes, verdicts, rejections) = MAX_GOSSIP;
    let gossip = Gossip {
        nodes: vec![info; nodes],
        verdicts: vec![verdict; verdicts],
        rejections: vec![rejection; rejections],
        wants_reply: true,
    };
    let buf =
        frame(Message::Gossip(gossip)).encode(&keys("k")).expect("the frame fits into a datagram");
    assert!(buf.len() <= MAX_FRAME_BYTES, "{}", buf.len());
}

/// An update with the maximum number of changes, each of the greatest length expected in use.
fn longest_update() -> PlatformUpdate {
    let endpoint = Endpoint {
        id: "i-0123456789abcdef0123".into(),
        addr: longest_info().addr,
        failure_domain: "a-failure-domain-with-a-long-name".into(),
        slots: u32::MAX,
        standing: Standing::Leaving,
        warm_up_ms: u32::MAX,
        started_ms: u64::MAX,
    };
    let id = endpoint.id.clone();
    let entry =
        Some(Registration { service: "a-service-with-a-long-name".into(), endpoint }.into());
    let change = RegistryChange { id, at: LAST, entry };
    PlatformUpdate {
        sender: longest_info(),
        versions: longest_info().versions,
        after: LAST,
        changes: vec![change; CHANGES_PER_FRAME],
        last_answer: LastAnswer::Read { age_ms: 0 },
    }
}

#[test]
fn the_longest_update_and_the_longest_ask_fit_a_datagram() {
    let update = frame(Message::PlatformUpdate(longest_update()))
        .encode(&keys("k"))
        .expect("the frame fits into a datagram");
    assert!(update.len() <= MAX_FRAME_BYTES, "{}", update.len());
    let reporter = Reporter { node: NodeId(u64::MAX), failure_domain: u64::MAX };
    let ask = Ask {
        id: PermitId { node: NodeId(u64::MAX), seq: u64::MAX },
        reporter,
        route: u32::MAX,
        request: RequestKey::default(),
        repeatable: true,
        priority: Priority(u8::MAX),
        organisation: u64::MAX,
        weight: u32::MAX,
        long_answer: true,
        send: SendKind::Further,
        brings_share: true,
        avoid: vec![longest_info().addr; 16],
        closed: vec![longest_info().addr; Ask::MAX_CLOSED],
        domains: None,
        limits: vec![longest_limit(); Ask::MAX_LIMITS],
        left: Duration::MAX,
        is_last: true,
        objective: Duration::MAX,
        wait: true,
    };
    let domain_ask = PermitMessage::DomainAsk {
        service: u64::MAX,
        failure_domain: u64::MAX,
        may_redirect: true,
        ask: ask.clone(),
    };
    let ask = PermitMessage::Ask { service: u64::MAX, ask };
    for it in [ask, domain_ask] {
        frame(Message::Permit(it)).encode(&keys("k")).expect("the frame fits into a datagram");
    }
}

/// A change of an endpoint with names and an id of the greatest length that entries may have.
fn change_with_longest_names() -> RegistryChange {
    let name = "x".repeat(200);
    let mut change = longest_update().changes.remove(0);
    change.id = name.as_str().into();
    if let Some(RegistryEntry::Endpoint(it)) = &mut change.entry {
        it.service = name.as_str().into();
        it.endpoint.id = name.as_str().into();
        it.endpoint.failure_domain = name.into();
    }
    change
}

/// Guards against an entry with long names whose frame is too long to send, so that the other changes in it are late.
#[test]
fn changes_with_long_names_fit_a_datagram_with_others() {
    let usual = longest_update().changes.remove(0);
    let changes: Vec<_> = (0..20)
        .map(|i| if i % 3 == 0 { change_with_longest_names() } else { usual.clone() })
        .collect();
    let frames = frames_of(&changes);
    assert_eq!(frames.concat(), changes);
    for changes in frames {
        let update = PlatformUpdate { changes: changes.to_vec(), ..longest_update() };
        let buf = frame(Message::PlatformUpdate(update)).encode(&keys("k"));
        assert!(buf.is_some(), "{} changes", changes.len());
    }
}

/// The copy for peers carries odd text as it is.
#[test]
fn odd_ids_and_numbers_round_trip_between_nodes() {
    let mut change = change_with_longest_names();
    change.id = "\u{0}\u{fffd}\"\\\n\u{10ffff}".into();
    let update = PlatformUpdate { changes: vec![change], ..longest_update() };
    let sent = frame(Message::PlatformUpdate(update));
    let buf = sent.encode(&keys("k")).expect("the frame fits into a datagram");
    assert_eq!(Frame::decode(&buf, &keys("k")), Ok(sent));
}

#[test]
fn messages_round_trip() {
    let id = PermitId { node: NodeId(1), seq: 2 };
    let grant = Grant {
        endpoint: "i-7f3a91c2".into(),
        started_ms: 0,
        addr: longest_info().addr,
        stall_after: Duration::from_millis(90),
        hedge_after: Duration::from_millis(30),
        trial: true,
        tier: Tier::Good,
        health: Default::default(),
        is_watched: false,
        is_rate_limited: false,
    };
    let messages = [
        Message::Permit(PermitMessage::Answer { id, reply: Reply::Granted(grant) }),
        Message::Permit(PermitMessage::Release {
            id,
            outcome: Some((Kind::Answered, Duration::from_micros(12_345))),
        }),
        Message::Permit(PermitMessage::Renew { ids: vec![id; 60] }),
        Message::Permit(PermitMessage::Answer {
            id,
            reply: Reply::Elsewhere { failure_domain: u64::MAX, reason: FarReason::Floor },
        }),
        Message::Permit(PermitMessage::DomainLoads { service: 7, loads: vec![longest_load(); 3] }),
        Message::Permit(PermitMessage::AnswerBegan { id, elapsed: Duration::from_millis(12) }),
        Message::Reliable(Batch {
            stream: 7,
            oldest: 3,
            messages: vec![(4, PermitMessage::Release { id, outcome: None })],
        }),
        Message::Ack(Ack { stream: 7, numbers: vec![4, 5] }),
        Message::PlatformUpdate(longest_update()),
    ];
    for it in messages {
        let buf = frame(it.clone()).encode(&keys("k")).expect("the frame fits into a datagram");
        assert_eq!(Frame::decode(&buf, &keys("k")), Ok(frame(it)));
    }
}

/// Guards against a fleet that falls apart while nodes are upgraded one by one: a build that knows
/// no features must accept the frames of one that does, and the reverse.
#[test]
fn frames_with_and_without_features_are_accepted_by_both_builds() {
    let (with, keys) = (gossip(), keys("k"));
    let body = postcard::to_stdvec(&with).unwrap();
    let mut buf = vec![VERSION];
    buf.extend(keys.sign(&body));
    buf.extend(&body);
    let without = NodeInfo { features: Features::NONE, ..longest_info() };
    let gossip = Gossip { nodes: vec![without], ..Gossip::default() };
    let without = frame(Message::Gossip(gossip));
    assert_eq!(Frame::decode(&buf, &keys), Ok(without.clone()));
    // The decoding of the former build, which does not expect anything behind the message.
    let buf = with.encode(&keys).unwrap();
    assert_eq!(postcard::from_bytes(&buf[buf.len() - body.len() - 1..]), Ok(without));
}

#[test]
fn a_frame_under_another_key_is_dropped() {
    let buf = gossip().encode(&keys("ours")).unwrap();
    assert_eq!(Frame::decode(&buf, &keys("theirs")), Err(WireError::Forged));
}

#[test]
fn while_the_key_is_replaced_both_are_accepted() {
    let buf = gossip().encode(&keys("old")).unwrap();
    let both = Keys { current: Key::new(b"new"), also_accepted: Some(Key::new(b"old")) };
    assert_eq!(Frame::decode(&buf, &both), Ok(gossip()));
}

#[test]
fn a_frame_of_another_version_is_dropped() {
    let mut buf = gossip().encode(&keys("k")).unwrap();
    buf[0] = 99;
    assert_eq!(Frame::decode(&buf, &keys("k")), Err(WireError::Version(99)));
}

#[test]
fn a_key_does_not_appear_in_debug_output() {
    assert_eq!(format!("{:?}", Key::new(b"secret")), "Key(..)");
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(buf in prop::collection::vec(any::<u8>(), 0..1_400)) {
        let _ = Frame::decode(&buf, &keys("k"));
    }

    /// The body is decoded only after its signature was verified; this test signs with the valid
    /// key.
    #[test]
    fn arbitrary_signed_bytes_do_not_panic(body in prop::collection::vec(any::<u8>(), 1..1_100)) {
        let keys = keys("k");
        let mut buf = vec![VERSION];
        buf.extend(keys.sign(&body));
        buf.extend(&body);
        let decoded = Frame::decode(&buf, &keys);
        prop_assert!(matches!(decoded, Ok(_) | Err(WireError::Malformed)));
    }

    #[test]
    fn one_flipped_bit_is_noticed(at in 0..40_usize, bit in 0..8_u8) {
        let mut buf = gossip().encode(&keys("k")).unwrap();
        let at = at % buf.len();
        buf[at] ^= 1 << bit;
        prop_assert!(Frame::decode(&buf, &keys("k")).is_err());
    }
}
