use std::collections::BTreeMap;
use std::time::Duration;

use expect_test::{Expect, expect};
use policy::{NodeId, PermitId, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::delivery::Delivery;
use crate::wire::{Ack, Batch, Frame, Key, Keys, Message, PermitMessage};

const SENDER: NodeId = NodeId(1);
const RECEIVER: NodeId = NodeId(2);

fn message(seq: u64) -> PermitMessage {
    PermitMessage::Release { id: PermitId { node: SENDER, seq }, outcome: None }
}

fn seq(message: &PermitMessage) -> u64 {
    match message {
        PermitMessage::Release { id, .. } => id.seq,
        other => panic!("unexpected message {other:?}"),
    }
}

fn ms(ms: u64) -> Time {
    Time(0) + Duration::from_millis(ms)
}

/// Sends a message in a frame of its own.
fn send_alone(delivery: &mut Delivery, now: Time, message: PermitMessage) -> Batch {
    delivery.send(now, RECEIVER, message).unwrap();
    let mut batches = delivery.flush(now, RECEIVER);
    assert_eq!(batches.len(), 1);
    batches.remove(0)
}

/// Receives a batch and returns the new messages and the acknowledgement, without waiting for later
/// ones to join.
fn receive(delivery: &mut Delivery, now: Time, batch: Batch) -> (Vec<PermitMessage>, Ack) {
    let new = delivery.receive(now, SENDER, batch);
    let (_, ack) = delivery.take_acks(now + Duration::from_secs(1)).remove(0);
    (new, ack)
}

/// Pins the times in milliseconds at which a message is sent again while no acknowledgement
/// arrives.
#[test]
fn a_message_is_sent_until_its_permit_has_expired() {
    let mut delivery = Delivery::new(1);
    delivery.send(ms(0), RECEIVER, message(1)).unwrap();
    let sent = (0..5_000).filter(|it| !delivery.tick(ms(*it)).is_empty());
    let sent = sent.map(|it| it.to_string()).collect::<Vec<_>>().join(" ");
    expect![
        "0 80 240 400 560 720 880 1040 1200 1360 1520 1680 1840 2000 2160 2320 2480 2640 2800 2960"
    ]
    .assert_eq(&sent);
    assert_eq!((delivery.held(), delivery.given_up, delivery.due()), (0, 1, None));
    assert_eq!(delivery.resent, 19, "the first send is not counted");
}

#[test]
fn nothing_is_sent_again_once_it_is_acknowledged() {
    let mut delivery = Delivery::new(1);
    let batch = send_alone(&mut delivery, ms(0), message(1));
    let (_, ack) = receive(&mut Delivery::new(9), ms(1), batch);
    assert_eq!(delivery.acknowledged(RECEIVER, &ack), [ms(0)]);
    assert_eq!((delivery.held(), delivery.due()), (0, None));
    assert_eq!(delivery.acknowledged(RECEIVER, &ack), [], "reported once");
}

#[test]
fn an_acknowledgement_for_a_former_process_is_ignored() {
    let mut delivery = Delivery::new(2);
    delivery.send(ms(0), RECEIVER, message(1)).unwrap();
    delivery.acknowledged(RECEIVER, &Ack { stream: 1, numbers: vec![0] });
    assert_eq!(delivery.held(), 1);
}

#[test]
fn a_message_that_does_not_fit_into_a_frame_is_refused() {
    let ids = vec![PermitId { node: NodeId(u64::MAX), seq: u64::MAX }; 60];
    let error = Delivery::new(1).send(ms(0), RECEIVER, PermitMessage::Renew { ids });
    let expect =
        expect!["a slot message of 1212 bytes does not fit into a frame: split it into several"];
    expect.assert_eq(&error.unwrap_err().to_string());
}

/// Every repeated frame and its acknowledgement fit into a datagram, even with the largest numbers.
#[test]
fn repeated_frames_fit_datagrams() {
    let keys = Keys { current: Key::new(b"k"), also_accepted: None };
    let mut delivery = Delivery::new(u32::MAX);
    for seq in 0..300 {
        delivery.send(ms(0), RECEIVER, message(u64::MAX - seq)).unwrap();
    }
    delivery.tick(ms(0));
    let batches = delivery.tick(ms(100));
    assert!(batches.len() > 1);
    assert_eq!(batches.iter().map(|(_, it)| it.messages.len()).sum::<usize>(), 300);
    for (_, batch) in batches {
        let far = |number| u64::MAX - number;
        let messages = batch.messages.into_iter().map(|(number, it)| (far(number), it)).collect();
        let batch = Batch { oldest: u64::MAX, messages, ..batch };
        let (_, ack) = receive(&mut Delivery::new(9), ms(100), batch.clone());
        for message in [Message::Reliable(batch), Message::Ack(ack)] {
            let frame = Frame { from: NodeId(u64::MAX), message };
            assert!(frame.encode(&keys).is_some());
        }
    }
}

/// Receives batches given as stream, oldest number and numbers, and compares the new messages of
/// each.
#[track_caller]
fn check(batches: &[(u32, u64, &[u64])], expect: Expect) {
    let mut delivery = Delivery::new(9);
    let received = batches.iter().map(|(stream, oldest, numbers)| {
        let messages = numbers.iter().map(|it| (*it, message(*it))).collect();
        let batch = Batch { stream: *stream, oldest: *oldest, messages };
        let (new, ack) = receive(&mut delivery, ms(0), batch);
        assert_eq!(ack.numbers, *numbers, "all that has arrived is acknowledged");
        format!("{:?}", new.iter().map(seq).collect::<Vec<_>>())
    });
    expect.assert_eq(&received.collect::<Vec<_>>().join(" "));
}

#[test]
fn each_number_is_processed_once() {
    check(&[(1, 0, &[0]), (1, 0, &[0, 1]), (1, 0, &[1])], expect!["[0] [1] []"]);
    // The sender holds no number below two any more: the second batch is an old frame.
    check(&[(1, 2, &[3]), (1, 0, &[0, 1]), (1, 2, &[2, 3])], expect!["[3] [] [2]"]);
}

#[test]
fn numbers_start_again_with_a_new_process() {
    check(&[(1, 0, &[0, 1]), (2, 0, &[0]), (2, 0, &[0, 1])], expect!["[0, 1] [0] [1]"]);
    // A late frame of the former process is ignored.
    check(&[(1, 0, &[0]), (2, 0, &[0]), (1, 0, &[1]), (2, 0, &[1])], expect!["[0] [0] [] [1]"]);
}

/// A link that loses, duplicates and delays frames.
#[derive(Clone, Copy, Debug)]
struct Link {
    lost: f64,
    duplicated: f64,
    delay_ms: u64,
    /// Whether the sender restarts half-way.
    restarts: bool,
    seed: u64,
}

#[derive(Clone)]
enum Sent {
    Batch(Batch),
    Ack(Ack),
}

/// Frames in flight, by time of arrival.
struct Net {
    link: Link,
    rng: StdRng,
    frames: BTreeMap<(u64, u64), Sent>,
    sent: u64,
}

impl Net {
    fn send(&mut self, now: u64, frame: Sent) {
        let copies = 1 + u64::from(self.rng.random_bool(self.link.duplicated));
        for _ in 0..copies {
            self.sent += 1;
            if !self.rng.random_bool(self.link.lost) {
                let at = now + 1 + self.rng.random_range(0..=self.link.delay_ms);
                self.frames.insert((at, self.sent), frame.clone());
            }
        }
    }
}

const MESSAGES: u64 = 400;
/// Interval between messages, in milliseconds.
const MESSAGE_INTERVAL: u64 = 7;

/// Result of a simulation.
struct Outcome {
    /// How often each message was received.
    received: Vec<u32>,
    /// Number of messages sent again.
    resent: u64,
    /// Number of frames sent.
    frames: u64,
}

fn simulate(link: Link) -> Outcome {
    let rng = StdRng::seed_from_u64(link.seed);
    let mut net = Net { link, rng, frames: BTreeMap::new(), sent: 0 };
    let (mut sender, mut receiver) = (Delivery::new(1), Delivery::new(9));
    let mut received = vec![0; MESSAGES as usize];
    for now in 0..MESSAGES * MESSAGE_INTERVAL + 4_000 {
        if link.restarts && now == MESSAGES * MESSAGE_INTERVAL / 2 {
            sender = Delivery::new(2);
        }
        if now % MESSAGE_INTERVAL == 0 && now / MESSAGE_INTERVAL < MESSAGES {
            sender.send(ms(now), RECEIVER, message(now / MESSAGE_INTERVAL)).unwrap();
        }
        for (_, batch) in sender.tick(ms(now)) {
            net.send(now, Sent::Batch(batch));
        }
        for (_, ack) in receiver.take_acks(ms(now)) {
            net.send(now, Sent::Ack(ack));
        }
        while let Some(entry) = net.frames.first_entry().filter(|it| it.key().0 <= now) {
            match entry.remove() {
                Sent::Batch(batch) => {
                    let new = receiver.receive(ms(now), SENDER, batch);
                    new.iter().for_each(|it| received[seq(it) as usize] += 1);
                }
                Sent::Ack(ack) => {
                    sender.acknowledged(RECEIVER, &ack);
                }
            }
        }
    }
    Outcome { received, resent: sender.resent, frames: net.sent }
}

fn links() -> impl Strategy<Value = Link> {
    (0.0..0.4, 0.0..0.5, 0..150u64, any::<bool>(), any::<u64>()).prop_map(
        |(lost, duplicated, delay_ms, restarts, seed)| Link {
            lost,
            duplicated,
            delay_ms,
            restarts,
            seed,
        },
    )
}

#[test]
fn messages_due_at_the_same_moment_share_a_frame() {
    let mut delivery = Delivery::new(1);
    for seq in 0..3 {
        delivery.send(ms(0), RECEIVER, message(seq)).unwrap();
    }
    delivery.send(ms(0), SENDER, message(3)).unwrap();
    let mut batches = delivery.tick(ms(0));
    batches.sort_by_key(|(to, _)| *to);
    let sizes = batches.iter().map(|(to, it)| (*to, it.messages.len()));
    assert_eq!(sizes.collect::<Vec<_>>(), [(SENDER, 1), (RECEIVER, 3)]);
    assert_eq!(delivery.due(), Some(ms(80)));
}

#[test]
fn a_flush_sends_what_is_due_to_one_peer() {
    let mut delivery = Delivery::new(1);
    delivery.send(ms(0), RECEIVER, message(1)).unwrap();
    delivery.send(ms(0), SENDER, message(2)).unwrap();
    assert_eq!(delivery.flush(ms(0), RECEIVER).len(), 1);
    let left: Vec<NodeId> = delivery.tick(ms(0)).into_iter().map(|(to, _)| to).collect();
    assert_eq!(left, [SENDER]);
}

#[test]
fn acknowledgements_to_one_peer_are_joined_for_twenty_milliseconds() {
    let (mut sender, mut receiver) = (Delivery::new(1), Delivery::new(9));
    for (at, seq) in [(0, 1), (5, 2), (15, 3)] {
        let batch = send_alone(&mut sender, ms(at), message(seq));
        receiver.receive(ms(at + 1), SENDER, batch);
    }
    assert_eq!((receiver.take_acks(ms(20)), receiver.due()), (vec![], Some(ms(21))));
    let acks = receiver.take_acks(ms(21));
    assert_eq!(acks, [(SENDER, Ack { stream: 1, numbers: vec![0, 1, 2] })]);
    assert_eq!((receiver.take_acks(ms(200)), receiver.due()), (vec![], None));
}

/// Guards against a second resend: the acknowledgement of the first copy was lost or is late.
#[test]
fn a_message_that_was_sent_again_is_acknowledged_at_once() {
    let (mut sender, mut receiver) = (Delivery::new(1), Delivery::new(9));
    let batch = send_alone(&mut sender, ms(0), message(1));
    receiver.receive(ms(1), SENDER, batch.clone());
    assert_eq!(receiver.take_acks(ms(30)).len(), 1);
    receiver.receive(ms(81), SENDER, batch);
    assert_eq!(receiver.take_acks(ms(81)).len(), 1);
}

/// Guards against an acknowledgement that joins the streams of two processes, or that does not fit
/// into a datagram.
#[test]
fn joined_acknowledgements_fit_datagrams_and_belong_to_one_stream() {
    let keys = Keys { current: Key::new(b"k"), also_accepted: None };
    let mut receiver = Delivery::new(9);
    for number in 0..250 {
        let messages = vec![(u64::MAX - number, message(number))];
        receiver.receive(ms(0), SENDER, Batch { stream: u32::MAX, oldest: 0, messages });
    }
    receiver.receive(
        ms(0),
        SENDER,
        Batch { stream: 2, oldest: 0, messages: vec![(0, message(1))] },
    );
    let acks = receiver.take_acks(ms(20));
    let count = |stream| {
        let of_stream = acks.iter().filter(|(_, it)| it.stream == stream);
        of_stream.map(|(_, it)| it.numbers.len()).sum::<usize>()
    };
    assert_eq!((count(u32::MAX), count(2)), (250, 1));
    for (_, ack) in acks {
        let frame = Frame { from: NodeId(u64::MAX), message: Message::Ack(ack) };
        assert!(frame.encode(&keys).is_some());
    }
}

/// A link without loss whose frames take up to this long in each direction, several times the usual
/// round trip.
const SLOW_LINK_MS: u64 = 25;

/// Guards against joined acknowledgements that arrive after their messages are sent again.
#[test]
fn joined_acknowledgements_arrive_before_their_messages_are_sent_again() {
    let link =
        Link { lost: 0.0, duplicated: 0.0, delay_ms: SLOW_LINK_MS, restarts: false, seed: 1 };
    let outcome = simulate(link);
    assert_eq!(outcome.resent, 0);
    // A message every 7 ms: one acknowledgement for two or three of them.
    assert!(outcome.frames < MESSAGES * 3 / 2, "{} frames", outcome.frames);
}

#[test]
fn no_message_is_lost_on_a_link_that_loses_a_fifth_of_the_frames() {
    for seed in 0..20 {
        let link = Link { lost: 0.2, duplicated: 0.0, delay_ms: 3, restarts: false, seed };
        let received = simulate(link).received;
        assert!(received.iter().all(|it| *it == 1), "{received:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(64) })]

    /// No message is processed twice. While its sender runs, no message is lost, except for one in
    /// a hundred thousand whose frames are lost eleven times.
    #[test]
    fn messages_arrive_once_over_links_that_lose_duplicate_and_delay(link in links()) {
        let received = simulate(link).received;
        prop_assert!(received.iter().all(|it| *it <= 1), "{received:?}");
        let since_restart = if link.restarts { MESSAGES as usize / 2 + 1 } else { 0 };
        prop_assert!(received[since_restart..].iter().all(|it| *it == 1), "{received:?}");
    }
}
